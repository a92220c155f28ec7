//! A deployment of three regions under load: a store in one of them, round trips of 110 ms between regions, targets that leave and are
//! replaced all the time, and troubles of hosts, links, targets and the store by seeds. Checks that no target gets requests later than
//! [`DRAIN`] after the store has acknowledged that it leaves, from hosts that had no trouble themselves.
//!
//! The hosts reach the store and the targets over links. Between each other they are on one machine, without delay or loss.
//! In the course [`Course::Held`] targets are processes of their own, which a signal stops.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ::standin::link::{Accept, Fault, Link};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::process::{self, Process};
use crate::standin::{build_response, read_message, start_target, wait_until, Host, Mode, Store};
use crate::world::DRAIN;

const ZONES: [(&str, &str); 6] = [
    ("arq-a", "arq"),
    ("lim-a", "lim"),
    ("cus-a", "cus"),
    ("arq-b", "arq"),
    ("lim-b", "lim"),
    ("cus-b", "cus"),
];
/// The region of the store.
const STORE_REGION: &str = "arq";
const HOSTS: usize = 11;
/// Latency between two regions, and within one.
const FAR: Duration = Duration::from_millis(55);
const NEAR: Duration = Duration::from_micros(500);
/// Share of the chunks that a bad link loses, in thousandths, and its retransmission timeout.
const LOSS: u16 = 200;
const RETRANSMIT: Duration = Duration::from_millis(320);

/// A service with its path, whether its requests may be repeated, targets, slots, work and requests a second.
struct Service {
    name: &'static str,
    is_safe: bool,
    targets: usize,
    slots: usize,
    work: Duration,
    rate: f64,
}

const SERVICES: [Service; 3] = [
    Service {
        name: "lookup",
        is_safe: true,
        targets: 22,
        slots: 6,
        work: Duration::from_millis(256),
        rate: 635.0,
    },
    Service {
        name: "reserve",
        is_safe: false,
        targets: 12,
        slots: 4,
        work: Duration::from_millis(332),
        rate: 198.0,
    },
    Service {
        name: "upload",
        is_safe: false,
        targets: 12,
        slots: 3,
        work: Duration::from_millis(304),
        rate: 66.7,
    },
];

/// Objects that callers ask for, and the share of the work that is left for an object that the target handled lately.
const OBJECTS: u32 = 300;
const REPEAT_WORK: f64 = 0.3;
const DEADLINE: Duration = Duration::from_millis(1500);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(200);
/// Time without trouble after which a host, or the store, is bound by the rules again.
const STABLE: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(6);
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(600);
const TROUBLE_INTERVAL: Duration = Duration::from_millis(1100);
/// Longest time that a target runs on after [`DRAIN`], and pause before its address has another process.
const MAX_LINGERING: Duration = Duration::from_secs(4);
const REUSE_PAUSE: Duration = Duration::from_secs(2);
/// Requests that may wait at a target that is a process, for each of its slots.
const QUEUE_PER_SLOT: usize = 3;

/// Share of the troubles that lose several hosts, in the course [`Course::Losses`].
const LOSS_SHARE: f64 = 0.25;

/// How much happens in a day.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// How long targets leave and troubles come.
    day: Duration,
    /// Share of the services' rates.
    load: f64,
}

impl Size {
    /// The whole deployment.
    pub const WHOLE: Self = Self {
        day: Duration::from_secs(24),
        load: 1.0,
    };
    /// Little enough to run beside other tests.
    pub const SHORT: Self = Self {
        day: Duration::from_secs(9),
        load: 0.2,
    };
}

/// What happens in a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// Hosts and their links to the store have troubles.
    Hosts,
    /// Hosts and targets have.
    Targets,
    /// The store has as well, in the first third.
    Store,
    /// Hosts and targets have, and some of the targets read nothing before they leave.
    Silence,
    /// The same with targets that are processes, which queue requests and are stopped.
    Held,
    /// Hosts and targets have troubles, zones are evacuated, configurations change, all hosts start at once, and connections to
    /// targets open late, as if a SYN were lost.
    Operations,
    /// Hosts and their links have troubles, and now and then several hosts are lost at one moment.
    Losses,
}

