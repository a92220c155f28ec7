//! The requests of one connection, one after the other.
//!
//! A caller may send requests ahead of the answers. `tiny_http` hands them over at once, and the thread
//! that answers one of them early waits for all before it: a single connection could keep every
//! thread. Here a request waits, without a thread, until those before it have their answers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;

use super::raw_socket;
use super::request::Request;

/// Parts of the table, each with a lock of its own.
const SHARDS: usize = 16;
/// Requests of one connection that may wait; with more no further ones are read from it.
const MAX_WAITING: usize = 64;
/// How long a connection that was closed here is remembered, since requests of it may still come.
const REMEMBER_CLOSED: Duration = Duration::from_secs(5);

/// Connections with requests that have no answer yet.
pub(crate) struct Turns {
    shards: [Mutex<BTreeMap<SocketAddr, Connection>>; SHARDS],
    ready: Sender<Request>,
}

#[derive(Default)]
struct Connection {
    waiting: VecDeque<Request>,
    state: State,
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// A request of it is being handled.
    #[default]
    Busy,
    /// It was closed by this host then.
    Closed(Instant),
}

impl Turns {
    /// Hands each request whose turn has come to `ready`.
    pub(crate) fn new(ready: Sender<Request>) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            ready,
        })
    }

    /// Gives the request back if it is its turn, else keeps it until then.
    pub(crate) fn take(turns: &Arc<Self>, request: Request) -> Option<Request> {
        let Some(peer) = request.remote_addr().copied() else {
            return Some(request);
        };
        let mut shard = turns.shard(peer);
        let Some(connection) = shard.get_mut(&peer) else {
            shard.insert(peer, Connection::default());
            drop(shard);
            return Some(request.with_turn(Turn::new(turns, peer)));
        };
        match connection.state {
            State::Busy => {
                connection.waiting.push_back(request);
                let crowded = connection.waiting.len() == MAX_WAITING;
                drop(shard);
                if crowded {
                    raw_socket::close_read(peer);
                }
                None
            }
            State::Closed(when) if when.elapsed() < REMEMBER_CLOSED => {
                drop(shard);
                // What comes now was part of a body. Its connection is gone.
                drop(request);
                None
            }
            State::Closed(_) => {
                connection.state = State::Busy;
                drop(shard);
                Some(request.with_turn(Turn::new(turns, peer)))
            }
        }
    }

    /// Forgets connections that were closed long ago.
    pub(crate) fn purge(&self, now: Instant) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|_, connection| match connection.state {
                State::Busy => true,
                State::Closed(when) => now.saturating_duration_since(when) < REMEMBER_CLOSED,
            });
        }
    }

    fn shard(&self, peer: SocketAddr) -> MutexGuard<'_, BTreeMap<SocketAddr, Connection>> {
        let index = usize::from(peer.port()) % SHARDS;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The request in hand has its answer: lets the next one through.
    fn finish(turns: &Arc<Self>, peer: SocketAddr) {
        let mut shard = turns.shard(peer);
        let Some(connection) = shard.get_mut(&peer) else {
            return;
        };
        match connection.waiting.pop_front() {
            Some(next) => {
                drop(shard);
                let next = next.with_turn(Turn::new(turns, peer));
                let _ = turns.ready.send(next);
            }
            None => {
                shard.remove(&peer);
            }
        }
    }

    fn close(&self, peer: SocketAddr) {
        let closed = Connection {
            waiting: VecDeque::new(),
            state: State::Closed(Instant::now()),
        };
        let old = self.shard(peer).insert(peer, closed);
        raw_socket::close(peer);
        // Dropping a request writes an answer; that must not happen under the lock.
        drop(old);
    }
}

/// The turn of one request; it ends when dropped.
pub(crate) struct Turn {
    turns: Arc<Turns>,
    peer: SocketAddr,
    closes: bool,
}

impl Turn {
    fn new(turns: &Arc<Turns>, peer: SocketAddr) -> Self {
        Self {
            turns: turns.clone(),
            peer,
            closes: false,
        }
    }

    /// Closes the connection when the turn ends, and drops whatever else comes over it.
    pub(crate) fn close(&mut self) {
        self.closes = true;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.closes {
            self.turns.close(self.peer);
        } else {
            Turns::finish(&self.turns, self.peer);
        }
    }
}
