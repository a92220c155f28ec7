//! The product's own interface: a request that is given up while its bytes are on the way, to a target or to another host,
//! does not run once the link works again.

#![allow(clippy::unwrap_used)]

mod cluster;
mod scripted;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cluster::{send, TestCluster};
use scripted::{Behavior, Occurrence, ScriptedTargets};
use serde_json::json;
use standin::link::{Fault, Link};

const ZONES: [&str; 2] = ["lima-a", "lima-b"];
/// Time for bytes that are not held any more to arrive.
const DELIVERY: Duration = Duration::from_millis(500);
const DEADLINE_MS: &str = "400";
/// Time for which bytes are held: longer than the deadline, and shorter than hosts take to end a silent link between them.
const HOLD: Duration = Duration::from_millis(700);

fn link_to(address: SocketAddr) -> Link {
    Link::new("127.0.0.1:0".parse().unwrap(), address).unwrap()
}

/// A cluster of one service, whose requests may run twice if they are look-ups.
fn cluster_with(service: &str) -> TestCluster {
    let idempotent = service == "lookups";
    let record = json!({"class": "c", "idempotent": idempotent, "deadline_ms": 5000});
    TestCluster::new()
        .without_services()
        .with_service(service, record)
}

/// Sends a request; returns its status.
fn call(cluster: &TestCluster, service: &str, call: &str) -> u16 {
    let url = cluster.hosts["ent-1"].url(&format!("/v1/services/{service}/x"));
    let headers = [
        ("Standin-Call", call),
        ("Ragwortfold-Deadline-Ms", DEADLINE_MS),
    ];
    let answer = send("POST", &url, &headers, b"hello");
    answer.map_or(0, |answer| answer.status)
}

