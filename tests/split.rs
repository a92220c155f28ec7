//! Splits and their goals.

#![allow(clippy::unwrap_used)]

mod catalogs;
mod property;

use std::time::{Duration, Instant};

use catalogs::{catalog, configuration, next_catalog, region, service, zone, SMALL};
use property::run;
use proptest::prelude::*;

use ragwortfold::catalog::Catalog;
use ragwortfold::steer::goal::{goal, Goal, Hold, Standing, View};
use ragwortfold::steer::shift::Kind;
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

fn of_weights(catalog: &Catalog, weights: &[f64]) -> Split {
    let zones = catalog.zones().map(|(zone, _)| zone);
    Split::new(catalog, zones.zip(weights.iter().copied()))
}

/// The part of the blocks that choose differently.
fn sampled(from: &Split, to: &Split) -> f64 {
    let differs = |&block: &u64| from.choose(block, |_| true) != to.choose(block, |_| true);
    (0..BLOCKS).filter(differs).count() as f64 / BLOCKS as f64
}

#[test]
fn blocks_follow_the_shares() {
    let catalog = catalog(SMALL);
    let split = of_weights(&catalog, &[0.5, 0.25, 0.15, 0.09, 0.01]);
    for (zone, share) in split.shares() {
        let chose = (0..BLOCKS).filter(|&block| split.choose(block, |_| true) == Some(zone));
        let part = chose.count() as f64 / BLOCKS as f64;
        assert!(
            (part - share).abs() < 0.01,
            "{part} of the blocks for a share of {share}"
        );
    }
}

#[test]
fn a_step_moves_the_part_of_the_blocks_that_it_names() {
    let catalog = catalog(SMALL);
    let weights = || prop::collection::vec(prop_oneof![1 => Just(0.0), 4 => 0.01..1.0], 6);
    run(1, 60, (weights(), weights(), 0.0..0.6), |(from, to, by)| {
        let (from, to) = (of_weights(&catalog, &from), of_weights(&catalog, &to));
        prop_assume!(!from.is_empty() && !to.is_empty());
        let distance = from.distance(&to);
        let most = 2.0 * distance / (1.0 + distance);
        prop_assert!(distance - 1e-9 <= from.moved(&to) && from.moved(&to) <= most + 1e-9);
        let next = from.toward(&to, by);
        let moved = from.moved(&next);
        prop_assert!(moved <= by + 1e-9);
        prop_assert!(
            next == to || (moved - by).abs() < 1e-6,
            "{} in place of {}",
            moved,
            by
        );
        let seen = sampled(&from, &next);
        prop_assert!(
            (seen - moved).abs() < 0.015,
            "{} in place of {}",
            seen,
            moved
        );
        let left = next.distance(&to);
        prop_assert!(
            (from.distance(&next) + left - distance).abs() < 1e-9,
            "not on the straight way"
        );
        Ok(())
    });
}

#[test]
fn a_zone_that_leaves_moves_its_own_blocks_only() {
    let catalog = catalog(SMALL);
    let from = of_weights(&catalog, &[0.3, 0.3, 0.2, 0.2]);
    let to = of_weights(&catalog, &[0.0, 0.3, 0.2, 0.2]);
    let left = zone(&catalog, "r0-z0");
    assert!((from.moved(&to) - 0.3).abs() < 1e-9);
    for block in 0..BLOCKS {
        let before = from.choose(block, |_| true);
        let after = to.choose(block, |_| true);
        assert!(before == after || before == Some(left));
        assert_eq!(after, from.choose(block, |zone| zone != left));
    }
}

