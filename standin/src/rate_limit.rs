//! A target whose responses name the rate that it accepts from all hosts together, in requests a second, and callers of such targets.
//!
//! The target responds to each request with 200 and five bytes after a short time, at any rate, and records the arrival times.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Response, Server};
use crate::{lock, Error};

/// Time after which hosts must keep to a rate that a target names.
pub const MAX_SETTLING_TIME: Duration = Duration::from_secs(3);
/// How long a target names a rate in a test.
pub const LIMITED_TIME: Duration = Duration::from_secs(9);
/// The span in which arrivals are counted. At most the span times the rate times [`MAX_RATE_FACTOR`], plus [`EXTRA_REQUESTS`], may
/// arrive in it.
const WINDOW: Duration = Duration::from_secs(4);
const MAX_RATE_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// Smallest share of the named rate that hosts must use.
pub const MIN_USED_SHARE: f64 = 0.8;
/// Smallest share of the requests that must be answered while other targets have capacity.
pub const MIN_ANSWERED_SHARE: f64 = 0.99;
/// Number of callers.
pub const CALLERS: usize = 12;
/// Requests a second of all callers together.
pub const REQUESTS_PER_S: f64 = 110.0;

const MAX_CONNECTIONS: usize = 400;
/// Time that the target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// Names of the headers in the target's responses.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// The header with the target's rate.
    pub rate: &'static str,
    /// A request header that responses repeat.
    pub echo: &'static str,
}

struct Shared {
    headers: Headers,
    /// The rates that responses name, each in a header of its own.
    rates: Mutex<Vec<String>>,
    /// The headers of the refusals that it sends, while it refuses all requests.
    refusal: Mutex<Option<Vec<(&'static str, String)>>>,
    arrivals: Mutex<Vec<Instant>>,
}

/// A running target; it stops when dropped.
pub struct Target {
    shared: Arc<Shared>,
    server: Server,
}

impl Target {
    /// Starts a target on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// The target can't listen on any port.
    pub fn new(headers: Headers) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            headers,
            rates: Mutex::default(),
            refusal: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let inner = shared.clone();
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::new(listen, MAX_CONNECTIONS, move |request| {
            inner.serve(&request)
        })?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the rates that responses name, each in a header of its own; none to name no rate.
    pub fn set_rates(&self, rates: &[&str]) {
        *lock(&self.shared.rates) = rates.iter().map(|rate| (*rate).to_owned()).collect();
    }

    /// Refuses all requests with 503 and these headers.
    pub fn refuse_all(&self, headers: &[(&'static str, &str)]) {
        let headers = headers
            .iter()
            .map(|(name, value)| (*name, (*value).to_owned()));
        *lock(&self.shared.refusal) = Some(headers.collect());
    }

    /// The arrival time of each request.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// The number of requests that arrived within a span.
    pub fn count_arrivals(&self, from: Instant, span: Duration) -> usize {
        let arrivals = self.arrivals();
        let is_within = |at: &&Instant| **at >= from && **at < from + span;
        arrivals.iter().filter(is_within).count()
    }

    /// Checks that the target received about the rate that it has named since `since`: no more, and not much less.
    ///
    /// # Errors
    ///
    /// The number of requests that arrived and the bound that they violate.
    pub fn check_rate(&self, rate: f64, since: Instant) -> Result<(), String> {
        let peak = self.peak_arrivals(since + MAX_SETTLING_TIME - WINDOW / 2, WINDOW);
        let allowed = rate * MAX_RATE_FACTOR * WINDOW.as_secs_f64() + EXTRA_REQUESTS;
        if peak as f64 > allowed {
            return Err(format!("{peak} requests in a window, {allowed} allowed"));
        }
        let span = LIMITED_TIME - MAX_SETTLING_TIME;
        let used = self.count_arrivals(since + MAX_SETTLING_TIME, span);
        let expected = rate * MIN_USED_SHARE * span.as_secs_f64();
        if (used as f64) < expected {
            return Err(format!("{used} requests received, {expected} expected"));
        }
        Ok(())
    }

    /// The most requests that arrived within any span of this length after `from`.
    fn peak_arrivals(&self, from: Instant, span: Duration) -> usize {
        let arrivals = self.arrivals();
        let starts = arrivals.iter().filter(|at| **at >= from);
        starts
            .map(|start| self.count_arrivals(*start, span))
            .max()
            .unwrap_or_default()
    }
}

impl Shared {
    fn serve(&self, request: &Request) -> Reply {
        lock(&self.arrivals).push(Instant::now());
        thread::sleep(SERVICE_TIME);
        let refusal = lock(&self.refusal).clone();
        let status = if refusal.is_some() { 503 } else { 200 };
        let mut response = Response::new(status, b"hello".to_vec());
        for (name, value) in refusal.into_iter().flatten() {
            response = response.with_header(name, value);
        }
        if let Some(value) = request.header(self.headers.echo) {
            response = response.with_header(self.headers.echo, value);
        }
        for rate in lock(&self.rates).iter() {
            response = response.with_header(self.headers.rate, rate);
        }
        response.into()
    }
}

/// The result of a request.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When it was sent.
    pub sent_at: Instant,
    /// The time until its end.
    pub duration: Duration,
    /// The response's status; 0 without a response.
    pub status: u16,
    /// The delay that the response asks for, in seconds.
    pub retry_after: Option<f64>,
}

/// Sends requests from all callers for a given time. `send` receives the unique number of a request and returns the status and the
/// delay that the response asks for.
pub fn run_callers(time: Duration, send: impl Fn(usize) -> (u16, Option<f64>) + Sync) -> Vec<Call> {
    let interval = Duration::from_secs_f64(CALLERS as f64 / REQUESTS_PER_S);
    let start = Instant::now();
    let run_caller = |first: usize| {
        let mut calls = Vec::new();
        for round in 0u32.. {
            let due = start + interval * round + interval.mul_f64(first as f64 / CALLERS as f64);
            if due >= start + time {
                break;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let sent_at = Instant::now();
            let (status, retry_after) = send(first + round as usize * CALLERS);
            calls.push(Call {
                sent_at,
                duration: sent_at.elapsed(),
                status,
                retry_after,
            });
        }
        calls
    };
    thread::scope(|scope| {
        let run_caller = &run_caller;
        let callers: Vec<_> = (0..CALLERS)
            .map(|first| scope.spawn(move || run_caller(first)))
            .collect();
        let calls = callers.into_iter().flat_map(|caller| caller.join());
        calls.flatten().collect()
    })
}
