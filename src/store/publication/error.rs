//! Errors of publishing and reading the configuration.

use std::fmt;
use std::sync::Arc;

use super::Step;
use crate::store::client;
use crate::store::confirmed_write::Identity;

/// An error of publishing or reading the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call to the platform failed; nothing was published.
    #[error(transparent)]
    Store(#[from] client::Error),
    /// The answer to the publication was lost and reading it back failed too: the change may be in
    /// force or may still come into force. If `history` lists its identity, it is in force.
    #[error("change {id} may be in force, see the history: {cause}")]
    Unconfirmed {
        /// The change's identity.
        id: Identity,
        /// Why the result could not be read back.
        cause: Arc<str>,
    },
    /// Other changes affect the same files; nothing was published.
    #[error("{}", conflict_lines(.0))]
    Conflict(Vec<FileConflict>),
    /// The merged configuration is invalid; nothing was published.
    #[error("{0}")]
    Invalid(Arc<str>),
    /// The folder has no marker, and publishing it would remove these files or restore older texts of
    /// them; nothing was published.
    #[error("the folder was not pulled and is older than the platform in {}: pull first", .0.join(", "))]
    NotPulled(Vec<String>),
    /// Other writers were faster in each attempt; nothing was published.
    #[error("gave up after losing {0} races against other writers")]
    LostRaces(u32),
    /// A name that is not a valid file name for a folder.
    #[error("'{0}' is not a valid file name")]
    InvalidName(Arc<str>),
    /// A file's text that is too large for one object.
    #[error("{name}: text of {size} bytes is too large")]
    TooLarge {
        /// The file.
        name: Arc<str>,
        /// Its size as JSON, in bytes.
        size: usize,
    },
    /// The revision does not exist, or is no longer stored.
    #[error("revision {0} is not kept")]
    NoRevision(u64),
    /// A file's text no longer exists, because a newer revision has come into force and this one was
    /// removed.
    #[error("text {0} no longer exists")]
    TextMissing(Arc<str>),
    /// The platform returned a revision older than one already known.
    #[error(
        "the platform returned revision {found}, which is older than the known revision {known}"
    )]
    Stale {
        /// The known revision.
        known: u64,
        /// The revision returned.
        found: u64,
    },
    /// The platform returned another change for a revision already known.
    #[error("the platform returned change {found} for revision {revision}, which is known as change {known}")]
    Forked {
        /// The revision.
        revision: u64,
        /// The known change.
        known: Arc<str>,
        /// The change returned.
        found: Arc<str>,
    },
}

/// A file that both the operator and another change have changed.
#[derive(Clone, Debug)]
pub struct FileConflict {
    /// The file.
    pub file: Arc<str>,
    /// Its latest change; none if that is not among the recent changes in the head.
    pub latest: Option<Step>,
}

impl fmt::Display for FileConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(step) = &self.latest else {
            return write!(
                f,
                "{}: changed by another operator since it was pulled",
                self.file
            );
        };
        let change = &step.change;
        write!(
            f,
            "{}: changed in revision {} by {} at {} ({}): {}",
            self.file, step.revision, change.author, change.time, change.id, change.note
        )
    }
}

fn conflict_lines(conflicts: &[FileConflict]) -> String {
    let lines: Vec<String> = conflicts.iter().map(FileConflict::to_string).collect();
    lines.join("\n")
}
