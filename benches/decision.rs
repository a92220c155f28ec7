//! Cost of a single routing decision: splits, client blocks, look-ups, budgets and quotas, at
//! several sizes of the catalog.

#[path = "../tests/catalogs/mod.rs"]
mod catalogs;

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogs::{configuration, CatalogSize};
use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use ragwortfold::border::configuration::{Client, Configuration};
use ragwortfold::border::settings::Steer;
use ragwortfold::catalog::{Cap, Catalog, ClientTable, HostKey, RegionKey, ServiceKey, ZoneKey};
use ragwortfold::steer::engine::{AttemptKind, Engine, Origin, RouteRequest, Verdict};
use ragwortfold::steer::fingerprint::Fingerprint;
use ragwortfold::steer::goal::{View, ZoneHealth};
use ragwortfold::steer::group::{End, Report};
use ragwortfold::steer::lookup::Snapshot;
use ragwortfold::steer::quota::Quota;
use ragwortfold::steer::relay_permit::PermitUsage;
use ragwortfold::steer::shift::MoveBudget;
use ragwortfold::steer::split::Split;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// 688 hosts in 16 zones of 4 regions, 144 sites, 54 targets per zone.
const LARGE: CatalogSize = CatalogSize {
    regions: 4,
    zones: 4,
    hosts: 43,
    services: 9,
    targets: 6,
};
/// Numbers of client blocks to measure.
const BLOCK_COUNTS: [usize; 3] = [20_000, 200_000, 2_200_000];
/// Number of caller addresses that are looked up in turn.
const CALLER_COUNT: usize = 1 << 16;

/// Returns random blocks of one address family; some contain others.
fn random_blocks(family: u8, count: usize) -> BTreeSet<IpNet> {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut blocks = BTreeSet::new();
    while blocks.len() < count {
        blocks.insert(if family == 4 {
            let ip = Ipv4Addr::from(rng.random::<u32>());
            IpNet::V4(Ipv4Net::new_assert(ip, rng.random_range(14..=28)).trunc())
        } else {
            let ip = Ipv6Addr::from(0x2000u128 << 112 | rng.random::<u128>() >> 6);
            IpNet::V6(Ipv6Net::new_assert(ip, rng.random_range(28..=56)).trunc())
        });
    }
    blocks
}

/// Returns random addresses from randomly chosen blocks.
fn random_callers(blocks: &[(IpNet, RegionKey)]) -> Vec<IpAddr> {
    let mut rng = Pcg64::seed_from_u64(8);
    (0..CALLER_COUNT)
        .map(|_| match blocks[rng.random_range(0..blocks.len())].0 {
            IpNet::V4(net) => {
                let host_bits = rng.random::<u32>() & u32::from(net.hostmask());
                IpAddr::V4(Ipv4Addr::from(u32::from(net.network()) | host_bits))
            }
            IpNet::V6(net) => {
                let host_bits = rng.random::<u128>() & u128::from(net.hostmask());
                IpAddr::V6(Ipv6Addr::from(u128::from(net.network()) | host_bits))
            }
        })
        .collect()
}

/// Assigns the regions of the catalog to the blocks in turn.
fn assign_regions(catalog: &Catalog, blocks: &BTreeSet<IpNet>) -> Vec<(IpNet, RegionKey)> {
    let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
    blocks
        .iter()
        .copied()
        .zip(regions.into_iter().cycle())
        .collect()
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

/// Returns a closure that calls `decide` with the next caller address at each call.
fn cycle_callers<'a, T>(
    callers: &'a [IpAddr],
    decide: impl Fn(IpAddr) -> T + 'a,
) -> impl FnMut() -> T + 'a {
    let mut index = 0;
    move || {
        index = (index + 1) % callers.len();
        decide(callers[index])
    }
}

/// Choosing a zone from a split and moving a split toward a goal, by number of zones.
fn choose(criterion: &mut Criterion) {
    let catalog = catalogs::catalog(LARGE);
    let mut group = criterion.benchmark_group("split");
    for count in [2, 4, 16] {
        let zones = catalog.zones().take(count).zip(1..);
        let split = Split::new(
            &catalog,
            zones.map(|((zone, _), weight)| (zone, f64::from(weight))),
        );
        let mut block = 0u64;
        group.bench_function(BenchmarkId::new("choose", count), |bencher| {
            bencher.iter(|| {
                block += 1;
                split.choose(black_box(block), |_| true)
            });
        });
        let goal_split = Split::new(
            &catalog,
            split.shares().map(|(zone, share)| (zone, share * share)),
        );
        group.bench_function(BenchmarkId::new("toward", count), |bencher| {
            bencher.iter(|| split.step_toward(black_box(&goal_split), 0.01));
        });
    }
    group.finish();
}

