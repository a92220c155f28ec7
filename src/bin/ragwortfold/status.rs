//! `ragwortfold status`: what a host, or the platform's host list, says of the system.

use crate::table::{self, Format};
use crate::{fetch, print, Error};

/// The arguments of `status`.
pub(crate) struct Config {
    /// Whom to ask.
    pub(crate) from: From,
    /// How the answer is printed.
    pub(crate) format: Format,
}

/// Whom to ask.
pub(crate) enum From {
    /// An entry host, by its URL.
    Entry(String),
    /// The platform, by its URL.
    Platform(String),
}

/// Asks and prints.
pub(crate) fn run(config: &Config) -> Result<(), Error> {
    let answer = match &config.from {
        From::Entry(url) => fetch::get(url, "/v1/status", &[])?,
        From::Platform(url) => fetch::get(url, "/v1/hosts", &[])?,
    };
    print(&table::text(&answer, config.format))
}
