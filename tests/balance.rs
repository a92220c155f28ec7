//! Regions with few targets whose load peaks alternate with those of other regions, simulated in virtual time.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::inventory::{Registration, State};
use ragwortfold::steer::fleet::{End, Fleet, Load, Observation, Switches, TargetQuery};
use ragwortfold::steer::retry::Switch;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

mod replay;

use replay::{RequestCounts, Scenario, Simulation};

const SEEDS: std::ops::Range<u64> = 1..4;
/// Distributes keys over the whole range of hashes.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// Period and amplitude of the load of each region.
const PERIOD_S: f64 = 36.0;
const AMPLITUDE: f64 = 0.55;
/// Limit on the share of a region's requests that may change their region from one window to the next.
const MAX_SHIFTED_SHARE: f64 = 0.15;
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Three regions with targets in the ratio 1 : 3 : 4 and equal callers.
fn scenario(balance: Switch, seed: u64) -> Scenario {
    Scenario {
        targets: vec![12, 36, 46],
        hosts: 4,
        slots: 4,
        uncached_time: Duration::from_millis(410),
        cached_time: Duration::from_millis(123),
        cache_size: 40,
        objects: 600,
        rate: 300.0,
        goal: Duration::from_millis(400),
        deadline: Duration::from_millis(2500),
        cross_region_delay: Duration::from_millis(55),
        switches: Switches {
            balance,
            ..Switches::default()
        },
        seed,
        ..Scenario::default()
    }
}

/// Runs the alternating load for some seconds; `factor` returns an additional factor for a region and time.
fn alternate(
    scenario: Scenario,
    duration_s: u32,
    factor: impl Fn(usize, f64) -> f64,
) -> Simulation {
    let rate = scenario.rate;
    let mut world = Simulation::new(scenario);
    for step in 0..duration_s * 2 {
        let at = f64::from(step) / 2.0;
        for region in 0..3 {
            let phase = (at / PERIOD_S - region as f64 / 3.0) * std::f64::consts::TAU;
            let times = 1.0 + AMPLITUDE * phase.sin();
            world.set_request_rate(region, rate * times * factor(region, at));
        }
        world.run(seconds(0.5));
    }
    world
}

/// Runs three periods with a burst in the smallest region near the end.
fn alternate_with_burst(balance: Switch, seed: u64) -> Simulation {
    alternate(scenario(balance, seed), 110, |region, at| match region {
        0 if (80.0..83.0).contains(&at) => 1.7,
        _ => 1.0,
    })
}

/// Returns the requests of each region after the first period.
fn counts(world: &Simulation) -> [RequestCounts; 3] {
    [0, 1, 2].map(|region| world.count_requests_from(region, (seconds(36.0), seconds(108.0))))
}

/// Without the balance the smallest region works with full queues, and its keys move with each peak.
#[test]
fn a_region_with_few_targets_uses_free_slots_elsewhere() {
    for seed in SEEDS {
        let before = counts(&alternate_with_burst(Switch::Off, seed));
        let world = alternate_with_burst(Switch::On, seed);
        let after = counts(&world);
        let shares = |counts: [RequestCounts; 3]| counts.map(|counts| counts.in_time_share());
        let (before_shares, after_shares) = (shares(before), shares(after));
        println!(
            "seed {seed}: {before_shares:.3?} {after_shares:.3?} refused {} {}",
            before[0].refused, after[0].refused
        );
        assert!(
            after_shares[0] >= before_shares[0] + 0.02 && after_shares[0] >= 0.98,
            "seed {seed}: {before_shares:.3?} {after_shares:.3?}"
        );
        for region in 1..3 {
            assert!(
                after_shares[region] >= before_shares[region] - 0.005,
                "seed {seed}: {before_shares:.3?} {after_shares:.3?}"
            );
        }
        assert!(
            after[0].refused <= before[0].refused,
            "seed {seed}: {before:?} {after:?}"
        );
        for region in 0..3 {
            let shift = world.largest_shift(region, (seconds(0.0), seconds(108.0)), SHIFT_WINDOW);
            println!("shift {shift:.3}");
            assert!(
                shift <= MAX_SHIFTED_SHARE,
                "seed {seed}: {region} {shift:.3}"
            );
        }
    }
}

