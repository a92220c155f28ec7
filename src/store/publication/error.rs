//! Why a configuration could not be published or read.

use std::fmt;
use std::sync::Arc;

use super::Step;
use crate::store::client;
use crate::store::confirmed_write::Identity;

/// A failed publication or reading.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform could not be used; nothing was published.
    #[error(transparent)]
    Store(#[from] client::Error),
    /// The publication's answer was lost and the platform could not be asked: it may be in force
    /// and may still come into force. `history` tells by the identity.
    #[error("change {id} may be in force, see the history: {cause}")]
    Unsettled {
        /// The change's identity.
        id: Identity,
        /// Why the platform could not be asked.
        cause: Arc<str>,
    },
    /// Others changed the same files; nothing was published.
    #[error("{}", lines(.0))]
    Conflict(Vec<Clash>),
    /// The merged configuration has faults; nothing was published.
    #[error("{0}")]
    Check(Arc<str>),
    /// The folder was never pulled, and to publish it would remove these files or bring back older
    /// texts of them; nothing was published.
    #[error("the folder was not pulled and is older than the platform in {}: pull first", .0.join(", "))]
    Unpulled(Vec<String>),
    /// Too many others published at the same time; nothing was published.
    #[error("gave up after {0} lost races")]
    Crowded(u32),
    /// A name that cannot stand in a folder.
    #[error("'{0}' cannot be a file's name")]
    Name(Arc<str>),
    /// A text that is too large for one object.
    #[error("{name}: {size} bytes are too many")]
    TooLarge {
        /// The file.
        name: Arc<str>,
        /// Its size as JSON, in bytes.
        size: usize,
    },
    /// There is no such revision, or it is no longer kept.
    #[error("revision {0} is not kept")]
    NoRevision(u64),
    /// A file's text is gone; a newer revision has taken this one's place meanwhile.
    #[error("text {0} is gone")]
    Missing(Arc<str>),
    /// The platform told a revision older than one already known.
    #[error("revision {found} is older than {known}")]
    Stale {
        /// The revision already known.
        known: u64,
        /// The one told.
        found: u64,
    },
    /// The platform told another change under a revision already known.
    #[error("revision {revision} is change {found} and not {known}")]
    Forked {
        /// The revision.
        revision: u64,
        /// The change already known.
        known: Arc<str>,
        /// The one told.
        found: Arc<str>,
    },
}

/// A file that another change changed too.
#[derive(Clone, Debug)]
pub struct Clash {
    /// The file.
    pub file: Arc<str>,
    /// The latest change of it; none when that was too long ago to be told.
    pub other: Option<Step>,
}

impl fmt::Display for Clash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(step) = &self.other else {
            return write!(f, "{}: changed by another since it was pulled", self.file);
        };
        let change = &step.change;
        write!(
            f,
            "{}: changed in revision {} by {} at {} ({}): {}",
            self.file, step.revision, change.author, change.time, change.id, change.note
        )
    }
}

fn lines(clashes: &[Clash]) -> String {
    let lines: Vec<String> = clashes.iter().map(Clash::to_string).collect();
    lines.join("\n")
}