/// Look-ups in and updates of the table of client blocks, by address family and number of blocks.
fn tables(criterion: &mut Criterion) {
    let catalog = catalogs::catalog(LARGE);
    let mut group = criterion.benchmark_group("table");
    for (family, count) in [4, 6]
        .into_iter()
        .flat_map(|family| BLOCK_COUNTS.map(|count| (family, count)))
    {
        let benchmark_id =
            |operation: &str| BenchmarkId::new(format!("{operation}_v{family}"), count);
        let blocks = assign_regions(&catalog, &random_blocks(family, count));
        let callers = random_callers(&blocks);
        let resident_before = resident_bytes();
        let table = ClientTable::default().with_blocks(&blocks);
        let (bytes, resident_growth) = (
            table.memory_bytes(),
            resident_bytes().saturating_sub(resident_before),
        );
        println!(
            "table_v{family}/{count}: {bytes} bytes of records, resident memory grew by {resident_growth}"
        );
        group.bench_function(benchmark_id("find"), |bencher| {
            bencher.iter(cycle_callers(&callers, |client| table.find(client)));
        });
        group.bench_function(benchmark_id("change_10"), |bencher| {
            let changed_blocks: Vec<_> = blocks.iter().step_by(count / 10).copied().collect();
            let changed_blocks: Vec<_> = changed_blocks
                .iter()
                .map(|&(net, _)| (net, blocks[1].1))
                .collect();
            bencher.iter(|| table.with_changes(black_box(&changed_blocks), &[]));
        });
        group.bench_function(benchmark_id("all_again"), |bencher| {
            bencher.iter(|| table.with_blocks(black_box(&blocks)));
        });
        group.bench_function(benchmark_id("from_nothing"), |bencher| {
            bencher.iter(|| ClientTable::default().with_blocks(black_box(&blocks)));
        });
    }
    group.finish();
}

/// Look-ups in the map of the `prefix_trie` crate, for comparison with [`Table`].
fn tries(criterion: &mut Criterion) {
    let catalog = catalogs::catalog(LARGE);
    let mut group = criterion.benchmark_group("prefix_trie");
    for family in [4, 6] {
        let count = BLOCK_COUNTS[2];
        let blocks = assign_regions(&catalog, &random_blocks(family, count));
        let callers = random_callers(&blocks);
        let resident_before = resident_bytes();
        let (mut v4, mut v6) = (PrefixMap::new(), PrefixMap::new());
        for &(net, region) in &blocks {
            match net {
                IpNet::V4(net) => v4.insert(net, region),
                IpNet::V6(net) => v6.insert(net, region),
            };
        }
        let resident_growth = resident_bytes().saturating_sub(resident_before);
        println!("prefix_trie_v{family}/{count}: resident memory grew by {resident_growth}");
        group.bench_function(
            BenchmarkId::new(format!("find_v{family}"), count),
            |bencher| {
                bencher.iter(cycle_callers(&callers, |client| match client {
                    IpAddr::V4(ip) => v4.get_lpm(&Ipv4Net::from(ip)).map(|(_, region)| *region),
                    IpAddr::V6(ip) => v6.get_lpm(&Ipv6Net::from(ip)).map(|(_, region)| *region),
                }));
            },
        );
    }
    group.finish();
}

/// Returns a catalog with `count` client blocks, half of them IPv4 and half IPv6.
fn catalog_with_clients(count: usize) -> Catalog {
    let mut configuration: Configuration =
        serde_json::from_value(configuration(LARGE)).expect("invalid configuration");
    let networks = [4, 6]
        .into_iter()
        .flat_map(|family| random_blocks(family, count / 2));
    configuration.clients = networks
        .enumerate()
        .map(|(index, net)| {
            let region = format!("r{}", index % LARGE.regions);
            (net.to_string(), Client { region })
        })
        .collect();
    let catalog = Catalog::default().with_revision(1, &configuration);
    catalog.expect("invalid catalog")
}

