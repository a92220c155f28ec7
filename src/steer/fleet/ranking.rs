//! The first targets for each key, so that a choice looks at few targets however many there are.
//!
//! To draw for all targets of a service takes longer the more there are. Those that come first for a key stay the same while
//! targets only change their state, so they are remembered; one that joins takes its place among them, one that leaves is
//! dropped.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Ask, Fleet};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;

/// Targets on one side that are remembered for a key. With a half of all targets closed to requests one choice in 256 looks at
/// all.
const FIRST: usize = 8;
/// Keys of a service in one generation; two are kept, some 1 MB.
const KEYS: usize = 4096;
/// How long the count of open slots holds for each target that it takes a look at, so that counting takes the same part of a
/// processor however many targets there are.
const COUNT_AGE: Duration = Duration::from_micros(40);

/// How early a target comes for a key; the greatest draw comes first.
pub(super) fn draw(key: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), seed)
}

/// The first targets on one side, those of the own region or all others.
#[derive(Clone, Debug, Default)]
struct Side {
    /// In the order of their draws.
    first: Vec<TargetKey>,
    /// Whether there are no others.
    is_all: bool,
}

impl Side {
    fn new(mut draws: Vec<(u64, TargetKey)>) -> Self {
        let is_all = draws.len() <= FIRST;
        draws.sort_unstable_by(|one, other| other.cmp(one));
        draws.truncate(FIRST);
        Self {
            first: draws.into_iter().map(|(_, key)| key).collect(),
            is_all,
        }
    }

    /// Whether so few are left that others may come before long.
    fn is_worn(&self) -> bool {
        !self.is_all && self.first.len() < FIRST / 2
    }
}

/// The first targets for a key.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    near: Side,
    far: Side,
}

impl Ranking {
    /// The first targets of the own region or elsewhere, and whether there are no others.
    pub(super) fn side(&self, near: bool) -> (&[TargetKey], bool) {
        let side = if near { &self.near } else { &self.far };
        (&side.first, side.is_all)
    }

    fn side_mut(&mut self, near: bool) -> &mut Side {
        if near {
            &mut self.near
        } else {
            &mut self.far
        }
    }

    fn drop(&mut self, target: TargetKey) {
        self.near.first.retain(|key| *key != target);
        self.far.first.retain(|key| *key != target);
    }
}

/// The slots of the own region that were open to requests.
#[derive(Clone, Copy, Debug)]
struct Count {
    at: Instant,
    slots: u32,
}

/// What is remembered for one service.
#[derive(Debug, Default)]
pub(super) struct Rankings {
    young: BTreeMap<u64, Ranking>,
    old: BTreeMap<u64, Ranking>,
    count: Option<Count>,
}

impl Rankings {
    fn get(&self, key: u64) -> Option<&Ranking> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    fn put(&mut self, key: u64, ranking: Ranking) {
        if self.young.len() >= KEYS {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, ranking);
    }

    fn all(&mut self) -> impl Iterator<Item = (&u64, &mut Ranking)> {
        self.young.iter_mut().chain(&mut self.old)
    }
}

impl Fleet {
    /// What is remembered for the key of a request; nothing where keys are not used.
    pub(super) fn ranking(&self, ask: &Ask<'_>) -> Option<&Ranking> {
        self.rankings.get(ask.service)?.get(ask.key)
    }

    /// Sees to it that the first targets for the key of a request are known.
    pub(super) fn rank(&mut self, ask: &Ask<'_>) {
        if self.switches.affinity == Switch::Off {
            return;
        }
        let known = self.ranking(ask);
        if known.is_some_and(|known| !known.near.is_worn() && !known.far.is_worn()) {
            return;
        }
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for key in self.services.get(ask.service).into_iter().flatten() {
            self.looks.set(self.looks.get() + 1);
            if let Some(member) = self.members.get(key) {
                let side = if member.is_near { &mut near } else { &mut far };
                side.push((draw(ask.key, member.seed), *key));
            }
        }
        let ranking = Ranking {
            near: Side::new(near),
            far: Side::new(far),
        };
        let rankings = self.rankings.entry(ask.service.clone()).or_default();
        rankings.put(ask.key, ranking);
    }

    /// Gives a target that has joined its place among those that are remembered.
    pub(super) fn join_rankings(&mut self, target: TargetKey) {
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let Some(rankings) = self.rankings.get_mut(member.service()) else {
            return;
        };
        rankings.count = None;
        let members = &self.members;
        for (key, ranking) in rankings.all() {
            let side = ranking.side_mut(member.is_near);
            let own = draw(*key, member.seed);
            let place = side.first.partition_point(|other| {
                let other = members.get(other);
                other.is_some_and(|other| draw(*key, other.seed) > own)
            });
            // Behind the last one there may be others before it.
            if place < side.first.len() || side.is_all {
                side.is_all &= side.first.len() < FIRST;
                side.first.insert(place, target);
                side.first.truncate(FIRST);
            }
        }
    }

    /// Drops a target that has left.
    pub(super) fn leave_rankings(&mut self, service: &Arc<str>, target: TargetKey) {
        if let Some(rankings) = self.rankings.get_mut(service) {
            rankings.all().for_each(|(_, ranking)| ranking.drop(target));
        }
    }

    /// Counts the slots of targets of the own region that a request without homes may use, unless that was done just now.
    pub(super) fn count_open(&mut self, now: Instant, ask: &Ask<'_>) {
        let targets = self.services.get(ask.service).map_or(0, Vec::len);
        let known = self.rankings.get(ask.service).and_then(|known| known.count);
        let age = COUNT_AGE.saturating_mul(targets as u32);
        if known.is_some_and(|known| now.saturating_duration_since(known.at) < age) {
            return;
        }
        let slots = self.open_slots(now, ask);
        let rankings = self.rankings.entry(ask.service.clone()).or_default();
        rankings.count = Some(Count { at: now, slots });
    }

    /// The slots that were counted last.
    pub(super) fn counted_slots(&self, service: &str) -> Option<u32> {
        let count = self.rankings.get(service)?.count?;
        Some(count.slots)
    }
}
