//! What the choice of targets is worth under loads at their worst, replayed in virtual time.
//!
//! Each test plays a load on hosts with a mechanism and without it, on several seeds, and asserts the gain.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use ragwortfold::steer::fleet::Switches;
use ragwortfold::steer::pause::RefusedRequest;
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

/// One region has more than twice its usual load for a while, more than its targets can take and as much as others may
/// take over from it within the users' bound on shifts.
fn burst(scene: Scene) -> Sum {
    let rate = scene.rate;
    let mut world = World::new(scene);
    world.run(s(10.0));
    world.set_rate(0, rate * 2.2);
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
    objects_stay_where_they_are_warm_when_targets_come_back: come_back, warmth, 0.953 => 0.965;
    objects_stay_where_they_are_warm_in_a_burst: burst, warmth, 0.985 => 0.990;
    a_refused_request_goes_to_a_target_that_has_its_object: shed, warmth, 0.847 => 0.853;
    silent_targets_get_nothing: dark, silence, 0.820 => 0.873;
    the_object_decides_in_the_opening: opening, affinity, 0.28 => 0.767;
    the_object_decides_when_all_hosts_return: hosts_return, affinity, 0.79 => 0.996;
    other_regions_help_in_a_burst: burst, far, 0.92 => 0.990;
    what_has_no_room_is_refused_early: overloaded, early_refusal, 0.07 => 0.38;
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

/// The users' bound on the part of a region's requests that may change their region from one window to the next.
const MOST_SHIFTED: f64 = 0.15;
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Enough targets and requests that single ones don't matter; for three seconds the first `regions` have `times` their load.
fn wide_burst(scene: Scene, regions: usize, times: f64) -> World {
    let rate = 240.0;
    let mut world = World::new(Scene {
        hosts: 4,
        rate,
        objects: 240,
        ..scene
    });
    world.run(s(10.0));
    for region in 0..regions {
        world.set_rate(region, rate * times);
    }
    world.run(s(3.0));
    for region in 0..regions {
        world.set_rate(region, rate);
    }
    world.run(s(8.0));
    world
}

/// The largest shift of the first region around such a burst.
fn shift(world: &World) -> f64 {
    world.largest_shift(0, (s(8.0), s(20.0)), SHIFT_WINDOW)
}

#[test]
fn a_burst_leaves_its_region_step_by_step() {
    for seed in SEEDS {
        let scene = Scene {
            targets: vec![8, 16, 20],
            ..scene(on(), seed)
        };
        let world = wide_burst(scene, 1, 3.0);
        let shift = shift(&world);
        assert!(shift <= MOST_SHIFTED, "seed {seed}: {shift:.3}");
        let share = world.sum(s(10.0), s(18.0)).share();
        assert!(share >= 0.88, "seed {seed}: {share:.3}");
    }
}

#[test]
fn a_burst_everywhere_moves_little() {
    for seed in SEEDS {
        let scene = Scene {
            targets: vec![13, 13, 13],
            ..scene(on(), seed)
        };
        let world = wide_burst(scene, 3, 2.2);
        let shift = shift(&world);
        assert!(shift <= MOST_SHIFTED, "seed {seed}: {shift:.3}");
    }
}

#[test]
fn what_a_lost_zone_had_leaves_at_once() {
    for seed in SEEDS {
        let mut world = World::new(Scene {
            targets: vec![4, 4, 4],
            ..scene(on(), seed)
        });
        world.run(s(10.0));
        for site in &world.region(1)[1..] {
            world.withdraw(*site);
        }
        world.run(s(6.0));
        let sum = world.sum(s(10.2), s(15.0));
        assert!(sum.refused * 100 <= sum.asked, "seed {seed}: {sum:?}");
    }
}

/// All regions have more than their targets can do for three seconds, and refused callers come back once.
fn crowd(seed: u64, times: f64, pause: fn(Duration, f64) -> Duration) -> World {
    let rate = 240.0;
    let mut world = World::new(Scene {
        targets: vec![13, 13, 13],
        hosts: 4,
        rate,
        objects: 240,
        pause: Some(pause),
        ..scene(on(), seed)
    });
    world.run(s(10.0));
    for region in 0..3 {
        world.set_rate(region, rate * times);
    }
    world.run(s(3.0));
    for region in 0..3 {
        world.set_rate(region, rate);
    }
    world.run(s(6.0));
    world
}

/// The part that is answered in good time, over all seeds.
fn in_good_time(times: f64, pause: fn(Duration, f64) -> Duration) -> f64 {
    let sums = SEEDS.map(|seed| crowd(seed, times, pause).sum(s(10.0), s(15.0)));
    let (good, asked) = sums.fold((0, 0), |(good, asked), sum| {
        (good + sum.good, asked + sum.asked)
    });
    f64::from(good) / f64::from(asked)
}

/// Callers that return as they are told are served better than after a fixed quarter of a second.
macro_rules! returns {
    ($($name:ident: $times:literal, $before:literal => $after:literal;)*) => {$(
        #[test]
        fn $name() {
            let fixed = in_good_time($times, |_, _| Duration::from_millis(250));
            let told = in_good_time($times, |room, draw| RefusedRequest { time_until_room: room, rank: 0.5 }.retry_after(draw));
            assert!(fixed <= $before && told >= $after, "{fixed:.3} {told:.3}");
        }
    )*};
}

returns! {
    callers_return_when_there_is_room_in_a_burst: 2.2, 0.755 => 0.785;
    callers_return_when_there_is_room_in_a_heavy_burst: 2.8, 0.54 => 0.56;
}
