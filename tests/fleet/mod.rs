//! Many hosts on one virtual clock, and the invariants of their decisions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::border::settings::Steer;
use ragwortfold::catalog::{Catalog, HostKey, RegionKey, ServiceKey, TargetKey, ZoneKey};
use ragwortfold::steer::engine::{AttemptKind, Decision, Engine, Origin, RouteRequest, Verdict};
use ragwortfold::steer::fingerprint::Fingerprint;
use ragwortfold::steer::goal::{View, ZoneHealth};
use ragwortfold::steer::group::{End, Grant, Health, Report, State};
use ragwortfold::steer::relay_permit::{PermitUsage, RelayPermit};
use ragwortfold::steer::split::Split;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

use super::catalogs::{configuration, next_catalog, region, service, CatalogSize};

/// Two zones in each of three regions, two hosts in each zone, two targets with four slots each.
const TOPOLOGY: CatalogSize = CatalogSize {
    regions: 3,
    zones: 2,
    hosts: 2,
    services: 1,
    targets: 2,
};
/// Capacity of a link in requests a second.
const LINK_RATE: u64 = 60;
const UTILIZATION: f64 = 0.8;
const STEP: Duration = Duration::from_millis(50);
/// Time for which a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Caps of the configuration: share of the traffic, and window.
const PLANNED_CAP: (f64, Duration) = (0.05, Duration::from_secs(60));
const FAILOVER_CAP: (f64, Duration) = (0.25, Duration::from_secs(10));
const TOLERANCE: f64 = 1e-6;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 3;
/// Maximum age of a host's view of the zones, in steps.
const MAX_LAG_STEPS: usize = 100;

/// A change in the simulation; indices are taken modulo the number of items.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The given number of steps passes.
    Run(u8),
    /// Toggles whether the hosts of a zone are unreachable.
    Partition(u8),
    /// Toggles whether the targets of a zone refuse work.
    LoseTargets(u8),
    /// A host restarts.
    Restart(u8),
    /// A host is suspended for the given number of steps.
    Pause(u8, u8),
    /// Sets the age of a host's view of the zones, in steps.
    Lag(u8, u8),
    /// Changes the configured state of a target.
    Configure(u8, u8),
    /// Sets the requests that each host receives in each step.
    Rate(u8),
}

/// Origin of a request that another host relayed.
struct Upstream {
    host: usize,
    incarnation: u64,
    pass: RelayPermit,
    ask: RouteRequest,
}

/// A request without a verdict yet.
struct PendingRequest {
    ask: RouteRequest,
    upstream: Option<Box<Upstream>>,
}

/// A request that runs at a target.
struct RunningRequest {
    end: Instant,
    grant: Grant,
    pending: PendingRequest,
}

/// A share of the traffic that moved by a change of a host's split, or by spilling.
struct Moved {
    at: Instant,
    share: f64,
}

struct Node {
    key: HostKey,
    name: String,
    zone: ZoneKey,
    engine: Engine,
    incarnation: u64,
    live: BTreeSet<HostKey>,
    paused: usize,
    lag: usize,
    pending: BTreeMap<u64, PendingRequest>,
    running: Vec<RunningRequest>,
    /// Passes that were issued and not returned.
    passes: u32,
    splits: BTreeMap<(ServiceKey, RegionKey), Split>,
    moved: BTreeMap<RegionKey, Vec<Moved>>,
    requests: BTreeMap<RegionKey, Vec<Instant>>,
}

/// State of all zones at one time, as hosts receive it.
#[derive(Clone)]
struct Snapshot {
    view: View,
    live: BTreeSet<HostKey>,
    free: BTreeMap<(ServiceKey, ZoneKey), u32>,
}

