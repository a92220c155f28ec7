//! Since when a host's copy of what the store holds is surely current.
//!
//! A watch that waits shows nothing: the store or the connection may have gone away since it was asked, and the answer never comes.
//! Only an answer shows something, and only of the moment at which its question was asked.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::port::Kind;

/// Time between an answer and the next question of a host that watches the store.
pub const INTERVAL: Duration = Duration::from_millis(400);
/// How long the store may take to show that it answers. A host that has lost it has to notice, and its followers have to find another
/// source, well before a change has to be in force.
pub const PATIENCE: Duration = Duration::from_millis(700);

/// When the store was asked the last question about each kind of objects after whose answer the copy lacked nothing.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    asked: BTreeMap<Kind, Instant>,
}

impl Evidence {
    /// None yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// With the answer to a question asked at `asked` the copy of a kind lacks nothing that was acknowledged before.
    pub fn show(&mut self, kind: Kind, asked: Instant) {
        let known = self.asked.entry(kind).or_insert(asked);
        *known = asked.max(*known);
    }

    /// The store did not answer a question: all that was shown may have changed since.
    pub fn clear(&mut self) {
        self.asked.clear();
    }

    /// The time since the copy of a kind surely was current.
    pub fn age(&self, now: Instant, kind: Kind) -> Option<Duration> {
        let asked = self.asked.get(&kind)?;
        Some(now.saturating_duration_since(*asked))
    }

    /// Whether all of `kinds` were shown to be current less than `term` ago.
    pub fn holds(&self, now: Instant, kinds: &[Kind], term: Duration) -> bool {
        let is_young = |kind: &Kind| self.age(now, *kind).is_some_and(|age| age < term);
        kinds.iter().all(is_young)
    }
}
