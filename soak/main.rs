//! Soak test: runs real hosts with a store, targets and links, injects random faults, and checks what
//! callers and targets observed.
//!
//! `SOAK_SEEDS=N` runs N seeds starting at `SOAK_FIRST`, in addition to the few that always run.

#![allow(clippy::unwrap_used)]

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod caller;
mod fault;
mod world;

use std::time::Duration;

use world::World;

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// Runs one seed; returns descriptions of all violations.
fn run_seed(seed: u64) -> Vec<String> {
    let mut world = World::new();
    let callers = caller::start(&world, seed);
    fault::inject_faults(&mut world, seed, FAULT_DURATION);
    world.end_faults();
    let recovery = world.wait_until_serving();
    let missed_shutdown = world.find_missed_shutdown();
    let mut violations = callers.stop();
    violations.extend(world.find_violations());
    violations.extend(missed_shutdown);
    if let Err(problem) = recovery {
        violations.push(problem);
    }
    violations
}

fn assert_no_violations(seed: u64) {
    let violations = run_seed(seed);
    assert!(
        violations.is_empty(),
        "seed {seed}:\n{}",
        violations.join("\n")
    );
}

/// Seeds that always run. A seed that once failed stays here, with the cause of its failure.
macro_rules! seeds {
    ($($name:ident: $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_no_violations($seed);
        }
    )*};
}

seeds! {
    some_faults: 1;
    other_faults: 2;
    // Links delivered requests that hosts had given up.
    requests_held_by_links: 5901;
    requests_held_by_more_links: 5906;
    requests_held_by_other_links: 5916;
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
        assert_no_violations(seed);
    }
}
