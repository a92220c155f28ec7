//! Targets of the product's own interface that answer health checks and requests without end.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::{send, TestCluster};
use serde_json::json;

const TARGETS: usize = 8;
/// Memory that the host may use, with its threads.
const MAX_MEMORY: u64 = 32 << 20;
/// How long targets are checked.
const CHECKING: Duration = Duration::from_secs(4);
/// Health checks that each target has to receive meanwhile.
const MIN_CHECKS: usize = 2;

/// Starts a target that answers each request with a JSON string without end.
fn start_target(checks: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let checks = checks.clone();
            thread::spawn(move || answer(stream, &checks));
        }
    });
    address
}

fn answer(mut stream: TcpStream, checks: &AtomicUsize) {
    let reader = BufReader::new(stream.try_clone().unwrap());
    if reader
        .lines()
        .map_while(Result::ok)
        .all(|line| !line.is_empty())
    {
        return;
    }
    checks.fetch_add(1, Ordering::SeqCst);
    let block = "0123456789abcdef".repeat(4 << 10);
    let head = "HTTP/1.1 200 OK\r\n\r\n{\"state\": \"";
    let mut result = stream.write_all(head.as_bytes());
    while result.is_ok() {
        result = stream.write_all(block.as_bytes());
    }
}

/// The anonymous memory of a process, in bytes.
fn anonymous_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() << 10
}

#[test]
fn health_answers_without_end_take_little_memory() {
    let checks: Vec<Arc<AtomicUsize>> = (0..TARGETS).map(|_| Arc::default()).collect();
    let lookups = json!({"class": "pass-lookup", "idempotent": true, "deadline_ms": 2000});
    let mut cluster = TestCluster::new()
        .without_services()
        .with_service("lookups", lookups)
        .with_zone("lima", "lima-a")
        .with_host("lima-a", "h-a");
    for (number, checks) in checks.iter().enumerate() {
        let address = start_target(checks.clone());
        cluster = cluster.with_target_at("lima-a", "lookups", &format!("t-{number}"), address);
    }
    let cluster = cluster.start_all();
    let host = cluster.hosts.values().next().unwrap().id();
    let until = Instant::now() + CHECKING;
    let mut peak = 0;
    while Instant::now() < until {
        peak = peak.max(anonymous_memory(host));
        thread::sleep(Duration::from_millis(5));
    }
    assert!(peak < MAX_MEMORY, "{peak} bytes");
    let counts: Vec<usize> = checks
        .iter()
        .map(|checks| checks.load(Ordering::SeqCst))
        .collect();
    assert!(
        counts.iter().all(|count| *count >= MIN_CHECKS),
        "{counts:?}"
    );
}

/// What a target sends after a request: a head, and what follows without end.
#[derive(Clone, Copy)]
struct Endless {
    head: &'static str,
    rest: &'static str,
}

/// Starts a target that answers each request without end. `taken` is set to the most bytes that were taken on one connection.
fn start_endless(endless: Endless, taken: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let taken = taken.clone();
            thread::spawn(move || send_endlessly(stream, endless, &taken));
        }
    });
    address
}

fn send_endlessly(mut stream: TcpStream, endless: Endless, taken: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut id = String::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(1..) => {}
            _ => return,
        }
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("ragwortfold-request-id:") {
            id = value.trim().to_owned();
        }
        if line.is_empty() {
            break;
        }
    }
    let block = endless.rest.repeat((64 << 10) / endless.rest.len());
    let head = endless.head.replace("{id}", &id);
    let mut result = stream.write_all(head.as_bytes());
    let mut sent = 0;
    while result.is_ok() {
        result = stream.write_all(block.as_bytes());
        sent += block.len();
        taken.fetch_max(sent, Ordering::SeqCst);
    }
}

const ZONES: [&str; 4] = ["lima-a", "lima-b", "lima-c", "lima-d"];
const CALLERS: usize = 28;
/// How long requests are sent.
const SENDING: Duration = Duration::from_secs(4);
/// Share of the requests that have to be answered: three of four of the targets serve, and requests may be repeated.
const MIN_ANSWERED: f64 = 0.9;
/// Bytes that may be taken from one connection: the longest answer that is buffered, and the buffers of the kernel.
const MAX_TAKEN: usize = 24 << 20;
/// The same for a chunked answer, with the encoding.
const MAX_CHUNKED_TAKEN: usize = 48 << 20;

