//! Idempotency keys this incarnation has seen, and their outcomes.
//!
//! A key runs once: later requests with it join the running one or get its kept answer. Records are
//! kept as long as a ticket of their generation is accepted (see [`super::ticket`]); after that
//! the key itself is no longer accepted, so that forgetting it is safe. A full table refuses new
//! keys and forgets nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use super::ticket::{Generation, Rotation};
use crate::catalog::ServiceKey;

/// Records kept when nothing else is said.
pub const DEFAULT_RECORDS: usize = 65_536;
/// Bytes kept when nothing else is said.
pub const DEFAULT_BYTES: usize = 64 << 20;
/// Largest answer that is kept, in bytes.
pub const MAX_ANSWER: usize = 16 << 10;
/// Requests that may wait for one key.
pub const MAX_WAITERS: usize = 16;
/// What a record costs beside its key and answer, in bytes (estimate).
const OVERHEAD: usize = 256;
/// Expired records dropped at each request, so that no single request pays for a generation.
const PRUNE: usize = 32;
/// What a refusal asks the caller to wait when only running requests fill the table.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer that is kept for a request's repetitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Its size in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(k, v)| k.len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// Tells whether two requests with the same key are the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity(u128);

impl Identity {
    /// The identity of a request. `length` and `body` are those that are known before it runs.
    pub fn new(method: &str, path: &str, length: Option<u64>, body: Option<&[u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&[u8::from(length.is_some()), u8::from(body.is_some())]);
        hash.update(&length.unwrap_or_default().to_le_bytes());
        hash.update(body.unwrap_or_default());
        Self(hash.digest128())
    }
}

/// The right to run a key, given to one request at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    name: Name,
    serial: u64,
}

/// What a request with a key may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run, and tell its end to [`Keys::end`].
    Run(Run),
    /// Wait: the same request is running, and its end tells this one's waiter.
    Join,
    /// Give the kept answer.
    Replay(Arc<Answer>),
    /// Refuse as not run (422): the key was used for another request.
    Mismatch,
    /// Refuse as not run.
    Full {
        /// When room may be found.
        retry_after: Duration,
    },
    /// The key may have run, and nothing better is known.
    Unknown,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It is proved not to have run; the key may run again.
    NotRun,
    /// It may have run.
    Unknown,
    /// It was answered. The answer is absent if it is too large to keep.
    Answered(Option<Arc<Answer>>),
}

type Name = (ServiceKey, Arc<str>);

#[derive(Clone, Debug)]
enum State<W> {
    Running(Vec<W>),
    Unknown,
    Answered(Option<Arc<Answer>>),
}

#[derive(Clone, Debug)]
struct Record<W> {
    serial: u64,
    identity: Identity,
    generation: Generation,
    /// Bytes it holds or, while it runs, may come to hold.
    bytes: usize,
    state: State<W>,
}

/// The keys of this incarnation. `W` names a waiting request.
#[derive(Clone, Debug)]
pub struct Keys<W> {
    rotation: Rotation,
    max_records: usize,
    max_bytes: usize,
    records: BTreeMap<Name, Record<W>>,
    by_generation: BTreeMap<Generation, BTreeSet<Name>>,
    bytes: usize,
    serial: u64,
    /// Keys of older generations are not accepted. Never falls.
    oldest: Generation,
}

impl<W> Keys<W> {
    /// An empty table; `rotation` is that of the tickets' issuer.
    pub fn new(rotation: Rotation) -> Self {
        Self {
            rotation,
            max_records: DEFAULT_RECORDS,
            max_bytes: DEFAULT_BYTES,
            records: BTreeMap::new(),
            by_generation: BTreeMap::new(),
            bytes: 0,
            serial: 0,
            oldest: Generation::default(),
        }
    }

