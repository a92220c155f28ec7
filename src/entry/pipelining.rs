//! Serializes the pipelined requests of each connection.
//!
//! A caller may send further requests before it has the answers to earlier ones. `tiny_http` returns them
//! immediately, and a thread that answers one of them blocks until all earlier ones are answered: a single
//! connection could block every thread. Here a request is queued, without a thread, until the earlier
//! ones of its connection are answered.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;

use super::raw_socket;
use super::request::Request;

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 16;
/// Maximum number of queued requests of one connection; at this number reading from it is shut down.
const MAX_QUEUED_REQUESTS: usize = 64;
/// How long a connection closed by this host is remembered, since the library may still return requests of it.
const CLOSED_RETENTION: Duration = Duration::from_secs(5);

/// The connections with unanswered requests.
pub(crate) struct ConnectionTable {
    shards: [Mutex<BTreeMap<SocketAddr, Connection>>; SHARDS],
    ready: Sender<Request>,
}

#[derive(Default)]
struct Connection {
    queue: VecDeque<Request>,
    state: State,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// One of its requests is being handled.
    #[default]
    Busy,
    /// This host closed it at the given time.
    Closed(Instant),
}

impl ConnectionTable {
    /// Creates an empty table; queued requests are sent to `ready` when their turn comes.
    pub(crate) fn new(ready: Sender<Request>) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            ready,
        })
    }

    /// Returns the request if it is its turn; otherwise queues it.
    pub(crate) fn admit(connections: &Arc<Self>, request: Request) -> Option<Request> {
        let Some(peer) = request.remote_addr().copied() else {
            return Some(request);
        };
        let mut shard = connections.shard(peer);
        let Some(connection) = shard.get_mut(&peer) else {
            shard.insert(peer, Connection::default());
            drop(shard);
            return Some(request.with_turn(Turn::new(connections, peer)));
        };
        match connection.state {
            State::Busy => {
                connection.queue.push_back(request);
                let is_full = connection.queue.len() == MAX_QUEUED_REQUESTS;
                drop(shard);
                if is_full {
                    raw_socket::close_read(peer);
                }
                None
            }
            State::Closed(closed_at) if closed_at.elapsed() < CLOSED_RETENTION => {
                drop(shard);
                // The library parsed the rest of a body as a request. The connection is already closed.
                drop(request);
                None
            }
            State::Closed(_) => {
                connection.state = State::Busy;
                drop(shard);
                Some(request.with_turn(Turn::new(connections, peer)))
            }
        }
    }

    /// Removes connections that were closed longer than [`CLOSED_RETENTION`] ago.
    pub(crate) fn purge(&self, now: Instant) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|_, connection| match connection.state {
                State::Busy => true,
                State::Closed(closed_at) => {
                    now.saturating_duration_since(closed_at) < CLOSED_RETENTION
                }
            });
        }
    }

    fn shard(&self, peer: SocketAddr) -> MutexGuard<'_, BTreeMap<SocketAddr, Connection>> {
        let index = usize::from(peer.port()) % SHARDS;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Called when the current request is answered: passes on the next one of the connection.
    fn finish(connections: &Arc<Self>, peer: SocketAddr) {
        let mut shard = connections.shard(peer);
        let Some(connection) = shard.get_mut(&peer) else {
            return;
        };
        match connection.queue.pop_front() {
            Some(next) => {
                drop(shard);
                let next = next.with_turn(Turn::new(connections, peer));
                let _ = connections.ready.send(next);
            }
            None => {
                shard.remove(&peer);
            }
        }
    }

    fn close(&self, peer: SocketAddr) {
        let closed = Connection {
            queue: VecDeque::new(),
            state: State::Closed(Instant::now()),
        };
        let old = self.shard(peer).insert(peer, closed);
        raw_socket::close(peer);
        // Dropping a request writes an answer, which must not happen while the lock is held.
        drop(old);
    }
}

/// The turn of one request on its connection. Dropping it ends the turn.
pub(crate) struct Turn {
    connections: Arc<ConnectionTable>,
    peer: SocketAddr,
    closes_connection: bool,
}

impl Turn {
    fn new(connections: &Arc<ConnectionTable>, peer: SocketAddr) -> Self {
        Self {
            connections: connections.clone(),
            peer,
            closes_connection: false,
        }
    }

    /// Closes the connection when the turn ends, and drops its queued and later requests.
    pub(crate) fn close_at_end(&mut self) {
        self.closes_connection = true;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.closes_connection {
            self.connections.close(self.peer);
        } else {
            ConnectionTable::finish(&self.connections, self.peer);
        }
    }
}
