//! Whether a target may receive anything from this host. Each request and each health check asks
//! here, however its target was chosen.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::member::Member;
use super::{Fleet, TargetQuery};
use crate::duration;
use crate::inventory::{State, TargetKey};
use crate::steer::departures::Audience;

/// Maximum number of targets whose departure is remembered for the log.
const MAX_DEPARTED: usize = 4096;

impl Fleet {
    /// Records that this host has learned that a target leaves, or is missing in the store.
    pub fn record_departure(&mut self, now: Instant, id: &str) {
        if let Some(key) = self.key(id) {
            self.departed_at.entry(key).or_insert(now);
        }
        if self.departed_at.len() > MAX_DEPARTED {
            self.departed_at.pop_first();
        }
    }

    /// Returns when this host learned that a target leaves, or is missing in the store; also for
    /// some time after its removal.
    pub fn departed_at(&self, key: TargetKey) -> Option<Instant> {
        self.departed_at.get(&key).copied()
    }

    /// Returns how many requests of this host are in flight at a target.
    pub fn in_flight(&self, id: &str) -> u32 {
        let member = self.key(id).and_then(|key| self.members.get(&key));
        member.map_or(0, |member| member.in_flight)
    }

    /// Whether a target may receive requests, as far as its state does not change by itself.
    pub(super) fn is_available(&self, member: &Member) -> bool {
        !self.is_leaving(member)
            && !member.is_misdirected
            && !self.evacuated_zones.contains(&member.registration.zone)
    }

    /// Sets until when targets may be missing in the store, whenever that was noticed.
    pub fn set_return_deadline(&mut self, deadline: Option<Instant>) {
        self.return_deadline = deadline;
    }

    /// Returns how much longer a target may be missing in the store; zero if it is not.
    pub fn return_time_left(&self, now: Instant, id: &str) -> Duration {
        let member = self.key(id).and_then(|key| self.members.get(&key));
        let until = member.and_then(|member| member.lapsed_until);
        let deadline = until.map(|until| self.return_deadline.map_or(until, |at| at.min(until)));
        deadline.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Whether a target is missing in the store for longer than it may be.
    pub(super) fn has_lapsed(&self, now: Instant, member: &Member) -> bool {
        let is_over = |until: Instant| now >= until;
        member
            .lapsed_until
            .is_some_and(|until| is_over(until) || self.return_deadline.is_some_and(is_over))
    }

    /// Whether the known registration of a target says that it is draining.
    pub fn is_draining(&self, id: &str) -> bool {
        let member = self.key(id).and_then(|key| self.members.get(&key));
        member.is_some_and(|member| member.registration.state == State::Draining)
    }

    /// Whether a target shuts down, by its registration or its answers.
    pub(super) fn is_leaving(&self, member: &Member) -> bool {
        member.registration.state != State::Ready || self.departures.contains(member.process)
    }

    /// Returns the time until a target may receive one more request after a rest that it asked for,
    /// or `None` if it may now.
    pub(super) fn rests_for(&self, now: Instant, member: &Member) -> Option<Duration> {
        if let Some(left) = member.rest.time_left(now) {
            return Some(left);
        }
        if member.in_flight < member.rest.max_in_flight(now)? {
            return None;
        }
        // The next request may be sent after an answer.
        let service_time = self.stats(member.service()).service_time;
        Some(duration::from_seconds(service_time))
    }

    /// Whether a request that was permitted may still be sent to its target.
    pub fn may_send(&self, now: Instant, key: TargetKey) -> bool {
        self.members.get(&key).is_some_and(|member| {
            self.is_available(member)
                && !self.has_lapsed(now, member)
                && member.rest.time_left(now).is_none()
        })
    }

    /// Whether a target may still receive a request that was sent to it.
    pub fn may_receive(&self, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        member.is_some_and(|member| self.is_available(member))
    }

    /// Whether there are targets of a service, and all of them are shutting down or must not be
    /// used.
    pub fn has_no_available_target(&self, service: &str) -> bool {
        let keys = self.services.get(service).into_iter().flatten();
        let mut members = keys.filter_map(|key| self.members.get(key)).peekable();
        members.peek().is_some() && members.all(|member| !self.is_available(member))
    }

    /// Returns the time until the first of the targets that a request may use ends its rest, if all
    /// of them rest.
    pub fn time_until_rest_ends(&self, now: Instant, query: &TargetQuery<'_>) -> Option<Duration> {
        let keys = self.services.get(query.service).into_iter().flatten();
        let members = keys.filter_map(|key| self.members.get(key));
        let mut usable = members.filter(|member| self.accepts_requests(now, member, query.homes));
        let first = usable.next()?.rest.time_left(now)?;
        usable.try_fold(first, |shortest, member| {
            Some(shortest.min(member.rest.time_left(now)?))
        })
    }

    /// Records that a target asks this host for a rest. Returns whether it was not resting before.
    pub fn record_rest(&mut self, now: Instant, key: TargetKey, time: Duration) -> bool {
        let member = self.members.get_mut(&key);
        member.is_some_and(|member| member.rest.begin(now, time))
    }

    /// Records that a target states that it is shutting down. Returns its process if that is new,
    /// for the other hosts.
    pub fn record_leaving(&mut self, now: Instant, key: TargetKey) -> Option<u64> {
        let member = self.members.get(&key)?;
        let (process, id) = (member.process, member.id().clone());
        if !self.departures.record(now, process, Audience::Told) {
            return None;
        }
        self.record_departure(now, &id);
        Some(process)
    }

    /// Records a process that another host knows to shut down. Returns its target if that is new.
    pub fn merge_leaving(&mut self, now: Instant, process: u64) -> Option<Arc<str>> {
        if !self.departures.record(now, process, Audience::Told) {
            return None;
        }
        let mut members = self.members.values();
        let member = members.find(|member| member.process == process)?;
        let id = member.id().clone();
        self.record_departure(now, &id);
        Some(id)
    }

    /// Returns the processes that are known to shut down and that other hosts may not know about.
    pub fn leaving_processes(&self, now: Instant) -> impl Iterator<Item = u64> + '_ {
        self.departures.recent(now)
    }
}
