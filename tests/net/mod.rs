//! Memberships in one process, over a simulated network that loses, delays and blocks messages.

#![allow(dead_code, reason = "the tests and the bench each use a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use ragwortfold::border::configuration::Configuration;
use ragwortfold::catalog::{Catalog, HostKey, ZoneKey};
use ragwortfold::control::detector::INTERVAL;
use ragwortfold::control::membership::{Change, Heartbeat, Membership, Status};

pub mod agents;

/// A catalog of `zones` zones in regions of two zones, with `hosts` hosts each.
pub fn catalog(zones: usize, hosts: usize) -> Catalog {
    let mut regions = serde_json::Map::new();
    let mut places = serde_json::Map::new();
    let mut all = serde_json::Map::new();
    for zone in 0..zones {
        let region = format!("region-{}", zone / 2);
        let name = format!("zone-{zone:02}");
        regions.insert(region.clone(), serde_json::json!({}));
        places.insert(name.clone(), serde_json::json!({ "region": region }));
        for host in 0..hosts {
            let id = format!("ent-{zone:02}-{host:02}");
            let port = 1_000 + 100 * zone + host;
            let record = serde_json::json!({
                "availability_zone": name,
                "address": format!("127.0.0.1:{port}"),
                "peer_address": format!("127.0.0.2:{port}"),
            });
            all.insert(id, record);
        }
    }
    let folder = serde_json::json!({
        "regions": regions, "availability_zones": places, "hosts": all,
    });
    let configuration: Configuration = serde_json::from_value(folder).expect("a configuration");
    Catalog::default()
        .with_revision(1, &configuration)
        .expect("a catalog")
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A few hosts in one process, whose links may be cut in one direction.
pub struct Net {
    pub base: Instant,
    pub time: u64,
    pub catalog: Catalog,
    pub nodes: BTreeMap<HostKey, Membership>,
    /// Directions in which no message passes.
    pub cut: BTreeSet<(HostKey, HostKey)>,
    /// Hosts that are paused, and until when.
    pub paused: BTreeMap<HostKey, u64>,
    pub died: Vec<(u64, HostKey, HostKey)>,
    pub loss: f64,
    pub jitter: u64,
    pub rng: Pcg64,
    pub due: BTreeMap<(u64, u64), (HostKey, HostKey, Heartbeat)>,
    pub last_serial: u64,
}

impl Net {
    pub fn new(zones: usize, hosts: usize) -> Self {
        let base = Instant::now();
        let catalog = catalog(zones, hosts);
        let keys: Vec<HostKey> = catalog.hosts().map(|(key, _)| key).collect();
        let mut nodes: BTreeMap<HostKey, Membership> = keys
            .iter()
            .map(|&key| (key, Membership::new(base, key, 1, &catalog)))
            .collect();
        for (&own, node) in &mut nodes {
            for &other in keys.iter().filter(|&&other| other != own) {
                node.link_up(base, other);
            }
        }
        Self {
            base,
            time: 0,
            catalog,
            nodes,
            cut: BTreeSet::new(),
            paused: BTreeMap::new(),
            died: Vec::new(),
            loss: 0.0,
            jitter: 5,
            rng: Pcg64::seed_from_u64(11),
            due: BTreeMap::new(),
            last_serial: 0,
        }
    }

    pub fn now(&self) -> Instant {
        self.base + ms(self.time)
    }

    pub fn host(&self, name: &str) -> HostKey {
        self.catalog.host_key(name).expect("a host")
    }

    pub fn zone(&self, name: &str) -> ZoneKey {
        self.catalog.zone_key(name).expect("a zone")
    }

    pub fn is_paused(&self, host: HostKey) -> bool {
        self.paused
            .get(&host)
            .is_some_and(|&until| until > self.time)
    }

    pub fn send(&mut self, from: HostKey, to: HostKey, beat: Heartbeat) {
        let lost = self.rng.random_bool(self.loss);
        if lost || self.cut.contains(&(from, to)) {
            return;
        }
        self.last_serial += 1;
        let at = self.time + self.rng.random_range(1..=self.jitter);
        self.due.insert((at, self.last_serial), (from, to, beat));
    }

    pub fn send_heartbeats(&mut self, from: HostKey) {
        let beat = self.nodes[&from].heartbeat(INTERVAL);
        let others: Vec<HostKey> = self.nodes.keys().copied().collect();
        for to in others.into_iter().filter(|&to| to != from) {
            self.send(from, to, beat.clone());
        }
    }

    pub fn deliver(&mut self) {
        while let Some((&key, _)) = self.due.first_key_value() {
            if key.0 > self.time {
                break;
            }
            let Some((from, to, beat)) = self.due.remove(&key) else {
                break;
            };
            if let Some(&until) = self.paused.get(&to) {
                if until > self.time {
                    self.due.insert((until, key.1), (from, to, beat));
                    continue;
                }
            }
            let now = self.now();
            let answer = self.nodes.get_mut(&to).and_then(|n| n.receive(now, &beat));
            if let Some(answer) = answer {
                self.send(to, from, answer);
            }
        }
    }

    pub fn step(&mut self) {
        self.time += 10;
        self.deliver();
        let hosts: Vec<HostKey> = self.nodes.keys().copied().collect();
        for (n, host) in hosts.into_iter().enumerate() {
            if self.is_paused(host) {
                continue;
            }
            let now = self.now();
            let beat = (self.time + 70 * n as u64) % 500 < 10;
            let node = self.nodes.get_mut(&host).expect("a node");
            if beat {
                node.advance_sequence();
            }
            let mut ask = beat;
            if self.time.is_multiple_of(100) {
                for change in node.tick(now) {
                    match change {
                        Change::Died(dead) => self.died.push((self.time, host, dead)),
                        Change::Suspected(_) => ask = true,
                        _ => {}
                    }
                }
            }
            if ask {
                self.send_heartbeats(host);
            }
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.time + millis;
        while self.time < end {
            self.step();
        }
    }

    pub fn kill(&mut self, host: HostKey) {
        self.nodes.remove(&host);
    }

    pub fn cut_both(&mut self, a: HostKey, b: HostKey) {
        self.cut.insert((a, b));
        self.cut.insert((b, a));
    }

    pub fn down(&mut self, at: HostKey, link: HostKey) {
        let now = self.now();
        if let Some(node) = self.nodes.get_mut(&at) {
            node.link_down(now, link);
        }
    }

    pub fn status(&self, at: HostKey, of: HostKey) -> Status {
        self.nodes[&at].status(of)
    }

    /// Cuts a set of zones from all others.
    pub fn cut_off_zones(&mut self, zones: &[&str]) {
        let side: BTreeSet<ZoneKey> = zones.iter().map(|name| self.zone(name)).collect();
        let place = |catalog: &Catalog, host| side.contains(&catalog.host(host).zone);
        let hosts: Vec<HostKey> = self.nodes.keys().copied().collect();
        for &a in &hosts {
            for &b in &hosts {
                if place(&self.catalog, a) != place(&self.catalog, b) {
                    self.cut_both(a, b);
                }
            }
        }
    }
}

/// Counts false deaths and the host-pair hours in which they occurred: hosts of one zone, with
/// heartbeats lost at random and delayed by jitter.
pub fn false_deaths(seed: u64, hosts: usize, loss: f64, jitter: u64, millis: u64) -> (usize, f64) {
    let mut net = Net::new(1, hosts);
    net.rng = Pcg64::seed_from_u64(seed);
    net.run(2_000);
    net.loss = loss;
    net.jitter = jitter;
    net.run(millis);
    let pairs = (hosts * (hosts - 1)) as f64;
    (net.died.len(), pairs * millis as f64 / 3_600_000.0)
}
