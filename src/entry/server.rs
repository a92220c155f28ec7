//! The HTTP edge towards callers.
//!
//! One thread serves all connections. It reads the head of each request and its body, or the
//! beginning of a long one, before a thread of a pool handles it: a caller that sends slowly holds
//! none of them. Answers are handed back to it, and no thread waits until a caller has read one,
//! unless it is too long to be buffered.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use crossbeam_channel::{unbounded, Sender};
use futures_util::{stream, Stream, StreamExt};
use http::header::{CONTENT_LENGTH, EXPECT};
use http::{Response, StatusCode};
use http_body_util::{BodyStream, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use super::front::{Dispatch, Front, Prepared};
use super::reply::Reply;
use super::request::{Answer, AnswerBody, Part, Request};
use super::InFlightGuard;
use crate::budget::{Account, Budget, Exceeded};
use crate::edge::body::{self, Body, BodyError, ReceivedBody, Rest};
use crate::edge::{self, uploads, Closing, Edge, Limits, RepeatedLengths};
use crate::entry::body::Body as RequestBody;
use crate::steer::holdings::Stage;
use crate::supervisor::Supervisor;

/// Maximum number of connections waiting to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Number of headers that a request may have.
const MAX_HEADERS: usize = 1000;
/// Bytes of a head besides its names and values: the request line, and signs between them.
const HEAD_SYNTAX_BYTES: usize = 1 << 10;
/// How long the rest of a refused body is read, so that the caller can receive the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of a refused body that are read.
const MAX_DRAIN_BYTES: usize = 32 << 20;
/// Name of the thread that serves the connections.
const THREAD: &str = "http";

/// Called when the thread that serves the connections was started again.
pub(crate) type RestartHandler = Box<dyn Fn() + Send + Sync>;

/// What the server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Open,
    /// It accepts no connections any more.
    Closed,
    Stopped,
}

/// A listening server.
pub(crate) struct Server {
    inner: Arc<Inner>,
}

struct Inner {
    listener: Mutex<Option<TcpListener>>,
    address: SocketAddr,
    limits: Limits,
    front: Arc<Front>,
    lookups: Sender<Request>,
    budget: Budget,
    mode: watch::Sender<Mode>,
    /// Whether answers tell callers to close their connections.
    is_leaving: AtomicBool,
    /// Requests that have been read and not been answered yet.
    open: Arc<AtomicUsize>,
    has_started: AtomicBool,
    on_restart: RestartHandler,
}

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Limits on a caller's connection. The names and values of a head may have `head_bytes` bytes.
pub(crate) fn limits(budget: &Budget, head_bytes: usize, idle_timeout: Duration) -> Limits {
    Limits {
        buffer_bytes: budget.head_buffer(head_bytes + head_bytes / 4 + HEAD_SYNTAX_BYTES),
        head_timeout: idle_timeout,
        idle_timeout,
    }
}

impl Server {
    /// Serves `listener`. `threads` threads answer look-ups.
    pub(crate) fn new(
        listener: TcpListener,
        threads: usize,
        limits: Limits,
        front: Front,
        budget: Budget,
        on_restart: RestartHandler,
        supervisor: &Supervisor,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (lookups, waiting) = unbounded::<Request>();
        let front = Arc::new(front);
        for index in 0..threads {
            let (front, waiting) = (front.clone(), waiting.clone());
            let own = supervisor.clone();
            supervisor.spawn(format!("lookup-{index}"), move || {
                for request in &waiting {
                    own.catch("request", || front.answer(request));
                }
            })?;
        }
        let inner = Arc::new(Inner {
            listener: Mutex::new(Some(listener)),
            address,
            limits,
            front,
            lookups,
            budget,
            mode: watch::Sender::new(Mode::Open),
            is_leaving: AtomicBool::new(false),
            open: Arc::default(),
            has_started: AtomicBool::new(false),
            on_restart,
        });
        let served = inner.clone();
        supervisor.spawn(THREAD, move || {
            if served.has_started.swap(true, Ordering::Relaxed) {
                (served.on_restart)();
            }
            if let Err(error) = run(&served) {
                spdlog::error!("http: cannot serve connections: {error}");
            }
        })?;
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
        self.inner.listener().take();
        self.inner.mode.send_replace(Mode::Closed);
    }

    /// The number of requests that have been read and not been answered yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.inner.open.load(Ordering::Relaxed)
    }

    /// Ends the connections; requests already passed to a worker continue.
    pub(crate) fn stop(&self) {
        self.inner.mode.send_replace(Mode::Stopped);
    }
}

