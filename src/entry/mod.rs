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
use crate::budget::{self, Budget};
use crate::edge::uploads::Uploads;
use crate::peer;
use crate::peer::config::Listen;
use crate::peer::mesh::Mesh;
use crate::steer::dedupe::DEFAULT_MAX_BYTES;
use crate::steer::ticket::{Issuer, Rotation};
use crate::supervisor::Supervisor;

pub use error::Error;
pub use platform::CHECK_INTERVAL;

use self::core::Dependencies;
use background::{BackgroundTask, TaskSender};
use front::{Front, RelayPool};
use metrics::Metrics;
use published::Published;
use reply::Reply;
use server::Server;

/// Memory of a thread, in bytes: the part of its stack that is in use, and what the allocator keeps
/// for it.
const THREAD_BYTES: u64 = 64 << 10;
/// One part in so many of the memory without the threads may be used by records of idempotency keys,
/// and by windows of streams between hosts.
const KEYS_SHARE: u64 = 16;
const WINDOWS_SHARE: u64 = 32;
/// Time limit for the core's status report, and the `Retry-After` if it is exceeded.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the look-up TTL a leaving host serves.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// Part of the grace period in which a leaving host still serves callers.
const SERVE_FRACTION: f64 = 0.45;
/// Part of the grace period after which no request is carried any more.
const END_FRACTION: f64 = 0.9;
/// Time after that for the answers to be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// How long a leaving host that refuses requests must have had none until it ends.
const QUIET_BEFORE_STOP: Duration = Duration::from_millis(100);
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
    /// The budget for what is held for callers, targets and other hosts.
    pub(crate) budget: Budget,
    pub(crate) uploads: Uploads,
    background: TaskSender,
    incarnation: u64,
    ids: AtomicU64,
    in_flight: Arc<AtomicUsize>,
    is_refusing: AtomicBool,
    /// When this host ends at the latest, once it is leaving.
    latest_end: OnceLock<Instant>,
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
        InFlightGuard::new(&self.in_flight)
    }

    /// Begins to leave: no request is carried beyond `latest`.
    fn leave(&self, latest: Instant) {
        let _ = self.latest_end.set(latest);
        self.core.send(core::Event::Leave);
    }

    /// Whether requests are refused, as this host is about to end.
    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Limits the deadline of a request to the end of this host.
    pub(crate) fn limit_deadline(&self, deadline: Instant) -> Instant {
        let latest = self.latest_end.get();
        latest.map_or(deadline, |latest| deadline.min(*latest))
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

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
        let listener = server::listen(listen).map_err(|source| Error::Listen {
            address: listen,
            source,
        })?;
        let incarnation = new_incarnation();
        let rotation = Rotation::new(Instant::now());
        let published = Arc::new(Published::new());
        let (background, tasks) = background::task_queue();
        let metrics = Arc::new(Metrics::new()?);
        let memory = Memory::new(&settings);
        let budget = build_budget(&settings, &memory, metrics.clone());
        let (store_commands, store_command_receiver) = unbounded();
        let (config_events, config_event_receiver) = unbounded();
        let is_delegate = Arc::new(AtomicBool::new(false));
        let supervisor = supervise(&metrics);
        let (failures, failed) = bounded(1);
        let dependencies = Dependencies {
            settings: settings.clone(),
            published: published.clone(),
            background: background.clone(),
            key_bytes: memory.keys,
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
            memory.windows,
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
            targets: target::Client::new(connect, settings.pool.head_bytes as usize, &budget),
            metrics,
            issuer: Issuer::new(settings.host.as_str().into(), incarnation, rotation),
            mesh,
            background,
            incarnation,
            ids: AtomicU64::new(0),
            budget: budget.clone(),
            uploads: Uploads::default(),
            in_flight: Arc::default(),
            is_refusing: AtomicBool::new(false),
            latest_end: OnceLock::new(),
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
        let restarted = shared.clone();
        let on_restart = Box::new(move || restarted.metrics.count_rebuild());
        let head_bytes = shared.settings.pool.head_bytes as usize;
        let server = Server::new(
            listener,
            threads,
            server::limits(&budget, head_bytes, idle_timeout),
            front,
            budget,
            on_restart,
            &supervisor,
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

    /// Shuts down gracefully within the grace period: removes this host from look-ups, and serves until
    /// callers have dropped its address, each answer closing its connection. Then refuses requests and
    /// connections, and stops when all requests have been answered. Returns how long that took.
    pub fn drain(self) -> Duration {
        let started = Instant::now();
        let grace = Duration::from_millis(self.shared.settings.grace_ms.into());
        let latest = started + grace.mul_f64(END_FRACTION);
        self.server.leave();
        self.shared.leave(latest);
        self.await_idle(started, started + grace.mul_f64(SERVE_FRACTION));
        self.shared.is_refusing.store(true, Ordering::Relaxed);
        self.server.close();
        let mut last_open = Instant::now();
        while Instant::now() < latest + ANSWER_MARGIN && last_open.elapsed() < QUIET_BEFORE_STOP {
            thread::sleep(DRAIN_CHECK_INTERVAL);
            let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
            if in_flight > 0 || self.server.open_requests() > 0 {
                last_open = Instant::now();
            }
        }
        self.stop();
        started.elapsed()
    }

    /// Waits until callers have dropped this host's address and send nothing any more, at most until
    /// `latest`.
    fn await_idle(&self, started: Instant, latest: Instant) {
        let ttl = self.shared.published.get().catalog.limits().lookup_ttl;
        let earliest = started + ttl + LEAVE_MARGIN;
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
                return;
            }
        }
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
    window_bytes: usize,
    incarnation: u64,
    core: core::Handle,
    relays: RelayPool,
    supervisor: Supervisor,
) -> Result<Mesh, Error> {
    let listen = parse_address("peer_listen", &settings.peer_listen)?;
    let mut config = peer::config::Config::new(
        settings.host.as_str(),
        incarnation,
        settings.availability_zone.as_str(),
        settings.peer_secret.as_str(),
        Listen::Address(listen),
    );
    config.window_pool_bytes = window_bytes;
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

/// How the memory of the process is divided, in bytes.
struct Memory {
    /// What is left for the process itself and its peers.
    rest: u64,
    /// Records of idempotency keys.
    keys: usize,
    /// Windows of streams between hosts, beyond the first part of each.
    windows: usize,
}

impl Memory {
    fn new(settings: &Settings) -> Self {
        let pool = &settings.pool;
        let configured = Some(pool.memory_mb).filter(|megabytes| *megabytes > 0);
        let workers = pool.workers.get();
        let threads = workers + workers / 4 + pool.relay_workers.get() + pool.lookup_workers.get();
        let available = budget::available_memory(configured);
        let free = available.saturating_sub(u64::from(threads) * THREAD_BYTES);
        let part = |share: u64, most: usize| {
            usize::try_from(free / share).map_or(most, |bytes| bytes.min(most))
        };
        let keys = part(KEYS_SHARE, DEFAULT_MAX_BYTES);
        let windows = part(WINDOWS_SHARE, peer::config::DEFAULT_WINDOW_POOL_BYTES);
        // The budget counts as much again for what the allocator can't reuse.
        let reserved = 2 * (keys + windows) as u64;
        Self {
            rest: free.saturating_sub(reserved),
            keys,
            windows,
        }
    }
}

/// The budget for what the host holds for its peers.
fn build_budget(settings: &Settings, memory: &Memory, metrics: Arc<Metrics>) -> Budget {
    let descriptors = budget::available_descriptors(Some(settings.pool.open_files));
    Budget::new(memory.rest, descriptors, move |shortage| {
        metrics.count_closed_peer(shortage);
    })
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