pub struct Fleet {
    catalog: Arc<Catalog>,
    config: Value,
    zones: Vec<ZoneKey>,
    nodes: Vec<Node>,
    now: Instant,
    rng: Pcg64,
    partitioned: BTreeSet<ZoneKey>,
    failed_zones: BTreeSet<ZoneKey>,
    snapshots: VecDeque<Snapshot>,
    rate: u8,
    next_id: u64,
    submitted: u64,
    completed: u64,
    /// Times of the requests relayed over each link between regions.
    relayed: BTreeMap<(RegionKey, RegionKey), Vec<Instant>>,
    /// Whether a zone or its targets failed at any time.
    has_faults: bool,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let mut config = configuration(TOPOLOGY);
        config["limits"]["utilization"] = json!(UTILIZATION);
        for link in config["links"].as_object_mut().expect("links").values_mut() {
            link["requests_per_s"] = json!(LINK_RATE);
        }
        let catalog = Arc::new(next_catalog(&Catalog::default(), config.clone()));
        let now = Instant::now();
        let node = |(key, name, zone): (HostKey, String, ZoneKey)| Node {
            key,
            name,
            zone,
            engine: Engine::new(&Steer::default(), 1),
            incarnation: 1,
            live: BTreeSet::new(),
            paused: 0,
            lag: 0,
            pending: BTreeMap::new(),
            running: vec![],
            passes: 0,
            splits: BTreeMap::new(),
            moved: BTreeMap::new(),
            requests: BTreeMap::new(),
        };
        let hosts = catalog.hosts();
        let hosts = hosts.map(|(key, host)| (key, host.name.to_string(), host.zone));
        let mut fleet = Self {
            nodes: hosts.map(node).collect(),
            zones: catalog.zones().map(|(key, _)| key).collect(),
            catalog,
            config,
            now,
            rng: Pcg64::seed_from_u64(seed),
            partitioned: BTreeSet::new(),
            failed_zones: BTreeSet::new(),
            snapshots: VecDeque::new(),
            rate: 1,
            next_id: 0,
            submitted: 0,
            completed: 0,
            relayed: BTreeMap::new(),
            has_faults: false,
        };
        for at in 0..fleet.nodes.len() {
            fleet.configure(at);
        }
        fleet.run(80);
        fleet
    }

    fn configure(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let zone = self.catalog.zone(node.zone).name.clone();
        let catalog = self.catalog.clone();
        node.engine.configure(self.now, catalog, &zone);
        self.record_moves(at);
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Run(steps) => self.run(usize::from(steps)),
            Event::Partition(zone) => {
                let zone = self.zones[usize::from(zone) % self.zones.len()];
                self.has_faults = true;
                toggle(&mut self.partitioned, zone);
            }
            Event::LoseTargets(zone) => self.toggle_targets(usize::from(zone) % self.zones.len()),
            Event::Restart(host) => self.restart(usize::from(host) % self.nodes.len()),
            Event::Pause(host, steps) => {
                let at = usize::from(host) % self.nodes.len();
                self.nodes[at].paused = usize::from(steps);
            }
            Event::Lag(host, steps) => {
                let at = usize::from(host) % self.nodes.len();
                self.nodes[at].lag = usize::from(steps) % MAX_LAG_STEPS;
            }
            Event::Configure(target, state) => self.change_state(target, state),
            Event::Rate(rate) => self.rate = rate % 4,
        }
    }

    fn toggle_targets(&mut self, zone: usize) {
        let zone = self.zones[zone];
        self.has_faults = true;
        toggle(&mut self.failed_zones, zone);
        for at in 0..self.nodes.len() {
            if self.nodes[at].zone == zone {
                self.report_health(at);
            }
        }
    }

    /// Reports to a host whether its targets accept work.
    fn report_health(&mut self, at: usize) {
        let (now, zone) = (self.now, self.nodes[at].zone);
        let state = if self.failed_zones.contains(&zone) {
            State::Draining
        } else {
            State::Serving
        };
        let site = self.catalog.site(service(&self.catalog), zone);
        let targets: Vec<TargetKey> = site.map_or(vec![], |site| site.targets.clone());
        for target in targets {
            let engine = &mut self.nodes[at].engine;
            engine.set_health(now, target, Health::Up, Some(state));
        }
    }

    fn change_state(&mut self, target: u8, state: u8) {
        let zone = &self
            .catalog
            .zone(self.zones[usize::from(target) % self.zones.len()]);
        let name = format!("{}-s0-t0", zone.name);
        let state = ["serving", "draining", "off"][usize::from(state) % 3];
        self.config["targets"][name]["state"] = json!(state);
        self.catalog = Arc::new(next_catalog(&self.catalog, self.config.clone()));
        for at in 0..self.nodes.len() {
            self.configure(at);
        }
    }

    /// Restarts a host, which then adopts the splits of another one.
    fn restart(&mut self, at: usize) {
        let donor = (at + 1) % self.nodes.len();
        let splits = self.nodes[donor].engine.splits();
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        node.engine = Engine::new(&Steer::default(), node.incarnation);
        node.splits.clear();
        node.passes = 0;
        let pending: Vec<PendingRequest> =
            std::mem::take(&mut node.pending).into_values().collect();
        let running = std::mem::take(&mut node.running).into_iter();
        let pending = pending
            .into_iter()
            .chain(running.map(|running| running.pending));
        for pending in pending.collect::<Vec<_>>() {
            self.end(pending.upstream);
        }
        self.configure(at);
        let now = self.now;
        self.nodes[at].engine.adopt_splits(now, splits);
        self.record_moves(at);
        self.report_health(at);
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += STEP;
            self.snapshots.push_front(self.snapshot());
            self.snapshots.truncate(MAX_LAG_STEPS);
            for at in 0..self.nodes.len() {
                if self.nodes[at].paused > 0 {
                    self.nodes[at].paused -= 1;
                    continue;
                }
                self.step(at);
            }
        }
    }

    fn step(&mut self, at: usize) {
        if self.rng.random_range(0..10) == 0 {
            self.update_view(at);
        }
        let (now, rng) = (self.now, &mut self.rng);
        let decisions = self.nodes[at].engine.tick(now, rng);
        self.apply_decisions(at, decisions);
        self.record_moves(at);
        self.finish(at);
        for _ in 0..self.rate {
            self.request(at);
        }
        self.check(at);
    }

    fn update_view(&mut self, at: usize) {
        let now = self.now;
        let lag = self.nodes[at].lag.min(self.snapshots.len() - 1);
        let snapshot = self.snapshots[lag].clone();
        let node = &mut self.nodes[at];
        node.live = snapshot.live;
        node.engine.set_live(now, node.live.clone());
        node.engine.set_free_slots(snapshot.free);
        node.engine.set_view(now, snapshot.view);
        self.record_moves(at);
    }

    /// Returns the current state of all zones.
    fn snapshot(&self) -> Snapshot {
        let service = service(&self.catalog);
        let mut view = View::default();
        let mut free = BTreeMap::new();
        for &zone in &self.zones {
            let partitioned = self.partitioned.contains(&zone);
            let standing = if partitioned {
                ZoneHealth::Lost
            } else {
                ZoneHealth::Alive
            };
            view.zones.insert(zone, standing);
            let site = self.catalog.site(service, zone);
            let slots = site.map_or(0, |site| site.slots);
            let slots = if self.failed_zones.contains(&zone) {
                0
            } else {
                slots
            };
            if !partitioned {
                view.slots.insert((service, zone), slots);
                free.insert((service, zone), slots);
            }
        }
        let up = |node: &&Node| !self.partitioned.contains(&node.zone);
        let live = self.nodes.iter().filter(up).map(|node| node.key).collect();
        Snapshot { view, live, free }
    }

    /// Submits a caller's request.
    fn request(&mut self, at: usize) {
        let zone = self.nodes[at].zone;
        let own = self.catalog.region_of(zone);
        let other = region(&self.catalog, "r0");
        self.next_id += 1;
        let ask = RouteRequest {
            id: self.next_id,
            kind: AttemptKind::First,
            origin: Origin::Caller,
            service: service(&self.catalog),
            locality: if self.next_id.is_multiple_of(4) {
                other
            } else {
                own
            },
            block: self.rng.random_range(0..1000),
            bytes: 100,
            deadline: self.now + Duration::from_millis(self.rng.random_range(60..1000)),
            targets: vec![],
            hosts: vec![],
            fingerprint: Fingerprint(self.next_id),
        };
        self.submitted += 1;
        let arrivals = self.nodes[at].requests.entry(ask.locality).or_default();
        arrivals.push(self.now);
        self.submit(
            at,
            PendingRequest {
                ask,
                upstream: None,
            },
        );
    }

    fn submit(&mut self, at: usize, pending: PendingRequest) {
        let (now, rng) = (self.now, &mut self.rng);
        let verdict = self.nodes[at].engine.submit(now, pending.ask.clone(), rng);
        match verdict {
            Some(verdict) => self.apply_verdict(at, pending, verdict),
            None => {
                assert_ne!(pending.ask.kind, AttemptKind::Hedge, "a copy waits");
                let before = self.nodes[at].pending.insert(pending.ask.id, pending);
                assert!(before.is_none());
            }
        }
    }

    fn apply_decisions(&mut self, at: usize, decisions: Vec<Decision>) {
        for (id, verdict) in decisions {
            let pending = self.nodes[at].pending.remove(&id);
            self.apply_verdict(at, pending.expect("a request that waits"), verdict);
        }
    }

    fn apply_verdict(&mut self, at: usize, pending: PendingRequest, verdict: Verdict) {
        match verdict {
            Verdict::Target { grant, .. } => {
                let state = self.catalog.target_state(grant.target());
                assert_eq!(state, ragwortfold::catalog::State::Serving);
                assert!(!self.failed_zones.contains(&self.nodes[at].zone));
                let own = self.catalog.target(grant.target()).zone;
                assert_eq!(own, self.nodes[at].zone);
                let end = self.now + SERVICE_TIME;
                self.nodes[at].running.push(RunningRequest {
                    end,
                    grant,
                    pending,
                });
            }
            Verdict::Host(pass) => self.relay(at, pending, pass),
            Verdict::Refused(refusal) => {
                assert!(refusal.retry_after >= Duration::from_millis(250));
                self.end(pending.upstream);
            }
        }
    }

    fn relay(&mut self, at: usize, pending: PendingRequest, pass: RelayPermit) {
        let node = &mut self.nodes[at];
        assert_eq!(pending.ask.origin, Origin::Caller, "a relayed request left");
        assert!(node.live.contains(&pass.host));
        assert!(!pending.ask.hosts.contains(&pass.host));
        node.passes += 1;
        let to = self.catalog.host(pass.host).zone;
        assert_ne!(to, node.zone);
        self.count_spill(at, &pending.ask, to);
        let link = (
            self.catalog.region_of(self.nodes[at].zone),
            self.catalog.region_of(to),
        );
        let mut ask = pending.ask;
        if self.partitioned.contains(&to) != self.partitioned.contains(&self.nodes[at].zone) {
            self.hand_back(at, &pass, PermitUsage::Unused);
            ask.hosts.push(pass.host);
            return self.retry(at, ask);
        }
        if link.0 != link.1 {
            self.relayed.entry(link).or_default().push(self.now);
        }
        self.next_id += 1;
        let relayed = RouteRequest {
            id: self.next_id,
            kind: AttemptKind::First,
            origin: Origin::Host,
            targets: vec![],
            hosts: vec![],
            ..ask.clone()
        };
        let there = self.nodes.iter().position(|node| node.key == pass.host);
        let upstream = Upstream {
            host: at,
            incarnation: self.nodes[at].incarnation,
            pass,
            ask,
        };
        let pending = PendingRequest {
            ask: relayed,
            upstream: Some(Box::new(upstream)),
        };
        self.submit(there.expect("a host"), pending);
    }

    fn hand_back(&mut self, at: usize, pass: &RelayPermit, back: PermitUsage) {
        let node = &mut self.nodes[at];
        node.passes -= 1;
        node.engine.finish_relay(self.now, pass, back);
    }

    /// Ends a request without an answer; a relayed one may be retried elsewhere.
    fn end(&mut self, upstream: Option<Box<Upstream>>) {
        let Some(upstream) = upstream.filter(|upstream| self.has_same_incarnation(upstream)) else {
            self.completed += 1;
            return;
        };
        self.hand_back(
            upstream.host,
            &upstream.pass,
            PermitUsage::Used { bytes: 0 },
        );
        let mut ask = upstream.ask;
        ask.hosts.push(upstream.pass.host);
        self.retry(upstream.host, ask);
    }

    fn has_same_incarnation(&self, upstream: &Upstream) -> bool {
        self.nodes[upstream.host].incarnation == upstream.incarnation
    }

    fn retry(&mut self, at: usize, mut ask: RouteRequest) {
        if ask.hosts.len() + ask.targets.len() >= MAX_ATTEMPTS {
            self.completed += 1;
            return;
        }
        ask.kind = AttemptKind::Retry;
        self.submit(
            at,
            PendingRequest {
                ask,
                upstream: None,
            },
        );
    }

    /// Finishes the requests whose service time has passed.
    fn finish(&mut self, at: usize) {
        let now = self.now;
        let running = std::mem::take(&mut self.nodes[at].running);
        let (done, rest) = running.into_iter().partition(|running| running.end <= now);
        self.nodes[at].running = rest;
        for RunningRequest { grant, pending, .. } in done as Vec<RunningRequest> {
            let failed = self.rng.random_range(0..40) == 0;
            let target = grant.target();
            let end = if failed {
                End::ConnectFailed
            } else {
                End::Answered
            };
            let report = Report {
                end,
                latency: SERVICE_TIME,
                load: None,
                state: None,
            };
            let node = &mut self.nodes[at];
            let ready = node.engine.finish(now, grant, report, &mut self.rng);
            self.apply_decisions(at, ready);
            self.complete(at, pending, failed.then_some(target));
        }
    }

    fn complete(&mut self, at: usize, pending: PendingRequest, failed: Option<TargetKey>) {
        match (failed, pending.upstream) {
            (Some(_), upstream @ Some(_)) => self.end(upstream),
            (Some(target), None) => {
                let mut ask = pending.ask;
                ask.targets.push(target);
                self.retry(at, ask);
            }
            (None, Some(upstream)) if self.has_same_incarnation(&upstream) => {
                self.hand_back(
                    upstream.host,
                    &upstream.pass,
                    PermitUsage::Used { bytes: 200 },
                );
                self.completed += 1;
            }
            (None, _) => self.completed += 1,
        }
    }

    /// Records the share that splits have moved since the last call.
    fn record_moves(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        for (key, split) in node.engine.splits() {
            let before = node.splits.insert(key, split.clone());
            let share = before.map_or(0.0, |before| before.moved_share(&split));
            if share > 0.0 {
                let moved = node.moved.entry(key.1).or_default();
                moved.push(Moved { at: now, share });
            }
        }
    }

    /// Records a request that leaves the zone selected by its split, weighted by the traffic in the
    /// window of the cap that applies.
    fn count_spill(&mut self, at: usize, ask: &RouteRequest, to: ZoneKey) {
        self.record_moves(at);
        let now = self.now;
        let Some(split) = self.nodes[at].splits.get(&(ask.service, ask.locality)) else {
            return;
        };
        let Some(chosen) = split.choose(ask.block, |_| true) else {
            return;
        };
        if chosen == to {
            return;
        }
        let own = self.nodes[at].zone;
        let is_home = self.catalog.region_of(own) == ask.locality && split.share(own) > 0.0;
        let window = if self.is_zone_lost(at, ask, if is_home { own } else { chosen }) {
            FAILOVER_CAP.1
        } else {
            PLANNED_CAP.1
        };
        let node = &mut self.nodes[at];
        let arrivals = &node.requests[&ask.locality];
        let recent = arrivals
            .iter()
            .rev()
            .take_while(|&&then| now - then <= window);
        let share = 1.0 / recent.count().max(1) as f64;
        let moved = node.moved.entry(ask.locality).or_default();
        moved.push(Moved { at: now, share });
    }

    /// Whether a request leaves its zone because the zone is lost, as far as this host knows.
    fn is_zone_lost(&self, at: usize, ask: &RouteRequest, home: ZoneKey) -> bool {
        let node = &self.nodes[at];
        if home == node.zone {
            let site = self.catalog.site(ask.service, home);
            return self.failed_zones.contains(&home) && site.is_some_and(|site| site.slots > 0);
        }
        let inside = |host: &&HostKey| self.catalog.host(**host).zone == home;
        !node.live.iter().any(|host| inside(&host))
    }

    /// Checks that all grants and passes are either in use or were returned.
    fn check(&self, at: usize) {
        let node = &self.nodes[at];
        let group = node.engine.group(service(&self.catalog));
        let in_flight = group.map_or(0, |group| group.headroom().in_flight);
        assert_eq!(in_flight as usize, node.running.len());
        assert_eq!(node.engine.outstanding_relays(), node.passes);
    }

    /// Lets all requests finish, then checks the invariants over the whole run.
    pub fn finish_and_check(&mut self) {
        for node in &mut self.nodes {
            node.paused = 0;
        }
        self.rate = 0;
        self.run(100);
        for at in 0..self.nodes.len() {
            assert!(self.nodes[at].pending.is_empty(), "a request is lost");
            assert!(self.nodes[at].running.is_empty());
            assert_eq!(self.nodes[at].passes, 0);
            self.check(at);
        }
        assert_eq!(self.submitted, self.completed);
        self.check_moves();
        self.check_links();
        self.check_regions();
    }

    /// Checks that no host moves more in a window than the cap; the sum over hosts is a weighted
    /// mean of these shares.
    fn check_moves(&self) {
        let (cap, window) = if self.has_faults {
            FAILOVER_CAP
        } else {
            PLANNED_CAP
        };
        for node in &self.nodes {
            for moved in node.moved.values() {
                let worst =
                    max_in_window(moved.iter().map(|moved| (moved.at, moved.share)), window);
                assert!(worst <= cap + TOLERANCE, "{} moved {worst}", node.name);
            }
        }
    }

    fn check_links(&self) {
        for (link, relayed) in &self.relayed {
            let hosts = self.count_hosts(|region| region == link.0);
            let rate = LINK_RATE as f64 * UTILIZATION;
            check_rate(
                relayed,
                rate,
                hosts * burst(rate / hosts),
                &format!("{link:?}"),
            );
        }
    }

    fn check_regions(&self) {
        for (region, _) in self.catalog.regions() {
            let into = self.relayed.iter().filter(|(link, _)| link.1 == region);
            let mut relayed: Vec<Instant> = into
                .flat_map(|(_, relayed)| relayed.iter().copied())
                .collect();
            relayed.sort();
            let hosts = self.count_hosts(|from| from != region);
            let rate = 16.0 * UTILIZATION / SERVICE_TIME.as_secs_f64();
            check_rate(&relayed, rate, hosts / SERVICE_TIME.as_secs_f64(), "region");
        }
    }

    fn count_hosts(&self, counts: impl Fn(RegionKey) -> bool) -> f64 {
        let region = |node: &Node| self.catalog.region_of(node.zone);
        let nodes = self.nodes.iter().filter(|node| counts(region(node)));
        nodes.count() as f64
    }
}

