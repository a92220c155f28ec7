//! Detection that this host has lost its own links to the targets.
//!
//! Targets seldom fail together, while a host that has lost its links reaches none. So if several
//! targets fail in a row without an answer from any, the host counts as cut off. This ends when
//! targets answer probes on new connections: new connections may fail while old ones live on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum number of different targets that have to fail in a row.
const MAX_FAILED_TARGETS: usize = 4;
/// Minimum number of such targets: failures of one or two are usually their own.
const MIN_FAILED_TARGETS: usize = 3;
/// Time after which a failure no longer counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);
/// Number of different targets that have to answer a probe before a host that was cut off uses its
/// links again.
const MIN_REACHED_TARGETS: usize = 2;

/// Whether this host reaches its targets, which have keys of type `K`.
#[derive(Clone, Debug)]
pub struct Reach<K> {
    /// Targets that failed since the last answer of any target, and when.
    failed: BTreeMap<K, Instant>,
    /// Targets that answered a probe since the host was cut off.
    reached: BTreeSet<K>,
    is_cut_off: bool,
}

impl<K: Ord + Copy> Default for Reach<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Ord + Copy> Reach<K> {
    /// Returns the state of a host that reaches targets.
    pub fn new() -> Self {
        Self {
            failed: BTreeMap::new(),
            reached: BTreeSet::new(),
            is_cut_off: false,
        }
    }

    /// Whether the host has lost its links.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that a target, one of `total`, gave no answer.
    pub fn record_failure(&mut self, now: Instant, target: K, total: usize) {
        if self.is_cut_off {
            return;
        }
        self.failed
            .retain(|_, failed_at| now.saturating_duration_since(*failed_at) < FAILURE_LIFETIME);
        self.failed.insert(target, now);
        let needed = total.clamp(MIN_FAILED_TARGETS, MAX_FAILED_TARGETS);
        self.is_cut_off = self.failed.len() >= needed;
    }

    /// Records that a target answered a request.
    pub fn record_answer(&mut self) {
        self.failed.clear();
    }

    /// Records that a target, one of `total`, answered a probe on a new connection. Returns whether
    /// the host is no longer cut off.
    pub fn record_probe_answer(&mut self, target: K, total: usize) -> bool {
        if !self.is_cut_off {
            self.record_answer();
            return false;
        }
        self.reached.insert(target);
        let is_back = self.reached.len() >= MIN_REACHED_TARGETS.min(total);
        if is_back {
            *self = Self::new();
        }
        is_back
    }
}
