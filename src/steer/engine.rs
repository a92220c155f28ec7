//! Routing engine of one entry host: selects the target or the remote host for each request.
//!
//! Pure: every event is passed in with the current time and a random source. Queued requests are held
//! here, and later calls return their [`Decision`]s.

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
use super::goal::{compute_goal, FlapDamping, View, ZoneHealth};
use super::group::{self, Group};
use super::hedge;
use super::lookup::Snapshot;
use super::quarantine::{Notice, Quarantine, MAX_VERDICT_WAIT};
use super::reach::Reach;
use super::relay_permit::{PermitUsage, RelayPermit, RelayQuotas};
use super::shift::{self, Caps, MoveKind, SplitController};
use super::split::Split;
use super::throttle::Throttle;
use crate::border::settings::{self as border, Switch};
use crate::catalog::{Catalog, HostKey, RegionKey, Repeat, ServiceKey, State, TargetKey, ZoneKey};
use crate::control::summary::Load;

/// Time after the first configuration during which splits of other hosts may still arrive.
const SPLIT_SETTLING_TIME: Duration = Duration::from_millis(1500);
/// Latency assumed between regions without a configured link.
const DEFAULT_LINK_LATENCY: Duration = Duration::from_secs(1);
/// Assumed time that a request occupies a slot before the first measurement, in seconds.
const DEFAULT_HOLD_SECONDS: f64 = 0.05;
/// Time during which an exhausted move budget is not checked again; little of it is released meanwhile.
const EXHAUSTED_BUDGET_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of hosts of one zone that a request is sent to.
const MAX_HOSTS_PER_ZONE: usize = 2;
/// How long a host of this zone that refused a request is not sent another one: it may have lost its
/// links too, and each refusal costs a retry.
const REFUSING_HOST_BACKOFF: Duration = Duration::from_secs(1);
/// Weight of one measurement in the moving average of the slot hold time.
const HOLD_SECONDS_WEIGHT: f64 = 0.05;
/// Time that a recovered zone must stay healthy before it receives traffic again.
const ZONE_RECOVERY_PERIOD: Duration = Duration::from_secs(5);
/// Default delay before a refused caller should retry.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum delay before a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Identifies a request on this host.
pub type Id = u64;

/// Kind of attempt to route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a request.
    First,
    /// A retry after a failed attempt.
    Retry,
    /// A hedge: a second copy sent while the first is slow.
    Hedge,
}

/// Sender of a request to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry host. Its request is served by a target of this zone or refused.
    Host,
    /// Another host that relayed a caller's request because this host issued its ticket. The ticket does
    /// not determine the zone, so the request is routed by the split alone, without preference for the
    /// own zone.
    TicketRelay,
}

/// An attempt of a request that is to be routed.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Id of the request.
    pub id: Id,
    /// Kind of the attempt.
    pub kind: AttemptKind,
    /// Sender of the request.
    pub origin: Origin,
    /// Requested service.
    pub service: ServiceKey,
    /// Region of the caller.
    pub locality: RegionKey,
    /// Hash of the caller's address block.
    pub block: u64,
    /// Length of the request body in bytes, as far as known.
    pub bytes: u64,
    /// Time after which an answer is useless.
    pub deadline: Instant,
    /// Targets already tried.
    pub targets: Vec<TargetKey>,
    /// Hosts already tried.
    pub hosts: Vec<HostKey>,
    /// Hash of the request's content; equal for repetitions of the same request.
    pub fingerprint: Fingerprint,
}

/// Routing result of one attempt.
#[derive(Debug)]
pub enum Verdict {
    /// Send it to a target of this zone.
    Target {
        /// Permission to send it to the target.
        grant: group::Grant,
        /// Delay after which to request a hedge if no answer has arrived.
        hedge: Option<Duration>,
    },
    /// Send it to an entry host of another zone.
    Host(RelayPermit),
    /// Refuse it; it was not executed.
    Refused(Refusal),
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Delay before the caller should retry.
    pub retry_after: Duration,
}

/// Verdict on a new or queued request.
pub type Decision = (Id, Verdict);

