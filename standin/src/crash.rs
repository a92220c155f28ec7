//! A target whose process a certain request crashes, and that is back as another process after a while.
//!
//! It answers all other requests with 200 and five bytes. A crash resets all that is in flight, and connections are refused until
//! the next process serves.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Response, Server};
use crate::listen::ListenerState;
use crate::{lock, Error};

const CONNECTIONS: usize = 400;

/// How a target is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    trigger: Arc<str>,
    run: Duration,
    down: Duration,
    work: Duration,
    echo: Option<&'static str>,
}

impl Settings {
    /// A target that crashes 20 ms after a request with `trigger` in its path began, is down for a second, and
    /// works 5 ms for any other request.
    pub fn new(trigger: &str) -> Self {
        Self {
            trigger: trigger.into(),
            run: Duration::from_millis(20),
            down: Duration::from_secs(1),
            work: Duration::from_millis(5),
            echo: None,
        }
    }

    /// Sets how long it is down; without any such time only its connections end.
    pub fn with_down(mut self, down: Duration) -> Self {
        self.down = down;
        self
    }

    /// Sets a header of requests that answers repeat.
    pub fn with_echo(mut self, header: &'static str) -> Self {
        self.echo = Some(header);
        self
    }
}

struct Shared {
    settings: Settings,
    runs: Mutex<Vec<Instant>>,
    crashes: AtomicU64,
    server: OnceLock<Weak<Server>>,
    /// Called with the number of each later process as it starts.
    started: Box<dyn Fn(u64) + Send + Sync>,
}

/// A running target; it stops when dropped.
pub struct Target {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl Target {
    /// Starts a target; port 0 takes a free one. `started` is told the number of each process after the first.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn new(
        listen: SocketAddr,
        settings: Settings,
        started: impl Fn(u64) + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            settings,
            runs: Mutex::default(),
            crashes: AtomicU64::new(0),
            server: OnceLock::new(),
            started: Box::new(started),
        });
        let inner = shared.clone();
        let server = Server::new(listen, CONNECTIONS, move |request| inner.serve(&request))?;
        let server = Arc::new(server);
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// When each run of a request that crashes it began.
    pub fn runs(&self) -> Vec<Instant> {
        lock(&self.shared.runs).clone()
    }

    /// Crashes it for a reason of its own.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

impl Shared {
    fn serve(self: &Arc<Self>, request: &Request) -> Reply {
        let crashes = self.crashes.load(Ordering::SeqCst);
        if request.path.contains(&*self.settings.trigger) {
            lock(&self.runs).push(Instant::now());
            thread::sleep(self.settings.run);
            self.crash();
            return Reply::Close;
        }
        thread::sleep(self.settings.work);
        if self.crashes.load(Ordering::SeqCst) != crashes {
            return Reply::Close;
        }
        let mut response = Response::new(200, b"hello".to_vec());
        if let Some((name, value)) = self
            .settings
            .echo
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
        if self.settings.down.is_zero() {
            server.close_connections();
            (self.started)(process);
            return;
        }
        server.set_listener_state(ListenerState::Closed);
        server.close_connections();
        let shared = self.clone();
        thread::spawn(move || {
            thread::sleep(shared.settings.down);
            // The last of several crashes decides when it is back.
            if shared.crashes.load(Ordering::SeqCst) == process {
                server.set_listener_state(ListenerState::Open);
                (shared.started)(process);
            }
        });
    }
}

/// Callers with requests of their own beside the one that crashes targets.
const OTHERS: usize = 4;
/// Pause of such a caller between two requests.
const OTHER_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two requests that crash targets.
const CRASH_PAUSE: Duration = Duration::from_millis(100);

/// What was seen while a request that crashes targets came again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// How often it began to run.
    pub runs: usize,
    /// How often later than a given time after it had crashed the third target.
    pub late: usize,
    /// Other requests after that time.
    pub others: usize,
    /// Those of them that were answered.
    pub answered: usize,
}

/// Sends the request that crashes `targets` to `hosts` in turn, until `after` has passed since the third crash, and other requests
/// beside it. What comes `stable` after the third crash is counted. `send` is given a host's number and a request's path, and
/// gives the status that came back.
pub fn play(
    targets: &[Target],
    hosts: usize,
    stable: Duration,
    after: Duration,
    send: impl Fn(usize, &str) -> u16 + Sync,
) -> Seen {
    let runs = || {
        let mut runs: Vec<Instant> = targets.iter().flat_map(Target::runs).collect();
        runs.sort();
        runs
    };
    let ended = AtomicBool::new(false);
    let others = |caller: usize| {
        let mut seen = Vec::new();
        for number in 0.. {
            if ended.load(Ordering::SeqCst) {
                break;
            }
            let begun = Instant::now();
            let status = send((caller + number) % hosts, &format!("{caller}-{number}"));
            seen.push((begun, status));
            thread::sleep(OTHER_PAUSE);
        }
        seen
    };
    thread::scope(|scope| {
        let others = &others;
        let callers: Vec<_> = (0..OTHERS)
            .map(|caller| scope.spawn(move || others(caller)))
            .collect();
        let trigger = &targets[0].shared.settings.trigger;
        for number in 0.. {
            send(number % hosts, trigger);
            thread::sleep(CRASH_PAUSE);
            if runs().get(2).is_some_and(|third| third.elapsed() > after) {
                break;
            }
        }
        ended.store(true, Ordering::SeqCst);
        let runs = runs();
        let from = runs[2] + stable;
        let seen: Vec<(Instant, u16)> = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap_or_default())
            .filter(|(begun, _)| *begun > from)
            .collect();
        Seen {
            runs: runs.len(),
            late: runs.iter().filter(|run| **run > from).count(),
            others: seen.len(),
            answered: seen.iter().filter(|(_, status)| *status == 200).count(),
        }
    })
}
