//! Selection of hosts while some can't reach targets: for look-ups, and to forward requests.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortfold::control::presence::{
    Heartbeat, HostRecord, Presence, StoreView, Strength, INTERVAL,
};
use ragwortfold::port::Question;

/// The hosts beside `a0`, by zone: the first letter of a name is that of its zone.
const HOSTS: [&str; 6] = ["a1", "a2", "b0", "b1", "s0", "s1"];

fn zone_of(host: &str) -> &'static str {
    match &host[..1] {
        "a" => "n-a",
        "b" => "n-b",
        _ => "s-a",
    }
}

fn address_of(host: &str) -> SocketAddr {
    let bytes = host.as_bytes();
    SocketAddr::from(([127, 0, bytes[0], bytes[1]], 7105))
}

fn record(host: &str) -> HostRecord {
    HostRecord {
        host: host.into(),
        zone: zone_of(host).into(),
        front: address_of(host),
        peers: address_of(host),
        feed: address_of(host),
        incarnation: 1,
        strength: Strength {
            cores: 0.2,
            megabits: 1000.0,
        },
    }
}

/// The view of `a0`, which hears all others; `rate` is the rate of requests at each of these.
fn presence(now: Instant, rate: u32) -> Presence {
    let regions = [("n-a", "n"), ("n-b", "n"), ("s-a", "s")];
    let regions: BTreeMap<Arc<str>, Arc<str>> = regions
        .map(|(zone, region)| (zone.into(), region.into()))
        .into();
    let mut presence = Presence::new(now, record("a0"), regions);
    presence.set_store_view(StoreView::Relayed);
    presence.mark_listed();
    for host in HOSTS {
        presence.receive_heartbeat(
            now,
            Heartbeat {
                record: record(host),
                leaving: false,
                store_view: StoreView::Relayed,
                rate,
            },
        );
    }
    presence
}

fn announce(presence: &mut Presence, now: Instant, hosts: &[&str], is_cut_off: bool) {
    for host in hosts {
        presence.receive_cut_off(now, address_of(host), is_cut_off);
    }
}

/// The hosts that may forward requests with any of a hundred keys.
fn relays(presence: &Presence, now: Instant, homes: &[&str], skip: &[&str]) -> BTreeSet<String> {
    let homes: BTreeSet<Arc<str>> = homes.iter().map(|home| Arc::from(*home)).collect();
    let keys = (0..100u64).map(|key| key.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let chosen = keys.filter_map(|key| {
        presence.relay_host(now, key, &homes, |record| skip.contains(&&*record.host))
    });
    chosen.map(|record| record.host.to_string()).collect()
}

/// Which hosts forward requests of `a0`, given the hosts that are cut off, the rate of all others, home regions, and
/// hosts that were tried.
macro_rules! relay_cases {
    ($($name:ident: $cut_off:expr, $rate:expr, $homes:expr, $skip:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut presence = presence(now, $rate);
            presence.count_request(now);
            let later = now + Duration::from_millis(1100);
            presence.pulse(later);
            announce(&mut presence, now, &$cut_off, true);
            let expected: BTreeSet<String> = $expected.map(str::to_owned).into();
            assert_eq!(relays(&presence, later, &$homes, &$skip), expected);
        }
    )*};
}

relay_cases! {
    hosts_of_the_zone_come_first: [], 10, [], [] => ["a1", "a2"];
    hosts_that_are_cut_off_are_not_used: ["a1"], 10, [], [] => ["a2"];
    the_region_comes_next: ["a1", "a2"], 10, [], [] => ["b0", "b1"];
    a_busy_zone_shares_with_its_region: [], 160, [], [] => ["a1", "a2", "b0", "b1"];
    other_regions_come_last: ["a1", "a2", "b0", "b1"], 10, [], [] => ["s0", "s1"];
    home_regions_are_kept: ["a1", "a2", "b0", "b1"], 10, ["n"], [] => [];
    home_regions_may_be_elsewhere: [], 10, ["s"], [] => ["s0", "s1"];
    tried_hosts_are_not_used: [], 10, [], ["a1"] => ["a2"];
}

#[test]
fn an_announcement_lapses() {
    let now = Instant::now();
    let mut presence = presence(now, 10);
    announce(&mut presence, now, &["a1"], true);
    let after = |time: Duration| relays(&presence, now + time, &[], &[]).contains("a1");
    assert!(!after(INTERVAL * 2));
    assert!(after(INTERVAL * 3));
}

#[test]
fn an_announcement_is_taken_back() {
    let now = Instant::now();
    let mut presence = presence(now, 10);
    announce(&mut presence, now, &["a1"], true);
    announce(&mut presence, now, &["a1"], false);
    assert!(relays(&presence, now, &[], &[]).contains("a1"));
}

/// The hosts that look-ups name to some callers of zone `n-a`.
fn named(presence: &Presence, now: Instant) -> BTreeSet<SocketAddr> {
    let question = Question {
        region: "n".into(),
        zone: "n-a".into(),
    };
    let callers = (0..100).map(|caller| IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)));
    let named = callers.flat_map(|caller| presence.lookup_hosts(now, &question, caller));
    named.collect()
}

/// Whose callers of zone `n-a` are named which hosts, given those that are cut off, with or without `a0` itself.
macro_rules! lookup_cases {
    ($($name:ident: $cut_off:expr, $own:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut presence = presence(now, 10);
            announce(&mut presence, now, &$cut_off, true);
            presence.set_cut_off($own);
            let expected: BTreeSet<SocketAddr> = $expected.map(address_of).into();
            assert_eq!(named(&presence, now), expected);
        }
    )*};
}

lookup_cases! {
    all_hosts_of_a_zone_are_named: [], false => ["a0", "a1", "a2"];
    a_host_that_is_cut_off_is_not_named: ["a1"], false => ["a0", "a2"];
    the_own_host_is_not_named_either: [], true => ["a1", "a2"];
    hosts_of_the_region_stand_in_for_a_zone: ["a1", "a2"], true => ["b0", "b1"];
    hosts_are_named_if_none_of_the_region_reaches_targets: ["a1", "a2", "b0", "b1"], true => ["a0", "a1", "a2"];
}
