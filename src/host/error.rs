//! Why an entry host can't start.

use std::net::SocketAddr;

use crate::port::Malformed;

/// Why an entry host can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] Malformed),
    /// The runtime can't be built.
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] crate::entry::Error),
    /// The log can't be set up.
    #[error("log: {0}")]
    Log(#[from] spdlog::Error),
}
