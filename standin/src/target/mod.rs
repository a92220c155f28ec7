//! A target with slots, a bounded queue and a journal.
//!
//! A request runs for `Standin-Work-Ms` (or a time drawn from the seeded [`Work`]) in one of the
//! slots. Above them it waits, up to the queue's bound and its own `Ragwortfold-Deadline-Ms`;
//! beyond, the target sheds it: 503, `Ragwortfold-Outcome: not-run`, `Retry-After`.
//!
//! The answer shows whose it is: headers `Standin-Target`, `Standin-Zone`, `Standin-Call` and
//! `Standin-Body-Hash` (of the request's body), and a JSON body with the same, the request id,
//! the line and the body's length. `Standin-Answer-Bytes: N` asks for
//! `pattern::bytes(CALL, N)` instead, `Standin-Chunked: 1` for a chunked answer.
//!
//! `DELETE /requests/ID` drops waiting work and ends running work; `GET /health`; `GET /load`
//! answers `{"in_flight","slots","state"}`, as late as configured. The test's side:
//! `POST /standin/fault` takes a [`Fault`], `GET /standin/journal` answers the [`Journal`],
//! `GET /standin/counts` the [`Counts`]; while connections are refused they are reachable at the
//! control address only, and the call that sets such a fault may be answered there only.

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
use crate::listen::Gate;
use crate::{lock, pattern, unix_us, Error};

pub use journal::{Entry, Journal};

const CONTROL_CONNECTIONS: usize = 64;
/// Longest time a request waits whose caller states no deadline.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Samples kept for the late answers of `/load`.
const MAX_SAMPLES: usize = 4096;

/// The service time of requests that ask for none, drawn between two bounds.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The shortest.
    pub shortest: Duration,
    /// The longest.
    pub longest: Duration,
}

/// How a target is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    name: Arc<str>,
    zone: Arc<str>,
    slots: usize,
    queue: usize,
    connections: usize,
    work: Work,
    seed: u64,
    load_lag: Duration,
}

impl Settings {
    /// A target of that many slots, a queue of as many, and 400 connections.
    pub fn new(name: &str, slots: usize) -> Self {
        Self {
            name: name.into(),
            zone: "".into(),
            slots,
            queue: slots,
            connections: 400,
            work: Work {
                shortest: Duration::ZERO,
                longest: Duration::ZERO,
            },
            seed: 0,
            load_lag: Duration::ZERO,
        }
    }

    /// Sets the availability zone it names in its answers.
    pub fn with_zone(mut self, zone: &str) -> Self {
        self.zone = zone.into();
        self
    }

    /// Sets how many requests may wait for a slot.
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets how many connections it accepts; one beyond is reset.
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the service time and the seed of its draws.
    pub fn with_work(mut self, work: Work, seed: u64) -> Self {
        self.work = work;
        self.seed = seed;
        self
    }

    /// Sets how old the answers of `/load` are.
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }
}

/// How a target treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It serves.
    #[default]
    Serving,
    /// It serves, slowed by the fault's factor at first and by less with each request served.
    Cold,
    /// It serves and says that it is draining.
    Draining,
    /// It refuses with a proof that nothing ran.
    Shedding,
    /// It neither runs nor answers.
    Hang,
    /// It resets the connection and does not run.
    Reset,
    /// It runs and ends the connection without an answer.
    LoseAnswer,
    /// It runs and breaks its answer off half-way.
    Truncate,
    /// It runs and answers what is not HTTP.
    Garbage,
    /// It refuses new connections and serves the open ones.
    Refuse,
    /// It cuts its running work and every connection, and refuses new ones.
    Crash,
}

/// What a target does wrong. The default is nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// How it treats requests.
    pub mode: Mode,
    /// Only every nth request meets a mode that spoils single requests; 0 and 1 are all.
    pub every: u64,
    /// Factor on service times; when cold, the factor of the first request.
    pub slow: f64,
    /// Requests served until a cold target is warm.
    pub warm_after: u64,
    /// It reports no load, whatever it has.
    pub hide_load: bool,
    /// It reports good health and the state of a serving target, whatever its mode.
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

