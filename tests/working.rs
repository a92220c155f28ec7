//! Tests of the selection of active hosts: how many hosts of an availability zone receive its
//! callers.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ragwortfold::control::active_hosts::{active_hosts, comfortable_rate, Candidate, Rate};
use ragwortfold::control::presence::Strength;

const STRONG: Strength = Strength {
    cores: 0.5,
    megabits: 200.0,
};
const WEAK: Strength = Strength {
    cores: 0.1,
    megabits: 20.0,
};

/// Strong and weak hosts that together receive `load` requests a second.
fn candidates(strong: usize, weak: usize, load: f64) -> Vec<Candidate> {
    let all = strong + weak;
    let one = |index: usize| Candidate {
        front: SocketAddr::from(([10, 0, 0, 1], 1000 + index as u16)),
        strength: if index % all < weak { WEAK } else { STRONG },
        rate: load / all as f64,
        order: (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    (0..all).map(one).collect()
}

/// Checks how many strong and how many weak hosts are active.
macro_rules! used {
    ($($name:ident: $strong:expr, $weak:expr, $load:expr => $used_strong:expr, $used_weak:expr;)*) => {$(
        #[test]
        fn $name() {
            let used = active_hosts(candidates($strong, $weak, $load));
            let strong = used.iter().filter(|one| one.strength == STRONG).count();
            assert_eq!((strong, used.len() - strong), ($used_strong, $used_weak));
        }
    )*};
}

used! {
    a_small_zone_uses_all_it_has: 2, 0, 10.0 => 2, 0;
    a_quiet_zone_uses_a_few: 0, 20, 10.0 => 0, 3;
    a_large_zone_uses_what_carries_an_eighth_at_least: 0, 100, 10.0 => 0, 13;
    strong_hosts_carry_the_eighth_of_many_weak_ones: 10, 100, 10.0 => 4, 0;
    twice_as_many_carry_it_in_a_zone_of_twice_the_size: 20, 200, 10.0 => 7, 0;
    few_strong_hosts_carry_more_than_an_eighth: 3, 30, 10.0 => 3, 0;
    the_strongest_are_used_first: 3, 30, 1_100.0 => 3, 0;
    weak_ones_are_used_as_soon_as_the_load_needs_them: 3, 30, 1_800.0 => 3, 10;
    all_are_used_beyond_what_they_carry: 3, 30, 50_000.0 => 3, 30;
}

#[test]
fn active_hosts_carry_the_load_comfortably() {
    for load in [100.0, 540.0, 900.0, 1_500.0, 2_500.0] {
        let used = active_hosts(candidates(3, 30, load));
        let carried: f64 = used.iter().map(|one| comfortable_rate(one.strength)).sum();
        assert!(carried >= load, "{load}: {carried}");
    }
}

#[test]
fn one_host_more_or_less_changes_little() {
    let whole = active_hosts(candidates(3, 30, 1_800.0));
    for lost in &whole {
        let rest = candidates(3, 30, 1_800.0);
        let rest = rest.into_iter().filter(|one| one.front != lost.front);
        let now = active_hosts(rest.collect());
        let kept = whole
            .iter()
            .filter(|one| now.iter().any(|other| other.front == one.front));
        assert_eq!(kept.count(), whole.len() - 1);
    }
}

#[test]
fn a_rate_rises_at_once_and_falls_late() {
    let start = Instant::now();
    let mut rate = Rate::new(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    for ms in 0..1000 {
        rate.count_request(at(ms));
    }
    assert_eq!(rate.peak(at(1000)), 1000);
    for second in 1..10 {
        rate.count_request(at(second * 1000));
    }
    assert_eq!(rate.peak(at(10_000)), 1000);
    assert_eq!(rate.peak(at(11_000)), 1);
    assert_eq!(rate.peak(at(60_000)), 0);
}
