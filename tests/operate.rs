//! Operators with the real binary against entry hosts that run as processes.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cluster::{eventually, send, World};
use serde_json::{json, Value};
use standin::platform::Fault;
use tempfile::TempDir;

/// Time in which a leaving target must stop getting new work.
const LEAVE: Duration = Duration::from_secs(2);
/// Time in which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Allowance for a crowded machine.
const ALLOWANCE: Duration = Duration::from_secs(1);

/// An operator's folder and the platform it is applied to.
struct Operator {
    dir: TempDir,
    platform: String,
}

impl Operator {
    /// A folder with the world's configuration, a file for each section.
    fn new(world: &World) -> Self {
        let operator = Self {
            dir: tempfile::tempdir().unwrap(),
            platform: world.platform_url.clone(),
        };
        for (section, value) in world.configuration.as_object().unwrap() {
            operator.write(&format!("{section}.json"), &json!({section: value}));
        }
        operator
    }

    /// A folder that was pulled.
    fn pulled(world: &World) -> Self {
        let operator = Self {
            dir: tempfile::tempdir().unwrap(),
            platform: world.platform_url.clone(),
        };
        operator.config("pull", &[]).ok();
        operator
    }

    fn path(&self) -> &Path {
        self.dir.path()
    }

    fn write(&self, file: &str, value: &Value) {
        std::fs::write(self.path().join(file), value.to_string()).unwrap();
    }

    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(self.path().join(file)).unwrap()
    }

    /// Sets the deadline of a service, in a file of its own.
    fn set_deadline(&self, file: &str, service: &str, ms: u64) {
        self.write(file, &json!({"services": {service: {"deadline_ms": ms}}}));
    }

    /// Runs `config ACTION` on the folder.
    fn config(&self, action: &str, more: &[&str]) -> Ran {
        let dir = self.path().to_str().unwrap();
        let mut arguments = vec!["config", action, dir, "--platform", &self.platform];
        arguments.extend(more);
        ragwortfold(&arguments)
    }

    /// Applies the folder and answers the report.
    fn apply(&self, more: &[&str]) -> Value {
        let mut arguments = vec!["--json"];
        arguments.extend(more);
        self.config("apply", &arguments).ok().json()
    }
}

/// What a run of the binary left.
struct Ran {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Ran {
    #[track_caller]
    fn ok(self) -> Self {
        self.exits(0)
    }

    #[track_caller]
    fn exits(self, code: i32) -> Self {
        assert_eq!(self.code, Some(code), "{}{}", self.out, self.err);
        self
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }

