//! Own interface: a configuration comes into force in time when the delegates of a zone are lost together.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use ragwortfold::control::agent::LIVENESS_CHECK_INTERVAL;
use ragwortfold::control::detector::Detector;
use ragwortfold::entry::CHECK_INTERVAL;

use cluster::{eventually, send, TestCluster};
use serde_json::{json, Value};

mod cluster;

/// The shortest time that a deployment allows for a change to be in force.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// A round trip between regions.
const ROUND_TRIP: Duration = Duration::from_millis(110);
const ZONES: [&str; 2] = ["arequipa-a", "lima-a"];
const HOSTS_PER_ZONE: usize = 5;
/// Time after which hosts have elected their delegates.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The time until the successors of lost delegates have a change: the loss shows, they check whether they are delegates now, open a
/// connection and read the head and a file, and their zone reads it from them.
#[test]
fn a_change_arrives_in_time_when_all_delegates_of_a_zone_are_lost() {
    let detection = Detector::default().dead_after() + LIVENESS_CHECK_INTERVAL;
    let sum = detection + CHECK_INTERVAL + ROUND_TRIP * 3;
    assert!(sum <= IN_FORCE, "{sum:?}");
}

fn name(zone: &str, number: usize) -> String {
    format!("ent-{zone}-{number}")
}

/// The first two hosts of a zone by the ranking that all hosts compute alike.
fn delegates(zone: &str) -> Vec<String> {
    let score = |host: &String| {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for part in [zone.as_bytes(), &[0], host.as_bytes()] {
            hash.update(part);
        }
        hash.digest()
    };
    let mut hosts: Vec<String> = (1..=HOSTS_PER_ZONE)
        .map(|number| name(zone, number))
        .collect();
    hosts.sort_by_key(|host| std::cmp::Reverse(score(host)));
    hosts.truncate(2);
    hosts
}

fn revision(cluster: &TestCluster, host: &str) -> Option<u64> {
    let answer = send("GET", &cluster.hosts[host].url("/v1/status"), &[], b"").ok()?;
    let status: Value = serde_json::from_slice(&answer.body).ok()?;
    status["revision"].as_u64()
}

/// Loses the delegates of `zones` by a signal and publishes a configuration after a while. Returns how long it takes to be in force
/// at all other hosts.
fn time_in_force(zones: &[&str], signal: &str, delay: Duration) -> Duration {
    let lookups = json!({"class": "pass-lookup", "idempotent": true, "deadline_ms": 5000});
    let mut cluster = TestCluster::new()
        .without_services()
        .with_service("lookups", lookups);
    for zone in ZONES {
        cluster = cluster.with_zone("peru", zone);
        cluster = cluster.with_target(zone, "lookups", &format!("t-{zone}"), 4);
        for number in 1..=HOSTS_PER_ZONE {
            cluster = cluster.with_host(zone, &name(zone, number));
        }
    }
    let mut cluster = cluster.start_all();
    std::thread::sleep(SETTLING_TIME);
    let lost: Vec<String> = zones.iter().flat_map(|zone| delegates(zone)).collect();
    lost.iter()
        .for_each(|host| cluster.hosts[host].signal(signal));
    std::thread::sleep(delay);
    cluster.configuration["services"]["lookups"]["deadline_ms"] = 4321.into();
    cluster.publish(2);
    let published_at = Instant::now();
    let names = ZONES
        .iter()
        .flat_map(|zone| (1..=HOSTS_PER_ZONE).map(|number| name(zone, number)));
    let left: Vec<String> = names.filter(|host| !lost.contains(host)).collect();
    eventually("the configuration is in force", || {
        left.iter().all(|host| revision(&cluster, host) == Some(2))
    });
    let took = published_at.elapsed();
    println!("{signal} of the delegates of {zones:?}, {delay:?} before: in force after {took:?}");
    // Stopped processes end as well.
    lost.iter()
        .for_each(|host| cluster.hosts.get_mut(host).unwrap().kill());
    took
}

/// Defines tests by the zones whose delegates are lost, the signal, and the time from the loss to the change in milliseconds.
macro_rules! losses {
    ($($name:ident: $zones:expr, $signal:expr, $delay_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let took = time_in_force(&$zones, $signal, Duration::from_millis($delay_ms));
            assert!(took <= IN_FORCE, "{took:?}");
        }
    )*};
}

losses! {
    a_configuration_is_in_force_in_time_after_the_delegates_of_a_zone_are_killed: [ZONES[0]], "KILL", 0;
    a_configuration_is_in_force_in_time_after_the_delegates_of_all_zones_are_killed: ZONES, "KILL", 100;
    a_configuration_is_in_force_in_time_after_the_delegates_of_a_zone_fall_silent: [ZONES[0]], "STOP", 0;
    a_configuration_is_in_force_in_time_after_the_delegates_of_all_zones_fall_silent: ZONES, "STOP", 100;
}
