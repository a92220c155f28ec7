//! The system under test: a store, targets behind links, and hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ::standin::link::{Fault, Link};

use crate::standin::{
    self, build_response, configure, get, ok_response, start_target, Host, Mode, Store,
};

/// Number of hosts; one of them may be down at any time.
const HOST_COUNT: usize = 3;
const TARGET_COUNT: usize = 6;
/// How long the system may take to serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// How a target handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetMode {
    /// Runs and answers them.
    #[default]
    Normal,
    /// Runs them and closes the connection without an answer.
    Close,
    /// Refuses them without running them, and reports that.
    Refuse,
    /// Runs them and answers 503 without reporting whether they ran.
    Unavailable,
    /// Runs them and answers 500.
    Fail,
    /// Runs them and answers with the ID of another request.
    WrongId,
    /// Runs them after a delay.
    Slow,
    /// Runs as many at a time as it has slots, and refuses the others without running them.
    Limited,
}

/// Slots of a target, as it registers them.
const SLOTS: usize = 4;
/// Time that a target with limited slots works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Time that a target has to drain. A request that its caller was told failed does not begin to run after it either.
pub const DRAIN: Duration = Duration::from_millis(2500);
/// How long a target that shuts down is observed after that.
pub const SHUTDOWN_OBSERVATION: Duration = Duration::from_millis(500);

/// The requests that targets ran and that callers were told were not run or failed, and the mode of each target.
#[derive(Default)]
pub struct Ledger {
    /// Number of runs of each request.
    runs: BTreeMap<String, usize>,
    /// At-most-once requests that were refused with the assurance that they have not run and never will.
    reported_not_run: BTreeSet<String>,
    /// When callers were told that their at-most-once requests failed.
    failed_at: BTreeMap<String, Instant>,
    /// How long after that requests began to run, if it was too late.
    late_runs: BTreeMap<String, Duration>,
    /// The processes that requests which reached a target were meant for, and when.
    arrivals: Vec<(Instant, String)>,
    target_modes: BTreeMap<usize, TargetMode>,
}

/// The ledger, shared by targets, callers and faults.
pub type SharedLedger = Arc<Mutex<Ledger>>;

pub fn lock(ledger: &SharedLedger) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Ledger {
    pub fn set_target_mode(&mut self, target: usize, mode: TargetMode) {
        self.target_modes.insert(target, mode);
    }

    /// Returns how often a request has run so far.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.get(id).copied().unwrap_or_default()
    }

    /// Records that a target runs a request.
    fn record_run(&mut self, id: &str) {
        *self.runs.entry(id.into()).or_default() += 1;
        let since_failure = self.failed_at.get(id).map(Instant::elapsed);
        if let Some(time) = since_failure.filter(|time| *time > DRAIN) {
            self.late_runs.insert(id.into(), time);
        }
    }

    /// Records that a caller was told that a request failed and may have run.
    pub fn record_failure(&mut self, id: &str) {
        self.failed_at.insert(id.into(), Instant::now());
    }

    /// Records that a caller was told that a request has not run and never will.
    pub fn record_not_run(&mut self, id: &str) {
        self.reported_not_run.insert(id.into());
    }
}

pub struct World {
    pub store: Store,
    pub ledger: SharedLedger,
    pub links: Vec<Link>,
    pub hosts: Vec<Host>,
    /// The processes that each target had before the current one.
    past_processes: Vec<usize>,
    /// The targets that announced their shutdown.
    draining: BTreeSet<usize>,
    /// When the store acknowledged that a process shuts down.
    shutdowns: BTreeMap<String, Instant>,
}

impl World {
    pub fn new() -> Self {
        Self::with_size(HOST_COUNT, TARGET_COUNT)
    }

    /// A system with this number of hosts and targets.
    pub fn with_size(hosts: usize, targets: usize) -> Self {
        let store = Store::new();
        configure(&store, 1);
        let ledger = SharedLedger::default();
        let links: Vec<Link> = (0..targets)
            .map(|index| {
                let address = start_recording_target(index, ledger.clone());
                Link::new(SocketAddr::from(([127, 0, 0, 1], 0)), address).unwrap()
            })
            .collect();
        let past_processes = vec![0; links.len()];
        let mut world = Self {
            store,
            ledger,
            links,
            hosts: Vec::new(),
            past_processes,
            draining: BTreeSet::new(),
            shutdowns: BTreeMap::new(),
        };
        for target in 0..targets {
            world.set_target_state(target, "ready");
        }
        let hosts = (0..hosts).map(|index| Host::with_name(&world.store, &format!("h{index}")));
        world.hosts = hosts.collect();
        world.wait_until_serving().unwrap();
        world
    }

    /// Registers a target with a state. If it was draining and is ready, a new process has replaced it.
    pub fn set_target_state(&mut self, target: usize, state: &str) {
        if state == "draining" {
            self.draining.insert(target);
        } else if self.draining.remove(&target) {
            self.store.remove("servers", &self.process(target));
            self.past_processes[target] += 1;
        }
        self.register(target, &self.process(target), state);
    }

    /// Registers a process of a target with a state.
    pub fn register(&self, target: usize, process: &str, state: &str) {
        let address = self.links[target].address();
        self.store.put_target(process, address, state);
    }

    /// The ID of the current process of a target.
    pub fn process(&self, target: usize) -> String {
        format!("i-{target}-{}", self.past_processes[target])
    }