/// What a target counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests in a slot now.
    pub running: usize,
    /// Requests waiting now.
    pub waiting: usize,
    /// The most that ever ran at once.
    pub max_running: usize,
    /// The most that ever waited at once.
    pub max_waiting: usize,
    /// Requests that began.
    pub began: u64,
    /// Requests that ran to their end.
    pub completed: u64,
    /// Requests that a cancellation or a crash ended while they ran.
    pub ended_early: u64,
    /// Requests that a cancellation dropped before they ran.
    pub dropped: u64,
    /// Requests shed because the queue was full, their deadline passed, or the mode said so.
    pub shed: u64,
    /// Connections open now.
    pub connections: usize,
    /// The most that were open at once.
    pub max_connections: usize,
    /// Connections beyond the limit.
    pub connections_over: u64,
}

/// A request that waits or runs.
struct Pending {
    request: Option<Arc<str>>,
    /// Ends the work; present while it runs.
    cancel: Option<mpsc::Sender<()>>,
}

struct State {
    rng: Pcg64Mcg,
    fault: Fault,
    seen: u64,
    turns: u64,
    /// Requests served since it was set cold.
    warmed: u64,
    queue: VecDeque<u64>,
    pending: BTreeMap<u64, Pending>,
    samples: VecDeque<(Instant, usize)>,
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
    /// Starts a target; port 0 takes a free one.
    pub fn new(listen: SocketAddr, settings: Settings) -> Result<Self, Error> {
        if settings.slots == 0 {
            return Err(Error::Settings("a target needs a slot"));
        }
        let connections = settings.connections;
        let state = State {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            fault: Fault::default(),
            seen: 0,
            turns: 0,
            warmed: 0,
            queue: VecDeque::new(),
            pending: BTreeMap::new(),
            samples: VecDeque::new(),
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
        let server = Server::new(listen, connections, move |request| inner.serve(&request))?;
        let server = Arc::new(server);
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(Self {
            shared,
            server,
            control: None,
        })
    }

    /// Serves `/standin/` at a second address as well, which no fault reaches.
    pub fn with_control(mut self, listen: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::clone(&self.shared);
        let handler = move |request: Request| Reply::from(shared.control(&request));
        self.control = Some(Server::new(listen, CONTROL_CONNECTIONS, handler)?);
        Ok(self)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where it takes control calls, if there is a second address.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Replaces the faults shown.
    pub fn fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// What began to run so far.
    pub fn journal(&self) -> Journal {
        lock(&self.shared.state).journal.clone()
    }

    /// What was counted so far.
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

/// Why a request did not run to its end.
enum Ended {
    Full,
    Late,
    Dropped,
    Early,
}

impl Shared {
    fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.warmed = 0;
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
        let closed = matches!(mode, Mode::Refuse | Mode::Crash);
        server.set(if closed { Gate::Closed } else { Gate::Open });
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
            let (open, peak, over) = server.connections();
            counts.connections = open;
            counts.max_connections = peak;
            counts.connections_over = over;
        }
        counts
    }

    fn serve(&self, request: &Request) -> Reply {
        if request.path.starts_with("/standin/") {
            return self.control(request).into();
        }
        let (fault, mode) = self.arrival();
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
            _ => self.request(request, mode),
        }
    }

    /// The faults in force, and the mode that this request meets.
    fn arrival(&self) -> (Fault, Mode) {
        let mut state = lock(&self.state);
        state.seen += 1;
        let fault = state.fault.clone();
        let single = !matches!(fault.mode, Mode::Cold | Mode::Draining | Mode::Crash);
        let spared = single && !state.seen.is_multiple_of(fault.every.max(1));
        let mode = if spared { Mode::Serving } else { fault.mode };
        (fault, mode)
    }

