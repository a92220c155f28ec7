//! Messages that hosts exchange about which hosts are alive.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The state that a host announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host takes new work.
    Serving,
    /// The host finishes its current work and takes no new work.
    Leaving,
}

/// The wire form of a [`Heartbeat`]: its fields in order, with the state as whether the sender is
/// leaving.
#[derive(Serialize, Deserialize)]
struct Packed(Arc<str>, u64, u64, bool, u32, Vec<Arc<str>>, Vec<KnownHost>);

impl From<Heartbeat> for Packed {
    fn from(heartbeat: Heartbeat) -> Self {
        Self(
            heartbeat.host,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.state == State::Leaving,
            heartbeat.interval_ms,
            heartbeat.missed,
            heartbeat.known,
        )
    }
}

impl From<Packed> for Heartbeat {
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
pub struct Heartbeat {
    /// The sender.
    pub host: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Increases by one with each regular heartbeat of the incarnation.
    pub sequence: u64,
    /// Its state.
    pub state: State,
    /// Time to the sender's next heartbeat on this link, in milliseconds.
    pub interval_ms: u32,
    /// Hosts that the sender should hear and does not.
    pub missed: Vec<Arc<str>>,
    /// What the sender knows of the hosts that the receiver asked about.
    pub known: Vec<KnownHost>,
}

/// What one host knows of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownHost {
    /// The host that this is about.
    #[serde(rename = "h")]
    pub host: Arc<str>,
    /// The incarnation that was last heard.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The last sequence number that was heard.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The state that the host announced.
    #[serde(rename = "t")]
    pub state: State,
    /// How long ago it was last heard, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Whether it is considered dead.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub dead: bool,
}

/// Everything known of the hosts of one zone, for other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The zone.
    pub zone: Arc<str>,
    /// Its hosts.
    pub hosts: Vec<KnownHost>,
}

impl Roster {
    /// A digest of the hosts and their states, without the times at which they were heard.
    /// Receivers that have a roster with the same digest need not receive it again, see
    /// [`Membership::confirm_roster`](super::membership::Membership::confirm_roster).
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

/// A delegate's report to the hosts of its zone about another zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The zone that this is about.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Time since any host of it was heard, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Whether it is considered lost.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub lost: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Whole milliseconds, as they are sent.
pub(crate) fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
