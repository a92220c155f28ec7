//! Whether this host reaches any target: what requests and probes show, and how targets that were
//! taken for failed meanwhile come back.

use std::time::Instant;

use super::{End, Fleet};
use crate::inventory::{State, TargetKey};

impl Fleet {
    /// Whether this host reaches targets, as far as it knows. If not, it has lost its own links
    /// rather than all targets at once.
    pub fn reaches_targets(&self) -> bool {
        !self.reach.is_cut_off()
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
            self.forget_failures(now);
        }
    }

    /// Drops what the loss of this host's links made targets look like.
    fn forget_failures(&mut self, now: Instant) {
        let ejected = std::mem::take(&mut self.ejected_unanswered);
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
        self.ejected_unanswered.insert(key);
    }

    /// Records what the end of a request shows about this host's links.
    pub(super) fn record_reach(&mut self, now: Instant, target: TargetKey, end: End) {
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
            End::TimedOut | End::Cancelled => {}
        }
    }
}
