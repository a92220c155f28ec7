//! An open-loop load generator for the calls of one class from one region.
//!
//! Calls are due at seeded random times that do not depend on answers; latency counts from then.
//! Each client address keeps its look-up for its ttl, sends to the first entry, and goes to the
//! next one on a failure to connect, on `not-run` (after its `Retry-After`) and on `unknown`,
//! within the deadline. A keyed call bears the same `Idempotency-Key` and ticket each time.

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

/// Most records kept; later calls are counted only.
const MAX_RECORDS: usize = 1_000_000;
/// Calls that may be due while all threads are busy, per thread.
const BACKLOG: usize = 4;
const STACK: usize = 512 << 10;
/// Longest sleep of the thread that offers calls, so that it sees a stop.
const TICK: Duration = Duration::from_millis(50);

/// An entry host that a caller knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, or any other.
    pub host: Arc<str>,
    /// Where to connect.
    pub address: SocketAddr,
}

/// What a caller does.
#[derive(Clone, Debug)]
pub struct Settings {
    name: Arc<str>,
    class: Arc<str>,
    service: Arc<str>,
    region: Arc<str>,
    entries: Vec<Entry>,
    near: usize,
    via: BTreeMap<SocketAddr, SocketAddr>,
    clients: Vec<IpAddr>,
    rate: f64,
    seed: u64,
    threads: usize,
    deadline: Duration,
    method: String,
    path: String,
    body: (usize, usize),
    answer_bytes: Option<usize>,
    work: Option<(Duration, Duration)>,
    chunked: bool,
    keyed: bool,
    direct: bool,
    limit: u64,
    duration: Duration,
}

impl Settings {
    /// Idempotent `GET`s of one service at ten a second for a minute. `name` makes the call ids
    /// distinct from those of other callers; `entries` answer look-ups.
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
            near: entries.len(),
            entries: entries.into_iter().map(entry).collect(),
            via: BTreeMap::new(),
            clients: vec![Ipv4Addr::LOCALHOST.into()],
            rate: 10.0,
            seed: 0,
            threads: 16,
            deadline: Duration::from_secs(1),
            method: "GET".into(),
            path: "call".into(),
            body: (0, 0),
            answer_bytes: None,
            work: None,
            chunked: false,
            keyed: false,
            direct: false,
            limit: u64::MAX,
            duration: Duration::from_secs(60),
        }
    }

    /// Sets the names of the class and the region in the records.
    pub fn with_names(mut self, class: &str, region: &str) -> Self {
        self.class = class.into();
        self.region = region.into();
        self
    }

    /// Sets the source addresses, one client each.
    pub fn with_clients(mut self, clients: Vec<IpAddr>) -> Self {
        self.clients = clients;
        self
    }

    /// Has each client begin with one of the first `near` entries.
    pub fn with_near(mut self, near: usize) -> Self {
        self.near = near;
        self
    }

    /// Connects to the second address where a look-up names the first, for links between.
    pub fn with_via(mut self, via: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        self.via = via;
        self
    }

    /// Sets the calls per second and the seed of their times, clients and sizes.
    pub fn with_rate(mut self, rate: f64, seed: u64) -> Self {
        self.rate = rate;
        self.seed = seed;
        self
    }

    /// Sets the most calls under way at once.
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Sets the time in which a call must end, its attempts together.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the method, the path within the service and the bounds of the body's length.
    pub fn with_request(mut self, method: &str, path: &str, body: (usize, usize)) -> Self {
        self.method = method.into();
        self.path = path.into();
        self.body = body;
        self
    }

    /// Asks for answers of that many bytes.
    pub fn with_answer_bytes(mut self, length: usize) -> Self {
        self.answer_bytes = Some(length);
        self
    }

    /// Asks for service times between these, in whole milliseconds, rather than the target's own.
    pub fn with_work(mut self, shortest: Duration, longest: Duration) -> Self {
        self.work = Some((shortest, longest));
        self
    }

    /// Asks for chunked answers.
    pub fn with_chunked(mut self) -> Self {
        self.chunked = true;
        self
    }

    /// Makes the calls non-idempotent: with a key and a ticket, on fresh connections.
    pub fn with_keys(mut self) -> Self {
        self.keyed = true;
        self
    }

    /// Takes the entries for targets and calls them without a look-up.
    pub fn with_direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Ends after that many calls or that time, whichever is first.
    pub fn with_end(mut self, limit: u64, duration: Duration) -> Self {
        self.limit = limit;
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
    stopped: bool,
    finished: bool,
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
    /// Starts calling.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        if settings.clients.is_empty() || settings.entries.is_empty() || settings.threads == 0 {
            return Err(Error::Settings(
                "a caller needs a client, an entry and a thread",
            ));
        }
        let histogram = Histogram::new(3).map_err(|_| Error::Settings("no histogram"))?;
        let report = Report {
            class: Arc::clone(&settings.class),
            region: Arc::clone(&settings.region),
            ..Report::default()
        };
        let state = State {
            rate: settings.rate,
            stopped: false,
            finished: false,
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
        let (sender, receiver) = mpsc::sync_channel(threads * BACKLOG);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..threads {
            let receiver = Arc::clone(&receiver);
            caller.spawn(move |shared| work(shared, &receiver))?;
        }
        caller.spawn(move |shared| offer(shared, &sender))?;
        Ok(caller)
    }

    fn spawn(&mut self, run: impl FnOnce(&Shared) + Send + 'static) -> Result<(), Error> {
        let shared = Arc::clone(&self.shared);
        let builder = thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK);
        let thread = builder.spawn(move || run(&shared)).map_err(Error::Thread)?;
        self.threads.push(thread);
        Ok(())
    }

    /// Changes the calls per second from now on.
    pub fn set_rate(&self, rate: f64) {
        lock(&self.shared.state).rate = rate;
        self.shared.changed.notify_all();
    }

    /// Offers no more calls; those under way go on to their ends.
    pub fn stop(&self) {
        lock(&self.shared.state).stopped = true;
        self.shared.changed.notify_all();
    }

    /// Waits until every call has ended, and answers the records.
    pub fn wait(mut self) -> (Report, Vec<Record>) {
        self.join();
        let records = std::mem::take(&mut lock(&self.shared.state).records);
        (self.report(), records)
    }

    /// Whether no more calls are offered.
    pub fn is_finished(&self) -> bool {
        lock(&self.shared.state).finished
    }

    /// The figures so far.
    pub fn report(&self) -> Report {
        let state = lock(&self.shared.state);
        state.report.clone().with_latency(&state.histogram)
    }

    /// The latencies of answered calls so far, in microseconds.
    pub fn histogram(&self) -> Histogram<u64> {
        lock(&self.shared.state).histogram.clone()
    }

    /// The calls that have ended so far, in the order of their ends.
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

