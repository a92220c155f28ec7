//! Checks of the invariants of single calls, drains, stops and the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{is_overlapping, violation, Evidence, Invariant, RevisionSample, Violation, SECOND_US};
use crate::caller::{Attempt, Outcome, Record};

/// Time after the announcement of a drain in which a target may still begin new requests.
pub const DRAIN_NOTICE_US: u64 = 2 * SECOND_US;
/// Allowance on that time for delays of the measurement: requests in flight to the target, and
/// threads that wait for a processor.
pub const DRAIN_ALLOWANCE_US: u64 = SECOND_US / 4;

pub(super) fn violations(evidence: &Evidence) -> Vec<Violation> {
    let runs = runs_by_call(evidence);
    let mut found = Vec::new();
    for record in &evidence.records {
        found.extend(wrong_answer(record, &runs));
        found.extend(false_not_run(record, &runs));
    }
    found.extend(ran_twice(evidence));
    found.extend(late_new_work(evidence));
    found.extend(interrupted_by_stop(evidence));
    found.extend(interrupted_by_drain(evidence));
    found.extend(config_revert(evidence));
    found
}

/// The targets that began to run each call, and whether the call completed there.
type Runs<'a> = BTreeMap<&'a str, Vec<(&'a Arc<str>, bool)>>;

fn runs_by_call(evidence: &Evidence) -> Runs<'_> {
    let mut runs = Runs::new();
    for (target, entry) in evidence.journal_entries() {
        if let Some(call) = &entry.call {
            let run = (target, entry.completed);
            runs.entry(call).or_default().push(run);
        }
    }
    runs
}

/// A response that is incomplete, belongs to another call, or that the named target can't have sent.
fn wrong_answer(record: &Record, runs: &Runs<'_>) -> Option<Violation> {
    let wrong = |reason: &str| {
        let description = format!("{}: {reason}", record.call);
        Some(violation(Invariant::WrongAnswer, description))
    };
    if let Some(attempt) = record.attempts.iter().find(|a| a.outcome == Outcome::Wrong) {
        return wrong(
            attempt
                .error
                .as_deref()
                .unwrap_or("the response belongs to another call"),
        );
    }
    if record.outcome != Outcome::Answered {
        return None;
    }
    let Some(target) = &record.target else {
        // A response that the host itself generates, such as 404, names no target.
        let status = record.attempts.last().map_or(0, |a| a.status);
        return (status < 400)
            .then(|| wrong("the response names no target"))
            .flatten();
    };
    let ran = runs.get(&*record.call).into_iter().flatten();
    let has_run = ran
        .into_iter()
        .any(|(ran_at, is_completed)| *ran_at == target && *is_completed);
    (!has_run)
        .then(|| wrong("the target that the response names did not run the call"))
        .flatten()
}

/// A call that was reported as not run but did run.
fn false_not_run(record: &Record, runs: &Runs<'_>) -> Option<Violation> {
    let is_reported = record.attempts.iter().any(|attempt| attempt.is_reported);
    let ran = runs.get(&*record.call)?;
    if record.outcome != Outcome::NotRun || !is_reported {
        return None;
    }
    let description = format!(
        "{}: reported as not-run, but ran at {}",
        record.call, ran[0].0
    );
    Some(violation(Invariant::FalseNotRun, description))
}

/// Idempotency keys whose requests began to run more than once.
fn ran_twice(evidence: &Evidence) -> Vec<Violation> {
    let mut keys: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (target, entry) in evidence.journal_entries() {
        if let Some(key) = &entry.key {
            keys.entry(key).or_default().push(target);
        }
    }
    let twice = keys.into_iter().filter(|(_, targets)| targets.len() > 1);
    twice
        .map(|(key, targets)| {
            let description = format!("{key}: began to run at {}", targets.join(", "));
            violation(Invariant::RanTwice, description)
        })
        .collect()
}

