//! Measures how long a configuration change takes to be in force on 12 entry hosts, each a process
//! of its own, and whether a host ever reverts to an earlier revision.
//!
//! Prints a table: 500 changes by 4 concurrent writers while the platform loses answers, then
//! changes while half of the hosts cannot reach the platform. Run it with `cargo bench --bench
//! publish`.

#![allow(clippy::unwrap_used)]

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

use cluster::{eventually, TestCluster};
use ragwortfold::border::objects::Head;
use ragwortfold::config::{self, Folder};
use ragwortfold::store::client::Client;
use ragwortfold::store::guarded_client::GuardedClient;
use ragwortfold::store::publication::{marker, Base, Files, Publication, Signature};
use serde_json::{json, Value};
use standin::link::{self, Flow, Link};
use standin::platform::{self, Platform};

/// Region and name of each availability zone; each zone has two hosts.
const ZONES: [(&str, &str); 6] = [
    ("arequipa", "arequipa-a"),
    ("arequipa", "arequipa-b"),
    ("lima", "lima-a"),
    ("lima", "lima-b"),
    ("cusco", "cusco-a"),
    ("cusco", "cusco-b"),
];
/// Concurrent writers.
const WRITER_COUNT: usize = 4;
/// Total changes by all concurrent writers.
const CHANGE_COUNT: usize = 500;
/// The platform loses the answer of every nth write.
const LOST_ANSWER_INTERVAL: u64 = 7;
/// Changes made while half of the hosts are cut off.
const PARTITION_CHANGE_COUNT: usize = 30;
/// Pause between two changes while half of the hosts are cut off.
const PARTITION_CHANGE_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two status requests to a host.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the last change may take to reach all hosts.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Times at which one host, or the platform, reported a revision higher than its previous one.
type RevisionTimes = Arc<Mutex<Vec<(Instant, u64)>>>;

/// Polls the platform and each host, one thread each, and records the revisions that they report.
struct RevisionMonitor {
    is_stopping: Arc<AtomicBool>,
    platform_times: RevisionTimes,
    times_by_host: BTreeMap<String, RevisionTimes>,
    reversions: Arc<Mutex<Vec<String>>>,
    threads: Vec<JoinHandle<()>>,
}

