//! Tickets, idempotency keys, and random histories of clients that send the same keys repeatedly.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use la_arena::{Idx, RawIdx};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use ragwortfold::catalog::{Repeat, ServiceKey};
use ragwortfold::steer::attempt::{
    AttemptId, AttemptTracker, Destination, FailurePoint, Outcome, Reason, Stage, Step,
};
use ragwortfold::steer::dedupe::{
    Admission, Answer, IdempotencyTable, Identity, RunOutcome, RunPermit, MAX_STORED_ANSWER_BYTES,
    MAX_WAITERS_PER_KEY,
};
use ragwortfold::steer::ticket::{Error, Generation, Issuer, Rotation, Ticket, TicketOwner};

const GENERATION_PERIOD: Duration = Duration::from_secs(10);
const ACCEPTED_GENERATIONS: u32 = 2;

macro_rules! bad_ticket {
    ($($name:ident: $text:expr => $error:expr;)*) => {
        $(#[test] fn $name() { assert_eq!($text.parse::<Ticket>(), Err($error)); })*
    };
}

bad_ticket! {
    ticket_empty: "" => Error::NoDot;
    ticket_no_dot: "ent-1" => Error::NoDot;
    ticket_no_host: ".7-1" => Error::NoHost;
    ticket_blank_in_host: "en t.7-1" => Error::BadHost(' ');
    ticket_no_dash: "ent-1.7" => Error::NoDash;
    ticket_no_incarnation: "ent-1.-1" => Error::BadIncarnation("".into());
    ticket_plus: "ent-1.+7-1" => Error::BadIncarnation("+7".into());
    ticket_padded: "ent-1.07-1" => Error::BadIncarnation("07".into());
    ticket_huge: "ent-1.99999999999999999999-1" => Error::BadIncarnation("99999999999999999999".into());
    ticket_no_generation: "ent-1.7-" => Error::BadGeneration("".into());
    ticket_two_dashes: "ent-1.7-1-2" => Error::BadGeneration("1-2".into());
    ticket_too_long: "x".repeat(301) => Error::TooLong(301);
}

fn rotation(start: Instant) -> Rotation {
    Rotation::new(start).with_period(GENERATION_PERIOD, ACCEPTED_GENERATIONS)
}

#[test]
fn last_dot_separates_the_host() {
    let ticket: Ticket = "ent-1.lima.example.7-3".parse().unwrap();
    assert_eq!(
        (&*ticket.host, ticket.incarnation),
        ("ent-1.lima.example", 7)
    );
    assert_eq!(ticket.generation, Generation(3));
    assert_eq!(ticket.to_string(), "ent-1.lima.example.7-3");
}

#[test]
fn ticket_is_accepted_for_its_generations_only() {
    let start = Instant::now();
    let issuer = Issuer::new("ent-1".into(), 7, rotation(start));
    let ticket = issuer.issue(start + GENERATION_PERIOD);
    let check_at = |seconds| issuer.check(start + Duration::from_secs(seconds), &ticket);
    let accepted = TicketOwner::ThisProcess(Generation(1));
    assert_eq!(
        [check_at(0), check_at(10), check_at(29)],
        [accepted.clone(), accepted.clone(), accepted]
    );
    assert_eq!(check_at(30), TicketOwner::Expired);
    let ahead = Ticket {
        generation: Generation(2),
        ..ticket.clone()
    };
    assert_eq!(issuer.check(start, &ahead), TicketOwner::Expired);
    let older = Ticket {
        incarnation: 6,
        ..ticket.clone()
    };
    assert_eq!(
        issuer.check(start + GENERATION_PERIOD, &older),
        TicketOwner::Expired
    );
    let other = Ticket {
        host: "ent-2".into(),
        ..ticket
    };
    assert_eq!(
        issuer.check(start, &other),
        TicketOwner::OtherHost("ent-2".into())
    );
}

fn service(n: u32) -> ServiceKey {
    Idx::from_raw(RawIdx::from_u32(n))
}

fn identity(path: &str) -> Identity {
    Identity::new("POST", path, Some(2), Some(b"{}"))
}

fn answer(size: usize) -> Arc<Answer> {
    Arc::new(Answer {
        status: 201,
        headers: Vec::new(),
        body: vec![0; size],
    })
}

/// An idempotency table with shorthands for requests of one service.
struct Table {
    start: Instant,
    keys: IdempotencyTable<u32>,
}

impl Table {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            keys: IdempotencyTable::new(rotation(start)),
        }
    }

    fn with_capacity(mut self, records: usize, bytes: usize) -> Self {
        self.keys = self.keys.with_capacity(records, bytes);
        self
    }

    fn begin(&mut self, seconds: u64, key: &str, generation: u32, waiter: u32) -> Admission {
        let now = self.start + Duration::from_secs(seconds);
        let generation = Generation(generation);
        self.keys.begin(
            now,
            service(0),
            key.into(),
            generation,
            identity("/"),
            waiter,
        )
    }

    fn run(&mut self, key: &str) -> RunPermit {
        match self.begin(0, key, 0, 0) {
            Admission::Run(run) => run,
            other => panic!("does not run: {other:?}"),
        }
    }
}