    #[track_caller]
    fn tells(&self, parts: &[&str]) {
        for part in parts {
            assert!(
                self.err.contains(part) || self.out.contains(part),
                "'{part}' is not in:\n{}{}",
                self.out,
                self.err
            );
        }
    }
}

fn ragwortfold(arguments: &[&str]) -> Ran {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_ragwortfold"))
        .args(arguments)
        .output()
        .unwrap();
    Ran {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Two zones of one region with two hosts each.
fn fleet(slots: usize) -> World {
    let mut world = World::new();
    for zone in ["lima-a", "lima-b"] {
        world = world
            .with_zone("lima", zone)
            .with_target(zone, "lookups", &format!("look-{zone}-1"), slots)
            .with_target(zone, "lookups", &format!("look-{zone}-2"), slots)
            .with_target(zone, "bookings", &format!("book-{zone}"), slots)
            .with_host(zone, &format!("ent-{zone}-1"))
            .with_host(zone, &format!("ent-{zone}-2"));
    }
    world
}

/// A fleet that runs with the folder of an operator as revision 1.
fn run(slots: usize) -> (World, Operator) {
    let mut world = fleet(slots);
    let operator = Operator::new(&world);
    assert_eq!(operator.apply(&["--wait", "0"])["revision"], 1);
    for name in names(&world) {
        world.start(&name);
    }
    for name in names(&world) {
        world.wait_ready(&name);
    }
    (world, operator)
}

fn names(world: &World) -> Vec<String> {
    let hosts = world.configuration["hosts"].as_object().unwrap();
    hosts.keys().cloned().collect()
}

fn status(world: &World, host: &str) -> Value {
    let url = world.hosts[host].url("/v1/status");
    send("GET", &url, &[], b"").unwrap().json()
}

/// Whether all hosts have a revision in force.
fn is_everywhere(world: &World, revision: u64) -> bool {
    let names = names(world);
    let mut hosts = names.iter();
    hosts.all(|host| status(world, host)["revision"] == revision)
}

#[track_caller]
fn assert_in_force(report: &Value, hosts: usize) {
    assert_eq!(report["in_force"]["hosts"], hosts, "{report}");
    assert_eq!(report["in_force"]["lagging"], json!({}), "{report}");
}

#[test]
fn a_change_comes_into_force_everywhere() {
    let (world, operator) = run(4);
    operator.set_deadline("tune.json", "lookups", 4321);
    let note = ["--wait", "30", "--note", "slower", "--author", "ana"];
    let report = operator.apply(&note);
    assert_in_force(&report, 4);
    assert_eq!(report["files"], json!(["tune.json"]));
    assert!(is_everywhere(&world, 2));
    println!("in force: {}", report["in_force"]);

    let url = &world.platform_url;
    let history = ragwortfold(&["config", "history", "--platform", url]).ok();
    history.tells(&["revision", "ana", "tune.json", "slower"]);
    let status = ragwortfold(&["status", "--platform", url, "--json"]).ok();
    let status = status.json();
    assert_eq!(
        (&status["revision"], &status["hosts_in_force"]),
        (&json!(2), &json!(4))
    );
    // The same again is no revision, and a folder that lags behind is told apart by diff.
    assert_eq!(operator.apply(&[])["effect"], "unchanged");
    let other = Operator::new(&world);
    other
        .config("diff", &[])
        .ok()
        .tells(&["platform/tune.json", "4321"]);
}

/// A watch whose connection falls silent is never answered; what has changed since it was asked is found all the same.
#[test]
fn a_watch_that_hangs_does_not_hide_a_change() {
    let (world, operator) = run(4);
    // By now the hosts that watch wait for a change.
    thread::sleep(Duration::from_secs(1));
    world.platform.set_fault(Fault {
        hang_watches: true,
        ..Fault::default()
    });
    operator.set_deadline("tune.json", "lookups", 4321);
    let begun = Instant::now();
    let report = operator.apply(&["--wait", "30"]);
    assert_in_force(&report, 4);
    assert!(begun.elapsed() < IN_FORCE, "{:?}", begun.elapsed());
}

#[test]
fn a_host_that_does_not_answer_lags_and_is_named() {
    let (mut world, operator) = run(4);
    world.hosts.get_mut("ent-lima-b-2").unwrap().kill();
    operator.set_deadline("tune.json", "lookups", 4321);
    let ran = operator.config("apply", &["--wait", "3"]).ok();
    ran.tells(&[
        "published revision 2",
        "in force on 3 of 4 hosts",
        "ent-lima-b-2: ",
    ]);
    let url = &world.platform_url;
    ragwortfold(&["status", "--platform", url])
        .ok()
        .tells(&["hosts_in_force  3"]);
}

#[test]
fn a_faulty_folder_is_refused_with_all_faults() {
    let (world, operator) = run(4);
    operator.write(
        "wrong.json",
        &json!({"services": {"lookups": {"deadlin_ms": 1}}, "limits": {"utilization": 7}}),
    );
    let ran = operator.config("apply", &[]).exits(2);
    ran.tells(&[
        "wrong.json:1:",
        "services.lookups.deadlin_ms",
        "limits.utilization",
    ]);
    assert!(is_everywhere(&world, 1));
}

#[test]
fn racing_operators_win_on_different_files_and_conflict_on_the_same() {
    let (world, _) = run(4);
    let (ana, ben) = (Operator::pulled(&world), Operator::pulled(&world));
    ana.set_deadline("ana.json", "lookups", 1111);
    ben.set_deadline("ben.json", "bookings", 2222);
    let reports: Vec<Value> = thread::scope(|scope| {
        let runs = [&ana, &ben].map(|who| scope.spawn(|| who.apply(&["--wait", "30"])));
        runs.map(|run| run.join().unwrap()).into()
    });
    let mut revisions: Vec<u64> = reports
        .iter()
        .map(|r| r["revision"].as_u64().unwrap())
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, [2, 3]);
    let merged = Operator::pulled(&world);
    assert!(merged.read("ana.json").contains("1111"));
    assert!(merged.read("ben.json").contains("2222"));

    let (eva, leo) = (Operator::pulled(&world), Operator::pulled(&world));
    eva.set_deadline("tune.json", "lookups", 3333);
    leo.set_deadline("tune.json", "lookups", 4444);
    let (eva_ran, leo_ran) = thread::scope(|scope| {
        let eva = scope.spawn(|| eva.config("apply", &["--author", "eva", "--wait", "0"]));
        let leo = scope.spawn(|| leo.config("apply", &["--author", "leo", "--wait", "0"]));
        (eva.join().unwrap(), leo.join().unwrap())
    });
    let (loser, winner) = match (eva_ran.code, leo_ran.code) {
        (Some(0), Some(1)) => (leo_ran, "by eva"),
        (Some(1), Some(0)) => (eva_ran, "by leo"),
        other => panic!("{other:?}"),
    };
    loser.tells(&["conflict", "tune.json", winner, "revision 4"]);
    eventually("revision 4 everywhere", || is_everywhere(&world, 4));
}

#[test]
fn a_pull_spares_edits() {
    let (world, operator) = run(4);
    let other = Operator::pulled(&world);
    operator.set_deadline("tune.json", "lookups", 4321);
    operator.apply(&["--wait", "0"]);
    other.set_deadline("services.json", "lookups", 1);
    other
        .config("pull", &[])
        .exits(1)
        .tells(&["services.json", "--discard-edits"]);
    other.config("pull", &["--discard-edits"]).ok();
    assert_eq!(other.read("services.json"), operator.read("services.json"));
    assert_eq!(other.read("tune.json"), operator.read("tune.json"));
}

#[test]
fn a_folder_that_was_never_pulled_removes_nothing_unasked() {
    let (world, operator) = run(4);
    operator.set_deadline("tune.json", "lookups", 4321);
    operator.apply(&["--wait", "0"]);
    let stranger = Operator::new(&world);
    let ran = stranger.config("apply", &["--wait", "0"]).exits(1);
    ran.tells(&["tune.json", "--remove-missing"]);
    stranger.apply(&["--wait", "0", "--remove-missing"]);
    assert!(!Operator::pulled(&world).path().join("tune.json").exists());
}

#[test]
fn a_revert_is_a_new_revision() {
    let (world, operator) = run(4);
    operator.set_deadline("tune.json", "lookups", 4321);
    operator.apply(&["--wait", "30"]);
    let url = &world.platform_url;
    let revert = [
        "config",
        "apply",
        "--revert",
        "1",
        "--platform",
        url,
        "--json",
        "--wait",
        "30",
    ];
    let report = ragwortfold(&revert).ok().json();
    assert_eq!(report["revision"], 3);
    assert_in_force(&report, 4);
    assert!(!Operator::pulled(&world).path().join("tune.json").exists());
    let missing = ["config", "apply", "--revert", "9", "--platform", url];
    ragwortfold(&missing)
        .exits(1)
        .tells(&["revision 9 is not kept"]);
}

#[test]
fn lost_answers_are_settled() {
    let (world, operator) = run(4);
    let mut settled = 0;
    for round in 0..6 {
        world.platform.set_fault(Fault {
            lose_answers: 2,
            ..Fault::default()
        });
        operator.set_deadline("tune.json", "lookups", 1000 + round);
        let report = operator.apply(&["--wait", "30"]);
        assert_eq!(report["revision"], 2 + round);
        assert_in_force(&report, 4);
        settled += u64::from(report["answer"] == "settled");
    }
    assert!(settled > 0);
    // Every answer is lost: it is said so in words.
    world.platform.set_fault(Fault {
        lose_answers: 1,
        ..Fault::default()
    });
    operator.set_deadline("tune.json", "lookups", 2000);
    let ran = operator.config("apply", &["--wait", "30"]).ok();
    ran.tells(&[
        "published revision 8",
        "answer was lost",
        "in force on all 4 hosts",
    ]);
}

#[test]
fn a_revision_that_no_host_can_use_leaves_the_last_good_one() {
    let (mut world, operator) = run(4);
    // Written around the command line, which would have refused it.
    let good = world.configuration.clone();
    world.configuration["targets"]["look-lima-a-1"]["slots"] = json!(0);
    world.publish(2);
    for host in names(&world) {
        eventually(&format!("{host} refuses revision 2"), || {
            world.log(&host).contains("revision 2 is not used")
        });
        assert_eq!(status(&world, &host)["revision"], 1);
    }
    let url = &world.platform_url;
    let ran = ragwortfold(&["status", "--platform", url]);
    ran.exits(2).tells(&["targets.look-lima-a-1.slots"]);
    // It is read once, not with each watch, which waits for 10 s.
    thread::sleep(Duration::from_secs(11));
    for host in names(&world) {
        let times = world.log(&host).matches("revision 2 is not used").count();
        assert_eq!(times, 1, "{host} read it {times} times");
    }
    // The next good one comes into force.
    world.configuration = good;
    drop(operator);
    world.publish(3);
    eventually("revision 3 everywhere", || is_everywhere(&world, 3));
}

/// Callers that send requests of some work to all hosts until they are told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<u16>>>,
}

impl Load {
    fn new(world: &World, callers: usize, work_ms: u64) -> Self {
        let work = work_ms.to_string();
        let stop = Arc::new(AtomicBool::new(false));
        let urls: Vec<String> = names(world)
            .iter()
            .map(|host| world.hosts[host].url("/v1/services/lookups/pass"))
            .collect();
        let threads = (0..callers)
            .map(|caller| {
                let (stop, url) = (stop.clone(), urls[caller % urls.len()].clone());
                let work = work.clone();
                thread::spawn(move || {
                    let mut statuses = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        statuses.push(
                            send("GET", &url, &[("Standin-Work-Ms", &work)], b"")
                                .unwrap()
                                .status,
                        );
                    }
                    statuses
                })
            })
            .collect();
        Self { stop, threads }
    }

