//! The threads that call the platform.
//!
//! One follows the configuration: a delegate of its zone watches for changes, any other host polls in
//! case no other host has sent it a newer revision. The other thread executes control's store commands
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

use super::config_sync::{ConfigEvent, CurrentRevision, EventSender};
use super::core::{Event, Handle};
use super::Error;
use crate::control::plan::PlanRecord;
use crate::control::{lease, publish};
use crate::store::client::{Client, Condition, Error as StoreError, Versioned, Written};
use crate::store::guarded_client::GuardedClient;
use crate::store::publication::{self, Fetched};
use crate::supervisor::Supervisor;

/// Time limit of one watch. If its connection stalls, a change goes unnoticed until the watch times out, which has to be
/// well within the time in which a change must be in force.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Mean pause after a failed call, and the time that a fetched revision gets to come into force.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Mean polling interval of a host that does not watch.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// How often the threads check whether to stop or whether this host became a delegate.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a delegate reads the list of hosts.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Key of the planner lease in the store.
const LEASE_KEY: &str = "control/lease";
/// Key of the plan in the store.
const PLAN_KEY: &str = "control/plan";

/// A store operation requested by control.
pub(crate) enum StoreCommand {
    /// Read or write the lease.
    Lease(lease::Command),
    /// Read or write the plan.
    Plan(publish::Command, Box<PlanRecord>),
}

/// The state shared by both threads.
#[derive(Clone)]
pub(crate) struct PlatformClient {
    pub(crate) url: Arc<str>,
    pub(crate) core: Handle,
    pub(crate) config_events: EventSender,
    pub(crate) current: Arc<CurrentRevision>,
    /// Whether this host is a delegate of its zone.
    pub(crate) is_delegate: Arc<AtomicBool>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) seed: u64,
}

/// The lease as stored on the platform.
#[derive(Serialize, Deserialize)]
struct Lease {
    holder: Arc<str>,
    epoch: u64,
    identity: u64,
    ttl_ms: u64,
}

/// Starts the threads.
pub(crate) fn start(
    client: &PlatformClient,
    commands: Receiver<StoreCommand>,
    supervisor: &Supervisor,
) -> Result<(), Error> {
    let watcher = client.clone();
    supervisor.spawn("watch", move || watcher.watch())?;
    let executor = client.clone();
    supervisor.spawn("store", move || executor.execute_commands(&commands))?;
    Ok(())
}

impl PlatformClient {
    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    fn is_watcher(&self) -> bool {
        // Before the first configuration no host is a delegate, so every host watches.
        self.is_delegate.load(Ordering::Relaxed) || self.current.revision() == 0
    }

    fn watch(&self) {
        let guarded_client = GuardedClient::new(Client::new(&self.url));
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut after = 0;
        let mut seen = Arc::new(Fetched::default());
        while self.is_running() {
            let mut failed = !self.refresh(&guarded_client, &mut seen);
            if self.is_watcher() && !failed {
                match guarded_client.watch(publication::HEAD_KEY, after, WATCH_TIMEOUT) {
                    Ok(events) => after = events.version,
                    Err(error) => {
                        spdlog::warn!("platform: {error}");
                        failed = true;
                    }
                }
            }
            if failed {
                thread::sleep(RETRY_PAUSE.mul_f64(rng.random_range(0.5..1.5)));
            } else if !self.is_watcher() {
                self.wait_for_poll(POLL_INTERVAL.mul_f64(rng.random_range(0.5..1.5)));
            }
        }
    }

