//! Discrete-event simulation of hosts that share targets, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use ragwortfold::catalog::{Catalog, TargetKey};
use ragwortfold::steer::group::{
    Config, End, Grant, Group, Id, Load, Report, State, TargetRequest, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SLOTS_PER_TARGET: usize = 4;
const DEADLINE_US: u64 = 800_000;
const WIRE_DELAY_US: u64 = 500;
const MAX_ATTEMPTS: usize = 3;

/// A site of `count` targets with `slots` slots and `connections` connections each.
pub fn catalog(count: usize, slots: u32, connections: u32, warm: u32) -> Catalog {
    let catalog = Catalog::default();
    revise(&catalog, &vec!["serving"; count], slots, connections, warm)
}

/// The next revision, with the given states of the targets.
pub fn revise(
    catalog: &Catalog,
    states: &[&str],
    slots: u32,
    connections: u32,
    warm: u32,
) -> Catalog {
    let targets: serde_json::Map<_, _> = states
        .iter()
        .enumerate()
        .map(|(n, state)| {
            let target = serde_json::json!({
                "service": "s", "availability_zone": "z", "address": format!("127.0.0.1:{}", 9000 + n),
                "slots": slots, "connections": connections, "warm_s": warm, "state": state,
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
    catalog
        .with_revision(catalog.revision + 1, &configuration)
        .expect("a valid model")
}

/// Offered load, and the faults during it.
#[derive(Clone, Copy, Debug)]
pub struct OfferedLoad {
    /// Hosts that share the targets.
    pub hosts: usize,
    /// Targets.
    pub targets: usize,
    /// Requests per second outside the burst; three times as many in it.
    pub rate: f64,
    /// Mean service time, in microseconds.
    pub service_time_us: f64,
    /// Slowdown factor of one target in ten, after the first second.
    pub slow_factor: f64,
    /// Requests that a target queues beyond its slots before it refuses more.
    pub backlog: usize,
    /// Interval between samples of the load reports, in microseconds.
    pub report_interval_us: u64,
    /// Whether slow targets falsely report that they are idle.
    pub slow_targets_report_idle: bool,
    /// Whether targets report their load.
    pub reports_load: bool,
    /// Number of answers until a target's caches are full; until then concurrent requests slow each
    /// other down, since all of them miss the cache.
    pub answers_until_warm: u32,
    /// Outside the burst, time for which one host after the other gets all requests, in microseconds; 0 selects a host at random.
    pub host_turn_us: u64,
}

impl OfferedLoad {
    /// A burst to three quarters of the capacity.
    pub const fn within() -> Self {
        Self {
            hosts: 2,
            targets: 10,
            rate: 910.0,
            service_time_us: 10_000.0,
            slow_factor: 10.0,
            backlog: 64,
            report_interval_us: 50_000,
            slow_targets_report_idle: false,
            reports_load: true,
            answers_until_warm: 0,
            host_turn_us: 0,
        }
    }

    /// A burst to one and a half of the capacity.
    pub const fn beyond() -> Self {
        Self {
            rate: 1820.0,
            ..Self::within()
        }
    }

    /// The same load scaled up to a large fleet.
    pub fn large_fleet(self) -> Self {
        Self {
            hosts: 45,
            targets: 50,
            rate: self.rate * 5.0,
            ..self
        }
    }

    fn capacity(&self) -> f64 {
        let slow_targets = (self.targets / 10) as f64;
        let equivalent_targets =
            self.targets as f64 - slow_targets + slow_targets / self.slow_factor;
        equivalent_targets * SLOTS_PER_TARGET as f64 * 1e6 / self.service_time_us
    }
}

/// Results of the requests offered in the burst. A request without an answer by its deadline counts in
/// the percentiles with its deadline; a request refused immediately does not count there.
#[derive(Debug, Default)]
pub struct BurstStats {
    pub offered: usize,
    pub answered: usize,
    pub shed: usize,
    pub late: usize,
    pub p50: f64,
    pub p99: f64,
    pub unavoidable: f64,
    pub max_in_flight: u32,
    /// Requests that targets refused because their slots and queues were full.
    pub overrun: usize,
}

impl BurstStats {
    /// Returns the fraction of offered requests that got no answer.
    pub fn lost_fraction(&self) -> f64 {
        (self.shed + self.late) as f64 / self.offered as f64
    }
}

impl fmt::Display for BurstStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {} answered {} shed {} late {} p50 {:.1} ms p99 {:.1} ms lost {:.3} unavoidable {:.3} most {}",
            self.offered, self.answered, self.shed, self.late, self.p50, self.p99, self.lost_fraction(), self.unavoidable, self.max_in_flight
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AddRequest,
    ReachTarget(usize, usize),
    CompleteAtTarget(usize, usize),
    ReceiveAnswer(usize, usize),
    Deadline(usize),
    ProcessQueue(usize),
    SampleLoads,
}

#[derive(Default)]
struct Request {
    host: usize,
    arrived_us: u64,
    sent_us: u64,
    attempts: usize,
    grant: Option<Grant>,
    exclude: Vec<TargetKey>,
    refused: bool,
    outcomes: usize,
}

#[derive(Default)]
struct Target {
    running: Vec<(usize, usize)>,
    waiting: VecDeque<(usize, usize)>,
    reported_load: u32,
    served: u32,
}

/// The simulation.
pub struct Model {
    load: OfferedLoad,
    start: Instant,
    now_us: u64,
    rng: Pcg64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    groups: Vec<Group>,
    keys: Vec<TargetKey>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    latencies: Vec<u64>,
    stats: BurstStats,
    wake_times_us: Vec<u64>,
    caches_cleared: bool,
}

const BURST_PERIOD_US: std::ops::Range<u64> = 3_000_000..6_000_000;
const LAST_ARRIVAL_US: u64 = 8_000_000;

impl Model {
    pub fn new(config: Config, load: OfferedLoad, seed: u64) -> Self {
        let catalog = catalog(load.targets, SLOTS_PER_TARGET as u32, 400, 2);
        let service = catalog.service_key("s").expect("a valid model");
        let zone = catalog.zone_key("z").expect("a valid model");
        let base = Instant::now();
        let mut group = Group::new(config);
        group.update(base, &catalog, service, zone, load.hosts);
        Self {
            load,
            start: base,
            now_us: 0,
            rng: Pcg64::seed_from_u64(seed),
            events: BinaryHeap::new(),
            serial: 0,
            groups: vec![group; load.hosts],
            keys: catalog
                .site(service, zone)
                .expect("a valid model")
                .targets
                .clone(),
            targets: (0..load.targets).map(|_| Target::default()).collect(),
            requests: Vec::new(),
            latencies: Vec::new(),
            stats: BurstStats::default(),
            wake_times_us: vec![0; load.hosts],
            caches_cleared: false,
        }
    }

    /// Runs the simulation to the end of the last request.
    pub fn run(mut self) -> BurstStats {
        self.push(0, Event::AddRequest);
        self.push(0, Event::SampleLoads);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_us = at;
            self.handle_event(event);
        }
        assert!(self.requests.iter().all(|request| request.outcomes == 1));
        self.latencies.sort_unstable();
        let percentile =
            |fraction: f64| self.latencies[((self.latencies.len() - 1) as f64 * fraction) as usize];
        let seconds = (BURST_PERIOD_US.end - BURST_PERIOD_US.start) as f64 / 1e6;
        let offered = self.stats.offered as f64;
        BurstStats {
            answered: self.latencies.len() - self.stats.late,
            p50: percentile(0.5) as f64 / 1e3,
            p99: percentile(0.99) as f64 / 1e3,
            unavoidable: (1.0 - self.load.capacity() * seconds / offered).max(0.0),
            ..self.stats
        }
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events
            .push(Reverse((self.now_us + delay, self.serial, event)));
    }

    fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_micros(at)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::AddRequest => self.add_request(),
            Event::ReachTarget(request, attempt) => self.reach_target(request, attempt),
            Event::CompleteAtTarget(target, request) => self.complete_at_target(target, request),
            Event::ReceiveAnswer(request, attempt) => self.receive_answer(request, attempt),
            Event::Deadline(request) => self.time_out(request),
            Event::ProcessQueue(host) => self.process_queue(host),
            Event::SampleLoads => self.sample_loads(),
        }
    }

    fn add_request(&mut self) {
        if self.load.answers_until_warm > 0
            && !self.caches_cleared
            && self.now_us >= BURST_PERIOD_US.start
        {
            self.caches_cleared = true;
            self.targets.iter_mut().for_each(|target| target.served = 0);
        }
        let in_burst = BURST_PERIOD_US.contains(&self.now_us);
        let rate = if in_burst {
            self.load.rate * 3.0
        } else {
            self.load.rate
        };
        let interval = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / rate;
        if self.now_us < LAST_ARRIVAL_US {
            self.push(interval as u64, Event::AddRequest);
        }
        self.stats.offered += usize::from(in_burst);
        let host = match self.load.host_turn_us {
            turn if turn > 0 && !in_burst => (self.now_us / turn) as usize % self.load.hosts,
            _ => self.rng.random_range(0..self.load.hosts),
        };
        self.requests.push(Request {
            host,
            arrived_us: self.now_us,
            ..Request::default()
        });
        self.push(DEADLINE_US, Event::Deadline(self.requests.len() - 1));
        self.submit(self.requests.len() - 1);
    }

    fn submit(&mut self, id: usize) {
        let request = &self.requests[id];
        let target_request = TargetRequest {
            id: id as Id,
            deadline: self.instant(request.arrived_us + DEADLINE_US),
            priority: 5,
            affinity: 0,
            exclude: request.exclude.clone(),
        };
        let (now, host) = (self.instant(self.now_us), request.host);
        match self.groups[host].admit(now, target_request, &mut self.rng) {
            Verdict::Admit(grant) => self.send(id, grant),
            Verdict::Refuse(_) => self.end_request(id, false),
            Verdict::Wait => {}
        }
        self.process_queue(host);
    }

    fn send(&mut self, id: usize, grant: Grant) {
        let in_flight = self
            .groups
            .iter()
            .map(|group| group.in_flight(grant.target()))
            .sum();
        self.stats.max_in_flight = self.stats.max_in_flight.max(in_flight);
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.sent_us = self.now_us;
        request.refused = false;
        request.grant = Some(grant);
        let attempt = request.attempts;
        self.push(WIRE_DELAY_US, Event::ReachTarget(id, attempt));
    }

    fn target_of_attempt(&self, id: usize, attempt: usize) -> Option<usize> {
        let request = &self.requests[id];
        let grant = request
            .grant
            .as_ref()
            .filter(|_| request.attempts == attempt)?;
        self.keys.iter().position(|&key| key == grant.target())
    }

    fn reach_target(&mut self, id: usize, attempt: usize) {
        let Some(position) = self.target_of_attempt(id, attempt) else {
            return;
        };
        let target = &mut self.targets[position];
        if target.running.len() < SLOTS_PER_TARGET {
            self.start_at_target(position, id, attempt);
        } else if target.waiting.len() < self.load.backlog {
            target.waiting.push_back((id, attempt));
        } else {
            self.requests[id].refused = true;
            self.stats.overrun += 1;
            self.push(WIRE_DELAY_US, Event::ReceiveAnswer(id, attempt));
        }
    }

    fn start_at_target(&mut self, position: usize, id: usize, attempt: usize) {
        let random_factor = 0.5 - 0.5 * self.rng.random::<f64>().max(1e-9).ln();
        let is_slow = position.is_multiple_of(10) && self.now_us > 1_000_000;
        let is_cold = self.targets[position].served < self.load.answers_until_warm;
        let cold_penalty = 2.0 * self.targets[position].running.len() as f64;
        let factor = if is_slow { self.load.slow_factor } else { 1.0 }
            * if is_cold { 1.0 + cold_penalty } else { 1.0 };
        self.targets[position].running.push((id, attempt));
        let delay = (self.load.service_time_us * random_factor * factor) as u64;
        self.push(delay, Event::CompleteAtTarget(position, id));
    }

    fn complete_at_target(&mut self, position: usize, id: usize) {
        if self.remove_from_target(position, id) {
            self.targets[position].served += 1;
            let attempt = self.requests[id].attempts;
            self.push(WIRE_DELAY_US, Event::ReceiveAnswer(id, attempt));
        }
    }

    /// Removes a request from a target and starts the next one queued there.
    fn remove_from_target(&mut self, position: usize, id: usize) -> bool {
        let target = &mut self.targets[position];
        target.waiting.retain(|&(waiting, _)| waiting != id);
        let Some(found) = target
            .running
            .iter()
            .position(|&(running, _)| running == id)
        else {
            return false;
        };
        target.running.swap_remove(found);
        if let Some((next, attempt)) = target.waiting.pop_front() {
            self.start_at_target(position, next, attempt);
        }
        true
    }

    fn receive_answer(&mut self, id: usize, attempt: usize) {
        let Some(position) = self.target_of_attempt(id, attempt) else {
            return;
        };
        let refused = self.requests[id].refused;
        let end = if refused { End::Refused } else { End::Answered };
        self.finish(id, position, end);
        if !refused {
            return self.end_request(id, true);
        }
        self.requests[id].exclude.push(self.keys[position]);
        if self.requests[id].attempts < MAX_ATTEMPTS {
            self.submit(id);
        } else {
            self.end_request(id, false);
        }
    }

    fn finish(&mut self, id: usize, position: usize, end: End) {
        let request = &mut self.requests[id];
        let host = request.host;
        let Some(grant) = request.grant.take() else {
            return;
        };
        let is_cold = self.targets[position].served < self.load.answers_until_warm;
        let report = Report {
            end,
            latency: Duration::from_micros(self.now_us - request.sent_us),
            load: (end == End::Answered && self.load.reports_load).then_some(Load {
                in_flight: self.targets[position].reported_load,
                slots: SLOTS_PER_TARGET as u32,
            }),
            state: Some(if is_cold { State::Cold } else { State::Serving }),
        };
        let now = self.instant(self.now_us);
        let ready = self.groups[host].finish(now, grant, report, &mut self.rng);
        self.send_ready(ready);
        self.process_queue(host);
    }

    fn send_ready(&mut self, ready: Vec<(Id, Grant)>) {
        for (id, grant) in ready {
            self.send(id as usize, grant);
        }
    }

    fn time_out(&mut self, id: usize) {
        let attempt = self.requests[id].attempts;
        let Some(position) = self.target_of_attempt(id, attempt) else {
            return;
        };
        self.remove_from_target(position, id);
        self.finish(id, position, End::TimedOut);
        self.requests[id].outcomes += 1;
        if BURST_PERIOD_US.contains(&self.requests[id].arrived_us) {
            self.stats.late += 1;
            self.latencies.push(DEADLINE_US);
        }
    }

    fn end_request(&mut self, id: usize, answered: bool) {
        self.requests[id].outcomes += 1;
        if !BURST_PERIOD_US.contains(&self.requests[id].arrived_us) {
            return;
        }
        if answered {
            self.latencies
                .push(self.now_us - self.requests[id].arrived_us);
        } else {
            self.stats.shed += 1;
        }
    }

    fn process_queue(&mut self, host: usize) {
        let now = self.instant(self.now_us);
        for (id, _) in self.groups[host].expire(now) {
            self.end_request(id as usize, false);
        }
        let ready = self.groups[host].ready(now, &mut self.rng);
        self.send_ready(ready);
        if let Some(at) = self.groups[host].next_wake(now) {
            let delay = at.saturating_duration_since(now).as_micros() as u64 + 1;
            let pending = self.wake_times_us[host];
            if pending <= self.now_us || pending > self.now_us + delay {
                self.wake_times_us[host] = self.now_us + delay;
                self.push(delay, Event::ProcessQueue(host));
            }
        }
    }

    fn sample_loads(&mut self) {
        for (position, target) in self.targets.iter_mut().enumerate() {
            let reports_idle = self.load.slow_targets_report_idle && position.is_multiple_of(10);
            let requests = (target.running.len() + target.waiting.len()) as u32;
            target.reported_load = if reports_idle { 0 } else { requests };
        }
        if self.now_us < LAST_ARRIVAL_US + DEADLINE_US {
            self.push(self.load.report_interval_us, Event::SampleLoads);
        }
    }
}
