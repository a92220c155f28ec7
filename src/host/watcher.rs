//! Whether a host watches the store itself, and what it sees there.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::feed::KINDS;
use super::store::Client;
use super::sync::CHECK_PATIENCE;
use super::Host;
use crate::port::{Call, Kind};

/// How long it is decided so until a host leaves the watching to others.
const END: Duration = Duration::from_millis(1500);
/// How long a host tries to watch a store that it reached so.
const REACHED: Duration = Duration::from_secs(3);

/// Which kinds the store tells this host, while it watches.
#[derive(Default)]
pub(crate) struct Watching {
    seen: Cell<u8>,
    lost: Cell<u8>,
    /// The last check of the store was not answered.
    pub(crate) silent: Cell<bool>,
}

impl Watching {
    fn bit(kind: Kind) -> u8 {
        1 << kind as u8
    }

    pub(crate) fn set(&self, kind: Kind, seen: bool) {
        let bit = Self::bit(kind);
        if seen {
            self.seen.set(self.seen.get() | bit);
            self.lost.set(self.lost.get() & !bit);
        } else {
            self.lost.set(self.lost.get() | bit);
        }
    }

    pub(crate) fn clear(&self) {
        self.seen.set(0);
        self.lost.set(0);
        self.silent.set(false);
    }

    pub(crate) fn is_complete(&self) -> bool {
        let all = KINDS.iter().fold(0, |bits, kind| bits | Self::bit(*kind));
        self.seen.get() & all == all && self.lost.get() == 0 && !self.silent.get()
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
        let interval = core.presence.look_interval();
        // All hosts lose the store at once, and are not to look at the same moment.
        let first = now + interval.mul_f64(core.rng.random_range(0.0..1.0));
        let next = self.next.get().unwrap_or(first);
        if now < next {
            self.next.set(Some(next));
            return;
        }
        self.next.set(Some(now + interval));
        let mut client = Client::new(host);
        let reached = self.reached.clone();
        tokio::task::spawn_local(async move {
            let call = client.call(&Call::Check);
            if let Ok(Ok(_)) = tokio::time::timeout(CHECK_PATIENCE, call).await {
                reached.set(Some(super::now()));
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
