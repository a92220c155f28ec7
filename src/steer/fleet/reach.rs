//! Whether this host reaches any target: what requests and probes show, and how targets that were
//! taken for failed meanwhile come back.

use std::time::Instant;

use super::{End, Fleet};
use crate::inventory::TargetKey;
use crate::steer::reach::MAX_FAILED_TARGETS;

impl Fleet {
    /// Whether this host reaches targets, as far as it knows. If not, it has lost its own links
    /// rather than all targets at once.
    pub fn reaches_targets(&self) -> bool {
        !self.reach.is_cut_off()
    }

    /// Whether this host may have lost its links, so that targets have to be probed.
    pub fn suspects_links(&self) -> bool {
        self.reach.is_suspected()
    }

    /// Returns the targets to probe to find out whether this host reaches any: those that have not
    /// just failed, as far as there are enough.
    pub fn probe_candidates(&self) -> Vec<TargetKey> {
        let available = self
            .members
            .iter()
            .filter(|(_, member)| self.is_available(member));
        let (failed, others): (Vec<_>, Vec<_>) = available
            .map(|(key, _)| *key)
            .partition(|key| self.reach.has_failed(*key));
        if others.len() >= MAX_FAILED_TARGETS {
            others
        } else {
            [failed, others].concat()
        }
    }

    /// Records whether a target accepted a probe on a new connection.
    pub fn record_probe(&mut self, now: Instant, target: TargetKey, is_answered: bool) {
        let total = self.members.len();
        if !is_answered {
            self.reach.record_probe_failure(target, total);
        } else if self.reach.record_probe_answer(target, total) {
            self.forget_failures(now);
        }
    }

    /// Drops what the loss of this host's links made targets look like.
    fn forget_failures(&mut self, now: Instant) {
        let ejected = std::mem::take(&mut self.ejected_unanswered);
        for (key, member) in &mut self.members {
            member.connect_failed_at = None;
            member.record_sign_of_life(now);
            if ejected.contains(key) {
                member.outlier_detector.restore(now);
            }
        }
    }

    /// Records that a target is ejected.
    pub(super) fn record_ejection(&mut self, key: TargetKey) {
        self.ejected_unanswered.insert(key);
    }

    /// Records what the end of a request, or its target's silence, shows about this host's links.
    pub fn record_reach(&mut self, now: Instant, target: TargetKey, end: End) {
        match end {
            End::Unreached | End::Silent | End::Broken | End::Closed => {
                self.reach.record_failure(now, target, self.members.len());
            }
            End::Answered | End::Failed | End::Refused | End::Misdirected | End::Stray => {
                self.reach.record_answer();
                if self.reaches_targets() {
                    self.ejected_unanswered.clear();
                }
            }
            // Targets may be slow on sound links.
            End::TimedOut | End::Cancelled | End::Recalled => {}
        }
    }
}
