//! A target that crashes on certain requests and restarts after a while.
//!
//! It responds to all other requests with 200 and five bytes. A crash closes all connections, and new ones are refused until the
//! restart. A restart is simulated within the same process: only the number of the target's process is raised.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Response, Server};
use crate::listen::ListenerState;
use crate::{lock, Error};

const MAX_CONNECTIONS: usize = 400;

/// The configuration of a target.
#[derive(Clone, Debug)]
pub struct Settings {
    trigger: Arc<str>,
    crash_delay: Duration,
    downtime: Duration,
    service_time: Duration,
    echoed_header: Option<&'static str>,
}

impl Settings {
    /// A target that crashes 20 ms after the start of a request with `trigger` in its path, is down for a second, and
    /// takes 5 ms for any other request.
    pub fn new(trigger: &str) -> Self {
        Self {
            trigger: trigger.into(),
            crash_delay: Duration::from_millis(20),
            downtime: Duration::from_secs(1),
            service_time: Duration::from_millis(5),
            echoed_header: None,
        }
    }

    /// Sets how long it is down after a crash. If zero, a crash only closes the connections.
    pub fn with_downtime(mut self, downtime: Duration) -> Self {
        self.downtime = downtime;
        self
    }

    /// Sets a request header that responses repeat.
    pub fn with_echoed_header(mut self, header: &'static str) -> Self {
        self.echoed_header = Some(header);
        self
    }
}

struct Shared {
    settings: Settings,
    trigger_runs: Mutex<Vec<Instant>>,
    crashes: AtomicU64,
    server: OnceLock<Weak<Server>>,
    /// Called with the number of the new process at each restart.
    on_restart: Box<dyn Fn(u64) + Send + Sync>,
}

/// A running target; it stops when dropped.
pub struct Target {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl Target {
    /// Starts a target; with port 0 it listens on a free port. `on_restart` is called with the number of each process after the
    /// first.
    ///
    /// # Errors
    ///
    /// The target can't listen on the address.
    pub fn new(
        listen: SocketAddr,
        settings: Settings,
        on_restart: impl Fn(u64) + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            settings,
            trigger_runs: Mutex::default(),
            crashes: AtomicU64::new(0),
            server: OnceLock::new(),
            on_restart: Box::new(on_restart),
        });
        let inner = shared.clone();
        let server = Server::new(listen, MAX_CONNECTIONS, move |request| {
            inner.serve(&request)
        })?;
        let server = Arc::new(server);
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// When each request that crashes the target began to run.
    pub fn trigger_runs(&self) -> Vec<Instant> {
        lock(&self.shared.trigger_runs).clone()
    }

    /// Crashes the target without a request.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

impl Shared {
    fn serve(self: &Arc<Self>, request: &Request) -> Reply {
        let crashes = self.crashes.load(Ordering::SeqCst);
        if request.path.contains(&*self.settings.trigger) {
            lock(&self.trigger_runs).push(Instant::now());
            thread::sleep(self.settings.crash_delay);
            self.crash();
            return Reply::Close;
        }
        thread::sleep(self.settings.service_time);
        if self.crashes.load(Ordering::SeqCst) != crashes {
            return Reply::Close;
        }
        let mut response = Response::new(200, b"hello".to_vec());
        if let Some((name, value)) = self
            .settings
            .echoed_header
            .and_then(|name| Some((name, request.header(name)?)))
        {
            response = response.with_header(name, value);
        }
        response.into()
    }

    fn crash(self: &Arc<Self>) {
        let process = self.crashes.fetch_add(1, Ordering::SeqCst) + 1;
        let Some(server) = self.server.get().and_then(Weak::upgrade) else {
            return;
        };
        if self.settings.downtime.is_zero() {
            server.close_connections();
            (self.on_restart)(process);
            return;
        }
        server.set_listener_state(ListenerState::Closed);
        server.close_connections();
        let shared = self.clone();
        thread::spawn(move || {
            thread::sleep(shared.settings.downtime);
            // After several crashes the target restarts once, after the last one's downtime.
            if shared.crashes.load(Ordering::SeqCst) == process {
                server.set_listener_state(ListenerState::Open);
                (shared.on_restart)(process);
            }
        });
    }
}

/// Number of callers that send other requests than the one that crashes targets.
const OTHER_CALLERS: usize = 4;
/// Pause of such a caller between two requests.
const OTHER_CALLER_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two requests that crash targets.
const CRASH_PAUSE: Duration = Duration::from_millis(100);

/// The result of [`run_callers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// How often the request that crashes targets began to run.
    pub runs: usize,
    /// How often it began to run later than a given time after the third crash.
    pub late_runs: usize,
    /// Other requests after that time.
    pub other_requests: usize,
    /// Those other requests that were answered.
    pub answered: usize,
}

/// Sends the request that crashes `targets` to each of `hosts` hosts in turn, and other requests at the same time, until `duration`
/// has passed since the third run of the crashing request. Counts its runs and the other requests that are later than `settling_time`
/// after the third run. `send` receives a host's index and a request's path and returns the response's status.
///
/// # Panics
///
/// If there are no targets.
pub fn run_callers(
    targets: &[Target],
    hosts: usize,
    settling_time: Duration,
    duration: Duration,
    send: impl Fn(usize, &str) -> u16 + Sync,
) -> Summary {
    let collect_runs = || {
        let mut runs: Vec<Instant> = targets.iter().flat_map(Target::trigger_runs).collect();
        runs.sort();
        runs
    };
    let is_ended = AtomicBool::new(false);
    let send_others = |caller: usize| {
        let mut statuses = Vec::new();
        for number in 0.. {
            if is_ended.load(Ordering::SeqCst) {
                break;
            }
            let sent_at = Instant::now();
            let status = send((caller + number) % hosts, &format!("{caller}-{number}"));
            statuses.push((sent_at, status));
            thread::sleep(OTHER_CALLER_PAUSE);
        }
        statuses
    };
    thread::scope(|scope| {
        let send_others = &send_others;
        let callers: Vec<_> = (0..OTHER_CALLERS)
            .map(|caller| scope.spawn(move || send_others(caller)))
            .collect();
        let trigger = &targets[0].shared.settings.trigger;
        for number in 0.. {
            send(number % hosts, trigger);
            thread::sleep(CRASH_PAUSE);
            if collect_runs()
                .get(2)
                .is_some_and(|third| third.elapsed() > duration)
            {
                break;
            }
        }
        is_ended.store(true, Ordering::SeqCst);
        let runs = collect_runs();
        let settled_at = runs[2] + settling_time;
        let statuses: Vec<(Instant, u16)> = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap_or_default())
            .filter(|(sent_at, _)| *sent_at > settled_at)
            .collect();
        Summary {
            runs: runs.len(),
            late_runs: runs.iter().filter(|run| **run > settled_at).count(),
            other_requests: statuses.len(),
            answered: statuses.iter().filter(|(_, status)| *status == 200).count(),
        }
    })
}
