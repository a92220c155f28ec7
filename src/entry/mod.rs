//! The entry host's daemon: actors on one stakker thread, I/O on others.

mod body;
mod call;
mod core;
mod cut;
mod error;
mod front;
mod head;
mod keyed;
mod later;
mod log;
mod metrics;
mod platform;
mod published;
mod relay;
mod reply;
mod revision;
mod server;
mod stage;
mod target;
mod verdict;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
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

/// What the threads of one host share.
pub(crate) struct Shared {
    pub(crate) settings: Arc<Settings>,
    pub(crate) core: core::Handle,
    pub(crate) published: Arc<Published>,
    pub(crate) targets: target::Client,
    pub(crate) metrics: Metrics,
    pub(crate) issuer: Issuer,
    pub(crate) mesh: Arc<Mesh>,
    later: Queue,
    incarnation: u64,
    ids: AtomicU64,
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
        let state = self.published.get();
        Reply::json(
            200,
            &Status {
                host: &self.settings.host,
                availability_zone: &self.settings.availability_zone,
                incarnation: self.incarnation,
                revision: state.catalog.revision,
            },
        )
    }
}

#[derive(Serialize)]
struct Status<'a> {
    host: &'a str,
    availability_zone: &'a str,
    incarnation: u64,
    revision: u64,
}

/// A running entry host.
pub struct Host {
    server: Server,
    core: core::Handle,
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
        let core = core::start(Parts {
            settings: settings.clone(),
            published: published.clone(),
            later: later.clone(),
            rotation,
            incarnation,
        })?;
        let (relays, relayed) = Relays::new(settings.pool.backlog.get() as usize);
        let mesh = Arc::new(mesh(&settings, incarnation, core.clone(), relays)?);
        core.send(core::Event::Mesh(mesh.clone()));
        let stop = Arc::new(AtomicBool::new(false));
        let connect = Duration::from_millis(settings.pool.connect_ms.get().into());
        let shared = Arc::new(Shared {
            core: core.clone(),
            published,
            targets: target::Client::new(connect),
            metrics: Metrics::new()?,
            issuer: Issuer::new(settings.host.as_str().into(), incarnation, rotation),
            mesh,
            later,
            incarnation,
            ids: AtomicU64::new(0),
            settings,
        });
        later::start(&shared, &work)?;
        Relays::start(&shared, &relayed)?;
        let front = Front::new(shared.clone())?;
        platform::start(&shared.settings.platform, core.clone(), stop.clone())?;
        let threads = shared.settings.pool.lookup_workers.get() as usize;
        let handler = Arc::new(move |request| front.take(request));
        let server = Server::new(listener, threads, idle, handler)?;
        spdlog::info!(
            "entry: {} listens on {}",
            shared.settings.host,
            server.address()
        );
        Ok(Self { server, core, stop })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends the host's threads.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.server.stop();
        self.core.send(core::Event::Stop);
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

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// What keeps the host from starting.
pub fn run(settings: Settings) -> Result<(), Error> {
    log::install(&settings.log)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let host = Host::new(settings)?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
    }
    spdlog::info!("entry: stopping");
    host.stop();
    thread::sleep(Duration::from_millis(100));
    Ok(())
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
