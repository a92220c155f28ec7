//! How long a change takes to come into force on 12 entry hosts that run as processes, and whether
//! a host ever goes back to an earlier revision.
//!
//! Prints a table: 500 changes by 4 racing writers while the platform loses answers, then changes
//! while half the hosts cannot reach the platform. Run it with `cargo bench --bench publish`.

#![allow(clippy::unwrap_used)]

#[path = "../tests/world/mod.rs"]
mod world;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

use ragwortfold::border::objects::Head;
use ragwortfold::config::{self, Folder};
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{marker, Base, Files, Publication, Signature};
use serde_json::{json, Value};
use standin::link::{self, Flow, Link};
use standin::platform::{self, Platform};
use world::{eventually, World};

const ZONES: [(&str, &str); 6] = [
    ("arequipa", "arequipa-a"),
    ("arequipa", "arequipa-b"),
    ("lima", "lima-a"),
    ("lima", "lima-b"),
    ("cusco", "cusco-a"),
    ("cusco", "cusco-b"),
];
const WRITERS: usize = 4;
/// Changes of all writers together.
const CHANGES: usize = 500;
/// Every nth write loses its answer.
const LOSE: u64 = 7;
/// Changes made while half the hosts are cut off.
const CUT_CHANGES: usize = 30;
/// Pause between these.
const PAUSE: Duration = Duration::from_millis(700);
/// Pause between two questions to a host.
const POLL: Duration = Duration::from_millis(10);
/// How long the last change may take everywhere.
const PATIENCE: Duration = Duration::from_secs(30);

/// When something first showed each revision.
type Times = Arc<Mutex<Vec<(Instant, u64)>>>;

/// Threads that note the revision of the platform and of each host.
struct Watch {
    stop: Arc<AtomicBool>,
    accepted: Times,
    hosts: BTreeMap<String, Times>,
    reversions: Arc<Mutex<Vec<String>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    fn new(world: &Arc<World>) -> Self {
        let mut watch = Self {
            stop: Arc::default(),
            accepted: Times::default(),
            hosts: BTreeMap::new(),
            reversions: Arc::default(),
            threads: Vec::new(),
        };
        let inner = world.clone();
        watch.start("platform", watch.accepted.clone(), POLL / 10, move || {
            revision(&inner.platform)
        });
        for (name, host) in &world.hosts {
            let times = Times::default();
            watch.hosts.insert(name.clone(), times.clone());
            let url = host.url("/v1/status");
            let agent: ureq::Agent = ureq::Agent::config_builder()
                .timeout_global(Some(Duration::from_secs(1)))
                .build()
                .into();
            watch.start(name, times, POLL, move || {
                let text = agent
                    .get(&url)
                    .call()
                    .ok()?
                    .body_mut()
                    .read_to_string()
                    .ok()?;
                let status: Value = serde_json::from_str(&text).ok()?;
                status["revision"].as_u64()
            });
        }
        watch
    }

    fn start(
        &mut self,
        name: &str,
        times: Times,
        pause: Duration,
        ask: impl Fn() -> Option<u64> + Send + 'static,
    ) {
        let (stop, reversions) = (self.stop.clone(), self.reversions.clone());
        let name = name.to_owned();
        let watch = move || {
            let mut last = 0;
            while !stop.load(Ordering::Relaxed) {
                match ask() {
                    Some(found) if found > last => {
                        times.lock().unwrap().push((Instant::now(), found));
                        last = found;
                    }
                    Some(found) if found < last => {
                        let text = format!("{name}: from {last} to {found}");
                        reversions.lock().unwrap().push(text);
                        last = found;
                    }
                    _ => {}
                }
                thread::sleep(pause);
            }
        };
        self.threads.push(thread::spawn(watch));
    }

    /// Waits until all hosts have a revision. Answers those that do not in time.
    fn wait(&self, revision: u64) -> Vec<String> {
        let end = Instant::now() + PATIENCE;
        loop {
            let mut late: Vec<String> = Vec::new();
            for (name, times) in &self.hosts {
                if first(&times.lock().unwrap(), revision).is_none() {
                    late.push(name.clone());
                }
            }
            if late.is_empty() || Instant::now() > end {
                return late;
            }
            thread::sleep(POLL);
        }
    }