impl Course {
    pub const ALL: [Self; 7] = [
        Self::Hosts,
        Self::Targets,
        Self::Store,
        Self::Silence,
        Self::Held,
        Self::Operations,
        Self::Losses,
    ];

    /// Whether some targets answer nothing before they leave.
    fn has_silences(self) -> bool {
        matches!(self, Self::Silence | Self::Held)
    }
}

/// A span of time.
type Span = (Instant, Instant);

/// How a target handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Manner {
    #[default]
    Normal,
    WrongId,
    Close,
    Fail,
    Slow,
    /// It rejects each second request.
    Shed,
    /// It reads nothing.
    Silent,
}

/// A target: an address with one process after the other.
struct Target {
    service: usize,
    zone: usize,
    manner: Mutex<Manner>,
    /// Its process, and the one before.
    processes: Mutex<BTreeSet<String>>,
    running: AtomicUsize,
    seen: Mutex<BTreeMap<String, Instant>>,
    /// When it stopped reading the last time.
    silent_since: Mutex<Option<Instant>>,
    /// Processes that requests reached, the requests' IDs, and when.
    arrivals: Mutex<Vec<(Instant, String, String)>>,
    /// Requests that wait for a slot, if it lets any wait.
    queue: Option<AtomicUsize>,
    /// Where it runs, if not in this process.
    runner: Option<Mutex<Process>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    fn new(service: usize, zone: usize) -> Self {
        Self {
            service,
            zone,
            manner: Mutex::default(),
            processes: Mutex::default(),
            running: AtomicUsize::new(0),
            seen: Mutex::default(),
            silent_since: Mutex::default(),
            arrivals: Mutex::default(),
            queue: None,
            runner: None,
        }
    }

    /// Has it handle requests in this way from now on.
    fn set_manner(&self, manner: Manner) {
        *lock(&self.manner) = manner;
        if let Some(runner) = &self.runner {
            lock(runner).set_manner(manner);
        }
    }

    /// Sets the processes that it is.
    fn set_processes(&self, change: impl FnOnce(&mut BTreeSet<String>)) {
        let processes = &mut *lock(&self.processes);
        change(processes);
        if let Some(runner) = &self.runner {
            lock(runner).set_processes(processes);
        }
    }

