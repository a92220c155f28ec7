//! Configuration folders and settings: read, merge, check.

mod fault;
mod folder;
pub mod settings;

use std::path::Path;
use std::sync::Arc;

use crate::border::configuration::Configuration;

pub use fault::{Fault, Faults};
pub use folder::Folder;

/// What keeps files from being read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system would not read a file or a folder.
    #[error("{path}: {source}")]
    Read {
        /// The file or folder.
        path: Arc<str>,
        /// Why not.
        source: std::io::Error,
    },
    /// Some values are wrong.
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
