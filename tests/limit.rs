//! The adaptive concurrency limit of one target.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use ragwortfold::steer::limit::{Limit, Load};

/// Behaviour of a target.
#[derive(Clone, Copy, Debug)]
enum Step {
    Answer(f64, Option<u32>),
    Refuse,
}

/// Returns the limit of a target of 4 slots for 2 hosts, after 200 rounds of a step.
fn limit_after(connections: u32, step: Step) -> Limit {
    let mut limit = Limit::new(4, connections, 2);
    let start = Instant::now();
    for round in 0..200 {
        apply(&mut limit, start + Duration::from_millis(25 * round), step);
    }
    limit
}

fn apply(limit: &mut Limit, now: Instant, step: Step) {
    match step {
        Step::Answer(ratio, in_flight) => {
            let load = in_flight.map(|in_flight| Load {
                in_flight,
                slots: 4,
            });
            limit.record_answer(now, true, ratio, load);
        }
        Step::Refuse => limit.record_refusal(now),
    }
}

/// The range in which a limit settles.
macro_rules! settles {
    ($($name:ident: $connections:expr, $step:expr, $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let value = limit_after($connections, $step).value();
            assert!($range.contains(&value), "{value}");
        }
    )*};
}

settles! {
    rises_while_latency_is_low: 400, Step::Answer(1.0, None), 8.0..=200.0;
    rises_while_slots_are_free: 400, Step::Answer(1.0, Some(3)), 8.0..=200.0;
    stays_while_slots_are_full: 400, Step::Answer(1.0, Some(5)), 2.0..=2.0;
    falls_while_reported_full: 400, Step::Answer(1.0, Some(9)), 2.0..=2.0;
    falls_while_slow: 400, Step::Answer(3.0, None), 2.0..=2.0;
    falls_while_slow_despite_report: 400, Step::Answer(3.0, Some(0)), 2.0..=2.0;
    falls_on_refusals: 400, Step::Refuse, 2.0..=2.0;
    stops_at_connections: 10, Step::Answer(1.0, None), 5.0..=5.0;
    stays_without_connections: 1, Step::Answer(1.0, None), 0.0..=0.0;
}

#[test]
fn falls_to_the_share_after_a_rise() {
    let mut limit = limit_after(400, Step::Answer(1.0, None));
    let late = Instant::now() + Duration::from_secs(10);
    for round in 0..100 {
        apply(
            &mut limit,
            late + Duration::from_millis(25 * round),
            Step::Refuse,
        );
    }
    assert!((limit.value() - limit.share()).abs() < 0.01, "{limit:?}");
}

#[test]
fn decays_to_the_share_while_it_is_not_reached() {
    let mut limit = limit_after(400, Step::Answer(1.0, None));
    let excess = |limit: &Limit| limit.value() - limit.share();
    let now = Instant::now() + Duration::from_secs(10);
    limit.decay_excess(now);
    let before = excess(&limit);
    for pause in [1, 2, 5, 10, 50, 432] {
        limit.decay_excess(now + Duration::from_millis(pause));
    }
    // The same as after a single update, whatever the updates in between.
    limit.decay_excess(now + Duration::from_millis(500));
    assert!((excess(&limit) - before / 4.0).abs() < 1e-9, "{limit:?}");
    limit.decay_excess(now + Duration::from_secs(10));
    assert!(excess(&limit) < 0.01, "{limit:?}");
}

#[test]
fn allows_at_least_one_request_with_few_slots() {
    let limit = Limit::new(4, 400, 45);
    assert!(limit.value() < 1.0);
    assert_eq!(limit.max_in_flight(0.1), 1);
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let answer = (0.1..5.0, prop::option::of(0..20u32)).prop_map(|(r, l)| Step::Answer(r, l));
    let step = prop_oneof![4 => answer, 1 => Just(Step::Refuse)];
    prop::collection::vec((0..50u64, step), 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn sum_stays_within_connections(
        (slots, connections, hosts) in (1..64u32, 1..500u32, 1..50usize),
        fraction in 0.01..=1.0,
        steps in steps(),
    ) {
        let mut limit = Limit::new(slots, connections, hosts);
        let mut now = Instant::now();
        for (pause, step) in steps {
            now += Duration::from_millis(pause);
            apply(&mut limit, now, step);
            prop_assert!(limit.max_in_flight(fraction) as usize * hosts <= connections as usize);
            prop_assert!(limit.value() >= limit.share() - 1e-9);
            prop_assert!(limit.max_in_flight(fraction) >= 1 || connections < hosts as u32);
        }
    }
}
