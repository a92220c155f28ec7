//! Outgoing connections.

use std::net::SocketAddr;
use std::time::Duration;

use http::header::CONNECTION;
use http::response;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::body::Body;

/// Time without traffic after which the other end is asked whether it is there, and between such questions.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Questions without an answer after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 3;
/// How long sent bytes may stay without acknowledgement: as long as those questions take.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);
/// The most that is buffered of what a target sends, in bytes; also bounds the head of its answer.
const BUFFER: usize = 64 << 10;

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It took too long.
    #[error("no connection in time")]
    Timeout,
    /// The system said why.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// HTTP could not be set up on it.
    #[error("cannot connect: {0}")]
    Handshake(#[from] hyper::Error),
}

/// A connection that closes when it is dropped, whatever it is doing.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
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
pub(crate) async fn connect(address: SocketAddr, patience: Duration) -> Result<Connection, Error> {
    let stream = tokio::time::timeout(patience, TcpStream::connect(address))
        .await
        .map_err(|_| Error::Timeout)??;
    watch(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("client: connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
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
