//! The validated configuration in the form that routing decisions use: arenas of small records with
//! `Copy` keys.
//!
//! The key of a name stays the same from one revision to the next, so that state stored by key remains
//! valid after a change of configuration. A removed record stays in its arena with [`State::Off`];
//! arenas shrink only when the process restarts.

mod client;
mod error;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ipnet::IpNet;
use la_arena::{Arena, Idx};
use serde::{Deserialize, Serialize};

use crate::border::configuration as border;
use crate::duration;

pub use border::State;
pub use client::ClientTable;
pub use error::Error;

/// Key of a region.
pub type RegionKey = Idx<Region>;
/// Key of an availability zone.
pub type ZoneKey = Idx<Zone>;
/// Key of an entry host.
pub type HostKey = Idx<Host>;
/// Key of a service.
pub type ServiceKey = Idx<Service>;
/// Key of a target.
pub type TargetKey = Idx<Target>;
/// Key of one direction of a link between two regions.
pub type LinkKey = Idx<Link>;

/// A region: a group of availability zones.
#[derive(Clone, Debug)]
pub struct Region {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// Its own state; see [`Catalog::zone_state`] for the effective one.
    pub state: State,
}

/// An availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The region that contains it.
    pub region: RegionKey,
    /// Its own state.
    pub state: State,
}

/// An entry host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The availability zone that contains it.
    pub zone: ZoneKey,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address that other entry hosts connect to.
    pub peer_address: SocketAddr,
    /// Its own state.
    pub state: State,
}

/// Whether a request may be sent again if an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: running it twice has the same effect as once.
    Safe,
    /// Not idempotent: it must run at most once.
    Never,
}

/// A service that callers address by its name.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The traffic class in metrics and queues.
    pub class: Arc<str>,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// Deadline of a request whose caller sets none.
    pub deadline: Duration,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Priority in a full queue, from 0 (dropped first) to 9.
    pub priority: u8,
    /// Cap on planned shifts of its traffic.
    pub planned_cap: Cap,
}

/// A target: one back end server of one service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The service it runs.
    pub service: ServiceKey,
    /// The availability zone that contains it.
    pub zone: ZoneKey,
    /// The address that it accepts connections on.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Time over which its load is increased from a cold start to its full capacity.
    pub warm_up: Duration,
    /// Its own state; see [`Catalog::target_state`] for the effective one.
    pub state: State,
}

/// One direction of a link between two regions.
#[derive(Clone, Debug)]
pub struct Link {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The region that the traffic leaves.
    pub from: RegionKey,
    /// The region that the traffic enters.
    pub to: RegionKey,
    /// One-way latency.
    pub latency: Duration,
    /// Maximum number of requests per second.
    pub max_requests_per_s: u64,
    /// Maximum number of bytes per second.
    pub max_bytes_per_s: u64,
}

/// The maximum share of traffic that may be shifted within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    /// Share of the traffic, from 0 to 1.
    pub share: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Limits for the whole system.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Cap on shifts of traffic away from failed regions and availability zones.
    pub failover_cap: Cap,
    /// Share of a capacity that steering may use, from 0 to 1.
    pub utilization: f64,
    /// Maximum number of retries, as a share of requests.
    pub retry_share: f64,
    /// Maximum number of hedged requests, as a share of requests.
    pub hedge_share: f64,
    /// Time for which callers may cache the answer to a look-up.
    pub lookup_ttl: Duration,
}

/// The targets of one service in one availability zone.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// All targets that are not removed, in any state.
    pub targets: Vec<TargetKey>,
    /// Total slots of the targets whose effective state is serving.
    pub slots: u32,
}

/// One revision of the configuration, immutable.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The revision; 0 for the empty configuration.
    pub revision: u64,
    regions: Arena<Region>,
    zones: Arena<Zone>,
    hosts: Arena<Host>,
    services: Arena<Service>,
    targets: Arena<Target>,
    links: Arena<Link>,
    names: Names,
    sites: BTreeMap<(ServiceKey, ZoneKey), Site>,
    limits: Limits,
    clients: Arc<ClientTable>,
}

/// Keys by name. The names of removed regions, availability zones, hosts and targets stay.
#[derive(Clone, Debug, Default)]
struct Names {
    regions: BTreeMap<Arc<str>, RegionKey>,
    zones: BTreeMap<Arc<str>, ZoneKey>,
    hosts: BTreeMap<Arc<str>, HostKey>,
    services: BTreeMap<Arc<str>, ServiceKey>,
    targets: BTreeMap<Arc<str>, TargetKey>,
    links: BTreeMap<Arc<str>, LinkKey>,
}