    /// Takes a slot, for which the request may have to wait. Returns whether it has one, and how many requests then run.
    fn take_slot(&self, slots: usize) -> (bool, usize) {
        let take = || {
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            if running >= slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
            }
            (running < slots, running)
        };
        let Some(queue) = &self.queue else {
            return take();
        };
        let waiting = queue.fetch_add(1, Ordering::SeqCst);
        let mut taken = take();
        while !taken.0 && waiting < QUEUE_PER_SLOT * slots {
            thread::sleep(Duration::from_millis(1));
            taken = take();
        }
        queue.fetch_sub(1, Ordering::SeqCst);
        taken
    }

    fn respond(&self, headers: &BTreeMap<String, String>) -> Option<String> {
        while *lock(&self.manner) == Manner::Silent {
            thread::sleep(Duration::from_millis(5));
        }
        let Some(id) = headers.get("ragwortfold-request-id") else {
            let processes = lock(&self.processes);
            let process = processes.last().map_or("", |process| process);
            return Some(format!(
                "HTTP/1.1 200 OK\r\nragwortfold-instance-id: {process}\r\ncontent-length: 0\r\n\r\n"
            ));
        };
        let process = headers.get("ragwortfold-expect-instance")?;
        if !lock(&self.processes).contains(process) {
            return Some(build_response(
                headers,
                "421 X",
                "ragwortfold-not-run: 1\r\n",
                "",
            ));
        }
        lock(&self.arrivals).push((Instant::now(), process.clone(), id.clone()));
        if self.queue.is_some() {
            process::report_arrival(process, id);
        }
        let service = &SERVICES[self.service];
        let (has_slot, running) = self.take_slot(service.slots);
        let load = |running| {
            let waiting = self
                .queue
                .as_ref()
                .map_or(0, |queue| queue.load(Ordering::SeqCst));
            format!(
                "ragwortfold-server-load: {running},{waiting},{}\r\n",
                service.slots
            )
        };
        if !has_slot {
            let extra = format!("ragwortfold-not-run: 1\r\n{}", load(running));
            return Some(build_response(headers, "503 X", &extra, ""));
        }
        let manner = *lock(&self.manner);
        let object = headers.get("cookie").cloned().unwrap_or_default();
        let seen = lock(&self.seen).insert(object, Instant::now());
        let work = if seen.is_some() {
            service.work.mul_f64(REPEAT_WORK)
        } else {
            service.work
        };
        thread::sleep(if manner == Manner::Slow {
            work * 3
        } else {
            work
        });
        let running = self.running.fetch_sub(1, Ordering::SeqCst);
        let is_shed =
            manner == Manner::Shed && id.as_bytes().last().is_some_and(|last| last % 2 == 0);
        if is_shed {
            let extra = format!("ragwortfold-not-run: 1\r\n{}", load(running));
            return Some(build_response(headers, "503 X", &extra, ""));
        }
        match manner {
            Manner::Normal | Manner::Slow | Manner::Shed | Manner::Silent => {
                Some(build_response(headers, "200 OK", &load(running), "x"))
            }
            Manner::WrongId => {
                let mut other = headers.clone();
                other.insert("ragwortfold-request-id".into(), "other".into());
                Some(build_response(&other, "200 OK", "", "x"))
            }
            Manner::Close => None,
            Manner::Fail => Some(build_response(headers, "500 X", "", "no")),
        }
    }
}

/// Runs a target in this process, which the parent started for it, until the parent ends.
pub fn run_target(service: usize) {
    let target = Arc::new(Target {
        queue: Some(AtomicUsize::new(0)),
        ..Target::new(service, 0)
    });
    let responder = target.clone();
    process::report_address(start_target(move |headers| responder.respond(headers)));
    process::obey(
        |manner| target.set_manner(manner),
        |processes| {
            target.set_processes(|own| *own = processes);
        },
    );
}

/// A process that leaves.
struct Departure {
    process: String,
    target: usize,
    acknowledged_at: Instant,
    ends_at: Instant,
    is_announced: bool,
    is_replaced: bool,
}

/// The deployment, and the troubles that it has had.
struct Deployment {
    started_at: Instant,
    store: Store,
    views: Vec<Store>,
    store_links: Vec<Link>,
    /// The links to each target, by region.
    target_links: Vec<BTreeMap<&'static str, Link>>,
    targets: Vec<Arc<Target>>,
    generations: Vec<usize>,
    hosts: Vec<Host>,
    departures: Vec<Departure>,
    host_troubles: Vec<(usize, Span)>,
    store_troubles: Vec<Span>,
    /// The version of the configuration.
    version: usize,
}

fn latency(one: &str, other: &str) -> Fault {
    Fault::delay(if one == other { NEAR } else { FAR })
}

fn region(host: usize) -> &'static str {
    ZONES[host % ZONES.len()].1
}

fn configure(store: &Store, version: usize) {
    let route = |service: &Service| {
        json!({"host": "a.example", "pathPrefix": format!("/{}/", service.name), "kind": if service.is_safe { "safe" } else { "unsafe" },
            "timeout": "1500ms", "goal": "300ms", "priority": 1, "service": service.name, "maxAttempts": 3, "sticky": true})
    };
    let routes: BTreeMap<&str, Value> = SERVICES
        .iter()
        .map(|service| (service.name, route(service)))
        .collect();
    let service = json!({"healthPath": "/health", "maxConns": 390, "cold": "3s", "coldPerS": 17.0});
    let services: BTreeMap<&str, Value> = SERVICES
        .iter()
        .map(|one| (one.name, service.clone()))
        .collect();
    let spec = json!({"version": format!("{version:08x}"), "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeout": "3s", "idleTimeout": "15s"}});
    store.put("config", "main", json!({"spec": spec}));
}