    fn end(self) -> Vec<u16> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_micros() as u64
}

fn change(world: &World, word: &str, kind: &str, name: &str, more: &[&str]) -> Ran {
    let mut arguments = vec![word, kind, name, "--platform", &world.platform_url];
    arguments.extend(more);
    ragwortfold(&arguments)
}

#[test]
fn a_drained_target_gets_no_new_work_and_finishes_what_it_has() {
    let (world, _) = run(8);
    let load = Load::new(&world, 4, 20);
    let target = &world.targets["look-lima-a-1"];
    eventually("the target works", || target.journal().entries.len() > 20);

    let began = unix_us();
    let ran = change(
        &world,
        "drain",
        "target",
        "look-lima-a-1",
        &["--json", "--wait", "30"],
    )
    .ok();
    println!("drained: {}", ran.out);
    assert_eq!(ran.json()["done"], true);
    thread::sleep(LEAVE + ALLOWANCE);
    let latest = began + (LEAVE + ALLOWANCE).as_micros() as u64;
    let journal = target.journal();
    let late: Vec<_> = journal
        .entries
        .iter()
        .filter(|e| e.began_us > latest)
        .collect();
    assert!(late.is_empty(), "{} began late", late.len());
    assert!(
        journal.entries.iter().all(|entry| entry.completed),
        "work was cut"
    );
    println!(
        "last new work {} ms after the command",
        (journal
            .entries
            .last()
            .unwrap()
            .began_us
            .saturating_sub(began))
            / 1000
    );

    // The operators' files stay as they were; the override stands in a file of its own.
    let folder = Operator::pulled(&world);
    assert!(folder.read("zz-drain.json").contains("look-lima-a-1"));
    assert!(!folder.read("targets.json").contains("draining"));
    let count = target.journal().entries.len();
    change(
        &world,
        "undrain",
        "target",
        "look-lima-a-1",
        &["--wait", "30"],
    )
    .ok();
    eventually("it works again", || target.journal().entries.len() > count);
    assert!(!Operator::pulled(&world)
        .path()
        .join("zz-drain.json")
        .exists());
    let statuses = load.end();
    assert!(statuses.iter().all(|&status| status == 200), "{statuses:?}");
}

