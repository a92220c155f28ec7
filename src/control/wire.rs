//! What the control parts of two hosts say to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::membership::{Beat, Report, Roster};
use super::plan::Record;
use super::summary::Message;

/// One control message. The root, where there is one, is the host from which it spreads over a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// A sign of life, with the revision of the configuration in force.
    Beat(Beat, u64),
    /// A host's load, to a delegate of its zone.
    Load(Message),
    /// A zone's load.
    Summary(Message, Option<Arc<str>>),
    /// What a delegate knows of other zones.
    Reports(Vec<Report>, Arc<str>),
    /// The hosts of a zone.
    Roster(Roster, Option<Arc<str>>),
    /// A plan.
    Plan(Record, Option<Arc<str>>),
}