impl Deployment {
    fn new(seed: u64, course: Course) -> Self {
        let store = Store::new();
        configure(&store, 1);
        let mut deployment = Self {
            started_at: Instant::now(),
            store: store.clone(),
            views: (0..HOSTS).map(|_| store.with_new_address()).collect(),
            store_links: Vec::new(),
            target_links: Vec::new(),
            targets: Vec::new(),
            generations: Vec::new(),
            hosts: Vec::new(),
            departures: Vec::new(),
            host_troubles: Vec::new(),
            store_troubles: Vec::new(),
            version: 1,
        };
        for (service, entry) in SERVICES.iter().enumerate() {
            for number in 0..entry.targets {
                deployment.start_target(service, number % ZONES.len(), seed, course);
            }
        }
        let regions: BTreeMap<&str, &str> = ZONES.into_iter().collect();
        for host in 0..HOSTS {
            let (zone, region) = ZONES[host % ZONES.len()];
            let view = &deployment.views[host];
            let link = Link::new(([127, 0, 0, 1], 0).into(), view.address).unwrap();
            let link = link.with_seed(seed + host as u64);
            link.set_fault(latency(region, STORE_REGION));
            let store = view.at_address(link.address());
            deployment.store_links.push(link);
            let name = format!("h{host}");
            let started = Host::in_zone(&store, &name, zone, &json!(regions));
            deployment.hosts.push(started);
        }
        for host in &deployment.hosts {
            wait_until(|| host.is_ready());
        }
        deployment
    }

    fn start_target(&mut self, service: usize, zone: usize, seed: u64, course: Course) {
        let mut target = Target::new(service, zone);
        let arrivals = (course == Course::Held).then(|| {
            let (runner, address, arrivals) = Process::start(service);
            target.runner = Some(Mutex::new(runner));
            (address, arrivals)
        });
        let target = Arc::new(target);
        let recorder = target.clone();
        let address = match arrivals {
            Some((address, arrivals)) => {
                thread::spawn(move || {
                    arrivals.for_each(|arrival| lock(&recorder.arrivals).push(arrival));
                });
                address
            }
            None => start_target(move |headers| recorder.respond(headers)),
        };
        let index = self.targets.len();
        let mut links = BTreeMap::new();
        for region in ["arq", "lim", "cus"] {
            let link = Link::new(([127, 0, 0, 1], 0).into(), address).unwrap();
            let link = link.with_seed(seed + index as u64);
            link.set_fault(latency(region, ZONES[zone].1));
            links.insert(region, link);
        }
        for (host, view) in self.views.iter().enumerate() {
            view.set_link(address, links[region(host)].address());
        }
        self.targets.push(target);
        self.target_links.push(links);
        self.generations.push(0);
        self.register(index, address);
    }

    fn process(&self, target: usize) -> String {
        format!("i-{target:02}-{:03}", self.generations[target])
    }

    fn entry(&self, target: usize, address: SocketAddr, state: &str) -> Value {
        let entry = &self.targets[target];
        let service = &SERVICES[entry.service];
        json!({"spec": {"address": address, "info": {"service": service.name, "zone": ZONES[entry.zone].0, "slots": service.slots}},
            "status": {"state": state, "seq": 1, "coldLeft": "0ms"}})
    }

    fn register(&mut self, target: usize, address: SocketAddr) {
        let process = self.process(target);
        self.targets[target].set_processes(|processes| {
            processes.insert(process.clone());
        });
        self.store
            .put("servers", &process, self.entry(target, address, "ready"));
    }

