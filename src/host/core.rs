//! What a host believes and decides with.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::log::{self, Event};
use crate::account::Knowledge;
use crate::control::presence::{self, HostRecord, LookupFilter, Presence, StoreView};
use crate::control::proof::{Moment, Proof, RENEWAL_FRACTION};
use crate::control::replica::{Effect, Outage, Replica, Update};
use crate::inventory::{Config, Registration, Route, State, Table};
use crate::port::{Bounds, Entry, Kind, Settings, Value};
use crate::steer::allowance::Ledger;
use crate::steer::fleet::Fleet;
use crate::steer::quarantine::Quarantine;
use crate::steer::retry::Budgets;

/// How long targets that are missing after the store was away may take to register again.
const RETURN: Duration = Duration::from_secs(2);

/// Silence after which another host surely serves no callers, where no time is set after which it refuses keys: its registration
/// is removed then.
const GONE: Duration = presence::REMOVAL_SILENCE;

/// The state of a host.
pub(crate) struct Core {
    pub(crate) table: Table,
    pub(crate) replica: Replica,
    pub(crate) fleet: Fleet,
    pub(crate) presence: Presence,
    pub(crate) rng: Pcg64Mcg,
    /// The version of the own registration in the store.
    pub(crate) registered: Option<u64>,
    pub(crate) budgets: Budgets,
    /// Requests that crash targets.
    pub(crate) quarantine: Quarantine,
    /// What accounts may still ask, if quotas are kept.
    pub(crate) ledger: Option<Ledger>,
    /// Since when the configuration is surely the newest one.
    pub(crate) proof: Proof,
    /// How old that may be for keys to be used.
    term: Option<Duration>,
    /// When each kind of objects was last heard of, be it that nothing has changed.
    pub(crate) told: BTreeMap<Kind, Instant>,
    /// For each route with several parts, what each has got less than its weight asks for.
    debts: BTreeMap<Arc<str>, Vec<f64>>,
}

