//! `ragwortfold config diff`, `apply`, `pull` and `history`: the configuration on the platform.

use std::path::PathBuf;

use crate::Error as Failure;

/// The arguments of the subcommands that talk to the platform.
#[allow(dead_code)]
pub(crate) struct Config {
    /// The base URL of the platform's object API.
    pub(crate) platform: String,
    /// What to do there.
    pub(crate) action: Action,
}

/// What to do with the configuration on the platform.
#[allow(dead_code)]
pub(crate) enum Action {
    /// Show how a folder differs from it.
    Diff { dir: PathBuf },
    /// Make a folder, or an earlier revision, its next revision.
    Apply {
        source: Source,
        note: Option<String>,
        author: Option<String>,
    },
    /// Write its files to a folder.
    Pull { dir: PathBuf },
    /// List its revisions.
    History,
}

/// Where the files of a new revision come from.
#[allow(dead_code)]
pub(crate) enum Source {
    /// A folder.
    Folder(PathBuf),
    /// An earlier revision.
    Revision(u64),
}

/// What keeps the configuration on the platform from being read or changed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The subcommand is not in this build.
    #[error("config: diff, apply, pull, history, drain and undrain are not built yet")]
    Missing,
}

/// Reads or changes the configuration on the platform.
pub(crate) fn run(_config: &Config) -> Result<(), Failure> {
    Err(Error::Missing.into())
}
