//! Questions between hosts whether a target answers any of them.
//!
//! A host that has had no answer from a target for a while can't tell whether the target stands still
//! or is late: most of its answers may go to other hosts. What all hosts have seen together tells
//! them apart much sooner. So a host whose request takes longer than usual asks hosts that send to
//! the same target. One answer within that time is enough: the target is late at most. If nobody had
//! one, these hosts send it no new requests for a moment, and once that has lasted for longer than
//! its service takes, all hosts are told that it is silent, see [`super::silence`]. If hardly anybody
//! replies, this host's own links are in doubt, and nothing follows for the target.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::member::Member;
use super::silence::{Silence, MIN_SILENCE_LIMIT, MIN_SILENT_REQUESTS};
use super::{Fleet, TargetQuery};
use crate::duration;
use crate::inventory::TargetKey;

/// Factor on the usual time that a request takes at its target after which other hosts are asked.
const PATIENCE_FACTOR: f64 = 1.5;
/// Shortest time after which they are, and between two questions about one target.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// Factor on the mean time between two answers of a target that works on all its slots.
const GAP_FACTOR: f64 = 3.0;
/// Time for which a target gets no new requests while nobody is known to have an answer: longer than
/// the time until the next question.
const DOUBT_LIFETIME: Duration = Duration::from_millis(200);
/// Maximum questions of a host in a second: each takes a message to several hosts, and their replies.
const MAX_QUESTIONS_PER_S: u32 = 20;
/// Time for which a host relies on the replies to a question: longer than the time until the next.
const REPLY_LIFETIME: Duration = Duration::from_millis(300);

/// A question that this host has asked.
#[derive(Clone, Debug)]
pub(super) struct Question {
    asked_at: Instant,
    /// Number of hosts that were asked.
    witnesses: usize,
    /// Those that replied that they have had no answer lately either.
    unheard: BTreeSet<IpAddr>,
    /// How many of their requests wait there, and how many of these are overdue.
    waiting: u32,
    overdue: u32,
}

/// The questions of a host within one second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QuestionCount {
    since: Option<Instant>,
    count: u32,
}

impl QuestionCount {
    fn take(&mut self, now: Instant) -> bool {
        let is_current = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < Duration::from_secs(1));
        if !is_current {
            *self = Self {
                since: Some(now),
                count: 0,
            };
        }
        self.count += 1;
        self.count <= MAX_QUESTIONS_PER_S
    }
}

/// What a host replies that is asked about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Testimony(
    /// The target's process.
    pub u64,
    /// Milliseconds since its last answer to the host, if there was one.
    pub Option<u64>,
    /// Requests of the host that wait there.
    pub u32,
    /// How many of them have waited for longer than usual.
    pub u32,
);

/// What the replies of other hosts show about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing that the other hosts should be told.
    Nothing,
    /// It has not answered any host for too long.
    Silent(Silence),
    /// It answers, although the other hosts were told that it is silent.
    Answers(Silence),
}

impl Fleet {
    /// Returns how long a request may wait for an answer of a target until other hosts are asked;
    /// `None` until the service times are known.
    pub fn patience(
        &self,
        now: Instant,
        key: TargetKey,
        query: &TargetQuery<'_>,
    ) -> Option<Duration> {
        self.silence_limit(query.service)?;
        let usual = duration::from_seconds(self.usual_processing_time(now, key, query)?);
        let processing = usual.mul_f64(PATIENCE_FACTOR).max(MIN_PATIENCE);
        Some(processing + self.round_trip_time(key))
    }