#[test]
fn running_key_is_joined_and_then_replayed() {
    let mut table = Table::new();
    let run = table.run("k");
    assert_eq!(table.begin(0, "k", 0, 1), Admission::Join);
    let answer = answer(3);
    assert_eq!(
        table
            .keys
            .complete(&run, RunOutcome::Answered(Some(answer.clone()))),
        [1]
    );
    assert_eq!(table.begin(1, "k", 0, 2), Admission::Replay(answer));
}

#[test]
fn excess_waiter_is_not_reported_as_not_run() {
    let mut table = Table::new();
    table.run("k");
    for waiter in 0..MAX_WAITERS_PER_KEY as u32 {
        assert_eq!(table.begin(0, "k", 0, waiter), Admission::Join);
    }
    assert_eq!(table.begin(0, "k", 0, 99), Admission::Unknown);
}

#[test]
fn not_run_key_may_run_again_and_its_old_permit_is_ignored() {
    let mut table = Table::new();
    let old = table.run("k");
    table.keys.complete(&old, RunOutcome::NotRun);
    assert!(table.keys.is_empty() && table.keys.bytes() == 0);
    table.run("k");
    table.keys.complete(&old, RunOutcome::NotRun);
    assert_eq!(table.begin(0, "k", 0, 1), Admission::Join);
}

#[test]
fn unknown_outcome_is_replaced_by_a_late_answer() {
    let mut table = Table::new();
    let run = table.run("k");
    table.keys.complete(&run, RunOutcome::Unknown);
    assert_eq!(table.begin(0, "k", 0, 1), Admission::Unknown);
    table
        .keys
        .complete(&run, RunOutcome::Answered(Some(answer(1))));
    assert_eq!(table.begin(0, "k", 0, 1), Admission::Replay(answer(1)));
    table.keys.complete(&run, RunOutcome::NotRun);
    assert_eq!(table.begin(0, "k", 0, 1), Admission::Replay(answer(1)));
}

#[test]
fn large_answer_is_not_stored() {
    let mut table = Table::new();
    let run = table.run("k");
    table.keys.complete(
        &run,
        RunOutcome::Answered(Some(answer(MAX_STORED_ANSWER_BYTES + 1))),
    );
    assert_eq!(table.begin(0, "k", 0, 1), Admission::Unknown);
}

#[test]
fn different_request_with_the_key_is_refused() {
    let mut table = Table::new();
    table.run("k");
    let (now, generation) = (table.start, Generation(0));
    let mut begin = |n, identity| {
        table
            .keys
            .begin(now, service(n), "k".into(), generation, identity, 1)
    };
    assert_eq!(begin(0, identity("/other")), Admission::Mismatch);
    let body = Identity::new("POST", "/", Some(2), Some(b"[]"));
    assert_eq!(begin(0, body), Admission::Mismatch);
    assert!(
        matches!(begin(1, identity("/other")), Admission::Run(_)),
        "keys are scoped by service"
    );
}

