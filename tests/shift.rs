//! Budgets of shifts.

#![allow(clippy::unwrap_used)]

mod catalogs;
mod property;

use std::time::{Duration, Instant};

use catalogs::{catalog, zone, SMALL};
use property::run;
use proptest::prelude::*;

use ragwortfold::catalog::{Cap, Catalog};
use ragwortfold::steer::shift::{Caps, Decision, Kind, Ledger, Shift};
use ragwortfold::steer::split::Split;

const SLACK: f64 = 1e-6;

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

fn of_weights(catalog: &Catalog, weights: &[f64]) -> Split {
    let zones = catalog.zones().map(|(zone, _)| zone);
    Split::new(catalog, zones.zip(weights.iter().copied()))
}

/// The largest sum in any window, ends included, of amounts in order of time.
fn worst(moves: &[(Instant, f64)], window: Duration) -> f64 {
    let sum = |&(end, _): &(Instant, f64)| -> f64 {
        let inside = moves
            .iter()
            .filter(|&&(at, _)| at <= end && at + window >= end);
        inside.map(|&(_, share)| share).sum()
    };
    moves.iter().map(sum).fold(0.0, f64::max)
}

/// What may happen to a host.
#[derive(Clone, Debug)]
enum Event {
    /// A step of a plan arrives, perhaps late; others never do.
    Plan(Vec<f64>),
    /// The host acts on what it has.
    Tick(Kind),
    /// The process is replaced, and takes what its peers knew of its split.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let weights = prop::collection::vec(prop_oneof![1 => Just(0.0), 3 => 0.01..1.0], 6);
    let kind = prop_oneof![3 => Just(Kind::Planned), 1 => Just(Kind::Failover)];
    prop_oneof![
        2 => weights.prop_map(Event::Plan),
        6 => kind.prop_map(Event::Tick),
        1 => Just(Event::Restart),
    ]
}

/// Times between events: mostly short, some of a window, some long pauses.
fn gap() -> impl Strategy<Value = u64> {
    prop_oneof![6 => 0..400u64, 3 => 400..12_000u64, 1 => 12_000..200_000u64]
}

#[test]
fn no_window_of_a_fleet_holds_more_than_the_cap() {
    let catalog = catalog(SMALL);
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let events = prop::collection::vec((0..8usize, gap(), event()), 1..400);
    let weights = prop::collection::vec(0.1..10.0f64, 8);
    run(2, 60, (weights, events), |(traffic, events)| {
        let total: f64 = traffic.iter().sum();
        let base = Instant::now();
        let start = of_weights(&catalog, &[1.0, 1.0]);
        let mut hosts = vec![(Shift::new(start.clone()), start); traffic.len()];
        let (mut all, mut planned) = (Vec::new(), Vec::new());
        let mut now = base;
        for (at, gap, event) in events {
            now += Duration::from_millis(gap);
            let (shift, goal) = &mut hosts[at];
            let before = shift.current().clone();
            match event {
                Event::Plan(weights) => *goal = of_weights(&catalog, &weights),
                Event::Restart => *shift = Shift::with_current(before, now),
                Event::Tick(kind) => {
                    shift.advance(now, goal, kind, &caps);
                    let moved = before.moved(shift.current()) * traffic[at] / total;
                    all.push((now, moved));
                    planned.extend((kind == Kind::Planned).then_some((now, moved)));
                }
            }
        }
        prop_assert!(worst(&all, caps.failover.window) <= caps.failover.share + SLACK);
        prop_assert!(worst(&planned, caps.planned.window) <= caps.planned.share + SLACK);
        Ok(())
    });
}

#[test]
fn moves_and_spills_draw_on_one_budget_whatever_the_cap_becomes() {
    let catalog = catalog(SMALL);
    let changes = (0.02..0.4f64, 1..90u64);
    let acts = prop::collection::vec(
        (
            gap(),
            0..60u64,
            event(),
            prop::option::weighted(0.05, changes),
        ),
        1..150,
    );
    run(3, 60, acts, |acts| {
        let mut now = Instant::now();
        let mut cap = cap(0.1, 20);
        let mut goal = of_weights(&catalog, &[1.0]);
        let mut shift = Shift::new(goal.clone());
        let (mut drawn, mut spills, mut requests) = (Vec::new(), Vec::new(), Vec::new());
        for (gap, calls, event, change) in acts {
            now += Duration::from_millis(gap);
            if let Some((share, window)) = change {
                cap = self::cap(share, window);
            }
            if let Event::Plan(weights) = event {
                goal = of_weights(&catalog, &weights);
            }
            for _ in 0..calls {
                now += Duration::from_millis(1);
                shift.ledger().request(now);
                requests.push((now, 1.0));
                let recent = worst_at(&requests, now, cap.window);
                if shift.ledger().spill(now, cap) == Decision::Spill {
                    drawn.push((now, 1.0 / recent));
                    spills.push((now, 1.0));
                    let spilled = worst_at(&spills, now, cap.window) / recent;
                    let moved = worst_at(&drawn, now, cap.window);
                    prop_assert!(spilled <= cap.share + SLACK);
                    prop_assert!(moved <= cap.share + SLACK, "{} spilled and moved", moved);
                }
            }
            let moved = shift.advance(now, &goal, Kind::Planned, &caps(cap, cap));
            drawn.push((now, moved));
            prop_assert!(moved == 0.0 || worst_at(&drawn, now, cap.window) <= cap.share + SLACK);
        }
        Ok(())
    });
}

