//! Two hosts that share targets, on virtual time: an event queue and nothing else.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use ragwortfold::catalog::{Catalog, TargetKey};
use ragwortfold::steer::group::{
    Config, End, Grant, Group, Id, Load as Reported, Report, State, TargetRequest, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SLOTS: usize = 4;
const DEADLINE: u64 = 800_000;
const WIRE: u64 = 500;
const TRIES: usize = 3;

/// A site of `count` targets with `slots` slots and `connections` connections each.
pub fn catalog(count: usize, slots: u32, connections: u32, warm: u32) -> Catalog {
    let catalog = Catalog::default();
    revise(&catalog, &vec!["serving"; count], slots, connections, warm)
}

/// The next revision, with these states of the targets.
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
    /// Whether targets report their load at all.
    pub report: bool,
    /// Answers until a target's caches are full; until then it takes the longer
    /// the more it runs at once, as all of them miss.
    pub cold: u32,
    /// Outside the burst hosts get all requests in turn, each for so long, in microseconds; at random if this is 0.
    pub turns: u64,
}

impl Load {
    /// A burst to three quarters of the capacity.
    pub const fn within() -> Self {
        Self {
            hosts: 2,
            targets: 10,
            rate: 910.0,
            service: 10_000.0,
            slow: 10.0,
            backlog: 64,
            lag: 50_000,
            lie: false,
            report: true,
            cold: 0,
            turns: 0,
        }
    }

    /// A burst to one and a half of the capacity.
    pub const fn beyond() -> Self {
        Self {
            rate: 1820.0,
            ..Self::within()
        }
    }

    /// The same, for the fleet of later.
    pub fn many(self) -> Self {
        Self {
            hosts: 45,
            targets: 50,
            rate: self.rate * 5.0,
            ..self
        }
    }

    fn capacity(&self) -> f64 {
        let slow = (self.targets / 10) as f64;
        let equal = self.targets as f64 - slow + slow / self.slow;
        equal * SLOTS as f64 * 1e6 / self.service
    }
}

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
    /// Requests that targets refused, as their slots and queues were full.
    pub overrun: usize,
}

impl Figures {
    /// The part of the offered requests that got no answer.
    pub fn lost(&self) -> f64 {
        (self.shed + self.late) as f64 / self.offered as f64
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {} answered {} shed {} late {} p50 {:.1} ms p99 {:.1} ms lost {:.3} unavoidable {:.3} most {}",
            self.offered, self.answered, self.shed, self.late, self.p50, self.p99, self.lost(), self.unavoidable, self.most
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(usize, usize),
    Done(usize, usize),
    Back(usize, usize),
    Deadline(usize),
    Wake(usize),
    Sample,
}

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
}

