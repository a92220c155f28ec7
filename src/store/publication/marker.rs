//! The marker file in an operator's folder, which records the revision that the folder is based on.
//!
//! `pull` and `apply` write it. Without it, `apply` uses the revision in force as the base, see
//! [`super::OverwritePolicy`].

use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;

use super::merge::{self, Hashes};
use super::{text, Fetched, Files, Marker};

/// Name of the marker file. It does not end in `.json`, so it is not part of the configuration.
pub const FILE_NAME: &str = ".ragwortfold-base";

/// Creates the marker of a folder whose files are those of `fetched`.
pub fn for_revision(fetched: &Fetched) -> Marker {
    Marker {
        revision: fetched.revision,
        files: text::hashes(&fetched.files),
    }
}

/// Reads a folder's marker; none if the folder has none.
///
/// # Errors
///
/// The marker cannot be read or parsed.
pub fn read(folder: &Path) -> io::Result<Option<Marker>> {
    match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => Ok(Some(serde_json::from_slice(&bytes)?)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Writes a folder's marker atomically.
///
/// # Errors
///
/// The folder cannot be written.
pub fn write(folder: &Path, marker: &Marker) -> io::Result<()> {
    let temporary = folder.join(format!("{FILE_NAME}.part"));
    fs::write(&temporary, serde_json::to_vec_pretty(marker)?)?;
    fs::rename(temporary, folder.join(FILE_NAME))
}

/// Returns the names of the files that were edited, added or removed since `marker` was written. A pull
/// would overwrite them.
pub fn edited_files(files: &Files, marker: Option<&Marker>) -> Vec<String> {
    let none = Hashes::new();
    let base = marker.map_or(&none, |marker| &marker.files);
    merge::differing_names(base, &text::hashes(files))
        .into_iter()
        .map(str::to_owned)
        .collect()
}