impl Inner {
    fn listener(&self) -> std::sync::MutexGuard<'_, Option<TcpListener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves connections until the server is stopped.
fn run(inner: &Arc<Inner>) -> io::Result<()> {
    let listener = match inner.listener().as_ref() {
        Some(listener) => Some(listener.try_clone()?),
        None => None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut mode = inner.mode.subscribe();
        if let Some(listener) = listener {
            let listener = tokio::net::TcpListener::from_std(listener)?;
            tokio::select! {
                never = accept(inner, &listener) => match never {},
                _ = mode.wait_for(|mode| *mode != Mode::Open) => {}
            }
        }
        // The sender lives as long as the server.
        let _ = mode.wait_for(|mode| *mode == Mode::Stopped).await;
        Ok(())
    })
}

async fn accept(
    inner: &Arc<Inner>,
    listener: &tokio::net::TcpListener,
) -> std::convert::Infallible {
    let limits = inner.limits;
    let edge = Rc::new(Edge {
        limits: Box::new(move || limits),
        closing: Rc::<Closing>::default(),
        log_closed: Box::new(|used_for| {
            spdlog::debug!(
                "http: a connection ({used_for}) was closed, as others need what it holds"
            );
        }),
        unparsed: Some(unparsed),
        max_headers: MAX_HEADERS,
        repeated_lengths: RepeatedLengths::Marked,
    });
    edge::accept_each(
        &inner.budget,
        listener,
        ACCEPT_PAUSE,
        |stream, _, account| {
            if let Err(error) = stream.set_nodelay(true) {
                spdlog::debug!("http: cannot configure the socket of a connection: {error}");
                return;
            }
            let (edge, inner) = (edge.clone(), inner.clone());
            tokio::task::spawn_local(async move {
                let handle = |request| handle(inner.clone(), request);
                edge::serve_connection(&edge, stream, account, handle).await;
            });
        },
    )
    .await
}

/// The response to a request that can't be parsed.
fn unparsed(status: u16) -> Bytes {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    let reason = status.canonical_reason().unwrap_or_default();
    let reply = Reply::not_run(
        status.as_u16(),
        &format!("cannot be parsed: {reason}"),
        None,
    );
    let mut text = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16());
    for (name, value) in &reply.headers {
        text += &format!("{name}: {value}\r\n");
    }
    let body = match reply.body {
        super::reply::Body::Whole(bytes) => bytes,
        _ => Bytes::new(),
    };
    text += &format!(
        "Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [text.as_bytes(), &body].concat().into()
}

/// Handles a request, from its head to its answer.
async fn handle(inner: Arc<Inner>, request: http::Request<Incoming>) -> Response<Body> {
    let open = InFlightGuard::new(&inner.open);
    let arrived = Instant::now();
    // The connection is polled once more first. A request that was read late, by a host that was
    // paused, is dropped then if its caller has left.
    tokio::task::yield_now().await;
    let (parts, incoming) = request.into_parts();
    let caller = edge::caller_address(&parts.extensions);
    let Some(account) = edge::account(&parts.extensions).cloned() else {
        return build(
            &inner,
            Reply::unknown(500, "no account").into_answer(),
            open,
        );
    };
    let awaits_continue = parts.headers.contains_key(EXPECT);
    let dispatch = inner.front.dispatch(&parts, caller, arrived);
    let (sender, answer) = oneshot::channel();
    let request = Request::new(parts, caller, account, sender);
    let mut is_consumed = false;
    let answer = match dispatch {
        Dispatch::Answer(reply) => {
            drain(incoming, awaits_continue);
            reply.into_answer()
        }
        Dispatch::Lookup => {
            drain(incoming, awaits_continue);
            // The threads that receive it end with the process.
            let _ = inner.lookups.send(request);
            receive(answer).await
        }
        Dispatch::Service(prepared) => {
            let mut incoming = incoming;
            let read = read_body(&inner, &mut incoming, &prepared, &request.account).await;
            is_consumed = matches!(read, Ok(body::Part::Complete(_)));
            match read {
                Ok(part) => {
                    let body = part.with_rest(incoming);
                    serve(&inner, request, *prepared, body, answer).await
                }
                Err(error) => {
                    drain(incoming, false);
                    let service = &prepared.head.service;
                    inner.front.refuse_body(service, &error).into_answer()
                }
            }
        }
    };
    let mut response = build(&inner, answer, open);
    if is_consumed {
        response.extensions_mut().insert(edge::BodyConsumed);
    }
    response
}

/// Reads the rest of a body that isn't wanted, while the answer is sent. Otherwise the connection
/// would be reset, and the caller might not receive the answer.
fn drain(incoming: Incoming, awaits_continue: bool) {
    if !incoming.is_end_stream() && !awaits_continue {
        let drained = drain_parts(BodyStream::new(incoming));
        tokio::task::spawn_local(drained);
    }
}

/// Reads what comes for a short time.
async fn drain_parts<T, E>(mut parts: impl Stream<Item = Result<Frame<T>, E>> + Unpin)
where
    T: Buf,
{
    let mut bytes = 0;
    let drained = async {
        while let Some(Ok(frame)) = parts.next().await {
            bytes += frame.data_ref().map_or(0, Buf::remaining);
            if bytes > MAX_DRAIN_BYTES {
                return;
            }
        }
    };
    // The rest is not read; the connection is closed.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drained).await;
}

