//! Which requests are kept from targets, and which must not be.

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

/// A host at which the request broke off at these targets, from and until these milliseconds.
fn broken(tries: &[(u64, u64, u64)]) -> (Quarantine, Instant) {
    let start = Instant::now();
    let mut host = Quarantine::new(7);
    let mut end = start;
    for (target, from, until) in tries {
        end = start + ms(*until);
        host.record_break(end, POISON, *target, start + ms(*from));
    }
    (host, end)
}

/// What a host says of a request that broke off at targets, each with the milliseconds from and until which it was there.
macro_rules! stands {
    ($($name:ident: $tries:expr => $suspected:expr, $refused:expr;)*) => {$(
        #[test]
        fn $name() {
            let (host, _) = broken(&$tries);
            assert_eq!((!host.may_retry(POISON), host.is_refused(POISON)), ($suspected, $refused));
        }
    )*};
}

stands! {
    one_target_says_nothing: [(1, 0, 100)] => false, false;
    two_targets_one_after_the_other: [(1, 0, 100), (2, 100, 200)] => true, false;
    three_targets: [(1, 0, 100), (2, 100, 200), (3, 400, 500)] => true, true;
    targets_that_end_together_are_one: [(1, 0, 100), (2, 10, 100), (3, 50, 101), (4, 99, 102)] => false, false;
    what_was_under_way_does_not_count: [(1, 0, 100), (2, 100, 200), (3, 120, 210), (4, 180, 260)] => true, false;
    others_have_time_to_object: [(1, 0, 100), (2, 100, 200), (3, 300, 400)] => true, false;
    the_same_target_at_once_says_nothing: [(1, 0, 100), (1, 150, 200), (1, 300, 400)] => false, false;
    a_target_that_is_back_counts_again: [(1, 0, 100), (1, 1200, 1300), (1, 2500, 2600)] => true, true;
    an_old_suspicion_is_over: [(1, 0, 100), (2, 40_000, 40_100)] => false, false;
}

#[test]
fn a_suspected_request_is_sent_one_at_a_time() {
    let (mut host, end) = broken(&[(1, 0, 100), (2, 100, 200)]);
    assert_eq!(host.check(end + ms(100), POISON).0, Verdict::Wait);
    assert_eq!(host.check(end + ms(160), POISON).0, Verdict::Isolated);
    assert_eq!(host.check(end + ms(170), POISON).0, Verdict::Wait);
    host.finish(POISON);
    assert_eq!(host.check(end + ms(180), POISON).0, Verdict::Isolated);
    assert_eq!(host.check(end + ms(180), POPULAR).0, Verdict::Allowed);
}