#[test]
fn hosts_with_other_keys_choose_alike() {
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

/// What is known: a letter for each zone, and the slots measured there.
fn view(catalog: &Catalog, known: &str) -> View {
    let mut view = View::default();
    for ((key, _), mark) in catalog.zones().zip(known.chars()) {
        let standing = match mark {
            'L' => Standing::Lost,
            '?' => Standing::Unknown,
            _ => Standing::Alive,
        };
        view.zones.insert(key, standing);
        if let Some(slots) = mark.to_digit(10) {
            view.slots.insert((service(catalog), key), slots);
        }
    }
    view
}

/// One row: what is known, the current weights, those wanted, and the kind of move.
macro_rules! case {
    ($($name:ident: $off:expr, $known:expr, $plan:expr, $current:expr => $wanted:expr, $kind:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut value = configuration(SMALL);
            if let Some((zone, state)) = $off {
                value["availability_zones"][zone as &str]["state"] = serde_json::json!(state as &str);
            }
            let catalog = next_catalog(&Catalog::default(), value);
            let (service, locality) = (service(&catalog), region(&catalog, "r0"));
            let mut view = view(&catalog, $known);
            let plan: Option<&[f64]> = $plan;
            if let Some(weights) = plan {
                view.plan.insert((service, locality), of_weights(&catalog, weights));
            }
            let current = of_weights(&catalog, &$current);
            let Goal { split, kind } = goal(&catalog, service, locality, &view, &current);
            let wanted = of_weights(&catalog, &$wanted);
            assert!(split.distance(&wanted) < 1e-9, "{split:?} in place of {wanted:?}");
            assert_eq!(kind, Kind::$kind);
        }
    )*};
}

const NONE: Option<(&str, &str)> = None;

case! {
    own_region_shares_by_slots: NONE, "624444", None, [1.0] => [0.75, 0.25], Planned;
    draining_zone_is_left: Some(("r0-z1", "draining")), "444444", None, [0.5, 0.5] => [1.0], Planned;
    lost_zone_moves_its_share_only: NONE, "L44444", None, [0.4, 0.2, 0.4] => [0.0, 0.6, 0.4], Failover;
    zone_without_live_slots_is_lost: NONE, "044444", None, [0.5, 0.5] => [0.0, 1.0], Failover;
    lost_region_goes_to_the_nearest: NONE, "LL8844", None, [0.5, 0.5] => [0.0, 0.0, 0.5, 0.5], Failover;
    near_region_too_small_takes_the_next: NONE, "LL2244", None, [0.5, 0.5]
        => [0.0, 0.0, 1.0, 1.0, 2.0, 2.0], Failover;
    nothing_known_freezes: NONE, "??????", None, [0.7, 0.3] => [0.7, 0.3], Planned;
    no_slots_known_freezes: NONE, "------", None, [0.7, 0.3] => [0.7, 0.3], Planned;
    unknown_zone_keeps_its_share: NONE, "?4LL44", None, [0.7, 0.2, 0.0, 0.0, 0.1] => [0.7, 0.3], Planned;
    unknown_own_region_sends_nothing_abroad: NONE, "??4444", None, [1.0] => [1.0], Planned;
    unknown_own_region_leaves_what_is_abroad: NONE, "??4444", None, [0.6, 0.0, 0.4] => [0.6, 0.0, 0.4], Planned;
    nothing_left_stays: NONE, "LLLLLL", None, [0.5, 0.5] => [0.5, 0.5], Planned;
    plan_goes_first: NONE, "444444", Some(&[0.2, 0.2, 0.6]), [0.5, 0.5] => [0.2, 0.2, 0.6], Planned;
    plan_that_names_a_lost_zone_is_ignored: NONE, "44L444", Some(&[0.2, 0.2, 0.6]), [0.5, 0.5]
        => [0.5, 0.5], Planned;
    return_is_planned: NONE, "444444", None, [0.0, 0.0, 0.5, 0.5] => [0.5, 0.5], Planned;
}

#[test]
fn a_zone_that_flaps_has_to_stay_good_for_longer() {
    let catalog = catalog(SMALL);
    let zone = zone(&catalog, "r0-z0");
    let base = Instant::now();
    let mut hold = Hold::new(Duration::from_secs(10));
    let mut see = |at, seen| hold.observe(base + Duration::from_secs(at), zone, seen);
    assert_eq!(see(0, Standing::Alive), Standing::Alive);
    assert_eq!(see(1, Standing::Lost), Standing::Lost);
    assert_eq!(see(2, Standing::Alive), Standing::Lost);
    assert_eq!(see(9, Standing::Unknown), Standing::Lost);
    assert_eq!(see(10, Standing::Alive), Standing::Lost);
    assert_eq!(see(19, Standing::Alive), Standing::Lost);
    assert_eq!(see(20, Standing::Alive), Standing::Alive);
    assert_eq!(see(21, Standing::Unknown), Standing::Unknown);
    assert_eq!(see(22, Standing::Lost), Standing::Lost);
    assert_eq!(see(30, Standing::Alive), Standing::Lost);
    assert_eq!(see(49, Standing::Alive), Standing::Lost);
    assert_eq!(see(50, Standing::Alive), Standing::Alive);
}
