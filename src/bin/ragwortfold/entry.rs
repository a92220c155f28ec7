//! `ragwortfold entry`: runs the daemon.

use std::path::PathBuf;

use ragwortfold::config::settings::{self, Overrides};

use crate::Error;

/// The arguments of `entry`.
pub(crate) struct Config {
    /// The settings file.
    pub(crate) settings: PathBuf,
    /// What flags say instead of the file.
    pub(crate) overrides: Overrides,
}

/// Runs an entry host until it is told to stop.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    ragwortfold::entry::run(|| Ok(settings::read(&config.settings, &config.overrides)?))
}
