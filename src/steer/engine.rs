//! One host's decisions put together: which target or which host a request goes to.
//!
//! Pure: events go in with the time and a random source, decisions come out. Requests that wait are
//! remembered here, and come out of any later call as [`Decision`]s.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::attempt::Reason;
use super::goal::{goal, Hold, View};
use super::group::{self, Group};
use super::lookup::Snapshot;
use super::shift::{Caps, Shift};
use super::split::Split;
use crate::border::settings as border;
use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, State, TargetKey, ZoneKey};

/// Identifies a request on this host.
pub type Id = u64;

/// Why a host asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request's first try.
    First,
    /// Another try after one that broke.
    Retry,
    /// A second copy beside one that is slow.
    Hedge,
}

/// Who sent the request here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry host. Its request goes to a target of this zone or nowhere.
    Host,
}

/// A request that asks where to go.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Identifies it.
    pub id: Id,
    /// Why it asks.
    pub kind: Kind,
    /// Who sent it.
    pub origin: Origin,
    /// The service.
    pub service: ServiceKey,
    /// The region of its caller.
    pub locality: RegionKey,
    /// Hash of the caller's block.
    pub block: u64,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Targets that were tried.
    pub targets: Vec<TargetKey>,
    /// Hosts that were tried.
    pub hosts: Vec<HostKey>,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Verdict {
    /// To a target of this zone.
    Target(group::Grant),
    /// It did not run.
    Refused(Refusal),
}

/// Why a request goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// A verdict on a request that asked now or waited.
pub type Decision = (Id, Verdict);

/// One host's decisions.
pub struct Engine {
    catalog: Arc<Catalog>,
    config: group::Config,
    zone: Option<ZoneKey>,
    host: Option<HostKey>,
    live: BTreeSet<HostKey>,
    groups: BTreeMap<ServiceKey, Group>,
    waiting: BTreeMap<Id, ServiceKey>,
    shifts: BTreeMap<(ServiceKey, RegionKey), Shift>,
    view: View,
    hold: Hold,
}

/// How long a zone that came back must stay good before traffic returns to it.
const HOLD: Duration = Duration::from_secs(5);

impl Engine {
    /// An engine without a configuration.
    pub fn new(steer: &border::Steer) -> Self {
        Self {
            catalog: Arc::default(),
            config: group::Config::new(steer),
            zone: None,
            host: None,
            live: BTreeSet::new(),
            groups: BTreeMap::new(),
            waiting: BTreeMap::new(),
            shifts: BTreeMap::new(),
            view: View::default(),
            hold: Hold::new(HOLD),
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Puts a configuration in force, for the host `host` in the zone `zone`.
    pub fn configure(&mut self, now: Instant, catalog: Arc<Catalog>, host: &str, zone: &str) {
        self.host = catalog.host_key(host);
        self.zone = catalog.zone_key(zone);
        self.catalog = catalog;
        self.update_groups(now);
        self.advance(now);
    }

    /// Takes what is known of the zones.
    pub fn set_view(&mut self, now: Instant, mut view: View) {
        for (&zone, standing) in &mut view.zones {
            *standing = self.hold.observe(now, zone, *standing);
        }
        self.view = view;
        self.advance(now);
    }

    /// Moves each split towards its goal, as far as its budget goes.
    fn advance(&mut self, now: Instant) {
        let catalog = self.catalog.clone();
        let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
        for (service, _) in catalog.services() {
            let caps = Caps::new(&catalog, service);
            for &locality in &regions {
                let shift = self
                    .shifts
                    .entry((service, locality))
                    .or_insert_with(|| Shift::new(Split::default()));
                let goal = goal(&catalog, service, locality, &self.view, shift.current());
                shift.advance(now, &goal.split, goal.kind, &caps);
            }
        }
    }

    /// What look-ups are answered from until the next change.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let splits = |service, locality| {
            let shift = self.shifts.get(&(service, locality))?;
            Some(shift.current().clone())
        };
        Some(Snapshot::new(&self.catalog, &self.live, splits, self.zone?))
    }