/// Cap on planned shifts if the configuration sets none.
const DEFAULT_PLANNED_CAP: Cap = Cap {
    share: 0.05,
    window: Duration::from_secs(60),
};
/// Cap on shifts during failover if the configuration sets none.
const DEFAULT_FAILOVER_CAP: Cap = Cap {
    share: 0.25,
    window: Duration::from_secs(10),
};

impl Default for Limits {
    fn default() -> Self {
        Self::new(&border::Limits::default())
    }
}

impl Limits {
    fn new(limits: &border::Limits) -> Self {
        Self {
            failover_cap: find_cap(limits, "failover").unwrap_or(DEFAULT_FAILOVER_CAP),
            utilization: limits.utilization,
            retry_share: limits.retry_share,
            hedge_share: limits.hedge_share,
            lookup_ttl: Duration::from_millis(limits.lookup_ttl_ms.into()),
        }
    }
}

fn find_cap(limits: &border::Limits, name: &str) -> Option<Cap> {
    let cap = limits.shift.get(name)?;
    Some(Cap {
        share: cap.share,
        window: Duration::from_secs(u64::from(cap.window_s.get())),
    })
}

/// Stores `record` under `name`. A name that has a key already keeps it.
fn insert_or_replace<T>(
    arena: &mut Arena<T>,
    names: &mut BTreeMap<Arc<str>, Idx<T>>,
    name: Arc<str>,
    record: T,
) -> Idx<T> {
    if let Some(&key) = names.get(&name) {
        arena[key] = record;
        return key;
    }
    let key = arena.alloc(record);
    names.insert(name, key);
    key
}

fn parse_address(path: &str, text: &str) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| Error::InvalidAddress {
        path: path.into(),
        text: text.into(),
    })
}

impl Catalog {
    /// Builds the catalog of `configuration` as `revision`, with the same keys as in this catalog.
    ///
    /// # Errors
    ///
    /// A reference to an undefined name, or an address or a client block that cannot be parsed.
    pub fn with_revision(
        &self,
        revision: u64,
        configuration: &border::Configuration,
    ) -> Result<Self, Error> {
        let mut blocks = Vec::with_capacity(configuration.clients.len());
        for (block, client) in &configuration.clients {
            let net = block.parse().map_err(|_| Error::InvalidBlock {
                text: block.as_str().into(),
            })?;
            blocks.push((net, &*client.region));
        }
        self.with_client_blocks(revision, configuration, Some(blocks))
    }

    /// Builds the catalog of `configuration` as `revision`, with the given client blocks, or with those
    /// of this catalog if none are given. The client blocks in `configuration` are ignored.
    ///
    /// # Errors
    ///
    /// A reference to an undefined name, or an address that cannot be parsed.
    pub fn with_client_blocks<'a>(
        &self,
        revision: u64,
        configuration: &border::Configuration,
        clients: Option<impl IntoIterator<Item = (IpNet, &'a str)>>,
    ) -> Result<Self, Error> {
        let mut next = self.clone();
        next.revision = revision;
        next.limits = Limits::new(&configuration.limits);
        next.mark_all_removed();
        next.put_regions_zones_and_hosts(configuration)?;
        next.put_services(configuration);
        next.put_targets(configuration)?;
        next.put_links(configuration)?;
        if let Some(clients) = clients {
            next.put_clients(clients)?;
        }
        next.sites = next.group_targets_by_site();
        Ok(next)
    }

    /// Marks every record as removed, before the records of the new revision are stored.
    fn mark_all_removed(&mut self) {
        self.regions.values_mut().for_each(|r| r.state = State::Off);
        self.zones.values_mut().for_each(|z| z.state = State::Off);
        self.hosts.values_mut().for_each(|h| h.state = State::Off);
        self.targets.values_mut().for_each(|t| t.state = State::Off);
        self.names.services.clear();
        self.names.links.clear();
        self.links = Arena::new();
    }

