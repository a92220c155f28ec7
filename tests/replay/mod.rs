//! Hosts and targets under a load in virtual time, for the decisions of the fleet without sockets.
//!
//! Targets have slots, a queue and objects that they handled lately, for which they answer faster; hosts
//! decide with [`Fleet`] and hear of targets only through answers, as in operation.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::inventory::{Registration, State, TargetKey};
use ragwortfold::steer::fleet::{
    End, Fleet, Load, Observation, Permission, Refusal, Switches, TargetQuery,
};
use ragwortfold::steer::throttle::{Claim, Grant, RateUpdate};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The service that all targets belong to.
const SERVICE: &str = "books";
/// One way within a region, and between regions.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(20);
/// How long a host waits for the answer to a claim, and how long it looks for leave to send in all.
const CLAIM: Duration = Duration::from_millis(60);
const SEEK: Duration = Duration::from_millis(200);
/// How long hosts take to learn that another one ended or started.
const LEARN: Duration = Duration::from_millis(1500);
/// Time between two tellings of what targets said of their rates.
const REPEAT: Duration = Duration::from_secs(1);

/// What a target does with the requests that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It takes so many times as long.
    Slow(f64),
    /// It takes requests and never answers.
    Dark,
    /// It refuses this part of the requests without running them.
    Shed(f64),
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    /// The number of targets in each region.
    pub targets: Vec<usize>,
    /// Hosts in each region.
    pub hosts: usize,
    pub slots: u32,
    /// Requests that may wait at a target.
    pub queue: usize,
    /// The time that a target works on an object that it does not have, and on one that it has.
    pub fresh: Duration,
    pub again: Duration,
    /// Objects that a target keeps.
    pub keeps: usize,
    /// Objects whose requests come from each region.
    pub objects: u64,
    /// Requests a second from each region.
    pub rate: f64,
    /// The time within which an answer is good, and within which one is of use.
    pub aim: Duration,
    pub deadline: Duration,
    /// The bytes of an answer.
    pub bytes: u64,
    /// Targets that one request may be sent to.
    pub attempts: usize,
    /// When a refused caller comes back, once, by the time until there may be room and a random number; never without.
    pub pause: Option<fn(Duration, f64) -> Duration>,
    /// Mechanisms of the hosts in use.
    pub switches: Switches,
    pub seed: u64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            targets: vec![2, 4, 5],
            hosts: 3,
            slots: 6,
            queue: 18,
            fresh: Duration::from_millis(480),
            again: Duration::from_millis(144),
            keeps: 74,
            objects: 60,
            rate: 60.0,
            aim: Duration::from_millis(400),
            deadline: Duration::from_millis(2500),
            bytes: 1500,
            attempts: 2,
            pause: None,
            switches: Switches::default(),
            seed: 1,
        }
    }
}

/// What became of the requests that came within a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub asked: u32,
    pub good: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Sum {
    /// The part of the requests that was answered in good time.
    pub fn share(&self) -> f64 {
        f64::from(self.good) / f64::from(self.asked.max(1))
    }
}

struct Site {
    registration: Registration,
    region: usize,
    mode: Mode,
    running: usize,
    waiting: VecDeque<usize>,
    /// The objects that it has, the one handled last at the end.
    kept: VecDeque<u64>,
    /// The requests a second that it names in its answers.
    rate: Option<f64>,
    /// When requests came, and from which hosts.
    arrivals: Vec<(Instant, usize)>,
}

struct Request {
    host: usize,
    object: u64,
    begun: Instant,
    tried: Vec<TargetKey>,
    /// Where it is, and since when.
    target: Option<(TargetKey, Instant)>,
    end: Option<Outcome>,
    at: Instant,
    /// The region of the target that answered it.
    ran: Option<usize>,
    /// Whether it was refused once and came back.
    returned: bool,
    /// The claim whose answer it waits for, and until when it looks for leave to be sent.
    claimed: Option<u32>,
    seeks_until: Instant,
}

