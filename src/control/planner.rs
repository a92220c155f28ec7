//! Makes plans from the load summaries of the zones.
//!
//! A plan moves shares away from zones above the utilization limit to zones with headroom, and
//! slowly back home once there is room again. Each host moves its own split towards the plan within
//! the operator's caps, so a late, skipped or wrong plan cannot exceed these.
//!
//! A sample counts for the next step of a service only if it was taken strictly after the last step
//! came into force on all hosts that reported. The rule is that of per-query causal reads (ProxySQL
//! issue 6485: the first sample sent strictly later than the recorded execution). It prevents the
//! planner from reacting twice to the same load: in `benches/control.rs`, after a burst the split
//! overshot by 8 to 42 % of the traffic without the rule and by none with it. A zone whose samples
//! are missing or old neither gives nor receives shares.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::membership::ZoneStatus;
use super::plan::{Plan, Shares, Stamp};
use super::summary::{Entry, Load, Table};
use crate::catalog::{Cap, Catalog, HostKey, RegionKey, ServiceKey, State, ZoneKey};

/// Minimum time between plans.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Age from which a sample is ignored.
pub const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);
/// Fraction of the excess load that one step moves away.
const STEP_GAIN: f64 = 0.7;
/// Fraction of the limit down to which excess is reduced, and up to which other zones are filled.
const FILL_LEVEL: f64 = 0.95;
/// Fraction of the limit below which a home zone takes its share back.
const RETURN_LEVEL: f64 = 0.8;
/// Share of the first trial return to a home zone that has none of the traffic.
const PROBE_SHARE: f64 = 0.02;
/// Smallest share worth moving.
const MIN_SHARE_MOVE: f64 = 0.002;
/// Fraction of a cold slot that does not count as capacity.
const COLD_SLOT_DISCOUNT: f64 = 0.5;
/// Largest factor by which refusals scale up the observed load.
const MAX_REFUSAL_FACTOR: f64 = 3.0;
/// A return that must be undone within this number of windows counts as a failure.
const FAILED_RETURN_WINDOWS: u32 = 4;
/// Number of windows after which failed returns are forgotten.
const FORGET_FAILURES_WINDOWS: u32 = 128;
/// Number of failures up to which each doubles the wait for the next return.
const MAX_RETURN_FAILURES: u32 = 6;
/// How samples that may not reflect the last step yet are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Causality {
    /// Ignored: a sample must be taken after the step came into force.
    #[default]
    Strict,
    /// Used once the window of the cap has passed since the step.
    Window,
    /// Used at once.
    Ignored,
}

/// The last step of a service.
#[derive(Clone, Copy, Debug)]
struct Step {
    stamp: Stamp,
    made: Instant,
    window: Duration,
    /// When it was known to be in force on all hosts.
    settled: Option<Instant>,
}

/// When a locality last returned load to its home zones, and how often returns failed.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnBackoff {
    returned: Option<Instant>,
    failures: u32,
}

impl ReturnBackoff {
    /// Records that load had to be moved away again. If the last return was recent, it counts as
    /// failed and the next one waits longer.
    fn record_failure(&mut self, now: Instant, window: Duration) {
        let is_recent = |at: Instant| now < at + window * FAILED_RETURN_WINDOWS;
        if self.returned.is_some_and(is_recent) {
            self.failures = (self.failures + 1).min(MAX_RETURN_FAILURES);
        }
    }

    /// Whether a return is allowed. The wait doubles with each failure.
    fn is_return_allowed(&mut self, now: Instant, window: Duration) -> bool {
        let Some(returned) = self.returned else {
            return true;
        };
        if now >= returned + window * FORGET_FAILURES_WINDOWS {
            self.failures = 0;
        }
        self.failures == 0 || now >= returned + window * (1 << self.failures)
    }
}

/// The input of the planner.
pub struct View<'a> {
    /// The configuration.
    pub catalog: &'a Catalog,
    /// The summaries of the zones.
    pub summaries: &'a Table,
    /// The status of each zone.
    pub zone_statuses: &'a BTreeMap<ZoneKey, ZoneStatus>,
}

/// Makes plans while this host holds the lease.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    causality: Causality,
    splits: BTreeMap<(ServiceKey, RegionKey), Shares>,
    steps: BTreeMap<ServiceKey, Step>,
    returns: BTreeMap<(ServiceKey, RegionKey), ReturnBackoff>,
}

