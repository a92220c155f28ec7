//! The configuration of a mesh.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Where a mesh accepts links.
#[derive(Debug)]
pub enum Listen {
    /// An address to bind.
    Address(SocketAddr),
    /// A socket that is bound already.
    Bound(TcpListener),
}

/// Default of [`Config::window_pool_bytes`].
pub const DEFAULT_WINDOW_POOL_BYTES: usize = 32 << 20;

/// Identity, limits and timeouts of a mesh.
#[derive(Debug)]
pub struct Config {
    /// The host's own name.
    pub host: Arc<str>,
    /// The incarnation of this process; a later process of the same host has a higher one.
    pub incarnation: u64,
    /// The host's availability zone.
    pub zone: Arc<str>,
    /// The secret that all entry hosts share.
    pub secret: Arc<str>,
    /// The address or socket at which links are accepted.
    pub listen: Listen,
    /// Threads of the asynchronous runtime.
    pub worker_threads: usize,
    /// Time limit for opening a TCP connection.
    pub connect_timeout: Duration,
    /// Time limit for the whole handshake, including the WebSocket upgrade.
    pub handshake_timeout: Duration,
    /// Time without any received message after which a link ends. A side that has nothing to send sends a
    /// pong after a third of it.
    pub silence_timeout: Duration,
    /// Time without streams or control messages after which a link that is not maintained permanently is
    /// closed.
    pub idle_timeout: Duration,
    /// Shortest and longest mean pause between two connection attempts.
    pub backoff: (Duration, Duration),
    /// Connections that may be in their handshake at once.
    pub max_pending_handshakes: usize,
    /// Largest frame accepted, in bytes; it bounds the headers of a request or reply.
    pub max_frame_bytes: usize,
    /// Largest control message accepted, in bytes.
    pub max_message_bytes: usize,
    /// Bytes of control messages that may be queued on a link.
    pub max_backlog_bytes: usize,
    /// Streams that a peer may have open on one link.
    pub max_streams: usize,
    /// Bytes that a peer may send on a stream before anything is read from it.
    pub initial_window: usize,
    /// Bytes that a peer may send ahead of the reader, once the stream is read from and
    /// `window_pool_bytes` has room.
    pub full_window: usize,
    /// Bytes by which the windows of all streams together may exceed `initial_window` per stream.
    pub window_pool_bytes: usize,
}

impl Config {
    /// The configuration of a host, with the default limits.
    pub fn new(
        host: impl Into<Arc<str>>,
        incarnation: u64,
        zone: impl Into<Arc<str>>,
        secret: impl Into<Arc<str>>,
        listen: Listen,
    ) -> Config {
        Config {
            host: host.into(),
            incarnation,
            zone: zone.into(),
            secret: secret.into(),
            listen,
            worker_threads: 2,
            connect_timeout: Duration::from_millis(1000),
            handshake_timeout: Duration::from_millis(2000),
            silence_timeout: Duration::from_millis(1500),
            idle_timeout: Duration::from_secs(30),
            backoff: (Duration::from_millis(100), Duration::from_secs(2)),
            max_pending_handshakes: 64,
            max_frame_bytes: 64 << 10,
            max_message_bytes: 4 << 20,
            max_backlog_bytes: 16 << 20,
            max_streams: 512,
            initial_window: 64 << 10,
            full_window: 256 << 10,
            window_pool_bytes: DEFAULT_WINDOW_POOL_BYTES,
        }
    }
}
