//! A circuit breaker: rejects calls to a failing platform and lets single trial calls through until
//! one succeeds.

use std::time::{Duration, Instant};

use rand::Rng;

use super::backoff::Backoff;

/// State of the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Calls are allowed.
    Closed,
    /// Calls are rejected until this time.
    Open(Instant),
    /// A trial call began at this time; other calls are rejected until it ends.
    HalfOpen(Instant),
}

/// A circuit breaker that opens after consecutive failures.
#[derive(Clone, Debug)]
pub struct Breaker {
    threshold: u32,
    trial_timeout: Duration,
    failures: u32,
    backoff: Backoff,
    state: State,
}

impl Breaker {
    /// Opens after `threshold` consecutive failures, each time for the next delay of `backoff`. A
    /// trial call that has not ended within `trial_timeout` counts as lost, and another may begin.
    pub fn new(threshold: u32, trial_timeout: Duration, backoff: Backoff) -> Self {
        Self {
            threshold: threshold.max(1),
            trial_timeout,
            failures: 0,
            backoff,
            state: State::Closed,
        }
    }

    /// The state as of the last recorded event; an open state may have expired since.
    pub fn state(&self) -> State {
        self.state
    }

    /// Requests permission for a call at `now`. After `Ok`, the caller reports the call's result with
    /// [`Breaker::record_success`] or [`Breaker::record_failure`].
    ///
    /// # Errors
    ///
    /// The time to wait before the next request for permission.
    pub fn begin_call(&mut self, now: Instant) -> Result<(), Duration> {
        let until = match self.state {
            State::Closed => return Ok(()),
            State::Open(until) => until,
            State::HalfOpen(since) => since + self.trial_timeout,
        };
        if now < until {
            return Err(until - now);
        }
        self.state = State::HalfOpen(now);
        Ok(())
    }

    /// Records that the platform answered a call, even if it rejected it.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff.reset();
        self.state = State::Closed;
    }

    /// Records a call without an answer, or with one that reports a fault of the platform itself.
    pub fn record_failure(&mut self, now: Instant, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let opens = match self.state {
            State::Closed => self.failures >= self.threshold,
            State::HalfOpen(_) => true,
            // The call began before the breaker opened, so its failure changes nothing.
            State::Open(_) => false,
        };
        if opens {
            self.state = State::Open(now + self.backoff.next_delay(rng));
        }
    }
}
