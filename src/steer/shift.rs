//! How fast a split may move: one budget for planned moves, failover and spill-over.
//!
//! Each host keeps its own budget on its own monotonic clock. A move is a share of the host's own
//! traffic, so the sum over hosts, weighted by their traffic, obeys the cap without any agreement.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::catalog::{Cap, Catalog, ServiceKey};

use super::split::Split;

/// Time over which what happens is always kept as one.
const GRAIN: Duration = Duration::from_millis(20);
/// Buckets are merged until they span the age of the younger one divided by this.
const RESOLUTION: u32 = 16;
/// Buckets are merged whenever this many were added.
const BATCH: usize = 64;
/// How long a bucket is kept; no cap has a longer window.
const HORIZON: Duration = Duration::from_secs(86_400);
/// A smaller move is made only if it reaches the goal.
const MIN_MOVE: f64 = 0.0005;
/// Slack for rounding when a budget is compared.
const ROUNDING: f64 = 1e-9;

/// Why a split moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Away from what still works: under the service's own cap.
    Planned,
    /// Away from what is lost: under the failover cap.
    Failover,
}

/// The caps on moves of one service's traffic.
#[derive(Clone, Copy, Debug)]
pub struct Caps {
    /// The cap on planned moves.
    pub planned: Cap,
    /// The cap on all moves while there is failover.
    pub failover: Cap,
}

impl Caps {
    /// The caps of a service.
    pub fn new(catalog: &Catalog, service: ServiceKey) -> Self {
        Self {
            planned: catalog.service(service).shift,
            failover: catalog.limits().failover,
        }
    }

    /// The cap on moves of a kind.
    pub fn cap(&self, kind: Kind) -> Cap {
        match kind {
            Kind::Planned => self.planned,
            Kind::Failover => self.failover,
        }
    }
}

/// Whether a request may be served outside its split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, and is counted.
    Spill,
    /// The budget is spent.
    Refuse,
}

/// What happened within a short time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    first: Instant,
    last: Instant,
    moved: f64,
    charged: f64,
    spilled: u64,
    requests: u64,
}

/// What counts in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    moved: f64,
    charged: f64,
    spilled: u64,
    requests: u64,
}

/// What was moved, by time: the budget of one service and locality.
///
/// It bounds the sum of moves in any window of a cap's length. Moves and spilled requests count
/// until a window after the last one of their bucket; requests only as long as the whole bucket is in
/// the window. So coarse buckets err to the safe side.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    buckets: VecDeque<Bucket>,
    added: usize,
    started: Option<Instant>,
}

impl Ledger {
    /// A ledger without a past: nothing was served before.
    pub fn new() -> Self {
        Self::default()
    }

    /// A ledger whose past before `started` is unknown, as after a restart. It allows nothing until
    /// a window has passed.
    pub fn with_start(started: Instant) -> Self {
        Self {
            started: Some(started),
            ..Self::default()
        }
    }

    /// What may move now under `cap`, as a share of the traffic.
    pub fn room(&self, now: Instant, cap: Cap) -> f64 {
        if self.is_blind(now, cap.window) {
            return 0.0;
        }
        let sum = self.sum(now, cap.window);
        (cap.share - sum.moved - sum.charged).max(0.0)
    }

    /// Counts a move of a share of the traffic.
    pub fn add(&mut self, now: Instant, share: f64) {
        self.bucket(now).moved += share;
    }

    /// Counts a request of the host's own traffic.
    pub fn request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Decides whether a request, counted before by [`Ledger::request`], may be served outside its split.
    ///
    /// Spilled requests, as a share of the requests in the window, and moves together stay within the
    /// cap; and so does their sum with each spilled request weighted by the traffic of its own time.
    pub fn spill(&mut self, now: Instant, cap: Cap) -> Decision {
        if self.is_blind(now, cap.window) {
            return Decision::Refuse;
        }
        let sum = self.sum(now, cap.window);
        if sum.requests == 0 {
            return Decision::Refuse;
        }
        let charge = 1.0 / sum.requests as f64;
        let counted = sum.moved + (sum.spilled + 1) as f64 * charge;
        let charged = sum.moved + sum.charged + charge;
        if counted.max(charged) > cap.share + ROUNDING {
            return Decision::Refuse;
        }
        let bucket = self.bucket(now);
        bucket.spilled += 1;
        bucket.charged += charge;
        Decision::Spill
    }