/// Answering a look-up and building its snapshot, by number of client blocks.
fn lookups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lookup");
    for count in BLOCK_COUNTS {
        let catalog = catalog_with_clients(count);
        let live: BTreeSet<HostKey> = catalog.hosts().map(|(key, _)| key).collect();
        let split_in_region = |locality| {
            let zones = catalog
                .zones()
                .filter(move |(_, zone)| zone.region == locality);
            Split::new(&catalog, zones.map(|(key, _)| (key, 1.0)))
        };
        let splits: Vec<Split> = catalog
            .regions()
            .map(|(key, _)| split_in_region(key))
            .collect();
        let split_for = |_: ServiceKey, locality: RegionKey| {
            let index = locality.into_raw().into_u32() as usize;
            Some(splits[index].clone())
        };
        let zone: ZoneKey = catalog
            .zone_key("r0-z0")
            .expect("the catalog has no such zone");
        let service = catalog
            .service_key("s4")
            .expect("the catalog has no such service");
        let build_snapshot = || Snapshot::new(&catalog, &live, split_for, zone);
        let snapshot = build_snapshot();
        let blocks: Vec<_> = [4, 6]
            .into_iter()
            .flat_map(|family| assign_regions(&catalog, &random_blocks(family, count / 2)))
            .collect();
        let callers = random_callers(&blocks);
        group.bench_function(BenchmarkId::new("answer", count), |bencher| {
            bencher.iter(cycle_callers(&callers, |client| {
                snapshot.answer(service, client, 0)
            }));
        });
        group.bench_function(BenchmarkId::new("snapshot", count), |bencher| {
            bencher.iter(build_snapshot)
        });
    }
    group.finish();
}

