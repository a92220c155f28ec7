//! Detection that this host has lost its own links to the targets.
//!
//! Targets seldom fail together, while a host that has lost its links reaches none. So if several
//! targets fail in a row without an answer from any, the host counts as cut off. This ends when
//! targets answer probes on new connections: new connections may fail while old ones live on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{End, Fleet};
use crate::inventory::{State, TargetKey};

/// Maximum number of different targets that have to fail in a row.
const MAX_FAILED_TARGETS: usize = 4;
/// Minimum number of such targets: failures of one or two are usually their own.
const MIN_FAILED_TARGETS: usize = 3;
/// Time after which a failure no longer counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);
/// Number of different targets that have to answer a probe before a host that was cut off uses its
/// links again.
const MIN_REACHED_TARGETS: usize = 2;

/// Whether this host reaches its targets.
#[derive(Debug, Default)]
pub(super) struct Reach {
    /// Targets that failed since the last answer of any target, and when.
    failed: BTreeMap<TargetKey, Instant>,
    /// Targets that answered a probe since the host was cut off.
    reached: BTreeSet<TargetKey>,
    /// Targets that were ejected since the last answer of any target.
    ejected: BTreeSet<TargetKey>,
    is_cut_off: bool,
}

impl Reach {
    /// Records that a target, one of `total`, gave no answer.
    fn record_failure(&mut self, now: Instant, target: TargetKey, total: usize) {
        if self.is_cut_off {
            return;
        }
        self.failed
            .retain(|_, failed_at| now.saturating_duration_since(*failed_at) < FAILURE_LIFETIME);
        self.failed.insert(target, now);
        let needed = total.clamp(MIN_FAILED_TARGETS, MAX_FAILED_TARGETS);
        self.is_cut_off = self.failed.len() >= needed;
    }

    fn record_answer(&mut self) {
        self.failed.clear();
        self.ejected.clear();
    }

    /// Records that a target, one of `total`, answered a probe on a new connection. Returns whether
    /// the host is no longer cut off.
    fn record_probe_answer(&mut self, target: TargetKey, total: usize) -> bool {
        self.reached.insert(target);
        self.is_cut_off && self.reached.len() >= MIN_REACHED_TARGETS.min(total)
    }
}

impl Fleet {
    /// Whether this host reaches targets, as far as it knows. If not, it has lost its own links
    /// rather than all targets at once.
    pub fn reaches_targets(&self) -> bool {
        !self.reach.is_cut_off
    }

    /// Returns the targets that may be probed to find out whether this host reaches any.
    pub fn probe_candidates(&self) -> impl Iterator<Item = TargetKey> + '_ {
        let ready = self.members.iter().filter(|(_, member)| {
            member.registration.state == State::Ready
                && !self.evacuated_zones.contains(&member.registration.zone)
        });
        ready.map(|(key, _)| *key)
    }

    /// Records that a target answered a probe on a new connection.
    pub fn record_probe_answer(&mut self, now: Instant, target: TargetKey) {
        if self.reach.record_probe_answer(target, self.members.len()) {
            let reach = std::mem::take(&mut self.reach);
            self.forget_failures(now, &reach.ejected);
        }
    }

    /// Drops what the loss of this host's links made targets look like.
    fn forget_failures(&mut self, now: Instant, ejected: &BTreeSet<TargetKey>) {
        for (key, member) in &mut self.members {
            member.connect_failed_at = None;
            member.silent_since = member.silent_since.map(|_| now);
            if ejected.contains(key) {
                member.outlier_detector.restore(now);
            }
        }
    }

    /// Records that a target is ejected.
    pub(super) fn record_ejection(&mut self, key: TargetKey) {
        self.reach.ejected.insert(key);
    }

    /// Records what the end of a request shows about this host's links.
    pub(super) fn record_reach(&mut self, now: Instant, target: TargetKey, end: End) {
        match end {
            End::Unreached | End::Silent | End::Broken | End::Closed => {
                self.reach.record_failure(now, target, self.members.len());
            }
            End::Answered | End::Failed | End::Refused | End::Misdirected | End::Stray => {
                self.reach.record_answer();
            }
            // Targets may be slow on sound links.
            End::TimedOut | End::Cancelled => {}
        }
    }
}
