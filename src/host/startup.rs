//! Startup, until a host has a copy of the store: it reads all kinds of objects at once, or waits
//! for a copy from a host of its region that has one, and requests wait meanwhile.
//!
//! When all hosts start together, as after a power loss, callers send requests from the first
//! moment. Registering and agreeing on the watchers of the store takes some hundred milliseconds,
//! none of which is needed to serve requests. A rejected caller would have used up one of its few
//! attempts, so its request waits for the few round trips that reading the store takes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::feed::SYNCED_KINDS;
use super::store::{Client, Error};
use super::{log, now, refresh, sync, task, Host};
use crate::border::settings::Switch;
use crate::control::revision::Revision;
use crate::port::{Age, Kind, Settings};

/// Default limit, from the host's start, on how long requests wait: a quarter of the shortest
/// deadlines in use, and some ten times what reading the store takes between regions.
pub const START_WAIT: Duration = Duration::from_millis(600);
/// Interval at which a host checks for a copy that it waits for.
const COPY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the copy read at startup counts as current, until the host watches the store or follows
/// a host that does; also the time allowed for reading it.
const FRESH_FOR: Duration = Duration::from_secs(2);

/// Progress of a host's startup.
pub(crate) struct Startup {
    started: Instant,
    /// How long requests wait, from then on.
    max_wait: Duration,
    /// Since when all kinds of objects are being read.
    reading_since: Cell<Option<Instant>>,
    /// When all kinds of objects had been read successfully.
    read_at: Cell<Option<Instant>>,
    /// Wakes waiting requests.
    updated: Notify,
}

impl Startup {
    /// A host that starts now with these settings.
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let max_wait = match settings.switches.start_read {
            Switch::On => settings.start_wait,
            Switch::Off => Duration::ZERO,
        };
        Self {
            started: now,
            max_wait,
            reading_since: Cell::new(None),
            read_at: Cell::new(None),
            updated: Notify::new(),
        }
    }

    /// Whether the host has just read all kinds of objects itself.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let read_at = self.read_at.get();
        read_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
    }

    /// Whether the host is reading all kinds of objects itself. Meanwhile it takes no copy from
    /// another region.
    pub(crate) fn is_reading(&self, now: Instant) -> bool {
        let since = self.reading_since.get();
        since.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
    }

    /// Wakes requests that wait for a copy of the store, since an update was applied.
    pub(crate) fn notify_update(&self) {
        self.updated.notify_waiters();
    }
}

/// Starts reading the store, unless that is switched off.
pub(crate) fn start(host: &Rc<Host>) {
    if host.settings.switches.start_read == Switch::On {
        task::spawn(host, "startup", run(host.clone()));
    }
}

/// Waits, on a host with few resources, for a copy from another host, if one can be expected.
/// Reading all targets takes such a host's link and processor for longer than it takes a stronger
/// host to read them and pass them on.
async fn await_copy(host: &Host) {
    while !host.has_full_copy() {
        let knows_others = host.has_joined.get();
        if knows_others && !host.core.borrow().presence.awaits_copy(now()) {
            return;
        }
        tokio::time::sleep(COPY_CHECK_INTERVAL).await;
    }
}

/// Reads all kinds of objects at once. Whatever can't be read now arrives later, from the store or
/// from another host.
async fn run(host: Rc<Host>) {
    if !host.settings.strength.is_ample() {
        await_copy(&host).await;
        if host.has_full_copy() {
            return;
        }
    }
    host.startup.reading_since.set(Some(now()));
    let read = |kind: Kind| {
        let host = host.clone();
        async move { sync::list(&host, &mut Client::new(&host), kind, required_age(kind)).await }
    };
    let [config, targets, evacuations] = SYNCED_KINDS.map(read);
    let results = tokio::join!(config, targets, evacuations);
    let results: [_; SYNCED_KINDS.len()] = results.into();
    for (kind, result) in SYNCED_KINDS.iter().zip(&results) {
        if let Err(error) = result {
            spdlog::info!("begin: {kind:?} could not be read yet: {error}");
        }
    }
    let newest = results.iter().flatten().max().copied();
    let is_complete = results.iter().all(Result::is_ok);
    let is_current = is_complete && catch_up_stale_copies(&host, newest).await;
    host.startup.reading_since.set(None);
    if is_current {
        host.startup.read_at.set(Some(now()));
        sync::update_store_view(&host).await;
    }
}

/// Queries the changes of kinds whose first copy is older than the `newest` revision that the store
/// has shown. Returns whether all copies include that revision: a stale copy may list targets that
/// left seconds ago, and does not count as current.
async fn catch_up_stale_copies(host: &Rc<Host>, newest: Option<Revision>) -> bool {
    for kind in SYNCED_KINDS {
        let known = host.core.borrow().replica.revision(kind);
        log::first_copy(kind, known, newest);
        if known >= newest || required_age(kind) == Age::Latest {
            continue;
        }
        let _lock = host.watch_state.lock_kind(kind).await;
        let mut client = Client::new(host);
        let caught_up = refresh::catch_up(host, &mut client, kind);
        let result = tokio::time::timeout(FRESH_FOR, caught_up).await;
        if let Err(error) = result.unwrap_or(Err(Error::Timeout)) {
            spdlog::info!("begin: the changes of {kind:?} could not be read yet: {error}");
            return false;
        }
    }
    true
}

/// How stale the objects read at startup may be. There are many targets, and all hosts may start at
/// once: for a stale read the store charges only a hundred calls out of a thousand. Changes since
/// then are queried afterwards.
fn required_age(kind: Kind) -> Age {
    match kind {
        Kind::Targets => Age::Some,
        Kind::Config | Kind::Evacuations | Kind::Hosts => Age::Latest,
    }
}

/// Waits until the host has a copy of the store, but no longer than startup may take.
pub(crate) async fn wait_for_copy(host: &Host) {
    let until = host.startup.started + host.startup.max_wait;
    while !host.has_full_copy() {
        let updated = host.startup.updated.notified();
        if tokio::time::timeout_at(until.into(), updated)
            .await
            .is_err()
        {
            return;
        }
    }
}
