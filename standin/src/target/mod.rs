//! A target with slots, a bounded queue and a journal.
//!
//! A request runs for `Standin-Work-Ms` (or a time drawn from the seeded [`ServiceTime`]) in one of
//! the slots. If all slots are in use it waits in the queue, until its `Ragwortfold-Deadline-Ms` at
//! most. If the queue is full or the deadline passes, the target sheds the request: 503,
//! `Ragwortfold-Outcome: not-run`, `Retry-After`.
//!
//! A response identifies its target and its request: headers `Standin-Target`, `Standin-Zone`,
//! `Standin-Call` and `Standin-Body-Hash` (of the request's body), and a JSON body with the target,
//! the call, the body's hash and length, the request id, and the method and path.
//! `Standin-Answer-Bytes: N` asks for `pattern::bytes(CALL, N)` as the body instead,
//! `Standin-Chunked: 1` for a chunked response.
//!
//! `DELETE /requests/ID` drops a waiting request and ends a running one; `GET /health` returns the
//! state; `GET /load` returns `{"in_flight","slots","state"}`, as old as configured. For tests,
//! `POST /standin/fault` sets a [`Fault`], `GET /standin/journal` returns the [`Journal`] and
//! `GET /standin/counts` the [`Counts`]. While connections are refused these are reachable at the
//! control address only, and the response to the call that sets such a fault may get lost at any
//! other address.

mod journal;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::http::{Framing, Reply, Request, Response, Server};
use crate::listen::ListenerState;
use crate::{lock, pattern, unix_us, Error};

pub use journal::{Entry, Journal};

/// Limit of open connections at the control address.
const MAX_CONTROL_CONNECTIONS: usize = 64;
/// Longest time in the queue, also the default for requests without a deadline.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(30);
/// Limit of stored load samples, from which `/load` returns an old one.
const MAX_LOAD_SAMPLES: usize = 4096;

/// Bounds of the random service time of requests without `Standin-Work-Ms`.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// The shortest.
    pub shortest: Duration,
    /// The longest.
    pub longest: Duration,
}

/// The configuration of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    name: Arc<str>,
    zone: Arc<str>,
    slots: usize,
    queue_length: usize,
    max_connections: usize,
    service_time: ServiceTime,
    seed: u64,
    load_lag: Duration,
}

impl Settings {
    /// A target with the given number of slots, an equally long queue, and up to 400 connections.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            zone: "".into(),
            slots,
            queue_length: slots,
            max_connections: 400,
            service_time: ServiceTime {
                shortest: Duration::ZERO,
                longest: Duration::ZERO,
            },
            seed: 0,
            load_lag: Duration::ZERO,
        }
    }

    /// Sets the availability zone that its responses name.
    pub fn with_zone(mut self, zone: &str) -> Self {
        self.zone = zone.into();
        self
    }

    /// Sets how many requests may wait for a slot.
    pub fn with_queue(mut self, length: usize) -> Self {
        self.queue_length = length;
        self
    }

    /// Sets the limit of open connections; further ones are reset.
    pub fn with_connections(mut self, limit: usize) -> Self {
        self.max_connections = limit;
        self
    }

    /// Sets the bounds of the service time and the seed of its random values.
    pub fn with_service_time(mut self, service_time: ServiceTime, seed: u64) -> Self {
        self.service_time = service_time;
        self.seed = seed;
        self
    }

    /// Sets how old the values of `/load` are.
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }
}

/// How a target handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Serves.
    #[default]
    Serving,
    /// Serves, first slowed by [`Fault::slow`] and by less with each request served.
    Cold,
    /// Serves and reports that it is draining.
    Draining,
    /// Sheds requests: the response says that they did not run.
    Shedding,
    /// Neither runs requests nor responds.
    Hang,
    /// Resets the connection without running the request.
    Reset,
    /// Runs the request and closes the connection without a response.
    LoseAnswer,
    /// Runs the request and sends half of the response's body.
    Truncate,
    /// Runs the request and sends bytes that are not HTTP.
    Garbage,
    /// Refuses new connections and serves the open ones.
    Refuse,
    /// Ends all requests and connections, and refuses new connections.
    Crash,
}