#[test]
fn full_table_refuses_until_a_generation_expires() {
    let mut table = Table::new().with_capacity(2, usize::MAX);
    for key in ["a", "b"] {
        let run = table.run(key);
        table.keys.complete(&run, RunOutcome::Unknown);
    }
    let retry_after = Duration::from_secs(15);
    assert_eq!(table.begin(5, "c", 0, 1), Admission::Full { retry_after });
    assert_eq!(table.begin(5, "a", 0, 1), Admission::Unknown);
    assert!(matches!(table.begin(20, "c", 2, 1), Admission::Run(_)));
    assert_eq!(
        (table.keys.len(), table.begin(20, "a", 0, 1)),
        (1, Admission::Unknown)
    );
}

#[test]
fn bytes_are_bounded_and_reserved_answers_are_stored() {
    let mut table = Table::new().with_capacity(usize::MAX, MAX_STORED_ANSWER_BYTES + 1000);
    let run = table.run("a");
    assert!(matches!(table.begin(0, "b", 0, 1), Admission::Full { .. }));
    table.keys.complete(
        &run,
        RunOutcome::Answered(Some(answer(MAX_STORED_ANSWER_BYTES))),
    );
    assert_eq!(
        table.begin(0, "a", 0, 1),
        Admission::Replay(answer(MAX_STORED_ANSWER_BYTES))
    );
    assert!(table.keys.bytes() <= MAX_STORED_ANSWER_BYTES + 1000);
}

#[test]
fn expired_records_are_dropped_in_small_steps() {
    let mut table = Table::new();
    for n in 0..40 {
        let run = table.run(&n.to_string());
        table.keys.complete(&run, RunOutcome::Unknown);
    }
    table.begin(20, "new", 2, 1);
    assert_eq!(table.keys.len(), 9);
    table.begin(20, "newer", 2, 1);
    assert_eq!(table.keys.len(), 2);
}

#[test]
fn expired_records_make_room_at_once() {
    let mut table = Table::new();
    for n in 100..200 {
        let run = table.run(&n.to_string());
        table.keys.complete(&run, RunOutcome::Unknown);
    }
    let Admission::Run(run) = table.begin(15, "201", 1, 1) else {
        panic!("does not run");
    };
    table.keys.complete(
        &run,
        RunOutcome::Answered(Some(answer(MAX_STORED_ANSWER_BYTES))),
    );
    let bytes = table.keys.bytes();
    table = table.with_capacity(usize::MAX, bytes);
    assert!(matches!(
        table.begin(15, "202", 1, 1),
        Admission::Full { .. }
    ));
    assert!(matches!(table.begin(20, "202", 2, 1), Admission::Run(_)));
}

#[test]
fn generation_not_yet_issued_is_not_accepted() {
    let mut table = Table::new();
    assert_eq!(table.begin(0, "k", 2, 1), Admission::Unknown);
}

#[test]
fn key_is_kept_as_long_as_its_newest_ticket() {
    let mut table = Table::new();
    let run = table.run("k");
    table.keys.complete(&run, RunOutcome::Unknown);
    assert_eq!(table.begin(15, "k", 1, 1), Admission::Unknown);
    assert_eq!(table.begin(25, "k", 1, 1), Admission::Unknown);
    assert_eq!(table.keys.len(), 1);
}

#[test]
fn clock_that_steps_back_accepts_no_expired_key() {
    let mut table = Table::new();
    let run = table.run("k");
    table.keys.complete(&run, RunOutcome::Unknown);
    table.begin(25, "other", 2, 1);
    assert_eq!(table.begin(5, "k", 0, 1), Admission::Unknown);
}

// Histories: clients send few keys to several hosts while hosts restart and lose their connections to each other.

