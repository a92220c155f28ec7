//! Tests that the observer of the demo detects each kind of violation, and that the command runs.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::process::{Command, Output};
use std::sync::Arc;

use standin::caller::{Attempt, Outcome, Record};
use standin::observer::{
    find_violations, statistics, Cap, Deployment, Drain, Evidence, Invariant, Loss, RevisionSample,
    Stop, TargetInfo,
};
use standin::target::{Entry, Journal};

const SECOND_US: u64 = 1_000_000;
/// Start of the fabricated evidence, in microseconds.
const START_US: u64 = 1_000 * SECOND_US;

/// Returns two regions, `north` with two zones and `south` with one; each zone has a target of four slots.
fn deployment() -> Deployment {
    let target_info = |service: &str, zone: &str, region: &str| TargetInfo {
        service: service.into(),
        zone: zone.into(),
        region: region.into(),
        slots: 4,
    };
    let cap = |share, seconds| Cap {
        share,
        window_us: seconds * SECOND_US,
    };
    Deployment {
        targets: BTreeMap::from([
            ("t-1".into(), target_info("checks", "north-a", "north")),
            ("t-2".into(), target_info("checks", "north-b", "north")),
            ("t-3".into(), target_info("checks", "south-a", "south")),
        ]),
        planned_cap: cap(0.05, 60),
        failover_cap: cap(0.5, 10),
        utilization: 0.8,
        client_blocks: 1_000,
    }
}

fn attempt(host: &str, outcome: Outcome, is_reported: bool) -> Attempt {
    Attempt {
        host: host.into(),
        outcome,
        status: if is_reported { 503 } else { 0 },
        is_reported,
        error: None,
    }
}

/// Returns a call from `north` that starts at `at` and is answered by `target` within a millisecond.
fn call(id: &str, at: u64, target: &str) -> Record {
    let target_info = deployment().targets[target].clone();
    Record {
        call: id.into(),
        class: "check".into(),
        service: target_info.service,
        region: "north".into(),
        start_us: at,
        latency_us: 1000,
        outcome: Outcome::Answered,
        key: None,
        ticket: None,
        target: Some(target.into()),
        zone: Some(target_info.zone),
        attempts: vec![attempt("ent-1", Outcome::Answered, true)],
    }
}

/// Returns a call that ended with `outcome` instead of an answer; `is_reported` if the host reported it.
fn failed_call(id: &str, outcome: Outcome, is_reported: bool) -> Record {
    Record {
        outcome,
        target: None,
        zone: None,
        attempts: vec![attempt("ent-1", outcome, is_reported)],
        ..call(id, START_US, "t-1")
    }
}

/// Returns the journal entry of a run that starts at `at` and takes `duration`, both in microseconds.
fn journal_entry(id: &str, at: u64, duration: u64) -> Entry {
    Entry {
        call: Some(id.into()),
        request: None,
        key: None,
        line: "GET /call".into(),
        body_hash: "".into(),
        body_length: 0,
        client: "".into(),
        began_us: at,
        ended_us: Some(at + duration),
        completed: true,
    }
}

/// Returns the journal entry of a run with an idempotency key.
fn keyed_entry(id: &str, at: u64) -> Entry {
    Entry {
        key: Some(id.into()),
        ..journal_entry(id, at, 1000)
    }
}

fn journals(runs: Vec<(&str, Entry)>) -> BTreeMap<Arc<str>, Journal> {
    let mut journals: BTreeMap<Arc<str>, Journal> = BTreeMap::new();
    for (target, entry) in runs {
        let journal = journals.entry(target.into()).or_default();
        journal.entries.push(entry);
    }
    journals
}

