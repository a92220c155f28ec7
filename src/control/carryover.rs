//! What a host knows beyond a store that was restored from an older copy.
//!
//! Objects that were created since the copy was taken are missing in it, and objects that were
//! removed since are back. Whoever wrote them writes them again after a moment; until then the
//! host goes by what it saw last, for a limited time, as nobody may write them any more.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which removals are remembered: copies are some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// The differences between one kind of objects as last seen and as restored, by name.
#[derive(Clone, Debug, Default)]
pub struct Carryover {
    /// When objects were removed.
    removed_at: BTreeMap<Arc<str>, Instant>,
    /// Until when objects that the copy lacks are considered to exist.
    kept_until: BTreeMap<Arc<str>, Instant>,
    /// Until when objects that the copy has back, or as they were before, are ignored.
    hidden_until: BTreeMap<Arc<str>, Instant>,
}

impl Carryover {
    /// Returns an empty carryover.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an object was removed.
    pub fn record_removal(&mut self, now: Instant, name: &Arc<str>) {
        let is_recent = |at: &mut Instant| now.saturating_duration_since(*at) < REMOVAL_MEMORY;
        self.removed_at.retain(|_, at| is_recent(at));
        self.removed_at.insert(name.clone(), now);
        self.record_write(name);
    }

    /// Records that an object was written: the store shows what it is.
    pub fn record_write(&mut self, name: &str) {
        self.kept_until.remove(name);
        self.hidden_until.remove(name);
    }

    /// Compares the objects of a restored store with those that existed before. Differences hold
    /// until `until` unless they are written again, and so does that the objects `leaving` are
    /// about to be removed.
    pub fn restore(
        &mut self,
        now: Instant,
        until: Instant,
        (before, leaving): (&BTreeSet<Arc<str>>, &BTreeSet<Arc<str>>),
        restored: &BTreeSet<Arc<str>>,
    ) {
        for name in before.difference(restored) {
            self.kept_until.insert(name.clone(), until);
        }
        for name in restored.intersection(leaving) {
            self.hidden_until.insert(name.clone(), until);
        }
        for name in restored.difference(before) {
            let removed_at = self.removed_at.get(name);
            if removed_at.is_some_and(|at| now.saturating_duration_since(*at) < REMOVAL_MEMORY) {
                self.hidden_until.insert(name.clone(), until);
            }
        }
    }

    /// Whether an object is ignored as the store has it.
    pub fn hides(&self, name: &str) -> bool {
        self.hidden_until.contains_key(name)
    }

    /// Returns the names of the objects that the store lacks and that are considered to exist.
    pub fn kept(&self) -> impl Iterator<Item = &Arc<str>> {
        self.kept_until.keys()
    }

    /// Ends the differences whose time is over. Returns the objects that count as the store has
    /// them from now on.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        let maps = [&mut self.kept_until, &mut self.hidden_until];
        let mut expired = Vec::new();
        for map in maps {
            map.retain(|name, until| {
                let is_over = now >= *until;
                if is_over {
                    expired.push(name.clone());
                }
                !is_over
            });
        }
        expired
    }
}
