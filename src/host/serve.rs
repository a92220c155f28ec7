//! Incoming connections: HTTP/1.1 with bounds on how long a head may take and a connection may idle.
//!
//! Many callers keep connections on which nothing happens most of the time, and the buffers of an HTTP
//! connection are most of what it costs in memory. So they are given back whenever an answer is out and
//! nothing else has come, and only the socket waits.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use http::{Extensions, Request, Response};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::body::{self, Body};
use super::{client, now, shutdown, Error, Host};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, when descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);
/// How often a connection's times are checked, as the bounds may change.
const CHECK: Duration = Duration::from_secs(1);
/// How often a connection that waits for a request is looked at: most wait, and each look wakes the process. An idle one
/// may so be closed this much later than its bound, before which callers use it.
const LOOK: Duration = Duration::from_secs(5);
/// The least buffer that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8192;
/// Bound on a request head before the first configuration, in bytes.
const DEFAULT_HEAD: usize = 16 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It waits for a request since then.
    Idle(Instant),
    /// A head began to arrive then.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// What the two sides of the HTTP library tell of a connection.
struct Watch {
    phase: Cell<Phase>,
    /// Whether all that was written has gone to the socket.
    flushed: Cell<bool>,
    /// Whether a part of the last request's body may still come.
    unread: Cell<bool>,
    /// Since when the caller takes nothing of what is written.
    stalled: Cell<Option<Instant>>,
}

impl Watch {
    fn new() -> Self {
        Self {
            phase: Cell::new(Phase::Idle(now())),
            flushed: Cell::new(true),
            unread: Cell::new(false),
            stalled: Cell::new(None),
        }
    }

    /// Whether the last answer is out and nothing else has come. While the rest of a body may come, only
    /// the HTTP library knows that it is not a request.
    fn is_at_rest(&self) -> bool {
        let idle = matches!(self.phase.get(), Phase::Idle(_));
        idle && self.flushed.get() && !self.unread.get()
    }
}

/// A mark on an answer: the request's body has been read to its end.
#[derive(Clone, Copy)]
pub(crate) struct ReadWhole;

/// Ends the phase in which a request is answered.
struct Answering(Rc<Watch>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.phase.set(Phase::Idle(now()));
    }
}

/// A stream that notes what happens on it.
struct Watched {
    stream: TcpStream,
    /// What was read before and belongs to the next request.
    rest: Bytes,
    watch: Rc<Watch>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = if self.rest.has_remaining() {
            let count = self.rest.len().min(buf.remaining());
            buf.put_slice(&self.rest.split_to(count));
            Poll::Ready(Ok(()))
        } else {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        };
        if buf.filled().len() > before && matches!(self.watch.phase.get(), Phase::Idle(_)) {
            self.watch.phase.set(Phase::Head(now()));
        }
        result
    }
}

impl Watched {
    fn note<T>(&self, written: &Poll<io::Result<T>>) {
        self.watch.flushed.set(false);
        let since = self.watch.stalled.get().unwrap_or_else(now);
        let stalled = written.is_pending().then_some(since);
        self.watch.stalled.set(stalled);
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch.flushed.set(flushed.is_ready());
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The address that a request with these extensions came from.
pub(crate) fn caller(extensions: &Extensions) -> IpAddr {
    let caller = extensions.get::<IpAddr>().copied();
    caller.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED))
}

/// Listens on `address`.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| Error::Listen { address, source })
}

/// Answers requests on all connections that `listener` accepts, until the host stops.
pub(crate) async fn accept<F, R>(host: Rc<Host>, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let all = each(&listener, PAUSE, |stream, _| {
        tokio::task::spawn_local(connection(host.clone(), stream, handler));
    });
    tokio::select! {
        () = all => {}
        () = host.stop.closing() => {}
    }
}

