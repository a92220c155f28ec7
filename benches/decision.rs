//! What one decision costs: splits, client blocks, look-ups, budgets and quotas, over sizes.

#[path = "../tests/places/mod.rs"]
mod places;

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use places::{configuration, Size};
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

/// 688 hosts in 16 zones of 4 regions, 144 sites, 54 targets a zone.
const LARGE: Size = Size {
    regions: 4,
    zones: 4,
    hosts: 43,
    services: 9,
    targets: 6,
};
const BLOCKS: [usize; 3] = [20_000, 200_000, 2_200_000];
/// Addresses that a bench asks for in turn.
const CALLERS: usize = 1 << 16;

/// Random blocks of one family, some within others.
fn blocks(family: u8, count: usize) -> BTreeSet<IpNet> {
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

/// Addresses within blocks taken at random.
fn callers(blocks: &[(IpNet, RegionKey)]) -> Vec<IpAddr> {
    let mut rng = Pcg64::seed_from_u64(8);
    (0..CALLERS)
        .map(|_| match blocks[rng.random_range(0..blocks.len())].0 {
            IpNet::V4(net) => {
                let host = rng.random::<u32>() & u32::from(net.hostmask());
                IpAddr::V4(Ipv4Addr::from(u32::from(net.network()) | host))
            }
            IpNet::V6(net) => {
                let host = rng.random::<u128>() & u128::from(net.hostmask());
                IpAddr::V6(Ipv6Addr::from(u128::from(net.network()) | host))
            }
        })
        .collect()
}

fn with_regions(catalog: &Catalog, blocks: &BTreeSet<IpNet>) -> Vec<(IpNet, RegionKey)> {
    let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
    blocks
        .iter()
        .copied()
        .zip(regions.into_iter().cycle())
        .collect()
}

/// Memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

/// Calls `decide` with one of the callers after the other.
fn in_turn<'a, T>(
    callers: &'a [IpAddr],
    decide: impl Fn(IpAddr) -> T + 'a,
) -> impl FnMut() -> T + 'a {
    let mut at = 0;
    move || {
        at = (at + 1) % callers.len();
        decide(callers[at])
    }
}

fn choose(criterion: &mut Criterion) {
    let catalog = places::catalog(LARGE);
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
        let goal = Split::new(
            &catalog,
            split.shares().map(|(zone, share)| (zone, share * share)),
        );
        group.bench_function(BenchmarkId::new("toward", count), |bencher| {
            bencher.iter(|| split.step_toward(black_box(&goal), 0.01));
        });
    }
    group.finish();
}

fn tables(criterion: &mut Criterion) {
    let catalog = places::catalog(LARGE);
    let mut group = criterion.benchmark_group("table");
    for (family, count) in [4, 6]
        .into_iter()
        .flat_map(|family| BLOCKS.map(|count| (family, count)))
    {
        let name = |what: &str| BenchmarkId::new(format!("{what}_v{family}"), count);
        let blocks = with_regions(&catalog, &blocks(family, count));
        let callers = callers(&blocks);
        let before = resident();
        let table = ClientTable::default().with_blocks(&blocks);
        let (bytes, grown) = (table.memory_bytes(), resident().saturating_sub(before));
        println!(
            "table_v{family}/{count}: {bytes} bytes of records, resident memory grew by {grown}"
        );
        group.bench_function(name("find"), |bencher| {
            bencher.iter(in_turn(&callers, |client| table.find(client)));
        });
        group.bench_function(name("change_10"), |bencher| {
            let put: Vec<_> = blocks.iter().step_by(count / 10).copied().collect();
            let put: Vec<_> = put.iter().map(|&(net, _)| (net, blocks[1].1)).collect();
            bencher.iter(|| table.with_changes(black_box(&put), &[]));
        });
        group.bench_function(name("all_again"), |bencher| {
            bencher.iter(|| table.with_blocks(black_box(&blocks)));
        });
        group.bench_function(name("from_nothing"), |bencher| {
            bencher.iter(|| ClientTable::default().with_blocks(black_box(&blocks)));
        });
    }
    group.finish();
}

