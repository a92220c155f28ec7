//! Rules on the relations between the values of a configuration, such as references and unique
//! addresses.
//!
//! The rules read the tree rather than the generated types, so that they also report their faults
//! when other values are of the wrong type.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::fault::Problems;
use super::shape::suggestion;
use super::tree::{Position, View};

/// The maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Keys of `limits.shift` that are not names of services.
const GENERAL_CAPS: [&str; 2] = ["default", "failover"];
/// Keys whose values are names of records: the section, the key, and the section that has the
/// named record.
const REFERENCES: [(&str, &str, &str); 6] = [
    ("availability_zones", "region", "regions"),
    ("hosts", "availability_zone", "availability_zones"),
    ("targets", "service", "services"),
    ("targets", "availability_zone", "availability_zones"),
    ("links", "from", "regions"),
    ("links", "to", "regions"),
];
/// Keys whose values are addresses to connect to.
const ADDRESS_KEYS: [(&str, &str); 3] = [
    ("hosts", "address"),
    ("hosts", "peer_address"),
    ("targets", "address"),
];
/// Sections whose keys must be valid names.
const NAMED_SECTIONS: [&str; 6] = [
    "regions",
    "availability_zones",
    "hosts",
    "services",
    "targets",
    "links",
];

/// Checks all rules but that of [`check_clients`] and adds the problems to `problems`.
/// `caller_regions` are the regions that have client blocks.
pub(super) fn check(root: View<'_>, caller_regions: &[Arc<str>], problems: &mut Problems) {
    check_names(root, problems);
    for (section, key, referenced) in REFERENCES {
        check_references(root, section, key, referenced, problems);
    }
    check_addresses(root, problems);
    check_links(root, problems);
    check_caps(root, problems);
    check_zones(root, problems);
    check_services(root, caller_regions, problems);
}

/// Reports client blocks whose region does not exist.
pub(super) fn check_clients(root: View<'_>, problems: &mut Problems) {
    check_references(root, "clients", "region", "regions", problems);
}

/// Reports invalid names of records and of services' classes.
fn check_names(root: View<'_>, problems: &mut Problems) {
    for section in NAMED_SECTIONS {
        for entry in root.section_entries(section) {
            let key = entry.key();
            if let Some(problem) = name_problem(&key) {
                problems.add(entry.key_position(), &[section, &key], problem);
            }
        }
    }
    for service in root.section_entries("services") {
        if let Some((class, position)) = service.string("class") {
            if let Some(problem) = name_problem(&class) {
                problems.add(position, &["services", &service.key(), "class"], problem);
            }
        }
    }
}

/// Returns the problem of an invalid name. Names are limited to characters that are safe in URLs,
/// headers and labels of metrics.
pub(super) fn name_problem(name: &str) -> Option<String> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let is_valid = name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(is_name_char)
        && name.len() <= MAX_NAME_BYTES;
    let rule = "1 to 64 letters, digits, '-', '_' or '.', first a letter or digit";
    (!is_valid).then(|| format!("'{name}' is not a name: {rule}"))
}

/// Reports entries of `section` whose `key` names no record of the section `referenced`.
fn check_references(
    root: View<'_>,
    section: &str,
    key: &str,
    referenced: &str,
    problems: &mut Problems,
) {
    let known: BTreeSet<Cow<'_, str>> = root.section_entries(referenced).map(View::key).collect();
    for entry in root.section_entries(section) {
        let Some((name, position)) = entry.string(key) else {
            continue;
        };
        if !known.contains(&name) {
            let hint = suggestion(&name, known.iter().map(AsRef::as_ref));
            let problem = format!("no '{name}' in {referenced}{hint}");
            problems.add(position, &[section, &entry.key(), key], problem);
        }
    }
}

/// The position and the path of a value that holds an address.
type AddressUse<'t> = (Position, [Cow<'t, str>; 3]);

/// Reports invalid addresses and addresses that occur more than once.
fn check_addresses(root: View<'_>, problems: &mut Problems) {
    let mut seen: BTreeMap<SocketAddr, Vec<AddressUse<'_>>> = BTreeMap::new();
    for (section, key) in ADDRESS_KEYS {
        for entry in root.section_entries(section) {
            let Some((text, position)) = entry.string(key) else {
                continue;
            };
            let path = [section.into(), entry.key(), key.into()];
            match parse_address(&text) {
                Ok(address) => seen.entry(address).or_default().push((position, path)),
                Err(problem) => problems.add(position, &path, problem),
            }
        }
    }
    for (address, mut uses) in seen {
        uses.sort();
        let first = uses[0].1.join(".");
        for (position, path) in &uses[1..] {
            problems.add(*position, path, format!("{address} is also {first}"));
        }
    }
}

