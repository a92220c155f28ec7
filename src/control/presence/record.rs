//! The records and heartbeats of entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The registration of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Its name.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address that receives callers' requests.
    pub front: SocketAddr,
    /// Address that receives heartbeats.
    pub peers: SocketAddr,
    /// Address of the feed, from which other hosts copy the contents of the store.
    pub feed: SocketAddr,
    /// Increases with each start of its process, unless its clock is set back.
    pub incarnation: u64,
    /// Its capacity relative to other hosts.
    pub strength: Strength,
}

/// The capacity of a host: its share of a processor core and its network link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Strength {
    /// Number of processor cores.
    pub cores: f64,
    /// Bandwidth of the link in megabits per second.
    pub megabits: f64,
}

/// Cores from which a host's capacity needs no consideration.
const AMPLE_CORES: f64 = 0.2;

/// Bandwidth, in megabits per second, from which a host's capacity needs no consideration: ten
/// times what a usual host carries.
const AMPLE_MEGABITS: f64 = 50.0;

impl Strength {
    /// The capacity from which a host is not treated as weak.
    pub const AMPLE: Self = Self {
        cores: AMPLE_CORES,
        megabits: AMPLE_MEGABITS,
    };

    /// Whether the host is not weak.
    pub fn is_ample(self) -> bool {
        self.share() >= 1.0
    }

    /// The fraction of a full share of work that the host can take, up to 1.
    pub fn share(self) -> f64 {
        let cores = self.cores / AMPLE_CORES;
        let link = self.megabits / AMPLE_MEGABITS;
        cores.min(link).clamp(0.0, 1.0)
    }
}

/// How a host sees the store, from the least to the most current view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StoreView {
    /// It has received nothing from the store.
    Nothing,
    /// It has lost the store and keeps an old copy.
    Stale,
    /// It follows another host that sees the store.
    Relayed,
    /// It watches the store itself.
    Store,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its sender.
    #[serde(rename = "r")]
    pub record: HostRecord,
    /// Whether the sender finishes its current work and takes no new work.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// The sender's view of the store.
    #[serde(rename = "s")]
    pub store_view: StoreView,
    /// Requests per second that the sender receives.
    #[serde(rename = "n")]
    pub rate: u32,
}

/// The fields of a heartbeat that may change. It is sent to hosts that already know the sender's
/// record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse(
    /// The sender's incarnation.
    pub u64,
    /// The sender's view of the store.
    pub StoreView,
    /// Whether the sender takes no new work.
    pub bool,
    /// Requests per second that the sender receives.
    pub u32,
);
