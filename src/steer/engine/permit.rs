//! Leave for requests that may crash targets, and what is told and heard of them.

use std::time::Instant;

use rand::Rng;

use super::{Ask, Engine, Id, Refusal, Verdict};
use crate::catalog::TargetKey;
use crate::steer::attempt::Reason;
use crate::steer::fingerprint::Fingerprint;
use crate::steer::quarantine::{MergeResult, Notice, OutgoingNotices, Verdict as Leave};

impl Engine {
    /// Sends a first try on its way if it may be sent, as far as it is suspected to crash targets. What is not known at
    /// `until` is sent.
    pub(super) fn permit(
        &mut self,
        now: Instant,
        until: Instant,
        ask: Ask,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        let (leave, told) = self.quarantine.check(now, ask.fingerprint);
        self.notes.extend(told);
        match leave {
            Leave::Refused(retry_after) => Some(Verdict::Refused(Refusal {
                reason: Reason::Quarantined,
                retry_after,
            })),
            Leave::Wait if now < until => {
                self.unsure.push((until, ask));
                None
            }
            Leave::Isolated => self.place_alone(now, ask, rng),
            Leave::Wait | Leave::Allowed => self.place(now, ask, rng),
        }
    }

    /// Sends a suspected request on its way, and keeps its leave while it is at a target of this zone. A host of another zone
    /// gives leave of its own.
    fn place_alone(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Option<Verdict> {
        let (id, fingerprint) = (ask.id, ask.fingerprint);
        let verdict = self.place(now, ask, rng);
        match verdict {
            None | Some(Verdict::Target { .. }) => {
                self.leaves.insert(id, fingerprint);
            }
            Some(Verdict::Host(_) | Verdict::Refused(_)) => self.quarantine.finish(fingerprint),
        }
        verdict
    }

    /// A request's tries at targets of this zone have ended, or it was refused.
    pub fn done(&mut self, id: Id) {
        if let Some(fingerprint) = self.leaves.remove(&id) {
            self.quarantine.finish(fingerprint);
        }
    }

    /// A try that began at `begun` broke off at a target, after the request had been sent and before its answer was whole.
    pub fn broke(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: TargetKey,
        begun: Instant,
    ) {
        let digest = self.digest(target);
        let OutgoingNotices {
            to_counters: counters,
            to_all: all,
        } = self
            .quarantine
            .record_break(now, fingerprint, digest, begun);
        self.notes.extend(counters.into_iter().chain(all));
    }

    /// A target has answered a request.
    pub fn answered(&mut self, now: Instant, fingerprint: Fingerprint) {
        let told = self.quarantine.record_answer(now, fingerprint);
        self.notes.extend(told);
    }

    /// Takes in what another host tells of requests that crash targets; says whether that is new here.
    pub fn hear(&mut self, now: Instant, note: &Notice) -> bool {
        let MergeResult {
            is_new,
            to_all: all,
        } = self.quarantine.merge(now, note);
        self.notes.extend(all);
        is_new
    }

    /// Takes what other hosts are to be told of requests that crash targets.
    pub fn notes(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notes)
    }

    /// How all suspected and refused requests stand, for a host that may not know of them.
    pub fn standings(&self, now: Instant) -> Vec<Notice> {
        self.quarantine.statuses(now).collect()
    }
}
