//! Serves the connections of callers and other hosts: HTTP/1.1 with limits on how long a request head
//! may take, how long a connection may be idle, and on what is held for all of them.
//!
//! Many callers keep connections that are idle most of the time, and the buffers of an HTTP
//! connection account for most of its memory. So the buffers are freed whenever the response has
//! been sent and no further bytes have been received; only the socket is kept.

pub(crate) mod body;
pub(crate) mod uploads;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Extensions, Request, Response};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use self::body::Body;
use crate::budget::{Account, Budget, Charge, Exceeded};
use crate::duration;
use crate::steer::holdings::Stage;

/// Interval at which a connection in use is checked against its time limits, which may change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which an idle connection is checked: most connections are idle, and each check wakes
/// the process. So an idle connection may be closed this much later than its time limit, until
/// which callers use it.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// The part of a read buffer that is charged before a request is received, in bytes.
const CHARGED_BUFFER_BYTES: usize = 16 << 10;
/// How often a read is tried again while other connections are being closed.
const MAX_CHARGE_ATTEMPTS: u32 = 1000;
/// Memory of a connection without a request, in bytes.
const IDLE_BYTES: usize = 8 << 10;
/// Memory of a request besides the buffers of its connection, in bytes: the parsed head, the task, and
/// the connection to a target.
const REQUEST_BYTES: usize = 32 << 10;
/// Time limit for the admission of an accepted connection, in which another one has to be closed.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for sending a refusal to a caller whose connection has to be closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Memory of a connection with a request: the buffer that is read into, the one before it, of which a
/// slice may be in use, and the head, if it is recorded.
fn serving_bytes(edge: &Edge, buffer_bytes: usize) -> usize {
    let buffer_bytes = buffer_bytes.min(CHARGED_BUFFER_BYTES);
    edge.repeated_lengths.buffers() * buffer_bytes + REQUEST_BYTES
}

/// Limits on the connections of callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Size of the buffer that a request is read into, which its head has to fit into, in bytes.
    pub(crate) buffer_bytes: usize,
    /// How long a head may take.
    pub(crate) head_timeout: Duration,
    /// How long a connection may be idle, or an answer may make no progress.
    pub(crate) idle_timeout: Duration,
}

/// Tells connections to close once they are idle.
#[derive(Default)]
pub(crate) struct Closing {
    is_set: Cell<bool>,
    signal: Notify,
}

impl Closing {
    /// Closes all connections that are idle, or as soon as they are.
    pub(crate) fn set(&self) {
        self.is_set.set(true);
        self.signal.notify_waiters();
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn wait(&self) {
        while !self.is_set.get() {
            self.signal.notified().await;
        }
    }
}

/// What connections of one kind have in common.
pub(crate) struct Edge {
    /// Returns the limits in force.
    pub(crate) limits: Box<dyn Fn() -> Limits>,
    pub(crate) closing: Rc<Closing>,
    /// Logs that a connection was closed for others, and what it was used for.
    pub(crate) log_closed: Box<dyn Fn(&'static str)>,
    /// Builds the response to a request that can't be parsed, from the status.
    pub(crate) unparsed: Option<fn(u16) -> Bytes>,
    /// Number of headers that a request may have.
    pub(crate) max_headers: usize,
    /// Whether a request is marked whose length is stated twice.
    pub(crate) repeated_lengths: RepeatedLengths,
}

/// What happens with a request that states the length of its body more than once. The HTTP library
/// goes by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RepeatedLengths {
    /// It is handled like any other.
    Accepted,
    /// It is marked by [`RepeatedLength`].
    Marked,
}

impl RepeatedLengths {
    /// The number of buffers that a head may be in.
    fn buffers(self) -> usize {
        match self {
            Self::Accepted => 2,
            Self::Marked => 3,
        }
    }
}

/// Request extension: the length of the body is stated more than once.
#[derive(Clone, Copy)]
pub(crate) struct RepeatedLength;

/// The runtime's clock, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
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
    /// Whether a response is being sent.
    is_responding: Cell<bool>,
    /// What is sent in place of the next bytes that the HTTP library writes.
    replacement: RefCell<Option<Replacement>>,
    /// Whether [`CLOSE_HEADER`] is to be added to the response that is sent next.
    announces_close: Cell<bool>,
    /// The head that is being received, as far as it is recorded.
    head: RefCell<Vec<u8>>,
    /// Number of bytes of a head that have been received.
    head_bytes: Cell<usize>,
    /// What is charged for a read buffer beyond [`CHARGED_BUFFER_BYTES`].
    buffer_charge: RefCell<Charge>,
    /// How often a read was put off since others have to be closed first.
    charge_attempts: Cell<u32>,
    account: Account,
}

