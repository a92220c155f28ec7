//! `ragwortfold demo`: a whole system in one process, under faults.
//!
//! The system runs on loopback: a platform, the customer's entry hosts and targets, links with
//! their delays, and callers of all classes in all regions. What it does is judged by
//! [`standin::observer`] from the callers' records and the targets' journals.

mod fault;
mod lag;
mod load;
mod operator;
mod report;
mod watch;
mod world;

use std::time::{Duration, Instant};

use standin::observer;

use crate::table::Format;
use crate::Error as Failure;
use fault::Kind;
use world::World;

/// The arguments of `demo`.
pub(crate) struct Config {
    /// Whose system.
    pub(crate) customer: Customer,
    /// How long callers send, in seconds.
    pub(crate) seconds: u64,
    /// A factor on the customer's own rates; none for 1.
    pub(crate) rate: Option<f64>,
    /// The seed of all random choices.
    pub(crate) seed: u64,
    /// The fault to inject.
    pub(crate) fault: String,
    /// How results are printed.
    pub(crate) format: Format,
}

/// Whose system the demo runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Customer {
    /// Ground-station antennas.
    Quispe,
    /// A housing waiting list.
    Caroni,
}

impl Customer {
    /// All customers, by the word of the command line.
    pub(crate) const ALL: [(&'static str, Customer); 2] =
        [("quispe", Customer::Quispe), ("caroni", Customer::Caroni)];
}

/// The faults that can be injected.
pub(crate) const FAULTS: [&str; 13] = Kind::NAMES;

/// What keeps the demo from running.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// There is no such fault.
    #[error("demo: no fault '{0}'; there are {names}", names = FAULTS.join(", "))]
    Fault(String),
    /// A stand-in cannot be started.
    #[error("demo: {0}")]
    Standin(#[from] standin::Error),
    /// An entry host cannot be started.
    #[error("demo: {0}")]
    Host(#[from] ragwortfold::entry::Error),
    /// The configuration is wrong.
    #[error("demo: {0}")]
    Folder(#[from] ragwortfold::config::Faults),
    /// The configuration cannot be published.
    #[error("demo: {0}")]
    Publication(#[from] ragwortfold::store::publication::Error),
    /// A port or a thread cannot be had.
    #[error("demo: {0}")]
    System(std::io::Error),
    /// Not all hosts had the configuration in time.
    #[error("demo: hosts without a configuration after {time:?}: {0}", time = START)]
    Start(String),
    /// A promise was broken.
    #[error("demo: {0} violations")]
    Violations(usize),
}

/// How long hosts may take to get their first configuration.
const START: Duration = Duration::from_secs(15);
/// How long the running system is left alone before callers start.
const SETTLE: Duration = Duration::from_millis(1500);

/// How long callers start slowly.
const WARM_UP: Duration = Duration::from_secs(1);

/// Runs the demo and prints its results.
pub(crate) fn run(config: &Config) -> Result<(), Failure> {
    let kind = Kind::with_name(&config.fault).ok_or_else(|| Error::Fault(config.fault.clone()))?;
    quieten();
    let mut world = World::new(config.customer, config.seed)?;
    world.wait(START)?;
    std::thread::sleep(SETTLE);
    let duration = Duration::from_secs(config.seconds);
    let callers = load::Callers::new(&world, config.rate.unwrap_or(1.0), config.seed, duration)?;
    let watch = watch::Watch::new(&world)?;
    let start = Instant::now();
    let plan = fault::plan(kind, duration);
    progress(start, start + WARM_UP.min(duration), &callers, &watch);
    callers.open_up();
    let lag = lag::Lag::new()?;
    let mut injector = fault::Injector::new(&mut world, &callers, &watch, config.seed);
    for (at, step) in plan {
        progress(start, start + at, &callers, &watch);
        injector.step(step)?;
    }
    progress(start, start + duration, &callers, &watch);
    let notes = injector.finish();
    let records = callers.wait();
    let mut run = watch.finish(&world, records, notes);
    run.figures.extend(lag.figures());
    let verdict = observer::find_violations(&run.world, &run.evidence);
    let summary = report::Summary::new(&run, &verdict);
    crate::print(&summary.text(config.format))?;
    if verdict.is_empty() {
        Ok(())
    } else {
        Err(Error::Violations(verdict.len()).into())
    }
}

/// Tells how it goes, once a second, until a time.
fn progress(start: Instant, until: Instant, callers: &load::Callers, watch: &watch::Watch) {
    const BEAT: Duration = Duration::from_secs(1);
    loop {
        let now = Instant::now();
        let left = until.saturating_duration_since(now);
        if left.is_zero() {
            return;
        }
        let passed = now - start;
        let beats = passed.as_secs() as u32 + 1;
        let next = (BEAT * beats).saturating_sub(passed);
        std::thread::sleep(next.min(left));
        if next <= left {
            let revisions = watch.revisions();
            eprintln!("{:>4} s  {}  {revisions}", beats, callers.line());
        }
    }
}

/// Keeps the log of the hosts down to errors; what is asked for is the table.
fn quieten() {
    let filter = spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error);
    spdlog::default_logger().set_level_filter(filter);
}
