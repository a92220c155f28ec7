//! Bounded queue of requests that wait for a target, ordered by priority and deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Identifies a waiting request; assigned by the owner of the queue.
pub type Id = u64;
/// Sort key: the priority, then the position within it; the lowest key is served first.
type Rank = (Reverse<u8>, u64);

/// Order of the requests of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The oldest request first.
    Fifo,
    /// The newest request first.
    Lifo,
}

/// A waiting request and the item that its owner attached.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Identifier of the request.
    pub id: Id,
    /// Priority; higher ones are served first.
    pub priority: u8,
    /// Latest time at which it may start and still meet its deadline.
    pub start_by: Instant,
    /// When it was added.
    pub enqueued_at: Instant,
    /// Item attached by the owner.
    pub item: T,
}

/// Bounded priority queue.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    order: Order,
    capacity: usize,
    next_serial: u64,
    entries: BTreeMap<Rank, Entry<T>>,
    ranks: BTreeMap<Id, Rank>,
    deadlines: BTreeSet<(Instant, Id)>,
    priority_counts: BTreeMap<Reverse<u8>, usize>,
    nonempty_since: Option<Instant>,
}

impl<T> Queue<T> {
    /// Returns an empty queue for at most `capacity` requests.
    pub fn new(order: Order, capacity: usize) -> Self {
        Self {
            order,
            capacity,
            next_serial: 0,
            entries: BTreeMap::new(),
            ranks: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            priority_counts: BTreeMap::new(),
            nonempty_since: None,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns since when the queue has not been empty.
    pub fn nonempty_since(&self) -> Option<Instant> {
        self.nonempty_since
    }

    /// Whether a request waits under `id`.
    pub fn contains(&self, id: Id) -> bool {
        self.ranks.contains_key(&id)
    }

    /// Returns the number of requests that would be served before a new one of `priority`.
    pub fn count_ahead(&self, priority: u8) -> usize {
        let before = Reverse(priority);
        self.priority_counts
            .range(..=before)
            .filter(|(&rank, _)| self.order == Order::Fifo || rank < before)
            .map(|(_, count)| count)
            .sum()
    }

    /// Adds a request. A full queue returns the request that it drops: the last one of the lowest
    /// priority, which may be the new one.
    pub fn push(&mut self, entry: Entry<T>) -> Option<Entry<T>> {
        if self.entries.is_empty() {
            self.nonempty_since = Some(entry.enqueued_at);
        }
        let position = match self.order {
            Order::Fifo => self.next_serial,
            Order::Lifo => u64::MAX - self.next_serial,
        };
        let rank = (Reverse(entry.priority), position);
        self.next_serial += 1;
        *self.priority_counts.entry(rank.0).or_default() += 1;
        self.ranks.insert(entry.id, rank);
        self.deadlines.insert((entry.start_by, entry.id));
        self.entries.insert(rank, entry);
        if self.entries.len() > self.capacity {
            return self.pop_last();
        }
        None
    }

    /// Removes and returns the first request for which `matches` returns a value, among the first
    /// `max_tries` requests.
    pub fn pop_matching<G>(
        &mut self,
        max_tries: usize,
        mut matches: impl FnMut(&Entry<T>) -> Option<G>,
    ) -> Option<(Entry<T>, G)> {
        let (rank, found) = self
            .entries
            .iter()
            .take(max_tries)
            .find_map(|(&rank, entry)| Some((rank, matches(entry)?)))?;
        Some((self.remove_rank(rank)?, found))
    }

    /// Removes and returns the last request.
    pub fn pop_last(&mut self) -> Option<Entry<T>> {
        let (&rank, _) = self.entries.last_key_value()?;
        self.remove_rank(rank)
    }

    /// Removes and returns a request whose latest start time has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Entry<T>> {
        let &(start_by, id) = self.deadlines.first()?;
        if start_by > now {
            return None;
        }
        self.remove(id)
    }

    /// Removes and returns the request `id`.
    pub fn remove(&mut self, id: Id) -> Option<Entry<T>> {
        let rank = *self.ranks.get(&id)?;
        self.remove_rank(rank)
    }

    /// Returns the earliest time at which a request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.deadlines.first().map(|&(at, _)| at)
    }

    /// Removes the request with a sort key from all indexes.
    fn remove_rank(&mut self, rank: Rank) -> Option<Entry<T>> {
        let entry = self.entries.remove(&rank)?;
        self.ranks.remove(&entry.id);
        self.deadlines.remove(&(entry.start_by, entry.id));
        if let Some(count) = self.priority_counts.get_mut(&rank.0) {
            *count -= 1;
        }
        if self.entries.is_empty() {
            self.nonempty_since = None;
        }
        Some(entry)
    }
}
