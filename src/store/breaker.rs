//! A circuit breaker: stops calls to a platform that fails, and tries single ones until it is back.

use std::time::{Duration, Instant};

use rand::Rng;

use super::backoff::Backoff;

/// Whether calls go through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// They do.
    Closed,
    /// They do not until then.
    Open(Instant),
    /// One is on trial, begun then; the others wait for its end.
    HalfOpen(Instant),
}

/// The circuit breaker.
#[derive(Clone, Debug)]
pub struct Breaker {
    threshold: u32,
    trial: Duration,
    failures: u32,
    backoff: Backoff,
    state: State,
}

impl Breaker {
    /// Opens after `threshold` failures in a row, for as long as `backoff` says. A trial that has
    /// not ended after `trial` is taken as lost and another may begin.
    pub fn new(threshold: u32, trial: Duration, backoff: Backoff) -> Self {
        Self {
            threshold: threshold.max(1),
            trial,
            failures: 0,
            backoff,
            state: State::Closed,
        }
    }

    /// Whether calls go through, as of the last event.
    pub fn state(&self) -> State {
        self.state
    }

    /// Asks to make a call at `now`. Who gets leave reports the end by [`Breaker::succeed`] or
    /// [`Breaker::fail`].
    ///
    /// # Errors
    ///
    /// The time until it makes sense to ask again.
    pub fn enter(&mut self, now: Instant) -> Result<(), Duration> {
        let until = match self.state {
            State::Closed => return Ok(()),
            State::Open(until) => until,
            State::HalfOpen(since) => since + self.trial,
        };
        if now < until {
            return Err(until - now);
        }
        self.state = State::HalfOpen(now);
        Ok(())
    }

    /// A call had an answer, whatever it said.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.backoff.reset();
        self.state = State::Closed;
    }

    /// A call had no answer, or one that says that the platform itself failed.
    pub fn fail(&mut self, now: Instant, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let trips = match self.state {
            State::Closed => self.failures >= self.threshold,
            State::HalfOpen(_) => true,
            // A call from before the breaker opened: it says nothing new.
            State::Open(_) => false,
        };
        if trips {
            self.state = State::Open(now + self.backoff.fail(rng));
        }
    }
}
