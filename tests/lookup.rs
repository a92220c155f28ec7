//! The table of client blocks, and look-ups of entry hosts.

#![allow(clippy::unwrap_used)]

mod catalogs;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use catalogs::{
    catalog, configuration, hosts, next_catalog, region, service, zone, CatalogSize, SMALL,
};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use ragwortfold::catalog::{Catalog, ClientTable, HostKey, RegionKey};
use ragwortfold::steer::lookup::{Answer, Snapshot};
use ragwortfold::steer::split::Split;

/// Builds a block from a small range of numbers, so that blocks often nest or coincide.
fn net(family: bool, bits: u32, length: u8) -> IpNet {
    if family {
        let address = u128::from(bits) << 96 | u128::from(bits) << 40;
        IpNet::V6(Ipv6Net::new_assert(Ipv6Addr::from(address), length * 4).trunc())
    } else {
        IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from(bits), length).trunc())
    }
}

fn block() -> impl Strategy<Value = IpNet> {
    let length = prop_oneof![1 => 0..12u8, 8 => 12..33u8];
    (any::<bool>(), 0..1u32 << 14, length)
        .prop_map(|(family, bits, length)| net(family, bits << 10, length))
}

/// Test oracle: the same table in an independent library.
#[derive(Default)]
struct Oracle {
    v4: PrefixMap<Ipv4Net, RegionKey>,
    v6: PrefixMap<Ipv6Net, RegionKey>,
}

impl Oracle {
    fn new(blocks: &BTreeMap<IpNet, RegionKey>) -> Self {
        let mut oracle = Self::default();
        for (&net, &region) in blocks {
            match net {
                IpNet::V4(net) => oracle.v4.insert(net, region),
                IpNet::V6(net) => oracle.v6.insert(net, region),
            };
        }
        oracle
    }

    fn find(&self, client: IpAddr) -> Option<(IpNet, RegionKey)> {
        match client {
            IpAddr::V4(ip) => {
                let found = self.v4.get_lpm(&Ipv4Net::from(ip));
                found.map(|(net, &region)| (IpNet::V4(net), region))
            }
            IpAddr::V6(ip) => {
                let found = self.v6.get_lpm(&Ipv6Net::from(ip));
                found.map(|(net, &region)| (IpNet::V6(net), region))
            }
        }
    }
}

/// A block to set, or an existing one to remove.
type Change = (IpNet, Option<usize>, prop::sample::Index);

/// Whether the complete list is replaced, and the changes.
type Round = (bool, Vec<Change>);

/// Returns the first and the last address of a block.
fn edges(net: &IpNet) -> [IpAddr; 2] {
    [net.network(), net.broadcast()]
}

fn compare_with_oracle(
    table: &ClientTable,
    blocks: &BTreeMap<IpNet, RegionKey>,
) -> Result<(), TestCaseError> {
    prop_assert_eq!(table.len(), blocks.len());
    let oracle = Oracle::new(blocks);
    for client in blocks.keys().flat_map(edges) {
        prop_assert_eq!(table.find(client), oracle.find(client), "at {}", client);
    }
    for bits in 0..500u32 {
        let spread_bits = bits.wrapping_mul(8_675_309);
        for client in [
            net(false, spread_bits, 32),
            net(false, spread_bits >> 8, 32),
            net(true, spread_bits >> 8, 32),
        ] {
            prop_assert_eq!(table.find(client.addr()), oracle.find(client.addr()));
        }
    }
    Ok(())
}

