//! What a host does before it knows what the store holds: it reads all kinds at once, or waits for a copy from a host of its region
//! that does, and requests wait.
//!
//! When all hosts start together, as after a loss of power, callers are there from the first moment. To register
//! and to agree on who watches the store takes some hundred milliseconds; a host needs none of that to serve. A caller
//! that is refused meanwhile has used up one of its few attempts, so its request waits for what takes a few round trips.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::feed::KINDS;
use super::store::Client;
use super::{now, sync, Host};
use crate::border::settings::Switch;
use crate::port::{Age, Kind, Settings};

/// How long a request waits at most from the start of the host on, unless the settings say otherwise: a quarter of
/// the shortest deadlines in use, and some ten times what reading the store takes between regions.
pub const WAIT: Duration = Duration::from_millis(600);
/// Time between two looks for a copy that a host waits for.
const LOOK: Duration = Duration::from_millis(50);
/// How long what was read at the start counts as seen, until the host watches the store or follows a host that does; and how
/// long that may take.
const FRESH: Duration = Duration::from_secs(2);

/// How far a host has come since its start.
pub(crate) struct Begin {
    started: Instant,
    /// How long requests wait from then on.
    wait: Duration,
    /// Since when all kinds are being read.
    reads: Cell<Option<Instant>>,
    /// When all kinds were read, if that went well.
    read: Cell<Option<Instant>>,
    /// Wakes requests that wait.
    learnt: Notify,
}

impl Begin {
    /// A host that starts now with these settings.
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let wait = match settings.switches.start_read {
            Switch::On => settings.start_wait,
            Switch::Off => Duration::ZERO,
        };
        Self {
            started: now,
            wait,
            reads: Cell::new(None),
            read: Cell::new(None),
            learnt: Notify::new(),
        }
    }

    /// Whether the host has just read for itself what the store holds.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let read = self.read.get();
        read.is_some_and(|at| now.saturating_duration_since(at) < FRESH)
    }

    /// Whether the host is about to know by itself what the store holds. Meanwhile it takes no copy from another region.
    pub(crate) fn is_reading(&self, now: Instant) -> bool {
        let since = self.reads.get();
        since.is_some_and(|at| now.saturating_duration_since(at) < FRESH)
    }

    /// Tells requests that wait that something was learnt.
    pub(crate) fn learn(&self) {
        self.learnt.notify_waiters();
    }
}

/// Reads what the store holds, unless that is switched off.
pub(crate) fn start(host: &Rc<Host>) {
    if host.settings.switches.start_read == Switch::On {
        tokio::task::spawn_local(run(host.clone()));
    }
}

/// Lets a weak host wait until it has a copy, or there is none to be expected. Reading all targets takes a weak host's link and
/// processor for longer than it takes a strong one to do so and to pass them on.
async fn await_copy(host: &Host) {
    while !host.knows_store() {
        let knows_others = host.joined.get();
        if knows_others && !host.core.borrow().presence.awaits_copy(now()) {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads all kinds of objects at once. What can't be read now comes later, from the store or from another host.
async fn run(host: Rc<Host>) {
    if !host.settings.strength.is_ample() {
        await_copy(&host).await;
        if host.knows_store() {
            return;
        }
    }
    host.begin.reads.set(Some(now()));
    let read = |kind: Kind| {
        let host = host.clone();
        async move { sync::list(&host, &mut Client::new(&host), kind, age(kind)).await }
    };
    let [config, targets, evacuations] = KINDS.map(read);
    let results = tokio::join!(config, targets, evacuations);
    let results: [_; KINDS.len()] = results.into();
    for (kind, result) in KINDS.iter().zip(&results) {
        if let Err(error) = result {
            spdlog::info!("begin: {kind:?} could not be read yet: {error}");
        }
    }
    host.begin.reads.set(None);
    if results.iter().all(Result::is_ok) {
        host.begin.read.set(Some(now()));
        sync::note_sight(&host).await;
    }
}

/// How old what is read at the start may be. There are many targets, and all hosts may start at once: of a thousand calls
/// for them only a hundred are charged so. What has changed meanwhile comes with the first changes that the host follows.
fn age(kind: Kind) -> Age {
    match kind {
        Kind::Targets => Age::Some,
        Kind::Config | Kind::Evacuations | Kind::Hosts => Age::Latest,
    }
}

/// Waits until the host knows what the store holds, but not for longer than a start takes.
pub(crate) async fn known(host: &Host) {
    let until = host.begin.started + host.begin.wait;
    while !host.knows_store() {
        let learnt = host.begin.learnt.notified();
        if tokio::time::timeout_at(until.into(), learnt).await.is_err() {
            return;
        }
    }
}
