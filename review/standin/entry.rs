//! An entry of another writer in the store. With the argument `cold`, an entry whose cold time is
//! the largest value; afterwards a backend leaves. With `fields`, an entry under a backend's own
//! name that lacks fields and names another service.

#[path = "lib.rs"]
mod lib;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{has_trouble, put_config, request, response, start_backend, Entry, Record, Store};

/// The bound of the rule DRAIN in the sites that the case is like.
const DRAIN: Duration = Duration::from_millis(2500);
/// Time between two beats of a backend.
const BEAT: Duration = Duration::from_millis(1500);
const CLIENTS: usize = 18;
/// The backend that leaves, one of the service `offers`.
const LEAVING: usize = 3;
/// Time for which a backend that leaves goes on after `drain`: "a little longer".
const STAY: Duration = Duration::from_secs(4);
/// Time that a request takes at a backend.
const WORK: Duration = Duration::from_millis(150);
/// How often the entry with the largest cold time is written.
const COLD_WRITES: u32 = 3;

/// A run of a request at a backend.
struct Run {
    backend: String,
    service: String,
    path: String,
    id: String,
    at: Instant,
    sent_at: Option<Instant>,
}

type Sent = Arc<Mutex<BTreeMap<String, Instant>>>;

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().expect("cold or fields");
    let record = Record::new(&args.next().expect("path of the record"));
    let folder = lib::temporary_folder();
    let store = Store::start();
    put_config(&store);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let sent: Sent = Arc::default();
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let draining = Arc::new(AtomicBool::new(false));
    let (mut entries, mut backends) = (Vec::new(), Vec::new());
    for (index, service) in ["lists", "lists", "lists", "offers", "offers", "offers"].iter().enumerate() {
        let id = format!("i-{service}-{}", index % 3);
        let backend = start_backend(respond(&id, service, &record, &runs, &sent));
        let address = backend.address;
        let entry = Entry {
            id,
            service: service.to_string(),
            zone: ["north-a", "central-a", "south-a"][index % 3].into(),
            address,
            born: 1_764_000_000_000 + index as u64,
        };
        store.put("servers", &entry.id, &entry.fields(), &entry.spec(), &Entry::status("ready", 1));
        entries.push(entry);
        backends.push(backend);
    }
    beat(&store, &entries, &draining);
    let mut hosts = lib::start_hosts(&folder, &store, &["north-a", "central-a", "south-a"]);
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record, stop) = (hosts[client % hosts.len()].front, record.clone(), stop.clone());
            let (number, sent, answers) = (number.clone(), sent.clone(), answers.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{number:08x}");
                    let (method, path, key) = match number % 2 {
                        0 => ("GET", format!("/lists/{}", number % 66), format!("{}", number % 66)),
                        // Each offer is accepted once.
                        _ => ("POST", format!("/offers/{number}"), format!("{number}")),
                    };
                    record.line(&format!("client sends {id} {method} {path} to {front}"));
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let answer = request(front, method, &path, &id, &key, "x");
                    record.line(&format!("client gets {id} {answer}"));
                    answers.lock().unwrap().insert(id, answer);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let mut drained_at = None;
    match what.as_str() {
        "cold" => {
            if has_trouble() {
                let (store, record) = (store.clone(), record.clone());
                thread::spawn(move || {
                    for seq in 1..=COLD_WRITES {
                        write_cold_entry(&store, &record, seq);
                        thread::sleep(BEAT);
                    }
                });
            }
            thread::sleep(Duration::from_secs(8));
            draining.store(true, Ordering::Relaxed);
            let left = &entries[LEAVING];
            store.put("servers", &left.id, "", "", &Entry::status("draining", 50));
            drained_at = Some(Instant::now());
            record.line(&format!("store acknowledges that {} is draining", left.id));
            thread::sleep(DRAIN + STAY);
            backends[LEAVING].exit();
            record.line(&format!("{} has exited", left.id));
            thread::sleep(Duration::from_secs(4));
        }
        _ => {
            if has_trouble() {
                write_entry_without_fields(&store, &record, &entries[0]);
            }
            thread::sleep(Duration::from_secs(12));
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let runs = runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let (mut broken, mut lost) = (0, 0);
    for run in runs.iter() {
        let wanted = if run.path.starts_with("/lists/") { "lists" } else { "offers" };
        let late = drained_at.filter(|at| {
            run.backend == entries[LEAVING].id && run.at > *at + DRAIN && run.sent_at.is_some_and(|sent| sent > *at)
        });
        if let Some(at) = late {
            broken += 1;
            record.line(&format!(
                "DRAIN: {} reached {} {} ms after the acknowledgement",
                run.id, run.backend, (run.at - at).as_millis()
            ));
            let answer = answers.get(&run.id).map_or("none", |answer| answer);
            if !answer.contains(" 200 ") {
                lost += 1;
                record.line(&format!("lost: {} ran at {}, its client got {answer}", run.id, run.backend));
            }
        }
        if run.service != wanted {
            broken += 1;
            record.line(&format!("ROUTE: {} {} ran at {}, a backend of {}", run.id, run.path, run.backend, run.service));
        }
    }
    let ended = hosts.iter_mut().filter_map(|host| host.child.try_wait().ok().flatten()).count();
    let summary = format!(
        "{} requests sent, {} ran, {broken} against the rule and {lost} of these without an answer, {ended} of {} hosts ended by themselves",
        number.load(Ordering::Relaxed), runs.len(), hosts.len()
    );
    record.line(&summary);
    println!("{summary}");
    for host in &hosts {
        let log = std::fs::read_to_string(folder.join(format!("{}.log", host.name))).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains("panicked") || line.contains("overflow")) {
            record.line(&format!("log of {}: {line}", host.name));
        }
    }
    drop(hosts);
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(if runs.len() < 100 { 2 } else { i32::from(broken > 0) });
}

/// Writes an entry that no backend wrote, whose cold time is the largest count of seconds.
fn write_cold_entry(store: &Store, record: &Record, seq: u32) {
    record.line(&format!("another writer: servers/i-other, seq {seq}, coldLeft 9223372036854775807s"));
    store.put(
        "servers",
        "i-other",
        "\"born\":1764000000999,",
        "{\"address\":\"127.0.0.1:9\",\"info\":{\"service\":\"lists\",\"version\":\"v1\",\"zone\":\"north-a\",\"slots\":6}}",
        &format!("{{\"state\":\"ready\",\"seq\":{seq},\"coldLeft\":\"9223372036854775807s\"}}"),
    );
}

/// Overwrites a backend's entry with one that names another service and lacks `version`.
fn write_entry_without_fields(store: &Store, record: &Record, entry: &Entry) {
    record.line(&format!("another writer: servers/{}, service offers, without version", entry.id));
    let spec = format!(
        "{{\"address\":\"{}\",\"info\":{{\"service\":\"offers\",\"zone\":\"{}\",\"slots\":6}}}}",
        entry.address, entry.zone
    );
    store.put("servers", &entry.id, "", &spec, "");
}

/// Writes each backend's status regularly. A backend that is draining says so.
fn beat(store: &Store, entries: &[Entry], draining: &Arc<AtomicBool>) {
    let (store, entries, draining) = (store.clone(), entries.to_vec(), draining.clone());
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(BEAT);
            for (index, entry) in entries.iter().enumerate() {
                let leaves = index == LEAVING && draining.load(Ordering::Relaxed);
                let state = if leaves { "draining" } else { "ready" };
                store.put("servers", &entry.id, "", "", &Entry::status(state, seq));
            }
        }
    });
}

