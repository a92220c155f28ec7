//! How many calls a host may make to the platform: a token bucket.

use std::time::{Duration, Instant};

/// A token bucket. It starts full.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Option<Instant>,
}

impl TokenBucket {
    /// Allows `rate` calls a second on average and up to `burst` at once. Both are taken as at
    /// least a token an hour and one token, so that a wait always ends.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate: rate.max(1.0 / 3600.0),
            burst,
            tokens: burst,
            filled: None,
        }
    }

    /// Takes a token for a call at `now`.
    ///
    /// # Errors
    ///
    /// The time until there is a token, when there is none; nothing is taken then.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let since = self.filled.map_or(Duration::ZERO, |filled| {
            now.saturating_duration_since(filled)
        });
        self.tokens = (self.tokens + since.as_secs_f64() * self.rate).min(self.burst);
        self.filled = Some(self.filled.map_or(now, |filled| filled.max(now)));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        // Rounded up, so that a caller who waits as long as told finds its token.
        let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.rate);
        Err(wait + Duration::from_micros(1))
    }
}
