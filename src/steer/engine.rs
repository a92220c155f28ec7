//! One host's decisions put together: which target or which host a request goes to.
//!
//! Pure: events go in with the time and a random source, decisions come out. Requests that wait are
//! remembered here, and come out of any later call as [`Decision`]s.

mod permit;
mod rate;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::admission_counts::AdmissionCounts;
use super::attempt::Reason;
use super::budgets::{ServiceBudgets, Switches};
use super::fingerprint::Fingerprint;
use super::goal::{goal, Hold, Standing, View};
use super::group::{self, Group};
use super::hedge;
use super::lookup::Snapshot;
use super::pass::{Back, Pass, Quotas};
use super::quarantine::{Notice, Quarantine, MAX_VERDICT_WAIT};
use super::shift::{self, Caps, Kind as Kindred, Shift};
use super::split::Split;
use super::throttle::Throttle;
use crate::border::settings::{self as border, Switch};
use crate::catalog::{Catalog, HostKey, RegionKey, Repeat, ServiceKey, State, TargetKey, ZoneKey};
use crate::control::summary::Load;

/// Time after the start in which other hosts may tell their splits.
const SETTLE: Duration = Duration::from_millis(1500);
/// Latency assumed where no link is configured.
const FAR: Duration = Duration::from_secs(1);
/// Time that a request is assumed to hold a slot before any was measured, in seconds.
const DEFAULT_WORK: f64 = 0.05;
/// Time for which a budget that refused is not asked again; what comes free meanwhile is little.
const SPENT: Duration = Duration::from_millis(20);
/// Hosts of one zone that a request is sent to at most.
const MAX_HOSTS: usize = 2;
/// Weight of one measurement in the mean hold time.
const WORK_GAIN: f64 = 0.05;
/// How long a zone that came back must stay good before traffic returns to it.
const HOLD: Duration = Duration::from_secs(5);
/// When a caller is asked to come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The least advice on when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

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
    /// A caller that bears a ticket of this host, through another one. That this host issued the
    /// ticket says nothing of where the request belongs: it goes by the split alone.
    Home,
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
    /// Length of its body in bytes, as far as it is known.
    pub bytes: u64,
    /// When its answer is of no more use.
    pub deadline: Instant,
    /// Targets that were tried.
    pub targets: Vec<TargetKey>,
    /// Hosts that were tried.
    pub hosts: Vec<HostKey>,
    /// What stays the same when the request comes again.
    pub fingerprint: Fingerprint,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Verdict {
    /// To a target of this zone.
    Target {
        /// Leave to send it there.
        grant: group::Grant,
        /// When to ask for a second copy, if no answer came.
        hedge: Option<Duration>,
    },
    /// To an entry host of another zone.
    Host(Pass),
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
    live: BTreeSet<HostKey>,
    /// Live hosts that take requests from other zones.
    hosts: BTreeMap<ZoneKey, Vec<HostKey>>,
    groups: BTreeMap<ServiceKey, Group>,
    waiting: BTreeMap<Id, ServiceKey>,
    /// Callers' requests that wait for a target of this zone, should they have to go elsewhere.
    spare: BTreeMap<Id, Ask>,
    switches: Switches,
    budgets: BTreeMap<ServiceKey, ServiceBudgets>,
    quotas: Quotas,
    passes: BTreeMap<HostKey, u32>,
    /// Mean time that a request of a service holds a slot, in seconds.
    work: BTreeMap<ServiceKey, f64>,
    /// Free slots of other zones, as last heard.
    free: BTreeMap<(ServiceKey, ZoneKey), u32>,
    /// When the first configuration came.
    started: Option<Instant>,
    tallies: BTreeMap<ServiceKey, AdmissionCounts>,
    shifts: BTreeMap<(ServiceKey, RegionKey), Shift>,
    /// Until when the budget of a service and locality is taken for spent, by kind of move.
    spent: BTreeMap<(ServiceKey, RegionKey, Kindred), Instant>,
    /// The split of the own region's callers while this zone last had targets.
    served: BTreeMap<ServiceKey, Split>,
    view: View,
    hold: Hold,
    quarantine: Quarantine,
    /// Suspected requests that wait until it is known whether they may be sent, and until when.
    unsure: Vec<(Instant, Ask)>,
    /// Suspected requests that have leave to be sent.
    leaves: BTreeMap<Id, Fingerprint>,
    /// What other hosts are to be told of requests that crash targets.
    notes: Vec<Notice>,
    /// This host, as the configuration names it.
    host: Arc<str>,
    /// The rates that targets of this zone name.
    throttle: Throttle,
}

