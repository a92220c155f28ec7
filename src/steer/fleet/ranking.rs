//! Cache of the first targets by rendezvous hashing for each key, so that a choice inspects few
//! targets however many there are.
//!
//! Ranking all targets of a service takes time in proportion to their number. The first targets of
//! a key do not change while targets only change their state, so they are cached; a target that
//! joins is inserted, and one that leaves is removed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Fleet, TargetQuery};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;

/// Targets that are cached for a key, for the own region and for all others each. While half of all
/// targets are closed to requests one choice in 256 inspects all targets.
const MAX_RANKED: usize = 8;
/// Keys of a service in one generation; two generations are kept, some 1 MB.
const MAX_KEYS: usize = 4096;
/// Keys of popular objects of a service for which all targets are ranked: 80 KB each with 10,000
/// targets.
const MAX_COMPLETE: usize = 256;
/// Lifetime of the slot count for each target that counting inspects, so that counting takes a
/// constant share of processor time however many targets there are.
const SLOT_COUNT_LIFETIME: Duration = Duration::from_micros(40);

/// Returns the rendezvous weight of a target for a key; the greatest weight comes first.
pub(super) fn rendezvous_weight(key: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), seed)
}

/// The first targets of one side: of the own region, or of all others.
#[derive(Clone, Debug, Default)]
struct RankedSide {
    /// By descending weight.
    targets: Vec<TargetKey>,
    /// Whether the side has no other targets.
    is_complete: bool,
    /// Maximum number of targets that are stored.
    limit: usize,
}

impl RankedSide {
    fn new(mut weights: Vec<(u64, TargetKey)>, limit: usize) -> Self {
        let is_complete = weights.len() <= limit;
        weights.sort_unstable_by(|one, other| other.cmp(one));
        weights.truncate(limit);
        Self {
            targets: weights.into_iter().map(|(_, key)| key).collect(),
            is_complete,
            limit,
        }
    }

    /// Whether so few are left that unranked targets may soon come next.
    fn is_depleted(&self) -> bool {
        !self.is_complete && self.targets.len() < MAX_RANKED / 2
    }
}

/// The first targets of a key.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    local: RankedSide,
    remote: RankedSide,
}

impl Ranking {
    /// Returns the first targets of the own region or elsewhere, and whether there are no others.
    pub(super) fn side(&self, is_local: bool) -> (&[TargetKey], bool) {
        let side = if is_local { &self.local } else { &self.remote };
        (&side.targets, side.is_complete)
    }

    fn side_mut(&mut self, is_local: bool) -> &mut RankedSide {
        if is_local {
            &mut self.local
        } else {
            &mut self.remote
        }
    }

    fn remove(&mut self, target: TargetKey) {
        self.local.targets.retain(|key| *key != target);
        self.remote.targets.retain(|key| *key != target);
    }
}

/// Usable slots of the own region.
#[derive(Clone, Copy, Debug)]
struct SlotCount {
    counted_at: Instant,
    slots: u32,
}

/// Cached rankings of one service.
#[derive(Debug, Default)]
pub(super) struct Rankings {
    recent: BTreeMap<u64, Ranking>,
    previous: BTreeMap<u64, Ranking>,
    /// Rankings of all targets, for the keys of popular objects.
    complete: BTreeMap<u64, Ranking>,
    slot_count: Option<SlotCount>,
}

impl Rankings {
    fn get(&self, key: u64) -> Option<&Ranking> {
        self.recent.get(&key).or_else(|| self.previous.get(&key))
    }

    fn insert(&mut self, key: u64, ranking: Ranking) {
        if self.recent.len() >= MAX_KEYS {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(key, ranking);
    }

    fn all_mut(&mut self) -> impl Iterator<Item = (&u64, &mut Ranking)> {
        let stored = self.recent.iter_mut().chain(&mut self.previous);
        stored.chain(&mut self.complete)
    }

    /// Returns the ranking of all targets for the key of a popular object.
    pub(super) fn complete(&self, key: u64) -> Option<&Ranking> {
        self.complete.get(&key)
    }
}

impl Fleet {
    /// Returns the cached ranking of a request's key; `None` while affinity is switched off.
    pub(super) fn ranking(&self, query: &TargetQuery<'_>) -> Option<&Ranking> {
        self.rankings.get(query.service)?.get(query.affinity_key)
    }

