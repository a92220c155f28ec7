//! Checks that traffic moved no faster than its cap.
//!
//! The calls of one service from one region are counted in buckets by the zone that answered. A
//! refused call was answered by no zone: it is attributed to the zones whose shares decreased in its
//! bucket, until another zone answers it. The share that moved from one bucket to a later one is the
//! sum of the increases of all zones' shares of the offered calls.
//!
//! Between two buckets that lie within the cap's window, no more than the cap's share may move, plus
//! an allowance for random variation: the expected sum of increases if each call's zone were drawn
//! again from the same shares, and [`ALLOWED_DEVIATIONS`] standard deviations. The deviation is that of the sum
//! and of the share of client address blocks that moves, since traffic is steered by blocks and each
//! block moves as a whole.
//!
//! The failover cap applies if a target, host or link had failed between the two buckets or within
//! [`AFTERMATH_WINDOWS`] windows of the failover cap before them, otherwise the planned cap.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{violation, Cap, Deployment, Evidence, Invariant, Span, Violation, SECOND_US};
use crate::caller::{Outcome, Record};

/// Lengths of buckets: short ones detect sudden moves, long ones small moves.
const BUCKET_LENGTHS_US: [u64; 2] = [SECOND_US, 4 * SECOND_US];
/// Fewest calls in a bucket; one with fewer is extended by the next one.
const MIN_CALLS_PER_BUCKET: u64 = 100;
/// Standard deviations that are attributed to random variation.
pub const ALLOWED_DEVIATIONS: f64 = 4.0;
/// How long the failover cap still applies after the end of a failure, in windows of that cap, since the
/// moved traffic returns then.
pub const AFTERMATH_WINDOWS: u64 = 1;

/// The calls of a service from a region within a span.
#[derive(Clone, Debug, Default)]
struct Bucket {
    span: Span,
    offered: u64,
    /// Calls by the zone that answered.
    zones: BTreeMap<Arc<str>, u64>,
    /// Shares of the offered calls by zone, with the refused calls attributed to zones.
    shares: BTreeMap<Arc<str>, f64>,
}

impl Bucket {
    fn describe_shares(&self) -> String {
        let share = |count: u64| 100.0 * count as f64 / self.offered.max(1) as f64;
        let zones = self.zones.iter();
        let shares = zones.map(|(zone, &count)| format!("{zone} {:.0} %", share(count)));
        shares.collect::<Vec<_>>().join(", ")
    }
}

pub(super) fn violations(deployment: &Deployment, evidence: &Evidence) -> Vec<Violation> {
    let mut flows: BTreeMap<(&str, &str), Vec<&Record>> = BTreeMap::new();
    for record in &evidence.records {
        let flow = (&*record.service, &*record.region);
        flows.entry(flow).or_default().push(record);
    }
    let starts = evidence.records.iter().map(|record| record.start_us);
    let start = starts.min().unwrap_or(0);
    let mut found = Vec::new();
    for ((service, region), records) in flows {
        for excess_move in BUCKET_LENGTHS_US
            .iter()
            .flat_map(|length| worst_moves(deployment, evidence, &records, *length))
        {
            let description = format!("{service} from {region}: {}", excess_move.describe(start));
            found.push(violation(Invariant::ShiftCap, description));
        }
    }
    found
}

/// The largest move beyond its cap into each bucket, if there is one.
fn worst_moves(
    deployment: &Deployment,
    evidence: &Evidence,
    records: &[&Record],
    length: u64,
) -> Vec<Move> {
    let mut buckets = split_into_buckets(records.to_vec(), length);
    attribute_refused_calls(&mut buckets);
    let moves = buckets.iter().enumerate().filter_map(|(at, later)| {
        buckets[..at]
            .iter()
            .filter_map(|earlier| move_beyond_cap(deployment, evidence, earlier, later))
            .max_by(|a, b| a.excess().total_cmp(&b.excess()))
    });
    moves.collect()
}

/// A move beyond its cap.
struct Move {
    /// The share of calls that moved.
    moved: f64,
    allowance: f64,
    cap: Cap,
    /// From the start of the earlier bucket to the end of the later one.
    span: Span,
    /// Descriptions of the zones' shares of the offered calls in the earlier and in the later bucket.
    descriptions: [String; 2],
}

impl Move {
    fn excess(&self) -> f64 {
        self.moved - self.allowance - self.cap.share
    }

