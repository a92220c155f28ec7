//! Samples each host's configuration revision and the bytes on links while the system runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde::Deserialize;
use standin::link::Link;
use standin::observer::{self, Evidence, RevisionSample};
use standin::unix_us;

use super::fault::FaultLog;
use super::load::Calls;
use super::world::World;
use super::Error;

/// Interval between two rounds of samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request for a host's status or health.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A pair of regions: the sending one and the receiving one.
pub(crate) type RegionPair = (Arc<str>, Arc<str>);

/// Counts the bytes sent in one direction between two hosts of different regions.
struct LinkMeter {
    pair: RegionPair,
    link: Arc<Link>,
    source: std::net::IpAddr,
    direction: usize,
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<Arc<str>, SocketAddr>,
    samples: BTreeMap<Arc<str>, Vec<RevisionSample>>,
    /// The highest rate between two regions so far, in bytes a second.
    peaks: BTreeMap<RegionPair, f64>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    stopped: AtomicBool,
}

/// A thread that takes samples until it is stopped.
pub(crate) struct Monitor {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// The data collected during a run.
pub(crate) struct RunResults {
    /// The configured deployment.
    pub(crate) deployment: observer::Deployment,
    /// The records of callers, targets, samples and faults.
    pub(crate) evidence: Evidence,
    /// Number of calls that were not made because all threads were busy, by class.
    pub(crate) missed: BTreeMap<Arc<str>, u64>,
    /// The highest rate between two regions, in bytes a second, and the limits of their link.
    pub(crate) links: BTreeMap<RegionPair, (f64, LinkLimits)>,
    /// Figures of the faults and of the machine, by name.
    pub(crate) figures: BTreeMap<String, f64>,
}

/// The configured limits of a link.
#[derive(Clone, Copy)]
pub(crate) struct LinkLimits {
    /// Maximum bytes a second.
    pub(crate) bytes_per_s: f64,
    /// Maximum requests a second.
    pub(crate) requests_per_s: f64,
}

impl Monitor {
    /// Starts the thread.
    pub(crate) fn new(world: &World) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        let hosts = world.machines.iter();
        lock(&shared).hosts = hosts
            .map(|(name, machine)| (name.clone(), machine.endpoints[0].listen))
            .collect();
        let meters = build_meters(world);
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name("watch".into())
            .spawn(move || run_sampling(&thread_shared, &meters))
            .map_err(Error::System)?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Changes the address at which a host is sampled; `None` stops sampling the host.
    pub(crate) fn set_host(&self, name: &str, address: Option<SocketAddr>) {
        let mut state = lock(&self.shared);
        match address {
            Some(address) => state.hosts.insert(name.into(), address),
            None => state.hosts.remove(name),
        };
    }

    /// Describes the lowest and the highest of the hosts' latest revisions, such as `revisions 3 to 4`.
    pub(crate) fn revision_range(&self) -> String {
        let state = lock(&self.shared);
        let latest = state.samples.values().filter_map(|samples| samples.last());
        let revisions: Vec<u64> = latest.map(|sample| sample.revision).collect();
        match (revisions.iter().min(), revisions.iter().max()) {
            (Some(min), Some(max)) if min != max => format!("revisions {min} to {max}"),
            (Some(max), _) => format!("revision {max}"),
            _ => String::new(),
        }
    }

