//! Idempotency keys received by this incarnation, and their outcomes.
//!
//! A request with a key is executed once: repetitions join the running request or get its stored
//! answer. Records are kept as long as a ticket of their generation is accepted (see
//! [`super::ticket`]); after that the key itself is no longer accepted, so its record can safely be
//! removed. A full table refuses new keys and evicts nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use super::ticket::{Generation, Rotation};
use crate::catalog::ServiceKey;

/// Default limit on records.
pub const DEFAULT_MAX_RECORDS: usize = 65_536;
/// Default limit on stored bytes.
pub const DEFAULT_MAX_BYTES: usize = 64 << 20;
/// Largest answer that is stored, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 << 10;
/// Limit on requests that wait for the running request with the same key.
pub const MAX_WAITERS_PER_KEY: usize = 16;
/// Estimated size of a record without its key and answer, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Limit on expired records removed at each request, so that no single request removes a whole
/// generation.
const MAX_PRUNED_PER_REQUEST: usize = 32;
/// Minimum retry delay of a refusal, used when only running requests fill the table.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answer stored for repetitions of a request.
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
    /// Returns the size of the headers and the body in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(k, v)| k.len() + v.len()).sum();
        headers + self.body.len()
    }
}

/// Hash that identifies a request, to detect different requests with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity(u128);

impl Identity {
    /// Computes the identity of a request. `length` and `body` are passed if known before it is executed.
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

/// Permission to execute the request of a key, held by one request at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunPermit {
    record_key: RecordKey,
    serial: u64,
}

/// Decision on a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Execute the request and report its outcome to [`IdempotencyTable::complete`].
    Run(RunPermit),
    /// Wait: the same request is running, and [`IdempotencyTable::complete`] returns this waiter at its
    /// end.
    Join,
    /// Return the stored answer.
    Replay(Arc<Answer>),
    /// Refuse as not executed (422): the key was used for a different request.
    Mismatch,
    /// Refuse as not executed: the table is full.
    Full {
        /// Time until the table may have room.
        retry_after: Duration,
    },
    /// The request may have been executed, and its answer is not available.
    Unknown,
}

/// Outcome of a request that held a [`RunPermit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It was certainly not executed; a request with the key may be executed again.
    NotRun,
    /// It may have been executed.
    Unknown,
    /// It was answered. The answer is `None` if it is too large to store.
    Answered(Option<Arc<Answer>>),
}

type RecordKey = (ServiceKey, Arc<str>);

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
    /// Bytes used by the record or, while its request runs, reserved for it.
    bytes: usize,
    state: State<W>,
}

/// Idempotency keys of this incarnation. `W` identifies a waiting request.
#[derive(Clone, Debug)]
pub struct IdempotencyTable<W> {
    rotation: Rotation,
    max_records: usize,
    max_bytes: usize,
    records: BTreeMap<RecordKey, Record<W>>,
    by_generation: BTreeMap<Generation, BTreeSet<RecordKey>>,
    bytes: usize,
    serial: u64,
    /// Oldest accepted generation. Never decreases.
    oldest_accepted: Generation,
}

impl<W> IdempotencyTable<W> {
    /// Creates an empty table; `rotation` must be that of the tickets' issuer.
    pub fn new(rotation: Rotation) -> Self {
        Self {
            rotation,
            max_records: DEFAULT_MAX_RECORDS,
            max_bytes: DEFAULT_MAX_BYTES,
            records: BTreeMap::new(),
            by_generation: BTreeMap::new(),
            bytes: 0,
            serial: 0,
            oldest_accepted: Generation::default(),
        }
    }

