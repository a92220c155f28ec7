//! `ragwortfold demo`: runs a complete system in one process and injects faults.
//!
//! The system runs on loopback: a platform, the customer's entry hosts and targets, links with
//! their delays, and callers of all classes in all regions. [`standin::observer`] checks its
//! behaviour against the invariants, using the callers' records and the targets' journals.

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
use crate::Error as CommandError;
use fault::Kind;
use world::World;

/// The arguments of `demo`.
pub(crate) struct Config {
    /// The customer whose system is run.
    pub(crate) customer: Customer,
    /// How long callers send, in seconds.
    pub(crate) seconds: u64,
    /// Factor on the customer's request rates; `None` means 1.
    pub(crate) rate: Option<f64>,
    /// The seed of all random choices.
    pub(crate) seed: u64,
    /// The fault to inject.
    pub(crate) fault: String,
    /// Output format of the results.
    pub(crate) format: Format,
}

/// A customer whose example configuration the demo can run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Customer {
    /// Operates ground-station antennas.
    Quispe,
    /// Operates a housing waiting list.
    Caroni,
}

impl Customer {
    /// All customers with their names on the command line.
    pub(crate) const ALL: [(&'static str, Customer); 2] =
        [("quispe", Customer::Quispe), ("caroni", Customer::Caroni)];
}

/// The names of the faults that can be injected.
pub(crate) const FAULTS: [&str; 13] = Kind::NAMES;

/// Errors of the demo.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The named fault does not exist.
    #[error("demo: no fault '{0}'; there are {names}", names = FAULTS.join(", "))]
    UnknownFault(String),
    /// A stand-in cannot be started.
    #[error("demo: {0}")]
    Standin(#[from] standin::Error),
    /// An entry host cannot be started.
    #[error("demo: {0}")]
    Host(#[from] ragwortfold::entry::Error),
    /// The configuration is invalid.
    #[error("demo: {0}")]
    Configuration(#[from] ragwortfold::config::Faults),
    /// The configuration cannot be published.
    #[error("demo: {0}")]
    Publication(#[from] ragwortfold::store::publication::Error),
    /// No port is free, or a thread cannot be started.
    #[error("demo: {0}")]
    System(std::io::Error),
    /// Some hosts had no configuration in force within the startup timeout.
    #[error("demo: hosts without a configuration after {time:?}: {0}", time = STARTUP_TIMEOUT)]
    StartupTimeout(String),
    /// The observer found violations of invariants.
    #[error("demo: {0} violations")]
    Violations(usize),
}

/// How long hosts may take until their first configuration is in force.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay between the start of the hosts and the start of the callers.
const SETTLE_DELAY: Duration = Duration::from_millis(1500);

/// How long callers send at reduced rates after their start.
const WARM_UP_DURATION: Duration = Duration::from_secs(1);

/// Runs the demo and prints its results.
pub(crate) fn run(config: &Config) -> Result<(), CommandError> {
    let kind =
        Kind::from_name(&config.fault).ok_or_else(|| Error::UnknownFault(config.fault.clone()))?;
    limit_log_to_errors();
    let mut world = World::new(config.customer, config.seed)?;
    world.wait_until_ready(STARTUP_TIMEOUT)?;
    std::thread::sleep(SETTLE_DELAY);
    let duration = Duration::from_secs(config.seconds);
    let callers = load::Callers::new(&world, config.rate.unwrap_or(1.0), config.seed, duration)?;
    let monitor = watch::Monitor::new(&world)?;
    let start = Instant::now();
    let schedule = fault::schedule(kind, duration);
    print_progress(
        start,
        start + WARM_UP_DURATION.min(duration),
        &callers,
        &monitor,
    );
    callers.set_full_rates();
    let lag = lag::LagMonitor::new()?;
    let mut injector = fault::Injector::new(&mut world, &callers, &monitor, config.seed);
    for (at, step) in schedule {
        print_progress(start, start + at, &callers, &monitor);
        injector.apply(step)?;
    }
    print_progress(start, start + duration, &callers, &monitor);
    let fault_log = injector.into_log();
    let calls = callers.wait();
    let mut run = monitor.finish(&world, calls, fault_log);
    run.figures.extend(lag.into_figures());
    let violations = observer::find_violations(&run.deployment, &run.evidence);
    let summary = report::Summary::new(&run, &violations);
    crate::print(&summary.render(config.format))?;
    if violations.is_empty() {
        Ok(())
    } else {
        Err(Error::Violations(violations.len()).into())
    }
}

/// Prints the progress to stderr once a second until `until`.
fn print_progress(
    start: Instant,
    until: Instant,
    callers: &load::Callers,
    monitor: &watch::Monitor,
) {
    const INTERVAL: Duration = Duration::from_secs(1);
    loop {
        let now = Instant::now();
        let left = until.saturating_duration_since(now);
        if left.is_zero() {
            return;
        }
        let elapsed = now - start;
        let seconds = elapsed.as_secs() as u32 + 1;
        let next = (INTERVAL * seconds).saturating_sub(elapsed);
        std::thread::sleep(next.min(left));
        if next <= left {
            let revisions = monitor.revision_range();
            eprintln!("{:>4} s  {}  {revisions}", seconds, callers.progress_line());
        }
    }
}

/// Restricts the hosts' log to errors, so that it does not clutter the results.
fn limit_log_to_errors() {
    let filter = spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error);
    spdlog::default_logger().set_level_filter(filter);
}
