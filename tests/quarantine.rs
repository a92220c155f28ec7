//! Which requests are quarantined, and which must not be.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use ragwortfold::steer::fingerprint::Fingerprint;
use ragwortfold::steer::quarantine::{Notice, Quarantine, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const POISON: Fingerprint = Fingerprint(1);
const POPULAR: Fingerprint = Fingerprint(2);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns a host at which a request broke at the given targets, with the start and end of each
/// attempt in milliseconds.
fn host_with_breaks(attempts: &[(u64, u64, u64)]) -> (Quarantine, Instant) {
    let start = Instant::now();
    let mut host = Quarantine::new(7);
    let mut end = start;
    for (target, from, until) in attempts {
        end = start + ms(*until);
        host.record_break(end, POISON, *target, start + ms(*from));
    }
    (host, end)
}

/// State of a request that broke at targets, with the start and end of each attempt in
/// milliseconds.
macro_rules! states {
    ($($name:ident: $attempts:expr => $suspected:expr, $refused:expr;)*) => {$(
        #[test]
        fn $name() {
            let (host, _) = host_with_breaks(&$attempts);
            assert_eq!((!host.may_retry(POISON), host.is_refused(POISON)), ($suspected, $refused));
        }
    )*};
}

states! {
    one_target_is_not_enough: [(1, 0, 100)] => false, false;
    two_targets_one_after_the_other: [(1, 0, 100), (2, 100, 200)] => true, false;
    three_targets: [(1, 0, 100), (2, 100, 200), (3, 400, 500)] => true, true;
    targets_that_end_together_are_one: [(1, 0, 100), (2, 10, 100), (3, 50, 101), (4, 99, 102)] => false, false;
    attempts_in_flight_do_not_count: [(1, 0, 100), (2, 100, 200), (3, 120, 210), (4, 180, 260)] => true, false;
    other_hosts_have_time_to_clear: [(1, 0, 100), (2, 100, 200), (3, 300, 400)] => true, false;
    the_same_target_at_once_does_not_count: [(1, 0, 100), (1, 150, 200), (1, 300, 400)] => false, false;
    a_restarted_target_counts_again: [(1, 0, 100), (1, 1200, 1300), (1, 2500, 2600)] => true, true;
    an_old_suspicion_expires: [(1, 0, 100), (2, 40_000, 40_100)] => false, false;
}

#[test]
fn a_suspected_request_is_sent_one_at_a_time() {
    let (mut host, end) = host_with_breaks(&[(1, 0, 100), (2, 100, 200)]);
    assert_eq!(host.check(end + ms(100), POISON).0, Verdict::Wait);
    assert_eq!(host.check(end + ms(160), POISON).0, Verdict::Isolated);
    assert_eq!(host.check(end + ms(170), POISON).0, Verdict::Wait);
    host.finish(POISON);
    assert_eq!(host.check(end + ms(180), POISON).0, Verdict::Isolated);
    assert_eq!(host.check(end + ms(180), POPULAR).0, Verdict::Allowed);
}

#[test]
fn a_retry_of_a_suspected_request_waits_for_an_answer() {
    let (mut host, end) = host_with_breaks(&[(1, 0, 100), (2, 100, 200)]);
    assert_eq!(host.check_retry(end + ms(100), POISON), Verdict::Wait);
    assert!(matches!(
        host.check_retry(end + ms(160), POISON),
        Verdict::Refused(_)
    ));
    assert_eq!(host.check(end + ms(160), POISON).0, Verdict::Isolated);
    assert_eq!(host.check_retry(end + ms(170), POISON), Verdict::Wait);
    host.record_answer(end + ms(180), POISON);
    assert_eq!(host.check_retry(end + ms(180), POISON), Verdict::Allowed);
}

#[test]
fn an_answer_clears_for_a_while() {
    let (mut host, end) = host_with_breaks(&[(1, 0, 100), (2, 100, 200)]);
    assert_eq!(
        host.record_answer(end, POISON),
        Some(Notice::Cleared(POISON))
    );
    assert_eq!(host.check(end, POISON).0, Verdict::Allowed);
    for second in 0..9 {
        let at = end + ms(second * 1000);
        host.record_break(at + ms(500), POISON, second, at);
    }
    assert!(host.may_retry(POISON));
}

#[test]
fn a_host_that_had_an_answer_clears() {
    let (host, end) = host_with_breaks(&[(1, 0, 100), (2, 100, 200)]);
    let notices: Vec<Notice> = host.statuses(end).collect();
    let mut other = Quarantine::new(8);
    other.record_answer(end - ms(50), POISON);
    assert_eq!(
        other.merge(end, &notices[0]).to_all,
        Some(Notice::Cleared(POISON))
    );
    let mut early = Quarantine::new(9);
    early.record_answer(end - ms(150), POISON);
    assert_eq!(early.merge(end, &notices[0]).to_all, None);
    assert!(!early.may_retry(POISON));
}

#[test]
fn a_notified_host_refuses() {
    let (host, end) = host_with_breaks(&[(1, 0, 100), (2, 100, 200), (3, 400, 500)]);
    let mut other = Quarantine::new(8);
    for notice in host.statuses(end) {
        assert!(other.merge(end, &notice).is_new);
        assert!(!other.merge(end + ms(50), &notice).is_new);
    }
    let (verdict, notice) = other.check(end + ms(100), POISON);
    assert!(
        matches!(verdict, Verdict::Refused(pause) if pause > ms(4000)),
        "{verdict:?}"
    );
    assert_eq!(notice, None);
}

#[test]
fn one_host_retries_with_growing_delays() {
    let (mut host, mut now) = host_with_breaks(&[(1, 0, 100), (2, 100, 200), (3, 400, 500)]);
    let mut other = Quarantine::new(8);
    for notice in host.statuses(now) {
        other.merge(now, &notice);
    }
    for (failures, pause) in [(0, 5), (1, 30), (2, 180), (3, 1080), (4, 3600), (5, 3600)] {
        let early = now + ms(pause * 1000 - 200);
        assert!(matches!(host.check(early, POISON).0, Verdict::Refused(_)));
        now += ms(pause * 1000 + 2000);
        let (verdict, notice) = host.check(now, POISON);
        assert_eq!(verdict, Verdict::Isolated, "after {failures} trials");
        assert!(matches!(host.check(now, POISON).0, Verdict::Refused(_)));
        other.merge(now + ms(50), &notice.unwrap());
        assert!(matches!(
            other.check(now + ms(2500), POISON).0,
            Verdict::Refused(_)
        ));
        let notices = host.record_break(now + ms(100), POISON, 9, now);
        other.merge(now + ms(150), &notices.to_all.unwrap());
        host.finish(POISON);
        now += ms(100);
    }
    let notice = host.record_answer(now, POISON).unwrap();
    other.merge(now, &notice);
    assert_eq!(other.check(now, POISON).0, Verdict::Allowed);
}

#[test]
fn cases_are_bounded_and_expire() {
    let start = Instant::now();
    let mut host = Quarantine::new(7);
    for number in 0..5_000u64 {
        let request = Fingerprint(number);
        for target in 0..3 {
            let from = start + ms(target * 400);
            host.record_break(from + ms(100), request, target, from);
        }
    }
    assert!(host.statuses(start + ms(900)).count() <= 512);
    host.expire(start + Duration::from_secs(606));
    assert_eq!(host.statuses(start + Duration::from_secs(606)).count(), 0);
}

#[test]
fn notices_are_short() {
    let (mut host, end) = host_with_breaks(&[(u64::MAX, 0, 100), (u64::MAX - 1, 100, 200)]);
    let length = |notice: &Notice| {
        let mut bytes = Vec::new();
        ciborium::into_writer(notice, &mut bytes).unwrap();
        bytes.len()
    };
    let broke = Quarantine::new(1).record_break(end, POISON, u64::MAX, end - ms(90_000));
    assert!(length(&broke.to_counters.unwrap()) <= 40);
    let refused = host.record_break(end + ms(400), POISON, u64::MAX - 2, end + ms(200));
    assert!(length(&refused.to_all.unwrap()) <= 70);
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request arrives at a host: its attempts so far, and its arrival time.
    Request(usize, Fingerprint, usize, Duration),
    /// An attempt at a target ends.
    Finished(usize),
    /// A target terminates for an unrelated reason.
    TargetTerminates(usize),
    /// A target returns, as another process.
    TargetReturns(usize),
}

/// An attempt of a request at a target.
struct Attempt {
    host: usize,
    request: Fingerprint,
    target: usize,
    process: u64,
    started_at: Duration,
    number: usize,
}

/// Hosts, targets and delayed messages in virtual time.
struct Fleet {
    start: Instant,
    hosts: Vec<Quarantine>,
    /// Process numbers of the targets, and whether they are up.
    targets: Vec<(u64, bool)>,
    events: BTreeMap<(Duration, usize), Event>,
    notices: BTreeMap<(Duration, usize), (usize, Notice)>,
    attempts: BTreeMap<usize, Attempt>,
    next: usize,
    rng: Pcg64Mcg,
    /// Times at which the poison request started at targets.
    poison_runs: Vec<Duration>,
    refused: BTreeMap<Fingerprint, usize>,
}

/// Maximum one-way delay between two hosts.
const MAX_DELAY: Duration = Duration::from_millis(55);
const RUN_TIME: Duration = Duration::from_millis(80);

impl Fleet {
    fn new(seed: u64, hosts: usize, targets: usize) -> Self {
        Self {
            start: Instant::now(),
            hosts: (0..hosts as u64).map(Quarantine::new).collect(),
            targets: vec![(0, true); targets],
            events: BTreeMap::new(),
            notices: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            poison_runs: Vec::new(),
            refused: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    /// Adds a caller that sends a request `rate` times a second, each time to a random host.
    fn with_caller(mut self, request: Fingerprint, rate: f64, seconds: f64) -> Self {
        for number in 0..(rate * seconds) as u64 {
            let time = Duration::from_secs_f64((number as f64 + self.rng.random::<f64>()) / rate);
            let host = self.rng.random_range(0..self.hosts.len());
            self.schedule(time, Event::Request(host, request, 0, time));
        }
        self
    }

    /// Sends a notice to all hosts, which include those that count the crashes.
    fn broadcast(&mut self, now: Duration, from: usize, notice: Option<Notice>) {
        let Some(notice) = notice else {
            return;
        };
        for host in 0..self.hosts.len() {
            if host != from && self.rng.random_bool(0.99) {
                self.next += 1;
                let delay = MAX_DELAY.mul_f64(self.rng.random_range(0.05..1.0));
                self.notices
                    .insert((now + delay, self.next), (host, notice.clone()));
            }
        }
    }

    fn run(&mut self) {
        loop {
            let event = self.events.keys().next().copied();
            let notice = self.notices.keys().next().copied();
            if let Some(key) = notice.filter(|notice| event.is_none_or(|event| *notice < event)) {
                let (host, notice) = self.notices.remove(&key).unwrap();
                let result = self.hosts[host].merge(self.start + key.0, &notice);
                self.broadcast(key.0, host, result.to_all);
                continue;
            }
            let Some(key) = event else {
                return;
            };
            let event = self.events.remove(&key).unwrap();
            self.step(key.0, event);
        }
    }

    fn step(&mut self, now: Duration, event: Event) {
        match event {
            Event::Request(host, request, number, arrived) => {
                self.request(now, host, request, number, arrived)
            }
            Event::Finished(key) => self.finish_attempt(now, key),
            Event::TargetReturns(target) => {
                self.targets[target].0 += 1;
                self.targets[target].1 = true;
            }
            Event::TargetTerminates(target) => self.end_process(now, target),
        }
    }

    fn request(
        &mut self,
        now: Duration,
        host: usize,
        request: Fingerprint,
        number: usize,
        arrived: Duration,
    ) {
        let (verdict, notice) = self.hosts[host].check(self.start + now, request);
        self.broadcast(now, host, notice);
        match verdict {
            Verdict::Refused(_) => {
                *self.refused.entry(request).or_default() += 1;
                return;
            }
            Verdict::Wait if now < arrived + ms(500) => {
                return self.schedule(now + ms(20), Event::Request(host, request, number, arrived));
            }
            _ => {}
        }
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].1)
            .collect();
        if up.is_empty() {
            return self.hosts[host].finish(request);
        }
        let target = up[self.rng.random_range(0..up.len())];
        if request == POISON {
            self.poison_runs.push(now);
        }
        self.next += 1;
        let attempt = Attempt {
            host,
            request,
            target,
            process: self.targets[target].0,
            started_at: now,
            number,
        };
        self.attempts.insert(self.next, attempt);
        let run = RUN_TIME.mul_f64(self.rng.random_range(0.5..1.5));
        let key = self.next;
        self.schedule(now + run, Event::Finished(key));
    }

    fn finish_attempt(&mut self, now: Duration, key: usize) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        if attempt.request == POISON {
            self.attempts.insert(key, attempt);
            let target = self.attempts[&key].target;
            return self.end_process(now, target);
        }
        let host = &mut self.hosts[attempt.host];
        host.finish(attempt.request);
        let notice = host.record_answer(self.start + now, attempt.request);
        self.broadcast(now, attempt.host, notice);
    }

    fn end_process(&mut self, now: Duration, target: usize) {
        self.targets[target].1 = false;
        self.schedule(now + ms(3000), Event::TargetReturns(target));
        let lost: Vec<usize> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                attempt.target == target && attempt.process == self.targets[target].0
            })
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            let attempt = self.attempts.remove(&key).unwrap();
            let digest = target as u64 * 1000 + attempt.process;
            let host = &mut self.hosts[attempt.host];
            let notices = host.record_break(
                self.start + now,
                attempt.request,
                digest,
                self.start + attempt.started_at,
            );
            host.finish(attempt.request);
            let is_retried = host.may_retry(attempt.request) && attempt.number == 0;
            self.broadcast(now, attempt.host, notices.to_counters);
            self.broadcast(now, attempt.host, notices.to_all);
            if is_retried {
                self.schedule(now, Event::Request(attempt.host, attempt.request, 1, now));
            }
        }
    }
}