    /// Sets the limits on records and bytes.
    pub fn with_capacity(mut self, records: usize, bytes: usize) -> Self {
        self.max_records = records;
        self.max_bytes = bytes;
        self
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the estimated number of bytes used or reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides on a request whose ticket was issued by this incarnation in `generation`.
    pub fn begin(
        &mut self,
        now: Instant,
        service: ServiceKey,
        key: Arc<str>,
        generation: Generation,
        identity: Identity,
        waiter: W,
    ) -> Admission {
        self.oldest_accepted = self.oldest_accepted.max(self.rotation.oldest_accepted(now));
        self.prune(MAX_PRUNED_PER_REQUEST);
        if generation < self.oldest_accepted || !self.rotation.accepts(now, generation) {
            return Admission::Unknown;
        }
        let record_key = (service, key);
        if self.records.contains_key(&record_key) {
            self.extend_lifetime(&record_key, generation);
            return self.admit_repetition(&record_key, identity, waiter);
        }
        self.admit_new(now, record_key, generation, identity)
    }

    fn admit_repetition(
        &mut self,
        record_key: &RecordKey,
        identity: Identity,
        waiter: W,
    ) -> Admission {
        let Some(record) = self.records.get_mut(record_key) else {
            return Admission::Unknown;
        };
        if record.identity != identity {
            return Admission::Mismatch;
        }
        match &mut record.state {
            // It can't be refused as not executed, since a request with the key is running.
            State::Running(waiters) if waiters.len() >= MAX_WAITERS_PER_KEY => Admission::Unknown,
            State::Running(waiters) => {
                waiters.push(waiter);
                Admission::Join
            }
            State::Answered(Some(answer)) => Admission::Replay(answer.clone()),
            State::Answered(None) | State::Unknown => Admission::Unknown,
        }
    }

    fn admit_new(
        &mut self,
        now: Instant,
        record_key: RecordKey,
        generation: Generation,
        identity: Identity,
    ) -> Admission {
        let bytes = RECORD_OVERHEAD_BYTES + record_key.1.len() + MAX_STORED_ANSWER_BYTES;
        if !self.has_room(bytes) {
            self.prune(usize::MAX);
        }
        if !self.has_room(bytes) {
            let retry_after = self.retry_after(now);
            return Admission::Full { retry_after };
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
        self.records.insert(record_key.clone(), record);
        self.add_to_generation(generation, record_key.clone());
        let serial = self.serial;
        Admission::Run(RunPermit { record_key, serial })
    }

    /// Records the outcome of the request that holds `permit`. Returns the requests that waited for it and
    /// get the same outcome.
    ///
    /// An unknown outcome may be replaced by a second call; the outcome of a request whose record was
    /// removed is ignored.
    pub fn complete(&mut self, permit: &RunPermit, outcome: RunOutcome) -> Vec<W> {
        let Some(record) = self.records.get_mut(&permit.record_key) else {
            return Vec::new();
        };
        let is_answered = matches!(record.state, State::Answered(_));
        if record.serial != permit.serial || is_answered {
            return Vec::new();
        }
        let waiters = match &mut record.state {
            State::Running(waiters) => std::mem::take(waiters),
            State::Unknown | State::Answered(_) => Vec::new(),
        };
        match outcome {
            RunOutcome::NotRun => self.remove_record(&permit.record_key),
            RunOutcome::Unknown => self.store_state(&permit.record_key, State::Unknown),
            RunOutcome::Answered(answer) => {
                let answer =
                    answer.filter(|answer| self.can_store_answer(&permit.record_key, answer));
                self.store_state(&permit.record_key, State::Answered(answer));
            }
        }
        waiters
    }

    /// Whether `answer` fits into the record's reservation, or into the table if it arrives after the
    /// reservation was released.
    fn can_store_answer(&self, record_key: &RecordKey, answer: &Answer) -> bool {
        let size = answer.size();
        let held_bytes = self
            .records
            .get(record_key)
            .map_or(0, |record| record.bytes);
        let needed_bytes = RECORD_OVERHEAD_BYTES + record_key.1.len() + size;
        size <= MAX_STORED_ANSWER_BYTES && self.bytes - held_bytes + needed_bytes <= self.max_bytes
    }

    /// Stores the outcome in the record and releases the rest of its reservation.
    fn store_state(&mut self, record_key: &RecordKey, state: State<W>) {
        let Some(record) = self.records.get_mut(record_key) else {
            return;
        };
        let answer = match &state {
            State::Answered(Some(answer)) => answer.size(),
            _ => 0,
        };
        let bytes = RECORD_OVERHEAD_BYTES + record_key.1.len() + answer;
        self.bytes = self.bytes - record.bytes + bytes;
        record.bytes = bytes;
        record.state = state;
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.records.len() < self.max_records && self.bytes + bytes <= self.max_bytes
    }

    /// Returns the time until the oldest generation with records is no longer accepted.
    fn retry_after(&self, now: Instant) -> Duration {
        let oldest = self
            .by_generation
            .keys()
            .find(|&&generation| generation >= self.oldest_accepted);
        let remaining = oldest.map(|&generation| self.rotation.remaining(now, generation));
        remaining.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER)
    }

    /// Keeps a record as long as the newest ticket received with its key is accepted.
    fn extend_lifetime(&mut self, record_key: &RecordKey, generation: Generation) {
        let Some(record) = self.records.get_mut(record_key) else {
            return;
        };
        if record.generation >= generation {
            return;
        }
        let old_generation = record.generation;
        record.generation = generation;
        self.remove_from_generation(old_generation, record_key);
        self.add_to_generation(generation, record_key.clone());
    }

    /// Removes at most `limit` records whose generation is no longer accepted. Records of running requests
    /// are kept.
    fn prune(&mut self, limit: usize) {
        let expired = self.by_generation.range(..self.oldest_accepted);
        let has_ended = |record_key: &&RecordKey| match self.records.get(*record_key) {
            Some(record) => !matches!(record.state, State::Running(_)),
            None => true,
        };
        let record_keys: Vec<RecordKey> = expired
            .flat_map(|(_, record_keys)| record_keys)
            .filter(has_ended)
            .take(limit)
            .cloned()
            .collect();
        for record_key in record_keys {
            self.remove_record(&record_key);
        }
    }

    fn remove_record(&mut self, record_key: &RecordKey) {
        if let Some(record) = self.records.remove(record_key) {
            self.bytes -= record.bytes;
            self.remove_from_generation(record.generation, record_key);
        }
    }

    fn add_to_generation(&mut self, generation: Generation, record_key: RecordKey) {
        self.by_generation
            .entry(generation)
            .or_default()
            .insert(record_key);
    }

    fn remove_from_generation(&mut self, generation: Generation, record_key: &RecordKey) {
        let Some(record_keys) = self.by_generation.get_mut(&generation) else {
            return;
        };
        record_keys.remove(record_key);
        if record_keys.is_empty() {
            self.by_generation.remove(&generation);
        }
    }
}
