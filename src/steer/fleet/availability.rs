//! Whether a target may receive anything from this host. Each request and each health check asks
//! here, however its target was chosen.

use std::sync::Arc;
use std::time::Instant;

use super::member::Member;
use super::Fleet;
use crate::inventory::{State, TargetKey};

impl Fleet {
    /// Whether a target may receive requests, as far as its state does not change by itself.
    pub(super) fn is_available(&self, member: &Member) -> bool {
        !self.is_leaving(member)
            && !member.is_misdirected
            && !self.evacuated_zones.contains(&member.registration.zone)
    }

    /// Whether a target shuts down, by its registration or its answers.
    pub(super) fn is_leaving(&self, member: &Member) -> bool {
        member.registration.state != State::Ready || self.departures.contains(member.digest())
    }

    /// Whether a request that was permitted may still be sent to its target.
    pub fn may_send(&self, key: TargetKey) -> bool {
        self.members
            .get(&key)
            .is_some_and(|member| self.is_available(member))
    }

    /// Records that a target states that it is shutting down. Returns its process if that is new,
    /// for the other hosts.
    pub fn record_leaving(&mut self, now: Instant, key: TargetKey) -> Option<u64> {
        let process = self.members.get(&key)?.digest();
        self.departures.record(now, process).then_some(process)
    }

    /// Records a process that another host knows to shut down. Returns its target if that is new.
    pub fn merge_leaving(&mut self, now: Instant, process: u64) -> Option<Arc<str>> {
        if !self.departures.record(now, process) {
            return None;
        }
        let mut members = self.members.values();
        let member = members.find(|member| member.digest() == process)?;
        Some(member.id().clone())
    }

    /// Returns the processes that are known to shut down and that other hosts may not know about.
    pub fn leaving_processes(&self, now: Instant) -> impl Iterator<Item = u64> + '_ {
        self.departures.recent(now)
    }
}
