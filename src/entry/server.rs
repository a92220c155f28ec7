//! The HTTP edge towards callers, on `tiny_http`.
//!
//! All workarounds for limits of the library are here and in the modules named below, so that the library
//! could be replaced:
//!
//! - One failed `accept` ends a `tiny_http::Server` permanently, and silently if its thread panics because
//!   the process has no file descriptors left. The listening socket is therefore kept here and a new server
//!   is built on a duplicate of it; the old one keeps serving its existing connections. A probe connects to
//!   the socket to detect a server that has ended.
//! - It has no time-outs. They are set on the listening socket, from which each accepted socket
//!   inherits them. Since they also make an idle `accept` fail, the probe connects more often than that.
//! - It returns the pipelined requests of one connection at once, and the thread that sends an answer then
//!   blocks until the earlier ones are sent. [`super::pipelining`] admits them one after the other.
//! - It reads the unread rest of a body without a time limit, or parses it as the next request.
//!   [`super::request`] prevents both.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver as ChannelReceiver, RecvTimeoutError};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::pipelining::ConnectionTable;
use super::request::Request;
use super::watchdog::{TimeoutAction, Watchdog};
use super::InFlightGuard;
use crate::supervisor::Supervisor;

/// Maximum number of connections waiting to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// How much longer than [`STOP_CHECK_INTERVAL`] a thread may wait for a request before this process
/// counts as paused.
const MAX_WAKE_UP_DELAY: Duration = Duration::from_millis(30);
/// How long after a pause requests are read that arrived during it.
const LATE_READ_PERIOD: Duration = Duration::from_secs(1);
/// Pause before a server is rebuilt after `accept` failed.
const REBUILD_PAUSE: Duration = Duration::from_millis(50);
/// How long a replaced server is still polled after its last request.
const RETIRE_AFTER: Duration = Duration::from_secs(600);
/// How often a blocked thread checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum number of probes within the time-out of the sockets.
const MIN_PROBES_PER_TIMEOUT: u32 = 3;
/// Longest time between two probes, and the time limit for the answer to one.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the server is rebuilt.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// The request that the probe sends.
const PROBE_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
/// Time limit for handling a request on a thread that receives requests; without it, a caller that
/// does not read its answer would block the thread.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Called with each request.
pub(crate) type Handler = Arc<dyn Fn(Request) + Send + Sync>;
/// Called when the library's server was rebuilt.
pub(crate) type RebuildHandler = Box<dyn Fn() + Send + Sync>;

/// A listening server.
pub(crate) struct Server {
    inner: Arc<Inner>,
}

struct Inner {
    listener: TcpListener,
    address: SocketAddr,
    threads: usize,
    idle_timeout: Duration,
    handler: Handler,
    on_rebuild: RebuildHandler,
    /// The flag of the newest server, set when that server is replaced.
    replaced: Mutex<Arc<AtomicBool>>,
    stop: AtomicBool,
    /// Whether answers tell callers to close their connections.
    is_leaving: Arc<AtomicBool>,
    /// Whether no connections are accepted any more.
    is_closed: AtomicBool,
    /// Requests that have been read and not been answered yet.
    open: Arc<AtomicUsize>,
    /// When a pause of this process was last noticed.
    paused_at: Mutex<Option<Instant>>,
    connections: Arc<ConnectionTable>,
    watchdog: Watchdog,
    supervisor: Supervisor,
}

/// Opens a listening socket whose time-outs each accepted socket inherits.
pub(crate) fn listen(address: SocketAddr, idle_timeout: Duration) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(idle_timeout))?;
    socket.set_write_timeout(Some(idle_timeout))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

