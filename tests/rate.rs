//! Several hosts together keep to the rate limit that a target announces. If each host enforced the
//! limit alone, the target would get a multiple of it.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use cluster::{send, TestCluster};
use serde_json::json;
use standin::rate_limit::{
    run_callers, Call, Headers, Target, LIMITED_TIME, MAX_SETTLING_TIME, MIN_ANSWERED_SHARE,
    MIN_USED_SHARE, REQUESTS_PER_S,
};
const HEADERS: Headers = Headers {
    rate: "ragwortfold-rate",
    echo: "ragwortfold-request-id",
};
const ZONES: [(&str, &str); 2] = [("lima", "lima-a"), ("cusco", "cusco-a")];
const HOSTS_PER_ZONE: usize = 3;
const TARGETS_PER_ZONE: usize = 3;

/// Starts zones of several hosts and targets that may announce a rate limit.
fn start_cluster() -> (TestCluster, Vec<Target>) {
    let lookups = json!({"class": "pass-lookup", "idempotent": true, "deadline_ms": 2000});
    let mut cluster = TestCluster::new()
        .without_services()
        .with_service("lookups", lookups);
    let mut targets = Vec::new();
    for (region, zone) in ZONES {
        cluster = cluster.with_zone(region, zone);
        for number in 0..HOSTS_PER_ZONE {
            cluster = cluster.with_host(zone, &format!("{zone}-{number}"));
        }
        for number in 0..TARGETS_PER_ZONE {
            let target = Target::new(HEADERS).unwrap();
            let name = format!("look-{zone}-{number}");
            cluster = cluster.with_target_at(zone, "lookups", &name, target.address());
            targets.push(target);
        }
    }
    (cluster.start_all(), targets)
}

fn send_load(cluster: &TestCluster, time: Duration) -> Vec<Call> {
    let hosts: Vec<_> = cluster.hosts.values().collect();
    run_callers(time, |number| {
        let host = hosts[number % hosts.len()];
        let url = host.url(&format!("/v1/services/lookups/{number}"));
        let answer = send("GET", &url, &[], b"");
        (answer.map_or(0, |answer| answer.status), None)
    })
}

/// The targets sorted by zone and then by requests received, busiest first: callers in one address
/// block prefer one target of each zone.
fn sort_by_load(targets: &[Target]) -> Vec<&Target> {
    let mut zones: Vec<Vec<&Target>> = targets
        .chunks(TARGETS_PER_ZONE)
        .map(|zone| zone.iter().collect())
        .collect();
    for zone in &mut zones {
        zone.sort_by_key(|target| Reverse(target.arrivals().len()));
    }
    zones.sort_by_key(|zone| Reverse(zone[0].arrivals().len()));
    zones.concat()
}

fn count_answered(calls: &[Call], from: Instant) -> (usize, usize) {
    let calls = calls.iter().filter(|call| call.sent_at > from);
    let good = calls.clone().filter(|call| call.status == 200);
    (good.count(), calls.count())
}

/// Targets that announce a rate limit get about that rate from all hosts together, and callers get
/// as many answers as the targets can give.
macro_rules! rate_limit_tests {
    ($($name:ident: $targets:expr, $named:expr => $rate:expr, $served:expr;)*) => {$(
        #[test]
        fn $name() {
            let (cluster, targets) = start_cluster();
            send_load(&cluster, Duration::from_secs(1));
            let limited = &sort_by_load(&targets)[..$targets];
            limited.iter().for_each(|target| target.set_rates(&[$named]));
            let started = Instant::now();
            let calls = send_load(&cluster, LIMITED_TIME);
            for target in limited {
                target.check_rate($rate, started).unwrap();
            }
            let (good, all) = count_answered(&calls, started + MAX_SETTLING_TIME);
            assert!(good as f64 >= all as f64 * $served, "{good} of {all}");
        }
    )*};
}

rate_limit_tests! {
    hosts_of_a_zone_keep_to_the_rate_that_a_target_names: 1, "3.0" => 3.0, MIN_ANSWERED_SHARE;
    // What the zone can't take leaves its region no faster than the cap on planned moves allows.
    all_targets_of_a_zone_name_a_rate: 3, "4" => 4.0, MIN_USED_SHARE * (12.0 + REQUESTS_PER_S / 2.0) / REQUESTS_PER_S;
    all_targets_name_a_rate: 6, "6" => 6.0, MIN_USED_SHARE * 36.0 / REQUESTS_PER_S;
}

#[test]
fn a_target_that_names_no_rate_any_more_gets_its_part_again() {
    let (cluster, targets) = start_cluster();
    let span = Duration::from_secs(2);
    send_load(&cluster, span);
    let target = sort_by_load(&targets)[0];
    let before = target.arrivals().len();
    target.set_rates(&["2.0"]);
    send_load(&cluster, LIMITED_TIME);
    target.set_rates(&[]);
    send_load(&cluster, span);
    let started = Instant::now();
    send_load(&cluster, span);
    let count = target.count_arrivals(started, span);
    assert!(count >= before / 2, "{count} after {before}");
}
