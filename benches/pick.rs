//! Cost of one routing decision (admitting a request and finishing it) by policy and number of
//! targets.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ragwortfold::catalog::Catalog;
use ragwortfold::steer::group::{
    Config, End, Group, Load, Pick, Report, State, TargetRequest, Verdict,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Requests in flight per target while decisions are measured.
const IN_FLIGHT_PER_TARGET: usize = 1;

/// Returns a catalog with `count` targets of one service in one zone.
fn catalog_with_targets(count: usize) -> Catalog {
    let targets: serde_json::Map<_, _> = (0..count)
        .map(|index| {
            let target = serde_json::json!({
                "service": "s", "availability_zone": "z",
                "address": format!("127.0.0.1:{}", 9000 + index),
                "slots": 8, "connections": 400,
            });
            (format!("t{index:03}"), target)
        })
        .collect();
    let configuration = serde_json::from_value(serde_json::json!({
        "regions": {"r": {}},
        "availability_zones": {"z": {"region": "r"}},
        "services": {"s": {"class": "c", "idempotent": true, "deadline_ms": 800}},
        "targets": targets,
    }))
    .expect("invalid configuration");
    Catalog::default()
        .with_revision(1, &configuration)
        .expect("invalid catalog")
}

/// Returns the group of the targets of the service in the zone.
fn target_group(catalog: &Catalog, pick: Pick, now: Instant) -> Group {
    let mut group = Group::new(Config {
        pick,
        ..Config::default()
    });
    let service = catalog
        .service_key("s")
        .expect("the catalog has no such service");
    let zone = catalog.zone_key("z").expect("the catalog has no such zone");
    group.update(now, catalog, service, zone, 2);
    group
}

fn target_request(id: u64, now: Instant) -> TargetRequest {
    TargetRequest {
        id,
        deadline: now + Duration::from_millis(800),
        priority: 5,
        affinity: 0,
        exclude: Vec::new(),
    }
}

/// Admits one request every 20 us of simulated time, and finishes the oldest one with a load report
/// once enough requests are in flight.
fn decide(criterion: &mut Criterion) {
    let mut benchmarks = criterion.benchmark_group("decide");
    for count in [3, 10, 50, 200] {
        for pick in [Pick::RoundRobin, Pick::LeastInFlight, Pick::TwoChoices] {
            let catalog = catalog_with_targets(count);
            let mut now = Instant::now();
            let mut group = target_group(&catalog, pick, now);
            let mut rng = Pcg64::seed_from_u64(1);
            let mut grants = std::collections::VecDeque::new();
            let mut id = 0;
            let report = Report {
                end: End::Answered,
                latency: Duration::from_millis(10),
                load: Some(Load {
                    in_flight: 3,
                    slots: 8,
                }),
                state: Some(State::Serving),
            };
            benchmarks.bench_function(BenchmarkId::new(pick.to_string(), count), |bencher| {
                bencher.iter(|| {
                    id += 1;
                    now += Duration::from_micros(20);
                    if let Verdict::Admit(grant) =
                        group.admit(now, target_request(id, now), &mut rng)
                    {
                        grants.push_back(grant);
                    }
                    if grants.len() > count * IN_FLIGHT_PER_TARGET {
                        if let Some(grant) = grants.pop_front() {
                            black_box(group.finish(now, grant, report, &mut rng));
                        }
                    }
                });
            });
        }
    }
    benchmarks.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
