//! Move budgets and split controllers.

#![allow(clippy::unwrap_used)]

mod catalogs;
mod property;

use std::time::{Duration, Instant};

use catalogs::{catalog, zone, SMALL};
use property::run;
use proptest::prelude::*;

use ragwortfold::catalog::{Cap, Catalog};
use ragwortfold::steer::shift::{Caps, MoveBudget, MoveKind, SpillDecision, SplitController};
use ragwortfold::steer::split::Split;

const TOLERANCE: f64 = 1e-6;

fn cap(share: f64, window: u64) -> Cap {
    let window = Duration::from_secs(window);
    Cap { share, window }
}

fn caps(planned: Cap, failover: Cap) -> Caps {
    Caps { planned, failover }
}

fn after(base: Instant, ms: u64) -> Instant {
    base + Duration::from_millis(ms)
}

fn split_from_weights(catalog: &Catalog, weights: &[f64]) -> Split {
    let zones = catalog.zones().map(|(zone, _)| zone);
    Split::new(catalog, zones.zip(weights.iter().copied()))
}

/// Returns the largest sum in any window, including both ends, of shares in order of time.
fn max_window_sum(moves: &[(Instant, f64)], window: Duration) -> f64 {
    let sum = |&(end, _): &(Instant, f64)| -> f64 {
        let in_window = moves
            .iter()
            .filter(|&&(at, _)| at <= end && at + window >= end);
        in_window.map(|&(_, share)| share).sum()
    };
    moves.iter().map(sum).fold(0.0, f64::max)
}

/// Events of a host.
#[derive(Clone, Debug)]
enum Event {
    /// A plan arrives, possibly late; other plans never arrive.
    Plan(Vec<f64>),
    /// The host advances its split.
    Tick(MoveKind),
    /// The process is replaced and adopts its split from its peers.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let weights = prop::collection::vec(prop_oneof![1 => Just(0.0), 3 => 0.01..1.0], 6);
    let kind = prop_oneof![3 => Just(MoveKind::Planned), 1 => Just(MoveKind::Failover)];
    prop_oneof![
        2 => weights.prop_map(Event::Plan),
        6 => kind.prop_map(Event::Tick),
        1 => Just(Event::Restart),
    ]
}

/// Delays between events, in milliseconds: mostly short, some as long as a window, some longer.
fn delay_ms() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..400u64, 3 => 400..12_000u64, 1 => 12_000..200_000u64]
}

#[test]
fn no_window_of_a_fleet_exceeds_the_cap() {
    let catalog = catalog(SMALL);
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let events = prop::collection::vec((0..8usize, delay_ms(), event()), 1..400);
    let weights = prop::collection::vec(0.1..10.0f64, 8);
    run(2, 60, (weights, events), |(traffic, events)| {
        let total: f64 = traffic.iter().sum();
        let base = Instant::now();
        let start = split_from_weights(&catalog, &[1.0, 1.0]);
        let mut hosts = vec![(SplitController::new(start.clone()), start); traffic.len()];
        let (mut all, mut planned) = (Vec::new(), Vec::new());
        let mut now = base;
        for (at, delay_ms, event) in events {
            now += Duration::from_millis(delay_ms);
            let (controller, goal) = &mut hosts[at];
            let before = controller.current().clone();
            match event {
                Event::Plan(weights) => *goal = split_from_weights(&catalog, &weights),
                Event::Restart => *controller = SplitController::with_current(before, now),
                Event::Tick(kind) => {
                    controller.advance(now, goal, kind, &caps);
                    let moved = before.moved_share(controller.current()) * traffic[at] / total;
                    all.push((now, moved));
                    planned.extend((kind == MoveKind::Planned).then_some((now, moved)));
                }
            }
        }
        prop_assert!(max_window_sum(&all, caps.failover.window) <= caps.failover.share + TOLERANCE);
        prop_assert!(
            max_window_sum(&planned, caps.planned.window) <= caps.planned.share + TOLERANCE
        );
        Ok(())
    });
}

#[test]
fn moves_and_spills_share_one_budget_under_changing_caps() {
    let catalog = catalog(SMALL);
    let changes = (0.02..0.4f64, 1..90u64);
    let actions = prop::collection::vec(
        (
            delay_ms(),
            0..60u64,
            event(),
            prop::option::weighted(0.05, changes),
        ),
        1..150,
    );
    run(3, 60, actions, |actions| {
        let mut now = Instant::now();
        let mut cap = cap(0.1, 20);
        let mut goal = split_from_weights(&catalog, &[1.0]);
        let mut controller = SplitController::new(goal.clone());
        let (mut moves, mut spills, mut requests) = (Vec::new(), Vec::new(), Vec::new());
        for (delay_ms, calls, event, change) in actions {
            now += Duration::from_millis(delay_ms);
            if let Some((share, window)) = change {
                cap = self::cap(share, window);
            }
            if let Event::Plan(weights) = event {
                goal = split_from_weights(&catalog, &weights);
            }
            for _ in 0..calls {
                now += Duration::from_millis(1);
                controller.budget_mut().record_request(now);
                requests.push((now, 1.0));
                let recent = window_sum(&requests, now, cap.window);
                if controller.budget_mut().try_spill(now, cap) == SpillDecision::Spill {
                    moves.push((now, 1.0 / recent));
                    spills.push((now, 1.0));
                    let spilled = window_sum(&spills, now, cap.window) / recent;
                    let moved = window_sum(&moves, now, cap.window);
                    prop_assert!(spilled <= cap.share + TOLERANCE);
                    prop_assert!(moved <= cap.share + TOLERANCE, "{} spilled or moved", moved);
                }
            }
            let moved = controller.advance(now, &goal, MoveKind::Planned, &caps(cap, cap));
            moves.push((now, moved));
            prop_assert!(
                moved == 0.0 || window_sum(&moves, now, cap.window) <= cap.share + TOLERANCE
            );
        }
        Ok(())
    });
}

