//! Checks whether the targets that remain after a drain can take over its requests within the
//! limits.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use ragwortfold::border::configuration::{Configuration, State};
use ragwortfold::catalog::{self, Catalog, Service, ServiceKey, ZoneKey};

use crate::drain::DrainSet;
use crate::fleet::{self, HostStatus};

/// How many times the requests in flight are sampled; the largest sample is used.
const SAMPLE_COUNT: usize = 3;
/// Pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Shares below this are considered rounding errors; also the smallest divisor.
const ROUNDING_ERROR: f64 = 1e-6;

/// The reasons against a drain; empty if the limits permit it.
pub(crate) fn drain_problems(
    configuration: &Configuration,
    drain_set: &DrainSet,
) -> Result<Vec<String>, catalog::Error> {
    let catalog = Catalog::default().with_revision(1, configuration)?;
    let load = Load::measure(configuration);
    let mut problems = hostless_zone_problems(configuration, drain_set);
    for (key, service) in catalog.services() {
        let sites = SiteSlots::new(&catalog, key, drain_set);
        if sites.drained.is_empty() {
            continue;
        }
        problems.extend(capacity_problem(&catalog, service, &sites, &load));
        problems.extend(shift_problem(&catalog, service, &sites, &load, drain_set));
    }
    Ok(problems)
}

/// Problems of zones that have targets and whose last serving host is drained.
fn hostless_zone_problems(configuration: &Configuration, drain_set: &DrainSet) -> Vec<String> {
    let mut problems = Vec::new();
    for name in &drain_set.hosts {
        let zone = &configuration.hosts[name].availability_zone;
        let has_remaining_host = configuration.hosts.iter().any(|(host, record)| {
            let is_serving_in_zone =
                record.availability_zone == *zone && record.state == State::Serving;
            is_serving_in_zone && !drain_set.hosts.contains(host)
        });
        let mut targets = configuration.targets.values();
        if !has_remaining_host && targets.any(|target| target.availability_zone == *zone) {
            problems.push(format!("{name} is the last serving host of {zone}"));
        }
    }
    problems
}

/// The requests and traffic splits that the hosts report.
struct Load {
    /// Requests in flight or queued, by service and zone.
    requests: BTreeMap<(String, String), u64>,
    /// The largest share of requests that any host assigns to a zone, by service, region of the
    /// callers and zone.
    shares: BTreeMap<(String, String, String), f64>,
}

impl Load {
    /// Samples the status of all hosts that answer.
    fn measure(configuration: &Configuration) -> Self {
        let hosts = fleet::host_addresses(configuration);
        let mut load = Self {
            requests: BTreeMap::new(),
            shares: BTreeMap::new(),
        };
        for sample in 0..SAMPLE_COUNT {
            if sample > 0 {
                thread::sleep(SAMPLE_INTERVAL);
            }
            let mut sample_requests = BTreeMap::new();
            for (host, result) in fleet::fetch_all(&hosts) {
                let Ok(status) = result else { continue };
                let zone = &configuration.hosts[&host].availability_zone;
                add_requests(&mut sample_requests, zone, &status);
                load.merge_shares(&status);
            }
            for (key, count) in sample_requests {
                let max = load.requests.entry(key).or_default();
                *max = count.max(*max);
            }
        }
        load
    }

    /// Merges the splits of one host into `shares`.
    fn merge_shares(&mut self, status: &HostStatus) {
        for (service, localities) in &status.splits {
            for (locality, zones) in localities {
                for (zone, &share) in zones {
                    let key = (service.clone(), locality.clone(), zone.clone());
                    let max = self.shares.entry(key).or_default();
                    *max = share.max(*max);
                }
            }
        }
    }

    /// The number of requests of a service in a zone.
    fn requests_in_zone(&self, service: &str, zone: &str) -> u64 {
        let key = (service.to_owned(), zone.to_owned());
        self.requests.get(&key).copied().unwrap_or_default()
    }

    /// The number of requests of a service in all zones.
    fn requests_in_all_zones(&self, service: &str) -> u64 {
        let entries = self.requests.iter();
        let service_requests = entries.filter(|((name, _), _)| name == service);
        service_requests.map(|(_, count)| count).sum()
    }
}

