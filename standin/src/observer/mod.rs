//! An observer that checks a run for violated invariants from the records of callers and targets.
//!
//! It uses no data of the system under test, except for the revision that a host reports as in
//! force, which must never decrease. [`find_violations`] and the [`statistics`] are pure functions of
//! the [`Evidence`].

mod checks;
mod overload;
mod shift;
pub mod statistics;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use crate::caller::Record;
use crate::target::{Entry, Journal};

/// Microseconds in a second.
pub(crate) const SECOND_US: u64 = 1_000_000;

/// The largest share of a service's traffic that may move within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    /// The share.
    pub share: f64,
    /// The window, in microseconds.
    pub window_us: u64,
}

/// The service, location and capacity of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// Its service.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// That zone's region.
    pub region: Arc<str>,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// The operator's configuration, as far as the checks need it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Targets by name.
    pub targets: BTreeMap<Arc<str>, TargetInfo>,
    /// The cap on planned moves.
    pub planned_cap: Cap,
    /// The cap on moves while a target, host or link has failed.
    pub failover_cap: Cap,
    /// The share of a capacity that steering may use.
    pub utilization: f64,
    /// Number of blocks of client addresses in each region, by which traffic is steered.
    pub client_blocks: u32,
}

/// A time span in microseconds since the Unix epoch.
pub type Span = Range<u64>;

/// The planned stop of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// The host.
    pub host: Arc<str>,
    /// From the request to stop until the process had ended.
    pub span: Span,
}

/// The drain of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// The target.
    pub target: Arc<str>,
    /// From when the operator's change was accepted until it was reverted.
    pub span: Span,
}

/// A period in which a target could not serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// The target.
    pub target: Arc<str>,
    /// From its failure until it served again.
    pub span: Span,
}

/// A revision that a host reported.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionSample {
    /// When it was reported, in microseconds since the Unix epoch.
    pub at: u64,
    /// The incarnation that the host reported.
    pub incarnation: u64,
    /// The revision that the host reported as in force.
    pub revision: u64,
}

/// Everything that was recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The records of all callers.
    pub records: Vec<Record>,
    /// The journals of the targets.
    pub journals: BTreeMap<Arc<str>, Journal>,
    /// Requests that each target shed although it was serving.
    pub sheds: BTreeMap<Arc<str>, u64>,
    /// Periods in which targets could not serve.
    pub losses: Vec<Loss>,
    /// When entry hosts or links had failed, so that the failover cap applied.
    pub failures: Vec<Span>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Planned stops of hosts.
    pub stops: Vec<Stop>,
    /// Descriptions of changes that were accepted and later not in force.
    pub reverted: Vec<Arc<str>>,
    /// The revisions that each host reported, in order.
    pub revisions: BTreeMap<Arc<str>, Vec<RevisionSample>>,
}

/// The invariants that a run must not violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Traffic never shifts by more than its cap.
    ShiftCap,
    /// No steering decision overloads a region.
    Overload,
    /// Every response is complete and belongs to its caller's request.
    WrongAnswer,
    /// A request that is reported as not run did not run.
    FalseNotRun,
    /// A non-idempotent request runs at most once.
    RanTwice,
    /// A draining target receives no new requests after a few seconds.
    LateNewWork,
    /// A planned stop interrupts no request.
    CutRequest,
    /// A host never returns to an older configuration.
    ConfigRevert,
}

impl Invariant {
    /// All invariants and their names in reports.
    pub const ALL: [(Invariant, &'static str); 8] = [
        (Invariant::ShiftCap, "shift_cap"),
        (Invariant::Overload, "overload"),
        (Invariant::WrongAnswer, "wrong_answer"),
        (Invariant::FalseNotRun, "false_not_run"),
        (Invariant::RanTwice, "ran_twice"),
        (Invariant::LateNewWork, "late_new_work"),
        (Invariant::CutRequest, "cut_request"),
        (Invariant::ConfigRevert, "config_revert"),
    ];
}

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Description of what was observed.
    pub description: Arc<str>,
}

/// Finds all violations of invariants.
pub fn find_violations(deployment: &Deployment, evidence: &Evidence) -> Vec<Violation> {
    let mut found = shift::violations(deployment, evidence);
    found.extend(overload::violations(deployment, evidence));
    found.extend(checks::violations(evidence));
    found
}

/// Builds a violation.
fn violation(invariant: Invariant, description: String) -> Violation {
    Violation {
        invariant,
        description: description.into(),
    }
}

impl Evidence {
    /// All journal entries with the target's name.
    fn journal_entries(&self) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let journals = self.journals.iter();
        journals
            .flat_map(|(target, journal)| journal.entries.iter().map(move |entry| (target, entry)))
    }

    /// Whether a target, host or link had failed at some time within a span.
    fn has_failure(&self, span: &Span) -> bool {
        let losses = self.losses.iter().map(|loss| &loss.span);
        losses
            .chain(&self.failures)
            .any(|other| is_overlapping(other, span))
    }
}

/// Whether two spans overlap.
fn is_overlapping(a: &Span, b: &Span) -> bool {
    a.start < b.end && b.start < a.end
}