/// Requests that a draining target began to run too late after the announcement.
fn late_new_work(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &evidence.drains {
        let latest_start = drain.span.start + DRAIN_NOTICE_US + DRAIN_ALLOWANCE_US;
        let journal = evidence.journals.get(&drain.target);
        let entries = journal.into_iter().flat_map(|journal| &journal.entries);
        for entry in entries.filter(|e| e.began_us > latest_start && e.began_us < drain.span.end) {
            let delay_ms = (entry.began_us - drain.span.start) / 1000;
            let description = format!(
                "{}: began a request {delay_ms} ms after its drain",
                drain.target
            );
            found.push(violation(Invariant::LateNewWork, description));
        }
    }
    found
}

/// Calls whose connection failed at a host during its planned stop, and non-idempotent calls of unknown
/// outcome with a ticket of that host, of which no other host can report the outcome.
fn interrupted_by_stop(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &evidence.stops {
        for record in &evidence.records {
            let span = record.start_us..record.start_us + record.latency_us + 1;
            let is_interrupted =
                |attempt: &Attempt| attempt.host == stop.host && is_broken(attempt);
            let is_interrupted =
                record.attempts.iter().any(is_interrupted) || is_orphan(record, &stop.host);
            if is_overlapping(&span, &stop.span) && is_interrupted {
                let description = format!("{}: interrupted at {}", record.call, stop.host);
                found.push(violation(Invariant::CutRequest, description));
            }
        }
    }
    found
}

/// Whether a call has an unknown outcome and a ticket of this host.
fn is_orphan(record: &Record, host: &str) -> bool {
    let ticket = record
        .ticket
        .as_deref()
        .and_then(|ticket| ticket.strip_prefix(host));
    record.outcome == Outcome::Unknown && ticket.is_some_and(|rest| rest.starts_with('.'))
}

/// Whether the connection of an attempt failed, so that its outcome is unknown.
fn is_broken(attempt: &Attempt) -> bool {
    attempt.outcome == Outcome::Unknown && !attempt.is_reported
}

/// Requests that did not complete at a draining target, although it was not lost meanwhile.
fn interrupted_by_drain(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &evidence.drains {
        let is_lost = evidence
            .losses
            .iter()
            .any(|loss| loss.target == drain.target && is_overlapping(&loss.span, &drain.span));
        let journal = evidence.journals.get(&drain.target).filter(|_| !is_lost);
        let entries = journal.into_iter().flat_map(|journal| &journal.entries);
        let in_drain = entries.filter(|e| {
            let end = e.ended_us.unwrap_or(u64::MAX);
            is_overlapping(&(e.began_us..end), &drain.span) && !e.completed
        });
        for entry in in_drain.filter(|entry| !is_answered(evidence, entry.call.as_deref())) {
            let call = entry.call.as_deref().unwrap_or("a request");
            let description = format!("{call}: interrupted at {}", drain.target);
            found.push(violation(Invariant::CutRequest, description));
        }
    }
    found
}

/// Whether a call was answered, so that a duplicate of it may have been cancelled.
fn is_answered(evidence: &Evidence, call: Option<&str>) -> bool {
    let Some(call) = call else {
        return false;
    };
    let mut records = evidence.records.iter();
    records.any(|record| &*record.call == call && record.outcome == Outcome::Answered)
}

/// Hosts whose revision decreased, and accepted changes that were lost. Each incarnation of a host may begin at any revision.
fn config_revert(evidence: &Evidence) -> Vec<Violation> {
    let reverted = evidence.reverted.iter();
    let mut found: Vec<_> = reverted
        .map(|description| violation(Invariant::ConfigRevert, description.to_string()))
        .collect();
    for (host, samples) in &evidence.revisions {
        let mut highest_revisions: BTreeMap<u64, u64> = BTreeMap::new();
        for RevisionSample {
            incarnation,
            revision,
            ..
        } in samples
        {
            let highest = highest_revisions.entry(*incarnation).or_default();
            if revision < highest {
                let description =
                    format!("{host}: revision decreased from {highest} to {revision}");
                found.push(violation(Invariant::ConfigRevert, description));
            }
            *highest = (*highest).max(*revision);
        }
    }
    found
}
