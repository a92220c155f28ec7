//! What a target ran, written down by the target itself and believed from nobody else.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::unix_us;

/// Most entries kept; later ones are counted only.
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
    /// The connection's other end.
    pub client: Arc<str>,
    /// When it began, in microseconds since the Unix epoch.
    pub began_us: u64,
    /// When it ended, none while it runs.
    pub ended_us: Option<u64>,
    /// Whether it ran to its end, rather than being cancelled or cut by a crash.
    pub completed: bool,
}

/// The entries of a target in the order in which they began.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Journal {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Requests that began when the journal was full.
    pub lost: u64,
}

impl Journal {
    /// Notes that a request began, and answers where.
    pub(super) fn begin(&mut self, entry: Entry) -> Option<usize> {
        if self.entries.len() == MAX_ENTRIES {
            self.lost += 1;
            return None;
        }
        self.entries.push(entry);
        Some(self.entries.len() - 1)
    }

    /// Notes that a request ended.
    pub(super) fn end(&mut self, at: Option<usize>, completed: bool) {
        if let Some(entry) = at.and_then(|at| self.entries.get_mut(at)) {
            entry.ended_us = Some(unix_us());
            entry.completed = completed;
        }
    }
}