impl Request {
    /// What its host asks the fleet for it.
    fn ask<'a>(&self, service: &'a Arc<str>, homes: &'a BTreeSet<Arc<str>>) -> TargetQuery<'a> {
        let draw = draw(self.object);
        TargetQuery {
            service,
            affinity_key: draw,
            homes,
            tried: self.tried.clone(),
            object: Some(draw),
            body_bytes: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Ask {
        region: usize,
    },
    Arrive {
        request: usize,
        site: usize,
    },
    Done {
        request: usize,
        site: usize,
    },
    Answer {
        request: usize,
        end: End,
        load: (u32, u32),
        rate: Option<f64>,
    },
    Claim {
        request: usize,
        keeper: usize,
        target: TargetKey,
        claim: Claim,
    },
    Grant {
        request: usize,
        keeper: usize,
        target: TargetKey,
        grant: Grant,
    },
    Unanswered {
        request: usize,
        keeper: usize,
        target: TargetKey,
        claim: Claim,
    },
    News {
        host: usize,
        news: RateUpdate,
    },
    Repeat,
    Learn,
    GiveUp {
        request: usize,
        attempt: usize,
    },
    Return {
        request: usize,
    },
}

struct Host {
    region: usize,
    fleet: Fleet,
    /// Connections that were opened.
    met: BTreeSet<TargetKey>,
    /// Whether it runs, and whether other hosts reach it.
    is_up: bool,
    is_cut: bool,
}

/// The world that a scene sets.
pub struct World {
    pub scene: Scene,
    pub now: Instant,
    begun: Instant,
    hosts: Vec<Host>,
    sites: Vec<Site>,
    requests: Vec<Request>,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    rng: Pcg64Mcg,
    /// Requests a second from each region.
    rates: Vec<f64>,
    datagrams: u64,
}

impl World {
    pub fn new(scene: Scene) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            begun: now,
            hosts: Vec::new(),
            sites: Vec::new(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(scene.seed),
            rates: vec![scene.rate; scene.targets.len()],
            datagrams: 0,
            scene,
        };
        for region in 0..world.scene.targets.len() {
            for index in 0..world.scene.hosts {
                let host = world.host(region, index);
                world.hosts.push(host);
            }
        }
        for region in 0..world.scene.targets.len() {
            for _ in 0..world.scene.targets[region] {
                world.add(region);
            }
            world.plan(Duration::ZERO, Event::Ask { region });
        }
        world.learn();
        world.plan(REPEAT, Event::Repeat);
        world
    }

    fn host(&self, region: usize, index: usize) -> Host {
        let name = format!("h{region}-{index}").into();
        let regions = (0..self.scene.targets.len())
            .map(|region| (zone(region), format!("r{region}").into()))
            .collect();
        Host {
            region,
            fleet: Fleet::new(self.now, name, zone(region), regions, 5.0)
                .with_switches(self.scene.switches),
            met: BTreeSet::new(),
            is_up: true,
            is_cut: false,
        }
    }

    /// Tells all hosts which there are.
    fn learn(&mut self) {
        let whole: Vec<_> = (0..self.hosts.len())
            .filter(|at| self.hosts[*at].is_up && !self.hosts[*at].is_cut)
            .map(|at| self.named(at))
            .collect();
        for at in 0..self.hosts.len() {
            let known = if self.hosts[at].is_cut {
                vec![self.named(at)]
            } else {
                whole.clone()
            };
            self.hosts[at].fleet.set_live_hosts(known);
        }
    }

    fn named(&self, at: usize) -> (Arc<str>, Arc<str>) {
        let region = at / self.scene.hosts;
        let name = format!("h{region}-{}", at % self.scene.hosts);
        (name.into(), format!("r{region}").into())
    }

    /// Ends a host; the others learn of it after a while. What it had under way is lost.
    pub fn kill(&mut self, at: usize) {
        self.hosts[at].is_up = false;
        for request in &mut self.requests {
            if request.host == at && request.end.is_none() {
                request.target = None;
                request.end = Some(Outcome::Failed);
            }
        }
        self.plan(LEARN, Event::Learn);
    }

    /// Ends a host that says so to the others before.
    pub fn stop(&mut self, at: usize) {
        self.kill(at);
        self.learn();
    }

    /// Starts a host anew that was ended. It is told of rates as it meets the others, and they learn of it after a while.
    pub fn start(&mut self, at: usize) {
        let mut host = self.host(at / self.scene.hosts, at % self.scene.hosts);
        for site in &self.sites {
            host.fleet.register(self.now, site.registration.clone());
        }
        let other = self.hosts.iter().position(|other| other.is_up);
        let news: Vec<RateUpdate> = other
            .map(|other| self.hosts[other].fleet.rate_updates(self.now).collect())
            .unwrap_or_default();
        for news in &news {
            host.fleet.merge_rate(self.now, news);
        }
        self.hosts[at] = host;
        self.learn();
    }

    /// Cuts a host from the others, or takes that back; it goes on to serve callers by targets.
    pub fn cut(&mut self, at: usize, is_cut: bool) {
        self.hosts[at].is_cut = is_cut;
        self.plan(LEARN, Event::Learn);
    }

    /// Sets the requests a second that a target names from now on.
    pub fn name(&mut self, site: usize, rate: Option<f64>) {
        self.sites[site].rate = rate;
    }

    /// The most requests that a target got in any span of this length that began after a time from the beginning on, but for those
    /// from some hosts.
    pub fn most(&self, site: usize, from: Duration, span: Duration, but: &[usize]) -> usize {
        let arrivals = self.sites[site].arrivals.iter();
        let times: Vec<Instant> = arrivals
            .filter(|(at, host)| *at >= self.begun + from && !but.contains(host))
            .map(|(at, _)| *at)
            .collect();
        let count = |first: usize| {
            let within = times[first..]
                .iter()
                .filter(|at| **at < times[first] + span);
            within.count()
        };
        (0..times.len()).map(count).max().unwrap_or_default()
    }

    /// Requests that a target got between two times from the beginning on.
    pub fn got(&self, site: usize, from: Duration, to: Duration) -> usize {
        let arrivals = self.sites[site].arrivals.iter();
        let within = |at: &Instant| *at >= self.begun + from && *at < self.begun + to;
        arrivals.filter(|(at, _)| within(at)).count()
    }

    /// Datagrams that hosts sent each other so far.
    pub fn datagrams(&self) -> u64 {
        self.datagrams
    }

    /// All hosts start anew and know nothing of before; what they had under way is lost.
    pub fn restart_hosts(&mut self) {
        for request in &mut self.requests {
            if request.target.take().is_some() {
                request.end = Some(Outcome::Failed);
            }
        }
        for at in 0..self.hosts.len() {
            self.hosts[at] = self.host(at / self.scene.hosts, at % self.scene.hosts);
            for site in &self.sites {
                self.hosts[at]
                    .fleet
                    .register(self.now, site.registration.clone());
            }
        }
        self.learn();
    }

    /// Sets the requests a second that come from a region.
    pub fn set_rate(&mut self, region: usize, rate: f64) {
        self.rates[region] = rate;
    }

    /// The longest time that a request was held before it was refused.
    pub fn longest_refusal(&self) -> Duration {
        let refused = self
            .requests
            .iter()
            .filter(|request| request.end == Some(Outcome::Refused));
        refused
            .map(|request| request.at - request.begun)
            .max()
            .unwrap_or_default()
    }

    /// Adds a target to a region; gives its number.
    pub fn add(&mut self, region: usize) -> usize {
        let number = self.sites.len();
        let registration = Registration {
            id: format!("t{number}").into(),
            service: SERVICE.into(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: zone(region),
            slots: self.scene.slots,
            state: State::Ready,
            cold_left: Duration::ZERO,
            born: None,
        };
        for host in &mut self.hosts {
            host.fleet.register(self.now, registration.clone());
        }
        self.sites.push(Site {
            registration,
            region,
            mode: Mode::Up,
            running: 0,
            waiting: VecDeque::new(),
            kept: VecDeque::new(),
            rate: None,
            arrivals: Vec::new(),
        });
        number
    }

    /// Takes a target out of the registry; it ends with what it has.
    pub fn withdraw(&mut self, site: usize) {
        let id = self.sites[site].registration.id.clone();
        for host in &mut self.hosts {
            host.fleet.withdraw(&id);
        }
    }

    /// Registers a target again that was withdrawn; it has nothing of before.
    pub fn restore(&mut self, site: usize) {
        self.sites[site].kept.clear();
        let registration = self.sites[site].registration.clone();
        for host in &mut self.hosts {
            host.fleet.register(self.now, registration.clone());
        }
    }

    pub fn set_mode(&mut self, site: usize, mode: Mode) {
        self.sites[site].mode = mode;
    }

    /// The targets of a region.
    pub fn region(&self, region: usize) -> Vec<usize> {
        let sites = self.sites.iter().enumerate();
        sites
            .filter(|(_, site)| site.region == region)
            .map(|(number, _)| number)
            .collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// What became of the requests that came between two times from the beginning on. Time has to have passed
    /// for their ends.
    pub fn sum(&self, from: Duration, to: Duration) -> Sum {
        let mut sum = Sum::default();
        for request in &self.requests {
            let at = request.begun - self.begun;
            if at < from || at >= to {
                continue;
            }
            sum.asked += 1;
            match request.end {
                Some(Outcome::Answered) if request.at - request.begun <= self.scene.aim => {
                    sum.good += 1
                }
                Some(Outcome::Answered) => sum.late += 1,
                Some(Outcome::Refused) => sum.refused += 1,
                Some(Outcome::Failed) | None => sum.failed += 1,
            }
        }
        sum
    }

    /// The largest part of a region's requests that changed the region of their target from one span of `window` to the
    /// next, of requests that were answered between two times from the beginning on.
    pub fn largest_shift(
        &self,
        region: usize,
        (from, to): (Duration, Duration),
        window: Duration,
    ) -> f64 {
        const STEP: Duration = Duration::from_millis(200);
        let mut largest = 0.0f64;
        let mut at = from;
        while at + 2 * window <= to {
            let before = self.parts(region, at, window);
            let after = self.parts(region, at + window, window);
            let moved = before.iter().zip(&after).map(|(b, a)| (a - b).max(0.0));
            largest = largest.max(moved.sum());
            at += STEP;
        }
        largest
    }

    /// The part of a region's answered requests that ran in each region.
    fn parts(&self, region: usize, from: Duration, span: Duration) -> Vec<f64> {
        let mut counts = vec![0.0; self.scene.targets.len()];
        for request in &self.requests {
            let at = request.begun - self.begun;
            let is_own = self.hosts[request.host].region == region;
            if let (true, true, Some(ran)) = (is_own, at >= from && at < from + span, request.ran) {
                counts[ran] += 1.0;
            }
        }
        let all: f64 = counts.iter().sum();
        counts.iter().map(|count| count / all.max(1.0)).collect()
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask { region } => self.ask(region),
            Event::Arrive { request, site } => self.arrive(request, site),
            Event::Done { request, site } => self.done(request, site),
            Event::Answer {
                request,
                end,
                load,
                rate,
            } => {
                self.hear(request, rate);
                self.answer(request, end, load);
            }
            Event::Claim {
                request,
                keeper,
                target,
                claim,
            } => self.claim(request, keeper, target, &claim),
            Event::Grant {
                request,
                keeper,
                target,
                grant,
            } => self.granted(request, keeper, target, &grant),
            Event::Unanswered {
                request,
                keeper,
                target,
                claim,
            } => self.unanswered(request, keeper, target, &claim),
            Event::News { host, news } => {
                if self.hosts[host].is_up {
                    self.hosts[host].fleet.merge_rate(self.now, &news);
                }
            }
            Event::Repeat => self.repeat(),
            Event::Learn => self.learn(),
            Event::GiveUp { request, attempt } => self.give_up(request, attempt),
            Event::Return { request } => self.send(request),
        }
    }

    fn ask(&mut self, region: usize) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.rates[region];
        self.plan(Duration::from_secs_f64(gap), Event::Ask { region });
        let first = region * self.scene.hosts;
        let mut host = first + self.rng.random_range(0..self.scene.hosts);
        if !self.hosts[host].is_up {
            let up = (0..self.hosts.len()).filter(|at| self.hosts[*at].is_up);
            host = up.min_by_key(|at| at.abs_diff(host)).unwrap();
        }
        let object = region as u64 * 1_000_000 + self.rng.random_range(0..self.scene.objects);
        self.requests.push(Request {
            host,
            object,
            begun: self.now,
            tried: Vec::new(),
            target: None,
            end: None,
            at: self.now,
            ran: None,
            returned: false,
            claimed: None,
            seeks_until: self.now,
        });
        self.send(self.requests.len() - 1);
    }

    /// Sends news to another host, unless one of them is cut.
    fn post(&mut self, from: usize, to: usize, event: Event) {
        self.datagrams += 1;
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        if from.is_cut || to.is_cut {
            return;
        }
        let way = way(from.region, to.region);
        self.plan(way, event);
    }

    /// A request's host hears what the target's answer says of its rate.
    fn hear(&mut self, number: usize, rate: Option<f64>) {
        let request = &self.requests[number];
        let at = request.host;
        let Some((target, sent)) = request.target else {
            return;
        };
        let news = self.hosts[at]
            .fleet
            .observe_rate(self.now, target, sent, rate);
        if let Some(news) = news {
            for host in 0..self.hosts.len() {
                if host != at {
                    self.post(at, host, Event::News { host, news });
                }
            }
        }
    }

    /// Each host repeats what it knows of rates to two others.
    fn repeat(&mut self) {
        for at in 0..self.hosts.len() {
            let news: Vec<RateUpdate> = self.hosts[at].fleet.rate_updates(self.now).collect();
            self.hosts[at].fleet.expire_rates(self.now);
            if news.is_empty() || !self.hosts[at].is_up {
                continue;
            }
            for _ in 0..2 {
                let host = self.rng.random_range(0..self.hosts.len());
                for news in &news {
                    self.post(at, host, Event::News { host, news: *news });
                }
            }
        }
        self.plan(REPEAT, Event::Repeat);
    }

    fn claim(&mut self, request: usize, keeper: usize, target: TargetKey, claim: &Claim) {
        if !self.hosts[keeper].is_up {
            return;
        }
        let grant = self.hosts[keeper].fleet.grant(self.now, claim);
        let asker = self.requests[request].host;
        let answer = Event::Grant {
            request,
            keeper,
            target,
            grant,
        };
        self.post(keeper, asker, answer);
    }

    fn granted(&mut self, number: usize, keeper: usize, target: TargetKey, grant: &Grant) {
        let (name, _) = self.named(keeper);
        let at = self.requests[number].host;
        self.hosts[at].fleet.record_grant(self.now, &name, grant);
        if self.requests[number].claimed == Some(grant.0) {
            self.requests[number].claimed = None;
            self.go_on(number, target);
        }
    }

    fn unanswered(&mut self, number: usize, keeper: usize, target: TargetKey, claim: &Claim) {
        if self.requests[number].claimed != Some(claim.0) {
            return;
        }
        self.requests[number].claimed = None;
        let (name, _) = self.named(keeper);
        let at = self.requests[number].host;
        self.hosts[at]
            .fleet
            .record_unanswered_claim(self.now, &name, claim);
        self.go_on(number, target);
    }

    /// Sends a request whose claim was answered, or looks for another target.
    fn go_on(&mut self, number: usize, target: TargetKey) {
        let request = &self.requests[number];
        if request.end.is_some() {
            return;
        }
        let at = request.host;
        if self.hosts[at].fleet.use_grant(self.now, target) {
            self.dispatch(number, target);
        } else if self.now >= self.requests[number].seeks_until {
            self.refuse(number);
        } else {
            self.seek(number);
        }
    }

    fn send(&mut self, number: usize) {
        self.requests[number].seeks_until = self.now + SEEK;
        self.seek(number);
    }

    /// Looks for a target to which a request may be sent.
    fn seek(&mut self, number: usize) {
        match self.find(number) {
            Ok((target, Permission::Ask(name, claim))) => {
                let asker = self.requests[number].host;
                let keeper = (0..self.hosts.len()).find(|at| self.named(*at).0 == name);
                let keeper = keeper.unwrap();
                self.requests[number].claimed = Some(claim.0);
                let question = Event::Claim {
                    request: number,
                    keeper,
                    target,
                    claim,
                };
                self.post(asker, keeper, question);
                let patience = Event::Unanswered {
                    request: number,
                    keeper,
                    target,
                    claim,
                };
                self.plan(CLAIM, patience);
            }
            Ok((target, _)) => self.dispatch(number, target),
            Err(_) => self.refuse(number),
        }
    }

    /// The target to ask for, or that may be used.
    fn find(&mut self, number: usize) -> Result<(TargetKey, Permission), Refusal> {
        let request = &self.requests[number];
        let host = &mut self.hosts[request.host];
        let (service, homes) = (SERVICE.into(), BTreeSet::new());
        let ask = request.ask(&service, &homes);
        loop {
            let met = &host.met;
            let proposed = host
                .fleet
                .propose(self.now, &ask, |target| met.contains(&target));
            let (target, fit) = proposed?;
            match host
                .fleet
                .request_permission(self.now, (target, fit), &mut self.rng)
            {
                Permission::Denied => {}
                leave => return Ok((target, leave)),
            }
        }
    }

    fn dispatch(&mut self, number: usize, target: TargetKey) {
        let request = &mut self.requests[number];
        let host = &mut self.hosts[request.host];
        let (service, homes) = (SERVICE.into(), BTreeSet::new());
        let ask = request.ask(&service, &homes);
        host.fleet.begin(self.now, &ask, target);
        let id = host.fleet.member(target).unwrap().id().clone();
        let site = self
            .sites
            .iter()
            .position(|site| site.registration.id == id)
            .unwrap();
        let way = way(host.region, self.sites[site].region);
        if host.met.insert(target) {
            host.fleet.record_connect(target, 2 * way);
        }
        request.tried.push(target);
        request.target = Some((target, self.now));
        let attempt = request.tried.len();
        let left = (request.begun + self.scene.deadline).saturating_duration_since(self.now);
        self.plan(
            way,
            Event::Arrive {
                request: number,
                site,
            },
        );
        self.plan(
            left,
            Event::GiveUp {
                request: number,
                attempt,
            },
        );
    }

    fn arrive(&mut self, request: usize, number: usize) {
        let refuses = match self.sites[number].mode {
            Mode::Shed(part) => self.rng.random_bool(part),
            _ => false,
        };
        let slots = self.scene.slots as usize;
        let host = self.requests[request].host;
        let site = &mut self.sites[number];
        site.arrivals.push((self.now, host));
        if site.mode == Mode::Dark {
            return;
        }
        if refuses || (site.running >= slots && site.waiting.len() >= self.scene.queue) {
            self.reply(request, number, End::Refused);
        } else if site.running >= slots {
            site.waiting.push_back(request);
        } else {
            self.work(request, number);
        }
    }

    fn work(&mut self, request: usize, number: usize) {
        let object = self.requests[request].object;
        let site = &mut self.sites[number];
        site.running += 1;
        let has = site.kept.iter().position(|kept| *kept == object);
        if let Some(at) = has {
            site.kept.remove(at);
        }
        site.kept.push_back(object);
        if site.kept.len() > self.scene.keeps {
            site.kept.pop_front();
        }
        let factor = match site.mode {
            Mode::Slow(factor) => factor,
            _ => 1.0,
        };
        let work = if has.is_some() {
            self.scene.again
        } else {
            self.scene.fresh
        };
        let work = work.mul_f64(factor * self.rng.random_range(0.9..1.1));
        self.plan(
            work,
            Event::Done {
                request,
                site: number,
            },
        );
    }

    fn done(&mut self, request: usize, number: usize) {
        self.sites[number].running -= 1;
        if let Some(next) = self.sites[number].waiting.pop_front() {
            self.work(next, number);
        }
        if self.sites[number].mode != Mode::Dark {
            self.reply(request, number, End::Answered);
        }
    }

    fn reply(&mut self, request: usize, number: usize, end: End) {
        let site = &self.sites[number];
        if end == End::Answered {
            self.requests[request].ran = Some(site.region);
        }
        let load = (site.running as u32, site.waiting.len() as u32);
        let way = way(self.hosts[self.requests[request].host].region, site.region);
        let answer = Event::Answer {
            request,
            end,
            load,
            rate: site.rate,
        };
        self.plan(way, answer);
    }

    fn answer(&mut self, number: usize, end: End, load: (u32, u32)) {
        let request = &mut self.requests[number];
        let Some((target, sent)) = request.target.take() else {
            return;
        };
        let seen = Observation {
            load: Some(Load {
                running: load.0,
                waiting: load.1,
                slots: self.scene.slots,
            }),
            response_time: (end == End::Answered).then_some(self.now - sent),
            object: Some(draw(request.object)),
            goal: Some(self.scene.aim),
            body_bytes: Some(self.scene.bytes),
        };
        let fleet = &mut self.hosts[request.host].fleet;
        fleet.finish(self.now, target, end, seen, &mut self.rng);
        if end == End::Answered {
            self.end(number, Outcome::Answered);
        } else if request.tried.len() < self.scene.attempts {
            self.send(number);
        } else {
            self.refuse(number);
        }
    }

    fn refuse(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let Some(pause) = self.scene.pause.filter(|_| !request.returned) else {
            self.end(number, Outcome::Refused);
            return;
        };
        request.returned = true;
        request.tried.clear();
        let (service, homes) = (SERVICE.into(), BTreeSet::new());
        let ask = request.ask(&service, &homes);
        let room = self.hosts[request.host]
            .fleet
            .time_until_room(self.now, &ask);
        let pause = pause(room, self.rng.random_range(0.0..1.0));
        self.plan(pause, Event::Return { request: number });
    }

    fn give_up(&mut self, number: usize, attempt: usize) {
        let request = &mut self.requests[number];
        if request.tried.len() != attempt {
            return;
        }
        let Some((target, _)) = request.target.take() else {
            return;
        };
        let fleet = &mut self.hosts[request.host].fleet;
        fleet.finish(
            self.now,
            target,
            End::Cancelled,
            Observation::default(),
            &mut self.rng,
        );
        self.end(number, Outcome::Failed);
    }

    fn end(&mut self, number: usize, outcome: Outcome) {
        let request = &mut self.requests[number];
        request.end = Some(outcome);
        request.at = self.now;
    }
}

/// An object as hosts know it.
fn draw(object: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&object.to_le_bytes())
}

fn zone(region: usize) -> Arc<str> {
    format!("r{region}-a").into()
}

fn way(from: usize, to: usize) -> Duration {
    if from == to {
        NEAR
    } else {
        FAR
    }
}