/// Two of eight targets, one of the two in the zone of the host that callers use, send without end. The requests are answered by
/// others.
macro_rules! endless {
    ($($name:ident: $most_taken:expr, $head:expr, $rest:expr;)*) => {$(
        #[test]
        fn $name() {
            let endless = Endless { head: $head, rest: $rest };
            let taken = Arc::new(AtomicUsize::new(0));
            let lookups = json!({"class": "pass-lookup", "idempotent": true, "deadline_ms": 2000});
            let mut cluster = TestCluster::new().without_services().with_service("lookups", lookups);
            for (number, zone) in ZONES.into_iter().enumerate() {
                cluster = cluster.with_zone("lima", zone).with_host(zone, &format!("ent-{number}"));
                cluster = cluster.with_target(zone, "lookups", &format!("t-{number}"), 16);
                cluster = match number {
                    0 | 2 => {
                        let address = start_endless(endless, taken.clone());
                        let name = format!("t-endless-{number}");
                        let mut cluster = cluster.with_target_at(zone, "lookups", &name, address);
                        cluster.configuration["targets"][&name]["slots"] = 16.into();
                        cluster
                    }
                    _ => cluster.with_target(zone, "lookups", &format!("t-more-{number}"), 16),
                };
            }
            let cluster = cluster.start_all();
            let url = cluster.hosts["ent-0"].url("/v1/services/lookups/x");
            let until = Instant::now() + SENDING;
            let statuses: Vec<u16> = thread::scope(|scope| {
                let callers: Vec<_> = (0..CALLERS)
                    .map(|_| scope.spawn(|| {
                        let mut statuses = Vec::new();
                        while Instant::now() < until {
                            let headers = [("Ragwortfold-Deadline-Ms", "2000"), ("Standin-Work-Ms", "150")];
                            statuses.push(send("POST", &url, &headers, b"hello").map_or(0, |answer| answer.status));
                        }
                        statuses
                    }))
                    .collect();
                callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
            });
            let mut counts = std::collections::BTreeMap::<u16, usize>::new();
            statuses.iter().for_each(|status| *counts.entry(*status).or_default() += 1);
            let answered = counts.get(&200).copied().unwrap_or_default();
            let taken = taken.load(Ordering::SeqCst);
            assert!(answered as f64 >= statuses.len() as f64 * MIN_ANSWERED, "{counts:?}, {taken} bytes taken");
            assert!(taken < $most_taken, "{taken} bytes from one connection, {counts:?}");
        }
    )*};
}

endless! {
    requests_beside_heads_without_end: MAX_TAKEN, "HTTP/1.1 200 OK\r\n", "x-noise: 0123456789abcdef\r\n";
    requests_beside_a_header_line_without_end: MAX_TAKEN, "HTTP/1.1 200 OK\r\nx-noise: ", "0123456789abcdef";
    requests_beside_noise_without_end: MAX_TAKEN, "\u{1}", "\u{2}\u{3}\u{4}\u{5}";
    requests_beside_interim_responses_without_end: MAX_TAKEN, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n";
    requests_beside_chunks_without_end: MAX_CHUNKED_TAKEN, "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n";
    requests_beside_trailers_without_end: MAX_CHUNKED_TAKEN, "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        "x-noise: 0123456789abcdef\r\n";
    requests_beside_a_great_length: usize::MAX, "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {id}\r\nContent-Length: 4611686018427387904\r\n\r\n",
        "0123456789abcdef";
    requests_beside_failures_without_end: MAX_TAKEN, "HTTP/1.1 500 Failed\r\nRagwortfold-Request-Id: {id}\r\n\r\n", "0123456789abcdef";
    requests_beside_bytes_after_a_whole_answer: MAX_TAKEN, "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok", "0123456789abcdef";
}
