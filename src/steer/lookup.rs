//! Look-up of the entry hosts that a caller should use.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use ipnet::IpNet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{Catalog, ClientTable, HostKey, RegionKey, ServiceKey, State, ZoneKey};

use super::goal::regions_by_latency;
use super::split::Split;

/// Maximum number of hosts in an answer.
pub const MAX_ENTRIES: usize = 4;
/// Maximum number of hosts of the chosen zone while other zones have hosts.
const MAX_FROM_CHOSEN_ZONE: usize = 2;
/// Maximum number of hosts of the chosen region, including those of the chosen zone, while other regions
/// have hosts.
const MAX_FROM_CHOSEN_REGION: usize = 3;

/// Entry hosts for a caller, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Region of the caller.
    pub locality: RegionKey,
    /// Hash of the caller's block, by which splits assign zones.
    pub block: u64,
    /// Zone assigned by the split.
    pub zone: Option<ZoneKey>,
    entries: [Option<HostKey>; MAX_ENTRIES],
}

impl Answer {
    /// Returns the hosts, best first; empty if no host is live and serving.
    pub fn entries(&self) -> impl Iterator<Item = HostKey> + '_ {
        self.entries.iter().map_while(|entry| *entry)
    }

    fn len(&self) -> usize {
        self.entries().count()
    }

    fn push(&mut self, host: HostKey) {
        let next = self.len();
        if next < MAX_ENTRIES && !self.entries[..next].contains(&Some(host)) {
            self.entries[next] = Some(host);
        }
    }
}

/// Location of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLocation {
    /// Region of the caller's block, or of this host if no configured block contains the caller.
    pub locality: RegionKey,
    /// Hash of the caller's block.
    pub block: u64,
}

/// A live, serving host.
#[derive(Clone, Copy, Debug)]
struct Host {
    key: HostKey,
    seed: u64,
}

/// Routing data for callers of one service in one locality.
#[derive(Clone, Debug, Default)]
struct Route {
    split: Split,
    /// Fallback zones by region: the locality's own region first, then the nearest.
    regions: Vec<Vec<ZoneKey>>,
}

/// Immutable data for look-ups. A new snapshot is created whenever the catalog, the live hosts or a
/// split changes, and is shared by the threads that answer look-ups.
#[derive(Clone, Debug)]
pub struct Snapshot {
    clients: ClientTable,
    own_region: RegionKey,
    /// Live, serving hosts by zone.
    hosts: Vec<Vec<Host>>,
    /// Routes by service and locality.
    routes: Vec<Option<Arc<[Route]>>>,
}

impl Snapshot {
    /// Creates the snapshot of a host in `own_zone`. `splits` returns the host's current splits.
    pub fn new(
        catalog: &Catalog,
        live: &BTreeSet<HostKey>,
        splits: impl Fn(ServiceKey, RegionKey) -> Option<Split>,
        own_zone: ZoneKey,
    ) -> Self {
        let hosts = serving_hosts_by_zone(catalog, live);
        let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
        let region_order: Vec<Vec<RegionKey>> = regions
            .iter()
            .map(|&region| {
                let mut order = vec![region];
                order.extend(regions_by_latency(catalog, region));
                order
            })
            .collect();
        let mut routes = Vec::new();
        for (service, _) in catalog.services() {
            let by_locality = regions
                .iter()
                .zip(&region_order)
                .map(|(&locality, region_order)| Route {
                    split: splits(service, locality).unwrap_or_default(),
                    regions: fallback_zones(catalog, service, &hosts, region_order),
                });
            let at = arena_index(service);
            routes.resize(routes.len().max(at + 1), None);
            routes[at] = Some(by_locality.collect());
        }
        Self {
            clients: catalog.clients().clone(),
            own_region: catalog.region_of(own_zone),
            hosts,
            routes,
        }
    }

