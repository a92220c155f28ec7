//! The journal of a target: each request that it ran, as the target itself recorded it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::unix_us;

/// Limit of stored entries; later ones are only counted.
const MAX_ENTRIES: usize = 1_000_000;

/// One request that began to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// `Standin-Call`, chosen by the caller.
    pub call: Option<Arc<str>>,
    /// `Ragwortfold-Request-Id`.
    pub request: Option<Arc<str>>,
    /// `Idempotency-Key`.
    pub key: Option<Arc<str>>,
    /// The method and path.
    pub line: Arc<str>,
    /// Hash of the request's body; see [`crate::pattern::hash`].
    pub body_hash: Arc<str>,
    /// Length of the request's body, in bytes.
    pub body_length: usize,
    /// The peer address of the connection.
    pub client: Arc<str>,
    /// When it began, in microseconds since the Unix epoch.
    pub began_us: u64,
    /// When it ended, in microseconds since the Unix epoch; none while it runs.
    pub ended_us: Option<u64>,
    /// Whether it completed, rather than being cancelled or ended by a crash.
    pub completed: bool,
}

/// The entries of a target in the order in which the requests began to run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Journal {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Requests without an entry, since the journal was full when they began.
    pub lost: u64,
}

impl Journal {
    /// Adds the entry of a request that begins to run; returns its index, or none if the journal is full.
    pub(super) fn begin(&mut self, entry: Entry) -> Option<usize> {
        if self.entries.len() == MAX_ENTRIES {
            self.lost += 1;
            return None;
        }
        self.entries.push(entry);
        Some(self.entries.len() - 1)
    }

    /// Records the end of a request in the entry at `index`.
    pub(super) fn end(&mut self, index: Option<usize>, completed: bool) {
        if let Some(entry) = index.and_then(|index| self.entries.get_mut(index)) {
            entry.ended_us = Some(unix_us());
            entry.completed = completed;
        }
    }
}