    fn put_regions_zones_and_hosts(
        &mut self,
        configuration: &border::Configuration,
    ) -> Result<(), Error> {
        for (name, region) in &configuration.regions {
            let name: Arc<str> = name.as_str().into();
            let record = Region {
                name: name.clone(),
                state: region.state,
            };
            insert_or_replace(&mut self.regions, &mut self.names.regions, name, record);
        }
        for (name, zone) in &configuration.availability_zones {
            let name: Arc<str> = name.as_str().into();
            let record = Zone {
                name: name.clone(),
                region: self.require_region(&zone.region)?,
                state: zone.state,
            };
            insert_or_replace(&mut self.zones, &mut self.names.zones, name, record);
        }
        for (name, host) in &configuration.hosts {
            let name: Arc<str> = name.as_str().into();
            let record = Host {
                name: name.clone(),
                zone: self.require_zone(&host.availability_zone)?,
                address: parse_address(&format!("hosts.{name}.address"), &host.address)?,
                peer_address: parse_address(
                    &format!("hosts.{name}.peer_address"),
                    &host.peer_address,
                )?,
                state: host.state,
            };
            insert_or_replace(&mut self.hosts, &mut self.names.hosts, name, record);
        }
        Ok(())
    }

    fn put_services(&mut self, configuration: &border::Configuration) {
        let known: BTreeMap<Arc<str>, ServiceKey> = self
            .services
            .iter()
            .map(|(key, service)| (service.name.clone(), key))
            .collect();
        let default_cap = find_cap(&configuration.limits, "default").unwrap_or(DEFAULT_PLANNED_CAP);
        for (name, service) in &configuration.services {
            let name: Arc<str> = name.as_str().into();
            let record = Service {
                name: name.clone(),
                class: service.class.as_str().into(),
                repeat: if service.idempotent {
                    Repeat::Safe
                } else {
                    Repeat::Never
                },
                deadline: Duration::from_millis(u64::from(service.deadline_ms.get())),
                max_body_bytes: service.max_body_bytes,
                priority: service.priority,
                planned_cap: find_cap(&configuration.limits, &name).unwrap_or(default_cap),
            };
            let key = match known.get(&name) {
                Some(&key) => {
                    self.services[key] = record;
                    key
                }
                None => self.services.alloc(record),
            };
            self.names.services.insert(name, key);
        }
    }

    fn put_targets(&mut self, configuration: &border::Configuration) -> Result<(), Error> {
        for (name, target) in &configuration.targets {
            let name: Arc<str> = name.as_str().into();
            let record = Target {
                name: name.clone(),
                service: self.require_service(&target.service)?,
                zone: self.require_zone(&target.availability_zone)?,
                address: parse_address(&format!("targets.{name}.address"), &target.address)?,
                slots: target.slots.get(),
                connections: target.connections.get(),
                warm_up: Duration::from_secs(target.warm_s.into()),
                state: target.state,
            };
            insert_or_replace(&mut self.targets, &mut self.names.targets, name, record);
        }
        Ok(())
    }

    fn put_links(&mut self, configuration: &border::Configuration) -> Result<(), Error> {
        for (name, link) in &configuration.links {
            let name: Arc<str> = name.as_str().into();
            let record = Link {
                name: name.clone(),
                from: self.require_region(&link.from)?,
                to: self.require_region(&link.to)?,
                latency: duration::from_seconds(link.latency_ms / 1000.0),
                max_requests_per_s: link.requests_per_s.get(),
                max_bytes_per_s: link.bytes_per_s.get(),
            };
            insert_or_replace(&mut self.links, &mut self.names.links, name, record);
        }
        Ok(())
    }

    fn put_clients<'a>(
        &mut self,
        clients: impl IntoIterator<Item = (IpNet, &'a str)>,
    ) -> Result<(), Error> {
        let blocks = clients
            .into_iter()
            .map(|(block, region)| Ok((block, self.require_region(region)?)))
            .collect::<Result<Vec<_>, Error>>()?;
        self.clients = Arc::new(self.clients.with_blocks(&blocks));
        Ok(())
    }

    fn group_targets_by_site(&self) -> BTreeMap<(ServiceKey, ZoneKey), Site> {
        let mut sites: BTreeMap<(ServiceKey, ZoneKey), Site> = BTreeMap::new();
        for (key, target) in self.targets.iter() {
            if target.state == State::Off {
                continue;
            }
            let site = sites.entry((target.service, target.zone)).or_default();
            site.targets.push(key);
            if self.target_state(key) == State::Serving {
                site.slots += target.slots;
            }
        }
        sites
    }

