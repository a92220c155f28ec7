//! Fetches the status of the entry hosts of a configuration, several hosts at a time.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ragwortfold::border::configuration::{Configuration, State};
use serde::Deserialize;
use serde_json::Value;

use crate::fetch;

/// Timeout of the request to one host.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of concurrent requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Pause between two rounds of requests while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The status of a host as served at `/v1/status`, reduced to the fields that are used here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct HostStatus {
    /// The revision of the configuration that the host has in force.
    pub(crate) revision: u64,
    /// The incarnation of the host, which identifies its start time.
    pub(crate) incarnation: u64,
    /// Requests that the host has not answered yet, including those that it has forwarded to
    /// another host or a target.
    pub(crate) in_flight: u64,
    /// Whether the host is the delegate that reads the platform for its zone.
    pub(crate) delegate: bool,
    /// The epoch of the planner lease, if the host holds the lease.
    pub(crate) planner_epoch: Option<u64>,
    /// Services with targets in the host's zone, by name.
    pub(crate) services: BTreeMap<String, ServiceStatus>,
    /// The share of requests for each zone, by service, region of the callers and zone.
    pub(crate) splits: BTreeMap<String, BTreeMap<String, BTreeMap<String, f64>>>,
}

/// A host's view of one service in its own zone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ServiceStatus {
    /// Requests of this host that targets are processing.
    pub(crate) in_flight: u64,
    /// Requests that wait in this host's queue.
    pub(crate) queued: u64,
    /// The targets, by name.
    pub(crate) targets: BTreeMap<String, TargetStatus>,
}

/// A host's view of one target.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TargetStatus {
    /// Requests of this host that the target is processing.
    pub(crate) in_flight: u64,
}

/// The status of a host, or the error message if it could not be fetched.
pub(crate) type StatusResult = Result<HostStatus, String>;

/// Fetches the status of all `hosts`, given as addresses by name.
pub(crate) fn fetch_all(hosts: &BTreeMap<String, String>) -> BTreeMap<String, StatusResult> {
    let host_list: Vec<(&String, &String)> = hosts.iter().collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    let worker = || {
        while let Some((name, address)) = host_list.get(next.fetch_add(1, Ordering::Relaxed)) {
            let result = fetch_status(address);
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            results.insert((*name).clone(), result);
        }
    };
    thread::scope(|scope| {
        for _ in 0..host_list.len().min(MAX_CONCURRENT_REQUESTS) {
            scope.spawn(worker);
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Fetches the status of one host.
fn fetch_status(address: &str) -> StatusResult {
    let value: Value = fetch::get_with_timeout(address, "/v1/status", &[], STATUS_TIMEOUT)
        .map_err(|error| error.to_string())?;
    serde_json::from_value(value).map_err(|error| error.to_string())
}

/// The addresses of all hosts that are not off, by name.
pub(crate) fn host_addresses(configuration: &Configuration) -> BTreeMap<String, String> {
    let running = configuration
        .hosts
        .iter()
        .filter(|(_, host)| host.state != State::Off);
    running
        .map(|(name, host)| (name.clone(), host.address.clone()))
        .collect()
}

/// The outcome of waiting until hosts meet a condition.
#[derive(Debug)]
pub(crate) struct WaitOutcome {
    /// The time until all hosts met the condition or the wait was given up.
    pub(crate) elapsed: Duration,
    /// Hosts that did not meet the condition, each with the last reason.
    pub(crate) lagging: BTreeMap<String, String>,
}

/// Polls `hosts` until each has met the condition once, but for no longer than about `max_wait`.
/// `pending_reason` returns `None` for a host that meets the condition and the reason otherwise. A
/// host whose status cannot be fetched does not meet it.
pub(crate) fn poll_until_done(
    hosts: &BTreeMap<String, String>,
    max_wait: Duration,
    pending_reason: impl Fn(&str, &HostStatus) -> Option<String>,
) -> WaitOutcome {
    let start = Instant::now();
    let mut remaining = hosts.clone();
    loop {
        let lagging: BTreeMap<String, String> = fetch_all(&remaining)
            .into_iter()
            .filter_map(|(name, result)| {
                let reason = match result {
                    Ok(status) => pending_reason(&name, &status),
                    Err(error) => Some(error),
                };
                Some((name, reason?))
            })
            .collect();
        let elapsed = start.elapsed();
        if lagging.is_empty() || elapsed >= max_wait {
            return WaitOutcome { elapsed, lagging };
        }
        remaining.retain(|name, _| lagging.contains_key(name));
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until `hosts` have `revision` or a later one in force.
pub(crate) fn wait_for_revision(
    hosts: &BTreeMap<String, String>,
    revision: u64,
    max_wait: Duration,
) -> WaitOutcome {
    poll_until_done(hosts, max_wait, |_, status| {
        let is_behind = status.revision < revision;
        is_behind.then(|| format!("has revision {}", status.revision))
    })
}