    /// How long each revision of a range took from the platform to the last host.
    fn delays(&self, from: u64, to: u64) -> Vec<Duration> {
        let accepted = self.accepted.lock().unwrap();
        let delays = (from..=to).filter_map(|revision| {
            let began = first(&accepted, revision)?;
            let ends = self.hosts.values();
            let ends = ends.map(|times| first(&times.lock().unwrap(), revision));
            let last = ends.collect::<Option<Vec<_>>>()?.into_iter().max()?;
            Some(last.saturating_duration_since(began))
        });
        delays.collect()
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// When a revision, or a later one, was first seen.
fn first(times: &[(Instant, u64)], revision: u64) -> Option<Instant> {
    let at = times.partition_point(|(_, seen)| *seen < revision);
    times.get(at).map(|(time, _)| *time)
}

fn revision(platform: &Platform) -> Option<u64> {
    let (_, text) = platform.object("config/head")?;
    Some(serde_json::from_str::<Head>(&text).ok()?.revision)
}

/// An operator who changes one file again and again.
struct Writer {
    publication: Publication,
    file: String,
    files: Files,
    base: Base,
}

impl Writer {
    fn new(url: &str, file: String) -> Self {
        let publication = Publication::new(GuardedClient::new(Client::new(url)));
        let fetched = publication.pull().unwrap().unwrap();
        Self {
            publication,
            file,
            base: Base::Pulled(marker::for_revision(&fetched)),
            files: fetched.files,
        }
    }

    fn change(&mut self, value: usize) -> u64 {
        let text = json!({"services": {"lookups": {"deadline_ms": 1000 + value}}}).to_string();
        self.files.insert(self.file.as_str().into(), text.into());
        let signature = Signature {
            author: self.file.as_str().into(),
            note: "".into(),
            time: SystemTime::now(),
        };
        let check = |files: &Files| config::check(&Folder::with_files(files.clone())).map(drop);
        let applied = self
            .publication
            .apply(&self.files, &self.base, &signature, check)
            .unwrap();
        self.base = Base::Pulled(applied.marker);
        applied.revision
    }
}

fn percentile(sorted: &[Duration], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len());
    sorted[at - 1].as_secs_f64() * 1e3
}

fn row(name: &str, mut delays: Vec<Duration>, changes: u64, watch: &Watch, late: &[String]) {
    delays.sort();
    if delays.is_empty() {
        println!("{name:<44} {changes:>7}       0  late: {late:?}");
        return;
    }
    println!(
        "{name:<44} {changes:>7} {:>10} {:>9.1} {:>9.1} {:>9.1} {:>10}",
        delays.len(),
        percentile(&delays, 0.5),
        percentile(&delays, 0.99),
        percentile(&delays, 1.0),
        watch.reversions.lock().unwrap().len(),
    );
    if !late.is_empty() {
        println!("  not there after {PATIENCE:?}: {late:?}");
    }
}

/// 12 hosts that run, each with a link of its own to the platform.
fn fleet() -> (World, BTreeMap<String, Link>) {
    let mut world = World::new();
    for (region, zone) in ZONES {
        world = world
            .with_zone(region, zone)
            .with_target(zone, "lookups", &format!("look-{zone}"), 4)
            .with_target(zone, "bookings", &format!("book-{zone}"), 4)
            .with_host(zone, &format!("ent-{zone}-1"))
            .with_host(zone, &format!("ent-{zone}-2"));
    }
    world.publish(1);
    let hosts = world.configuration["hosts"].as_object().unwrap();
    let names: Vec<String> = hosts.keys().cloned().collect();
    let mut links = BTreeMap::new();
    for name in names {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let link = Link::new(any, world.platform.address()).unwrap();
        world.start_with(&name, &format!("http://{}", link.address()), json!({}));
        links.insert(name, link);
    }
    for name in links.keys() {
        world.wait_ready(name);
    }
    (world, links)
}

fn race(world: &World, watch: &Watch) {
    world.platform.set_fault(platform::Fault {
        lose_answers: LOSE,
        ..platform::Fault::default()
    });
    let began = Instant::now();
    let url = world.platform_url.as_str();
    thread::scope(|scope| {
        for writer in 0..WRITERS {
            scope.spawn(move || {
                let mut writer = Writer::new(url, format!("writer-{writer}.json"));
                for value in 0..CHANGES / WRITERS {
                    writer.change(value);
                }
            });
        }
    });
    let took = began.elapsed();
    world.platform.set_fault(platform::Fault::default());
    let last = revision(&world.platform).unwrap();
    let late = watch.wait(last);
    let name = format!("{WRITERS} writers, answers lost");
    row(&name, watch.delays(2, last), last - 1, watch, &late);
    let calls = world.platform.calls();
    println!(
        "  {:.1} s, {} answers lost, {} lost races, {} changes asked for and {} made",
        took.as_secs_f64(),
        calls.lost_answers,
        calls.conflicts,
        CHANGES,
        last - 1
    );
}

fn cut(
    name: &str,
    world: &World,
    links: &BTreeMap<String, Link>,
    watch: &Watch,
    is_cut: impl Fn(&str) -> bool,
) {
    let hole = Flow {
        black_hole: true,
        ..Flow::default()
    };
    let fault = link::Fault {
        forth: hole,
        back: hole,
        ..link::Fault::default()
    };
    let cut: Vec<&Link> = links
        .iter()
        .filter(|(host, _)| is_cut(host))
        .map(|(_, link)| link)
        .collect();
    assert_eq!(cut.len() * 2, links.len());
    for link in &cut {
        link.set_fault(fault);
    }
    let mut writer = Writer::new(&world.platform_url, "writer-0.json".into());
    let begin = revision(&world.platform).unwrap();
    for value in 0..CUT_CHANGES {
        writer.change(CHANGES + value + begin as usize);
        thread::sleep(PAUSE);
    }
    let last = revision(&world.platform).unwrap();
    let late = watch.wait(last);
    row(
        name,
        watch.delays(begin + 1, last),
        last - begin,
        watch,
        &late,
    );
    for link in &cut {
        link.set_fault(link::Fault::default());
    }
    thread::sleep(Duration::from_secs(3));
}

fn main() {
    // Tests run benches without this flag, to see that they build.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let (world, links) = fleet();
    let world = Arc::new(world);
    let watch = Watch::new(&world);
    eventually("the first revision is seen", || watch.wait(1).is_empty());
    // The hosts find each other and agree on delegates.
    thread::sleep(Duration::from_secs(5));
    println!("time from the platform's taking a revision until the last of 12 hosts shows it, ms");
    println!(
        "{:<44} {:>7} {:>10} {:>9} {:>9} {:>9} {:>10}",
        "", "changes", "everywhere", "p50", "p99", "max", "reversions"
    );
    race(&world, &watch);
    cut(
        "one host of each zone cut off",
        &world,
        &links,
        &watch,
        |host| host.ends_with("-1"),
    );
    cut(
        "both hosts of three zones cut off",
        &world,
        &links,
        &watch,
        |host| host.contains("-a-"),
    );
    for text in watch.reversions.lock().unwrap().iter() {
        println!("  reversion: {text}");
    }
    watch.end();
}