/// Returns evidence of answered calls, given by start and target, each with its run.
fn answered_calls(calls: impl IntoIterator<Item = (u64, &'static str)>) -> Evidence {
    let mut evidence = Evidence::default();
    let mut runs = Vec::new();
    for (number, (at, target)) in calls.into_iter().enumerate() {
        let id = format!("c-{number}");
        evidence.records.push(call(&id, at, target));
        runs.push((target, journal_entry(&id, at, 1000)));
    }
    evidence.journals = journals(runs);
    evidence
}

/// Returns evidence of 1,000 calls a second for eight seconds; `t-2` answers `share` of those of the last
/// four seconds, `t-1` all others.
fn shifted_calls(share: f64) -> Evidence {
    let calls = (0..8_000_u64).map(|n| {
        let is_shifted = n >= 4_000 && ((n % 100) as f64) < share * 100.0;
        (START_US + n * 1000, if is_shifted { "t-2" } else { "t-1" })
    });
    answered_calls(calls)
}

/// Returns evidence of calls of which all but `served_percent` are refused in the third to the fifth
/// second. `t-1` answers the others until then, and `later_target` answers all calls after that.
fn refused_calls(served_percent: u64, later_target: &'static str) -> Evidence {
    let second = |n: u64| n / 1000;
    let calls = (0..8_000_u64)
        .filter(|&n| !(2..5).contains(&second(n)) || n % 100 < served_percent)
        .map(|n| {
            (
                START_US + n * 1000,
                if second(n) < 5 { "t-1" } else { later_target },
            )
        });
    let mut evidence = answered_calls(calls);
    let refused =
        (0..8_000_u64).filter(|&n| (2..5).contains(&second(n)) && n % 100 >= served_percent);
    evidence.records.extend(refused.map(|n| Record {
        start_us: START_US + n * 1000,
        ..failed_call(&format!("r-{n}"), Outcome::NotRun, true)
    }));
    evidence
}

/// Adds a failure from 3 to 20 seconds after the start.
fn with_failure(evidence: Evidence) -> Evidence {
    let failure = START_US + 3 * SECOND_US..START_US + 20 * SECOND_US;
    Evidence {
        failures: Vec::from([failure]),
        ..evidence
    }
}

/// Returns evidence of calls that occupy `slots` slots of `t-3` for a second; the first
/// `foreign_calls` come from another region.
fn occupied_slots(slots: u64, foreign_calls: usize) -> Evidence {
    let mut evidence = Evidence::default();
    let mut runs = Vec::new();
    for slot in 0..slots {
        let id = format!("c-{slot}");
        let mut record = call(&id, START_US, "t-3");
        if slot as usize >= foreign_calls {
            record.region = "south".into();
        }
        evidence.records.push(record);
        runs.push(("t-3", journal_entry(&id, START_US, SECOND_US)));
    }
    evidence.journals = journals(runs);
    evidence
}

/// Returns a drain of `t-1` from `at` for 60 seconds.
fn drain_of_t1(at: u64) -> Vec<Drain> {
    vec![Drain {
        target: "t-1".into(),
        span: at..at + 60 * SECOND_US,
    }]
}

/// Returns a planned stop of `ent-1` from a second before the start to a second after it.
fn stop_of_ent_1() -> Vec<Stop> {
    vec![Stop {
        host: "ent-1".into(),
        span: START_US - SECOND_US..START_US + SECOND_US,
    }]
}

/// Returns evidence of one call and the given runs.
fn single_call(record: Record, runs: Vec<(&str, Entry)>) -> Evidence {
    Evidence {
        records: vec![record],
        journals: journals(runs),
        ..Evidence::default()
    }
}

/// Returns evidence of one host's samples, given as pairs of incarnation and revision.
fn revision_samples(revisions: &[(u64, u64)]) -> Evidence {
    let samples = revisions
        .iter()
        .zip(START_US..)
        .map(|(&(incarnation, revision), at)| RevisionSample {
            at,
            incarnation,
            revision,
        });
    Evidence {
        revisions: BTreeMap::from([("ent-1".into(), samples.collect())]),
        ..Evidence::default()
    }
}

/// Returns evidence of a run that a draining target aborted, for a call that ended with `outcome`.
fn aborted_run(outcome: Outcome) -> Evidence {
    let aborted = Entry {
        completed: false,
        ..journal_entry("c", START_US, 1000)
    };
    let record = match outcome {
        Outcome::Answered => call("c", START_US, "t-2"),
        _ => failed_call("c", outcome, true),
    };
    Evidence {
        drains: drain_of_t1(START_US - SECOND_US),
        ..single_call(
            record,
            vec![
                ("t-1", aborted),
                ("t-2", journal_entry("c", START_US, 1000)),
            ],
        )
    }
}

/// Defines tests by evidence and the only invariant that it violates, or none.
macro_rules! cases {
    ($($name:ident: $evidence:expr => $invariant:expr;)*) => {$(
        #[test]
        fn $name() {
            let invariant: Option<Invariant> = $invariant;
            let found = find_violations(&deployment(), &$evidence);
            assert_eq!(found.is_empty(), invariant.is_none(), "{found:?}");
            assert!(found.iter().all(|v| Some(v.invariant) == invariant), "{found:?}");
        }
    )*};
}

cases! {
    nothing_at_all: Evidence::default() => None;
    steady_calls: shifted_calls(0.0) => None;
    a_move_within_the_cap: shifted_calls(0.04) => None;
    a_move_beyond_the_cap: shifted_calls(0.2) => Some(Invariant::ShiftCap);
    a_failover_within_its_cap: with_failure(shifted_calls(0.5)) => None;
    a_return_after_refusals: refused_calls(2, "t-1") => None;
    a_move_after_refusals: refused_calls(2, "t-2") => Some(Invariant::ShiftCap);
    a_failover_after_refusals: with_failure(refused_calls(0, "t-2")) => Some(Invariant::ShiftCap);
    a_failover_beyond_its_cap: with_failure(shifted_calls(0.7)) => Some(Invariant::ShiftCap);
    calls_refused_are_not_moved: {
        let mut evidence = shifted_calls(0.0);
        for record in evidence.records.iter_mut().skip(4_000).step_by(2) {
            record.outcome = Outcome::NotRun;
            record.attempts = vec![attempt("ent-1", Outcome::NotRun, false)];
        }
        evidence
    } => None;
    a_region_its_own_callers_fill: occupied_slots(4, 0) => None;
    a_region_within_the_limit: occupied_slots(3, 1) => None;
    a_region_filled_from_elsewhere: occupied_slots(4, 1) => Some(Invariant::Overload);
    a_lost_target_has_no_slots: Evidence {
        losses: vec![Loss { target: "t-3".into(), span: START_US..START_US + SECOND_US }],
        ..occupied_slots(1, 1)
    } => Some(Invariant::Overload);
    a_target_that_shed: Evidence {
        sheds: BTreeMap::from([("t-1".into(), 1)]),
        ..Evidence::default()
    } => Some(Invariant::Overload);
    an_answer_of_another: {
        let mut record = failed_call("c", Outcome::Wrong, true);
        record.attempts[0].error = Some("the answer is another call's".into());
        single_call(record, vec![])
    } => Some(Invariant::WrongAnswer);
    an_answer_that_nobody_ran: single_call(call("c", START_US, "t-1"), vec![]) => Some(Invariant::WrongAnswer);
    an_answer_of_work_that_was_cut: single_call(
        call("c", START_US, "t-1"),
        vec![("t-1", Entry { completed: false, ..journal_entry("c", START_US, 1000) })],
    ) => Some(Invariant::WrongAnswer);
    a_true_not_run: single_call(failed_call("c", Outcome::NotRun, true), vec![]) => None;
    a_false_not_run: single_call(
        failed_call("c", Outcome::NotRun, true),
        vec![("t-1", journal_entry("c", START_US, 1000))],
    ) => Some(Invariant::FalseNotRun);
    an_unknown_that_ran: single_call(
        failed_call("c", Outcome::Unknown, true),
        vec![("t-1", journal_entry("c", START_US, 1000))],
    ) => None;
    a_key_that_ran_once: single_call(call("k", START_US, "t-1"), vec![("t-1", keyed_entry("k", START_US))]) => None;
    a_key_that_ran_twice: single_call(
        call("k", START_US, "t-1"),
        vec![("t-1", keyed_entry("k", START_US)), ("t-2", keyed_entry("k", START_US))],
    ) => Some(Invariant::RanTwice);
    an_idempotent_call_that_ran_twice: single_call(
        call("c", START_US, "t-1"),
        vec![("t-1", journal_entry("c", START_US, 1000)), ("t-2", journal_entry("c", START_US, 1000))],
    ) => None;
    work_soon_after_a_drain: Evidence {
        drains: drain_of_t1(START_US - 2 * SECOND_US),
        ..answered_calls([(START_US, "t-1")])
    } => None;
    work_late_after_a_drain: Evidence {
        drains: drain_of_t1(START_US - 3 * SECOND_US),
        ..answered_calls([(START_US, "t-1")])
    } => Some(Invariant::LateNewWork);
    work_after_the_drain_was_taken_back: Evidence {
        drains: vec![Drain { target: "t-1".into(), span: START_US - 9 * SECOND_US..START_US - SECOND_US }],
        ..answered_calls([(START_US, "t-1")])
    } => None;
    a_call_cut_by_a_stop: Evidence {
        stops: stop_of_ent_1(),
        ..single_call(failed_call("c", Outcome::Unknown, false), vec![])
    } => Some(Invariant::CutRequest);
    a_call_cut_without_a_stop: single_call(failed_call("c", Outcome::Unknown, false), vec![]) => None;
    an_unknown_call_with_a_ticket_of_a_stopped_host: Evidence {
        stops: stop_of_ent_1(),
        ..single_call(
            Record { ticket: Some("ent-1.7".into()), ..failed_call("c", Outcome::Unknown, true) },
            vec![],
        )
    } => Some(Invariant::CutRequest);
    an_unknown_call_with_a_ticket_of_another_host: Evidence {
        stops: stop_of_ent_1(),
        ..single_call(
            Record { ticket: Some("ent-12.7".into()), ..failed_call("c", Outcome::Unknown, true) },
            vec![],
        )
    } => None;
    work_cut_by_a_drain: aborted_run(Outcome::Unknown) => Some(Invariant::CutRequest);
    a_second_copy_cut_in_a_drain: aborted_run(Outcome::Answered) => None;
    revisions_that_rise: revision_samples(&[(1, 0), (1, 2), (1, 2), (1, 5)]) => None;
    a_host_started_anew: revision_samples(&[(1, 5), (2, 0), (2, 5)]) => None;
    a_revision_that_falls: revision_samples(&[(1, 5), (1, 4)]) => Some(Invariant::ConfigRevert);
    a_change_that_got_lost: Evidence {
        reverted: vec!["80-race.json".into()],
        ..Evidence::default()
    } => Some(Invariant::ConfigRevert);
}

#[test]
fn headroom_is_the_least_free_share() {
    let evidence = occupied_slots(3, 0);
    let headroom = statistics::headroom(&deployment(), &evidence);
    assert_eq!(headroom["south"], 0.25);
    assert_eq!(headroom["north"], 1.0);
}

#[test]
fn a_drain_lasts_until_the_last_work_ends() {
    let mut evidence = answered_calls([(START_US, "t-1"), (START_US, "t-2")]);
    assert_eq!(statistics::longest_drain_ms(&evidence), None);
    evidence.drains = drain_of_t1(START_US - 2 * SECOND_US);
    assert_eq!(statistics::longest_drain_ms(&evidence), Some(2001.0));
}

#[test]
fn the_error_window_ends_with_the_last_failures() {
    let mut evidence = shifted_calls(0.0);
    let failure = START_US + SECOND_US..START_US + 8 * SECOND_US;
    let window = |e: &Evidence| statistics::error_window_ms(e.records.iter(), &failure);
    assert_eq!(window(&evidence), 0);
    for record in &mut evidence.records[1_000..2_100] {
        record.outcome = Outcome::NotRun;
    }
    assert_eq!(window(&evidence), 1_250);
}

#[test]
fn goodput_is_what_was_answered_of_what_could_be() {
    let mut evidence = shifted_calls(0.0);
    for record in evidence.records.iter_mut().step_by(2) {
        record.outcome = Outcome::NotRun;
    }
    let span = START_US..START_US + 8 * SECOND_US;
    let goodput = |capacity| statistics::goodput(evidence.records.iter(), &span, capacity);
    assert_eq!(goodput(2_000.0), Some(0.5));
    assert_eq!(goodput(500.0), Some(1.0));
}

/// Runs `ragwortfold demo` with arguments.
fn run_demo(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ragwortfold"))
        .arg("demo")
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn an_unknown_fault_lists_the_names() {
    let output = run_demo(&["--fault", "flood"]);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("host-replace, burst, all"), "{error}");
    assert_eq!(output.status.code(), Some(2));
}

/// Runs without a fault, at a rate that a heavily loaded machine can serve.
#[test]
fn a_run_prints_one_object() {
    let output = run_demo(&["caroni", "--seconds", "3", "--rate", "0.02", "--json"]);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).expect(&error);
    for class in ["position-check", "allocation", "documents"] {
        let class = &printed["classes"][class];
        assert!(class["offered"].as_u64().unwrap() > 0, "{printed}");
        for key in [
            "answered", "not_run", "unknown", "p50_ms", "p99_ms", "p999_ms",
        ] {
            assert!(class[key].is_number(), "{printed}");
        }
    }
    for name in ["north", "north-south"] {
        assert!(printed["headroom"][name].is_number(), "{printed}");
    }
    assert!(printed["drain_ms"].is_null(), "{printed}");
    let violations = printed["violations"].as_object().unwrap();
    assert_eq!(violations.len(), Invariant::ALL.len());
    assert!(violations.values().all(|count| count == 0), "{printed}");
    assert_eq!(output.status.code(), Some(0), "{error}");
}
