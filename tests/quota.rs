//! Quotas and the pool they are lent from.

#![allow(clippy::unwrap_used)]

mod catalogs;

use std::time::{Duration, Instant};

use catalogs::{catalog, configuration, hosts, next_catalog, region, SMALL};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use ragwortfold::catalog::{Catalog, HostKey};
use ragwortfold::steer::quota::{
    inside, outside, part, Loan, Pool, Quota, Serial, DRIFT, MAX_GIVEN,
};

const SECOND: Duration = Duration::from_secs(1);

fn at(base: Instant, seconds: f64) -> Instant {
    base + Duration::from_secs_f64(seconds)
}

/// How many requests get through when one is tried each millisecond.
fn taken(quota: &mut Quota, base: Instant, from: u64, to: u64) -> usize {
    let tries = from * 1000..to * 1000;
    tries
        .filter(|&ms| quota.take(base + Duration::from_millis(ms), 1.0).is_ok())
        .count()
}

#[test]
fn parts_of_all_senders_make_up_the_limit() {
    let mut value = configuration(SMALL);
    value["hosts"]["r1-z0-h0"]["state"] = serde_json::json!("off");
    let catalog = next_catalog(&Catalog::default(), value);
    assert_eq!(outside(&catalog, region(&catalog, "r0")), 7);
    assert_eq!(inside(&catalog, region(&catalog, "r0")), 4);
    assert!((part(400.0, 0.8, 7) * 7.0 - 320.0).abs() < 1e-9);
}

#[test]
fn a_fraction_of_a_request_a_second_is_saved_up() {
    let base = Instant::now();
    let mut quota = Quota::new(part(320.0, 0.8, 680), base, 1);
    let refusal = quota.take(base, 1.0).unwrap_err();
    assert!((refusal.retry_after.as_secs_f64() - 680.0 / 256.0).abs() < 1e-6);
    assert_eq!(taken(&mut quota, base, 0, 680), 255);
    let mut nothing = Quota::new(0.0, base, 1);
    assert!(nothing.take(base + SECOND, 1.0).unwrap_err().retry_after >= SECOND);
}

#[test]
fn a_large_cost_is_owed_and_a_certain_not_run_is_put_back() {
    let base = Instant::now();
    let mut quota = Quota::new(1000.0, base, 1);
    assert_eq!(quota.take(at(base, 1.0), 8000.0), Ok(()));
    let refusal = quota.take(at(base, 2.0), 100.0).unwrap_err();
    assert!((refusal.retry_after.as_secs_f64() - 7.0).abs() < 1e-6);
    quota.put_back(at(base, 2.0), 8000.0);
    assert_eq!(quota.take(at(base, 2.0), 100.0), Ok(()));
    assert!(
        quota.take(at(base, 2.0), 1.0).is_err(),
        "more saved up than the burst"
    );
}

#[test]
fn a_bonus_counts_from_its_request_and_lapses_by_itself() {
    let base = Instant::now();
    let mut quota = Quota::new(10.0, base, 1);
    let loan = Loan {
        rate: 90.0,
        lifetime: 10 * SECOND,
    };
    let late = quota.request(base);
    assert!(
        !quota.grant(at(base, 10.0), late, loan),
        "granted after its time"
    );
    let request = quota.request(at(base, 10.0));
    assert!(quota.grant(at(base, 14.0), request, loan));
    assert!(!quota.grant(at(base, 15.0), request, loan), "granted twice");
    assert_eq!(quota.rate(at(base, 19.9)), 100.0);
    assert_eq!(quota.rate(at(base, 20.0)), 10.0);
    assert!(taken(&mut quota, base, 14, 114) <= 6 * 100 + 94 * 10 + 1);
    let foreign = Serial {
        issuer: 2,
        count: 3,
    };
    assert!(
        !quota.grant(at(base, 115.0), foreign, loan),
        "granted to another incarnation"
    );
}

#[test]
fn a_given_part_is_not_used_and_half_is_kept() {
    let base = Instant::now();
    let mut quota = Quota::new(10.0, base, 1);
    assert_eq!(quota.give(base, 100.0, 10 * SECOND), 5.0);
    assert_eq!(quota.give(at(base, 1.0), 100.0, 10 * SECOND), 0.0);
    assert!(taken(&mut quota, base, 0, 10) <= 51);
    assert_eq!(quota.rate(at(base, 10.0)), 10.0);
    let restarted = Quota::with_start(10.0, base, 2);
    assert_eq!(restarted.rate(base + MAX_GIVEN), 5.0);
    assert_eq!(restarted.rate(base + 2 * MAX_GIVEN), 10.0);
}

