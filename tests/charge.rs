//! How often targets are asked whether they are cold, by hosts that know different sets of each other.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::inventory::{Registration, State, TargetKey};
use ragwortfold::steer::fleet::{Fleet, CHECKERS_PER_TARGET, MAX_CHECK_FACTOR, MIN_CHECKS};

const ZONES: usize = 9;
const HOSTS: usize = 300;
const TARGETS: usize = 1200;

fn zone(number: usize) -> Arc<str> {
    format!("z{}", number % ZONES).into()
}

fn region(number: usize) -> Arc<str> {
    format!("r{}", number % ZONES / 3).into()
}

fn name(host: usize) -> Arc<str> {
    format!("h{host}").into()
}

fn registration(target: usize) -> Registration {
    Registration {
        id: format!("t{target}").into(),
        service: "books".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone(target),
        slots: 6,
        state: State::Ready,
        cold_left: Duration::ZERO,
        born: None,
    }
}

/// All hosts, each of which hears those for which `hears` holds, itself always, and was told of `told`.
fn fleets(
    hears: impl Fn(usize, usize) -> bool,
    told: impl Fn(usize) -> Option<usize>,
) -> Vec<Fleet> {
    let now = Instant::now();
    let regions: BTreeMap<_, _> = (0..ZONES).map(|at| (zone(at), region(at))).collect();
    let host = |own: usize| {
        let mut fleet = Fleet::new(now, name(own), zone(own), regions.clone(), 5.0);
        for target in 0..TARGETS {
            fleet.register(now, registration(target));
        }
        let heard = (0..HOSTS).filter(|other| *other == own || hears(own, *other));
        fleet.set_live_hosts(heard.map(|other| (name(other), region(other))).collect());
        fleet.set_host_count(told(own));
        fleet
    };
    (0..HOSTS).map(host).collect()
}

/// The questions of all hosts in one round.
fn round(fleets: &mut [Fleet]) -> usize {
    fleets
        .iter_mut()
        .map(|fleet| fleet.next_checks().len())
        .sum()
}

/// A load of questions that stays below a bound.
macro_rules! bounded {
    ($($name:ident: $hears:expr, $told:expr => $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleets = fleets($hears, $told);
            for _ in 0..3 {
                let asked = round(&mut fleets);
                assert!(asked <= $most, "{asked}");
            }
        }
    )*};
}

bounded! {
    hosts_that_hear_all_ask_each_target_twice: |_, _| true, |_| Some(HOSTS) => CHECKERS_PER_TARGET * TARGETS;
    hosts_that_hear_nobody_ask_little: |_, _| false, |_| Some(HOSTS) => MAX_CHECK_FACTOR * CHECKERS_PER_TARGET * TARGETS;
    zones_that_are_parted_ask_little: |own, other| own % ZONES == other % ZONES, |_| Some(HOSTS) => MAX_CHECK_FACTOR * CHECKERS_PER_TARGET * TARGETS;
    hosts_that_were_replaced_ask_little: |own, other| own >= HOSTS / 2 && other >= HOSTS / 2,
        |own| (own >= HOSTS / 2).then_some(HOSTS) => MAX_CHECK_FACTOR * CHECKERS_PER_TARGET * TARGETS;
    hosts_that_were_never_told_ask_nobody: |_, _| false, |_| None => 0;
}

#[test]
fn a_host_alone_asks_all_targets_in_turn() {
    let mut fleets = fleets(|_, _| false, |_| Some(HOSTS));
    let rounds = TARGETS * HOSTS / (MAX_CHECK_FACTOR * CHECKERS_PER_TARGET * TARGETS) + 1;
    let asked: BTreeSet<TargetKey> = (0..rounds).flat_map(|_| fleets[0].next_checks()).collect();
    assert_eq!(asked.len(), TARGETS);
}

#[test]
fn a_small_fleet_may_ask_at_least_a_few() {
    let mut fleets = fleets(|_, _| false, |_| Some(100_000));
    assert_eq!(fleets[0].next_checks().len(), MIN_CHECKS);
}
