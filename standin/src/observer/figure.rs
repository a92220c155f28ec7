//! Figures of a run: headroom, drain time, goodput, the callers' error window.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{overlap, Evidence, Span, World, SECOND};
use crate::caller::{Outcome, Record};

/// Length of the buckets of the error window.
const ERROR_BUCKET_US: u64 = SECOND / 4;
/// Share of calls that fail in a bucket that belongs to the error window.
const ERROR_SHARE: f64 = 0.01;

/// The least free share of slots of any service in each region, at any moment. Lost targets count
/// neither as capacity nor as load while they are lost.
pub fn headroom(world: &World, evidence: &Evidence) -> BTreeMap<Arc<str>, f64> {
    let mut regions: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    let places = world.targets.values();
    let sites: BTreeSet<_> = places.map(|p| (&p.service, &p.region)).collect();
    for (service, region) in sites {
        let least = site_headroom(world, evidence, service, region);
        let entry = regions.entry(Arc::clone(region)).or_insert(1.0);
        *entry = entry.min(least);
    }
    regions
}

fn site_headroom(world: &World, evidence: &Evidence, service: &str, region: &str) -> f64 {
    let at_site = |name: &Arc<str>| {
        let place = world.targets.get(name);
        place.filter(|p| &*p.service == service && &*p.region == region)
    };
    // Ends go before beginnings of the same moment.
    let mut changes: Vec<(u64, i64, i64)> = Vec::new();
    for (target, entry) in evidence
        .runs()
        .filter(|(target, _)| at_site(target).is_some())
    {
        let span = entry.began_us..entry.ended_us.unwrap_or(u64::MAX);
        let is_lost = |l: &&super::Loss| l.target == *target && overlap(&l.span, &span);
        let lost = evidence
            .losses
            .iter()
            .find(is_lost)
            .map(|loss| loss.span.start);
        let end = lost.map_or(span.end, |lost| span.end.min(lost.max(span.start)));
        changes.push((span.start, 1, 0));
        changes.push((end, -1, 0));
    }
    for loss in &evidence.losses {
        if let Some(place) = at_site(&loss.target) {
            let slots = i64::from(place.slots);
            changes.push((loss.span.start, 0, -slots));
            changes.push((loss.span.end, 0, slots));
        }
    }
    changes.sort_unstable();
    let names = world.targets.keys().filter_map(at_site);
    let mut slots: i64 = names.map(|place| i64::from(place.slots)).sum();
    let (mut load, mut least) = (0, 1.0_f64);
    for (_, begun, change) in changes {
        load += begun;
        slots += change;
        if slots > 0 {
            least = least.min((slots - load) as f64 / slots as f64);
        }
    }
    least
}

/// Calls answered in another region than their caller's: the most in a second, by the two regions.
pub fn crossings(world: &World, evidence: &Evidence) -> BTreeMap<(Arc<str>, Arc<str>), u64> {
    let mut seconds: BTreeMap<(&Arc<str>, &Arc<str>, u64), u64> = BTreeMap::new();
    for record in &evidence.records {
        let place = record.target.as_ref().and_then(|t| world.targets.get(t));
        if let Some(place) = place.filter(|place| place.region != record.region) {
            let key = (&record.region, &place.region, record.start_us / SECOND);
            *seconds.entry(key).or_default() += 1;
        }
    }
    let mut most = BTreeMap::new();
    for ((from, to, _), count) in seconds {
        let entry = most.entry((Arc::clone(from), Arc::clone(to))).or_insert(0);
        *entry = count.max(*entry);
    }
    most
}

/// The longest time from the announcement of a drain until the target's last work ended, in
/// milliseconds; none without a drain.
pub fn drain_ms(evidence: &Evidence) -> Option<f64> {
    let times = evidence.drains.iter().map(|drain| {
        let journal = evidence.journals.get(&drain.target);
        let entries = journal.into_iter().flat_map(|journal| &journal.entries);
        let ends = entries
            .filter(|entry| entry.began_us < drain.span.end)
            .map(|entry| entry.ended_us.unwrap_or(drain.span.end).min(drain.span.end));
        let last = ends.max().unwrap_or(drain.span.start);
        last.saturating_sub(drain.span.start) as f64 / 1000.0
    });
    times.max_by(f64::total_cmp)
}

/// The longest that a request ran at a target whose drain is observed, in milliseconds.
pub fn longest_ms(evidence: &Evidence) -> f64 {
    let draining: BTreeSet<_> = evidence.drains.iter().map(|d| &d.target).collect();
    let runs = evidence
        .runs()
        .filter(|(target, _)| draining.contains(target));
    let times = runs.filter_map(|(_, e)| Some(e.ended_us?.saturating_sub(e.began_us)));
    times.max().unwrap_or(0) as f64 / 1000.0
}

/// From a failure to the end of the last quarter of a second in which more than
/// one call in a hundred of an idempotent class failed, in milliseconds.
pub fn error_window_ms<'a>(records: impl Iterator<Item = &'a Record>, failure: &Span) -> u64 {
    let mut buckets: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for record in records.filter(|record| failure.contains(&record.start_us)) {
        let at = (record.start_us - failure.start) / ERROR_BUCKET_US;
        let (all, failed) = buckets.entry(at).or_default();
        *all += 1;
        *failed += u64::from(record.outcome != Outcome::Answered);
    }
    let is_bad = |(all, failed): &(u64, u64)| *failed as f64 > *all as f64 * ERROR_SHARE;
    let last = buckets.iter().rev().find(|(_, counts)| is_bad(counts));
    last.map_or(0, |(at, _)| (at + 1) * ERROR_BUCKET_US / 1000)
}

/// Calls answered during a span as a share of what could be: the calls offered then, or `capacity`
/// calls a second if that is less. None without calls.
pub fn goodput<'a>(
    records: impl Iterator<Item = &'a Record>,
    span: &Span,
    capacity: f64,
) -> Option<f64> {
    let (mut offered, mut answered) = (0_u64, 0_u64);
    for record in records.filter(|record| span.contains(&record.start_us)) {
        offered += 1;
        answered += u64::from(record.outcome == Outcome::Answered);
    }
    let seconds = (span.end - span.start) as f64 / SECOND as f64;
    let possible = (offered as f64).min(capacity * seconds);
    (offered > 0 && possible > 0.0).then(|| answered as f64 / possible)
}

/// Mean attempts of the calls of a span.
pub fn attempts<'a>(records: impl Iterator<Item = &'a Record>, span: &Span) -> f64 {
    let (mut calls, mut attempts) = (0_u64, 0);
    for record in records.filter(|record| span.contains(&record.start_us)) {
        calls += 1;
        attempts += record.attempts.len() as u64;
    }
    attempts as f64 / calls.max(1) as f64
}

/// The share of a span's answered calls that another attempt had been told did not run.
pub fn resent<'a>(records: impl Iterator<Item = &'a Record>, span: &Span) -> f64 {
    let in_span = records.filter(|record| span.contains(&record.start_us));
    let (mut answered, mut resent) = (0_u64, 0_u64);
    for record in in_span.filter(|record| record.outcome == Outcome::Answered) {
        let is_refused = |a: &crate::caller::Attempt| a.is_reported && a.outcome == Outcome::NotRun;
        answered += 1;
        resent += u64::from(record.attempts.iter().any(is_refused));
    }
    resent as f64 / answered.max(1) as f64
}