impl Server {
    /// Serves `listener` with `threads` threads that pass each request to `handler`.
    pub(crate) fn new(
        listener: TcpListener,
        threads: usize,
        idle_timeout: Duration,
        handler: Handler,
        on_rebuild: RebuildHandler,
        supervisor: Supervisor,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (ready, queued) = unbounded();
        let inner = Arc::new(Inner {
            listener,
            address,
            threads,
            idle_timeout,
            handler,
            on_rebuild,
            replaced: Mutex::default(),
            stop: AtomicBool::new(false),
            is_leaving: Arc::default(),
            is_closed: AtomicBool::new(false),
            open: Arc::default(),
            paused_at: Mutex::default(),
            connections: ConnectionTable::new(ready),
            watchdog: Watchdog::new(&supervisor)?,
            supervisor,
        });
        Inner::serve(&inner)?;
        for index in 0..threads {
            let inner = inner.clone();
            let queued = queued.clone();
            let supervisor = inner.supervisor.clone();
            supervisor.spawn(format!("next-{index}"), move || {
                inner.handle_queued(&queued)
            })?;
        }
        let prober = inner.clone();
        let supervisor = inner.supervisor.clone();
        supervisor.spawn("probe", move || Inner::probe(&prober))?;
        Ok(Self { inner })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Has all answers from now on tell callers to close their connections.
    pub(crate) fn leave(&self) {
        self.inner.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Accepts no connections any more; those that are open are served on.
    pub(crate) fn close(&self) {
        self.inner.is_closed.store(true, Ordering::Relaxed);
        let socket = SockRef::from(&self.inner.listener);
        if let Err(error) = socket.shutdown(Shutdown::Read) {
            spdlog::warn!("http: cannot close the listening socket: {error}");
        }
    }

    /// The number of requests that have been read and not been answered yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.inner.open.load(Ordering::Relaxed)
    }

    /// Ends the server's threads; requests already passed to the handler continue.
    pub(crate) fn stop(&self) {
        self.inner.stop.store(true, Ordering::Relaxed);
    }
}

impl Inner {
    /// Builds a server on a duplicate of the listening socket and starts its threads.
    fn serve(inner: &Arc<Self>) -> io::Result<()> {
        let listener = inner.listener.try_clone()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(Mutex::new(server));
        let replaced = Arc::new(AtomicBool::new(false));
        *inner.replaced_flag() = replaced.clone();
        for index in 0..inner.threads {
            let receiver = RequestReceiver {
                inner: inner.clone(),
                server: server.clone(),
                replaced: replaced.clone(),
                is_first: index == 0,
            };
            inner
                .supervisor
                .spawn(format!("http-{index}"), move || receiver.run())?;
        }
        Ok(())
    }

    fn replaced_flag(&self) -> MutexGuard<'_, Arc<AtomicBool>> {
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how long a thread has waited for a request, and returns whether the process was paused so
    /// recently that requests may be read late.
    fn note_wait(&self, wait: Duration) -> bool {
        let mut paused_at = self
            .paused_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if wait > STOP_CHECK_INTERVAL + MAX_WAKE_UP_DELAY {
            *paused_at = Some(Instant::now());
        }
        paused_at.is_some_and(|at| at.elapsed() < LATE_READ_PERIOD)
    }

    fn rebuild(inner: &Arc<Self>) {
        while !inner.stop.load(Ordering::Relaxed) {
            thread::sleep(REBUILD_PAUSE);
            match Self::serve(inner) {
                Ok(()) => {
                    (inner.on_rebuild)();
                    return;
                }
                Err(error) => spdlog::warn!("http: cannot build the server anew: {error}"),
            }
        }
    }

