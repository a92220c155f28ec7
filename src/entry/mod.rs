//! The entry host's daemon: actors on one stakker thread, I/O on others.

mod body;
mod call;
mod control;
mod core;
mod cut;
mod error;
mod feed;
mod front;
mod head;
mod health;
mod keyed;
mod later;
mod log;
pub(crate) mod metrics;
mod platform;
mod published;
mod relay;
mod reply;
mod request;
mod revision;
mod server;
mod stage;
mod status;
mod target;
mod turn;
mod verdict;
mod watch;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{bounded, unbounded};
use rlimit::Resource;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::border::settings::Settings;
use crate::peer;
use crate::peer::config::Listen;
use crate::peer::mesh::Mesh;
use crate::steer::ticket::{Issuer, Rotation};

pub use error::Error;

use self::core::Parts;
use front::{Front, Relays};
use later::{Later, Queue};
use metrics::Metrics;
use published::Published;
use reply::Reply;
use server::Server;

/// How long the core may take to tell its status.
const STATUS_TIME: Duration = Duration::from_secs(1);
/// How much longer than callers keep its address a leaving host serves.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// Longest time that a leaving host waits for work to end.
const LONGEST_WORK: Duration = Duration::from_secs(3600);
/// Time without work after which a leaving host ends: longer than the second after which a caller
/// that was refused elsewhere comes back with this host's ticket.
const QUIET: Duration = Duration::from_millis(1500);
/// How often a leaving host looks.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// What the threads of one host share.
pub(crate) struct Shared {
    pub(crate) settings: Arc<Settings>,
    pub(crate) core: core::Handle,
    pub(crate) published: Arc<Published>,
    pub(crate) targets: target::Client,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) issuer: Issuer,
    pub(crate) mesh: Arc<Mesh>,
    later: Queue,
    incarnation: u64,
    ids: AtomicU64,
    in_flight: Arc<AtomicUsize>,
}

impl Shared {
    /// A number for a request, unique within this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// A request's name towards targets, unique among all hosts.
    pub(crate) fn request_id(&self, id: u64) -> String {
        format!("{}-{}-{id}", self.settings.host, self.incarnation)
    }

    /// Leaves work to the pool for it; drops it if there is too much.
    pub(crate) fn later(&self, piece: Later) {
        if let Err(full) = self.later.try_send(piece) {
            later::give_back(&self.core, full.into_inner());
        }
    }

    /// Tells a target that a request is no longer waited for.
    pub(crate) fn cancel(&self, target: SocketAddr, id: String) {
        self.later(Later::Cancel(target, id));
    }

    /// What this host says of itself.
    pub(crate) fn status(&self) -> Reply {
        let (sender, receiver) = bounded(1);
        self.core.send(core::Event::Status(sender));
        match receiver.recv_timeout(STATUS_TIME) {
            Ok(status) => {
                let in_flight = self.in_flight.load(Ordering::Relaxed);
                Reply::json(200, &status.with_in_flight(in_flight))
            }
            Err(_) => Reply::not_run(503, "the core is busy", Some(STATUS_TIME)),
        }
    }

    /// Counts a request as in flight until what is returned is dropped.
    pub(crate) fn enter(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.in_flight.clone())
    }
}

/// A request that is in flight.
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running entry host.
pub struct Host {
    server: Server,
    shared: Arc<Shared>,
    feed: feed::Queue,
    stop: Arc<AtomicBool>,
}

