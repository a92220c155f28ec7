//! What must hold between the values of a configuration.
//!
//! The rules read the tree rather than the generated types, so that they also find their faults
//! when other values are of the wrong type.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;

use super::fault::Problems;
use super::shape::suggestion;
use super::tree::{Entry, Node, Place};

/// The longest name, in bytes.
const LONGEST_NAME: usize = 64;
/// Names in `limits.shift` that are not services.
const CAPS: [&str; 2] = ["default", "failover"];
/// Keys whose values are names of records: the section, the key, the section of the record.
const REFERENCES: [(&str, &str, &str); 7] = [
    ("availability_zones", "region", "regions"),
    ("hosts", "availability_zone", "availability_zones"),
    ("targets", "service", "services"),
    ("targets", "availability_zone", "availability_zones"),
    ("clients", "region", "regions"),
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

/// Notes all that is wrong between the values of `root`.
pub(super) fn check(root: &Node<'_>, problems: &mut Problems) {
    check_names(root, problems);
    check_references(root, problems);
    check_addresses(root, problems);
    check_clients(root, problems);
    check_links(root, problems);
    check_caps(root, problems);
    check_zones(root, problems);
    check_services(root, problems);
}

fn check_names(root: &Node<'_>, problems: &mut Problems) {
    for section in NAMED {
        for entry in root.section(section) {
            if let Some(problem) = name_problem(&entry.key) {
                problems.add(entry.place, &[section, &entry.key], problem);
            }
        }
    }
    for service in root.section("services") {
        if let Some((class, place)) = service.node.text("class") {
            if let Some(problem) = name_problem(class) {
                problems.add(place, &["services", &service.key, "class"], problem);
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

fn check_references(root: &Node<'_>, problems: &mut Problems) {
    for (section, key, wanted) in REFERENCES {
        let known = root.get(wanted);
        for entry in root.section(section) {
            let Some((name, place)) = entry.node.text(key) else {
                continue;
            };
            if known.is_none_or(|known| known.node.get(name).is_none()) {
                let problem = unknown(root, wanted, name);
                problems.add(place, &[section, &entry.key, key], problem);
            }
        }
    }
}

fn unknown(root: &Node<'_>, section: &str, name: &str) -> String {
    let known = root.section(section).iter().map(|entry| entry.key.as_ref());
    format!("no '{name}' in {section}{}", suggestion(name, known))
}

fn check_addresses(root: &Node<'_>, problems: &mut Problems) {
    let mut seen: BTreeMap<SocketAddr, Vec<(Place, [&str; 3])>> = BTreeMap::new();
    for (section, key) in ADDRESSES {
        for entry in root.section(section) {
            let Some((text, place)) = entry.node.text(key) else {
                continue;
            };
            let path = [section, &entry.key, key];
            match address(text) {
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

fn check_clients(root: &Node<'_>, problems: &mut Problems) {
    let mut blocks = Vec::new();
    for entry in root.section("clients") {
        match block(&entry.key) {
            Ok(block) => blocks.push((block, entry)),
            Err(problem) => problems.add(entry.place, &["clients", &entry.key], problem),
        }
    }
    blocks.sort_by_key(|&(block, entry)| (block, entry.place));
    for pair in blocks.windows(2) {
        let ((block, first), (next, entry)) = (pair[0], pair[1]);
        if block == next {
            let problem = format!("is the same block as '{}'", first.key);
            problems.add(entry.place, &["clients", &entry.key], problem);
        }
    }
}

/// A block of clients' addresses without host bits.
fn block(text: &str) -> Result<IpNet, String> {
    let net: IpNet = text
        .parse()
        .map_err(|_| format!("'{text}' is not ADDRESS/LENGTH"))?;
    if net != net.trunc() {
        return Err(format!(
            "has host bits set; did you mean '{}'?",
            net.trunc()
        ));
    }
    match net.addr() {
        IpAddr::V6(ip) if ip.to_ipv4_mapped().is_some() => {
            Err("is IPv4 mapped to IPv6; write the IPv4 block".into())
        }
        _ => Ok(net),
    }
}

fn check_links(root: &Node<'_>, problems: &mut Problems) {
    let mut seen: BTreeMap<(&str, &str), Vec<&Entry<'_>>> = BTreeMap::new();
    for entry in root.section("links") {
        let (Some((from, _)), Some((to, place))) = (entry.node.text("from"), entry.node.text("to"))
        else {
            continue;
        };
        if from == to {
            let problem = format!("links '{from}' to itself");
            problems.add(place, &["links", &entry.key, "to"], problem);
        } else {
            seen.entry((from, to)).or_default().push(entry);
        }
    }
    for ((from, to), mut links) in seen {
        links.sort_by_key(|entry| entry.place);
        for entry in &links[1..] {
            let problem = format!("'{}' already links '{from}' to '{to}'", links[0].key);
            problems.add(entry.place, &["links", &entry.key], problem);
        }
    }
}

fn check_caps(root: &Node<'_>, problems: &mut Problems) {
    let Some(limits) = root.get("limits") else {
        return;
    };
    for entry in limits.node.section("shift") {
        let is_service = root
            .section("services")
            .iter()
            .any(|service| service.key == entry.key);
        if !is_service && !CAPS.contains(&entry.key.as_ref()) {
            let services = root.section("services").iter();
            let known = services.map(|service| service.key.as_ref()).chain(CAPS);
            let hint = suggestion(&entry.key, known);
            let problem = format!("is neither 'default', 'failover' nor a service{hint}");
            problems.add(entry.place, &["limits", "shift", &entry.key], problem);
        }
    }
    for entry in root.section("services") {
        if CAPS.contains(&entry.key.as_ref()) {
            let problem = "is the name of a cap in limits.shift; choose another".into();
            problems.add(entry.place, &["services", &entry.key], problem);
        }
    }
}

/// A target is used through the entry hosts of its own availability zone, so a zone with targets
/// needs hosts. A zone, region or host that is draining is planned work and no fault.
fn check_zones(root: &Node<'_>, problems: &mut Problems) {
    for zone in root.section("availability_zones") {
        let is_here = |entry: &&Entry<'_>| {
            let text = entry.node.text("availability_zone");
            text.is_some_and(|(name, _)| name == zone.key)
        };
        if is_off(root, zone) || !targets(root).any(|target| is_here(&target)) {
            continue;
        }
        let mut hosts = root.section("hosts").iter().filter(is_here).peekable();
        let path = ["availability_zones", &zone.key];
        if hosts.peek().is_none() {
            let problem = "has targets and no hosts, so nothing can reach them".into();
            problems.add(zone.place, &path, problem);
        } else if hosts.all(|host| state(host) == "off") {
            let problem = "has targets and all its hosts are off, so nothing can reach them".into();
            problems.add(zone.place, &path, problem);
        }
    }
}

/// Targets that are not off.
fn targets<'n, 'a>(root: &'n Node<'a>) -> impl Iterator<Item = &'n Entry<'a>> {
    let targets = root.section("targets").iter();
    targets.filter(|target| state(target) != "off")
}

fn state<'n>(entry: &'n Entry<'_>) -> &'n str {
    entry
        .node
        .text("state")
        .map_or("serving", |(state, _)| state)
}

fn is_off(root: &Node<'_>, zone: &Entry<'_>) -> bool {
    let region = zone.node.text("region").and_then(|(name, _)| {
        let regions = root.get("regions")?;
        regions.node.get(name)
    });
    state(zone) == "off" || region.is_some_and(|region| state(region) == "off")
}

/// A service needs targets, and callers of every region need a way to some of them.
fn check_services(root: &Node<'_>, problems: &mut Problems) {
    let callers: BTreeSet<&str> = root
        .section("clients")
        .iter()
        .filter_map(|client| client.node.text("region"))
        .map(|(region, _)| region)
        .collect();
    let links: BTreeSet<(&str, &str)> = root
        .section("links")
        .iter()
        .filter_map(|link| Some((link.node.text("from")?.0, link.node.text("to")?.0)))
        .collect();
    let regions = regions_by_service(root);
    for service in root.section("services") {
        let path = ["services", &service.key];
        let Some(regions) = regions.get(service.key.as_ref()) else {
            problems.add(service.place, &path, "has no targets".into());
            continue;
        };
        for &caller in &callers {
            let is_reached = |&region: &&str| region == caller || links.contains(&(caller, region));
            if !regions.iter().any(is_reached) {
                let problem =
                    format!("cannot be reached from '{caller}': no targets there and no link");
                problems.add(service.place, &path, problem);
            }
        }
    }
}

/// The regions in which each service has targets.
fn regions_by_service<'n>(root: &'n Node<'_>) -> BTreeMap<&'n str, BTreeSet<&'n str>> {
    let mut regions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for target in root.section("targets") {
        let Some((service, _)) = target.node.text("service") else {
            continue;
        };
        let regions = regions.entry(service).or_default();
        let zone = target.node.text("availability_zone").and_then(|(name, _)| {
            let zones = root.get("availability_zones")?;
            zones.node.get(name)
        });
        if let Some((region, _)) = zone.and_then(|zone| zone.node.text("region")) {
            regions.insert(region);
        }
    }
    regions
}
