//! `ragwortfold demo`: a whole system in one process, under faults.

use crate::Error as Failure;

/// The arguments of `demo`.
#[allow(dead_code)]
pub(crate) struct Config {
    /// Whose system.
    pub(crate) customer: Customer,
    /// How long callers send, in seconds.
    pub(crate) seconds: u64,
    /// Requests a second of all callers together; none for the customer's own.
    pub(crate) rate: Option<f64>,
    /// The seed of all random choices.
    pub(crate) seed: u64,
    /// The fault to inject.
    pub(crate) fault: String,
    /// How results are printed.
    pub(crate) format: crate::table::Format,
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
pub(crate) const FAULTS: [&str; 13] = [
    "none",
    "target-crash",
    "zone-loss",
    "region-loss",
    "platform-down",
    "platform-lost-answers",
    "partition",
    "stale-load",
    "drain",
    "config-race",
    "host-replace",
    "burst",
    "all",
];

/// What keeps the demo from running.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The subcommand is not in this build.
    #[error("demo: not built yet")]
    Missing,
}

/// Runs the demo and prints its results.
pub(crate) fn run(_config: &Config) -> Result<(), Failure> {
    Err(Error::Missing.into())
}
