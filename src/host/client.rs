//! Outgoing connections.
//!
//! The buffers of an HTTP connection are most of what a connection costs in memory, so they live only as
//! long as an exchange: between exchanges nothing but the socket is kept.

use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;
use std::time::Duration;

use http::header::CONNECTION;
use http::{response, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::body::Body;

/// Time without traffic after which the other end is asked whether it is there, and between such questions.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Questions without an answer after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 3;
/// How long sent bytes may stay without acknowledgement: as long as those questions take.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);
/// What is read of an answer at once, in bytes: most answers of a few kilobytes take two reads.
const BUFFER: usize = 4 << 10;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It took too long.
    #[error("no connection in time")]
    Timeout,
    /// The system said why.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// What came over it is not HTTP, or ended early.
    #[error("no HTTP: {0}")]
    Http(#[from] hyper::Error),
    /// There was no answer.
    #[error("no answer")]
    Unanswered,
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unanswered {
    /// It has not left this host.
    NotSent,
    /// It may have arrived.
    Sent,
}

/// An HTTP connection in use; it closes when it is dropped, whatever it is doing.
pub(crate) struct Connection {
    sender: SendRequest<Body>,
    driver: Driver,
}

/// What moves bytes between a connection's buffers and its socket.
struct Driver {
    connection: http1::Connection<TokioIo<TcpStream>, Body>,
    ended: bool,
}

impl Driver {
    /// Waits for `future` while the connection does its work.
    async fn until<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if !self.ended {
                if let Poll::Ready(end) = Pin::new(&mut self.connection).poll(cx) {
                    self.ended = true;
                    if let Err(error) = end {
                        spdlog::debug!("client: a connection ended: {error}");
                    }
                }
            }
            future.as_mut().poll(cx)
        })
        .await
    }
}

impl Connection {
    /// Speaks HTTP on `stream`.
    pub(crate) async fn new(stream: TcpStream) -> Result<Self, Error> {
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(BUFFER))
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = Driver {
            connection,
            ended: false,
        };
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the head of its answer.
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
            // A request that comes back from the library has not left this host.
            answer.map_err(|mut error| match error.take_message() {
                Some(_) => Unanswered::NotSent,
                None => Unanswered::Sent,
            })
        };
        self.driver.until(exchange).await
    }

    /// Waits for `reading` of an answer's body, which comes through this connection.
    pub(crate) async fn read<F: Future>(&mut self, reading: F) -> F::Output {
        self.driver.until(reading).await
    }

    /// Does its work for as long as it lasts.
    pub(crate) async fn run(mut self) {
        self.driver.until(std::future::pending::<()>()).await;
    }

    /// The socket, if the last exchange is complete and nothing else came.
    pub(crate) async fn release(mut self) -> Option<TcpStream> {
        self.driver.until(std::future::ready(())).await;
        if self.driver.ended || !self.sender.is_ready() {
            return None;
        }
        let parts = self.driver.connection.into_parts();
        parts.read_buf.is_empty().then(|| parts.io.into_inner())
    }
}

/// Makes a socket notice by itself that the other end is gone without a word.
pub(crate) fn watch(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    stream.set_nodelay(true)
}

/// Connects to `address` within `patience`.
pub(crate) async fn connect(address: SocketAddr, patience: Duration) -> Result<TcpStream, Error> {
    let stream = tokio::time::timeout(patience, TcpStream::connect(address))
        .await
        .map_err(|_| Error::Timeout)??;
    watch(&stream)?;
    Ok(stream)
}

/// Whether a socket between exchanges is still of use: open, and without bytes that nobody asked for.
pub(crate) fn is_quiet(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Whether a target closes the connection after its answer.
pub(crate) fn closes(parts: &response::Parts) -> bool {
    let mut values = parts.headers.get_all(CONNECTION).iter();
    values.any(|value| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    })
}

/// After what time a target closes an idle connection, if it says so.
pub(crate) fn idle_time(parts: &response::Parts) -> Option<Duration> {
    let value = parts.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
