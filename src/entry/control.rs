//! Connects the core to the control agent: feeds events to the agent and carries out its outputs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use rand::Rng;

use super::config_sync::{ConfigEvent, EventSender};
use super::platform::StoreCommand;
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, State, ZoneKey};
use crate::control::agent::{Agent, Output};
use crate::control::membership::{Listing, ZoneStatus};
use crate::control::plan::PlanRecord;
use crate::control::summary::Load;
use crate::control::wire::Frame;
use crate::control::{lease, publish};
use crate::peer::frame::{Fetch, Message, Split as Share, Splits};
use crate::peer::mesh::{Event, Mesh};
use crate::steer::goal::{View, ZoneHealth};
use crate::steer::quarantine::Notice;
use crate::steer::split::Split;
use crate::steer::throttle;
use crate::store::client::{Host, HostState};

/// Maximum age of a zone's load measurement.
const MAX_LOAD_AGE: Duration = Duration::from_secs(16);

/// Distance to the plan's split up to which a split counts as having reached it.
const SPLIT_TOLERANCE: f64 = 0.01;

/// The splits of services by locality.
pub(crate) type SplitTable = BTreeMap<(ServiceKey, RegionKey), Split>;

/// Updates from other hosts and the agent that the core has to apply.
#[derive(Default)]
pub(crate) struct ControlUpdate {
    /// The live hosts, the state of zones or the plan changed.
    pub(crate) is_view_changed: bool,
    /// Hosts that may need this host's splits.
    pub(crate) joined_hosts: Vec<HostKey>,
    /// The splits of another host.
    pub(crate) splits: Option<SplitTable>,
    /// Notices about requests that crash targets, with the host that sent each.
    pub(crate) notices: Vec<(HostKey, Notice)>,
    /// Rates stated by targets, with the host that sent each.
    pub(crate) rates: Vec<(HostKey, throttle::RateUpdate)>,
}

/// The links and the agent of one host.
pub(crate) struct Control {
    host: Arc<str>,
    incarnation: u64,
    agent: Option<Agent>,
    mesh: Option<Arc<Mesh>>,
    linked: BTreeSet<Arc<str>>,
    store_commands: Sender<StoreCommand>,
    config_events: EventSender,
    is_delegate: Arc<AtomicBool>,
    catalog: Arc<Catalog>,
}

impl Control {
    pub(crate) fn new(
        host: &str,
        incarnation: u64,
        store_commands: Sender<StoreCommand>,
        config_events: EventSender,
        is_delegate: Arc<AtomicBool>,
    ) -> Self {
        Self {
            host: host.into(),
            incarnation,
            agent: None,
            mesh: None,
            linked: BTreeSet::new(),
            store_commands,
            config_events,
            is_delegate,
            catalog: Arc::default(),
        }
    }

    /// Sets the mesh, and passes it to the thread that synchronizes the configuration.
    pub(crate) fn set_mesh(&mut self, mesh: Arc<Mesh>) {
        self.mesh = Some(mesh.clone());
        let _ = self.config_events.send(ConfigEvent::Mesh(mesh));
    }