/// Offers calls when they are due, whatever becomes of earlier ones.
fn offer(shared: &Shared, to: &SyncSender<Job>) {
    let settings = &shared.settings;
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    let end = Instant::now() + settings.duration;
    let mut due = Instant::now();
    for number in 0..settings.limit {
        let gap = -(1.0 - rng.random::<f64>()).ln();
        match wait_until_due(shared, due, gap) {
            Some(next) if next < end => due = next,
            _ => break,
        }
        let job = job(settings, &mut rng, number, due);
        let mut state = lock(&shared.state);
        state.report.offered += 1;
        if to.try_send(job).is_err() {
            state.report.missed += 1;
        }
    }
    lock(&shared.state).finished = true;
}

/// Waits for the call after `last`, at the rate in force; none when stopped.
fn wait_until_due(shared: &Shared, last: Instant, gap: f64) -> Option<Instant> {
    let mut state = lock(&shared.state);
    loop {
        if state.stopped {
            return None;
        }
        let now = Instant::now();
        let due = last + Duration::from_secs_f64((gap / state.rate.max(1e-3)).min(3600.0));
        if due <= now {
            return Some(due);
        }
        let waited = shared.changed.wait_timeout(state, (due - now).min(TICK));
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn job(settings: &Settings, rng: &mut Pcg64Mcg, number: u64, due: Instant) -> Job {
    let id: Arc<str> = format!("{}-{}-{number}", settings.name, settings.seed).into();
    let (least, most) = settings.body;
    let length = rng.random_range(least..=most.max(least));
    let work = settings.work.map(|(shortest, longest)| {
        shortest
            + longest
                .saturating_sub(shortest)
                .mul_f64(rng.random::<f64>())
    });
    let late = due.elapsed().as_micros() as u64;
    let body = pattern::bytes(&format!("body-{id}"), length);
    let client = rng.random_range(0..settings.clients.len());
    Job {
        client,
        call: Call {
            id,
            due,
            start_us: unix_us() - late,
            body,
            work,
        },
    }
}

/// Makes calls until no more are offered.
fn work(shared: &Shared, jobs: &Mutex<Receiver<Job>>) {
    loop {
        let Ok(job) = lock(jobs).recv() else {
            return;
        };
        let record = shared.clients[job.client].call(&shared.settings, &job.call);
        let mut state = lock(&shared.state);
        state.report.count(&record);
        if record.outcome == Outcome::Answered {
            let _ = state.histogram.record(record.latency_us);
        }
        if state.records.len() < MAX_RECORDS {
            state.records.push(record);
        }
    }
}
