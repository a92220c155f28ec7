//! Which targets handled an object lately, as far as this host knows, and how much faster that makes them.
//!
//! A target answers faster for an object that it handled before. So a target that is known to have an object is worth
//! a longer way or a queue, up to the time that a first visit takes longer; and where the first choice for an
//! object has changed, as after a restart, the object stays where it is as long as that is quicker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::inventory::TargetKey;

/// Targets that are remembered for an object: its usual one and one more.
const HOLDERS: usize = 2;
/// Objects of one generation; two are kept, some 2 MB.
const OBJECTS: usize = 20_000;
/// The longest time of one generation. What was not asked for in two of them may long have been dropped.
const AGE: Duration = Duration::from_secs(20);

type Holders = [Option<TargetKey>; HOLDERS];

/// What this host knows of where objects were handled, bounded.
#[derive(Debug)]
pub(super) struct Warmth {
    young: BTreeMap<u64, Holders>,
    old: BTreeMap<u64, Holders>,
    turned: Instant,
}

impl Warmth {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            young: BTreeMap::new(),
            old: BTreeMap::new(),
            turned: now,
        }
    }

    /// The targets that handled an object, the last one first.
    pub(super) fn holders(&self, object: u64) -> impl Iterator<Item = TargetKey> {
        let holders = self.young.get(&object).or_else(|| self.old.get(&object));
        holders.copied().unwrap_or_default().into_iter().flatten()
    }

    /// Whether a target is known to have an object.
    pub(super) fn has(&self, object: u64, target: TargetKey) -> bool {
        self.holders(object).any(|holder| holder == target)
    }

    /// Notes that a target has handled an object.
    pub(super) fn put(&mut self, now: Instant, object: u64, target: TargetKey) {
        let age = now.saturating_duration_since(self.turned);
        if self.young.len() >= OBJECTS || age >= AGE {
            self.old = std::mem::take(&mut self.young);
            self.turned = now;
        }
        let others = self.holders(object).filter(|other| *other != target);
        let mut holders = Holders::default();
        let kept = std::iter::once(target).chain(others);
        for (place, target) in holders.iter_mut().zip(kept) {
            *place = Some(target);
        }
        self.young.insert(object, holders);
    }
}
