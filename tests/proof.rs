//! A withdrawn key is used at no host after its time, whatever that host hears; replayed in virtual time.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use ragwortfold::control::proof::{Moment, Proof};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TERM: Duration = Duration::from_secs(5);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A host's clocks: the steady one stands still while the machine sleeps.
#[derive(Clone, Copy)]
struct Clock {
    steady: Instant,
    awake: Duration,
}

impl Clock {
    fn moment(self) -> Moment {
        Moment::new(self.steady, self.awake)
    }

    fn pass(&mut self, span: Duration, sleeps: bool) {
        self.awake += span;
        if !sleeps {
            self.steady += span;
        }
    }
}

/// A question on its way.
struct Question {
    from: usize,
    /// To whom: another host, or the store.
    to: Option<usize>,
    asked: Moment,
    arrives: u64,
    /// Once answered: when that arrives, its age and the version that it tells.
    answer: Option<(u64, Duration, u64)>,
}

struct Host {
    clock: Clock,
    proof: Proof,
    version: u64,
    asleep_until: u64,
    cut_until: u64,
    asks: bool,
}

/// How a host takes in what another one tells.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// The age counts from the own question, and only with the version that it is of.
    Asked,
    /// It counts from the answer's arrival.
    Arrived,
    /// The version is not looked at.
    AnyVersion,
}

/// Plays random cuts, sleeps and changes; gives how many requests ran by an old version later than they may.
fn late(seed: u64, way: Way) -> u32 {
    const STEP: u64 = 20;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(3..12);
    let clock = Clock {
        steady: Instant::now(),
        awake: Duration::ZERO,
    };
    let mut hosts: Vec<Host> = (0..count)
        .map(|_| Host {
            clock,
            proof: Proof::new(),
            version: 0,
            asleep_until: 0,
            cut_until: 0,
            asks: false,
        })
        .collect();
    let mut changes = vec![0];
    let mut questions: Vec<Question> = Vec::new();
    let mut late = 0;
    for now in (0..20_000).step_by(STEP as usize) {
        if rng.random_bool(0.01) {
            changes.push(now);
        }
        let newest = changes.len() as u64 - 1;
        for host in &mut hosts {
            let sleeps = host.asleep_until > now;
            host.clock.pass(ms(STEP), sleeps);
            if rng.random_bool(0.002) {
                host.asleep_until = now + rng.random_range(500..8_000);
            }
            if rng.random_bool(0.003) {
                host.cut_until = now + rng.random_range(500..9_000);
            }
        }
        // The first two hosts ask the store, the others one of these; a watch's news comes some time.
        for (from, host) in hosts.iter_mut().enumerate() {
            if host.asleep_until > now || host.cut_until > now {
                continue;
            }
            if from < 2 && rng.random_bool(0.1) {
                host.version = newest;
            }
            if !host.asks && rng.random_bool(0.02) {
                host.asks = true;
                let to = (from >= 2).then(|| rng.random_range(0..2));
                questions.push(Question {
                    from,
                    to,
                    asked: host.clock.moment(),
                    arrives: now + rng.random_range(1..400),
                    answer: None,
                });
            }
        }
        for question in &mut questions {
            let back = now + rng.random_range(1..3_000);
            match question.to {
                _ if question.answer.is_some() || question.arrives > now => {}
                None => question.answer = Some((back, Duration::ZERO, newest)),
                Some(to) if hosts[to].asleep_until <= now => {
                    let age = hosts[to].proof.age(hosts[to].clock.moment());
                    question.answer = age.map(|age| (back, age, hosts[to].version));
                    if question.answer.is_none() {
                        question.answer = Some((back, TERM * 9, 0));
                    }
                }
                Some(_) => {}
            }
        }
        questions.retain(|question| {
            let Some((_, age, version)) = question.answer.filter(|(at, ..)| *at <= now) else {
                return true;
            };
            let host = &mut hosts[question.from];
            if host.asleep_until > now || host.cut_until > now {
                return true;
            }
            host.asks = false;
            if question.to.is_none() {
                host.version = host.version.max(version);
            } else if rng.random_bool(0.7) {
                // Updates mostly come before.
                host.version = host.version.max(version);
            }
            let now = host.clock.moment();
            let asked = if way == Way::Arrived {
                now
            } else {
                question.asked
            };
            if host.version >= version || way == Way::AnyVersion {
                host.proof.record(now, asked, age);
            }
            false
        });
        // A caller sends now, with a key that the version after the host's own withdrew.
        for host in &hosts {
            let runs =
                host.asleep_until <= now && host.proof.is_younger_than(host.clock.moment(), TERM);
            let withdrawn = changes.get(host.version as usize + 1);
            late +=
                u32::from(runs && withdrawn.is_some_and(|at| now > at + TERM.as_millis() as u64));
        }
    }
    late
}

const HISTORIES: std::ops::Range<u64> = 0..1000;

#[test]
fn no_history_uses_a_key_too_late() {
    for seed in HISTORIES {
        assert_eq!(late(seed, Way::Asked), 0, "seed {seed}");
    }
}

#[test]
fn an_age_counted_from_its_arrival_is_found_out() {
    assert!(HISTORIES.clone().any(|seed| late(seed, Way::Arrived) > 0));
}

#[test]
fn a_proof_of_another_version_is_found_out() {
    assert!(HISTORIES
        .clone()
        .any(|seed| late(seed, Way::AnyVersion) > 0));
}

#[test]
fn sleep_counts() {
    let steady = Instant::now();
    let before = Moment::new(steady, ms(1_000));
    let mut proof = Proof::new();
    proof.record(before, before, Duration::ZERO);
    let after = Moment::new(steady + ms(10), ms(7_010));
    assert!(proof.is_younger_than(Moment::new(steady + ms(4_000), ms(5_000)), TERM));
    assert!(!proof.is_younger_than(after, TERM));
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
