//! Closes connections on which an operation takes too long, since `tiny_http` has no time-outs.
//!
//! A thread that may block on a caller holds a [`Guard`]; if the guard still exists when its time is
//! over, the connection is closed and the blocked operation fails.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::raw_socket;
use crate::supervisor::Supervisor;

/// How often expired guards are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 16;

/// What is done to the connection when its time has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimeoutAction {
    /// Close it for reading; the caller can still be answered.
    CloseRead,
    /// Close it.
    Close,
}

#[derive(Clone, Copy)]
struct Entry {
    peer: SocketAddr,
    action: TimeoutAction,
}

#[derive(Default)]
struct Shard {
    next_key: u64,
    entries: BTreeMap<u64, (Instant, Entry)>,
}

type Table = [Mutex<Shard>; SHARDS];

/// Closes connections whose guards expire. Its thread ends when the last copy is dropped.
#[derive(Clone)]
pub(crate) struct Watchdog {
    table: Arc<Table>,
}

impl Watchdog {
    /// Starts the watchdog's thread.
    pub(crate) fn new(supervisor: &Supervisor) -> io::Result<Self> {
        let table = Arc::<Table>::default();
        let weak_table = Arc::downgrade(&table);
        supervisor.spawn("watchdog", move || loop {
            thread::sleep(CHECK_INTERVAL);
            let Some(table) = weak_table.upgrade() else {
                return;
            };
            table.iter().for_each(close_expired);
        })?;
        Ok(Self { table })
    }

    /// Applies `action` to the connection unless the guard is dropped within `timeout`.
    pub(crate) fn guard(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        action: TimeoutAction,
    ) -> Guard {
        let shard = usize::from(peer.port()) % SHARDS;
        let mut table = lock(&self.table[shard]);
        let key = table.next_key;
        table.next_key += 1;
        let due = Instant::now() + timeout;
        table.entries.insert(key, (due, Entry { peer, action }));
        Guard {
            table: self.table.clone(),
            shard,
            key,
        }
    }
}

fn close_expired(shard: &Mutex<Shard>) {
    let now = Instant::now();
    let mut expired = Vec::new();
    lock(shard).entries.retain(|_, (due, entry)| {
        if *due <= now {
            expired.push(*entry);
        }
        *due > now
    });
    for entry in expired {
        spdlog::debug!("http: {} takes too long", entry.peer);
        match entry.action {
            TimeoutAction::CloseRead => raw_socket::close_read(entry.peer),
            TimeoutAction::Close => raw_socket::close(entry.peer),
        }
    }
}

fn lock(shard: &Mutex<Shard>) -> std::sync::MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Cancels the time-out of a connection when dropped.
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
