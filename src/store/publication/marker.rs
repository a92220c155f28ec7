//! The marker in an operator's folder: what the folder was derived from.
//!
//! `pull` and `apply` write it. Without it, `apply` takes the revision in force as the base, see
//! [`super::Undo`].

use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;

use super::merge::{self, Hashes};
use super::{text, Fetched, Files, Marker};

/// The marker's name. It ends in no `.json`, so it is no part of the configuration.
pub const NAME: &str = ".ragwortfold-base";

/// The marker of a folder that holds just `fetched`.
pub fn of(fetched: &Fetched) -> Marker {
    Marker {
        revision: fetched.revision,
        files: text::hashes(&fetched.files),
    }
}

/// Reads a folder's marker; none if it has none.
///
/// # Errors
///
/// A marker that cannot be read.
pub fn read(folder: &Path) -> io::Result<Option<Marker>> {
    match fs::read(folder.join(NAME)) {
        Ok(bytes) => Ok(Some(serde_json::from_slice(&bytes)?)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Writes a folder's marker; at no time is it there in part.
///
/// # Errors
///
/// A folder that cannot be written.
pub fn write(folder: &Path, marker: &Marker) -> io::Result<()> {
    let part = folder.join(format!("{NAME}.part"));
    fs::write(&part, serde_json::to_vec_pretty(marker)?)?;
    fs::rename(part, folder.join(NAME))
}

/// The files that were edited, added or removed since the folder got `marker`: what a pull would
/// overwrite.
pub fn edited(files: &Files, marker: Option<&Marker>) -> Vec<String> {
    let none = Hashes::new();
    let base = marker.map_or(&none, |marker| &marker.files);
    merge::differing(base, &text::hashes(files))
        .into_iter()
        .map(str::to_owned)
        .collect()
}
