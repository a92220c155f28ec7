//! An open-loop load generator for the calls of one class from one region.
//!
//! Calls are due at seeded random times that do not depend on responses; latency is measured from
//! these times. Each client address caches its look-up for its TTL and sends a call to the first
//! entry. It tries the next one after a failure to connect, after `not-run` (with its
//! `Retry-After`) and after `unknown`, until the deadline. All attempts of a non-idempotent call
//! have the same `Idempotency-Key` and ticket.

mod client;
mod connect;
mod record;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{lock, pattern, unix_us, Error};

use client::{Call, Client};
pub use record::{Attempt, Outcome, Record, Report};

/// Limit of stored records; later calls are only counted.
const MAX_RECORDS: usize = 1_000_000;
/// Calls per thread that may wait while all threads are busy.
const BACKLOG_PER_THREAD: usize = 4;
const STACK_BYTES: usize = 512 << 10;
/// Longest sleep of the thread that schedules calls, so that it notices a stop.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// An entry host that a caller knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, as records show it.
    pub host: Arc<str>,
    /// The address to connect to.
    pub address: SocketAddr,
}

/// The configuration of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    name: Arc<str>,
    class: Arc<str>,
    service: Arc<str>,
    region: Arc<str>,
    entries: Vec<Entry>,
    near_entries: usize,
    address_map: BTreeMap<SocketAddr, SocketAddr>,
    clients: Vec<IpAddr>,
    rate: f64,
    seed: u64,
    threads: usize,
    deadline: Duration,
    method: String,
    path: String,
    body_length: (usize, usize),
    response_bytes: Option<usize>,
    service_time: Option<(Duration, Duration)>,
    chunked: bool,
    keyed: bool,
    without_lookups: bool,
    max_calls: u64,
    duration: Duration,
}

impl Settings {
    /// Idempotent `GET` calls of one service, ten a second for a minute. `name` makes the call ids
    /// distinct from those of other callers; `entries` are the hosts that are asked for look-ups.
    pub fn new(name: &str, service: &str, entries: Vec<SocketAddr>) -> Self {
        let entry = |address: SocketAddr| Entry {
            host: address.to_string().into(),
            address,
        };
        Self {
            name: name.into(),
            class: service.into(),
            service: service.into(),
            region: "".into(),
            near_entries: entries.len(),
            entries: entries.into_iter().map(entry).collect(),
            address_map: BTreeMap::new(),
            clients: vec![Ipv4Addr::LOCALHOST.into()],
            rate: 10.0,
            seed: 0,
            threads: 16,
            deadline: Duration::from_secs(1),
            method: "GET".into(),
            path: "call".into(),
            body_length: (0, 0),
            response_bytes: None,
            service_time: None,
            chunked: false,
            keyed: false,
            without_lookups: false,
            max_calls: u64::MAX,
            duration: Duration::from_secs(60),
        }
    }

    /// Sets the names of the class and the region in the records.
    pub fn with_names(mut self, class: &str, region: &str) -> Self {
        self.class = class.into();
        self.region = region.into();
        self
    }

    /// Sets the source addresses, with one client for each.
    pub fn with_clients(mut self, clients: Vec<IpAddr>) -> Self {
        self.clients = clients;
        self
    }

    /// Makes each client send its first look-up to one of the first `count` entries.
    pub fn with_near_entries(mut self, count: usize) -> Self {
        self.near_entries = count;
        self
    }

    /// Replaces addresses that a look-up returns (keys of the map) by others, such as those of links
    /// to the hosts.
    pub fn with_address_map(mut self, addresses: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        self.address_map = addresses;
        self
    }

    /// Sets the calls per second and the seed of their times, clients, sizes and service times.
    pub fn with_rate(mut self, rate: f64, seed: u64) -> Self {
        self.rate = rate;
        self.seed = seed;
        self
    }

