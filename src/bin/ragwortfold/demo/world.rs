//! The system of a customer on loopback ports.
//!
//! Every entry host listens behind links: one for the callers of each region, with their delay, and
//! one for its peers, which tells them apart by source address (each host has an address of its own
//! for peers) and so has the delay of every pair of zones. Each zone reaches the platform over a link.
//! A lost zone is lost to all others: its targets crash, its links reset and refuse; its hosts are not
//! started anew when it returns. Not modelled: delay between a host and its zone's targets, and to the platform.

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

/// The file with the addresses of this run, merged late.
const ADDRESSES: &str = "90-addresses.json";
/// Threads of each host that carry callers' requests, and as many for other hosts' requests.
const WORKERS: u32 = 24;
/// Bodies above this are uploads, in bytes.
const UPLOAD: u64 = 16 << 20;

macro_rules! folder {
    ($customer:literal: $($file:literal)*) => {
        &[$(($file, include_str!(concat!("../../../../examples/", $customer, "/", $file)))),*]
    };
}

/// The files of the customers' folders.
const QUISPE: &[(&str, &str)] = folder!("quispe":
    "00-places.json" "10-hosts.json" "20-services.json" "30-targets-lookups.json"
    "31-targets-bookings.json" "32-targets-telemetry.json" "40-clients.json" "50-links.json"
    "60-limits.json");
const CARONI: &[(&str, &str)] = folder!("caroni":
    "00-places.json" "10-hosts.json" "20-services.json" "30-targets-positions.json"
    "31-targets-allocation.json" "32-targets-documents.json" "40-clients.json" "50-links.json"
    "60-limits.json");

/// Times under way, one way.
#[derive(Clone, Copy)]
struct Delays {
    client: Duration,
    zone: Duration,
    region: Duration,
}

impl Customer {
    fn files(self) -> Files {
        let files = match self {
            Customer::Quispe => QUISPE,
            Customer::Caroni => CARONI,
        };
        let owned = |(name, text): &(&str, &str)| ((*name).into(), (*text).into());
        files.iter().map(owned).collect()
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

/// What kind of work a service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Short and idempotent.
    Query,
    /// Short and at most once.
    Booking,
    /// A large body, at most once.
    Upload,
}

impl Shape {
    /// The service times of its targets.
    pub(crate) fn work(self) -> ServiceTime {
        let (shortest, longest) = match self {
            Shape::Query => (5, 20),
            Shape::Booking => (10, 40),
            Shape::Upload => (50, 150),
        };
        ServiceTime {
            shortest: Duration::from_millis(shortest),
            longest: Duration::from_millis(longest),
        }
    }

    /// The mean service time, in seconds.
    pub(crate) fn mean(self) -> f64 {
        let work = self.work();
        (work.shortest + work.longest).as_secs_f64() / 2.0
    }
}

/// Addresses that an entry host can have.
pub(crate) struct Seat {
    /// Where it listens for callers.
    pub(crate) listen: SocketAddr,
    peer_listen: SocketAddr,
    /// The links from the callers of each region.
    pub(crate) fronts: BTreeMap<Arc<str>, Arc<Link>>,
    /// The link from other hosts.
    pub(crate) peers: Arc<Link>,
}

/// An entry host and its place.
pub(crate) struct Machine {
    /// Its availability zone.
    pub(crate) zone: Arc<str>,
    /// That zone's region.
    pub(crate) region: Arc<str>,
    /// Where its connections to peers come from.
    pub(crate) source: IpAddr,
    /// Its address, and the one it gets when it is replaced.
    pub(crate) seats: Vec<Seat>,
    /// The running process.
    pub(crate) host: Option<Host>,
}

/// All that runs, callers aside.
pub(crate) struct World {
    /// What the operator configured.
    pub(crate) configuration: Configuration,
    /// The same for the observer.
    pub(crate) facts: observer::Deployment,
    /// The platform.
    pub(crate) platform: Platform,
    /// Targets by name.
    pub(crate) targets: BTreeMap<Arc<str>, Target>,
    /// Entry hosts by name.
    pub(crate) machines: BTreeMap<Arc<str>, Machine>,
    /// The operator whose folder it is.
    pub(crate) operator: Operator,
    /// The host that is replaced when that is the fault.
    pub(crate) replaced: Arc<str>,
    uplinks: BTreeMap<Arc<str>, Link>,
    delays: Delays,
    /// Zones that are gone.
    pub(crate) lost: BTreeSet<Arc<str>>,
    /// Zones that are cut off from the others and from the platform.
    pub(crate) cut: BTreeSet<Arc<str>>,
}

impl World {
    /// Starts everything and publishes the configuration.
    pub(crate) fn new(customer: Customer, seed: u64) -> Result<Self, Error> {
        let files = customer.files();
        let configuration = check(&Folder::with_files(files.clone()))?;
        let platform = Platform::new(local(0))?;
        let url = format!("http://{}", platform.address());
        let mut uplinks = BTreeMap::new();
        for zone in configuration.availability_zones.keys() {
            uplinks.insert(
                zone.as_str().into(),
                Link::new(local(0), platform.address())?,
            );
        }
        let names: Vec<Arc<str>> = configuration
            .hosts
            .keys()
            .map(|n| n.as_str().into())
            .collect();
        let replaced = names[seed as usize % names.len()].clone();
        let mut world = Self {
            facts: facts(&configuration),
            targets: targets(&configuration, seed)?,
            machines: BTreeMap::new(),
            operator: Operator::new("operator", &url, files),
            platform,
            replaced,
            uplinks,
            delays: customer.delays(),
            lost: BTreeSet::new(),
            cut: BTreeSet::new(),
            configuration,
        };
        for (number, name) in names.iter().enumerate() {
            let machine = world.machine(name, number)?;
            world.machines.insert(name.clone(), machine);
            world.start(name, 0)?;
        }
        world.tell_hosts(&[]);
        world.set_links(false);
        let addresses = world.addresses(None).to_string();
        world.operator.apply(ADDRESSES, Some(addresses))?;
        Ok(world)
    }