#[derive(Default)]
struct Target {
    running: Vec<(usize, usize)>,
    waiting: VecDeque<(usize, usize)>,
    reported: u32,
    served: u32,
}

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
    cooled: bool,
}

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
        Self {
            load,
            base,
            now: 0,
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
            figures: Figures::default(),
            wakes: vec![0; load.hosts],
            cooled: false,
        }
    }

    /// Runs to the end of the last request.
    pub fn run(mut self) -> Figures {
        self.push(0, Event::Arrive);
        self.push(0, Event::Sample);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
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
        }
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events
            .push(Reverse((self.now + delay, self.serial, event)));
    }

    fn instant(&self, at: u64) -> Instant {
        self.base + Duration::from_micros(at)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request, attempt) => self.reach(request, attempt),
            Event::Done(target, request) => self.done(target, request),
            Event::Back(request, attempt) => self.back(request, attempt),
            Event::Deadline(request) => self.time_out(request),
            Event::Wake(host) => self.pump(host),
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self) {
        if self.load.cold > 0 && !self.cooled && self.now >= BURST.start {
            self.cooled = true;
            self.targets.iter_mut().for_each(|target| target.served = 0);
        }
        let burst = BURST.contains(&self.now);
        let rate = if burst {
            self.load.rate * 3.0
        } else {
            self.load.rate
        };
        let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / rate;
        if self.now < END {
            self.push(gap as u64, Event::Arrive);
        }
        self.figures.offered += usize::from(burst);
        let host = match self.load.turns {
            turns if turns > 0 && !burst => (self.now / turns) as usize % self.load.hosts,
            _ => self.rng.random_range(0..self.load.hosts),
        };
        self.requests.push(Request {
            host,
            at: self.now,
            ..Request::default()
        });
        self.push(DEADLINE, Event::Deadline(self.requests.len() - 1));
        self.ask(self.requests.len() - 1);
    }

    fn ask(&mut self, id: usize) {
        let request = &self.requests[id];
        let ask = TargetRequest {
            id: id as Id,
            deadline: self.instant(request.at + DEADLINE),
            priority: 5,
            affinity: 0,
            exclude: request.exclude.clone(),
        };
        let (now, host) = (self.instant(self.now), request.host);
        match self.groups[host].admit(now, ask, &mut self.rng) {
            Verdict::Admit(grant) => self.send(id, grant),
            Verdict::Refuse(_) => self.end(id, false),
            Verdict::Wait => {}
        }
        self.pump(host);
    }

    fn send(&mut self, id: usize, grant: Grant) {
        let most = self
            .groups
            .iter()
            .map(|group| group.in_flight(grant.target()))
            .sum();
        self.figures.most = self.figures.most.max(most);
        let request = &mut self.requests[id];
        request.tries += 1;
        request.sent = self.now;
        request.refused = false;
        request.grant = Some(grant);
        let attempt = request.tries;
        self.push(WIRE, Event::Reach(id, attempt));
    }

    fn place(&self, id: usize, attempt: usize) -> Option<usize> {
        let request = &self.requests[id];
        let grant = request
            .grant
            .as_ref()
            .filter(|_| request.tries == attempt)?;
        self.keys.iter().position(|&key| key == grant.target())
    }

    fn reach(&mut self, id: usize, attempt: usize) {
        let Some(place) = self.place(id, attempt) else {
            return;
        };
        let target = &mut self.targets[place];
        if target.running.len() < SLOTS {
            self.start(place, id, attempt);
        } else if target.waiting.len() < self.load.backlog {
            target.waiting.push_back((id, attempt));
        } else {
            self.requests[id].refused = true;
            self.figures.overrun += 1;
            self.push(WIRE, Event::Back(id, attempt));
        }
    }

    fn start(&mut self, place: usize, id: usize, attempt: usize) {
        let noise = 0.5 - 0.5 * self.rng.random::<f64>().max(1e-9).ln();
        let slow = place.is_multiple_of(10) && self.now > 1_000_000;
        let cold = self.targets[place].served < self.load.cold;
        let crowd = 2.0 * self.targets[place].running.len() as f64;
        let factor = if slow { self.load.slow } else { 1.0 } * if cold { 1.0 + crowd } else { 1.0 };
        self.targets[place].running.push((id, attempt));
        let delay = (self.load.service * noise * factor) as u64;
        self.push(delay, Event::Done(place, id));
    }

    fn done(&mut self, place: usize, id: usize) {
        if self.leave(place, id) {
            self.targets[place].served += 1;
            let attempt = self.requests[id].tries;
            self.push(WIRE, Event::Back(id, attempt));
        }
    }

    /// Takes a request off a target, and starts the next one there.
    fn leave(&mut self, place: usize, id: usize) -> bool {
        let target = &mut self.targets[place];
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
            self.start(place, next, attempt);
        }
        true
    }

    fn back(&mut self, id: usize, attempt: usize) {
        let Some(place) = self.place(id, attempt) else {
            return;
        };
        let refused = self.requests[id].refused;
        let end = if refused { End::Refused } else { End::Answered };
        self.finish(id, place, end);
        if !refused {
            return self.end(id, true);
        }
        self.requests[id].exclude.push(self.keys[place]);
        if self.requests[id].tries < TRIES {
            self.ask(id);
        } else {
            self.end(id, false);
        }
    }

    fn finish(&mut self, id: usize, place: usize, end: End) {
        let request = &mut self.requests[id];
        let host = request.host;
        let Some(grant) = request.grant.take() else {
            return;
        };
        let cold = self.targets[place].served < self.load.cold;
        let report = Report {
            end,
            latency: Duration::from_micros(self.now - request.sent),
            load: (end == End::Answered && self.load.report).then_some(Reported {
                in_flight: self.targets[place].reported,
                slots: SLOTS as u32,
            }),
            state: Some(if cold { State::Cold } else { State::Serving }),
        };
        let now = self.instant(self.now);
        let ready = self.groups[host].finish(now, grant, report, &mut self.rng);
        self.go(ready);
        self.pump(host);
    }

    fn go(&mut self, ready: Vec<(Id, Grant)>) {
        for (id, grant) in ready {
            self.send(id as usize, grant);
        }
    }

    fn time_out(&mut self, id: usize) {
        let attempt = self.requests[id].tries;
        let Some(place) = self.place(id, attempt) else {
            return;
        };
        self.leave(place, id);
        self.finish(id, place, End::TimedOut);
        self.requests[id].ends += 1;
        if BURST.contains(&self.requests[id].at) {
            self.figures.late += 1;
            self.latencies.push(DEADLINE);
        }
    }

    fn end(&mut self, id: usize, answered: bool) {
        self.requests[id].ends += 1;
        if !BURST.contains(&self.requests[id].at) {
            return;
        }
        if answered {
            self.latencies.push(self.now - self.requests[id].at);
        } else {
            self.figures.shed += 1;
        }
    }

    fn pump(&mut self, host: usize) {
        let now = self.instant(self.now);
        for (id, _) in self.groups[host].expire(now) {
            self.end(id as usize, false);
        }
        let ready = self.groups[host].ready(now, &mut self.rng);
        self.go(ready);
        if let Some(at) = self.groups[host].next_wake(now) {
            let delay = at.saturating_duration_since(now).as_micros() as u64 + 1;
            let pending = self.wakes[host];
            if pending <= self.now || pending > self.now + delay {
                self.wakes[host] = self.now + delay;
                self.push(delay, Event::Wake(host));
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
        }
    }
}
