//! Soak test: runs real hosts with a store, targets and links, injects random faults, and checks what
//! callers and targets observed.
//!
//! `SOAK_SEEDS=N` runs N seeds starting at `SOAK_FIRST`, in addition to the few that always run, and `SOAK_SHUTDOWNS=N` as many
//! of series of shutdowns, with `SOAK_HOSTS` hosts. `SOAK_REGIONS=N` runs N days of each course of a deployment of three regions.

#![allow(clippy::unwrap_used)]

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod caller;
mod fault;
mod process;
mod regions;
mod shutdown;
mod world;

use std::ops::Range;
use std::time::Duration;

use regions::{Course, Size};
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
    world.shut_down_one();
    let mut violations = callers.stop();
    violations.extend(world.find_violations());
    violations.extend(world.find_late_arrivals());
    if let Err(problem) = recovery {
        violations.push(problem);
    }
    violations
}

fn assert_no_violations(seed: u64, violations: &[String]) {
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
            assert_no_violations($seed, &run_seed($seed));
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

/// Seeds of series of shutdowns that always run.
macro_rules! shutdowns {
    ($($name:ident: $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_no_violations($seed, &shutdown::run_seed($seed, shutdown::DEFAULT_HOSTS));
        }
    )*};
}

shutdowns! {
    // Links delivered requests that hosts had given up.
    shutdowns_of_targets_behind_links_that_hold_requests: 30;
    shutdowns_under_overload: 31;
}

/// Short days of a deployment of three regions that always run.
macro_rules! days {
    ($($name:ident: $course:ident, $seed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_no_violations($seed, &regions::run_seed($seed, Course::$course, Size::SHORT));
        }
    )*};
}

days! {
    targets_leave_three_regions_while_hosts_have_troubles: Hosts, 101;
    targets_leave_three_regions_while_targets_have_troubles: Targets, 102;
    targets_leave_three_regions_while_several_hosts_are_lost: Losses, 103;
}

/// The number in an environment variable.
fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// As many seeds as this variable says, from `SOAK_FIRST` on.
fn seeds_from(count: &str) -> Range<u64> {
    let first = number("SOAK_FIRST").unwrap_or_default();
    first..first + number(count).unwrap_or_default()
}

#[test]
fn seeds_that_are_asked_for() {
    for seed in seeds_from("SOAK_SEEDS") {
        println!("seed {seed}");
        assert_no_violations(seed, &run_seed(seed));
    }
}

#[test]
fn shutdowns_that_are_asked_for() {
    let hosts = number("SOAK_HOSTS").map_or(shutdown::DEFAULT_HOSTS, |hosts| hosts as usize);
    for seed in seeds_from("SOAK_SHUTDOWNS") {
        println!("seed {seed}");
        assert_no_violations(seed, &shutdown::run_seed(seed, hosts));
    }
}

/// Days of a deployment of three regions: `SOAK_REGIONS=N` seeds of each course, or of the one that `SOAK_COURSE` names.
#[test]
fn days_of_three_regions_that_are_asked_for() {
    let asked = std::env::var("SOAK_COURSE").ok();
    let is_asked = |course: &Course| {
        asked
            .as_ref()
            .is_none_or(|name| *name == format!("{course:?}"))
    };
    let courses: Vec<Course> = Course::ALL.into_iter().filter(is_asked).collect();
    assert!(!courses.is_empty(), "no course of this name: {asked:?}");
    let mut violations = Vec::new();
    for seed in seeds_from("SOAK_REGIONS") {
        for course in &courses {
            let found = regions::run_seed(seed, *course, Size::WHOLE);
            violations.extend(
                found
                    .iter()
                    .map(|line| format!("seed {seed} {course:?}: {line}")),
            );
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