    /// Stops the thread and combines its samples with the results of callers, targets and faults.
    pub(crate) fn finish(mut self, world: &World, calls: Calls, fault_log: FaultLog) -> RunResults {
        self.shared.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let state = std::mem::take(&mut *lock(&self.shared));
        let targets = world.targets.iter();
        let mut evidence = fault_log.evidence.clone();
        evidence.records = calls.records;
        evidence.sheds = targets
            .clone()
            .map(|(name, target)| (name.clone(), target.counts().shed))
            .collect();
        evidence.journals = targets
            .map(|(name, target)| (name.clone(), target.journal()))
            .collect();
        evidence.revisions = state.samples;
        let figures = super::fault::figures(world, &evidence, &fault_log);
        RunResults {
            deployment: world.deployment.clone(),
            evidence,
            missed: calls.missed,
            links: link_usage(world, &state.peaks),
            figures,
        }
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the peak rate and the limits of each configured link.
fn link_usage(
    world: &World,
    peaks: &BTreeMap<RegionPair, f64>,
) -> BTreeMap<RegionPair, (f64, LinkLimits)> {
    let links = world.configuration.links.values().map(|link| {
        let pair: RegionPair = (link.from.as_str().into(), link.to.as_str().into());
        let limit = LinkLimits {
            bytes_per_s: link.bytes_per_s.get() as f64,
            requests_per_s: link.requests_per_s.get() as f64,
        };
        let peak = peaks.get(&pair).copied().unwrap_or(0.0);
        (pair, (peak, limit))
    });
    links.collect()
}

/// Returns a meter for each direction between each two hosts of different regions.
fn build_meters(world: &World) -> Vec<LinkMeter> {
    let mut meters = Vec::new();
    for to in world.machines.values() {
        for from in world
            .machines
            .values()
            .filter(|from| from.region != to.region)
        {
            for endpoint in &to.endpoints {
                let directions = [(&from.region, &to.region), (&to.region, &from.region)];
                meters.extend(
                    directions
                        .into_iter()
                        .enumerate()
                        .map(|(direction, (a, b))| LinkMeter {
                            pair: (a.clone(), b.clone()),
                            link: endpoint.peer_link.clone(),
                            source: from.source,
                            direction,
                        }),
                );
            }
        }
    }
    meters
}

/// Takes samples until stopped.
fn run_sampling(shared: &Shared, meters: &[LinkMeter]) {
    let mut last = (Instant::now(), total_bytes(meters));
    while !shared.stopped.load(Ordering::Relaxed) {
        std::thread::sleep(SAMPLE_INTERVAL);
        let hosts = lock(shared).hosts.clone();
        for (name, address) in hosts {
            if let Some((incarnation, revision)) = fetch_status(address) {
                let sample = RevisionSample {
                    at: unix_us(),
                    incarnation,
                    revision,
                };
                lock(shared).samples.entry(name).or_default().push(sample);
            }
        }
        let now = (Instant::now(), total_bytes(meters));
        let seconds = (now.0 - last.0).as_secs_f64();
        let mut state = lock(shared);
        for (pair, bytes) in &now.1 {
            let previous = last.1.get(pair).copied().unwrap_or(0);
            let rate = bytes.saturating_sub(previous) as f64 / seconds;
            let peak = state.peaks.entry(pair.clone()).or_default();
            *peak = peak.max(rate);
        }
        drop(state);
        last = now;
    }
}

/// Returns the bytes sent so far between each two regions.
fn total_bytes(meters: &[LinkMeter]) -> BTreeMap<RegionPair, u64> {
    let mut totals = BTreeMap::new();
    for meter in meters {
        let bytes = meter.link.bytes_from(meter.source)[meter.direction];
        *totals.entry(meter.pair.clone()).or_default() += bytes;
    }
    totals
}

/// Whether a host reports that it is ready.
pub(crate) fn is_healthy(address: SocketAddr) -> bool {
    let request = ureq::get(format!("http://{address}/healthz"));
    let request = request
        .config()
        .timeout_global(Some(STATUS_TIMEOUT))
        .build();
    request.call().is_ok()
}

/// Fetches the incarnation and the configuration revision that a host reports; `None` on any error.
pub(crate) fn fetch_status(address: SocketAddr) -> Option<(u64, u64)> {
    #[derive(Deserialize)]
    struct Status {
        incarnation: u64,
        revision: u64,
    }
    let request = ureq::get(format!("http://{address}/v1/status"));
    let request = request
        .config()
        .timeout_global(Some(STATUS_TIMEOUT))
        .build();
    let text = request.call().ok()?.body_mut().read_to_string().ok()?;
    let status: Status = serde_json::from_str(&text).ok()?;
    Some((status.incarnation, status.revision))
}
