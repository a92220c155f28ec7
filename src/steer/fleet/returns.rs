//! Targets that are registered again after their registration was removed: they are used once a
//! health check has shown that they run and are not leaving.
//!
//! Only the hosts that would check whether the target is cold send these checks, and tell the
//! others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::cold_checks::CHECKERS_PER_TARGET;
use super::member::{process_digest, Member};
use super::Fleet;
use crate::inventory::{Registration, State, TargetKey};
use crate::steer::departures::Numbered;

/// Time after a lapsed target has registered again in which a health check may show that it is
/// leaving all the same: such checks run while the store is doubtful.
const DOUBT_TIME: Duration = Duration::from_secs(5);

impl Member {
    fn numbered(&self) -> Numbered {
        (self.process, self.registration.sequence)
    }
}

impl Fleet {
    /// Removes a target whose registration was removed, and remembers its process.
    pub fn remove(&mut self, now: Instant, id: &str) {
        let key = self.ids.get(id);
        if let Some(member) = key.and_then(|key| self.members.get(key)) {
            let (process, sequence) = member.numbered();
            self.departures.record_removal(now, process, sequence);
        }
        self.withdraw(id);
    }

    /// Accepts a registration that has outlasted the time after which that of a process which is
    /// gone expires.
    pub fn accept_registered(&mut self, registration: &Registration) {
        self.departures.forget_removal(process_digest(registration));
    }

    /// Whether the registration of a target was removed and it has not shown since that it runs.
    pub fn awaits_confirmation(&self, id: &str) -> bool {
        let member = self.key(id).and_then(|key| self.members.get(&key));
        member.is_some_and(|member| {
            member.registration.state == State::Ready && self.departures.is_removed(member.process)
        })
    }

    /// Begins the health checks that are due of targets that may have returned, and returns these
    /// targets.
    pub fn begin_return_checks(&mut self, now: Instant) -> Vec<TargetKey> {
        let returned = self.members.iter().filter(|(_, member)| {
            member.registration.state == State::Ready
                && self.departures.may_have_returned(member.numbered())
                && self.is_among_first(CHECKERS_PER_TARGET, member)
        });
        let mut keys: Vec<_> = returned.map(|(key, _)| *key).collect();
        keys.retain(|key| {
            let member = self.members.get_mut(key);
            member.is_some_and(|member| member.recheck.begin(now))
        });
        keys
    }

    /// Records whether a target said in the health check that was begun that it is ready. Returns
    /// its process if that shows that it has returned, for the other hosts.
    pub fn finish_return_check(
        &mut self,
        now: Instant,
        key: TargetKey,
        is_ready: bool,
    ) -> Option<Numbered> {
        let member = self.members.get_mut(&key)?;
        member.recheck.finish();
        let numbered = member.numbered();
        if !is_ready || !self.departures.confirm(now, numbered) {
            return None;
        }
        member.recheck.reset();
        self.departed_at.remove(&key);
        Some(numbered)
    }

    /// Records a process that another host has seen running after its return. Returns its target
    /// if that is new.
    pub fn merge_confirmation(&mut self, now: Instant, numbered: Numbered) -> Option<Arc<str>> {
        if !self.departures.confirm(now, numbered) {
            return None;
        }
        let mut members = self.members.iter();
        let (key, member) = members.find(|(_, member)| member.process == numbered.0)?;
        let (key, id) = (*key, member.id().clone());
        self.departed_at.remove(&key);
        Some(id)
    }

    /// Records a process that another host knows to have been removed and registered again. Returns
    /// its target if that is new.
    pub fn merge_removal(&mut self, now: Instant, numbered: Numbered) -> Option<Arc<str>> {
        if !self.departures.merge_removal(now, numbered) {
            return None;
        }
        let mut members = self.members.values();
        let member = members.find(|member| member.process == numbered.0)?;
        let id = member.id().clone();
        self.record_departure(now, &id);
        Some(id)
    }

    /// Records that a target said in a health check that it is not ready. If its registration had
    /// lapsed and has just returned, the return was a late write, or the target has failed: it gets
    /// nothing until a further health check shows that it runs. Returns its process then, for the
    /// other hosts.
    pub fn record_unready(&mut self, now: Instant, key: TargetKey) -> Option<Numbered> {
        let member = self.members.get_mut(&key)?;
        let returned_at = member.returned_at.take()?;
        if now.saturating_duration_since(returned_at) >= DOUBT_TIME {
            return None;
        }
        let (process, id) = (member.process, member.id().clone());
        // Its own registration has to be enough for a further check.
        let numbered = (process, None);
        let is_new = self.departures.merge_removal(now, numbered);
        is_new.then(|| {
            self.record_departure(now, &id);
            numbered
        })
    }

    /// Returns the processes that were removed and are registered again, and that other hosts may
    /// not know about.
    pub fn removed_processes(&self, now: Instant) -> impl Iterator<Item = Numbered> + '_ {
        self.departures.recent_removals(now)
    }

    /// Returns the processes that have returned, which other hosts may not know yet.
    pub fn confirmed_processes(&self, now: Instant) -> impl Iterator<Item = Numbered> + '_ {
        self.departures.recent_confirmations(now)
    }
}
