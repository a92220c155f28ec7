//! How fast requests that went to other regions may come back.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::inventory::{Registration, State};
use ragwortfold::steer::drift::Drift;
use ragwortfold::steer::fleet::{End, Fleet, Observation, TargetQuery};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const RATE: u64 = 50;
/// Spreads keys over all numbers.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// The part that goes away in each second, when `wish` of all requests would.
fn parts(wishes: &[f64]) -> Vec<f64> {
    let start = Instant::now();
    let mut drift = Drift::new(start);
    let mut parts = Vec::new();
    let mut key = 0u64;
    for (second, wish) in wishes.iter().enumerate() {
        let mut away = 0;
        for request in 0..RATE {
            key = key.wrapping_add(STRIDE);
            let now = start + Duration::from_millis(second as u64 * 1000 + request * 1000 / RATE);
            let wished = (key.rotate_left(17) as f64 / u64::MAX as f64) < *wish;
            let far = drift.has_to_leave(now, key) || wished;
            drift.record_request(now, far);
            away += u64::from(far);
        }
        parts.push(away as f64 / RATE as f64);
    }
    parts
}

#[test]
fn requests_come_back_step_by_step() {
    let mut wishes = vec![0.2; 8];
    wishes.extend([0.0; 20]);
    let parts = parts(&wishes);
    for pair in parts[8..].windows(3) {
        assert!(pair[0] - pair[2] <= 0.2, "{parts:?}");
    }
    assert!(parts[8] > 0.25, "{parts:?}");
    assert!(*parts.last().unwrap() < 0.05, "{parts:?}");
}

#[test]
fn the_part_that_is_held_grows_step_by_step() {
    let start = Instant::now();
    let mut drift = Drift::new(start);
    let mut held = Vec::new();
    for second in 0..10 {
        for request in 0..RATE {
            let now = start + Duration::from_millis(second * 1000 + request * 1000 / RATE);
            drift.record_request(now, true);
        }
        let end = start + Duration::from_millis(second * 1000 + 999);
        let keys = (0..100).map(|key| key * (u64::MAX / 100));
        held.push(keys.filter(|key| drift.has_to_leave(end, *key)).count());
    }
    assert!(
        held.windows(2).all(|pair| pair[1] <= pair[0] + 7),
        "{held:?}"
    );
    assert!(held[9] >= 40, "{held:?}");
}

#[test]
fn nothing_is_held_that_never_went() {
    assert_eq!(parts(&[0.0; 5]), [0.0; 5]);
}

#[test]
fn after_a_pause_nothing_is_held() {
    let start = Instant::now();
    let mut drift = Drift::new(start);
    for ms in 0..2000 {
        drift.record_request(start + Duration::from_millis(ms), true);
    }
    assert!(drift.has_to_leave(start + Duration::from_secs(2), 1));
    assert!(!drift.has_to_leave(start + Duration::from_secs(40), 1));
}

/// The part of a second's requests after the first 0.3 s that goes away, at a host of a region that has a tenth of all targets and
/// gets `rate` requests a second, a fifth of its region's.
fn away_of_a_small_region(rate: u64) -> f64 {
    let regions: BTreeMap<Arc<str>, Arc<str>> = [("n-a", "n"), ("s-a", "s")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into();
    let start = Instant::now();
    let mut fleet = Fleet::new(start, "own".into(), "n-a".into(), regions, 1.0);
    for index in 0..1000 {
        let registration = Registration {
            id: format!("t{index}").into(),
            service: "books".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: if index < 100 { "n-a" } else { "s-a" }.into(),
            slots: 4,
            state: State::Ready,
            cold_left: Duration::ZERO,
            born: None,
        };
        fleet.register(start, registration);
    }
    fleet.set_latency_goal("books".into(), Duration::from_millis(800));
    fleet.set_caller_share(Some(0.2));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (mut away, mut all) = (0, 0);
    for request in 0..rate {
        let now = start + Duration::from_millis(request * 1000 / rate);
        let ask = TargetQuery {
            service: &"books".into(),
            affinity_key: request.wrapping_mul(STRIDE),
            object: None,
            homes: &BTreeSet::new(),
            tried: Vec::new(),
            body_bytes: 0,
        };
        let target = fleet.choose(now, &ask, |_| true).unwrap();
        let is_away = &**fleet.member(target).unwrap().region() == "s";
        fleet.finish(
            now,
            target,
            End::Cancelled,
            Observation::default(),
            &mut rng,
        );
        if now >= start + Duration::from_millis(300) {
            all += 1;
            away += u32::from(is_away);
        }
    }
    f64::from(away) / f64::from(all)
}

#[test]
fn a_small_region_that_has_plenty_keeps_its_requests() {
    let away = away_of_a_small_region(20);
    assert!(away < 0.1, "{away}");
}

#[test]
fn a_small_region_that_needs_more_sends_requests_away() {
    let away = away_of_a_small_region(100);
    assert!(away > 0.6, "{away}");
}
