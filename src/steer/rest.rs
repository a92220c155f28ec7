//! The time for which a target wants no requests from this host, and its return afterwards.
//!
//! Each answer that asks for a rest starts one; the latest end counts. The target was overloaded,
//! and all callers that were refused meanwhile return together. So its load returns in steps:
//! first one request, then with each answer one more at the same time.

use std::time::{Duration, Instant};

use crate::duration;

/// The rest of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    /// The end of the rest; `None` if there was none since the load has returned completely.
    until: Option<Instant>,
    /// Answers since the end of the rest.
    answers: u32,
}

impl Rest {
    /// Starts a rest of `time`. Returns whether the target was not resting before.
    pub fn begin(&mut self, now: Instant, time: Duration) -> bool {
        let was_resting = self.time_left(now).is_some();
        let until = duration::after(now, time);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
        self.answers = 0;
        !was_resting
    }

    /// Returns the time until the end of the rest, while there is one.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether there is a rest, or the load has not returned completely since.
    pub fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Returns the number of requests that the target may have at the same time, if it is limited.
    pub fn max_in_flight(&self, now: Instant) -> Option<u32> {
        self.until?;
        Some(match self.time_left(now) {
            Some(_) => 0,
            None => self.answers.saturating_add(1),
        })
    }

    /// Records that the target answered a request. Its load has returned completely once it may
    /// have `max_in_flight` requests.
    pub fn record_answer(&mut self, now: Instant, max_in_flight: u32) {
        if self.time_left(now).is_some() {
            return;
        }
        self.answers = self.answers.saturating_add(1);
        if self.answers >= max_in_flight {
            *self = Self::default();
        }
    }
}
