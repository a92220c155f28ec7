//! Serves incoming connections: HTTP/1.1 with limits on how long a request head may take and how
//! long a connection may be idle.
//!
//! Many callers keep connections that are idle most of the time, and the buffers of an HTTP
//! connection account for most of its memory. So the buffers are freed whenever the response has
//! been sent and no further bytes have been received; only the socket is kept.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::{pin, Pin};
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
use super::{answer, client, log, now, shutdown, task, Error, Host};
use crate::budget::{Account, Budget};
use crate::duration;
use crate::steer::holdings::Stage;

/// Listen backlog: connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for instance when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a connection in use is checked against its time limits, which may change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which an idle connection is checked: most connections are idle, and each check wakes
/// the process. So an idle connection may be closed this much later than its time limit, until
/// which callers use it.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Limit on a request head before the first configuration, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Memory of a connection without a request, in bytes.
const IDLE_BYTES: usize = 4 << 10;
/// Memory of a request besides the buffers of its connection, in bytes: the parsed head, the task, and
/// the connection to a target.
const REQUEST_BYTES: usize = 32 << 10;
/// Time limit for the admission of an accepted connection, in which another one has to be closed.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for sending a refusal to a caller whose connection has to be closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The size of the buffer that a request is read into, of which the head may have `head_bytes` bytes.
pub(crate) fn read_buffer_bytes(head_bytes: usize) -> usize {
    head_bytes.max(MIN_BUFFER_BYTES)
}

/// Memory of a connection with a request whose head may have `head_bytes` bytes: the buffer that is
/// read into, and the one before it, of which a slice may be in use.
fn serving_bytes(head_bytes: usize) -> usize {
    2 * read_buffer_bytes(head_bytes) + REQUEST_BYTES
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Waiting for a request since this time.
    Idle(Instant),
    /// Receiving a request head since this time.
    Head(Instant),
    /// Answering a request.
    Busy,
}

/// State of a connection, shared by its stream and its request handler.
struct ConnectionState {
    phase: Cell<Phase>,
    /// Whether everything written has been flushed to the socket.
    is_flushed: Cell<bool>,
    /// Whether a part of the last request's body may still arrive.
    has_unread_body: Cell<bool>,
    /// Since when writes to the caller have been blocked.
    blocked_since: Cell<Option<Instant>>,
    /// Until when the response that is being sent may be streamed.
    stream_until: Cell<Option<Instant>>,
    /// Whether a request is being handled that has no response yet.
    is_unanswered: Cell<bool>,
    account: Account,
}

impl ConnectionState {
    fn new(account: Account) -> Self {
        Self {
            account,
            is_unanswered: Cell::new(false),
            phase: Cell::new(Phase::Idle(now())),
            is_flushed: Cell::new(true),
            has_unread_body: Cell::new(false),
            blocked_since: Cell::new(None),
            stream_until: Cell::new(None),
        }
    }

    /// Whether the last response has been sent and no further bytes have been received. While the
    /// rest of a body may arrive, only hyper can tell its bytes from a new request.
    fn is_idle(&self) -> bool {
        let is_waiting = matches!(self.phase.get(), Phase::Idle(_));
        is_waiting && self.is_flushed.get() && !self.has_unread_body.get()
    }
}

/// Response extension: the request's body has been read completely.
#[derive(Clone, Copy)]
pub(crate) struct BodyConsumed;

/// Response extension: the time until which the body may be streamed. It may be endless.
#[derive(Clone, Copy)]
pub(crate) struct StreamUntil(pub(crate) Instant);

/// Marks the connection as idle when dropped, after a request has been answered.
struct AnswerGuard(Rc<ConnectionState>);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.phase.set(Phase::Idle(now()));
        self.0.is_unanswered.set(false);
        self.0.stream_until.set(None);
    }
}

/// A TCP stream that records its activity in a [`ConnectionState`].
struct TrackedStream {
    tcp: TcpStream,
    /// Bytes already read that belong to the next request.
    unparsed: Bytes,
    state: Rc<ConnectionState>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = if self.unparsed.has_remaining() {
            let count = self.unparsed.len().min(buf.remaining());
            buf.put_slice(&self.unparsed.split_to(count));
            Poll::Ready(Ok(()))
        } else {
            Pin::new(&mut self.tcp).poll_read(cx, buf)
        };
        if buf.filled().len() > before && matches!(self.state.phase.get(), Phase::Idle(_)) {
            self.state.phase.set(Phase::Head(now()));
        }
        result
    }
}

