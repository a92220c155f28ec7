//! A target that names in its answers the requests a second that it takes from all hosts together, and callers of it.
//!
//! It answers each request with 200 and five bytes after a short time, however many there are, and keeps when each of them came.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Response, Server};
use crate::{lock, Error};

/// How long hosts may take until they keep to a rate, and how long one is named.
pub const STABLE: Duration = Duration::from_secs(3);
pub const NAMED: Duration = Duration::from_secs(9);
/// The span over which arrivals are counted, and what may come in it: a part beyond the rate, and some.
const WINDOW: Duration = Duration::from_secs(4);
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The part of what targets take that is used at least.
pub const USED: f64 = 0.8;
/// The part of the requests that is answered at least while others have room.
pub const SERVED: f64 = 0.99;
/// Callers, and what they ask in a second in all.
pub const CALLERS: usize = 12;
pub const LOAD: f64 = 110.0;

const CONNECTIONS: usize = 400;
/// Time that it works on a request.
const WORK: Duration = Duration::from_millis(5);

/// What it writes into its answers.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// The name of the header that has its rate.
    pub rate: &'static str,
    /// A header of requests that answers repeat.
    pub echo: &'static str,
}

struct Shared {
    headers: Headers,
    /// What it names, a header for each.
    rates: Mutex<Vec<String>>,
    arrivals: Mutex<Vec<Instant>>,
}

/// A running target; it stops when dropped.
pub struct Target {
    shared: Arc<Shared>,
    server: Server,
}

impl Target {
    /// Starts a target at a free port.
    ///
    /// # Errors
    ///
    /// No address can be listened on.
    pub fn new(headers: Headers) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            headers,
            rates: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let inner = shared.clone();
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::new(listen, CONNECTIONS, move |request| inner.serve(&request))?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what it names from now on, each in a header of its own; none to end it.
    pub fn name(&self, rates: &[&str]) {
        *lock(&self.shared.rates) = rates.iter().map(|rate| (*rate).to_owned()).collect();
    }

    /// When each request came.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Requests that came in a span.
    pub fn count(&self, from: Instant, span: Duration) -> usize {
        let arrivals = self.arrivals();
        let within = |at: &&Instant| **at >= from && **at < from + span;
        arrivals.iter().filter(within).count()
    }

    /// Whether it got about the rate that it has named since `begun`: no more, and not much less.
    ///
    /// # Errors
    ///
    /// What it got instead.
    pub fn judge(&self, rate: f64, begun: Instant) -> Result<(), String> {
        let most = self.most(begun + STABLE - WINDOW / 2, WINDOW);
        let allowed = rate * OVER * WINDOW.as_secs_f64() + SLACK;
        if most as f64 > allowed {
            return Err(format!("{most} in a window, {allowed} allowed"));
        }
        let span = NAMED - STABLE;
        let used = self.count(begun + STABLE, span);
        let least = rate * USED * span.as_secs_f64();
        if (used as f64) < least {
            return Err(format!("{used} used, {least} expected"));
        }
        Ok(())
    }

    /// The most requests that came in any span of this length from a moment on.
    fn most(&self, from: Instant, span: Duration) -> usize {
        let arrivals = self.arrivals();
        let begins = arrivals.iter().filter(|at| **at >= from);
        begins
            .map(|begin| self.count(*begin, span))
            .max()
            .unwrap_or_default()
    }
}

impl Shared {
    fn serve(&self, request: &Request) -> Reply {
        lock(&self.arrivals).push(Instant::now());
        thread::sleep(WORK);
        let mut response = Response::new(200, b"hello".to_vec());
        if let Some(value) = request.header(self.headers.echo) {
            response = response.with_header(self.headers.echo, value);
        }
        for rate in lock(&self.rates).iter() {
            response = response.with_header(self.headers.rate, rate);
        }
        response.into()
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When it was sent.
    pub begun: Instant,
    /// How long it took.
    pub took: Duration,
    /// Its status; 0 without any.
    pub status: u16,
    /// When its caller may come back, in seconds.
    pub retry_after: Option<f64>,
}

/// Sends requests by all callers. `send` is given a number that no other request has, and gives the status and when to come back.
pub fn play(time: Duration, send: impl Fn(usize) -> (u16, Option<f64>) + Sync) -> Vec<Call> {
    let interval = Duration::from_secs_f64(CALLERS as f64 / LOAD);
    let begun = Instant::now();
    let caller = |first: usize| {
        let mut calls = Vec::new();
        for turn in 0u32.. {
            let due = begun + interval * turn + interval.mul_f64(first as f64 / CALLERS as f64);
            if due >= begun + time {
                break;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let sent = Instant::now();
            let (status, retry_after) = send(first + turn as usize * CALLERS);
            calls.push(Call {
                begun: sent,
                took: sent.elapsed(),
                status,
                retry_after,
            });
        }
        calls
    };
    thread::scope(|scope| {
        let caller = &caller;
        let callers: Vec<_> = (0..CALLERS)
            .map(|first| scope.spawn(move || caller(first)))
            .collect();
        let calls = callers.into_iter().flat_map(|caller| caller.join());
        calls.flatten().collect()
    })
}
