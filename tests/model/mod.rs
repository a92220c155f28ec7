//! Two hosts that share targets, on virtual time: an event queue and nothing else.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};
use ragwortfold::catalog::{Catalog, TargetKey};
use ragwortfold::steer::group::{
    Ask, Config, End, Grant, Group, Id, Load as Reported, Report, State, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
const SLOTS: usize = 4;
const DEADLINE: u64 = 800_000;
const WIRE: u64 = 500;
const TRIES: usize = 3;
/// A site of `count` targets with `slots` slots and `connections` connections each.
pub fn catalog(count: usize, slots: u32, connections: u32, warm: u32) -> Catalog {
    let targets: serde_json::Map<_, _> = (0..count)
        .map(|n| {
            let target = serde_json::json!({
                "service": "s", "availability_zone": "z", "address": format!("127.0.0.1:{}", 9000 + n),
                "slots": slots, "connections": connections, "warm_s": warm,
            });
            (format!("t{n:02}"), target)
        })
        .collect();
    let configuration = serde_json::from_value(serde_json::json!({
        "regions": {"r": {}},
        "availability_zones": {"z": {"region": "r"}},
        "services": {"s": {"class": "c", "idempotent": true, "deadline_ms": 800}},
        "targets": targets,
    }))
    .expect("a valid model");
    Catalog::default()
        .with_revision(1, &configuration)
        .expect("a valid model")
}
/// What is offered, and what goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Hosts that share the targets.
    pub hosts: usize,
    /// Targets.
    pub targets: usize,
    /// Requests per second outside the burst; three times as many in it.
    pub rate: f64,
    /// Mean time to serve, in microseconds.
    pub service: f64,
    /// The factor of one target in ten, from the first second on.
    pub slow: f64,
    /// Requests a target queues above its slots before it sheds.
    pub backlog: usize,
    /// Time between samples of the load reports, in microseconds.
    pub lag: u64,
    /// Whether the slow targets report that they are idle.
    pub lie: bool,
    /// Answers until a target's caches are full; until then it takes four times as long.
    pub cold: u32,
impl Load {
    /// A burst to three quarters of the capacity.
    pub fn within() -> Self {
        Self {
            hosts: 2,
            targets: 10,
            rate: 910.0,
            service: 10_000.0,
            slow: 10.0,
            backlog: 64,
            lag: 50_000,
            lie: false,
            cold: 0,
    /// A burst to one and a half of the capacity.
    pub fn beyond() -> Self {
            rate: 1820.0,
            ..Self::within()
    /// The same, for the fleet of later.
    pub fn many(self) -> Self {
            hosts: 45,
            targets: 50,
            rate: self.rate * 5.0,
            ..self
    fn capacity(&self) -> f64 {
        let slow = (self.targets / 10) as f64;
        let equal = self.targets as f64 - slow + slow / self.slow;
        equal * SLOTS as f64 * 1e6 / self.service
/// The outcomes of the requests offered in the burst. One that got no answer by its deadline counts
/// in the percentiles with that time; one shed at once does not count there.
#[derive(Debug, Default)]
pub struct Figures {
    pub offered: usize,
    pub answered: usize,
    pub shed: usize,
    pub late: usize,
    pub p50: f64,
    pub p99: f64,
    pub unavoidable: f64,
    pub most: u32,
impl Figures {
    /// The part of the offered requests that got no answer.
    pub fn lost(&self) -> f64 {
        (self.shed + self.late) as f64 / self.offered as f64
impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {} answered {} shed {} late {} p50 {:.1} ms p99 {:.1} ms lost {:.3} unavoidable {:.3} most {}",
            self.offered, self.answered, self.shed, self.late, self.p50, self.p99, self.lost(), self.unavoidable, self.most
        )
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize, usize),
    Done(usize, usize),
    Back(usize, usize),
    Deadline(usize),
    Wake(usize),
    Sample,
#[derive(Default)]
struct Request {
    host: usize,
    at: u64,
    sent: u64,
    tries: usize,
    grant: Option<Grant>,
    exclude: Vec<TargetKey>,
    refused: bool,
    ends: usize,
struct Target {
    running: Vec<(usize, usize)>,
    waiting: VecDeque<(usize, usize)>,
    reported: u32,
    served: u32,
/// The model.
pub struct Model {
    load: Load,
    base: Instant,
    now: u64,
    rng: Pcg64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    groups: Vec<Group>,
    keys: Vec<TargetKey>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    latencies: Vec<u64>,
    figures: Figures,
    wakes: Vec<u64>,
const BURST: std::ops::Range<u64> = 3_000_000..6_000_000;
const END: u64 = 8_000_000;
impl Model {
    pub fn new(config: Config, load: Load, seed: u64) -> Self {
        let catalog = catalog(load.targets, SLOTS as u32, 400, 2);
        let service = catalog.service_key("s").expect("a valid model");
        let zone = catalog.zone_key("z").expect("a valid model");
        let base = Instant::now();
        let mut group = Group::new(config);
        group.update(base, &catalog, service, zone, load.hosts);
            load,
            base,
            now: 0,
            rng: Pcg64::seed_from_u64(seed),
            events: BinaryHeap::new(),
            serial: 0,
            groups: vec![group; load.hosts],
            keys: catalog
                .site(service, zone)
                .targets
                .clone(),
            targets: (0..load.targets).map(|_| Target::default()).collect(),
            requests: Vec::new(),
            latencies: Vec::new(),
            figures: Figures::default(),
            wakes: vec![0; load.hosts],
    /// Runs to the end of the last request.
    pub fn run(mut self) -> Figures {
        self.push(0, Event::Arrive);
        self.push(0, Event::Sample);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        assert!(self.requests.iter().all(|request| request.ends == 1));
        self.latencies.sort_unstable();
        let at = |part: f64| self.latencies[((self.latencies.len() - 1) as f64 * part) as usize];
        let seconds = (BURST.end - BURST.start) as f64 / 1e6;
        let offered = self.figures.offered as f64;
        Figures {
            answered: self.latencies.len() - self.figures.late,
            p50: at(0.5) as f64 / 1e3,
            p99: at(0.99) as f64 / 1e3,
            unavoidable: (1.0 - self.load.capacity() * seconds / offered).max(0.0),
            ..self.figures
    fn push(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events
            .push(Reverse((self.now + delay, self.serial, event)));
    fn instant(&self, at: u64) -> Instant {
        self.base + Duration::from_micros(at)
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request, attempt) => self.reach(request, attempt),
            Event::Done(target, request) => self.done(target, request),
            Event::Back(request, attempt) => self.back(request, attempt),
            Event::Deadline(request) => self.time_out(request),
            Event::Wake(host) => self.pump(host),
            Event::Sample => self.sample(),
    fn arrive(&mut self) {
        let burst = BURST.contains(&self.now);
        let rate = if burst {
            self.load.rate * 3.0
        } else {
            self.load.rate
        let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / rate;
        if self.now < END {
            self.push(gap as u64, Event::Arrive);
        self.figures.offered += usize::from(burst);
        let host = self.rng.random_range(0..self.load.hosts);
        self.requests.push(Request {
            host,
            at: self.now,
            ..Request::default()
        self.push(DEADLINE, Event::Deadline(self.requests.len() - 1));
        self.ask(self.requests.len() - 1);
    fn ask(&mut self, id: usize) {
        let request = &self.requests[id];
        let ask = Ask {
            id: id as Id,
            deadline: self.instant(request.at + DEADLINE),
            priority: 5,
            affinity: 0,
            exclude: request.exclude.clone(),
        let (now, host) = (self.instant(self.now), request.host);
        match self.groups[host].admit(now, ask, &mut self.rng) {
            Verdict::Go(grant) => self.send(id, grant),
            Verdict::Refuse(_) => self.end(id, false),
            Verdict::Wait => {}
        self.pump(host);
    fn send(&mut self, id: usize, grant: Grant) {
        let most = self
            .groups
            .iter()
            .map(|group| group.in_flight(grant.target()))
            .sum();
        self.figures.most = self.figures.most.max(most);
        request.tries += 1;
        request.sent = self.now;
        request.refused = false;
        request.grant = Some(grant);
        let attempt = request.tries;
        self.push(WIRE, Event::Reach(id, attempt));
    fn place(&self, id: usize, attempt: usize) -> Option<usize> {
        let grant = request
            .grant
            .as_ref()
            .filter(|_| request.tries == attempt)?;
        self.keys.iter().position(|&key| key == grant.target())
    fn reach(&mut self, id: usize, attempt: usize) {
        let Some(place) = self.place(id, attempt) else {
            return;
        if target.running.len() < SLOTS {
            self.start(place, id, attempt);
        } else if target.waiting.len() < self.load.backlog {
            target.waiting.push_back((id, attempt));
            self.requests[id].refused = true;
            self.push(WIRE, Event::Back(id, attempt));
    fn start(&mut self, place: usize, id: usize, attempt: usize) {
        let noise = 0.5 - 0.5 * self.rng.random::<f64>().max(1e-9).ln();
        let cold = self.targets[place].served < self.load.cold;
        let factor = if slow { self.load.slow } else { 1.0 } * if cold { 4.0 } else { 1.0 };
        self.targets[place].running.push((id, attempt));
        let delay = (self.load.service * noise * factor) as u64;
        self.push(delay, Event::Done(place, id));
    fn done(&mut self, place: usize, id: usize) {
        if self.leave(place, id) {
            self.targets[place].served += 1;
    /// Takes a request off a target, and starts the next one there.
    fn leave(&mut self, place: usize, id: usize) -> bool {
        target.waiting.retain(|&(waiting, _)| waiting != id);
        let Some(found) = target
            .running
            .position(|&(running, _)| running == id)
        else {
            return false;
        target.running.swap_remove(found);
        if let Some((next, attempt)) = target.waiting.pop_front() {
            self.start(place, next, attempt);
        true
    fn back(&mut self, id: usize, attempt: usize) {
        let refused = self.requests[id].refused;
        let end = if refused { End::Refused } else { End::Answered };
        self.finish(id, place, end);
        if !refused {
            return self.end(id, true);
        self.requests[id].exclude.push(self.keys[place]);
        if self.requests[id].tries < TRIES {
            self.ask(id);
            self.end(id, false);
    fn finish(&mut self, id: usize, place: usize, end: End) {
        let Some(grant) = request.grant.take() else {
        let report = Report {
            end,
            latency: Duration::from_micros(self.now - request.sent),
            load: (end == End::Answered).then_some(Reported {
                in_flight: self.targets[place].reported,
                slots: SLOTS as u32,
            }),
            state: Some(if cold { State::Cold } else { State::Serving }),
        let now = self.instant(self.now);
        let ready = self.groups[host].finish(now, grant, report, &mut self.rng);
        self.go(ready);
    fn go(&mut self, ready: Vec<(Id, Grant)>) {
        for (id, grant) in ready {
            self.send(id as usize, grant);
    fn time_out(&mut self, id: usize) {
        self.leave(place, id);
        self.finish(id, place, End::TimedOut);
        self.requests[id].ends += 1;
        if BURST.contains(&self.requests[id].at) {
            self.figures.late += 1;
            self.latencies.push(DEADLINE);
    fn end(&mut self, id: usize, answered: bool) {
        if !BURST.contains(&self.requests[id].at) {
        if answered {
            self.latencies.push(self.now - self.requests[id].at);
            self.figures.shed += 1;
    fn pump(&mut self, host: usize) {
        for (id, _) in self.groups[host].expire(now) {
            self.end(id as usize, false);
        if let Some(at) = self.groups[host].next_wake(now) {
            let pending = self.wakes[host];
            if pending <= self.now || pending > self.now + delay {
                self.wakes[host] = self.now + delay;
                self.push(delay, Event::Wake(host));
//! A small model of hosts that follow plans under their caps, with summaries that lag.
#![allow(dead_code, reason = "the tests and the bench each use a part of it")]
use std::collections::{BTreeMap, VecDeque};
use ragwortfold::border::configuration::Configuration;
use ragwortfold::catalog::{Catalog, RegionKey, ServiceKey, ZoneKey};
use ragwortfold::control::membership::Sight;
use ragwortfold::control::plan::{Causality, Plan, Planner, Shares, Stamp, View};
use ragwortfold::control::summary::{Load, Message, Sample, Sender, Table};
/// Slots of the service in each zone.
pub const SLOTS: u32 = 100;
/// Two regions of two zones with two hosts each, one service, and a cap.
pub fn catalog(share: f64, window: u32) -> Catalog {
    catalog_with(share, window, serde_json::json!({}))
pub fn catalog_with(share: f64, window: u32, late: serde_json::Value) -> Catalog {
    let mut zones = serde_json::Map::new();
    let mut hosts = serde_json::Map::new();
    let mut targets = serde_json::Map::new();
    for (n, name) in ["a0", "a1", "b0", "b1"].into_iter().enumerate() {
        zones.insert(name.into(), serde_json::json!({ "region": &name[..1] }));
        for host in 0..2 {
            let port = 1_000 + 10 * n + host;
            let record = serde_json::json!({
                "availability_zone": name,
                "address": format!("127.0.0.1:{port}"),
                "peer_address": format!("127.0.0.2:{port}"),
            hosts.insert(format!("ent-{name}-{host}"), record);
            "service": "lookups", "availability_zone": name,
            "address": format!("127.0.0.3:{}", 1_000 + n), "slots": SLOTS,
        targets.insert(format!("look-{name}"), target);
    let mut folder = serde_json::json!({
        "regions": {"a": {}, "b": {}},
        "availability_zones": zones, "hosts": hosts, "targets": targets,
        "services": {"lookups": {"class": "pass-lookup", "idempotent": true}},
        "links": {
            "a-b": {"from": "a", "to": "b", "requests_per_s": 1000, "bytes_per_s": 1000000},
            "b-a": {"from": "b", "to": "a", "requests_per_s": 1000, "bytes_per_s": 1000000},
        },
        "limits": {
            "shift": {
                "default": {"share": share, "window_s": window},
                "failover": {"share": 0.25, "window_s": 10},
            "utilization": 0.8,
    for (key, value) in late.as_object().into_iter().flatten() {
        for (name, record) in value.as_object().into_iter().flatten() {
            folder[key][name] = record.clone();
    let configuration: Configuration = serde_json::from_value(folder).expect("a configuration");
        .expect("a catalog")
/// A load whose requests each take a second.
pub fn load(demand: f64, cold: f32) -> Load {
    let slots = f64::from(SLOTS);
    let served = demand.min(slots);
    Load {
        live: SLOTS as f32,
        cold,
        in_flight: served as f32,
        queued: 0.0,
        admitted: served as f32,
        refused: (demand - served) as f32,
/// Hosts that follow plans under their caps, and summaries that lag.
pub struct World {
    pub base: Instant,
    pub time: u64,
    pub catalog: Catalog,
    pub service: ServiceKey,
    pub regions: [RegionKey; 2],
    pub zones: Vec<ZoneKey>,
    /// Demand by locality, in slots.
    pub demand: [f64; 2],
    /// The splits in force, by locality.
    pub splits: BTreeMap<RegionKey, Shares>,
    /// Plans on their way to the hosts, by the time of their arrival.
    pub plans: VecDeque<(u64, Plan)>,
    pub plan: Plan,
    pub applied: Stamp,
    /// Summaries on their way to the planner, by the time of their arrival and of the sample.
    pub messages: VecDeque<(u64, u64, Message)>,
    pub senders: BTreeMap<ZoneKey, Sender>,
    pub sums: BTreeMap<ZoneKey, f64>,
    pub summaries: Table,
    pub planner: Planner,
    pub sequence: u64,
    pub sights: BTreeMap<ZoneKey, Sight>,
    /// Zones whose summaries do not arrive.
    pub muted: Vec<ZoneKey>,
    /// Hosts that reported in zones where not all did.
    pub reported: BTreeMap<ZoneKey, u32>,
    /// Share of the slots that is cold.
    pub cold: f32,
/// Time between plans and between summaries, in steps of 100 ms.
pub const BEAT: u64 = 20;
impl World {
    pub fn new(catalog: Catalog, causality: Causality, lag: u64) -> Self {
        let key = |name: &str| catalog.region_key(name).expect("a region");
        let regions = [key("a"), key("b")];
        let zones: Vec<ZoneKey> = ["a0", "a1", "b0", "b1"]
            .into_iter()
            .map(|name| catalog.zone_key(name).expect("a zone"))
        let senders = zones
            .map(|&zone| {
                (zone, Sender::new(host.expect("a host").0, 1))
        let split = |n: usize| Shares::from([(zones[n], 0.5), (zones[n + 1], 0.5)]);
        let splits = BTreeMap::from([(regions[0], split(0)), (regions[1], split(2))]);
            time: 0,
            service: catalog.service_key("lookups").expect("a service"),
            catalog,
            regions,
            zones,
            demand: [60.0, 60.0],
            splits,
            plans: VecDeque::new(),
            plan: Plan::default(),
            applied: Stamp::default(),
            messages: VecDeque::new(),
            senders,
            sums: BTreeMap::new(),
            summaries: Table::new(),
            planner: Planner::new(None).with_causality(causality),
            sequence: 0,
            sights: BTreeMap::new(),
            muted: Vec::new(),
            reported: BTreeMap::new(),
            cold: 0.0,
            lag,
    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(100 * self.time)
    pub fn load(&self, zone: ZoneKey) -> f64 {
        self.regions
            .zip(self.demand)
            .map(|(region, demand)| demand * self.share(*region, zone))
            .sum()
    pub fn share(&self, region: RegionKey, zone: ZoneKey) -> f64 {
        self.splits[&region].get(&zone).copied().unwrap_or(0.0)
    /// The part of the first locality that is away from home.
    pub fn away(&self) -> f64 {
        self.share(self.regions[0], self.zones[2]) + self.share(self.regions[0], self.zones[3])
    /// Moves the splits in force towards the plan, at the rate that the caps allow.
    pub fn follow(&mut self) {
        while self.plans.front().is_some_and(|(at, _)| *at <= self.time) {
            if let Some((_, plan)) = self.plans.pop_front() {
                self.plan = plan;
        let lost = self.sights.values().any(|sight| *sight == Sight::Lost);
        let cap = if lost {
            self.catalog.limits().failover
            self.catalog.service(self.service).shift
        let mut done = true;
        for (region, shares) in &mut self.splits {
            if let Some(goal) = self.plan.splits.get(&(self.service, *region)) {
                done &= approach(shares, goal, most);
        if done {
            self.applied = self.plan.stamp;
    pub fn sample(&mut self) {
        for zone in self.zones.clone() {
            let load = self.load(zone);
            *self.sums.entry(zone).or_default() += load;
        if !self.time.is_multiple_of(BEAT) {
        let sums = std::mem::take(&mut self.sums);
        for (zone, sum) in sums {
            let sample = Sample {
                age: Duration::ZERO,
                applied: self.applied,
                hosts: (2, self.reported.get(&zone).copied().unwrap_or(2)),
                loads: BTreeMap::from([(self.service, load(sum / BEAT as f64, self.cold))]),
                needs: BTreeMap::new(),
            let sender = self.senders.get_mut(&zone).expect("a sender");
            let message = sender.message(now, &sample, &self.catalog);
            if !self.muted.contains(&zone) {
                let due = self.time + self.lag;
                self.messages.push_back((due, self.time, message));
            }
        }
    }

    fn sample(&mut self) {
        for (place, target) in self.targets.iter_mut().enumerate() {
            let idle = self.load.lie && place.is_multiple_of(10);
            let busy = (target.running.len() + target.waiting.len()) as u32;
            target.reported = if idle { 0 } else { busy };
        }
        if self.now < END + DEADLINE {
            self.push(self.load.lag, Event::Sample);
    pub fn receive(&mut self) {
        while self.messages.front().is_some_and(|m| m.0 <= self.time) {
            if let Some((_, sent, message)) = self.messages.pop_front() {
                let delay = Duration::from_millis(100 * (self.time - sent));
                let now = self.now();
                self.summaries.take(now, &message, delay, &self.catalog);
    /// Makes a plan, which reaches the hosts a second later.
    pub fn make(&mut self) -> bool {
        let stamp = Stamp {
            epoch: 1,
            sequence: self.sequence + 1,
        };
        let view = View {
            catalog: &self.catalog,
            summaries: &self.summaries,
            sights: &self.sights,
        let (plan, changed) = self.planner.make(now, stamp, &view);
        if changed {
            self.sequence += 1;
            self.plans.push_back((self.time + 10, plan));
        changed
    pub fn step(&mut self) {
        self.time += 1;
        self.follow();
        self.sample();
        self.receive();
        if self.time.is_multiple_of(BEAT) {
            self.make();
    pub fn run(&mut self, seconds: u64) {
        (0..10 * seconds).for_each(|_| self.step());
/// Moves shares towards a goal by at most `most`. Returns whether the goal is reached.
pub fn approach(shares: &mut Shares, goal: &Shares, most: f64) -> bool {
    let zones: Vec<ZoneKey> = shares.keys().chain(goal.keys()).copied().collect();
    let want = |zone| goal.get(&zone).copied().unwrap_or(0.0);
    let gap: f64 = zones
        .iter()
        .map(|&zone| (want(zone) - shares.get(&zone).copied().unwrap_or(0.0)).max(0.0))
        .fold(0.0, f64::max);
    let total: f64 = goal
        .map(|(zone, share)| (share - shares.get(zone).copied().unwrap_or(0.0)).max(0.0))
        .sum();
    let part = if total > most { most / total } else { 1.0 };
    for zone in zones {
        let share = shares.entry(zone).or_default();
        *share += part * (want(zone) - *share);
    gap < 1e-9 || part >= 1.0
/// How a split went to its final value.
#[derive(Debug)]
pub struct Course {
    /// Most by which it went beyond it.
    pub overshoot: f64,
    /// How often it crossed it.
    pub crossings: usize,
    /// Seconds until it stayed within two hundredths of it.
    pub settled: u64,
    /// Seconds for which some zone was asked for more than its slots.
    pub overload: u64,
    /// Steps planned.
    pub steps: u64,
impl Course {
    /// Follows a world for some seconds.
    pub fn new(world: &mut World, seconds: u64) -> Self {
        let before = world.sequence;
        let mut away = Vec::new();
        let mut overload = 0;
        for _ in 0..seconds {
            world.run(1);
            away.push(world.away());
            let over = |&zone: &ZoneKey| world.load(zone) > f64::from(SLOTS);
            overload += u64::from(world.zones.iter().any(over));
        let last = away[away.len() - 1];
        let (low, high) = (last.min(away[0]), last.max(away[0]));
        let beyond = |a: &f64| (a - last).abs() > 0.02;
        let outside = |a: &f64| (low - a).max(a - high).max(0.0);
        let sides: Vec<bool> = away
            .filter(|a| beyond(a))
            .map(|a| *a > last)
            .collect();
        Self {
            overshoot: away.iter().map(outside).fold(0.0, f64::max),
            crossings: sides.windows(2).filter(|pair| pair[0] != pair[1]).count(),
            settled: away.iter().rposition(beyond).map_or(0, |n| n as u64 + 1),
            overload,
            steps: world.sequence - before,
/// A burst in one region that stays: four thirds of what its zones may hold.
pub fn burst(cap: (f64, u32), causality: Causality, lag: u64, seconds: u64) -> (World, Course) {
    let mut world = World::new(catalog(cap.0, cap.1), causality, lag);
    world.run(60);
    assert_eq!(world.sequence, 1, "nothing to move in quiet times");
    world.demand = [220.0, 40.0];
    let course = Course::new(&mut world, seconds);
    (world, course)