impl TrackedStream {
    fn record_write<T>(&self, written: &Poll<io::Result<T>>) {
        self.state.is_flushed.set(false);
        let since = self.state.blocked_since.get().unwrap_or_else(now);
        let blocked_since = written.is_pending().then_some(since);
        self.state.blocked_since.set(blocked_since);
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.tcp).poll_flush(cx);
        self.state.is_flushed.set(result.is_ready());
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

/// The account of the connection that a request arrived on, from its extensions.
pub(crate) fn account(extensions: &Extensions) -> Option<&Account> {
    extensions.get()
}

/// The address of the caller, from a request's extensions.
pub(crate) fn caller_address(extensions: &Extensions) -> IpAddr {
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

/// Answers requests on all connections that `listener` accepts, until the host stops. `name` is that
/// of the task.
pub(crate) fn start<F, R>(host: &Rc<Host>, name: &'static str, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let listener = Rc::new(listener);
    task::start_until_close(host, name, move |host| {
        accept(host, listener.clone(), handler)
    });
}

async fn accept<F, R>(host: Rc<Host>, listener: Rc<TcpListener>, handler: F) -> Infallible
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    accept_each(
        &host.budget,
        &listener,
        ACCEPT_PAUSE,
        |stream, _, account| {
            let connection = serve_connection(host.clone(), stream, account, handler);
            task::spawn(&host, "connection", connection);
        },
    )
    .await
}

/// Passes each connection that `listener` accepts to `handle`, with its account, and with a pause after
/// a failure.
pub(super) async fn accept_each(
    budget: &Budget,
    listener: &TcpListener,
    pause: Duration,
    handle: impl Fn(TcpStream, SocketAddr, Account),
) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let admission = tokio::time::timeout(ADMISSION_TIMEOUT, budget.admit());
                if let Ok(Some(account)) = admission.await {
                    handle(stream, address, account);
                }
            }
            Err(error) => {
                spdlog::warn!("serve: cannot accept a connection: {error}");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

async fn serve_connection<F, R>(host: Rc<Host>, stream: TcpStream, account: Account, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let _guard = shutdown::ConnectionGuard::new(&host);
    if let Err(error) = client::configure_socket(&stream) {
        spdlog::debug!("serve: cannot configure the socket of a connection: {error}");
        return;
    }
    let Ok(_charge) = account.charge(IDLE_BYTES).await else {
        return;
    };
    let mut next = Some(TrackedStream {
        tcp: stream,
        unparsed: Bytes::new(),
        state: Rc::new(ConnectionState::new(account)),
    });
    while let Some(stream) = next.take() {
        if stream.unparsed.has_remaining() || wait_readable(&host, &stream).await {
            let account = stream.state.account.clone();
            account.set_stage(Stage::Waiting);
            let head_bytes = head_limit(&host);
            let Ok(_charge) = account.charge(serving_bytes(head_bytes)).await else {
                return;
            };
            // Boxed, so that it takes no memory while the connection is idle.
            next = Box::pin(serve_requests(&host, stream, head_bytes, handler)).await;
            account.set_stage(Stage::Idle);
        }
    }
}

/// The limit on the head of a request, in bytes.
fn head_limit(host: &Host) -> usize {
    let limits = host.core.borrow().table.limits();
    limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes)
}

/// Waits until the stream is readable; returns false if the connection is to be closed.
async fn wait_readable(host: &Host, stream: &TrackedStream) -> bool {
    loop {
        tokio::select! {
            readable = stream.tcp.readable() => return readable.is_ok(),
            () = host.shutdown.wait_for_close() => return false,
            () = stream.state.account.wait_for_closing() => {
                log::connection_closed(host, "idle");
                return false;
            }
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {
                if exceeded_limit(host, &stream.state) != ExceededLimit::None {
                    return false;
                }
            }
        }
    }
}

