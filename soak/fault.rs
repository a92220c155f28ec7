//! Injects faults chosen by a seed into hosts, links, targets and the store; faults can overlap.

use std::thread;
use std::time::{Duration, Instant};

use ::standin::link::{Accept, Fault, Flow};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::standin::Mode;
use crate::world::{lock, TargetMode, World};

/// Pause between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(150);
/// The longest stop of a process: several times as long as other hosts take to detect it.
const MAX_STOP_DURATION: Duration = Duration::from_millis(900);

/// Injects faults for `duration`. Some are ended by later ones; the caller has to end the rest.
pub fn inject_faults(world: &mut World, seed: u64, duration: Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        inject_fault(world, &mut rng);
        thread::sleep(FAULT_INTERVAL);
    }
}

/// Injects one random fault, or ends one.
fn inject_fault(world: &mut World, rng: &mut Pcg64Mcg) {
    let target = rng.random_range(0..world.links.len());
    let host = rng.random_range(0..world.hosts.len());
    match rng.random_range(0..10) {
        0 => {
            world.hosts[host].signal("-STOP");
            thread::sleep(MAX_STOP_DURATION.mul_f64(rng.random_range(0.1..1.0)));
            world.hosts[host].signal("-CONT");
        }
        1 => world.hosts[host].restart("-KILL"),
        2 => world.hosts[host].restart("-TERM"),
        3 => {
            let modes = [Mode::Busy, Mode::Silent, Mode::Up, Mode::Up];
            world
                .store
                .set_mode(modes[rng.random_range(0..modes.len())]);
        }
        4..=6 => {
            let target_modes = [
                TargetMode::Normal,
                TargetMode::Normal,
                TargetMode::Close,
                TargetMode::Refuse,
                TargetMode::Unavailable,
                TargetMode::Fail,
                TargetMode::WrongId,
                TargetMode::Slow,
            ];
            let target_mode = target_modes[rng.random_range(0..target_modes.len())];
            lock(&world.ledger).set_target_mode(target, target_mode);
        }
        7 => {
            let states = ["ready", "draining", "ready"];
            let state = states[rng.random_range(0..states.len())];
            world.set_target_state(target, state);
        }
        8 => world.hosts[host].signal("-HUP"),
        _ => world.links[target].set_fault(random_link_fault(rng)),
    }
}

/// Returns a random link fault: none, a delay, a black hole in one or both directions, answers cut after
/// some bytes, or connections that are reset or refused.
fn random_link_fault(rng: &mut Pcg64Mcg) -> Fault {
    let faultless = Flow::default();
    let black_hole = Flow {
        black_hole: true,
        ..faultless
    };
    let cut = Flow {
        cut_after: Some(rng.random_range(0..400)),
        ..faultless
    };
    let faults = [
        Fault::default(),
        Fault::delay(Duration::from_millis(rng.random_range(1..200))),
        Fault::default().with_black_hole(),
        Fault {
            back: black_hole,
            ..Fault::default()
        },
        Fault {
            forth: black_hole,
            ..Fault::default()
        },
        Fault {
            back: cut,
            ..Fault::default()
        },
        Fault {
            reset_open: true,
            accept: Accept::Reset,
            ..Fault::default()
        },
        Fault {
            accept: Accept::Refuse,
            ..Fault::default()
        },
    ];
    faults[rng.random_range(0..faults.len())]
}