/// Routing state of one entry host.
pub struct Engine {
    catalog: Arc<Catalog>,
    config: group::Config,
    zone: Option<ZoneKey>,
    live_hosts: BTreeSet<HostKey>,
    /// Live hosts in the state serving, by zone.
    serving_hosts: BTreeMap<ZoneKey, Vec<HostKey>>,
    groups: BTreeMap<ServiceKey, Group>,
    /// Services of the requests that are queued for a target of this zone.
    queued_services: BTreeMap<Id, ServiceKey>,
    /// Copies of queued requests that may be routed to another zone if this zone refuses them.
    reroutable: BTreeMap<Id, RouteRequest>,
    switches: Switches,
    budgets: BTreeMap<ServiceKey, ServiceBudgets>,
    quotas: RelayQuotas,
    /// Outstanding requests relayed to each host.
    relays_by_host: BTreeMap<HostKey, u32>,
    /// Moving average of the time that a request of a service occupies a slot, in seconds.
    hold_seconds: BTreeMap<ServiceKey, f64>,
    /// Free slots of other zones, as last reported.
    free_slots: BTreeMap<(ServiceKey, ZoneKey), u32>,
    /// Time of the first configuration.
    configured_at: Option<Instant>,
    admission_counts: BTreeMap<ServiceKey, AdmissionCounts>,
    split_controllers: BTreeMap<(ServiceKey, RegionKey), SplitController>,
    /// Time until which the move budget of a service and locality counts as exhausted, by kind of move.
    exhausted_until: BTreeMap<(ServiceKey, RegionKey, MoveKind), Instant>,
    /// Split for callers of the own region at the time this zone last had serving targets.
    last_serving_splits: BTreeMap<ServiceKey, Split>,
    view: View,
    recovery: FlapDamping,
    quarantine: Quarantine,
    /// Suspected requests that wait for the quarantine's decision, each with the end of its wait.
    undecided: Vec<(Instant, RouteRequest)>,
    /// Suspected requests that were permitted to be sent to targets of this zone.
    suspect_permits: BTreeMap<Id, Fingerprint>,
    /// Quarantine notices to publish to other hosts.
    quarantine_notices: Vec<Notice>,
    /// Name of this host in the configuration.
    host: Arc<str>,
    /// Rate limits announced by targets of this zone.
    throttle: Throttle,
    /// Whether this host reaches the targets of this zone.
    reach: Reach<TargetKey>,
    /// Other hosts of this zone that refused requests of this host, and until when they are avoided.
    avoided_hosts: BTreeMap<HostKey, Instant>,
}

impl Engine {
    /// Creates an engine without a configuration.
    pub fn new(steer: &border::Steer, incarnation: u64) -> Self {
        Self {
            catalog: Arc::default(),
            config: group::Config::new(steer),
            zone: None,
            live_hosts: BTreeSet::new(),
            serving_hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            queued_services: BTreeMap::new(),
            reroutable: BTreeMap::new(),
            switches: Switches::new(steer),
            budgets: BTreeMap::new(),
            quotas: RelayQuotas::new(incarnation),
            relays_by_host: BTreeMap::new(),
            hold_seconds: BTreeMap::new(),
            free_slots: BTreeMap::new(),
            configured_at: None,
            admission_counts: BTreeMap::new(),
            split_controllers: BTreeMap::new(),
            exhausted_until: BTreeMap::new(),
            last_serving_splits: BTreeMap::new(),
            view: View::default(),
            recovery: FlapDamping::new(ZONE_RECOVERY_PERIOD),
            quarantine: Quarantine::new(incarnation),
            undecided: Vec::new(),
            suspect_permits: BTreeMap::new(),
            quarantine_notices: Vec::new(),
            host: "".into(),
            throttle: Throttle::new(),
            reach: Reach::new(),
            avoided_hosts: BTreeMap::new(),
        }
    }