/// Whether a zone may receive load or must give it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// It may receive more load.
    Open,
    /// It may not receive more, as not all its hosts have reported.
    Incomplete,
    /// It is draining and gives up all its load.
    Draining,
    /// It is lost and gives up all its load, under the cap for failover.
    Lost,
}

/// The load and capacity of one service in one zone.
#[derive(Clone, Copy, Debug)]
struct SiteLoad {
    /// Current load.
    demand: f64,
    /// Highest allowed load.
    limit: f64,
    access: Access,
}

impl SiteLoad {
    fn headroom(&self) -> f64 {
        match self.access {
            Access::Open => (self.limit * FILL_LEVEL - self.demand).max(0.0),
            Access::Incomplete | Access::Draining | Access::Lost => 0.0,
        }
    }

    /// The fraction of the load that one step moves away.
    fn excess_fraction(&self) -> f64 {
        match self.access {
            Access::Draining | Access::Lost => 1.0,
            Access::Open | Access::Incomplete if self.demand > self.limit => {
                STEP_GAIN * (self.demand - self.limit * FILL_LEVEL) / self.demand
            }
            Access::Open | Access::Incomplete => 0.0,
        }
    }
}

/// The load that would run if no request were refused.
fn demand(load: &Load) -> f64 {
    let observed = f64::from(load.in_flight + load.queued);
    let (admitted, refused) = (f64::from(load.admitted), f64::from(load.refused));
    if refused <= 0.0 {
        return observed;
    }
    let scale = if admitted > 0.0 {
        1.0 + refused / admitted
    } else {
        MAX_REFUSAL_FACTOR
    };
    observed.max(1.0) * scale.min(MAX_REFUSAL_FACTOR)
}

impl Planner {
    /// Creates a planner that continues from the newest plan, or starts without one. Moves of that
    /// plan may still be in progress, so it counts as the last step of every service.
    pub fn new(now: Instant, previous: Option<&Plan>, catalog: &Catalog) -> Self {
        let Some(plan) = previous else {
            return Self::default();
        };
        let step = |window| Step {
            stamp: plan.stamp,
            made: now,
            window,
            settled: None,
        };
        let steps = catalog
            .services()
            .map(|(key, service)| (key, step(service.planned_cap.window)))
            .collect();
        Self {
            splits: plan.splits.clone(),
            steps,
            ..Self::default()
        }
    }

    /// Uses another rule for samples that may be too old.
    pub fn with_causality(self, causality: Causality) -> Self {
        Self { causality, ..self }
    }

    /// Returns the plan with `stamp`, and whether it differs from the previous one.
    pub fn make_plan(&mut self, now: Instant, stamp: Stamp, view: &View<'_>) -> (Plan, bool) {
        let mut changed = self.sync_splits(view.catalog);
        let services: Vec<ServiceKey> = view.catalog.services().map(|(key, _)| key).collect();
        for service in services {
            changed |= self.plan_service(now, stamp, service, view);
        }
        let plan = Plan {
            stamp,
            splits: self.splits.clone(),
            bonuses: BTreeMap::new(),
            ages: sample_ages(now, view),
        };
        (plan, changed)
    }

    /// Drops the splits of removed services and regions and adds home splits for new ones. Returns
    /// whether any split changed.
    fn sync_splits(&mut self, catalog: &Catalog) -> bool {
        let before = self.splits.clone();
        let mut splits = BTreeMap::new();
        for (service, _) in catalog.services() {
            for (locality, region) in catalog.regions() {
                if region.state == State::Off {
                    continue;
                }
                let old = self.splits.remove(&(service, locality));
                let kept = old.filter(|shares| has_only_served_zones(service, shares, catalog));
                let shares = kept.unwrap_or_else(|| home_split(service, locality, catalog));
                if !shares.is_empty() {
                    splits.insert((service, locality), shares);
                }
            }
        }
        self.splits = splits;
        before != self.splits
    }

    /// Makes the next step of a service. Returns whether any share moved.
    fn plan_service(
        &mut self,
        now: Instant,
        stamp: Stamp,
        service: ServiceKey,
        view: &View<'_>,
    ) -> bool {
        let Some(threshold) = self.sample_threshold(now, service, view) else {
            return false;
        };
        let mut site_loads = site_loads(now, service, threshold, view);
        let planned_cap = view.catalog.service(service).planned_cap;
        let has_lost_zone = site_loads
            .values()
            .any(|site_load| site_load.access == Access::Lost);
        let cap = if has_lost_zone {
            view.catalog.limits().failover_cap
        } else {
            planned_cap
        };
        let mut moved = self.relieve_overloaded(service, &mut site_loads, cap, view.catalog);
        moved.extend(self.return_shares_home(
            now,
            service,
            &site_loads,
            &moved,
            planned_cap,
            view.catalog,
        ));
        if moved.is_empty() {
            return false;
        }
        let step = Step {
            stamp,
            made: now,
            window: cap.window,
            settled: None,
        };
        self.steps.insert(service, step);
        true
    }