    /// Locates a caller. Callers of one block with the same `spread` get the same hosts; if all callers
    /// use 0, the whole block does.
    pub fn locate_client(&self, client: IpAddr, spread: u64) -> ClientLocation {
        let found = self.clients.find(client);
        let net = ClientTable::steering_block(client, found);
        ClientLocation {
            locality: found.map_or(self.own_region, |(_, region)| region),
            block: block_hash(&net, spread),
        }
    }

    /// Returns the hosts that a caller should use: first hosts of the zone that the split assigns to its
    /// block, then of other zones of that region, then of other regions.
    ///
    /// A block keeps its host of the chosen zone while that host is live; when the host leaves, its blocks
    /// are distributed evenly over the other hosts.
    pub fn answer(&self, service: ServiceKey, client: IpAddr, spread: u64) -> Answer {
        let location = self.locate_client(client, spread);
        let mut answer = Answer {
            locality: location.locality,
            block: location.block,
            zone: None,
            entries: [None; MAX_ENTRIES],
        };
        if let Some(route) = self.route(service, location.locality) {
            self.fill_entries(&mut answer, route);
        }
        answer
    }

    /// Returns the split for callers of a service in a locality.
    pub fn split(&self, service: ServiceKey, locality: RegionKey) -> Option<&Split> {
        Some(&self.route(service, locality)?.split)
    }

    fn route(&self, service: ServiceKey, locality: RegionKey) -> Option<&Route> {
        let routes = self.routes.get(arena_index(service))?.as_ref()?;
        routes.get(arena_index(locality))
    }

    fn fill_entries(&self, answer: &mut Answer, route: &Route) {
        let has_hosts = |zone| !self.hosts_of(zone).is_empty();
        let chosen = route.split.choose(answer.block, has_hosts);
        let nearest = route
            .regions
            .first()
            .and_then(|zones| rotated(zones, answer.block).next());
        let Some(chosen) = chosen.or(nearest) else {
            return;
        };
        answer.zone = Some(chosen);
        self.push_ranked::<MAX_FROM_CHOSEN_ZONE>(answer, chosen);
        let contains_chosen = |zones: &&Vec<ZoneKey>| zones.contains(&chosen);
        for zones in route.regions.iter().filter(contains_chosen) {
            self.push_from_zones(answer, zones, MAX_FROM_CHOSEN_REGION);
        }
        for zones in route.regions.iter().filter(|zones| !contains_chosen(zones)) {
            let limit = MAX_ENTRIES.min(answer.len() + 1);
            self.push_from_zones(answer, zones, limit);
        }
        if answer.len() < MAX_ENTRIES {
            self.push_ranked::<MAX_ENTRIES>(answer, chosen);
        }
        for &zone in route.regions.iter().flatten() {
            if answer.len() < MAX_ENTRIES {
                self.push_ranked::<MAX_ENTRIES>(answer, zone);
            }
        }
    }

    /// Adds the `N` highest-ranked hosts of a zone by rendezvous hashing.
    fn push_ranked<const N: usize>(&self, answer: &mut Answer, zone: ZoneKey) {
        let hosts = self.hosts_of(zone);
        let best = top_ranked::<N>(hosts, answer.block).into_iter().flatten();
        best.for_each(|at| answer.push(hosts[at].key));
    }

    /// Adds one host of each zone except the chosen one, up to `limit` hosts in total.
    fn push_from_zones(&self, answer: &mut Answer, zones: &[ZoneKey], limit: usize) {
        for zone in rotated(zones, answer.block) {
            if answer.len() >= limit {
                return;
            }
            if answer.zone != Some(zone) {
                let host = rotated(self.hosts_of(zone), answer.block.rotate_left(32)).next();
                host.into_iter().for_each(|host| answer.push(host.key));
            }
        }
    }

    fn hosts_of(&self, zone: ZoneKey) -> &[Host] {
        self.hosts.get(arena_index(zone)).map_or(&[], Vec::as_slice)
    }
}