/// Recording and spilling requests in a move budget with a full window, and taking from a quota.
fn budgets(criterion: &mut Criterion) {
    let cap = Cap {
        share: 0.05,
        window: Duration::from_secs(60),
    };
    let start = Instant::now();
    let filled_budget = || {
        let mut budget = MoveBudget::new();
        for ms in 0..120_000 {
            budget.record_request(start + Duration::from_millis(ms));
        }
        budget
    };
    let window_end = start + Duration::from_secs(120);
    criterion.bench_function("ledger/request", |bencher| {
        let mut budget = filled_budget();
        let mut now = window_end;
        bencher.iter(|| {
            now += Duration::from_millis(1);
            budget.record_request(now);
        });
    });
    criterion.bench_function("ledger/spill", |bencher| {
        bencher.iter_batched_ref(
            filled_budget,
            |budget| budget.try_spill(window_end, cap),
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("quota/take", |bencher| {
        let mut quota = Quota::new(100.0, start, 1);
        let mut now = start;
        bencher.iter(|| {
            now += Duration::from_millis(1);
            quota.take(now, 1.0)
        });
    });
}

/// Builds the engine of one host, with all zones alive and all slots free. Returns it with its
/// catalog and view.
fn ready_engine(size: CatalogSize, now: Instant) -> (Engine, Arc<Catalog>, View) {
    let catalog = Arc::new(catalogs::catalog(size));
    let mut view = View::default();
    let mut free_slots = BTreeMap::new();
    for (zone, _) in catalog.zones() {
        view.zones.insert(zone, ZoneHealth::Alive);
        for (service, _) in catalog.services() {
            let slots = catalog.site(service, zone).map_or(0, |site| site.slots);
            view.slots.insert((service, zone), slots);
            free_slots.insert((service, zone), slots);
        }
    }
    let mut engine = Engine::new(&Steer::default(), 1);
    engine.configure(now, catalog.clone(), "r0-z0");
    let live = catalog.hosts().map(|(key, _)| key).collect();
    let now = now + Duration::from_secs(2);
    engine.set_live(now, live);
    engine.set_free_slots(free_slots);
    engine.set_view(now, view.clone());
    (engine, catalog, view)
}

/// Submits one request, finishes it at once and returns the name of its verdict.
fn submit_and_finish(
    engine: &mut Engine,
    now: Instant,
    request: RouteRequest,
    rng: &mut Pcg64,
) -> &'static str {
    match engine.submit(now, request, rng) {
        Some(Verdict::Target { grant, .. }) => {
            let report = Report {
                end: End::Answered,
                latency: Duration::from_millis(5),
                load: None,
                state: None,
            };
            black_box(engine.finish(now, grant, report, rng));
            "target"
        }
        Some(Verdict::Host(permit)) => {
            engine.finish_relay(now, &permit, PermitUsage::Unused);
            "host"
        }
        Some(Verdict::Refused(_)) => "refused",
        None => "wait",
    }
}

/// Where a request is expected to be routed.
#[derive(Clone, Copy)]
enum ExpectedRoute {
    /// To a target of the own zone.
    Own,
    /// To another region, which the split selects.
    Split,
    /// To another zone, because all targets of the own zone were already tried.
    Spill,
}

/// Whole decisions of the engine by number of sites, targets and hosts, then updates of its view
/// and live hosts and building its look-up snapshot by number of sites.
fn whole(criterion: &mut Criterion) {
    let sizes = |dimension: &str| -> Vec<(usize, CatalogSize)> {
        let all = match dimension {
            "sites" => [1, 3, 9].map(|services| CatalogSize { services, ..LARGE }),
            "targets" => [2, 6, 50].map(|targets| CatalogSize { targets, ..LARGE }),
            _ => [3, 12, 43].map(|hosts| CatalogSize { hosts, ..LARGE }),
        };
        let item_count = |size: CatalogSize| match dimension {
            "sites" => size.services * size.regions * size.zones,
            "targets" => size.services * size.targets,
            _ => size.hosts * size.regions * size.zones,
        };
        all.map(|size| (item_count(size), size)).to_vec()
    };
    let mut group = criterion.benchmark_group("engine");
    let routes = [
        ("own", ExpectedRoute::Own),
        ("split", ExpectedRoute::Split),
        ("spill", ExpectedRoute::Spill),
    ];
    for dimension in ["sites", "targets", "hosts"] {
        for (count, size) in sizes(dimension) {
            for (name, route) in routes {
                let start = Instant::now();
                let (mut engine, catalog, _) = ready_engine(size, start);
                let mut now = start + Duration::from_secs(30);
                let mut rng = Pcg64::seed_from_u64(5);
                let service = catalog
                    .service_key("s0")
                    .expect("the catalog has no such service");
                let zone = catalog
                    .zone_key("r0-z0")
                    .expect("the catalog has no such zone");
                let own_site = catalog
                    .site(service, zone)
                    .expect("the service has no site in the zone");
                let region = |name| {
                    catalog
                        .region_key(name)
                        .expect("the catalog has no such region")
                };
                let locality = match route {
                    ExpectedRoute::Split => region("r1"),
                    _ => region("r0"),
                };
                let tried_targets = match route {
                    ExpectedRoute::Spill => own_site.targets.clone(),
                    _ => vec![],
                };
                let mut id = 0;
                let mut verdict_counts: BTreeMap<&str, u64> = BTreeMap::new();
                group.bench_function(
                    BenchmarkId::new(format!("{name}_by_{dimension}"), count),
                    |bencher| {
                        bencher.iter(|| {
                            id += 1;
                            now += Duration::from_millis(1);
                            let request = RouteRequest {
                                id,
                                kind: AttemptKind::First,
                                origin: Origin::Caller,
                                service,
                                locality,
                                block: id,
                                bytes: 100,
                                deadline: now + Duration::from_secs(1),
                                targets: tried_targets.clone(),
                                hosts: vec![],
                                fingerprint: Fingerprint(0),
                            };
                            *verdict_counts
                                .entry(submit_and_finish(&mut engine, now, request, &mut rng))
                                .or_default() += 1;
                        });
                    },
                );
                println!("engine/{name}_by_{dimension}/{count}: {verdict_counts:?}");
            }
        }
    }
    for (count, size) in sizes("sites") {
        let start = Instant::now();
        let (mut engine, _, view) = ready_engine(size, start);
        let mut now = start + Duration::from_secs(30);
        group.bench_function(BenchmarkId::new("set_view", count), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(500);
                engine.set_view(now, view.clone());
            });
        });
        group.bench_function(BenchmarkId::new("snapshot", count), |bencher| {
            bencher.iter(|| engine.lookup_snapshot());
        });
        let live: BTreeSet<HostKey> = engine.catalog().hosts().map(|(key, _)| key).collect();
        group.bench_function(BenchmarkId::new("set_live", count), |bencher| {
            bencher.iter(|| engine.set_live(now, live.clone()));
        });
    }
    group.finish();
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(1));
    targets = choose, budgets, whole, lookups, tables, tries
}
criterion_main!(decisions);