#[test]
fn work_in_flight_holds_a_drain_up_and_is_not_cut() {
    let (world, _) = run(4);
    let target = &world.targets["book-lima-a"];
    let url = world.hosts["ent-lima-a-1"].url("/v1/services/bookings/slot");
    let call =
        thread::spawn(move || send("POST", &url, &[("Standin-Work-Ms", "2500")], b"x").unwrap());
    eventually("it is in flight", || !target.journal().entries.is_empty());
    let start = Instant::now();
    let ran = change(
        &world,
        "drain",
        "target",
        "book-lima-a",
        &["--force", "--wait", "30"],
    )
    .ok();
    ran.tells(&["book-lima-a is drained after"]);
    let ended = target.journal().entries[0].ended_us;
    assert!(
        ended.is_some_and(|ended| ended <= unix_us()),
        "drained before the work was done"
    );
    println!("drained in {:?}: {}", start.elapsed(), ran.out);
    let answer = call.join().unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(target.journal().entries[0].completed);
}

#[test]
fn a_drain_that_takes_longer_than_the_wait_says_so() {
    let (world, _) = run(4);
    let target = &world.targets["book-lima-a"];
    let url = world.hosts["ent-lima-a-1"].url("/v1/services/bookings/slot");
    let call = thread::spawn(move || send("POST", &url, &[("Standin-Work-Ms", "4000")], b"x"));
    eventually("it is in flight", || !target.journal().entries.is_empty());
    let more = ["--force", "--wait", "1"];
    let ran = change(&world, "drain", "target", "book-lima-a", &more).exits(1);
    ran.tells(&["not done after", "ent-lima-a-1: 1 requests in flight"]);
    assert_eq!(call.join().unwrap().unwrap().status, 200);
}

