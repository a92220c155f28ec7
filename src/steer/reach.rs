//! Detection that this host has lost its own links to the targets.
//!
//! Targets seldom fail together, while a host that has lost its links reaches none. So if several
//! targets fail in a row without an answer from any, the host suspects its own links and probes
//! other targets on new connections. Only if these don't answer either it counts as cut off, until
//! targets answer probes again. Answers on connections that were open before don't end that: new
//! connections may fail while old ones live on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Number of different targets that have to fail in a row for a suspicion, and of probes that have
/// to fail to confirm it, if there are as many targets.
pub const MAX_FAILED_TARGETS: usize = 4;
/// Minimum number of such targets: failures of one or two are usually their own.
const MIN_FAILED_TARGETS: usize = 3;
/// Time after which a failure no longer counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);
/// Number of different targets that have to answer a probe before a host that was cut off uses its
/// links again.
const MIN_REACHED_TARGETS: usize = 2;

/// What a host knows of its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// They work.
    Sound,
    /// They may be lost.
    Suspected,
    /// They are lost.
    CutOff,
}

/// Whether this host reaches its targets, which have keys of type `K`.
#[derive(Clone, Debug)]
pub struct Reach<K> {
    phase: Phase,
    /// Targets that failed since the last answer of any target, and when.
    failed: BTreeMap<K, Instant>,
    /// Targets whose probes failed since the suspicion.
    unreached: BTreeSet<K>,
    /// Targets that answered a probe since the host was cut off.
    reached: BTreeSet<K>,
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
            phase: Phase::Sound,
            failed: BTreeMap::new(),
            unreached: BTreeSet::new(),
            reached: BTreeSet::new(),
        }
    }

    /// Whether the host has lost its links.
    pub fn is_cut_off(&self) -> bool {
        self.phase == Phase::CutOff
    }

    /// Whether the host may have lost its links.
    pub fn is_suspected(&self) -> bool {
        self.phase == Phase::Suspected
    }

    /// Whether a target failed since the last answer of any target.
    pub fn has_failed(&self, target: K) -> bool {
        self.failed.contains_key(&target)
    }

    /// Records that a target, one of `total`, gave no answer to a request.
    pub fn record_failure(&mut self, now: Instant, target: K, total: usize) {
        if self.phase != Phase::Sound {
            return;
        }
        self.failed
            .retain(|_, failed_at| now.saturating_duration_since(*failed_at) < FAILURE_LIFETIME);
        self.failed.insert(target, now);
        if self.failed.len() >= needed_failures(total) {
            self.phase = Phase::Suspected;
        }
    }

    /// Records that a target answered a request.
    pub fn record_answer(&mut self) {
        if self.phase != Phase::CutOff {
            *self = Self::new();
        }
    }

    /// Records that a target, one of `total`, gave no answer to a probe on a new connection.
    pub fn record_probe_failure(&mut self, target: K, total: usize) {
        self.reached.clear();
        if self.phase != Phase::Suspected {
            return;
        }
        self.unreached.insert(target);
        if self.unreached.len() >= needed_failures(total) {
            self.phase = Phase::CutOff;
        }
    }

    /// Records that a target, one of `total`, answered a probe on a new connection. Returns whether
    /// the host was cut off until now.
    pub fn record_probe_answer(&mut self, target: K, total: usize) -> bool {
        if self.phase != Phase::CutOff {
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

/// Returns how many different targets out of `total` have to fail.
fn needed_failures(total: usize) -> usize {
    total.clamp(MIN_FAILED_TARGETS, MAX_FAILED_TARGETS)
}