impl RevisionMonitor {
    fn new(world: &Arc<TestCluster>) -> Self {
        let mut monitor = Self {
            is_stopping: Arc::default(),
            platform_times: RevisionTimes::default(),
            times_by_host: BTreeMap::new(),
            reversions: Arc::default(),
            threads: Vec::new(),
        };
        let polled_world = world.clone();
        monitor.spawn_poller(
            "platform",
            monitor.platform_times.clone(),
            POLL_INTERVAL / 10,
            move || platform_revision(&polled_world.platform),
        );
        for (name, host) in &world.hosts {
            let times = RevisionTimes::default();
            monitor.times_by_host.insert(name.clone(), times.clone());
            let url = host.url("/v1/status");
            let agent: ureq::Agent = ureq::Agent::config_builder()
                .timeout_global(Some(Duration::from_secs(1)))
                .build()
                .into();
            monitor.spawn_poller(name, times, POLL_INTERVAL, move || {
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
        monitor
    }

    /// Starts a thread that calls `poll` after every `pause` and records new revisions and
    /// reversions.
    fn spawn_poller(
        &mut self,
        name: &str,
        times: RevisionTimes,
        pause: Duration,
        poll: impl Fn() -> Option<u64> + Send + 'static,
    ) {
        let (is_stopping, reversions) = (self.is_stopping.clone(), self.reversions.clone());
        let name = name.to_owned();
        let poller = move || {
            let mut last = 0;
            while !is_stopping.load(Ordering::Relaxed) {
                match poll() {
                    Some(current) if current > last => {
                        times.lock().unwrap().push((Instant::now(), current));
                        last = current;
                    }
                    Some(current) if current < last => {
                        let text = format!("{name}: from {last} to {current}");
                        reversions.lock().unwrap().push(text);
                        last = current;
                    }
                    _ => {}
                }
                thread::sleep(pause);
            }
        };
        self.threads.push(thread::spawn(poller));
    }

    /// Waits until all hosts have reported `revision` or a later one, and returns the names of the
    /// hosts that do not within the timeout.
    fn wait_for_revision(&self, revision: u64) -> Vec<String> {
        let end = Instant::now() + PROPAGATION_TIMEOUT;
        loop {
            let mut late_hosts: Vec<String> = Vec::new();
            for (name, times) in &self.times_by_host {
                if first_seen(&times.lock().unwrap(), revision).is_none() {
                    late_hosts.push(name.clone());
                }
            }
            if late_hosts.is_empty() || Instant::now() > end {
                return late_hosts;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the time from the platform to the last host for each revision from `from` to `to`.
    /// Skips revisions that not all hosts have reached.
    fn propagation_delays(&self, from: u64, to: u64) -> Vec<Duration> {
        let platform_times = self.platform_times.lock().unwrap();
        let delays = (from..=to).filter_map(|revision| {
            let accepted_at = first_seen(&platform_times, revision)?;
            let host_times = self.times_by_host.values();
            let host_times = host_times.map(|times| first_seen(&times.lock().unwrap(), revision));
            let last = host_times.collect::<Option<Vec<_>>>()?.into_iter().max()?;
            Some(last.saturating_duration_since(accepted_at))
        });
        delays.collect()
    }

    /// Stops the polling threads and waits for them to end.
    fn stop(self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// Returns when `revision` or a later one was first reported.
fn first_seen(times: &[(Instant, u64)], revision: u64) -> Option<Instant> {
    let index = times.partition_point(|(_, seen)| *seen < revision);
    times.get(index).map(|(time, _)| *time)
}

/// Returns the current revision of the configuration that the platform stores.
fn platform_revision(platform: &Platform) -> Option<u64> {
    let (_, text) = platform.object("config/head")?;
    Some(serde_json::from_str::<Head>(&text).ok()?.revision)
}

/// An operator that repeatedly changes one configuration file.
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

    /// Applies a change with `value` and returns its revision.
    fn apply_change(&mut self, value: usize) -> u64 {
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

/// Returns the percentile at `share` (0.0 to 1.0) of sorted durations, in milliseconds.
fn percentile(sorted: &[Duration], share: f64) -> f64 {
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len());
    sorted[rank - 1].as_secs_f64() * 1e3
}

/// Prints a row of the table: number of changes, percentiles of their delays, and reversions.
fn print_row(
    name: &str,
    mut delays: Vec<Duration>,
    changes: u64,
    monitor: &RevisionMonitor,
    late_hosts: &[String],
) {
    delays.sort();
    if delays.is_empty() {
        println!("{name:<44} {changes:>7}       0  late: {late_hosts:?}");
        return;
    }
    println!(
        "{name:<44} {changes:>7} {:>10} {:>9.1} {:>9.1} {:>9.1} {:>10}",
        delays.len(),
        percentile(&delays, 0.5),
        percentile(&delays, 0.99),
        percentile(&delays, 1.0),
        monitor.reversions.lock().unwrap().len(),
    );
    if !late_hosts.is_empty() {
        println!("  not there after {PROPAGATION_TIMEOUT:?}: {late_hosts:?}");
    }
}

/// Starts 12 hosts, each connected to the platform through a link of its own.
fn start_fleet() -> (TestCluster, BTreeMap<String, Link>) {
    let mut world = TestCluster::new();
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
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let link = Link::new(any_port, world.platform.address()).unwrap();
        world.start_with(&name, &format!("http://{}", link.address()), json!({}));
        links.insert(name, link);
    }
    for name in links.keys() {
        world.wait_ready(name);
    }
    (world, links)
}

/// Runs concurrent writers while the platform loses answers, and prints the delays of their
/// changes.
fn run_concurrent_writers(world: &TestCluster, monitor: &RevisionMonitor) {
    world.platform.set_fault(platform::Fault {
        lose_answers: LOST_ANSWER_INTERVAL,
        ..platform::Fault::default()
    });
    let start = Instant::now();
    let url = world.platform_url.as_str();
    thread::scope(|scope| {
        for writer in 0..WRITER_COUNT {
            scope.spawn(move || {
                let mut writer = Writer::new(url, format!("writer-{writer}.json"));
                for value in 0..CHANGE_COUNT / WRITER_COUNT {
                    writer.apply_change(value);
                }
            });
        }
    });
    let elapsed = start.elapsed();
    world.platform.set_fault(platform::Fault::default());
    let last = platform_revision(&world.platform).unwrap();
    let late_hosts = monitor.wait_for_revision(last);
    let name = format!("{WRITER_COUNT} writers, answers lost");
    print_row(
        &name,
        monitor.propagation_delays(2, last),
        last - 1,
        monitor,
        &late_hosts,
    );
    let calls = world.platform.calls();
    println!(
        "  {:.1} s, {} answers lost, {} lost races, {} changes asked for and {} made",
        elapsed.as_secs_f64(),
        calls.lost_answers,
        calls.conflicts,
        CHANGE_COUNT,
        last - 1
    );
}

/// Cuts the selected half of the hosts off from the platform, prints the delays of the changes made
/// meanwhile, and restores the links.
fn run_partition(
    name: &str,
    world: &TestCluster,
    links: &BTreeMap<String, Link>,
    monitor: &RevisionMonitor,
    is_cut: impl Fn(&str) -> bool,
) {
    let dropping_flow = Flow {
        black_hole: true,
        ..Flow::default()
    };
    let fault = link::Fault {
        forth: dropping_flow,
        back: dropping_flow,
        ..link::Fault::default()
    };
    let cut_links: Vec<&Link> = links
        .iter()
        .filter(|(host, _)| is_cut(host))
        .map(|(_, link)| link)
        .collect();
    assert_eq!(cut_links.len() * 2, links.len());
    for link in &cut_links {
        link.set_fault(fault);
    }
    let mut writer = Writer::new(&world.platform_url, "writer-0.json".into());
    let revision_before = platform_revision(&world.platform).unwrap();
    for value in 0..PARTITION_CHANGE_COUNT {
        writer.apply_change(CHANGE_COUNT + value + revision_before as usize);
        thread::sleep(PARTITION_CHANGE_PAUSE);
    }
    let last = platform_revision(&world.platform).unwrap();
    let late_hosts = monitor.wait_for_revision(last);
    print_row(
        name,
        monitor.propagation_delays(revision_before + 1, last),
        last - revision_before,
        monitor,
        &late_hosts,
    );
    for link in &cut_links {
        link.set_fault(link::Fault::default());
    }
    thread::sleep(Duration::from_secs(3));
}

fn main() {
    // `cargo test` runs benchmarks without this flag, only to check that they build and start.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let (world, links) = start_fleet();
    let world = Arc::new(world);
    let monitor = RevisionMonitor::new(&world);
    eventually("the first revision is seen", || {
        monitor.wait_for_revision(1).is_empty()
    });
    // Gives the hosts time to discover each other and to agree on delegates.
    thread::sleep(Duration::from_secs(5));
    println!("time from the platform's taking a revision until the last of 12 hosts shows it, ms");
    println!(
        "{:<44} {:>7} {:>10} {:>9} {:>9} {:>9} {:>10}",
        "", "changes", "everywhere", "p50", "p99", "max", "reversions"
    );
    run_concurrent_writers(&world, &monitor);
    run_partition(
        "one host of each zone cut off",
        &world,
        &links,
        &monitor,
        |host| host.ends_with("-1"),
    );
    run_partition(
        "both hosts of three zones cut off",
        &world,
        &links,
        &monitor,
        |host| host.contains("-a-"),
    );
    for text in monitor.reversions.lock().unwrap().iter() {
        println!("  reversion: {text}");
    }
    monitor.stop();
}
