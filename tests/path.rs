//! The whole request path with real processes: configuration, platform, entry host, target, answer.

#![allow(clippy::unwrap_used)]

mod cluster;

use cluster::{send, TestCluster};

fn start_one_host() -> TestCluster {
    TestCluster::new()
        .with_zone("arequipa", "arequipa-a")
        .with_target("arequipa-a", "lookups", "look-1", 4)
        .with_target("arequipa-a", "bookings", "book-1", 4)
        .with_host("arequipa-a", "ent-1")
        .start_all()
}

#[test]
fn a_look_up_lists_the_host_and_a_request_reaches_the_target() {
    let cluster = start_one_host();
    let host = &cluster.hosts["ent-1"];
    let entries = send(
        "GET",
        &host.url("/v1/entries?service=lookups&client=10.0.0.1"),
        &[],
        b"",
    )
    .unwrap();
    assert_eq!(entries.status, 200);
    let entries = entries.json();
    assert_eq!(entries["revision"], 1);
    assert_eq!(entries["entries"][0]["host"], "ent-1");
    assert_eq!(entries["entries"][0]["address"], host.address.to_string());
    assert!(entries["ticket"].as_str().unwrap().starts_with("ent-1."));

    let answer = send(
        "GET",
        &host.url("/v1/services/lookups/pass?over=cusco"),
        &[],
        b"",
    )
    .unwrap();
    assert_eq!((answer.status, &*answer.outcome), (200, "answered"));
    let journal = cluster.targets["look-1"].journal();
    assert_eq!(journal.entries.len(), 1);
}

#[test]
fn bodies_are_forwarded_unchanged() {
    let cluster = start_one_host();
    let url = cluster.hosts["ent-1"].url("/v1/services/lookups/upload");
    for size in [0, 1, 1024, 1025, 70_000, 8 << 20] {
        let body: Vec<u8> = (0..size).map(|at: usize| (at % 251) as u8).collect();
        let answer = send("POST", &url, &[], &body).unwrap();
        assert_eq!(
            (answer.status, &*answer.outcome),
            (200, "answered"),
            "{size}: {}",
            answer.text()
        );
        assert_eq!(answer.json()["body_length"], size as u64, "{size}");
    }
    for size in ["0", "1", "65536", "8388608", "9000000"] {
        let headers = [("Standin-Answer-Bytes", size)];
        let answer = send("GET", &url, &headers, b"").unwrap();
        assert_eq!(answer.outcome, "answered", "{size}");
        assert_eq!(answer.body.len().to_string(), size);
    }
}

fn start_two_zones() -> TestCluster {
    TestCluster::new()
        .with_zone("lima", "lima-a")
        .with_zone("lima", "lima-b")
        .with_target("lima-b", "lookups", "look-1", 4)
        .with_target("lima-b", "bookings", "book-1", 4)
        .with_host("lima-a", "ent-1")
        .with_host("lima-b", "ent-2")
        .start_all()
}

#[test]
fn a_request_for_another_zone_is_relayed_to_a_host_there() {
    let cluster = start_two_zones();
    let url = cluster.hosts["ent-1"].url("/v1/services/lookups/upload");
    for size in [0, 1, 70_000, 9 << 20] {
        let body: Vec<u8> = (0..size).map(|at: usize| (at % 251) as u8).collect();
        let answer = send("POST", &url, &[], &body).unwrap();
        assert_eq!(
            (answer.status, &*answer.outcome),
            (200, "answered"),
            "{size}: {}",
            answer.text()
        );
        assert_eq!(answer.json()["body_length"], size as u64, "{size}");
    }
    for size in ["0", "65536", "9000000"] {
        let answer = send("GET", &url, &[("Standin-Answer-Bytes", size)], b"").unwrap();
        assert_eq!(answer.outcome, "answered", "{size}");
        assert_eq!(answer.body.len().to_string(), size);
    }
    let direct = send(
        "HEAD",
        &cluster.hosts["ent-2"].url("/v1/services/lookups/x"),
        &[],
        b"",
    );
    let relayed = send("HEAD", &url.replace("upload", "x"), &[], b"");
    let length = |answer: Result<cluster::Answer, ureq::Error>| {
        answer.unwrap().headers["content-length"].clone()
    };
    assert_eq!(length(relayed), length(direct));
}

#[test]
fn a_request_with_a_key_runs_once_whichever_host_receives_it() {
    let cluster = start_two_zones();
    let look_up = cluster.hosts["ent-1"].url("/v1/entries?service=bookings&client=10.0.0.1");
    let ticket = send("GET", &look_up, &[], b"").unwrap().json()["ticket"]
        .as_str()
        .unwrap()
        .to_owned();
    let headers = [("Idempotency-Key", "k-1"), ("Ragwortfold-Ticket", &*ticket)];
    for host in ["ent-1", "ent-1", "ent-2"] {
        let url = cluster.hosts[host].url("/v1/services/bookings/reserve");
        let answer = send("POST", &url, &headers, b"pass 7").unwrap();
        assert_eq!(
            (answer.status, &*answer.outcome),
            (200, "answered"),
            "{host}"
        );
    }
    assert_eq!(cluster.targets["book-1"].journal().entries.len(), 1);

    let url = cluster.hosts["ent-1"].url("/v1/services/bookings/reserve");
    let other = send("POST", &url, &headers, b"pass 8").unwrap();
    assert_eq!((other.status, &*other.outcome), (422, "not-run"));
    let bare = send("POST", &url, &headers[..1], b"pass 7").unwrap();
    assert_eq!((bare.status, &*bare.outcome), (428, "not-run"));
    assert_eq!(cluster.targets["book-1"].journal().entries.len(), 1);
}

#[test]
fn a_key_whose_home_host_restarted_is_unknown() {
    let mut cluster = start_two_zones();
    let look_up = cluster.hosts["ent-1"].url("/v1/entries?service=bookings&client=10.0.0.1");
    let ticket = send("GET", &look_up, &[], b"").unwrap().json()["ticket"]
        .as_str()
        .unwrap()
        .to_owned();
    let headers = [("Idempotency-Key", "k-1"), ("Ragwortfold-Ticket", &*ticket)];
    cluster.hosts.get_mut("ent-1").unwrap().kill();
    let url = cluster.hosts["ent-2"].url("/v1/services/bookings/reserve");
    let dead = send("POST", &url, &headers, b"pass 7").unwrap();
    assert_eq!((dead.status, &*dead.outcome), (502, "unknown"));
    cluster.start("ent-1");
    cluster.wait_ready("ent-1");
    let url = cluster.hosts["ent-1"].url("/v1/services/bookings/reserve");
    let restarted = send("POST", &url, &headers, b"pass 7").unwrap();
    assert_eq!((restarted.status, &*restarted.outcome), (502, "unknown"));
    assert!(cluster.targets["book-1"].journal().entries.is_empty());
}
