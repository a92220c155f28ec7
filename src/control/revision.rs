//! Revisions of the store's contents.

use std::fmt::{self, Display, Formatter};

/// A revision of the store's contents.
///
/// A store that is restored from an older copy gives out the copy's later revisions again, for
/// other contents. Its era, which rises each time, orders what was read before and after; numbers
/// of different eras can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// How often the store was restored; 0 if the store or the sender does not say so.
    pub era: u64,
    /// The store's own revision, which increases with each change in an era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether the contents at this revision contain all changes up to `other`.
    pub fn includes(self, other: Self) -> bool {
        self.era == other.era && self.number >= other.number
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
