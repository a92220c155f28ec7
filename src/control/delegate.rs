//! Selects the delegates of a zone: the hosts that communicate with the platform and with other
//! zones.
//!
//! Each zone has two, selected by rendezvous hashing over its live hosts, so a host that joins or
//! leaves changes the delegates only if it is, or becomes, one of the two. Hosts with a different
//! view of the membership may select others for a while, which costs calls and breaks nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::detector::INTERVAL;
use super::membership::Membership;
use crate::catalog::{Catalog, HostKey, State, ZoneKey};

/// Number of delegates of a zone.
pub const DELEGATES_PER_ZONE: usize = 2;
/// Maximum number of hosts of a zone that are all linked with each other.
pub const MAX_FULL_MESH: usize = 48;
/// Links of a host to other hosts of a larger zone, besides those to its delegates.
pub const NEIGHBOUR_LINKS: usize = 12;
/// Number of hosts to which each host forwards what its delegate sends to its zone.
pub const TREE_FANOUT: usize = 2;
/// Number of links to other zones up to which heartbeats between zones are as frequent as within a
/// zone.
const MAX_FREQUENT_LINKS: usize = 24;
/// Interval between heartbeats to other zones above that number.
const SLOW_INTERVAL: Duration = Duration::from_secs(1);

fn score(seed: &str, host: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(seed.as_bytes());
    hash.update(&[0]);
    hash.update(host.as_bytes());
    hash.digest()
}

/// The `count` highest-ranked of `hosts` for `seed`, highest first.
fn rank(
    catalog: &Catalog,
    seed: &str,
    hosts: impl Iterator<Item = HostKey>,
    count: usize,
) -> Vec<HostKey> {
    let mut ranked: Vec<(u64, HostKey)> = hosts
        .map(|host| (score(seed, &catalog.host(host).name), host))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// Selects the delegates from the live hosts of a zone, highest-ranked first.
pub fn choose_delegates(
    zone: ZoneKey,
    live: &BTreeSet<HostKey>,
    catalog: &Catalog,
) -> Vec<HostKey> {
    let hosts = live.iter().copied();
    rank(catalog, &catalog.zone(zone).name, hosts, DELEGATES_PER_ZONE)
}

/// The delegates of a zone as `membership` sees it. If no host is known to be alive, hosts that
/// were not tried yet come first, then those whose link failed longest ago.
pub fn zone_delegates(zone: ZoneKey, membership: &Membership, catalog: &Catalog) -> Vec<HostKey> {
    let live = membership.zone_hosts(zone);
    if !live.is_empty() {
        return choose_delegates(zone, &live, catalog);
    }
    let hosts = configured_hosts(zone, catalog).into_iter();
    let mut ranked = rank(catalog, &catalog.zone(zone).name, hosts, usize::MAX);
    ranked.sort_by_key(|&host| membership.link_failed(host));
    ranked.truncate(DELEGATES_PER_ZONE);
    ranked
}

/// Whether `host` is a delegate of its zone.
pub fn is_delegate(host: HostKey, membership: &Membership, catalog: &Catalog) -> bool {
    zone_delegates(catalog.host(host).zone, membership, catalog).contains(&host)
}

fn configured_hosts(zone: ZoneKey, catalog: &Catalog) -> BTreeSet<HostKey> {
    catalog
        .hosts()
        .filter(|(_, host)| host.zone == zone)
        .map(|(key, _)| key)
        .filter(|&key| catalog.host_state(key) != State::Off)
        .collect()
}

/// The hosts that `host` should be linked with: all of its zone, or some if there are many, and for
/// a delegate also the delegates of the other zones.
pub fn wanted_links(
    host: HostKey,
    membership: &Membership,
    catalog: &Catalog,
) -> BTreeSet<HostKey> {
    let zone = catalog.host(host).zone;
    let mut links = zone_links(host, zone, membership, catalog);
    if is_delegate(host, membership, catalog) {
        let others = catalog
            .zones()
            .map(|(key, _)| key)
            .filter(|&key| key != zone);
        links.extend(others.flat_map(|other| zone_delegates(other, membership, catalog)));
    }
    links.remove(&host);
    links
}

fn zone_links(
    host: HostKey,
    zone: ZoneKey,
    membership: &Membership,
    catalog: &Catalog,
) -> BTreeSet<HostKey> {
    let hosts = configured_hosts(zone, catalog);
    let delegates = zone_delegates(zone, membership, catalog);
    if hosts.len() <= MAX_FULL_MESH || delegates.contains(&host) {
        return hosts;
    }
    let neighbours = |from: HostKey| {
        let others = hosts.iter().copied().filter(move |&other| other != from);
        rank(
            catalog,
            &catalog.host(from).name,
            others,
            NEIGHBOUR_LINKS / 2,
        )
    };
    let mut links: BTreeSet<HostKey> = delegates.into_iter().collect();
    links.extend(neighbours(host));
    links.extend(
        hosts
            .iter()
            .filter(|&&other| other != host && neighbours(other).contains(&host)),
    );
    links
}

/// Interval between the heartbeats of a host on its links to other zones, by their number.
pub fn heartbeat_interval(links: usize) -> Duration {
    if links <= MAX_FREQUENT_LINKS {
        INTERVAL
    } else {
        SLOW_INTERVAL
    }
}

/// The hosts of its zone to which `host` forwards what `root` sends to all of them: its children in
/// a tree with [`TREE_FANOUT`] branches over the live hosts. Hosts with a different view of the
/// membership may be left out for a while. They request what they missed once they notice.
pub fn branches(
    root: HostKey,
    host: HostKey,
    live: &BTreeSet<HostKey>,
    catalog: &Catalog,
) -> Vec<HostKey> {
    let others = live.iter().copied().filter(|&other| other != root);
    let mut order = rank(catalog, &catalog.host(root).name, others, usize::MAX);
    order.insert(0, root);
    let Some(position) = order.iter().position(|&other| other == host) else {
        return Vec::new();
    };
    let first = (TREE_FANOUT * position + 1).min(order.len());
    let end = (first + TREE_FANOUT).min(order.len());
    order[first..end].to_vec()
}
