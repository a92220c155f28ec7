//! Tests of the planner lease and the fenced plan against a simulated store that delays calls,
//! loses answers and returns stale reads.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use ragwortfold::control::lease::{self, Candidacy, Condition, Lease, Version};
use ragwortfold::control::plan::{Gate, Stamp};
use ragwortfold::control::publish::{self, Publisher};

/// Step of the virtual clock, in milliseconds.
const STEP: u64 = 25;

/// One object of the store with its history.
struct Object<T> {
    history: Vec<(Version, T)>,
}

impl<T: Clone> Object<T> {
    fn new() -> Self {
        Self {
            history: Vec::new(),
        }
    }

    fn newest(&self) -> Option<(Version, T)> {
        self.history.last().cloned()
    }

    /// A read returns the newest value or, if stale, the previous one.
    fn read(&self, stale: bool) -> Option<(Version, T)> {
        match (stale, self.history.len()) {
            (true, n) if n >= 2 => self.history.get(n - 2).cloned(),
            _ => self.newest(),
        }
    }

    fn write(&mut self, condition: &Condition, value: T) -> Option<Version> {
        let holds = match (condition, self.newest()) {
            (Condition::Absent, None) => true,
            (Condition::Version(wanted), Some((version, _))) => *wanted == version,
            _ => false,
        };
        if !holds {
            return None;
        }
        let version: Version = format!("v{}", self.history.len() + 1).into();
        self.history.push((version.clone(), value));
        Some(version)
    }
}

#[derive(Clone)]
enum Call {
    Lease(lease::Command),
    Plan(publish::Command),
}

enum Answer {
    Lease(lease::Event),
    Plan(publish::Event),
}

/// A scheduled event.
enum Pending {
    Effect(usize, Call, AnswerFate),
    Answer(usize, Answer),
}

#[derive(Clone, Copy, PartialEq)]
enum AnswerFate {
    Answered,
    AnswerLost,
}

struct Host {
    lease: Lease,
    publish: Option<(u64, Publisher)>,
    gate: Gate,
    /// Rate of its clock relative to real time.
    rate: f64,
    paused_until: u64,
    is_dead: bool,
}

/// The fault probabilities of each call.
#[derive(Clone, Copy)]
struct Faults {
    lost: f64,
    down: f64,
    stale: f64,
    slow: f64,
}

const NO_FAULTS: Faults = Faults {
    lost: 0.0,
    down: 0.0,
    stale: 0.0,
    slow: 0.0,
};
const MANY_FAULTS: Faults = Faults {
    lost: 0.15,
    down: 0.05,
    stale: 0.15,
    slow: 0.10,
};

struct World {
    base: Instant,
    time: u64,
    rng: Pcg64,
    faults: Faults,
    hosts: Vec<Host>,
    lease: Object<lease::Value>,
    plan: Object<(Stamp, usize)>,
    pending: BTreeMap<(u64, u64), Pending>,
    last_serial: u64,
    /// Plan writes by a host whose epoch was no longer the highest: attempted, and accepted.
    stale_writes: usize,
    stale_accepted: usize,
    epochs: BTreeMap<u64, usize>,
    calls: usize,
    /// If set, calls reach the store only after this delay, as their sender is paused while it
    /// sends them.
    call_delay: Option<u64>,
}

impl World {
    fn new(seed: u64, hosts: usize, faults: Faults) -> Self {
        let base = Instant::now();
        let mut rng = Pcg64::seed_from_u64(seed);
        let hosts = (0..hosts)
            .map(|n| {
                let mut lease = Lease::new(base, format!("host-{n}.1").into());
                lease.set_candidacy(base, Candidacy::Eligible);
                Host {
                    lease,
                    publish: None,
                    gate: Gate::default(),
                    rate: rng.random_range(0.995..1.005),
                    paused_until: 0,
                    is_dead: false,
                }
            })
            .collect();
        Self {
            base,
            time: 0,
            rng,
            faults,
            hosts,
            lease: Object::new(),
            plan: Object::new(),
            pending: BTreeMap::new(),
            last_serial: 0,
            stale_writes: 0,
            stale_accepted: 0,
            epochs: BTreeMap::new(),
            calls: 0,
            call_delay: None,
        }
    }

    fn clock(&self, host: usize) -> Instant {
        let millis = self.time as f64 * self.hosts[host].rate;
        self.base + Duration::from_secs_f64(millis / 1000.0)
    }

    fn schedule(&mut self, time: u64, event: Pending) {
        self.last_serial += 1;
        self.pending.insert((time, self.last_serial), event);
    }

