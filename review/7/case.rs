//! A host is stopped with SIGTERM while long requests run at their backend: are they broken off?

#[path = "../standin-2/lab.rs"]
mod lab;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::{Backend, Client, Host, Record, Store};

const SHORT_WORK: Duration = Duration::from_millis(20);
const LONG_WORK: Duration = Duration::from_millis(3000);
/// Time for which clients send short requests before a zone is emptied, and from then until the
/// long requests.
const WARM_UP: Duration = Duration::from_secs(4);
const EVACUATED_BEFORE: Duration = Duration::from_secs(2);
const SHORT_CLIENTS: usize = 6;
const LONG_REQUESTS: usize = 3;
/// Deadline of the long requests, and timeout of their route.
const LONG_DEADLINE_MS: u32 = 6000;

/// When the host broke off the runs of long requests, by ID.
type BrokenOff = Arc<Mutex<BTreeMap<String, Instant>>>;

/// Works for some time; returns whether the connection was closed meanwhile.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_closed = false;
    while !is_closed && Instant::now() < until {
        is_closed = match stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        };
        thread::sleep(Duration::from_millis(5));
    }
    let _ = stream.set_nonblocking(false);
    is_closed
}

/// Starts a sound backend, which drops a request when its connection closes.
fn start_backend(id: &str, broken_off: &BrokenOff, record: &Record) -> SocketAddr {
    let (listener, address) = lab::listen();
    let (id, broken_off, record) = (id.to_owned(), broken_off.clone(), record.clone());
    lab::serve(listener, move |request, stream| {
        if let Some(answer) = lab::preliminary_answer(&id, request) {
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let request_id = request.header("ragwortfold-request-id").to_owned();
        let is_long = request.word(1).starts_with("/report/");
        if is_long {
            record.line(format!("backend {id} runs {request_id}, which takes 3 s"));
        }
        let time = if is_long { LONG_WORK } else { SHORT_WORK };
        if work(stream, time) {
            record.line(format!("backend {id} is at work on {request_id} and its connection is closed"));
            broken_off.lock().unwrap().insert(request_id, Instant::now());
            return false;
        }
        let answer = lab::backend_answer(&id, request, "200 OK", "", "done");
        stream.write_all(answer.as_bytes()).is_ok()
    });
    address
}

/// A client of the directory: the addresses to use, and until when.
struct Directory {
    nodes: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl Directory {
    fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            nodes,
            addresses: Vec::new(),
            until: Instant::now(),
        }
    }

    /// The addresses in use; asks again once their time is over.
    fn addresses(&mut self) -> &[SocketAddr] {
        if Instant::now() < self.until {
            return &self.addresses;
        }
        for node in &self.nodes {
            let path = "/api/resolve?name=a.example&region=north&zone=north-a";
            let answer = lab::call(*node, "GET", path, "", b"", Duration::from_secs(1));
            let Ok(answer) = answer else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let quoted = text.split('"');
            let addresses: Vec<SocketAddr> = quoted.filter_map(|word| word.parse().ok()).collect();
            let ttl = text.split('"').filter_map(|word| word.strip_suffix("ms"));
            let ttl = ttl.filter_map(|ms| ms.parse().ok()).next().unwrap_or(1000);
            if !addresses.is_empty() {
                self.addresses = addresses;
                self.until = Instant::now() + Duration::from_millis(ttl);
                break;
            }
        }
        &self.addresses
    }
}

/// Sends short requests until `is_over`, on a connection that is kept as long as the directory
/// names its address.
fn send_short(
    client: usize,
    mut directory: Directory,
    is_over: &AtomicBool,
    answered: &AtomicUsize,
    record: &Record,
) {
    let mut kept: Option<(SocketAddr, Client)> = None;
    let mut number = 0;
    let mut random = client as u64 + 1;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let addresses = directory.addresses().to_vec();
        if kept.as_ref().is_some_and(|(address, _)| !addresses.contains(address)) {
            kept = None;
        }
        if kept.is_none() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let address = addresses[(random >> 33) as usize % addresses.len()];
            let connection = Client::connect(address, Duration::from_secs(2));
            kept = connection.ok().map(|connection| (address, connection));
        }
        let Some((address, mut connection)) = kept.take() else {
            continue;
        };
        let id = format!("{:016x}", 0x5a00_0000_0000_0000 + (client << 24) + number);
        let headers = format!("Ragwortfold-Request-Id: {id}\r\nRagwortfold-Deadline-Ms: 2000\r\n");
        let answer = connection.request("GET", "/quick/x", &headers, b"");
        match &answer {
            Ok(message) if message.status() == 200 => {
                answered.fetch_add(1, Ordering::SeqCst);
                if message.header("connection") != "close" {
                    kept = Some((address, connection));
                }
            }
            other => record.line(format!("short request {id} gets {}", lab::describe(other))),
        }
        thread::sleep(Duration::from_millis(40));
    }
}

