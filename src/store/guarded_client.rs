//! A client of the platform with a rate limit and a circuit breaker, both shared by its clones.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use serde::Serialize;
use serde_json::Value;

use super::backoff::Backoff;
use super::breaker::Breaker;
use super::client::{Client, Condition, Error, Events, Host, Listing, Versioned, Written};
use super::token_bucket::TokenBucket;

/// Average limit on calls, per second.
const DEFAULT_CALLS_PER_S: f64 = 20.0;
/// Limit on calls in a burst.
const DEFAULT_BURST_CALLS: f64 = 100.0;
/// Consecutive failures that open the breaker.
const DEFAULT_FAILURE_THRESHOLD: u32 = 5;
/// Time after which a trial call that has not ended counts as lost.
const DEFAULT_TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which the breaker stays open the first time, before jitter.
const DEFAULT_INITIAL_OPEN_TIME: Duration = Duration::from_millis(200);
/// Maximum time for which the breaker stays open.
const DEFAULT_MAX_OPEN_TIME: Duration = Duration::from_secs(10);
/// Maximum time for which a call waits for a token of the rate limit. A call that would wait longer
/// fails with [`Error::Unsent`].
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);

/// A client whose calls pass a rate limit and a circuit breaker. Clones share both.
#[derive(Clone, Debug)]
pub struct GuardedClient {
    client: Client,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    rate_limit: TokenBucket,
    breaker: Breaker,
    rng: StdRng,
}

impl GuardedClient {
    /// Wraps `client` with the default rate limit and breaker. The jitter is seeded by the operating
    /// system.
    pub fn new(client: Client) -> Self {
        let backoff = Backoff::new(DEFAULT_INITIAL_OPEN_TIME, DEFAULT_MAX_OPEN_TIME);
        Self {
            client,
            shared: Arc::new(Mutex::new(Shared {
                rate_limit: TokenBucket::new(DEFAULT_CALLS_PER_S, DEFAULT_BURST_CALLS),
                breaker: Breaker::new(DEFAULT_FAILURE_THRESHOLD, DEFAULT_TRIAL_TIMEOUT, backoff),
                rng: rand::make_rng(),
            })),
        }
    }

    /// Replaces the rate limit, for all clones.
    pub fn with_rate_limit(self, rate_limit: TokenBucket) -> Self {
        self.lock().rate_limit = rate_limit;
        self
    }

    /// Replaces the circuit breaker, for all clones.
    pub fn with_breaker(self, breaker: Breaker) -> Self {
        self.lock().breaker = breaker;
        self
    }

    /// See [`Client::get`].
    ///
    /// # Errors
    ///
    /// As [`Client::get`]; [`Error::Unsent`] also when the rate limit or the breaker rejects the call.
    pub fn get(&self, key: &str) -> Result<Option<Versioned<Value>>, Error> {
        self.call(|client| client.get(key))
    }

    /// See [`Client::put`].
    ///
    /// # Errors
    ///
    /// As [`Client::put`]; [`Error::Unsent`] also when the rate limit or the breaker rejects the call.
    pub fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<Written, Error> {
        self.call(|client| client.put(key, value, condition))
    }

    /// See [`Client::delete`].
    ///
    /// # Errors
    ///
    /// As [`GuardedClient::put`].
    pub fn delete(&self, key: &str, version: u64) -> Result<(), Error> {
        self.call(|client| client.delete(key, version))
    }

    /// See [`Client::list`].
    ///
    /// # Errors
    ///
    /// As [`GuardedClient::get`].
    pub fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.call(|client| client.list(prefix))
    }

    /// See [`Client::watch`].
    ///
    /// # Errors
    ///
    /// As [`GuardedClient::get`].
    pub fn watch(&self, prefix: &str, after: u64, timeout: Duration) -> Result<Events, Error> {
        self.call(|client| client.watch(prefix, after, timeout))
    }

    /// See [`Client::hosts`].
    ///
    /// # Errors
    ///
    /// As [`GuardedClient::get`].
    pub fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.call(Client::hosts)
    }

    fn call<T>(&self, call: impl FnOnce(&Client) -> Result<T, Error>) -> Result<T, Error> {
        self.wait_for_permission()?;
        let result = call(&self.client);
        let is_outage = result.as_ref().err().is_some_and(Error::is_outage);
        let mut shared = self.lock();
        if is_outage {
            let Shared { breaker, rng, .. } = &mut *shared;
            breaker.record_failure(Instant::now(), rng);
        } else {
            shared.breaker.record_success();
        }
        result
    }

    fn wait_for_permission(&self) -> Result<(), Error> {
        let deadline = Instant::now() + MAX_TOKEN_WAIT;
        loop {
            let now = Instant::now();
            let wait = {
                let mut shared = self.lock();
                match shared.rate_limit.take(now) {
                    Ok(()) => {
                        return shared.breaker.begin_call(now).map_err(|wait| {
                            unsent(format!("circuit open for {} ms", wait.as_millis()))
                        })
                    }
                    Err(wait) => wait,
                }
            };
            if now + wait > deadline {
                return Err(unsent("rate limit exceeded".into()));
            }
            std::thread::sleep(wait);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unsent(reason: String) -> Error {
    Error::Unsent {
        reason: reason.into(),
    }
}
