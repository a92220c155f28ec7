//! No host may use a withdrawn key later than a fixed time after its withdrawal, whatever messages
//! it receives. Simulated in virtual time.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use ragwortfold::control::proof::{Moment, Proof};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Longest time for which a host may use a key after it was withdrawn.
const KEY_LIFETIME: Duration = Duration::from_secs(5);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A host's clocks. The steady clock stands still while the machine sleeps.
#[derive(Clone, Copy)]
struct Clock {
    steady: Instant,
    since_boot: Duration,
}

impl Clock {
    fn moment(self) -> Moment {
        Moment::new(self.steady, self.since_boot)
    }

    fn advance(&mut self, span: Duration, sleeps: bool) {
        self.since_boot += span;
        if !sleeps {
            self.steady += span;
        }
    }
}

/// A request in transit.
struct Request {
    from: usize,
    /// The receiver: another host, or the store if none.
    to: Option<usize>,
    sent_at: Moment,
    arrives: u64,
    /// Once answered: the time at which the answer arrives, and the age and the version that it
    /// reports.
    answer: Option<(u64, Duration, u64)>,
}

struct Host {
    clock: Clock,
    proof: Proof,
    version: u64,
    asleep_until: u64,
    partitioned_until: u64,
    is_waiting: bool,
}

/// How a host processes the age that another host reports.
#[derive(Clone, Copy, PartialEq)]
enum AgeRule {
    /// Correct: the age counts from the host's own request, and is used only if the host has that
    /// version.
    SinceRequest,
    /// Faulty: the age counts from the arrival of the answer.
    SinceArrival,
    /// Faulty: the version is not checked.
    AnyVersion,
}

/// Simulates random partitions, sleeps and changes. Returns how many requests ran with a withdrawn
/// key more than [`KEY_LIFETIME`] after its withdrawal.
fn late_requests(seed: u64, rule: AgeRule) -> u32 {
    const STEP: u64 = 20;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(3..12);
    let clock = Clock {
        steady: Instant::now(),
        since_boot: Duration::ZERO,
    };
    let mut hosts: Vec<Host> = (0..count)
        .map(|_| Host {
            clock,
            proof: Proof::new(),
            version: 0,
            asleep_until: 0,
            partitioned_until: 0,
            is_waiting: false,
        })
        .collect();
    let mut changes = vec![0];
    let mut requests: Vec<Request> = Vec::new();
    let mut late_requests = 0;
    for now in (0..20_000).step_by(STEP as usize) {
        if rng.random_bool(0.01) {
            changes.push(now);
        }
        let newest = changes.len() as u64 - 1;
        for host in &mut hosts {
            let sleeps = host.asleep_until > now;
            host.clock.advance(ms(STEP), sleeps);
            if rng.random_bool(0.002) {
                host.asleep_until = now + rng.random_range(500..8_000);
            }
            if rng.random_bool(0.003) {
                host.partitioned_until = now + rng.random_range(500..9_000);
            }
        }
        // The first two hosts send requests to the store, the others to one of these two. The
        // first two also receive changes through a watch, with some delay.
        for (from, host) in hosts.iter_mut().enumerate() {
            if host.asleep_until > now || host.partitioned_until > now {
                continue;
            }
            if from < 2 && rng.random_bool(0.1) {
                host.version = newest;
            }
            if !host.is_waiting && rng.random_bool(0.02) {
                host.is_waiting = true;
                let to = (from >= 2).then(|| rng.random_range(0..2));
                requests.push(Request {
                    from,
                    to,
                    sent_at: host.clock.moment(),
                    arrives: now + rng.random_range(1..400),
                    answer: None,
                });
            }
        }
        for request in &mut requests {
            let answer_at = now + rng.random_range(1..3_000);
            match request.to {
                _ if request.answer.is_some() || request.arrives > now => {}
                None => request.answer = Some((answer_at, Duration::ZERO, newest)),
                Some(to) if hosts[to].asleep_until <= now => {
                    let age = hosts[to].proof.age(hosts[to].clock.moment());
                    request.answer = age.map(|age| (answer_at, age, hosts[to].version));
                    if request.answer.is_none() {
                        request.answer = Some((answer_at, KEY_LIFETIME * 9, 0));
                    }
                }
                Some(_) => {}
            }
        }
        requests.retain(|request| {
            let Some((_, age, version)) = request.answer.filter(|(at, ..)| *at <= now) else {
                return true;
            };
            let host = &mut hosts[request.from];
            if host.asleep_until > now || host.partitioned_until > now {
                return true;
            }
            host.is_waiting = false;
            if request.to.is_none() {
                host.version = host.version.max(version);
            } else if rng.random_bool(0.7) {
                // Updates mostly arrive before the answer.
                host.version = host.version.max(version);
            }
            let now = host.clock.moment();
            let counted_from = if rule == AgeRule::SinceArrival {
                now
            } else {
                request.sent_at
            };
            if host.version >= version || rule == AgeRule::AnyVersion {
                host.proof.record(now, counted_from, age);
            }
            false
        });
        // A caller sends a request now, with a key that the version following the host's own has
        // withdrawn.
        for host in &hosts {
            let runs = host.asleep_until <= now
                && host
                    .proof
                    .is_younger_than(host.clock.moment(), KEY_LIFETIME);
            let withdrawn = changes.get(host.version as usize + 1);
            late_requests += u32::from(
                runs && withdrawn.is_some_and(|at| now > at + KEY_LIFETIME.as_millis() as u64),
            );
        }
    }
    late_requests
}

const SEEDS: std::ops::Range<u64> = 0..1000;

#[test]
fn no_withdrawn_key_is_used_too_late() {
    for seed in SEEDS {
        assert_eq!(late_requests(seed, AgeRule::SinceRequest), 0, "seed {seed}");
    }
}

#[test]
fn counting_an_age_from_its_arrival_uses_keys_too_late() {
    assert!(SEEDS
        .clone()
        .any(|seed| late_requests(seed, AgeRule::SinceArrival) > 0));
}

#[test]
fn a_proof_of_another_version_uses_keys_too_late() {
    assert!(SEEDS
        .clone()
        .any(|seed| late_requests(seed, AgeRule::AnyVersion) > 0));
}

#[test]
fn time_asleep_counts() {
    let steady = Instant::now();
    let before = Moment::new(steady, ms(1_000));
    let mut proof = Proof::new();
    proof.record(before, before, Duration::ZERO);
    let after = Moment::new(steady + ms(10), ms(7_010));
    assert!(proof.is_younger_than(Moment::new(steady + ms(4_000), ms(5_000)), KEY_LIFETIME));
    assert!(!proof.is_younger_than(after, KEY_LIFETIME));
}

#[test]
fn an_older_proof_changes_nothing() {
    let steady = Instant::now();
    let now = Moment::new(steady + ms(900), ms(900));
    let mut proof = Proof::new();
    proof.record(now, Moment::new(steady + ms(800), ms(800)), ms(50));
    proof.record(now, Moment::new(steady, Duration::ZERO), Duration::ZERO);
    assert_eq!(proof.age(now), Some(ms(150)));
}