/// Adds the requests that one host of `zone` reports to `requests`.
fn add_requests(requests: &mut BTreeMap<(String, String), u64>, zone: &str, status: &HostStatus) {
    for (service, record) in &status.services {
        let key = (service.clone(), zone.to_owned());
        *requests.entry(key).or_default() += record.in_flight + record.queued;
    }
}

/// The slots of a service's serving targets by zone, separated into drained and remaining targets.
struct SiteSlots {
    drained: BTreeMap<ZoneKey, u32>,
    remaining: BTreeMap<ZoneKey, u32>,
}

impl SiteSlots {
    fn new(catalog: &Catalog, service: ServiceKey, drain_set: &DrainSet) -> Self {
        let mut sites = Self {
            drained: BTreeMap::new(),
            remaining: BTreeMap::new(),
        };
        for (zone, site) in catalog.sites(service) {
            for &key in &site.targets {
                if catalog.target_state(key) != State::Serving {
                    continue;
                }
                let target = catalog.target(key);
                let slots = if drain_set.targets.contains(&*target.name) {
                    &mut sites.drained
                } else {
                    &mut sites.remaining
                };
                *slots.entry(zone).or_default() += target.slots;
            }
        }
        sites
    }

    /// The number of requests that the remaining targets of a zone may process at the configured
    /// utilization.
    fn capacity(&self, catalog: &Catalog, zone: ZoneKey) -> f64 {
        let slots = self.remaining.get(&zone).copied().unwrap_or_default();
        f64::from(slots) * catalog.limits().utilization
    }
}

/// Returns a problem if a service has more requests than its remaining targets may process.
fn capacity_problem(
    catalog: &Catalog,
    service: &Service,
    sites: &SiteSlots,
    load: &Load,
) -> Option<String> {
    let name = &service.name;
    let slots: u32 = sites.remaining.values().sum();
    if slots == 0 {
        return Some(format!("{name}: no serving target stays"));
    }
    let utilization = catalog.limits().utilization;
    let capacity = f64::from(slots) * utilization;
    let requests = load.requests_in_all_zones(name);
    let is_exceeded = requests as f64 > capacity;
    is_exceeded.then(|| {
        format!(
            "{name}: {requests} requests are in flight or wait, and {slots} slots at utilization \
             {utilization} may carry {capacity:.0}"
        )
    })
}

/// Returns a problem if moving the service's traffic away takes more than one window of its cap on
/// shifts.
fn shift_problem(
    catalog: &Catalog,
    service: &Service,
    sites: &SiteSlots,
    load: &Load,
    drain_set: &DrainSet,
) -> Option<String> {
    let mut moved_shares: BTreeMap<&str, f64> = BTreeMap::new();
    for &zone in sites.drained.keys() {
        let name = &catalog.zone(zone).name;
        let moved_part = if drain_set.zones.contains(&**name) {
            1.0
        } else {
            excess_share(
                load.requests_in_zone(&service.name, name),
                sites.capacity(catalog, zone),
            )
        };
        for ((service_name, locality, zone_name), share) in &load.shares {
            if **service_name == *service.name && **zone_name == **name {
                *moved_shares.entry(locality).or_default() += moved_part * share;
            }
        }
    }
    let (locality, share) = moved_shares
        .into_iter()
        .max_by(|a, b| a.1.total_cmp(&b.1))?;
    let cap = service.planned_cap;
    let windows = (share / cap.share - ROUNDING_ERROR).ceil();
    (windows > 1.0).then(|| {
        format!(
            "{}: {share:.2} of the traffic from {locality} has to move, and {} may move in {} s: \
             {windows} windows, about {} s",
            service.name,
            cap.share,
            cap.window.as_secs(),
            windows * cap.window.as_secs_f64()
        )
    })
}

/// The share of a zone's requests that exceeds its capacity, from 0 to 1.
fn excess_share(requests: u64, capacity: f64) -> f64 {
    if capacity <= 0.0 {
        return 1.0;
    }
    (1.0 - capacity / (requests as f64).max(ROUNDING_ERROR)).max(0.0)
}