    fn send(&mut self, host: usize, call: Call) {
        self.calls += 1;
        if let Some(delay) = self.call_delay {
            return self.schedule(
                self.time + delay,
                Pending::Effect(host, call, AnswerFate::Answered),
            );
        }
        if self.rng.random_bool(self.faults.down) {
            let answer = match call {
                Call::Lease(_) => Answer::Lease(lease::Event::Down),
                Call::Plan(_) => Answer::Plan(publish::Event::Down),
            };
            return self.schedule(self.time + 10, Pending::Answer(host, answer));
        }
        let slow = self.rng.random_bool(self.faults.slow);
        let max_delay = if slow { 12_000 } else { 10 };
        let delay = self.rng.random_range(2..=max_delay);
        let lost = self.rng.random_bool(self.faults.lost) || delay > 2_000;
        let answer_fate = if lost {
            AnswerFate::AnswerLost
        } else {
            AnswerFate::Answered
        };
        if lost {
            let answer = match &call {
                Call::Lease(lease::Command::Write { .. }) => Answer::Lease(lease::Event::Uncertain),
                Call::Lease(lease::Command::Read) => Answer::Lease(lease::Event::Down),
                Call::Plan(publish::Command::Write { .. }) => {
                    Answer::Plan(publish::Event::Uncertain)
                }
                Call::Plan(publish::Command::Read) => Answer::Plan(publish::Event::Down),
            };
            self.schedule(
                self.time + 2_000.min(delay + 500),
                Pending::Answer(host, answer),
            );
        }
        self.schedule(self.time + delay, Pending::Effect(host, call, answer_fate));
    }

    /// Runs a call at the store. The answer follows unless it is lost.
    fn run(&mut self, host: usize, call: Call, answer_fate: AnswerFate) {
        let stale = self.rng.random_bool(self.faults.stale);
        let answer = match call {
            Call::Lease(lease::Command::Read) => {
                Answer::Lease(lease::Event::Read(self.lease.read(stale)))
            }
            Call::Lease(lease::Command::Write { value, condition }) => {
                let epoch = value.epoch;
                match self.lease.write(&condition, value) {
                    Some(version) => {
                        let holder = *self.epochs.entry(epoch).or_insert(host);
                        assert_eq!(holder, host, "epoch {epoch} has two holders");
                        Answer::Lease(lease::Event::Written(version))
                    }
                    None => Answer::Lease(lease::Event::Conflict),
                }
            }
            Call::Plan(publish::Command::Read) => {
                let read = self.plan.read(stale);
                let read = read.map(|(version, (stamp, _))| (version, stamp));
                Answer::Plan(publish::Event::Read(read))
            }
            Call::Plan(publish::Command::Write { stamp, condition }) => {
                let fence = self.plan.newest().map_or(0, |(_, (stamp, _))| stamp.epoch);
                let written = self.plan.write(&condition, (stamp, host));
                let stale = stamp.epoch < fence;
                self.stale_writes += usize::from(stale);
                self.stale_accepted += usize::from(stale && written.is_some());
                match written {
                    Some(version) => Answer::Plan(publish::Event::Written(version)),
                    None => Answer::Plan(publish::Event::Conflict),
                }
            }
        };
        if answer_fate == AnswerFate::Answered {
            self.schedule(self.time + 2, Pending::Answer(host, answer));
        }
    }

    fn answer(&mut self, host: usize, answer: Answer) {
        if self.hosts[host].is_dead {
            return;
        }
        let paused = self.hosts[host].paused_until;
        if paused > self.time {
            return self.schedule(paused, Pending::Answer(host, answer));
        }
        let now = self.clock(host);
        let rng = &mut self.rng;
        let host = &mut self.hosts[host];
        match answer {
            Answer::Lease(event) => host.lease.handle_event(now, event, rng),
            Answer::Plan(event) => {
                let Some((_, publish)) = &mut host.publish else {
                    return;
                };
                if let Some(publish::Outcome::Fenced(epoch)) = publish.handle_event(now, event, rng)
                {
                    host.lease.observe_epoch(epoch);
                }
            }
        }
    }

