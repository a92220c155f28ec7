//! A soak: real hosts between a store, targets and links that fail by a seed, judged by what callers and
//! targets see.
//!
//! `SOAK_SEEDS=N` plays N seeds from `SOAK_FIRST` on, beside the few that are always played.

#![allow(clippy::unwrap_used)]

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod caller;
mod fault;
mod world;

use std::time::Duration;

use world::World;

/// How long faults come, one after the other and over each other.
const FAULTS: Duration = Duration::from_secs(4);

/// Plays one seed; tells what was judged wrong.
fn play(seed: u64) -> Vec<String> {
    let mut world = World::new();
    let callers = caller::start(&world, seed);
    fault::play(&mut world, seed, FAULTS);
    world.heal();
    let recovered = world.recovers();
    let mut wrong = callers.stop();
    wrong.extend(world.judge());
    if let Err(problem) = recovered {
        wrong.push(problem);
    }
    wrong
}

fn check(seed: u64) {
    let wrong = play(seed);
    assert!(wrong.is_empty(), "seed {seed}:\n{}", wrong.join("\n"));
}

/// Seeds that are played each time. One that ever failed stays here, with its cause.
macro_rules! seeds {
    ($($name:ident: $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            check($seed);
        }
    )*};
}

seeds! {
    some_faults: 1;
    other_faults: 2;
}

#[test]
fn seeds_that_are_asked_for() {
    let number = |name: &str| -> u64 {
        let text = std::env::var(name).unwrap_or_default();
        text.parse().unwrap_or_default()
    };
    let first = number("SOAK_FIRST");
    for seed in first..first + number("SOAK_SEEDS") {
        println!("seed {seed}");
        check(seed);
    }
}
