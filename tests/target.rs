//! The contract with targets: a table of target faults, each tested for a service whose requests
//! may run twice and for one whose requests must not.
//!
//! The two targets of a row share one script and one count of runs. A request counts as run when the
//! target has read all of it, unless the target then reports that it did not run it.

#![allow(clippy::unwrap_used)]

mod cluster;
mod scripted;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};

use cluster::{send, Answer, TestCluster};
use scripted::{Behavior, Occurrence, ScriptedTargets};
use serde_json::json;
const ZONE: &str = "lima-a";
/// A deadline longer than the time-out of `send`: a request that is given up must be answered without waiting for it.
const LONG_DEADLINE_MS: &str = "60000";
const SHORT_DEADLINE_MS: &str = "400";

/// The answer that the caller must receive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The target's complete answer to this request.
    Complete,
    /// The target's answer with this status.
    Status(u16),
    /// 503 with `Retry-After`, and the request did not run.
    NotRun,
    /// This status, with the outcome `unknown`.
    Unknown(u16),
}

use Expected::{Complete, NotRun, Status, Unknown};

/// A test case: one fault and the expected answers.
#[derive(Clone, Copy)]
struct Row {
    name: &'static str,
    behavior: Behavior,
    occurrence: Occurrence,
    method: &'static str,
    body: usize,
    deadline: &'static str,
    requests: usize,
    idempotent: Expected,
    non_idempotent: Expected,
}

const fn row(
    behavior: Behavior,
    occurrence: Occurrence,
    idempotent: Expected,
    non_idempotent: Expected,
) -> Row {
    Row {
        name: "",
        behavior,
        occurrence,
        method: "POST",
        body: 10,
        deadline: LONG_DEADLINE_MS,
        requests: 1,
        idempotent,
        non_idempotent,
    }
}

const fn always(behavior: Behavior, idempotent: Expected, non_idempotent: Expected) -> Row {
    row(behavior, Occurrence::Always, idempotent, non_idempotent)
}

const fn first(behavior: Behavior, idempotent: Expected, non_idempotent: Expected) -> Row {
    row(behavior, Occurrence::First, idempotent, non_idempotent)
}

impl Row {
    const fn method(mut self, method: &'static str) -> Self {
        self.method = method;
        self.body = 0;
        self
    }

    const fn body(mut self, body: usize) -> Self {
        self.body = body;
        self
    }

    const fn short_deadline(mut self) -> Self {
        self.deadline = SHORT_DEADLINE_MS;
        self
    }

    const fn requests(mut self, requests: usize) -> Self {
        self.requests = requests;
        self
    }
}

/// One entry host and the targets of all rows. It is stopped after the last test that uses it.
struct Fixture {
    cluster: TestCluster,
    pairs: BTreeMap<String, ScriptedTargets>,
}

fn shared_fixture() -> Arc<Fixture> {
    static FIXTURE: Mutex<Weak<Fixture>> = Mutex::new(Weak::new());
    let mut cached = FIXTURE.lock().unwrap_or_else(|poison| poison.into_inner());
    if let Some(fixture) = cached.upgrade() {
        return fixture;
    }
    let fixture = Arc::new(Fixture::new());
    *cached = Arc::downgrade(&fixture);
    fixture
}

impl Fixture {
    fn new() -> Self {
        let mut cluster = TestCluster::new()
            .without_services()
            .with_zone("lima", ZONE)
            .with_host(ZONE, "ent-1");
        let mut pairs = BTreeMap::new();
        for row in ROWS {
            for idempotent in [true, false] {
                let service = service(row, idempotent);
                let pair = ScriptedTargets::new(row.behavior, row.occurrence);
                let record = json!({"class": "c", "idempotent": idempotent, "deadline_ms": 5000});
                cluster = cluster.with_service(&service, record);
                for (index, address) in pair.addresses.iter().enumerate() {
                    let name = format!("{service}-{index}");
                    cluster = cluster.with_target_at(ZONE, &service, &name, *address);
                }
                pairs.insert(service, pair);
            }
        }
        Self {
            cluster: cluster.start_all(),
            pairs,
        }
    }
}

