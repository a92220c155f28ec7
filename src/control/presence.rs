//! Which entry hosts take requests, for hosts that register in the platform's store.
//!
//! A host registers, then reads who else did, then sends heartbeats to all of them. Each heartbeat
//! says all there is to know of its sender, so that those who read the store earlier learn of it
//! without asking the store again: of two hosts that start at once, the later one finds the other.
//! A host counts as alive for a while after it was first heard of, so that a new one is used at
//! once, and one that says that it is leaving does not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time between two heartbeats.
pub const INTERVAL: Duration = Duration::from_millis(700);
/// Silence after which a host is taken for dead: three heartbeats may be lost.
pub const SILENCE: Duration = Duration::from_millis(2500);
/// Silence after which the registration of a dead host is removed.
pub const FORGET: Duration = Duration::from_secs(20);
/// A gap between two looks at the clock that means that this process was paused.
const PAUSE: Duration = Duration::from_millis(1500);

/// What an entry host registers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers send requests.
    pub front: SocketAddr,
    /// Where it takes heartbeats.
    pub peers: SocketAddr,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Its part of a processor core.
    pub processor: f64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Its sender.
    #[serde(rename = "r")]
    pub record: Record,
    /// Whether the sender finishes what it has and takes nothing new.
    #[serde(rename = "l")]
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    record: Record,
    heard: Instant,
    leaving: bool,
}

/// The entry hosts as one of them sees them.
#[derive(Debug)]
pub struct Presence {
    own: Record,
    leaving: bool,
    peers: BTreeMap<Arc<str>, Peer>,
    looked: Instant,
}

impl Presence {
    /// A host that has heard of no other.
    pub fn new(now: Instant, own: Record) -> Self {
        Self {
            own,
            leaving: false,
            peers: BTreeMap::new(),
            looked: now,
        }
    }

    /// What this host registers.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The heartbeat to send.
    pub fn beat(&self) -> Beat {
        Beat {
            record: self.own.clone(),
            leaving: self.leaving,
        }
    }

    /// Takes in a registration; gives the host the benefit of the doubt until it was silent for
    /// long enough.
    pub fn register(&mut self, now: Instant, record: Record) {
        if record.host == self.own.host {
            return;
        }
        match self.peers.get_mut(&record.host) {
            Some(peer) if peer.record.incarnation > record.incarnation => {}
            Some(peer) if peer.record.incarnation == record.incarnation => peer.record = record,
            _ => {
                let peer = Peer {
                    heard: now,
                    leaving: false,
                    record,
                };
                self.peers.insert(peer.record.host.clone(), peer);
            }
        }
    }

    /// Forgets a host whose registration was removed, unless it is still heard.
    pub fn withdraw(&mut self, now: Instant, host: &str) {
        let heard = |peer: &Peer| now.saturating_duration_since(peer.heard) < SILENCE;
        if self.peers.get(host).is_some_and(|peer| !heard(peer) || peer.leaving) {
            self.peers.remove(host);
        }
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, now: Instant, beat: Beat) {
        self.register(now, beat.record.clone());
        let Some(peer) = self.peers.get_mut(&beat.record.host) else {
            return;
        };
        if beat.record.incarnation == peer.record.incarnation {
            peer.heard = now;
            peer.leaving = beat.leaving;
        }
    }

    /// Notes that the clock was looked at. After a pause of this process each silence counts anew.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.looked) > PAUSE {
            for peer in self.peers.values_mut() {
                peer.heard = now;
            }
        }
        self.looked = now;
    }

    /// Other hosts, alive or not, to which heartbeats go.
    pub fn peers(&self) -> impl Iterator<Item = &Record> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Hosts that take new requests, this one among them unless it is leaving.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Record> {
        let own = (!self.leaving).then_some(&self.own);
        let others = self.peers.values().filter(move |peer| {
            !peer.leaving && now.saturating_duration_since(peer.heard) < SILENCE
        });
        own.into_iter().chain(others.map(|peer| &peer.record))
    }

    /// Hosts that have been silent for so long that their registration can go.
    pub fn dead(&self, now: Instant) -> impl Iterator<Item = &Record> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.heard) >= FORGET)
            .map(|peer| &peer.record)
    }
}
