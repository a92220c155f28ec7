//! Closes connections on which something takes too long, since `tiny_http` has no time-outs.
//!
//! A thread that may block on a caller takes a [`Guard`]; if it still has it when the time is over,
//! the connection is closed and the thread goes on with an error.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::raw_socket;

/// How often it looks.
const LOOK: Duration = Duration::from_millis(100);
/// Parts of the table, each with a lock of its own.
const SHARDS: usize = 16;

/// What is done when the time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    /// Nothing more is read from the caller; it can still be answered.
    CloseRead,
    /// The connection is closed.
    Close,
}

#[derive(Clone, Copy)]
struct Entry {
    peer: SocketAddr,
    act: Act,
}

#[derive(Default)]
struct Shard {
    next: u64,
    entries: BTreeMap<u64, (Instant, Entry)>,
}

type Table = [Mutex<Shard>; SHARDS];

/// Watches connections. Its thread ends when the last copy is dropped.
#[derive(Clone)]
pub(crate) struct Watch {
    table: Arc<Table>,
}

impl Watch {
    /// Starts the thread.
    pub(crate) fn new() -> io::Result<Self> {
        let table = Arc::<Table>::default();
        let watched = Arc::downgrade(&table);
        thread::Builder::new()
            .name("watch".into())
            .spawn(move || loop {
                thread::sleep(LOOK);
                let Some(table) = watched.upgrade() else {
                    return;
                };
                table.iter().for_each(look);
            })?;
        Ok(Self { table })
    }

    /// Does `act` to the connection unless the guard is dropped within `time`.
    pub(crate) fn guard(&self, peer: SocketAddr, time: Duration, act: Act) -> Guard {
        let shard = usize::from(peer.port()) % SHARDS;
        let mut table = lock(&self.table[shard]);
        let key = table.next;
        table.next += 1;
        let due = Instant::now() + time;
        table.entries.insert(key, (due, Entry { peer, act }));
        Guard {
            table: self.table.clone(),
            shard,
            key,
        }
    }
}

fn look(shard: &Mutex<Shard>) {
    let now = Instant::now();
    let mut over = Vec::new();
    lock(shard).entries.retain(|_, (due, entry)| {
        if *due <= now {
            over.push(*entry);
        }
        *due > now
    });
    for entry in over {
        spdlog::debug!("http: {} takes too long", entry.peer);
        match entry.act {
            Act::CloseRead => raw_socket::close_read(entry.peer),
            Act::Close => raw_socket::close(entry.peer),
        }
    }
}

fn lock(shard: &Mutex<Shard>) -> std::sync::MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps a connection watched.
pub(crate) struct Guard {
    table: Arc<Table>,
    shard: usize,
    key: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        lock(&self.table[self.shard]).entries.remove(&self.key);
    }
}