fn service(row: &Row, idempotent: bool) -> String {
    let kind = if idempotent { "idempotent" } else { "once" };
    format!("{}-{kind}", row.name.replace('_', "-"))
}

fn check(name: &str) {
    let row = ROWS.iter().find(|row| row.name == name).unwrap();
    let fixture = shared_fixture();
    for (idempotent, expect) in [(true, row.idempotent), (false, row.non_idempotent)] {
        let service = service(row, idempotent);
        let pair = &fixture.pairs[&service];
        let url = fixture.cluster.hosts["ent-1"].url(&format!("/v1/services/{service}/x"));
        for number in 0..row.requests {
            let call = format!("{service}-{number}");
            let body = vec![b'b'; row.body];
            let headers = [
                ("Standin-Call", &*call),
                ("Ragwortfold-Deadline-Ms", row.deadline),
            ];
            let answer = send(row.method, &url, &headers, &body)
                .unwrap_or_else(|error| panic!("{call}: no answer: {error}"));
            check_answer(&call, row, expect, &answer);
            check_runs(&call, expect, idempotent, pair.executions(&call));
        }
    }
}

fn check_answer(call: &str, row: &Row, expect: Expected, answer: &Answer) {
    let (status, outcome) = match expect {
        Complete => (200, "answered"),
        Status(status) => (status, "answered"),
        NotRun => (503, "not-run"),
        Unknown(status) => (status, "unknown"),
    };
    let received = (answer.status, &*answer.outcome);
    assert_eq!(received, (status, outcome), "{call}: {}", answer.text());
    let expected = scripted::body(call);
    match expect {
        Complete if row.method == "HEAD" => assert!(answer.body.is_empty(), "{call}"),
        Complete => assert_eq!(answer.text(), expected, "{call}"),
        NotRun => {
            let wait = answer.headers.get("retry-after").map(|text| text.parse());
            assert!(matches!(wait, Some(Ok(1u64..))), "{call}: {answer:?}");
        }
        Status(_) | Unknown(_) => {}
    }
    if matches!(expect, NotRun | Unknown(_)) {
        let problem = answer.json();
        assert_eq!(problem["outcome"], outcome, "{call}");
        assert!(problem["error"].is_string(), "{call}");
    }
}

fn check_runs(call: &str, expect: Expected, idempotent: bool, runs: usize) {
    if !idempotent {
        assert!(runs <= 1, "{call} ran {runs} times");
    }
    match expect {
        Complete => assert!(runs >= 1, "{call} did not run"),
        NotRun => assert_eq!(runs, 0, "{call} was reported as not run"),
        Status(_) | Unknown(_) => {}
    }
}

/// Defines the table and one test for each row.
macro_rules! cases {
    ($($name:ident: $row:expr;)*) => {
        const ROWS: &[Row] = &[$(Row { name: stringify!($name), ..$row }),*];
        $(
            #[test]
            fn $name() {
                check(stringify!($name));
            }
        )*
    };
}

