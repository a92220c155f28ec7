//! How long to wait after failures: exponential with jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Doublings after which the wait has surely reached any sensible ceiling.
const MAX_DOUBLINGS: u32 = 30;

/// Waits that double with each failure, up to a ceiling.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits about `first` after one failure and never longer than `most`.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and draws the wait that follows it: between half of the exponential wait
    /// and all of it, so that hosts that failed together come back apart.
    pub fn fail(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let wait = self.first.saturating_mul(1 << doublings).min(self.most);
        wait.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