/// Regions that are all full must not exchange their requests, and must not keep doing so afterwards.
#[test]
fn full_regions_take_their_requests_back() {
    for seed in SEEDS {
        let world = alternate(scenario(Switch::On, seed), 110, |_, at| {
            if (40.0..60.0).contains(&at) {
                4.0
            } else {
                1.0
            }
        });
        for region in 0..3 {
            let shift = world.largest_shift(region, (seconds(0.0), seconds(108.0)), SHIFT_WINDOW);
            println!(
                "seed {seed}: {region} shift {shift:.3} {:?}",
                counts(&world)[region]
            );
            assert!(
                shift <= MAX_SHIFTED_SHARE,
                "seed {seed}: {region} {shift:.3}"
            );
        }
        let remote = world.remote_share(1, (seconds(99.0), seconds(108.0)));
        assert!(remote <= 0.1, "seed {seed}: {remote:.3}");
    }
}

/// A region must not keep requests away for which it has slots, once its load is low for long.
#[test]
fn requests_return_once_the_load_is_low() {
    let world = alternate(scenario(Switch::On, 1), 110, |_, at| {
        if at < 36.0 {
            1.0
        } else {
            0.25
        }
    });
    let (peak, low) = (
        world.remote_share(0, (seconds(6.0), seconds(15.0))),
        world.remote_share(0, (seconds(99.0), seconds(108.0))),
    );
    println!("{peak:.3} {low:.3}");
    assert!(peak >= 0.4 && low <= 0.02, "{peak:.3} {low:.3}");
}

/// What a small region's host learns of the targets of the other region.
#[derive(Clone, Copy)]
struct Remote {
    /// Running requests of 4 slots that each target reports, if it does.
    running: Option<u32>,
    response_time: Duration,
}

const IDLE: Remote = Remote {
    running: Some(1),
    response_time: Duration::from_millis(230),
};

/// Returns the change of the share that has to leave over 5 s in which the own slots are full, at the
/// start of which a tenth of the requests overflows.
fn change_of_share(remote: Remote) -> f64 {
    let regions: BTreeMap<Arc<str>, Arc<str>> = [("n-a", "n"), ("s-a", "s")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into();
    let start = Instant::now();
    let switches = Switches {
        balance: Switch::On,
        ..Switches::default()
    };
    let mut fleet =
        Fleet::new(start, "own".into(), "n-a".into(), regions, 1.0).with_switches(switches);
    for index in 0..16 {
        let registration = Registration {
            id: format!("t{index}").into(),
            service: "books".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: if index < 4 { "n-a" } else { "s-a" }.into(),
            slots: 4,
            state: State::Ready,
            cold_left: Duration::ZERO,
            born: None,
        };
        fleet.register(start, registration);
    }
    fleet.set_latency_goal("books".into(), Duration::from_millis(400));
    fleet.set_caller_share(Some(0.2));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut shares = Vec::new();
    for request in 0..600u64 {
        let now = start + Duration::from_millis(request * 10);
        let key = request.wrapping_mul(STRIDE);
        let query = TargetQuery {
            service: &"books".into(),
            affinity_key: key,
            object: Some(1),
            homes: &BTreeSet::new(),
            tried: Vec::new(),
            body_bytes: 0,
        };
        let target = fleet.choose(now, &query, |_| true).unwrap();
        let is_remote = &**fleet.member(target).unwrap().region() == "s";
        let (running, response_time) = if is_remote {
            (remote.running, remote.response_time)
        } else {
            (Some(4), Duration::from_millis(120))
        };
        let observation = Observation {
            load: running.map(|running| Load {
                running,
                waiting: 0,
                slots: 4,
            }),
            response_time: Some(response_time),
            object: Some(1),
            ..Observation::default()
        };
        fleet.finish(now, target, End::Answered, observation, &mut rng);
        if request % 100 == 99 {
            shares.extend(fleet.remote_shares().map(|(_, share)| share));
        }
    }
    shares.last().unwrap() - shares[0]
}

/// Defines tests of the change of the share that has to leave while the own slots are full.
macro_rules! share_changes {
    ($($name:ident: $remote:expr, $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let change = change_of_share($remote);
            println!("{change:.3}");
            assert!($range.contains(&change), "{change:.3}");
        }
    )*};
}

share_changes! {
    the_share_grows_while_others_have_free_slots: IDLE, 0.1..0.25;
    no_more_leaves_to_full_targets: Remote { running: Some(4), ..IDLE }, -0.3..0.001;
    the_share_holds_without_reports: Remote { running: None, ..IDLE }, -0.001..0.001;
    no_more_leaves_to_targets_that_miss_the_goal: Remote { response_time: Duration::from_millis(900), ..IDLE }, -0.3..0.001;
}
