//! A model of hosts that follow plans within their caps, with delayed summaries.

#![allow(dead_code, reason = "the tests and the bench each use a part of it")]

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use ragwortfold::border::configuration::Configuration;
use ragwortfold::catalog::{Catalog, RegionKey, ServiceKey, ZoneKey};
use ragwortfold::control::membership::ZoneStatus;
use ragwortfold::control::plan::{Plan, Shares, Stamp};
use ragwortfold::control::planner::{Causality, Planner, View};
use ragwortfold::control::summary::{Load, Message, Sample, Sender, Table};

/// Slots of the service in each zone.
pub const SLOTS: u32 = 100;

/// Two regions of two zones with two hosts each, one service, and a cap.
pub fn catalog(share: f64, window: u32) -> Catalog {
    catalog_with(share, window, serde_json::json!({}))
}

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
            });
            hosts.insert(format!("ent-{name}-{host}"), record);
        }
        let target = serde_json::json!({
            "service": "lookups", "availability_zone": name,
            "address": format!("127.0.0.3:{}", 1_000 + n), "slots": SLOTS,
        });
        targets.insert(format!("look-{name}"), target);
    }
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
            },
            "utilization": 0.8,
        },
    });
    for (key, value) in late.as_object().into_iter().flatten() {
        for (name, record) in value.as_object().into_iter().flatten() {
            folder[key][name] = record.clone();
        }
    }
    let configuration: Configuration = serde_json::from_value(folder).expect("a configuration");
    Catalog::default()
        .with_revision(1, &configuration)
        .expect("a catalog")
}

/// The load of a service whose requests each take a second.
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
    }
}

/// The model: hosts that follow plans within their caps, and delayed summaries.
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
    /// Plans in transit to the hosts, by arrival time.
    pub plans: VecDeque<(u64, Plan)>,
    pub plan: Plan,
    /// Whether the splits have not reached the plan yet.
    pub moving: bool,
    /// Summaries in transit to the planner, by the time of their arrival and of the sample.
    pub messages: VecDeque<(u64, u64, Message)>,
    pub senders: BTreeMap<ZoneKey, Sender>,
    pub load_sums: BTreeMap<ZoneKey, f64>,
    pub summaries: Table,
    pub planner: Planner,
    pub sequence: u64,
    pub zone_statuses: BTreeMap<ZoneKey, ZoneStatus>,
    /// Zones whose summaries do not arrive.
    pub silent_zones: Vec<ZoneKey>,
    /// Number of hosts that reported, for zones where not all did.
    pub reported: BTreeMap<ZoneKey, u32>,
    /// Whether the hosts never report that they have reached a plan.
    pub never_settles: bool,
    /// Fraction of the slots that are cold.
    pub cold: f32,
    pub lag: u64,
}

/// Interval of plans and of summaries, in steps of 100 ms.
pub const PLAN_STEPS: u64 = 20;

impl World {
    pub fn new(catalog: Catalog, causality: Causality, lag: u64) -> Self {
        let base = Instant::now() + Duration::from_secs(100);
        let key = |name: &str| catalog.region_key(name).expect("a region");
        let regions = [key("a"), key("b")];
        let zones: Vec<ZoneKey> = ["a0", "a1", "b0", "b1"]
            .into_iter()
            .map(|name| catalog.zone_key(name).expect("a zone"))
            .collect();
        let senders = zones
            .iter()
            .map(|&zone| {
                let host = catalog.hosts().find(|(_, host)| host.zone == zone);
                (zone, Sender::new(host.expect("a host").0, 1))
            })
            .collect();
        let split = |n: usize| Shares::from([(zones[n], 0.5), (zones[n + 1], 0.5)]);
        let splits = BTreeMap::from([(regions[0], split(0)), (regions[1], split(2))]);
        Self {
            base,
            time: 0,
            service: catalog.service_key("lookups").expect("a service"),
            catalog,
            regions,
            zones,
            demand: [60.0, 60.0],
            splits,
            plans: VecDeque::new(),
            plan: Plan::default(),
            moving: false,
            messages: VecDeque::new(),
            senders,
            load_sums: BTreeMap::new(),
            summaries: Table::new(),
            planner: Planner::default().with_causality(causality),
            sequence: 0,
            zone_statuses: BTreeMap::new(),
            silent_zones: Vec::new(),
            reported: BTreeMap::new(),
            never_settles: false,
            cold: 0.0,
            lag,
        }
    }

    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(100 * self.time)
    }

    pub fn load(&self, zone: ZoneKey) -> f64 {
        self.regions
            .iter()
            .zip(self.demand)
            .map(|(region, demand)| demand * self.share(*region, zone))
            .sum()
    }

    pub fn share(&self, region: RegionKey, zone: ZoneKey) -> f64 {
        self.splits[&region].get(&zone).copied().unwrap_or(0.0)
    }

    /// The share of the first locality that is away from home.
    pub fn away(&self) -> f64 {
        self.share(self.regions[0], self.zones[2]) + self.share(self.regions[0], self.zones[3])
    }

    /// Moves the splits in force towards the plan at the rate that the caps allow.
    pub fn follow(&mut self) {
        while self.plans.front().is_some_and(|(at, _)| *at <= self.time) {
            if let Some((_, plan)) = self.plans.pop_front() {
                self.plan = plan;
            }
        }
        let lost = self
            .zone_statuses
            .values()
            .any(|status| *status == ZoneStatus::Lost);
        let cap = if lost {
            self.catalog.limits().failover_cap
        } else {
            self.catalog.service(self.service).planned_cap
        };
        let max_step = cap.share / (cap.window.as_secs_f64() * 10.0);
        let mut is_reached = true;
        for (region, shares) in &mut self.splits {
            if let Some(goal) = self.plan.splits.get(&(self.service, *region)) {
                is_reached &= move_towards(shares, goal, max_step);
            }
        }
        self.moving = !is_reached || self.never_settles;
    }

    pub fn sample(&mut self) {
        for zone in self.zones.clone() {
            let load = self.load(zone);
            *self.load_sums.entry(zone).or_default() += load;
        }
        if !self.time.is_multiple_of(PLAN_STEPS) {
            return;
        }
        let load_sums = std::mem::take(&mut self.load_sums);
        for (zone, sum) in load_sums {
            let sample = Sample {
                age: Duration::ZERO,
                applied: self.plan.stamp,
                unsettled_services: self.moving.then_some(self.service).into_iter().collect(),
                hosts: (2, self.reported.get(&zone).copied().unwrap_or(2)),
                loads: BTreeMap::from([(self.service, load(sum / PLAN_STEPS as f64, self.cold))]),
                ..Sample::default()
            };
            let now = self.now();
            let sender = self.senders.get_mut(&zone).expect("a sender");
            let message = sender.message(now, &sample, &self.catalog);
            if !self.silent_zones.contains(&zone) {
                let due = self.time + self.lag;
                self.messages.push_back((due, self.time, message));
            }
        }
    }

    pub fn receive(&mut self) {
        while self.messages.front().is_some_and(|m| m.0 <= self.time) {
            if let Some((_, sent, message)) = self.messages.pop_front() {
                let delay = Duration::from_millis(100 * (self.time - sent));
                let now = self.now();
                self.summaries.apply(now, &message, delay, &self.catalog);
            }
        }
    }

    /// Makes a plan, which reaches the hosts a second later. Returns whether it changed.
    pub fn make_plan(&mut self) -> bool {
        let stamp = Stamp {
            epoch: 1,
            sequence: self.sequence + 1,
        };
        let now = self.now();
        let view = View {
            catalog: &self.catalog,
            summaries: &self.summaries,
            zone_statuses: &self.zone_statuses,
        };
        let (plan, changed) = self.planner.make_plan(now, stamp, &view);
        if changed {
            self.sequence += 1;
            self.plans.push_back((self.time + 10, plan));
        }
        changed
    }

    pub fn step(&mut self) {
        self.time += 1;
        self.follow();
        self.sample();
        self.receive();
        if self.time.is_multiple_of(PLAN_STEPS) {
            self.make_plan();
        }
    }

    pub fn run(&mut self, seconds: u64) {
        (0..10 * seconds).for_each(|_| self.step());
    }
}

