//! A series of shutdowns under load: targets shut down one after the other while they are full, links hold requests to them,
//! answers are wrong, missing or refused, callers leave, and the configuration changes. The store is undisturbed, but it may be slow,
//! and it executes older writes of targets that have left.

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

/// Share of the series in which the store is slow, and the longest time that it takes for a response.
const SLOW_SHARE: f64 = 0.5;
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(800);
/// Share of the shutdowns after which the store executes an older write of the process, and the longest time until then.
const LATE_WRITE_SHARE: f64 = 0.5;
const MAX_WRITE_DELAY: Duration = Duration::from_millis(3000);
/// Distinguishes the random numbers for the store, so that those for other faults of a seed stay the same.
const STORE_STREAM: u128 = 7;

/// An older write of a process that has left, and when the store executes it.
struct LateWrite {
    due_at: Instant,
    process: String,
    target: usize,
}

/// Runs one seed; returns descriptions of all violations.
pub fn run_seed(seed: u64, hosts: usize) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut store_rng = Pcg64Mcg::new(u128::from(seed) << 64 | STORE_STREAM);
    let targets = hosts * TARGETS_PER_HOST;
    let mut world = World::with_size(hosts, targets);
    for target in 0..targets {
        lock(&world.ledger).set_target_mode(target, TargetMode::Limited);
    }
    world.store.set_mode(Mode::Silent);
    thread::sleep(OUTAGE);
    world.store.set_mode(Mode::Up);
    if store_rng.random_bool(SLOW_SHARE) {
        let share = store_rng.random_range(0.0..1.0);
        world.store.set_delay(MAX_RESPONSE_TIME.mul_f64(share));
    }
    let mut late_writes: Vec<LateWrite> = Vec::new();
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
        let process = world.process(target);
        world.shut_down(target, rng.random_bool(0.5));
        if store_rng.random_bool(LATE_WRITE_SHARE) {
            let delay = MAX_WRITE_DELAY.mul_f64(store_rng.random_range(0.0..1.0));
            late_writes.push(LateWrite {
                due_at: Instant::now() + delay,
                process,
                target,
            });
        }
        world.replace(target);
        configure(&world.store, version);
        let until = Instant::now() + SHUTDOWN_INTERVAL;
        while Instant::now() < until {
            inject_fault(&world, &mut rng);
            release(&world, &mut held);
            execute(&world, &mut late_writes);
            thread::sleep(FAULT_INTERVAL);
        }
    }
    while !held.is_empty() || !late_writes.is_empty() {
        release(&world, &mut held);
        execute(&world, &mut late_writes);
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

/// Has the store execute the late writes that are due.
fn execute(world: &World, late_writes: &mut Vec<LateWrite>) {
    let now = Instant::now();
    for write in late_writes.extract_if(.., |write| now >= write.due_at) {
        world.register(write.target, &write.process, "ready");
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