    fn machine(&self, name: &Arc<str>, number: usize) -> Result<Machine, Error> {
        let zone = &self.configuration.hosts[&**name].availability_zone;
        let region = &self.configuration.availability_zones[zone].region;
        let source = IpAddr::from(Ipv4Addr::new(127, 40, 0, number as u8 + 1));
        let seats = if *name == self.replaced { 2 } else { 1 };
        let seats = (0..seats)
            .map(|_| self.seat(source))
            .collect::<Result<_, _>>()?;
        Ok(Machine {
            zone: zone.as_str().into(),
            region: region.as_str().into(),
            source,
            seats,
            host: None,
        })
    }

    fn seat(&self, source: IpAddr) -> Result<Seat, Error> {
        let listen = free_address(Ipv4Addr::LOCALHOST.into()).map_err(Error::System)?;
        let peer_listen = free_address(source).map_err(Error::System)?;
        let mut fronts = BTreeMap::new();
        for region in self.configuration.regions.keys() {
            let link = Link::new(local(0), listen)?.with_source();
            fronts.insert(region.as_str().into(), Arc::new(link));
        }
        Ok(Seat {
            listen,
            peer_listen,
            fronts,
            peers: Arc::new(Link::new(local(0), peer_listen)?),
        })
    }

    /// Starts an entry host at one of its seats.
    pub(crate) fn start(&mut self, name: &str, seat: usize) -> Result<(), Error> {
        let uplinks = &self.uplinks;
        let Some(machine) = self.machines.get_mut(name) else {
            return Ok(());
        };
        let platform = uplinks.get(&machine.zone).map(Link::address);
        let seat = &machine.seats[seat];
        machine.host = Some(Host::new(settings(name, &machine.zone, seat, platform)?)?);
        Ok(())
    }