    /// Has the process of a target leave; it announces that, or its entry is removed.
    fn depart(&mut self, target: usize, is_announced: bool, lingering: Duration) {
        let process = self.process(target);
        let object = self.store.get("servers", &process).unwrap();
        if is_announced {
            let address: SocketAddr =
                serde_json::from_value(object["spec"]["address"].clone()).unwrap();
            self.store
                .put("servers", &process, self.entry(target, address, "draining"));
        } else {
            self.store.remove("servers", &process);
        }
        let acknowledged_at = Instant::now();
        self.departures.push(Departure {
            process,
            target,
            acknowledged_at,
            ends_at: acknowledged_at + DRAIN + lingering,
            is_announced,
            is_replaced: false,
        });
    }

    /// Ends processes that have lingered long enough, and starts others at their addresses.
    fn replace(&mut self) {
        let now = Instant::now();
        for index in 0..self.departures.len() {
            let departure = &mut self.departures[index];
            let (target, process) = (departure.target, departure.process.clone());
            if now < departure.ends_at {
                continue;
            }
            if lock(&self.targets[target].processes).contains(&process) {
                self.targets[target].set_processes(|processes| {
                    processes.remove(&process);
                });
                self.store.remove("servers", &process);
                self.targets[target].set_manner(Manner::Normal);
            }
            if !departure.is_replaced && now >= departure.ends_at + REUSE_PAUSE {
                departure.is_replaced = true;
                self.generations[target] += 1;
                // All links lead to the same address, the one that the target listens on.
                let address = self.target_links[target]["arq"].far_address();
                self.register(target, address);
            }
        }
    }

    fn is_leaving(&self, target: usize) -> bool {
        let mut departures = self.departures.iter();
        departures.any(|departure| departure.target == target && !departure.is_replaced)
    }

    /// Returns descriptions of the requests that reached targets later than they may, by target.
    fn find_late_arrivals(&self) -> Vec<String> {
        let overlaps = |(start, end): &Span, at: Instant| *start <= at && at <= *end + STABLE;
        let mut late = Vec::new();
        for departure in &self.departures {
            let target = &self.targets[departure.target];
            let mut found = Vec::new();
            for (at, process, id) in lock(&target.arrivals).iter() {
                let since = at.saturating_duration_since(departure.acknowledged_at);
                if *process != departure.process || since <= DRAIN {
                    continue;
                }
                let host = id
                    .strip_prefix('h')
                    .and_then(|rest| rest.split('-').next()?.parse().ok());
                let is_excused =
                    self.store_troubles.iter().any(|span| {
                        overlaps(span, *at) || overlaps(span, departure.acknowledged_at)
                    }) || self
                        .host_troubles
                        .iter()
                        .any(|(other, span)| Some(*other) == host && overlaps(span, *at));
                if !is_excused {
                    let sent_at = id.rsplit('-').next().and_then(|ms| ms.parse().ok());
                    let sent_at = self.started_at + Duration::from_millis(sent_at.unwrap_or(0));
                    let sent = match *lock(&target.silent_since) {
                        Some(silent) => format!(
                            "{} ms after it fell silent",
                            sent_at.saturating_duration_since(silent).as_millis()
                        ),
                        None => format!(
                            "{} ms before",
                            at.saturating_duration_since(sent_at).as_millis()
                        ),
                    };
                    found.push(format!("{id} after {} ms, sent {sent}", since.as_millis()));
                }
            }
            if !found.is_empty() {
                let how = if departure.is_announced {
                    "announced"
                } else {
                    "removed"
                };
                late.push(format!(
                    "{} ({how}) got {}: {}",
                    departure.process,
                    found.len(),
                    found.join(", ")
                ));
            }
        }
        late
    }
}

/// The end of a trouble.
type Ending = (Instant, Box<dyn FnOnce(&mut Deployment)>);