/// Hands each connection that `listener` accepts to `take`, with a pause after a failure.
pub(super) async fn each(
    listener: &TcpListener,
    pause: Duration,
    take: impl Fn(TcpStream, SocketAddr),
) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => take(stream, address),
            Err(error) => {
                spdlog::warn!("serve: cannot accept a connection: {error}");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn connection<F, R>(host: Rc<Host>, stream: TcpStream, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let _guard = shutdown::Guard::new(&host);
    if let Err(error) = client::watch(&stream) {
        spdlog::debug!("serve: a connection ended at once: {error}");
        return;
    }
    let mut next = Some(Watched {
        stream,
        rest: Bytes::new(),
        watch: Rc::new(Watch::new()),
    });
    while let Some(watched) = next.take() {
        if watched.rest.has_remaining() || wait(&host, &watched).await {
            // On the heap, so that it takes no memory while the connection waits.
            next = Box::pin(serve(&host, watched, handler)).await;
        }
    }
}

/// Waits until something comes; false if the connection is to end.
async fn wait(host: &Host, watched: &Watched) -> bool {
    loop {
        tokio::select! {
            readable = watched.stream.readable() => return readable.is_ok(),
            () = host.stop.closing() => return false,
            () = tokio::time::sleep(LOOK) => {
                if overdue(host, &watched.watch) != Overdue::No {
                    return false;
                }
            }
        }
    }
}

/// Answers requests until nothing more has come; gives the connection back unless it has ended.
async fn serve<F, R>(host: &Rc<Host>, watched: Watched, handler: F) -> Option<Watched>
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let watch = watched.watch.clone();
    let caller = watched.stream.peer_addr().ok().map(|address| address.ip());
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(caller) = caller {
            request.extensions_mut().insert(caller);
        }
        watch.phase.set(Phase::Busy);
        watch.unread.set(!request.body().is_end_stream());
        let answering = Answering(watch.clone());
        let answer = Box::pin(handler(host.clone(), request));
        async move {
            let response = answer.await;
            if response.extensions().get::<ReadWhole>().is_some() {
                answering.0.unread.set(false);
            }
            Ok::<_, Infallible>(response.map(|body| body::guarded(body, answering)))
        }
    });
    let limits = host.core.borrow().table.limits();
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.head_bytes);
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(head.max(MIN_BUFFER))
        .auto_date_header(false);
    let mut connection = builder.serve_connection(TokioIo::new(watched), service);
    let mut check = tokio::time::interval_at((now() + CHECK).into(), CHECK);
    let mut leaving = false;
    loop {
        let work = poll_fn(|cx| match Pin::new(&mut connection).poll(cx) {
            Poll::Ready(end) => Poll::Ready(Some(end)),
            Poll::Pending if watch.is_at_rest() && !leaving => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            biased;
            end = work => match end {
                None => break,
                Some(end) => {
                    if let Err(error) = end {
                        spdlog::debug!("serve: a connection ended: {error}");
                    }
                    return None;
                }
            },
            () = host.stop.closing(), if !leaving => {
                leaving = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            _ = check.tick() => match overdue(host, &watch) {
                Overdue::No => {}
                Overdue::Idle if leaving => {}
                Overdue::Idle => {
                    leaving = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                Overdue::Caller => return None,
            }
        }
    }
    let parts = connection.into_parts();
    let mut watched = parts.io.into_inner();
    watched.rest = parts.read_buf;
    Some(watched)
}

/// Which of its bounds a connection has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overdue {
    No,
    /// It waited too long for a request.
    Idle,
    /// The caller takes too long to send a head, or to take an answer.
    Caller,
}

fn overdue(host: &Host, watch: &Watch) -> Overdue {
    let Some(limits) = host.core.borrow().table.limits() else {
        return Overdue::No;
    };
    let stalled = watch.stalled.get();
    if stalled.is_some_and(|since| now() > since + limits.idle_timeout) {
        return Overdue::Caller;
    }
    match watch.phase.get() {
        Phase::Idle(since) if now() > since + limits.idle_timeout => Overdue::Idle,
        Phase::Head(since) if now() > since + limits.head_timeout => Overdue::Caller,
        _ => Overdue::No,
    }
}