fn main() {
    let record = Record::new();
    let store = Store::new();
    let routes = [
        ("r-quick", lab::route("/quick/", "safe", "lookup", 2000, "")),
        ("r-report", lab::route("/report/", "safe", "lookup", LONG_DEADLINE_MS, "")),
    ];
    store.put("config", "main", &lab::config(1, &routes, &["lookup"], ""), "null");
    let broken_off = BrokenOff::default();
    for (id, zone) in [("i-1", "north-a"), ("i-2", "north-b")] {
        let backend = Backend {
            id: id.into(),
            address: start_backend(id, &broken_off, &record),
            service: "lookup".into(),
            zone: zone.into(),
            slots: 6,
            born: 1_790_000_000_000,
        };
        store.put_backend(&backend, "ready");
    }
    let zones = "{\"north-a\":\"north\",\"north-b\":\"north\"}";
    let first = Host::start(1, "north-a", zones, &store.open(), &[], "");
    let second = Host::start(2, "north-b", zones, &store.open(), &[first.feed], "");
    lab::wait_until("the directory names both hosts", || {
        Directory::new(vec![second.lookup]).addresses().len() == 2
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let short: Vec<_> = (0..SHORT_CLIENTS)
        .map(|client| {
            let directory = Directory::new(vec![first.lookup, second.lookup]);
            let (is_over, answered, record) = (is_over.clone(), answered.clone(), record.clone());
            thread::spawn(move || send_short(client, directory, &is_over, &answered, &record))
        })
        .collect();
    thread::sleep(WARM_UP);
    // Planned as well, with and without the disruption.
    store.put("evacuations", "north-b", "{}", "null");
    record.line("zone north-b is evacuated");
    thread::sleep(EVACUATED_BEFORE);
    let long: Vec<_> = (0..LONG_REQUESTS)
        .map(|number| {
            let (front, record) = (first.front, record.clone());
            thread::spawn(move || {
                let id = format!("{:016x}", 0x7e00_0000_0000_0000 + number);
                let headers = format!(
                    "Ragwortfold-Request-Id: {id}\r\nRagwortfold-Deadline-Ms: {LONG_DEADLINE_MS}\r\n"
                );
                record.line(format!("client sends {id} GET /report/{number}"));
                let answer = lab::call(
                    front,
                    "GET",
                    &format!("/report/{number}"),
                    &headers,
                    b"",
                    Duration::from_secs(8),
                );
                record.line(format!("client gets for {id}: {}", lab::describe(&answer)));
                (id, answer.map_or(0, |answer| answer.status()))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    if lab::has_trouble() {
        record.line("the first host gets SIGTERM");
        first.signal("-TERM");
    }
    let answers: Vec<_> = long.into_iter().filter_map(|thread| thread.join().ok()).collect();
    is_over.store(true, Ordering::SeqCst);
    for client in short {
        let _ = client.join();
    }
    let broken_off = broken_off.lock().unwrap();
    let broken: Vec<_> = answers
        .iter()
        .filter(|(id, status)| *status != 200 && broken_off.contains_key(id))
        .collect();
    for (id, status) in &broken {
        record.line(format!("LOST: {id} was broken off while its backend was at work, the client got {status}"));
    }
    let short_answers = answered.load(Ordering::SeqCst);
    record.line(format!("{} of {} long requests were broken off, {short_answers} short requests were answered", broken.len(), answers.len()));
    if short_answers < 100 || answers.len() < LONG_REQUESTS {
        lab::give_up("too few requests were answered");
    }
    drop((first, second));
    exit(if broken.is_empty() { lab::HELD } else { lab::BROKEN });
}