    fn run_host(&mut self, host: usize) {
        if self.hosts[host].is_dead || self.hosts[host].paused_until > self.time {
            return;
        }
        let now = self.clock(host);
        let Self { hosts, rng, .. } = self;
        let it = &mut hosts[host];
        let command = it.lease.tick(now, rng);
        let held = it.lease.held_epoch(now);
        let current = it.publish.as_ref().map(|(epoch, _)| *epoch);
        if let (Some(epoch), true) = (held, held != current) {
            it.publish = Some((epoch, Publisher::new(now, epoch)));
        }
        let mut plan = None;
        if let Some((_, publish)) = &mut it.publish {
            if rng.random_bool(0.02) {
                publish.request_write();
            }
            plan = publish.tick(now, held);
        }
        if let Some(command) = command {
            self.send(host, Call::Lease(command));
        }
        if let Some(command) = plan {
            self.send(host, Call::Plan(command));
        }
    }

    /// A host reads the plan, sometimes an old version.
    fn fetch_plan(&mut self, host: usize) {
        let stale = self.rng.random_bool(0.5);
        let Some((_, (stamp, _))) = self.plan.read(stale) else {
            return;
        };
        let before = self.hosts[host].gate.newest();
        let is_accepted = self.hosts[host].gate.accept(stamp);
        assert_eq!(is_accepted, stamp > before);
    }

    fn step(&mut self) {
        self.time += STEP;
        while let Some((&key, _)) = self.pending.first_key_value() {
            if key.0 > self.time {
                break;
            }
            match self.pending.remove(&key) {
                Some(Pending::Effect(host, call, answer_fate)) => self.run(host, call, answer_fate),
                Some(Pending::Answer(host, answer)) => self.answer(host, answer),
                None => {}
            }
        }
        for host in 0..self.hosts.len() {
            self.run_host(host);
        }
        let host = self.rng.random_range(0..self.hosts.len());
        self.fetch_plan(host);
        let holders = self.holders();
        assert!(holders.len() <= 1, "{holders:?} hold the lease at once");
    }

    /// Pauses a host while it sends its pending calls.
    fn pause(&mut self, host: usize, pause: u64) {
        if let Some((_, publish)) = &mut self.hosts[host].publish {
            publish.request_write();
        }
        self.call_delay = Some(pause);
        self.run_host(host);
        self.call_delay = None;
        self.hosts[host].paused_until = self.time + pause;
    }

    fn holders(&self) -> BTreeSet<usize> {
        (0..self.hosts.len())
            .filter(|&n| !self.hosts[n].is_dead)
            .filter(|&n| self.hosts[n].lease.held_epoch(self.clock(n)).is_some())
            .collect()
    }

    fn check_plans(&self) {
        let stamps: Vec<Stamp> = self.plan.history.iter().map(|(_, (s, _))| *s).collect();
        assert!(
            stamps.windows(2).all(|pair| pair[0] < pair[1]),
            "{stamps:?}"
        );
    }

    fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.time;
        while self.time < start + limit {
            self.step();
            if done(self) {
                return Some(self.time - start);
            }
        }
        None
    }
}

/// Pauses the holder and other hosts at random, with the given faults.
fn run_pauses(seed: u64, count: usize, faults: Faults) -> (usize, usize, usize) {
    let mut world = World::new(seed, 5, faults);
    for _ in 0..count {
        let idle_time = world.rng.random_range(500..8_000);
        world.run_until(idle_time, |_| false);
        let holder = world.holders().first().copied();
        let any = world.rng.random_range(0..5);
        let host = holder.filter(|_| world.rng.random_bool(0.8)).unwrap_or(any);
        let pause = world.rng.random_range(200..20_000);
        world.pause(host, pause);
    }
    world.run_until(30_000, |_| false);
    world.check_plans();
    assert_eq!(
        world.stale_accepted, 0,
        "seed {seed}: a stale plan was accepted"
    );
    assert!(
        world.epochs.len() > count / 20,
        "the lease rarely changed its holder"
    );
    (
        world.stale_writes,
        world.epochs.len(),
        world.plan.history.len(),
    )
}

#[test]
fn no_write_of_a_stale_holder_is_accepted_in_a_thousand_pauses() {
    let (mut tried, mut epochs, mut plans) = (0, 0, 0);
    for seed in 0..20 {
        let (t, e, p) = run_pauses(seed, 50, MANY_FAULTS);
        tried += t;
        epochs += e;
        plans += p;
    }
    println!("1000 pauses: {epochs} epochs, {plans} plans, {tried} stale writes refused");
    assert!(
        tried > 0,
        "no stale write was attempted, so the test shows nothing"
    );
}

