//! State of a host's watches on the store: whether it watches, and whether its copy is known to be
//! current.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::sync::{Mutex, MutexGuard, Notify};

use super::feed::SYNCED_KINDS;
use super::refresh::{Refresher, CURRENT_FOR, RETURN_NOTICE_TIME};
use super::{log, task, Host};
use crate::control::freshness::{AnswerTime, FreshnessTracker, INTERVAL};
use crate::control::replica::Outage;
use crate::port::Kind;

/// How long a host must not be a designated watcher before it stops watching.
const STOP_DELAY: Duration = Duration::from_millis(1500);
/// Part of the probe interval within which a host's first probe is placed at random.
const FIRST_PROBE_SPREAD: f64 = 0.25;
/// Random factor for the pause between two probes of a host, relative to the mean interval.
const PROBE_PAUSE_FACTOR: Range<f64> = 0.5..1.5;
/// How long a host tries to watch a store that one of its probes has reached.
const REACHED_FOR: Duration = Duration::from_secs(3);

/// Kinds of objects that are watched; the remaining kind is listed with each refresh.
pub(super) const WATCHED_KINDS: [Kind; 2] = [Kind::Config, Kind::Targets];

/// The state of this host's watches on the store.
#[derive(Default)]
pub(crate) struct WatchState {
    is_active: Cell<bool>,
    evidence: RefCell<FreshnessTracker>,
    /// Whether the store responded to the last poll.
    pub(super) is_answering: Cell<bool>,
    /// Whether the answer to a poll is late. If it still arrives, the evidence holds.
    is_suspended: Cell<bool>,
    answer_time: Cell<AnswerTime>,
    /// Since when the watch of a kind lacks changes that a poll has shown.
    behind_since: RefCell<BTreeMap<Kind, Instant>>,
    /// Signals that a probe of the store succeeded.
    pub(super) reached: Notify,
    /// Signals that the feed of the followed host has ended.
    pub(super) feed_ended: Notify,
    /// Whether the last configuration could not be decoded.
    pub(super) is_config_unreadable: Cell<bool>,
    /// Until when the watch that was answered last lets changes collect at the store.
    collecting_until: Cell<Option<Instant>>,
    /// Locked while a kind is being updated, so that it is not read twice at once.
    locks: BTreeMap<Kind, Mutex<()>>,
    /// Signals that the watch of a kind is to be restarted on a new connection.
    renewals: BTreeMap<Kind, Notify>,
}

impl WatchState {
    pub(super) fn new() -> Self {
        Self {
            locks: WATCHED_KINDS.map(|kind| (kind, Mutex::default())).into(),
            renewals: WATCHED_KINDS.map(|kind| (kind, Notify::new())).into(),
            ..Self::default()
        }
    }

    /// Records that the host watches the store. A probe may just have shown that the copy is
    /// current.
    pub(super) fn start(&self, now: Instant) {
        self.is_active.set(true);
        self.is_suspended.set(false);
        self.is_answering.set(self.is_current(now));
    }

    /// Records that the host no longer watches the store.
    pub(super) fn stop(&self) {
        self.is_active.set(false);
        self.is_answering.set(false);
        self.clear_evidence();
    }

    /// Whether the host watches the store.
    pub(super) fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Records that the copy of a kind is as recent as the store was at `asked_at`.
    pub(super) fn mark_current(&self, kind: Kind, asked_at: Instant) {
        self.evidence.borrow_mut().record(kind, asked_at);
    }

    /// Discards the evidence, as the store did not respond.
    pub(super) fn clear_evidence(&self) {
        self.evidence.borrow_mut().clear();
        self.is_suspended.set(false);
    }

    /// Suspends the evidence, as the answer to a poll is late.
    pub(super) fn suspend(&self) {
        self.is_suspended.set(true);
    }

    /// Ends the suspension: the late answer has arrived.
    pub(super) fn resume(&self) {
        self.is_suspended.set(false);
    }

    /// Records that the store took so long for the answer to a poll.
    pub(super) fn record_answer(&self, took: Duration) {
        let mut answer_time = self.answer_time.get();
        answer_time.record(took);
        self.answer_time.set(answer_time);
    }

    /// How long the store may take for an answer until it counts as silent.
    pub(super) fn answer_limit(&self) -> Duration {
        self.answer_time.get().limit()
    }

    /// How long after the end of a watch its answer is awaited until the next one begins.
    pub(super) fn overlap_delay(&self) -> Duration {
        if self.is_slow() {
            Duration::ZERO
        } else {
            INTERVAL
        }
    }

    fn is_slow(&self) -> bool {
        self.answer_time.get().expected() >= INTERVAL
    }

    /// Records that a poll has shown changes of a kind that its watch has not, and restarts the
    /// watch if it should have shown them by now: a slow store may be about to.
    pub(super) fn renew_if_behind(&self, now: Instant, kind: Kind) {
        let since = *self.behind_since.borrow_mut().entry(kind).or_insert(now);
        let expected = self.answer_time.get().expected();
        if !self.is_slow() || now.saturating_duration_since(since) >= expected * 2 {
            self.renew(kind);
        }
    }

    /// Records that the watch of a kind was answered, or is restarted.
    pub(super) fn record_watch(&self, kind: Kind) {
        self.behind_since.borrow_mut().remove(&kind);
    }

    /// Records that a watch has shown changes, and begins again at `until`.
    pub(super) fn record_collecting(&self, until: Instant) {
        self.collecting_until.set(Some(until));
    }

    /// Whether a watch lets changes collect at the store.
    pub(super) fn is_collecting(&self, now: Instant) -> bool {
        self.collecting_until.get().is_some_and(|until| now < until)
    }

