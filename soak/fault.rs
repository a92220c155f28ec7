//! Faults by a seed: signals, links, targets and the store, one after the other and over each other.

use std::thread;
use std::time::{Duration, Instant};

use ::standin::link::{Accept, Fault, Flow};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::standin::Mode;
use crate::world::{lock, Way, World};

/// Between two faults.
const PAUSE: Duration = Duration::from_millis(150);
/// How long a process is stopped at the most: some times what others take to notice.
const FREEZE: Duration = Duration::from_millis(900);

/// Plays faults for a while. Some of what they leave is put right in between, the rest by the caller.
pub fn play(world: &mut World, seed: u64, time: Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = Instant::now() + time;
    while Instant::now() < end {
        one(world, &mut rng);
        thread::sleep(PAUSE);
    }
}

fn one(world: &mut World, rng: &mut Pcg64Mcg) {
    let target = rng.random_range(0..world.links.len());
    let host = rng.random_range(0..world.hosts.len());
    match rng.random_range(0..10) {
        0 => {
            world.hosts[host].signal("-STOP");
            thread::sleep(FREEZE.mul_f64(rng.random_range(0.1..1.0)));
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
            let ways = [
                Way::Well,
                Way::Well,
                Way::Break,
                Way::Refuse,
                Way::Shed,
                Way::Fail,
                Way::Stray,
                Way::Slow,
            ];
            let way = ways[rng.random_range(0..ways.len())];
            lock(&world.ledger).set_way(target, way);
        }
        7 => {
            let states = ["ready", "draining", "ready"];
            let state = states[rng.random_range(0..states.len())];
            let address = world.links[target].address();
            world
                .store
                .put_target(&format!("i-{target}"), address, state);
        }
        8 => world.hosts[host].signal("-HUP"),
        _ => world.links[target].set_fault(link_fault(rng)),
    }
}

/// Both ways or one, silent, slow, cut or reset, or sound again.
fn link_fault(rng: &mut Pcg64Mcg) -> Fault {
    let sound = Flow::default();
    let hole = Flow {
        black_hole: true,
        ..sound
    };
    let cut = Flow {
        cut_after: Some(rng.random_range(0..400)),
        ..sound
    };
    let faults = [
        Fault::default(),
        Fault::delay(Duration::from_millis(rng.random_range(1..200))),
        Fault::default().with_black_hole(),
        Fault {
            back: hole,
            ..Fault::default()
        },
        Fault {
            forth: hole,
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
