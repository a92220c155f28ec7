//! Whether traffic moved faster than its cap.
//!
//! The calls of one service from one region are counted in buckets by the zone that answered. A call
//! that was refused went nowhere: it counts for the zones whose shares fell by it, where it belongs
//! until another zone answers it. What moved from one bucket to a later one is the sum over zones of
//! the rise of their shares of the calls offered. Any two buckets
//! that lie wholly within the cap's window may differ by the cap's share and no more, beyond an
//! allowance for chance: the mean of the sum of rises, were each call's zone drawn anew from the same
//! shares, and [`DEVIATIONS`] standard deviations of it and of the share of blocks that moves: traffic
//! is steered by blocks of client addresses, and each block moves whole. The failover cap applies to two buckets between which, or within
//! [`AFTERMATH`] windows of failover before them, a place had failed; else the planned cap does.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{violation, Cap, Evidence, Promise, Span, Violation, World, SECOND};
use crate::caller::{Outcome, Record};

/// Lengths of buckets: short ones show sudden moves, long ones small moves.
const LENGTHS_US: [u64; 2] = [SECOND, 4 * SECOND];
/// Fewest calls in a bucket that is judged; fewer are joined with the next one's.
const MIN_CALLS: u64 = 100;
/// Standard deviations that are put down to chance.
pub const DEVIATIONS: f64 = 4.0;
/// How long a failure's end still counts as failure, in windows of the failover cap: traffic that
/// was moved returns after it.
pub const AFTERMATH: u64 = 1;

/// The calls of a time span.
#[derive(Clone, Debug, Default)]
struct Bucket {
    span: Span,
    offered: u64,
    zones: BTreeMap<Arc<str>, u64>,
    /// Shares of the calls offered by the zone they belong to, those refused among them.
    placed: BTreeMap<Arc<str>, f64>,
}

impl Bucket {
    fn text(&self) -> String {
        let share = |count: u64| 100.0 * count as f64 / self.offered.max(1) as f64;
        let zones = self.zones.iter();
        let shares = zones.map(|(zone, &count)| format!("{zone} {:.0} %", share(count)));
        shares.collect::<Vec<_>>().join(", ")
    }
}

pub(super) fn violations(world: &World, evidence: &Evidence) -> Vec<Violation> {
    let mut flows: BTreeMap<(&str, &str), Vec<&Record>> = BTreeMap::new();
    for record in &evidence.records {
        let flow = (&*record.service, &*record.region);
        flows.entry(flow).or_default().push(record);
    }
    let starts = evidence.records.iter().map(|record| record.start_us);
    let start = starts.min().unwrap_or(0);
    let mut found = Vec::new();
    for ((service, region), records) in flows {
        for worst in LENGTHS_US
            .iter()
            .flat_map(|l| worst(world, evidence, &records, *l))
        {
            let what = format!("{service} from {region}: {}", worst.text(start));
            found.push(violation(Promise::ShiftCap, what));
        }
    }
    found
}

/// For each bucket into which too much moved, the worst move.
fn worst(world: &World, evidence: &Evidence, records: &[&Record], length: u64) -> Vec<Move> {
    let mut buckets = buckets(records.to_vec(), length);
    place(&mut buckets);
    let each = buckets.iter().enumerate().filter_map(|(at, later)| {
        buckets[..at]
            .iter()
            .filter_map(|earlier| excess(world, evidence, earlier, later))
            .max_by(|a, b| a.excess().total_cmp(&b.excess()))
    });
    each.collect()
}

/// A move beyond its cap.
struct Move {
    moved: f64,
    allowance: f64,
    cap: Cap,
    /// From the beginning of the earlier bucket to the end of the later one.
    span: Span,
    /// Shares of the calls offered, by the zone that answered, in the earlier bucket and in the later.
    shares: [String; 2],
}

impl Move {
    fn excess(&self) -> f64 {
        self.moved - self.allowance - self.cap.share
    }

    /// The move in words, with times since `start`.
    fn text(&self, start: u64) -> String {
        let seconds = |at: u64| at.saturating_sub(start) as f64 / SECOND as f64;
        format!(
            "{:.0} % moved from {:.1} s to {:.1} s, cap {:.0} % in {} s, allowance {:.0} % ({} to {})",
            self.moved * 100.0,
            seconds(self.span.start),
            seconds(self.span.end),
            self.cap.share * 100.0,
            self.cap.window_us / SECOND,
            self.allowance * 100.0,
            self.shares[0],
            self.shares[1]
        )
    }
}

