//! Inputs and results of a target group.

use std::time::{Duration, Instant};

use super::{Id, Load};
use crate::catalog::TargetKey;

/// State of a target as reported by a [`Source`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Serving,
    /// Accepts requests, with caches not yet filled.
    Cold,
    /// Completes its current requests and accepts no new ones.
    Draining,
}

/// Source of a target's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A header of the target's answers.
    Header,
    /// The target's health endpoint.
    Health,
    /// The platform's host list.
    List,
}

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The target can serve requests.
    Up,
    /// The target cannot serve requests.
    Down,
    /// The target gave no answer.
    Unreached,
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Id of the request; unique among queued requests.
    pub id: Id,
    /// Time after which an answer is useless.
    pub deadline: Instant,
    /// Priority in a full queue; lower priorities are dropped first.
    pub priority: u8,
    /// Affinity key: requests with the same key prefer the same target and its caches; 0 is none.
    pub affinity: u64,
    /// Targets already tried, which are excluded.
    pub exclude: Vec<TargetKey>,
}

/// Permission to send one request to one target. Must be returned with
/// [`Group::finish`](super::Group::finish).
#[derive(Debug, PartialEq, Eq)]
pub struct Grant {
    pub(super) target: TargetKey,
    pub(super) at: Instant,
    pub(super) probe: bool,
}

impl Grant {
    /// Returns the target.
    pub fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns the time at which the grant was issued.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Whether the request probes an ejected target; such a request should be hedged if possible.
    pub fn is_probe(&self) -> bool {
        self.probe
    }
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No target accepts requests.
    NoTarget,
    /// All targets that accept requests were already tried.
    Tried,
    /// The deadline cannot be met.
    Deadline,
    /// The load exceeds the capacity of the targets.
    Overload,
    /// The queue is full of requests of at least the same priority.
    Full,
}

/// Refusal of a request, which was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Delay before the caller should retry.
    pub retry_after: Duration,
}

/// Decision on a [`TargetRequest`].
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request now.
    Admit(Grant),
    /// The request is queued; [`Group::finish`](super::Group::finish), [`Group::ready`](super::Group::ready)
    /// or [`Group::expire`](super::Group::expire) returns it later.
    Wait,
    /// Refuse the request; it was not executed.
    Refuse(Refusal),
}

/// Result of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Answered,
    /// The target refused; the request was not executed.
    Refused,
    /// No connection; the request was not executed.
    ConnectFailed,
    /// The connection failed after it had been established.
    Broken,
    /// No answer in time.
    TimedOut,
    /// Cancelled by this host or the caller.
    Cancelled,
}

/// Report on a request sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Result of the request.
    pub end: End,
    /// Time from sending the request to its end.
    pub latency: Duration,
    /// Load header of the answer.
    pub load: Option<Load>,
    /// State header of the answer.
    pub state: Option<State>,
}

impl Report {
    /// Report for a grant that was not used.
    pub fn unused() -> Self {
        Self {
            end: End::Cancelled,
            latency: Duration::ZERO,
            load: None,
            state: None,
        }
    }
}

/// Summary of a group, for other hosts and for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Headroom {
    /// Slots of the targets that accept requests, for all hosts together.
    pub slots: u32,
    /// This host's requests in flight at targets.
    pub in_flight: u32,
    /// Current limit on this host's requests in flight.
    pub limit: u32,
    /// Queued requests.
    pub queued: usize,
    /// Fraction of the slots that are warming up, 0 to 1.
    pub cold: f64,
    /// Fraction of the slots that are ejected, 0 to 1.
    pub ejected: f64,
}