    /// Returns the time after which samples count, or none if the last step of the service is not
    /// in force yet.
    fn sample_threshold(
        &mut self,
        now: Instant,
        service: ServiceKey,
        view: &View<'_>,
    ) -> Option<Instant> {
        let long_ago = now.checked_sub(MAX_SAMPLE_AGE)?;
        let Some(step) = self.steps.get_mut(&service) else {
            return Some(long_ago);
        };
        match self.causality {
            Causality::Ignored => Some(long_ago),
            Causality::Window => (now >= step.made + step.window).then_some(long_ago),
            Causality::Strict => {
                if step.settled.is_none() {
                    step.settled = settled_at(now, service, step, view);
                }
                step.settled
            }
        }
    }

    /// Moves load away from zones that exceed their limit. Returns the localities whose shares
    /// moved.
    fn relieve_overloaded(
        &mut self,
        service: ServiceKey,
        site_loads: &mut BTreeMap<ZoneKey, SiteLoad>,
        cap: Cap,
        catalog: &Catalog,
    ) -> BTreeSet<RegionKey> {
        let mut moved: BTreeMap<RegionKey, f64> = BTreeMap::new();
        let overloaded: Vec<(ZoneKey, SiteLoad)> = site_loads
            .iter()
            .filter(|(_, site_load)| site_load.excess_fraction() > 0.0)
            .map(|(&zone, site_load)| (zone, *site_load))
            .collect();
        for (from, site_load) in overloaded {
            let total: f64 = service_splits(&mut self.splits, service)
                .filter_map(|(_, shares)| shares.get(&from).copied())
                .sum();
            let weight = site_load.demand.max(MIN_SHARE_MOVE) / total.max(MIN_SHARE_MOVE);
            for (&(_, locality), shares) in service_splits(&mut self.splits, service) {
                let Some(&share) = shares.get(&from) else {
                    continue;
                };
                let moved = moved.entry(locality).or_default();
                let wanted = (share * site_load.excess_fraction()).min(cap.share - *moved);
                *moved += move_share(locality, from, wanted, weight, shares, site_loads, catalog);
            }
        }
        moved.retain(|_, sent| *sent > 0.0);
        moved.into_keys().collect()
    }

    /// Moves shares back towards the home zones of their locality where there is room again.
    /// Returns the localities whose shares moved.
    fn return_shares_home(
        &mut self,
        now: Instant,
        service: ServiceKey,
        site_loads: &BTreeMap<ZoneKey, SiteLoad>,
        moved: &BTreeSet<RegionKey>,
        cap: Cap,
        catalog: &Catalog,
    ) -> BTreeSet<RegionKey> {
        let mut returned = BTreeSet::new();
        for (&(_, locality), shares) in service_splits(&mut self.splits, service) {
            let backoff = self.returns.entry((service, locality)).or_default();
            if moved.contains(&locality) {
                backoff.record_failure(now, cap.window);
                continue;
            }
            if !backoff.is_return_allowed(now, cap.window) {
                continue;
            }
            let home = home_split(service, locality, catalog);
            if step_towards_home(shares, &home, site_loads, cap) {
                backoff.returned = Some(now);
                returned.insert(locality);
            }
        }
        returned
    }
}

fn service_splits(
    splits: &mut BTreeMap<(ServiceKey, RegionKey), Shares>,
    service: ServiceKey,
) -> impl Iterator<Item = (&(ServiceKey, RegionKey), &mut Shares)> {
    splits
        .iter_mut()
        .filter(move |((other, _), _)| *other == service)
}

/// Whether the split is not empty and all its zones have targets of the service.
fn has_only_served_zones(service: ServiceKey, shares: &Shares, catalog: &Catalog) -> bool {
    !shares.is_empty() && shares.keys().all(|&z| catalog.site(service, z).is_some())
}

