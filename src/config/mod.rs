//! Reads, merges and checks configuration folders and host settings.

mod clients;
mod fault;
mod folder;
mod layer;
mod lines;
mod rules;
pub mod settings;
mod shape;
mod show;
mod tree;
mod value;

use std::path::Path;
use std::sync::Arc;

use crate::border::configuration::Configuration;

pub use clients::Clients;
pub use fault::{Fault, Faults};
pub use folder::Folder;
pub use layer::MAX_FILE_BYTES;
pub use show::Origin;

/// An error when reading a configuration folder or a settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An I/O error when reading a file or a folder.
    #[error("{path}: {source}")]
    Read {
        /// The file or folder.
        path: Arc<str>,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The folder has no configuration files.
    #[error("{path}: no *.json files here")]
    Empty {
        /// The folder.
        path: Arc<str>,
    },
    /// The file is larger than the platform accepts.
    #[error("{path}: has {bytes} bytes, more than {MAX_FILE_BYTES}")]
    Size {
        /// The file.
        path: Arc<str>,
        /// The size of the file in bytes.
        bytes: u64,
    },
    /// The files have syntax errors or invalid values.
    #[error(transparent)]
    Faults(#[from] Faults),
}

/// Reads the `*.json` files of a folder.
///
/// # Errors
///
/// A folder or file that cannot be read.
pub fn read(dir: &Path) -> Result<Folder, Error> {
    folder::read(dir)
}

/// Merges the files of a folder and checks the result.
///
/// # Errors
///
/// All faults of the folder at once.
pub fn check(folder: &Folder) -> Result<Configuration, Faults> {
    folder.merged()
}