cases! {
    sound: always(Behavior::Serve, Complete, Complete);
    sound_head: always(Behavior::Serve, Complete, Complete).method("HEAD");
    sound_get: always(Behavior::Serve, Complete, Complete).method("GET");
    sound_chunked: always(Behavior::Chunked, Complete, Complete);
    sound_until_close: always(Behavior::Raw("HTTP/1.0 200 OK\r\n\r\n{body}"), Complete, Complete);
    sound_after_continue: always(
        Behavior::Raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
        Complete, Complete);
    slow: always(Behavior::Slow(300), Complete, Complete);

    refused: always(Behavior::Refuse, NotRun, NotRun);
    connect_black_hole: always(Behavior::BlackHole, NotRun, NotRun);
    reset_on_accept: always(Behavior::ResetOnAccept, Unknown(502), Unknown(502));
    reset_on_accept_once: first(Behavior::ResetOnAccept, Complete, Unknown(502));
    closed_on_accept: always(Behavior::CloseOnAccept, Unknown(502), Unknown(502));
    closed_on_accept_once: first(Behavior::CloseOnAccept, Complete, Unknown(502));
    request_cut_at_1: first(Behavior::ResetWhileReading(1), Complete, Unknown(502));
    request_cut_at_40: first(Behavior::ResetWhileReading(40), Complete, Unknown(502));
    request_cut_in_small_body: first(Behavior::ResetWhileReading(400), Complete, Unknown(502)).body(2000);
    request_cut_in_large_body: first(Behavior::ResetWhileReading(400_000), Complete, Unknown(502)).body(1_000_000);
    request_always_cut: always(Behavior::ResetWhileReading(40), Unknown(502), Unknown(502));

    answer_lost: always(Behavior::CloseBeforeAnswer, Unknown(502), Unknown(502));
    answer_lost_once: first(Behavior::CloseBeforeAnswer, Complete, Unknown(502));
    answer_reset: always(Behavior::ResetBeforeAnswer, Unknown(502), Unknown(502));
    answer_reset_once: first(Behavior::ResetBeforeAnswer, Complete, Unknown(502));
    answer_cut_at_1: always(Behavior::TruncateAnswer(1), Unknown(502), Unknown(502));
    answer_cut_at_17: always(Behavior::TruncateAnswer(17), Unknown(502), Unknown(502));
    answer_cut_at_40: always(Behavior::TruncateAnswer(40), Unknown(502), Unknown(502));
    answer_cut_in_body: always(Behavior::TruncateAnswer(105), Unknown(502), Unknown(502));
    answer_cut_in_body_once: first(Behavior::TruncateAnswer(105), Complete, Unknown(502));
    chunked_cut: always(Behavior::TruncateChunkedAnswer, Unknown(502), Unknown(502));
    chunked_cut_once: first(Behavior::TruncateChunkedAnswer, Complete, Unknown(502));
    chunk_of_no_size: always(
        Behavior::Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n{body}\r\n0\r\n\r\n"),
        Unknown(502), Unknown(502));
    garbage: always(Behavior::Raw("\u{1}\u{2}\u{3} no answer at all \r\n\r\n"), Unknown(502), Unknown(502));
    garbage_once: first(Behavior::Raw("\u{1}\u{2} no answer at all \r\n\r\n"), Complete, Unknown(502));
    lengths_in_conflict: always(
        Behavior::Raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 300\r\n\r\n{body}"),
        Unknown(502), Unknown(502));
    length_no_number: always(
        Behavior::Raw("HTTP/1.1 200 OK\r\nContent-Length: three\r\n\r\n{body}"),
        Unknown(502), Unknown(502));
    length_too_large: always(
        Behavior::Raw("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{body}"),
        Unknown(502), Unknown(502));
    reset_at_once_without_length: always(Behavior::ResetInAnswer(0), Unknown(502), Unknown(502));
    reset_without_length: always(Behavior::ResetInAnswer(900), Unknown(502), Unknown(502));
    reset_in_a_long_answer: always(Behavior::ResetInAnswer(900_000), Unknown(502), Unknown(502));
    reset_during_an_upload: always(
        Behavior::ResetDuringUpload(10_000, 900), Unknown(502), Unknown(502)).body(8_000_000);
    reset_in_a_long_answer_during_an_upload: always(
        Behavior::ResetDuringUpload(10_000, 900_000), Unknown(502), Unknown(502)).body(8_000_000);
    status_000: always(
        Behavior::Raw("HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    status_099: always(
        Behavior::Raw("HTTP/1.1 099 No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    status_101: always(
        Behavior::Raw("HTTP/1.1 101 No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    status_600: always(
        Behavior::Raw("HTTP/1.1 600 No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    status_999: always(
        Behavior::Raw("HTTP/1.1 999 No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    status_1000: always(
        Behavior::Raw("HTTP/1.1 1000 No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    status_of_letters: always(
        Behavior::Raw("HTTP/1.1 abc No\r\nContent-Length: 2\r\n\r\nno"), Unknown(502), Unknown(502));
    hang: always(Behavior::Hang, Unknown(504), Unknown(504)).short_deadline();

    refusal: always(Behavior::Refusal, NotRun, NotRun);
    refusal_once: first(Behavior::Refusal, Complete, Complete);
    unavailable_once: first(
        Behavior::Raw("HTTP/1.1 503 Gone\r\nContent-Length: 2\r\n\r\nno"), Complete, Status(503));
    unavailable: always(
        Behavior::Raw("HTTP/1.1 503 Gone\r\nContent-Length: 2\r\n\r\nno"), Status(503), Status(503));
    server_error: always(
        Behavior::Raw("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"), Status(500), Status(500));
    gateway_error: always(
        Behavior::Raw("HTTP/1.1 504 Late\r\nContent-Length: 2\r\n\r\nno"), Status(504), Status(504));
    not_found: always(
        Behavior::Raw("HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno"), Status(404), Status(404));
    conflict: always(
        Behavior::Raw("HTTP/1.1 409 No\r\nContent-Length: 2\r\n\r\nno"), Status(409), Status(409));
    redirect: always(
        Behavior::Raw("HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n"),
        Status(302), Status(302));
    no_content: always(Behavior::Raw("HTTP/1.1 204 No\r\n\r\n"), Status(204), Status(204));
    not_modified: always(
        Behavior::Raw("HTTP/1.1 304 No\r\nETag: \"1\"\r\n\r\n"), Status(304), Status(304)).method("GET");
    large_head: always(Behavior::Header(30_000), Complete, Complete);
    huge_head: always(Behavior::Header(300_000), Unknown(502), Unknown(502));

    closed_between_requests: always(Behavior::CloseAfterAnswer, Complete, Complete).requests(4);
    closed_at_second_request: always(Behavior::ResetAtSecondRequest, Complete, Complete).requests(4);
    lost_at_second_request: always(Behavior::CloseBeforeSecondAnswer, Complete, Complete).requests(4);
    // The requests of this row are sent by a separate test below.
    lost_at_second_request_and_gone: always(Behavior::StopListeningAtSecondRequest, Complete, Complete).requests(0);
    answered_twice: always(Behavior::AnswerTwice(0), Complete, Complete).requests(4);
    answered_twice_late: always(Behavior::AnswerTwice(30), Complete, Complete).requests(4);
    answer_before_its_request: always(Behavior::UnsolicitedAnswer, Complete, Complete).requests(4);
}

/// A late answer is dropped: later requests get their own answers.
#[test]
fn a_late_answer_is_never_returned_for_another_request() {
    let fixture = shared_fixture();
    for idempotent in [true, false] {
        let kind = if idempotent { "idempotent" } else { "once" };
        let url = fixture.cluster.hosts["ent-1"].url(&format!("/v1/services/slow-{kind}/x"));
        for number in 0..5 {
            let call = format!("late-{kind}-{number}");
            // The slow targets take 300 ms: even requests time out, odd ones do not.
            let is_given_up = number % 2 == 0;
            let deadline = if is_given_up { "100" } else { LONG_DEADLINE_MS };
            let headers = [
                ("Standin-Call", &*call),
                ("Ragwortfold-Deadline-Ms", deadline),
            ];
            let answer = send("POST", &url, &headers, b"body").unwrap();
            if is_given_up {
                assert_eq!(
                    (answer.status, &*answer.outcome),
                    (504, "unknown"),
                    "{call}"
                );
            } else {
                assert_eq!(
                    (answer.status, &*answer.outcome),
                    (200, "answered"),
                    "{call}"
                );
                assert_eq!(answer.text(), scripted::body(&call));
            }
        }
    }
}

/// If a pooled connection breaks after the request ran and a new one is refused, the request must not be reported as not run.
#[test]
fn a_refused_second_copy_does_not_prove_that_the_first_did_not_run() {
    let fixture = shared_fixture();
    let service = "lost-at-second-request-and-gone-idempotent";
    let url = fixture.cluster.hosts["ent-1"].url(&format!("/v1/services/{service}/x"));
    let mut lost = 0;
    for number in 0..8 {
        let call = format!("gone-{number}");
        let headers = [
            ("Standin-Call", &*call),
            ("Ragwortfold-Deadline-Ms", LONG_DEADLINE_MS),
        ];
        let answer = send("POST", &url, &headers, b"body").unwrap();
        let runs = fixture.pairs[service].executions(&call);
        match &*answer.outcome {
            "answered" => assert_eq!(answer.text(), scripted::body(&call)),
            "unknown" => lost += 1,
            _ => assert_eq!(runs, 0, "{call} was reported as not run"),
        }
    }
    assert!(lost > 0, "no request was lost");
}
