//! Cost of one decision, an admission and its end, over the number of targets.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ragwortfold::catalog::Catalog;
use ragwortfold::steer::group::{
    Config, End, Group, Load, Pick, Report, State, TargetRequest, Verdict,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Requests in flight while the decisions are timed, per target.
const BUSY: usize = 1;

fn catalog(count: usize) -> Catalog {
    let targets: serde_json::Map<_, _> = (0..count)
        .map(|place| {
            let target = serde_json::json!({
                "service": "s", "availability_zone": "z",
                "address": format!("127.0.0.1:{}", 9000 + place),
                "slots": 8, "connections": 400,
            });
            (format!("t{place:03}"), target)
        })
        .collect();
    let configuration = serde_json::from_value(serde_json::json!({
        "regions": {"r": {}},
        "availability_zones": {"z": {"region": "r"}},
        "services": {"s": {"class": "c", "idempotent": true, "deadline_ms": 800}},
        "targets": targets,
    }))
    .expect("a valid configuration");
    Catalog::default()
        .with_revision(1, &configuration)
        .expect("a valid catalog")
}

fn group(catalog: &Catalog, pick: Pick, now: Instant) -> Group {
    let mut group = Group::new(Config {
        pick,
        ..Config::default()
    });
    let service = catalog.service_key("s").expect("a service");
    let zone = catalog.zone_key("z").expect("a zone");
    group.update(now, catalog, service, zone, 2);
    group
}

fn ask(id: u64, now: Instant) -> TargetRequest {
    TargetRequest {
        id,
        deadline: now + Duration::from_millis(800),
        priority: 5,
        affinity: 0,
        exclude: Vec::new(),
    }
}

/// Admits a request and ends the oldest one, with a load report. One every 20 us.
fn decide(bench: &mut Criterion) {
    let mut benches = bench.benchmark_group("decide");
    for count in [3, 10, 50, 200] {
        for pick in [Pick::RoundRobin, Pick::LeastInFlight, Pick::TwoChoices] {
            let catalog = catalog(count);
            let mut now = Instant::now();
            let mut group = group(&catalog, pick, now);
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
            benches.bench_function(BenchmarkId::new(pick.to_string(), count), |bench| {
                bench.iter(|| {
                    id += 1;
                    now += Duration::from_micros(20);
                    if let Verdict::Admit(grant) = group.admit(now, ask(id, now), &mut rng) {
                        grants.push_back(grant);
                    }
                    if grants.len() > count * BUSY {
                        if let Some(grant) = grants.pop_front() {
                            black_box(group.finish(now, grant, report, &mut rng));
                        }
                    }
                });
            });
        }
    }
    benches.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