/// Begins a trouble of the course. Returns how it ends.
fn begin_trouble(
    deployment: &mut Deployment,
    rng: &mut Pcg64Mcg,
    course: Course,
    is_early: bool,
) -> Option<Ending> {
    let now = Instant::now();
    let end = now + Duration::from_secs_f64(rng.random_range(0.5..4.0));
    let kinds = match course {
        Course::Losses if rng.random_bool(LOSS_SHARE) => {
            return Some(lose_hosts(deployment, rng, end));
        }
        Course::Hosts | Course::Losses => 0..8,
        Course::Targets | Course::Silence | Course::Held => 0..12,
        Course::Store if is_early => 0..16,
        Course::Store => 0..12,
        Course::Operations => 0..21,
    };
    let kind = rng.random_range(kinds);
    if course == Course::Operations && kind >= 12 {
        return begin_operation(deployment, rng, kind, end);
    }
    let host = rng.random_range(0..HOSTS);
    let target = rng.random_range(0..deployment.targets.len());
    let calm = latency(region(host), STORE_REGION);
    let calm_links =
        move |deployment: &mut Deployment| deployment.store_links[host].set_fault(calm);
    let link =
        |deployment: &mut Deployment, fault: Fault| deployment.store_links[host].set_fault(fault);
    match kind {
        0 => link(
            deployment,
            Fault {
                accept: Accept::Ignore,
                ..calm.with_black_hole()
            },
        ),
        1 => {
            let mut fault = calm;
            fault.back.black_hole = true;
            link(deployment, fault);
        }
        2 => {
            let mut fault = calm;
            fault.forth.black_hole = true;
            link(deployment, fault);
        }
        3 => link(deployment, calm.with_loss(LOSS, RETRANSMIT)),
        4 => link(
            deployment,
            Fault {
                accept: Accept::Refuse,
                reset_open: true,
                ..calm
            },
        ),
        5 => {
            deployment.hosts[host].restart("-KILL");
            deployment.host_troubles.push((host, (now, Instant::now())));
            return None;
        }
        6 => {
            deployment.hosts[host].signal("-STOP");
            deployment.host_troubles.push((host, (now, end)));
            return Some((
                end,
                Box::new(move |deployment| deployment.hosts[host].signal("-CONT")),
            ));
        }
        7 => link(
            deployment,
            Fault {
                accept: Accept::Late(1100),
                reset_open: true,
                ..calm
            },
        ),
        8..=11 => {
            if deployment.is_leaving(target) && !course.has_silences() {
                return None;
            }
            let manner = [Manner::WrongId, Manner::Close, Manner::Fail, Manner::Slow][kind - 8];
            deployment.targets[target].set_manner(manner);
            return Some((
                end,
                Box::new(move |deployment| {
                    deployment.targets[target].set_manner(Manner::Normal);
                }),
            ));
        }
        _ => {
            deployment.store_troubles.push((now, end));
            let set_mode = |deployment: &Deployment, mode| {
                deployment.views.iter().for_each(|view| view.set_mode(mode))
            };
            match kind {
                12 => set_mode(deployment, Mode::Silent),
                13 => set_mode(deployment, Mode::Busy),
                14 => deployment.store.forget_history(),
                _ => deployment
                    .views
                    .iter()
                    .for_each(|view| view.set_delay(Duration::from_millis(700))),
            }
            return Some((
                end,
                Box::new(move |deployment| {
                    for view in &deployment.views {
                        view.set_mode(Mode::Up);
                        view.set_delay(Duration::ZERO);
                    }
                }),
            ));
        }
    }
    deployment.host_troubles.push((host, (now, end)));
    Some((end, Box::new(calm_links)))
}

/// Loses several hosts at one moment, killed or stopped, in half of the cases with all that watch the store. Returns when they
/// are back.
fn lose_hosts(deployment: &mut Deployment, rng: &mut Pcg64Mcg, end: Instant) -> Ending {
    let now = Instant::now();
    let share = rng.random_range(0.2..0.7);
    let takes_sources = rng.random_bool(0.5);
    let lost: Vec<usize> = (0..HOSTS)
        .filter(|host| {
            rng.random_bool(share) || (takes_sources && deployment.hosts[*host].is_watching())
        })
        .collect();
    let is_killed = rng.random_bool(0.5);
    let signal = if is_killed { "-KILL" } else { "-STOP" };
    for host in &lost {
        deployment.hosts[*host].signal(signal);
        deployment.host_troubles.push((*host, (now, end)));
    }
    let bring_back = move |deployment: &mut Deployment| {
        for host in lost {
            if is_killed {
                deployment.hosts[host].restart_if_ended();
            } else {
                deployment.hosts[host].signal("-CONT");
            }
        }
    };
    (end, Box::new(bring_back))
}