    /// Sets the number of threads, which bounds the concurrent calls.
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Sets the time limit of a call with all its attempts.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the method, the path within the service, and the shortest and the longest body in bytes.
    pub fn with_request(mut self, method: &str, path: &str, body_length: (usize, usize)) -> Self {
        self.method = method.into();
        self.path = path.into();
        self.body_length = body_length;
        self
    }

    /// Requests responses of that many bytes.
    pub fn with_response_bytes(mut self, length: usize) -> Self {
        self.response_bytes = Some(length);
        self
    }

    /// Requests random service times between these bounds, in whole milliseconds, instead of the target's own.
    pub fn with_service_time(mut self, shortest: Duration, longest: Duration) -> Self {
        self.service_time = Some((shortest, longest));
        self
    }

    /// Requests chunked responses.
    pub fn with_chunked(mut self) -> Self {
        self.chunked = true;
        self
    }

    /// Makes the calls non-idempotent: with a key and a ticket, and each on a new connection.
    pub fn with_keys(mut self) -> Self {
        self.keyed = true;
        self
    }

    /// Uses the entries as targets and calls them without look-ups.
    pub fn without_lookups(mut self) -> Self {
        self.without_lookups = true;
        self
    }

    /// Ends after `max_calls` calls or the given time, whichever comes first.
    pub fn with_end(mut self, max_calls: u64, duration: Duration) -> Self {
        self.max_calls = max_calls;
        self.duration = duration;
        self
    }
}

struct Job {
    client: usize,
    call: Call,
}

struct State {
    rate: f64,
    is_stopped: bool,
    is_finished: bool,
    report: Report,
    histogram: Histogram<u64>,
    records: Vec<Record>,
}

struct Shared {
    settings: Settings,
    clients: Vec<Client>,
    state: Mutex<State>,
    changed: Condvar,
}

/// A running caller; it stops when dropped.
pub struct Caller {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Caller {
    /// Starts the caller's threads.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        if settings.clients.is_empty() || settings.entries.is_empty() || settings.threads == 0 {
            return Err(Error::Settings(
                "a caller needs at least one client, one entry and one thread",
            ));
        }
        let histogram = Histogram::new(3)
            .map_err(|_| Error::Settings("cannot create the latency histogram"))?;
        let report = Report {
            class: Arc::clone(&settings.class),
            region: Arc::clone(&settings.region),
            ..Report::default()
        };
        let state = State {
            rate: settings.rate,
            is_stopped: false,
            is_finished: false,
            report,
            histogram,
            records: Vec::new(),
        };
        let addresses = settings.clients.iter().enumerate();
        let clients = addresses
            .map(|(i, a)| Client::new(*a, i, &settings))
            .collect();
        let threads = settings.threads;
        let shared = Shared {
            settings,
            clients,
            state: Mutex::new(state),
            changed: Condvar::new(),
        };
        let mut caller = Self {
            shared: Arc::new(shared),
            threads: Vec::new(),
        };
        let (sender, receiver) = mpsc::sync_channel(threads * BACKLOG_PER_THREAD);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..threads {
            let receiver = Arc::clone(&receiver);
            caller.spawn(move |shared| run_jobs(shared, &receiver))?;
        }
        caller.spawn(move |shared| schedule_calls(shared, &sender))?;
        Ok(caller)
    }

    fn spawn(&mut self, run: impl FnOnce(&Shared) + Send + 'static) -> Result<(), Error> {
        let shared = Arc::clone(&self.shared);
        let builder = thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK_BYTES);
        let thread = builder.spawn(move || run(&shared)).map_err(Error::Thread)?;
        self.threads.push(thread);
        Ok(())
    }

    /// Changes the calls per second from now on.
    pub fn set_rate(&self, rate: f64) {
        lock(&self.shared.state).rate = rate;
        self.shared.changed.notify_all();
    }

    /// Schedules no more calls; those in flight continue until they end.
    pub fn stop(&self) {
        lock(&self.shared.state).is_stopped = true;
        self.shared.changed.notify_all();
    }

    /// Waits until every call has ended; returns the report and the records.
    pub fn wait(mut self) -> (Report, Vec<Record>) {
        self.join();
        let records = std::mem::take(&mut lock(&self.shared.state).records);
        (self.report(), records)
    }

    /// Whether the last call has been scheduled.
    pub fn is_finished(&self) -> bool {
        lock(&self.shared.state).is_finished
    }

    /// The statistics so far.
    pub fn report(&self) -> Report {
        let state = lock(&self.shared.state);
        state.report.clone().with_latency(&state.histogram)
    }

    /// The latencies of answered calls so far, in microseconds.
    pub fn histogram(&self) -> Histogram<u64> {
        lock(&self.shared.state).histogram.clone()
    }

    /// The records of the calls that have ended so far, in the order of their ends.
    pub fn records(&self) -> Vec<Record> {
        lock(&self.shared.state).records.clone()
    }

    fn join(&mut self) {
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.stop();
        self.join();
    }
}

