//! How often a caller tries again before it gives up.

use std::time::Duration;

use super::backoff::Backoff;
use super::client::Error;

/// Wait after the first failure.
const DEFAULT_FIRST: Duration = Duration::from_millis(50);
/// Longest wait between two tries.
const DEFAULT_MOST: Duration = Duration::from_secs(2);
/// Failures in a row that are let pass, unless [`RetryPolicy::new`] sets another number.
const DEFAULT_TRIES: u32 = 8;

/// Failures in a row that are let pass, with the waits after them. Blocks the calling thread.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    tries: u32,
    backoff: Backoff,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new(DEFAULT_TRIES, Backoff::new(DEFAULT_FIRST, DEFAULT_MOST))
    }
}

impl RetryPolicy {
    /// Lets `tries` failures in a row pass and waits after each as long as `backoff` says.
    pub fn new(tries: u32, backoff: Backoff) -> Self {
        Self { tries, backoff }
    }

    /// Lets no failure pass.
    pub fn none() -> Self {
        Self::new(0, Backoff::new(Duration::ZERO, Duration::ZERO))
    }

    /// Waits after a failure, or hands it back when no try is left.
    pub fn spend<E>(&mut self, error: E) -> Result<(), E> {
        if self.backoff.failures() >= self.tries {
            return Err(error);
        }
        std::thread::sleep(self.backoff.fail(&mut rand::rng()));
        Ok(())
    }

    /// As patient as at first.
    pub fn renewed(&self) -> Self {
        let mut renewed = self.clone();
        renewed.backoff.reset();
        renewed
    }

    /// Makes a call that may be made twice, again and again while the platform fails.
    ///
    /// # Errors
    ///
    /// The call's last error.
    pub fn insist<T>(&mut self, mut call: impl FnMut() -> Result<T, Error>) -> Result<T, Error> {
        loop {
            match call() {
                Err(e) if e.is_outage() => self.spend(e)?,
                other => {
                    self.backoff.reset();
                    return other;
                }
            }
        }
    }
}