/// Begins planned work, or a trouble of a target that is no trouble of a host or the store. Returns how it ends.
fn begin_operation(
    deployment: &mut Deployment,
    rng: &mut Pcg64Mcg,
    kind: usize,
    end: Instant,
) -> Option<Ending> {
    let now = Instant::now();
    let target = rng.random_range(0..deployment.targets.len());
    match kind {
        12 | 13 => {
            let (zone, _) = ZONES[rng.random_range(0..ZONES.len())];
            deployment.store.evacuate(zone);
            let end_it = move |deployment: &mut Deployment| {
                deployment.store.remove("evacuations", zone);
            };
            Some((end, Box::new(end_it)))
        }
        14 | 15 => {
            deployment.version += 1;
            configure(&deployment.store, deployment.version);
            None
        }
        16 => {
            for host in 0..HOSTS {
                deployment.hosts[host].restart("-KILL");
            }
            let spans = (0..HOSTS).map(|host| (host, (now, Instant::now())));
            deployment.host_troubles.extend(spans);
            None
        }
        17 | 18 => {
            deployment.targets[target].set_manner(Manner::Shed);
            let end_it = move |deployment: &mut Deployment| {
                deployment.targets[target].set_manner(Manner::Normal);
            };
            Some((end, Box::new(end_it)))
        }
        _ => {
            let zone = deployment.targets[target].zone;
            for (region, link) in &deployment.target_links[target] {
                link.set_fault(Fault {
                    accept: Accept::Late(1100),
                    reset_open: true,
                    ..latency(region, ZONES[zone].1)
                });
            }
            let end_it = move |deployment: &mut Deployment| {
                for (region, link) in &deployment.target_links[target] {
                    link.set_fault(latency(region, ZONES[zone].1));
                }
            };
            Some((end, Box::new(end_it)))
        }
    }
}

/// Runs one seed; returns descriptions of the requests that reached targets later than they may.
pub fn run_seed(seed: u64, course: Course, size: Size) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut deployment = Deployment::new(seed, course);
    let callers = Callers::start(&deployment, seed, size.load);
    thread::sleep(WARM_UP);
    let started_at = Instant::now();
    let (mut next_departure, mut next_trouble) = (started_at, started_at);
    let mut endings: Vec<Ending> = Vec::new();
    let mut leaving_silently: Vec<(Instant, usize)> = Vec::new();
    while started_at.elapsed() < size.day || !endings.is_empty() {
        let now = Instant::now();
        if now >= next_departure && started_at.elapsed() < size.day {
            next_departure = now + DEPARTURE_INTERVAL;
            let target = rng.random_range(0..deployment.targets.len());
            let is_pending = leaving_silently.iter().any(|(_, other)| *other == target);
            if !deployment.is_leaving(target) && !is_pending {
                let silence = Duration::from_secs_f64(rng.random_range(0.0..2.5));
                if course.has_silences() && rng.random_bool(0.3) {
                    deployment.targets[target].set_manner(Manner::Silent);
                    *lock(&deployment.targets[target].silent_since) = Some(now);
                    leaving_silently.push((now + silence, target));
                } else {
                    let lingering = MAX_LINGERING.mul_f64(rng.random_range(0.0..1.0));
                    deployment.depart(target, rng.random_bool(0.5), lingering);
                }
            }
        }
        for (_, target) in leaving_silently.extract_if(.., |(at, _)| now >= *at) {
            deployment.depart(target, false, MAX_LINGERING);
            endings.push((
                now + DRAIN + MAX_LINGERING / 4,
                Box::new(move |deployment| {
                    deployment.targets[target].set_manner(Manner::Normal);
                }),
            ));
        }
        if now >= next_trouble && started_at.elapsed() < size.day {
            next_trouble = now + TROUBLE_INTERVAL;
            let is_early = started_at.elapsed() < size.day / 3;
            endings.extend(begin_trouble(&mut deployment, &mut rng, course, is_early));
        }
        let due: Vec<Ending> = endings.extract_if(.., |(at, _)| now >= *at).collect();
        due.into_iter().for_each(|(_, end)| end(&mut deployment));
        deployment.replace();
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(DRAIN + MAX_LINGERING / 2);
    deployment.replace();
    let (sent, served) = callers.stop();
    println!(
        "seed {seed} {course:?}: {} departures, {sent} requests, {served} served",
        deployment.departures.len()
    );
    let mut found = deployment.find_late_arrivals();
    if served * 2 < sent {
        found.push(format!("only {served} of {sent} requests were served"));
    }
    found
}

