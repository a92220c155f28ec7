//! Quarantine of requests that may crash targets, and the notices exchanged with other hosts about them.

use std::time::Instant;

use rand::Rng;

use super::{AttemptKind, Engine, Id, Refusal, RouteRequest, Verdict};
use crate::catalog::TargetKey;
use crate::steer::attempt::Reason;
use crate::steer::fingerprint::Fingerprint;
use crate::steer::quarantine::{
    MergeResult, Notice, OutgoingNotices, Verdict as QuarantineVerdict,
};

impl Engine {
    /// Dispatches an attempt unless the quarantine refuses it. A retry of a suspected request is refused unless an answer may be
    /// about to clear it; then it waits like a first attempt.
    pub(super) fn admit_unless_quarantined(
        &mut self,
        now: Instant,
        until: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        // An isolated attempt that failed without crashing its target is repeated in isolation.
        let was_isolated = self.suspect_permits.contains_key(&request.id);
        self.release_suspect_permit(request.id);
        if request.kind == AttemptKind::First || was_isolated {
            return self.admit_isolated(now, until, request, rng);
        }
        match self.quarantine.check_retry(now, request.fingerprint) {
            QuarantineVerdict::Allowed => self.dispatch(now, request, rng),
            QuarantineVerdict::Wait => {
                self.undecided.push((until, request));
                None
            }
            // An attempt could crash another target, and no answer is about to clear the request.
            _ => Some(Verdict::refused(Reason::Quarantined)),
        }
    }

    /// Dispatches an attempt unless the quarantine refuses it; in isolation if its request is suspected. An attempt that is still
    /// undecided at `until` is dispatched.
    pub(super) fn admit_isolated(
        &mut self,
        now: Instant,
        until: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        let (verdict, notices) = self.quarantine.check(now, request.fingerprint);
        self.quarantine_notices.extend(notices);
        match verdict {
            QuarantineVerdict::Refused(retry_after) => Some(Verdict::Refused(Refusal {
                reason: Reason::Quarantined,
                retry_after,
            })),
            QuarantineVerdict::Wait if now < until => {
                self.undecided.push((until, request));
                None
            }
            QuarantineVerdict::Isolated => self.dispatch_suspect(now, request, rng),
            QuarantineVerdict::Wait | QuarantineVerdict::Allowed => {
                self.dispatch(now, request, rng)
            }
        }
    }

    /// Dispatches a suspected request and keeps its permit while a target of this zone serves it or it is queued for one. A host
    /// of another zone decides on its own permit.
    fn dispatch_suspect(
        &mut self,
        now: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        let (id, fingerprint) = (request.id, request.fingerprint);
        let verdict = self.dispatch(now, request, rng);
        match verdict {
            None | Some(Verdict::Target { .. }) => {
                self.suspect_permits.insert(id, fingerprint);
            }
            Some(Verdict::Host(_) | Verdict::Refused(_)) => self.quarantine.finish(fingerprint),
        }
        verdict
    }

    /// Releases the permit of a suspected request whose attempts in this zone have ended, or that was refused.
    pub fn release_suspect_permit(&mut self, id: Id) {
        if let Some(fingerprint) = self.suspect_permits.remove(&id) {
            self.quarantine.finish(fingerprint);
        }
    }

    /// Records that an attempt begun at `started_at` was cut off by a target after the request had been sent and before the answer was
    /// complete.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: TargetKey,
        started_at: Instant,
    ) {
        let digest = self.target_digest(target);
        let OutgoingNotices {
            to_counters: counters,
            to_all: all,
        } = self
            .quarantine
            .record_break(now, fingerprint, digest, started_at);
        self.quarantine_notices
            .extend(counters.into_iter().chain(all));
    }

    /// Records that a target answered a request.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        let notices = self.quarantine.record_answer(now, fingerprint);
        self.quarantine_notices.extend(notices);
    }

    /// Merges a quarantine notice of another host; returns whether it changed the state of this host.
    pub fn merge_notice(&mut self, now: Instant, notice: &Notice) -> bool {
        let MergeResult {
            is_new,
            to_all: all,
        } = self.quarantine.merge(now, notice);
        self.quarantine_notices.extend(all);
        is_new
    }

    /// Removes and returns the quarantine notices to publish to other hosts.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.quarantine_notices)
    }

    /// Returns the state of all suspected and quarantined requests, for a host that may lack it.
    pub fn quarantine_statuses(&self, now: Instant) -> Vec<Notice> {
        self.quarantine.statuses(now).collect()
    }
}