/// Returns the sum of the window that ends at `now`.
fn window_sum(moves: &[(Instant, f64)], now: Instant, window: Duration) -> f64 {
    let in_window = moves
        .iter()
        .rev()
        .take_while(|&&(at, _)| at + window >= now);
    in_window.map(|&(_, share)| share).sum()
}

#[test]
fn the_whole_cap_can_be_used_in_every_window() {
    let catalog = catalog(SMALL);
    let (one, other) = (
        split_from_weights(&catalog, &[1.0]),
        split_from_weights(&catalog, &[0.0, 1.0]),
    );
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let base = Instant::now();
    let mut controller = SplitController::new(one);
    let moved: f64 = (0..6000)
        .map(|tick| controller.advance(after(base, tick * 100), &other, MoveKind::Planned, &caps))
        .sum();
    assert!(moved > 0.05 * 9.0, "{moved} in ten windows");
}

#[test]
fn failover_uses_the_rest_of_its_cap_after_planned_moves() {
    let catalog = catalog(SMALL);
    let (one, other) = (
        split_from_weights(&catalog, &[1.0]),
        split_from_weights(&catalog, &[0.0, 1.0]),
    );
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let base = Instant::now();
    let mut controller = SplitController::new(one);
    let mut step = |ms, kind| controller.advance(after(base, ms), &other, kind, &caps);
    let assert_near =
        |moved: f64, share: f64| assert!((moved - share).abs() < TOLERANCE, "{moved} for {share}");
    assert_near(step(0, MoveKind::Planned), 0.05);
    assert_near(step(100, MoveKind::Planned), 0.0);
    assert_near(step(200, MoveKind::Failover), 0.2);
    assert_near(step(9_000, MoveKind::Failover), 0.0);
    assert_near(step(11_000, MoveKind::Failover), 0.25);
    assert_near(step(60_500, MoveKind::Planned), 0.0);
}

#[test]
fn a_lower_cap_applies_at_once_and_a_longer_window_includes_older_moves() {
    let base = Instant::now();
    let mut budget = MoveBudget::new();
    budget.record_move(base, 0.2);
    assert!(budget.available(after(base, 1), cap(0.3, 10)) > 0.09);
    assert_eq!(budget.available(after(base, 2), cap(0.1, 10)), 0.0);
    assert!(budget.available(after(base, 20_000), cap(0.3, 10)) > 0.29);
    assert!(budget.available(after(base, 20_001), cap(0.3, 60)) < 0.11);
}

#[test]
fn a_move_budget_stays_small_over_a_busy_day() {
    let base = Instant::now();
    let mut budget = MoveBudget::new();
    for tick in 0..2 * 24 * 3600 {
        budget.record_request(after(base, tick * 1000));
        budget.record_move(after(base, tick * 1000 + 30), 1e-6);
    }
    assert!(budget.len() < 600, "{} buckets", budget.len());
}

#[test]
fn return_crosses_the_final_share_at_most_once() {
    let catalog = catalog(SMALL);
    let (normal, lost) = (
        split_from_weights(&catalog, &[0.5, 0.5]),
        split_from_weights(&catalog, &[0.0, 1.0]),
    );
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let base = Instant::now();
    let mut controller = SplitController::new(normal.clone());
    let returning_zone = zone(&catalog, "r0-z0");
    for tick in 0..300 {
        controller.advance(after(base, tick * 100), &lost, MoveKind::Failover, &caps);
    }
    assert_eq!(controller.current().share(returning_zone), 0.0);
    let mut share = 0.0;
    for tick in 300..20_000 {
        controller.advance(after(base, tick * 100), &normal, MoveKind::Planned, &caps);
        let next = controller.current().share(returning_zone);
        assert!(share <= next && next <= 0.5);
        share = next;
    }
    assert_eq!(share, 0.5);
}

#[test]
fn a_host_without_a_split_starts_at_the_goal_and_an_empty_goal_moves_nothing() {
    let catalog = catalog(SMALL);
    let goal = split_from_weights(&catalog, &[0.5, 0.5]);
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let mut controller = SplitController::new(Split::default());
    assert_eq!(
        controller.advance(Instant::now(), &goal, MoveKind::Planned, &caps),
        0.0
    );
    assert_eq!(controller.current(), &goal);
    controller.advance(Instant::now(), &Split::default(), MoveKind::Failover, &caps);
    assert_eq!(controller.current(), &goal);
}
