//! Errors that prevent an entry host from starting.

use std::net::SocketAddr;

use crate::port::Malformed;

/// Why an entry host can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] Malformed),
    /// The runtime can't be built.
    #[error("cannot build the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] crate::entry::Error),
    /// The log can't be set up.
    #[error("cannot set up the log: {0}")]
    Log(#[from] spdlog::Error),
}