/// Hands calls to the threads when they are due, independently of earlier calls.
fn schedule_calls(shared: &Shared, jobs: &SyncSender<Job>) {
    let settings = &shared.settings;
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    let end = Instant::now() + settings.duration;
    let mut due = Instant::now();
    for number in 0..settings.max_calls {
        let gap = -(1.0 - rng.random::<f64>()).ln();
        match wait_until_due(shared, due, gap) {
            Some(next) if next < end => due = next,
            _ => break,
        }
        let job = new_job(settings, &mut rng, number, due);
        let mut state = lock(&shared.state);
        state.report.offered += 1;
        if jobs.try_send(job).is_err() {
            state.report.missed += 1;
        }
    }
    lock(&shared.state).is_finished = true;
}

/// Waits until the next call is due, `gap` mean intervals after `last`; a change of the rate applies at once. Returns when it is due,
/// or none if the caller is stopped.
fn wait_until_due(shared: &Shared, last: Instant, gap: f64) -> Option<Instant> {
    let mut state = lock(&shared.state);
    loop {
        if state.is_stopped {
            return None;
        }
        let now = Instant::now();
        let due = last + Duration::from_secs_f64((gap / state.rate.max(1e-3)).min(3600.0));
        if due <= now {
            return Some(due);
        }
        let waited = shared
            .changed
            .wait_timeout(state, (due - now).min(MAX_SLEEP));
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn new_job(settings: &Settings, rng: &mut Pcg64Mcg, number: u64, due: Instant) -> Job {
    let id: Arc<str> = format!("{}-{}-{number}", settings.name, settings.seed).into();
    let (shortest, longest) = settings.body_length;
    let length = rng.random_range(shortest..=longest.max(shortest));
    let service_time = settings.service_time.map(|(shortest, longest)| {
        shortest
            + longest
                .saturating_sub(shortest)
                .mul_f64(rng.random::<f64>())
    });
    let delay_us = due.elapsed().as_micros() as u64;
    let body = pattern::bytes(&format!("body-{id}"), length);
    let client = rng.random_range(0..settings.clients.len());
    Job {
        client,
        call: Call {
            id,
            due,
            start_us: unix_us() - delay_us,
            body,
            service_time,
        },
    }
}

/// Makes calls until all have been made and no more are scheduled.
fn run_jobs(shared: &Shared, jobs: &Mutex<Receiver<Job>>) {
    loop {
        let Ok(job) = lock(jobs).recv() else {
            return;
        };
        let record = shared.clients[job.client].call(&shared.settings, &job.call);
        let mut state = lock(&shared.state);
        state.report.add_record(&record);
        if record.outcome == Outcome::Answered {
            let _ = state.histogram.record(record.latency_us);
        }
        if state.records.len() < MAX_RECORDS {
            state.records.push(record);
        }
    }
}
