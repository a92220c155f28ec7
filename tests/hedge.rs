//! Retry budgets and hedging.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use ragwortfold::steer::hedge::{Headroom, HedgePolicy};
use ragwortfold::steer::retry::{Budget, RetryLimits, SharedBudgets, Switch, DEFAULT_FLOOR};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the number of extra sends that a budget allows at once.
fn take_all(budget: &mut Budget, now: Instant) -> u32 {
    (0..1000).map(|_| u32::from(budget.try_take(now))).sum()
}

fn budget_after(requests: u32, share: f64, now: Instant) -> Budget {
    let mut budget = Budget::new(now, share);
    (0..requests).for_each(|_| budget.record_request(now));
    budget
}

macro_rules! allowed_at_once {
    ($($name:ident: $requests:expr, $share:expr, after $seconds:expr => $taken:expr;)*) => {
        $(#[test] fn $name() {
            let now = Instant::now();
            let mut budget = budget_after($requests, $share, now);
            assert_eq!(take_all(&mut budget, now + $seconds * SECOND), $taken);
        })*
    };
}

allowed_at_once! {
    quiet_service_may_retry: 0, 0.1, after 0 => DEFAULT_FLOOR;
    share_of_requests: 200, 0.1, after 0 => 20 + DEFAULT_FLOOR;
    requests_count_within_the_window: 200, 0.1, after 9 => 20 + DEFAULT_FLOOR;
    requests_leave_the_window: 200, 0.1, after 10 => DEFAULT_FLOOR;
    long_silence: 200, 0.1, after 100_000 => DEFAULT_FLOOR;
}

#[test]
fn extra_sends_leave_the_window() {
    let now = Instant::now();
    let mut budget = budget_after(0, 0.1, now);
    assert_eq!(take_all(&mut budget, now), DEFAULT_FLOOR);
    assert_eq!(take_all(&mut budget, now + 9 * SECOND), 0);
    assert_eq!(take_all(&mut budget, now + 10 * SECOND), DEFAULT_FLOOR);
}

#[test]
fn disabled_budget_allows_all() {
    let now = Instant::now();
    let mut budget = budget_after(0, 0.1, now).with_switch(Switch::Off);
    assert_eq!(take_all(&mut budget, now), 1000);
}

fn limits(share: f64, floor: f64) -> RetryLimits {
    RetryLimits {
        share,
        floor,
        window: 10 * SECOND,
    }
}

/// Returns the number of retries that a host's budgets allow at once.
fn take_all_retries(budgets: &mut SharedBudgets, now: Instant) -> u32 {
    let service = "a".into();
    (0..1000)
        .map(|_| u32::from(budgets.try_take(now, &service)))
        .sum()
}

#[test]
fn a_host_that_detects_others_later_keeps_only_its_share_of_the_floor() {
    let now = Instant::now();
    let mut budgets = SharedBudgets::new(limits(0.0, 20.0));
    budgets.record_request(now, &"a".into());
    budgets.set_hosts(4);
    assert_eq!(take_all_retries(&mut budgets, now), 3);
}

#[test]
fn the_last_host_may_use_the_whole_shared_floor() {
    let now = Instant::now();
    let mut budgets = SharedBudgets::new(limits(0.0, 20.0));
    budgets.set_hosts(4);
    assert_eq!(take_all_retries(&mut budgets, now), 3);
    budgets.set_hosts(1);
    assert_eq!(take_all_retries(&mut budgets, now), 9);
}

#[test]
fn changed_limits_apply_at_once_and_keep_the_counts() {
    let now = Instant::now();
    let mut budgets = SharedBudgets::new(limits(0.0, 20.0));
    assert_eq!(take_all_retries(&mut budgets, now), 12);
    budgets.set_limits(limits(0.0, 30.0));
    assert_eq!(take_all_retries(&mut budgets, now), 6);
}

