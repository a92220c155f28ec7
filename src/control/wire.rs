//! Messages between the control agents of two hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::digest::Digest;
use super::membership::{Heartbeat, Roster};
use super::plan::{PlanRecord, Stamp};
use super::summary::Message;
use crate::steer::quarantine::Notice;
use crate::steer::throttle::RateUpdate;

/// A control message. The root, if there is one, is the host from which the message is distributed
/// over a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// A heartbeat without the sender's name, and the revision of the configuration in force.
    #[serde(rename = "b")]
    Beat(Heartbeat, u64),
    /// A host's load report, sent to the first delegate of its zone.
    Load(Message),
    /// A zone's load summary, sent to the first delegates of the other zones, with the stamp of the
    /// newest known plan.
    Summary(Message, Stamp),
    /// A digest of the other zones, sent by the first delegate of a zone to its hosts, with the
    /// stamp of the newest plan.
    Digest(Digest, Stamp),
    /// The hosts of a zone.
    Roster(Roster, Option<Arc<str>>),
    /// A plan.
    Plan(PlanRecord, Option<Arc<str>>),
    /// A request to send missed data again in full.
    Ask(Ask),
    /// Requests that crash targets. A host that learns something new from it forwards it.
    #[serde(rename = "n")]
    Notices(Vec<Notice>),
    /// Request rates that targets announced. A host that learns something new from it forwards it.
    #[serde(rename = "r")]
    Rates(Vec<RateUpdate>),
}

/// The data to send in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// The load report of a host.
    Load,
    /// The summary of a zone.
    Summary,
    /// The levels of all zones.
    Digest,
    /// The hosts of a zone.
    Roster(Arc<str>),
    /// The newest plan.
    Plan,
}