#[test]
fn a_table_finds_the_longest_block_through_all_changes() {
    let config = ProptestConfig {
        cases: 30,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let regions: Vec<RegionKey> = catalog(SMALL).regions().map(|(key, _)| key).collect();
    let first = prop::collection::vec((block(), 0..3usize), 0..6000);
    let change = prop::collection::vec(
        (
            block(),
            prop::option::of(0..3usize),
            any::<prop::sample::Index>(),
        ),
        0..60,
    );
    let strategy = (first, prop::collection::vec((any::<bool>(), change), 0..6));
    let test = |(first, rounds): (Vec<(IpNet, usize)>, Vec<Round>)| {
        let mut blocks: BTreeMap<IpNet, RegionKey> = first
            .into_iter()
            .map(|(net, region)| (net, regions[region]))
            .collect();
        let all = |blocks: &BTreeMap<IpNet, RegionKey>| -> Vec<(IpNet, RegionKey)> {
            blocks.iter().map(|(&net, &region)| (net, region)).collect()
        };
        let mut table = ClientTable::default().with_blocks(&all(&blocks));
        compare_with_oracle(&table, &blocks)?;
        for (is_complete, changes) in rounds {
            let before = (table.clone(), blocks.clone());
            let (mut added, mut removed) = (Vec::new(), Vec::new());
            for (net, region, old) in changes {
                match region {
                    Some(region) => added.push((net, regions[region])),
                    None if blocks.is_empty() => {}
                    None => removed.push(*old.get(&blocks.keys().copied().collect::<Vec<_>>())),
                }
            }
            blocks.retain(|net, _| !removed.contains(net));
            blocks.extend(added.iter().copied());
            table = if is_complete {
                table.with_blocks(&all(&blocks))
            } else {
                table.with_changes(&added, &removed)
            };
            compare_with_oracle(&table, &blocks)?;
            prop_assert_eq!(before.0.len(), before.1.len());
        }
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, test)
        .expect("no counterexample");
}

#[test]
fn a_change_keeps_all_other_chunks_shared() {
    let catalog = catalog(SMALL);
    let (one, other) = (region(&catalog, "r0"), region(&catalog, "r1"));
    let mut blocks: Vec<_> = (0..50_000u32)
        .map(|at| (net(false, at << 8, 24), one))
        .collect();
    let table = ClientTable::default().with_blocks(&blocks);
    let chunks = table.count_shared_chunks(&table).0;
    assert!(chunks >= 90);
    let next = table.with_changes(
        &[(net(false, 7 << 8, 24), other)],
        &[net(false, 40_000 << 8, 24)],
    );
    assert_eq!(next.count_shared_chunks(&table), (chunks, chunks - 2));
    blocks.insert(25_000, (net(false, 25_000 << 8, 26), one));
    let next = table.with_blocks(&blocks);
    assert!(next.count_shared_chunks(&table).1 >= chunks - 2);
    assert_eq!(table.with_blocks(&blocks[..0]).len(), 0);
    let net = net(false, 9 << 8, 24);
    let twice = [(net, one), (net, other)];
    let next = table.with_changes(&twice, &[net]);
    assert_eq!(
        next.find(net.addr()),
        Some((net, other)),
        "the last of equal blocks counts"
    );
}

#[test]
fn a_wide_block_is_divided_for_steering() {
    let catalog = catalog(SMALL);
    let home = region(&catalog, "r0");
    let ip: IpAddr = "10.1.2.3".parse().expect("an address");
    let found = |text: &str| Some((text.parse().expect("an address"), home));
    let block = |found| ClientTable::steering_block(ip, found).to_string();
    assert_eq!(block(found("10.1.0.0/16")), "10.1.2.0/24");
    assert_eq!(block(found("10.1.2.0/28")), "10.1.2.0/28");
    assert_eq!(block(None), "10.1.2.0/24");
    let ip: IpAddr = "2001:db8::1".parse().expect("an address");
    assert_eq!(
        ClientTable::steering_block(ip, None).to_string(),
        "2001:db8::/56"
    );
}

/// Creates a snapshot in which all splits have the given shares and some hosts are down.
fn snapshot(catalog: &Catalog, shares: &[(&str, f64)], down: &[&str], own: &str) -> Snapshot {
    let split = Split::new(
        catalog,
        shares
            .iter()
            .map(|&(name, share)| (zone(catalog, name), share)),
    );
    let alive = |(name, _): &(String, HostKey)| !down.iter().any(|down| name.starts_with(down));
    let live: BTreeSet<HostKey> = hosts(catalog)
        .into_iter()
        .filter(alive)
        .map(|(_, key)| key)
        .collect();
    Snapshot::new(
        catalog,
        &live,
        |_, _| Some(split.clone()),
        zone(catalog, own),
    )
}

fn names(catalog: &Catalog, answer: &Answer) -> Vec<String> {
    answer
        .entries()
        .map(|host| catalog.host(host).name.to_string())
        .collect()
}

/// Returns the zones of the hosts in an answer.
fn zones(catalog: &Catalog, snapshot: &Snapshot) -> Vec<String> {
    let answer = snapshot.answer(service(catalog), "10.1.5.3".parse().expect("an address"), 0);
    names(catalog, &answer)
        .iter()
        .map(|name| name[..5].to_string())
        .collect()
}

/// Defines tests by the shares, prefixes of hosts that are down, the own zone, a draining zone and the expected zones of the answer.
macro_rules! case {
    ($($name:ident: $shares:expr, $down:expr, $own:expr, $off:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut value = configuration(SMALL);
            value["clients"]["10.1.0.0/16"] = serde_json::json!({"region": "r0"});
            if let Some(zone) = $off {
                value["availability_zones"][zone as &str]["state"] = serde_json::json!("draining");
            }
            let catalog = next_catalog(&Catalog::default(), value);
            let down: &[&str] = &$down;
            let snapshot = snapshot(&catalog, &$shares, down, $own);
            let expected: &[&str] = &$expected;
            assert_eq!(zones(&catalog, &snapshot), expected);
        }
    )*};
}

