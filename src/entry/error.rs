//! Errors that prevent an entry host from running.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// An error that prevents the daemon from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A setting is invalid.
    #[error("settings: {path}: {problem}")]
    Setting {
        /// The setting's name.
        path: &'static str,
        /// Why it is invalid.
        problem: Arc<str>,
    },
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
    /// A thread panicked without which the host can't serve.
    #[error("{0} has failed")]
    Failed(&'static str),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The log could not be set up.
    #[error("cannot set up the log: {0}")]
    Log(Arc<str>),
    /// Metrics could not be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(Arc<str>),
    /// The links to other hosts could not be set up.
    #[error("cannot set up links to other hosts: {0}")]
    Peer(Arc<str>),
}

impl Error {
    pub(crate) fn log(error: impl std::fmt::Display) -> Self {
        Self::Log(error.to_string().into())
    }

    pub(crate) fn metrics(error: impl std::fmt::Display) -> Self {
        Self::Metrics(error.to_string().into())
    }

    pub(crate) fn setting(path: &'static str, problem: impl std::fmt::Display) -> Self {
        Self::Setting {
            path,
            problem: problem.to_string().into(),
        }
    }
}
