//! Checks that steering overloaded no region.
//!
//! There are two kinds of overload:
//!
//! - A serving target shed requests: it received more than its slots and its queue could hold.
//! - The mean number of running requests of a service in a region was above the limit for a second,
//!   and calls from other regions were among them. A region that is filled by its own callers is not
//!   overloaded by steering. The limit is the utilization times the slots of the targets that were not
//!   lost, plus [`ALLOWANCE_SLOTS`], since requests end and begin between two decisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{
    is_overlapping, violation, Deployment, Evidence, Invariant, Span, Violation, SECOND_US,
};

/// Slots above the limit that are attributed to requests in flight.
pub const ALLOWANCE_SLOTS: f64 = 0.5;

pub(super) fn violations(deployment: &Deployment, evidence: &Evidence) -> Vec<Violation> {
    let mut found = shed_requests(evidence);
    found.extend(seconds_over_limit(deployment, evidence));
    found
}

/// Targets that shed requests.
fn shed_requests(evidence: &Evidence) -> Vec<Violation> {
    let sheds = evidence.sheds.iter().filter(|(_, count)| **count > 0);
    sheds
        .map(|(target, count)| {
            let description = format!("{target}: shed {count} requests");
            violation(Invariant::Overload, description)
        })
        .collect()
}

/// The load of a service in a region during one second.
#[derive(Default)]
struct SecondLoad {
    /// Time that requests spent in slots, in microseconds.
    busy_us: u64,
    /// Requests of callers in other regions.
    cross_region: u64,
}

/// A service and a region.
type Site<'a> = (&'a Arc<str>, &'a Arc<str>);

/// Seconds in which a service was over the limit in a region.
fn seconds_over_limit(deployment: &Deployment, evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (((service, region), second), load) in load_by_second(deployment, evidence) {
        if load.cross_region == 0 {
            continue;
        }
        let span = second * SECOND_US..(second + 1) * SECOND_US;
        let slots = available_slots(deployment, evidence, (service, region), &span);
        let limit = f64::from(slots) * deployment.utilization + ALLOWANCE_SLOTS;
        let mean = load.busy_us as f64 / SECOND_US as f64;
        if mean > limit {
            let description = format!(
                "{service} in {region}: {mean:.1} of {slots} slots in use, {} calls from other regions",
                load.cross_region
            );
            found.push(violation(Invariant::Overload, description));
        }
    }
    found
}

/// The load of each service in each region by seconds since the Unix epoch.
fn load_by_second<'a>(
    deployment: &'a Deployment,
    evidence: &'a Evidence,
) -> BTreeMap<(Site<'a>, u64), SecondLoad> {
    let records = evidence.records.iter();
    let origins: BTreeMap<&str, &Arc<str>> = records
        .map(|record| (&*record.call, &record.region))
        .collect();
    let mut seconds: BTreeMap<(Site<'a>, u64), SecondLoad> = BTreeMap::new();
    for (target, entry) in evidence.journal_entries() {
        let Some(info) = deployment.targets.get(target) else {
            continue;
        };
        let origin = entry.call.as_deref().and_then(|call| origins.get(call));
        let is_cross_region = origin.is_some_and(|origin| **origin != info.region);
        let end = entry.ended_us.unwrap_or(entry.began_us);
        for at in entry.began_us / SECOND_US..=end / SECOND_US {
            let site = (&info.service, &info.region);
            let load = seconds.entry((site, at)).or_default();
            let from = entry.began_us.max(at * SECOND_US);
            load.busy_us += end.min((at + 1) * SECOND_US).saturating_sub(from);
            load.cross_region += u64::from(is_cross_region);
        }
    }
    seconds
}

/// The slots of a service in a region whose targets were not lost within a span.
fn available_slots(
    deployment: &Deployment,
    evidence: &Evidence,
    site: Site<'_>,
    span: &Span,
) -> u32 {
    let is_lost = |target: &Arc<str>| {
        let mut losses = evidence.losses.iter();
        losses.any(|loss| loss.target == *target && is_overlapping(&loss.span, span))
    };
    let targets = deployment.targets.iter();
    targets
        .filter(|(name, info)| (&info.service, &info.region) == site && !is_lost(name))
        .map(|(_, info)| info.slots)
        .sum()
}
