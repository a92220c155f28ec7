//! An entry host on one thread: sockets and timers on a tokio runtime, decisions in pure structs between them.
//!
//! Everything runs on the thread that calls [`run`], so the state needs no locks, and a request costs
//! no hand-over between threads. A borrow of the state never lives across a point where a task may wait.

mod admission;
mod answer;
mod beat;
mod begin;
mod body;
mod client;
mod copy;
mod core;
mod error;
mod exchange;
mod feed;
mod front;
mod inquiry;
mod join;
mod log;
mod lookup;
mod message;
mod metrics;
mod pool;
mod probe;
mod proof;
mod quarantine;
mod record;
mod reload;
mod serve;
mod stop;
mod store;
mod sync;
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
use tokio::task::LocalSet;

use crate::control::presence::StoreView;
use crate::control::replica::{Effect, Update};
use crate::entry::metrics::Metrics;
use crate::port::{Platform, Settings};

pub use begin::WAIT;
pub use error::Error;
pub use feed::SILENCE;
pub use log::EVENTS;

/// What all tasks of a host share.
struct Host {
    platform: Platform,
    settings: Settings,
    core: RefCell<core::Core>,
    pool: RefCell<pool::Pool>,
    stop: stop::Stop,
    metrics: Metrics,
    limits: RefCell<log::Limits>,
    beats: RefCell<Option<Rc<UdpSocket>>>,
    followers: RefCell<feed::Followers>,
    /// What the host that this one follows knows of the store.
    followed: Cell<Option<StoreView>>,
    watching: watcher::Watching,
    begin: begin::Begin,
    /// Whether the host has registered, or has tried to.
    joined: Cell<bool>,
    /// Feeds that ended, and when.
    failed: RefCell<BTreeMap<SocketAddr, Instant>>,
    claims: throttle::Claims,
    /// Names of targets' headers that were logged as unknown.
    unknown_headers: RefCell<BTreeSet<Arc<str>>>,
    /// Faults of the store's objects that were logged.
    unread: RefCell<BTreeSet<String>>,
}

impl Host {
    /// Takes in what changed in the store, and passes it on.
    fn take(&self, update: Update) -> Result<(), Gap> {
        let Update {
            kind, to, outage, ..
        } = update;
        let known = self.core.borrow().replica.revision(kind);
        let effect = self.core.borrow_mut().change(now(), update);
        match effect {
            Effect::Gap => return Err(Gap),
            Effect::Old => return Ok(()),
            Effect::Changed(entries) => {
                // Followers have what this host had, so of a whole copy the difference is enough.
                let difference = Update {
                    kind,
                    from: known,
                    to,
                    entries,
                    outage,
                };
                feed::publish(self, difference);
            }
        }
        self.begin.learn();
        Ok(())
    }

    /// Whether all kinds of objects that the store holds are known, be it from long ago.
    fn knows_store(&self) -> bool {
        let core = self.core.borrow();
        let mut kinds = feed::KINDS.iter();
        kinds.all(|kind| core.replica.revision(*kind).is_some())
    }
}

/// Updates between what is known and the one that came are missing.
struct Gap;

/// The runtime's clock, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Runs an entry host with the settings file at `path` until it was told to stop and has finished its work.
///
/// # Errors
///
/// The settings can't be used, or an address can't be listened on.
pub fn run(platform: Platform, path: &Path) -> Result<(), Error> {
    log::install()?;
    let settings = (platform.settings)(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, start(platform, settings, path));
    log::flush();
    result
}

async fn start(platform: Platform, settings: Settings, path: &Path) -> Result<(), Error> {
    let host = Rc::new(Host {
        core: RefCell::new(core::Core::new(now(), &settings)),
        pool: RefCell::new(pool::Pool::default()),
        stop: stop::Stop::new(),
        metrics: Metrics::new()?,
        limits: RefCell::default(),
        beats: RefCell::new(None),
        followers: RefCell::default(),
        followed: Cell::new(None),
        watching: watcher::Watching::new(),
        begin: begin::Begin::new(now(), &settings),
        joined: Cell::new(false),
        failed: RefCell::default(),
        claims: throttle::Claims::default(),
        unknown_headers: RefCell::default(),
        unread: RefCell::default(),
        platform,
        settings,
    });
    front::listen(&host).await?;
    lookup::listen(&host).await?;
    metrics::listen(&host).await?;
    feed::listen(&host).await?;
    beat::start(&host).await?;
    begin::start(&host);
    sync::start(&host);
    tokio::task::spawn_local(probe::run(host.clone()));
    tokio::task::spawn_local(proof::assure(host.clone()));
    tokio::task::spawn_local(reload::run(host.clone(), path.to_owned()));
    spdlog::info!("host: listens", kv: {
        event = log::Event::Started.as_str(),
        host = &*host.settings.host,
        zone = &*host.settings.zone,
        front = host.settings.front.to_string().as_str()
    });
    stop::run(&host).await;
    Ok(())
}
