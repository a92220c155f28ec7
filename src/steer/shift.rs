//! Rate limits on changes of a split: one budget for planned moves, failover and spill-over.
//!
//! Each host keeps its own budget on its own monotonic clock. A move is a share of the host's own
//! traffic, so the sum over all hosts, weighted by their traffic, stays within the cap without any
//! coordination.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::catalog::{Cap, Catalog, ServiceKey};

use super::split::Split;

/// Time during which events are counted in one bucket.
const BUCKET_SPAN: Duration = Duration::from_millis(20);
/// Adjacent buckets are merged while their span is at most their age divided by this.
const MERGE_AGE_DIVISOR: u32 = 16;
/// Number of added buckets after which old ones are merged.
const BUCKETS_PER_MERGE: usize = 64;
/// Maximum age of a bucket; no cap has a longer window.
const MAX_BUCKET_AGE: Duration = Duration::from_secs(86_400);
/// Minimum size of a move that doesn't reach the goal.
const MIN_PARTIAL_MOVE: f64 = 0.0005;
/// Tolerance for rounding errors when a cap is checked.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Kind of a move, which selects its cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveKind {
    /// Away from a zone that still works, under the service's own cap.
    Planned,
    /// Away from a lost zone, under the failover cap.
    Failover,
}

/// Caps on moves of one service's traffic.
#[derive(Clone, Copy, Debug)]
pub struct Caps {
    /// Cap on planned moves.
    pub planned: Cap,
    /// Cap on all moves during failover.
    pub failover: Cap,
}

impl Caps {
    /// Returns the caps of a service.
    pub fn new(catalog: &Catalog, service: ServiceKey) -> Self {
        Self {
            planned: catalog.service(service).planned_cap,
            failover: catalog.limits().failover_cap,
        }
    }

    /// Returns the cap for a kind of move.
    pub fn cap(&self, kind: MoveKind) -> Cap {
        match kind {
            MoveKind::Planned => self.planned,
            MoveKind::Failover => self.failover,
        }
    }
}

/// Decision whether a request may be served outside its split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillDecision {
    /// It may; the budget is charged.
    Spill,
    /// It may not, since the budget is exhausted.
    Refuse,
}

/// Counts of a short period.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    first_at: Instant,
    last_at: Instant,
    moved: f64,
    charged: f64,
    spilled: u64,
    requests: u64,
}

/// Totals of a window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowTotals {
    moved: f64,
    charged: f64,
    spilled: u64,
    requests: u64,
}

/// Move budget of one service and locality: a history of moves that enforces the caps.
///
/// It bounds the sum of moves in any window of a cap's length. Moves and spilled requests count
/// until a window after the last event of their bucket; requests count only while the whole bucket is
/// in the window. Coarse buckets therefore err on the safe side.
#[derive(Clone, Debug, Default)]
pub struct MoveBudget {
    buckets: VecDeque<Bucket>,
    buckets_since_merge: usize,
    history_start: Option<Instant>,
}

impl MoveBudget {
    /// Creates a budget without history, for traffic that was not served before.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a budget whose history before `history_start` is unknown, as after a restart. It allows no move
    /// until a window has passed.
    pub fn with_start(history_start: Instant) -> Self {
        Self {
            history_start: Some(history_start),
            ..Self::default()
        }
    }

    /// Returns the share of the traffic that may move now under `cap`.
    pub fn available(&self, now: Instant, cap: Cap) -> f64 {
        if self.has_unknown_past(now, cap.window) {
            return 0.0;
        }
        let totals = self.window_totals(now, cap.window);
        (cap.share - totals.moved - totals.charged).max(0.0)
    }

    /// Counts a move of a share of the traffic.
    pub fn record_move(&mut self, now: Instant, share: f64) {
        self.current_bucket(now).moved += share;
    }