    /// Describes the move, with times since `start`.
    fn describe(&self, start: u64) -> String {
        let seconds = |at: u64| at.saturating_sub(start) as f64 / SECOND_US as f64;
        format!(
            "{:.0} % moved from {:.1} s to {:.1} s, cap {:.0} % in {} s, allowance {:.0} % ({} to {})",
            self.moved * 100.0,
            seconds(self.span.start),
            seconds(self.span.end),
            self.cap.share * 100.0,
            self.cap.window_us / SECOND_US,
            self.allowance * 100.0,
            self.descriptions[0],
            self.descriptions[1]
        )
    }
}

/// Returns the move from a bucket to a later one if it exceeds its cap.
fn move_beyond_cap(
    deployment: &Deployment,
    evidence: &Evidence,
    earlier: &Bucket,
    later: &Bucket,
) -> Option<Move> {
    let aftermath_us = AFTERMATH_WINDOWS * deployment.failover_cap.window_us;
    let from = earlier.span.start.saturating_sub(aftermath_us);
    let cap = if evidence.has_failure(&(from..later.span.end)) {
        deployment.failover_cap
    } else {
        deployment.planned_cap
    };
    let span = earlier.span.start..later.span.end;
    if span.end - span.start > cap.window_us {
        return None;
    }
    let block_variance = cap.share * (1.0 - cap.share) / f64::from(deployment.client_blocks.max(1));
    let (moved, allowance) = moved_share(earlier, later, block_variance);
    let candidate = Move {
        moved,
        allowance,
        cap,
        span,
        descriptions: [earlier.describe_shares(), later.describe_shares()],
    };
    (candidate.excess() > 0.0).then_some(candidate)
}

/// Returns the share of calls that moved, and the allowance for random variation. `block_variance` is
/// the variance that results from blocks moving as a whole.
fn moved_share(earlier: &Bucket, later: &Bucket, block_variance: f64) -> (f64, f64) {
    let (n, m) = (earlier.offered as f64, later.offered as f64);
    let share = |bucket: &Bucket, zone: &Arc<str>| bucket.shares.get(zone).copied().unwrap_or(0.0);
    let zones = earlier.shares.keys().chain(later.shares.keys());
    let zones: std::collections::BTreeSet<_> = zones.collect();
    let (mut moved, mut variance, mut mean) = (0.0, 0.0, 0.0);
    for zone in zones {
        let (before, after) = (share(earlier, zone), share(later, zone));
        moved += (after - before).max(0.0);
        let pooled = (before * n + after * m) / (n + m);
        let zone_variance = pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m);
        variance += zone_variance;
        mean += (zone_variance * std::f64::consts::FRAC_2_PI).sqrt();
    }
    // The sum of increases is half the sum of absolute changes, and so is its mean. Its deviation is at
    // most half that of the sum of changes.
    let deviation = (variance / 4.0 + block_variance).sqrt();
    (moved, mean / 2.0 + ALLOWED_DEVIATIONS * deviation)
}

/// Sets the shares of each bucket: those of the answered calls, and the refused calls attributed to the zones whose shares
/// decreased, in proportion to the decrease.
fn attribute_refused_calls(buckets: &mut [Bucket]) {
    let mut previous: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    for bucket in buckets {
        let offered = bucket.offered.max(1) as f64;
        let answered_share =
            |zone: &Arc<str>| bucket.zones.get(zone).copied().unwrap_or(0) as f64 / offered;
        let mut shares: BTreeMap<Arc<str>, f64> = bucket
            .zones
            .keys()
            .map(|zone| (zone.clone(), answered_share(zone)))
            .collect();
        let refused = 1.0 - shares.values().sum::<f64>();
        let decrease = |(zone, share): (&Arc<str>, &f64)| {
            let amount = (share - answered_share(zone)).max(0.0);
            (amount > 0.0).then(|| (zone.clone(), amount))
        };
        let decreases: Vec<(Arc<str>, f64)> = previous.iter().filter_map(decrease).collect();
        // Before the first bucket no shares are known: its refused calls are distributed like the answered ones.
        let decreases = match previous.is_empty() {
            true => shares.clone().into_iter().collect(),
            false => decreases,
        };
        let sum: f64 = decreases.iter().map(|(_, amount)| amount).sum();
        if sum > 0.0 {
            for (zone, amount) in decreases {
                *shares.entry(zone).or_default() += refused * amount / sum;
            }
        }
        previous.clone_from(&shares);
        bucket.shares = shares;
    }
}

/// Splits calls into consecutive buckets of `length` microseconds, or longer ones if they have too few calls.
fn split_into_buckets(mut records: Vec<&Record>, length: u64) -> Vec<Bucket> {
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
            if bucket.offered >= MIN_CALLS_PER_BUCKET {
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
    if bucket.offered >= MIN_CALLS_PER_BUCKET {
        buckets.push(bucket);
    }
    buckets
}