/// Moves shares towards a goal by at most `max_step`. Returns whether the goal is reached.
pub fn move_towards(shares: &mut Shares, goal: &Shares, max_step: f64) -> bool {
    let zones: Vec<ZoneKey> = shares.keys().chain(goal.keys()).copied().collect();
    let goal_share = |zone| goal.get(&zone).copied().unwrap_or(0.0);
    let gap: f64 = zones
        .iter()
        .map(|&zone| (goal_share(zone) - shares.get(&zone).copied().unwrap_or(0.0)).max(0.0))
        .fold(0.0, f64::max);
    let total: f64 = goal
        .iter()
        .map(|(zone, share)| (share - shares.get(zone).copied().unwrap_or(0.0)).max(0.0))
        .sum();
    let fraction = if total > max_step {
        max_step / total
    } else {
        1.0
    };
    for zone in zones {
        let share = shares.entry(zone).or_default();
        *share += fraction * (goal_share(zone) - *share);
    }
    gap < 1e-9 || fraction >= 1.0
}

/// How a split approached its final value.
#[derive(Debug)]
pub struct Course {
    /// Largest amount by which it went beyond the final value.
    pub overshoot: f64,
    /// How often it crossed the final value.
    pub crossings: usize,
    /// Seconds until it stayed within two hundredths of the final value.
    pub settled: u64,
    /// Seconds during which the load of some zone exceeded its slots.
    pub overload: u64,
    /// Number of planned steps.
    pub steps: u64,
}

impl Course {
    /// Runs a world for some seconds and records its split.
    pub fn new(world: &mut World, seconds: u64) -> Self {
        let before = world.sequence;
        let mut away = Vec::new();
        let mut overload = 0;
        for _ in 0..seconds {
            world.run(1);
            away.push(world.away());
            let over = |&zone: &ZoneKey| world.load(zone) > f64::from(SLOTS);
            overload += u64::from(world.zones.iter().any(over));
        }
        let last = away[away.len() - 1];
        let (low, high) = (last.min(away[0]), last.max(away[0]));
        let beyond = |a: &f64| (a - last).abs() > 0.02;
        let outside = |a: &f64| (low - a).max(a - high).max(0.0);
        let sides: Vec<bool> = away
            .iter()
            .filter(|a| beyond(a))
            .map(|a| *a > last)
            .collect();
        Self {
            overshoot: away.iter().map(outside).fold(0.0, f64::max),
            crossings: sides.windows(2).filter(|pair| pair[0] != pair[1]).count(),
            settled: away.iter().rposition(beyond).map_or(0, |n| n as u64 + 1),
            overload,
            steps: world.sequence - before,
        }
    }
}

/// A world with a lasting burst in one region: four thirds of what its zones may hold.
pub fn burst(cap: (f64, u32), causality: Causality, lag: u64, seconds: u64) -> (World, Course) {
    let mut world = World::new(catalog(cap.0, cap.1), causality, lag);
    world.run(60);
    assert_eq!(world.sequence, 1, "nothing to move in quiet times");
    world.demand = [220.0, 40.0];
    let course = Course::new(&mut world, seconds);
    (world, course)
}