    /// Sets the name of this host in the configuration.
    pub fn with_host(mut self, host: Arc<str>) -> Self {
        self.host = host;
        self
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the load of each service in this zone as seen by this host, for publication to other hosts.
    pub fn service_loads(&mut self, now: Instant) -> BTreeMap<ServiceKey, Load> {
        let mut loads = BTreeMap::new();
        for (&service, group) in &self.groups {
            let headroom = group.headroom();
            let counts = self
                .admission_counts
                .entry(service)
                .or_insert(AdmissionCounts::new(now));
            let (admitted, refused) = counts.take_rates(now);
            loads.insert(
                service,
                Load {
                    live: (f64::from(headroom.slots) * (1.0 - headroom.ejected)) as f32,
                    cold: headroom.cold as f32,
                    in_flight: headroom.in_flight as f32,
                    queued: headroom.queued as f32,
                    admitted,
                    refused,
                },
            );
        }
        loads
    }

    /// Returns the unused fraction of this host's quota of each link between regions since the last call,
    /// 0 to 1.
    pub fn link_headroom(&mut self, now: Instant) -> BTreeMap<(RegionKey, RegionKey), f64> {
        self.quotas.link_headroom(now)
    }

    /// Returns the target group of a service in this zone.
    pub fn group(&self, service: ServiceKey) -> Option<&Group> {
        self.groups.get(&service)
    }

    /// Applies a configuration, for a host in the zone `zone`.
    pub fn configure(&mut self, now: Instant, catalog: Arc<Catalog>, zone: &str) {
        self.configured_at.get_or_insert(now);
        self.zone = catalog.zone_key(zone);
        self.catalog = catalog;
        if let Some(zone) = self.zone {
            let own_region = self.catalog.region_of(zone);
            self.quotas.configure(now, &self.catalog, own_region);
        }
        let limits = *self.catalog.limits();
        for budgets in self.budgets.values_mut() {
            budgets.set_limits(&limits);
        }
        self.index_serving_hosts();
        self.update_groups(now);
        self.advance_splits(now);
    }

    /// Records the result of a target's health check.
    pub fn set_health(
        &mut self,
        now: Instant,
        target: TargetKey,
        health: group::Health,
        state: Option<group::State>,
    ) {
        let service = self.catalog.target(target).service;
        let total = self.target_count();
        match health {
            group::Health::Unreached => {
                self.reach.record_failure(now, target, total);
                self.reach.record_probe_failure(target, total);
            }
            group::Health::Up | group::Health::Down => {
                self.reach.record_probe_answer(target, total);
            }
        }
        if let Some(group) = self.groups.get_mut(&service) {
            group.set_health(target, health);
            if let Some(state) = state {
                group.set_state(now, target, group::Source::Health, state);
            }
        }
    }

    /// Sends nothing to a target for `time`, as it asked. Returns whether it was not resting before.
    pub fn record_rest(&mut self, now: Instant, target: TargetKey, time: Duration) -> bool {
        let service = self.catalog.target(target).service;
        let group = self.groups.get_mut(&service);
        group.is_some_and(|group| group.begin_rest(now, target, time))
    }

    /// Returns the targets of this zone that rest.
    pub fn resting_targets(&self, now: Instant) -> BTreeSet<TargetKey> {
        let groups = self.groups.values();
        groups
            .flat_map(|group| group.resting_targets(now))
            .collect()
    }

    /// Whether this host reaches targets of this zone, as far as it knows.
    pub fn reaches_targets(&self) -> bool {
        !self.reach.is_cut_off()
    }

    /// Returns the number of targets of this zone.
    fn target_count(&self) -> usize {
        self.groups.values().map(Group::target_count).sum()
    }

    /// Records that another host refused a request that this host relayed.
    pub fn record_relay_refusal(&mut self, now: Instant, host: HostKey) {
        self.avoided_hosts.retain(|_, until| now < *until);
        if Some(self.catalog.host(host).zone) == self.zone {
            self.avoided_hosts.insert(host, now + REFUSING_HOST_BACKOFF);
        }
    }

    /// Replaces the reported free slots of other zones.
    pub fn set_free_slots(&mut self, free: BTreeMap<(ServiceKey, ZoneKey), u32>) {
        self.free_slots = free;
    }

    /// Returns this host's non-empty splits.
    pub fn splits(&self) -> BTreeMap<(ServiceKey, RegionKey), Split> {
        self.split_controllers
            .iter()
            .filter(|(_, controller)| !controller.current().is_empty())
            .map(|(&key, controller)| (key, controller.current().clone()))
            .collect()
    }

    /// Adopts the splits of another host where this host has none yet.
    pub fn adopt_splits(&mut self, now: Instant, splits: BTreeMap<(ServiceKey, RegionKey), Split>) {
        for (key, split) in splits {
            let is_new = self
                .split_controllers
                .get(&key)
                .is_none_or(|controller| controller.current().is_empty());
            if is_new && !split.is_empty() {
                self.split_controllers
                    .insert(key, SplitController::with_current(split, now));
            }
        }
    }

    /// Sets the observed state of the zones.
    pub fn set_view(&mut self, now: Instant, mut view: View) {
        self.add_own_zone(&mut view);
        for (&zone, status) in &mut view.zones {
            *status = self.recovery.observe(now, zone, *status);
        }
        self.view = view;
        self.advance_splits(now);
    }

    /// Adds this host's own zone with its measured slots to the view.
    fn add_own_zone(&self, view: &mut View) {
        let Some(zone) = self.zone else {
            return;
        };
        view.zones.insert(zone, ZoneHealth::Alive);
        for (&service, group) in &self.groups {
            view.slots.insert((service, zone), group.headroom().slots);
        }
    }

    /// Whether no splits are computed yet, since other hosts may still publish theirs.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.configured_at
            .is_none_or(|first| now.saturating_duration_since(first) < SPLIT_SETTLING_TIME)
    }

    /// Returns the view with zones of unknown state taken as alive and missing measurements replaced by
    /// the configured slots. Used for the first split only; later moves rely on measurements alone.
    fn with_configured_slots(&self, view: &View) -> View {
        let mut view = view.clone();
        for (service, _) in self.catalog.services() {
            for (zone, site) in self.catalog.sites(service) {
                let status = view.zones.entry(zone).or_insert(ZoneHealth::Unknown);
                if *status == ZoneHealth::Unknown {
                    *status = ZoneHealth::Alive;
                }
                view.slots.entry((service, zone)).or_insert(site.slots);
            }
        }
        view
    }

