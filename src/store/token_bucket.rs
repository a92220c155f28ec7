//! A token bucket that limits the rate of a host's calls to the platform.

use std::time::{Duration, Instant};

use crate::duration;

/// A token bucket with one token per call. It starts full.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// Allows `rate` calls per second on average and up to `burst` at once. The rate is raised to at
    /// least one token per hour and the burst to at least one token, so that every wait ends.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate: rate.max(1.0 / 3600.0),
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Takes a token for a call at `now`.
    ///
    /// # Errors
    ///
    /// The time until a token is available; no token is taken.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |refilled_at| {
            now.saturating_duration_since(refilled_at)
        });
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.refilled_at = Some(
            self.refilled_at
                .map_or(now, |refilled_at| refilled_at.max(now)),
        );
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        // Rounded up, so that a caller that waits this long finds a token despite rounding errors.
        let wait = duration::from_seconds((1.0 - self.tokens) / self.rate);
        Err(wait + Duration::from_micros(1))
    }
}
