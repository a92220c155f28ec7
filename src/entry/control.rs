//! The core's side of control: what the agent wants done is done here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use rand::Rng;

use super::config_sync::{News, Queue};
use super::platform::Ask;
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, State, ZoneKey};
use crate::control::agent::{Agent, Output};
use crate::control::membership::{Listing, ZoneStatus};
use crate::control::plan::Record;
use crate::control::summary::Load;
use crate::control::wire::Frame;
use crate::control::{lease, publish};
use crate::peer::frame::{Fetch, Message, Split as Share, Splits};
use crate::peer::mesh::{Event, Mesh};
use crate::steer::goal::{Standing, View};
use crate::steer::quarantine::Notice;
use crate::steer::split::Split;
use crate::steer::throttle;
use crate::store::client::{Host, HostState};

/// Age up to which a zone's measurement is used.
const FRESH: Duration = Duration::from_secs(16);

/// Distance to the split of the plan up to which it counts as reached.
const REACHED: f64 = 0.01;

/// The splits of services by locality.
pub(crate) type Shares = BTreeMap<(ServiceKey, RegionKey), Split>;

/// What the core is to take in.
#[derive(Default)]
pub(crate) struct Change {
    /// Who is alive or what is known of zones changed.
    pub(crate) picture: bool,
    /// Hosts that may need this host's splits.
    pub(crate) joined: Vec<HostKey>,
    /// The splits of another host.
    pub(crate) splits: Option<Shares>,
    /// What hosts told of requests that crash targets.
    pub(crate) notes: Vec<(HostKey, Notice)>,
    /// What hosts told of targets that name the rate that they take.
    pub(crate) rates: Vec<(HostKey, throttle::RateUpdate)>,
}

/// The links and the agent of one host.
pub(crate) struct Control {
    host: Arc<str>,
    incarnation: u64,
    agent: Option<Agent>,
    mesh: Option<Arc<Mesh>>,
    linked: BTreeSet<Arc<str>>,
    platform: Sender<Ask>,
    feed: Queue,
    delegate: Arc<AtomicBool>,
    catalog: Arc<Catalog>,
}

impl Control {
    pub(crate) fn new(
        host: &str,
        incarnation: u64,
        platform: Sender<Ask>,
        feed: Queue,
        delegate: Arc<AtomicBool>,
    ) -> Self {
        Self {
            host: host.into(),
            incarnation,
            agent: None,
            mesh: None,
            linked: BTreeSet::new(),
            platform,
            feed,
            delegate,
            catalog: Arc::default(),
        }
    }

    /// The links are there.
    pub(crate) fn set_mesh(&mut self, mesh: Arc<Mesh>) {
        self.mesh = Some(mesh.clone());
        let _ = self.feed.send(News::Mesh(mesh));
    }

