//! What must hold between the values of a configuration.
//!
//! The rules read the tree rather than the generated types, so that they also find their faults
//! when other values are of the wrong type.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::fault::Problems;
use super::shape::suggestion;
use super::tree::{Place, View};

/// The longest name, in bytes.
const LONGEST_NAME: usize = 64;
/// Names in `limits.shift` that are not services.
const CAPS: [&str; 2] = ["default", "failover"];
/// Keys whose values are names of records: the section, the key, the section of the record.
const REFERENCES: [(&str, &str, &str); 6] = [
    ("availability_zones", "region", "regions"),
    ("hosts", "availability_zone", "availability_zones"),
    ("targets", "service", "services"),
    ("targets", "availability_zone", "availability_zones"),
    ("links", "from", "regions"),
    ("links", "to", "regions"),
];
/// Keys whose values are addresses to connect to.
const ADDRESSES: [(&str, &str); 3] = [
    ("hosts", "address"),
    ("hosts", "peer_address"),
    ("targets", "address"),
];
/// Sections whose keys are names.
const NAMED: [&str; 6] = [
    "regions",
    "availability_zones",
    "hosts",
    "services",
    "targets",
    "links",
];

/// Notes all that is wrong between the values of `root`. `callers` are the regions that have
/// client blocks.
pub(super) fn check(root: View<'_>, callers: &[Arc<str>], problems: &mut Problems) {
    check_names(root, problems);
    for (section, key, wanted) in REFERENCES {
        check_references(root, section, key, wanted, problems);
    }
    check_addresses(root, problems);
    check_links(root, problems);
    check_caps(root, problems);
    check_zones(root, problems);
    check_services(root, callers, problems);
}

/// Notes client blocks whose region is not there.
pub(super) fn check_clients(root: View<'_>, problems: &mut Problems) {
    check_references(root, "clients", "region", "regions", problems);
}

fn check_names(root: View<'_>, problems: &mut Problems) {
    for section in NAMED {
        for entry in root.section(section) {
            let key = entry.key();
            if let Some(problem) = name_problem(&key) {
                problems.add(entry.key_place(), &[section, &key], problem);
            }
        }
    }
    for service in root.section("services") {
        if let Some((class, place)) = service.named("class") {
            if let Some(problem) = name_problem(&class) {
                problems.add(place, &["services", &service.key(), "class"], problem);
            }
        }
    }
}

/// What is wrong with a name. Names stand in URLs, headers and labels of metrics.
pub(super) fn name_problem(name: &str) -> Option<String> {
    let is_inner = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let is_good = name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(is_inner)
        && name.len() <= LONGEST_NAME;
    let rule = "1 to 64 letters, digits, '-', '_' or '.', first a letter or digit";
    (!is_good).then(|| format!("'{name}' is not a name: {rule}"))
}

/// Notes entries of `section` whose `key` names nothing in the section `wanted`.
fn check_references(
    root: View<'_>,
    section: &str,
    key: &str,
    wanted: &str,
    problems: &mut Problems,
) {
    let known: BTreeSet<Cow<'_, str>> = root.section(wanted).map(View::key).collect();
    for entry in root.section(section) {
        let Some((name, place)) = entry.named(key) else {
            continue;
        };
        if !known.contains(&name) {
            let hint = suggestion(&name, known.iter().map(AsRef::as_ref));
            let problem = format!("no '{name}' in {wanted}{hint}");
            problems.add(place, &[section, &entry.key(), key], problem);
        }
    }
}

/// Where an address stands, and its path.
type Use<'t> = (Place, [Cow<'t, str>; 3]);

fn check_addresses(root: View<'_>, problems: &mut Problems) {
    let mut seen: BTreeMap<SocketAddr, Vec<Use<'_>>> = BTreeMap::new();
    for (section, key) in ADDRESSES {
        for entry in root.section(section) {
            let Some((text, place)) = entry.named(key) else {
                continue;
            };
            let path = [section.into(), entry.key(), key.into()];
            match address(&text) {
                Ok(address) => seen.entry(address).or_default().push((place, path)),
                Err(problem) => problems.add(place, &path, problem),
            }
        }
    }
    for (address, mut uses) in seen {
        uses.sort();
        let first = uses[0].1.join(".");
        for (place, path) in &uses[1..] {
            problems.add(*place, path, format!("{address} is also {first}"));
        }
    }
}

/// An address that others can connect to.
fn address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text
        .parse()
        .map_err(|_| format!("'{text}' is not IP:PORT"))?;
    if address.port() == 0 {
        return Err(format!("'{text}': nobody can connect to port 0"));
    }
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(format!("'{text}': nobody can connect to {}", address.ip()));
    }
    Ok(address)
}