    /// Waits for `time`, or until this host has to watch.
    fn wait_for_poll(&self, time: Duration) {
        let deadline = Instant::now() + time;
        while self.is_running() && !self.is_watcher() && Instant::now() < deadline {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Fetches a newer revision, if there is one. Returns whether the platform answered. A revision
    /// already in `seen` is not fetched again, even if it is invalid and never came into force.
    fn refresh(&self, guarded_client: &GuardedClient, seen: &mut Arc<Fetched>) -> bool {
        let current = self.current.fetched();
        if current.revision >= seen.revision {
            *seen = current;
        }
        match publication::fetch(guarded_client, seen) {
            Ok(Some(fetched)) => {
                let revision = fetched.revision;
                *seen = Arc::new(fetched.clone());
                let _ = self.config_events.send(ConfigEvent::Fetched(fetched));
                self.wait_until_in_force(revision);
                true
            }
            Ok(None) => true,
            Err(error) => {
                spdlog::warn!("config: {error}");
                false
            }
        }
    }

    /// Waits briefly for a revision to come into force, so that it is not fetched twice.
    fn wait_until_in_force(&self, revision: u64) {
        let deadline = Instant::now() + RETRY_PAUSE;
        while self.current.revision() < revision && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn execute_commands(&self, commands: &Receiver<StoreCommand>) {
        let client = Client::new(&self.url).with_timeout(Duration::from_secs(2));
        let guarded_client = GuardedClient::new(client);
        let mut next_list = Instant::now();
        while self.is_running() {
            match commands.recv_timeout(CHECK_INTERVAL) {
                Ok(StoreCommand::Lease(command)) => {
                    let event = execute_lease(&guarded_client, command);
                    self.core.send(Event::LeaseResult(event));
                }
                Ok(StoreCommand::Plan(command, record)) => {
                    let (event, found) = execute_plan(&guarded_client, command, &record);
                    if let Some(found) = found {
                        self.core.send(Event::StoredPlan(Box::new(found)));
                    }
                    self.core.send(Event::PlanResult(event));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.is_delegate.load(Ordering::Relaxed) && Instant::now() >= next_list {
                next_list = Instant::now() + HOST_LIST_INTERVAL;
                match guarded_client.hosts() {
                    Ok(hosts) => self.core.send(Event::HostList(hosts)),
                    Err(error) => spdlog::debug!("platform: {error}"),
                }
            }
        }
    }
}

fn execute_lease(guarded_client: &GuardedClient, command: lease::Command) -> lease::Event {
    match command {
        lease::Command::Read => match read_object::<Lease>(guarded_client, LEASE_KEY) {
            Ok(found) => lease::Event::Read(
                found.map(|found| (to_version(found.version), to_value(found.value))),
            ),
            Err(error) => {
                spdlog::debug!("lease: {error}");
                lease::Event::Down
            }
        },
        lease::Command::Write { value, condition } => {
            let written =
                guarded_client.put(LEASE_KEY, &to_lease(&value), to_condition(&condition));
            match written {
                Ok(Written { version: number }) => lease::Event::Written(to_version(number)),
                Err(StoreError::Conflict { .. }) => lease::Event::Conflict,
                Err(StoreError::Uncertain { .. }) => lease::Event::Uncertain,
                Err(_) => lease::Event::Down,
            }
        }
    }
}

/// Executes a command on the plan. Returns the result and the plan if one was read.
fn execute_plan(
    guarded_client: &GuardedClient,
    command: publish::Command,
    record: &PlanRecord,
) -> (publish::Event, Option<PlanRecord>) {
    let publish::Command::Write { condition, .. } = command else {
        return read_plan(guarded_client);
    };
    let event = match guarded_client.put(PLAN_KEY, record, to_condition(&condition)) {
        Ok(Written { version: number }) => publish::Event::Written(to_version(number)),
        Err(StoreError::Conflict { .. }) => publish::Event::Conflict,
        Err(StoreError::Uncertain { .. }) => publish::Event::Uncertain,
        Err(_) => publish::Event::Down,
    };
    (event, None)
}

fn read_plan(guarded_client: &GuardedClient) -> (publish::Event, Option<PlanRecord>) {
    match read_object::<PlanRecord>(guarded_client, PLAN_KEY) {
        Ok(Some(found)) => {
            let seen = (to_version(found.version), found.value.stamp);
            (publish::Event::Read(Some(seen)), Some(found.value))
        }
        Ok(None) => (publish::Event::Read(None), None),
        Err(error) => {
            spdlog::debug!("plan: {error}");
            (publish::Event::Down, None)
        }
    }
}

fn read_object<T: DeserializeOwned>(
    guarded_client: &GuardedClient,
    key: &str,
) -> Result<Option<Versioned<T>>, StoreError> {
    let found: Option<Versioned<Value>> = guarded_client.get(key)?;
    found.map(Versioned::deserialize).transpose()
}

fn to_version(number: u64) -> lease::Version {
    number.to_string().into()
}

fn to_condition(condition: &lease::Condition) -> Condition {
    match condition {
        lease::Condition::Absent => Condition::Absent,
        // The text was formatted from a number by `to_version`, so parsing cannot fail.
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
