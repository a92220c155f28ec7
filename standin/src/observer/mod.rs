//! An observer that judges a run by what callers and targets wrote down, and by nothing else.
//!
//! It believes no word of the system under test, but for one: the revision that a host says is in
//! force, which must never fall. [`judge`] and the figures in [`figure`] are pure functions of the
//! [`Evidence`].

pub mod figure;
mod overload;
mod promise;
mod shift;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use crate::caller::Record;
use crate::target::{Entry, Journal};

/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;

/// What may move in a window, as a share of a service's traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    /// The share.
    pub share: f64,
    /// The window, in microseconds.
    pub window_us: u64,
}

/// Where a target is and what it can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Its service.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// That zone's region.
    pub region: Arc<str>,
    /// Requests it runs at once.
    pub slots: u32,
}

/// What the operator configured.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// Targets by name.
    pub targets: BTreeMap<Arc<str>, Place>,
    /// The cap on planned moves.
    pub planned: Cap,
    /// The cap on moves while a place has failed.
    pub failover: Cap,
    /// The part of a capacity that steering may fill.
    pub utilization: f64,
    /// Blocks of client addresses in each region, by which traffic is steered.
    pub blocks: u32,
}

/// A time span in microseconds since the Unix epoch.
pub type Span = Range<u64>;

/// A planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// The host.
    pub host: Arc<str>,
    /// From when it was told to stop until it was gone.
    pub span: Span,
}

/// The drain of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// The target.
    pub target: Arc<str>,
    /// From when the operator's change was accepted until it was taken back.
    pub span: Span,
}

/// A target that could not serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The target.
    pub target: Arc<str>,
    /// From its loss until it was back.
    pub span: Span,
}

/// What a host said of its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// When it was asked.
    pub at: u64,
    /// The incarnation it said it is.
    pub incarnation: u64,
    /// The revision it said is in force.
    pub revision: u64,
}

/// All that was written down of a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The calls of all callers.
    pub records: Vec<Record>,
    /// What the targets ran.
    pub journals: BTreeMap<Arc<str>, Journal>,
    /// Requests that each target turned away though it was to serve.
    pub sheds: BTreeMap<Arc<str>, u64>,
    /// Targets that were lost.
    pub losses: Vec<Loss>,
    /// When entry hosts or links had failed, so that moves fell under the failover cap.
    pub failures: Vec<Span>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Planned stops of hosts.
    pub stops: Vec<Stop>,
    /// Changes that were accepted and later not in force, in words.
    pub reverted: Vec<Arc<str>>,
    /// What each host said, in order.
    pub revisions: BTreeMap<Arc<str>, Vec<Sample>>,
}

/// The promises, by the words of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A shift of traffic never exceeds its cap.
    ShiftCap,
    /// No steering decision overloads a region.
    Overload,
    /// Every caller receives the whole answer to its own request.
    WrongAnswer,
    /// What is said not to have run did not run.
    FalseNotRun,
    /// A non-idempotent request runs at most once.
    RanTwice,
    /// A leaving target receives no new work after a few seconds.
    LateNewWork,
    /// A planned stop cuts no request.
    CutRequest,
    /// A configuration in force never reverts.
    ConfigRevert,
}

impl Promise {
    /// All promises and their words.
    pub const ALL: [(Promise, &'static str); 8] = [
        (Promise::ShiftCap, "shift_cap"),
        (Promise::Overload, "overload"),
        (Promise::WrongAnswer, "wrong_answer"),
        (Promise::FalseNotRun, "false_not_run"),
        (Promise::RanTwice, "ran_twice"),
        (Promise::LateNewWork, "late_new_work"),
        (Promise::CutRequest, "cut_request"),
        (Promise::ConfigRevert, "config_revert"),
    ];
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub what: Arc<str>,
}

/// Counts all broken promises.
pub fn judge(world: &World, evidence: &Evidence) -> Vec<Violation> {
    let mut found = shift::violations(world, evidence);
    found.extend(overload::violations(world, evidence));
    found.extend(promise::violations(evidence));
    found
}

/// A violation in words.
fn violation(promise: Promise, what: String) -> Violation {
    Violation {
        promise,
        what: what.into(),
    }
}

impl Evidence {
    /// All that targets ran, with the target's name.
    fn runs(&self) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let journals = self.journals.iter();
        journals.flat_map(|(target, journal)| journal.entries.iter().map(move |e| (target, e)))
    }

    /// Whether a place had failed at some time in a span.
    fn has_failure(&self, span: &Span) -> bool {
        let losses = self.losses.iter().map(|loss| &loss.span);
        losses
            .chain(&self.failures)
            .any(|other| overlap(other, span))
    }
}

/// Whether two spans have a common moment.
fn overlap(a: &Span, b: &Span) -> bool {
    a.start < b.end && b.start < a.end
}