#[test]
fn a_pool_lends_each_unit_once_at_a_time() {
    let base = Instant::now();
    let catalog = catalog(SMALL);
    let keys: Vec<HostKey> = hosts(&catalog).into_values().collect();
    let mut pool = Pool::new(1);
    let question = pool.ask(base);
    assert!(pool.give(base, question, keys[0], 5.0, 10 * SECOND));
    assert!(
        !pool.give(base, question, keys[0], 5.0, 10 * SECOND),
        "answered twice"
    );
    assert!(!pool.give(
        base,
        Serial {
            issuer: 2,
            count: 1
        },
        keys[1],
        5.0,
        10 * SECOND
    ));
    assert!(pool.give(base, question, keys[1], 2.0, 10 * SECOND));
    assert_eq!(pool.free(base, 4 * SECOND), 7.0);
    assert_eq!(pool.lend(base, 6.0, 4 * SECOND).unwrap().rate, 6.0);
    assert_eq!(pool.lend(base, 6.0, 4 * SECOND).unwrap().rate, 1.0);
    assert_eq!(pool.lend(at(base, 4.0), 6.0, 4 * SECOND), None);
    assert_eq!(pool.lend(at(base, 4.5), 6.0, 4 * SECOND).unwrap().rate, 6.0);
    assert_eq!(
        pool.lend(at(base, 9.0), 6.0, 4 * SECOND),
        None,
        "lent beyond its return"
    );
}

/// Messages between holders and planners, by index.
#[derive(Clone, Copy, Debug)]
enum Message {
    Ask(usize, usize, Serial),
    Answer(usize, usize, Serial, Loan),
    Request(usize, usize, Serial),
    Grant(usize, Serial, Loan),
}

/// What happens next, by kind, to whom, and when a message that results is delivered.
#[derive(Clone, Debug)]
struct Step {
    gap: u64,
    kind: u8,
    who: usize,
    lifetime: u64,
    delays: Vec<Option<u64>>,
}

const HOLDERS: usize = 4;
const PLANNERS: usize = 2;
/// Time between checks, in milliseconds.
const TICK: u64 = 10;
const LIMIT: f64 = 100.0;

/// A process's clock: how fast it runs, and until when the process is paused.
#[derive(Clone, Copy)]
struct Process {
    rate: f64,
    paused: u64,
}

struct Fleet {
    base: Instant,
    keys: Vec<HostKey>,
    processes: Vec<Process>,
    quotas: Vec<Quota>,
    pools: Vec<Pool>,
    sent: Vec<(u64, Message)>,
    issued: u64,
    lent: f64,
}

impl Fleet {
    fn new(rates: &[f64]) -> Self {
        let base = Instant::now();
        let part = part(LIMIT, 0.8, HOLDERS);
        Self {
            base,
            keys: hosts(&catalog(SMALL)).into_values().collect(),
            processes: rates
                .iter()
                .map(|&rate| Process { rate, paused: 0 })
                .collect(),
            quotas: (0..HOLDERS)
                .map(|at| Quota::new(part, base, at as u64))
                .collect(),
            pools: (0..PLANNERS).map(|at| Pool::new(at as u64)).collect(),
            sent: Vec::new(),
            issued: 100,
            lent: 0.0,
        }
    }

    fn clock(&self, process: usize, real: u64) -> Instant {
        at(
            self.base,
            real as f64 / 1000.0 * self.processes[process].rate,
        )
    }

    fn send(&mut self, real: u64, step: &Step, message: Message) {
        let delays = step.delays.iter().flatten();
        self.sent
            .extend(delays.map(|delay| (real + delay, message)));
    }