impl Engine {
    /// An engine without a configuration.
    pub fn new(steer: &border::Steer, incarnation: u64) -> Self {
        Self {
            catalog: Arc::default(),
            config: group::Config::new(steer),
            zone: None,
            live: BTreeSet::new(),
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            waiting: BTreeMap::new(),
            spare: BTreeMap::new(),
            switches: Switches::new(steer),
            budgets: BTreeMap::new(),
            quotas: Quotas::new(incarnation),
            passes: BTreeMap::new(),
            work: BTreeMap::new(),
            free: BTreeMap::new(),
            started: None,
            tallies: BTreeMap::new(),
            shifts: BTreeMap::new(),
            spent: BTreeMap::new(),
            served: BTreeMap::new(),
            view: View::default(),
            hold: Hold::new(HOLD),
            quarantine: Quarantine::new(incarnation),
            unsure: Vec::new(),
            leaves: BTreeMap::new(),
            notes: Vec::new(),
            host: "".into(),
            throttle: Throttle::new(),
        }
    }

    /// Sets which host of the configuration this is.
    pub fn with_host(mut self, host: Arc<str>) -> Self {
        self.host = host;
        self
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// What each group of this host's targets is loaded with, for other hosts.
    pub fn measure(&mut self, now: Instant) -> BTreeMap<ServiceKey, Load> {
        let mut loads = BTreeMap::new();
        for (&service, group) in &self.groups {
            let free = group.headroom();
            let tally = self
                .tallies
                .entry(service)
                .or_insert(AdmissionCounts::new(now));
            let (admitted, refused) = tally.take_rates(now);
            loads.insert(
                service,
                Load {
                    live: (f64::from(free.slots) * (1.0 - free.ejected)) as f32,
                    cold: free.cold as f32,
                    in_flight: free.in_flight as f32,
                    queued: free.queued as f32,
                    admitted,
                    refused,
                },
            );
        }
        loads
    }

    /// The part of this host's quota of each link, from one region to another, that was free since the
    /// last call.
    pub fn link_rooms(&mut self, now: Instant) -> BTreeMap<(RegionKey, RegionKey), f64> {
        self.quotas.rooms(now)
    }

    /// A group of this host's targets.
    pub fn group(&self, service: ServiceKey) -> Option<&Group> {
        self.groups.get(&service)
    }

    /// Puts a configuration in force, for a host in the zone `zone`.
    pub fn configure(&mut self, now: Instant, catalog: Arc<Catalog>, zone: &str) {
        self.started.get_or_insert(now);
        self.zone = catalog.zone_key(zone);
        self.catalog = catalog;
        if let Some(zone) = self.zone {
            let own = self.catalog.region_of(zone);
            self.quotas.configure(now, &self.catalog, own);
        }
        let limits = *self.catalog.limits();
        for budgets in self.budgets.values_mut() {
            budgets.set_limits(&limits);
        }
        self.sort_hosts();
        self.update_groups(now);
        self.advance(now);
    }

    /// Takes what a target says of itself when asked.
    pub fn health(
        &mut self,
        now: Instant,
        target: TargetKey,
        health: group::Health,
        state: Option<group::State>,
    ) {
        let service = self.catalog.target(target).service;
        if let Some(group) = self.groups.get_mut(&service) {
            group.health(target, health);
            if let Some(state) = state {
                group.set_state(now, target, group::Source::Health, state);
            }
        }
    }

    /// Takes the free slots of other zones, as last heard.
    pub fn set_free(&mut self, free: BTreeMap<(ServiceKey, ZoneKey), u32>) {
        self.free = free;
    }

    /// This host's splits.
    pub fn splits(&self) -> BTreeMap<(ServiceKey, RegionKey), Split> {
        self.shifts
            .iter()
            .filter(|(_, shift)| !shift.current().is_empty())
            .map(|(&key, shift)| (key, shift.current().clone()))
            .collect()
    }

    /// Takes the splits of another host, where this one has none yet.
    pub fn adopt(&mut self, now: Instant, splits: BTreeMap<(ServiceKey, RegionKey), Split>) {
        for (key, split) in splits {
            let is_new = self
                .shifts
                .get(&key)
                .is_none_or(|shift| shift.current().is_empty());
            if is_new && !split.is_empty() {
                self.shifts.insert(key, Shift::with_current(split, now));
            }
        }
    }

    /// Takes what is known of the zones.
    pub fn set_view(&mut self, now: Instant, mut view: View) {
        self.add_own(&mut view);
        for (&zone, standing) in &mut view.zones {
            *standing = self.hold.observe(now, zone, *standing);
        }
        self.view = view;
        self.advance(now);
    }

    /// Adds what this host sees of its own zone.
    fn add_own(&self, view: &mut View) {
        let Some(zone) = self.zone else {
            return;
        };
        view.zones.insert(zone, Standing::Alive);
        for (&service, group) in &self.groups {
            view.slots.insert((service, zone), group.headroom().slots);
        }
    }

    /// Whether it is too early to tell where traffic goes: others may still tell their splits.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.started
            .is_none_or(|started| now.saturating_duration_since(started) < SETTLE)
    }

