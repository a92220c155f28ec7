//! Statistics of a run: headroom, cross-region calls, drain time, error window, goodput, attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{is_overlapping, Deployment, Evidence, Span, SECOND_US};
use crate::caller::{Outcome, Record};

/// Length of the buckets in which failed calls are counted for the error window.
const ERROR_BUCKET_US: u64 = SECOND_US / 4;
/// A bucket belongs to the error window if a larger share of its calls failed.
const MAX_ERROR_SHARE: f64 = 0.01;

/// The smallest share of free slots that any service had in each region at any time. Lost targets
/// count neither as capacity nor as load while they are lost.
pub fn headroom(deployment: &Deployment, evidence: &Evidence) -> BTreeMap<Arc<str>, f64> {
    let mut regions: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    let targets = deployment.targets.values();
    let sites: BTreeSet<_> = targets.map(|info| (&info.service, &info.region)).collect();
    for (service, region) in sites {
        let headroom = site_headroom(deployment, evidence, service, region);
        let entry = regions.entry(Arc::clone(region)).or_insert(1.0);
        *entry = entry.min(headroom);
    }
    regions
}

/// The smallest share of free slots that a service had in one region.
fn site_headroom(deployment: &Deployment, evidence: &Evidence, service: &str, region: &str) -> f64 {
    let info_at_site = |name: &Arc<str>| {
        let info = deployment.targets.get(name);
        info.filter(|info| &*info.service == service && &*info.region == region)
    };
    // Time, change of the load and change of the slots. If sorted, ends come before beginnings of the same time.
    let mut changes: Vec<(u64, i64, i64)> = Vec::new();
    for (target, entry) in evidence
        .journal_entries()
        .filter(|(target, _)| info_at_site(target).is_some())
    {
        let span = entry.began_us..entry.ended_us.unwrap_or(u64::MAX);
        let is_match =
            |loss: &&super::Loss| loss.target == *target && is_overlapping(&loss.span, &span);
        let lost_at = evidence
            .losses
            .iter()
            .find(is_match)
            .map(|loss| loss.span.start);
        let end = lost_at.map_or(span.end, |lost_at| span.end.min(lost_at.max(span.start)));
        changes.push((span.start, 1, 0));
        changes.push((end, -1, 0));
    }
    for loss in &evidence.losses {
        if let Some(info) = info_at_site(&loss.target) {
            let slots = i64::from(info.slots);
            changes.push((loss.span.start, 0, -slots));
            changes.push((loss.span.end, 0, slots));
        }
    }
    changes.sort_unstable();
    let infos = deployment.targets.keys().filter_map(info_at_site);
    let mut slots: i64 = infos.map(|info| i64::from(info.slots)).sum();
    let (mut load, mut headroom) = (0, 1.0_f64);
    for (_, load_change, slots_change) in changes {
        load += load_change;
        slots += slots_change;
        if slots > 0 {
            headroom = headroom.min((slots - load) as f64 / slots as f64);
        }
    }
    headroom
}

/// The most calls in a second that were answered in another region than their caller's, by the
/// caller's and the target's region.
pub fn peak_cross_region_calls(
    deployment: &Deployment,
    evidence: &Evidence,
) -> BTreeMap<(Arc<str>, Arc<str>), u64> {
    let mut seconds: BTreeMap<(&Arc<str>, &Arc<str>, u64), u64> = BTreeMap::new();
    for record in &evidence.records {
        let info = record
            .target
            .as_ref()
            .and_then(|target| deployment.targets.get(target));
        if let Some(info) = info.filter(|info| info.region != record.region) {
            let key = (&record.region, &info.region, record.start_us / SECOND_US);
            *seconds.entry(key).or_default() += 1;
        }
    }
    let mut peaks = BTreeMap::new();
    for ((from, to, _), count) in seconds {
        let peak = peaks.entry((Arc::clone(from), Arc::clone(to))).or_insert(0);
        *peak = count.max(*peak);
    }
    peaks
}

/// The longest time from the announcement of a drain until the target's last request ended, in
/// milliseconds; none without a drain.
pub fn longest_drain_ms(evidence: &Evidence) -> Option<f64> {
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

/// The longest time that a request ran at a target that was drained during the run, in milliseconds.
pub fn longest_run_ms(evidence: &Evidence) -> f64 {
    let drained: BTreeSet<_> = evidence.drains.iter().map(|drain| &drain.target).collect();
    let runs = evidence
        .journal_entries()
        .filter(|(target, _)| drained.contains(target));
    let times = runs.filter_map(|(_, entry)| Some(entry.ended_us?.saturating_sub(entry.began_us)));
    times.max().unwrap_or(0) as f64 / 1000.0
}

/// The time from a failure to the end of the last quarter of a second in which more than one call in
/// a hundred failed, in milliseconds. The records should be those of an idempotent class.
pub fn error_window_ms<'a>(records: impl Iterator<Item = &'a Record>, failure: &Span) -> u64 {
    let mut buckets: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for record in records.filter(|record| failure.contains(&record.start_us)) {
        let at = (record.start_us - failure.start) / ERROR_BUCKET_US;
        let (calls, failed) = buckets.entry(at).or_default();
        *calls += 1;
        *failed += u64::from(record.outcome != Outcome::Answered);
    }
    let is_over = |(calls, failed): &(u64, u64)| *failed as f64 > *calls as f64 * MAX_ERROR_SHARE;
    let last = buckets.iter().rev().find(|(_, counts)| is_over(counts));
    last.map_or(0, |(at, _)| (at + 1) * ERROR_BUCKET_US / 1000)
}

/// The calls of a span that were answered, as a share of those that could be: the calls offered, or
/// `capacity` calls a second if that is less. None without calls.
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
    let seconds = (span.end - span.start) as f64 / SECOND_US as f64;
    let possible = (offered as f64).min(capacity * seconds);
    (offered > 0 && possible > 0.0).then(|| answered as f64 / possible)
}

/// The mean number of attempts of the calls of a span.
pub fn mean_attempts<'a>(records: impl Iterator<Item = &'a Record>, span: &Span) -> f64 {
    let (mut calls, mut attempts) = (0_u64, 0);
    for record in records.filter(|record| span.contains(&record.start_us)) {
        calls += 1;
        attempts += record.attempts.len() as u64;
    }
    attempts as f64 / calls.max(1) as f64
}

/// The share of a span's answered calls that had an earlier attempt reported as not run.
pub fn resent_share<'a>(records: impl Iterator<Item = &'a Record>, span: &Span) -> f64 {
    let in_span = records.filter(|record| span.contains(&record.start_us));
    let (mut answered, mut resent) = (0_u64, 0_u64);
    for record in in_span.filter(|record| record.outcome == Outcome::Answered) {
        let is_refused = |attempt: &crate::caller::Attempt| {
            attempt.is_reported && attempt.outcome == Outcome::NotRun
        };
        answered += 1;
        resent += u64::from(record.attempts.iter().any(is_refused));
    }
    resent as f64 / answered.max(1) as f64
}
