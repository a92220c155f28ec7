//! Pools of idle connections, to targets and to other hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::client;
use crate::duration;

/// How long an idle connection is kept if its server announces no idle timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(8);
/// How long before a server closes an idle connection it is no longer used: a request that crosses
/// the close may or may not have run.
const CLOSE_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 6;

struct Idle {
    stream: TcpStream,
    expires_at: Instant,
}

/// The idle connections of a host to servers that `K` identifies.
pub(crate) struct Pool<K> {
    idle: BTreeMap<K, Vec<Idle>>,
    max_idle: usize,
}

impl<K: Ord + Copy> Pool<K> {
    /// Creates an empty pool for at most `max_idle` connections.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self {
            idle: BTreeMap::new(),
            max_idle,
        }
    }

    /// Takes the most recently used open connection to `server`.
    pub(crate) fn take(&mut self, now: Instant, server: K) -> Option<TcpStream> {
        let idle = self.idle.get_mut(&server)?;
        while let Some(next) = idle.pop() {
            if now < next.expires_at && client::is_reusable(&next.stream) {
                return Some(next.stream);
            }
        }
        None
    }

    /// Whether there is an idle connection to `server`.
    pub(crate) fn has(&self, server: K) -> bool {
        self.idle.get(&server).is_some_and(|idle| !idle.is_empty())
    }

    /// Keeps a connection whose last answer is complete. `idle_timeout` is the one that the server
    /// announced.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        server: K,
        stream: TcpStream,
        idle_timeout: Option<Duration>,
    ) {
        let keep_time = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIME)
            .saturating_sub(CLOSE_MARGIN);
        if self.count() >= self.max_idle {
            self.sweep(now);
        }
        let is_full = self.count() >= self.max_idle;
        let connections = self.idle.entry(server).or_default();
        if is_full || connections.len() >= MAX_IDLE_PER_SERVER || keep_time.is_zero() {
            return;
        }
        connections.push(Idle {
            stream,
            expires_at: duration::after(now, keep_time),
        });
    }

    fn count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Closes connections that have expired or were closed by their servers.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| now < idle.expires_at && client::is_reusable(&idle.stream));
            !idle.is_empty()
        });
    }
}