    /// Records that a request has waited longer than [`Fleet::patience`].
    pub fn record_overdue(&mut self, key: TargetKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.overdue = member.overdue.saturating_add(1);
        }
    }

    /// Records the end of such a request.
    pub fn finish_overdue(&mut self, key: TargetKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.overdue = member.overdue.saturating_sub(1);
        }
    }

    /// Begins to ask other hosts about a target that has sent no answer for longer than `patience`.
    /// Returns what they are asked. While this host may have lost its own links, it asks nobody.
    pub fn ask(&mut self, now: Instant, key: TargetKey, patience: Duration) -> Option<Silence> {
        if !self.reaches_targets() || self.suspects_links() {
            return None;
        }
        let member = self.members.get(&key)?;
        self.silence_limit(member.service())?;
        let waited = now.saturating_duration_since(member.silent_since?);
        let unheard = member.unheard_for(now)?;
        let was_asked_lately = member
            .asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_PATIENCE);
        let is_due = waited > patience
            && unheard > self.longest_gap(member)
            && member.question.is_none()
            && !was_asked_lately;
        if !is_due
            || member.is_reported_silent(now)
            || !self.is_available(member)
            || !self.question_count.take(now)
        {
            return None;
        }
        let member = self.members.get_mut(&key)?;
        member.asked_at = Some(now);
        member.question = Some(Question {
            asked_at: now,
            witnesses: 0,
            unheard: BTreeSet::new(),
            waiting: 0,
            overdue: 0,
        });
        Some(Silence::new(member.process, unheard))
    }

    /// Records how many hosts were asked. Without any, nothing is concluded.
    pub fn expect_replies(&mut self, key: TargetKey, witnesses: usize) {
        if let Some(member) = self.members.get_mut(&key) {
            match &mut member.question {
                Some(question) if witnesses > 0 => question.witnesses = witnesses,
                _ => member.question = None,
            }
        }
    }

    /// Answers another host's question about a target. Returns `None` if this host can't know.
    pub fn testify(&mut self, now: Instant, question: Silence) -> Option<Testimony> {
        if !self.reaches_targets() || self.suspects_links() {
            return None;
        }
        let key = self.process_key(question.0)?;
        let member = self.members.get(&key)?;
        let is_available = self.is_available(member);
        let is_recent = member.is_heard_within(now, self.longest_gap(member));
        let member = self.members.get_mut(&key)?;
        // The other host has a request there as well.
        if is_available && !is_recent && member.waiting_requests() > 0 {
            member.doubt(now);
        }
        Some(member.testimony(now))
    }

    /// Returns what another host should know that takes a target for silent which has answered this
    /// one since.
    pub fn objection(&self, now: Instant, silence: Silence) -> Option<Testimony> {
        let Silence(process, age_ms) = silence;
        let member = self.members.get(&self.process_key(process)?)?;
        member
            .is_heard_within(now, duration::from_millis(age_ms))
            .then(|| member.testimony(now))
    }

    /// Records a reply.
    pub fn hear(&mut self, now: Instant, from: IpAddr, testimony: Testimony) -> Finding {
        let Testimony(process, heard_ms, waiting, overdue) = testimony;
        let Some(key) = self.process_key(process) else {
            return Finding::Nothing;
        };
        let longest_gap = self
            .members
            .get(&key)
            .map(|member| self.longest_gap(member));
        let (Some(member), Some(longest_gap)) = (self.members.get_mut(&key), longest_gap) else {
            return Finding::Nothing;
        };
        if let Some(heard) = heard_ms.map(duration::from_millis) {
            let heard_at = now.checked_sub(heard);
            member.answered_elsewhere_at = member.answered_elsewhere_at.max(heard_at);
            if heard <= longest_gap {
                return member.record_answer_elsewhere();
            }
        }
        let Some(question) = &mut member.question else {
            return Finding::Nothing;
        };
        if question.unheard.insert(from) {
            question.waiting = question.waiting.saturating_add(waiting);
            question.overdue = question.overdue.saturating_add(overdue);
        }
        if question.unheard.len() < question.witnesses {
            return Finding::Nothing;
        }
        self.conclude(now, key)
    }

    /// Ends the question that was asked at a moment, if it has not ended yet: no more replies are
    /// waited for. Returns what those show that arrived.
    pub fn end_question(&mut self, now: Instant, key: TargetKey, asked_at: Instant) -> Finding {
        let question = self
            .members
            .get(&key)
            .and_then(|member| member.question.as_ref());
        if question.is_some_and(|question| question.asked_at == asked_at) {
            self.conclude(now, key)
        } else {
            Finding::Nothing
        }
    }

    fn conclude(&mut self, now: Instant, key: TargetKey) -> Finding {
        let limit = self.members.get(&key).and_then(|member| {
            let longest = self.stats(member.service()).longest_service_time()?;
            Some(duration::from_seconds(
                longest * member.slowdown(now).max(1.0),
            ))
        });
        let Some(member) = self.members.get_mut(&key) else {
            return Finding::Nothing;
        };
        let (Some(question), Some(limit)) = (member.question.take(), limit) else {
            return Finding::Nothing;
        };
        if question.unheard.len() * 2 < question.witnesses {
            member.doubted_until = None;
            return Finding::Nothing;
        }
        let Some(silent_for) = member.unheard_for(now) else {
            return Finding::Nothing;
        };
        member.replied_until = Some(now + REPLY_LIFETIME);
        let waiting = member.waiting_requests().saturating_add(question.waiting);
        if waiting >= MIN_SILENT_REQUESTS {
            member.doubt(now);
        }
        let overdue = member.overdue_requests().saturating_add(question.overdue);
        let is_silent = overdue >= MIN_SILENT_REQUESTS && silent_for > limit.max(MIN_SILENCE_LIMIT);
        if !is_silent || !member.report_silent(now) {
            return Finding::Nothing;
        }
        member.silence_told_at = Some(now);
        Finding::Silent(Silence::new(member.process, silent_for))
    }

    /// Returns how long a target that works on all its slots sends no answer to anybody, at most.
    fn longest_gap(&self, member: &Member) -> Duration {
        let processing = self.stats(member.service()).processing_time(true);
        let slots = f64::from(member.registration.slots.max(1));
        duration::from_seconds(processing * GAP_FACTOR / slots).max(MIN_PATIENCE)
    }
}

