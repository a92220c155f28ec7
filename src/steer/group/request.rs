//! What a group is asked and told, and what it answers.

use std::time::{Duration, Instant};

use super::{Id, Load};
use crate::catalog::TargetKey;

/// What a target says of itself, or others of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Serving,
    /// Takes work, with caches not yet filled.
    Cold,
    /// Finishes what it has.
    Draining,
}

/// Who says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A header of the target's answers.
    Header,
    /// The target's health endpoint.
    Health,
    /// The platform's host list.
    List,
}

/// What a health endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Can serve.
    Up,
    /// Cannot serve, or cannot be reached.
    Down,
}

/// A request that asks for a target.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Identifies the request; unique among those that wait.
    pub id: Id,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Rank in a full queue; higher stays longer.
    pub priority: u8,
    /// Requests of one value gain from one target's caches; 0 is none.
    pub affinity: u64,
    /// Targets not to use, as they were tried.
    pub exclude: Vec<TargetKey>,
}

/// Leave to send one request to one target. To be handed back with [`Group::finish`].
#[derive(Debug, PartialEq, Eq)]
pub struct Grant {
    pub(super) target: TargetKey,
    pub(super) at: Instant,
    pub(super) probe: bool,
}

impl Grant {
    /// The target.
    pub fn target(&self) -> TargetKey {
        self.target
    }

    /// When it was given.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Whether it probes an ejected target; such a request should be hedged if it can be.
    pub fn is_probe(&self) -> bool {
        self.probe
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No target takes work.
    NoTarget,
    /// All targets that take work were tried.
    Tried,
    /// The deadline cannot be met.
    Deadline,
    /// More work than the targets can do.
    Overload,
    /// Others of higher rank fill the queue.
    Full,
}

/// A request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to try again.
    pub retry_after: Duration,
}

/// The answer to an [`Ask`].
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it now.
    Go(Grant),
    /// It waits; it comes out of [`Group::finish`], [`Group::ready`] or [`Group::expire`].
    Wait,
    /// It did not run.
    Refuse(Refusal),
}

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Answered,
    /// The target refused; the request did not run.
    Refused,
    /// No connection; the request did not run.
    ConnectFailed,
    /// The connection broke.
    Broken,
    /// No answer in time.
    TimedOut,
    /// Given up by this host or the caller.
    Cancelled,
}

/// What a request showed of its target.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// How it ended.
    pub end: End,
    /// From the grant's use to the end.
    pub latency: Duration,
    /// The target's load header.
    pub load: Option<Load>,
    /// The target's state header.
    pub state: Option<State>,
}

impl Report {
    /// Of a grant that was not used.
    pub fn idle() -> Self {
        Self {
            end: End::Cancelled,
            latency: Duration::ZERO,
            load: None,
            state: None,
        }
    }
}

/// A summary of the group, for other hosts and for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Headroom {
    /// Slots of the targets that take work, of all hosts.
    pub slots: u32,
    /// This host's requests at targets.
    pub in_flight: u32,
    /// What this host may have at targets now.
    pub limit: u32,
    /// Requests that wait.
    pub queued: usize,
    /// The part of the slots that is warming up, 0 to 1.
    pub cold: f64,
    /// The part of the slots that is ejected, 0 to 1.
    pub ejected: f64,
}