/// Callers that keep the rates of all services.
struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl Callers {
    fn start(deployment: &Deployment, seed: u64, load: f64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (index, service) in SERVICES.iter().enumerate() {
            let count =
                (load * service.rate * (CALLER_PAUSE + service.work / 2).as_secs_f64()) as usize;
            for number in 0..count {
                let host = (number + index) % HOSTS;
                let caller = Caller {
                    front: deployment.hosts[host].front,
                    name: format!("h{host}-{index}-{number}"),
                    service,
                    started_at: deployment.started_at,
                    rng: Pcg64Mcg::seed_from_u64(seed << 20 | (index << 10 | number) as u64),
                };
                let stop = stop.clone();
                threads.push(thread::spawn(move || caller.run(&stop)));
            }
        }
        Self { stop, threads }
    }

    /// Stops the callers. Returns how many requests were sent and served.
    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let results = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        results.fold((0, 0), |(sent, served), (more_sent, more_served)| {
            (sent + more_sent, served + more_served)
        })
    }
}

/// Sends requests to one host, each with an ID that tells when it was sent.
struct Caller {
    front: SocketAddr,
    name: String,
    service: &'static Service,
    started_at: Instant,
    rng: Pcg64Mcg,
}

impl Caller {
    /// Sends requests until the stop. Returns how many were sent and served.
    fn run(mut self, stop: &AtomicBool) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        let mut connection: Option<TcpStream> = None;
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(CALLER_PAUSE.mul_f64(self.rng.random_range(0.5..1.5)));
            sent += 1;
            let stream = connection.take();
            let stream = stream.or_else(|| TcpStream::connect_timeout(&self.front, DEADLINE).ok());
            let Some(mut stream) = stream else { continue };
            let _ = stream.set_read_timeout(Some(2 * DEADLINE));
            if stream
                .write_all(self.next_request(sent).as_bytes())
                .is_err()
            {
                continue;
            }
            let Ok(reader) = stream.try_clone() else {
                continue;
            };
            let Some((line, headers, _)) = read_message(&mut BufReader::new(reader)) else {
                continue;
            };
            served += usize::from(line.contains(" 200 "));
            if headers
                .get("connection")
                .is_none_or(|value| value != "close")
            {
                connection = Some(stream);
            }
        }
        (sent, served)
    }

    fn next_request(&mut self, number: usize) -> String {
        let object = self.rng.random_range(0..OBJECTS);
        format!(
            "GET /{}/{object} HTTP/1.1\r\nHost: a.example\r\nragwortfold-request-id: {}-{number}-{}\r\n\
             ragwortfold-deadline-ms: {}\r\ncookie: Ragwortfold-Affinity-Key={object}\r\n\r\n",
            self.service.name,
            self.name,
            self.started_at.elapsed().as_millis(),
            DEADLINE.as_millis()
        )
    }
}
