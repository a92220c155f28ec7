//! What is sampled while the system runs: each host's revision, and the bytes on links.

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

use super::fault::Notes;
use super::load::Calls;
use super::world::World;
use super::Error;

/// Pause between two rounds of samples.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for a host's status.
const PATIENCE: Duration = Duration::from_millis(500);

/// Two regions.
pub(crate) type Pair = (Arc<str>, Arc<str>);

/// One direction between two hosts of different regions.
struct Meter {
    pair: Pair,
    link: Arc<Link>,
    source: std::net::IpAddr,
    direction: usize,
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<Arc<str>, SocketAddr>,
    samples: BTreeMap<Arc<str>, Vec<RevisionSample>>,
    /// The most bytes a second.
    peaks: BTreeMap<Pair, f64>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    stopped: AtomicBool,
}

/// A thread that samples.
pub(crate) struct Watch {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// All that is known of a run when it has ended.
pub(crate) struct Run {
    /// What was configured.
    pub(crate) world: observer::Deployment,
    /// What was written down.
    pub(crate) evidence: Evidence,
    /// Calls that callers could not make, by class.
    pub(crate) missed: BTreeMap<Arc<str>, u64>,
    /// The most bytes a second between two regions, and the limit on them and on requests.
    pub(crate) links: BTreeMap<Pair, (f64, Limit)>,
    /// Figures that belong to the fault, by name.
    pub(crate) figures: BTreeMap<String, f64>,
}

/// The limits of a link.
#[derive(Clone, Copy)]
pub(crate) struct Limit {
    /// Bytes a second.
    pub(crate) bytes: f64,
    /// Requests a second.
    pub(crate) requests: f64,
}

impl Watch {
    /// Starts sampling.
    pub(crate) fn new(world: &World) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        let hosts = world.machines.iter();
        lock(&shared).hosts = hosts
            .map(|(name, machine)| (name.clone(), machine.seats[0].listen))
            .collect();
        let meters = meters(world);
        let inner = shared.clone();
        let thread = std::thread::Builder::new()
            .name("watch".into())
            .spawn(move || sample(&inner, &meters))
            .map_err(Error::System)?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Asks a host at another address from now on; none: no longer.
    pub(crate) fn set_host(&self, name: &str, address: Option<SocketAddr>) {
        let mut state = lock(&self.shared);
        match address {
            Some(address) => state.hosts.insert(name.into(), address),
            None => state.hosts.remove(name),
        };
    }

    /// The lowest and the highest revision last seen, in words.
    pub(crate) fn revisions(&self) -> String {
        let state = lock(&self.shared);
        let latest = state.samples.values().filter_map(|samples| samples.last());
        let revisions: Vec<u64> = latest.map(|sample| sample.revision).collect();
        match (revisions.iter().min(), revisions.iter().max()) {
            (Some(min), Some(max)) if min != max => format!("revisions {min} to {max}"),
            (Some(max), _) => format!("revision {max}"),
            _ => String::new(),
        }
    }

    /// Ends the sampling and puts everything together.
    pub(crate) fn finish(mut self, world: &World, calls: Calls, notes: Notes) -> Run {
        self.shared.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let state = std::mem::take(&mut *lock(&self.shared));
        let targets = world.targets.iter();
        let mut evidence = notes.evidence.clone();
        evidence.records = calls.records;
        evidence.sheds = targets
            .clone()
            .map(|(n, t)| (n.clone(), t.counts().shed))
            .collect();
        evidence.journals = targets.map(|(n, t)| (n.clone(), t.journal())).collect();
        evidence.revisions = state.samples;
        let figures = super::fault::figures(world, &evidence, &notes);
        Run {
            world: world.facts.clone(),
            evidence,
            missed: calls.missed,
            links: links(world, &state.peaks),
            figures,
        }
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The peak and the limits of each link of the configuration.
fn links(world: &World, peaks: &BTreeMap<Pair, f64>) -> BTreeMap<Pair, (f64, Limit)> {
    let links = world.configuration.links.values().map(|link| {
        let pair: Pair = (link.from.as_str().into(), link.to.as_str().into());
        let limit = Limit {
            bytes: link.bytes_per_s.get() as f64,
            requests: link.requests_per_s.get() as f64,
        };
        let peak = peaks.get(&pair).copied().unwrap_or(0.0);
        (pair, (peak, limit))
    });
    links.collect()
}

fn meters(world: &World) -> Vec<Meter> {
    let mut meters = Vec::new();
    for to in world.machines.values() {
        for from in world
            .machines
            .values()
            .filter(|from| from.region != to.region)
        {
            for seat in &to.seats {
                let ends = [(&from.region, &to.region), (&to.region, &from.region)];
                meters.extend(
                    ends.into_iter()
                        .enumerate()
                        .map(|(direction, (a, b))| Meter {
                            pair: (a.clone(), b.clone()),
                            link: seat.peers.clone(),
                            source: from.source,
                            direction,
                        }),
                );
            }
        }
    }
    meters
}

fn sample(shared: &Shared, meters: &[Meter]) {
    let mut last = (Instant::now(), totals(meters));
    while !shared.stopped.load(Ordering::Relaxed) {
        std::thread::sleep(PAUSE);
        let hosts = lock(shared).hosts.clone();
        for (name, address) in hosts {
            if let Some((incarnation, revision)) = status(address) {
                let sample = RevisionSample {
                    at: unix_us(),
                    incarnation,
                    revision,
                };
                lock(shared).samples.entry(name).or_default().push(sample);
            }
        }
        let now = (Instant::now(), totals(meters));
        let seconds = (now.0 - last.0).as_secs_f64();
        let mut state = lock(shared);
        for (pair, bytes) in &now.1 {
            let before = last.1.get(pair).copied().unwrap_or(0);
            let rate = bytes.saturating_sub(before) as f64 / seconds;
            let peak = state.peaks.entry(pair.clone()).or_default();
            *peak = peak.max(rate);
        }
        drop(state);
        last = now;
    }
}

fn totals(meters: &[Meter]) -> BTreeMap<Pair, u64> {
    let mut totals = BTreeMap::new();
    for meter in meters {
        let bytes = meter.link.bytes_from(meter.source)[meter.direction];
        *totals.entry(meter.pair.clone()).or_default() += bytes;
    }
    totals
}

/// Whether a host says that it is ready.
pub(crate) fn is_healthy(address: SocketAddr) -> bool {
    let request = ureq::get(format!("http://{address}/healthz"));
    let request = request.config().timeout_global(Some(PATIENCE)).build();
    request.call().is_ok()
}

/// The incarnation and the revision that a host says it has.
pub(crate) fn status(address: SocketAddr) -> Option<(u64, u64)> {
    #[derive(Deserialize)]
    struct Status {
        incarnation: u64,
        revision: u64,
    }
    let request = ureq::get(format!("http://{address}/v1/status"));
    let request = request.config().timeout_global(Some(PATIENCE)).build();
    let text = request.call().ok()?.body_mut().read_to_string().ok()?;
    let status: Status = serde_json::from_str(&text).ok()?;
    Some((status.incarnation, status.revision))
}
