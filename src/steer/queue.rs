//! The bounded queue of requests that wait for a target, by priority and deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Identifies a waiting request; the owner of the queue gives it out.
pub type Id = u64;
/// Priority first, then the place that the order gives; the least goes first.
type Rank = (Reverse<u8>, u64);

/// Which of the requests of one priority goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The oldest.
    Fifo,
    /// The newest.
    Lifo,
}

/// A waiting request and what its owner keeps with it.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The request.
    pub id: Id,
    /// Higher goes first.
    pub priority: u8,
    /// The last time at which it may start and still meet its deadline.
    pub start_by: Instant,
    /// When it came.
    pub since: Instant,
    /// What its owner keeps.
    pub item: T,
}

/// The queue.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    order: Order,
    bound: usize,
    serial: u64,
    entries: BTreeMap<Rank, Entry<T>>,
    ranks: BTreeMap<Id, Rank>,
    due: BTreeSet<(Instant, Id)>,
    counts: BTreeMap<Reverse<u8>, usize>,
    busy_since: Option<Instant>,
}

impl<T> Queue<T> {
    /// An empty queue for at most `bound` requests.
    pub fn new(order: Order, bound: usize) -> Self {
        Self {
            order,
            bound,
            serial: 0,
            entries: BTreeMap::new(),
            ranks: BTreeMap::new(),
            due: BTreeSet::new(),
            counts: BTreeMap::new(),
            busy_since: None,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Since when the queue has not been empty.
    pub fn busy_since(&self) -> Option<Instant> {
        self.busy_since
    }

    /// Whether a request waits under `id`.
    pub fn contains(&self, id: Id) -> bool {
        self.ranks.contains_key(&id)
    }

    /// Requests that would go before a new one of `priority`.
    pub fn ahead(&self, priority: u8) -> usize {
        let before = Reverse(priority);
        self.counts
            .range(..=before)
            .filter(|(&rank, _)| self.order == Order::Fifo || rank < before)
            .map(|(_, count)| count)
            .sum()
    }

    /// Adds a request. A full queue gives back the one that has to leave for it: the last of the
    /// lowest priority, which may be the new one itself.
    pub fn push(&mut self, entry: Entry<T>) -> Option<Entry<T>> {
        if self.entries.is_empty() {
            self.busy_since = Some(entry.since);
        }
        let place = match self.order {
            Order::Fifo => self.serial,
            Order::Lifo => u64::MAX - self.serial,
        };
        let rank = (Reverse(entry.priority), place);
        self.serial += 1;
        *self.counts.entry(rank.0).or_default() += 1;
        self.ranks.insert(entry.id, rank);
        self.due.insert((entry.start_by, entry.id));
        self.entries.insert(rank, entry);
        if self.entries.len() > self.bound {
            return self.pop_last();
        }
        None
    }

    /// Takes out the first request for which `fits` finds something, looking at `tries` of them.
    pub fn pop_fit<G>(
        &mut self,
        tries: usize,
        mut fits: impl FnMut(&Entry<T>) -> Option<G>,
    ) -> Option<(Entry<T>, G)> {
        let (rank, found) = self
            .entries
            .iter()
            .take(tries)
            .find_map(|(&rank, entry)| Some((rank, fits(entry)?)))?;
        Some((self.take(rank)?, found))
    }

    /// Takes out the request that goes last.
    pub fn pop_last(&mut self) -> Option<Entry<T>> {
        let (&rank, _) = self.entries.last_key_value()?;
        self.take(rank)
    }

    /// Takes out a request whose time to start has passed.
    pub fn pop_due(&mut self, now: Instant) -> Option<Entry<T>> {
        let &(start_by, id) = self.due.first()?;
        if start_by > now {
            return None;
        }
        self.remove(id)
    }

    /// Takes out the request of `id`.
    pub fn remove(&mut self, id: Id) -> Option<Entry<T>> {
        let rank = *self.ranks.get(&id)?;
        self.take(rank)
    }

    /// The first time at which a request has to leave.
    pub fn next_due(&self) -> Option<Instant> {
        self.due.first().map(|&(at, _)| at)
    }

    fn take(&mut self, rank: Rank) -> Option<Entry<T>> {
        let entry = self.entries.remove(&rank)?;
        self.ranks.remove(&entry.id);
        self.due.remove(&(entry.start_by, entry.id));
        if let Some(count) = self.counts.get_mut(&rank.0) {
            *count -= 1;
        }
        if self.entries.is_empty() {
            self.busy_since = None;
        }
        Some(entry)
    }
}
