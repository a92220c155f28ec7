//! What the choice of targets is worth under loads at their worst, replayed in virtual time.
//!
//! Each test plays a load on hosts with a mechanism and without it, on several seeds, and asserts the gain.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use ragwortfold::steer::fleet::Switches;
use ragwortfold::steer::retry::Switch;

mod replay;

use replay::{Mode, Scene, Sum, World};

const SEEDS: std::ops::Range<u64> = 1..6;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn on() -> Switches {
    Switches::default()
}

fn scene(switches: Switches, seed: u64) -> Scene {
    Scene {
        switches,
        seed,
        ..Scene::default()
    }
}

/// The sum over all seeds of what a load gives.
fn all(switches: Switches, load: impl Fn(Scene) -> Sum) -> Sum {
    SEEDS.fold(Sum::default(), |sum, seed| {
        let one = load(scene(switches, seed));
        Sum {
            asked: sum.asked + one.asked,
            good: sum.good + one.good,
            late: sum.late + one.late,
            refused: sum.refused + one.refused,
            failed: sum.failed + one.failed,
        }
    })
}

/// All objects are new to all targets.
fn opening(scene: Scene) -> Sum {
    let mut world = World::new(scene);
    world.run(s(9.0));
    world.sum(s(0.0), s(6.0))
}

/// Two of four targets of a region take requests and never answer.
fn dark(scene: Scene) -> Sum {
    let mut world = World::new(scene);
    world.run(s(10.0));
    for site in &world.region(1)[..2] {
        world.set_mode(*site, Mode::Dark);
    }
    world.run(s(10.0));
    world.sum(s(10.0), s(16.0))
}

/// Two targets of a region leave and come back with nothing.
fn come_back(scene: Scene) -> Sum {
    let mut world = World::new(scene);
    let sites = world.region(2)[..2].to_vec();
    world.run(s(10.0));
    for site in &sites {
        world.withdraw(*site);
    }
    world.run(s(3.0));
    for site in &sites {
        world.restore(*site);
    }
    world.run(s(9.0));
    world.sum(s(10.0), s(19.0))
}

/// One region has three times its usual load for a while, more than its targets can take.
fn burst(scene: Scene) -> Sum {
    let rate = scene.rate;
    let mut world = World::new(scene);
    world.run(s(10.0));
    world.set_rate(0, rate * 3.0);
    world.run(s(3.0));
    world.set_rate(0, rate);
    world.run(s(8.0));
    world.sum(s(10.0), s(18.0))
}

/// All hosts start anew among targets that have their objects.
fn hosts_return(scene: Scene) -> Sum {
    let mut world = World::new(scene);
    world.run(s(10.0));
    world.restart_hosts();
    world.run(s(8.0));
    world.sum(s(10.0), s(16.0))
}

/// A half of the requests is refused by all targets of a region.
fn shed(scene: Scene) -> Sum {
    let mut world = World::new(scene);
    world.run(s(10.0));
    for site in world.region(2) {
        world.set_mode(site, Mode::Shed(0.5));
    }
    world.run(s(8.0));
    world.sum(s(10.0), s(16.0))
}

/// Twice as much work as all slots can do, for ten seconds.
fn too_much(scene: Scene) -> World {
    let mut world = World::new(Scene {
        fresh: Duration::from_millis(150),
        again: Duration::from_millis(150),
        rate: 290.0,
        ..scene
    });
    world.run(s(12.0));
    world
}

fn overloaded(scene: Scene) -> Sum {
    too_much(scene).sum(s(2.0), s(8.0))
}

/// Without one mechanism.
fn without(change: impl Fn(&mut Switches)) -> Switches {
    let mut switches = on();
    change(&mut switches);
    switches
}

/// A load on which a mechanism raises the part of the requests that is answered in good time from at most one figure to
/// at least another.
macro_rules! gains {
    ($($name:ident: $load:ident, $mechanism:ident, $before:literal => $after:literal;)*) => {$(
        #[test]
        fn $name() {
            let before = all(without(|switches| switches.$mechanism = Switch::Off), $load);
            let after = all(on(), $load);
            assert!(before.share() <= $before, "{:.3} before: {before:?}", before.share());
            assert!(after.share() >= $after, "{:.3} after: {after:?}", after.share());
        }
    )*};
}

gains! {
    objects_stay_where_they_are_warm_in_the_opening: opening, warmth, 0.760 => 0.765;
    objects_stay_where_they_are_warm_when_targets_come_back: come_back, warmth, 0.952 => 0.955;
    objects_stay_where_they_are_warm_in_a_burst: burst, warmth, 0.979 => 0.982;
    a_refused_request_goes_to_a_target_that_has_its_object: shed, warmth, 0.835 => 0.850;
    silent_targets_get_nothing: dark, silence, 0.835 => 0.870;
    the_object_decides_in_the_opening: opening, affinity, 0.14 => 0.765;
    the_object_decides_when_all_hosts_return: hosts_return, affinity, 0.73 => 0.990;
    other_regions_help_in_a_burst: burst, far, 0.86 => 0.980;
    what_has_no_room_is_refused_early: overloaded, early_refusal, 0.07 => 0.30;
}

#[test]
fn silence_halves_what_is_lost_at_dark_targets() {
    let before = all(without(|switches| switches.silence = Switch::Off), dark);
    let after = all(on(), dark);
    assert!(after.failed * 2 <= before.failed, "{before:?} {after:?}");
}

#[test]
fn what_cannot_be_served_is_refused_at_once() {
    for seed in SEEDS {
        let world = too_much(scene(on(), seed));
        let sum = world.sum(s(2.0), s(8.0));
        assert!(sum.refused > 0 && sum.failed == 0, "{sum:?}");
        // Two tries at most, each a way there and back.
        let longest = world.longest_refusal();
        assert!(longest <= Duration::from_millis(80), "{longest:?}");
    }
}