/// Time from the holder's death to the first plan of its successor, in milliseconds.
fn hand_over_time(seed: u64, hosts: usize) -> u64 {
    let mut world = World::new(seed, hosts, NO_FAULTS);
    let published = |world: &World| world.plan.newest().is_some();
    assert!(world.run_until(20_000, published).is_some());
    let more = world.rng.random_range(0..6_000);
    world.run_until(more, |_| false);
    let holder = *world.holders().first().expect("a holder");
    let (_, (stamp, _)) = world.plan.newest().expect("a plan");
    world.hosts[holder].is_dead = true;
    let next = move |world: &World| {
        let (_, (newest, _)) = world.plan.newest().expect("a plan");
        newest.epoch > stamp.epoch
    };
    world.run_until(30_000, next).expect("a hand-over")
}

#[test]
fn the_lease_is_handed_over_within_ten_seconds_of_a_death() {
    for hosts in [2, 12, 30] {
        let mut times: Vec<u64> = (0..100).map(|seed| hand_over_time(seed, hosts)).collect();
        times.sort_unstable();
        println!(
            "{hosts} candidates: p50 {} ms, max {} ms",
            times[50], times[99]
        );
        assert!(times[99] < 10_000, "{hosts} candidates: {} ms", times[99]);
    }
}

#[test]
fn the_store_is_called_at_a_bounded_rate() {
    let mut world = World::new(7, 30, NO_FAULTS);
    world.run_until(60_000, |_| false);
    let rate = world.calls as f64 / 60.0;
    println!("30 candidates: {rate:.1} calls a second");
    assert!(rate < 30.0, "{rate} calls a second");
}

/// A single lease whose events a test supplies.
struct Script {
    base: Instant,
    rng: Pcg64,
    lease: Lease,
}