async fn read_body(
    inner: &Inner,
    incoming: &mut Incoming,
    prepared: &Prepared,
    account: &Account,
) -> Result<body::Part, BodyError> {
    let limits = body::Limits {
        max_bytes: prepared.limits.max_length,
        max_buffered: usize::try_from(prepared.limits.max_buffered).unwrap_or(usize::MAX),
        max_pause: Some(inner.limits.idle_timeout),
        read_buffer_bytes: inner.limits.buffer_bytes,
    };
    tokio::select! {
        biased;
        read = body::read(incoming, &limits, account) => read,
        () = account.wait_for_closing() => Err(Exceeded.into()),
        () = tokio::time::sleep_until(prepared.limits.deadline.into()) => Err(BodyError::TooSlow),
    }
}

/// Passes a request to a worker and waits for its answer.
async fn serve(
    inner: &Inner,
    request: Request,
    prepared: Prepared,
    body: ReceivedBody,
    answer: oneshot::Receiver<Answer>,
) -> Answer {
    request.account.set_stage(Stage::Running);
    let reserved = request.account.charge(inner.front.call_bytes());
    let reserved = tokio::time::timeout_at(prepared.limits.deadline.into(), reserved).await;
    let Ok(connections) = reserved.unwrap_or(Err(Exceeded)) else {
        let service = &prepared.head.service;
        return inner
            .front
            .refuse_body(service, &Exceeded.into())
            .into_answer();
    };
    let (request, body) = match body {
        ReceivedBody::Complete(bytes) => (request, RequestBody::Whole(bytes)),
        ReceivedBody::Prefix(start, rest) => {
            let (sender, parts) = mpsc::channel(1);
            let service = &prepared.head.service;
            let limits = Pump {
                upload: inner.front.add_upload(service, &request.account),
                deadline: prepared.limits.deadline,
                max_pause: inner.limits.idle_timeout,
            };
            tokio::task::spawn_local(limits.run(rest, sender));
            (request.with_rest(parts), prepared.limits.partial(start))
        }
    };
    match inner.front.enqueue(request, prepared, body, connections) {
        Ok(()) => receive(answer).await,
        Err(refused) => refused.1.into_answer(),
    }
}

/// Passes the rest of a body to the thread that sends it on.
struct Pump {
    upload: uploads::Entry,
    deadline: Instant,
    max_pause: Duration,
}

impl Pump {
    async fn run(self, mut rest: Rest, parts: mpsc::Sender<Part>) {
        loop {
            let until = (Instant::now() + self.max_pause).min(self.deadline);
            self.upload.set_waiting(true);
            let part = tokio::time::timeout_at(until.into(), rest.next()).await;
            self.upload.set_waiting(false);
            let part = match part {
                Ok(Some(Ok(bytes))) => Ok(bytes),
                Ok(Some(Err(error))) => Err(io::Error::other(error)),
                Ok(None) => return,
                Err(_) => Err(io::ErrorKind::TimedOut.into()),
            };
            let has_failed = part.is_err();
            let is_unwanted = parts.send(part).await.is_err();
            if is_unwanted && !has_failed {
                return drain_parts(BodyStream::new(rest.into_incoming())).await;
            }
            if has_failed {
                return;
            }
        }
    }
}

/// Waits for the answer of the thread that handles a request.
async fn receive(answer: oneshot::Receiver<Answer>) -> Answer {
    let answer = answer.await;
    answer.unwrap_or_else(|_| Reply::unknown(500, "the host failed").into_answer())
}

/// Builds the response. The request counts as open until its body has been sent.
fn build(inner: &Inner, answer: Answer, open: InFlightGuard) -> Response<Body> {
    let Answer { head, body } = answer;
    let (length, body) = match body {
        AnswerBody::Whole(bytes) => (None, body::full(bytes)),
        AnswerBody::Length(length) => (Some(length), body::full(Bytes::new())),
        AnswerBody::Parts(parts, length) => (Some(length), stream_parts(parts)),
    };
    let body = body::with_guard(body, open);
    let mut response = head.body(body).unwrap_or_else(|error| {
        spdlog::error!("http: an answer can't be sent: {error}");
        let mut response = Response::new(body::full(Bytes::new()));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    });
    let headers = response.headers_mut();
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, length.into());
    }
    if inner.is_leaving.load(Ordering::Relaxed) {
        response.extensions_mut().insert(edge::AnnounceClose);
    }
    response
}

fn stream_parts(parts: mpsc::Receiver<Part>) -> Body {
    let frames = stream::unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        let frame = part.map(Frame::data).map_err(BodyError::from);
        Some((frame, parts))
    });
    Box::pin(StreamBody::new(frames))
}
