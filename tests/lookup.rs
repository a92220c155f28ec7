//! The table of client blocks, and look-ups.

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
use ragwortfold::catalog::{Catalog, HostKey, RegionKey, Table};
use ragwortfold::steer::lookup::{Answer, Snapshot};
use ragwortfold::steer::split::Split;

/// Names a block by few numbers, so that blocks nest and meet often.
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

/// The same table by an independent library.
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

/// Whether the whole list is given anew, and the changes.
type Round = (bool, Vec<Change>);

/// Addresses at the edges of blocks.
fn edges(net: &IpNet) -> [IpAddr; 2] {
    [net.network(), net.broadcast()]
}

fn check(table: &Table, blocks: &BTreeMap<IpNet, RegionKey>) -> Result<(), TestCaseError> {
    prop_assert_eq!(table.len(), blocks.len());
    let oracle = Oracle::new(blocks);
    for client in blocks.keys().flat_map(edges) {
        prop_assert_eq!(table.find(client), oracle.find(client), "at {}", client);
    }
    for bits in 0..500u32 {
        let wide = bits.wrapping_mul(8_675_309);
        for client in [
            net(false, wide, 32),
            net(false, wide >> 8, 32),
            net(true, wide >> 8, 32),
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
        let mut table = Table::default().with_blocks(&all(&blocks));
        check(&table, &blocks)?;
        for (whole, changes) in rounds {
            let before = (table.clone(), blocks.clone());
            let (mut put, mut remove) = (Vec::new(), Vec::new());
            for (net, region, old) in changes {
                match region {
                    Some(region) => put.push((net, regions[region])),
                    None if blocks.is_empty() => {}
                    None => remove.push(*old.get(&blocks.keys().copied().collect::<Vec<_>>())),
                }
            }
            blocks.retain(|net, _| !remove.contains(net));
            blocks.extend(put.iter().copied());
            table = if whole {
                table.with_blocks(&all(&blocks))
            } else {
                table.with_changes(&put, &remove)
            };
            check(&table, &blocks)?;
            prop_assert_eq!(before.0.len(), before.1.len());
        }
        Ok(())
    };
    TestRunner::new(config)
        .run(&strategy, test)
        .expect("no counterexample");
}

#[test]
fn a_change_leaves_all_other_chunks_shared() {
    let catalog = catalog(SMALL);
    let (one, other) = (region(&catalog, "r0"), region(&catalog, "r1"));
    let mut blocks: Vec<_> = (0..50_000u32)
        .map(|at| (net(false, at << 8, 24), one))
        .collect();
    let table = Table::default().with_blocks(&blocks);
    let chunks = table.shared(&table).0;
    assert!(chunks >= 90);
    let next = table.with_changes(
        &[(net(false, 7 << 8, 24), other)],
        &[net(false, 40_000 << 8, 24)],
    );
    assert_eq!(next.shared(&table), (chunks, chunks - 2));
    blocks.insert(25_000, (net(false, 25_000 << 8, 26), one));
    let next = table.with_blocks(&blocks);
    assert!(next.shared(&table).1 >= chunks - 2);
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
fn a_wide_block_is_steered_by_parts() {
    let catalog = catalog(SMALL);
    let home = region(&catalog, "r0");
    let ip: IpAddr = "10.1.2.3".parse().expect("an address");
    let found = |text: &str| Some((text.parse().expect("an address"), home));
    let block = |found| Table::block(ip, found).to_string();
    assert_eq!(block(found("10.1.0.0/16")), "10.1.2.0/24");
    assert_eq!(block(found("10.1.2.0/28")), "10.1.2.0/28");
    assert_eq!(block(None), "10.1.2.0/24");
    let ip: IpAddr = "2001:db8::1".parse().expect("an address");
    assert_eq!(Table::block(ip, None).to_string(), "2001:db8::/56");
}

/// A snapshot in which all split shares are as given, with some hosts dead.
fn snapshot(catalog: &Catalog, shares: &[(&str, f64)], dead: &[&str], own: &str) -> Snapshot {
    let split = Split::new(
        catalog,
        shares
            .iter()
            .map(|&(name, share)| (zone(catalog, name), share)),
    );
    let alive = |(name, _): &(String, HostKey)| !dead.iter().any(|dead| name.starts_with(dead));
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

/// The zones of the hosts in an answer.
fn zones(catalog: &Catalog, snapshot: &Snapshot) -> Vec<String> {
    let answer = snapshot.answer(service(catalog), "10.1.5.3".parse().expect("an address"), 0);
    names(catalog, &answer)
        .iter()
        .map(|name| name[..5].to_string())
        .collect()
}

/// One row: the shares, what is dead, the own zone, a zone that drains, and the zones of the answer.
macro_rules! case {
    ($($name:ident: $shares:expr, $dead:expr, $own:expr, $off:expr => $wanted:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut value = configuration(SMALL);
            value["clients"]["10.1.0.0/16"] = serde_json::json!({"region": "r0"});
            if let Some(zone) = $off {
                value["availability_zones"][zone as &str]["state"] = serde_json::json!("draining");
            }
            let catalog = next_catalog(&Catalog::default(), value);
            let dead: &[&str] = &$dead;
            let snapshot = snapshot(&catalog, &$shares, dead, $own);
            let wanted: &[&str] = &$wanted;
            assert_eq!(zones(&catalog, &snapshot), wanted);
        }
    )*};
}

const NONE: Option<&str> = None;

case! {
    chosen_then_sibling_then_near: [("r0-z1", 1.0)], [], "r2-z0", NONE
        => ["r0-z1", "r0-z1", "r0-z0", "r1-z1"];
    one_host_left: [("r0-z1", 1.0)], ["r0-z1-h0"], "r0-z0", NONE
        => ["r0-z1", "r0-z0", "r1-z1", "r2-z1"];
    dead_zone_is_passed_over: [("r0-z1", 0.9), ("r0-z0", 0.1)], ["r0-z1"], "r0-z0", NONE
        => ["r0-z0", "r0-z0", "r1-z1", "r2-z1"];
    draining_zone_is_passed_over: [("r0-z1", 0.9), ("r0-z0", 0.1)], [], "r0-z0", Some("r0-z1")
        => ["r0-z0", "r0-z0", "r1-z1", "r2-z1"];
    dead_region_goes_to_the_nearest: [("r0-z1", 1.0)], ["r0"], "r1-z0", NONE
        => ["r1-z1", "r1-z1", "r1-z0", "r2-z1"];
    cut_off_zone_names_itself: [("r1-z1", 1.0)], ["r0", "r1", "r2-z0"], "r2-z1", NONE
        => ["r2-z1", "r2-z1"];
    no_split_yet: [], [], "r0-z0", NONE => ["r0-z1", "r0-z1", "r0-z0", "r1-z1"];
    split_abroad: [("r2-z0", 1.0)], [], "r0-z0", NONE => ["r2-z0", "r2-z0", "r2-z1", "r0-z1"];
    nobody_left: [("r0-z1", 1.0)], ["r"], "r0-z0", NONE => [];
}

#[test]
fn blocks_spread_over_hosts_and_stay_while_their_host_lives() {
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
fn a_spread_divides_a_block_and_unknown_callers_are_at_home() {
    let catalog = catalog(SMALL);
    let shares = [("r0-z0", 0.5), ("r0-z1", 0.5)];
    let snapshot = snapshot(&catalog, &shares, &[], "r1-z0");
    let client = "192.0.2.1".parse().expect("an address");
    let first = |spread| snapshot.answer(service(&catalog), client, spread);
    assert_eq!(first(0).locality, region(&catalog, "r1"));
    let chosen: BTreeSet<_> = (0..50).map(|spread| first(spread).zone).collect();
    assert_eq!(chosen.len(), 2);
}