    /// Counts a request of the host's own traffic.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Decides whether a request, counted before by [`MoveBudget::record_request`], may be served outside its split.
    ///
    /// The sum of moves and spilled requests stays within the cap, both with spilled requests as a share of
    /// the requests in the window and with each weighted by the traffic at the time of its own spill.
    pub fn try_spill(&mut self, now: Instant, cap: Cap) -> SpillDecision {
        if self.has_unknown_past(now, cap.window) {
            return SpillDecision::Refuse;
        }
        let totals = self.window_totals(now, cap.window);
        if totals.requests == 0 {
            return SpillDecision::Refuse;
        }
        let request_share = 1.0 / totals.requests as f64;
        let with_current_weights = totals.moved + (totals.spilled + 1) as f64 * request_share;
        let with_original_weights = totals.moved + totals.charged + request_share;
        if with_current_weights.max(with_original_weights) > cap.share + ROUNDING_TOLERANCE {
            return SpillDecision::Refuse;
        }
        let bucket = self.current_bucket(now);
        bucket.spilled += 1;
        bucket.charged += request_share;
        SpillDecision::Spill
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no event was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Whether the window includes a time before the known history.
    fn has_unknown_past(&self, now: Instant, window: Duration) -> bool {
        self.history_start
            .is_some_and(|history_start| now.saturating_duration_since(history_start) <= window)
    }

    /// Returns the totals of the window.
    fn window_totals(&self, now: Instant, window: Duration) -> WindowTotals {
        let mut totals = WindowTotals::default();
        for bucket in self.buckets_in_window(now, window) {
            if now.saturating_duration_since(bucket.first_at) <= window {
                totals.requests += bucket.requests;
            }
            totals.spilled += bucket.spilled;
            totals.moved += bucket.moved;
            totals.charged += bucket.charged;
        }
        totals
    }

    fn buckets_in_window(&self, now: Instant, window: Duration) -> impl Iterator<Item = &Bucket> {
        self.buckets
            .iter()
            .rev()
            .take_while(move |bucket| now.saturating_duration_since(bucket.last_at) <= window)
    }

    /// Returns the bucket for events at `now`.
    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let now = self
            .buckets
            .back()
            .map_or(now, |last| last.last_at.max(now));
        let fits = |last: &Bucket| now.duration_since(last.first_at) < BUCKET_SPAN;
        if !self.buckets.back().is_some_and(fits) {
            self.buckets_since_merge += 1;
            if self.buckets_since_merge >= BUCKETS_PER_MERGE {
                self.merge_old_buckets(now);
            }
            self.buckets.push_back(Bucket {
                first_at: now,
                last_at: now,
                moved: 0.0,
                charged: 0.0,
                spilled: 0,
                requests: 0,
            });
        }
        let last_index = self.buckets.len() - 1;
        let bucket = &mut self.buckets[last_index];
        bucket.last_at = now;
        bucket
    }

    /// Merges old buckets, and drops those older than [`MAX_BUCKET_AGE`].
    fn merge_old_buckets(&mut self, now: Instant) {
        let mut merged: VecDeque<Bucket> = VecDeque::with_capacity(self.buckets.len() + 1);
        for bucket in self.buckets.drain(..) {
            let age = now.saturating_duration_since(bucket.last_at);
            if age > MAX_BUCKET_AGE {
                continue;
            }
            match merged.back_mut() {
                Some(previous) if bucket.last_at - previous.first_at <= age / MERGE_AGE_DIVISOR => {
                    previous.last_at = bucket.last_at;
                    previous.moved += bucket.moved;
                    previous.charged += bucket.charged;
                    previous.spilled += bucket.spilled;
                    previous.requests += bucket.requests;
                }
                _ => merged.push_back(bucket),
            }
        }
        self.buckets = merged;
        self.buckets_since_merge = 0;
    }
}

/// Moves a host's own split of one service and locality towards its goal within the move budget.
#[derive(Clone, Debug)]
pub struct SplitController {
    current: Split,
    budget: MoveBudget,
}

impl SplitController {
    /// Starts with the split `home`, for traffic that was not served before or whose split no peer can
    /// provide.
    pub fn new(home: Split) -> Self {
        Self {
            current: home,
            budget: MoveBudget::new(),
        }
    }

    /// Starts with the current split of peers or of the plan. Earlier moves are not known, so the first
    /// move waits for a window.
    ///
    /// If peers know the split that the host's predecessor used, `current` must be that split: a
    /// difference from it is a move that no budget counts.
    pub fn with_current(current: Split, now: Instant) -> Self {
        Self {
            current,
            budget: MoveBudget::with_start(now),
        }
    }

    /// Returns the split in use.
    pub fn current(&self) -> &Split {
        &self.current
    }

    /// Returns the move budget, which is also charged for spill-over.
    pub fn budget_mut(&mut self) -> &mut MoveBudget {
        &mut self.budget
    }

    /// Moves towards `goal` as far as the budget allows, and returns the share of blocks that moved.
    ///
    /// An empty goal moves nothing. An empty split is replaced by the goal at once, as it carried no traffic.
    pub fn advance(&mut self, now: Instant, goal: &Split, kind: MoveKind, caps: &Caps) -> f64 {
        if goal.is_empty() {
            return 0.0;
        }
        if self.current.is_empty() {
            self.current = goal.clone();
            return 0.0;
        }
        let remaining = self.current.moved_share(goal);
        let step = remaining.min(self.budget.available(now, caps.cap(kind)));
        if remaining == 0.0 || step < MIN_PARTIAL_MOVE.min(remaining) {
            return 0.0;
        }
        let next = self.current.step_toward(goal, step);
        let moved = self.current.moved_share(&next);
        self.budget.record_move(now, moved);
        self.current = next;
        moved
    }
}