    /// Moves each split towards its goal, as far as its move budget allows.
    fn advance_splits(&mut self, now: Instant) {
        if self.is_settling(now) {
            return;
        }
        let assumed = self.with_configured_slots(&self.view);
        let catalog = self.catalog.clone();
        let regions: Vec<RegionKey> = catalog.regions().map(|(key, _)| key).collect();
        for (service, _) in catalog.services() {
            let caps = Caps::new(&catalog, service);
            for &locality in &regions {
                let controller = self
                    .split_controllers
                    .entry((service, locality))
                    .or_insert_with(|| SplitController::new(Split::default()));
                let view = if controller.current().is_empty() {
                    &assumed
                } else {
                    &self.view
                };
                let goal = compute_goal(&catalog, service, locality, view, controller.current());
                controller.advance(now, &goal.split, goal.kind, &caps);
            }
        }
        self.record_serving_splits();
    }

    /// Records the current splits of services that have serving targets in this zone.
    fn record_serving_splits(&mut self) {
        let Some(own_region) = self.zone.map(|zone| self.catalog.region_of(zone)) else {
            return;
        };
        for (&service, group) in &self.groups {
            if let Some(controller) = self.split_controllers.get(&(service, own_region)) {
                if group.headroom().slots > 0 {
                    self.last_serving_splits
                        .insert(service, controller.current().clone());
                }
            }
        }
    }

    /// Returns the snapshot from which look-ups are answered until the next change.
    pub fn lookup_snapshot(&self) -> Option<Snapshot> {
        let splits = |service, locality| {
            let controller = self.split_controllers.get(&(service, locality))?;
            Some(controller.current().clone())
        };
        Some(Snapshot::new(
            &self.catalog,
            &self.live_hosts,
            splits,
            self.zone?,
        ))
    }

    /// Sets the live hosts.
    pub fn set_live(&mut self, now: Instant, live: BTreeSet<HostKey>) {
        self.live_hosts = live;
        self.index_serving_hosts();
        self.update_groups(now);
    }

