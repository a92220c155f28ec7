//! Configuration folders and settings: read, merge, check.

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
pub use layer::LARGEST_FILE;
pub use show::Origin;

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
    /// A folder without configuration files.
    #[error("{path}: no *.json files here")]
    Empty {
        /// The folder.
        path: Arc<str>,
    },
    /// A file larger than the platform takes.
    #[error("{path}: has {bytes} bytes, more than {LARGEST_FILE}")]
    Size {
        /// The file.
        path: Arc<str>,
        /// Its size.
        bytes: u64,
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
