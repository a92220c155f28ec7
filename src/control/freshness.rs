//! Tracks since when a host's copy of the store's contents is known to be current.
//!
//! A pending watch proves nothing: the store or the connection may have failed since it was sent,
//! in which case the answer never comes. Only an answer is evidence, and only about the moment at
//! which its request was sent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::port::Kind;

/// Time between an answer and the next request of a host that watches the store.
pub const INTERVAL: Duration = Duration::from_millis(400);
/// How long the store may take to answer until it counts as silent, unless it has been slow. A host
/// that loses the store has to notice, and its followers have to find another source, well before a
/// change has to be in force.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// How many times its expected answer time a slow store may take.
const MAX_ANSWER_FACTOR: u32 = 2;
/// Factor by which the expected answer time falls with each faster answer. Answers vary: it must not
/// be forgotten after a few fast ones that the store is slow.
const ANSWER_TIME_DECAY: f64 = 0.8;

/// How long the store takes for its answers: about the longest of the latest ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    expected: Duration,
}

impl AnswerTime {
    /// Records that the store took so long for an answer.
    pub fn record(&mut self, took: Duration) {
        self.expected = took.max(self.expected.mul_f64(ANSWER_TIME_DECAY));
    }

    /// How long an answer is expected to take at most.
    pub fn expected(&self) -> Duration {
        self.expected
    }

    /// How long an answer may take until the store counts as silent.
    pub fn limit(&self) -> Duration {
        ANSWER_TIMEOUT.max(self.expected * MAX_ANSWER_FACTOR)
    }
}

/// For each kind of objects, when the last request was sent whose answer left the copy complete.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    asked: BTreeMap<Kind, Instant>,
}

impl FreshnessTracker {
    /// Creates a tracker without any evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the answer to a request sent at `asked` left the copy of a kind complete: it
    /// lacks nothing that was acknowledged before.
    pub fn record(&mut self, kind: Kind, asked: Instant) {
        let known = self.asked.entry(kind).or_insert(asked);
        *known = asked.max(*known);
    }

    /// Discards all evidence after the store failed to answer: anything may have changed since.
    pub fn clear(&mut self) {
        self.asked.clear();
    }

    /// The time since the copy of a kind was known to be current.
    pub fn age(&self, now: Instant, kind: Kind) -> Option<Duration> {
        let asked = self.asked.get(&kind)?;
        Some(now.saturating_duration_since(*asked))
    }

    /// The time since the copies of all of `kinds` were known to be current.
    pub fn max_age(&self, now: Instant, kinds: &[Kind]) -> Option<Duration> {
        let ages = kinds.iter().map(|kind| self.age(now, *kind));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Whether all of `kinds` were known to be current less than `term` ago.
    pub fn are_fresh(&self, now: Instant, kinds: &[Kind], term: Duration) -> bool {
        let is_young = |kind: &Kind| self.age(now, *kind).is_some_and(|age| age < term);
        kinds.iter().all(is_young)
    }
}