/// Answers requests until the connection is idle; returns the stream unless the connection has
/// ended.
async fn serve_requests<F, R>(
    host: &Rc<Host>,
    stream: TrackedStream,
    head_bytes: usize,
    handler: F,
) -> Option<TrackedStream>
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let state = stream.state.clone();
    let caller = stream.tcp.peer_addr().ok().map(|address| address.ip());
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(caller) = caller {
            request.extensions_mut().insert(caller);
        }
        request.extensions_mut().insert(state.account.clone());
        state.phase.set(Phase::Busy);
        state.is_unanswered.set(true);
        state.has_unread_body.set(!request.body().is_end_stream());
        let guard = AnswerGuard(state.clone());
        let answer = Box::pin(handler(host.clone(), request));
        async move {
            let response = task::catch(host, "request", answer).await;
            let response = response.unwrap_or_else(|| answer::outcome_unknown("the host failed\n"));
            guard.0.is_unanswered.set(false);
            guard.0.account.set_stage(Stage::Waiting);
            if response.extensions().get::<BodyConsumed>().is_some() {
                guard.0.has_unread_body.set(false);
            }
            let until = response.extensions().get::<StreamUntil>();
            guard.0.stream_until.set(until.map(|until| until.0));
            Ok::<_, Infallible>(response.map(|body| body::with_guard(body, guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(read_buffer_bytes(head_bytes))
        .auto_date_header(false);
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut check_timer = tokio::time::interval_at((now() + CHECK_INTERVAL).into(), CHECK_INTERVAL);
    let mut deadline = pin!(tokio::time::sleep(Duration::ZERO));
    let mut is_closing = false;
    let account = state.account.clone();
    // A request that has not run is refused first.
    let mut closing = pin!(async {
        account.wait_for_closing().await;
        if state.is_unanswered.get() && account.stage() == Some(Stage::Waiting) {
            tokio::time::sleep(REFUSAL_TIMEOUT).await;
        }
    });
    loop {
        let work = poll_fn(|cx| match Pin::new(&mut connection).poll(cx) {
            Poll::Ready(end) => Poll::Ready(Progress::Ended(end)),
            Poll::Pending if state.is_idle() && !is_closing => Poll::Ready(Progress::Idle),
            Poll::Pending => {
                let Some(until) = state.stream_until.get().map(Into::into) else {
                    return Poll::Pending;
                };
                if deadline.deadline() != until {
                    deadline.as_mut().reset(until);
                }
                deadline.as_mut().poll(cx).map(|()| Progress::TooLate)
            }
        });
        tokio::select! {
            biased;
            progress = work => match progress {
                Progress::Idle => break,
                Progress::Ended(end) => {
                    if let Err(error) = end {
                        spdlog::debug!("serve: a connection failed: {error}");
                    }
                    return None;
                }
                Progress::TooLate => {
                    // Otherwise the caller would go on reading what the kernel has buffered.
                    client::reset_on_close(&connection.into_parts().io.into_inner().tcp);
                    return None;
                }
            },
            () = &mut closing => {
                log::connection_closed(host, "in use");
                return None;
            }
            () = host.shutdown.wait_for_close(), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            _ = check_timer.tick() => match exceeded_limit(host, &state) {
                ExceededLimit::None => {}
                ExceededLimit::Idle if is_closing => {}
                ExceededLimit::Idle => {
                    is_closing = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                ExceededLimit::Caller => return None,
            }
        }
    }
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner();
    stream.unparsed = parts.read_buf;
    Some(stream)
}

/// Why serving a connection pauses or ends.
enum Progress {
    /// The connection waits for a request.
    Idle,
    Ended(hyper::Result<()>),
    /// A response is being streamed after its request's deadline.
    TooLate,
}

/// The time limit that a connection has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExceededLimit {
    None,
    /// It was idle for too long.
    Idle,
    /// The caller takes too long to send a request head or to receive a response.
    Caller,
}

fn exceeded_limit(host: &Host, state: &ConnectionState) -> ExceededLimit {
    let Some(limits) = host.core.borrow().table.limits() else {
        return ExceededLimit::None;
    };
    let blocked_since = state.blocked_since.get();
    if blocked_since.is_some_and(|since| now() > duration::after(since, limits.idle_timeout)) {
        return ExceededLimit::Caller;
    }
    match state.phase.get() {
        Phase::Idle(since) if now() > duration::after(since, limits.idle_timeout) => {
            ExceededLimit::Idle
        }
        Phase::Head(since) if now() > duration::after(since, limits.head_timeout) => {
            ExceededLimit::Caller
        }
        _ => ExceededLimit::None,
    }
}
