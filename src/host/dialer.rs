//! Opens the connections to the store, and keeps those that no call uses.
//!
//! Opening a connection may take seconds: SYNs are lost, or dropped by a kernel whose queue of new
//! connections is full, and sent again after a second. So an attempt does not end with the call that
//! began it. Whatever opens first serves the next call, and what opens later is kept. A fresh attempt
//! is added after a pause that grows.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::client::{self, Error};
use super::task::{self, AbortGuard};
use super::{log, now, Host};

/// Attempts that are begun at once, if as many calls wait.
const PARALLEL_ATTEMPTS: usize = 4;
/// Maximum attempts in progress; a further one replaces the oldest, whose next SYN is the furthest.
const MAX_ATTEMPTS: usize = 6;
/// Pause after an attempt until a further one is added, and the longest one, to which it doubles.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// How long an attempt may take: the kernel sends SYNs after 0, 1 and 3 seconds.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3500);
/// Maximum connections that are kept without a call, and how long.
const MAX_SPARE: usize = 4;
const SPARE_TIME: Duration = Duration::from_secs(8);
/// Time from which on a connection that opens counts as late.
const LATE_CONNECTION: Duration = Duration::from_millis(200);

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A call that is answered at once.
    Query,
    /// A watch, which may use the connection for long. Queries go first.
    Watch,
}

struct Spare {
    stream: TcpStream,
    kept_at: Instant,
}

struct Attempt {
    began_at: Instant,
    _task: AbortGuard,
}

/// The connections to the store that are being opened or that no call uses.
#[derive(Default)]
pub(crate) struct Dialer {
    spare: RefCell<Vec<Spare>>,
    attempts: RefCell<BTreeMap<u64, Attempt>>,
    /// Attempts begun so far, by which they are numbered.
    begun: Cell<u64>,
    last_begun: Cell<Option<Instant>>,
    pause: Cell<Duration>,
    /// Calls that wait for a connection.
    waiting: Cell<usize>,
    /// Those among them that are queries.
    waiting_queries: Cell<usize>,
    /// Whether watches leave all connections to queries.
    is_reserved: Cell<bool>,
    /// Number of attempts that the network has rejected, and why the last one was.
    rejected: Cell<u64>,
    rejection: Cell<Option<io::ErrorKind>>,
    /// Signals a spare connection or a rejection.
    changed: Notify,
}

/// Counts a waiting call until it is dropped.
struct Waiter<'a> {
    dialer: &'a Dialer,
    purpose: Purpose,
}

impl<'a> Waiter<'a> {
    fn new(dialer: &'a Dialer, purpose: Purpose) -> Self {
        let waiter = Self { dialer, purpose };
        waiter.count(|count| count + 1);
        waiter
    }

    fn count(&self, change: impl Fn(usize) -> usize) {
        let dialer = self.dialer;
        dialer.waiting.set(change(dialer.waiting.get()));
        if self.purpose == Purpose::Query {
            let queries = &dialer.waiting_queries;
            queries.set(change(queries.get()));
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.count(|count| count - 1);
        // A watch may wait only because a query did.
        self.dialer.changed.notify_waiters();
    }
}

impl Dialer {
    /// Takes a connection that no call uses.
    pub(super) fn take(&self, purpose: Purpose) -> Option<TcpStream> {
        let is_for_queries = self.is_reserved.get() || self.waiting_queries.get() > 0;
        if purpose == Purpose::Watch && is_for_queries {
            return None;
        }
        let now = now();
        let spare = &mut *self.spare.borrow_mut();
        while let Some(next) = spare.pop() {
            if is_usable(now, &next) {
                return Some(next.stream);
            }
        }
        None
    }

    /// Keeps a connection that its call needs no more.
    pub(super) fn put(&self, stream: TcpStream) {
        {
            let spare = &mut *self.spare.borrow_mut();
            if spare.len() >= MAX_SPARE {
                spare.remove(0);
            }
            spare.push(Spare {
                stream,
                kept_at: now(),
            });
        }
        self.changed.notify_waiters();
    }

    /// Leaves all connections to queries until one is answered: a single connection is enough for
    /// polls to find all changes, whereas a watch may show nothing for long.
    pub(super) fn reserve_for_queries(&self) {
        self.is_reserved.set(true);
    }

