//! Quotas, and the pool that lends released quota.

#![allow(clippy::unwrap_used)]

mod catalogs;

use std::time::{Duration, Instant};

use catalogs::{catalog, configuration, hosts, next_catalog, region, SMALL};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use ragwortfold::catalog::{Catalog, HostKey};
use ragwortfold::steer::quota::{
    hosts_inside, hosts_outside, static_part, Loan, Pool, Quota, Serial, MAX_CLOCK_DRIFT,
    MAX_RELEASE_TIME,
};

const SECOND: Duration = Duration::from_secs(1);

fn at(base: Instant, seconds: f64) -> Instant {
    base + Duration::from_secs_f64(seconds)
}

/// Returns how many requests are accepted if one is attempted each millisecond.
fn count_taken(quota: &mut Quota, base: Instant, from: u64, to: u64) -> usize {
    let attempts_ms = from * 1000..to * 1000;
    attempts_ms
        .filter(|&ms| quota.take(base + Duration::from_millis(ms), 1.0).is_ok())
        .count()
}

#[test]
fn parts_of_all_senders_make_up_the_limit() {
    let mut value = configuration(SMALL);
    value["hosts"]["r1-z0-h0"]["state"] = serde_json::json!("off");
    let catalog = next_catalog(&Catalog::default(), value);
    assert_eq!(hosts_outside(&catalog, region(&catalog, "r0")), 7);
    assert_eq!(hosts_inside(&catalog, region(&catalog, "r0")), 4);
    assert!((static_part(400.0, 0.8, 7) * 7.0 - 320.0).abs() < 1e-9);
}

#[test]
fn a_fraction_of_a_request_per_second_accumulates() {
    let base = Instant::now();
    let mut quota = Quota::new(static_part(320.0, 0.8, 680), base, 1);
    let refusal = quota.take(base, 1.0).unwrap_err();
    assert!((refusal.retry_after.as_secs_f64() - 680.0 / 256.0).abs() < 1e-6);
    assert_eq!(count_taken(&mut quota, base, 0, 680), 255);
    let mut empty_quota = Quota::new(0.0, base, 1);
    assert!(
        empty_quota
            .take(base + SECOND, 1.0)
            .unwrap_err()
            .retry_after
            >= SECOND
    );
}

#[test]
fn a_large_cost_is_owed_and_an_unexecuted_request_is_refunded() {
    let base = Instant::now();
    let mut quota = Quota::new(1000.0, base, 1);
    assert_eq!(quota.take(at(base, 1.0), 8000.0), Ok(()));
    let refusal = quota.take(at(base, 2.0), 100.0).unwrap_err();
    assert!((refusal.retry_after.as_secs_f64() - 7.0).abs() < 1e-6);
    quota.refund(at(base, 2.0), 8000.0);
    assert_eq!(quota.take(at(base, 2.0), 100.0), Ok(()));
    assert!(
        quota.take(at(base, 2.0), 1.0).is_err(),
        "accumulated more than the burst"
    );
}

#[test]
fn a_bonus_lasts_from_its_request_and_expires_by_itself() {
    let base = Instant::now();
    let mut quota = Quota::new(10.0, base, 1);
    let loan = Loan {
        rate: 90.0,
        lifetime: 10 * SECOND,
    };
    let late_request = quota.request_bonus(base);
    assert!(
        !quota.accept_bonus(at(base, 10.0), late_request, loan),
        "granted after its lifetime"
    );
    let request = quota.request_bonus(at(base, 10.0));
    assert!(quota.accept_bonus(at(base, 14.0), request, loan));
    assert!(
        !quota.accept_bonus(at(base, 15.0), request, loan),
        "granted twice"
    );
    assert_eq!(quota.rate(at(base, 19.9)), 100.0);
    assert_eq!(quota.rate(at(base, 20.0)), 10.0);
    assert!(count_taken(&mut quota, base, 14, 114) <= 6 * 100 + 94 * 10 + 1);
    let foreign = Serial {
        issuer: 2,
        count: 3,
    };
    assert!(
        !quota.accept_bonus(at(base, 115.0), foreign, loan),
        "granted to another incarnation"
    );
}

#[test]
fn a_released_part_is_not_used_and_half_is_kept() {
    let base = Instant::now();
    let mut quota = Quota::new(10.0, base, 1);
    assert_eq!(quota.release(base, 100.0, 10 * SECOND), 5.0);
    assert_eq!(quota.release(at(base, 1.0), 100.0, 10 * SECOND), 0.0);
    assert!(count_taken(&mut quota, base, 0, 10) <= 51);
    assert_eq!(quota.rate(at(base, 10.0)), 10.0);
    let restarted = Quota::with_start(10.0, base, 2);
    assert_eq!(restarted.rate(base + MAX_RELEASE_TIME), 5.0);
    assert_eq!(restarted.rate(base + 2 * MAX_RELEASE_TIME), 10.0);
}

