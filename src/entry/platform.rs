//! The threads that talk to the platform.
//!
//! One watches the configuration: a delegate of its zone waits for changes, any other host asks
//! now and then, in case that nobody told it. The other carries out what control asks of the store,
//! and reads the list of hosts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::core::{Event, Handle};
use super::feed::{Known, News, Queue};
use super::Error;
use crate::control::plan::PlanRecord;
use crate::control::{lease, publish};
use crate::store::client::{Client, Condition, Error as StoreError, Versioned, Written};
use crate::store::guarded_client::GuardedClient;
use crate::store::publication::{self, Fetched};

/// How long one watch waits. One whose connection falls silent hides a change until it is given up, which has to be well within
/// the time in which a change is to be in force.
const WATCH: Duration = Duration::from_millis(1500);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);
/// Mean time between the questions of a host that does not watch.
const POLL: Duration = Duration::from_secs(30);
/// How often a thread looks whether its part changed.
const LOOK: Duration = Duration::from_millis(200);
/// Time between readings of the list of hosts by a delegate.
const LIST: Duration = Duration::from_secs(2);
/// The object of the planner lease.
const LEASE: &str = "control/lease";
/// The object of the plan.
const PLAN: &str = "control/plan";

/// What control asks of the store.
pub(crate) enum Ask {
    /// Read or write the lease.
    Lease(lease::Command),
    /// Read or write the plan.
    Plan(publish::Command, Box<PlanRecord>),
}

/// What the threads share.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) url: Arc<str>,
    pub(crate) core: Handle,
    pub(crate) feed: Queue,
    pub(crate) known: Arc<Known>,
    /// Whether this host is a delegate of its zone.
    pub(crate) delegate: Arc<AtomicBool>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) seed: u64,
}

/// The lease, as it is kept on the platform.
#[derive(Serialize, Deserialize)]
struct Lease {
    holder: Arc<str>,
    epoch: u64,
    identity: u64,
    ttl_ms: u64,
}

/// Starts the threads.
pub(crate) fn start(parts: &Parts, asks: Receiver<Ask>) -> Result<(), Error> {
    let watcher = parts.clone();
    thread::Builder::new()
        .name("watch".into())
        .spawn(move || watcher.watch())?;
    let keeper = parts.clone();
    thread::Builder::new()
        .name("store".into())
        .spawn(move || keeper.keep(&asks))?;
    Ok(())
}

impl Parts {
    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    fn is_watcher(&self) -> bool {
        // Until a first configuration is known, nobody is a delegate, and each asks for itself.
        self.delegate.load(Ordering::Relaxed) || self.known.revision() == 0
    }

    fn watch(&self) {
        let guard = GuardedClient::new(Client::new(&self.url));
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut after = 0;
        let mut seen = Arc::new(Fetched::default());
        while self.is_running() {
            let mut failed = !self.refresh(&guard, &mut seen);
            if self.is_watcher() && !failed {
                match guard.watch(publication::HEAD_KEY, after, WATCH) {
                    Ok(events) => after = events.version,
                    Err(error) => {
                        spdlog::warn!("platform: {error}");
                        failed = true;
                    }
                }
            }
            if failed {
                thread::sleep(PAUSE.mul_f64(rng.random_range(0.5..1.5)));
            } else if !self.is_watcher() {
                self.idle(POLL.mul_f64(rng.random_range(0.5..1.5)));
            }
        }
    }

    /// Waits until it is time to ask again, or this host has to watch.
    fn idle(&self, time: Duration) {
        let end = Instant::now() + time;
        while self.is_running() && !self.is_watcher() && Instant::now() < end {
            thread::sleep(LOOK);
        }
    }

    /// Reads a newer revision, if there is one. Tells whether the platform could be asked. What was
    /// `seen` before is not read again, even if it has faults and never came into force.
    fn refresh(&self, guard: &GuardedClient, seen: &mut Arc<Fetched>) -> bool {
        let known = self.known.fetched();
        if known.revision >= seen.revision {
            *seen = known;
        }
        match publication::fetch(guard, seen) {
            Ok(Some(fetched)) => {
                let revision = fetched.revision;
                *seen = Arc::new(fetched.clone());
                let _ = self.feed.send(News::Fetched(fetched));
                self.wait_known(revision);
                true
            }
            Ok(None) => true,
            Err(error) => {
                spdlog::warn!("config: {error}");
                false
            }
        }
    }