    /// Returns the agent; none until a configuration names this host.
    pub(crate) fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }

    /// Applies a configuration; creates the agent at the first one that names this host.
    pub(crate) fn configure(&mut self, now: Instant, catalog: &Arc<Catalog>) {
        self.catalog = catalog.clone();
        let Some(own) = catalog.host_key(&self.host) else {
            spdlog::warn!("control: the configuration does not name this host");
            return;
        };
        if let Some(mesh) = &self.mesh {
            mesh.set_directory(peer_addresses(catalog));
        }
        match &mut self.agent {
            Some(agent) => agent.apply_catalog(now, catalog.clone()),
            None => {
                let mut agent = Agent::new(now, own, self.incarnation, catalog.clone());
                for host in &self.linked {
                    if let Some(host) = catalog.host_key(host) {
                        agent.link_up(now, host);
                    }
                }
                self.agent = Some(agent);
            }
        }
    }

    /// Notifies the agent that this host is leaving.
    pub(crate) fn leave(&mut self, now: Instant) {
        if let Some(agent) = &mut self.agent {
            agent.leave(now);
        }
    }

    /// Applies the platform's list of hosts.
    pub(crate) fn apply_host_list(&mut self, now: Instant, hosts: &[Host]) {
        let Some(agent) = &mut self.agent else {
            return;
        };
        // An empty list means that the platform has no information, not that no host is running.
        if hosts.is_empty() {
            return;
        }
        let states: BTreeMap<&str, HostState> =
            hosts.iter().map(|host| (&*host.host, host.state)).collect();
        for (key, host) in self.catalog.hosts() {
            let listing = match states.get(&*host.name) {
                Some(HostState::Live) => Listing::Live,
                Some(HostState::Leaving) => Listing::Leaving,
                None => Listing::Absent,
            };
            agent.set_listing(now, key, listing);
        }
    }

    /// Handles a link event or a message from another host.
    pub(crate) fn handle_peer_event(&mut self, now: Instant, event: Event) -> ControlUpdate {
        let mut update = ControlUpdate::default();
        match event {
            Event::Up { host, .. } => self.handle_link_up(now, host),
            Event::Down { host, .. } => {
                self.linked.remove(&host);
                if let (Some(agent), Some(key)) = (&mut self.agent, self.catalog.host_key(&host)) {
                    agent.link_down(now, key);
                }
            }
            Event::Control { host, message, .. } => match message {
                Message::Control(frame) => {
                    let key = self.catalog.host_key(&host);
                    if let (Some(agent), Some(key)) = (&mut self.agent, key) {
                        agent.receive(now, key, frame, self.catalog.revision);
                    }
                }
                Message::Splits(splits) => update.splits = Some(self.read_splits(&splits)),
                message => {
                    let _ = self.config_events.send(ConfigEvent::Message(host, message));
                }
            },
            Event::Open(_) | Event::TaskFailed { .. } => {}
        }
        update
    }

    fn handle_link_up(&mut self, now: Instant, host: Arc<str>) {
        let key = self.catalog.host_key(&host);
        match (&mut self.agent, key) {
            (Some(agent), Some(key)) => agent.link_up(now, key),
            _ => {
                // Without a configuration, ask each host that links up for a newer one.
                let fetch = Fetch {
                    revision: Some(self.catalog.revision + 1),
                    files: Vec::new(),
                };
                self.send(&host, &Message::Fetch(fetch));
            }
        }
        self.linked.insert(host);
    }

    /// Passes the result of a lease operation to the agent.
    pub(crate) fn handle_lease_event(
        &mut self,
        now: Instant,
        event: lease::Event,
        rng: &mut impl Rng,
    ) {
        if let Some(agent) = &mut self.agent {
            agent.handle_lease_event(now, event, rng);
        }
    }

    /// Passes the result of a plan operation to the agent.
    pub(crate) fn handle_publish_event(
        &mut self,
        now: Instant,
        event: publish::Event,
        rng: &mut impl Rng,
    ) {
        if let Some(agent) = &mut self.agent {
            agent.handle_publish_event(now, event, rng);
        }
    }

    /// Passes the plan read from the store to the agent.
    pub(crate) fn adopt_stored_plan(&mut self, now: Instant, record: PlanRecord) {
        if let Some(agent) = &mut self.agent {
            agent.adopt_stored_plan(now, record);
        }
    }

    /// Passes this zone's loads to the agent, and the services whose splits still differ from the plan.
    pub(crate) fn measure(
        &mut self,
        now: Instant,
        loads: BTreeMap<ServiceKey, Load>,
        shares: &SplitTable,
    ) {
        if let Some(agent) = &mut self.agent {
            let unsettled_services = agent
                .splits()
                .into_iter()
                .filter(|(key, planned)| {
                    let planned = Split::new(&self.catalog, planned.clone());
                    shares
                        .get(key)
                        .is_some_and(|split| split.distance(&planned) > SPLIT_TOLERANCE)
                })
                .map(|((service, _), _)| service)
                .collect();
            agent.set_loads(now, loads, unsettled_services);
        }
    }

    /// Runs the agent's due work and applies its outputs.
    pub(crate) fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> ControlUpdate {
        let mut update = ControlUpdate::default();
        let Some(agent) = &mut self.agent else {
            return update;
        };
        let outputs = agent.tick(now, self.catalog.revision, rng);
        for output in outputs {
            self.apply_output(output, &mut update);
        }
        update
    }

    fn apply_output(&mut self, output: Output, update: &mut ControlUpdate) {
        match output {
            Output::Send(hosts, frame) => self.broadcast(&hosts, &Message::Control(frame)),
            Output::Links(hosts) => self.set_links(&hosts),
            Output::Lease(command) => {
                let _ = self.store_commands.send(StoreCommand::Lease(command));
            }
            Output::Plan(command, record) => {
                let _ = self
                    .store_commands
                    .send(StoreCommand::Plan(command, record));
            }
            Output::Joined(host) => update.joined_hosts.push(host),
            Output::Newer(host, revision) => {
                let name = self.catalog.host(host).name.clone();
                let _ = self
                    .config_events
                    .send(ConfigEvent::NewerRevision(name, revision));
            }
            Output::Changed | Output::Planned => update.is_view_changed = true,
            Output::Notices(host, notices) => {
                update
                    .notices
                    .extend(notices.into_iter().map(|notice| (host, notice)));
            }
            Output::Rates(host, rates) => {
                update
                    .rates
                    .extend(rates.into_iter().map(|rate| (host, rate)));
            }
        }
        if let Some(agent) = &self.agent {
            self.is_delegate
                .store(agent.is_delegate(), Ordering::Relaxed);
        }
    }

    fn set_links(&self, hosts: &BTreeSet<HostKey>) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        let peers = hosts
            .iter()
            .map(|&host| self.catalog.host(host))
            .map(|host| (host.name.clone(), host.peer_address))
            .collect();
        mesh.set_peers(peers);
    }

    fn broadcast(&self, hosts: &[HostKey], message: &Message) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        let names = hosts.iter().map(|&host| &*self.catalog.host(host).name);
        if let Err(error) = mesh.broadcast(names, message) {
            spdlog::warn!("control: {error}");
        }
    }

    fn send(&self, host: &str, message: &Message) {
        if let Some(mesh) = &self.mesh {
            if let Err(error) = mesh.send(host, message) {
                spdlog::debug!("control: {error}");
            }
        }
    }

    /// Broadcasts notices or rates to other hosts, apart from `source`, which sent them.
    pub(crate) fn broadcast_update(&mut self, frame: Frame, source: Option<HostKey>) {
        if let Some(agent) = &mut self.agent {
            agent.broadcast(frame, source);
        }
    }

    /// Sends the known notices and rates to newly joined hosts.
    pub(crate) fn send_notices_and_rates(
        &self,
        hosts: &[HostKey],
        notices: Vec<Notice>,
        rates: Vec<throttle::RateUpdate>,
    ) {
        if hosts.is_empty() {
            return;
        }
        if !notices.is_empty() {
            self.broadcast(hosts, &Message::Control(Frame::Notices(notices)));
        }
        if !rates.is_empty() {
            self.broadcast(hosts, &Message::Control(Frame::Rates(rates)));
        }
    }

    /// Sends this host's splits to newly joined hosts.
    pub(crate) fn send_splits(&self, hosts: &[HostKey], shares: &SplitTable) {
        if hosts.is_empty() || shares.is_empty() {
            return;
        }
        let splits = shares
            .iter()
            .map(|(&(service, locality), split)| Share {
                service: self.catalog.service(service).name.to_string(),
                locality: self.catalog.region(locality).name.to_string(),
                shares: split
                    .shares()
                    .map(|(zone, share)| (self.catalog.zone(zone).name.to_string(), share))
                    .collect(),
            })
            .collect();
        self.broadcast(hosts, &Message::Splits(Splits { splits }));
    }

    fn read_splits(&self, splits: &Splits) -> SplitTable {
        let catalog = &self.catalog;
        let mut shares = SplitTable::new();
        for split in &splits.splits {
            let service = catalog.service_key(&split.service);
            let locality = catalog.region_key(&split.locality);
            let (Some(service), Some(locality)) = (service, locality) else {
                continue;
            };
            let zones = split
                .shares
                .iter()
                .filter_map(|(zone, &share)| Some((catalog.zone_key(zone)?, share)));
            shares.insert((service, locality), Split::new(catalog, zones));
        }
        shares
    }

    /// Returns the free fraction of each region's slots, over zones whose load is at most [`MAX_LOAD_AGE`] old.
    pub(crate) fn region_headroom(&self, now: Instant) -> BTreeMap<RegionKey, f64> {
        let mut sums: BTreeMap<RegionKey, (f64, f64)> = BTreeMap::new();
        let Some(agent) = &self.agent else {
            return BTreeMap::new();
        };
        for (service, _) in self.catalog.services() {
            for (zone, _) in self.catalog.sites(service) {
                let Some((load, _)) = agent
                    .load(now, service, zone)
                    .filter(|&(_, age)| age < MAX_LOAD_AGE)
                else {
                    continue;
                };
                let sum = sums.entry(self.catalog.region_of(zone)).or_default();
                sum.0 += f64::from(load.in_flight + load.queued);
                sum.1 += f64::from(load.live);
            }
        }
        sums.into_iter()
            .filter(|(_, (_, slots))| *slots > 0.0)
            .map(|(region, (used, slots))| (region, (1.0 - used / slots).clamp(0.0, 1.0)))
            .collect()
    }

    /// Returns the state of the zones, and the free slots of their sites below the configured utilization.
    pub(crate) fn view(&self, now: Instant) -> (View, BTreeMap<(ServiceKey, ZoneKey), u32>) {
        let mut view = View::default();
        let mut free = BTreeMap::new();
        let Some(agent) = &self.agent else {
            return (view, free);
        };
        for (zone, status) in agent.zone_statuses() {
            let zone_health = match to_zone_health(status) {
                // Zones often fail together: no traffic moves to a zone that sends no messages, since it may be lost next.
                ZoneHealth::Alive if !agent.is_heard(zone) => ZoneHealth::Unknown,
                zone_health => zone_health,
            };
            view.zones.insert(zone, zone_health);
        }
        let utilization = self.catalog.limits().utilization;
        for (service, _) in self.catalog.services() {
            for (zone, _) in self.catalog.sites(service) {
                let Some((load, age)) = agent.load(now, service, zone) else {
                    continue;
                };
                if age < MAX_LOAD_AGE {
                    view.slots.insert((service, zone), load.live.round() as u32);
                    let used = f64::from(load.in_flight + load.queued);
                    let free_slots = f64::from(load.live) * utilization - used;
                    free.insert((service, zone), free_slots.max(0.0) as u32);
                }
            }
        }
        view.plan = agent
            .splits()
            .into_iter()
            .map(|(key, shares)| (key, Split::new(&self.catalog, shares)))
            .collect();
        (view, free)
    }
}

fn to_zone_health(status: ZoneStatus) -> ZoneHealth {
    match status {
        ZoneStatus::Alive => ZoneHealth::Alive,
        ZoneStatus::Lost => ZoneHealth::Lost,
        ZoneStatus::Unknown(_) => ZoneHealth::Unknown,
    }
}

/// Returns the peer address of each host that is not off.
fn peer_addresses(catalog: &Catalog) -> BTreeMap<Arc<str>, SocketAddr> {
    catalog
        .hosts()
        .filter(|(_, host)| host.state != State::Off)
        .map(|(_, host)| (host.name.clone(), host.peer_address))
        .collect()
}
