//! The entry host's daemon: the core actor runs on one stakker thread, I/O on other threads.

mod background;
mod body;
mod call;
mod classify;
mod config_sync;
mod control;
mod core;
mod error;
mod front;
mod head;
mod health;
mod idempotency;
mod log;
pub(crate) mod metrics;
mod pipelining;
mod platform;
mod published;
mod raw_socket;
mod relay;
mod reply;
mod request;
mod revision;
mod server;
mod stage;
mod status;
mod target;
mod watchdog;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{bounded, unbounded, Receiver};
use rlimit::Resource;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::border::settings::Settings;
use crate::peer;
use crate::peer::config::Listen;
use crate::peer::mesh::Mesh;
use crate::steer::ticket::{Issuer, Rotation};
use crate::supervisor::Supervisor;

pub use error::Error;

use self::core::Dependencies;
use background::{BackgroundTask, TaskSender};
use front::{Front, RelayPool};
use metrics::Metrics;
use published::Published;
use reply::Reply;
use server::Server;

/// Time limit for the core's status report, and the `Retry-After` if it is exceeded.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the look-up TTL a leaving host serves.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// Longest time that a leaving host waits for its requests to end.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3600);
/// Time without requests after which a leaving host ends. Longer than the 1 s `Retry-After` of a caller that
/// was refused elsewhere and returns with this host's ticket.
const IDLE_BEFORE_STOP: Duration = Duration::from_millis(1500);
/// How often a leaving host checks for requests in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The state shared by the threads of one host.
pub(crate) struct Shared {
    pub(crate) settings: Arc<Settings>,
    pub(crate) core: core::Handle,
    pub(crate) published: Arc<Published>,
    pub(crate) targets: target::Client,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) issuer: Issuer,
    pub(crate) mesh: Arc<Mesh>,
    background: TaskSender,
    incarnation: u64,
    ids: AtomicU64,
    in_flight: Arc<AtomicUsize>,
    pub(crate) supervisor: Supervisor,
}

impl Shared {
    /// Returns a new request number, unique within this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the identifier of a request for targets, unique among all hosts.
    pub(crate) fn request_id(&self, id: u64) -> String {
        format!("{}-{}-{id}", self.settings.host, self.incarnation)
    }

    /// Queues a background task; drops it if the queue is full.
    pub(crate) fn run_in_background(&self, task: BackgroundTask) {
        if let Err(full) = self.background.try_send(task) {
            background::return_grant(&self.core, full.into_inner());
        }
    }

    /// Cancels a request at a target in the background.
    pub(crate) fn cancel(&self, target: SocketAddr, id: String) {
        self.run_in_background(BackgroundTask::Cancel(target, id));
    }

    /// Builds the answer to a status request.
    pub(crate) fn status(&self) -> Reply {
        let (sender, receiver) = bounded(1);
        self.core.send(core::Event::Status(sender));
        match receiver.recv_timeout(STATUS_TIMEOUT) {
            Ok(status) => {
                let in_flight = self.in_flight.load(Ordering::Relaxed);
                Reply::json(200, &status.with_in_flight(in_flight))
            }
            Err(_) => Reply::not_run(503, "the core is busy", Some(STATUS_TIMEOUT)),
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_in_flight(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.in_flight.clone())
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running entry host.
pub struct Host {
    server: Server,
    shared: Arc<Shared>,
    config_events: config_sync::EventSender,
    stop: Arc<AtomicBool>,
    failed: Receiver<&'static str>,
}

impl Host {
    /// Starts an entry host.
    ///
    /// # Errors
    ///
    /// A setting is invalid, or a socket or thread could not be created.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let listen = parse_address("listen", &settings.listen)?;
        let idle_timeout = Duration::from_millis(settings.pool.idle_ms.into());
        let listener = server::listen(listen, idle_timeout).map_err(|source| Error::Listen {
            address: listen,
            source,
        })?;
        let incarnation = new_incarnation();
        let rotation = Rotation::new(Instant::now());
        let published = Arc::new(Published::new());
        let (background, tasks) = background::task_queue();
        let metrics = Arc::new(Metrics::new()?);
        let (store_commands, store_command_receiver) = unbounded();
        let (config_events, config_event_receiver) = unbounded();
        let is_delegate = Arc::new(AtomicBool::new(false));
        let supervisor = supervise(&metrics);
        let (failures, failed) = bounded(1);
        let dependencies = Dependencies {
            settings: settings.clone(),
            published: published.clone(),
            background: background.clone(),
            rotation,
            incarnation,
            store_commands,
            config_events: config_events.clone(),
            metrics: metrics.clone(),
            is_delegate: is_delegate.clone(),
            supervisor: supervisor.clone(),
        };
        let core = core::start(dependencies, failures)?;
        let current = Arc::new(config_sync::CurrentRevision::default());
        config_sync::start(
            core.clone(),
            current.clone(),
            config_event_receiver,
            &supervisor,
        )?;
        let (relays, relayed_requests) = RelayPool::new(settings.pool.backlog.get() as usize);
        let mesh = Arc::new(build_mesh(
            &settings,
            incarnation,
            core.clone(),
            relays,
            supervisor.clone(),
        )?);
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
            background,
            incarnation,
            ids: AtomicU64::new(0),
            in_flight: Arc::default(),
            supervisor: supervisor.clone(),
            settings,
        });
        background::start(&shared, &tasks, &supervisor)?;
        RelayPool::start(&shared, &relayed_requests)?;
        let front = Front::new(shared.clone())?;
        let platform = platform::PlatformClient {
            url: shared.settings.platform.as_str().into(),
            core: core.clone(),
            config_events: config_events.clone(),
            current,
            is_delegate,
            stop: stop.clone(),
            seed: incarnation,
        };
        platform::start(&platform, store_command_receiver, &supervisor)?;
        let zone = &shared.settings.availability_zone;
        health::start(zone, &shared.published, &core, &stop, &supervisor)?;
        let threads = shared.settings.pool.lookup_workers.get() as usize;
        let handler = Arc::new(move |request| front.handle(request));
        let shared_for_rebuilds = shared.clone();
        let on_rebuild = Box::new(move || shared_for_rebuilds.metrics.count_rebuild());
        let server = Server::new(
            listener,
            threads,
            idle_timeout,
            handler,
            on_rebuild,
            supervisor,
        )?;
        spdlog::info!(
            "entry: {} listens on {}",
            shared.settings.host,
            server.address()
        );
        Ok(Self {
            server,
            shared,
            config_events,
            stop,
            failed,
        })
    }

