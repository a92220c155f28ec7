//! The product's own interface: a target that stops in its answer's head, or in the body, and closes the connection. No caller
//! takes what arrived for a whole answer.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::thread;
use std::time::{Duration, Instant};

use cluster::{send, TestCluster};
use serde_json::json;
use standin::cut_head::{
    cut_everywhere, start_target, Answer, Caller, Close, Connection, Runs, Script, CHUNKED,
    INTERIM, REDIRECTION, SIZED, UNSIZED,
};
use standin::cut_head_cases;

const ZONES: [&str; 2] = ["lima-a", "lima-b"];
/// Services, and whether their requests may run more than once.
const SERVICES: [(&str, bool); 2] = [("lookups", true), ("bookings", false)];
const CALL_HEADER: &str = "standin-call";

fn script(answer: Answer, close: Close, connection: Connection) -> Script {
    Script {
        answer,
        close,
        connection,
        call_header: CALL_HEADER,
        id_header: "ragwortfold-request-id",
        health: "HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n{\"state\":\"serving\"}",
        extra_header: "",
    }
}

/// Each request has a path of its own, as requests that are alike and break connections to several targets are held back.
fn build_request(path: &str, call: &str) -> String {
    format!(
        "POST {path}{call} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{CALL_HEADER}: {call}\r\n\
         ragwortfold-deadline-ms: 2000\r\ncontent-length: 2\r\n\r\nhi"
    )
}

/// A cluster whose callers use `ent-1` in the first zone, with a target of each service in the zone `target_zone`.
fn start(script: Script, runs: &Runs, zones: &[&str], target_zone: &str) -> TestCluster {
    let mut cluster = TestCluster::new().without_services();
    for (service, idempotent) in SERVICES {
        let record = json!({"class": "c", "idempotent": idempotent, "deadline_ms": 5000});
        cluster = cluster.with_service(service, record);
    }
    for (number, zone) in zones.iter().enumerate() {
        let host = format!("ent-{}", number + 1);
        cluster = cluster.with_zone("lima", zone).with_host(zone, &host);
    }
    for (service, _) in SERVICES {
        let address = start_target(script, runs).unwrap();
        cluster = cluster.with_target_at(target_zone, service, &format!("{service}-1"), address);
    }
    let cluster = cluster.start_all();
    let until = Instant::now() + cluster::TEST_TIMEOUT;
    for (service, _) in SERVICES {
        let url = cluster.hosts["ent-1"].url(&format!("/v1/services/{service}/x"));
        let call = || send("POST", &url, &[(CALL_HEADER, "whole")], b"hi");
        while call().map_or(0, |answer| answer.status) != 200 {
            assert!(Instant::now() < until, "{}", cluster.log("ent-1"));
            thread::sleep(Duration::from_millis(50));
        }
    }
    cluster
}

/// What callers find to be wrong.
fn find_faults(cluster: &TestCluster, script: &Script, runs: &Runs) -> Vec<String> {
    let paths =
        SERVICES.map(|(service, may_repeat)| (format!("/v1/services/{service}/"), may_repeat));
    let paths = [0, 1].map(|index| (&*paths[index].0, paths[index].1));
    let caller = Caller {
        host: cluster.hosts["ent-1"].address,
        request: &build_request,
        paths: &paths,
        not_run: &[408, 421, 429, 503],
    };
    cut_everywhere(script, caller, runs)
}

/// A host and a target of each service, whose answers are cut at each byte of the head, and of a body that states its end.
macro_rules! cut_heads {
    ($($name:ident: $answer:expr, $close:expr, $connection:expr;)*) => {$(
        #[test]
        fn $name() {
            let (script, runs) = (script($answer, $close, $connection), Runs::default());
            let cluster = start(script, &runs, &ZONES[..1], ZONES[0]);
            assert_eq!(find_faults(&cluster, &script, &runs), Vec::<String>::new(), "{}", cluster.log("ent-1"));
            assert!(runs.count_on($connection) > 0);
        }
    )*};
}

cut_head_cases!(cut_heads);

/// The same for requests that a host without targets of its own relays to another one.
macro_rules! cut_heads_of_relayed_requests {
    ($($name:ident: $answer:expr, $close:expr;)*) => {$(
        #[test]
        fn $name() {
            let (script, runs) = (script($answer, $close, Connection::Kept), Runs::default());
            let cluster = start(script, &runs, &ZONES, ZONES[1]);
            assert_eq!(find_faults(&cluster, &script, &runs), Vec::<String>::new(), "{}", cluster.log("ent-2"));
        }
    )*};
}

cut_heads_of_relayed_requests! {
    a_head_with_a_length_to_a_relayed_request: SIZED, Close::Finish;
    a_head_of_a_chunked_body_to_a_relayed_request: CHUNKED, Close::Finish;
    a_head_of_a_body_that_ends_with_the_connection_to_a_relayed_request: UNSIZED, Close::Finish;
    a_head_of_a_redirection_to_a_relayed_request: REDIRECTION, Close::Finish;
    heads_of_interim_answers_to_a_relayed_request: INTERIM, Close::Finish;
}
