//! The client behind a rate budget and a circuit breaker: what all of a host shares.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use serde::Serialize;
use serde_json::Value;

use super::backoff::Backoff;
use super::breaker::Breaker;
use super::client::{Client, Condition, Error, Events, Host, Listing, Versioned, Written};
use super::token_bucket::TokenBucket;

/// Calls a second that one host may make, on average.
const DEFAULT_RATE: f64 = 20.0;
/// Calls that one host may make at once.
const DEFAULT_BURST: f64 = 100.0;
/// Failures in a row that open the breaker.
const DEFAULT_THRESHOLD: u32 = 5;
/// Time after which a trial call without an end is given up.
const DEFAULT_TRIAL: Duration = Duration::from_secs(5);
/// Shortest time for which the breaker stays open.
const DEFAULT_FIRST: Duration = Duration::from_millis(200);
/// Longest time for which the breaker stays open.
const DEFAULT_MOST: Duration = Duration::from_secs(10);
/// Longest time that a call waits for its token; beyond it the call fails unsent.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A client whose calls are counted against one budget and one breaker. Clones share both.
#[derive(Clone, Debug)]
pub struct GuardedClient {
    client: Client,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    budget: TokenBucket,
    breaker: Breaker,
    rng: StdRng,
}

impl GuardedClient {
    /// Puts the default budget and breaker before `client`; jitter is seeded by the system.
    pub fn new(client: Client) -> Self {
        let backoff = Backoff::new(DEFAULT_FIRST, DEFAULT_MOST);
        Self {
            client,
            shared: Arc::new(Mutex::new(Shared {
                budget: TokenBucket::new(DEFAULT_RATE, DEFAULT_BURST),
                breaker: Breaker::new(DEFAULT_THRESHOLD, DEFAULT_TRIAL, backoff),
                rng: rand::make_rng(),
            })),
        }
    }

    /// Sets the budget, in place of the one shared so far.
    pub fn with_budget(self, budget: TokenBucket) -> Self {
        self.lock().budget = budget;
        self
    }

    /// Sets the breaker, in place of the one shared so far.
    pub fn with_breaker(self, breaker: Breaker) -> Self {
        self.lock().breaker = breaker;
        self
    }

    /// See [`Client::get`].
    ///
    /// # Errors
    ///
    /// As [`Client::get`]; [`Error::Unsent`] also when the budget or the breaker forbids the call.
    pub fn get(&self, key: &str) -> Result<Option<Versioned<Value>>, Error> {
        self.call(|client| client.get(key))
    }

    /// See [`Client::put`].
    ///
    /// # Errors
    ///
    /// As [`Client::put`]; [`Error::Unsent`] also when the budget or the breaker forbids the call.
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
        self.enter()?;
        let result = call(&self.client);
        let outage = result.as_ref().err().is_some_and(Error::is_outage);
        let mut shared = self.lock();
        if outage {
            let Shared { breaker, rng, .. } = &mut *shared;
            breaker.fail(Instant::now(), rng);
        } else {
            shared.breaker.succeed();
        }
        result
    }

    fn enter(&self) -> Result<(), Error> {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            let now = Instant::now();
            let wait = {
                let mut shared = self.lock();
                match shared.budget.take(now) {
                    Ok(()) => {
                        return shared.breaker.enter(now).map_err(|wait| {
                            unsent(format!("circuit open for {} ms", wait.as_millis()))
                        })
                    }
                    Err(wait) => wait,
                }
            };
            if now + wait > deadline {
                return Err(unsent("over the rate budget".into()));
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