    /// Whether the host watches the store and its copy is known to be current, up to the time that
    /// polls take.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        // A refresh takes up to two answers, and the evidence has to last until the next one has them.
        let term = CURRENT_FOR + self.answer_time.get().expected() * 4;
        let evidence = self.evidence.borrow();
        self.is_active.get()
            && !self.is_suspended.get()
            && evidence.are_fresh(now, &SYNCED_KINDS, term)
    }

    /// Locks a kind for an update; `None` for a kind that is not watched.
    pub(super) async fn lock_kind(&self, kind: Kind) -> Option<MutexGuard<'_, ()>> {
        match self.locks.get(&kind) {
            Some(lock) => Some(lock.lock().await),
            None => None,
        }
    }

    /// Restarts the watch of a kind.
    pub(super) fn renew(&self, kind: Kind) {
        self.record_watch(kind);
        if let Some(renewal) = self.renewals.get(&kind) {
            renewal.notify_waiters();
        }
    }

    /// Restarts all watches.
    pub(super) fn renew_all(&self) {
        self.renewals.values().for_each(Notify::notify_waiters);
    }

    /// Waits until the watch of a kind is to be restarted.
    pub(super) async fn wait_for_renewal(&self, kind: Kind) {
        match self.renewals.get(&kind) {
            Some(renewal) => renewal.notified().await,
            None => std::future::pending().await,
        }
    }
}

/// Probes the store from a host that is not one of its watchers. While no host is known to reach
/// the store, each host probes it now and then: the designated watchers may all be cut off from it.
#[derive(Default)]
pub(crate) struct StoreProbe {
    /// When to probe next, while no host is known to reach the store.
    next_probe: Cell<Option<Instant>>,
    reached_at: Rc<Cell<Option<Instant>>>,
}

impl StoreProbe {
    pub(crate) fn has_reached(&self, now: Instant) -> bool {
        let reached_at = self.reached_at.get();
        reached_at.is_some_and(|at| now.saturating_duration_since(at) < REACHED_FOR)
    }

    /// Probes the store if no host is known to reach it. A host that has just read the store leaves
    /// that to the designated watchers: without this, all of 76 hosts became watchers after a
    /// common start.
    pub(crate) fn probe_if_due(&self, host: &Rc<Host>, now: Instant) {
        let core = &mut *host.core.borrow_mut();
        if host.startup.is_fresh(now) || core.presence.is_store_seen(now) {
            self.next_probe.set(None);
            return;
        }
        let interval = core.presence.probe_interval();
        // All hosts lose the store at once and must not probe it at the same moment. But the former
        // watchers may be the only ones cut off from it, and no host receives changes until another
        // one has probed.
        let first = now + interval.mul_f64(core.rng.random_range(0.0..FIRST_PROBE_SPREAD));
        let next = self.next_probe.get().unwrap_or(first);
        if now < next {
            self.next_probe.set(Some(next));
            return;
        }
        // The first probes are close together; later ones are spread out again, so that the store's
        // return is noticed soon.
        let pause = interval.mul_f64(core.rng.random_range(PROBE_PAUSE_FACTOR));
        self.next_probe.set(Some(now + pause));
        let mut refresher = Refresher::new(host);
        let reached_at = self.reached_at.clone();
        let state = host.clone();
        let is_long = core.presence.outage(now) == Outage::Long;
        task::spawn(host, "store-probe", async move {
            let limit = if is_long {
                ping_lost_store(&state, &mut refresher).await
            } else {
                state.watch_state.answer_limit()
            };
            let result = refresher.refresh(limit).await;
            log::store_probed(&result);
            // A watcher may have seen meanwhile that the store is only slow.
            let is_seen = state.core.borrow().presence.is_store_seen(super::now());
            if result.is_ok() && !is_seen {
                reached_at.set(Some(super::now()));
                state.watch_state.reached.notify_one();
            }
        });
    }
}

/// Pings a store that has been away for long, and gives the hosts that watch it time to tell when it
/// returned. Returns how long its next answer may take.
async fn ping_lost_store(host: &Host, refresher: &mut Refresher) -> Duration {
    let limit = host.watch_state.answer_limit();
    let asked_at = super::now();
    if refresher.ping().await.is_err() {
        return limit;
    }
    let answered_at = super::now();
    let took = answered_at.saturating_duration_since(asked_at);
    if took > limit {
        let core = &mut *host.core.borrow_mut();
        let is_seen = core.presence.is_store_seen(answered_at);
        // If it had been there for longer than that, it would have answered before.
        if let Some(at) = answered_at.checked_sub(limit).filter(|_| !is_seen) {
            core.record_unavailable(answered_at, at);
        }
    }
    // A watcher knows better than this ping when the store has returned.
    tokio::time::sleep(RETURN_NOTICE_TIME).await;
    limit.max(took * 2)
}

/// Debounces the decision to watch the store: it changes only after the opposite was wanted for
/// some time without interruption. Each change costs calls to the store, and hosts receive each
/// other's heartbeats one after the other.
#[derive(Default)]
pub(crate) struct Debounce {
    is_on: bool,
    /// Since when the opposite decision has been wanted.
    opposite_since: Option<Instant>,
}

impl Debounce {
    /// Returns whether to watch the store. The host starts to watch after `start_delay` and stops
    /// after [`STOP_DELAY`].
    pub(crate) fn update(
        &mut self,
        now: Instant,
        should_watch: bool,
        start_delay: Duration,
    ) -> bool {
        if should_watch == self.is_on {
            self.opposite_since = None;
            return self.is_on;
        }
        let since = *self.opposite_since.get_or_insert(now);
        let delay = if should_watch {
            start_delay
        } else {
            STOP_DELAY
        };
        if now.saturating_duration_since(since) >= delay {
            self.is_on = should_watch;
            self.opposite_since = None;
        }
        self.is_on
    }
}
