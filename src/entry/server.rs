//! The HTTP edge towards callers, on `tiny_http`.
//!
//! All that the library does badly at its edges is dealt with here, so that it could be exchanged:
//!
//! - One failed `accept` ends a `tiny_http::Server` for good, and if its thread panics for lack of
//!   files, without a word. The listening socket is therefore kept here and a new server is built on
//!   a duplicate of it; the old one goes on for the connections it has. A probe asks through the
//!   socket whether that is due.
//! - It has no time-outs. They are set on the listening socket, from which each accepted socket
//!   inherits them. Since they make an idle `accept` fail, the probe connects more often than that.
//! - It hands over the requests of one connection at once, and an answer then waits for those before
//!   it, with its thread. [`super::pipelining`] lets them through one after the other.
//! - It reads the rest of a body that nobody asked for, without end, or takes it for the next
//!   request. [`super::request`] sees to that.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver as Queue, RecvTimeoutError};
use socket2::{Domain, Protocol, Socket, Type};

use super::pipelining::Turns;
use super::request::Request;
use super::watchdog::{Act, Watch};

/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Pause before a server is built anew after `accept` failed.
const REBUILD_PAUSE: Duration = Duration::from_millis(50);
/// How long a replaced server is still read from without a request.
const RETIRE_AFTER: Duration = Duration::from_secs(600);
/// How often a blocked thread looks whether it should stop.
const STOP_CHECK: Duration = Duration::from_millis(250);
/// The probe connects this many times within the sockets' time-out, or more often.
const PROBES_PER_TIMEOUT: u32 = 3;
/// Longest time between two probes, and for the answer to one.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which the server is built anew.
const MAX_UNANSWERED: u32 = 2;
/// What the probe asks.
const PROBE: &[u8] = b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n";
/// How long a thread that receives requests may take to answer one itself. A caller that does not
/// read would else keep it.
const LONGEST_ANSWER: Duration = Duration::from_secs(2);

/// What a request is handed to.
pub(crate) type Handler = Arc<dyn Fn(Request) + Send + Sync>;
/// Called when the library's server had to be built anew.
pub(crate) type Rebuilt = Box<dyn Fn() + Send + Sync>;

/// A listening server.
pub(crate) struct Server {
    inner: Arc<Inner>,
}

struct Inner {
    listener: TcpListener,
    address: SocketAddr,
    threads: usize,
    idle: Duration,
    handler: Handler,
    rebuilt: Rebuilt,
    /// Set once the newest server is replaced.
    replaced: Mutex<Arc<AtomicBool>>,
    stop: AtomicBool,
    turns: Arc<Turns>,
    watch: Watch,
}

/// Opens a listening socket whose time-outs each accepted socket inherits.
pub(crate) fn listen(address: SocketAddr, idle: Duration) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_read_timeout(Some(idle))?;
    socket.set_write_timeout(Some(idle))?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

impl Server {
    /// Serves `listener` with `threads` threads that hand each request to `handler`.
    pub(crate) fn new(
        listener: TcpListener,
        threads: usize,
        idle: Duration,
        handler: Handler,
        rebuilt: Rebuilt,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (ready, next) = unbounded();
        let inner = Arc::new(Inner {
            listener,
            address,
            threads,
            idle,
            handler,
            rebuilt,
            replaced: Mutex::default(),
            stop: AtomicBool::new(false),
            turns: Turns::new(ready),
            watch: Watch::new()?,
        });
        Inner::serve(&inner)?;
        for index in 0..threads {
            let inner = inner.clone();
            let next = next.clone();
            thread::Builder::new()
                .name(format!("next-{index}"))
                .spawn(move || inner.serve_next(&next))?;
        }
        let probe = inner.clone();
        thread::Builder::new()
            .name("probe".into())
            .spawn(move || Inner::probe(&probe))?;
        Ok(Self { inner })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Ends its threads; requests that were handed over go on.
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
        *inner.newest() = replaced.clone();
        for index in 0..inner.threads {
            let receiver = Receiver {
                inner: inner.clone(),
                server: server.clone(),
                replaced: replaced.clone(),
                first: index == 0,
            };
            thread::Builder::new()
                .name(format!("http-{index}"))
                .spawn(move || receiver.run())?;
        }
        Ok(())
    }