/// The split in normal operation: the zones of the own region by slots or, if the own region has
/// none, those of the region with the lowest link latency.
fn home_split(service: ServiceKey, locality: RegionKey, catalog: &Catalog) -> Shares {
    let mut regions: Vec<(Duration, RegionKey)> = catalog
        .sites(service)
        .filter(|(_, site)| site.slots > 0)
        .map(|(zone, _)| catalog.region_of(zone))
        .map(|region| (distance(locality, region, catalog), region))
        .collect();
    regions.sort_unstable();
    let Some(&(_, nearest)) = regions.first() else {
        return Shares::new();
    };
    let slots: Vec<(ZoneKey, f64)> = catalog
        .sites(service)
        .filter(|&(zone, _)| catalog.region_of(zone) == nearest)
        .map(|(zone, site)| (zone, f64::from(site.slots)))
        .filter(|&(_, slots)| slots > 0.0)
        .collect();
    let total: f64 = slots.iter().map(|(_, slots)| slots).sum();
    slots
        .into_iter()
        .map(|(zone, slots)| (zone, slots / total))
        .collect()
}

/// The latency of the link between two regions, or the maximum if there is no link.
fn distance(from: RegionKey, to: RegionKey, catalog: &Catalog) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    catalog
        .link(from, to)
        .map_or(Duration::MAX, |link| link.latency)
}

/// The load and limit of each zone whose load is known well enough.
fn site_loads(
    now: Instant,
    service: ServiceKey,
    threshold: Instant,
    view: &View<'_>,
) -> BTreeMap<ZoneKey, SiteLoad> {
    let mut site_loads = BTreeMap::new();
    for (zone, _) in view.catalog.sites(service) {
        if let Some(site_load) = site_load(now, service, zone, threshold, view) {
            site_loads.insert(zone, site_load);
        }
    }
    site_loads
}

fn site_load(
    now: Instant,
    service: ServiceKey,
    zone: ZoneKey,
    threshold: Instant,
    view: &View<'_>,
) -> Option<SiteLoad> {
    let utilization = view.catalog.limits().utilization;
    if view.zone_statuses.get(&zone) == Some(&ZoneStatus::Lost) {
        let slots = view.catalog.site(service, zone)?.slots;
        return Some(SiteLoad {
            demand: f64::from(slots) * utilization,
            limit: 0.0,
            access: Access::Lost,
        });
    }
    let source = view.summaries.zone_source(now, zone, view.catalog)?;
    let Entry { load, sampled } = source.load(service)?;
    if now.saturating_duration_since(sampled) >= MAX_SAMPLE_AGE || sampled <= threshold {
        return None;
    }
    let (live, reported) = source.hosts;
    let warm = 1.0 - COLD_SLOT_DISCOUNT * f64::from(load.cold);
    let access = if view.catalog.zone_state(zone) != State::Serving {
        Access::Draining
    } else if reported < live {
        Access::Incomplete
    } else {
        Access::Open
    };
    Some(SiteLoad {
        demand: demand(&load),
        limit: f64::from(load.live) * utilization * warm,
        access,
    })
}

/// Returns when a step came into force: all zones that report follow its plan and have no split of
/// the service left to move. If some zone does not, the step counts as in force after twice the
/// window of its cap.
fn settled_at(now: Instant, service: ServiceKey, step: &Step, view: &View<'_>) -> Option<Instant> {
    let deadline = step.made + 2 * step.window;
    let mut latest = None;
    let mut is_done = true;
    for (zone, _) in view.catalog.zones() {
        let Some(source) = view.summaries.zone_source(now, zone, view.catalog) else {
            continue;
        };
        if now.saturating_duration_since(source.sampled) >= MAX_SAMPLE_AGE {
            continue;
        }
        is_done &= source.applied >= step.stamp && !source.unsettled_services.contains(&service);
        latest = latest.max(Some(source.sampled));
    }
    latest
        .filter(|_| is_done)
        .or_else(|| (now >= deadline).then_some(deadline))
}

/// Moves up to `wanted` of a locality's traffic away from a zone to zones with headroom, nearest
/// region first. `weight` is the load that a full share represents. Returns the share moved.
fn move_share(
    locality: RegionKey,
    from: ZoneKey,
    wanted: f64,
    weight: f64,
    shares: &mut Shares,
    site_loads: &mut BTreeMap<ZoneKey, SiteLoad>,
    catalog: &Catalog,
) -> f64 {
    let mut nearest_first: Vec<(Duration, ZoneKey)> = site_loads
        .iter()
        .filter(|&(&zone, site_load)| zone != from && site_load.headroom() > 0.0)
        .map(|(&zone, _)| (distance(locality, catalog.region_of(zone), catalog), zone))
        .filter(|&(distance, _)| distance < Duration::MAX)
        .collect();
    nearest_first.sort_unstable();
    let mut sent = 0.0;
    for (_, to) in nearest_first {
        let Some(site_load) = site_loads.get_mut(&to) else {
            continue;
        };
        let moved = (wanted - sent).min(STEP_GAIN * site_load.headroom() / weight);
        if moved < MIN_SHARE_MOVE.min(wanted) || moved <= 0.0 {
            continue;
        }
        site_load.demand += moved * weight;
        *shares.entry(to).or_default() += moved;
        sent += moved;
    }
    if sent > 0.0 {
        if let Some(share) = shares.get_mut(&from) {
            *share -= sent;
        }
        normalize(shares);
    }
    sent
}