impl ConnectionState {
    fn new(account: Account) -> Self {
        Self {
            buffer_charge: RefCell::new(Charge::new(&account)),
            head_bytes: Cell::new(0),
            charge_attempts: Cell::new(0),
            account,
            is_unanswered: Cell::new(false),
            is_responding: Cell::new(false),
            replacement: RefCell::default(),
            announces_close: Cell::new(false),
            head: RefCell::default(),
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

/// What is sent in place of bytes that the HTTP library writes.
struct Replacement {
    bytes: Bytes,
    /// Number of bytes that it stands for.
    replaced: usize,
}

/// The header that [`AnnounceClose`] adds.
const CLOSE_HEADER: &[u8] = b"connection: close\r\n";

/// Response extension: the response tells the caller to close the connection. Requests that it has
/// sent already are still answered: with a header of its own, the HTTP library would drop them.
#[derive(Clone, Copy)]
pub(crate) struct AnnounceClose;

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
    /// See [`Edge::unparsed`].
    replace: Option<fn(u16) -> Bytes>,
    repeated_lengths: RepeatedLengths,
    /// Size of the buffer that a head has to fit into.
    buffer_bytes: usize,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match self.charge_buffer(buf.remaining()) {
            Ok(true) => self.state.charge_attempts.set(0),
            Ok(false) => {
                // The connections that have to be closed are polled first.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Err(error) => return Poll::Ready(Err(io::Error::other(error))),
        }
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
        if matches!(self.state.phase.get(), Phase::Head(_)) {
            let received = buf.filled().len() - before;
            let head_bytes = &self.state.head_bytes;
            head_bytes.set(head_bytes.get() + received);
        }
        if self.records_head() {
            let mut head = self.state.head.borrow_mut();
            let room = self.buffer_bytes.saturating_sub(head.len());
            let received = &buf.filled()[before..];
            head.extend_from_slice(&received[..received.len().min(room)]);
        }
        result
    }
}

impl TrackedStream {
    /// Charges what a buffer with room for so many bytes takes beyond what is charged in advance.
    /// Returns whether it may be filled now.
    fn charge_buffer(&self, room: usize) -> Result<bool, Exceeded> {
        if self.buffer_bytes <= CHARGED_BUFFER_BYTES {
            return Ok(true);
        }
        let size = (self.state.head_bytes.get() + room).min(self.buffer_bytes);
        let needed = size.saturating_sub(CHARGED_BUFFER_BYTES) * self.repeated_lengths.buffers();
        let charge = &mut *self.state.buffer_charge.borrow_mut();
        let missing = needed.saturating_sub(charge.bytes());
        if missing == 0 || charge.try_grow(missing)? {
            return Ok(true);
        }
        let attempts = &self.state.charge_attempts;
        attempts.set(attempts.get() + 1);
        if attempts.get() > MAX_CHARGE_ATTEMPTS {
            return Err(Exceeded);
        }
        Ok(false)
    }

    /// Whether a head is being received that is to be recorded. The rest of a refused body is none.
    fn records_head(&self) -> bool {
        self.repeated_lengths == RepeatedLengths::Marked
            && matches!(self.state.phase.get(), Phase::Head(_))
            && !self.state.has_unread_body.get()
    }

    /// Prepares what is sent in place of these bytes, if that is something else.
    fn prepare_replacement(&self, bytes: &[u8]) {
        let replacement = &mut *self.state.replacement.borrow_mut();
        if replacement.is_some() {
            return;
        }
        if self.state.announces_close.get() {
            let end_of_line = bytes.windows(2).position(|pair| pair == b"\r\n");
            if let Some(end) = end_of_line {
                self.state.announces_close.set(false);
                let line = &bytes[..end + 2];
                *replacement = Some(Replacement {
                    bytes: [line, CLOSE_HEADER].concat().into(),
                    replaced: line.len(),
                });
            }
            return;
        }
        // The HTTP library's own response to a request that it can't parse.
        let is_own = !self.state.is_responding.get() && self.state.phase.get() != Phase::Busy;
        let status = bytes.get(9..12).filter(|_| is_own);
        let status = status.and_then(|status| std::str::from_utf8(status).ok()?.parse().ok());
        if let (Some(replace), Some(status)) = (self.replace, status) {
            *replacement = Some(Replacement {
                bytes: replace(status),
                replaced: bytes.len(),
            });
        }
    }

    /// Sends what was prepared, if anything was. Is ready with the number of bytes that it replaces
    /// when all of it is sent.
    fn poll_replacement(&self, cx: &mut Context<'_>) -> Option<Poll<io::Result<usize>>> {
        let replacement = &mut *self.state.replacement.borrow_mut();
        let current = replacement.as_mut()?;
        while current.bytes.has_remaining() {
            match self.tcp.poll_write_ready(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => return Some(Poll::Ready(Err(error))),
                Poll::Pending => return Some(Poll::Pending),
            }
            match self.tcp.try_write(&current.bytes) {
                Ok(written) => current.bytes.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Some(Poll::Ready(Err(error))),
            }
        }
        let replaced = current.replaced;
        *replacement = None;
        Some(Poll::Ready(Ok(replaced)))
    }

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
        self.prepare_replacement(buf);
        let written = match self.poll_replacement(cx) {
            Some(written) => written,
            None => Pin::new(&mut self.tcp).poll_write(cx, buf),
        };
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_replacement(bufs.first().map_or(&[], |buf| buf));
        let written = match self.poll_replacement(cx) {
            Some(written) => written,
            None => Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs),
        };
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.tcp).poll_flush(cx);
        self.state.is_flushed.set(result.is_ready());
        if result.is_ready() && self.state.phase.get() != Phase::Busy {
            self.state.is_responding.set(false);
        }
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

/// Passes each connection that `listener` accepts to `handle`, with its account, and with a pause after
/// a failure.
pub(crate) async fn accept_each(
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

/// Answers the requests of a connection until it ends.
pub(crate) async fn serve_connection<F, R>(
    edge: &Edge,
    stream: TcpStream,
    account: Account,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    let Ok(_charge) = account.charge(IDLE_BYTES).await else {
        return;
    };
    let mut next = Some(TrackedStream {
        tcp: stream,
        unparsed: Bytes::new(),
        state: Rc::new(ConnectionState::new(account)),
        replace: edge.unparsed,
        repeated_lengths: edge.repeated_lengths,
        buffer_bytes: (edge.limits)().buffer_bytes,
    });
    while let Some(stream) = next.take() {
        if stream.unparsed.has_remaining() || wait_readable(edge, &stream).await {
            let account = stream.state.account.clone();
            account.set_stage(Stage::Waiting);
            let buffer_bytes = (edge.limits)().buffer_bytes;
            let Ok(_charge) = account.charge(serving_bytes(edge, buffer_bytes)).await else {
                return;
            };
            // Boxed, so that it takes no memory while the connection is idle.
            next = Box::pin(serve_requests(edge, stream, buffer_bytes, &handler)).await;
            if let Some(stream) = &next {
                stream.state.buffer_charge.replace(Charge::new(&account));
            }
            account.set_stage(Stage::Idle);
        }
    }
}

/// Waits until the stream is readable; returns false if the connection is to be closed.
async fn wait_readable(edge: &Edge, stream: &TrackedStream) -> bool {
    loop {
        tokio::select! {
            readable = stream.tcp.readable() => return readable.is_ok(),
            () = edge.closing.wait() => return false,
            () = stream.state.account.wait_for_closing() => {
                (edge.log_closed)("idle");
                return false;
            }
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {
                if exceeded_limit(edge, &stream.state) != ExceededLimit::None {
                    return false;
                }
            }
        }
    }
}

/// Answers requests until the connection is idle; returns the stream unless the connection has
/// ended.
async fn serve_requests<F, R>(
    edge: &Edge,
    stream: TrackedStream,
    buffer_bytes: usize,
    handler: &F,
) -> Option<TrackedStream>
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    let state = stream.state.clone();
    let caller = stream.tcp.peer_addr().ok().map(|address| address.ip());
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(caller) = caller {
            request.extensions_mut().insert(caller);
        }
        request.extensions_mut().insert(state.account.clone());
        if states_length_twice(&state.head.take(), edge.max_headers) {
            request.extensions_mut().insert(RepeatedLength);
        }
        state.phase.set(Phase::Busy);
        state.head_bytes.set(0);
        state.is_unanswered.set(true);
        state.has_unread_body.set(!request.body().is_end_stream());
        let guard = AnswerGuard(state.clone());
        let answer = Box::pin(handler(request));
        async move {
            let response = answer.await;
            guard.0.is_unanswered.set(false);
            guard.0.is_responding.set(true);
            guard.0.account.set_stage(Stage::Waiting);
            if response.extensions().get::<BodyConsumed>().is_some() {
                guard.0.has_unread_body.set(false);
            }
            let announces_close = response.extensions().get::<AnnounceClose>().is_some();
            guard.0.announces_close.set(announces_close);
            let until = response.extensions().get::<StreamUntil>();
            guard.0.stream_until.set(until.map(|until| until.0));
            Ok::<_, Infallible>(response.map(|body| body::with_guard(body, guard)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(buffer_bytes)
        .max_headers(edge.max_headers)
        .auto_date_header(false);
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut check_timer = tokio::time::interval_at((now() + CHECK_INTERVAL).into(), CHECK_INTERVAL);
    let mut deadline = pin!(tokio::time::sleep(Duration::ZERO));
    let mut is_closing = false;
    let account = state.account.clone();
    let mut refusal_timer = pin!(tokio::time::sleep(Duration::ZERO));
    let mut is_refusing = false;
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
                        // An orderly end would complete a response without a length.
                        if error.is_user() || error.is_body_write_aborted() {
                            reset_on_close(&connection.into_parts().io.into_inner().tcp);
                        }
                    }
                    return None;
                }
                Progress::TooLate => {
                    // Otherwise the caller would go on reading what the kernel has buffered.
                    reset_on_close(&connection.into_parts().io.into_inner().tcp);
                    return None;
                }
            },
            () = account.wait_for_closing(), if !is_refusing => {
                (edge.log_closed)("in use");
                let is_refusable =
                    state.is_unanswered.get() && account.stage() == Some(Stage::Waiting);
                if !is_refusable {
                    return None;
                }
                // The handler refuses the request, which has not run.
                is_refusing = true;
                is_closing = true;
                refusal_timer.as_mut().reset((now() + REFUSAL_TIMEOUT).into());
                Pin::new(&mut connection).graceful_shutdown();
            }
            () = &mut refusal_timer, if is_refusing => return None,
            () = edge.closing.wait(), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            _ = check_timer.tick() => match exceeded_limit(edge, &state) {
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

/// Whether a recorded head states the length of the body more than once.
fn states_length_twice(head: &[u8], max_headers: usize) -> bool {
    if head.is_empty() {
        return false;
    }
    let mut headers = vec![httparse::EMPTY_HEADER; max_headers];
    let mut request = httparse::Request::new(&mut headers);
    if request.parse(head).is_err() {
        return false;
    }
    let lengths = request.headers.iter().filter(|header| {
        [CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .any(|name| header.name.eq_ignore_ascii_case(name.as_str()))
    });
    lengths.count() > 1
}

/// Resets a socket when it is closed.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        spdlog::debug!("serve: cannot configure a socket: {error}");
    }
}

fn exceeded_limit(edge: &Edge, state: &ConnectionState) -> ExceededLimit {
    let limits = (edge.limits)();
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
