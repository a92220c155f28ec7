//! Many hosts on one virtual clock, and what must hold of all that they decide.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::border::settings::Steer;
use ragwortfold::catalog::{Catalog, HostKey, RegionKey, ServiceKey, TargetKey, ZoneKey};
use ragwortfold::steer::engine::{AttemptKind, Decision, Engine, Origin, RouteRequest, Verdict};
use ragwortfold::steer::fingerprint::Fingerprint;
use ragwortfold::steer::goal::{Standing, View};
use ragwortfold::steer::group::{End, Grant, Health, Report, State};
use ragwortfold::steer::pass::{Back, Pass};
use ragwortfold::steer::split::Split;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

use super::catalogs::{configuration, next_catalog, region, service, CatalogSize};

/// Two zones in each of three regions, two hosts a zone, two targets with four slots.
const PLACES: CatalogSize = CatalogSize {
    regions: 3,
    zones: 2,
    hosts: 2,
    services: 1,
    targets: 2,
};
/// Requests a second that a link carries.
const LINK: u64 = 60;
const UTILIZATION: f64 = 0.8;
const STEP: Duration = Duration::from_millis(50);
/// Time that a request holds a slot.
const WORK: Duration = Duration::from_millis(50);
/// Caps as the configuration sets them.
const PLANNED: (f64, Duration) = (0.05, Duration::from_secs(60));
const FAILOVER: (f64, Duration) = (0.25, Duration::from_secs(10));
const SLACK: f64 = 1e-6;
/// Tries of one request.
const TRIES: usize = 3;
/// What is known of zones may be as old as so many steps.
const LAG: usize = 100;

/// What happens to the hosts; indices are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// So many steps pass.
    Run(u8),
    /// A zone's hosts cannot be reached, or can again.
    Cut(u8),
    /// The targets of a zone take no work, or do again.
    Lose(u8),
    /// A host starts anew.
    Restart(u8),
    /// A host stands still for so many steps.
    Pause(u8, u8),
    /// What a host hears of zones is so many steps old.
    Lag(u8, u8),
    /// A target's configured state changes.
    Configure(u8, u8),
    /// Each host gets so many requests a step.
    Rate(u8),
}

/// A request that another host relayed.
struct Upstream {
    host: usize,
    incarnation: u64,
    pass: Pass,
    ask: RouteRequest,
}

/// A request that waits for a verdict.
struct Open {
    ask: RouteRequest,
    from: Option<Box<Upstream>>,
}

/// A request at a target.
struct Work {
    end: Instant,
    grant: Grant,
    open: Open,
}

/// What moved of one host's split, or was spilled.
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
    open: BTreeMap<u64, Open>,
    work: Vec<Work>,
    /// Passes given and not handed back.
    passes: u32,
    splits: BTreeMap<(ServiceKey, RegionKey), Split>,
    moved: BTreeMap<RegionKey, Vec<Moved>>,
    requests: BTreeMap<RegionKey, Vec<Instant>>,
}

/// What one host may be told, at one time.
#[derive(Clone)]
struct Picture {
    view: View,
    live: BTreeSet<HostKey>,
    free: BTreeMap<(ServiceKey, ZoneKey), u32>,
}