    /// Bounds the table.
    pub fn with_capacity(mut self, records: usize, bytes: usize) -> Self {
        self.max_records = records;
        self.max_bytes = bytes;
        self
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes held or reserved (estimate).
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A request came whose ticket names this incarnation and `generation`.
    pub fn begin(
        &mut self,
        now: Instant,
        service: ServiceKey,
        key: Arc<str>,
        generation: Generation,
        identity: Identity,
        waiter: W,
    ) -> Begin {
        self.oldest = self.oldest.max(self.rotation.oldest(now));
        self.prune(PRUNE);
        if generation < self.oldest || !self.rotation.accepts(now, generation) {
            return Begin::Unknown;
        }
        let name = (service, key);
        if self.records.contains_key(&name) {
            self.keep_until(&name, generation);
            return self.repeat(&name, identity, waiter);
        }
        self.insert(now, name, generation, identity)
    }

    fn repeat(&mut self, name: &Name, identity: Identity, waiter: W) -> Begin {
        let Some(record) = self.records.get_mut(name) else {
            return Begin::Unknown;
        };
        if record.identity != identity {
            return Begin::Mismatch;
        }
        match &mut record.state {
            // It can't be refused as not run, since it does run.
            State::Running(waiters) if waiters.len() >= MAX_WAITERS => Begin::Unknown,
            State::Running(waiters) => {
                waiters.push(waiter);
                Begin::Join
            }
            State::Answered(Some(answer)) => Begin::Replay(answer.clone()),
            State::Answered(None) | State::Unknown => Begin::Unknown,
        }
    }

    fn insert(
        &mut self,
        now: Instant,
        name: Name,
        generation: Generation,
        identity: Identity,
    ) -> Begin {
        let bytes = OVERHEAD + name.1.len() + MAX_ANSWER;
        if !self.fits(bytes) {
            self.prune(usize::MAX);
        }
        if !self.fits(bytes) {
            let retry_after = self.retry_after(now);
            return Begin::Full { retry_after };
        }
        self.serial += 1;
        self.bytes += bytes;
        let record = Record {
            serial: self.serial,
            identity,
            generation,
            bytes,
            state: State::Running(Vec::new()),
        };
        self.records.insert(name.clone(), record);
        self.index(generation, name.clone());
        let serial = self.serial;
        Begin::Run(Run { name, serial })
    }

    /// A run ended. Returns the requests that waited for it, which get the same end.
    ///
    /// An unknown end may be settled later by a second call; the end of a run whose key has been
    /// forgotten is ignored.
    pub fn end(&mut self, run: &Run, end: End) -> Vec<W> {
        let Some(record) = self.records.get_mut(&run.name) else {
            return Vec::new();
        };
        let settled = matches!(record.state, State::Answered(_));
        if record.serial != run.serial || settled {
            return Vec::new();
        }
        let waiters = match &mut record.state {
            State::Running(waiters) => std::mem::take(waiters),
            State::Unknown | State::Answered(_) => Vec::new(),
        };
        match end {
            End::NotRun => self.forget(&run.name),
            End::Unknown => self.settle(&run.name, State::Unknown),
            End::Answered(answer) => {
                let answer = answer.filter(|answer| self.keeps(&run.name, answer));
                self.settle(&run.name, State::Answered(answer));
            }
        }
        waiters
    }

    /// Whether `answer` fits into what the record holds, or into the table for one that comes late.
    fn keeps(&self, name: &Name, answer: &Answer) -> bool {
        let size = answer.size();
        let held = self.records.get(name).map_or(0, |record| record.bytes);
        let needed = OVERHEAD + name.1.len() + size;
        size <= MAX_ANSWER && self.bytes - held + needed <= self.max_bytes
    }

    /// Stores the end of a run and gives back what it had reserved.
    fn settle(&mut self, name: &Name, state: State<W>) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        let answer = match &state {
            State::Answered(Some(answer)) => answer.size(),
            _ => 0,
        };
        let bytes = OVERHEAD + name.1.len() + answer;
        self.bytes = self.bytes - record.bytes + bytes;
        record.bytes = bytes;
        record.state = state;
    }

    fn fits(&self, bytes: usize) -> bool {
        self.records.len() < self.max_records && self.bytes + bytes <= self.max_bytes
    }

    /// Time until the oldest generation with records is no longer accepted.
    fn retry_after(&self, now: Instant) -> Duration {
        let oldest = self.by_generation.keys().find(|&&g| g >= self.oldest);
        let remaining = oldest.map(|&generation| self.rotation.remaining(now, generation));
        remaining.unwrap_or(RETRY_AFTER).max(RETRY_AFTER)
    }

    /// Keeps a record as long as the newest ticket that its key came with is accepted.
    fn keep_until(&mut self, name: &Name, generation: Generation) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if record.generation >= generation {
            return;
        }
        let before = record.generation;
        record.generation = generation;
        self.unindex(before, name);
        self.index(generation, name.clone());
    }

    /// Drops at most `limit` records that are no longer accepted. Running ones stay to their end.
    fn prune(&mut self, limit: usize) {
        let expired = self.by_generation.range(..self.oldest);
        let settled = |name: &&Name| match self.records.get(*name) {
            Some(record) => !matches!(record.state, State::Running(_)),
            None => true,
        };
        let names: Vec<Name> = expired
            .flat_map(|(_, names)| names)
            .filter(settled)
            .take(limit)
            .cloned()
            .collect();
        for name in names {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &Name) {
        if let Some(record) = self.records.remove(name) {
            self.bytes -= record.bytes;
            self.unindex(record.generation, name);
        }
    }

    fn index(&mut self, generation: Generation, name: Name) {
        self.by_generation
            .entry(generation)
            .or_default()
            .insert(name);
    }

    fn unindex(&mut self, generation: Generation, name: &Name) {
        let Some(names) = self.by_generation.get_mut(&generation) else {
            return;
        };
        names.remove(name);
        if names.is_empty() {
            self.by_generation.remove(&generation);
        }
    }
}
