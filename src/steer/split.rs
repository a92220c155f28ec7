//! Shares of zones, and the assignment of client blocks to zones.
//!
//! A block is assigned by weighted rendezvous hashing: for each zone, an exponential variate is derived
//! from the block and the zone's name and divided by the zone's share, and the lowest score wins. The
//! variates depend on names only, so all hosts with equal splits make the same assignment.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{Catalog, ZoneKey};

/// Smaller shares are dropped when a split is created.
const MIN_SHARE: f64 = 1e-9;
/// Bisection steps in the search for a move of a given size.
const BISECTION_STEPS: u32 = 48;
/// Tolerance for rounding errors when distances are compared.
const ROUNDING_TOLERANCE: f64 = 1e-12;

/// Share of one zone in a split.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ZoneShare {
    zone: ZoneKey,
    seed: u64,
    share: f64,
}

/// Shares of zones, which sum to 1; empty if nothing is known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    parts: Arc<[ZoneShare]>,
}

impl Split {
    /// Creates a split in proportion to `weights`. Weights that are not positive are dropped, and those
    /// of the same zone are added up.
    pub fn new(catalog: &Catalog, weights: impl IntoIterator<Item = (ZoneKey, f64)>) -> Self {
        let parts = weights.into_iter().map(|(zone, share)| ZoneShare {
            zone,
            seed: xxh3_64(catalog.zone(zone).name.as_bytes()),
            share,
        });
        Self::with_parts(parts.collect())
    }

    fn with_parts(mut parts: Vec<ZoneShare>) -> Self {
        parts.retain(|part| part.share.is_finite() && part.share > 0.0);
        parts.sort_by_key(|part| part.zone);
        parts.dedup_by(|next, kept| {
            let is_same = next.zone == kept.zone;
            if is_same {
                kept.share += next.share;
            }
            is_same
        });
        normalize(&mut parts);
        let count = parts.len();
        parts.retain(|part| part.share >= MIN_SHARE);
        if parts.len() < count {
            normalize(&mut parts);
        }
        Self {
            parts: parts.into(),
        }
    }

    /// Whether no zone has a share.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the zones with their shares, in the order of their keys.
    pub fn shares(&self) -> impl Iterator<Item = (ZoneKey, f64)> + '_ {
        self.parts.iter().map(|part| (part.zone, part.share))
    }

    /// Returns the share of a zone, 0 if it has none.
    pub fn share(&self, zone: ZoneKey) -> f64 {
        match self.parts.binary_search_by_key(&zone, |part| part.zone) {
            Ok(index) => self.parts[index].share,
            Err(_) => 0.0,
        }
    }

    /// Returns the total variation distance: the minimum share that has to move between the two splits.
    pub fn distance(&self, other: &Self) -> f64 {
        let sum: f64 = pair_shares(self, other)
            .iter()
            .map(|pair| (pair.from - pair.to).abs())
            .sum();
        sum / 2.0
    }

    /// Returns the share of blocks whose zone differs between the two splits.
    ///
    /// It equals the distance `d` of [`Split::distance`] if the ratios among the zones that gain, or among
    /// those that lose, stay the same, as when one zone leaves or returns. Otherwise it is larger, at most
    /// `2 d / (1 + d)`. No hashing without memory of earlier splits is better in general.
    pub fn moved_share(&self, other: &Self) -> f64 {
        if self.is_empty() || other.is_empty() {
            return if self == other { 0.0 } else { 1.0 };
        }
        let pairs = pair_shares(self, other);
        let kept: f64 = pairs.iter().map(|pair| kept_share(pair, &pairs)).sum();
        (1.0 - kept).max(0.0)
    }

    /// Returns the split on the line to `goal` at which the share `max_moved` of all blocks has moved, or
    /// the goal itself if it is closer.
    pub fn step_toward(&self, goal: &Self, max_moved: f64) -> Self {
        if self.moved_share(goal) <= max_moved + ROUNDING_TOLERANCE {
            return goal.clone();
        }
        if self.is_empty() || goal.is_empty() || max_moved <= 0.0 {
            return self.clone();
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            if self.moved_share(&self.interpolate(goal, middle)) <= max_moved {
                low = middle;
            } else {
                high = middle;
            }
        }
        self.interpolate(goal, low)
    }

    /// Interpolates linearly between this split (`position` 0) and `goal` (1).
    fn interpolate(&self, goal: &Self, position: f64) -> Self {
        let parts = pair_shares(self, goal).into_iter().map(|pair| ZoneShare {
            zone: pair.zone,
            seed: pair.seed,
            share: pair.from + position * (pair.to - pair.from),
        });
        Self::with_parts(parts.collect())
    }

    /// Returns the zone of a block among the usable zones. Blocks of unusable zones are distributed in
    /// proportion to the shares of the usable ones.
    pub fn choose(&self, block: u64, usable: impl Fn(ZoneKey) -> bool) -> Option<ZoneKey> {
        let mut chosen = None;
        let mut lowest_score = f64::INFINITY;
        for part in self.parts.iter() {
            if !usable(part.zone) {
                continue;
            }
            let score = exponential_variate(block, part.seed) / part.share;
            if score < lowest_score {
                lowest_score = score;
                chosen = Some(part.zone);
            }
        }
        chosen
    }
}

/// Shares of one zone in two splits.
struct SharePair {
    zone: ZoneKey,
    seed: u64,
    from: f64,
    to: f64,
}

/// Returns the zones of both splits with both shares: those of `from` in the order of their keys, then those only in `to`.
fn pair_shares(from: &Split, to: &Split) -> Vec<SharePair> {
    let mut pairs: Vec<SharePair> = from
        .parts
        .iter()
        .map(|part| SharePair {
            zone: part.zone,
            seed: part.seed,
            from: part.share,
            to: to.share(part.zone),
        })
        .collect();
    let added = to.parts.iter().filter(|part| from.share(part.zone) == 0.0);
    pairs.extend(added.map(|part| SharePair {
        zone: part.zone,
        seed: part.seed,
        from: 0.0,
        to: part.share,
    }));
    pairs
}

/// Returns the share of blocks that are assigned to `winner` by both splits.
fn kept_share(winner: &SharePair, pairs: &[SharePair]) -> f64 {
    if winner.from == 0.0 || winner.to == 0.0 {
        return 0.0;
    }
    let sum: f64 = pairs
        .iter()
        .map(|pair| (pair.from / winner.from).max(pair.to / winner.to))
        .sum();
    1.0 / sum
}

fn normalize(parts: &mut [ZoneShare]) {
    let sum: f64 = parts.iter().map(|part| part.share).sum();
    for part in parts {
        part.share /= sum;
    }
}

/// Returns an exponential variate with mean 1 for a block and a zone.
fn exponential_variate(block: u64, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(&block.to_le_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln()
}