fn respond(name: &str, service: &str, record: &Record, runs: &Arc<Mutex<Vec<Run>>>, sent: &Sent) -> Arc<lib::Respond> {
    let (name, service) = (name.to_string(), service.to_string());
    let (record, runs, sent) = (record.clone(), runs.clone(), sent.clone());
    Arc::new(move |(line, headers, _), _| {
        let instance = format!("Ragwortfold-Instance-Id: {name}\r\n");
        let path = line.split(' ').nth(1).unwrap_or_default().to_string();
        if path == "/health" {
            return (response("200 OK", "", &instance, ""), true);
        }
        let id = headers.get("ragwortfold-request-id").cloned().unwrap_or_default();
        if headers.get("ragwortfold-expect-instance").is_some_and(|expected| *expected != name) {
            return (response("421 Misdirected Request", &id, &instance, ""), true);
        }
        record.line(&format!("{name} ({service}) runs {id} {path}"));
        let sent_at = sent.lock().unwrap().get(&id).copied();
        runs.lock().unwrap().push(Run {
            backend: name.clone(),
            service: service.clone(),
            path,
            id: id.clone(),
            at: Instant::now(),
            sent_at,
        });
        thread::sleep(WORK);
        (response("200 OK", &id, "Ragwortfold-Response-Stamp: s\r\n", "done"), true)
    })
}
