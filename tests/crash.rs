//! One caller with one request took a service from all callers: each target that ran the request crashed, was back after some
//! seconds, and crashed again, 26 times in 14 s. The hosts told its caller 502, or 503 once too few targets were up, and sent the
//! request to the next target when it came again, at whichever host, since none of them knew what had been at the targets that
//! broke off before. Of the other callers' requests 15 to 28 in 100 were answered meanwhile.

#![allow(clippy::unwrap_used)]

mod world;

use std::time::Duration;

use serde_json::json;
use standin::crash::{play, Settings, Target};
use world::{send, World};

const ZONES: [(&str, &str); 4] = [
    ("lima", "lima-a"),
    ("lima", "lima-b"),
    ("cusco", "cusco-a"),
    ("cusco", "cusco-b"),
];
const TARGETS: usize = 12;
/// How long a target that crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// How long hosts may take from the third crash until they send the request to no target any more, and how often it
/// may reach one after that.
const STABLE: Duration = Duration::from_secs(4);
const LATE: usize = 3;
/// How long the request comes after the third crash.
const AFTER: Duration = Duration::from_secs(10);
/// The part of the other requests that must be answered in that time, after [`STABLE`].
const SERVED: f64 = 0.99;

#[test]
fn a_request_that_crashes_targets_is_kept_from_them() {
    let lookups = json!({"class": "pass-lookup", "idempotent": true, "deadline_ms": 5000});
    let mut world = World::new()
        .without_services()
        .with_service("lookups", lookups);
    for (region, zone) in ZONES {
        world = world.with_zone(region, zone).with_host(zone, zone);
    }
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let settings = Settings::new("crash").with_down(DOWN);
        let target = Target::new("127.0.0.1:0".parse().unwrap(), settings, |_| {}).unwrap();
        let (_, zone) = ZONES[number % ZONES.len()];
        let name = format!("look-{number}");
        world = world.with_target_at(zone, "lookups", &name, target.address());
        targets.push(target);
    }
    let world = world.run();
    let seen = play(&targets, ZONES.len(), STABLE, AFTER, |host, path| {
        let url = world.hosts[ZONES[host].1].url(&format!("/v1/services/lookups/{path}"));
        send("GET", &url, &[], b"").map_or(0, |answer| answer.status)
    });
    assert!(seen.late <= LATE, "{seen:?}");
    assert!(
        seen.answered as f64 >= seen.others as f64 * SERVED,
        "{seen:?}"
    );
}
