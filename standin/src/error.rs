//! What keeps a stand-in from running.

use std::io;
use std::net::SocketAddr;

/// A fault of the stand-in itself, as opposed to one it was told to show.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// Settings that cannot work.
    #[error("{0}")]
    Settings(&'static str),
}