    /// Leaves connections to watches again.
    pub(super) fn end_reservation(&self) {
        if self.is_reserved.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Closes the connections that no call uses: they may be dead.
    pub(super) fn discard_spare(&self) {
        self.spare.borrow_mut().clear();
    }

    /// Closes connections that were not used for long or were closed by the store.
    pub(super) fn sweep(&self, now: Instant) {
        let spare = &mut *self.spare.borrow_mut();
        spare.retain(|spare| is_usable(now, spare));
    }

    /// When the newest attempt began that should have opened a connection by now.
    pub(super) fn unopened_since(&self, now: Instant) -> Option<Instant> {
        let attempts = self.attempts.borrow();
        let began = attempts.values().map(|attempt| attempt.began_at);
        began
            .filter(|at| now.saturating_duration_since(*at) >= LATE_CONNECTION)
            .max()
    }

    fn pause(&self) -> Duration {
        self.pause.get().max(MIN_PAUSE)
    }
}

fn is_usable(now: Instant, spare: &Spare) -> bool {
    now.saturating_duration_since(spare.kept_at) < SPARE_TIME && client::is_reusable(&spare.stream)
}

/// Waits for a connection to the store: one that no call uses, or the first that opens.
pub(super) async fn connect(host: &Rc<Host>, purpose: Purpose) -> Result<TcpStream, Error> {
    let dialer = &host.dialer;
    if let Some(stream) = dialer.take(purpose) {
        return Ok(stream);
    }
    let _waiter = Waiter::new(dialer, purpose);
    let rejected = dialer.rejected.get();
    loop {
        let mut changed = pin!(dialer.changed.notified());
        changed.as_mut().enable();
        if let Some(stream) = dialer.take(purpose) {
            return Ok(stream);
        }
        if dialer.rejected.get() != rejected {
            let kind = dialer.rejection.get().unwrap_or(io::ErrorKind::Other);
            return Err(Error::Connect(kind.into()));
        }
        let next = begin_attempt_if_due(host);
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(next.into()) => {}
        }
    }
}

/// Opens a connection for the next call, if there is none and none is being opened.
pub(super) fn prepare(host: &Rc<Host>) {
    let dialer = &host.dialer;
    let now = now();
    dialer.sweep(now);
    let is_prepared = !dialer.spare.borrow().is_empty() || !dialer.attempts.borrow().is_empty();
    let last_begun = dialer.last_begun.get();
    if !is_prepared && last_begun.is_none_or(|at| now >= at + MAX_PAUSE) {
        begin_attempt(host, now);
    }
}

/// Begins an attempt if too few are in progress or none has opened a connection in time. Returns
/// when the next one is due.
fn begin_attempt_if_due(host: &Rc<Host>) -> Instant {
    let dialer = &host.dialer;
    let now = now();
    let in_progress = dialer.attempts.borrow().len();
    let wanted = dialer.waiting.get().min(PARALLEL_ATTEMPTS);
    let due_at = dialer.last_begun.get().map(|at| at + dialer.pause());
    let is_overdue = due_at.is_none_or(|due_at| now >= due_at);
    if in_progress < wanted {
        begin_attempt(host, now);
    } else if is_overdue {
        dialer.pause.set((dialer.pause() * 2).min(MAX_PAUSE));
        begin_attempt(host, now);
    }
    dialer.last_begun.get().unwrap_or(now) + dialer.pause()
}

fn begin_attempt(host: &Rc<Host>, began_at: Instant) {
    let dialer = &host.dialer;
    let number = dialer.begun.get();
    dialer.begun.set(number + 1);
    dialer.last_begun.set(Some(began_at));
    let state = host.clone();
    let task = task::spawn(host, "store-connection", async move {
        let result = client::connect(state.settings.store, ATTEMPT_TIMEOUT).await;
        finish_attempt(&state, number, result);
    });
    let mut attempts = dialer.attempts.borrow_mut();
    if attempts.len() >= MAX_ATTEMPTS {
        if let Some((_, oldest)) = attempts.pop_first() {
            record(host, oldest.began_at, Some(&Error::Timeout));
        }
    }
    let _task = task.into();
    attempts.insert(number, Attempt { began_at, _task });
}

fn finish_attempt(host: &Host, number: u64, result: Result<TcpStream, Error>) {
    let dialer = &host.dialer;
    let Some(attempt) = dialer.attempts.borrow_mut().remove(&number) else {
        return;
    };
    record(host, attempt.began_at, result.as_ref().err());
    match result {
        Ok(stream) => {
            dialer.pause.set(MIN_PAUSE);
            dialer.put(stream);
        }
        // A fresh attempt is due meanwhile.
        Err(Error::Timeout) => {}
        Err(error) => {
            let kind = match error {
                Error::Connect(error) => error.kind(),
                _ => io::ErrorKind::Other,
            };
            dialer.rejection.set(Some(kind));
            dialer.rejected.set(dialer.rejected.get() + 1);
            dialer.changed.notify_waiters();
        }
    }
}

/// Records how long an attempt took.
fn record(host: &Host, began_at: Instant, error: Option<&Error>) {
    let took = now().saturating_duration_since(began_at);
    host.metrics.record_store_connection(took, error.is_none());
    if error.is_some() || took >= LATE_CONNECTION {
        log::store_connection(host, took, error);
    }
}
