//! What the control parts of two hosts say to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::digest::Digest;
use super::membership::{Beat, Roster};
use super::plan::{Record, Stamp};
use super::summary::Message;
use crate::steer::quarantine::Notice;
use crate::steer::throttle::RateUpdate;

/// One control message. The root, where there is one, is the host from which it spreads over a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// A sign of life without the name of the sender, and the revision of the configuration in force.
    #[serde(rename = "b")]
    Beat(Beat, u64),
    /// A host's load, to the first delegate of its zone.
    Load(Message),
    /// A zone's load, to the first delegates of the others, with the newest plan known there.
    Summary(Message, Stamp),
    /// What the first delegate of a zone tells its hosts of the others, with the newest plan.
    Digest(Digest, Stamp),
    /// The hosts of a zone.
    Roster(Roster, Option<Arc<str>>),
    /// A plan.
    Plan(Record, Option<Arc<str>>),
    /// Something was missed: it is to be sent again in full.
    Ask(Ask),
    /// Of requests that crash targets. Who learns something new from it passes it on.
    #[serde(rename = "n")]
    Notes(Vec<Notice>),
    /// Of targets that name the rate that they take. Who learns something new from it passes it on.
    #[serde(rename = "r")]
    Rates(Vec<RateUpdate>),
}

/// What is to be sent in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// The load of a host.
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
