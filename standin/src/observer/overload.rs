//! Whether steering overloaded a region.
//!
//! Two things count. A target that was to serve *shed* work: more came to it than its slots and its
//! queue could hold. And a second in which the mean work in flight of a service in a region lay above
//! the utilization limit, if calls from other regions had a part in it: a region that its own callers
//! fill is not overloaded by a decision. The limit is that part of the slots of the targets that were
//! not lost, plus [`ALLOWANCE`] slots, since requests end and begin between two decisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{overlap, violation, Evidence, Promise, Span, Violation, World, SECOND};

/// Slots above the limit that are put down to requests under way.
pub const ALLOWANCE: f64 = 0.5;

pub(super) fn violations(world: &World, evidence: &Evidence) -> Vec<Violation> {
    let mut found = sheds(evidence);
    found.extend(crowded(world, evidence));
    found
}

fn sheds(evidence: &Evidence) -> Vec<Violation> {
    let sheds = evidence.sheds.iter().filter(|(_, count)| **count > 0);
    sheds
        .map(|(target, count)| {
            let what = format!("{target}: shed {count} requests");
            violation(Promise::Overload, what)
        })
        .collect()
}

/// What a service in a region did in a second.
#[derive(Default)]
struct Second {
    /// Time in slots, in microseconds.
    busy_us: u64,
    /// Requests of callers of other regions.
    foreign: u64,
}

type Site<'a> = (&'a Arc<str>, &'a Arc<str>);

fn crowded(world: &World, evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for (((service, region), second), load) in seconds(world, evidence) {
        if load.foreign == 0 {
            continue;
        }
        let span = second * SECOND..(second + 1) * SECOND;
        let slots = slots(world, evidence, (service, region), &span);
        let limit = f64::from(slots) * world.utilization + ALLOWANCE;
        let mean = load.busy_us as f64 / SECOND as f64;
        if mean > limit {
            let what = format!(
                "{service} in {region}: {mean:.1} of {slots} slots in use, {} calls from elsewhere",
                load.foreign
            );
            found.push(violation(Promise::Overload, what));
        }
    }
    found
}

fn seconds<'a>(world: &'a World, evidence: &'a Evidence) -> BTreeMap<(Site<'a>, u64), Second> {
    let records = evidence.records.iter();
    let origins: BTreeMap<&str, &Arc<str>> = records
        .map(|record| (&*record.call, &record.region))
        .collect();
    let mut seconds: BTreeMap<(Site<'a>, u64), Second> = BTreeMap::new();
    for (target, entry) in evidence.runs() {
        let Some(place) = world.targets.get(target) else {
            continue;
        };
        let origin = entry.call.as_deref().and_then(|call| origins.get(call));
        let is_foreign = origin.is_some_and(|origin| **origin != place.region);
        let end = entry.ended_us.unwrap_or(entry.began_us);
        for at in entry.began_us / SECOND..=end / SECOND {
            let site = (&place.service, &place.region);
            let second = seconds.entry((site, at)).or_default();
            let from = entry.began_us.max(at * SECOND);
            second.busy_us += end.min((at + 1) * SECOND).saturating_sub(from);
            second.foreign += u64::from(is_foreign);
        }
    }
    seconds
}

/// The slots of a service in a region that were not lost in a span.
fn slots(world: &World, evidence: &Evidence, site: Site<'_>, span: &Span) -> u32 {
    let is_lost = |target: &Arc<str>| {
        let mut losses = evidence.losses.iter();
        losses.any(|loss| loss.target == *target && overlap(&loss.span, span))
    };
    let targets = world.targets.iter();
    targets
        .filter(|(name, place)| (&place.service, &place.region) == site && !is_lost(name))
        .map(|(_, place)| place.slots)
        .sum()
}