/// The library's trie, to compare with.
fn tries(criterion: &mut Criterion) {
    let catalog = places::catalog(LARGE);
    let mut group = criterion.benchmark_group("prefix_trie");
    for family in [4, 6] {
        let count = BLOCKS[2];
        let blocks = with_regions(&catalog, &blocks(family, count));
        let callers = callers(&blocks);
        let before = resident();
        let (mut v4, mut v6) = (PrefixMap::new(), PrefixMap::new());
        for &(net, region) in &blocks {
            match net {
                IpNet::V4(net) => v4.insert(net, region),
                IpNet::V6(net) => v6.insert(net, region),
            };
        }
        let grown = resident().saturating_sub(before);
        println!("prefix_trie_v{family}/{count}: resident memory grew by {grown}");
        group.bench_function(
            BenchmarkId::new(format!("find_v{family}"), count),
            |bencher| {
                bencher.iter(in_turn(&callers, |client| match client {
                    IpAddr::V4(ip) => v4.get_lpm(&Ipv4Net::from(ip)).map(|(_, region)| *region),
                    IpAddr::V6(ip) => v6.get_lpm(&Ipv6Net::from(ip)).map(|(_, region)| *region),
                }));
            },
        );
    }
    group.finish();
}

/// A catalog with client blocks, half of each family.
fn with_clients(count: usize) -> Catalog {
    let mut configuration: Configuration =
        serde_json::from_value(configuration(LARGE)).expect("a configuration");
    let both = [4, 6]
        .into_iter()
        .flat_map(|family| blocks(family, count / 2));
    configuration.clients = both
        .enumerate()
        .map(|(at, net)| {
            let region = format!("r{}", at % LARGE.regions);
            (net.to_string(), Client { region })
        })
        .collect();
    let catalog = Catalog::default().with_revision(1, &configuration);
    catalog.expect("a catalog")
}

fn lookups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lookup");
    for count in BLOCKS {
        let catalog = with_clients(count);
        let live: BTreeSet<HostKey> = catalog.hosts().map(|(key, _)| key).collect();
        let own = |locality| {
            let zones = catalog
                .zones()
                .filter(move |(_, zone)| zone.region == locality);
            Split::new(&catalog, zones.map(|(key, _)| (key, 1.0)))
        };
        let splits: Vec<Split> = catalog.regions().map(|(key, _)| own(key)).collect();
        let split = |_: ServiceKey, locality: RegionKey| {
            let at = locality.into_raw().into_u32() as usize;
            Some(splits[at].clone())
        };
        let zone: ZoneKey = catalog.zone_key("r0-z0").expect("a zone");
        let service = catalog.service_key("s4").expect("a service");
        let make = || Snapshot::new(&catalog, &live, split, zone);
        let snapshot = make();
        let blocks: Vec<_> = [4, 6]
            .into_iter()
            .flat_map(|family| with_regions(&catalog, &blocks(family, count / 2)))
            .collect();
        let callers = callers(&blocks);
        group.bench_function(BenchmarkId::new("answer", count), |bencher| {
            bencher.iter(in_turn(&callers, |client| {
                snapshot.answer(service, client, 0)
            }));
        });
        group.bench_function(BenchmarkId::new("snapshot", count), |bencher| {
            bencher.iter(make)
        });
    }
    group.finish();
}