    /// Handles requests that were queued behind an earlier one of their connection.
    fn handle_queued(&self, queued: &ChannelReceiver<Request>) {
        while !self.stop.load(Ordering::Relaxed) {
            match queued.recv_timeout(STOP_CHECK_INTERVAL) {
                Ok(request) => self.handle(request),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle(&self, request: Request) {
        let peer = request.remote_addr().copied();
        let _guard = peer.map(|peer| {
            self.watchdog
                .guard(peer, HANDLER_TIMEOUT, TimeoutAction::Close)
        });
        self.supervisor.catch("request", || (self.handler)(request));
    }

    /// Sends a probe at regular intervals, so that `accept` never reaches the socket's time-out and a
    /// server that no longer accepts connections is replaced.
    fn probe(inner: &Arc<Self>) {
        let interval = MAX_PROBE_INTERVAL.min(inner.idle_timeout / MIN_PROBES_PER_TIMEOUT);
        let mut next_probe = Instant::now() + interval;
        let mut unanswered = 0;
        while !inner.stop.load(Ordering::Relaxed) {
            thread::sleep(STOP_CHECK_INTERVAL.min(interval));
            if Instant::now() < next_probe || inner.is_closed.load(Ordering::Relaxed) {
                continue;
            }
            inner.connections.purge(Instant::now());
            match inner.send_probe() {
                Ok(()) => unanswered = 0,
                Err(error) => {
                    spdlog::warn!("http: own socket does not answer: {error}");
                    unanswered += 1;
                }
            }
            if unanswered >= MAX_UNANSWERED_PROBES {
                unanswered = 0;
                inner.replaced_flag().store(true, Ordering::Relaxed);
                Self::rebuild(inner);
            }
            next_probe = Instant::now() + interval;
        }
    }

    /// Sends the probe; any answer counts as success.
    fn send_probe(&self) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.address, MAX_PROBE_INTERVAL)?;
        stream.set_read_timeout(Some(MAX_PROBE_INTERVAL))?;
        stream.set_write_timeout(Some(MAX_PROBE_INTERVAL))?;
        stream.write_all(PROBE_REQUEST)?;
        stream.read_exact(&mut [0])
    }
}

/// The state of one thread that receives requests from one server.
struct RequestReceiver {
    inner: Arc<Inner>,
    /// Locked while waiting for a request, so that requests of one connection keep their order.
    server: Arc<Mutex<tiny_http::Server>>,
    replaced: Arc<AtomicBool>,
    is_first: bool,
}

/// The result of waiting for a request.
enum Received {
    Request(Box<Request>),
    /// A request was queued behind an earlier one of its connection.
    Queued,
    Nothing,
}

impl RequestReceiver {
    fn run(&self) {
        let mut last_request = Instant::now();
        while !self.inner.stop.load(Ordering::Relaxed) {
            match self.receive() {
                Ok(Received::Request(request)) => {
                    last_request = Instant::now();
                    self.inner.handle(*request);
                }
                Ok(Received::Queued) => last_request = Instant::now(),
                Ok(Received::Nothing) => {
                    if self.is_done(last_request) {
                        break;
                    }
                }
                // The library accepts nothing any more, and returns the requests of open connections.
                Err(_) if self.inner.is_closed.load(Ordering::Relaxed) => {}
                Err(error) => {
                    spdlog::warn!("http: accept failed, building the server anew: {error}");
                    self.replaced.store(true, Ordering::Relaxed);
                    Inner::rebuild(&self.inner);
                }
            }
        }
    }

    fn receive(&self) -> io::Result<Received> {
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        let started = Instant::now();
        let received = server.recv_timeout(STOP_CHECK_INTERVAL)?;
        let is_late = self.inner.note_wait(started.elapsed());
        let Some(request) = received else {
            return Ok(Received::Nothing);
        };
        let open = InFlightGuard::new(&self.inner.open);
        let request = Request::new(request, &self.inner.watchdog)
            .with_late_read(is_late)
            .with_shutdown(self.inner.is_leaving.clone(), open);
        let admitted = ConnectionTable::admit(&self.inner.connections, request);
        Ok(admitted.map_or(Received::Queued, |request| {
            Received::Request(Box::new(request))
        }))
    }

    /// Whether this thread's server was replaced and no longer needs the thread.
    fn is_done(&self, last_request: Instant) -> bool {
        let replaced = self.replaced.load(Ordering::Relaxed);
        replaced && (!self.is_first || last_request.elapsed() > RETIRE_AFTER)
    }
}
