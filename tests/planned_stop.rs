//! The product's own interface: planned stops of a host while callers keep using it.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cluster::TestCluster;
use serde_json::json;

const LEAVING: &str = "ent-lima-a-1";
/// Time from SIGTERM within which the process has to end.
const GRACE: Duration = Duration::from_secs(5);
/// How long callers send requests before SIGTERM.
const WARM_UP: Duration = Duration::from_secs(1);
const CALLERS_OF_A_KIND: usize = 4;

/// How a caller uses its connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Use {
    /// One for each request.
    New,
    /// One for many, until an answer closes it.
    Kept,
    /// The same, and the next request is sent before the answer to the one before it.
    Pipelined,
}

/// What became of the requests of a caller.
#[derive(Default)]
struct Tally {
    answered: usize,
    refused: usize,
    /// Requests that were sent and got no answer.
    cut: Vec<String>,
}

struct Answer {
    status: u16,
    closes: bool,
}

fn write_request(stream: &mut TcpStream, service: &str, work_ms: u64) -> std::io::Result<()> {
    let head = format!(
        "POST /v1/services/{service}/x HTTP/1.1\r\nHost: a\r\nStandin-Work-Ms: {work_ms}\r\n\
         Ragwortfold-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nhello"
    );
    stream.write_all(head.as_bytes())
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut closes) = (0, false);
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(text) = line.strip_prefix("content-length:") {
            length = text.trim().parse().ok()?;
        }
        closes |= line == "connection: close";
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Answer { status, closes })
}

/// Sends requests to the host until it refuses connections.
fn call(address: SocketAddr, service: &str, usage: Use, work_ms: u64, stop: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            break;
        };
        stream.set_read_timeout(Some(GRACE * 2)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut is_open = true;
        while is_open && !stop.load(Ordering::Relaxed) {
            let batch = if usage == Use::Pipelined { 2 } else { 1 };
            let sent_at = Instant::now();
            let sent = (0..batch)
                .filter(|_| write_request(&mut stream, service, work_ms).is_ok())
                .count();
            for number in 0..sent {
                match read_answer(&mut reader) {
                    Some(answer) => {
                        tally.answered += usize::from(answer.status == 200);
                        tally.refused += usize::from(answer.status != 200);
                        is_open &= !answer.closes && usage != Use::New;
                    }
                    None => {
                        tally
                            .cut
                            .push(format!("{service} {number} after {:?}", sent_at.elapsed()));
                        is_open = false;
                    }
                }
            }
        }
    }
    tally
}

fn start_cluster(grace: Duration) -> TestCluster {
    let mut cluster = TestCluster::new();
    for zone in ["lima-a", "lima-b"] {
        cluster = cluster.with_zone("lima", zone);
        for service in ["lookups", "bookings"] {
            for number in 0..2 {
                let name = format!("{service}-{zone}-{number}");
                cluster = cluster.with_target(zone, service, &name, 64);
            }
        }
    }
    let cluster = cluster
        .with_host("lima-a", LEAVING)
        .with_host("lima-b", "ent-lima-b-1");
    cluster.start_all_with(&json!({"grace_ms": u64::try_from(grace.as_millis()).unwrap()}))
}

/// Stops a host while callers use it without a pause. `during` is called with the cluster after SIGTERM.
fn stop_while_used(work_ms: u64, during: impl FnOnce(&TestCluster)) {
    let mut cluster = start_cluster(GRACE);
    let address = cluster.hosts[LEAVING].address;
    let stop = AtomicBool::new(false);
    let (tallies, took, code) = thread::scope(|scope| {
        let mut callers = Vec::new();
        for usage in [Use::New, Use::Kept, Use::Pipelined] {
            for number in 0..CALLERS_OF_A_KIND {
                let service = ["lookups", "bookings"][number % 2];
                let stop = &stop;
                callers.push(scope.spawn(move || call(address, service, usage, work_ms, stop)));
            }
        }
        thread::sleep(WARM_UP);
        let told_at = Instant::now();
        cluster.hosts[LEAVING].signal("TERM");
        during(&cluster);
        let host = cluster.hosts.get_mut(LEAVING).unwrap();
        let code = host.wait();
        let took = told_at.elapsed();
        stop.store(true, Ordering::Relaxed);
        let tallies: Vec<Tally> = callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect();
        (tallies, took, code)
    });
    let answered: usize = tallies.iter().map(|tally| tally.answered).sum();
    let cut: Vec<&String> = tallies.iter().flat_map(|tally| &tally.cut).collect();
    assert!(
        cut.is_empty(),
        "{answered} answered, cut: {cut:?}, ended after {took:?}"
    );
    assert!(answered > 0);
    assert_eq!(code, Some(0));
    assert!(took < GRACE, "{took:?}");
}

/// Defines tests by the time that targets take for a request in milliseconds, and what else happens after SIGTERM.
macro_rules! stops {
    ($($name:ident: $work_ms:expr, $during:expr;)*) => {$(
        #[test]
        fn $name() {
            stop_while_used($work_ms, $during);
        }
    )*};
}

stops! {
    a_stop_cuts_no_short_request_and_ends_within_the_grace_period: 20, |_| {};
    a_stop_cuts_no_request_of_300_ms_and_ends_within_the_grace_period: 300, |_| {};
    a_stop_cuts_no_request_of_1500_ms_and_ends_within_the_grace_period: 1500, |_| {};
    a_second_signal_in_a_stop_cuts_no_request: 300, |cluster: &TestCluster| {
        thread::sleep(Duration::from_millis(500));
        cluster.hosts[LEAVING].signal("HUP");
    };
    a_stop_beside_that_of_the_other_host_cuts_no_request: 300, |cluster: &TestCluster| {
        cluster.hosts["ent-lima-b-1"].signal("TERM");
    };
}

/// A request that takes longer than the grace period is answered before the process ends.
#[test]
fn a_request_that_outlasts_the_grace_period_is_answered() {
    let mut cluster = start_cluster(Duration::from_secs(2));
    let address = cluster.hosts[LEAVING].address;
    cluster.hosts[LEAVING].signal("TERM");
    thread::sleep(Duration::from_millis(200));
    let mut stream = TcpStream::connect(address).unwrap();
    write_request(&mut stream, "bookings", 3500).unwrap();
    let answer = read_answer(&mut BufReader::new(stream));
    assert_eq!(
        answer.map(|answer| (answer.status, answer.closes)),
        Some((504, true))
    );
    assert_eq!(cluster.hosts.get_mut(LEAVING).unwrap().wait(), Some(0));
}

/// A host without callers ends long before its grace period.
#[test]
fn an_idle_host_does_not_wait_for_the_end_of_its_grace_period() {
    let mut cluster = start_cluster(Duration::from_secs(60));
    // Nor for a look-up TTL of its own.
    let ttl = cluster.configuration.pointer("/limits/lookup_ttl_ms");
    assert_eq!(ttl, None);
    let told_at = Instant::now();
    cluster.hosts[LEAVING].signal("TERM");
    assert_eq!(cluster.hosts.get_mut(LEAVING).unwrap().wait(), Some(0));
    assert!(told_at.elapsed() < Duration::from_secs(20));
}
