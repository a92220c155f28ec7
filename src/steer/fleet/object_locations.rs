//! Targets that handled an object lately, as far as this host has observed.
//!
//! A target answers faster for an object that it handled before, as it has it cached. So such a
//! target is worth a longer round trip or a queue, up to the extra time of a first visit; and where
//! the first choice of an object has changed, as after a restart, the object stays where it is as
//! long as that is faster.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::inventory::TargetKey;

/// Targets that are stored for an object: its usual one and one more.
const HOLDERS_PER_OBJECT: usize = 2;
/// Objects of one generation; two generations are kept, some 2 MB.
const MAX_OBJECTS: usize = 20_000;
/// Maximum age of one generation. Targets may have evicted an object that was not requested in two
/// of them.
const GENERATION_LIFETIME: Duration = Duration::from_secs(20);

type Holders = [Option<TargetKey>; HOLDERS_PER_OBJECT];

/// Targets by object, bounded in size.
#[derive(Debug)]
pub(super) struct ObjectLocations {
    recent: BTreeMap<u64, Holders>,
    previous: BTreeMap<u64, Holders>,
    /// All holders of popular objects, the latest first, in two generations as well. Their number
    /// is bounded by the counters of the demand.
    popular: BTreeMap<u64, Vec<TargetKey>>,
    previous_popular: BTreeMap<u64, Vec<TargetKey>>,
    rotated: Instant,
}

impl ObjectLocations {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            recent: BTreeMap::new(),
            previous: BTreeMap::new(),
            popular: BTreeMap::new(),
            previous_popular: BTreeMap::new(),
            rotated: now,
        }
    }

    /// Returns the targets that handled an object, the latest first.
    pub(super) fn holders(&self, object: u64) -> impl Iterator<Item = TargetKey> {
        let holders = self
            .recent
            .get(&object)
            .or_else(|| self.previous.get(&object));
        holders.copied().unwrap_or_default().into_iter().flatten()
    }

    /// Whether a target is known to have an object.
    pub(super) fn is_holder(&self, object: u64, target: TargetKey) -> bool {
        let is_one_of = |holders: &BTreeMap<u64, Vec<TargetKey>>| {
            let holders = holders.get(&object);
            holders.is_some_and(|holders| holders.contains(&target))
        };
        self.holders(object).any(|holder| holder == target)
            || is_one_of(&self.popular)
            || is_one_of(&self.previous_popular)
    }

    /// Records that a target has handled an object. A popular object has up to `max_holders`; zero
    /// for others.
    pub(super) fn record(
        &mut self,
        now: Instant,
        object: u64,
        target: TargetKey,
        max_holders: usize,
    ) {
        let age = now.saturating_duration_since(self.rotated);
        if self.recent.len() >= MAX_OBJECTS || age >= GENERATION_LIFETIME {
            self.previous = std::mem::take(&mut self.recent);
            self.previous_popular = std::mem::take(&mut self.popular);
            self.rotated = now;
        }
        if max_holders > 0 {
            let holders = self.popular.entry(object).or_default();
            holders.retain(|holder| *holder != target);
            holders.insert(0, target);
            holders.truncate(max_holders);
        }
        let others = self.holders(object).filter(|other| *other != target);
        let mut holders = Holders::default();
        let kept = std::iter::once(target).chain(others);
        for (slot, target) in holders.iter_mut().zip(kept) {
            *slot = Some(target);
        }
        self.recent.insert(object, holders);
    }
}