/// A request that crashes targets arrives at some rate in addition to a popular one, with different
/// numbers of hosts and targets, under 20 seeds.
macro_rules! poison {
    ($($name:ident: $hosts:expr, $targets:expr, $rate:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut fleet = Fleet::new(seed, $hosts, $targets)
                    .with_caller(POISON, $rate, 30.0)
                    .with_caller(POPULAR, 50.0, 30.0);
                fleet.run();
                let third = fleet.poison_runs[2];
                let late = fleet.poison_runs.iter().filter(|run| **run > third + ms(3000)).count();
                assert!(late <= 3, "seed {seed}: {late} of {} too late", fleet.poison_runs.len());
                assert_eq!(fleet.refused.get(&POPULAR), None, "seed {seed}");
            }
        }
    )*};
}

poison! {
    a_poison_at_a_few_hosts: 4, 12, 6.0;
    a_poison_at_twelve_hosts: 12, 24, 3.0;
    a_poison_with_many_callers: 12, 60, 60.0;
    a_rare_poison: 12, 24, 0.5;
}

/// A popular request while targets terminate for unrelated reasons at the given milliseconds, under
/// 20 seeds: none is refused.
macro_rules! harmless {
    ($($name:ident: $rate:expr, $failures:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut fleet = Fleet::new(seed, 12, 24).with_caller(POPULAR, $rate, 10.0);
                let failures: Vec<(u64, usize)> = $failures;
                for (time, target) in failures {
                    fleet.schedule(ms(time), Event::TargetTerminates(target));
                }
                fleet.run();
                assert_eq!(fleet.refused, BTreeMap::new(), "seed {seed}");
            }
        }
    )*};
}

harmless! {
    a_rack_failure: 200.0, (0..8).map(|target| (2000, target)).collect();
    a_rack_failure_spread_over_a_moment: 200.0, (0..8).map(|target| (2000 + target as u64 * 10, target)).collect();
    a_rolling_restart: 200.0, (0..24).map(|target| (1000 + target as u64 * 300, target)).collect();
    a_rolling_restart_with_few_requests: 5.0, (0..24).map(|target| (1000 + target as u64 * 300, target)).collect();
    a_failing_service: 400.0, (0..96).map(|number| (2000 + number * 50, number as usize % 24)).collect();
}

#[test]
fn hosts_retry_at_different_times() {
    let (host, end) = host_with_breaks(&[(1, 0, 100), (2, 100, 200), (3, 400, 500)]);
    let pauses: BTreeSet<Duration> = (0..20)
        .map(|seed| {
            let mut other = Quarantine::new(seed);
            for notice in host.statuses(end) {
                other.merge(end, &notice);
            }
            match other.check(end, POISON).0 {
                Verdict::Refused(pause) => pause,
                verdict => panic!("{verdict:?}"),
            }
        })
        .collect();
    assert_eq!(pauses.len(), 20);
}