/// Returns the items in cyclic order, starting at an item that depends on a hash.
fn rotated<T: Copy>(items: &[T], hash: u64) -> impl Iterator<Item = T> + '_ {
    let start = (u128::from(hash) * items.len() as u128) >> u64::BITS;
    let start = start as usize;
    let (before, after) = items.split_at(start);
    after.iter().chain(before).copied()
}

/// Returns the positions of the `N` highest-ranked hosts for a block by rendezvous hashing.
fn top_ranked<const N: usize>(hosts: &[Host], block: u64) -> [Option<usize>; N] {
    let mut ranks = [0; N];
    let mut positions = [None; N];
    for (position, host) in hosts.iter().enumerate() {
        let rank = mix_hashes(block, host.seed);
        if rank <= ranks[N - 1] {
            continue;
        }
        let mut at = N - 1;
        while at > 0 && ranks[at - 1] < rank {
            ranks[at] = ranks[at - 1];
            positions[at] = positions[at - 1];
            at -= 1;
        }
        ranks[at] = rank;
        positions[at] = Some(position);
    }
    positions
}

/// Mixes two hashes by folded multiplication.
fn mix_hashes(left: u64, right: u64) -> u64 {
    let product = u128::from(left ^ right.rotate_left(32)) * u128::from(right | 1);
    (product as u64) ^ ((product >> 64) as u64)
}

/// Returns the hash of a block, which is the same on all hosts.
pub fn block_hash(net: &IpNet, spread: u64) -> u64 {
    let mut bytes = [0; 17];
    bytes[0] = net.prefix_len();
    match net {
        IpNet::V4(net) => bytes[1..5].copy_from_slice(&net.addr().octets()),
        IpNet::V6(net) => bytes[1..].copy_from_slice(&net.addr().octets()),
    }
    xxh3_64_with_seed(&bytes, spread)
}

fn arena_index<T>(key: la_arena::Idx<T>) -> usize {
    key.into_raw().into_u32() as usize
}

fn serving_hosts_by_zone(catalog: &Catalog, live: &BTreeSet<HostKey>) -> Vec<Vec<Host>> {
    let zones = catalog.zones().map(|(zone, _)| arena_index(zone) + 1).max();
    let mut hosts = vec![Vec::new(); zones.unwrap_or(0)];
    for &key in live {
        if catalog.host_state(key) == State::Serving {
            let host = catalog.host(key);
            hosts[arena_index(host.zone)].push(Host {
                key,
                seed: xxh3_64(host.name.as_bytes()),
            });
        }
    }
    hosts
}

/// Returns the zones with live hosts by region: only those with serving targets, or all if there are none.
fn fallback_zones(
    catalog: &Catalog,
    service: ServiceKey,
    hosts: &[Vec<Host>],
    region_order: &[RegionKey],
) -> Vec<Vec<ZoneKey>> {
    let has_slots = |zone| {
        catalog
            .site(service, zone)
            .is_some_and(|site| site.slots > 0)
    };
    let regions = zones_by_region(catalog, hosts, region_order, has_slots);
    if regions.is_empty() {
        return zones_by_region(catalog, hosts, region_order, |_| true);
    }
    regions
}

fn zones_by_region(
    catalog: &Catalog,
    hosts: &[Vec<Host>],
    region_order: &[RegionKey],
    is_wanted: impl Fn(ZoneKey) -> bool,
) -> Vec<Vec<ZoneKey>> {
    let zones_of = |&region: &RegionKey| -> Vec<ZoneKey> {
        let zones = catalog.zones().filter(|(_, zone)| zone.region == region);
        let with_hosts = zones.filter(|&(zone, _)| !hosts[arena_index(zone)].is_empty());
        with_hosts
            .map(|(zone, _)| zone)
            .filter(|&zone| is_wanted(zone))
            .collect()
    };
    region_order
        .iter()
        .map(zones_of)
        .filter(|zones| !zones.is_empty())
        .collect()
}