    fn require_region(&self, name: &str) -> Result<RegionKey, Error> {
        self.region_key(name).ok_or_else(|| Error::UndefinedName {
            kind: "regions",
            name: name.into(),
        })
    }

    fn require_zone(&self, name: &str) -> Result<ZoneKey, Error> {
        self.zone_key(name).ok_or_else(|| Error::UndefinedName {
            kind: "availability_zones",
            name: name.into(),
        })
    }

    fn require_service(&self, name: &str) -> Result<ServiceKey, Error> {
        self.service_key(name).ok_or_else(|| Error::UndefinedName {
            kind: "services",
            name: name.into(),
        })
    }

    /// The key of a region.
    pub fn region_key(&self, name: &str) -> Option<RegionKey> {
        self.names.regions.get(name).copied()
    }

    /// The key of an availability zone.
    pub fn zone_key(&self, name: &str) -> Option<ZoneKey> {
        self.names.zones.get(name).copied()
    }

    /// The key of an entry host, even if the host was removed.
    pub fn host_key(&self, name: &str) -> Option<HostKey> {
        self.names.hosts.get(name).copied()
    }

    /// The key of a service; none if the service was removed.
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.names.services.get(name).copied()
    }

    /// The key of a target, even if the target was removed.
    pub fn target_key(&self, name: &str) -> Option<TargetKey> {
        self.names.targets.get(name).copied()
    }

    /// A region's record.
    pub fn region(&self, key: RegionKey) -> &Region {
        &self.regions[key]
    }

    /// An availability zone's record.
    pub fn zone(&self, key: ZoneKey) -> &Zone {
        &self.zones[key]
    }

    /// An entry host's record.
    pub fn host(&self, key: HostKey) -> &Host {
        &self.hosts[key]
    }

    /// A service's record.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key]
    }

    /// A target's record.
    pub fn target(&self, key: TargetKey) -> &Target {
        &self.targets[key]
    }

    /// All regions, including removed ones.
    pub fn regions(&self) -> impl Iterator<Item = (RegionKey, &Region)> {
        self.regions.iter()
    }

    /// All availability zones, including removed ones.
    pub fn zones(&self) -> impl Iterator<Item = (ZoneKey, &Zone)> {
        self.zones.iter()
    }

    /// All entry hosts, including removed ones.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.hosts.iter()
    }

    /// The services of this revision.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        self.names
            .services
            .values()
            .map(|&key| (key, &self.services[key]))
    }

    /// All targets, including removed ones.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// The links of this revision. Their keys are valid for this revision only.
    pub fn links(&self) -> impl Iterator<Item = (LinkKey, &Link)> {
        self.links.iter()
    }

    /// The link that carries traffic from one region to another.
    pub fn link(&self, from: RegionKey, to: RegionKey) -> Option<&Link> {
        self.links
            .values()
            .find(|link| link.from == from && link.to == to)
    }

    /// The sites of a service: its targets, by availability zone.
    pub fn sites(&self, service: ServiceKey) -> impl Iterator<Item = (ZoneKey, &Site)> {
        let first = (service, ZoneKey::from_raw(0.into()));
        let last = (service, ZoneKey::from_raw(u32::MAX.into()));
        self.sites
            .range(first..=last)
            .map(|(&(_, zone), site)| (zone, site))
    }

    /// The targets of a service in an availability zone.
    pub fn site(&self, service: ServiceKey, zone: ZoneKey) -> Option<&Site> {
        self.sites.get(&(service, zone))
    }

    /// The region of an availability zone.
    pub fn region_of(&self, zone: ZoneKey) -> RegionKey {
        self.zones[zone].region
    }

    /// The effective state of an availability zone: its own or its region's, whichever is later in the
    /// order serving, draining, off.
    pub fn zone_state(&self, key: ZoneKey) -> State {
        let zone = &self.zones[key];
        zone.state.max(self.regions[zone.region].state)
    }

    /// The effective state of an entry host: its own or its zone's effective state, by the same order.
    pub fn host_state(&self, key: HostKey) -> State {
        let host = &self.hosts[key];
        host.state.max(self.zone_state(host.zone))
    }

    /// The effective state of a target: its own or its zone's effective state, by the same order.
    pub fn target_state(&self, key: TargetKey) -> State {
        let target = &self.targets[key];
        target.state.max(self.zone_state(target.zone))
    }

    /// The limits of the whole system.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The client blocks.
    pub fn clients(&self) -> &ClientTable {
        &self.clients
    }
}
