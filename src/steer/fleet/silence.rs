//! Detection of targets that have stopped answering, before any deadline expires.
//!
//! Requests to a target that has lost power get no answer and no error, and each of them is given
//! up only at its deadline. Requests that must not run twice are lost then. So a target that has
//! answered none of several requests for longer than its service ever takes receives no new ones
//! while there are other targets, and requests that may be repeated are sent elsewhere. That lasts
//! until it answers, also once all of these requests are given up: its kernel may have acknowledged
//! them, and whatever it is sent meanwhile is read when it continues, even after it has announced
//! its shutdown. Health checks find out when it answers again. Hosts find out together, and sooner
//! than one of them could, see [`super::inquiry`], and tell all others: each of them would send
//! requests that may run once and lose them. A host that has had an answer since ignores that and
//! says so. Targets to which no connection can be opened are skipped for a moment as well. With two
//! of four targets of a region without power, at most half as many requests are lost as without this
//! detection (replay in virtual time).

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::member::Member;
use super::Fleet;
use crate::border::settings::Switch;
use crate::duration;
use crate::inventory::TargetKey;

/// Maximum silence of a target in multiples of its service's peak service time.
const SILENCE_FACTOR: f64 = 1.5;
/// Lower bound of the silence limit: lost packets are retransmitted after 0.2 s and more.
pub(super) const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Time for which a target is skipped after a failed connection: it stays registered for seconds
/// after a crash, and each request that tries it loses a round trip.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Requests that have to be in flight at a silent target: a single one may concern an object that
/// takes long.
pub(super) const MIN_SILENT_REQUESTS: u32 = 2;

/// Interval at which the other hosts are told that a target is still silent.
const TELL_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which such a report counts: two intervals, as one may be lost.
const REPORT_LIFETIME: Duration = Duration::from_millis(2000);

/// Factor on the limit of silence for targets that answer other hosts: they are late here, or cannot
/// be reached from this host.
const LATE_FACTOR: u32 = 2;

/// Shortest and longest time between two health checks of a silent target.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(400);
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(800);

/// When the next health check of a target is due that is silent or may have returned.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Recheck {
    due_at: Option<Instant>,
    is_pending: bool,
    interval: Duration,
}

impl Recheck {
    /// Begins a health check if one is due. The interval grows with each.
    pub(super) fn begin(&mut self, now: Instant) -> bool {
        if self.is_pending || self.due_at.is_some_and(|due| now < due) {
            return false;
        }
        self.is_pending = true;
        self.interval = (self.interval * 2).clamp(MIN_RECHECK_INTERVAL, MAX_RECHECK_INTERVAL);
        self.due_at = Some(now + self.interval);
        true
    }

    /// Ends the health check that was begun.
    pub(super) fn finish(&mut self) {
        self.is_pending = false;
    }

    /// Forgets all health checks.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

/// What a host tells the others of a target that has answered none of several requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence(
    /// The target's process.
    pub u64,
    /// How long it has sent no answer, in milliseconds; 0 if it answers again.
    pub u64,
);

