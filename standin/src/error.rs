//! Errors that prevent a stand-in from running.

use std::io;
use std::net::SocketAddr;

/// An error of the stand-in itself, as opposed to a fault that it simulates.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stand-in can't listen on the address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread, or the runtime with its threads, can't be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// The settings are invalid.
    #[error("{0}")]
    Settings(&'static str),
}