/// Cases of drains that are not begun: the arguments, the exit code and what is said.
macro_rules! refused {
    ($($name:ident: $slots:expr, [$word:expr, $kind:expr, $place:expr] => $code:expr, $parts:expr;)*) => {$(
        #[test]
        fn $name() {
            let (world, _) = run($slots);
            change(&world, $word, $kind, $place, &[]).exits($code).tells(&$parts);
            assert!(is_everywhere(&world, 1));
        }
    )*};
}

refused! {
    a_region_with_all_targets_is_not_drained: 4, ["drain", "region", "lima"] =>
        3, ["lookups: no serving target stays", "bookings: no serving target stays", "--force"];
    a_zone_is_not_drained_faster_than_the_cap: 4, ["drain", "zone", "lima-a"] =>
        3, ["windows", "--force"];
    an_unknown_target_is_not_drained: 4, ["drain", "target", "look-9"] =>
        2, ["targets has no 'look-9'; it has book-lima-a"];
}

#[test]
fn a_target_is_not_drained_when_the_others_are_full() {
    let (world, _) = run(1);
    let load = Load::new(&world, 24, 100);
    eventually("the targets are full", || {
        let used = |host: &String| {
            let services = &status(&world, host)["services"]["lookups"];
            services["in_flight"].as_u64().unwrap() + services["queued"].as_u64().unwrap()
        };
        names(&world).iter().map(used).sum::<u64>() > 8
    });
    let ran = change(&world, "drain", "target", "look-lima-a-1", &[]).exits(3);
    ran.tells(&["lookups: ", "requests are in flight or wait", "3 slots"]);
    change(
        &world,
        "drain",
        "target",
        "look-lima-a-1",
        &["--force", "--wait", "30"],
    )
    .ok();
    load.end();
}

#[test]
fn a_host_is_drained_and_vanishes_from_look_ups() {
    let (world, _) = run(4);
    let asked = world.hosts["ent-lima-a-1"].url("/v1/entries?service=lookups&client=10.0.0.1");
    let is_named = || {
        let entries = send("GET", &asked, &[], b"").unwrap().json();
        let entries = entries["entries"].as_array().unwrap().clone();
        entries.iter().any(|entry| entry["host"] == "ent-lima-a-2")
    };
    eventually("it is named", is_named);
    change(&world, "drain", "host", "ent-lima-a-2", &["--wait", "30"]).ok();
    eventually("it vanished", || !is_named());
    let ran = change(&world, "drain", "host", "ent-lima-a-1", &[]).exits(3);
    ran.tells(&["ent-lima-a-1 is the last serving host of lima-a"]);
}

#[test]
fn racing_drains_of_two_targets_both_hold() {
    let (world, _) = run(8);
    let places = ["look-lima-a-1", "look-lima-b-1"];
    thread::scope(|scope| {
        let runs = places.map(|place| {
            scope.spawn(|| change(&world, "drain", "target", place, &["--wait", "30"]).ok())
        });
        for run in runs {
            run.join().unwrap();
        }
    });
    let text = Operator::pulled(&world).read("zz-drain.json");
    assert!(places.iter().all(|place| text.contains(place)), "{text}");
}
