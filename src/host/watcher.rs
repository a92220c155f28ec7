//! Whether a host watches the store itself, and what it sees there.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::sync::{Mutex, MutexGuard, Notify};

use super::feed::KINDS;
use super::inquiry::{Inquiry, TERM};
use super::{log, Host};
use crate::control::freshness::FreshnessTracker;
use crate::port::Kind;

/// How long it is decided so until a host leaves the watching to others.
const END: Duration = Duration::from_millis(1500);
/// The part of the time between two looks of a host within which its first one falls.
const FIRST: f64 = 0.25;
/// How long the pauses between two looks of a host are, in parts of the time that they are to be in the mean.
const PAUSES: Range<f64> = 0.5..1.5;
/// How long a host tries to watch a store that it reached so.
const REACHED: Duration = Duration::from_secs(3);

/// Kinds of objects that are watched, beside those that are listed with each question.
pub(super) const WATCHED: [Kind; 2] = [Kind::Config, Kind::Targets];

/// What a host that watches the store knows of its own watching.
#[derive(Default)]
pub(crate) struct Watching {
    is_on: Cell<bool>,
    evidence: RefCell<FreshnessTracker>,
    /// Whether the store answered the last question.
    pub(super) answers: Cell<bool>,
    /// A look at the store was answered.
    pub(super) reached: Notify,
    /// The last configuration could not be read.
    pub(super) config_unread: Cell<bool>,
    /// Held while a kind is brought up to date, so that it is not read twice at once.
    turns: BTreeMap<Kind, Mutex<()>>,
    /// Tells the watch of a kind to be asked anew, on another connection.
    renewals: BTreeMap<Kind, Notify>,
}

impl Watching {
    pub(super) fn new() -> Self {
        Self {
            turns: WATCHED.map(|kind| (kind, Mutex::default())).into(),
            renewals: WATCHED.map(|kind| (kind, Notify::new())).into(),
            ..Self::default()
        }
    }

    /// Begins to watch; a look may just have shown that the copy is current.
    pub(super) fn begin(&self, now: Instant) {
        self.is_on.set(true);
        self.answers.set(self.sees(now));
    }

    /// Leaves the watching to others.
    pub(super) fn end(&self) {
        self.is_on.set(false);
        self.answers.set(false);
        self.forget();
    }

    /// The copy of a kind is as new as the store was at `asked`.
    pub(super) fn show(&self, kind: Kind, asked: Instant) {
        self.evidence.borrow_mut().record(kind, asked);
    }

    /// The store did not answer.
    pub(super) fn forget(&self) {
        self.evidence.borrow_mut().clear();
    }

    /// Whether the host watches the store and its copy is surely current, up to the time that questions take.
    pub(super) fn sees(&self, now: Instant) -> bool {
        self.is_on.get() && self.evidence.borrow().are_fresh(now, &KINDS, TERM)
    }

    /// Waits for the turn to bring a kind up to date.
    pub(super) async fn turn(&self, kind: Kind) -> Option<MutexGuard<'_, ()>> {
        match self.turns.get(&kind) {
            Some(turn) => Some(turn.lock().await),
            None => None,
        }
    }

    /// The watch of a kind is to be asked anew.
    pub(super) fn renew(&self, kind: Kind) {
        if let Some(renewal) = self.renewals.get(&kind) {
            renewal.notify_waiters();
        }
    }

    /// All watches are to be asked anew.
    pub(super) fn renew_all(&self) {
        self.renewals.values().for_each(Notify::notify_waiters);
    }

    /// Waits until the watch of a kind is to be asked anew.
    pub(super) async fn renewed(&self, kind: Kind) {
        match self.renewals.get(&kind) {
            Some(renewal) => renewal.notified().await,
            None => std::future::pending().await,
        }
    }
}

/// Whether a host that is not to watch the store could. While no host sees it, each looks now and
/// then: those that are to watch it may all be cut off from it.
#[derive(Default)]
pub(crate) struct Reach {
    /// When to look next, while nobody is known to see the store.
    next: Cell<Option<Instant>>,
    reached: Rc<Cell<Option<Instant>>>,
}

impl Reach {
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let reached = self.reached.get();
        reached.is_some_and(|at| now.saturating_duration_since(at) < REACHED)
    }

    /// Asks the store whether it answers, if no host is known to see it. A host that has just read it leaves that to
    /// those that begin to watch it: else all of 76 hosts watched after a common start.
    pub(crate) fn look(&self, host: &Rc<Host>, now: Instant) {
        let core = &mut *host.core.borrow_mut();
        if host.begin.is_fresh(now) || core.presence.is_store_seen(now) {
            self.next.set(None);
            return;
        }
        let interval = core.presence.probe_interval();
        // All hosts lose the store at once, and are not to look at the same moment. Those that watched it may have lost it alone,
        // and nobody hears of changes until another one has looked.
        let first = now + interval.mul_f64(core.rng.random_range(0.0..FIRST));
        let next = self.next.get().unwrap_or(first);
        if now < next {
            self.next.set(Some(next));
            return;
        }
        // The first looks fall close together; later ones are spread again, so that the store's return is found soon.
        let pause = interval.mul_f64(core.rng.random_range(PAUSES));
        self.next.set(Some(now + pause));
        let mut inquiry = Inquiry::new(host);
        let reached = self.reached.clone();
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let result = inquiry.ask().await;
            log::looked(&result);
            if result.is_ok() {
                reached.set(Some(super::now()));
                host.watching.reached.notify_one();
            }
        });
    }
}

/// A decision that changes only after it was asked for some time without a break: each change costs calls to the store, and hosts
/// see the beats of the others one after the other.
#[derive(Default)]
pub(crate) struct Steady {
    on: bool,
    /// Since when the other decision was asked for.
    since: Option<Instant>,
}

impl Steady {
    /// Whether to watch the store; a host begins to do so after `begin`.
    pub(crate) fn turn(&mut self, now: Instant, wanted: bool, begin: Duration) -> bool {
        if wanted == self.on {
            self.since = None;
            return self.on;
        }
        let since = *self.since.get_or_insert(now);
        let enough = if wanted { begin } else { END };
        if now.saturating_duration_since(since) >= enough {
            self.on = wanted;
            self.since = None;
        }
        self.on
    }
}