    fn index_serving_hosts(&mut self) {
        self.serving_hosts.clear();
        for &key in &self.live_hosts {
            let host = self.catalog.host(key);
            if host.state == State::Serving {
                self.serving_hosts.entry(host.zone).or_default().push(key);
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
        self.apply_rate_shares(now);
    }

    fn configured_hosts(&self, zone: ZoneKey) -> usize {
        self.catalog
            .hosts()
            .filter(|(_, host)| host.zone == zone && host.state != State::Off)
            .count()
            .max(1)
    }

    /// Routes an attempt. Returns `None` if it was queued.
    pub fn submit(
        &mut self,
        now: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        if let Some(refusal) = self.charge_budgets(now, &request) {
            return Some(Verdict::Refused(refusal));
        }
        if request.kind == AttemptKind::Hedge && !self.quarantine.may_retry(request.fingerprint) {
            // A hedge of a request that crashes targets would crash another target.
            return Some(Verdict::refused(Reason::Quarantined));
        }
        self.admit_unless_quarantined(now, now + MAX_VERDICT_WAIT, request, rng)
    }

    fn dispatch(
        &mut self,
        now: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        match request.origin {
            Origin::Host => self.admit_locally(now, request, rng),
            Origin::Caller | Origin::TicketRelay => self.route(now, request, rng),
        }
    }

    /// Charges an attempt to the service's budgets; refuses a retry or hedge that exceeds them.
    fn charge_budgets(&mut self, now: Instant, request: &RouteRequest) -> Option<Refusal> {
        let limits = *self.catalog.limits();
        let switches = self.switches;
        let budgets = self
            .budgets
            .entry(request.service)
            .or_insert_with(|| ServiceBudgets::new(now, &limits, switches));
        let headroom = match self.groups.get(&request.service).map(Group::headroom) {
            Some(headroom) if headroom.queued == 0 && headroom.in_flight < headroom.limit => {
                hedge::Headroom::Confirmed
            }
            _ => hedge::Headroom::Unconfirmed,
        };
        let allowed = match request.kind {
            AttemptKind::First => {
                budgets.record_request(now);
                true
            }
            AttemptKind::Retry => budgets.retry.try_take(now),
            AttemptKind::Hedge => budgets.hedge.try_hedge(now, headroom),
        };
        (!allowed).then(|| Refusal::new(Reason::Limited))
    }

    /// Routes to the own zone or else to the zone given by the split; spills over if that one refuses.
    fn route(
        &mut self,
        now: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        if request.kind == AttemptKind::Hedge {
            return Some(self.admit_hedge(now, request, rng));
        }
        let zone = self.home_zone(now, &request);
        if zone == self.zone && self.reach.is_cut_off() {
            return Some(self.route_around(now, &request));
        }
        if zone == self.zone {
            let (id, retained) = (request.id, request.clone());
            return match self.admit_locally(now, request, rng) {
                Some(Verdict::Refused(refusal)) => Some(self.reroute(now, &retained, refusal)),
                verdict => {
                    if verdict.is_none() {
                        self.reroutable.insert(id, retained);
                    }
                    verdict
                }
            };
        }
        let verdict = match zone {
            Some(zone) => self.issue_permit(now, &request, zone),
            None => Err(Refusal::new(Reason::NoTarget)),
        };
        Some(match verdict {
            Ok(permit) => Verdict::Host(permit),
            Err(refusal) => self.spill_over(now, &request, refusal),
        })
    }

    /// Routes a request of this zone while this host has lost its links to the zone's targets: to
    /// another host of the zone, else to another zone.
    fn route_around(&mut self, now: Instant, request: &RouteRequest) -> Verdict {
        let permit = self.zone.map(|zone| self.issue_permit(now, request, zone));
        match permit {
            Some(Ok(permit)) => Verdict::Host(permit),
            _ => self.spill_over(now, request, Refusal::new(Reason::Unreachable)),
        }
    }

    /// Admits a hedge to a target of this zone, or refuses it instead of queueing it. Hedges are requested
    /// only while the queue is empty, so no other queued request has the same id.
    fn admit_hedge(&mut self, now: Instant, request: RouteRequest, rng: &mut impl Rng) -> Verdict {
        let id = request.id;
        match self.admit_locally(now, request, rng) {
            Some(verdict) => verdict,
            None => {
                self.cancel(id);
                Verdict::refused(Reason::Limited)
            }
        }
    }

    /// Reroutes a request that this zone refused: to the zone to which the split moved its block, else to
    /// a zone with room.
    fn reroute(&mut self, now: Instant, request: &RouteRequest, refusal: Refusal) -> Verdict {
        let permit = self
            .moved_to(request)
            .map(|zone| self.issue_permit(now, request, zone));
        match permit {
            Some(Ok(permit)) => Verdict::Host(permit),
            _ => self.spill_over(now, request, refusal),
        }
    }

    /// Returns the zone to which the split moved the request's block when this zone lost its targets. That
    /// move was charged to the budget when the split changed. Blocks that the split had not assigned to
    /// this zone are not included.
    fn moved_to(&self, request: &RouteRequest) -> Option<ZoneKey> {
        if request.origin == Origin::Host || !self.has_no_slots(request.service) {
            return None;
        }
        let last_serving_split = self.last_serving_splits.get(&request.service)?;
        let current_split = self
            .split_controllers
            .get(&(request.service, request.locality))?
            .current();
        let own_zone = self
            .zone
            .filter(|&zone| self.catalog.region_of(zone) == request.locality);
        if last_serving_split.choose(request.block, |_| true) != Some(own_zone?) {
            return None;
        }
        current_split
            .choose(request.block, |_| true)
            .filter(|&zone| Some(zone) != own_zone)
    }

    /// Whether no target of this zone accepts requests of the service.
    fn has_no_slots(&self, service: ServiceKey) -> bool {
        self.groups
            .get(&service)
            .is_none_or(|group| group.headroom().slots == 0)
    }

    fn has_ejected_targets(&self, service: ServiceKey) -> bool {
        let group = self.groups.get(&service);
        group.is_some_and(|group| group.headroom().ejected > 0.0)
    }

    /// Returns the zone that should serve a request.
    fn home_zone(&mut self, now: Instant, request: &RouteRequest) -> Option<ZoneKey> {
        let Some(controller) = self
            .split_controllers
            .get_mut(&(request.service, request.locality))
        else {
            return self.nearest_zone(request);
        };
        if request.kind == AttemptKind::First {
            controller.budget_mut().record_request(now);
        }
        let split = controller.current();
        if split.is_empty() {
            return self.nearest_zone(request);
        }
        let own_zone = self
            .zone
            .filter(|_| request.origin == Origin::Caller)
            .filter(|&zone| self.catalog.region_of(zone) == request.locality);
        own_zone
            .filter(|&zone| split.share(zone) > 0.0)
            .or_else(|| split.choose(request.block, |_| true))
    }

    /// Returns the own zone if it has targets of the service, else the nearest zone that may have room.
    fn nearest_zone(&self, request: &RouteRequest) -> Option<ZoneKey> {
        if self.groups.contains_key(&request.service) {
            return self.zone;
        }
        self.spill_over_zones(request).first().copied()
    }

    /// Admits the request to a target of this zone, queues it (`None`) or refuses it.
    fn admit_locally(
        &mut self,
        now: Instant,
        request: RouteRequest,
        rng: &mut impl Rng,
    ) -> Option<Verdict> {
        if self.reach.is_cut_off() {
            return Some(Verdict::refused(Reason::NoTarget));
        }
        let Some(group) = self.groups.get_mut(&request.service) else {
            return Some(Verdict::refused(Reason::NoTarget));
        };
        let service = self.catalog.service(request.service);
        let target_request = group::TargetRequest {
            id: request.id,
            deadline: request.deadline,
            priority: service.priority,
            affinity: request.block,
            exclude: request.targets,
        };
        match group.admit(now, target_request, rng) {
            group::Verdict::Admit(grant) => {
                self.admission_counts_of(now, request.service).admitted += 1;
                Some(self.target_verdict(now, grant))
            }
            group::Verdict::Wait => {
                self.queued_services.insert(request.id, request.service);
                None
            }
            group::Verdict::Refuse(refusal) => {
                if request.kind != AttemptKind::Hedge {
                    self.admission_counts_of(now, request.service).refused += 1;
                }
                Some(Verdict::Refused(refusal.into()))
            }
        }
    }

    fn admission_counts_of(&mut self, now: Instant, service: ServiceKey) -> &mut AdmissionCounts {
        self.admission_counts
            .entry(service)
            .or_insert(AdmissionCounts::new(now))
    }

    fn target_verdict(&mut self, now: Instant, grant: group::Grant) -> Verdict {
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

    /// Sends a request that its zone refused to the nearest zone with room, within the move budget.
    fn spill_over(&mut self, now: Instant, request: &RouteRequest, refusal: Refusal) -> Verdict {
        if request.origin == Origin::Host || request.kind == AttemptKind::Hedge {
            return Verdict::Refused(refusal);
        }
        let caps = Caps::new(&self.catalog, request.service);
        let kind = self.move_kind(request, refusal.reason);
        let budget = (request.service, request.locality, kind);
        if self
            .exhausted_until
            .get(&budget)
            .is_some_and(|&until| now < until)
        {
            return Verdict::Refused(refusal);
        }
        for zone in self.spill_over_zones(request) {
            let Some(controller) = self
                .split_controllers
                .get_mut(&(request.service, request.locality))
            else {
                break;
            };
            if controller.budget_mut().available(now, caps.cap(kind)) <= 0.0 {
                break;
            }
            let Ok(permit) = self.issue_permit(now, request, zone) else {
                continue;
            };
            let decision = self
                .split_controllers
                .get_mut(&(request.service, request.locality))
                .map(|controller| controller.budget_mut().try_spill(now, caps.cap(kind)));
            if decision == Some(shift::SpillDecision::Spill) {
                return Verdict::Host(permit);
            }
            self.release_permit(now, &permit, PermitUsage::Unused);
            self.exhausted_until
                .insert(budget, now + EXHAUSTED_BUDGET_BACKOFF);
            break;
        }
        Verdict::Refused(refusal)
    }

    /// Returns the kind of move that a spill-over counts as. It is failover if the zone is unreachable, has
    /// lost all targets, or is full as some of them are ejected; targets that the configuration removed, or
    /// that only failed for this request, make it a planned move.
    fn move_kind(&self, request: &RouteRequest, reason: Reason) -> MoveKind {
        let serves = |zone| {
            let site = self.catalog.site(request.service, zone);
            site.is_some_and(|site| site.slots > 0)
        };
        match reason {
            Reason::Unreachable => MoveKind::Failover,
            Reason::Crowded if self.has_ejected_targets(request.service) => MoveKind::Failover,
            Reason::NoTarget
                if self.has_no_slots(request.service) && self.zone.is_some_and(serves) =>
            {
                MoveKind::Failover
            }
            _ => MoveKind::Planned,
        }
    }

    /// Returns the other zones that may have room, nearest first.
    fn spill_over_zones(&self, request: &RouteRequest) -> Vec<ZoneKey> {
        let Some(own_zone) = self.zone else {
            return Vec::new();
        };
        let own_region = self.catalog.region_of(own_zone);
        let mut zones: Vec<(Duration, ZoneKey)> = self
            .catalog
            .sites(request.service)
            .filter(|&(zone, site)| zone != own_zone && site.slots > 0)
            .filter(|&(zone, _)| self.may_have_room(request.service, zone, own_region))
            .map(|(zone, _)| (self.latency_to(own_region, zone), zone))
            .collect();
        zones.sort();
        zones.into_iter().map(|(_, zone)| zone).collect()
    }

    /// Whether a zone may have free slots. Without a report, only zones of the own region count as free.
    fn may_have_room(&self, service: ServiceKey, zone: ZoneKey, own_region: RegionKey) -> bool {
        if self.view.zones.get(&zone) == Some(&ZoneHealth::Lost) {
            return false;
        }
        match self.free_slots.get(&(service, zone)) {
            Some(&free) => free > 0,
            None => self.catalog.region_of(zone) == own_region,
        }
    }

    fn latency_to(&self, from: RegionKey, zone: ZoneKey) -> Duration {
        let to = self.catalog.region_of(zone);
        if from == to {
            return Duration::ZERO;
        }
        self.catalog
            .link(from, to)
            .map_or(DEFAULT_LINK_LATENCY, |link| link.latency)
    }

    /// Chooses a host of another zone and charges the quotas for sending the request there.
    fn issue_permit(
        &mut self,
        now: Instant,
        request: &RouteRequest,
        zone: ZoneKey,
    ) -> Result<RelayPermit, Refusal> {
        let host = self.choose_host(now, request, zone)?;
        let region = self.catalog.region_of(zone);
        let own_region = self.zone.map(|zone| self.catalog.region_of(zone));
        let hold_seconds = self.mean_hold_seconds(request.service);
        if own_region != Some(region) && self.switches.quota == Switch::On {
            let bytes = request.bytes as f64;
            self.quotas
                .charge(
                    now,
                    own_region,
                    (request.service, region),
                    hold_seconds,
                    bytes,
                )
                .map_err(|refused| Refusal {
                    reason: Reason::Limited,
                    retry_after: refused.retry_after.max(MIN_RETRY_AFTER),
                })?;
        }
        *self.relays_by_host.entry(host).or_default() += 1;
        Ok(RelayPermit {
            host,
            service: request.service,
            region,
            slot_seconds: hold_seconds,
            bytes: request.bytes,
            issued_at: now,
        })
    }

    /// Returns the live host of a zone with the fewest outstanding requests of this host. A request is sent
    /// to at most [`MAX_HOSTS_PER_ZONE`] hosts of a zone. Their refusals do not mark the zone as lost, so
    /// the reason is `Crowded`.
    fn choose_host(
        &self,
        now: Instant,
        request: &RouteRequest,
        zone: ZoneKey,
    ) -> Result<HostKey, Refusal> {
        let hosts = self
            .serving_hosts
            .get(&zone)
            .ok_or(Refusal::new(Reason::Unreachable))?;
        let tried = |host: &&HostKey| self.catalog.host(**host).zone == zone;
        if request.hosts.iter().filter(tried).count() >= MAX_HOSTS_PER_ZONE {
            return Err(Refusal::new(Reason::Crowded));
        }
        hosts
            .iter()
            .filter(|host| !request.hosts.contains(host) && !self.is_avoided(now, **host))
            .min_by_key(|&host| {
                let load = self.relays_by_host.get(host).copied().unwrap_or_default();
                (
                    load,
                    (request.id ^ u64::from(host.into_raw().into_u32())) % 7,
                )
            })
            .copied()
            .ok_or(Refusal::new(Reason::Crowded))
    }

    /// Whether a host is this one, or one of this zone that refused a request lately.
    fn is_avoided(&self, now: Instant, host: HostKey) -> bool {
        let avoided_until = self.avoided_hosts.get(&host);
        self.catalog.host(host).name == self.host || avoided_until.is_some_and(|until| now < *until)
    }

    fn mean_hold_seconds(&self, service: ServiceKey) -> f64 {
        self.hold_seconds
            .get(&service)
            .copied()
            .unwrap_or(DEFAULT_HOLD_SECONDS)
    }

    /// Returns the number of outstanding relay permits.
    pub fn outstanding_relays(&self) -> u32 {
        self.relays_by_host.values().sum()
    }

    /// Returns a relay permit after its request has ended.
    pub fn finish_relay(&mut self, now: Instant, permit: &RelayPermit, usage: PermitUsage) {
        self.release_permit(now, permit, usage);
    }

    fn release_permit(&mut self, now: Instant, permit: &RelayPermit, usage: PermitUsage) {
        if let Some(count) = self.relays_by_host.get_mut(&permit.host) {
            *count = count.saturating_sub(1);
        }
        let own_region = self.zone.map(|zone| self.catalog.region_of(zone));
        if own_region == Some(permit.region) || self.switches.quota == Switch::Off {
            return;
        }
        let site = (permit.service, permit.region);
        match usage {
            PermitUsage::Unused => {
                let bytes = permit.bytes as f64;
                self.quotas
                    .refund(now, own_region, site, permit.slot_seconds, bytes);
            }
            PermitUsage::Used { bytes } => {
                let extra_bytes = bytes.saturating_sub(permit.bytes) as f64;
                let measured_seconds = self.max_hold_seconds(now, permit);
                if !self.groups.contains_key(&permit.service) {
                    self.record_hold_seconds(permit.service, measured_seconds);
                }
                self.quotas.charge_extra(
                    now,
                    own_region,
                    site,
                    measured_seconds - permit.slot_seconds,
                    extra_bytes,
                );
            }
        }
    }

    /// Returns the longest time that a request sent to another region can have occupied a slot, in seconds.
    fn max_hold_seconds(&self, now: Instant, permit: &RelayPermit) -> f64 {
        let elapsed = now.saturating_duration_since(permit.issued_at);
        let link = self.zone.and_then(|zone| {
            self.catalog
                .link(self.catalog.region_of(zone), permit.region)
        });
        let latency = link.map_or(Duration::ZERO, |link| link.latency);
        elapsed.saturating_sub(2 * latency).as_secs_f64()
    }

    /// Ends a target's grant. Returns the decisions on queued requests that can now be sent.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: group::Grant,
        report: group::Report,
        rng: &mut impl Rng,
    ) -> Vec<Decision> {
        let service = self.catalog.target(grant.target()).service;
        match report.end {
            group::End::Answered | group::End::Refused => self.reach.record_answer(),
            group::End::ConnectFailed | group::End::Broken => {
                let total = self.target_count();
                self.reach.record_failure(now, grant.target(), total);
            }
            group::End::TimedOut | group::End::Cancelled => {}
        }
        if report.end == group::End::Answered {
            self.record_latency(now, service, report.latency);
        }
        let Some(group) = self.groups.get_mut(&service) else {
            return Vec::new();
        };
        let ready = group.finish(now, grant, report, rng);
        self.dispatch_ready(now, ready)
    }

    fn record_latency(&mut self, now: Instant, service: ServiceKey, latency: Duration) {
        if let Some(budgets) = self.budgets.get_mut(&service) {
            budgets.hedge.record_latency(now, latency);
        }
        self.record_hold_seconds(service, latency.as_secs_f64());
    }

    fn record_hold_seconds(&mut self, service: ServiceKey, seconds: f64) {
        let hold_seconds = self
            .hold_seconds
            .entry(service)
            .or_insert(DEFAULT_HOLD_SECONDS);
        *hold_seconds += (seconds - *hold_seconds) * HOLD_SECONDS_WEIGHT;
    }

    /// Cancels a queued request.
    pub fn cancel(&mut self, id: Id) {
        self.undecided.retain(|(_, request)| request.id != id);
        self.release_suspect_permit(id);
        self.reroutable.remove(&id);
        if let Some(service) = self.queued_services.remove(&id) {
            if let Some(group) = self.groups.get_mut(&service) {
                group.cancel(id);
            }
        }
    }

    /// Processes timeouts: refuses queued requests that cannot meet their deadline and sends those that can
    /// go now.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Decision> {
        let mut ready = Vec::new();
        let mut refused = Vec::new();
        for group in self.groups.values_mut() {
            refused.extend(group.expire(now));
            ready.extend(group.ready(now, rng));
        }
        let mut decisions = self.dispatch_ready(now, ready);
        for (until, request) in std::mem::take(&mut self.undecided) {
            let id = request.id;
            let verdict = self.admit_isolated(now, until, request, rng);
            decisions.extend(verdict.map(|verdict| (id, verdict)));
        }
        self.quarantine.expire(now);
        self.expire_rates(now);
        for (id, refusal) in refused {
            self.queued_services.remove(&id);
            let verdict = match self.reroutable.remove(&id) {
                Some(request) => self.reroute(now, &request, refusal.into()),
                None => Verdict::Refused(refusal.into()),
            };
            decisions.push((id, verdict));
        }
        decisions
    }

    /// Returns the time at which [`Engine::tick`] should be called next.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        self.groups
            .values()
            .filter_map(|group| group.next_wake(now))
            .min()
    }

    fn dispatch_ready(&mut self, now: Instant, ready: Vec<(Id, group::Grant)>) -> Vec<Decision> {
        let mut decisions = Vec::with_capacity(ready.len());
        for (id, grant) in ready {
            self.queued_services.remove(&id);
            self.reroutable.remove(&id);
            let service = self.catalog.target(grant.target()).service;
            self.admission_counts_of(now, service).admitted += 1;
            decisions.push((id, self.target_verdict(now, grant)));
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
    /// Creates a refusal with the default retry delay.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

impl From<group::Refusal> for Refusal {
    fn from(refusal: group::Refusal) -> Self {
        let (reason, least) = match refusal.reason {
            group::Reason::NoTarget | group::Reason::Tried => {
                (Reason::NoTarget, DEFAULT_RETRY_AFTER)
            }
            group::Reason::Deadline => (Reason::Timeout, MIN_RETRY_AFTER),
            group::Reason::Overload | group::Reason::Full => (Reason::Crowded, MIN_RETRY_AFTER),
        };
        Self {
            reason,
            retry_after: refusal.retry_after.max(least),
        }
    }
}