    /// The agent, once a configuration names this host.
    pub(crate) fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }

    /// Takes in a configuration.
    pub(crate) fn configure(&mut self, now: Instant, catalog: &Arc<Catalog>) {
        self.catalog = catalog.clone();
        let Some(own) = catalog.host_key(&self.host) else {
            spdlog::warn!("control: the configuration does not name this host");
            return;
        };
        if let Some(mesh) = &self.mesh {
            mesh.set_directory(directory(catalog));
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

    /// This host takes no new work any more.
    pub(crate) fn leave(&mut self, now: Instant) {
        if let Some(agent) = &mut self.agent {
            agent.leave(now);
        }
    }

    /// What the platform lists.
    pub(crate) fn listed(&mut self, now: Instant, hosts: &[Host]) {
        let Some(agent) = &mut self.agent else {
            return;
        };
        // An empty list says that nothing is known, not that nobody is there.
        if hosts.is_empty() {
            return;
        }
        let listed: BTreeMap<&str, HostState> =
            hosts.iter().map(|host| (&*host.host, host.state)).collect();
        for (key, host) in self.catalog.hosts() {
            let listing = match listed.get(&*host.name) {
                Some(HostState::Live) => Listing::Live,
                Some(HostState::Leaving) => Listing::Leaving,
                None => Listing::Absent,
            };
            agent.set_listing(now, key, listing);
        }
    }

    /// What happened on the links.
    pub(crate) fn peer(&mut self, now: Instant, event: Event) -> Change {
        let mut change = Change::default();
        match event {
            Event::Up { host, .. } => self.up(now, host),
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
                Message::Splits(splits) => change.splits = Some(self.read_splits(&splits)),
                message => {
                    let _ = self.feed.send(News::Message(host, message));
                }
            },
            Event::Open(_) => {}
        }
        change
    }

    fn up(&mut self, now: Instant, host: Arc<str>) {
        let key = self.catalog.host_key(&host);
        match (&mut self.agent, key) {
            (Some(agent), Some(key)) => agent.link_up(now, key),
            _ => {
                // A host without a configuration asks whoever links it.
                let fetch = Fetch {
                    revision: Some(self.catalog.revision + 1),
                    files: Vec::new(),
                };
                self.send(&host, &Message::Fetch(fetch));
            }
        }
        self.linked.insert(host);
    }

    /// The outcome of a question about the lease.
    pub(crate) fn leased(&mut self, now: Instant, event: lease::Event, rng: &mut impl Rng) {
        if let Some(agent) = &mut self.agent {
            agent.handle_lease_event(now, event, rng);
        }
    }

    /// The outcome of a question about the plan.
    pub(crate) fn published(&mut self, now: Instant, event: publish::Event, rng: &mut impl Rng) {
        if let Some(agent) = &mut self.agent {
            agent.handle_publish_event(now, event, rng);
        }
    }

    /// The plan that was found in the store.
    pub(crate) fn stored(&mut self, now: Instant, record: Record) {
        if let Some(agent) = &mut self.agent {
            agent.adopt_stored_plan(now, record);
        }
    }

    /// Tells the agent what was measured here.
    pub(crate) fn measure(
        &mut self,
        now: Instant,
        loads: BTreeMap<ServiceKey, Load>,
        shares: &Shares,
    ) {
        if let Some(agent) = &mut self.agent {
            let moving = agent
                .splits()
                .into_iter()
                .filter(|(key, goal)| {
                    let goal = Split::new(&self.catalog, goal.clone());
                    shares
                        .get(key)
                        .is_some_and(|split| split.distance(&goal) > REACHED)
                })
                .map(|((service, _), _)| service)
                .collect();
            agent.set_loads(now, loads, moving);
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Change {
        let mut change = Change::default();
        let Some(agent) = &mut self.agent else {
            return change;
        };
        let outputs = agent.tick(now, self.catalog.revision, rng);
        for output in outputs {
            self.carry_out(output, &mut change);
        }
        change
    }

    fn carry_out(&mut self, output: Output, change: &mut Change) {
        match output {
            Output::Send(hosts, frame) => self.broadcast(&hosts, &Message::Control(frame)),
            Output::Links(hosts) => self.link(&hosts),
            Output::Lease(command) => {
                let _ = self.platform.send(Ask::Lease(command));
            }
            Output::Plan(command, record) => {
                let _ = self.platform.send(Ask::Plan(command, record));
            }
            Output::Joined(host) => change.joined.push(host),
            Output::Newer(host, revision) => {
                let name = self.catalog.host(host).name.clone();
                let _ = self.feed.send(News::Newer(name, revision));
            }
            Output::Changed | Output::Planned => change.picture = true,
            Output::Notes(host, notes) => {
                change
                    .notes
                    .extend(notes.into_iter().map(|note| (host, note)));
            }
            Output::Rates(host, news) => {
                change
                    .rates
                    .extend(news.into_iter().map(|news| (host, news)));
            }
        }
        if let Some(agent) = &self.agent {
            self.delegate.store(agent.is_delegate(), Ordering::Relaxed);
        }
    }

    fn link(&self, hosts: &BTreeSet<HostKey>) {
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

    /// Tells other hosts of requests that crash targets or of rates; `teller` told this one.
    pub(crate) fn tell(&mut self, frame: Frame, teller: Option<HostKey>) {
        if let Some(agent) = &mut self.agent {
            agent.broadcast(frame, teller);
        }
    }

    /// Tells hosts that are new here of requests that crash targets, and of rates.
    pub(crate) fn introduce(
        &self,
        hosts: &[HostKey],
        notes: Vec<Notice>,
        rates: Vec<throttle::RateUpdate>,
    ) {
        if hosts.is_empty() {
            return;
        }
        if !notes.is_empty() {
            self.broadcast(hosts, &Message::Control(Frame::Notes(notes)));
        }
        if !rates.is_empty() {
            self.broadcast(hosts, &Message::Control(Frame::Rates(rates)));
        }
    }

    /// Sends this host's splits to hosts that are new here.
    pub(crate) fn send_splits(&self, hosts: &[HostKey], shares: &Shares) {
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

    fn read_splits(&self, splits: &Splits) -> Shares {
        let catalog = &self.catalog;
        let mut shares = Shares::new();
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

    /// The free part of each region's slots, as far as its zones were measured lately.
    pub(crate) fn region_rooms(&self, now: Instant) -> BTreeMap<RegionKey, f64> {
        let mut sums: BTreeMap<RegionKey, (f64, f64)> = BTreeMap::new();
        let Some(agent) = &self.agent else {
            return BTreeMap::new();
        };
        for (service, _) in self.catalog.services() {
            for (zone, _) in self.catalog.sites(service) {
                let Some((load, _)) = agent
                    .load(now, service, zone)
                    .filter(|&(_, age)| age < FRESH)
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

    /// What is known of the zones, and the free slots of their sites within `utilization`.
    pub(crate) fn view(&self, now: Instant) -> (View, BTreeMap<(ServiceKey, ZoneKey), u32>) {
        let mut view = View::default();
        let mut free = BTreeMap::new();
        let Some(agent) = &self.agent else {
            return (view, free);
        };
        for (zone, sight) in agent.zone_statuses() {
            let standing = match to_standing(sight) {
                // Places fail together: nothing moves to a zone that may be the next one lost.
                Standing::Alive if !agent.is_heard(zone) => Standing::Unknown,
                standing => standing,
            };
            view.zones.insert(zone, standing);
        }
        let utilization = self.catalog.limits().utilization;
        for (service, _) in self.catalog.services() {
            for (zone, _) in self.catalog.sites(service) {
                let Some((load, age)) = agent.load(now, service, zone) else {
                    continue;
                };
                if age < FRESH {
                    view.slots.insert((service, zone), load.live.round() as u32);
                    let used = f64::from(load.in_flight + load.queued);
                    let room = f64::from(load.live) * utilization - used;
                    free.insert((service, zone), room.max(0.0) as u32);
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

fn to_standing(sight: ZoneStatus) -> Standing {
    match sight {
        ZoneStatus::Alive => Standing::Alive,
        ZoneStatus::Lost => Standing::Lost,
        ZoneStatus::Unknown(_) => Standing::Unknown,
    }
}

/// Where the hosts of a configuration accept links.
fn directory(catalog: &Catalog) -> BTreeMap<Arc<str>, SocketAddr> {
    catalog
        .hosts()
        .filter(|(_, host)| host.state != State::Off)
        .map(|(_, host)| (host.name.clone(), host.peer_address))
        .collect()
}
