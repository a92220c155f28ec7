//! Builds catalogs for tests and benchmarks.
#![allow(dead_code)]

use std::collections::BTreeMap;

use ragwortfold::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};
use serde_json::{json, Value};

/// Size of a catalog: regions, zones a region, hosts a zone, services, and targets of a service in a zone.
#[derive(Clone, Copy)]
pub struct CatalogSize {
    pub regions: usize,
    pub zones: usize,
    pub hosts: usize,
    pub services: usize,
    pub targets: usize,
}

/// Two zones in each of three regions, two hosts a zone.
pub const SMALL: CatalogSize = CatalogSize {
    regions: 3,
    zones: 2,
    hosts: 2,
    services: 1,
    targets: 2,
};

/// Builds a configuration with regions `r0`.., zones `r0-z0`.., hosts `r0-z0-h0`.. and services `s0`..; the latency
/// of a link is 10 ms for each step between region numbers.
pub fn configuration(size: CatalogSize) -> Value {
    let mut value = json!({"regions": {}, "availability_zones": {}, "hosts": {}, "services": {},
        "targets": {}, "links": {}, "limits": {"shift": {
            "default": {"share": 0.05, "window_s": 60}, "failover": {"share": 0.25, "window_s": 10}}}});
    for s in 0..size.services {
        value["services"][format!("s{s}")] = json!({"class": "c"});
    }
    let mut port = 0;
    for r in 0..size.regions {
        value["regions"][format!("r{r}")] = json!({});
        for to in (0..size.regions).filter(|&to| to != r) {
            value["links"][format!("r{r}-r{to}")] = json!({"from": format!("r{r}"), "to": format!("r{to}"),
                "latency_ms": 10 * r.abs_diff(to)});
        }
        for z in 0..size.zones {
            let zone = format!("r{r}-z{z}");
            value["availability_zones"][&zone] = json!({"region": format!("r{r}")});
            for h in 0..size.hosts {
                port += 1;
                let address = format!("10.0.{}.{}:80", port >> 8, port & 255);
                value["hosts"][format!("{zone}-h{h}")] = json!({"availability_zone": zone,
                    "address": address, "peer_address": address});
            }
            for s in 0..size.services {
                for t in 0..size.targets {
                    value["targets"][format!("{zone}-s{s}-t{t}")] = json!({"service": format!("s{s}"),
                        "availability_zone": zone, "address": "10.9.0.1:80", "slots": 4});
                }
            }
        }
    }
    value
}

/// Builds the catalog of a configuration that follows `previous`.
pub fn next_catalog(previous: &Catalog, value: Value) -> Catalog {
    let configuration = serde_json::from_value(value).expect("a configuration");
    previous
        .with_revision(previous.revision + 1, &configuration)
        .expect("a catalog")
}

pub fn catalog(size: CatalogSize) -> Catalog {
    next_catalog(&Catalog::default(), configuration(size))
}

pub fn zone(catalog: &Catalog, name: &str) -> ZoneKey {
    catalog.zone_key(name).expect("a name")
}

pub fn region(catalog: &Catalog, name: &str) -> RegionKey {
    catalog.region_key(name).expect("a name")
}

pub fn service(catalog: &Catalog) -> ServiceKey {
    catalog.service_key("s0").expect("a name")
}

pub fn hosts(catalog: &Catalog) -> BTreeMap<String, HostKey> {
    catalog
        .hosts()
        .map(|(key, host)| (host.name.to_string(), key))
        .collect()
}