impl Core {
    pub(crate) fn new(now: Instant, settings: &Settings) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let own = HostRecord {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            front: settings.front,
            peers: settings.peers,
            feed: settings.feed,
            incarnation: since_epoch.as_micros() as u64,
            strength: settings.strength,
        };
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(own.host.as_bytes(), own.incarnation);
        let mut budgets =
            Budgets::new(settings.bounds.repeats).with_switch(settings.switches.repeat_budget);
        // Until the others are known, the floor that all share is theirs.
        budgets.set_hosts(usize::MAX);
        let region = settings.regions.get(&settings.zone);
        let region = region.unwrap_or(&settings.zone).clone();
        let regions: BTreeSet<_> = settings.regions.values().collect();
        let term = settings.bounds.withdrawal;
        let ledger = settings.bounds.excess.map(|excess| {
            let gone = term.map_or(GONE, |term| term + presence::INTERVAL);
            Ledger::new(now, excess, region, regions.len(), gone)
        });
        Self {
            ledger,
            proof: Proof::new(),
            term,
            table: Table::new(),
            replica: Replica::new(),
            fleet: Fleet::new(
                now,
                own.host.clone(),
                settings.zone.clone(),
                settings.regions.clone(),
                settings.bounds.cold_burst,
            )
            .with_switches(settings.switches),
            presence: Presence::new(now, own, settings.regions.clone())
                .with_heartbeat(settings.bounds.heartbeat)
                .with_few_watchers(settings.switches.few_watchers)
                .with_few_hosts(settings.switches.few_hosts)
                .with_lookup_filter(if term.is_some() {
                    LookupFilter::Informed
                } else {
                    LookupFilter::All
                }),
            rng: Pcg64Mcg::seed_from_u64(seed),
            registered: None,
            budgets,
            quarantine: Quarantine::new(seed),
            told: BTreeMap::new(),
            debts: BTreeMap::new(),
        }
    }

    /// Takes bounds over.
    pub(crate) fn set_bounds(&mut self, bounds: Bounds) {
        self.budgets.set_terms(bounds.repeats);
    }

    /// Takes in what changed in the store.
    pub(crate) fn change(&mut self, now: Instant, update: Update) -> Effect {
        let Update { kind, outage, .. } = update;
        self.told.insert(kind, now);
        let effect = self.replica.apply(now, update);
        let Effect::Changed(entries) = &effect else {
            return effect;
        };
        let gone = entries.iter().filter(|entry| entry.value.is_none());
        let lapsing = match (kind, outage) {
            (Kind::Targets, Outage::Brief) => {
                self.fleet.losing_most(gone.map(|entry| &*entry.name))
            }
            _ => BTreeSet::new(),
        };
        for entry in entries {
            match (&entry.value, kind) {
                (Some(Value::Config(config)), _) => self.configure(now, Config::clone(config)),
                (Some(Value::Target(registration)), _) => self.register(now, registration),
                (None, Kind::Targets) => {
                    let service = self.fleet.service_of(&entry.name);
                    let lapses = service.is_some_and(|service| lapsing.contains(service));
                    self.withdraw(now, &entry.name, lapses || outage == Outage::Long);
                }
                _ => {}
            }
        }
        if kind == Kind::Evacuations && !entries.is_empty() {
            self.evacuate(now);
        }
        effect
    }

    fn configure(&mut self, now: Instant, config: Config) {
        let services = config.services.clone();
        let goals = goals(&config);
        let accounts = config.accounts.clone().unwrap_or_default();
        let version = config.version;
        if !self.table.replace(config) {
            return;
        }
        spdlog::info!("core: a configuration is in force", kv: {
            event = Event::Configured.as_str(),
            configuration = version
        });
        for (name, service) in &services {
            self.fleet.set_cold_rate(name.clone(), service.cold_rate);
        }
        for (service, goal) in goals {
            self.fleet.set_goal(service, goal);
        }
        if let Some(ledger) = &mut self.ledger {
            ledger.set_accounts(now, &accounts);
        }
    }

    /// Whether what this host knows may count as new, as far as the deployment asks for a proof of that.
    pub(crate) fn is_proved(&self, moment: Moment) -> bool {
        let Some(term) = self.term else {
            return true;
        };
        self.proof
            .is_younger_than(moment, term.mul_f64(RENEWAL_FRACTION))
    }

    /// How new the configuration surely is.
    pub(crate) fn knowledge(&self, moment: Moment) -> Knowledge {
        match self.term {
            Some(term) if self.proof.is_younger_than(moment, term) => Knowledge::Current,
            Some(_) => Knowledge::Expired,
            None if self.presence.store_view() >= StoreView::Relayed => Knowledge::Current,
            None => Knowledge::Old,
        }
    }

    fn register(&mut self, now: Instant, registration: &Arc<Registration>) {
        let id = &registration.id;
        if registration.state == State::Draining {
            spdlog::info!("core: a target drains", kv: {
                event = Event::Draining.as_str(),
                target = &**id
            });
        }
        if !registration.cold_left.is_zero() {
            let left = registration.cold_left;
            log::cold(id, left);
        }
        self.fleet.register(now, registration.clone());
    }

    /// A target is missing in the store; `lapses` tells that its registration may have run out in an outage.
    fn withdraw(&mut self, now: Instant, id: &str, lapses: bool) {
        if lapses {
            spdlog::info!("core: a target is missing since the store was away", kv: {
                event = Event::Missing.as_str(),
                target = id
            });
            self.fleet.lapse(id, now + RETURN);
        } else {
            log::gone(id);
            self.fleet.withdraw(id);
        }
    }

    fn evacuate(&mut self, now: Instant) {
        let zones: BTreeSet<_> = self.replica.names(Kind::Evacuations).cloned().collect();
        let names: Vec<_> = zones.iter().map(|zone| &**zone).collect();
        spdlog::info!("core: other zones are evacuated", kv: {
            event = Event::Evacuated.as_str(),
            zones = names.join(" ").as_str()
        });
        let cold = self.longest_cold();
        self.fleet.evacuate(now, zones, cold);
    }

    /// Takes in the registrations of hosts, complete.
    pub(crate) fn meet(&mut self, now: Instant, entries: Vec<Entry>) {
        let names: BTreeSet<_> = entries.iter().map(|entry| entry.name.clone()).collect();
        let missing: Vec<_> = self
            .presence
            .peers()
            .filter(|peer| !names.contains(&peer.host))
            .map(|peer| peer.host.clone())
            .collect();
        for peer in missing {
            self.presence.unregister(now, &peer);
        }
        for entry in entries {
            if let Some(Value::Host(record)) = entry.value {
                self.presence.register(now, *record);
            }
        }
        self.presence.mark_listed();
        self.count_hosts(now);
    }

    /// Takes in the hosts that another one hears, as the store could not be asked.
    pub(crate) fn hear_of(&mut self, now: Instant, records: Vec<HostRecord>) {
        for record in records {
            self.presence.register(now, record);
        }
        self.presence.mark_listed();
        self.count_hosts(now);
    }

    /// Does what is due with each heartbeat that is sent.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.presence.tick(now);
        self.quarantine.expire(now);
        self.count_hosts(now);
    }

    /// Tells those who share something among all hosts which there are.
    fn count_hosts(&mut self, now: Instant) {
        if !self.presence.knows_others(now) {
            return;
        }
        let hosts = self.presence.alive(now).map(|record| {
            let region = self.presence.region(record);
            (record.host.clone(), region.clone())
        });
        self.fleet.set_hosts(hosts.collect());
        self.fleet.set_share(self.presence.caller_share(now));
        if let Some(ledger) = &mut self.ledger {
            let peers = self.presence.peers();
            let near = peers.filter(|peer| self.presence.is_near(peer));
            ledger.set_hosts(near.count() + 1);
        }
        let known = self.presence.peers().count() + 1;
        self.fleet
            .set_told(self.presence.is_listed().then_some(known));
        self.budgets.set_hosts(known);
    }

    /// The longest time for which a target of any service stays cold.
    fn longest_cold(&self) -> Duration {
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
}

/// For each service, the longest time within which answers on its routes are good.
fn goals(config: &Config) -> BTreeMap<Arc<str>, Duration> {
    let mut goals: BTreeMap<Arc<str>, Duration> = BTreeMap::new();
    for route in &config.routes {
        for part in &route.parts {
            let goal = goals.entry(part.service.clone()).or_default();
            *goal = route.goal.max(*goal);
        }
    }
    goals
}
