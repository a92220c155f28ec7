//! When a host that follows others asks the platform's store itself.
//!
//! A follower learns of changes from one other host, and looks for another one when that is lost. Any
//! number of hosts may be lost at once, and each is found out by itself. So what a follower knows does
//! not depend on that search: once its copy has not been confirmed for some time, it queries the store,
//! until it has a source again.

use std::time::{Duration, Instant};

/// Age of the copy at which a connection to the store is opened, so that the time that this takes
/// does not add to the rest. A source confirms the copy more often, also if a packet is lost.
pub const CONNECT_AGE: Duration = Duration::from_millis(800);
/// Age of the copy at which the store is queried: enough to find another source in place of one that
/// has ended, which takes some round trips, without a call to the store.
pub const QUERY_AGE: Duration = Duration::from_millis(1300);
/// A gap between two decisions of more than this means that this process was paused. What it
/// received meanwhile has not been read yet.
const PAUSE: Duration = Duration::from_millis(300);
/// Time after which a query whose end was not recorded has ended.
const MAX_QUERY_TIME: Duration = Duration::from_secs(8);

/// What a host does about its copy of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// It opens a connection to the store.
    Connect,
    /// It queries the store.
    Query,
}

/// Decides when a follower queries the store.
#[derive(Clone, Debug, Default)]
pub struct Fallback {
    last_decision: Option<Instant>,
    /// When the query that runs was begun.
    queried_at: Option<Instant>,
    /// When the store may be queried again after it did not answer.
    retry_at: Option<Instant>,
}

impl Fallback {
    /// Creates the state of a host that has not queried the store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides what to do while the copy has not been confirmed for `age`.
    pub fn decide(&mut self, now: Instant, age: Duration) -> Action {
        let last = self.last_decision.replace(now);
        let was_paused = last.is_none_or(|at| now.saturating_duration_since(at) > PAUSE);
        if age < CONNECT_AGE || was_paused {
            return Action::Wait;
        }
        let has_passed = |at: Instant| now >= at;
        let has_ended = self
            .queried_at
            .is_none_or(|at| has_passed(at + MAX_QUERY_TIME));
        let may_query = has_ended && self.retry_at.is_none_or(has_passed);
        if age < QUERY_AGE || !may_query {
            return Action::Connect;
        }
        self.queried_at = Some(now);
        Action::Query
    }

    /// Records the end of a query. One that failed is repeated after `retry_interval` at the
    /// earliest: if the store itself is away, all hosts would call it.
    pub fn record_end(&mut self, now: Instant, has_answered: bool, retry_interval: Duration) {
        self.queried_at = None;
        self.retry_at = (!has_answered).then(|| now + retry_interval);
    }
}
