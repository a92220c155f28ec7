//! Shares of sites, and the choice of a site for a client block.
//!
//! A block is steered by weighted rendezvous hashing: each zone draws an exponential variate from the
//! block and the zone's name, divides it by its share, and the least wins. The draw depends on
//! names only, so that all hosts choose alike from equal splits.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{Catalog, ZoneKey};

/// Shares below this are dropped when a split is made.
const MIN_SHARE: f64 = 1e-9;
/// Halvings in the search for a step of a given size.
const HALVINGS: u32 = 48;
/// Slack for rounding when two distances are compared.
const ROUNDING: f64 = 1e-12;

/// One zone's part of a split.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Part {
    zone: ZoneKey,
    seed: u64,
    share: f64,
}

/// Shares of zones, which sum to 1; or empty, when nothing is known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    parts: Arc<[Part]>,
}

impl Split {
    /// A split in proportion to `weights`; those that are not positive are left out, those of one
    /// zone are added up.
    pub fn new(catalog: &Catalog, weights: impl IntoIterator<Item = (ZoneKey, f64)>) -> Self {
        let parts = weights.into_iter().map(|(zone, share)| Part {
            zone,
            seed: xxh3_64(catalog.zone(zone).name.as_bytes()),
            share,
        });
        Self::with_parts(parts.collect())
    }

    fn with_parts(mut parts: Vec<Part>) -> Self {
        parts.retain(|part| part.share.is_finite() && part.share > 0.0);
        parts.sort_by_key(|part| part.zone);
        parts.dedup_by(|next, kept| {
            let same = next.zone == kept.zone;
            if same {
                kept.share += next.share;
            }
            same
        });
        scale(&mut parts);
        let before = parts.len();
        parts.retain(|part| part.share >= MIN_SHARE);
        if parts.len() < before {
            scale(&mut parts);
        }
        Self {
            parts: parts.into(),
        }
    }

    /// Whether no zone has a share.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The zones with a share, in the order of their keys.
    pub fn shares(&self) -> impl Iterator<Item = (ZoneKey, f64)> + '_ {
        self.parts.iter().map(|part| (part.zone, part.share))
    }

    /// The share of a zone, 0 if it has none.
    pub fn share(&self, zone: ZoneKey) -> f64 {
        match self.parts.binary_search_by_key(&zone, |part| part.zone) {
            Ok(at) => self.parts[at].share,
            Err(_) => 0.0,
        }
    }

    /// The total variation distance: the least share that has to move to come from one to the other.
    pub fn distance(&self, other: &Self) -> f64 {
        let sum: f64 = union(self, other)
            .iter()
            .map(|pair| (pair.from - pair.to).abs())
            .sum();
        sum / 2.0
    }

    /// The share of blocks whose choice differs between the two splits.
    ///
    /// It is [`Split::distance`] as long as the ratios among the zones that only gain, or among
    /// those that only lose, stay as they are (a zone leaves, or comes back); else it is larger, at
    /// most `2 d / (1 + d)`. No hashing without memory of earlier splits does better in general.
    pub fn moved(&self, other: &Self) -> f64 {
        if self.is_empty() || other.is_empty() {
            return if self == other { 0.0 } else { 1.0 };
        }
        let pairs = union(self, other);
        let kept: f64 = pairs.iter().map(|pair| kept(pair, &pairs)).sum();
        (1.0 - kept).max(0.0)
    }

    /// The split on the straight way to `goal` at which the share `by` of all blocks has moved; the
    /// goal itself if it is no farther.
    pub fn toward(&self, goal: &Self, by: f64) -> Self {
        if self.moved(goal) <= by + ROUNDING {
            return goal.clone();
        }
        if self.is_empty() || goal.is_empty() || by <= 0.0 {
            return self.clone();
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            if self.moved(&self.blend(goal, middle)) <= by {
                low = middle;
            } else {
                high = middle;
            }
        }
        self.blend(goal, low)
    }

    /// The split at the part `at` (0 to 1) of the straight way to `goal`.
    fn blend(&self, goal: &Self, at: f64) -> Self {
        let parts = union(self, goal).into_iter().map(|pair| Part {
            zone: pair.zone,
            seed: pair.seed,
            share: pair.from + at * (pair.to - pair.from),
        });
        Self::with_parts(parts.collect())
    }

    /// The zone of a block among those that are usable; the others' blocks are spread in proportion
    /// to the shares of the usable ones.
    pub fn choose(&self, block: u64, usable: impl Fn(ZoneKey) -> bool) -> Option<ZoneKey> {
        let mut chosen = None;
        let mut least = f64::INFINITY;
        for part in self.parts.iter() {
            if !usable(part.zone) {
                continue;
            }
            let score = exponential(block, part.seed) / part.share;
            if score < least {
                least = score;
                chosen = Some(part.zone);
            }
        }
        chosen
    }
}

/// A zone's shares in two splits.
struct Pair {
    zone: ZoneKey,
    seed: u64,
    from: f64,
    to: f64,
}

/// The zones of both splits with both shares, in the order of their keys.
fn union(from: &Split, to: &Split) -> Vec<Pair> {
    let mut pairs: Vec<Pair> = from
        .parts
        .iter()
        .map(|part| Pair {
            zone: part.zone,
            seed: part.seed,
            from: part.share,
            to: to.share(part.zone),
        })
        .collect();
    let new = to.parts.iter().filter(|part| from.share(part.zone) == 0.0);
    pairs.extend(new.map(|part| Pair {
        zone: part.zone,
        seed: part.seed,
        from: 0.0,
        to: part.share,
    }));
    pairs
}

/// The share of blocks that choose `winner` under both splits.
fn kept(winner: &Pair, pairs: &[Pair]) -> f64 {
    if winner.from == 0.0 || winner.to == 0.0 {
        return 0.0;
    }
    let sum: f64 = pairs
        .iter()
        .map(|pair| (pair.from / winner.from).max(pair.to / winner.to))
        .sum();
    1.0 / sum
}

fn scale(parts: &mut [Part]) {
    let sum: f64 = parts.iter().map(|part| part.share).sum();
    for part in parts {
        part.share /= sum;
    }
}

/// An exponential variate of mean 1 for a block and a zone.
fn exponential(block: u64, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(&block.to_le_bytes(), seed);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln()
}
