//! Watches how old this host's copy of the store is, and keeps which attempts chose their target from
//! an old copy: if the target had left by then, they show it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::feed::{FeedError, SYNCED_KINDS};
use super::{log, Host};

/// Age from which a copy counts as old. A request that reaches a target too late because of an old
/// copy was sent on one that is older, as a change has 2.5 s at the least to be in force.
pub(crate) const STALE_AGE: Duration = Duration::from_secs(2);
/// Attempts that are kept, of all targets.
const MAX_ATTEMPTS: usize = 256;

/// An attempt whose target was chosen from an old copy.
pub(crate) struct StaleAttempt {
    target: Arc<str>,
    pub(crate) request: Option<Arc<str>>,
    /// The age of the copy.
    pub(crate) age: Duration,
}

/// The last attempts whose targets were chosen from an old copy.
#[derive(Default)]
pub(crate) struct StaleAttempts(VecDeque<StaleAttempt>);

impl StaleAttempts {
    pub(crate) fn add(&mut self, target: &Arc<str>, request: Option<&Arc<str>>, age: Duration) {
        if self.0.len() >= MAX_ATTEMPTS {
            self.0.pop_front();
        }
        self.0.push_back(StaleAttempt {
            target: target.clone(),
            request: request.cloned(),
            age,
        });
    }

    /// Takes the attempts at a target.
    pub(crate) fn take(&mut self, target: &str) -> Vec<StaleAttempt> {
        let is_taken = |attempt: &StaleAttempt| &*attempt.target == target;
        let attempts = std::mem::take(&mut self.0).into_iter();
        let (taken, kept): (Vec<_>, Vec<_>) = attempts.partition(is_taken);
        self.0 = kept.into();
        taken
    }

    fn clear(&mut self) {
        self.0 = VecDeque::new();
    }
}

/// Whether this host's copy of the store is old.
#[derive(Default)]
pub(crate) struct Staleness {
    /// The greatest age of the copy since it has been old.
    max_age: Cell<Option<Duration>>,
    /// The last host that was followed, and how that ended.
    last_source: RefCell<Option<(SocketAddr, String)>>,
}

impl Staleness {
    /// Records that the feed of a host has ended.
    pub(crate) fn record_end(&self, source: SocketAddr, error: &FeedError) {
        *self.last_source.borrow_mut() = Some((source, error.to_string()));
    }

    /// The last host that was followed, and how that ended; empty if there was none.
    pub(crate) fn last_source(&self) -> (String, String) {
        let last = self.last_source.borrow();
        let last = last.as_ref();
        last.map_or_else(Default::default, |(source, error)| {
            (source.to_string(), error.clone())
        })
    }
}

/// Logs when the copy of the store becomes old, and when it is current again.
pub(crate) fn update(host: &Host, now: Instant) {
    let age = host.core.borrow().confirmations.max_age(now, &SYNCED_KINDS);
    // A host that has no copy yet is starting.
    let Some(age) = age else { return };
    let is_stale = age >= STALE_AGE;
    let max_age = &host.staleness.max_age;
    match max_age.get() {
        None if is_stale => {
            max_age.set(Some(age));
            log::copy_stale(host, true, age);
        }
        Some(known) if is_stale => max_age.set(Some(known.max(age))),
        Some(known) => {
            max_age.set(None);
            log::copy_stale(host, false, known);
            host.core.borrow_mut().stale_attempts.clear();
        }
        None => {}
    }
}
