//! Errors of building a catalog from a configuration.

use std::sync::Arc;

/// A fault in a configuration from which no catalog can be built.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A reference to a name that is not defined.
    #[error("no '{name}' in {kind}")]
    UndefinedName {
        /// The map of the configuration that does not contain the name.
        kind: &'static str,
        /// The undefined name.
        name: Arc<str>,
    },
    /// An address that is not of the form IP:PORT.
    #[error("{path}: '{text}' is not IP:PORT")]
    InvalidAddress {
        /// The path of the address in the configuration.
        path: Arc<str>,
        /// The text in its place.
        text: Arc<str>,
    },
    /// A client block that is not of the form ADDRESS/LENGTH.
    #[error("clients: '{text}' is not ADDRESS/LENGTH")]
    InvalidBlock {
        /// The text in its place.
        text: Arc<str>,
    },
}
