//! Splits and their goals.

#![allow(clippy::unwrap_used)]

mod catalogs;
mod property;

use std::time::{Duration, Instant};

use catalogs::{catalog, configuration, next_catalog, region, service, zone, SMALL};
use property::run;
use proptest::prelude::*;

use ragwortfold::catalog::Catalog;
use ragwortfold::steer::goal::{compute_goal, FlapDamping, Goal, View, ZoneHealth};
use ragwortfold::steer::shift::MoveKind;
use ragwortfold::steer::split::Split;

const BLOCKS: u64 = 40_000;

fn split(catalog: &Catalog, shares: &[(&str, f64)]) -> Split {
    Split::new(
        catalog,
        shares
            .iter()
            .map(|&(name, share)| (zone(catalog, name), share)),
    )
}

fn split_from_weights(catalog: &Catalog, weights: &[f64]) -> Split {
    let zones = catalog.zones().map(|(zone, _)| zone);
    Split::new(catalog, zones.zip(weights.iter().copied()))
}

/// Returns the sampled share of blocks whose zone differs between two splits.
fn sampled_difference(from: &Split, to: &Split) -> f64 {
    let differs = |&block: &u64| from.choose(block, |_| true) != to.choose(block, |_| true);
    (0..BLOCKS).filter(differs).count() as f64 / BLOCKS as f64
}

#[test]
fn blocks_are_distributed_by_the_shares() {
    let catalog = catalog(SMALL);
    let split = split_from_weights(&catalog, &[0.5, 0.25, 0.15, 0.09, 0.01]);
    for (zone, share) in split.shares() {
        let chose = (0..BLOCKS).filter(|&block| split.choose(block, |_| true) == Some(zone));
        let fraction = chose.count() as f64 / BLOCKS as f64;
        assert!(
            (fraction - share).abs() < 0.01,
            "{fraction} of the blocks for a share of {share}"
        );
    }
}

#[test]
fn a_step_moves_the_given_share_of_the_blocks() {
    let catalog = catalog(SMALL);
    let weights = || prop::collection::vec(prop_oneof![1 => Just(0.0), 4 => 0.01..1.0], 6);
    run(
        1,
        60,
        (weights(), weights(), 0.0..0.6),
        |(from, to, step)| {
            let (from, to) = (
                split_from_weights(&catalog, &from),
                split_from_weights(&catalog, &to),
            );
            prop_assume!(!from.is_empty() && !to.is_empty());
            let distance = from.distance(&to);
            let upper_bound = 2.0 * distance / (1.0 + distance);
            prop_assert!(
                distance - 1e-9 <= from.moved_share(&to)
                    && from.moved_share(&to) <= upper_bound + 1e-9
            );
            let next = from.step_toward(&to, step);
            let moved = from.moved_share(&next);
            prop_assert!(moved <= step + 1e-9);
            prop_assert!(
                next == to || (moved - step).abs() < 1e-6,
                "{} instead of {}",
                moved,
                step
            );
            let sampled = sampled_difference(&from, &next);
            prop_assert!(
                (sampled - moved).abs() < 0.015,
                "{} instead of {}",
                sampled,
                moved
            );
            let left = next.distance(&to);
            prop_assert!(
                (from.distance(&next) + left - distance).abs() < 1e-9,
                "not on the line to the goal"
            );
            Ok(())
        },
    );
}

#[test]
fn a_zone_that_leaves_moves_its_own_blocks_only() {
    let catalog = catalog(SMALL);
    let from = split_from_weights(&catalog, &[0.3, 0.3, 0.2, 0.2]);
    let to = split_from_weights(&catalog, &[0.0, 0.3, 0.2, 0.2]);
    let left = zone(&catalog, "r0-z0");
    assert!((from.moved_share(&to) - 0.3).abs() < 1e-9);
    for block in 0..BLOCKS {
        let before = from.choose(block, |_| true);
        let after = to.choose(block, |_| true);
        assert!(before == after || before == Some(left));
        assert_eq!(after, from.choose(block, |zone| zone != left));
    }
}

#[test]
fn hosts_with_different_keys_choose_the_same_zones() {
    let plain = catalog(SMALL);
    let early = next_catalog(
        &Catalog::default(),
        serde_json::json!({"regions": {"r2": {}},
        "availability_zones": {"r2-z1": {"region": "r2"}}}),
    );
    let other = next_catalog(&early, configuration(SMALL));
    let shares = [("r0-z0", 0.4), ("r1-z1", 0.3), ("r2-z1", 0.3)];
    let (left, right) = (split(&plain, &shares), split(&other, &shares));
    assert_ne!(zone(&plain, "r2-z1"), zone(&other, "r2-z1"));
    for block in 0..1000 {
        let left = left
            .choose(block, |_| true)
            .map(|key| &plain.zone(key).name);
        let right = right
            .choose(block, |_| true)
            .map(|key| &other.zone(key).name);
        assert_eq!(left, right);
    }
}

/// Builds a view from one character per zone: a digit gives its measured slots, `L` is lost, `?` is unknown and `-` is alive
/// without a measurement.
fn view(catalog: &Catalog, observed: &str) -> View {
    let mut view = View::default();
    for ((key, _), mark) in catalog.zones().zip(observed.chars()) {
        let status = match mark {
            'L' => ZoneHealth::Lost,
            '?' => ZoneHealth::Unknown,
            _ => ZoneHealth::Alive,
        };
        view.zones.insert(key, status);
        if let Some(slots) = mark.to_digit(10) {
            view.slots.insert((service(catalog), key), slots);
        }
    }
    view
}