    /// Gives a revision time to come into force, so that it is not fetched twice.
    fn wait_known(&self, revision: u64) {
        let end = Instant::now() + PAUSE;
        while self.known.revision() < revision && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn keep(&self, asks: &Receiver<Ask>) {
        let client = Client::new(&self.url).with_timeout(Duration::from_secs(2));
        let guard = GuardedClient::new(client);
        let mut list = Instant::now();
        while self.is_running() {
            match asks.recv_timeout(LOOK) {
                Ok(Ask::Lease(command)) => {
                    let event = lease(&guard, command);
                    self.core.send(Event::Leased(event));
                }
                Ok(Ask::Plan(command, record)) => {
                    let (event, found) = plan(&guard, command, &record);
                    if let Some(found) = found {
                        self.core.send(Event::Stored(Box::new(found)));
                    }
                    self.core.send(Event::Published(event));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.delegate.load(Ordering::Relaxed) && Instant::now() >= list {
                list = Instant::now() + LIST;
                match guard.hosts() {
                    Ok(hosts) => self.core.send(Event::Listed(hosts)),
                    Err(error) => spdlog::debug!("platform: {error}"),
                }
            }
        }
    }
}

fn lease(guard: &GuardedClient, command: lease::Command) -> lease::Event {
    match command {
        lease::Command::Read => match read::<Lease>(guard, LEASE) {
            Ok(found) => lease::Event::Read(
                found.map(|found| (version(found.version), to_value(found.value))),
            ),
            Err(error) => {
                spdlog::debug!("lease: {error}");
                lease::Event::Down
            }
        },
        lease::Command::Write { value, condition } => {
            let written = guard.put(LEASE, &to_lease(&value), to_condition(&condition));
            match written {
                Ok(Written { version: number }) => lease::Event::Written(version(number)),
                Err(StoreError::Conflict { .. }) => lease::Event::Conflict,
                Err(StoreError::Uncertain { .. }) => lease::Event::Uncertain,
                Err(_) => lease::Event::Down,
            }
        }
    }
}

/// Carries out a command on the plan. Returns what came of it, and the plan that was read.
fn plan(
    guard: &GuardedClient,
    command: publish::Command,
    record: &PlanRecord,
) -> (publish::Event, Option<PlanRecord>) {
    let publish::Command::Write { condition, .. } = command else {
        return read_plan(guard);
    };
    let event = match guard.put(PLAN, record, to_condition(&condition)) {
        Ok(Written { version: number }) => publish::Event::Written(version(number)),
        Err(StoreError::Conflict { .. }) => publish::Event::Conflict,
        Err(StoreError::Uncertain { .. }) => publish::Event::Uncertain,
        Err(_) => publish::Event::Down,
    };
    (event, None)
}

fn read_plan(guard: &GuardedClient) -> (publish::Event, Option<PlanRecord>) {
    match read::<PlanRecord>(guard, PLAN) {
        Ok(Some(found)) => {
            let seen = (version(found.version), found.value.stamp);
            (publish::Event::Read(Some(seen)), Some(found.value))
        }
        Ok(None) => (publish::Event::Read(None), None),
        Err(error) => {
            spdlog::debug!("plan: {error}");
            (publish::Event::Down, None)
        }
    }
}

fn read<T: DeserializeOwned>(
    guard: &GuardedClient,
    key: &str,
) -> Result<Option<Versioned<T>>, StoreError> {
    let found: Option<Versioned<Value>> = guard.get(key)?;
    found.map(Versioned::deserialize).transpose()
}

fn version(number: u64) -> lease::Version {
    number.to_string().into()
}

fn to_condition(condition: &lease::Condition) -> Condition {
    match condition {
        lease::Condition::Absent => Condition::Absent,
        // Only versions that were made from numbers above come back.
        lease::Condition::Version(text) => Condition::Version(text.parse().unwrap_or_default()),
    }
}

fn to_lease(value: &lease::Value) -> Lease {
    Lease {
        holder: value.holder.clone(),
        epoch: value.epoch,
        identity: value.identity,
        ttl_ms: u64::try_from(value.ttl.as_millis()).unwrap_or(u64::MAX),
    }
}

fn to_value(lease: Lease) -> lease::Value {
    lease::Value {
        holder: lease.holder,
        epoch: lease.epoch,
        identity: lease.identity,
        ttl: Duration::from_millis(lease.ttl_ms),
    }
}
