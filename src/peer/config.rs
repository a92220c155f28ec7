//! What a mesh is told when it is made.

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

/// Identity, limits and times of a mesh.
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
    /// Where links are accepted.
    pub listen: Listen,
    /// Threads of the runtime.
    pub threads: usize,
    /// Time to open a TCP connection.
    pub connect: Duration,
    /// Time for the whole handshake, upgrade included.
    pub handshake: Duration,
    /// Silence after which a link is given up. A side that has nothing to send sends a sign of life
    /// after a third of it.
    pub silence: Duration,
    /// Time without streams or control messages after which a link that is not kept is closed.
    pub idle: Duration,
    /// Shortest and longest mean pause between two tries to connect.
    pub backoff: (Duration, Duration),
    /// Connections that may be in their handshake at once.
    pub pending: usize,
    /// Largest frame accepted, in bytes; it bounds the headers of a request or reply.
    pub frame: usize,
    /// Largest control message accepted, in bytes.
    pub message: usize,
    /// Bytes of control messages that may wait on a link.
    pub backlog: usize,
    /// Streams that a peer may have open on one link.
    pub streams: usize,
    /// Bytes that a peer may send on a stream before anything is read from it.
    pub window: usize,
    /// Bytes that a peer may send ahead of the reader, once it reads and `buffer` has room.
    pub full_window: usize,
    /// Bytes by which the windows of all streams together may exceed `window` each.
    pub buffer: usize,
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
            threads: 2,
            connect: Duration::from_millis(1000),
            handshake: Duration::from_millis(2000),
            silence: Duration::from_millis(1500),
            idle: Duration::from_secs(30),
            backoff: (Duration::from_millis(100), Duration::from_secs(2)),
            pending: 64,
            frame: 64 << 10,
            message: 4 << 20,
            backlog: 16 << 20,
            streams: 512,
            window: 64 << 10,
            full_window: 256 << 10,
            buffer: 32 << 20,
        }
    }
}
