//! What one entry host adds to a request, side by side with the same requests sent straight to
//! the target; how many it carries; and its memory over a soak.
//!
//! `cargo bench --bench path -- [SOAK_SECONDS]`

#![allow(clippy::unwrap_used, reason = "a bench may end at once")]

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::TestCluster;
use hdrhistogram::Histogram;

/// How long each row is measured.
const TIME: Duration = Duration::from_secs(4);
/// Clients that ask as fast as they are answered.
const CLIENTS: usize = 32;
/// Requests per second at a fifth of the load that is to be carried.
const FIFTH: u64 = 3_000;
/// Highest latency that is told apart, in microseconds.
const HIGHEST: u64 = 60_000_000;

/// What one row showed.
struct Row {
    rate: f64,
    latency: Histogram<u64>,
    failed: u64,
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent()
}

/// Asks `url` with `clients` threads: each at its share of `rate`, or as fast as it is answered.
fn ask(url: &str, clients: usize, rate: Option<u64>) -> Row {
    let failed = Arc::new(AtomicU64::new(0));
    let start = Instant::now() + Duration::from_millis(50);
    let threads: Vec<_> = (0..clients)
        .map(|index| {
            let url = url.to_owned();
            let failed = failed.clone();
            let pause = rate.map(|rate| Duration::from_secs_f64(clients as f64 / rate as f64));
            thread::spawn(move || {
                let agent = agent();
                let mut latency = Histogram::<u64>::new_with_max(HIGHEST, 3).unwrap();
                let mut due = start
                    + pause
                        .unwrap_or_default()
                        .mul_f64(index as f64 / clients as f64);
                while Instant::now() < start + TIME {
                    if let Some(pause) = pause {
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        due += pause;
                    }
                    let sent = Instant::now();
                    match agent.get(&url).call() {
                        Ok(mut answer) if answer.status() == 200 => {
                            answer.body_mut().read_to_vec().unwrap();
                            latency.saturating_record(sent.elapsed().as_micros() as u64);
                        }
                        _ => {
                            failed.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
                latency
            })
        })
        .collect();
    let mut latency = Histogram::<u64>::new_with_max(HIGHEST, 3).unwrap();
    for thread in threads {
        latency.add(thread.join().unwrap()).unwrap();
    }
    Row {
        rate: latency.len() as f64 / TIME.as_secs_f64(),
        latency,
        failed: failed.load(Ordering::Relaxed),
    }
}

fn print(name: &str, row: &Row) {
    println!(
        "{name:<34} {:>9.0}/s  p50 {:>6} us  p99 {:>7} us  p99.9 {:>7} us  failed {}",
        row.rate,
        row.latency.value_at_quantile(0.5),
        row.latency.value_at_quantile(0.99),
        row.latency.value_at_quantile(0.999),
        row.failed,
    );
}

/// Resident memory of a process, in bytes, and its processor time, in seconds.
fn usage(id: u32) -> (u64, f64) {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap();
    let pages: u64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
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
    let soak = std::env::args()
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
    let direct = format!("http://{}/pass", world.targets["look-0"].address());
    let through = host.url("/v1/services/lookups/pass");
    let look_up = host.url("/v1/entries?service=lookups&client=10.0.0.1");
    ask(&through, 8, None);

    let (bare, added) = (ask(&direct, 8, Some(FIFTH)), ask(&through, 8, Some(FIFTH)));
    print("direct, 3,000/s", &bare);
    print("through one host, 3,000/s", &added);
    let extra = |q: f64| {
        added.latency.value_at_quantile(q) as i64 - bare.latency.value_at_quantile(q) as i64
    };
    println!("added: p50 {} us, p99 {} us", extra(0.5), extra(0.99));
    print("direct, as fast as answered", &ask(&direct, CLIENTS, None));
    let before = usage(host.id()).1;
    let carried = ask(&through, CLIENTS, None);
    let spent = usage(host.id()).1 - before;
    print("through one host, the same", &carried);
    println!(
        "processor time {:.1} us a request",
        spent * 1e6 / carried.latency.len() as f64
    );
    let before = usage(host.id()).1;
    let looked = ask(&look_up, CLIENTS, None);
    let spent = usage(host.id()).1 - before;
    print("look-ups, as fast as answered", &looked);
    println!(
        "processor time {:.1} us a look-up",
        spent * 1e6 / looked.latency.len() as f64
    );
    if soak > 0 {
        soak_for(Duration::from_secs(soak), host.id(), &through);
    }
}

fn soak_for(time: Duration, id: u32, url: &str) {
    let stop = Arc::new(AtomicBool::new(false));
    let flag = stop.clone();
    let url = url.to_owned();
    let load = thread::spawn(move || {
        while !flag.load(Ordering::Relaxed) {
            ask(&url, 16, Some(8_000));
        }
    });
    let end = Instant::now() + time;
    while Instant::now() < end {
        thread::sleep(Duration::from_secs(10));
        println!("memory {:.1} MB", usage(id).0 as f64 / 1e6);
    }
    stop.store(true, Ordering::Relaxed);
    load.join().unwrap();
}