#[test]
fn a_pool_lends_each_unit_once_at_a_time() {
    let base = Instant::now();
    let catalog = catalog(SMALL);
    let keys: Vec<HostKey> = hosts(&catalog).into_values().collect();
    let mut pool = Pool::new(1);
    let question = pool.query_holders(base);
    assert!(pool.accept_offer(base, question, keys[0], 5.0, 10 * SECOND));
    assert!(
        !pool.accept_offer(base, question, keys[0], 5.0, 10 * SECOND),
        "answered twice"
    );
    assert!(!pool.accept_offer(
        base,
        Serial {
            issuer: 2,
            count: 1
        },
        keys[1],
        5.0,
        10 * SECOND
    ));
    assert!(pool.accept_offer(base, question, keys[1], 2.0, 10 * SECOND));
    assert_eq!(pool.lendable(base, 4 * SECOND), 7.0);
    assert_eq!(pool.lend(base, 6.0, 4 * SECOND).unwrap().rate, 6.0);
    assert_eq!(pool.lend(base, 6.0, 4 * SECOND).unwrap().rate, 1.0);
    assert_eq!(pool.lend(at(base, 4.0), 6.0, 4 * SECOND), None);
    assert_eq!(pool.lend(at(base, 4.5), 6.0, 4 * SECOND).unwrap().rate, 6.0);
    assert_eq!(
        pool.lend(at(base, 9.0), 6.0, 4 * SECOND),
        None,
        "the loan would end after the released rate returns to its holder"
    );
}

/// Messages between holders and planners, which are identified by index.
#[derive(Clone, Copy, Debug)]
enum Message {
    Ask(usize, usize, Serial),
    Answer(usize, usize, Serial, Loan),
    Request(usize, usize, Serial),
    Grant(usize, Serial, Loan),
}

/// The next action: its kind, the acting process, and the delivery delays of resulting messages.
#[derive(Clone, Debug)]
struct Step {
    delay_ms: u64,
    kind: u8,
    process: usize,
    lifetime: u64,
    delays: Vec<Option<u64>>,
}

const HOLDERS: usize = 4;
const PLANNERS: usize = 2;
/// Time between checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;
const LIMIT: f64 = 100.0;

/// A process's clock rate, and the time until which the process is paused.
#[derive(Clone, Copy)]
struct Process {
    rate: f64,
    paused_until_ms: u64,
}

struct Fleet {
    base: Instant,
    keys: Vec<HostKey>,
    processes: Vec<Process>,
    quotas: Vec<Quota>,
    pools: Vec<Pool>,
    in_transit: Vec<(u64, Message)>,
    issued: u64,
    total_lent: f64,
}

impl Fleet {
    fn new(rates: &[f64]) -> Self {
        let base = Instant::now();
        let part = static_part(LIMIT, 0.8, HOLDERS);
        Self {
            base,
            keys: hosts(&catalog(SMALL)).into_values().collect(),
            processes: rates
                .iter()
                .map(|&rate| Process {
                    rate,
                    paused_until_ms: 0,
                })
                .collect(),
            quotas: (0..HOLDERS)
                .map(|at| Quota::new(part, base, at as u64))
                .collect(),
            pools: (0..PLANNERS).map(|at| Pool::new(at as u64)).collect(),
            in_transit: Vec::new(),
            issued: 100,
            total_lent: 0.0,
        }
    }

    fn clock(&self, process: usize, real_ms: u64) -> Instant {
        at(
            self.base,
            real_ms as f64 / 1000.0 * self.processes[process].rate,
        )
    }

    fn send(&mut self, real_ms: u64, step: &Step, message: Message) {
        let delays = step.delays.iter().flatten();
        self.in_transit
            .extend(delays.map(|delay| (real_ms + delay, message)));
    }

    fn start_action(&mut self, real_ms: u64, step: &Step) {
        let (holder, planner) = (step.process % HOLDERS, step.process % PLANNERS);
        match step.kind {
            0..=2 => {
                let now = self.clock(HOLDERS + planner, real_ms);
                let question = self.pools[planner].query_holders(now);
                for holder in 0..HOLDERS {
                    self.send(real_ms, step, Message::Ask(planner, holder, question));
                }
            }
            3..=6 => {
                let now = self.clock(holder, real_ms);
                let request = self.quotas[holder].request_bonus(now);
                self.send(
                    real_ms,
                    step,
                    Message::Request(step.process / 2 % PLANNERS, holder, request),
                );
            }
            7 => {
                self.processes[step.process % (HOLDERS + PLANNERS)].paused_until_ms =
                    real_ms + step.lifetime
            }
            8 => {
                self.issued += 1;
                let now = self.clock(holder, real_ms);
                let part = static_part(LIMIT, 0.8, HOLDERS);
                self.quotas[holder] = Quota::with_start(part, now, self.issued);
            }
            _ => {
                self.issued += 1;
                self.pools[planner] = Pool::new(self.issued);
            }
        }
    }

