//! An entry host. All I/O and timers run on a single-threaded tokio runtime; decisions are made by
//! structs without I/O.
//!
//! Everything runs on the thread that calls [`run`], so the state needs no locks and a request is
//! never handed over between threads. A `RefCell` borrow of the state is never held across an await
//! point.

mod admission;
mod announcement;
mod answer;
mod attempt;
mod brief;
mod client;
mod core;
mod datagram;
mod dialer;
mod error;
mod exchange;
mod feed;
mod front;
mod join;
mod links;
mod log;
mod lookup;
mod message;
mod metrics;
mod pool;
mod probe;
mod proof;
mod quarantine;
mod refresh;
mod relay;
mod reload;
mod request_log;
mod running;
mod serve;
mod shutdown;
mod snapshot;
mod staleness;
mod startup;
mod store;
mod sync;
mod task;
mod throttle;
mod watcher;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::budget::{self, Account, Budget};
use crate::control::fallback::Fallback;
use crate::control::presence::StoreView;
use crate::control::replica::{Effect, Update};
use crate::control::revision::Revision;
use crate::edge::{body, uploads};
use crate::entry::metrics::Metrics;
use crate::inventory::TargetKey;
use crate::port::{Kind, Platform, Settings};

pub use error::Error;
pub use feed::{FEED_TIMEOUT, KEEPALIVE_INTERVAL};
pub use log::EVENTS;
pub use startup::START_WAIT;
pub use sync::DECISION_INTERVAL;
pub use task::Tasks;

/// State shared by all tasks of a host.
struct Host {
    platform: Platform,
    settings: Settings,
    budget: Budget,
    uploads: uploads::Uploads,
    /// What is held for the platform's store.
    store_account: Account,
    core: RefCell<core::Core>,
    pool: RefCell<pool::Pool<TargetKey>>,
    relays: relay::Relays,
    dialer: dialer::Dialer,
    shutdown: shutdown::Shutdown,
    metrics: Arc<Metrics>,
    log_limits: RefCell<log::RateLimits>,
    /// Requests that the limits leave without a line of their own.
    brief: RefCell<brief::Brief>,
    peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    followers: RefCell<feed::Followers>,
    /// The view of the store that the followed host reported.
    source_store_view: Cell<Option<StoreView>>,
    watch_state: watcher::WatchState,
    startup: startup::Startup,
    /// Whether the host has registered, or has tried to.
    has_joined: Cell<bool>,
    links: links::Links,
    /// Feeds that ended, and when.
    failed_feeds: RefCell<BTreeMap<SocketAddr, Instant>>,
    staleness: staleness::Staleness,
    fallback: RefCell<Fallback>,
    pending_claims: throttle::PendingClaims,
    /// Names of unknown headers in targets' answers that were already logged.
    unknown_headers: RefCell<BTreeSet<Arc<str>>>,
    /// The highest era of the store that is known.
    store_era: Cell<u64>,
    /// When the last call was made that the store has answered.
    last_answered_call: Cell<Option<Instant>>,
    /// Signals that the era has risen.
    restored: Notify,
    /// Faults in the store's objects that were already logged.
    logged_store_faults: RefCell<BTreeSet<String>>,
    tasks: Tasks,
}

impl Host {
    /// Applies an update from the store and publishes it to followers.
    fn apply_update(&self, update: Update) -> Result<(), Gap> {
        let to = update.revision();
        let Update {
            kind,
            outage,
            available_ms,
            ..
        } = update;
        let known = self.core.borrow().replica.revision(kind);
        let effect = self.core.borrow_mut().apply(now(), update);
        let failed = std::mem::take(&mut self.core.borrow_mut().failed_objects);
        for object in failed {
            log::object_failed(self, object);
        }
        match effect {
            Effect::Gap => return Err(Gap),
            Effect::Old => {
                if known > Some(to) {
                    log::outdated_update(self, kind, to, known);
                }
                return Ok(());
            }
            Effect::Changed(entries) => {
                // Followers have the same objects as this host, so only the changes of a full list
                // are sent on.
                let changes = Update {
                    kind,
                    from: known.map(|known| known.number),
                    to: to.number,
                    era: to.era,
                    entries,
                    outage,
                    available_ms,
                };
                feed::publish_update(self, changes);
            }
            Effect::Restored(_) => feed::publish_copy(self, kind),
        }
        self.startup.notify_update();
        Ok(())
    }

    /// Whether the copy of a kind contains all changes up to a revision.
    fn has_revision(&self, kind: Kind, revision: Revision) -> bool {
        let known = self.core.borrow().replica.revision(kind);
        known.is_some_and(|known| known.includes(revision))
    }

    /// Whether the copies of all kinds are of the store's latest known era.
    fn has_current_era(&self) -> bool {
        let core = self.core.borrow();
        let mut revisions = feed::SYNCED_KINDS
            .iter()
            .filter_map(|kind| core.replica.revision(*kind));
        revisions.all(|revision| revision.era >= self.store_era.get())
    }

