//! What the choice of targets is worth under loads at their worst, replayed in virtual time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

mod replay;

use ragwortfold::steer::fleet::Switches;
use ragwortfold::steer::retry::Switch;
use replay::{Mode, Scene, Sum, World};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The requests that come while two of four targets of a region take requests and never answer.
fn dark(switches: Switches, seed: u64) -> Sum {
    let mut world = World::new(Scene {
        switches,
        seed,
        ..Scene::default()
    });
    world.run(s(10.0));
    for site in &world.region(1)[..2] {
        world.set_mode(*site, Mode::Dark);
    }
    world.run(s(10.0));
    world.sum(s(10.0), s(16.0))
}

#[test]
fn figures() {
    let off = Switches {
        silence: Switch::Off,
        ..Switches::default()
    };
    for seed in 1..4 {
        println!(
            "dark {:?} {:?}",
            dark(off, seed),
            dark(Switches::default(), seed)
        );
    }
}