#[test]
fn an_answer_clears_for_a_while() {
    let (mut host, end) = broken(&[(1, 0, 100), (2, 100, 200)]);
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
fn a_host_that_had_an_answer_objects() {
    let (host, end) = broken(&[(1, 0, 100), (2, 100, 200)]);
    let told: Vec<Notice> = host.statuses(end).collect();
    let mut other = Quarantine::new(8);
    other.record_answer(end - ms(50), POISON);
    assert_eq!(
        other.merge(end, &told[0]).to_all,
        Some(Notice::Cleared(POISON))
    );
    let mut early = Quarantine::new(9);
    early.record_answer(end - ms(150), POISON);
    assert_eq!(early.merge(end, &told[0]).to_all, None);
    assert!(!early.may_retry(POISON));
}

#[test]
fn a_host_that_is_told_refuses() {
    let (host, end) = broken(&[(1, 0, 100), (2, 100, 200), (3, 400, 500)]);
    let mut other = Quarantine::new(8);
    for note in host.statuses(end) {
        assert!(other.merge(end, &note).is_new);
        assert!(!other.merge(end + ms(50), &note).is_new);
    }
    let (verdict, told) = other.check(end + ms(100), POISON);
    assert!(
        matches!(verdict, Verdict::Refused(pause) if pause > ms(4000)),
        "{verdict:?}"
    );
    assert_eq!(told, None);
}

#[test]
fn one_host_tries_again_and_ever_less_often() {
    let (mut host, mut now) = broken(&[(1, 0, 100), (2, 100, 200), (3, 400, 500)]);
    let mut other = Quarantine::new(8);
    for note in host.statuses(now) {
        other.merge(now, &note);
    }
    for (failures, pause) in [(0, 5), (1, 30), (2, 180), (3, 1080), (4, 3600), (5, 3600)] {
        let early = now + ms(pause * 1000 - 200);
        assert!(matches!(host.check(early, POISON).0, Verdict::Refused(_)));
        now += ms(pause * 1000 + 2000);
        let (verdict, told) = host.check(now, POISON);
        assert_eq!(verdict, Verdict::Isolated, "after {failures} trials");
        assert!(matches!(host.check(now, POISON).0, Verdict::Refused(_)));
        other.merge(now + ms(50), &told.unwrap());
        assert!(matches!(
            other.check(now + ms(2500), POISON).0,
            Verdict::Refused(_)
        ));
        let news = host.record_break(now + ms(100), POISON, 9, now);
        other.merge(now + ms(150), &news.to_all.unwrap());
        host.finish(POISON);
        now += ms(100);
    }
    let note = host.record_answer(now, POISON).unwrap();
    other.merge(now, &note);
    assert_eq!(other.check(now, POISON).0, Verdict::Allowed);
}

#[test]
fn what_is_kept_is_bounded_and_forgotten() {
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
fn notes_are_short() {
    let (mut host, end) = broken(&[(u64::MAX, 0, 100), (u64::MAX - 1, 100, 200)]);
    let length = |note: &Notice| {
        let mut bytes = Vec::new();
        ciborium::into_writer(note, &mut bytes).unwrap();
        bytes.len()
    };
    let broke = Quarantine::new(1).record_break(end, POISON, u64::MAX, end - ms(90_000));
    assert!(length(&broke.to_counters.unwrap()) <= 40);
    let refused = host.record_break(end + ms(400), POISON, u64::MAX - 2, end + ms(200));
    assert!(length(&refused.to_all.unwrap()) <= 70);
}

/// What happens in a played fleet.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request comes to a host; its tries so far, and when it came.
    Ask(usize, Fingerprint, usize, Duration),
    /// A request's time at a target is over.
    Ended(usize),
    /// A target ends for a reason of its own.
    Dies(usize),
    /// It is back, as another process.
    Returns(usize),
}

/// A request at a target.
struct Try {
    host: usize,
    request: Fingerprint,
    target: usize,
    process: u64,
    begun: Duration,
    number: usize,
}

/// Hosts, targets and messages with delay, in made-up time.
struct Fleet {
    start: Instant,
    hosts: Vec<Quarantine>,
    /// The processes of targets, and whether they are up.
    targets: Vec<(u64, bool)>,
    events: BTreeMap<(Duration, usize), Event>,
    notes: BTreeMap<(Duration, usize), (usize, Notice)>,
    tries: BTreeMap<usize, Try>,
    next: usize,
    rng: Pcg64Mcg,
    /// When the poison began to run at targets.
    runs: Vec<Duration>,
    refused: BTreeMap<Fingerprint, usize>,
}

/// One way between two hosts.
const WAY: Duration = Duration::from_millis(55);
const RUN: Duration = Duration::from_millis(80);

impl Fleet {
    fn new(seed: u64, hosts: usize, targets: usize) -> Self {
        Self {
            start: Instant::now(),
            hosts: (0..hosts as u64).map(Quarantine::new).collect(),
            targets: vec![(0, true); targets],
            events: BTreeMap::new(),
            notes: BTreeMap::new(),
            tries: BTreeMap::new(),
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            runs: Vec::new(),
            refused: BTreeMap::new(),
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    /// A request comes so many times a second, at any host.
    fn with_caller(mut self, request: Fingerprint, rate: f64, seconds: f64) -> Self {
        for number in 0..(rate * seconds) as u64 {
            let time = Duration::from_secs_f64((number as f64 + self.rng.random::<f64>()) / rate);
            let host = self.rng.random_range(0..self.hosts.len());
            self.at(time, Event::Ask(host, request, 0, time));
        }
        self
    }

    /// Everybody tells everybody: those who count the crashes are among them.
    fn tell(&mut self, now: Duration, from: usize, note: Option<Notice>) {
        let Some(note) = note else {
            return;
        };
        for host in 0..self.hosts.len() {
            if host != from && self.rng.random_bool(0.99) {
                self.next += 1;
                let way = WAY.mul_f64(self.rng.random_range(0.05..1.0));
                self.notes
                    .insert((now + way, self.next), (host, note.clone()));
            }
        }
    }

    fn play(&mut self) {
        loop {
            let event = self.events.keys().next().copied();
            let note = self.notes.keys().next().copied();
            if let Some(key) = note.filter(|note| event.is_none_or(|event| *note < event)) {
                let (host, note) = self.notes.remove(&key).unwrap();
                let heard = self.hosts[host].merge(self.start + key.0, &note);
                self.tell(key.0, host, heard.to_all);
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
            Event::Ask(host, request, number, came) => self.ask(now, host, request, number, came),
            Event::Ended(key) => self.end(now, key),
            Event::Returns(target) => {
                self.targets[target].0 += 1;
                self.targets[target].1 = true;
            }
            Event::Dies(target) => self.die(now, target),
        }
    }

    fn ask(
        &mut self,
        now: Duration,
        host: usize,
        request: Fingerprint,
        number: usize,
        came: Duration,
    ) {
        let (verdict, told) = self.hosts[host].check(self.start + now, request);
        self.tell(now, host, told);
        match verdict {
            Verdict::Refused(_) => {
                *self.refused.entry(request).or_default() += 1;
                return;
            }
            Verdict::Wait if now < came + ms(500) => {
                return self.at(now + ms(20), Event::Ask(host, request, number, came));
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
            self.runs.push(now);
        }
        self.next += 1;
        let one = Try {
            host,
            request,
            target,
            process: self.targets[target].0,
            begun: now,
            number,
        };
        self.tries.insert(self.next, one);
        let run = RUN.mul_f64(self.rng.random_range(0.5..1.5));
        let key = self.next;
        self.at(now + run, Event::Ended(key));
    }

    fn end(&mut self, now: Duration, key: usize) {
        let Some(one) = self.tries.remove(&key) else {
            return;
        };
        if one.request == POISON {
            self.tries.insert(key, one);
            let target = self.tries[&key].target;
            return self.die(now, target);
        }
        let host = &mut self.hosts[one.host];
        host.finish(one.request);
        let told = host.record_answer(self.start + now, one.request);
        self.tell(now, one.host, told);
    }

    fn die(&mut self, now: Duration, target: usize) {
        self.targets[target].1 = false;
        self.at(now + ms(3000), Event::Returns(target));
        let lost: Vec<usize> = self
            .tries
            .iter()
            .filter(|(_, one)| one.target == target && one.process == self.targets[target].0)
            .map(|(key, _)| *key)
            .collect();
        for key in lost {
            let one = self.tries.remove(&key).unwrap();
            let digest = target as u64 * 1000 + one.process;
            let host = &mut self.hosts[one.host];
            let news = host.record_break(
                self.start + now,
                one.request,
                digest,
                self.start + one.begun,
            );
            host.finish(one.request);
            let again = host.may_retry(one.request) && one.number == 0;
            self.tell(now, one.host, news.to_counters);
            self.tell(now, one.host, news.to_all);
            if again {
                self.at(now, Event::Ask(one.host, one.request, 1, now));
            }
        }
    }
}

/// A request that crashes targets comes at some rate beside a popular one, with so many hosts and targets, under 20 seeds.
macro_rules! poison {
    ($($name:ident: $hosts:expr, $targets:expr, $rate:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut fleet = Fleet::new(seed, $hosts, $targets)
                    .with_caller(POISON, $rate, 30.0)
                    .with_caller(POPULAR, 50.0, 30.0);
                fleet.play();
                let third = fleet.runs[2];
                let late = fleet.runs.iter().filter(|run| **run > third + ms(3000)).count();
                assert!(late <= 3, "seed {seed}: {late} of {} too late", fleet.runs.len());
                assert_eq!(fleet.refused.get(&POPULAR), None, "seed {seed}");
            }
        }
    )*};
}

poison! {
    a_poison_at_a_few_hosts: 4, 12, 6.0;
    a_poison_at_twelve_hosts: 12, 24, 3.0;
    a_poison_that_many_send: 12, 60, 60.0;
    a_poison_that_comes_seldom: 12, 24, 0.5;
}

/// A popular request while targets end for reasons of their own, at these milliseconds, under 20 seeds: none is refused.
macro_rules! innocent {
    ($($name:ident: $rate:expr, $deaths:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut fleet = Fleet::new(seed, 12, 24).with_caller(POPULAR, $rate, 10.0);
                let deaths: Vec<(u64, usize)> = $deaths;
                for (time, target) in deaths {
                    fleet.at(ms(time), Event::Dies(target));
                }
                fleet.play();
                assert_eq!(fleet.refused, BTreeMap::new(), "seed {seed}");
            }
        }
    )*};
}

innocent! {
    a_rack: 200.0, (0..8).map(|target| (2000, target)).collect();
    a_rack_that_falls_within_a_moment: 200.0, (0..8).map(|target| (2000 + target as u64 * 10, target)).collect();
    a_roll: 200.0, (0..24).map(|target| (1000 + target as u64 * 300, target)).collect();
    a_roll_under_few_requests: 5.0, (0..24).map(|target| (1000 + target as u64 * 300, target)).collect();
    a_service_that_falls_over: 400.0, (0..96).map(|number| (2000 + number * 50, number as usize % 24)).collect();
}

#[test]
fn hosts_differ_in_when_they_try_again() {
    let (host, end) = broken(&[(1, 0, 100), (2, 100, 200), (3, 400, 500)]);
    let pauses: BTreeSet<Duration> = (0..20)
        .map(|seed| {
            let mut other = Quarantine::new(seed);
            for note in host.statuses(end) {
                other.merge(end, &note);
            }
            match other.check(end, POISON).0 {
                Verdict::Refused(pause) => pause,
                verdict => panic!("{verdict:?}"),
            }
        })
        .collect();
    assert_eq!(pauses.len(), 20);
}
