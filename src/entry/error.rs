//! What keeps an entry host from running.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A fault that keeps the daemon from starting or running on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A setting that cannot be used.
    #[error("settings: {path}: {problem}")]
    Setting {
        /// The setting.
        path: &'static str,
        /// What is wrong with it.
        problem: Arc<str>,
    },
    /// A socket that could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Where it should listen.
        address: SocketAddr,
        /// Why it does not.
        source: io::Error,
    },
    /// A thread that could not be started.
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
