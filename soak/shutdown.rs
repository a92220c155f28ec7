//! A series of shutdowns under load: targets shut down one after the other while they are full, links hold requests to them,
//! answers are wrong, missing or refused, callers leave, and the configuration changes. The store is undisturbed.

use std::thread;
use std::time::{Duration, Instant};

use ::standin::link::Fault;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::caller;
use crate::standin::{configure, Mode};
use crate::world::{lock, TargetMode, World, DRAIN, SHUTDOWN_OBSERVATION};

/// Number of hosts unless another one is asked for.
pub const DEFAULT_HOSTS: usize = 5;
const TARGETS_PER_HOST: usize = 2;
/// So many that targets are full.
const CALLERS_PER_HOST: usize = 14;
/// Share of the requests whose callers leave before they have an answer.
const LEAVE_SHARE: f64 = 0.2;
/// How long the store fails before the callers start.
const OUTAGE: Duration = Duration::from_secs(2);
/// How long the store was undisturbed before the first shutdown.
const UNDISTURBED: Duration = Duration::from_secs(4);
const SHUTDOWNS: usize = 8;
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two other faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(150);
/// Share of the shutdowns before which the link to the target begins to hold requests.
const HOLD_SHARE: f64 = 0.5;
/// Longest time from then until the shutdown.
const MAX_HOLD_BEFORE: Duration = Duration::from_millis(500);
/// How long a link holds requests: until the target had time to drain.
const HOLD: Duration = Duration::from_millis(3500);

/// Runs one seed; returns descriptions of all violations.
pub fn run_seed(seed: u64, hosts: usize) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = hosts * TARGETS_PER_HOST;
    let mut world = World::with_size(hosts, targets);
    for target in 0..targets {
        lock(&world.ledger).set_target_mode(target, TargetMode::Limited);
    }
    world.store.set_mode(Mode::Silent);
    thread::sleep(OUTAGE);
    world.store.set_mode(Mode::Up);
    let callers = caller::start_leaving(&world, seed, hosts * CALLERS_PER_HOST, LEAVE_SHARE);
    thread::sleep(UNDISTURBED);
    let mut held: Vec<(Instant, usize)> = Vec::new();
    for version in 2..SHUTDOWNS as u32 + 2 {
        let target = rng.random_range(0..targets);
        if rng.random_bool(HOLD_SHARE) {
            world.links[target].set_fault(Fault::default().with_black_hole());
            held.push((Instant::now() + HOLD, target));
            thread::sleep(MAX_HOLD_BEFORE.mul_f64(rng.random_range(0.0..1.0)));
        }
        world.shut_down(target, rng.random_bool(0.5));
        world.replace(target);
        configure(&world.store, version);
        let until = Instant::now() + SHUTDOWN_INTERVAL;
        while Instant::now() < until {
            inject_fault(&world, &mut rng);
            release(&world, &mut held);
            thread::sleep(FAULT_INTERVAL);
        }
    }
    while !held.is_empty() {
        release(&world, &mut held);
        thread::sleep(FAULT_INTERVAL);
    }
    thread::sleep(DRAIN + SHUTDOWN_OBSERVATION);
    let mut violations = callers.stop();
    violations.extend(world.find_violations());
    violations.extend(world.find_late_arrivals());
    violations
}

/// Has links deliver what they have held long enough.
fn release(world: &World, held: &mut Vec<(Instant, usize)>) {
    let now = Instant::now();
    for (_, target) in held.extract_if(.., |(until, _)| now >= *until) {
        world.links[target].set_fault(Fault::default());
    }
}

/// Injects a fault that does not excuse a request to a target that has shut down.
fn inject_fault(world: &World, rng: &mut Pcg64Mcg) {
    if rng.random_bool(0.2) {
        world.hosts[rng.random_range(0..world.hosts.len())].signal("-HUP");
        return;
    }
    let modes = [
        TargetMode::Limited,
        TargetMode::Limited,
        TargetMode::Limited,
        TargetMode::Slow,
        TargetMode::WrongId,
        TargetMode::Close,
        TargetMode::Refuse,
        TargetMode::Fail,
    ];
    let target = rng.random_range(0..world.links.len());
    let mode = modes[rng.random_range(0..modes.len())];
    lock(&world.ledger).set_target_mode(target, mode);
}