/// The faults of a target; none by default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// How it handles requests.
    pub mode: Mode,
    /// Applies the mode to every nth request only, except for `cold`, `draining` and `crash`; 0 and 1 mean all requests.
    pub every: u64,
    /// Factor on service times; in a cold target, the factor of the first request.
    pub slow: f64,
    /// Requests that a cold target must serve to be warm.
    pub warm_after: u64,
    /// Reports no load, whatever the real one is.
    pub hide_load: bool,
    /// Reports good health and the state `serving` in every mode.
    pub hide_state: bool,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            mode: Mode::Serving,
            every: 1,
            slow: 1.0,
            warm_after: 0,
            hide_load: false,
            hide_state: false,
        }
    }
}

/// The counters of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests in a slot now.
    pub running: usize,
    /// Requests waiting now.
    pub waiting: usize,
    /// The most requests that ran at once.
    pub max_running: usize,
    /// The most requests that waited at once.
    pub max_waiting: usize,
    /// Requests that began to run.
    pub began: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Requests that were ended by a cancellation or a crash while they ran.
    pub ended_early: u64,
    /// Requests that were dropped by a cancellation or a crash while they waited.
    pub dropped: u64,
    /// Requests shed because the queue was full, their deadline passed or the mode is `shedding`.
    pub shed: u64,
    /// Connections open now.
    pub connections: usize,
    /// The most connections that were open at once.
    pub max_connections: usize,
    /// Connections that were reset because of the limit.
    pub connections_over: u64,
}

/// A request that waits or runs.
struct Pending {
    request: Option<Arc<str>>,
    /// Ends the request when dropped; present while it runs.
    cancel: Option<mpsc::Sender<()>>,
}

struct State {
    rng: Pcg64Mcg,
    fault: Fault,
    requests_seen: u64,
    last_pending_id: u64,
    /// Requests served since the fault was set last.
    served_since_fault: u64,
    queue: VecDeque<u64>,
    pending: BTreeMap<u64, Pending>,
    load_samples: VecDeque<(Instant, usize)>,
    counts: Counts,
    journal: Journal,
}

struct Shared {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
    server: OnceLock<Weak<Server>>,
}

/// A running target; it stops when dropped.
pub struct Target {
    shared: Arc<Shared>,
    server: Arc<Server>,
    control: Option<Server>,
}

impl Target {
    /// Starts a target; with port 0 it listens on a free port.
    pub fn new(listen: SocketAddr, settings: Settings) -> Result<Self, Error> {
        if settings.slots == 0 {
            return Err(Error::Settings("a target needs at least one slot"));
        }
        let max_connections = settings.max_connections;
        let state = State {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            fault: Fault::default(),
            requests_seen: 0,
            last_pending_id: 0,
            served_since_fault: 0,
            queue: VecDeque::new(),
            pending: BTreeMap::new(),
            load_samples: VecDeque::new(),
            counts: Counts::default(),
            journal: Journal::default(),
        };
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
            changed: Condvar::new(),
            server: OnceLock::new(),
        });
        let inner = Arc::clone(&shared);
        let server = Server::new(listen, max_connections, move |request| {
            inner.serve(&request)
        })?;
        let server = Arc::new(server);
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(Self {
            shared,
            server,
            control: None,
        })
    }

    /// Also serves `/standin/` at a second address, which faults do not affect.
    pub fn with_control(mut self, listen: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::clone(&self.shared);
        let handler = move |request: Request| Reply::from(shared.serve_control(&request));
        self.control = Some(Server::new(listen, MAX_CONTROL_CONNECTIONS, handler)?);
        Ok(self)
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The second address, for control calls, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Replaces the faults in force.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// The journal of the requests that have begun so far.
    pub fn journal(&self) -> Journal {
        lock(&self.shared.state).journal.clone()
    }

    /// The counters so far.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.shared.set_fault(Fault {
            mode: Mode::Crash,
            ..Fault::default()
        });
    }
}

/// Why a request did not complete.
enum Incomplete {
    Shed,
    Expired,
    Dropped,
    Cancelled,
}

