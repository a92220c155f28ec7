//! Outgoing HTTP connections.
//!
//! The buffers of an HTTP connection account for most of its memory, so they exist only during an
//! exchange: between exchanges only the socket is kept.
//!
//! A connection that is dropped before the response was read is reset, also if its process ends. If
//! it were closed, what the peer has not received yet would still be delivered, at any later time:
//! after the caller was told that its request failed, and after the target announced its shutdown.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::{AsRawFd, RawFd};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

use super::body::Body;
use crate::duration;

/// TCP keepalive: idle time before the first probe, and time between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// How long sent bytes may stay unacknowledged: as long as the keepalive probes take.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Read buffer, in bytes: most answers of a few kilobytes take two reads.
pub(crate) const READ_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that may be received before the head of a response is complete, interim responses included.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Why a connection could not be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Connecting took too long.
    #[error("the connection timed out")]
    Timeout,
    /// The operating system reported an error.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The peer did not speak HTTP, or closed the connection early.
    #[error("invalid HTTP: {0}")]
    Http(#[from] hyper::Error),
    /// The request got no response.
    #[error("no response")]
    Unanswered,
}

/// Whether a request that got no response was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unanswered {
    /// It has not left this host.
    NotSent,
    /// It may have arrived.
    Sent,
}

/// The bytes that were sent on a connection, and how many of them its peer has not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Transfer {
    /// The socket, while the connection is open.
    file: Cell<Option<RawFd>>,
    sent: Cell<usize>,
    /// Number of bytes when the connection was closed.
    unacknowledged: Cell<usize>,
}

impl Transfer {
    /// The bytes that the peer has not acknowledged, or had not when the connection was closed.
    pub(crate) fn unacknowledged(&self) -> usize {
        match self.file.get() {
            Some(file) => count_unacknowledged(file),
            None => self.unacknowledged.get(),
        }
    }

    /// Whether bytes were sent, and the peer has acknowledged none of them.
    pub(crate) fn is_undelivered(&self) -> bool {
        let sent = self.sent.get();
        sent > 0 && self.unacknowledged() >= sent
    }
}

/// Records the final state of a transfer when it is dropped.
struct Recorder(Rc<Transfer>);

impl Drop for Recorder {
    fn drop(&mut self) {
        self.0.unacknowledged.set(self.0.unacknowledged());
        self.0.file.set(None);
    }
}

nix::ioctl_read_bad!(
    /// Reads the number of bytes in a socket's send queue.
    read_send_queue,
    nix::libc::TIOCOUTQ,
    nix::libc::c_int
);

/// Returns how many of the bytes written to a socket its peer has not acknowledged.
fn count_unacknowledged(file: RawFd) -> usize {
    let mut count = 0;
    // SAFETY: `count` is valid for the call. The call only reads; for a descriptor that is not an
    // open socket, it fails.
    let result = unsafe { read_send_queue(file, &mut count) };
    result.map_or(0, |_| usize::try_from(count).unwrap_or(0))
}

/// Sets whether a socket is reset when it is closed, which discards what its peer has not received.
fn set_reset_on_close(stream: &TcpStream, is_reset: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(is_reset.then_some(Duration::ZERO))
}

/// An HTTP connection in use; it is reset when dropped, see [`Connection::release`].
pub(crate) struct Connection {
    // Dropped before the driver, which owns the stream.
    transfer: Recorder,
    sender: SendRequest<Body>,
    driver: Driver,
    /// Bytes that may still be received.
    allowance: Rc<Cell<usize>>,
}

/// A socket that counts what is sent, and fails once more bytes were received than allowed: a server
/// may send heads or interim responses without end, faster than they can be parsed.
struct Metered {
    stream: TcpStream,
    allowance: Rc<Cell<usize>>,
    transfer: Rc<Transfer>,
}

