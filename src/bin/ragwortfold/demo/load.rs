//! The callers: every service from every region, in an open loop.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use standin::caller::{Caller, Record, Report, Settings};

use super::world::{Shape, World};
use super::Error;

/// Share of a service's whole capacity that its callers ask for.
const LOAD: f64 = 0.25;
/// Factor on all rates in the first second, while connections open.
const START: f64 = 0.2;
/// Factor on a region's rate in a burst.
const BURST: f64 = 3.0;
/// Client addresses in each region, each in a /24 block of its own.
pub(crate) const CLIENTS: u8 = 120;
/// Calls that a class of a region may have under way.
const THREADS: usize = 96;
/// Sizes of uploads and of bookings, in bytes.
const UPLOAD: (usize, usize) = (64 << 10, 1 << 20);
const BOOKING: (usize, usize) = (64, 512);

/// The callers of one service in one region.
struct Group {
    region: Arc<str>,
    rate: f64,
    caller: Caller,
}

/// All callers.
pub(crate) struct Callers {
    groups: Vec<Group>,
}

impl Callers {
    /// Starts them.
    pub(crate) fn new(
        world: &World,
        factor: f64,
        seed: u64,
        duration: Duration,
    ) -> Result<Self, Error> {
        let mut groups = Vec::new();
        let regions = &world.configuration.regions;
        for service in world.configuration.services.keys() {
            for region in regions.keys() {
                let rate = capacity(world, service) * LOAD * factor / regions.len() as f64;
                let seed = seed.wrapping_mul(1000).wrapping_add(groups.len() as u64);
                let settings = settings(world, service, region)
                    .with_rate(rate * START, seed)
                    .with_end(u64::MAX, duration);
                groups.push(Group {
                    region: region.as_str().into(),
                    rate,
                    caller: Caller::new(settings)?,
                });
            }
        }
        Ok(Self { groups })
    }

    /// Goes on with the full rates.
    pub(crate) fn open_up(&self) {
        for group in &self.groups {
            group.caller.set_rate(group.rate);
        }
    }

    /// Begins or ends a burst in a region.
    pub(crate) fn burst(&self, region: &str, on: bool) {
        for group in self.groups.iter().filter(|g| &*g.region == region) {
            group
                .caller
                .set_rate(if on { group.rate * BURST } else { group.rate });
        }
    }

    /// The state of things in one line.
    pub(crate) fn line(&self) -> String {
        let mut classes: BTreeMap<Arc<str>, Report> = BTreeMap::new();
        for report in self.groups.iter().map(|group| group.caller.report()) {
            let sum = classes.entry(report.class.clone()).or_default();
            sum.offered += report.offered;
            sum.answered += report.answered;
            sum.not_run += report.not_run;
            sum.unknown += report.unknown + report.wrong;
        }
        let parts = classes.iter().map(|(class, sum)| {
            let Report {
                offered,
                answered,
                not_run,
                unknown,
                ..
            } = sum;
            format!("{class} {answered}/{offered} answered, {not_run} not run, {unknown} unknown")
        });
        parts.collect::<Vec<_>>().join("  ")
    }

    /// Waits for the last calls. Answers all records, and the calls that callers could not make.
    pub(crate) fn wait(self) -> Calls {
        let mut calls = Calls::default();
        for group in self.groups {
            let (report, records) = group.caller.wait();
            *calls.missed.entry(report.class).or_default() += report.missed;
            calls.records.extend(records);
        }
        calls
    }
}

/// What became of all calls.
#[derive(Default)]
pub(crate) struct Calls {
    /// Calls that were made.
    pub(crate) records: Vec<Record>,
    /// Calls that could not be made for want of threads, by class.
    pub(crate) missed: BTreeMap<Arc<str>, u64>,
}

/// Requests a second that a service's targets can run.
pub(crate) fn capacity(world: &World, service: &str) -> f64 {
    let places = world.facts.targets.values();
    let slots: u32 = places
        .filter(|p| &*p.service == service)
        .map(|p| p.slots)
        .sum();
    f64::from(slots) / world.shape(service).mean()
}

fn settings(world: &World, service: &str, region: &str) -> Settings {
    let configured = &world.configuration.services[service];
    let (entries, near, via) = addresses(world, region);
    let settings = Settings::new(&format!("{service}-{region}"), service, entries)
        .with_names(&configured.class, region)
        .with_clients(clients(world, region))
        .with_near_entries(near)
        .with_address_map(via)
        .with_threads(THREADS)
        .with_deadline(Duration::from_millis(configured.deadline_ms.get().into()));
    match world.shape(service) {
        Shape::Query => settings,
        Shape::Booking => settings.with_request("POST", "book", BOOKING).with_keys(),
        Shape::Upload => settings.with_request("POST", "upload", UPLOAD).with_keys(),
    }
}

/// Entries that callers know, how many of them are in their region, and the links to all hosts.
type Addresses = (Vec<SocketAddr>, usize, BTreeMap<SocketAddr, SocketAddr>);

/// The entries that callers of a region know, those of the region first.
fn addresses(world: &World, region: &str) -> Addresses {
    let mut via = BTreeMap::new();
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for machine in world.machines.values() {
        for (number, seat) in machine.seats.iter().enumerate() {
            let Some(link) = seat.fronts.get(region) else {
                continue;
            };
            via.insert(seat.listen, link.address());
            let known = if &*machine.region == region {
                &mut near
            } else {
                &mut far
            };
            if number == 0 {
                known.push(link.address());
            }
        }
    }
    let count = near.len();
    near.extend(far);
    (near, count, via)
}

/// Addresses in the region's block of this machine.
fn clients(world: &World, region: &str) -> Vec<IpAddr> {
    let blocks = world.configuration.clients.iter();
    let own = blocks.filter(|(_, client)| client.region == region);
    let block = own
        .map(|(block, _)| block)
        .find(|block| block.starts_with("127."));
    let second = block.and_then(|block| block.split('.').nth(1)?.parse().ok());
    let second: u8 = second.unwrap_or(0);
    (1..=CLIENTS)
        .map(|third| Ipv4Addr::new(127, second, third, 1).into())
        .collect()
}
