//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Limit on doublings, which keeps the factor within 32 bits. Any sensible maximum delay is reached
/// earlier.
const MAX_DOUBLINGS: u32 = 30;

/// Delays that double with each consecutive failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// The delay is up to `initial` after one failure and never above `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Consecutive failures since the last [`Backoff::reset`].
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and draws the delay before the next attempt: between half and all of the
    /// exponential delay, so that hosts that failed at the same time do not retry at the same time.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = self.initial.saturating_mul(1 << doublings).min(self.max);
        delay.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
