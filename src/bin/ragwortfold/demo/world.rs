//! Runs the system of a customer on loopback ports.
//!
//! Every entry host listens behind links: one for the callers of each region, with the delay from that
//! region, and one for its peers. The peer link identifies each peer by its source address (every host
//! connects to peers from an address of its own) and applies the delay between the two zones. Each zone
//! reaches the platform over a link. When a zone is lost, its targets crash and its links reset open
//! connections and refuse new ones; its hosts are not restarted when it returns. Delays between a host
//! and the targets of its zone, and to the platform, are not modelled.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::border::configuration::Configuration;
use ragwortfold::border::settings::Settings;
use ragwortfold::config::settings::{with_text, Overrides};
use ragwortfold::config::{check, Folder};
use ragwortfold::entry::Host;
use ragwortfold::store::publication::Files;
use serde_json::{json, Value};
use standin::free_address;
use standin::link::{Accept, Fault, Link};
use standin::observer::{self, Cap, TargetInfo};
use standin::platform::{self, HostState, Platform};
use standin::target::{self, ServiceTime, Target};

use super::operator::Operator;
use super::{Customer, Error};

/// The configuration file with the addresses of this run; its number places it after the customer's
/// files in the merge order.
const ADDRESSES_FILE: &str = "90-addresses.json";
/// Worker threads of each host for callers' requests, and as many for requests from other hosts.
const WORKERS_PER_HOST: u32 = 24;
/// A service that accepts larger bodies than this, in bytes, is treated as an upload.
const UPLOAD_THRESHOLD_BYTES: u64 = 16 << 20;

/// Includes the named files of a customer's example folder.
macro_rules! folder {
    ($customer:literal: $($file:literal)*) => {
        &[$(($file, include_str!(concat!("../../../../examples/", $customer, "/", $file)))),*]
    };
}

/// The names and texts of the files in the customers' configuration folders.
const QUISPE: &[(&str, &str)] = folder!("quispe":
    "00-places.json" "10-hosts.json" "20-services.json" "30-targets-lookups.json"
    "31-targets-bookings.json" "32-targets-telemetry.json" "40-clients.json" "50-links.json"
    "60-limits.json");
const CARONI: &[(&str, &str)] = folder!("caroni":
    "00-places.json" "10-hosts.json" "20-services.json" "30-targets-positions.json"
    "31-targets-allocation.json" "32-targets-documents.json" "40-clients.json" "50-links.json"
    "60-limits.json");

/// One-way network delays: from a client to its region, between zones of a region, and between regions.
#[derive(Clone, Copy)]
struct Delays {
    client: Duration,
    zone: Duration,
    region: Duration,
}

impl Customer {
    fn configuration_files(self) -> Files {
        let files = match self {
            Customer::Quispe => QUISPE,
            Customer::Caroni => CARONI,
        };
        let to_owned = |(name, text): &(&str, &str)| ((*name).into(), (*text).into());
        files.iter().map(to_owned).collect()
    }

    fn delays(self) -> Delays {
        let (client, zone, region) = match self {
            Customer::Quispe => (1000, 500, 55_000),
            Customer::Caroni => (8000, 1500, 20_000),
        };
        Delays {
            client: Duration::from_micros(client),
            zone: Duration::from_micros(zone),
            region: Duration::from_micros(region),
        }
    }
}

/// The kind of requests that a service handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Short, idempotent requests.
    Query,
    /// Short requests that run at most once.
    Booking,
    /// Requests with large bodies that run at most once.
    Upload,
}

impl RequestKind {
    /// Returns the range of service times of the targets.
    pub(crate) fn service_time(self) -> ServiceTime {
        let (shortest, longest) = match self {
            RequestKind::Query => (5, 20),
            RequestKind::Booking => (10, 40),
            RequestKind::Upload => (50, 150),
        };
        ServiceTime {
            shortest: Duration::from_millis(shortest),
            longest: Duration::from_millis(longest),
        }
    }

    /// Returns the mean service time, in seconds.
    pub(crate) fn mean_service_time_s(self) -> f64 {
        let time = self.service_time();
        (time.shortest + time.longest).as_secs_f64() / 2.0
    }
}

/// The addresses at which an entry host can run, and the links in front of them.
pub(crate) struct Endpoint {
    /// Where the host listens for callers.
    pub(crate) listen: SocketAddr,
    peer_listen: SocketAddr,
    /// The links from the callers of each region.
    pub(crate) caller_links: BTreeMap<Arc<str>, Arc<Link>>,
    /// The link from other hosts.
    pub(crate) peer_link: Arc<Link>,
}