    fn newest(&self) -> MutexGuard<'_, Arc<AtomicBool>> {
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rebuild(inner: &Arc<Self>) {
        while !inner.stop.load(Ordering::Relaxed) {
            thread::sleep(REBUILD_PAUSE);
            match Self::serve(inner) {
                Ok(()) => {
                    (inner.rebuilt)();
                    return;
                }
                Err(error) => spdlog::warn!("http: cannot build the server anew: {error}"),
            }
        }
    }

    /// Handles requests that had to wait for an earlier one of their connection.
    fn serve_next(&self, next: &Queue<Request>) {
        while !self.stop.load(Ordering::Relaxed) {
            match next.recv_timeout(STOP_CHECK) {
                Ok(request) => self.handle(request),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle(&self, request: Request) {
        let peer = request.remote_addr().copied();
        let _guard = peer.map(|peer| self.watch.guard(peer, LONGEST_ANSWER, Act::Close));
        (self.handler)(request);
    }

    /// Asks for an answer now and then, so that `accept` never reaches the socket's time-out and a
    /// server that accepts no more is replaced.
    fn probe(inner: &Arc<Self>) {
        let pause = PROBE_PAUSE.min(inner.idle / PROBES_PER_TIMEOUT);
        let mut next = Instant::now() + pause;
        let mut unanswered = 0;
        while !inner.stop.load(Ordering::Relaxed) {
            thread::sleep(STOP_CHECK.min(pause));
            if Instant::now() < next {
                continue;
            }
            inner.turns.purge(Instant::now());
            match inner.ask_self() {
                Ok(()) => unanswered = 0,
                Err(error) => {
                    spdlog::warn!("http: own socket does not answer: {error}");
                    unanswered += 1;
                }
            }
            if unanswered >= MAX_UNANSWERED {
                unanswered = 0;
                inner.newest().store(true, Ordering::Relaxed);
                Self::rebuild(inner);
            }
            next = Instant::now() + pause;
        }
    }

    /// Any answer will do.
    fn ask_self(&self) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.address, PROBE_PAUSE)?;
        stream.set_read_timeout(Some(PROBE_PAUSE))?;
        stream.set_write_timeout(Some(PROBE_PAUSE))?;
        stream.write_all(PROBE)?;
        stream.read_exact(&mut [0])
    }
}

/// One thread that takes requests from one server.
struct Receiver {
    inner: Arc<Inner>,
    /// Locked while a request is waited for, so that requests of one connection keep their order.
    server: Arc<Mutex<tiny_http::Server>>,
    replaced: Arc<AtomicBool>,
    first: bool,
}

/// What a server has for a thread.
enum Received {
    Request(Box<Request>),
    /// A request that waits for an earlier one of its connection.
    Queued,
    Nothing,
}

impl Receiver {
    fn run(self) {
        let mut last = Instant::now();
        while !self.inner.stop.load(Ordering::Relaxed) {
            match self.receive() {
                Ok(Received::Request(request)) => {
                    last = Instant::now();
                    self.inner.handle(*request);
                }
                Ok(Received::Queued) => last = Instant::now(),
                Ok(Received::Nothing) => {
                    if self.is_done(last) {
                        break;
                    }
                }
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
        let Some(request) = server.recv_timeout(STOP_CHECK)? else {
            return Ok(Received::Nothing);
        };
        let request = Request::new(request, &self.inner.watch);
        let taken = Turns::take(&self.inner.turns, request);
        Ok(taken.map_or(Received::Queued, |request| {
            Received::Request(Box::new(request))
        }))
    }

    /// Whether a replaced server needs this thread no more.
    fn is_done(&self, last: Instant) -> bool {
        let replaced = self.replaced.load(Ordering::Relaxed);
        replaced && (!self.first || last.elapsed() > RETIRE_AFTER)
    }
}
