//! The entry host's daemon: actors on one stakker thread, I/O on others.

use crate::border::settings::Settings;

/// What keeps a host from running, or ends it early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon is not in this build.
    #[error("entry: not built yet")]
    Missing,
}

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// What keeps the host from starting.
pub fn run(_settings: Settings) -> Result<(), Error> {
    Err(Error::Missing)
}
