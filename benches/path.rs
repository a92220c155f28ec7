//! Measures the latency that one entry host adds to a request, compared with the same requests sent
//! directly to the target; its highest request rate; and its memory during a soak test.
//!
//! `cargo bench --bench path -- [SOAK_SECONDS]`

#![allow(
    clippy::unwrap_used,
    reason = "a benchmark may abort on the first error"
)]

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::TestCluster;
use hdrhistogram::Histogram;

/// Duration of the measurement of one row.
const ROW_DURATION: Duration = Duration::from_secs(4);
/// Client threads that each send their next request as soon as they have a reply.
const CLIENT_THREADS: usize = 32;
/// Requests per second at a fifth of the load that a host has to sustain.
const FIFTH_OF_LOAD_PER_S: u64 = 3_000;
/// Longest latency that the histogram can record, in microseconds; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Result of one load run: successful requests per second, their latency in microseconds, and the
/// number of failed requests.
struct LoadResult {
    requests_per_s: f64,
    latency_us: Histogram<u64>,
    failed_count: u64,
}

/// Returns an HTTP client that reports error statuses as responses.
fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent()
}

/// Sends requests to `url` from `clients` threads, at a total of `rate` requests per second, or
/// each thread as fast as it gets replies if `rate` is `None`.
fn run_load(url: &str, clients: usize, rate: Option<u64>) -> LoadResult {
    let failed_count = Arc::new(AtomicU64::new(0));
    let start = Instant::now() + Duration::from_millis(50);
    let threads: Vec<_> = (0..clients)
        .map(|index| {
            let url = url.to_owned();
            let failed_count = failed_count.clone();
            let interval = rate.map(|rate| Duration::from_secs_f64(clients as f64 / rate as f64));
            thread::spawn(move || {
                let agent = http_agent();
                let mut latency_us = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).unwrap();
                let mut due = start
                    + interval
                        .unwrap_or_default()
                        .mul_f64(index as f64 / clients as f64);
                while Instant::now() < start + ROW_DURATION {
                    if let Some(interval) = interval {
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        due += interval;
                    }
                    let sent = Instant::now();
                    match agent.get(&url).call() {
                        Ok(mut response) if response.status() == 200 => {
                            response.body_mut().read_to_vec().unwrap();
                            latency_us.saturating_record(sent.elapsed().as_micros() as u64);
                        }
                        _ => {
                            failed_count.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
                latency_us
            })
        })
        .collect();
    let mut latency_us = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).unwrap();
    for thread in threads {
        latency_us.add(thread.join().unwrap()).unwrap();
    }
    LoadResult {
        requests_per_s: latency_us.len() as f64 / ROW_DURATION.as_secs_f64(),
        latency_us,
        failed_count: failed_count.load(Ordering::Relaxed),
    }
}

/// Prints the request rate, latency percentiles and failures of one row.
fn print_row(name: &str, row: &LoadResult) {
    println!(
        "{name:<34} {:>9.0}/s  p50 {:>6} us  p99 {:>7} us  p99.9 {:>7} us  failed {}",
        row.requests_per_s,
        row.latency_us.value_at_quantile(0.5),
        row.latency_us.value_at_quantile(0.99),
        row.latency_us.value_at_quantile(0.999),
        row.failed_count,
    );
}

/// Returns the resident memory of a process, in bytes, and its processor time, in seconds. Assumes
/// pages of 4096 bytes and 100 clock ticks per second.
fn process_usage(pid: u32) -> (u64, f64) {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap();
    let pages: u64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    (pages * 4096, ticks as f64 / 100.0)
}

fn main() {
    let soak_seconds = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .next()
        .unwrap_or(0);
    let mut world = TestCluster::new()
        .with_zone("lima", "lima-a")
        .with_host("lima-a", "ent-1");
    for index in 0..4 {
        world = world
            .with_target("lima-a", "lookups", &format!("look-{index}"), 64)
            .with_target("lima-a", "bookings", &format!("book-{index}"), 64);
    }
    let world = world.start_all();
    let host = &world.hosts["ent-1"];
    let direct_url = format!("http://{}/pass", world.targets["look-0"].address());
    let relayed_url = host.url("/v1/services/lookups/pass");
    let lookup_url = host.url("/v1/entries?service=lookups&client=10.0.0.1");
    run_load(&relayed_url, 8, None);

    let (direct_row, relayed_row) = (
        run_load(&direct_url, 8, Some(FIFTH_OF_LOAD_PER_S)),
        run_load(&relayed_url, 8, Some(FIFTH_OF_LOAD_PER_S)),
    );
    print_row("direct, 3,000/s", &direct_row);
    print_row("through one host, 3,000/s", &relayed_row);
    let added_us = |quantile: f64| {
        relayed_row.latency_us.value_at_quantile(quantile) as i64
            - direct_row.latency_us.value_at_quantile(quantile) as i64
    };
    println!("added: p50 {} us, p99 {} us", added_us(0.5), added_us(0.99));
    print_row(
        "direct, as fast as answered",
        &run_load(&direct_url, CLIENT_THREADS, None),
    );
    let cpu_before = process_usage(host.id()).1;
    let relayed_max_row = run_load(&relayed_url, CLIENT_THREADS, None);
    let cpu_seconds = process_usage(host.id()).1 - cpu_before;
    print_row("through one host, the same", &relayed_max_row);
    println!(
        "processor time {:.1} us a request",
        cpu_seconds * 1e6 / relayed_max_row.latency_us.len() as f64
    );
    let cpu_before = process_usage(host.id()).1;
    let lookup_row = run_load(&lookup_url, CLIENT_THREADS, None);
    let cpu_seconds = process_usage(host.id()).1 - cpu_before;
    print_row("look-ups, as fast as answered", &lookup_row);
    println!(
        "processor time {:.1} us a look-up",
        cpu_seconds * 1e6 / lookup_row.latency_us.len() as f64
    );
    if soak_seconds > 0 {
        run_soak(Duration::from_secs(soak_seconds), host.id(), &relayed_url);
    }
}

/// Sends load to `url` for `duration` and prints the memory of process `pid` every 10 seconds.
fn run_soak(duration: Duration, pid: u32, url: &str) {
    let is_stopping = Arc::new(AtomicBool::new(false));
    let is_stopping_flag = is_stopping.clone();
    let url = url.to_owned();
    let load_thread = thread::spawn(move || {
        while !is_stopping_flag.load(Ordering::Relaxed) {
            run_load(&url, 16, Some(8_000));
        }
    });
    let end = Instant::now() + duration;
    while Instant::now() < end {
        thread::sleep(Duration::from_secs(10));
        println!("memory {:.1} MB", process_usage(pid).0 as f64 / 1e6);
    }
    is_stopping.store(true, Ordering::Relaxed);
    load_thread.join().unwrap();
}