/// Parses an address that other hosts can connect to: port 0, unspecified and multicast addresses
/// are rejected.
fn parse_address(text: &str) -> Result<SocketAddr, String> {
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

/// Reports links from a region to itself and several links between the same two regions.
fn check_links(root: View<'_>, problems: &mut Problems) {
    let mut seen: BTreeMap<(Cow<'_, str>, Cow<'_, str>), Vec<View<'_>>> = BTreeMap::new();
    for entry in root.section_entries("links") {
        let (Some((from, _)), Some((to, position))) = (entry.string("from"), entry.string("to"))
        else {
            continue;
        };
        if from == to {
            let problem = format!("links '{from}' to itself");
            problems.add(position, &["links", &entry.key(), "to"], problem);
        } else {
            seen.entry((from, to)).or_default().push(entry);
        }
    }
    for ((from, to), mut links) in seen {
        links.sort_by_key(|entry| entry.key_position());
        let first = links[0].key();
        for entry in &links[1..] {
            let problem = format!("'{first}' already links '{from}' to '{to}'");
            problems.add(entry.key_position(), &["links", &entry.key()], problem);
        }
    }
}

/// Reports caps in `limits.shift` that belong to no service, and services whose name is that of a
/// general cap.
fn check_caps(root: View<'_>, problems: &mut Problems) {
    let services: BTreeSet<Cow<'_, str>> =
        root.section_entries("services").map(View::key).collect();
    let limits = root.get("limits");
    for entry in limits
        .iter()
        .flat_map(|limits| limits.section_entries("shift"))
    {
        let key = entry.key();
        if services.contains(&key) || GENERAL_CAPS.contains(&key.as_ref()) {
            continue;
        }
        let known = services.iter().map(AsRef::as_ref).chain(GENERAL_CAPS);
        let hint = suggestion(&key, known);
        let problem = format!("is neither 'default', 'failover' nor a service{hint}");
        problems.add(entry.key_position(), &["limits", "shift", &key], problem);
    }
    for entry in root.section_entries("services") {
        let key = entry.key();
        if GENERAL_CAPS.contains(&key.as_ref()) {
            let problem = "is the name of a cap in limits.shift; choose another".into();
            problems.add(entry.key_position(), &["services", &key], problem);
        }
    }
}

/// Reports zones that have targets but no hosts: requests reach a target only through the entry
/// hosts of its own availability zone. A draining zone, region or host is planned work and not a
/// fault, and zones that are off are skipped.
fn check_zones(root: View<'_>, problems: &mut Problems) {
    let targets = root
        .section_entries("targets")
        .filter(|&target| !is_off(target));
    let zones_with_targets: BTreeSet<Cow<'_, str>> = targets.filter_map(zone_name).collect();
    let mut hosts: BTreeMap<Cow<'_, str>, Vec<View<'_>>> = BTreeMap::new();
    for host in root.section_entries("hosts") {
        if let Some(zone) = zone_name(host) {
            hosts.entry(zone).or_default().push(host);
        }
    }
    for zone in root.section_entries("availability_zones") {
        let key = zone.key();
        if !zones_with_targets.contains(&key) || is_off(zone) || is_region_off(root, zone) {
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
        problems.add(zone.key_position(), &path, problem.into());
    }
}

fn zone_name(entry: View<'_>) -> Option<Cow<'_, str>> {
    entry.string("availability_zone").map(|(name, _)| name)
}

fn is_off(entry: View<'_>) -> bool {
    let state = entry.string("state");
    state.is_some_and(|(state, _)| state == "off")
}

/// Whether the region of a zone is off.
fn is_region_off(root: View<'_>, zone: View<'_>) -> bool {
    let region = zone.string("region").and_then(|(name, _)| {
        let regions = root.get("regions")?;
        regions.get(&name)
    });
    region.is_some_and(is_off)
}

/// Reports services without targets, and services that callers of a region cannot reach because
/// the region neither has targets of the service nor a link to a region that has them.
fn check_services(root: View<'_>, caller_regions: &[Arc<str>], problems: &mut Problems) {
    let links: BTreeSet<(Cow<'_, str>, Cow<'_, str>)> = root
        .section_entries("links")
        .filter_map(|link| Some((link.string("from")?.0, link.string("to")?.0)))
        .collect();
    let is_linked = |from: &str, to: &str| links.contains(&(from.into(), to.into()));
    let regions = regions_by_service(root);
    for service in root.section_entries("services") {
        let key = service.key();
        let path = ["services", &key];
        let Some(regions) = regions.get(&key) else {
            problems.add(service.key_position(), &path, "has no targets".into());
            continue;
        };
        for caller in caller_regions.iter().filter(|caller| !caller.is_empty()) {
            let is_reachable = |region: &Cow<'_, str>| {
                region.as_ref() == caller.as_ref() || is_linked(caller, region)
            };
            if !regions.iter().any(is_reachable) {
                let problem =
                    format!("cannot be reached from '{caller}': no targets there and no link");
                problems.add(service.key_position(), &path, problem);
            }
        }
    }
}

/// The regions in which each service has targets, by name of the service.
fn regions_by_service(root: View<'_>) -> BTreeMap<Cow<'_, str>, BTreeSet<Cow<'_, str>>> {
    let zones: BTreeMap<Cow<'_, str>, Cow<'_, str>> = root
        .section_entries("availability_zones")
        .filter_map(|zone| Some((zone.key(), zone.string("region")?.0)))
        .collect();
    let mut regions: BTreeMap<Cow<'_, str>, BTreeSet<Cow<'_, str>>> = BTreeMap::new();
    for target in root.section_entries("targets") {
        let Some((service, _)) = target.string("service") else {
            continue;
        };
        let regions = regions.entry(service).or_default();
        regions.extend(zone_name(target).and_then(|zone| zones.get(&zone).cloned()));
    }
    regions
}