    /// Waits until a part of the host has failed without which it can't serve; returns its name, or
    /// `None` once the host has been stopped.
    pub fn failure(&self) -> impl Fn() -> Option<&'static str> + Send + 'static {
        let failed = self.failed.clone();
        move || failed.recv().ok()
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully: removes this host from look-ups, serves until callers have dropped its address
    /// and all requests have ended, then stops. Returns how long that took.
    pub fn drain(self) -> Duration {
        let started = Instant::now();
        self.shared.core.send(core::Event::Leave);
        let ttl = self.shared.published.get().catalog.limits().lookup_ttl;
        let earliest = started + ttl + LEAVE_MARGIN;
        let latest = started + MAX_DRAIN_TIME;
        let mut last_active = Instant::now();
        let mut last_id = self.shared.ids.load(Ordering::Relaxed);
        loop {
            thread::sleep(DRAIN_CHECK_INTERVAL);
            let now = Instant::now();
            let next_id = self.shared.ids.load(Ordering::Relaxed);
            if next_id != last_id || self.shared.in_flight.load(Ordering::Relaxed) > 0 {
                last_active = now;
            }
            last_id = next_id;
            let is_done = now >= earliest && now >= last_active + IDLE_BEFORE_STOP;
            if is_done || now >= latest {
                break;
            }
        }
        self.stop();
        started.elapsed()
    }

    /// Stops the host's threads immediately, without draining.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.server.stop();
        let _ = self.config_events.send(config_sync::ConfigEvent::Stop);
        self.shared.core.send(core::Event::Stop);
    }
}

/// Creates the supervisor of a host's threads, which logs and counts their panics.
fn supervise(metrics: &Arc<Metrics>) -> Supervisor {
    let metrics = metrics.clone();
    Supervisor::new(move |name, reason| {
        metrics.count_task_failure(name);
        spdlog::error!("task: {name} panicked: {reason}");
    })
}

/// Creates the mesh of links to other hosts.
fn build_mesh(
    settings: &Settings,
    incarnation: u64,
    core: core::Handle,
    relays: RelayPool,
    supervisor: Supervisor,
) -> Result<Mesh, Error> {
    let listen = parse_address("peer_listen", &settings.peer_listen)?;
    let config = peer::config::Config::new(
        settings.host.as_str(),
        incarnation,
        settings.availability_zone.as_str(),
        settings.peer_secret.as_str(),
        Listen::Address(listen),
    );
    Mesh::new(config, move |event| match event {
        peer::mesh::Event::Open(incoming) => relays.enqueue(incoming),
        peer::mesh::Event::TaskFailed { task, reason } => supervisor.report(task, &reason),
        event => core.send(core::Event::Peer(event)),
    })
    .map_err(|error| Error::Peer(error.to_string().into()))
}

/// Runs an entry host until SIGTERM or SIGINT. `read` reads its settings, at the start and again on SIGHUP,
/// which applies a changed log level.
///
/// # Errors
///
/// The settings cannot be read, or the host cannot be started.
pub fn run<E>(read: impl Fn() -> Result<Settings, E>) -> Result<(), E>
where
    E: From<Error> + std::fmt::Display,
{
    let settings = read()?;
    let mut level = settings.log.level;
    log::install(&settings.log)?;
    raise_file_limit(settings.pool.open_files.into());
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(Error::from)?;
    let host = Host::new(settings)?;
    let (wait_for_failure, handle) = (host.failure(), signals.handle());
    let failure = Arc::new(OnceLock::new());
    let noticed = failure.clone();
    thread::spawn(move || {
        if let Some(name) = wait_for_failure() {
            let _ = noticed.set(name);
            handle.close();
        }
    });
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
    if let Some(name) = failure.get() {
        return Err(Error::Failed(name).into());
    }
    spdlog::info!("entry: leaving");
    let elapsed = host.drain();
    spdlog::info!("entry: left after {} ms", elapsed.as_millis());
    Ok(())
}

/// Raises the limit of open files to `wanted`, or as far as the hard limit allows.
fn raise_file_limit(wanted: u64) {
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

/// Returns a number that increases with each start of a host: its start time in microseconds.
fn new_incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

fn parse_address(path: &'static str, text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::setting(path, format!("'{text}' is not IP:PORT")))
}