/// Makes one step from `shares` towards `home`, as far as the zones there have headroom. Zones
/// whose load is not known neither give nor receive. Returns whether any share moved.
fn step_towards_home(
    shares: &mut Shares,
    home: &Shares,
    site_loads: &BTreeMap<ZoneKey, SiteLoad>,
    cap: Cap,
) -> bool {
    let deficits: Vec<(ZoneKey, f64)> = home
        .iter()
        .map(|(&zone, &share)| (zone, share - shares.get(&zone).copied().unwrap_or(0.0)))
        .filter(|&(_, deficit)| deficit > MIN_SHARE_MOVE)
        .collect();
    let mut sent = 0.0;
    for (zone, deficit) in deficits {
        let Some(site_load) = site_loads.get(&zone) else {
            continue;
        };
        let limit = return_limit(site_load, shares.get(&zone).copied().unwrap_or(0.0));
        let wanted = deficit.min(limit).min(cap.share - sent);
        let taken = take_excess(shares, home, site_loads, wanted);
        if taken > 0.0 {
            *shares.entry(zone).or_default() += taken;
            sent += taken;
        }
    }
    if sent > 0.0 {
        normalize(shares);
    }
    sent > 0.0
}

/// Drops negligible shares and adds the remainder to the largest, so that all add up to 1.
fn normalize(shares: &mut Shares) {
    shares.retain(|_, share| *share > MIN_SHARE_MOVE / 10.0);
    let remainder = 1.0 - shares.values().sum::<f64>();
    let largest = shares.values_mut().max_by(|a, b| a.total_cmp(b));
    if let Some(share) = largest {
        *share += remainder;
    }
}

/// The share that a home zone can take back, estimated from the load that its present share brings.
fn return_limit(site_load: &SiteLoad, share: f64) -> f64 {
    let headroom = site_load.limit * RETURN_LEVEL - site_load.demand;
    if site_load.access != Access::Open || headroom <= 0.0 {
        return 0.0;
    }
    if share < MIN_SHARE_MOVE || site_load.demand < MIN_SHARE_MOVE {
        return PROBE_SHARE;
    }
    (STEP_GAIN * headroom * share / site_load.demand).max(MIN_SHARE_MOVE)
}

/// Takes up to `wanted` from zones that have more than their home share. Returns the share taken.
fn take_excess(
    shares: &mut Shares,
    home: &Shares,
    site_loads: &BTreeMap<ZoneKey, SiteLoad>,
    wanted: f64,
) -> f64 {
    if wanted < MIN_SHARE_MOVE {
        return 0.0;
    }
    let mut taken = 0.0;
    for (zone, share) in shares.iter_mut() {
        if !site_loads.contains_key(zone) {
            continue;
        }
        let excess = *share - home.get(zone).copied().unwrap_or(0.0);
        let moved = excess.min(wanted - taken).max(0.0);
        *share -= moved;
        taken += moved;
    }
    taken
}

fn sample_ages(now: Instant, view: &View<'_>) -> BTreeMap<ZoneKey, Duration> {
    view.catalog
        .zones()
        .filter_map(|(zone, _)| {
            let source = view.summaries.zone_source(now, zone, view.catalog)?;
            Some((zone, now.saturating_duration_since(source.sampled)))
        })
        .collect()
}

/// The quota that hosts want beyond their static parts, by host and region, from recent zone
/// summaries. The pool of unused quota decides what is granted.
pub fn wanted_quotas(now: Instant, view: &View<'_>) -> BTreeMap<(HostKey, RegionKey), f64> {
    view.catalog
        .zones()
        .filter_map(|(zone, _)| view.summaries.zone_source(now, zone, view.catalog))
        .filter(|source| now.saturating_duration_since(source.sampled) < MAX_SAMPLE_AGE)
        .flat_map(|source| &source.needs)
        .filter(|(_, &wanted)| wanted > 0.0)
        .map(|(&key, &wanted)| (key, f64::from(wanted)))
        .collect()
}