const HOSTS: usize = 3;
const KEYS: usize = 12;
/// Limit on the records of a host.
const MAX_RECORDS: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    /// A client takes the ticket of a host for a key, unless it already has one.
    TakeTicket {
        key: usize,
        host: usize,
    },
    /// A client sends the key to a host. A faulty client changes the request.
    Send {
        key: usize,
        via: usize,
        faulty: bool,
    },
    /// An attempt fails; `ran` is whether it was executed if the failure leaves that open.
    Fail {
        run: usize,
        cause: FailurePoint,
        ran: bool,
        budget: bool,
    },
    Answer {
        run: usize,
        size: usize,
    },
    Abandon {
        run: usize,
        ran: bool,
    },
    Restart {
        host: usize,
        ran: bool,
    },
    Disconnect {
        a: usize,
        b: usize,
    },
    Reconnect,
    Advance {
        ms: u64,
    },
}

fn cause() -> impl Strategy<Value = FailurePoint> {
    let stage = prop::sample::select(&Stage::ALL);
    prop_oneof![
        Just(FailurePoint::ConnectRefused),
        Just(FailurePoint::Refused),
        Just(FailurePoint::RelayUnknown),
        Just(FailurePoint::Unavailable),
        stage.clone().prop_map(FailurePoint::ConnectionClosed),
        stage.prop_map(FailurePoint::Timeout),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let (key, host, run) = (0..KEYS, 0..HOSTS, 0..4usize);
    prop_oneof![
        4 => (key.clone(), host.clone()).prop_map(|(key, host)| Event::TakeTicket { key, host }),
        12 => (key, host.clone(), prop::bool::weighted(0.1))
            .prop_map(|(key, via, faulty)| Event::Send { key, via, faulty }),
        6 => (run.clone(), cause(), any::<bool>(), any::<bool>())
            .prop_map(|(run, cause, ran, budget)| Event::Fail { run, cause, ran, budget }),
        3 => (run.clone(), 0..MAX_STORED_ANSWER_BYTES * 5 / 4).prop_map(|(run, size)| Event::Answer { run, size }),
        1 => (run, any::<bool>()).prop_map(|(run, ran)| Event::Abandon { run, ran }),
        1 => (host.clone(), any::<bool>()).prop_map(|(host, ran)| Event::Restart { host, ran }),
        1 => (host.clone(), host).prop_map(|(a, b)| Event::Disconnect { a, b }),
        3 => Just(Event::Reconnect),
        4 => (1..2500u64).prop_map(|ms| Event::Advance { ms }),
    ]
}

/// One request of a client, and the outcomes reported to it.
struct Request {
    key: usize,
    outcomes: Vec<Outcome>,
}

/// A request that a host dispatches.
struct Running {
    host: usize,
    request: usize,
    permit: RunPermit,
    tracker: AttemptTracker,
    outstanding: AttemptId,
}

struct Host {
    issuer: Issuer,
    keys: IdempotencyTable<usize>,
}

/// All hosts, the clients' requests, and the number of executions at the targets by key.
struct World {
    now: Instant,
    incarnation: u64,
    hosts: Vec<Host>,
    links: [[bool; HOSTS]; HOSTS],
    tickets: [Option<Ticket>; KEYS],
    requests: Vec<Request>,
    running: Vec<Running>,
    executions: [u32; KEYS],
}

fn start_host(n: usize, incarnation: u64, now: Instant) -> Host {
    let rotation = rotation(now);
    let name = format!("ent-{n}");
    Host {
        issuer: Issuer::new(name.as_str().into(), incarnation, rotation),
        keys: IdempotencyTable::new(rotation)
            .with_capacity(MAX_RECORDS, MAX_RECORDS * (MAX_STORED_ANSWER_BYTES + 300)),
    }
}

fn destination() -> Destination {
    Destination::Target(Idx::from_raw(RawIdx::from_u32(0)))
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            incarnation: 1,
            hosts: (0..HOSTS).map(|n| start_host(n, 1, now)).collect(),
            links: [[true; HOSTS]; HOSTS],
            tickets: Default::default(),
            requests: Vec::new(),
            running: Vec::new(),
            executions: [0; KEYS],
        }
    }

    fn report_outcome(&mut self, request: usize, outcome: Outcome) {
        let key = self.requests[request].key;
        let running = self
            .running
            .iter()
            .any(|r| self.requests[r.request].key == key);
        let is_key_reused = outcome == Outcome::NotRun(Reason::KeyReused);
        if matches!(outcome, Outcome::NotRun(_)) && !is_key_reused {
            assert_eq!(
                (self.executions[key], running),
                (0, false),
                "reported not-run, but it was executed"
            );
        }
        self.requests[request].outcomes.push(outcome);
    }

    fn send(&mut self, key: usize, via: usize, faulty: bool) {
        let Some(ticket) = self.tickets[key].clone() else {
            return;
        };
        let request = self.requests.len();
        self.requests.push(Request {
            key,
            outcomes: Vec::new(),
        });
        let owner = match self.hosts[via].issuer.check(self.now, &ticket) {
            TicketOwner::OtherHost(name) => name[4..].parse().expect("a host of the test"),
            _ => via,
        };
        if !self.links[via][owner] {
            return self.report_outcome(request, Outcome::Unknown(Reason::HomeUnreachable));
        }
        match self.hosts[owner].issuer.check(self.now, &ticket) {
            TicketOwner::ThisProcess(generation) => self.begin(owner, request, generation, faulty),
            _ => self.report_outcome(request, Outcome::Unknown(Reason::StaleTicket)),
        }
    }

    fn begin(&mut self, host: usize, request: usize, generation: Generation, faulty: bool) {
        let text = self.requests[request].key.to_string();
        let identity = identity(if faulty { "/changed" } else { "/" });
        let keys = &mut self.hosts[host].keys;
        let admission = keys.begin(
            self.now,
            service(0),
            text.into(),
            generation,
            identity,
            request,
        );
        assert!(
            keys.len() <= MAX_RECORDS
                && keys.bytes() <= MAX_RECORDS * (MAX_STORED_ANSWER_BYTES + 300)
        );
        match admission {
            Admission::Run(permit) => self.dispatch(host, request, permit),
            Admission::Join => {}
            Admission::Replay(_) => {
                let key = self.requests[request].key;
                assert_eq!(self.executions[key], 1, "replayed without an execution");
                self.report_outcome(request, Outcome::Answered);
            }
            Admission::Mismatch => self.report_outcome(request, Outcome::NotRun(Reason::KeyReused)),
            Admission::Full { .. } => {
                self.report_outcome(request, Outcome::NotRun(Reason::Crowded))
            }
            Admission::Unknown => self.report_outcome(request, Outcome::Unknown(Reason::NotKept)),
        }
    }

    fn dispatch(&mut self, host: usize, request: usize, permit: RunPermit) {
        let deadline = self.now + Duration::from_secs(30);
        let mut tracker = AttemptTracker::new(Repeat::Never, deadline);
        let outstanding = tracker
            .start(self.now, destination())
            .expect("a first attempt");
        self.running.push(Running {
            host,
            request,
            permit,
            tracker,
            outstanding,
        });
    }

    fn run_at_target(&mut self, request: usize) {
        let key = self.requests[request].key;
        self.executions[key] += 1;
        assert_eq!(self.executions[key], 1, "key {key} was executed twice");
    }

    fn fail(&mut self, n: usize, cause: FailurePoint, ran: bool, budget: bool) {
        let mut running = self.running.swap_remove(n);
        // A request answered with 503 may have been executed; these failures prove that it was not.
        let is_not_run = match cause {
            FailurePoint::ConnectRefused | FailurePoint::Refused => true,
            FailurePoint::ConnectionClosed(stage) | FailurePoint::Timeout(stage) => {
                stage < Stage::Head
            }
            _ => false,
        };
        if ran && !is_not_run {
            self.run_at_target(running.request);
        }
        let step = running
            .tracker
            .record_failure(self.now, running.outstanding, cause, || budget);
        match step {
            Step::Retry => match running.tracker.start(self.now, destination()) {
                Ok(key) => {
                    running.outstanding = key;
                    self.running.push(running);
                }
                Err(error) => panic!("asked to retry, but {error}"),
            },
            Step::Done(end) => self.finish(running, end.outcome, 0),
            other => panic!("{other:?}"),
        }
    }

    fn answer(&mut self, n: usize, size: usize) {
        let mut running = self.running.swap_remove(n);
        self.run_at_target(running.request);
        let Step::Done(end) = running.tracker.record_answer(running.outstanding) else {
            panic!("no outcome");
        };
        self.finish(running, end.outcome, size);
    }

    fn abandon(&mut self, n: usize, ran: bool) {
        let mut running = self.running.swap_remove(n);
        if ran {
            self.run_at_target(running.request);
        }
        let end = running
            .tracker
            .abandon(Reason::Timeout, |_| Stage::Sent)
            .expect("no outcome before");
        self.finish(running, end.outcome, 0);
    }

    fn finish(&mut self, running: Running, outcome: Outcome, size: usize) {
        let end = match outcome {
            Outcome::Answered if size > 0 => RunOutcome::Answered(Some(answer(size))),
            Outcome::Answered => RunOutcome::Answered(None),
            Outcome::NotRun(_) => RunOutcome::NotRun,
            Outcome::Unknown(_) => RunOutcome::Unknown,
        };
        let waiters = self.hosts[running.host].keys.complete(&running.permit, end);
        for request in waiters.into_iter().chain([running.request]) {
            self.report_outcome(request, outcome);
        }
    }

    /// Restarts a host's process, which closes the connections of its callers.
    fn restart(&mut self, host: usize, ran: bool) {
        while let Some(n) = self.running.iter().position(|r| r.host == host) {
            self.abandon(n, ran);
        }
        self.incarnation += 1;
        self.hosts[host] = start_host(host, self.incarnation, self.now);
    }

    fn apply(&mut self, event: Event) {
        let count = self.running.len();
        match event {
            Event::TakeTicket { key, host } => {
                let ticket = self.hosts[host].issuer.issue(self.now);
                self.tickets[key].get_or_insert(ticket);
            }
            Event::Send { key, via, faulty } => self.send(key, via, faulty),
            Event::Fail {
                run,
                cause,
                ran,
                budget,
            } if run < count => {
                self.fail(run, cause, ran, budget);
            }
            Event::Answer { run, size } if run < count => self.answer(run, size),
            Event::Abandon { run, ran } if run < count => self.abandon(run, ran),
            Event::Restart { host, ran } => self.restart(host, ran),
            Event::Disconnect { a, b } if a != b => {
                self.links[a][b] = false;
                self.links[b][a] = false;
            }
            Event::Reconnect => self.links = [[true; HOSTS]; HOSTS],
            Event::Advance { ms } => self.now += Duration::from_millis(ms),
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1000, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default()
    })]

    /// No key is executed twice, "not run" is correct, and each request gets exactly one outcome.
    #[test]
    fn keys_run_at_most_once(events in prop::collection::vec(event(), 1..150)) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
        while !world.running.is_empty() {
            world.abandon(0, true);
        }
        for request in &world.requests {
            prop_assert_eq!(request.outcomes.len(), 1, "{:?}", request.outcomes);
        }
    }

    /// Parsing the text of a ticket returns the same ticket.
    #[test]
    fn ticket_round_trips_through_its_text(host in "[a-z0-9.-]{1,40}", incarnation: u64, generation: u32) {
        let generation = Generation(generation);
        let ticket = Ticket { host: host.as_str().into(), incarnation, generation };
        prop_assert_eq!(ticket.to_string().parse(), Ok(ticket));
    }
}