fn toggle(set: &mut BTreeSet<ZoneKey>, zone: ZoneKey) {
    if !set.remove(&zone) {
        set.insert(zone);
    }
}

/// Returns the requests that a host may send at once: what its bucket holds, and one more.
fn burst(rate: f64) -> f64 {
    (rate * 0.1).max(1.0) + 1.0
}

/// Returns the largest sum of chronological amounts in any window, ends included.
fn max_in_window(moves: impl Iterator<Item = (Instant, f64)>, window: Duration) -> f64 {
    let (mut inside, mut sum, mut worst) = (VecDeque::new(), 0.0, 0.0f64);
    for (at, share) in moves {
        inside.push_back((at, share));
        sum += share;
        while inside.front().is_some_and(|&(then, _)| at - then > window) {
            sum -= inside.pop_front().map_or(0.0, |(_, share)| share);
        }
        worst = worst.max(sum);
    }
    worst
}

/// Checks that between any two requests there are no more than the rate and the burst allow.
fn check_rate(relayed: &[Instant], rate: f64, burst: f64, name: &str) {
    let Some(&start) = relayed.first() else {
        return;
    };
    let mut level = 0.0f64;
    let mut last = start;
    for &at in relayed {
        level = (level - (at - last).as_secs_f64() * rate).max(0.0) + 1.0;
        last = at;
        assert!(level <= burst + TOLERANCE, "{name}: {level} over {burst}");
    }
}
