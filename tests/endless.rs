//! Targets of the product's own interface that answer health checks without end.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::TestCluster;
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