    /// The hosts that are alive.
    pub fn set_live(&mut self, now: Instant, live: BTreeSet<HostKey>) {
        self.live = live;
        self.update_groups(now);
    }

    fn update_groups(&mut self, now: Instant) {
        let Some(zone) = self.zone else {
            return;
        };
        let hosts = self.configured_hosts(zone);
        let catalog = self.catalog.clone();
        for (service, _) in catalog.services() {
            if catalog.site(service, zone).is_none() && !self.groups.contains_key(&service) {
                continue;
            }
            let config = &self.config;
            let group = self
                .groups
                .entry(service)
                .or_insert_with(|| Group::new(config.clone()));
            group.update(now, &catalog, service, zone, hosts);
        }
    }

    fn configured_hosts(&self, zone: ZoneKey) -> usize {
        self.catalog
            .hosts()
            .filter(|(_, host)| host.zone == zone && host.state != State::Off)
            .count()
            .max(1)
    }

    /// Asks where a request goes. No verdict: it waits.
    pub fn ask(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Option<Verdict> {
        let Some(group) = self.groups.get_mut(&ask.service) else {
            return Some(Verdict::refused(Reason::NoTarget));
        };
        let priority = self.catalog.service(ask.service).priority;
        let request = group::Ask {
            id: ask.id,
            deadline: ask.deadline,
            priority,
            affinity: ask.block,
            exclude: ask.targets,
        };
        match group.admit(now, request, rng) {
            group::Verdict::Go(grant) => Some(Verdict::Target(grant)),
            group::Verdict::Wait => {
                self.waiting.insert(ask.id, ask.service);
                None
            }
            group::Verdict::Refuse(refusal) => Some(Verdict::Refused(refusal.into())),
        }
    }

    /// Takes back a target's grant.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: group::Grant,
        report: group::Report,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        let service = self.catalog.target(grant.target()).service;
        let Some(group) = self.groups.get_mut(&service) else {
            return Vec::new();
        };
        let ready = group.finish(now, grant, report, rng);
        self.release(ready)
    }

    /// A request that waits is no longer wanted.
    pub fn cancel(&mut self, id: Id) {
        if let Some(service) = self.waiting.remove(&id) {
            if let Some(group) = self.groups.get_mut(&service) {
                group.cancel(id);
            }
        }
    }

    /// Does what time alone brings: refuses what cannot be done in time, lets others go.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Decision> {
        let mut ready = Vec::new();
        let mut refused = Vec::new();
        for group in self.groups.values_mut() {
            refused.extend(group.expire(now));
            ready.extend(group.ready(now, rng));
        }
        let mut decisions = self.release(ready);
        for (id, refusal) in refused {
            self.waiting.remove(&id);
            decisions.push((id, Verdict::Refused(refusal.into())));
        }
        decisions
    }

    /// When [`Engine::tick`] should be called next.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.groups
            .values()
            .filter_map(|group| group.next_wake(now))
            .min()
    }

    fn release(&mut self, ready: Vec<(Id, group::Grant)>) -> Vec<Decision> {
        ready
            .into_iter()
            .map(|(id, grant)| {
                self.waiting.remove(&id);
                (id, Verdict::Target(grant))
            })
            .collect()
    }
}

impl Verdict {
    fn refused(reason: Reason) -> Self {
        Self::Refused(Refusal {
            reason,
            retry_after: RETRY_AFTER,
        })
    }
}

/// When a caller is asked to come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<group::Refusal> for Refusal {
    fn from(refusal: group::Refusal) -> Self {
        Self {
            reason: match refusal.reason {
                group::Reason::NoTarget | group::Reason::Tried => Reason::NoTarget,
                group::Reason::Deadline => Reason::Timeout,
                group::Reason::Overload | group::Reason::Full => Reason::Crowded,
            },
            retry_after: refusal.retry_after,
        }
    }
}
