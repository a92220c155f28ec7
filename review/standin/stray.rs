//! Unsafe requests while some backends send extra answers that belong to an earlier request.

#[path = "lib.rs"]
mod lib;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{has_trouble, put_config, request, response, start_backend, Entry, Record, Store};

/// One answer in this many is followed by an extra one, at the backends that do so.
const EXTRA_EVERY: u32 = 40;
const BACKENDS: usize = 4;
/// Backends that send extra answers.
const FAULTY: usize = 2;
const CLIENT_TIME: Duration = Duration::from_secs(30);

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("path of the record"));
    let folder = lib::temporary_folder();
    let store = Store::start();
    put_config(&store);
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let extras = Arc::new(AtomicU32::new(0));
    for index in 0..BACKENDS {
        let id = format!("i-offer-{index}");
        let respond = respond(&id, index < FAULTY && has_trouble(), &record, &runs, &extras);
        let address = start_backend(respond).address;
        let entry = Entry {
            id,
            service: "offers".into(),
            zone: ["north-a", "central-a", "south-a"][index % 3].into(),
            address,
            born: 1_764_000_000_000 + index as u64,
        };
        store.put("servers", &entry.id, &entry.fields(), &entry.spec(), &Entry::status("ready", 1));
    }
    let hosts = lib::start_hosts(&folder, &store, &["north-a", "central-a", "south-a"]);
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (front, record) = (hosts[client % hosts.len()].front, record.clone());
            thread::spawn(move || {
                let until = Instant::now() + CLIENT_TIME;
                let mut number = 0;
                while Instant::now() < until {
                    let id = format!("{client:02x}{number:06x}");
                    let key = format!("{}", number % 24);
                    record.line(&format!("client sends {id} POST /offers/{key}"));
                    let answer = request(front, "POST", &format!("/offers/{key}"), &id, &key, "accept");
                    record.line(&format!("client gets {id} {answer}"));
                    number += 1;
                    thread::sleep(Duration::from_millis(30));
                }
                number
            })
        })
        .collect();
    let sent: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        record.line(&format!("TWICE: {id} ran at {}", at.join(" and ")));
    }
    let summary = format!(
        "{sent} unsafe requests sent, {} ran, {} extra answers, {} ran more than once",
        runs.len(),
        extras.load(Ordering::Relaxed),
        twice.len()
    );
    record.line(&summary);
    println!("{summary}");
    let failed = !twice.is_empty();
    drop(hosts);
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(if sent < 100 { 2 } else { i32::from(failed) });
}

fn respond(
    name: &str,
    is_faulty: bool,
    record: &Record,
    runs: &Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    extras: &Arc<AtomicU32>,
) -> Arc<lib::Respond> {
    let (name, record, runs, extras) = (name.to_string(), record.clone(), runs.clone(), extras.clone());
    let answers = AtomicU32::new(0);
    Arc::new(move |(line, headers, _), previous| {
        if line.contains("/health") {
            let instance = format!("Ragwortfold-Instance-Id: {name}\r\n");
            return (response("200 OK", "", &instance, ""), true);
        }
        let id = headers.get("ragwortfold-request-id").cloned().unwrap_or_default();
        if headers.get("ragwortfold-expect-instance").is_some_and(|expected| *expected != name) {
            let instance = format!("Ragwortfold-Instance-Id: {name}\r\n");
            return (response("421 Misdirected Request", &id, &instance, ""), true);
        }
        record.line(&format!("{name} runs {id}"));
        runs.lock().unwrap().entry(id.clone()).or_default().push(name.clone());
        // If no request came before on this connection, the next answer is due instead.
        let is_due = is_faulty && answers.load(Ordering::Relaxed) >= EXTRA_EVERY;
        answers.fetch_add(1, Ordering::Relaxed);
        let mut bytes = Vec::new();
        if let (true, Some(last)) = (is_due, previous) {
            // The second answer to the request before this one arrives late.
            answers.store(0, Ordering::Relaxed);
            record.line(&format!("{name} sends a second answer to {last}, 421, late"));
            extras.fetch_add(1, Ordering::Relaxed);
            bytes.extend(response("421 Misdirected Request", last, "", ""));
        }
        thread::sleep(Duration::from_millis(20));
        bytes.extend(response("200 OK", &id, "Ragwortfold-Response-Stamp: s\r\n", "accepted"));
        (bytes, true)
    })
}
