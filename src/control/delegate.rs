//! The hosts of a zone that talk to the platform and to other zones.
//!
//! Two a zone, by rendezvous hashing over its live hosts: a host that comes or goes changes the
//! delegates only if it is, or becomes, one of the two. Hosts that see the membership otherwise
//! may choose others for a while, which costs calls and breaks nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::detector::INTERVAL;
use super::membership::Membership;
use crate::catalog::{Catalog, HostKey, State, ZoneKey};

/// Delegates of a zone.
pub const COUNT: usize = 2;
/// Most hosts of a zone that are all linked with each other.
pub const MESH: usize = 48;
/// Links of a host to others of its zone when the zone is larger than that, besides its delegates.
pub const NEIGHBOURS: usize = 12;
/// Hosts to which each passes on what its delegate sends to its zone.
pub const FAN: usize = 2;
/// Links to other zones up to which heartbeats between zones are as frequent as within one.
const FREQUENT: usize = 24;
/// Time between heartbeats to other zones above that.
const SLOW: Duration = Duration::from_secs(1);

fn score(seed: &str, host: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(seed.as_bytes());
    hash.update(&[0]);
    hash.update(host.as_bytes());
    hash.digest()
}

/// The best `count` of `hosts` for `seed`, best first.
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

/// The delegates among the live hosts of a zone, best first.
pub fn choose(zone: ZoneKey, live: &BTreeSet<HostKey>, catalog: &Catalog) -> Vec<HostKey> {
    let hosts = live.iter().copied();
    rank(catalog, &catalog.zone(zone).name, hosts, COUNT)
}

/// The delegates of a zone as `membership` sees it. Where nobody is known to be alive, hosts that
/// were not yet tried come first, then those whose link failed longest ago.
pub fn of(zone: ZoneKey, membership: &Membership, catalog: &Catalog) -> Vec<HostKey> {
    let live = membership.zone_hosts(zone);
    if !live.is_empty() {
        return choose(zone, &live, catalog);
    }
    let hosts = configured(zone, catalog).into_iter();
    let mut ranked = rank(catalog, &catalog.zone(zone).name, hosts, usize::MAX);
    ranked.sort_by_key(|&host| membership.link_failed(host));
    ranked.truncate(COUNT);
    ranked
}

/// Whether `host` is a delegate of its zone.
pub fn is_delegate(host: HostKey, membership: &Membership, catalog: &Catalog) -> bool {
    of(catalog.host(host).zone, membership, catalog).contains(&host)
}

fn configured(zone: ZoneKey, catalog: &Catalog) -> BTreeSet<HostKey> {
    catalog
        .hosts()
        .filter(|(_, host)| host.zone == zone)
        .map(|(key, _)| key)
        .filter(|&key| catalog.host_state(key) != State::Off)
        .collect()
}

/// The hosts with which `host` is to be linked: all of its zone, or some if there are many; and
/// for a delegate the delegates of the other zones.
pub fn links(host: HostKey, membership: &Membership, catalog: &Catalog) -> BTreeSet<HostKey> {
    let zone = catalog.host(host).zone;
    let mut links = zone_links(host, zone, membership, catalog);
    if is_delegate(host, membership, catalog) {
        let others = catalog
            .zones()
            .map(|(key, _)| key)
            .filter(|&key| key != zone);
        links.extend(others.flat_map(|other| of(other, membership, catalog)));
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
    let hosts = configured(zone, catalog);
    let delegates = of(zone, membership, catalog);
    if hosts.len() <= MESH || delegates.contains(&host) {
        return hosts;
    }
    let near = |from: HostKey| {
        let others = hosts.iter().copied().filter(move |&other| other != from);
        rank(catalog, &catalog.host(from).name, others, NEIGHBOURS / 2)
    };
    let mut links: BTreeSet<HostKey> = delegates.into_iter().collect();
    links.extend(near(host));
    links.extend(
        hosts
            .iter()
            .filter(|&&other| other != host && near(other).contains(&host)),
    );
    links
}

/// Time between the heartbeats of a host on its links to other zones, by how many there are.
pub fn interval(links: usize) -> Duration {
    if links <= FREQUENT {
        INTERVAL
    } else {
        SLOW
    }
}

/// The hosts of its zone to which `host` passes on what `root` sends to all of them: a tree of
/// [`FAN`] branches over the live hosts. Hosts that see the membership otherwise may be left out
/// for a while; they ask when they notice.
pub fn branches(
    root: HostKey,
    host: HostKey,
    live: &BTreeSet<HostKey>,
    catalog: &Catalog,
) -> Vec<HostKey> {
    let others = live.iter().copied().filter(|&other| other != root);
    let mut order = rank(catalog, &catalog.host(root).name, others, usize::MAX);
    order.insert(0, root);
    let Some(place) = order.iter().position(|&other| other == host) else {
        return Vec::new();
    };
    let first = (FAN * place + 1).min(order.len());
    let end = (first + FAN).min(order.len());
    order[first..end].to_vec()
}
