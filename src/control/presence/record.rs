//! What entry hosts say of themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

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
    /// Where it tells others what it knows of the store.
    pub feed: SocketAddr,
    /// Grows with each start of its process, unless its clock goes back.
    pub incarnation: u64,
    /// How much it can carry beside others.
    pub strength: Strength,
}

/// How much a host can carry: its part of a processor core, and its link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Strength {
    /// Processor cores.
    pub cores: f64,
    /// The link in megabits a second.
    pub megabits: f64,
}

/// The part of a processor core with which a host needs no care.
const AMPLE_CORES: f64 = 0.2;

/// The link, in megabits a second, with which a host needs no care: ten times what a usual host carries.
const AMPLE_MEGABITS: f64 = 50.0;

impl Strength {
    /// A host that needs no care.
    pub const AMPLE: Self = Self {
        cores: AMPLE_CORES,
        megabits: AMPLE_MEGABITS,
    };

    /// Whether the host needs no care.
    pub fn is_ample(self) -> bool {
        self.share() >= 1.0
    }

    /// The part of a full share of work that the host can take, up to 1.
    pub fn share(self) -> f64 {
        let cores = self.cores / AMPLE_CORES;
        let link = self.megabits / AMPLE_MEGABITS;
        cores.min(link).clamp(0.0, 1.0)
    }
}

/// What a host knows of the store, from least to most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Sight {
    /// Nothing yet.
    Nothing,
    /// What it knew before it lost the store.
    Stale,
    /// What another host tells it, which sees the store.
    Relayed,
    /// It sees the store itself.
    Store,
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
    /// What the sender knows of the store.
    #[serde(rename = "s")]
    pub sight: Sight,
    /// Requests a second that the sender gets.
    #[serde(rename = "n")]
    pub rate: u32,
}

/// What a heartbeat may change; all that one says to those who know its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse(
    /// The sender's incarnation.
    pub u64,
    /// What the sender knows of the store.
    pub Sight,
    /// Whether the sender takes nothing new.
    pub bool,
    /// Requests a second that the sender gets.
    pub u32,
);