impl Silence {
    pub(super) fn new(process: u64, age: Duration) -> Self {
        Self(process, u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Fleet {
    /// Returns what the other hosts should be told of targets that this host has told them are silent:
    /// that they still are, or answer again.
    pub fn silences_to_tell(&mut self, now: Instant) -> Vec<Silence> {
        let mut due = Vec::new();
        for (key, member) in &self.members {
            let Some(told_at) = member.silence_told_at else {
                continue;
            };
            let limit = self.silence_limit(member.service());
            if !member.is_silent(now, limit) || !self.is_available(member) {
                due.push((*key, None));
            } else if now.saturating_duration_since(told_at) >= TELL_INTERVAL
                && member.is_silent_here(now, limit)
            {
                due.push((*key, Some(now)));
            }
        }
        let told = due.into_iter().filter_map(|(key, told_at)| {
            let member = self.members.get_mut(&key)?;
            member.silence_told_at = told_at;
            let since = member.silent_since.filter(|_| told_at.is_some());
            let age = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
            Some(Silence::new(member.process, age))
        });
        told.collect()
    }

    /// Whether a target answers again that this host has told the others is silent.
    pub fn is_silence_over(&self, now: Instant, key: TargetKey) -> bool {
        self.members.get(&key).is_some_and(|member| {
            let limit = self.silence_limit(member.service());
            member.silence_told_at.is_some() && !member.is_silent(now, limit)
        })
    }

    /// Returns a change of whether a target is silent by this host's requests alone, for the log.
    pub fn note_silence(&mut self, now: Instant, key: TargetKey) -> Option<Silence> {
        let limit = self.silence_limit(self.members.get(&key)?.service());
        let member = self.members.get_mut(&key)?;
        let is_silent = member.is_silent_here(now, limit);
        let is_new = is_silent && !member.is_reported_silent(now);
        if is_new == member.is_silence_noted || (is_silent && member.is_silence_noted) {
            return None;
        }
        member.is_silence_noted = is_new;
        let since = member.silent_since.filter(|_| is_new);
        let age = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        Some(Silence::new(member.process, age))
    }

    /// Records what another host has found out about a target. Returns whether the target counts as
    /// silent by that, and did not before.
    pub fn merge_silence(&mut self, now: Instant, silence: Silence) -> bool {
        let Silence(process, age_ms) = silence;
        let key = self.process_key(process);
        let Some(member) = key.and_then(|key| self.members.get_mut(&key)) else {
            return false;
        };
        if age_ms == 0 {
            member.reported_silent_until = None;
            return false;
        }
        let age = duration::from_millis(age_ms);
        !member.is_heard_within(now, age) && member.report_silent(now)
    }

    pub(super) fn process_key(&self, process: u64) -> Option<TargetKey> {
        let mut members = self.members.iter();
        let (key, _) = members.find(|(_, member)| member.process == process)?;
        Some(*key)
    }

    /// Returns the identity of a process.
    pub fn process_id(&self, process: u64) -> Option<Arc<str>> {
        let member = self.members.get(&self.process_key(process)?)?;
        Some(member.id().clone())
    }

    /// Begins the health checks that are due of targets that are silent and are not leaving, and
    /// returns these targets.
    pub fn begin_rechecks(&mut self, now: Instant) -> Vec<TargetKey> {
        let silent = self.members.iter().filter(|(_, member)| {
            let limit = self.silence_limit(member.service());
            member.unanswered > 0 && member.is_silent(now, limit) && self.is_available(member)
        });
        let mut keys: Vec<_> = silent.map(|(key, _)| *key).collect();
        keys.retain(|key| {
            let member = self.members.get_mut(key);
            member.is_some_and(|member| member.recheck.begin(now))
        });
        keys
    }

    /// Records whether a target answered the health check that was begun.
    pub fn finish_recheck(&mut self, now: Instant, key: TargetKey, is_answered: bool) {
        if let Some(member) = self.members.get_mut(&key) {
            member.recheck.finish();
            if is_answered {
                member.record_sign_of_life(now);
            }
        }
    }

    /// Returns the maximum silence of a service's targets, once its service times are known.
    pub fn silence_limit(&self, service: &str) -> Option<Duration> {
        if self.switches.silence == Switch::Off {
            return None;
        }
        let longest = self.stats(service).longest_service_time()?;
        Some(duration::from_seconds(longest * SILENCE_FACTOR).max(MIN_SILENCE_LIMIT))
    }

    /// Whether a target has sent no answer for too long.
    pub fn is_silent(&self, now: Instant, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        member.is_some_and(|member| member.is_silent(now, self.silence_limit(member.service())))
    }
}

impl Member {
    /// Whether it is skipped after a failed connection.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        let since = self.connect_failed_at;
        since.is_some_and(|since| now.saturating_duration_since(since) < UNREACHABLE_PAUSE)
    }

    /// Whether this host or another one has found it silent; `false` without a limit.
    pub(super) fn is_silent(&self, now: Instant, silence_limit: Option<Duration>) -> bool {
        let is_reported = silence_limit.is_some() && self.is_reported_silent(now);
        is_reported || self.is_silent_here(now, silence_limit)
    }

    /// Whether this host knows that it answered within the last `time`.
    pub(super) fn is_heard_within(&self, now: Instant, time: Duration) -> bool {
        let heard_at = self.heard_at;
        heard_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Records that other hosts have found it silent. Returns whether that is new.
    pub(super) fn report_silent(&mut self, now: Instant) -> bool {
        let is_new = !self.is_reported_silent(now);
        self.reported_silent_until = Some(now + REPORT_LIFETIME);
        is_new
    }

    /// Whether several hosts have found it silent together.
    pub(super) fn is_reported_silent(&self, now: Instant) -> bool {
        self.reported_silent_until.is_some_and(|until| now < until)
    }

    /// Whether it has sent this host no answer for longer than `silence_limit`, or a multiple of it
    /// while it is slow; `false` without a limit.
    fn is_silent_here(&self, now: Instant, silence_limit: Option<Duration>) -> bool {
        self.has_silent_requests()
            && !self.is_judged_together(now)
            && self.exceeds_silence(now, silence_limit)
    }

    /// Whether as many requests wait at it or were given up there as a silence needs.
    fn has_silent_requests(&self) -> bool {
        self.in_flight.saturating_add(self.unanswered) >= MIN_SILENT_REQUESTS
    }

    /// Records that a request at it was given up without an answer.
    pub(super) fn record_unanswered(&mut self, now: Instant, silence_limit: Option<Duration>) {
        if self.exceeds_silence(now, silence_limit) {
            self.unanswered = self.unanswered.saturating_add(1);
        }
    }

    /// Records that it sent an answer, or showed otherwise that it can be reached.
    pub(super) fn record_sign_of_life(&mut self, now: Instant) {
        self.silent_since = Some(now);
        self.heard_at = Some(now);
        self.reported_silent_until = None;
        self.doubted_until = None;
        self.question = None;
        self.unanswered = 0;
        self.unread.clear();
        self.recheck.reset();
    }

    /// Whether it has sent no answer for longer than the limit that [`Member::is_silent`] applies.
    fn exceeds_silence(&self, now: Instant, silence_limit: Option<Duration>) -> bool {
        match (self.silent_since, silence_limit) {
            (Some(since), Some(silence_limit)) => {
                let slowdown = self.slowdown(now);
                let silence_limit = if slowdown > 1.0 {
                    silence_limit.mul_f64(slowdown)
                } else {
                    silence_limit
                };
                let silence_limit = if self.has_answered_elsewhere() {
                    silence_limit * LATE_FACTOR
                } else {
                    silence_limit
                };
                now.saturating_duration_since(since) > silence_limit
            }
            _ => false,
        }
    }
}
