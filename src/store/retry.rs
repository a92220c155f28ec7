//! Retries of calls that failed because the platform is unavailable.

use std::time::Duration;

use super::backoff::Backoff;
use super::client::Error;

/// Wait after the first failure.
const DEFAULT_INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts.
const DEFAULT_MAX_DELAY: Duration = Duration::from_secs(2);
/// Retries after consecutive failures, unless [`RetryPolicy::new`] sets another number.
const DEFAULT_MAX_RETRIES: u32 = 8;

/// A limited number of retries after consecutive failures, with a delay before each. Its methods
/// block the calling thread.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    max_retries: u32,
    backoff: Backoff,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new(
            DEFAULT_MAX_RETRIES,
            Backoff::new(DEFAULT_INITIAL_DELAY, DEFAULT_MAX_DELAY),
        )
    }
}

impl RetryPolicy {
    /// Allows `max_retries` retries after consecutive failures, each after the next delay of
    /// `backoff`.
    pub fn new(max_retries: u32, backoff: Backoff) -> Self {
        Self {
            max_retries,
            backoff,
        }
    }

    /// Allows no retry.
    pub fn none() -> Self {
        Self::new(0, Backoff::new(Duration::ZERO, Duration::ZERO))
    }

    /// Waits before the retry that follows `error`, or returns `error` if no retry is left.
    pub fn wait_after<E>(&mut self, error: E) -> Result<(), E> {
        if self.backoff.failures() >= self.max_retries {
            return Err(error);
        }
        std::thread::sleep(self.backoff.next_delay(&mut rand::rng()));
        Ok(())
    }

    /// Returns a copy with its count of failures reset.
    pub fn renewed(&self) -> Self {
        let mut renewed = self.clone();
        renewed.backoff.reset();
        renewed
    }

    /// Makes an idempotent call and retries it while it fails because of an outage of the platform.
    /// Any other result is returned and resets the count of failures.
    ///
    /// # Errors
    ///
    /// The call's last error.
    pub fn retry_outages<T>(
        &mut self,
        mut call: impl FnMut() -> Result<T, Error>,
    ) -> Result<T, Error> {
        loop {
            match call() {
                Err(e) if e.is_outage() => self.wait_after(e)?,
                other => {
                    self.backoff.reset();
                    return other;
                }
            }
        }
    }
}