/// Sends requests until one is answered.
fn wait_until_served(cluster: &TestCluster, service: &str) {
    let until = Instant::now() + cluster::TEST_TIMEOUT;
    for number in 0.. {
        if call(cluster, service, &format!("early-{number}")) == 200 {
            return;
        }
        assert!(Instant::now() < until, "{}", cluster.log("ent-1"));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Sends a request while all links hold their bytes, and releases these later.
fn give_up(cluster: &TestCluster, links: &[Link], service: &str) {
    for link in links {
        link.set_fault(Fault::default().with_black_hole());
    }
    let held_at = Instant::now();
    assert_eq!(call(cluster, service, "late"), 504);
    thread::sleep(HOLD.saturating_sub(held_at.elapsed()));
    for link in links {
        link.set_fault(Fault::default());
    }
    thread::sleep(DELIVERY);
}

/// A request of a service whose time is over before its bytes have left the link to the target.
macro_rules! to_a_target {
    ($($name:ident: $service:expr;)*) => {$(
        #[test]
        fn $name() {
            let targets = ScriptedTargets::new(Behavior::Serve, Occurrence::Always);
            let links = targets.addresses.map(link_to);
            let mut cluster = cluster_with($service).with_zone("lima", ZONES[0]).with_host(ZONES[0], "ent-1");
            for (number, link) in links.iter().enumerate() {
                let name = format!("target-{number}");
                cluster = cluster.with_target_at(ZONES[0], $service, &name, link.address());
            }
            let cluster = cluster.start_all();
            wait_until_served(&cluster, $service);
            give_up(&cluster, &links, $service);
            assert_eq!(targets.executions("late"), 0, "{}", cluster.log("ent-1"));
        }
    )*};
}

to_a_target! {
    a_booking_whose_time_is_over_is_not_delivered_later: "bookings";
    a_lookup_whose_time_is_over_is_not_delivered_later: "lookups";
}

#[test]
fn a_relayed_booking_whose_time_is_over_is_not_delivered_later() {
    let targets = ScriptedTargets::new(Behavior::Serve, Occurrence::Always);
    let mut cluster = cluster_with("bookings");
    for (zone, host) in ZONES.into_iter().zip(["ent-1", "ent-2"]) {
        cluster = cluster.with_zone("lima", zone).with_host(zone, host);
    }
    for (number, address) in targets.addresses.into_iter().enumerate() {
        let name = format!("target-{number}");
        cluster = cluster.with_target_at(ZONES[1], "bookings", &name, address);
    }
    // Whichever host dials the other one, it does so by a link.
    let links = ["ent-1", "ent-2"].map(|host| {
        let address = &mut cluster.configuration["hosts"][host]["peer_address"];
        let own: SocketAddr = address.as_str().unwrap().parse().unwrap();
        let link = link_to(own);
        *address = link.address().to_string().into();
        (host, own, link)
    });
    cluster.publish(1);
    let url = cluster.platform_url.clone();
    for (host, own, _) in &links {
        cluster.start_with(host, &url, json!({"peer_listen": own}));
    }
    cluster.wait_ready("ent-1");
    cluster.wait_ready("ent-2");
    let links = links.map(|(_, _, link)| link);
    wait_until_served(&cluster, "bookings");
    give_up(&cluster, &links, "bookings");
    assert_eq!(targets.executions("late"), 0, "{}", cluster.log("ent-2"));
}

#[test]
fn a_booking_whose_caller_left_a_frozen_host_does_not_run() {
    let targets = ScriptedTargets::new(Behavior::Serve, Occurrence::Always);
    let mut cluster = cluster_with("bookings")
        .with_zone("lima", ZONES[0])
        .with_host(ZONES[0], "ent-1");
    for (number, address) in targets.addresses.into_iter().enumerate() {
        let name = format!("target-{number}");
        cluster = cluster.with_target_at(ZONES[0], "bookings", &name, address);
    }
    let cluster = cluster.start_all();
    wait_until_served(&cluster, "bookings");
    let host = &cluster.hosts["ent-1"];
    host.signal("STOP");
    let mut caller = TcpStream::connect(host.address).unwrap();
    let request = "POST /v1/services/bookings/x HTTP/1.1\r\nHost: h\r\nStandin-Call: late\r\n\
                   Content-Length: 5\r\n\r\nhello";
    caller.write_all(request.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(300));
    drop(caller);
    host.signal("CONT");
    thread::sleep(DELIVERY);
    assert_eq!(targets.executions("late"), 0, "{}", cluster.log("ent-1"));
}

/// Time within which a host notices that a target answers nothing: a health check that fails, two deadlines, and the pauses between.
const NOTICE_TIME: Duration = Duration::from_millis(2500);
/// How long a target does not read.
const STALL: Duration = Duration::from_secs(7);

/// Starts a target that reads nothing while `is_stalled`, and records when the requests that it gets were sent, by their names.
fn start_stalling_target(
    is_stalled: Arc<AtomicBool>,
    sent_at: Arc<Mutex<Vec<u128>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (is_stalled, sent_at) = (is_stalled.clone(), sent_at.clone());
            thread::spawn(move || {
                let mut input = Vec::new();
                while stream.peek(&mut [0]).is_ok_and(|length| length > 0) {
                    while is_stalled.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    let Ok(Some(request)) = scripted::read_request(&mut stream, &mut input) else {
                        return;
                    };
                    sent_at
                        .lock()
                        .unwrap()
                        .extend(request.call.parse::<u128>().ok());
                    let body = r#"{"state":"serving"}"#;
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {}\r\nContent-Length: {}\r\n\r\n{body}",
                        request.id,
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A target stops reading for some seconds. What it reads then is what it was sent until the host noticed.
#[test]
fn a_target_that_has_stopped_reading_gets_no_more_requests() {
    let is_stalled = Arc::new(AtomicBool::new(false));
    let sent_at = Arc::new(Mutex::new(Vec::new()));
    let never = Arc::new(AtomicBool::new(false));
    let mut cluster = cluster_with("lookups")
        .with_zone("lima", ZONES[0])
        .with_host(ZONES[0], "ent-1");
    let stalling = start_stalling_target(is_stalled.clone(), sent_at.clone());
    let others = [0, 1].map(|_| start_stalling_target(never.clone(), Arc::default()));
    for (number, address) in [stalling].into_iter().chain(others).enumerate() {
        let name = format!("target-{number}");
        cluster = cluster.with_target_at(ZONES[0], "lookups", &name, address);
    }
    let cluster = cluster.start_all();
    wait_until_served(&cluster, "lookups");
    let (start, stop) = (Instant::now(), AtomicBool::new(false));
    let stalled_at = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    call(
                        &cluster,
                        "lookups",
                        &start.elapsed().as_millis().to_string(),
                    );
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        is_stalled.store(true, Ordering::SeqCst);
        let stalled_at = start.elapsed();
        thread::sleep(STALL);
        stop.store(true, Ordering::SeqCst);
        stalled_at
    });
    let before = sent_at.lock().unwrap().len();
    is_stalled.store(false, Ordering::SeqCst);
    thread::sleep(DELIVERY);
    let noticed = (stalled_at + NOTICE_TIME).as_millis();
    let sent_at = sent_at.lock().unwrap();
    let late: Vec<_> = sent_at[before..]
        .iter()
        .filter(|at| **at > noticed)
        .collect();
    assert!(before > 0);
    assert!(
        late.is_empty(),
        "stalled at {stalled_at:?}; {} requests were read late, and these were sent after it was noticed: {late:?}",
        sent_at.len() - before
    );
}