    /// How many buckets are kept.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether nothing was counted yet.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Whether the window reaches back to a time that is not known.
    fn is_blind(&self, now: Instant, window: Duration) -> bool {
        self.started
            .is_some_and(|started| now.saturating_duration_since(started) <= window)
    }

    /// All that counts in the window.
    fn sum(&self, now: Instant, window: Duration) -> Sum {
        let mut sum = Sum::default();
        for bucket in self.recent(now, window) {
            if now.saturating_duration_since(bucket.first) <= window {
                sum.requests += bucket.requests;
            }
            sum.spilled += bucket.spilled;
            sum.moved += bucket.moved;
            sum.charged += bucket.charged;
        }
        sum
    }

    fn recent(&self, now: Instant, window: Duration) -> impl Iterator<Item = &Bucket> {
        self.buckets
            .iter()
            .rev()
            .take_while(move |bucket| now.saturating_duration_since(bucket.last) <= window)
    }

    /// The bucket for what happens now.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let now = self.buckets.back().map_or(now, |last| last.last.max(now));
        let fits = |last: &Bucket| now.duration_since(last.first) < GRAIN;
        if !self.buckets.back().is_some_and(fits) {
            self.added += 1;
            if self.added >= BATCH {
                self.merge(now);
            }
            self.buckets.push_back(Bucket {
                first: now,
                last: now,
                moved: 0.0,
                charged: 0.0,
                spilled: 0,
                requests: 0,
            });
        }
        let at = self.buckets.len() - 1;
        let bucket = &mut self.buckets[at];
        bucket.last = now;
        bucket
    }

    /// Merges old buckets, and drops those past the horizon.
    fn merge(&mut self, now: Instant) {
        let mut merged: VecDeque<Bucket> = VecDeque::with_capacity(self.buckets.len() + 1);
        for bucket in self.buckets.drain(..) {
            let age = now.saturating_duration_since(bucket.last);
            if age > HORIZON {
                continue;
            }
            match merged.back_mut() {
                Some(before) if bucket.last - before.first <= age / RESOLUTION => {
                    before.last = bucket.last;
                    before.moved += bucket.moved;
                    before.charged += bucket.charged;
                    before.spilled += bucket.spilled;
                    before.requests += bucket.requests;
                }
                _ => merged.push_back(bucket),
            }
        }
        self.buckets = merged;
        self.added = 0;
    }
}

/// A host's own split of one service and locality, and its way to the goal.
#[derive(Clone, Debug)]
pub struct Shift {
    current: Split,
    ledger: Ledger,
}

impl Shift {
    /// Starts where nothing was served before, or nobody can be asked: at `home`, the host's own zone.
    pub fn new(home: Split) -> Self {
        Self {
            current: home,
            ledger: Ledger::new(),
        }
    }

    /// Starts with the split that peers or the plan have now. What moved before is not known, so the
    /// first move waits for a window.
    ///
    /// Where peers know the split that the host's predecessor served by, that is the one to take: a
    /// difference from it is a move that no budget sees.
    pub fn with_current(current: Split, now: Instant) -> Self {
        Self {
            current,
            ledger: Ledger::with_start(now),
        }
    }

    /// The split to serve by.
    pub fn current(&self) -> &Split {
        &self.current
    }

    /// The budget, on which spill-over draws too.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Moves towards `goal` as far as the budget goes, and tells the share of blocks that moved.
    ///
    /// An empty goal moves nothing. An empty split becomes the goal at once, as it carried no traffic.
    pub fn advance(&mut self, now: Instant, goal: &Split, kind: Kind, caps: &Caps) -> f64 {
        if goal.is_empty() {
            return 0.0;
        }
        if self.current.is_empty() {
            self.current = goal.clone();
            return 0.0;
        }
        let left = self.current.moved(goal);
        let step = left.min(self.ledger.room(now, caps.cap(kind)));
        if left == 0.0 || step < MIN_MOVE.min(left) {
            return 0.0;
        }
        let next = self.current.toward(goal, step);
        let moved = self.current.moved(&next);
        self.ledger.add(now, moved);
        self.current = next;
        moved
    }
}
