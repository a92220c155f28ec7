//! The promises on single calls, drains, stops and the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{overlap, violation, Evidence, Promise, Sample, Violation, SECOND};
use crate::caller::{Attempt, Outcome, Record};

/// Time after the announcement of a drain in which a target may still begin new work.
pub const DRAIN_NOTICE_US: u64 = 2 * SECOND;
/// Allowance on that time for the observer's own delay: work that was under way to the target, and
/// threads that wait for a processor.
pub const DRAIN_ALLOWANCE_US: u64 = SECOND / 4;

pub(super) fn violations(evidence: &Evidence) -> Vec<Violation> {
    let runs = runs_by_call(evidence);
    let mut found = Vec::new();
    for record in &evidence.records {
        found.extend(wrong_answer(record, &runs));
        found.extend(false_not_run(record, &runs));
    }
    found.extend(ran_twice(evidence));
    found.extend(late_new_work(evidence));
    found.extend(cut_by_stop(evidence));
    found.extend(cut_by_drain(evidence));
    found.extend(config_revert(evidence));
    found
}

/// Targets that began each call, and whether they ran it to its end.
type Runs<'a> = BTreeMap<&'a str, Vec<(&'a Arc<str>, bool)>>;

fn runs_by_call(evidence: &Evidence) -> Runs<'_> {
    let mut runs = Runs::new();
    for (target, entry) in evidence.runs() {
        if let Some(call) = &entry.call {
            let run = (target, entry.completed);
            runs.entry(call).or_default().push(run);
        }
    }
    runs
}

/// An answer that is another's or not whole, or that no target gave.
fn wrong_answer(record: &Record, runs: &Runs<'_>) -> Option<Violation> {
    let wrong = |why: &str| {
        let what = format!("{}: {why}", record.call);
        Some(violation(Promise::WrongAnswer, what))
    };
    if let Some(attempt) = record.attempts.iter().find(|a| a.outcome == Outcome::Wrong) {
        return wrong(attempt.error.as_deref().unwrap_or("another's answer"));
    }
    if record.outcome != Outcome::Answered {
        return None;
    }
    let Some(target) = &record.target else {
        // An answer of a host's own, such as 404, names no target.
        let status = record.attempts.last().map_or(0, |a| a.status);
        return (status < 400)
            .then(|| wrong("no target is named"))
            .flatten();
    };
    let ran = runs.get(&*record.call).into_iter().flatten();
    let is_true = ran.into_iter().any(|(at, done)| *at == target && *done);
    (!is_true)
        .then(|| wrong("the named target did not run it"))
        .flatten()
}

/// A call that was told not to have run, and ran.
fn false_not_run(record: &Record, runs: &Runs<'_>) -> Option<Violation> {
    let is_told = record.attempts.iter().any(|attempt| attempt.is_reported);
    let ran = runs.get(&*record.call)?;
    if record.outcome != Outcome::NotRun || !is_told {
        return None;
    }
    let what = format!("{}: told not-run, ran at {}", record.call, ran[0].0);
    Some(violation(Promise::FalseNotRun, what))
}

/// A key that began to run more than once.
fn ran_twice(evidence: &Evidence) -> Vec<Violation> {
    let mut keys: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (target, entry) in evidence.runs() {
        if let Some(key) = &entry.key {
            keys.entry(key).or_default().push(target);
        }
    }
    let twice = keys.into_iter().filter(|(_, targets)| targets.len() > 1);
    twice
        .map(|(key, targets)| {
            let what = format!("{key}: began at {}", targets.join(", "));
            violation(Promise::RanTwice, what)
        })
        .collect()
}

/// Work that a draining target began too late.
fn late_new_work(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &evidence.drains {
        let last = drain.span.start + DRAIN_NOTICE_US + DRAIN_ALLOWANCE_US;
        let journal = evidence.journals.get(&drain.target);
        let entries = journal.into_iter().flat_map(|journal| &journal.entries);
        for entry in entries.filter(|e| e.began_us > last && e.began_us < drain.span.end) {
            let late = (entry.began_us - drain.span.start) / 1000;
            let what = format!("{}: began work {late} ms after its drain", drain.target);
            found.push(violation(Promise::LateNewWork, what));
        }
    }
    found
}

/// Calls whose connection broke at a host that was told to stop, and keyed calls that only this host
/// could run and of which no other host can say what became of them.
fn cut_by_stop(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &evidence.stops {
        for record in &evidence.records {
            let span = record.start_us..record.start_us + record.latency_us + 1;
            let is_cut = |a: &Attempt| a.host == stop.host && is_cut(a);
            let is_cut = record.attempts.iter().any(is_cut) || is_orphan(record, &stop.host);
            if overlap(&span, &stop.span) && is_cut {
                let what = format!("{}: cut at {}", record.call, stop.host);
                found.push(violation(Promise::CutRequest, what));
            }
        }
    }
    found
}

/// Whether a call of unknown outcome bears the ticket of a host.
fn is_orphan(record: &Record, host: &str) -> bool {
    let ticket = record.ticket.as_deref().and_then(|t| t.strip_prefix(host));
    record.outcome == Outcome::Unknown && ticket.is_some_and(|rest| rest.starts_with('.'))
}

/// Whether an attempt ended without a word on what became of it.
fn is_cut(attempt: &Attempt) -> bool {
    attempt.outcome == Outcome::Unknown && !attempt.is_reported
}

/// Work that a draining target did not run to its end, though it was not lost meanwhile.
fn cut_by_drain(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &evidence.drains {
        let is_lost = evidence
            .losses
            .iter()
            .any(|loss| loss.target == drain.target && overlap(&loss.span, &drain.span));
        let journal = evidence.journals.get(&drain.target).filter(|_| !is_lost);
        let entries = journal.into_iter().flat_map(|journal| &journal.entries);
        let in_drain = entries.filter(|e| {
            let end = e.ended_us.unwrap_or(u64::MAX);
            overlap(&(e.began_us..end), &drain.span) && !e.completed
        });
        for entry in in_drain.filter(|entry| !is_answered(evidence, entry.call.as_deref())) {
            let call = entry.call.as_deref().unwrap_or("a request");
            let what = format!("{call}: cut at {}", drain.target);
            found.push(violation(Promise::CutRequest, what));
        }
    }
    found
}

/// Whether a call got its answer, so that a second copy of it may well be cancelled.
fn is_answered(evidence: &Evidence, call: Option<&str>) -> bool {
    let Some(call) = call else {
        return false;
    };
    let mut records = evidence.records.iter();
    records.any(|record| &*record.call == call && record.outcome == Outcome::Answered)
}

/// Hosts whose revision fell, and changes that got lost. A host that starts anew starts from nothing.
fn config_revert(evidence: &Evidence) -> Vec<Violation> {
    let reverted = evidence.reverted.iter();
    let mut found: Vec<_> = reverted
        .map(|what| violation(Promise::ConfigRevert, what.to_string()))
        .collect();
    for (host, samples) in &evidence.revisions {
        let mut highest: BTreeMap<u64, u64> = BTreeMap::new();
        for Sample {
            incarnation,
            revision,
            ..
        } in samples
        {
            let known = highest.entry(*incarnation).or_default();
            if revision < known {
                let what = format!("{host}: from revision {known} to {revision}");
                found.push(violation(Promise::ConfigRevert, what));
            }
            *known = (*known).max(*revision);
        }
    }
    found
}