impl Script {
    fn new() -> Self {
        let base = Instant::now();
        let mut lease = Lease::new(base, "a.1".into());
        lease.set_candidacy(base, Candidacy::Eligible);
        Self {
            base,
            rng: Pcg64::seed_from_u64(1),
            lease,
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.base + Duration::from_millis(millis)
    }

    fn tick(&mut self, millis: u64) -> Option<lease::Command> {
        let now = self.at(millis);
        self.lease.tick(now, &mut self.rng)
    }

    fn handle_event(&mut self, millis: u64, event: lease::Event) {
        let now = self.at(millis);
        self.lease.handle_event(now, event, &mut self.rng);
    }

    /// The value of the write that is due by `millis`.
    fn write(&mut self, millis: u64) -> lease::Value {
        match self.tick(millis) {
            Some(lease::Command::Write { value, .. }) => value,
            other => panic!("{other:?} at {millis}"),
        }
    }

    fn held_epoch(&self, millis: u64) -> Option<u64> {
        self.lease.held_epoch(self.at(millis))
    }

    /// Acquires a free lease with a write sent at 1,000 ms.
    fn take(&mut self) -> lease::Value {
        assert_eq!(self.tick(0), Some(lease::Command::Read));
        self.handle_event(1, lease::Event::Read(None));
        self.write(1_000)
    }
}

fn other(epoch: u64, ttl: Duration) -> (Version, lease::Value) {
    let value = lease::Value {
        holder: "b.1".into(),
        epoch,
        identity: 1,
        ttl,
    };
    ("x".into(), value)
}

macro_rules! case {
    ($($name:ident: $body:expr),* $(,)?) => {
        $(#[test] fn $name() { let body: fn(&mut Script) = $body; body(&mut Script::new()); })*
    };
}

case! {
    validity_counts_from_before_the_write: |it| {
        it.take();
        it.handle_event(3_000, lease::Event::Written("v1".into()));
        assert_eq!(it.held_epoch(5_800), Some(1));
        assert_eq!(it.held_epoch(6_000), None);
    },
    a_lost_answer_is_settled_by_its_identity: |it| {
        let value = it.take();
        it.handle_event(2_000, lease::Event::Uncertain);
        assert_eq!(it.held_epoch(2_000), None);
        assert_eq!(it.tick(2_500), Some(lease::Command::Read));
        it.handle_event(2_600, lease::Event::Read(Some(("v1".into(), value))));
        assert_eq!(it.held_epoch(5_800), Some(1));
        assert_eq!(it.held_epoch(6_000), None);
    },
    a_lost_write_that_takes_effect_late_is_recognized: |it| {
        let value = it.take();
        it.handle_event(2_000, lease::Event::Uncertain);
        assert_eq!(it.tick(2_500), Some(lease::Command::Read));
        it.handle_event(2_510, lease::Event::Read(None));
        it.write(3_200);
        it.handle_event(3_300, lease::Event::Conflict);
        assert_eq!(it.tick(3_300), Some(lease::Command::Read));
        it.handle_event(3_400, lease::Event::Read(Some(("v1".into(), value))));
        assert_eq!(it.held_epoch(5_800), Some(1));
        assert_eq!(it.held_epoch(6_000), None);
    },
    the_wait_for_another_holder_uses_the_own_clock: |it| {
        it.tick(0);
        it.handle_event(100, lease::Event::Read(Some(other(7, lease::TTL))));
        let mut now = 100;
        let value = loop {
            now += 50;
            match it.tick(now) {
                Some(lease::Command::Read) => {
                    it.handle_event(now, lease::Event::Read(Some(other(7, lease::TTL))));
                }
                Some(lease::Command::Write { value, .. }) => break value,
                None => {}
            }
        };
        assert!((5_100..5_800).contains(&now), "{now}");
        assert_eq!(value.epoch, 8);
    },
    a_renewal_by_the_other_restarts_the_wait: |it| {
        it.tick(0);
        it.handle_event(100, lease::Event::Read(Some(other(7, lease::TTL))));
        let mut now = 100;
        while now < 10_000 {
            now += 50;
            let found = (Arc::from(format!("x{}", now / 1_500)), other(7, lease::TTL).1);
            match it.tick(now) {
                Some(lease::Command::Read) => it.handle_event(now, lease::Event::Read(Some(found))),
                Some(command) => panic!("{command:?} at {now}"),
                None => {}
            }
        }
    },
    a_lease_given_up_is_taken_without_a_wait: |it| {
        it.tick(0);
        it.handle_event(100, lease::Event::Read(Some(other(7, Duration::ZERO))));
        assert_eq!(it.write(800).epoch, 8);
    },
    a_leaving_holder_gives_it_up_at_once: |it| {
        it.take();
        it.handle_event(1_010, lease::Event::Written("v1".into()));
        let now = it.at(1_200);
        it.lease.set_candidacy(now, Candidacy::Ineligible);
        assert_eq!(it.write(1_200).ttl, Duration::ZERO);
        assert_eq!(it.held_epoch(1_200), None);
    },
    a_lapsed_holder_takes_a_new_epoch: |it| {
        it.take();
        it.handle_event(1_010, lease::Event::Written("v1".into()));
        assert_eq!(it.held_epoch(20_000), None);
        assert_eq!(it.write(20_000).epoch, 2);
    },
    a_new_epoch_exceeds_that_of_any_plan: |it| {
        it.lease.observe_epoch(41);
        assert_eq!(it.take().epoch, 42);
    },
    a_store_that_lags_is_not_called_in_a_loop: |it| {
        let mut calls = 0;
        for now in 0..60_000 {
            match it.tick(now) {
                Some(lease::Command::Read) => {
                    it.handle_event(now, lease::Event::Read(Some(other(7, lease::TTL))));
                }
                Some(lease::Command::Write { .. }) => it.handle_event(now, lease::Event::Conflict),
                None => continue,
            }
            calls += 1;
        }
        assert!((20..=100).contains(&calls), "{calls}");
    },
    an_excessive_time_to_live_is_bounded: |it| {
        it.tick(0);
        it.handle_event(1, lease::Event::Read(Some(other(7, Duration::MAX))));
        let mut now = 1;
        while now < 70_000 {
            now += 100;
            match it.tick(now) {
                Some(lease::Command::Read) => {
                    it.handle_event(now, lease::Event::Read(Some(other(7, Duration::MAX))));
                }
                Some(lease::Command::Write { value, .. }) => {
                    return assert_eq!(value.epoch, 8);
                }
                None => {}
            }
        }
        panic!("the lease was never acquired");
    },
    an_outage_causes_back_off: |it| {
        let mut calls = 0;
        for now in 0..60_000 {
            if it.tick(now).is_some() {
                calls += 1;
                it.handle_event(now, lease::Event::Down);
            }
        }
        assert!((20..=45).contains(&calls), "{calls}");
    },
}

#[test]
fn the_gate_accepts_only_increasing_stamps() {
    let stamp = |epoch, sequence| Stamp { epoch, sequence };
    let mut gate = Gate::default();
    let table = [
        (stamp(1, 1), true),
        (stamp(1, 1), false),
        (stamp(1, 3), true),
        (stamp(1, 2), false),
        (stamp(2, 1), true),
        (stamp(1, 9), false),
    ];
    for (stamp, is_accepted) in table {
        assert_eq!(gate.accept(stamp), is_accepted, "{stamp:?}");
    }
}