/// An entry host, its location and its addresses.
pub(crate) struct Machine {
    /// The host's availability zone.
    pub(crate) zone: Arc<str>,
    /// The zone's region.
    pub(crate) region: Arc<str>,
    /// The source address of the host's connections to peers.
    pub(crate) source: IpAddr,
    /// The endpoint of the host; if it can be replaced, also that of its replacement.
    pub(crate) endpoints: Vec<Endpoint>,
    /// The running host; `None` while it is stopped.
    pub(crate) host: Option<Host>,
}

/// The running system without its callers.
pub(crate) struct World {
    /// The configuration of the customer.
    pub(crate) configuration: Configuration,
    /// The deployment, as the observer needs it.
    pub(crate) deployment: observer::Deployment,
    /// The platform.
    pub(crate) platform: Platform,
    /// Targets by name.
    pub(crate) targets: BTreeMap<Arc<str>, Target>,
    /// Entry hosts by name.
    pub(crate) machines: BTreeMap<Arc<str>, Machine>,
    /// The operator that publishes the configuration.
    pub(crate) operator: Operator,
    /// The host that the fault `host-replace` replaces.
    pub(crate) replaced_host: Arc<str>,
    /// The links to the platform by zone.
    platform_links: BTreeMap<Arc<str>, Link>,
    delays: Delays,
    /// Zones that are lost.
    pub(crate) lost_zones: BTreeSet<Arc<str>>,
    /// Zones that are partitioned from the others and from the platform.
    pub(crate) partitioned_zones: BTreeSet<Arc<str>>,
}

impl World {
    /// Starts the platform, the targets and the hosts, and publishes the configuration.
    pub(crate) fn new(customer: Customer, seed: u64) -> Result<Self, Error> {
        let files = customer.configuration_files();
        let configuration = check(&Folder::with_files(files.clone()))?;
        let platform = Platform::new(loopback(0))?;
        let url = format!("http://{}", platform.address());
        let mut platform_links = BTreeMap::new();
        for zone in configuration.availability_zones.keys() {
            platform_links.insert(
                zone.as_str().into(),
                Link::new(loopback(0), platform.address())?,
            );
        }
        let names: Vec<Arc<str>> = configuration
            .hosts
            .keys()
            .map(|n| n.as_str().into())
            .collect();
        let replaced_host = names[seed as usize % names.len()].clone();
        let mut world = Self {
            deployment: deployment(&configuration),
            targets: start_targets(&configuration, seed)?,
            machines: BTreeMap::new(),
            operator: Operator::new("operator", &url, files),
            platform,
            replaced_host,
            platform_links,
            delays: customer.delays(),
            lost_zones: BTreeSet::new(),
            partitioned_zones: BTreeSet::new(),
            configuration,
        };
        for (number, name) in names.iter().enumerate() {
            let machine = world.build_machine(name, number)?;
            world.machines.insert(name.clone(), machine);
            world.start_host(name, 0)?;
        }
        world.publish_hosts(&[]);
        world.set_links(false);
        let addresses = world.addresses(None).to_string();
        world.operator.apply(ADDRESSES_FILE, Some(addresses))?;
        Ok(world)
    }

    /// Allocates the endpoints of a host; the host is not started yet.
    fn build_machine(&self, name: &Arc<str>, number: usize) -> Result<Machine, Error> {
        let zone = &self.configuration.hosts[&**name].availability_zone;
        let region = &self.configuration.availability_zones[zone].region;
        let source = IpAddr::from(Ipv4Addr::new(127, 40, 0, number as u8 + 1));
        let endpoint_count = if *name == self.replaced_host { 2 } else { 1 };
        let endpoints = (0..endpoint_count)
            .map(|_| self.build_endpoint(source))
            .collect::<Result<_, _>>()?;
        Ok(Machine {
            zone: zone.as_str().into(),
            region: region.as_str().into(),
            source,
            endpoints,
            host: None,
        })
    }

    /// Allocates the ports of an endpoint and starts its links.
    fn build_endpoint(&self, source: IpAddr) -> Result<Endpoint, Error> {
        let listen = free_address(Ipv4Addr::LOCALHOST.into()).map_err(Error::System)?;
        let peer_listen = free_address(source).map_err(Error::System)?;
        let mut caller_links = BTreeMap::new();
        for region in self.configuration.regions.keys() {
            let link = Link::new(loopback(0), listen)?.with_source();
            caller_links.insert(region.as_str().into(), Arc::new(link));
        }
        Ok(Endpoint {
            listen,
            peer_listen,
            caller_links,
            peer_link: Arc::new(Link::new(loopback(0), peer_listen)?),
        })
    }