    fn receive(&mut self, real_ms: u64, step: &Step, message: Message) {
        let lifetime = Duration::from_millis(step.lifetime);
        match message {
            Message::Ask(planner, holder, question) => {
                let now = self.clock(holder, real_ms);
                let lifetime = 2 * lifetime;
                let rate = self.quotas[holder].release(now, 8.0, lifetime);
                let released = Loan { rate, lifetime };
                self.send(
                    real_ms,
                    step,
                    Message::Answer(planner, holder, question, released),
                );
            }
            Message::Answer(planner, holder, question, released) => {
                let now = self.clock(HOLDERS + planner, real_ms);
                let key = self.keys[holder];
                self.pools[planner].accept_offer(
                    now,
                    question,
                    key,
                    released.rate,
                    released.lifetime,
                );
            }
            Message::Request(planner, holder, request) => {
                let now = self.clock(HOLDERS + planner, real_ms);
                if let Some(loan) = self.pools[planner].lend(now, 20.0, lifetime) {
                    self.send(real_ms, step, Message::Grant(holder, request, loan));
                }
            }
            Message::Grant(holder, request, loan) => {
                let now = self.clock(holder, real_ms);
                if self.quotas[holder].accept_bonus(now, request, loan) {
                    self.total_lent += loan.rate;
                }
            }
        }
    }

    /// Returns the process that receives a message.
    fn receiver(message: Message) -> usize {
        match message {
            Message::Ask(_, holder, _) | Message::Grant(holder, ..) => holder,
            Message::Answer(planner, ..) | Message::Request(planner, ..) => HOLDERS + planner,
        }
    }

    /// Delivers the messages that are due to processes that are not paused.
    fn deliver(&mut self, real_ms: u64, step: &Step) {
        let due = |&(time, message): &(u64, Message)| {
            time <= real_ms && self.processes[Self::receiver(message)].paused_until_ms <= real_ms
        };
        let (due, undelivered): (Vec<_>, Vec<_>) = self.in_transit.iter().copied().partition(due);
        self.in_transit = undelivered;
        for (_, message) in due {
            self.receive(real_ms, step, message);
        }
    }

    /// Returns the total usable rate of all holders, including paused ones.
    fn usable(&self, real_ms: u64) -> f64 {
        let rate = |(holder, quota): (usize, &Quota)| quota.rate(self.clock(holder, real_ms));
        self.quotas.iter().enumerate().map(rate).sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let delay = prop_oneof![5 => (0..40u64).prop_map(Some), 2 => (0..9000u64).prop_map(Some), 1 => Just(None)];
    let delays = prop::collection::vec(delay, 1..3);
    (0..1500u64, 0..10u8, 0..64usize, 500..8000u64, delays).prop_map(
        |(delay_ms, kind, process, lifetime, delays)| Step {
            delay_ms,
            kind,
            process,
            lifetime,
            delays,
        },
    )
}

#[test]
fn usable_quotas_never_exceed_the_limit() {
    let rates = prop::collection::vec(
        1.0 - MAX_CLOCK_DRIFT..1.0 + MAX_CLOCK_DRIFT,
        HOLDERS + PLANNERS,
    );
    let config = ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let strategy = (rates, prop::collection::vec(step(), 1..250));
    let total_lent = std::cell::Cell::new(0.0);
    let test = |(rates, steps): (Vec<f64>, Vec<Step>)| {
        let mut fleet = Fleet::new(&rates);
        let mut real_ms = 0;
        for step in steps {
            for _ in 0..=step.delay_ms / CHECK_INTERVAL_MS {
                real_ms += CHECK_INTERVAL_MS;
                fleet.deliver(real_ms, &step);
                let usable = fleet.usable(real_ms);
                prop_assert!(usable <= LIMIT * 0.8 + 1e-6, "{} at {} ms", usable, real_ms);
            }
            fleet.start_action(real_ms, &step);
        }
        total_lent.set(total_lent.get() + fleet.total_lent);
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, test)
        .expect("no counterexample");
    assert!(
        total_lent.get() > 1000.0,
        "only {} units were lent, so the histories tested nothing",
        total_lent.get()
    );
}
