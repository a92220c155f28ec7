//! What can be wrong with a configuration when it is laid out.

use std::sync::Arc;

/// A fault that keeps a configuration from being laid out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Something names a record that is not there.
    #[error("no '{name}' in {kind}")]
    Name {
        /// The map that lacks it.
        kind: &'static str,
        /// The name.
        name: Arc<str>,
    },
    /// An address that is not IP:PORT.
    #[error("{path}: '{text}' is not IP:PORT")]
    Address {
        /// Where it stands.
        path: Arc<str>,
        /// What stands there.
        text: Arc<str>,
    },
    /// A client block that is not ADDRESS/LENGTH.
    #[error("clients: '{text}' is not ADDRESS/LENGTH")]
    Block {
        /// What stands there.
        text: Arc<str>,
    },
}