impl Host {
    /// Starts an entry host.
    ///
    /// # Errors
    ///
    /// A setting that cannot be used, or a socket or thread that cannot be had.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let listen = address("listen", &settings.listen)?;
        let idle = Duration::from_millis(settings.pool.idle_ms.into());
        let listener = server::listen(listen, idle).map_err(|source| Error::Listen {
            address: listen,
            source,
        })?;
        let incarnation = incarnation();
        let rotation = Rotation::new(Instant::now());
        let published = Arc::new(Published::new());
        let (later, work) = later::queue();
        let metrics = Arc::new(Metrics::new()?);
        let (asks, asked) = unbounded();
        let (feed, news) = unbounded();
        let delegate = Arc::new(AtomicBool::new(false));
        let core = core::start(Parts {
            settings: settings.clone(),
            published: published.clone(),
            later: later.clone(),
            rotation,
            incarnation,
            platform: asks,
            feed: feed.clone(),
            metrics: metrics.clone(),
            delegate: delegate.clone(),
        })?;
        let known = Arc::new(feed::Known::default());
        feed::start(core.clone(), known.clone(), news)?;
        let (relays, relayed) = Relays::new(settings.pool.backlog.get() as usize);
        let mesh = Arc::new(mesh(&settings, incarnation, core.clone(), relays)?);
        core.send(core::Event::Mesh(mesh.clone()));
        let stop = Arc::new(AtomicBool::new(false));
        let connect = Duration::from_millis(settings.pool.connect_ms.get().into());
        let shared = Arc::new(Shared {
            core: core.clone(),
            published,
            targets: target::Client::new(connect),
            metrics,
            issuer: Issuer::new(settings.host.as_str().into(), incarnation, rotation),
            mesh,
            later,
            incarnation,
            ids: AtomicU64::new(0),
            in_flight: Arc::default(),
            settings,
        });
        later::start(&shared, &work)?;
        Relays::start(&shared, &relayed)?;
        let front = Front::new(shared.clone())?;
        let platform = platform::Parts {
            url: shared.settings.platform.as_str().into(),
            core: core.clone(),
            feed: feed.clone(),
            known,
            delegate,
            stop: stop.clone(),
            seed: incarnation,
        };
        platform::start(&platform, asked)?;
        let zone = &shared.settings.availability_zone;
        health::start(zone, &shared.published, &core, &stop)?;
        let threads = shared.settings.pool.lookup_workers.get() as usize;
        let handler = Arc::new(move |request| front.take(request));
        let counted = shared.clone();
        let rebuilt = Box::new(move || counted.metrics.rebuilt());
        let server = Server::new(listener, threads, idle, handler, rebuilt)?;
        spdlog::info!(
            "entry: {} listens on {}",
            shared.settings.host,
            server.address()
        );
        Ok(Self {
            server,
            shared,
            feed,
            stop,
        })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Leaves in an orderly way: takes itself out of look-ups, serves until callers no longer keep its
    /// address and all work is done, and ends. Returns how long that took.
    pub fn drain(self) -> Duration {
        let started = Instant::now();
        self.shared.core.send(core::Event::Leave);
        let ttl = self.shared.published.get().catalog.limits().lookup_ttl;
        let earliest = started + ttl + LEAVE_MARGIN;
        let latest = started + LONGEST_WORK;
        let mut quiet = Instant::now();
        let mut seen = self.shared.ids.load(Ordering::Relaxed);
        loop {
            thread::sleep(DRAIN_LOOK);
            let now = Instant::now();
            let begun = self.shared.ids.load(Ordering::Relaxed);
            if begun != seen || self.shared.in_flight.load(Ordering::Relaxed) > 0 {
                quiet = now;
            }
            seen = begun;
            let is_done = now >= earliest && now >= quiet + QUIET;
            if is_done || now >= latest {
                break;
            }
        }
        self.stop();
        started.elapsed()
    }

    /// Ends the host's threads at once, as if the process died.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.server.stop();
        let _ = self.feed.send(feed::News::Stop);
        self.shared.core.send(core::Event::Stop);
    }
}

/// Opens the links to other hosts.
fn mesh(
    settings: &Settings,
    incarnation: u64,
    core: core::Handle,
    relays: Relays,
) -> Result<Mesh, Error> {
    let listen = address("peer_listen", &settings.peer_listen)?;
    let config = peer::config::Config::new(
        settings.host.as_str(),
        incarnation,
        settings.availability_zone.as_str(),
        settings.peer_secret.as_str(),
        Listen::Address(listen),
    );
    Mesh::new(config, move |event| match event {
        peer::mesh::Event::Open(incoming) => relays.take(incoming),
        event => core.send(core::Event::Peer(event)),
    })
    .map_err(|error| Error::Peer(error.to_string().into()))
}

/// Runs an entry host until it is told to stop. `read` reads its settings, at the start and again when
/// the log level may have changed.
///
/// # Errors
///
/// What keeps the host from starting.
pub fn run<E>(read: impl Fn() -> Result<Settings, E>) -> Result<(), E>
where
    E: From<Error> + std::fmt::Display,
{
    let settings = read()?;
    let mut level = settings.log.level;
    log::install(&settings.log)?;
    limit_files(settings.pool.open_files.into());
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::from)?;
    let host = Host::new(settings)?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match read() {
            Ok(settings) => {
                log::change_level(level, settings.log.level);
                level = settings.log.level;
            }
            Err(error) => spdlog::error!("log: level stays, the settings are faulty: {error}"),
        }
    }
    spdlog::info!("entry: leaving");
    let took = host.drain();
    spdlog::info!("entry: left after {} ms", took.as_millis());
    Ok(())
}

/// Asks the system for `wanted` open files, as far as it allows.
fn limit_files(wanted: u64) {
    let set = Resource::NOFILE.get().and_then(|(_, hard)| {
        let soft = wanted.min(hard);
        Resource::NOFILE.set(soft, hard).map(|()| soft)
    });
    match set {
        Ok(soft) if soft < wanted => spdlog::warn!("entry: open files are limited to {soft}"),
        Ok(_) => {}
        Err(error) => spdlog::warn!("entry: cannot set the limit of open files: {error}"),
    }
}

/// A number that rises with each start of a host.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

fn address(path: &'static str, text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::setting(path, format!("'{text}' is not IP:PORT")))
}