#[test]
fn the_window_can_be_set() {
    let now = Instant::now();
    let short = RetryLimits {
        window: 2 * SECOND,
        ..limits(0.0, 5.0)
    };
    let mut budgets = SharedBudgets::new(short);
    assert_eq!(take_all_retries(&mut budgets, now), 3);
    assert_eq!(take_all_retries(&mut budgets, now + SECOND), 0);
    assert_eq!(take_all_retries(&mut budgets, now + 2 * SECOND), 3);
}

fn hedge_after(samples: u64, now: Instant) -> HedgePolicy {
    let mut hedge = HedgePolicy::new(now, 0.05);
    for n in 1..=samples {
        hedge.record_request(now);
        hedge.record_latency(now, Duration::from_millis(n));
    }
    hedge
}

#[test]
fn no_hedge_until_enough_samples() {
    let now = Instant::now();
    assert_eq!(hedge_after(99, now).delay(now), None);
    assert!(hedge_after(100, now).delay(now).is_some());
}

#[test]
fn delay_is_the_p95() {
    let now = Instant::now();
    let delay = hedge_after(1000, now).delay(now).unwrap().as_secs_f64();
    // Up to 64 samples may not be included yet, and the histogram has a precision of two digits.
    assert!((0.88..=0.96).contains(&delay), "{delay}");
}

#[test]
fn old_samples_expire() {
    let now = Instant::now();
    let mut hedge = hedge_after(1000, now);
    assert!(hedge.delay(now + 15 * SECOND).is_some());
    assert_eq!(hedge.delay(now + 30 * SECOND), None);
    let mut idle = hedge_after(1000, now);
    assert_eq!(idle.delay(now + 300 * SECOND), None);
}

#[test]
fn fast_class_is_not_hedged_below_the_minimum_delay() {
    let now = Instant::now();
    let mut hedge = HedgePolicy::new(now, 0.05);
    (0..200).for_each(|_| hedge.record_latency(now, Duration::from_micros(50)));
    assert_eq!(hedge.delay(now), Some(Duration::from_millis(1)));
}

#[test]
fn copies_need_headroom_and_budget() {
    let now = Instant::now();
    let mut hedge = hedge_after(1000, now);
    assert!(!hedge.try_hedge(now, Headroom::Unconfirmed));
    let sent = (0..1000)
        .filter(|_| hedge.try_hedge(now, Headroom::Confirmed))
        .count();
    assert_eq!(sent, 51);
}

#[test]
fn disabled_hedging_sends_nothing() {
    let now = Instant::now();
    let mut hedge = hedge_after(1000, now).with_switch(Switch::Off);
    assert_eq!(hedge.delay(now), None);
    assert!(!hedge.try_hedge(now, Headroom::Confirmed));
}

proptest! {
    #![proptest_config(Config {
        cases: 300, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default()
    })]

    /// In any 9 s the extra sends stay within the floor and the share of the last 19 s' requests,
    /// and whenever one is granted, within that of the last 10 s'.
    #[test]
    fn extra_sends_are_bounded(steps in prop::collection::vec((0..900u64, 0..20u32), 1..80)) {
        let mut now = Instant::now();
        let mut budget = Budget::new(now, 0.2);
        let (mut requests, mut extra_sends) = (Vec::new(), Vec::new());
        for (ms, count) in steps {
            now += Duration::from_millis(ms);
            for _ in 0..count {
                budget.record_request(now);
                requests.push(now);
            }
            let before = extra_sends.len();
            extra_sends.extend((0..30).filter(|_| budget.try_take(now)).map(|_| now));
            let granted = extra_sends.len() > before;
            let since = |list: &[Instant], window| {
                list.iter().filter(|&&at| now - at < window).count() as f64
            };
            // The window slides by a second at a time: between 9 s and 10 s of it are counted.
            let horizon = if granted { 10 } else { 19 };
            let allowed = f64::from(DEFAULT_FLOOR) + 0.2 * since(&requests, horizon * SECOND);
            prop_assert!(since(&extra_sends, 9 * SECOND) <= allowed);
        }
    }
}
