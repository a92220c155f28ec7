//! Control with real processes: membership, configuration, the planner lease.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::time::Instant;

use cluster::{eventually, send, World};
use serde_json::{json, Value};

fn fleet() -> World {
    let mut world = World::new();
    for (region, zone) in [("lima", "lima-a"), ("lima", "lima-b"), ("cusco", "cusco-a")] {
        world = world
            .with_zone(region, zone)
            .with_target(zone, "lookups", &format!("look-{zone}"), 4)
            .with_target(zone, "bookings", &format!("book-{zone}"), 4)
            .with_host(zone, &format!("ent-{zone}-1"))
            .with_host(zone, &format!("ent-{zone}-2"));
    }
    world.run()
}

fn status(world: &World, host: &str) -> Value {
    send("GET", &world.hosts[host].url("/v1/status"), &[], b"")
        .unwrap()
        .json()
}

fn names(world: &World) -> Vec<String> {
    world.hosts.keys().cloned().collect()
}

/// Whether a host knows that all others are alive.
fn knows_all(world: &World, host: &str) -> Result<(), String> {
    let status = status(world, host);
    let hosts = status["hosts"].as_object().unwrap();
    let alive = hosts.values().filter(|h| h["state"] == "alive").count();
    if alive == names(world).len() {
        return Ok(());
    }
    Err(format!("{host} knows {hosts:?}"))
}

fn wait_known(world: &World) {
    for host in names(world) {
        cluster::settles(|| knows_all(world, &host));
    }
}

#[test]
fn hosts_find_each_other_and_one_plans() {
    let world = fleet();
    wait_known(&world);
    eventually("one host plans", || {
        let planners = names(&world)
            .iter()
            .filter(|host| !status(&world, host)["planner_epoch"].is_null())
            .count();
        planners == 1
    });
}

#[test]
fn a_change_comes_into_force_everywhere_and_a_new_host_gets_it_from_peers() {
    let mut world = fleet();
    wait_known(&world);
    world.configuration["services"]["lookups"]["deadline_ms"] = json!(4000);
    world.publish(2);
    let start = Instant::now();
    eventually("revision 2 everywhere", || {
        names(&world)
            .iter()
            .all(|host| status(&world, host)["revision"] == 2)
    });
    println!("revision 2 everywhere after {:?}", start.elapsed());

    // The platform goes; a host that starts now has it from its peers.
    let url = format!("http://{}", cluster::free_address());
    let name = "ent-cusco-a-1";
    world.hosts.get_mut(name).unwrap().kill();
    world.start_with(name, &url, json!({}));
    eventually("revision 2 from peers", || {
        send("GET", &world.hosts[name].url("/healthz"), &[], b"").is_ok_and(|a| a.status == 200)
            && status(&world, name)["revision"] == 2
    });
}

#[test]
fn a_dead_host_vanishes_from_look_ups() {
    let mut world = fleet();
    wait_known(&world);
    let asked = world.hosts["ent-lima-a-1"].url("/v1/entries?service=lookups&client=10.0.0.1");
    let named = || {
        let entries = send("GET", &asked, &[], b"").unwrap().json();
        entries["entries"]
            .as_array()
            .unwrap()
            .iter()
            .any(|entry| entry["host"] == "ent-lima-a-2")
    };
    eventually("it is named", &named);
    world.hosts.get_mut("ent-lima-a-2").unwrap().kill();
    let start = Instant::now();
    eventually("it vanished", || !named());
    println!("a dead host vanished after {:?}", start.elapsed());
}

#[test]
fn a_host_told_to_stop_leaves_and_ends_with_zero() {
    let mut world = fleet();
    wait_known(&world);
    let host = world.hosts.get_mut("ent-lima-b-1").unwrap();
    host.signal("TERM");
    assert_eq!(host.wait(), Some(0));
}
