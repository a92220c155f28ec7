//! Hosts that each keep to themselves send a target a multiple of the rate that it names.

#![allow(clippy::unwrap_used)]

mod world;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::rate_limit::{
    run_callers, Call, Headers, Target, LIMITED_TIME, MAX_SETTLING_TIME, MIN_ANSWERED_SHARE,
    MIN_USED_SHARE, REQUESTS_PER_S,
};
use world::{send, World};

const HEADERS: Headers = Headers {
    rate: "ragwortfold-rate",
    echo: "ragwortfold-request-id",
};
const ZONES: [(&str, &str); 2] = [("lima", "lima-a"), ("cusco", "cusco-a")];
const HOSTS_A_ZONE: usize = 3;
const TARGETS_A_ZONE: usize = 3;

/// Zones of several hosts and targets that may name rates.
fn world() -> (World, Vec<Target>) {
    let lookups = json!({"class": "pass-lookup", "idempotent": true, "deadline_ms": 2000});
    let mut world = World::new()
        .without_services()
        .with_service("lookups", lookups);
    let mut targets = Vec::new();
    for (region, zone) in ZONES {
        world = world.with_zone(region, zone);
        for number in 0..HOSTS_A_ZONE {
            world = world.with_host(zone, &format!("{zone}-{number}"));
        }
        for number in 0..TARGETS_A_ZONE {
            let target = Target::new(HEADERS).unwrap();
            let name = format!("look-{zone}-{number}");
            world = world.with_target_at(zone, "lookups", &name, target.address());
            targets.push(target);
        }
    }
    (world.run(), targets)
}

fn load(world: &World, time: Duration) -> Vec<Call> {
    let hosts: Vec<_> = world.hosts.values().collect();
    run_callers(time, |number| {
        let host = hosts[number % hosts.len()];
        let url = host.url(&format!("/v1/services/lookups/{number}"));
        let answer = send("GET", &url, &[], b"");
        (answer.map_or(0, |answer| answer.status), None)
    })
}

/// The targets that got most, those of the busier zone first: callers of one block prefer one of each zone.
fn busiest(targets: &[Target]) -> Vec<&Target> {
    let mut zones: Vec<Vec<&Target>> = targets
        .chunks(TARGETS_A_ZONE)
        .map(|zone| zone.iter().collect())
        .collect();
    for zone in &mut zones {
        zone.sort_by_key(|target| Reverse(target.arrivals().len()));
    }
    zones.sort_by_key(|zone| Reverse(zone[0].arrivals().len()));
    zones.concat()
}

fn answered(calls: &[Call], from: Instant) -> (usize, usize) {
    let calls = calls.iter().filter(|call| call.sent_at > from);
    let good = calls.clone().filter(|call| call.status == 200);
    (good.count(), calls.count())
}

/// Targets that name a rate get about that of all hosts together, and callers get what targets take.
macro_rules! named {
    ($($name:ident: $targets:expr, $named:expr => $rate:expr, $served:expr;)*) => {$(
        #[test]
        fn $name() {
            let (world, targets) = world();
            load(&world, Duration::from_secs(1));
            let limited = &busiest(&targets)[..$targets];
            limited.iter().for_each(|target| target.set_rates(&[$named]));
            let begun = Instant::now();
            let calls = load(&world, LIMITED_TIME);
            for target in limited {
                target.check_rate($rate, begun).unwrap();
            }
            let (good, all) = answered(&calls, begun + MAX_SETTLING_TIME);
            assert!(good as f64 >= all as f64 * $served, "{good} of {all}");
        }
    )*};
}

named! {
    hosts_of_a_zone_keep_to_the_rate_that_a_target_names: 1, "3.0" => 3.0, MIN_ANSWERED_SHARE;
    // What the zone does not take may not leave its region sooner than the cap on planned moves allows.
    all_targets_of_a_zone_name_a_rate: 3, "4" => 4.0, MIN_USED_SHARE * (12.0 + REQUESTS_PER_S / 2.0) / REQUESTS_PER_S;
    all_targets_name_a_rate: 6, "6" => 6.0, MIN_USED_SHARE * 36.0 / REQUESTS_PER_S;
}

#[test]
fn a_target_that_names_no_rate_any_more_gets_its_part_again() {
    let (world, targets) = world();
    let span = Duration::from_secs(2);
    load(&world, span);
    let target = busiest(&targets)[0];
    let before = target.arrivals().len();
    target.set_rates(&["2.0"]);
    load(&world, LIMITED_TIME);
    target.set_rates(&[]);
    load(&world, span);
    let begun = Instant::now();
    load(&world, span);
    let count = target.count_arrivals(begun, span);
    assert!(count >= before / 2, "{count} after {before}");
}