fn check_links(root: View<'_>, problems: &mut Problems) {
    let mut seen: BTreeMap<(Cow<'_, str>, Cow<'_, str>), Vec<View<'_>>> = BTreeMap::new();
    for entry in root.section("links") {
        let (Some((from, _)), Some((to, place))) = (entry.named("from"), entry.named("to")) else {
            continue;
        };
        if from == to {
            let problem = format!("links '{from}' to itself");
            problems.add(place, &["links", &entry.key(), "to"], problem);
        } else {
            seen.entry((from, to)).or_default().push(entry);
        }
    }
    for ((from, to), mut links) in seen {
        links.sort_by_key(|entry| entry.key_place());
        let first = links[0].key();
        for entry in &links[1..] {
            let problem = format!("'{first}' already links '{from}' to '{to}'");
            problems.add(entry.key_place(), &["links", &entry.key()], problem);
        }
    }
}

fn check_caps(root: View<'_>, problems: &mut Problems) {
    let services: BTreeSet<Cow<'_, str>> = root.section("services").map(View::key).collect();
    let limits = root.get("limits");
    for entry in limits.iter().flat_map(|limits| limits.section("shift")) {
        let key = entry.key();
        if services.contains(&key) || CAPS.contains(&key.as_ref()) {
            continue;
        }
        let known = services.iter().map(AsRef::as_ref).chain(CAPS);
        let hint = suggestion(&key, known);
        let problem = format!("is neither 'default', 'failover' nor a service{hint}");
        problems.add(entry.key_place(), &["limits", "shift", &key], problem);
    }
    for entry in root.section("services") {
        let key = entry.key();
        if CAPS.contains(&key.as_ref()) {
            let problem = "is the name of a cap in limits.shift; choose another".into();
            problems.add(entry.key_place(), &["services", &key], problem);
        }
    }
}

/// A target is used through the entry hosts of its own availability zone, so a zone with targets
/// needs hosts. A zone, region or host that is draining is planned work and no fault.
fn check_zones(root: View<'_>, problems: &mut Problems) {
    let targets = root.section("targets").filter(|&target| !is_off(target));
    let used: BTreeSet<Cow<'_, str>> = targets.filter_map(zone_name).collect();
    let mut hosts: BTreeMap<Cow<'_, str>, Vec<View<'_>>> = BTreeMap::new();
    for host in root.section("hosts") {
        if let Some(zone) = zone_name(host) {
            hosts.entry(zone).or_default().push(host);
        }
    }
    for zone in root.section("availability_zones") {
        let key = zone.key();
        if !used.contains(&key) || is_off(zone) || is_in_region_off(root, zone) {
            continue;
        }
        let problem = match hosts.get(&key) {
            None => "has targets and no hosts, so nothing can reach them",
            Some(hosts) if hosts.iter().all(|&host| is_off(host)) => {
                "has targets and all its hosts are off, so nothing can reach them"
            }
            Some(_) => continue,
        };
        let path = ["availability_zones", &key];
        problems.add(zone.key_place(), &path, problem.into());
    }
}

fn zone_name(entry: View<'_>) -> Option<Cow<'_, str>> {
    entry.named("availability_zone").map(|(name, _)| name)
}

fn is_off(entry: View<'_>) -> bool {
    let state = entry.named("state");
    state.is_some_and(|(state, _)| state == "off")
}

fn is_in_region_off(root: View<'_>, zone: View<'_>) -> bool {
    let region = zone.named("region").and_then(|(name, _)| {
        let regions = root.get("regions")?;
        regions.get(&name)
    });
    region.is_some_and(is_off)
}

/// A service needs targets, and callers of every region need a way to some of them.
fn check_services(root: View<'_>, callers: &[Arc<str>], problems: &mut Problems) {
    let links: BTreeSet<(Cow<'_, str>, Cow<'_, str>)> = root
        .section("links")
        .filter_map(|link| Some((link.named("from")?.0, link.named("to")?.0)))
        .collect();
    let is_linked = |from: &str, to: &str| links.contains(&(from.into(), to.into()));
    let regions = regions_by_service(root);
    for service in root.section("services") {
        let key = service.key();
        let path = ["services", &key];
        let Some(regions) = regions.get(&key) else {
            problems.add(service.key_place(), &path, "has no targets".into());
            continue;
        };
        for caller in callers.iter().filter(|caller| !caller.is_empty()) {
            let is_reached = |region: &Cow<'_, str>| {
                region.as_ref() == caller.as_ref() || is_linked(caller, region)
            };
            if !regions.iter().any(is_reached) {
                let problem =
                    format!("cannot be reached from '{caller}': no targets there and no link");
                problems.add(service.key_place(), &path, problem);
            }
        }
    }
}

/// The regions in which each service has targets.
fn regions_by_service(root: View<'_>) -> BTreeMap<Cow<'_, str>, BTreeSet<Cow<'_, str>>> {
    let zones: BTreeMap<Cow<'_, str>, Cow<'_, str>> = root
        .section("availability_zones")
        .filter_map(|zone| Some((zone.key(), zone.named("region")?.0)))
        .collect();
    let mut regions: BTreeMap<Cow<'_, str>, BTreeSet<Cow<'_, str>>> = BTreeMap::new();
    for target in root.section("targets") {
        let Some((service, _)) = target.named("service") else {
            continue;
        };
        let regions = regions.entry(service).or_default();
        regions.extend(zone_name(target).and_then(|zone| zones.get(&zone).cloned()));
    }
    regions
}