    /// Records the era of the store's answer to a call that was made at `asked_at`.
    fn note_answer(&self, era: u64, asked_at: Instant) {
        let known = self.store_era.get();
        let last = self.last_answered_call.get();
        if let Some(last) = last.filter(|_| 0 < known && known < era) {
            // The store has been away since, also if no host has noticed it.
            self.core.borrow_mut().record_unavailable(now(), last);
        }
        self.last_answered_call.set(last.max(Some(asked_at)));
        self.note_era(era);
    }

    /// Records the store's era, which rises when the store has been restored from a copy.
    fn note_era(&self, era: u64) {
        let known = self.store_era.get();
        if era <= known {
            return;
        }
        self.store_era.set(era);
        if known > 0 {
            log::store_restored(era);
            // The store counts its revisions anew, and may lack this host's registration.
            self.watch_state.renew_all();
            self.restored.notify_waiters();
        }
    }

    /// Records that the copies of these kinds lacked nothing `at` that moment.
    fn confirm(&self, kinds: &[Kind], at: Instant) {
        let confirmations = &mut self.core.borrow_mut().confirmations;
        kinds
            .iter()
            .for_each(|kind| confirmations.record(*kind, at));
    }

    /// Whether the host has a copy of all kinds of objects, however old.
    fn has_full_copy(&self) -> bool {
        let core = self.core.borrow();
        let mut kinds = feed::SYNCED_KINDS.iter();
        kinds.all(|kind| core.replica.revision(*kind).is_some())
    }
}

/// Updates between the known revision and the received one are missing.
struct Gap;

/// The runtime's clock, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Runs an entry host with the settings file at `path` until it has received SIGTERM and all its
/// connections are closed, or its grace period is nearly over.
///
/// # Errors
///
/// The settings can't be used, or an address can't be listened on.
pub fn run(platform: Platform, path: &Path) -> Result<(), Error> {
    run_with_tasks(platform, path, &Tasks::default())
}

/// Runs an entry host as [`run`] does. `tasks` gives access to its tasks.
///
/// # Errors
///
/// The same as of [`run`].
pub fn run_with_tasks(platform: Platform, path: &Path, tasks: &Tasks) -> Result<(), Error> {
    log::install()?;
    let settings = (platform.settings)(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, start(platform, settings, path, tasks));
    log::flush();
    result
}

/// The budget for what the host holds for its peers.
fn budget(settings: &Settings, metrics: Arc<Metrics>) -> Budget {
    let memory = budget::available_memory(settings.memory_mb);
    let descriptors = budget::available_descriptors(settings.descriptors);
    Budget::new(memory, descriptors, move |shortage| {
        metrics.count_closed_peer(shortage);
    })
}

async fn start(
    platform: Platform,
    settings: Settings,
    path: &Path,
    tasks: &Tasks,
) -> Result<(), Error> {
    let metrics = Arc::new(Metrics::new()?);
    let budget = budget(&settings, metrics.clone());
    let host = Rc::new(Host {
        core: RefCell::new(core::Core::new(now(), &settings)),
        pool: RefCell::new(pool::Pool::new(budget.idle_connections())),
        relays: relay::Relays::new(budget.idle_connections()),
        dialer: dialer::Dialer::default(),
        shutdown: shutdown::Shutdown::new(),
        metrics,
        uploads: uploads::Uploads::default(),
        store_account: budget.open_own(),
        budget,
        log_limits: RefCell::default(),
        brief: RefCell::default(),
        peer_socket: RefCell::new(None),
        followers: RefCell::default(),
        source_store_view: Cell::new(None),
        watch_state: watcher::WatchState::new(),
        startup: startup::Startup::new(now(), &settings),
        has_joined: Cell::new(false),
        links: links::Links::new(),
        failed_feeds: RefCell::default(),
        staleness: staleness::Staleness::default(),
        fallback: RefCell::default(),
        pending_claims: throttle::PendingClaims::default(),
        unknown_headers: RefCell::default(),
        store_era: Cell::new(0),
        last_answered_call: Cell::new(None),
        restored: Notify::new(),
        logged_store_faults: RefCell::default(),
        tasks: tasks.clone(),
        platform,
        settings,
    });
    front::listen(&host).await?;
    lookup::listen(&host).await?;
    metrics::listen(&host).await?;
    feed::listen(&host).await?;
    relay::listen(&host).await?;
    datagram::start(&host).await?;
    startup::start(&host);
    sync::start(&host);
    probe::start(&host);
    links::start(&host);
    proof::start(&host);
    reload::start(&host, path);
    spdlog::info!("host: listening", kv: {
        event = log::Event::Started.as_str(),
        host = &*host.settings.host,
        zone = &*host.settings.zone,
        front = host.settings.front.to_string().as_str()
    });
    shutdown::run(&host).await;
    Ok(())
}