    fn act(&mut self, real: u64, step: &Step) {
        let (holder, planner) = (step.who % HOLDERS, step.who % PLANNERS);
        match step.kind {
            0..=2 => {
                let now = self.clock(HOLDERS + planner, real);
                let question = self.pools[planner].ask(now);
                for holder in 0..HOLDERS {
                    self.send(real, step, Message::Ask(planner, holder, question));
                }
            }
            3..=6 => {
                let now = self.clock(holder, real);
                let request = self.quotas[holder].request(now);
                self.send(
                    real,
                    step,
                    Message::Request(step.who / 2 % PLANNERS, holder, request),
                );
            }
            7 => self.processes[step.who % (HOLDERS + PLANNERS)].paused = real + step.lifetime,
            8 => {
                self.issued += 1;
                let now = self.clock(holder, real);
                let part = part(LIMIT, 0.8, HOLDERS);
                self.quotas[holder] = Quota::with_start(part, now, self.issued);
            }
            _ => {
                self.issued += 1;
                self.pools[planner] = Pool::new(self.issued);
            }
        }
    }

    fn receive(&mut self, real: u64, step: &Step, message: Message) {
        let lifetime = Duration::from_millis(step.lifetime);
        match message {
            Message::Ask(planner, holder, question) => {
                let now = self.clock(holder, real);
                let lifetime = 2 * lifetime;
                let rate = self.quotas[holder].give(now, 8.0, lifetime);
                let given = Loan { rate, lifetime };
                self.send(
                    real,
                    step,
                    Message::Answer(planner, holder, question, given),
                );
            }
            Message::Answer(planner, holder, question, given) => {
                let now = self.clock(HOLDERS + planner, real);
                let key = self.keys[holder];
                self.pools[planner].give(now, question, key, given.rate, given.lifetime);
            }
            Message::Request(planner, holder, request) => {
                let now = self.clock(HOLDERS + planner, real);
                if let Some(loan) = self.pools[planner].lend(now, 20.0, lifetime) {
                    self.send(real, step, Message::Grant(holder, request, loan));
                }
            }
            Message::Grant(holder, request, loan) => {
                let now = self.clock(holder, real);
                if self.quotas[holder].grant(now, request, loan) {
                    self.lent += loan.rate;
                }
            }
        }
    }

    /// The process that acts on a message.
    fn receiver(message: Message) -> usize {
        match message {
            Message::Ask(_, holder, _) | Message::Grant(holder, ..) => holder,
            Message::Answer(planner, ..) | Message::Request(planner, ..) => HOLDERS + planner,
        }
    }

    /// Delivers what is due to processes that run.
    fn deliver(&mut self, real: u64, step: &Step) {
        let due = |&(time, message): &(u64, Message)| {
            time <= real && self.processes[Self::receiver(message)].paused <= real
        };
        let (due, later): (Vec<_>, Vec<_>) = self.sent.iter().copied().partition(due);
        self.sent = later;
        for (_, message) in due {
            self.receive(real, step, message);
        }
    }

    /// What all holders may use, those that are paused as well.
    fn usable(&self, real: u64) -> f64 {
        let rate = |(at, quota): (usize, &Quota)| quota.rate(self.clock(at, real));
        self.quotas.iter().enumerate().map(rate).sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let delay = prop_oneof![5 => (0..40u64).prop_map(Some), 2 => (0..9000u64).prop_map(Some), 1 => Just(None)];
    let delays = prop::collection::vec(delay, 1..3);
    (0..1500u64, 0..10u8, 0..64usize, 500..8000u64, delays).prop_map(
        |(gap, kind, who, lifetime, delays)| Step {
            gap,
            kind,
            who,
            lifetime,
            delays,
        },
    )
}

#[test]
fn usable_quotas_never_exceed_the_limit() {
    let rates = prop::collection::vec(1.0 - DRIFT..1.0 + DRIFT, HOLDERS + PLANNERS);
    let config = ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let strategy = (rates, prop::collection::vec(step(), 1..250));
    let lent = std::cell::Cell::new(0.0);
    let test = |(rates, steps): (Vec<f64>, Vec<Step>)| {
        let mut fleet = Fleet::new(&rates);
        let mut real = 0;
        for step in steps {
            for _ in 0..=step.gap / TICK {
                real += TICK;
                fleet.deliver(real, &step);
                let usable = fleet.usable(real);
                prop_assert!(usable <= LIMIT * 0.8 + 1e-6, "{} at {} ms", usable, real);
            }
            fleet.act(real, &step);
        }
        lent.set(lent.get() + fleet.lent);
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, test)
        .expect("no counterexample");
    assert!(
        lent.get() > 1000.0,
        "only {} were lent, so nothing was tried",
        lent.get()
    );
}