/// Defines tests by a zone that is not serving, the observed zones, the plan, the current weights, the expected weights and the
/// kind of move.
macro_rules! case {
    ($($name:ident: $off:expr, $observed:expr, $plan:expr, $current:expr => $expected:expr, $kind:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut value = configuration(SMALL);
            if let Some((zone, state)) = $off {
                value["availability_zones"][zone as &str]["state"] = serde_json::json!(state as &str);
            }
            let catalog = next_catalog(&Catalog::default(), value);
            let (service, locality) = (service(&catalog), region(&catalog, "r0"));
            let mut view = view(&catalog, $observed);
            let plan: Option<&[f64]> = $plan;
            if let Some(weights) = plan {
                view.plan.insert((service, locality), split_from_weights(&catalog, weights));
            }
            let current = split_from_weights(&catalog, &$current);
            let Goal { split, kind } = compute_goal(&catalog, service, locality, &view, &current);
            let expected = split_from_weights(&catalog, &$expected);
            assert!(split.distance(&expected) < 1e-9, "{split:?} instead of {expected:?}");
            assert_eq!(kind, MoveKind::$kind);
        }
    )*};
}

const NONE: Option<(&str, &str)> = None;

case! {
    own_region_shares_by_slots: NONE, "624444", None, [1.0] => [0.75, 0.25], Planned;
    draining_zone_loses_its_share: Some(("r0-z1", "draining")), "444444", None, [0.5, 0.5] => [1.0], Planned;
    lost_zone_moves_its_share_only: NONE, "L44444", None, [0.4, 0.2, 0.4] => [0.0, 0.6, 0.4], Failover;
    zone_without_live_slots_is_lost: NONE, "044444", None, [0.5, 0.5] => [0.0, 1.0], Failover;
    lost_region_goes_to_the_nearest: NONE, "LL8844", None, [0.5, 0.5] => [0.0, 0.0, 0.5, 0.5], Failover;
    too_small_region_is_supplemented_by_the_next: NONE, "LL2244", None, [0.5, 0.5]
        => [0.0, 0.0, 1.0, 1.0, 2.0, 2.0], Failover;
    nothing_known_freezes: NONE, "??????", None, [0.7, 0.3] => [0.7, 0.3], Planned;
    no_slots_known_freezes: NONE, "------", None, [0.7, 0.3] => [0.7, 0.3], Planned;
    unknown_zone_keeps_its_share: NONE, "?4LL44", None, [0.7, 0.2, 0.0, 0.0, 0.1] => [0.7, 0.3], Planned;
    unknown_own_region_keeps_its_share: NONE, "??4444", None, [1.0] => [1.0], Planned;
    unknown_own_region_keeps_shares_of_other_regions: NONE, "??4444", None, [0.6, 0.0, 0.4] => [0.6, 0.0, 0.4], Planned;
    split_without_usable_zones_stays: NONE, "LLLLLL", None, [0.5, 0.5] => [0.5, 0.5], Planned;
    plan_takes_precedence: NONE, "444444", Some(&[0.2, 0.2, 0.6]), [0.5, 0.5] => [0.2, 0.2, 0.6], Planned;
    plan_with_a_lost_zone_is_ignored: NONE, "44L444", Some(&[0.2, 0.2, 0.6]), [0.5, 0.5]
        => [0.5, 0.5], Planned;
    return_is_planned: NONE, "444444", None, [0.0, 0.0, 0.5, 0.5] => [0.5, 0.5], Planned;
}

#[test]
fn a_flapping_zone_has_to_stay_healthy_for_longer() {
    let catalog = catalog(SMALL);
    let zone = zone(&catalog, "r0-z0");
    let base = Instant::now();
    let mut damping = FlapDamping::new(Duration::from_secs(10));
    let mut observe = |at, seen| damping.observe(base + Duration::from_secs(at), zone, seen);
    assert_eq!(observe(0, ZoneHealth::Alive), ZoneHealth::Alive);
    assert_eq!(observe(1, ZoneHealth::Lost), ZoneHealth::Lost);
    assert_eq!(observe(2, ZoneHealth::Alive), ZoneHealth::Lost);
    assert_eq!(observe(9, ZoneHealth::Unknown), ZoneHealth::Lost);
    assert_eq!(observe(10, ZoneHealth::Alive), ZoneHealth::Lost);
    assert_eq!(observe(19, ZoneHealth::Alive), ZoneHealth::Lost);
    assert_eq!(observe(20, ZoneHealth::Alive), ZoneHealth::Alive);
    assert_eq!(observe(21, ZoneHealth::Unknown), ZoneHealth::Unknown);
    assert_eq!(observe(22, ZoneHealth::Lost), ZoneHealth::Lost);
    assert_eq!(observe(30, ZoneHealth::Alive), ZoneHealth::Lost);
    assert_eq!(observe(49, ZoneHealth::Alive), ZoneHealth::Lost);
    assert_eq!(observe(50, ZoneHealth::Alive), ZoneHealth::Alive);
}