fn budgets(criterion: &mut Criterion) {
    let cap = Cap {
        share: 0.05,
        window: Duration::from_secs(60),
    };
    let base = Instant::now();
    let busy = || {
        let mut ledger = MoveBudget::new();
        for ms in 0..120_000 {
            ledger.record_request(base + Duration::from_millis(ms));
        }
        ledger
    };
    let end = base + Duration::from_secs(120);
    criterion.bench_function("ledger/request", |bencher| {
        let mut ledger = busy();
        let mut now = end;
        bencher.iter(|| {
            now += Duration::from_millis(1);
            ledger.record_request(now);
        });
    });
    criterion.bench_function("ledger/spill", |bencher| {
        bencher.iter_batched_ref(
            busy,
            |ledger| ledger.try_spill(end, cap),
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("quota/take", |bencher| {
        let mut quota = Quota::new(100.0, base, 1);
        let mut now = base;
        bencher.iter(|| {
            now += Duration::from_millis(1);
            quota.take(now, 1.0)
        });
    });
}

/// An engine of one host that knows all zones, and what tells it of them.
fn engine(size: Size, now: Instant) -> (Engine, Arc<Catalog>, View) {
    let catalog = Arc::new(places::catalog(size));
    let mut view = View::default();
    let mut free = BTreeMap::new();
    for (zone, _) in catalog.zones() {
        view.zones.insert(zone, ZoneHealth::Alive);
        for (service, _) in catalog.services() {
            let slots = catalog.site(service, zone).map_or(0, |site| site.slots);
            view.slots.insert((service, zone), slots);
            free.insert((service, zone), slots);
        }
    }
    let mut engine = Engine::new(&Steer::default(), 1);
    engine.configure(now, catalog.clone(), "r0-z0");
    let live = catalog.hosts().map(|(key, _)| key).collect();
    let now = now + Duration::from_secs(2);
    engine.set_live(now, live);
    engine.set_free_slots(free);
    engine.set_view(now, view.clone());
    (engine, catalog, view)
}

/// Asks and hands back what was given, one request a call.
fn decide(engine: &mut Engine, now: Instant, ask: RouteRequest, rng: &mut Pcg64) -> &'static str {
    match engine.submit(now, ask, rng) {
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
        Some(Verdict::Host(pass)) => {
            engine.finish_relay(now, &pass, PermitUsage::Unused);
            "host"
        }
        Some(Verdict::Refused(_)) => "refused",
        None => "wait",
    }
}

/// How a request is decided.
#[derive(Clone, Copy)]
enum Course {
    /// By a target of the own zone.
    Own,
    /// By another region, as the split says.
    Split,
    /// By another zone, as all own targets were tried.
    Spill,
}

fn whole(criterion: &mut Criterion) {
    let sizes = |of: &str| -> Vec<(usize, Size)> {
        let all = match of {
            "sites" => [1, 3, 9].map(|services| Size { services, ..LARGE }),
            "targets" => [2, 6, 50].map(|targets| Size { targets, ..LARGE }),
            _ => [3, 12, 43].map(|hosts| Size { hosts, ..LARGE }),
        };
        let count = |size: Size| match of {
            "sites" => size.services * size.regions * size.zones,
            "targets" => size.services * size.targets,
            _ => size.hosts * size.regions * size.zones,
        };
        all.map(|size| (count(size), size)).to_vec()
    };
    let mut group = criterion.benchmark_group("engine");
    let courses = [
        ("own", Course::Own),
        ("split", Course::Split),
        ("spill", Course::Spill),
    ];
    for of in ["sites", "targets", "hosts"] {
        for (count, size) in sizes(of) {
            for (name, course) in courses {
                let base = Instant::now();
                let (mut engine, catalog, _) = engine(size, base);
                let mut now = base + Duration::from_secs(30);
                let mut rng = Pcg64::seed_from_u64(5);
                let service = catalog.service_key("s0").expect("a service");
                let zone = catalog.zone_key("r0-z0").expect("a zone");
                let own = catalog.site(service, zone).expect("a site");
                let region = |name| catalog.region_key(name).expect("a region");
                let locality = match course {
                    Course::Split => region("r1"),
                    _ => region("r0"),
                };
                let tried = match course {
                    Course::Spill => own.targets.clone(),
                    _ => vec![],
                };
                let mut id = 0;
                let mut ways: BTreeMap<&str, u64> = BTreeMap::new();
                group.bench_function(
                    BenchmarkId::new(format!("{name}_by_{of}"), count),
                    |bencher| {
                        bencher.iter(|| {
                            id += 1;
                            now += Duration::from_millis(1);
                            let ask = RouteRequest {
                                id,
                                kind: AttemptKind::First,
                                origin: Origin::Caller,
                                service,
                                locality,
                                block: id,
                                bytes: 100,
                                deadline: now + Duration::from_secs(1),
                                targets: tried.clone(),
                                hosts: vec![],
                                fingerprint: Fingerprint(0),
                            };
                            *ways
                                .entry(decide(&mut engine, now, ask, &mut rng))
                                .or_default() += 1;
                        });
                    },
                );
                println!("engine/{name}_by_{of}/{count}: {ways:?}");
            }
        }
    }
    for (count, size) in sizes("sites") {
        let base = Instant::now();
        let (mut engine, _, view) = engine(size, base);
        let mut now = base + Duration::from_secs(30);
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
