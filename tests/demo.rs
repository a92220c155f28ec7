//! The demo: its observer can see each broken promise, and the command runs.

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

const SECOND: u64 = 1_000_000;
/// When the fabricated runs begin.
const START: u64 = 1_000 * SECOND;

/// Two regions, `north` with two zones; targets of four slots.
fn world() -> Deployment {
    let place = |service: &str, zone: &str, region: &str| TargetInfo {
        service: service.into(),
        zone: zone.into(),
        region: region.into(),
        slots: 4,
    };
    let cap = |share, seconds| Cap {
        share,
        window_us: seconds * SECOND,
    };
    Deployment {
        targets: BTreeMap::from([
            ("t-1".into(), place("checks", "north-a", "north")),
            ("t-2".into(), place("checks", "north-b", "north")),
            ("t-3".into(), place("checks", "south-a", "south")),
        ]),
        planned_cap: cap(0.05, 60),
        failover_cap: cap(0.5, 10),
        utilization: 0.8,
        client_blocks: 1_000,
    }
}

fn attempt(host: &str, outcome: Outcome, told: bool) -> Attempt {
    Attempt {
        host: host.into(),
        outcome,
        status: if told { 503 } else { 0 },
        is_reported: told,
        error: None,
    }
}

/// A call from `north`, answered by `target` at once.
fn call(id: &str, at: u64, target: &str) -> Record {
    let place = world().targets[target].clone();
    Record {
        call: id.into(),
        class: "check".into(),
        service: place.service,
        region: "north".into(),
        start_us: at,
        latency_us: 1000,
        outcome: Outcome::Answered,
        key: None,
        ticket: None,
        target: Some(target.into()),
        zone: Some(place.zone),
        attempts: vec![attempt("ent-1", Outcome::Answered, true)],
    }
}

/// The same call without an answer.
fn failed(id: &str, outcome: Outcome, told: bool) -> Record {
    Record {
        outcome,
        target: None,
        zone: None,
        attempts: vec![attempt("ent-1", outcome, told)],
        ..call(id, START, "t-1")
    }
}

/// A run of a call from `at` for `time` microseconds.
fn run(id: &str, at: u64, time: u64) -> Entry {
    Entry {
        call: Some(id.into()),
        request: None,
        key: None,
        line: "GET /call".into(),
        body_hash: "".into(),
        body_length: 0,
        client: "".into(),
        began_us: at,
        ended_us: Some(at + time),
        completed: true,
    }
}