    /// Computes the ranking of a request's key unless it is cached.
    pub(super) fn ensure_ranking(&mut self, query: &TargetQuery<'_>) {
        if self.switches.affinity == Switch::Off {
            return;
        }
        let known = self.ranking(query);
        if known.is_some_and(|known| !known.local.is_depleted() && !known.remote.is_depleted()) {
            return;
        }
        let ranking = self.compute_ranking(query, MAX_RANKED);
        let rankings = self.rankings.entry(query.service.clone()).or_default();
        rankings.insert(query.affinity_key, ranking);
    }

    /// Returns the ranking of all targets for a request's key, if its object is popular.
    pub(super) fn complete_ranking(&self, query: &TargetQuery<'_>) -> Option<&Ranking> {
        self.rankings
            .get(query.service)?
            .complete(query.affinity_key)
    }

    /// Ranks all targets for a request's key unless that is stored.
    pub(super) fn ensure_complete_ranking(&mut self, query: &TargetQuery<'_>) {
        if self.complete_ranking(query).is_some() {
            return;
        }
        let ranking = self.compute_ranking(query, usize::MAX);
        let rankings = self.rankings.entry(query.service.clone()).or_default();
        if rankings.complete.len() >= MAX_COMPLETE {
            rankings.complete.clear();
        }
        rankings.complete.insert(query.affinity_key, ranking);
    }

    /// Ranks the targets of a service for a request's key, with up to `limit` targets a side.
    fn compute_ranking(&self, query: &TargetQuery<'_>, limit: usize) -> Ranking {
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for key in self.services.get(query.service).into_iter().flatten() {
            self.inspected.set(self.inspected.get() + 1);
            if let Some(member) = self.members.get(key) {
                let side = if member.is_local {
                    &mut local
                } else {
                    &mut remote
                };
                side.push((rendezvous_weight(query.affinity_key, member.id_hash), *key));
            }
        }
        Ranking {
            local: RankedSide::new(local, limit),
            remote: RankedSide::new(remote, limit),
        }
    }

    /// Inserts a target that has joined into the cached rankings.
    pub(super) fn add_to_rankings(&mut self, target: TargetKey) {
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let Some(rankings) = self.rankings.get_mut(member.service()) else {
            return;
        };
        rankings.slot_count = None;
        let members = &self.members;
        for (key, ranking) in rankings.all_mut() {
            let side = ranking.side_mut(member.is_local);
            let weight = rendezvous_weight(*key, member.id_hash);
            let position = side.targets.partition_point(|other| {
                let other = members.get(other);
                other.is_some_and(|other| rendezvous_weight(*key, other.id_hash) > weight)
            });
            // Behind the last cached target there may be uncached ones that come before it.
            if position < side.targets.len() || side.is_complete {
                side.is_complete &= side.targets.len() < side.limit;
                side.targets.insert(position, target);
                side.targets.truncate(side.limit);
            }
        }
    }

    /// Removes a target that has left from the cached rankings.
    pub(super) fn remove_from_rankings(&mut self, service: &Arc<str>, target: TargetKey) {
        if let Some(rankings) = self.rankings.get_mut(service) {
            rankings
                .all_mut()
                .for_each(|(_, ranking)| ranking.remove(target));
        }
    }

    /// Counts the slots of targets of the own region that a request without home regions may use,
    /// unless the last count is recent.
    pub(super) fn refresh_slot_count(&mut self, now: Instant, query: &TargetQuery<'_>) {
        let targets = self.services.get(query.service).map_or(0, Vec::len);
        let known = self
            .rankings
            .get(query.service)
            .and_then(|known| known.slot_count);
        let age = SLOT_COUNT_LIFETIME.saturating_mul(targets as u32);
        if known.is_some_and(|known| now.saturating_duration_since(known.counted_at) < age) {
            return;
        }
        let slots = self.count_local_slots(now, query);
        let rankings = self.rankings.entry(query.service.clone()).or_default();
        rankings.slot_count = Some(SlotCount {
            counted_at: now,
            slots,
        });
    }

    /// Returns the last slot count.
    pub(super) fn counted_slots(&self, service: &str) -> Option<u32> {
        let slot_count = self.rankings.get(service)?.slot_count?;
        Some(slot_count.slots)
    }
}