impl Metered {
    fn count_sent(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = &result {
            let sent = &self.transfer.sent;
            sent.set(sent.get().saturating_add(*count));
        }
        result
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.allowance.get();
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "a head without end");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let received = buffer.filled().len() - before;
        self.allowance.set(left.saturating_sub(received));
        result
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.count_sent(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.count_sent(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Drives the transfer between a connection's buffers and its socket.
struct Driver {
    connection: http1::Connection<TokioIo<Metered>, Body>,
    ended: bool,
}

impl Driver {
    /// Polls `future` to completion while driving the connection.
    async fn drive_until<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if !self.ended {
                if let Poll::Ready(end) = Pin::new(&mut self.connection).poll(cx) {
                    self.ended = true;
                    if let Err(error) = end {
                        spdlog::debug!("client: a connection failed: {error}");
                    }
                }
            }
            future.as_mut().poll(cx)
        })
        .await
    }
}

impl Connection {
    /// Sets up an HTTP client connection on `stream`.
    pub(crate) async fn new(stream: TcpStream) -> Result<Self, Error> {
        set_reset_on_close(&stream, true)?;
        let allowance = Rc::new(Cell::new(MAX_HEAD_BYTES));
        let transfer = Rc::new(Transfer::default());
        transfer.file.set(Some(stream.as_raw_fd()));
        let metered = Metered {
            stream,
            allowance: allowance.clone(),
            transfer: transfer.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(metered))
            .await?;
        let driver = Driver {
            connection,
            ended: false,
        };
        Ok(Self {
            transfer: Recorder(transfer),
            sender,
            driver,
            allowance,
        })
    }

    /// What is sent on this connection; also after this was dropped.
    pub(crate) fn transfer(&self) -> Rc<Transfer> {
        self.transfer.0.clone()
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, Unanswered> {
        let sender = &mut self.sender;
        let exchange = async move {
            if sender.ready().await.is_err() {
                return Err(Unanswered::NotSent);
            }
            let answer = sender.try_send_request(request).await;
            // A request that hyper returns has not left this host.
            answer.map_err(|mut error| match error.take_message() {
                Some(_) => Unanswered::NotSent,
                None => Unanswered::Sent,
            })
        };
        let response = self.driver.drive_until(exchange).await;
        // Whoever reads the body limits it.
        self.allowance.set(usize::MAX);
        response
    }

    /// Waits for `reading`, which reads a response body from this connection.
    pub(crate) async fn read<F: Future>(&mut self, reading: F) -> F::Output {
        self.driver.drive_until(reading).await
    }

    /// Drives the connection until it is dropped.
    pub(crate) async fn run(mut self) {
        self.driver.drive_until(std::future::pending::<()>()).await;
    }

    /// Ends an exchange whose response was read. Returns the socket, if the request was sent
    /// completely as well and no further bytes were received.
    pub(crate) async fn release(mut self) -> Option<TcpStream> {
        self.driver.drive_until(std::future::ready(())).await;
        let is_complete = !self.driver.ended && self.sender.is_ready();
        drop(self.transfer);
        let parts = self.driver.connection.into_parts();
        let stream = parts.io.into_inner().stream;
        if let Err(error) = set_reset_on_close(&stream, false) {
            spdlog::debug!("client: cannot configure a socket: {error}");
            return None;
        }
        (is_complete && parts.read_buf.is_empty()).then_some(stream)
    }
}

/// Configures a socket to detect a peer that vanished without closing the connection.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    stream.set_nodelay(true)
}

/// Connects to `address` within `timeout`.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, Error> {
    establish(TcpStream::connect(address), timeout).await
}

async fn establish(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    timeout: Duration,
) -> Result<TcpStream, Error> {
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| Error::Timeout)??;
    configure_socket(&stream)?;
    Ok(stream)
}

/// The same from an address of this host, so that the server can tell which host connects.
pub(crate) async fn connect_from(
    source: IpAddr,
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Err(error) = socket.bind(SocketAddr::new(source, 0)) {
        // The route to the server may lead to the same source address.
        spdlog::debug!("client: cannot bind to {source}: {error}");
    }
    establish(socket.connect(address), timeout).await
}

/// Whether an idle socket can be reused: it is open and holds no unexpected bytes.
pub(crate) fn is_reusable(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Whether a server closes the connection after an answer with these headers.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.any(|value| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    })
}

/// The time after which a server closes an idle connection, if it announces one.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let seconds = seconds.parse().ok().map(Duration::from_secs)?;
    Some(seconds.min(duration::MAX))
}