    /// Starts an entry host at the endpoint with this index.
    pub(crate) fn start_host(&mut self, name: &str, index: usize) -> Result<(), Error> {
        let platform_links = &self.platform_links;
        let Some(machine) = self.machines.get_mut(name) else {
            return Ok(());
        };
        let platform = platform_links.get(&machine.zone).map(Link::address);
        let endpoint = &machine.endpoints[index];
        machine.host = Some(Host::new(host_settings(
            name,
            &machine.zone,
            endpoint,
            platform,
        )?)?);
        Ok(())
    }

    /// Returns the configuration with the addresses of this run; for `replaced_host`, those of its
    /// replacement.
    fn addresses(&self, replaced_host: Option<&str>) -> Value {
        let hosts: BTreeMap<_, _> = self
            .machines
            .iter()
            .map(|(name, machine)| {
                let is_replaced = replaced_host == Some(name);
                let endpoint = &machine.endpoints[usize::from(is_replaced)];
                let peer_address = endpoint.peer_link.address();
                (
                    name,
                    json!({"address": endpoint.listen.to_string(), "peer_address": peer_address.to_string()}),
                )
            })
            .collect();
        let targets: BTreeMap<_, _> = self
            .targets
            .iter()
            .map(|(name, target)| (name, json!({"address": target.address().to_string()})))
            .collect();
        json!({"hosts": hosts, "targets": targets})
    }

    /// Publishes the addresses of the replacement of a host. Returns the new revision.
    pub(crate) fn publish_replacement(&mut self, replaced_host: &str) -> Result<u64, Error> {
        let addresses = self.addresses(Some(replaced_host)).to_string();
        Ok(self.operator.apply(ADDRESSES_FILE, Some(addresses))?)
    }

    /// Sets the platform's host list: all hosts are live, except those in `leaving`.
    pub(crate) fn publish_hosts(&self, leaving: &[&str]) {
        let hosts = self.machines.keys().map(|name| platform::Host {
            host: name.clone(),
            state: if leaving.contains(&&**name) {
                HostState::Leaving
            } else {
                HostState::Live
            },
        });
        self.platform.set_hosts(hosts.collect());
    }