    /// The addresses of this run, with the second seat of a host that was replaced.
    fn addresses(&self, replaced: Option<&str>) -> Value {
        let hosts: BTreeMap<_, _> = self
            .machines
            .iter()
            .map(|(name, machine)| {
                let is_replaced = replaced == Some(name);
                let seat = &machine.seats[usize::from(is_replaced)];
                let peers = seat.peers.address();
                (
                    name,
                    json!({"address": seat.listen.to_string(), "peer_address": peers.to_string()}),
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

    /// Publishes the address of a host that was replaced.
    pub(crate) fn publish_seat(&mut self, replaced: &str) -> Result<u64, Error> {
        let addresses = self.addresses(Some(replaced)).to_string();
        Ok(self.operator.apply(ADDRESSES, Some(addresses))?)
    }

    /// Tells the platform's host list: all are live, but for those that leave.
    pub(crate) fn tell_hosts(&self, leaving: &[&str]) {
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

    /// Waits until every host says that it is ready and that a configuration is in force.
    pub(crate) fn wait(&self, patience: Duration) -> Result<(), Error> {
        let end = Instant::now() + patience;
        loop {
            let waiting: Vec<&str> = self
                .machines
                .iter()
                .filter(|(_, machine)| {
                    let listen = machine.seats[0].listen;
                    let status = super::watch::status(listen);
                    let has_none = status.is_none_or(|(_, revision)| revision == 0);
                    has_none || !super::watch::is_healthy(listen)
                })
                .map(|(name, _)| &**name)
                .collect();
            if waiting.is_empty() {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(Error::Start(waiting.join(", ")));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sets every link to its delay and to what is lost or cut now. `reset` ends the connections of
    /// lost zones.
    pub(crate) fn set_links(&self, reset: bool) {
        for machine in self.machines.values() {
            let is_lost = self.lost.contains(&machine.zone);
            for seat in &machine.seats {
                for (region, link) in &seat.fronts {
                    let far = if *region == machine.region {
                        Duration::ZERO
                    } else {
                        self.delays.region
                    };
                    link.set_fault(lost(
                        Fault::delay(self.delays.client + far),
                        is_lost,
                        reset,
                        Accept::Refuse,
                    ));
                }
                for other in self.machines.values() {
                    let is_lost = is_lost || self.lost.contains(&other.zone);
                    let fault = lost(self.path(other, machine), is_lost, reset, Accept::Reset);
                    seat.peers.set_fault_from(other.source, fault);
                }
            }
        }
        for (zone, link) in &self.uplinks {
            let fault = Fault::default();
            let fault = if self.cut.contains(zone) {
                fault.with_black_hole()
            } else {
                fault
            };
            link.set_fault(lost(fault, self.lost.contains(zone), reset, Accept::Refuse));
        }
    }

    /// What connections between two hosts meet.
    fn path(&self, from: &Machine, to: &Machine) -> Fault {
        let delay = if from.zone == to.zone {
            Duration::ZERO
        } else if from.region == to.region {
            self.delays.zone
        } else {
            self.delays.region
        };
        let is_cut =
            from.zone != to.zone && (self.cut.contains(&from.zone) || self.cut.contains(&to.zone));
        let fault = Fault::delay(delay);
        if is_cut {
            fault.with_black_hole()
        } else {
            fault
        }
    }

    /// The targets in a zone.
    pub(crate) fn targets_in(&self, zone: &str) -> Vec<Arc<str>> {
        let targets = self.facts.targets.iter();
        let inside = targets.filter(|(_, place)| &*place.zone == zone);
        inside.map(|(name, _)| name.clone()).collect()
    }

    /// The shape of a service's work.
    pub(crate) fn shape(&self, service: &str) -> Shape {
        shape(&self.configuration, service)
    }
}

/// The same link, gone if `is_lost`.
fn lost(fault: Fault, is_lost: bool, reset: bool, accept: Accept) -> Fault {
    if !is_lost {
        return fault;
    }
    Fault {
        accept,
        reset_open: reset,
        ..fault.with_black_hole()
    }
}

fn settings(
    name: &str,
    zone: &str,
    seat: &Seat,
    platform: Option<SocketAddr>,
) -> Result<Settings, Error> {
    let platform = platform.unwrap_or(local(1));
    let text = json!({
        "host": name,
        "availability_zone": zone,
        "listen": seat.listen.to_string(),
        "peer_listen": seat.peer_listen.to_string(),
        "platform": format!("http://{platform}"),
        "peer_secret": "the secret of a demo",
        "pool": {"workers": WORKERS, "relay_workers": WORKERS},
    });
    Ok(with_text("demo", &text.to_string(), &Overrides::default())?)
}

fn facts(configuration: &Configuration) -> observer::Deployment {
    let region = |zone: &str| {
        configuration.availability_zones[zone]
            .region
            .as_str()
            .into()
    };
    let places = configuration.targets.iter().map(|(name, target)| {
        let place = TargetInfo {
            service: target.service.as_str().into(),
            zone: target.availability_zone.as_str().into(),
            region: region(&target.availability_zone),
            slots: target.slots.get(),
        };
        (name.as_str().into(), place)
    });
    observer::Deployment {
        targets: places.collect(),
        planned_cap: cap(configuration, "default"),
        failover_cap: cap(configuration, "failover"),
        utilization: configuration.limits.utilization,
        client_blocks: super::load::CLIENTS.into(),
    }
}

fn cap(configuration: &Configuration, name: &str) -> Cap {
    let cap = configuration.limits.shift.get(name);
    Cap {
        share: cap.map_or(1.0, |cap| cap.share),
        window_us: cap.map_or(1, |cap| u64::from(cap.window_s.get())) * 1_000_000,
    }
}

fn targets(configuration: &Configuration, seed: u64) -> Result<BTreeMap<Arc<str>, Target>, Error> {
    let mut targets = BTreeMap::new();
    for (number, (name, target)) in configuration.targets.iter().enumerate() {
        let work = shape(configuration, &target.service).work();
        let settings = target::Settings::new(name, target.slots.get() as usize)
            .with_zone(&target.availability_zone)
            .with_connections(target.connections.get() as usize)
            .with_service_time(work, seed.wrapping_add(number as u64))
            .with_load_lag(Duration::from_millis(500));
        targets.insert(name.as_str().into(), Target::new(local(0), settings)?);
    }
    Ok(targets)
}

fn shape(configuration: &Configuration, service: &str) -> Shape {
    let service = &configuration.services[service];
    if service.idempotent {
        Shape::Query
    } else if service.max_body_bytes > UPLOAD {
        Shape::Upload
    } else {
        Shape::Booking
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
