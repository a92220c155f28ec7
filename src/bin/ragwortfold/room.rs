//! Whether what stays can carry the work of what leaves, within the limits.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use ragwortfold::border::configuration::{Configuration, State};
use ragwortfold::catalog::{self, Catalog, Service, ServiceKey, ZoneKey};

use crate::drain::Leaving;
use crate::fleet::{self, Report};

/// Times that hosts are asked how much is in flight; the largest answer counts.
const SAMPLES: usize = 3;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(100);
/// Shares below this are rounding errors.
const TINY: f64 = 1e-6;

/// What stands against a drain; nothing if it can be met.
pub(crate) fn problems(
    configuration: &Configuration,
    leaving: &Leaving,
) -> Result<Vec<String>, catalog::Error> {
    let catalog = Catalog::default().with_revision(1, configuration)?;
    let load = Load::measure(configuration);
    let mut problems = lonely_zones(configuration, leaving);
    for (key, service) in catalog.services() {
        let site = Sites::new(&catalog, key, leaving);
        if site.leaving.is_empty() {
            continue;
        }
        problems.extend(too_little(&catalog, service, &site, &load));
        problems.extend(too_slow(&catalog, service, &site, &load, leaving));
    }
    Ok(problems)
}

/// Zones with targets whose last serving host leaves.
fn lonely_zones(configuration: &Configuration, leaving: &Leaving) -> Vec<String> {
    let mut problems = Vec::new();
    for name in &leaving.hosts {
        let zone = &configuration.hosts[name].availability_zone;
        let stays = configuration.hosts.iter().any(|(host, record)| {
            let is_there = record.availability_zone == *zone && record.state == State::Serving;
            is_there && !leaving.hosts.contains(host)
        });
        let mut targets = configuration.targets.values();
        if !stays && targets.any(|target| target.availability_zone == *zone) {
            problems.push(format!("{name} is the last serving host of {zone}"));
        }
    }
    problems
}

/// What hosts say of requests and splits.
struct Load {
    /// Requests in flight or waiting, by service and zone.
    work: BTreeMap<(String, String), u64>,
    /// The largest share that any host gives a zone, by service, callers' region and zone.
    shares: BTreeMap<(String, String, String), f64>,
}

impl Load {
    fn measure(configuration: &Configuration) -> Self {
        let hosts = fleet::hosts(configuration);
        let mut load = Self {
            work: BTreeMap::new(),
            shares: BTreeMap::new(),
        };
        for sample in 0..SAMPLES {
            if sample > 0 {
                thread::sleep(PAUSE);
            }
            let mut work = BTreeMap::new();
            for (host, answer) in fleet::ask(&hosts) {
                let Ok(report) = answer else { continue };
                let zone = &configuration.hosts[&host].availability_zone;
                count(&mut work, zone, &report);
                load.note_shares(&report);
            }
            for (place, count) in work {
                let most = load.work.entry(place).or_default();
                *most = count.max(*most);
            }
        }
        load
    }

    fn note_shares(&mut self, report: &Report) {
        for (service, localities) in &report.splits {
            for (locality, zones) in localities {
                for (zone, &share) in zones {
                    let place = (service.clone(), locality.clone(), zone.clone());
                    let most = self.shares.entry(place).or_default();
                    *most = share.max(*most);
                }
            }
        }
    }

    /// Requests of a service in a zone.
    fn in_zone(&self, service: &str, zone: &str) -> u64 {
        let place = (service.to_owned(), zone.to_owned());
        self.work.get(&place).copied().unwrap_or_default()
    }

    /// Requests of a service.
    fn of(&self, service: &str) -> u64 {
        let places = self.work.iter();
        let own = places.filter(|((name, _), _)| name == service);
        own.map(|(_, count)| count).sum()
    }
}

fn count(work: &mut BTreeMap<(String, String), u64>, zone: &str, report: &Report) {
    for (service, record) in &report.services {
        let place = (service.clone(), zone.to_owned());
        *work.entry(place).or_default() += record.in_flight + record.queued;
    }
}

/// Serving slots of a service, by zone.
struct Sites {
    leaving: BTreeMap<ZoneKey, u32>,
    staying: BTreeMap<ZoneKey, u32>,
}

impl Sites {
    fn new(catalog: &Catalog, service: ServiceKey, leaving: &Leaving) -> Self {
        let mut sites = Self {
            leaving: BTreeMap::new(),
            staying: BTreeMap::new(),
        };
        for (zone, site) in catalog.sites(service) {
            for &key in &site.targets {
                if catalog.target_state(key) != State::Serving {
                    continue;
                }
                let target = catalog.target(key);
                let side = if leaving.targets.contains(&*target.name) {
                    &mut sites.leaving
                } else {
                    &mut sites.staying
                };
                *side.entry(zone).or_default() += target.slots;
            }
        }
        sites
    }

    /// Requests that the staying targets of a zone may carry.
    fn room(&self, catalog: &Catalog, zone: ZoneKey) -> f64 {
        let slots = self.staying.get(&zone).copied().unwrap_or_default();
        f64::from(slots) * catalog.limits().utilization
    }
}

/// Whether the work of a service is more than its staying targets may carry.
fn too_little(catalog: &Catalog, service: &Service, sites: &Sites, load: &Load) -> Option<String> {
    let name = &service.name;
    let slots: u32 = sites.staying.values().sum();
    if slots == 0 {
        return Some(format!("{name}: no serving target stays"));
    }
    let utilization = catalog.limits().utilization;
    let room = f64::from(slots) * utilization;
    let work = load.of(name);
    let is_short = work as f64 > room;
    is_short.then(|| {
        format!(
            "{name}: {work} requests are in flight or wait, and {slots} slots at utilization \
             {utilization} may carry {room:.0}"
        )
    })
}

/// Whether the service's traffic needs more than one window of its cap to move away.
fn too_slow(
    catalog: &Catalog,
    service: &Service,
    sites: &Sites,
    load: &Load,
    leaving: &Leaving,
) -> Option<String> {
    let mut moves: BTreeMap<&str, f64> = BTreeMap::new();
    for &zone in sites.leaving.keys() {
        let name = &catalog.zone(zone).name;
        let part = if leaving.zones.contains(&**name) {
            1.0
        } else {
            excess(load.in_zone(&service.name, name), sites.room(catalog, zone))
        };
        for ((of, locality, to), share) in &load.shares {
            if **of == *service.name && **to == **name {
                *moves.entry(locality).or_default() += part * share;
            }
        }
    }
    let (locality, share) = moves.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
    let cap = service.planned_cap;
    let windows = (share / cap.share - TINY).ceil();
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

/// The part of a zone's work that its room cannot carry.
fn excess(work: u64, room: f64) -> f64 {
    if room <= 0.0 {
        return 1.0;
    }
    (1.0 - room / (work as f64).max(TINY)).max(0.0)
}
