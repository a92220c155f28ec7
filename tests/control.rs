//! Membership, configuration distribution and the planner lease, with real processes.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::time::Instant;

use cluster::{eventually, send, TestCluster};
use serde_json::{json, Value};

fn start_cluster() -> TestCluster {
    let mut cluster = TestCluster::new();
    for (region, zone) in [("lima", "lima-a"), ("lima", "lima-b"), ("cusco", "cusco-a")] {
        cluster = cluster
            .with_zone(region, zone)
            .with_target(zone, "lookups", &format!("look-{zone}"), 4)
            .with_target(zone, "bookings", &format!("book-{zone}"), 4)
            .with_host(zone, &format!("ent-{zone}-1"))
            .with_host(zone, &format!("ent-{zone}-2"));
    }
    cluster.start_all()
}

fn status(cluster: &TestCluster, host: &str) -> Value {
    send("GET", &cluster.hosts[host].url("/v1/status"), &[], b"")
        .unwrap()
        .json()
}

fn host_names(cluster: &TestCluster) -> Vec<String> {
    cluster.hosts.keys().cloned().collect()
}

/// Checks that a host sees all hosts as alive.
fn sees_all_alive(cluster: &TestCluster, host: &str) -> Result<(), String> {
    let status = status(cluster, host);
    let hosts = status["hosts"].as_object().unwrap();
    let alive = hosts.values().filter(|h| h["state"] == "alive").count();
    if alive == host_names(cluster).len() {
        return Ok(());
    }
    Err(format!("{host} sees {hosts:?}"))
}

fn wait_until_all_alive(cluster: &TestCluster) {
    for host in host_names(cluster) {
        cluster::eventually_ok(|| sees_all_alive(cluster, &host));
    }
}

#[test]
fn hosts_discover_each_other_and_one_becomes_planner() {
    let cluster = start_cluster();
    wait_until_all_alive(&cluster);
    eventually("one host is the planner", || {
        let planners = host_names(&cluster)
            .iter()
            .filter(|host| !status(&cluster, host)["planner_epoch"].is_null())
            .count();
        planners == 1
    });
}

#[test]
fn a_change_comes_into_force_everywhere_and_a_new_host_gets_it_from_peers() {
    let mut cluster = start_cluster();
    wait_until_all_alive(&cluster);
    cluster.configuration["services"]["lookups"]["deadline_ms"] = json!(4000);
    cluster.publish(2);
    let start = Instant::now();
    eventually("revision 2 everywhere", || {
        host_names(&cluster)
            .iter()
            .all(|host| status(&cluster, host)["revision"] == 2)
    });
    println!("revision 2 everywhere after {:?}", start.elapsed());

    // A host that cannot reach the platform gets the revision from its peers.
    let url = format!("http://{}", cluster::free_address());
    let name = "ent-cusco-a-1";
    cluster.hosts.get_mut(name).unwrap().kill();
    cluster.start_with(name, &url, json!({}));
    eventually("revision 2 from peers", || {
        send("GET", &cluster.hosts[name].url("/healthz"), &[], b"").is_ok_and(|a| a.status == 200)
            && status(&cluster, name)["revision"] == 2
    });
}

#[test]
fn a_dead_host_is_removed_from_look_ups() {
    let mut cluster = start_cluster();
    wait_until_all_alive(&cluster);
    let lookup_url =
        cluster.hosts["ent-lima-a-1"].url("/v1/entries?service=lookups&client=10.0.0.1");
    let is_listed = || {
        let entries = send("GET", &lookup_url, &[], b"").unwrap().json();
        entries["entries"]
            .as_array()
            .unwrap()
            .iter()
            .any(|entry| entry["host"] == "ent-lima-a-2")
    };
    eventually("the host is listed", &is_listed);
    cluster.hosts.get_mut("ent-lima-a-2").unwrap().kill();
    let start = Instant::now();
    eventually("the host is no longer listed", || !is_listed());
    println!("a dead host was removed after {:?}", start.elapsed());
}

#[test]
fn a_host_told_to_stop_leaves_and_ends_with_zero() {
    let mut cluster = start_cluster();
    wait_until_all_alive(&cluster);
    let host = cluster.hosts.get_mut("ent-lima-b-1").unwrap();
    host.signal("TERM");
    assert_eq!(host.wait(), Some(0));
}
