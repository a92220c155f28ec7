//! What hosts tell each other of who is alive.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// What a host says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// The wire form of a [`Beat`]: its fields in order, and whether its sender is leaving.
#[derive(Serialize, Deserialize)]
struct Packed(Arc<str>, u64, u64, bool, u32, Vec<Arc<str>>, Vec<Known>);

impl From<Beat> for Packed {
    fn from(beat: Beat) -> Self {
        Self(
            beat.host,
            beat.incarnation,
            beat.sequence,
            beat.state == State::Leaving,
            beat.interval_ms,
            beat.missed,
            beat.known,
        )
    }
}

impl From<Packed> for Beat {
    fn from(packed: Packed) -> Self {
        Self {
            host: packed.0,
            incarnation: packed.1,
            sequence: packed.2,
            state: match packed.3 {
                true => State::Leaving,
                false => State::Serving,
            },
            interval_ms: packed.4,
            missed: packed.5,
            known: packed.6,
        }
    }
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "Packed", from = "Packed")]
pub struct Beat {
    /// The sender.
    pub host: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Rises by one with each regular heartbeat of the incarnation.
    pub sequence: u64,
    /// What it says of itself.
    pub state: State,
    /// Time to its next heartbeat on this link, in milliseconds.
    pub interval_ms: u32,
    /// Hosts that the sender ought to hear and does not.
    pub missed: Vec<Arc<str>>,
    /// What the sender knows of hosts that others asked for.
    pub known: Vec<Known>,
}

/// What one host knows of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// The host that is spoken of.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// The incarnation that was heard.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The last sequence that was heard.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// What that host said of itself.
    #[serde(rename = "t")]
    pub state: State,
    /// How long ago it was heard, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Whether it is held to be dead.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub dead: bool,
}

/// All that is known of the hosts of one zone, told to other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The zone.
    pub zone: Arc<str>,
    /// Its hosts.
    pub hosts: Vec<Known>,
}

impl Roster {
    /// A digest of who is there, without the times at which they were heard. Those who have a
    /// roster with the same digest need not be sent it again, see [`Membership::vouch`](super::membership::Membership::vouch).
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for known in &self.hosts {
            hash.update(known.host.as_bytes());
            hash.update(&known.incarnation.to_le_bytes());
            hash.update(&[known.state as u8, u8::from(known.dead)]);
        }
        hash.digest()
    }
}

/// What a delegate tells the hosts of its zone about another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The zone that is spoken of.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Time since any host of it was heard, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Whether it is held to be lost.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub lost: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Milliseconds as they are sent.
pub(crate) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
