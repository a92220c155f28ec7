//! The load: open-loop callers of every service in every region.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use standin::caller::{Caller, Record, Report, Settings};

use super::world::{RequestKind, World};
use super::Error;

/// Share of a service's total capacity that its callers use.
const CAPACITY_SHARE: f64 = 0.25;
/// Factor on all rates during the warm-up, while connections are opened.
const WARM_UP_FACTOR: f64 = 0.2;
/// Factor on the rates of a region's callers during a burst.
const BURST_FACTOR: f64 = 3.0;
/// Number of client addresses in each region, each in a /24 block of its own.
pub(crate) const CLIENTS_PER_REGION: u8 = 120;
/// Maximum number of concurrent calls to a service from a region.
const MAX_CONCURRENT_CALLS: usize = 96;
/// Smallest and largest body of uploads and of bookings, in bytes.
const UPLOAD_BYTES: (usize, usize) = (64 << 10, 1 << 20);
const BOOKING_BYTES: (usize, usize) = (64, 512);

/// The callers of one service in one region.
struct CallerGroup {
    region: Arc<str>,
    rate: f64,
    caller: Caller,
}

/// The callers of all services in all regions.
pub(crate) struct Callers {
    groups: Vec<CallerGroup>,
}

impl Callers {
    /// Starts the callers at their warm-up rates; `factor` scales all rates.
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
                let rate = service_capacity(world, service) * CAPACITY_SHARE * factor
                    / regions.len() as f64;
                let seed = seed.wrapping_mul(1000).wrapping_add(groups.len() as u64);
                let settings = caller_settings(world, service, region)
                    .with_rate(rate * WARM_UP_FACTOR, seed)
                    .with_end(u64::MAX, duration);
                groups.push(CallerGroup {
                    region: region.as_str().into(),
                    rate,
                    caller: Caller::new(settings)?,
                });
            }
        }
        Ok(Self { groups })
    }

    /// Ends the warm-up: sets all callers to their full rates.
    pub(crate) fn set_full_rates(&self) {
        for group in &self.groups {
            group.caller.set_rate(group.rate);
        }
    }

    /// Begins or ends a burst in a region.
    pub(crate) fn set_burst(&self, region: &str, is_burst: bool) {
        for group in self.groups.iter().filter(|g| &*g.region == region) {
            group.caller.set_rate(if is_burst {
                group.rate * BURST_FACTOR
            } else {
                group.rate
            });
        }
    }

    /// Returns the counts of calls so far by class, in one line.
    pub(crate) fn progress_line(&self) -> String {
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

    /// Waits for the last calls; returns all records and the numbers of missed calls.
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

/// The results of all calls.
#[derive(Default)]
pub(crate) struct Calls {
    /// The records of the calls that were made.
    pub(crate) records: Vec<Record>,
    /// Number of calls that were not made because all threads were busy, by class.
    pub(crate) missed: BTreeMap<Arc<str>, u64>,
}

/// Returns the requests a second that a service's targets can run.
pub(crate) fn service_capacity(world: &World, service: &str) -> f64 {
    let targets = world.deployment.targets.values();
    let slots: u32 = targets
        .filter(|t| &*t.service == service)
        .map(|t| t.slots)
        .sum();
    f64::from(slots) / world.request_kind(service).mean_service_time_s()
}

/// Returns the settings of the callers of a service in a region.
fn caller_settings(world: &World, service: &str, region: &str) -> Settings {
    let configured = &world.configuration.services[service];
    let (entries, local_count, host_links) = entry_addresses(world, region);
    let settings = Settings::new(&format!("{service}-{region}"), service, entries)
        .with_names(&configured.class, region)
        .with_clients(client_addresses(world, region))
        .with_near_entries(local_count)
        .with_address_map(host_links)
        .with_threads(MAX_CONCURRENT_CALLS)
        .with_deadline(Duration::from_millis(configured.deadline_ms.get().into()));
    match world.request_kind(service) {
        RequestKind::Query => settings,
        RequestKind::Booking => settings
            .with_request("POST", "book", BOOKING_BYTES)
            .with_keys(),
        RequestKind::Upload => settings
            .with_request("POST", "upload", UPLOAD_BYTES)
            .with_keys(),
    }
}

/// Entry addresses of callers, the number of those in the callers' region, and the link to each host
/// address.
type EntryAddresses = (Vec<SocketAddr>, usize, BTreeMap<SocketAddr, SocketAddr>);

/// Returns the entry addresses of a region's callers, those in the region first.
fn entry_addresses(world: &World, region: &str) -> EntryAddresses {
    let mut host_links = BTreeMap::new();
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for machine in world.machines.values() {
        for (index, endpoint) in machine.endpoints.iter().enumerate() {
            let Some(link) = endpoint.caller_links.get(region) else {
                continue;
            };
            host_links.insert(endpoint.listen, link.address());
            let entries = if &*machine.region == region {
                &mut local
            } else {
                &mut remote
            };
            if index == 0 {
                entries.push(link.address());
            }
        }
    }
    let local_count = local.len();
    local.extend(remote);
    (local, local_count, host_links)
}

/// Returns the client addresses of a region, in its block of loopback addresses.
fn client_addresses(world: &World, region: &str) -> Vec<IpAddr> {
    let blocks = world.configuration.clients.iter();
    let region_blocks = blocks.filter(|(_, client)| client.region == region);
    let block = region_blocks
        .map(|(block, _)| block)
        .find(|block| block.starts_with("127."));
    let second_octet = block.and_then(|block| block.split('.').nth(1)?.parse().ok());
    let second_octet: u8 = second_octet.unwrap_or(0);
    (1..=CLIENTS_PER_REGION)
        .map(|third_octet| Ipv4Addr::new(127, second_octet, third_octet, 1).into())
        .collect()
}