    fn control(&self, request: &Request) -> Response {
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
        let state = shown_state(fault);
        let ill = !fault.hide_state && fault.mode == Mode::Shedding;
        Response::json(
            if ill { 503 } else { 200 },
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
        let in_flight = if fault.hide_load { 0 } else { self.late_load() };
        let slots = self.settings.slots;
        Response::json(
            200,
            &Load {
                in_flight,
                slots,
                state: shown_state(fault),
            },
        )
    }

    fn late_load(&self) -> usize {
        let state = lock(&self.state);
        let Some(time) = Instant::now().checked_sub(self.settings.load_lag) else {
            return 0;
        };
        let sample = state.samples.iter().rev().find(|(at, _)| *at <= time);
        sample.map_or(0, |(_, in_flight)| *in_flight)
    }

    fn cancel(&self, id: &str) -> Response {
        let mut state = lock(&self.state);
        let matches = |p: &Pending| p.request.as_deref() == Some(id);
        let found: Vec<u64> = state
            .pending
            .iter()
            .filter(|(_, p)| matches(p))
            .map(|(turn, _)| *turn)
            .collect();
        for turn in &found {
            // Dropping the sender ends running work; waiting work finds itself gone.
            state.pending.remove(turn);
        }
        state.queue.retain(|turn| !found.contains(turn));
        drop(state);
        self.changed.notify_all();
        let status = if found.is_empty() { 404 } else { 200 };
        Response::json(status, &BTreeMap::from([("cancelled", found.len())]))
    }

    fn request(&self, request: &Request, mode: Mode) -> Reply {
        let ran = if mode == Mode::Shedding {
            Err(Ended::Full)
        } else {
            self.run(request)
        };
        if ran.is_err() && lock(&self.state).fault.mode == Mode::Crash {
            return Reply::Close;
        }
        let mut response = match ran {
            Ok(()) => self.answer(request),
            Err(Ended::Early) => {
                Response::error(503, "cancelled").with_header("Ragwortfold-Outcome", "unknown")
            }
            Err(Ended::Dropped) => not_run("cancelled"),
            Err(Ended::Full | Ended::Late) => {
                lock(&self.state).counts.shed += 1;
                not_run("overloaded").with_header("Retry-After", 1)
            }
        };
        self.report(&mut response);
        match mode {
            Mode::LoseAnswer => return Reply::Close,
            Mode::Garbage => return Reply::Raw(pattern::bytes("garbage", 256)),
            Mode::Truncate => response.framing = Framing::Truncated,
            _ => {}
        }
        response.into()
    }

    /// Waits for a slot and works; the time in the slot is in the journal.
    fn run(&self, request: &Request) -> Result<(), Ended> {
        let (turn, end) = self.enter(request)?;
        let (at, work, cancel) = self.begin(turn, end, request)?;
        let completed =
            work.is_zero() || cancel.recv_timeout(work) == Err(RecvTimeoutError::Timeout);
        let mut state = lock(&self.state);
        let completed = state.pending.remove(&turn).is_some() && completed;
        state.journal.end(at, completed);
        state.counts.running -= 1;
        if completed {
            state.counts.completed += 1;
            state.warmed += 1;
        } else {
            state.counts.ended_early += 1;
        }
        sample(&mut state);
        drop(state);
        self.changed.notify_all();
        if completed {
            Ok(())
        } else {
            Err(Ended::Early)
        }
    }

    /// Takes a place in the queue.
    fn enter(&self, request: &Request) -> Result<(u64, Instant), Ended> {
        let deadline = request
            .number("Ragwortfold-Deadline-Ms")
            .map(Duration::from_millis);
        let end = Instant::now() + deadline.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let mut state = lock(&self.state);
        let slot_free = state.counts.running < self.settings.slots && state.queue.is_empty();
        if !slot_free && state.queue.len() >= self.settings.queue {
            return Err(Ended::Full);
        }
        state.turns += 1;
        let turn = state.turns;
        state.queue.push_back(turn);
        let request = request.header("Ragwortfold-Request-Id").map(Arc::from);
        state.pending.insert(
            turn,
            Pending {
                request,
                cancel: None,
            },
        );
        if !slot_free {
            state.counts.waiting = state.queue.len();
            state.counts.max_waiting = state.counts.max_waiting.max(state.queue.len());
        }
        Ok((turn, end))
    }

    /// Waits for its turn and takes a slot.
    #[allow(clippy::type_complexity)]
    fn begin(
        &self,
        turn: u64,
        end: Instant,
        request: &Request,
    ) -> Result<(Option<usize>, Duration, mpsc::Receiver<()>), Ended> {
        let mut state = lock(&self.state);
        loop {
            if !state.pending.contains_key(&turn) {
                state.counts.dropped += 1;
                state.counts.waiting = state.queue.len();
                return Err(Ended::Dropped);
            }
            if state.queue.front() == Some(&turn) && state.counts.running < self.settings.slots {
                break;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.pending.remove(&turn);
                state.queue.retain(|other| *other != turn);
                state.counts.waiting = state.queue.len();
                drop(state);
                self.changed.notify_all();
                return Err(Ended::Late);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.queue.pop_front();
        let (sender, receiver) = mpsc::channel();
        if let Some(pending) = state.pending.get_mut(&turn) {
            pending.cancel = Some(sender);
        }
        let counts = &mut state.counts;
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
        counts.began += 1;
        state.counts.waiting = state.queue.len();
        let work = self.work(&mut state, request);
        let at = state.journal.begin(entry(request));
        sample(&mut state);
        // The next in the queue may find another free slot.
        self.changed.notify_all();
        Ok((at, work, receiver))
    }

    fn work(&self, state: &mut State, request: &Request) -> Duration {
        let Work { shortest, longest } = self.settings.work;
        let asked = request.number("Standin-Work-Ms").map(Duration::from_millis);
        let work = asked.unwrap_or_else(|| {
            shortest
                + longest
                    .saturating_sub(shortest)
                    .mul_f64(state.rng.random::<f64>())
        });
        let fault = &state.fault;
        let factor = if fault.mode == Mode::Cold {
            let cold = 1.0 - state.warmed as f64 / fault.warm_after.max(1) as f64;
            1.0 + (fault.slow - 1.0) * cold.max(0.0)
        } else {
            fault.slow
        };
        work.mul_f64(factor.max(0.0))
    }

    /// The whole answer to this request.
    fn answer(&self, request: &Request) -> Response {
        #[derive(Serialize)]
        struct Proof<'a> {
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
            Some(n) => Response::new(200, pattern::bytes(call.unwrap_or(""), n as usize)),
            None => Response::json(
                200,
                &Proof {
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

    /// Adds what the target says of itself.
    fn report(&self, response: &mut Response) {
        let state = lock(&self.state);
        let in_flight = if state.fault.hide_load {
            0
        } else {
            in_flight(&state)
        };
        let load = format!("{in_flight}/{}", self.settings.slots);
        response.headers.extend([
            ("Ragwortfold-Load", load),
            ("Ragwortfold-State", shown_state(&state.fault).to_owned()),
            ("Standin-Target", self.settings.name.to_string()),
            ("Standin-Zone", self.settings.zone.to_string()),
        ]);
    }
}

fn not_run(why: &str) -> Response {
    Response::error(503, why).with_header("Ragwortfold-Outcome", "not-run")
}

fn shown_state(fault: &Fault) -> &'static str {
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

fn sample(state: &mut State) {
    if state.samples.len() == MAX_SAMPLES {
        state.samples.pop_front();
    }
    let in_flight = in_flight(state);
    state.samples.push_back((Instant::now(), in_flight));
}

fn entry(request: &Request) -> Entry {
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
