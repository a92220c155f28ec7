//! What a host believes and decides with.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::control::presence::{Beat, Presence, Record};
use crate::inventory::{Config, Route, Table};
use crate::port::{Bounds, Settings};
use crate::steer::fleet::Fleet;
use crate::steer::retry::Budget;

/// The part of the allowed repeats that hosts share out: the rest is for hosts that start in the
/// middle of a window and don't know what the one before has used.
const REPEAT_USE: f64 = 0.6;

/// The state of a host.
pub(crate) struct Core {
    pub(crate) table: Table,
    pub(crate) fleet: Fleet,
    pub(crate) presence: Presence,
    pub(crate) rng: Pcg64Mcg,
    /// The version of the own registration in the store.
    pub(crate) registered: Option<u64>,
    bounds: Bounds,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    budgets: BTreeMap<Arc<str>, Budget>,
    /// For each route with several parts, what each has got less than its weight asks for.
    debts: BTreeMap<Arc<str>, Vec<f64>>,
}

impl Core {
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let own = Record {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            front: settings.front,
            peers: settings.peers,
            incarnation: since_epoch.as_micros() as u64,
            processor: settings.processor,
        };
        let region = settings
            .regions
            .get(&settings.zone)
            .unwrap_or(&settings.zone);
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(own.host.as_bytes(), own.incarnation);
        Self {
            table: Table::new(),
            fleet: Fleet::new(
                own.host.clone(),
                region.clone(),
                settings.regions.clone(),
                settings.bounds.cold_burst,
            ),
            presence: Presence::new(now, own),
            rng: Pcg64Mcg::seed_from_u64(seed),
            registered: None,
            bounds: settings.bounds,
            regions: settings.regions.clone(),
            budgets: BTreeMap::new(),
            debts: BTreeMap::new(),
        }
    }

    /// Takes a configuration over; says whether it is newer than the one before.
    pub(crate) fn configure(&mut self, config: Config) -> bool {
        let services = config.services.clone();
        if !self.table.replace(config) {
            return false;
        }
        for (name, service) in &services {
            self.fleet.set_cold_rate(name.clone(), service.cold_rate);
        }
        true
    }

    /// Takes in a heartbeat.
    pub(crate) fn hear(&mut self, now: Instant, beat: Beat) {
        self.presence.hear(now, beat);
    }

    /// Does what is due with each heartbeat that is sent.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.presence.tick(now);
        let regions = &self.regions;
        let hosts = self.presence.alive(now).map(|record| {
            let region = regions.get(&record.zone).unwrap_or(&record.zone);
            (record.host.clone(), region.clone())
        });
        self.fleet.set_hosts(hosts.collect());
    }

    /// The longest time for which a target of any service stays cold.
    pub(crate) fn longest_cold(&self) -> Duration {
        self.table
            .services()
            .map(|service| service.cold)
            .max()
            .unwrap_or_default()
    }

    /// The service that a request on `route` goes to: the part that is furthest behind its weight.
    pub(crate) fn part(&mut self, route: &Route) -> Option<Arc<str>> {
        let total: f64 = route.parts.iter().map(|part| part.weight).sum();
        if route.parts.len() < 2 || total <= 0.0 {
            return route.parts.first().map(|part| part.service.clone());
        }
        let debts = self.debts.entry(route.name.clone()).or_default();
        debts.resize(route.parts.len(), 0.0);
        for (debt, part) in debts.iter_mut().zip(&route.parts) {
            *debt += part.weight / total;
        }
        let (most, _) = debts
            .iter()
            .enumerate()
            .max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        debts[most] -= 1.0;
        Some(route.parts[most].service.clone())
    }

    /// Counts a request for a service.
    pub(crate) fn request(&mut self, now: Instant, service: &Arc<str>) {
        self.budget(now, service).request(now);
    }

    /// Whether a request for a service may be sent once more; if so it is counted.
    pub(crate) fn repeat(&mut self, now: Instant, service: &Arc<str>) -> bool {
        self.budget(now, service).take(now)
    }

    fn budget(&mut self, now: Instant, service: &Arc<str>) -> &mut Budget {
        let hosts = self.presence.peers().count() + 1;
        let floor = self.bounds.repeat_floor * REPEAT_USE / hosts as f64;
        let share = self.bounds.repeat_share * REPEAT_USE;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(now, share).with_floor(floor as u32))
    }
}