fn keyed(id: &str, at: u64) -> Entry {
    Entry {
        key: Some(id.into()),
        ..run(id, at, 1000)
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

/// Calls answered by targets, each with its run.
fn answered(calls: impl IntoIterator<Item = (u64, &'static str)>) -> Evidence {
    let mut evidence = Evidence::default();
    let mut runs = Vec::new();
    for (number, (at, target)) in calls.into_iter().enumerate() {
        let id = format!("c-{number}");
        evidence.records.push(call(&id, at, target));
        runs.push((target, run(&id, at, 1000)));
    }
    evidence.journals = journals(runs);
    evidence
}

/// 1,000 calls a second for eight seconds; `share` of those of the last four in `t-2`, else `t-1`.
fn moved(share: f64) -> Evidence {
    let calls = (0..8_000_u64).map(|n| {
        let is_moved = n >= 4_000 && ((n % 100) as f64) < share * 100.0;
        (START + n * 1000, if is_moved { "t-2" } else { "t-1" })
    });
    answered(calls)
}

/// Calls of which all but `kept` in a hundred are refused in the third to the fifth second, and which
/// `then` answers afterwards; `t-1` answers the others.
fn refused(kept: u64, then: &'static str) -> Evidence {
    let second = |n: u64| n / 1000;
    let calls = (0..8_000_u64)
        .filter(|&n| !(2..5).contains(&second(n)) || n % 100 < kept)
        .map(|n| (START + n * 1000, if second(n) < 5 { "t-1" } else { then }));
    let mut evidence = answered(calls);
    let lost = (0..8_000_u64).filter(|&n| (2..5).contains(&second(n)) && n % 100 >= kept);
    evidence.records.extend(lost.map(|n| Record {
        start_us: START + n * 1000,
        ..failed(&format!("r-{n}"), Outcome::NotRun, true)
    }));
    evidence
}

fn with_failure(evidence: Evidence) -> Evidence {
    let failure = START + 3 * SECOND..START + 20 * SECOND;
    Evidence {
        failures: Vec::from([failure]),
        ..evidence
    }
}

/// `foreign` calls of another region among those that keep `slots` slots of `t-3` busy for a second.
fn busy(slots: u64, foreign: usize) -> Evidence {
    let mut evidence = Evidence::default();
    let mut runs = Vec::new();
    for slot in 0..slots {
        let id = format!("c-{slot}");
        let mut record = call(&id, START, "t-3");
        if slot as usize >= foreign {
            record.region = "south".into();
        }
        evidence.records.push(record);
        runs.push(("t-3", run(&id, START, SECOND)));
    }
    evidence.journals = journals(runs);
    evidence
}

fn draining(at: u64) -> Vec<Drain> {
    vec![Drain {
        target: "t-1".into(),
        span: at..at + 60 * SECOND,
    }]
}

fn stopped() -> Vec<Stop> {
    vec![Stop {
        host: "ent-1".into(),
        span: START - SECOND..START + SECOND,
    }]
}

fn one(record: Record, runs: Vec<(&str, Entry)>) -> Evidence {
    Evidence {
        records: vec![record],
        journals: journals(runs),
        ..Evidence::default()
    }
}

fn samples(revisions: &[(u64, u64)]) -> Evidence {
    let samples = revisions
        .iter()
        .zip(START..)
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

/// A work that the target cut, of a call that got `outcome`.
fn cut_work(outcome: Outcome) -> Evidence {
    let cut = Entry {
        completed: false,
        ..run("c", START, 1000)
    };
    let record = match outcome {
        Outcome::Answered => call("c", START, "t-2"),
        _ => failed("c", outcome, true),
    };
    Evidence {
        drains: draining(START - SECOND),
        ..one(record, vec![("t-1", cut), ("t-2", run("c", START, 1000))])
    }
}

/// Cases: evidence, and the one promise that it shows broken, or none.
macro_rules! case {
    ($($name:ident: $evidence:expr => $promise:expr;)*) => {$(
        #[test]
        fn $name() {
            let promise: Option<Invariant> = $promise;
            let found = find_violations(&world(), &$evidence);
            assert_eq!(found.is_empty(), promise.is_none(), "{found:?}");
            assert!(found.iter().all(|v| Some(v.invariant) == promise), "{found:?}");
        }
    )*};
}

case! {
    nothing_at_all: Evidence::default() => None;
    steady_calls: moved(0.0) => None;
    a_move_within_the_cap: moved(0.04) => None;
    a_move_beyond_the_cap: moved(0.2) => Some(Invariant::ShiftCap);
    a_failover_within_its_cap: with_failure(moved(0.5)) => None;
    a_return_after_refusals: refused(2, "t-1") => None;
    a_move_after_refusals: refused(2, "t-2") => Some(Invariant::ShiftCap);
    a_failover_after_refusals: with_failure(refused(0, "t-2")) => Some(Invariant::ShiftCap);
    a_failover_beyond_its_cap: with_failure(moved(0.7)) => Some(Invariant::ShiftCap);
    calls_refused_are_not_moved: {
        let mut evidence = moved(0.0);
        for record in evidence.records.iter_mut().skip(4_000).step_by(2) {
            record.outcome = Outcome::NotRun;
            record.attempts = vec![attempt("ent-1", Outcome::NotRun, false)];
        }
        evidence
    } => None;
    a_region_its_own_callers_fill: busy(4, 0) => None;
    a_region_within_the_limit: busy(3, 1) => None;
    a_region_filled_from_elsewhere: busy(4, 1) => Some(Invariant::Overload);
    a_lost_target_has_no_slots: Evidence {
        losses: vec![Loss { target: "t-3".into(), span: START..START + SECOND }],
        ..busy(1, 1)
    } => Some(Invariant::Overload);
    a_target_that_shed: Evidence {
        sheds: BTreeMap::from([("t-1".into(), 1)]),
        ..Evidence::default()
    } => Some(Invariant::Overload);
    an_answer_of_another: {
        let mut record = failed("c", Outcome::Wrong, true);
        record.attempts[0].error = Some("the answer is another call's".into());
        one(record, vec![])
    } => Some(Invariant::WrongAnswer);
    an_answer_that_nobody_ran: one(call("c", START, "t-1"), vec![]) => Some(Invariant::WrongAnswer);
    an_answer_of_work_that_was_cut: one(
        call("c", START, "t-1"),
        vec![("t-1", Entry { completed: false, ..run("c", START, 1000) })],
    ) => Some(Invariant::WrongAnswer);
    a_true_not_run: one(failed("c", Outcome::NotRun, true), vec![]) => None;
    a_false_not_run: one(
        failed("c", Outcome::NotRun, true),
        vec![("t-1", run("c", START, 1000))],
    ) => Some(Invariant::FalseNotRun);
    an_unknown_that_ran: one(
        failed("c", Outcome::Unknown, true),
        vec![("t-1", run("c", START, 1000))],
    ) => None;
    a_key_that_ran_once: one(call("k", START, "t-1"), vec![("t-1", keyed("k", START))]) => None;
    a_key_that_ran_twice: one(
        call("k", START, "t-1"),
        vec![("t-1", keyed("k", START)), ("t-2", keyed("k", START))],
    ) => Some(Invariant::RanTwice);
    an_idempotent_call_that_ran_twice: one(
        call("c", START, "t-1"),
        vec![("t-1", run("c", START, 1000)), ("t-2", run("c", START, 1000))],
    ) => None;
    work_soon_after_a_drain: Evidence {
        drains: draining(START - 2 * SECOND),
        ..answered([(START, "t-1")])
    } => None;
    work_late_after_a_drain: Evidence {
        drains: draining(START - 3 * SECOND),
        ..answered([(START, "t-1")])
    } => Some(Invariant::LateNewWork);
    work_after_the_drain_was_taken_back: Evidence {
        drains: vec![Drain { target: "t-1".into(), span: START - 9 * SECOND..START - SECOND }],
        ..answered([(START, "t-1")])
    } => None;
    a_call_cut_by_a_stop: Evidence {
        stops: stopped(),
        ..one(failed("c", Outcome::Unknown, false), vec![])
    } => Some(Invariant::CutRequest);
    a_call_cut_without_a_stop: one(failed("c", Outcome::Unknown, false), vec![]) => None;
    an_orphan_of_a_stop: Evidence {
        stops: stopped(),
        ..one(
            Record { ticket: Some("ent-1.7".into()), ..failed("c", Outcome::Unknown, true) },
            vec![],
        )
    } => Some(Invariant::CutRequest);
    an_orphan_of_another_host: Evidence {
        stops: stopped(),
        ..one(
            Record { ticket: Some("ent-12.7".into()), ..failed("c", Outcome::Unknown, true) },
            vec![],
        )
    } => None;
    work_cut_by_a_drain: cut_work(Outcome::Unknown) => Some(Invariant::CutRequest);
    a_second_copy_cut_in_a_drain: cut_work(Outcome::Answered) => None;
    revisions_that_rise: samples(&[(1, 0), (1, 2), (1, 2), (1, 5)]) => None;
    a_host_started_anew: samples(&[(1, 5), (2, 0), (2, 5)]) => None;
    a_revision_that_falls: samples(&[(1, 5), (1, 4)]) => Some(Invariant::ConfigRevert);
    a_change_that_got_lost: Evidence {
        reverted: vec!["80-race.json".into()],
        ..Evidence::default()
    } => Some(Invariant::ConfigRevert);
}

#[test]
fn headroom_is_the_least_free_share() {
    let evidence = busy(3, 0);
    let headroom = statistics::headroom(&world(), &evidence);
    assert_eq!(headroom["south"], 0.25);
    assert_eq!(headroom["north"], 1.0);
}

#[test]
fn a_drain_lasts_until_the_last_work_ends() {
    let mut evidence = answered([(START, "t-1"), (START, "t-2")]);
    assert_eq!(statistics::longest_drain_ms(&evidence), None);
    evidence.drains = draining(START - 2 * SECOND);
    assert_eq!(statistics::longest_drain_ms(&evidence), Some(2001.0));
}

#[test]
fn the_error_window_ends_with_the_last_failures() {
    let mut evidence = moved(0.0);
    let failure = START + SECOND..START + 8 * SECOND;
    let window = |e: &Evidence| statistics::error_window_ms(e.records.iter(), &failure);
    assert_eq!(window(&evidence), 0);
    for record in &mut evidence.records[1_000..2_100] {
        record.outcome = Outcome::NotRun;
    }
    assert_eq!(window(&evidence), 1_250);
}

#[test]
fn goodput_is_what_was_answered_of_what_could_be() {
    let mut evidence = moved(0.0);
    for record in evidence.records.iter_mut().step_by(2) {
        record.outcome = Outcome::NotRun;
    }
    let span = START..START + 8 * SECOND;
    let goodput = |capacity| statistics::goodput(evidence.records.iter(), &span, capacity);
    assert_eq!(goodput(2_000.0), Some(0.5));
    assert_eq!(goodput(500.0), Some(1.0));
}

fn demo(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ragwortfold"))
        .arg("demo")
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn an_unknown_fault_lists_the_names() {
    let output = demo(&["--fault", "flood"]);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("host-replace, burst, all"), "{error}");
    assert_eq!(output.status.code(), Some(2));
}

/// A quiet run, with a rate that a crowded machine carries.
#[test]
fn a_run_prints_one_object() {
    let output = demo(&["caroni", "--seconds", "3", "--rate", "0.02", "--json"]);
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
    for place in ["north", "north-south"] {
        assert!(printed["headroom"][place].is_number(), "{printed}");
    }
    assert!(printed["drain_ms"].is_null(), "{printed}");
    let violations = printed["violations"].as_object().unwrap();
    assert_eq!(violations.len(), Invariant::ALL.len());
    assert!(violations.values().all(|count| count == 0), "{printed}");
    assert_eq!(output.status.code(), Some(0), "{error}");
}