impl Member {
    /// Time since its last answer to any host that this one knows of, or since the first request
    /// that waits for it, if one does or was given up.
    fn unheard_for(&self, now: Instant) -> Option<Duration> {
        let since = self.silent_since.max(self.answered_elsewhere_at)?;
        (self.waiting_requests() > 0).then(|| now.saturating_duration_since(since))
    }

    /// Requests of this host that wait for it, or were given up there since its last answer.
    fn waiting_requests(&self) -> u32 {
        self.in_flight.saturating_add(self.unanswered)
    }

    /// Requests of this host that have waited for it longer than usual, or were given up there since
    /// its last answer.
    fn overdue_requests(&self) -> u32 {
        self.overdue.saturating_add(self.unanswered)
    }

    /// What this host can say of it.
    fn testimony(&self, now: Instant) -> Testimony {
        let age = self.heard_at.map(|at| now.saturating_duration_since(at));
        let heard_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        let (waiting, overdue) = (self.waiting_requests(), self.overdue_requests());
        Testimony(self.process, heard_ms, waiting, overdue)
    }

    /// Whether other hosts have said lately that they had no answer either. They then decide together
    /// whether it is silent.
    pub(super) fn is_judged_together(&self, now: Instant) -> bool {
        self.replied_until.is_some_and(|until| now < until)
    }

    fn doubt(&mut self, now: Instant) {
        self.doubted_until = Some(now + DOUBT_LIFETIME);
    }

    /// Whether no host that was asked lately has had an answer of it for longer than usual.
    pub(super) fn is_doubted(&self, now: Instant) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// Records that it has just answered another host.
    fn record_answer_elsewhere(&mut self) -> Finding {
        self.question = None;
        self.replied_until = None;
        self.doubted_until = None;
        self.reported_silent_until = None;
        match self.silence_told_at.take() {
            Some(_) => Finding::Answers(Silence(self.process, 0)),
            None => Finding::Nothing,
        }
    }

    /// Whether it has answered another host since this one has waited for an answer.
    pub(super) fn has_answered_elsewhere(&self) -> bool {
        self.answered_elsewhere_at > self.silent_since
    }
}
