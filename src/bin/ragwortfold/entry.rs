//! `ragwortfold entry`: runs an entry host.

use std::path::PathBuf;

use ragwortfold::config::settings::{self, Overrides};

use crate::Error;

/// The arguments of `entry`.
pub(crate) struct Config {
    /// The settings file.
    pub(crate) settings: PathBuf,
    /// Values from flags, which override those of the file.
    pub(crate) overrides: Overrides,
}

/// Runs an entry host until SIGTERM.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    ragwortfold::entry::run(|| Ok(settings::read(&config.settings, &config.overrides)?))
}