fn excess(world: &World, evidence: &Evidence, earlier: &Bucket, later: &Bucket) -> Option<Move> {
    let aftermath = AFTERMATH * world.failover.window_us;
    let from = earlier.span.start.saturating_sub(aftermath);
    let cap = if evidence.has_failure(&(from..later.span.end)) {
        world.failover
    } else {
        world.planned
    };
    let span = earlier.span.start..later.span.end;
    if span.end - span.start > cap.window_us {
        return None;
    }
    let blocks = cap.share * (1.0 - cap.share) / f64::from(world.blocks.max(1));
    let (moved, allowance) = moved(earlier, later, blocks);
    let found = Move {
        moved,
        allowance,
        cap,
        span,
        shares: [earlier.text(), later.text()],
    };
    (found.excess() > 0.0).then_some(found)
}

/// The share of calls that moved, and how much of it chance explains; `blocks` is the variance that
/// comes of whole blocks.
fn moved(earlier: &Bucket, later: &Bucket, blocks: f64) -> (f64, f64) {
    let (n, m) = (earlier.offered as f64, later.offered as f64);
    let share = |bucket: &Bucket, zone: &Arc<str>| bucket.placed.get(zone).copied().unwrap_or(0.0);
    let zones = earlier.placed.keys().chain(later.placed.keys());
    let zones: std::collections::BTreeSet<_> = zones.collect();
    let (mut moved, mut variance, mut mean) = (0.0, 0.0, 0.0);
    for zone in zones {
        let (before, after) = (share(earlier, zone), share(later, zone));
        moved += (after - before).max(0.0);
        let pooled = (before * n + after * m) / (n + m);
        let change = pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m);
        variance += change;
        mean += (change * std::f64::consts::FRAC_2_PI).sqrt();
    }
    // The sum of rises is half the sum of changes, and so is its mean; its deviation is at most that.
    let deviation = (variance / 4.0 + blocks).sqrt();
    (moved, mean / 2.0 + DEVIATIONS * deviation)
}

/// Works out where the calls of each bucket belong, with those refused.
fn place(buckets: &mut [Bucket]) {
    let mut before: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    for bucket in buckets {
        let offered = bucket.offered.max(1) as f64;
        let answered =
            |zone: &Arc<str>| bucket.zones.get(zone).copied().unwrap_or(0) as f64 / offered;
        let mut placed: BTreeMap<Arc<str>, f64> = bucket
            .zones
            .keys()
            .map(|zone| (zone.clone(), answered(zone)))
            .collect();
        let refused = 1.0 - placed.values().sum::<f64>();
        let fallen = |(zone, share): (&Arc<str>, &f64)| {
            let by = (share - answered(zone)).max(0.0);
            (by > 0.0).then(|| (zone.clone(), by))
        };
        let fallen: Vec<(Arc<str>, f64)> = before.iter().filter_map(fallen).collect();
        // Of the first bucket nothing earlier is known: its refused calls belong where the others went.
        let fallen = match before.is_empty() {
            true => placed.clone().into_iter().collect(),
            false => fallen,
        };
        let sum: f64 = fallen.iter().map(|(_, by)| by).sum();
        if sum > 0.0 {
            for (zone, by) in fallen {
                *placed.entry(zone).or_default() += refused * by / sum;
            }
        }
        before.clone_from(&placed);
        bucket.placed = placed;
    }
}

fn buckets(mut records: Vec<&Record>, length: u64) -> Vec<Bucket> {
    records.sort_by_key(|record| record.start_us);
    let Some(first) = records.first().map(|record| record.start_us) else {
        return Vec::new();
    };
    let mut buckets = Vec::new();
    let mut bucket = Bucket {
        span: first..first + length,
        ..Bucket::default()
    };
    for record in records {
        while record.start_us >= bucket.span.end {
            let end = bucket.span.end;
            if bucket.offered >= MIN_CALLS {
                buckets.push(std::mem::take(&mut bucket));
                bucket.span = end..end + length;
            } else {
                bucket.span.end = end + length;
            }
        }
        bucket.offered += 1;
        if let (Outcome::Answered, Some(zone)) = (record.outcome, &record.zone) {
            *bucket.zones.entry(Arc::clone(zone)).or_default() += 1;
        }
    }
    if bucket.offered >= MIN_CALLS {
        buckets.push(bucket);
    }
    buckets
}