    /// Shuts the current process of a target down: it announces that, or its registration is removed. It goes on serving.
    pub fn shut_down(&mut self, target: usize, is_announced: bool) {
        let process = self.process(target);
        if is_announced {
            self.set_target_state(target, "draining");
        } else {
            self.store.remove("servers", &process);
        }
        self.shutdowns.insert(process, Instant::now());
    }

    /// Starts another process of a target that shuts down, at the same address.
    pub fn replace(&mut self, target: usize) {
        self.draining.remove(&target);
        self.past_processes[target] += 1;
        self.set_target_state(target, "ready");
    }

    /// Ends all faults: resumes or restarts hosts, and resets the store, links and targets.
    pub fn end_faults(&mut self) {
        self.store.set_mode(Mode::Up);
        for index in 0..self.links.len() {
            self.links[index].set_fault(Fault::default());
            lock(&self.ledger).set_target_mode(index, TargetMode::Normal);
            self.set_target_state(index, "ready");
        }
        for host in &mut self.hosts {
            host.signal("-CONT");
            host.restart_if_ended();
        }
    }

    /// Waits until each host has answered ten requests in a row with 200.
    ///
    /// # Errors
    ///
    /// Names the host that did not do so in time.
    pub fn wait_until_serving(&self) -> Result<(), String> {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        for (index, host) in self.hosts.iter().enumerate() {
            let mut streak = 0;
            while streak < 10 {
                if Instant::now() >= deadline {
                    return Err(format!("host {index} did not answer 10 requests in a row within {RECOVERY_TIMEOUT:?}"));
                }
                let path = format!("/safe/{index}-{streak}");
                let headers = format!("ragwortfold-request-id: probe-{index}-{streak}\r\n");
                let is_answered = get(host.front, &path, &headers)
                    .is_some_and(|(line, ..)| line.contains(" 200 "));
                streak = if is_answered { streak + 1 } else { 0 };
                if !is_answered {
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
        Ok(())
    }

    /// Has a target announce its shutdown, and waits until it had time to drain. The callers have to run.
    pub fn shut_down_one(&mut self) {
        self.shut_down(0, true);
        thread::sleep(DRAIN + SHUTDOWN_OBSERVATION);
    }

    /// Returns descriptions of the requests that reached processes which had had time to drain.
    pub fn find_late_arrivals(&self) -> Vec<String> {
        let ledger = lock(&self.ledger);
        let mut delays: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
        for (at, process) in &ledger.arrivals {
            let shutdown = self.shutdowns.get(process);
            let delay = shutdown.map(|shutdown| at.saturating_duration_since(*shutdown));
            if let Some(delay) = delay.filter(|delay| *delay > DRAIN) {
                delays.entry(process).or_default().push(delay);
            }
        }
        let delays = delays.iter();
        delays
            .map(|(process, delays)| {
                format!("{process} got requests after its shutdown: {delays:?}")
            })
            .collect()
    }

    /// Returns descriptions of at-most-once requests that ran twice, long after their callers were told that they failed, or
    /// although callers were told that they had not.
    pub fn find_violations(&self) -> Vec<String> {
        let ledger = lock(&self.ledger);
        let is_at_most_once = |id: &str| id.starts_with("once-");
        let repeated = ledger
            .runs
            .iter()
            .filter(|(id, runs)| is_at_most_once(id) && **runs > 1)
            .map(|(id, runs)| format!("{id} ran {runs} times"));
        let false_not_run = ledger
            .reported_not_run
            .iter()
            .filter(|id| ledger.runs(id) > 0)
            .map(|id| format!("{id} ran although its caller was told that it was not run"));
        let late = ledger.late_runs.iter().map(|(id, time)| {
            format!("{id} ran {time:?} after its caller was told that it failed")
        });
        repeated.chain(false_not_run).chain(late).collect()
    }
}

/// Starts a target that records its runs in the ledger and handles requests by its current mode.
fn start_recording_target(index: usize, ledger: SharedLedger) -> SocketAddr {
    let running = AtomicUsize::new(0);
    start_target(move |headers| {
        let id = headers.get("ragwortfold-request-id")?.clone();
        let process = headers["ragwortfold-expect-instance"].clone();
        lock(&ledger).arrivals.push((Instant::now(), process));
        let mode = lock(&ledger)
            .target_modes
            .get(&index)
            .copied()
            .unwrap_or_default();
        let is_full = mode == TargetMode::Limited && running.load(Ordering::SeqCst) >= SLOTS;
        if mode == TargetMode::Refuse || is_full {
            return Some(build_response(
                headers,
                "503 X",
                "ragwortfold-not-run: 1\r\n",
                "",
            ));
        }
        if mode == TargetMode::Slow {
            thread::sleep(Duration::from_millis(300));
        }
        lock(&ledger).record_run(&id);
        if mode == TargetMode::Limited {
            running.fetch_add(1, Ordering::SeqCst);
            thread::sleep(WORK);
            running.fetch_sub(1, Ordering::SeqCst);
        }
        match mode {
            TargetMode::Normal | TargetMode::Slow | TargetMode::Refuse | TargetMode::Limited => {
                Some(ok_response(headers))
            }
            TargetMode::Close => None,
            TargetMode::Unavailable => Some(build_response(headers, "503 X", "", "")),
            TargetMode::Fail => Some(build_response(headers, "500 X", "", "no")),
            TargetMode::WrongId => {
                let mut other_headers = headers.clone();
                other_headers.insert("ragwortfold-request-id".into(), "other".into());
                Some(standin::ok_response(&other_headers))
            }
        }
    })
}