pub struct Fleet {
    catalog: Arc<Catalog>,
    value: Value,
    zones: Vec<ZoneKey>,
    nodes: Vec<Node>,
    now: Instant,
    rng: Pcg64,
    cut: BTreeSet<ZoneKey>,
    lost: BTreeSet<ZoneKey>,
    past: VecDeque<Picture>,
    rate: u8,
    next: u64,
    asked: u64,
    ended: u64,
    /// Requests over each link and into each region.
    sent: BTreeMap<(RegionKey, RegionKey), Vec<Instant>>,
    /// Whether any move was away from something lost.
    faults: bool,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let mut value = configuration(PLACES);
        value["limits"]["utilization"] = json!(UTILIZATION);
        for link in value["links"].as_object_mut().expect("links").values_mut() {
            link["requests_per_s"] = json!(LINK);
        }
        let catalog = Arc::new(next_catalog(&Catalog::default(), value.clone()));
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
            open: BTreeMap::new(),
            work: vec![],
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
            value,
            now,
            rng: Pcg64::seed_from_u64(seed),
            cut: BTreeSet::new(),
            lost: BTreeSet::new(),
            past: VecDeque::new(),
            rate: 1,
            next: 0,
            asked: 0,
            ended: 0,
            sent: BTreeMap::new(),
            faults: false,
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
        self.watch(at);
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Run(steps) => self.run(usize::from(steps)),
            Event::Cut(zone) => {
                let zone = self.zones[usize::from(zone) % self.zones.len()];
                self.faults = true;
                toggle(&mut self.cut, zone);
            }
            Event::Lose(zone) => self.lose(usize::from(zone) % self.zones.len()),
            Event::Restart(host) => self.restart(usize::from(host) % self.nodes.len()),
            Event::Pause(host, steps) => {
                let at = usize::from(host) % self.nodes.len();
                self.nodes[at].paused = usize::from(steps);
            }
            Event::Lag(host, steps) => {
                let at = usize::from(host) % self.nodes.len();
                self.nodes[at].lag = usize::from(steps) % LAG;
            }
            Event::Configure(target, state) => self.change(target, state),
            Event::Rate(rate) => self.rate = rate % 4,
        }
    }

    fn lose(&mut self, zone: usize) {
        let zone = self.zones[zone];
        self.faults = true;
        toggle(&mut self.lost, zone);
        for at in 0..self.nodes.len() {
            if self.nodes[at].zone == zone {
                self.tell_health(at);
            }
        }
    }

    /// A host learns whether its targets take work.
    fn tell_health(&mut self, at: usize) {
        let (now, zone) = (self.now, self.nodes[at].zone);
        let state = if self.lost.contains(&zone) {
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

    fn change(&mut self, target: u8, state: u8) {
        let zone = &self
            .catalog
            .zone(self.zones[usize::from(target) % self.zones.len()]);
        let name = format!("{}-s0-t0", zone.name);
        let state = ["serving", "draining", "off"][usize::from(state) % 3];
        self.value["targets"][name]["state"] = json!(state);
        self.catalog = Arc::new(next_catalog(&self.catalog, self.value.clone()));
        for at in 0..self.nodes.len() {
            self.configure(at);
        }
    }

    /// A host starts anew and takes the split of another.
    fn restart(&mut self, at: usize) {
        let donor = (at + 1) % self.nodes.len();
        let splits = self.nodes[donor].engine.splits();
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        node.engine = Engine::new(&Steer::default(), node.incarnation);
        node.splits.clear();
        node.passes = 0;
        let open: Vec<Open> = std::mem::take(&mut node.open).into_values().collect();
        let work = std::mem::take(&mut node.work).into_iter();
        let open = open.into_iter().chain(work.map(|work| work.open));
        for open in open.collect::<Vec<_>>() {
            self.end(open.from);
        }
        self.configure(at);
        let now = self.now;
        self.nodes[at].engine.adopt_splits(now, splits);
        self.watch(at);
        self.tell_health(at);
    }

    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += STEP;
            self.past.push_front(self.picture());
            self.past.truncate(LAG);
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
            self.tell(at);
        }
        let (now, rng) = (self.now, &mut self.rng);
        let decisions = self.nodes[at].engine.tick(now, rng);
        self.decided(at, decisions);
        self.watch(at);
        self.finish(at);
        for _ in 0..self.rate {
            self.request(at);
        }
        self.check(at);
    }

    fn tell(&mut self, at: usize) {
        let now = self.now;
        let lag = self.nodes[at].lag.min(self.past.len() - 1);
        let picture = self.past[lag].clone();
        let node = &mut self.nodes[at];
        node.live = picture.live;
        node.engine.set_live(now, node.live.clone());
        node.engine.set_free_slots(picture.free);
        node.engine.set_view(now, picture.view);
        self.watch(at);
    }

    /// What could be known of all zones now.
    fn picture(&self) -> Picture {
        let service = service(&self.catalog);
        let mut view = View::default();
        let mut free = BTreeMap::new();
        for &zone in &self.zones {
            let cut = self.cut.contains(&zone);
            let standing = if cut { Standing::Lost } else { Standing::Alive };
            view.zones.insert(zone, standing);
            let site = self.catalog.site(service, zone);
            let slots = site.map_or(0, |site| site.slots);
            let slots = if self.lost.contains(&zone) { 0 } else { slots };
            if !cut {
                view.slots.insert((service, zone), slots);
                free.insert((service, zone), slots);
            }
        }
        let up = |node: &&Node| !self.cut.contains(&node.zone);
        let live = self.nodes.iter().filter(up).map(|node| node.key).collect();
        Picture { view, live, free }
    }

    /// A caller's request.
    fn request(&mut self, at: usize) {
        let zone = self.nodes[at].zone;
        let own = self.catalog.region_of(zone);
        let other = region(&self.catalog, "r0");
        self.next += 1;
        let ask = RouteRequest {
            id: self.next,
            kind: AttemptKind::First,
            origin: Origin::Caller,
            service: service(&self.catalog),
            locality: if self.next.is_multiple_of(4) {
                other
            } else {
                own
            },
            block: self.rng.random_range(0..1000),
            bytes: 100,
            deadline: self.now + Duration::from_millis(self.rng.random_range(60..1000)),
            targets: vec![],
            hosts: vec![],
            fingerprint: Fingerprint(self.next),
        };
        self.asked += 1;
        let seen = self.nodes[at].requests.entry(ask.locality).or_default();
        seen.push(self.now);
        self.submit(at, Open { ask, from: None });
    }

    fn submit(&mut self, at: usize, open: Open) {
        let (now, rng) = (self.now, &mut self.rng);
        let verdict = self.nodes[at].engine.submit(now, open.ask.clone(), rng);
        match verdict {
            Some(verdict) => self.settle(at, open, verdict),
            None => {
                assert_ne!(open.ask.kind, AttemptKind::Hedge, "a copy waits");
                let before = self.nodes[at].open.insert(open.ask.id, open);
                assert!(before.is_none());
            }
        }
    }

    fn decided(&mut self, at: usize, decisions: Vec<Decision>) {
        for (id, verdict) in decisions {
            let open = self.nodes[at].open.remove(&id);
            self.settle(at, open.expect("a request that waits"), verdict);
        }
    }

    fn settle(&mut self, at: usize, open: Open, verdict: Verdict) {
        match verdict {
            Verdict::Target { grant, .. } => {
                let state = self.catalog.target_state(grant.target());
                assert_eq!(state, ragwortfold::catalog::State::Serving);
                assert!(!self.lost.contains(&self.nodes[at].zone));
                let own = self.catalog.target(grant.target()).zone;
                assert_eq!(own, self.nodes[at].zone);
                let end = self.now + WORK;
                self.nodes[at].work.push(Work { end, grant, open });
            }
            Verdict::Host(pass) => self.relay(at, open, pass),
            Verdict::Refused(refusal) => {
                assert!(refusal.retry_after >= Duration::from_millis(250));
                self.end(open.from);
            }
        }
    }

    fn relay(&mut self, at: usize, open: Open, pass: Pass) {
        let node = &mut self.nodes[at];
        assert_eq!(open.ask.origin, Origin::Caller, "a relayed request left");
        assert!(node.live.contains(&pass.host));
        assert!(!open.ask.hosts.contains(&pass.host));
        node.passes += 1;
        let to = self.catalog.host(pass.host).zone;
        assert_ne!(to, node.zone);
        self.count_spill(at, &open.ask, to);
        let way = (
            self.catalog.region_of(self.nodes[at].zone),
            self.catalog.region_of(to),
        );
        let mut ask = open.ask;
        if self.cut.contains(&to) != self.cut.contains(&self.nodes[at].zone) {
            self.hand_back(at, &pass, Back::All);
            ask.hosts.push(pass.host);
            return self.retry(at, ask);
        }
        if way.0 != way.1 {
            self.sent.entry(way).or_default().push(self.now);
        }
        self.next += 1;
        let relayed = RouteRequest {
            id: self.next,
            kind: AttemptKind::First,
            origin: Origin::Host,
            targets: vec![],
            hosts: vec![],
            ..ask.clone()
        };
        let there = self.nodes.iter().position(|node| node.key == pass.host);
        let from = Upstream {
            host: at,
            incarnation: self.nodes[at].incarnation,
            pass,
            ask,
        };
        let open = Open {
            ask: relayed,
            from: Some(Box::new(from)),
        };
        self.submit(there.expect("a host"), open);
    }

    fn hand_back(&mut self, at: usize, pass: &Pass, back: Back) {
        let node = &mut self.nodes[at];
        node.passes -= 1;
        node.engine.finish_pass(self.now, pass, back);
    }

    /// A request is over without an answer; a relayed one may go elsewhere.
    fn end(&mut self, from: Option<Box<Upstream>>) {
        let Some(from) = from.filter(|from| self.is_there(from)) else {
            self.ended += 1;
            return;
        };
        self.hand_back(from.host, &from.pass, Back::Nothing { bytes: 0 });
        let mut ask = from.ask;
        ask.hosts.push(from.pass.host);
        self.retry(from.host, ask);
    }

    fn is_there(&self, from: &Upstream) -> bool {
        self.nodes[from.host].incarnation == from.incarnation
    }

    fn retry(&mut self, at: usize, mut ask: RouteRequest) {
        if ask.hosts.len() + ask.targets.len() >= TRIES {
            self.ended += 1;
            return;
        }
        ask.kind = AttemptKind::Retry;
        self.submit(at, Open { ask, from: None });
    }

    /// Takes back what is done.
    fn finish(&mut self, at: usize) {
        let now = self.now;
        let work = std::mem::take(&mut self.nodes[at].work);
        let (done, rest) = work.into_iter().partition(|work| work.end <= now);
        self.nodes[at].work = rest;
        for Work { grant, open, .. } in done as Vec<Work> {
            let failed = self.rng.random_range(0..40) == 0;
            let target = grant.target();
            let end = if failed {
                End::ConnectFailed
            } else {
                End::Answered
            };
            let report = Report {
                end,
                latency: WORK,
                load: None,
                state: None,
            };
            let node = &mut self.nodes[at];
            let ready = node.engine.finish(now, grant, report, &mut self.rng);
            self.decided(at, ready);
            self.finished(at, open, failed.then_some(target));
        }
    }

    fn finished(&mut self, at: usize, open: Open, failed: Option<TargetKey>) {
        match (failed, open.from) {
            (Some(_), from @ Some(_)) => self.end(from),
            (Some(target), None) => {
                let mut ask = open.ask;
                ask.targets.push(target);
                self.retry(at, ask);
            }
            (None, Some(from)) if self.is_there(&from) => {
                self.hand_back(from.host, &from.pass, Back::Nothing { bytes: 200 });
                self.ended += 1;
            }
            (None, _) => self.ended += 1,
        }
    }

    /// Notes what a split moved since the last look.
    fn watch(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        for (key, split) in node.engine.splits() {
            let before = node.splits.insert(key, split.clone());
            let share = before.map_or(0.0, |before| before.moved(&split));
            if share > 0.0 {
                let moved = node.moved.entry(key.1).or_default();
                moved.push(Moved { at: now, share });
            }
        }
    }

    /// Notes a request that goes where its split does not say, weighted by the traffic in the window of
    /// the cap that applies.
    fn count_spill(&mut self, at: usize, ask: &RouteRequest, to: ZoneKey) {
        self.watch(at);
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
        let window = if self.is_lost(at, ask, if is_home { own } else { chosen }) {
            FAILOVER.1
        } else {
            PLANNED.1
        };
        let node = &mut self.nodes[at];
        let seen = &node.requests[&ask.locality];
        let recent = seen.iter().rev().take_while(|&&then| now - then <= window);
        let share = 1.0 / recent.count().max(1) as f64;
        let moved = node.moved.entry(ask.locality).or_default();
        moved.push(Moved { at: now, share });
    }

    /// Whether a request leaves its zone because that is lost, as far as this host knows.
    fn is_lost(&self, at: usize, ask: &RouteRequest, home: ZoneKey) -> bool {
        let node = &self.nodes[at];
        if home == node.zone {
            let site = self.catalog.site(ask.service, home);
            return self.lost.contains(&home) && site.is_some_and(|site| site.slots > 0);
        }
        let inside = |host: &&HostKey| self.catalog.host(**host).zone == home;
        !node.live.iter().any(|host| inside(&host))
    }

    /// What was given is what was not handed back.
    fn check(&self, at: usize) {
        let node = &self.nodes[at];
        let group = node.engine.group(service(&self.catalog));
        let in_flight = group.map_or(0, |group| group.headroom().in_flight);
        assert_eq!(in_flight as usize, node.work.len());
        assert_eq!(node.engine.passes(), node.passes);
    }

    /// Lets all requests come to their end, then looks at the whole.
    pub fn conclude(&mut self) {
        for node in &mut self.nodes {
            node.paused = 0;
        }
        self.rate = 0;
        self.run(100);
        for at in 0..self.nodes.len() {
            assert!(self.nodes[at].open.is_empty(), "a request is lost");
            assert!(self.nodes[at].work.is_empty());
            assert_eq!(self.nodes[at].passes, 0);
            self.check(at);
        }
        assert_eq!(self.asked, self.ended);
        self.check_moves();
        self.check_links();
        self.check_regions();
    }

    /// No host moves more in a window than the cap; the sum over hosts is a weighted mean of these.
    fn check_moves(&self) {
        let (cap, window) = if self.faults { FAILOVER } else { PLANNED };
        for node in &self.nodes {
            for moved in node.moved.values() {
                let worst = worst(moved.iter().map(|moved| (moved.at, moved.share)), window);
                assert!(worst <= cap + SLACK, "{} moved {worst}", node.name);
            }
        }
    }

    fn check_links(&self) {
        for (way, sent) in &self.sent {
            let hosts = self.count_hosts(|region| region == way.0);
            let rate = LINK as f64 * UTILIZATION;
            check_rate(sent, rate, hosts * burst(rate / hosts), &format!("{way:?}"));
        }
    }

    fn check_regions(&self) {
        for (region, _) in self.catalog.regions() {
            let into = self.sent.iter().filter(|(way, _)| way.1 == region);
            let mut sent: Vec<Instant> = into.flat_map(|(_, sent)| sent.iter().copied()).collect();
            sent.sort();
            let hosts = self.count_hosts(|from| from != region);
            let rate = 16.0 * UTILIZATION / WORK.as_secs_f64();
            check_rate(&sent, rate, hosts / WORK.as_secs_f64(), "region");
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

/// What a host may send at once: what it saves up, and one request more.
fn burst(rate: f64) -> f64 {
    (rate * 0.1).max(1.0) + 1.0
}

/// The largest sum in any window, ends included, of amounts in order of time.
fn worst(moves: impl Iterator<Item = (Instant, f64)>, window: Duration) -> f64 {
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

/// In no time between two requests are there more than the rate and the burst allow.
fn check_rate(sent: &[Instant], rate: f64, burst: f64, what: &str) {
    let Some(&start) = sent.first() else {
        return;
    };
    let mut level = 0.0f64;
    let mut last = start;
    for &at in sent {
        level = (level - (at - last).as_secs_f64() * rate).max(0.0) + 1.0;
        last = at;
        assert!(level <= burst + SLACK, "{what}: {level} over {burst}");
    }
}
