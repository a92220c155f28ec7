//! The product's own interface: values of the store, of targets and of callers at the ends of their ranges.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::thread;
use std::time::{Duration, Instant};

use cluster::{send, TestCluster};
use serde_json::{json, Value};
use standin::cut_head::{start_target, Close, Connection, Runs, Script, SIZED};

const ZONE: &str = "lima-a";
const HOST: &str = "ent-1";
const CALL_HEADER: &str = "standin-call";
/// Time limit for a configuration to be in force.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(2500);
/// Requests that are sent after a value has been received.
const REQUESTS: usize = 5;

fn start() -> TestCluster {
    TestCluster::new()
        .with_zone("lima", ZONE)
        .with_zone("cusco", "cusco-a")
        .with_host(ZONE, HOST)
        .with_target(ZONE, "lookups", "target-1", 4)
        .with_target(ZONE, "bookings", "target-2", 4)
        .start_all()
}

fn status(cluster: &TestCluster, service: &str, headers: &[(&str, &str)]) -> u16 {
    let url = cluster.hosts[HOST].url(&format!("/v1/services/{service}/x"));
    send("POST", &url, headers, b"hi").map_or(0, |answer| answer.status)
}

/// Sends requests to a service until one is served.
fn wait_until_served(cluster: &TestCluster, service: &str, limit: Duration) {
    let until = Instant::now() + limit;
    while status(cluster, service, &[]) != 200 {
        assert!(Instant::now() < until, "{service}: {}", cluster.log(HOST));
        thread::sleep(Duration::from_millis(50));
    }
}

/// A configuration with an extreme value, whether it is accepted or not, doesn't keep the next one from being in force in time.
macro_rules! configurations {
    ($($name:ident: $section:expr, $field:expr, $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = start();
            wait_until_served(&cluster, "lookups", cluster::TEST_TIMEOUT);
            let sound = cluster.configuration.clone();
            let value: Value = $value;
            cluster.configuration[$section][$field] = value;
            cluster.publish(2);
            thread::sleep(MAX_PROPAGATION_TIME);
            wait_until_served(&cluster, "lookups", Duration::from_secs(1));
            cluster.configuration = sound;
            let record = json!({"class": "c", "idempotent": true, "deadline_ms": 5000});
            cluster.configuration["services"]["added"] = record;
            let cluster = cluster.with_target(ZONE, "added", "target-3", 4);
            cluster.publish(3);
            wait_until_served(&cluster, "added", MAX_PROPAGATION_TIME);
        }
    )*};
}

// A latency that no duration represents ended the thread that puts configurations in force.
configurations! {
    longest_latency_of_a_link: "links", "lima-cusco", json!({"from": "lima", "to": "cusco", "latency_ms": 1e300});
    latency_beyond_the_clock: "links", "lima-cusco", json!({"from": "lima", "to": "cusco", "latency_ms": 9.3e21});
    largest_rates_of_a_link: "links", "lima-cusco",
        json!({"from": "lima", "to": "cusco", "requests_per_s": u64::MAX, "bytes_per_s": u64::MAX});
    longest_deadline_of_a_service: "services", "lookups",
        json!({"class": "c", "idempotent": true, "deadline_ms": u32::MAX});
    most_slots_of_a_target: "targets", "target-9",
        json!({"service": "lookups", "availability_zone": ZONE, "address": "127.0.0.1:9", "slots": u32::MAX, "warm_s": u32::MAX});
}

/// Requests with extreme headers are answered by a target.
macro_rules! requests {
    ($($name:ident: $header:expr, $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = start();
            for service in ["lookups", "bookings"] {
                wait_until_served(&cluster, service, cluster::TEST_TIMEOUT);
                let status = status(&cluster, service, &[($header, $value)]);
                assert!([200, 400].contains(&status), "{status}: {}", cluster.log(HOST));
                wait_until_served(&cluster, service, Duration::from_secs(1));
            }
        }
    )*};
}

requests! {
    longest_deadline_of_a_request: "Ragwortfold-Deadline-Ms", "18446744073709551615";
    deadline_beyond_all_numbers: "Ragwortfold-Deadline-Ms", "99999999999999999999999";
    negative_deadline_of_a_request: "Ragwortfold-Deadline-Ms", "-1";
}

/// Answers of a target with extreme headers, and the requests that follow.
macro_rules! answers {
    ($($name:ident: $headers:expr;)*) => {$(
        #[test]
        fn $name() {
            let script = Script {
                answer: SIZED,
                close: Close::Finish,
                connection: Connection::Kept,
                call_header: CALL_HEADER,
                id_header: "ragwortfold-request-id",
                health: concat!("HTTP/1.1 200 OK\r\n", $headers, "content-length: 19\r\n\r\n{\"state\":\"serving\"}"),
                extra_header: "",
            };
            let target = start_target(script, &Runs::default()).unwrap();
            let record = json!({"class": "c", "idempotent": true, "deadline_ms": 5000});
            let cluster = TestCluster::new()
                .without_services()
                .with_service("lookups", record)
                .with_zone("lima", ZONE)
                .with_host(ZONE, HOST)
                .with_target_at(ZONE, "lookups", "target-1", target)
                .start_all();
            wait_until_served(&cluster, "lookups", cluster::TEST_TIMEOUT);
            // Requests without a call are answered like health checks.
            for _ in 0..REQUESTS {
                let status = status(&cluster, "lookups", &[]);
                assert!([200, 503].contains(&status), "{status}: {}", cluster.log(HOST));
            }
            assert!(!cluster.log(HOST).contains("panicked"), "{}", cluster.log(HOST));
        }
    )*};
}

answers! {
    most_requests_at_a_target: "ragwortfold-load: 4294967295/4294967295\r\n";
    more_requests_than_numbers: "ragwortfold-load: 99999999999999999999/1\r\n";
    largest_rate_of_a_target: "ragwortfold-rate: 1e308\r\n";
    smallest_rate_of_a_target: "ragwortfold-rate: 0.00000000000000000000000000000000000000000000001\r\n";
    longest_idle_timeout_of_a_target: "keep-alive: timeout=18446744073709551615\r\n";
}