    /// Assumes the configured slots where nothing was measured and nothing bad is known, for a first
    /// split. Later splits move on measurements alone.
    fn assume(&self, view: &View) -> View {
        let mut view = view.clone();
        for (service, _) in self.catalog.services() {
            for (zone, site) in self.catalog.sites(service) {
                let standing = view.zones.entry(zone).or_insert(Standing::Unknown);
                if *standing == Standing::Unknown {
                    *standing = Standing::Alive;
                }
                view.slots.entry((service, zone)).or_insert(site.slots);
            }
        }
        view
    }

    /// Moves each split towards its goal, as far as its budget goes.
    fn advance(&mut self, now: Instant) {
        if self.is_settling(now) {
            return;
        }
        let assumed = self.assume(&self.view);
        let catalog = self.catalog.clone();
        let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
        for (service, _) in catalog.services() {
            let caps = Caps::new(&catalog, service);
            for &locality in &regions {
                let shift = self
                    .shifts
                    .entry((service, locality))
                    .or_insert_with(|| Shift::new(Split::default()));
                let view = if shift.current().is_empty() {
                    &assumed
                } else {
                    &self.view
                };
                let goal = goal(&catalog, service, locality, view, shift.current());
                shift.advance(now, &goal.split, goal.kind, &caps);
            }
        }
        self.note_served();
    }