    /// Waits until every host reports that it is ready and has a configuration in force.
    ///
    /// # Errors
    ///
    /// Names the hosts that are not ready when the timeout has passed.
    pub(crate) fn wait_until_ready(&self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let waiting: Vec<&str> = self
                .machines
                .iter()
                .filter(|(_, machine)| {
                    let listen = machine.endpoints[0].listen;
                    let status = super::watch::fetch_status(listen);
                    let has_none = status.is_none_or(|(_, revision)| revision == 0);
                    has_none || !super::watch::is_healthy(listen)
                })
                .map(|(name, _)| &**name)
                .collect();
            if waiting.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(Error::StartupTimeout(waiting.join(", ")));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sets the delay of every link, and the faults of lost and partitioned zones. `reset_open` resets the
    /// open connections of lost zones.
    pub(crate) fn set_links(&self, reset_open: bool) {
        for machine in self.machines.values() {
            let is_lost = self.lost_zones.contains(&machine.zone);
            for endpoint in &machine.endpoints {
                for (region, link) in &endpoint.caller_links {
                    let region_delay = if *region == machine.region {
                        Duration::ZERO
                    } else {
                        self.delays.region
                    };
                    link.set_fault(with_loss(
                        Fault::delay(self.delays.client + region_delay),
                        is_lost,
                        reset_open,
                        Accept::Refuse,
                    ));
                }
                for other in self.machines.values() {
                    let is_lost = is_lost || self.lost_zones.contains(&other.zone);
                    let fault = with_loss(
                        self.peer_fault(other, machine),
                        is_lost,
                        reset_open,
                        Accept::Reset,
                    );
                    endpoint.peer_link.set_fault_from(other.source, fault);
                }
            }
        }
        for (zone, link) in &self.platform_links {
            let fault = Fault::default();
            let fault = if self.partitioned_zones.contains(zone) {
                fault.with_black_hole()
            } else {
                fault
            };
            link.set_fault(with_loss(
                fault,
                self.lost_zones.contains(zone),
                reset_open,
                Accept::Refuse,
            ));
        }
    }

    /// Returns the delay of connections between two hosts, or a black hole if they are partitioned.
    fn peer_fault(&self, from: &Machine, to: &Machine) -> Fault {
        let delay = if from.zone == to.zone {
            Duration::ZERO
        } else if from.region == to.region {
            self.delays.zone
        } else {
            self.delays.region
        };
        let is_partitioned = from.zone != to.zone
            && (self.partitioned_zones.contains(&from.zone)
                || self.partitioned_zones.contains(&to.zone));
        let fault = Fault::delay(delay);
        if is_partitioned {
            fault.with_black_hole()
        } else {
            fault
        }
    }

    /// Returns the names of the targets in a zone.
    pub(crate) fn targets_in(&self, zone: &str) -> Vec<Arc<str>> {
        let targets = self.deployment.targets.iter();
        let in_zone = targets.filter(|(_, target)| &*target.zone == zone);
        in_zone.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the kind of requests that a service handles.
    pub(crate) fn request_kind(&self, service: &str) -> RequestKind {
        request_kind(&self.configuration, service)
    }
}

/// Returns `fault`; if `is_lost`, as a black hole that handles new connections by `accept` and, if
/// `reset_open`, resets open ones.
fn with_loss(fault: Fault, is_lost: bool, reset_open: bool, accept: Accept) -> Fault {
    if !is_lost {
        return fault;
    }
    Fault {
        accept,
        reset_open,
        ..fault.with_black_hole()
    }
}

/// Returns the settings of an entry host at an endpoint.
fn host_settings(
    name: &str,
    zone: &str,
    endpoint: &Endpoint,
    platform: Option<SocketAddr>,
) -> Result<Settings, Error> {
    let platform = platform.unwrap_or(loopback(1));
    let text = json!({
        "host": name,
        "availability_zone": zone,
        "listen": endpoint.listen.to_string(),
        "peer_listen": endpoint.peer_listen.to_string(),
        "platform": format!("http://{platform}"),
        "peer_secret": "the secret of a demo",
        "pool": {"workers": WORKERS_PER_HOST, "relay_workers": WORKERS_PER_HOST},
    });
    Ok(with_text("demo", &text.to_string(), &Overrides::default())?)
}

/// Converts the configuration to the deployment that the observer checks.
fn deployment(configuration: &Configuration) -> observer::Deployment {
    let region = |zone: &str| {
        configuration.availability_zones[zone]
            .region
            .as_str()
            .into()
    };
    let targets = configuration.targets.iter().map(|(name, target)| {
        let info = TargetInfo {
            service: target.service.as_str().into(),
            zone: target.availability_zone.as_str().into(),
            region: region(&target.availability_zone),
            slots: target.slots.get(),
        };
        (name.as_str().into(), info)
    });
    observer::Deployment {
        targets: targets.collect(),
        planned_cap: shift_cap(configuration, "default"),
        failover_cap: shift_cap(configuration, "failover"),
        utilization: configuration.limits.utilization,
        client_blocks: super::load::CLIENTS_PER_REGION.into(),
    }
}

/// Returns the configured shift cap with this name, or one that allows every shift if there is none.
fn shift_cap(configuration: &Configuration, name: &str) -> Cap {
    let cap = configuration.limits.shift.get(name);
    Cap {
        share: cap.map_or(1.0, |cap| cap.share),
        window_us: cap.map_or(1, |cap| u64::from(cap.window_s.get())) * 1_000_000,
    }
}

/// Starts all configured targets.
fn start_targets(
    configuration: &Configuration,
    seed: u64,
) -> Result<BTreeMap<Arc<str>, Target>, Error> {
    let mut targets = BTreeMap::new();
    for (number, (name, target)) in configuration.targets.iter().enumerate() {
        let service_time = request_kind(configuration, &target.service).service_time();
        let settings = target::Settings::new(name, target.slots.get() as usize)
            .with_zone(&target.availability_zone)
            .with_connections(target.connections.get() as usize)
            .with_service_time(service_time, seed.wrapping_add(number as u64))
            .with_load_lag(Duration::from_millis(500));
        targets.insert(name.as_str().into(), Target::new(loopback(0), settings)?);
    }
    Ok(targets)
}

/// Returns the kind of requests that a service handles.
fn request_kind(configuration: &Configuration, service: &str) -> RequestKind {
    let service = &configuration.services[service];
    if service.idempotent {
        RequestKind::Query
    } else if service.max_body_bytes > UPLOAD_THRESHOLD_BYTES {
        RequestKind::Upload
    } else {
        RequestKind::Booking
    }
}

/// Returns the loopback address with this port; 0 lets the system choose a free one.
fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
