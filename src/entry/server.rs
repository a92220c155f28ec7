//! The HTTP edge towards callers, on `tiny_http`.
//!
//! All that the library does badly at its edges is dealt with here, so that it could be exchanged:
//!
//! - One failed `accept` ends a `tiny_http::Server` for good. The listening socket is therefore kept
//!   here and a new server is built on a duplicate of it; the old one goes on for the connections it
//!   has.
//! - It has no time-outs. They are set on the listening socket, from which each accepted socket
//!   inherits them. Since they make an idle `accept` fail, a probe connects more often than that.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::Request;

/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Pause before a server is built anew after `accept` failed.
const REBUILD_PAUSE: Duration = Duration::from_millis(50);
/// How long a replaced server is still read from without a request.
const RETIRE_AFTER: Duration = Duration::from_secs(600);
/// Replaced servers that are still read from, at most.
const MAX_RETIRED: usize = 32;
/// How often a blocked thread looks whether it should stop.
const STOP_CHECK: Duration = Duration::from_millis(250);
/// The probe connects this many times within the sockets' time-out.
const PROBES_PER_TIMEOUT: u32 = 3;

/// What a request is handed to.
pub(crate) type Handler = Arc<dyn Fn(Request) + Send + Sync>;

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
    stop: AtomicBool,
    rebuilt: AtomicU64,
    retired: Mutex<usize>,
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
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            listener,
            address,
            threads,
            idle,
            handler,
            stop: AtomicBool::new(false),
            rebuilt: AtomicU64::new(0),
            retired: Mutex::new(0),
        });
        Inner::serve(&inner)?;
        let probe = inner.clone();
        thread::Builder::new()
            .name("probe".into())
            .spawn(move || probe.probe())?;
        Ok(Self { inner })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// How often the library's server had to be built anew.
    pub(crate) fn rebuilt(&self) -> u64 {
        self.inner.rebuilt.load(Ordering::Relaxed)
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
        let server = Arc::new(server);
        let replaced = Arc::new(AtomicBool::new(false));
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

    fn rebuild(inner: &Arc<Self>) {
        while !inner.stop.load(Ordering::Relaxed) {
            thread::sleep(REBUILD_PAUSE);
            match Self::serve(inner) {
                Ok(()) => {
                    inner.rebuilt.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Err(error) => spdlog::warn!("http: cannot build the server anew: {error}"),
            }
        }
    }

    /// Connects now and then, so that `accept` never reaches the socket's time-out.
    fn probe(&self) {
        let pause = self.idle / PROBES_PER_TIMEOUT;
        let mut next = Instant::now() + pause;
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(STOP_CHECK.min(pause));
            if Instant::now() < next {
                continue;
            }
            next = Instant::now() + pause;
            if let Err(error) = TcpStream::connect_timeout(&self.address, pause) {
                spdlog::warn!("http: own socket does not accept: {error}");
            }
        }
    }
}

/// One thread that takes requests from one server.
struct Receiver {
    inner: Arc<Inner>,
    server: Arc<tiny_http::Server>,
    replaced: Arc<AtomicBool>,
    first: bool,
}

impl Receiver {
    fn run(self) {
        let mut last = Instant::now();
        while !self.inner.stop.load(Ordering::Relaxed) {
            match self.server.recv_timeout(STOP_CHECK) {
                Ok(Some(request)) => {
                    last = Instant::now();
                    (self.inner.handler)(request);
                }
                Ok(None) => {
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

    /// Whether a replaced server needs this thread no more.
    fn is_done(&self, last: Instant) -> bool {
        if !self.replaced.load(Ordering::Relaxed) {
            return false;
        }
        if !self.first {
            return true;
        }
        let mut retired = self
            .inner
            .retired
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *retired = (*retired).min(MAX_RETIRED);
        last.elapsed() > RETIRE_AFTER
    }
}