    /// Notes the splits under which this zone's targets are in use.
    fn note_served(&mut self) {
        let Some(own) = self.zone.map(|zone| self.catalog.region_of(zone)) else {
            return;
        };
        for (&service, group) in &self.groups {
            if let Some(shift) = self.shifts.get(&(service, own)) {
                if group.headroom().slots > 0 {
                    self.served.insert(service, shift.current().clone());
                }
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
        self.sort_hosts();
        self.update_groups(now);
    }

    fn sort_hosts(&mut self) {
        self.hosts.clear();
        for &key in &self.live {
            let host = self.catalog.host(key);
            if host.state == State::Serving {
                self.hosts.entry(host.zone).or_default().push(key);
            }
        }
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
        self.share_rates(now);
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
        if let Some(refusal) = self.count(now, &ask) {
            return Some(Verdict::Refused(refusal));
        }
        if ask.kind != Kind::First {
            // A repeat of a request that crashes targets would crash one more.
            return match self.quarantine.may_retry(ask.fingerprint) {
                true => self.place(now, ask, rng),
                false => Some(Verdict::refused(Reason::Quarantined)),
            };
        }
        self.permit(now, now + MAX_VERDICT_WAIT, ask, rng)
    }

    fn place(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Option<Verdict> {
        match ask.origin {
            Origin::Host => self.admit(now, ask, rng),
            Origin::Caller | Origin::Home => self.route(now, ask, rng),
        }
    }

    /// Counts a request in its budgets; refuses a retry or a copy that is over them.
    fn count(&mut self, now: Instant, ask: &Ask) -> Option<Refusal> {
        let limits = *self.catalog.limits();
        let switches = self.switches;
        let budgets = self
            .budgets
            .entry(ask.service)
            .or_insert_with(|| ServiceBudgets::new(now, &limits, switches));
        let headroom = match self.groups.get(&ask.service).map(Group::headroom) {
            Some(free) if free.queued == 0 && free.in_flight < free.limit => {
                hedge::Headroom::Confirmed
            }
            _ => hedge::Headroom::Unconfirmed,
        };
        let allowed = match ask.kind {
            Kind::First => {
                budgets.record_request(now);
                true
            }
            Kind::Retry => budgets.retry.try_take(now),
            Kind::Hedge => budgets.hedge.try_hedge(now, headroom),
        };
        (!allowed).then(|| Refusal::new(Reason::Limited))
    }

    /// Own zone first, else where the split says; then where there is room.
    fn route(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Option<Verdict> {
        if ask.kind == Kind::Hedge {
            return Some(self.admit_now(now, ask, rng));
        }
        let home = self.home(now, &ask);
        if home == self.zone {
            let (id, spare) = (ask.id, ask.clone());
            return match self.admit(now, ask, rng) {
                Some(Verdict::Refused(refusal)) => Some(self.leave(now, &spare, refusal)),
                verdict => {
                    if verdict.is_none() {
                        self.spare.insert(id, spare);
                    }
                    verdict
                }
            };
        }
        let verdict = match home {
            Some(zone) => self.pass(now, &ask, zone),
            None => Err(Refusal::new(Reason::NoTarget)),
        };
        Some(match verdict {
            Ok(pass) => Verdict::Host(pass),
            Err(refusal) => self.spill(now, &ask, refusal),
        })
    }

    /// Asks the targets of this zone for a copy, which does not wait. It is asked only while nothing
    /// waits, so that its number belongs to no other request in the queue.
    fn admit_now(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Verdict {
        let id = ask.id;
        match self.admit(now, ask, rng) {
            Some(verdict) => verdict,
            None => {
                self.cancel(id);
                Verdict::refused(Reason::Limited)
            }
        }
    }

    /// Sends a request on that this zone refused: where the split has moved it, else where there is
    /// room.
    fn leave(&mut self, now: Instant, ask: &Ask, refusal: Refusal) -> Verdict {
        let pass = self.moved(ask).map(|zone| self.pass(now, ask, zone));
        match pass {
            Some(Ok(pass)) => Verdict::Host(pass),
            _ => self.spill(now, ask, refusal),
        }
    }

    /// Where a request went that was this zone's before its targets were lost. That move was counted
    /// when the split made it. Others that come here only by habit are not among those moved.
    fn moved(&self, ask: &Ask) -> Option<ZoneKey> {
        if ask.origin == Origin::Host || !self.is_bare(ask.service) {
            return None;
        }
        let before = self.served.get(&ask.service)?;
        let now = self.shifts.get(&(ask.service, ask.locality))?.current();
        let own = self
            .zone
            .filter(|&zone| self.catalog.region_of(zone) == ask.locality);
        if before.choose(ask.block, |_| true) != Some(own?) {
            return None;
        }
        now.choose(ask.block, |_| true)
            .filter(|&zone| Some(zone) != own)
    }

    /// Whether no target of this zone takes work.
    fn is_bare(&self, service: ServiceKey) -> bool {
        self.groups
            .get(&service)
            .is_none_or(|group| group.headroom().slots == 0)
    }

    /// The zone that a request belongs to.
    fn home(&mut self, now: Instant, ask: &Ask) -> Option<ZoneKey> {
        let Some(shift) = self.shifts.get_mut(&(ask.service, ask.locality)) else {
            return self.nearest(ask);
        };
        if ask.kind == Kind::First {
            shift.ledger().request(now);
        }
        let split = shift.current();
        if split.is_empty() {
            return self.nearest(ask);
        }
        let own = self
            .zone
            .filter(|_| ask.origin == Origin::Caller)
            .filter(|&zone| self.catalog.region_of(zone) == ask.locality);
        own.filter(|&zone| split.share(zone) > 0.0)
            .or_else(|| split.choose(ask.block, |_| true))
    }

    /// The own zone if it has targets of the service, else the nearest that may have room.
    fn nearest(&self, ask: &Ask) -> Option<ZoneKey> {
        if self.groups.contains_key(&ask.service) {
            return self.zone;
        }
        self.others(ask).first().copied()
    }

    /// Asks the targets of this zone.
    fn admit(&mut self, now: Instant, ask: Ask, rng: &mut impl Rng) -> Option<Verdict> {
        let Some(group) = self.groups.get_mut(&ask.service) else {
            return Some(Verdict::refused(Reason::NoTarget));
        };
        let service = self.catalog.service(ask.service);
        let request = group::Ask {
            id: ask.id,
            deadline: ask.deadline,
            priority: service.priority,
            affinity: ask.block,
            exclude: ask.targets,
        };
        match group.admit(now, request, rng) {
            group::Verdict::Go(grant) => {
                self.tally(now, ask.service).admitted += 1;
                Some(self.go(now, grant))
            }
            group::Verdict::Wait => {
                self.waiting.insert(ask.id, ask.service);
                None
            }
            group::Verdict::Refuse(refusal) => {
                if ask.kind != Kind::Hedge {
                    self.tally(now, ask.service).refused += 1;
                }
                Some(Verdict::Refused(refusal.into()))
            }
        }
    }

    fn tally(&mut self, now: Instant, service: ServiceKey) -> &mut AdmissionCounts {
        self.tallies
            .entry(service)
            .or_insert(AdmissionCounts::new(now))
    }

    fn go(&mut self, now: Instant, grant: group::Grant) -> Verdict {
        let service = self.catalog.target(grant.target()).service;
        let hedge = match self.catalog.service(service).repeat {
            Repeat::Safe => self
                .budgets
                .get_mut(&service)
                .and_then(|budgets| budgets.hedge.delay(now)),
            Repeat::Never => None,
        };
        Verdict::Target { grant, hedge }
    }

    /// Looks for another zone for a request that its own cannot take.
    fn spill(&mut self, now: Instant, ask: &Ask, refusal: Refusal) -> Verdict {
        if ask.origin == Origin::Host || ask.kind == Kind::Hedge {
            return Verdict::Refused(refusal);
        }
        let caps = Caps::new(&self.catalog, ask.service);
        let kind = self.kind(ask, refusal.reason);
        let budget = (ask.service, ask.locality, kind);
        if self.spent.get(&budget).is_some_and(|&until| now < until) {
            return Verdict::Refused(refusal);
        }
        for zone in self.others(ask) {
            let Some(shift) = self.shifts.get_mut(&(ask.service, ask.locality)) else {
                break;
            };
            if shift.ledger().room(now, caps.cap(kind)) <= 0.0 {
                break;
            }
            let Ok(pass) = self.pass(now, ask, zone) else {
                continue;
            };
            let decision = self
                .shifts
                .get_mut(&(ask.service, ask.locality))
                .map(|shift| shift.ledger().spill(now, caps.cap(kind)));
            if decision == Some(shift::Decision::Spill) {
                return Verdict::Host(pass);
            }
            self.release_pass(now, &pass, Back::All);
            self.spent.insert(budget, now + SPENT);
            break;
        }
        Verdict::Refused(refusal)
    }

    /// Whether a request leaves something that is lost. What the configuration took out is not lost,
    /// and neither are targets that only this request tried in vain.
    fn kind(&self, ask: &Ask, reason: Reason) -> Kindred {
        let serves = |zone| {
            let site = self.catalog.site(ask.service, zone);
            site.is_some_and(|site| site.slots > 0)
        };
        match reason {
            Reason::Unreachable => Kindred::Failover,
            Reason::NoTarget if self.is_bare(ask.service) && self.zone.is_some_and(serves) => {
                Kindred::Failover
            }
            _ => Kindred::Planned,
        }
    }

    /// Other zones that may have room, nearest first.
    fn others(&self, ask: &Ask) -> Vec<ZoneKey> {
        let Some(own) = self.zone else {
            return Vec::new();
        };
        let region = self.catalog.region_of(own);
        let mut zones: Vec<(Duration, ZoneKey)> = self
            .catalog
            .sites(ask.service)
            .filter(|&(zone, site)| zone != own && site.slots > 0)
            .filter(|&(zone, _)| self.has_room(ask.service, zone, region))
            .map(|(zone, _)| (self.distance(region, zone), zone))
            .collect();
        zones.sort();
        zones.into_iter().map(|(_, zone)| zone).collect()
    }

    /// Whether a zone is not known to be full. Of another region, room must be known.
    fn has_room(&self, service: ServiceKey, zone: ZoneKey, region: RegionKey) -> bool {
        if self.view.zones.get(&zone) == Some(&Standing::Lost) {
            return false;
        }
        match self.free.get(&(service, zone)) {
            Some(&free) => free > 0,
            None => self.catalog.region_of(zone) == region,
        }
    }

    fn distance(&self, from: RegionKey, zone: ZoneKey) -> Duration {
        let to = self.catalog.region_of(zone);
        if from == to {
            return Duration::ZERO;
        }
        self.catalog.link(from, to).map_or(FAR, |link| link.latency)
    }

    /// Chooses a host of another zone and takes what it costs to send a request there.
    fn pass(&mut self, now: Instant, ask: &Ask, zone: ZoneKey) -> Result<Pass, Refusal> {
        let host = self.host_in(ask, zone)?;
        let region = self.catalog.region_of(zone);
        let own = self.zone.map(|zone| self.catalog.region_of(zone));
        let work = self.hold_time(ask.service);
        if own != Some(region) && self.switches.quota == Switch::On {
            let bytes = ask.bytes as f64;
            self.quotas
                .take(now, own, (ask.service, region), work, bytes)
                .map_err(|refused| Refusal {
                    reason: Reason::Limited,
                    retry_after: refused.retry_after.max(MIN_RETRY_AFTER),
                })?;
        }
        *self.passes.entry(host).or_default() += 1;
        Ok(Pass {
            host,
            service: ask.service,
            region,
            work,
            bytes: ask.bytes,
            at: now,
        })
    }

    /// The live host of a zone with the fewest requests of this host. No more than [`MAX_HOSTS`] of a
    /// zone get one request. That they did not take it does not show that the zone is lost.
    fn host_in(&self, ask: &Ask, zone: ZoneKey) -> Result<HostKey, Refusal> {
        let hosts = self
            .hosts
            .get(&zone)
            .ok_or(Refusal::new(Reason::Unreachable))?;
        let tried = |host: &&HostKey| self.catalog.host(**host).zone == zone;
        if ask.hosts.iter().filter(tried).count() >= MAX_HOSTS {
            return Err(Refusal::new(Reason::Crowded));
        }
        hosts
            .iter()
            .filter(|host| !ask.hosts.contains(host))
            .min_by_key(|&host| {
                let load = self.passes.get(host).copied().unwrap_or_default();
                (load, (ask.id ^ u64::from(host.into_raw().into_u32())) % 7)
            })
            .copied()
            .ok_or(Refusal::new(Reason::Crowded))
    }

    fn hold_time(&self, service: ServiceKey) -> f64 {
        self.work.get(&service).copied().unwrap_or(DEFAULT_WORK)
    }

    /// Passes that were given and not handed back.
    pub fn passes(&self) -> u32 {
        self.passes.values().sum()
    }

    /// Takes back a pass.
    pub fn finish_pass(&mut self, now: Instant, pass: &Pass, back: Back) {
        self.release_pass(now, pass, back);
    }

    fn release_pass(&mut self, now: Instant, pass: &Pass, back: Back) {
        if let Some(count) = self.passes.get_mut(&pass.host) {
            *count = count.saturating_sub(1);
        }
        let own = self.zone.map(|zone| self.catalog.region_of(zone));
        if own == Some(pass.region) || self.switches.quota == Switch::Off {
            return;
        }
        let site = (pass.service, pass.region);
        match back {
            Back::All => {
                let bytes = pass.bytes as f64;
                self.quotas.put_back(now, own, site, pass.work, bytes);
            }
            Back::Nothing { bytes } => {
                let more = bytes.saturating_sub(pass.bytes) as f64;
                let held = self.held(now, pass);
                if !self.groups.contains_key(&pass.service) {
                    self.learn_work(pass.service, held);
                }
                self.quotas.charge(now, own, site, held - pass.work, more);
            }
        }
    }

    /// The longest time that a request sent to another region may have held a slot there, in seconds.
    fn held(&self, now: Instant, pass: &Pass) -> f64 {
        let time = now.saturating_duration_since(pass.at);
        let link = self
            .zone
            .and_then(|zone| self.catalog.link(self.catalog.region_of(zone), pass.region));
        let way = link.map_or(Duration::ZERO, |link| link.latency);
        time.saturating_sub(2 * way).as_secs_f64()
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
        if report.end == group::End::Answered {
            self.learn(now, service, report.latency);
        }
        let Some(group) = self.groups.get_mut(&service) else {
            return Vec::new();
        };
        let ready = group.finish(now, grant, report, rng);
        self.release(now, ready)
    }

    fn learn(&mut self, now: Instant, service: ServiceKey, latency: Duration) {
        if let Some(budgets) = self.budgets.get_mut(&service) {
            budgets.hedge.record_latency(now, latency);
        }
        self.learn_work(service, latency.as_secs_f64());
    }

    fn learn_work(&mut self, service: ServiceKey, seconds: f64) {
        let work = self.work.entry(service).or_insert(DEFAULT_WORK);
        *work += (seconds - *work) * WORK_GAIN;
    }

    /// A request that waits is no longer wanted.
    pub fn cancel(&mut self, id: Id) {
        self.unsure.retain(|(_, ask)| ask.id != id);
        self.done(id);
        self.spare.remove(&id);
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
        let mut decisions = self.release(now, ready);
        for (until, ask) in std::mem::take(&mut self.unsure) {
            let id = ask.id;
            let verdict = self.permit(now, until, ask, rng);
            decisions.extend(verdict.map(|verdict| (id, verdict)));
        }
        self.quarantine.expire(now);
        self.expire_rates(now);
        for (id, refusal) in refused {
            self.waiting.remove(&id);
            let verdict = match self.spare.remove(&id) {
                Some(ask) => self.leave(now, &ask, refusal.into()),
                None => Verdict::Refused(refusal.into()),
            };
            decisions.push((id, verdict));
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

    fn release(&mut self, now: Instant, ready: Vec<(Id, group::Grant)>) -> Vec<Decision> {
        let mut decisions = Vec::with_capacity(ready.len());
        for (id, grant) in ready {
            self.waiting.remove(&id);
            self.spare.remove(&id);
            let service = self.catalog.target(grant.target()).service;
            self.tally(now, service).admitted += 1;
            decisions.push((id, self.go(now, grant)));
        }
        decisions
    }
}

impl Verdict {
    fn refused(reason: Reason) -> Self {
        Self::Refused(Refusal::new(reason))
    }
}

impl Refusal {
    /// A refusal for `reason`, when nothing better is known of when to come back.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: RETRY_AFTER,
        }
    }
}

impl From<group::Refusal> for Refusal {
    fn from(refusal: group::Refusal) -> Self {
        let (reason, least) = match refusal.reason {
            group::Reason::NoTarget | group::Reason::Tried => (Reason::NoTarget, RETRY_AFTER),
            group::Reason::Deadline => (Reason::Timeout, MIN_RETRY_AFTER),
            group::Reason::Overload | group::Reason::Full => (Reason::Crowded, MIN_RETRY_AFTER),
        };
        Self {
            reason,
            retry_after: refusal.retry_after.max(least),
        }
    }
}