const NONE: Option<&str> = None;

case! {
    chosen_zone_then_own_region_then_nearest: [("r0-z1", 1.0)], [], "r2-z0", NONE
        => ["r0-z1", "r0-z1", "r0-z0", "r1-z1"];
    one_host_of_the_chosen_zone_left: [("r0-z1", 1.0)], ["r0-z1-h0"], "r0-z0", NONE
        => ["r0-z1", "r0-z0", "r1-z1", "r2-z1"];
    zone_without_live_hosts_is_skipped: [("r0-z1", 0.9), ("r0-z0", 0.1)], ["r0-z1"], "r0-z0", NONE
        => ["r0-z0", "r0-z0", "r1-z1", "r2-z1"];
    draining_zone_is_skipped: [("r0-z1", 0.9), ("r0-z0", 0.1)], [], "r0-z0", Some("r0-z1")
        => ["r0-z0", "r0-z0", "r1-z1", "r2-z1"];
    region_without_live_hosts_falls_back_to_the_nearest: [("r0-z1", 1.0)], ["r0"], "r1-z0", NONE
        => ["r1-z1", "r1-z1", "r1-z0", "r2-z1"];
    disconnected_zone_returns_its_own_hosts: [("r1-z1", 1.0)], ["r0", "r1", "r2-z0"], "r2-z1", NONE
        => ["r2-z1", "r2-z1"];
    no_split_yet: [], [], "r0-z0", NONE => ["r0-z1", "r0-z1", "r0-z0", "r1-z1"];
    split_into_another_region: [("r2-z0", 1.0)], [], "r0-z0", NONE => ["r2-z0", "r2-z0", "r2-z1", "r0-z1"];
    no_live_hosts: [("r0-z1", 1.0)], ["r"], "r0-z0", NONE => [];
}

#[test]
fn blocks_spread_over_hosts_and_keep_a_live_host() {
    let size = CatalogSize {
        regions: 1,
        zones: 1,
        hosts: 10,
        ..SMALL
    };
    let catalog = catalog(size);
    let all = snapshot(&catalog, &[("r0-z0", 1.0)], &[], "r0-z0");
    let fewer = snapshot(&catalog, &[("r0-z0", 1.0)], &["r0-z0-h3"], "r0-z0");
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for block in 0..10_000u32 {
        let client = IpAddr::V4(Ipv4Addr::from(block << 8));
        let before = names(&catalog, &all.answer(service(&catalog), client, 0));
        let after = names(&catalog, &fewer.answer(service(&catalog), client, 0));
        let left: Vec<_> = before.iter().filter(|name| !name.ends_with("h3")).collect();
        assert!(left.iter().zip(&after).all(|(left, after)| *left == after));
        *counts.entry(before[0].clone()).or_default() += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(
        counts.values().all(|&count| (850..1150).contains(&count)),
        "{counts:?}"
    );
}

#[test]
fn a_spread_divides_a_block_and_unknown_callers_get_the_own_region() {
    let catalog = catalog(SMALL);
    let shares = [("r0-z0", 0.5), ("r0-z1", 0.5)];
    let snapshot = snapshot(&catalog, &shares, &[], "r1-z0");
    let client = "192.0.2.1".parse().expect("an address");
    let first = |spread| snapshot.answer(service(&catalog), client, spread);
    assert_eq!(first(0).locality, region(&catalog, "r1"));
    let chosen: BTreeSet<_> = (0..50).map(|spread| first(spread).zone).collect();
    assert_eq!(chosen.len(), 2);
}