impl Shared {
    fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.served_since_fault = 0;
        if fault.mode == Mode::Crash {
            state.queue.clear();
            state.pending.clear();
        }
        let mode = fault.mode;
        state.fault = fault;
        drop(state);
        self.changed.notify_all();
        let Some(server) = self.server() else {
            return;
        };
        let is_closed = matches!(mode, Mode::Refuse | Mode::Crash);
        server.set_listener_state(if is_closed {
            ListenerState::Closed
        } else {
            ListenerState::Open
        });
        if mode == Mode::Crash {
            server.close_connections();
        }
    }

    fn server(&self) -> Option<Arc<Server>> {
        self.server.get().and_then(Weak::upgrade)
    }

    fn counts(&self) -> Counts {
        let mut counts = lock(&self.state).counts;
        if let Some(server) = self.server() {
            let (open, peak, over_limit) = server.connection_counts();
            counts.connections = open;
            counts.max_connections = peak;
            counts.connections_over = over_limit;
        }
        counts
    }

    fn serve(&self, request: &Request) -> Reply {
        if request.path.starts_with("/standin/") {
            return self.serve_control(request).into();
        }
        let (fault, mode) = self.count_arrival();
        match mode {
            Mode::Hang => return Reply::Hang,
            Mode::Reset => return Reply::Reset,
            Mode::Crash => return Reply::Close,
            _ => {}
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => self.health(&fault).into(),
            ("GET", "/load") => self.load(&fault).into(),
            ("DELETE", path) if path.starts_with("/requests/") => {
                self.cancel(&path["/requests/".len()..]).into()
            }
            _ => self.run_request(request, mode),
        }
    }

    /// Counts a request; returns the faults in force and the mode that applies to this request.
    fn count_arrival(&self) -> (Fault, Mode) {
        let mut state = lock(&self.state);
        state.requests_seen += 1;
        let fault = state.fault.clone();
        let applies_to_some = !matches!(fault.mode, Mode::Cold | Mode::Draining | Mode::Crash);
        let is_spared = applies_to_some && !state.requests_seen.is_multiple_of(fault.every.max(1));
        let mode = if is_spared { Mode::Serving } else { fault.mode };
        (fault, mode)
    }

    fn serve_control(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/standin/fault") => match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    self.set_fault(fault);
                    Response::json(200, &lock(&self.state).fault)
                }
                Err(error) => Response::error(400, &error.to_string()),
            },
            ("GET", "/standin/journal") => Response::json(200, &lock(&self.state).journal),
            ("GET", "/standin/counts") => Response::json(200, &self.counts()),
            _ => Response::error(404, "no such call"),
        }
    }

    fn health(&self, fault: &Fault) -> Response {
        let state = reported_state(fault);
        let is_unhealthy = !fault.hide_state && fault.mode == Mode::Shedding;
        Response::json(
            if is_unhealthy { 503 } else { 200 },
            &BTreeMap::from([("state", state)]),
        )
    }

    fn load(&self, fault: &Fault) -> Response {
        #[derive(Serialize)]
        struct Load {
            in_flight: usize,
            slots: usize,
            state: &'static str,
        }
        let in_flight = if fault.hide_load {
            0
        } else {
            self.delayed_load()
        };
        let slots = self.settings.slots;
        Response::json(
            200,
            &Load {
                in_flight,
                slots,
                state: reported_state(fault),
            },
        )
    }

    fn delayed_load(&self) -> usize {
        let state = lock(&self.state);
        let Some(time) = Instant::now().checked_sub(self.settings.load_lag) else {
            return 0;
        };
        let sample = state.load_samples.iter().rev().find(|(at, _)| *at <= time);
        sample.map_or(0, |(_, in_flight)| *in_flight)
    }

    fn cancel(&self, id: &str) -> Response {
        let mut state = lock(&self.state);
        let matches = |p: &Pending| p.request.as_deref() == Some(id);
        let ids: Vec<u64> = state
            .pending
            .iter()
            .filter(|(_, p)| matches(p))
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            // Dropping the sender ends a running request; a waiting one finds its entry missing.
            state.pending.remove(id);
        }
        state.queue.retain(|id| !ids.contains(id));
        drop(state);
        self.changed.notify_all();
        let status = if ids.is_empty() { 404 } else { 200 };
        Response::json(status, &BTreeMap::from([("cancelled", ids.len())]))
    }

    fn run_request(&self, request: &Request, mode: Mode) -> Reply {
        let result = if mode == Mode::Shedding {
            Err(Incomplete::Shed)
        } else {
            self.run(request)
        };
        if result.is_err() && lock(&self.state).fault.mode == Mode::Crash {
            return Reply::Close;
        }
        let mut response = match result {
            Ok(()) => self.build_response(request),
            Err(Incomplete::Cancelled) => {
                Response::error(503, "cancelled").with_header("Ragwortfold-Outcome", "unknown")
            }
            Err(Incomplete::Dropped) => not_run_response("cancelled"),
            Err(Incomplete::Shed | Incomplete::Expired) => {
                lock(&self.state).counts.shed += 1;
                not_run_response("overloaded").with_header("Retry-After", 1)
            }
        };
        self.add_status_headers(&mut response);
        match mode {
            Mode::LoseAnswer => return Reply::Close,
            Mode::Garbage => return Reply::Raw(pattern::bytes("garbage", 256)),
            Mode::Truncate => response.framing = Framing::Truncated,
            _ => {}
        }
        response.into()
    }

    /// Waits for a slot and runs a request in it; the journal has the time in the slot only.
    fn run(&self, request: &Request) -> Result<(), Incomplete> {
        let (id, end) = self.enqueue(request)?;
        let (index, service_time, cancel) = self.begin(id, end, request)?;
        let completed = service_time.is_zero()
            || cancel.recv_timeout(service_time) == Err(RecvTimeoutError::Timeout);
        let mut state = lock(&self.state);
        let completed = state.pending.remove(&id).is_some() && completed;
        state.journal.end(index, completed);
        state.counts.running -= 1;
        if completed {
            state.counts.completed += 1;
            state.served_since_fault += 1;
        } else {
            state.counts.ended_early += 1;
        }
        record_load_sample(&mut state);
        drop(state);
        self.changed.notify_all();
        if completed {
            Ok(())
        } else {
            Err(Incomplete::Cancelled)
        }
    }

    /// Adds a request to the queue; returns its id and the time until which it may wait.
    fn enqueue(&self, request: &Request) -> Result<(u64, Instant), Incomplete> {
        let deadline = request
            .number("Ragwortfold-Deadline-Ms")
            .map(Duration::from_millis);
        let end = Instant::now() + deadline.unwrap_or(MAX_QUEUE_WAIT).min(MAX_QUEUE_WAIT);
        let mut state = lock(&self.state);
        let is_slot_free = state.counts.running < self.settings.slots && state.queue.is_empty();
        if !is_slot_free && state.queue.len() >= self.settings.queue_length {
            return Err(Incomplete::Shed);
        }
        state.last_pending_id += 1;
        let id = state.last_pending_id;
        state.queue.push_back(id);
        let request = request.header("Ragwortfold-Request-Id").map(Arc::from);
        state.pending.insert(
            id,
            Pending {
                request,
                cancel: None,
            },
        );
        if !is_slot_free {
            state.counts.waiting = state.queue.len();
            state.counts.max_waiting = state.counts.max_waiting.max(state.queue.len());
        }
        Ok((id, end))
    }

    /// Waits until the request is first in the queue and a slot is free, then takes the slot. Returns the request's index in the
    /// journal, its service time and the receiver of its cancellation.
    #[allow(clippy::type_complexity)]
    fn begin(
        &self,
        id: u64,
        end: Instant,
        request: &Request,
    ) -> Result<(Option<usize>, Duration, mpsc::Receiver<()>), Incomplete> {
        let mut state = lock(&self.state);
        loop {
            if !state.pending.contains_key(&id) {
                state.counts.dropped += 1;
                state.counts.waiting = state.queue.len();
                return Err(Incomplete::Dropped);
            }
            if state.queue.front() == Some(&id) && state.counts.running < self.settings.slots {
                break;
            }
            let time_left = end.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                state.pending.remove(&id);
                state.queue.retain(|other| *other != id);
                state.counts.waiting = state.queue.len();
                drop(state);
                self.changed.notify_all();
                return Err(Incomplete::Expired);
            }
            let waited = self.changed.wait_timeout(state, time_left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.queue.pop_front();
        let (sender, receiver) = mpsc::channel();
        if let Some(pending) = state.pending.get_mut(&id) {
            pending.cancel = Some(sender);
        }
        let counts = &mut state.counts;
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
        counts.began += 1;
        state.counts.waiting = state.queue.len();
        let service_time = self.service_time(&mut state, request);
        let index = state.journal.begin(journal_entry(request));
        record_load_sample(&mut state);
        // The next request in the queue may find another free slot.
        self.changed.notify_all();
        Ok((index, service_time, receiver))
    }

    /// The service time of a request, with the fault's factor.
    fn service_time(&self, state: &mut State, request: &Request) -> Duration {
        let ServiceTime { shortest, longest } = self.settings.service_time;
        let requested = request.number("Standin-Work-Ms").map(Duration::from_millis);
        let service_time = requested.unwrap_or_else(|| {
            shortest
                + longest
                    .saturating_sub(shortest)
                    .mul_f64(state.rng.random::<f64>())
        });
        let fault = &state.fault;
        let factor = if fault.mode == Mode::Cold {
            let coldness = 1.0 - state.served_since_fault as f64 / fault.warm_after.max(1) as f64;
            1.0 + (fault.slow - 1.0) * coldness.max(0.0)
        } else {
            fault.slow
        };
        service_time.mul_f64(factor.max(0.0))
    }

    /// Builds the response to a request that has run.
    fn build_response(&self, request: &Request) -> Response {
        #[derive(Serialize)]
        struct Body<'a> {
            target: &'a str,
            request: Option<&'a str>,
            call: Option<&'a str>,
            line: String,
            body_length: usize,
            body_hash: &'a str,
        }
        let call = request.header("Standin-Call");
        let body_hash = pattern::hash(&request.body);
        let mut response = match request.number("Standin-Answer-Bytes") {
            Some(length) => Response::new(200, pattern::bytes(call.unwrap_or(""), length as usize)),
            None => Response::json(
                200,
                &Body {
                    target: &self.settings.name,
                    request: request.header("Ragwortfold-Request-Id"),
                    call,
                    line: format!("{} {}", request.method, request.path),
                    body_length: request.body.len(),
                    body_hash: &body_hash,
                },
            ),
        };
        if request.header("Standin-Chunked").is_some() {
            response.framing = Framing::Chunked;
        }
        if let Some(call) = call {
            response = response.with_header("Standin-Call", call);
        }
        response.with_header("Standin-Body-Hash", body_hash)
    }

    /// Adds headers with the target's load, state, name and zone.
    fn add_status_headers(&self, response: &mut Response) {
        let state = lock(&self.state);
        let in_flight = if state.fault.hide_load {
            0
        } else {
            in_flight(&state)
        };
        let load = format!("{in_flight}/{}", self.settings.slots);
        response.headers.extend([
            ("Ragwortfold-Load", load),
            ("Ragwortfold-State", reported_state(&state.fault).to_owned()),
            ("Standin-Target", self.settings.name.to_string()),
            ("Standin-Zone", self.settings.zone.to_string()),
        ]);
    }
}

fn not_run_response(reason: &str) -> Response {
    Response::error(503, reason).with_header("Ragwortfold-Outcome", "not-run")
}

fn reported_state(fault: &Fault) -> &'static str {
    match fault.mode {
        _ if fault.hide_state => "serving",
        Mode::Cold => "cold",
        Mode::Draining => "draining",
        _ => "serving",
    }
}

fn in_flight(state: &State) -> usize {
    state.counts.running + state.queue.len()
}

fn record_load_sample(state: &mut State) {
    if state.load_samples.len() == MAX_LOAD_SAMPLES {
        state.load_samples.pop_front();
    }
    let in_flight = in_flight(state);
    state.load_samples.push_back((Instant::now(), in_flight));
}

fn journal_entry(request: &Request) -> Entry {
    let header = |name| request.header(name).map(Arc::from);
    Entry {
        call: header("Standin-Call"),
        request: header("Ragwortfold-Request-Id"),
        key: header("Idempotency-Key"),
        line: format!("{} {}", request.method, request.path).into(),
        body_hash: pattern::hash(&request.body).into(),
        body_length: request.body.len(),
        client: request.peer.to_string().into(),
        began_us: unix_us(),
        ended_us: None,
        completed: false,
    }
}