/// The sum in the window that ends now.
fn worst_at(moves: &[(Instant, f64)], now: Instant, window: Duration) -> f64 {
    let inside = moves
        .iter()
        .rev()
        .take_while(|&&(at, _)| at + window >= now);
    inside.map(|&(_, share)| share).sum()
}

#[test]
fn the_whole_cap_can_be_used_in_every_window() {
    let catalog = catalog(SMALL);
    let (one, other) = (
        of_weights(&catalog, &[1.0]),
        of_weights(&catalog, &[0.0, 1.0]),
    );
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let base = Instant::now();
    let mut shift = Shift::new(one);
    let moved: f64 = (0..6000)
        .map(|tick| shift.advance(after(base, tick * 100), &other, Kind::Planned, &caps))
        .sum();
    assert!(moved > 0.05 * 9.0, "{moved} in ten windows");
}

#[test]
fn failover_takes_what_planned_moves_left_of_its_cap() {
    let catalog = catalog(SMALL);
    let (one, other) = (
        of_weights(&catalog, &[1.0]),
        of_weights(&catalog, &[0.0, 1.0]),
    );
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let base = Instant::now();
    let mut shift = Shift::new(one);
    let mut step = |ms, kind| shift.advance(after(base, ms), &other, kind, &caps);
    let near =
        |moved: f64, share: f64| assert!((moved - share).abs() < SLACK, "{moved} for {share}");
    near(step(0, Kind::Planned), 0.05);
    near(step(100, Kind::Planned), 0.0);
    near(step(200, Kind::Failover), 0.2);
    near(step(9_000, Kind::Failover), 0.0);
    near(step(11_000, Kind::Failover), 0.25);
    near(step(60_500, Kind::Planned), 0.0);
}

#[test]
fn a_lower_cap_holds_at_once_and_a_longer_window_remembers() {
    let base = Instant::now();
    let mut ledger = Ledger::new();
    ledger.add(base, 0.2);
    assert!(ledger.room(after(base, 1), cap(0.3, 10)) > 0.09);
    assert_eq!(ledger.room(after(base, 2), cap(0.1, 10)), 0.0);
    assert!(ledger.room(after(base, 20_000), cap(0.3, 10)) > 0.29);
    assert!(ledger.room(after(base, 20_001), cap(0.3, 60)) < 0.11);
}

#[test]
fn a_ledger_stays_small_over_a_busy_day() {
    let base = Instant::now();
    let mut ledger = Ledger::new();
    for tick in 0..2 * 24 * 3600 {
        ledger.request(after(base, tick * 1000));
        ledger.add(after(base, tick * 1000 + 30), 1e-6);
    }
    assert!(ledger.len() < 600, "{} buckets", ledger.len());
}

#[test]
fn return_crosses_the_final_share_at_most_once() {
    let catalog = catalog(SMALL);
    let (normal, lost) = (
        of_weights(&catalog, &[0.5, 0.5]),
        of_weights(&catalog, &[0.0, 1.0]),
    );
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let base = Instant::now();
    let mut shift = Shift::new(normal.clone());
    let came_back = zone(&catalog, "r0-z0");
    for tick in 0..300 {
        shift.advance(after(base, tick * 100), &lost, Kind::Failover, &caps);
    }
    assert_eq!(shift.current().share(came_back), 0.0);
    let mut share = 0.0;
    for tick in 300..20_000 {
        shift.advance(after(base, tick * 100), &normal, Kind::Planned, &caps);
        let next = shift.current().share(came_back);
        assert!(share <= next && next <= 0.5);
        share = next;
    }
    assert_eq!(share, 0.5);
}

#[test]
fn a_host_that_knows_nothing_starts_at_the_goal_and_an_empty_goal_moves_nothing() {
    let catalog = catalog(SMALL);
    let goal = of_weights(&catalog, &[0.5, 0.5]);
    let caps = caps(cap(0.05, 60), cap(0.25, 10));
    let mut shift = Shift::new(Split::default());
    assert_eq!(
        shift.advance(Instant::now(), &goal, Kind::Planned, &caps),
        0.0
    );
    assert_eq!(shift.current(), &goal);
    shift.advance(Instant::now(), &Split::default(), Kind::Failover, &caps);
    assert_eq!(shift.current(), &goal);
}
