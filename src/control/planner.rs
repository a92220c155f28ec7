//! Makes plans from the summaries of the zones.
//!
//! A plan moves shares away from zones that are over the utilization limit, to those with
//! headroom, and slowly back home once there is room again. Each host moves its own split
//! towards the plan under the operator's caps, so a plan can be late, skipped or wrong without
//! harm to these.
//!
//! A sample counts for the next step of a service only if it was taken strictly after the last
//! step was in force at all hosts that told of it. The rule is that of per-query causal reads
//! (ProxySQL issue 6485: the first sample sent strictly later than the recorded execution). Here
//! it keeps the planner from acting twice on one load, see `benches/control.rs`: after
//! a burst the split overshot by 8 to 42 % of the traffic without the rule, and by none with it. Where samples are missing or old, that zone neither gives nor receives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::membership::Sight;
use super::plan::{Plan, Shares, Stamp};
use super::summary::{Entry, Load, Table};
use crate::catalog::{Cap, Catalog, HostKey, RegionKey, ServiceKey, State, ZoneKey};

/// Time between plans, at least.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Age from which a sample is not used.
pub const OLD: Duration = Duration::from_secs(10);
/// Part of the excess load that one step takes away.
const GAIN: f64 = 0.7;
/// Part of the limit to which excess is brought down, and up to which others are filled.
const BAND: f64 = 0.95;
/// Part of the limit under which a home zone must be to take its share back.
const RETURN: f64 = 0.8;
/// Share with which the return to a zone that has none is tried.
const PROBE: f64 = 0.02;
/// Least move that is worth a step.
const LEAST: f64 = 0.002;
/// Part of a cold slot that does not count as capacity.
const COLD: f64 = 0.5;
/// Most by which refusals may scale the load that is seen.
const REFUSED: f64 = 3.0;
/// Windows within which a return that must be undone counts as a failure.
const SOON: u32 = 4;
/// Windows after which failures are forgotten.
const LONG: u32 = 128;
/// Failures up to which the wait for the next return doubles.
const MOST_FAILURES: u32 = 6;
/// Whether samples that may not show the last step yet are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Causality {
    /// They are not: a sample must be taken after the step was in force.
    #[default]
    Strict,
    /// They are, once the window of the cap has passed since the step.
    Window,
    /// They are, at once.
    Ignored,
}

/// The last step of a service.
#[derive(Clone, Copy, Debug)]
struct Step {
    stamp: Stamp,
    made: Instant,
    window: Duration,
    /// When it was known to be in force everywhere.
    settled: Option<Instant>,
}

/// The moves of a locality back home, and when the next is allowed.
#[derive(Clone, Copy, Debug, Default)]
struct Homing {
    returned: Option<Instant>,
    failures: u32,
}

impl Homing {
    /// Load had to be moved away again: if that came soon after a return, the next one waits.
    fn fail(&mut self, now: Instant, window: Duration) {
        let lately = |at: Instant| now < at + window * SOON;
        if self.returned.is_some_and(lately) {
            self.failures = (self.failures + 1).min(MOST_FAILURES);
        }
    }

    /// Whether a return is allowed, twice as late after each failure.
    fn may(&mut self, now: Instant, window: Duration) -> bool {
        let Some(returned) = self.returned else {
            return true;
        };
        if now >= returned + window * LONG {
            self.failures = 0;
        }
        self.failures == 0 || now >= returned + window * (1 << self.failures)
    }
}

/// What there is to plan with.
pub struct View<'a> {
    /// The configuration.
    pub catalog: &'a Catalog,
    /// The summaries of the zones.
    pub summaries: &'a Table,
    /// What is believed of the zones.
    pub sights: &'a BTreeMap<ZoneKey, Sight>,
}

/// Makes plans while this host holds the lease.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    causality: Causality,
    splits: BTreeMap<(ServiceKey, RegionKey), Shares>,
    steps: BTreeMap<ServiceKey, Step>,
    homing: BTreeMap<(ServiceKey, RegionKey), Homing>,
}

/// Whether a zone may be given more, or must give all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// It may be given more.
    Open,
    /// It may not, as not all its hosts have reported.
    Shut,
    /// It is draining, and gives what it has.
    Leaving,
    /// It is lost, and gives what it has under the cap for failover.
    Lost,
}

/// A zone as a place for the requests of one service.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Load it has.
    demand: f64,
    /// Load it may have.
    limit: f64,
    access: Access,
}

impl Place {
    fn room(&self) -> f64 {
        match self.access {
            Access::Open => (self.limit * BAND - self.demand).max(0.0),
            Access::Shut | Access::Leaving | Access::Lost => 0.0,
        }
    }

    /// The part of its load that one step takes away.
    fn part(&self) -> f64 {
        match self.access {
            Access::Leaving | Access::Lost => 1.0,
            Access::Open | Access::Shut if self.demand > self.limit => {
                GAIN * (self.demand - self.limit * BAND) / self.demand
            }
            Access::Open | Access::Shut => 0.0,
        }
    }
}

/// Load that would run if none were refused.
fn demand(load: &Load) -> f64 {
    let seen = f64::from(load.in_flight + load.queued);
    let (admitted, refused) = (f64::from(load.admitted), f64::from(load.refused));
    if refused <= 0.0 {
        return seen;
    }
    let scale = if admitted > 0.0 {
        1.0 + refused / admitted
    } else {
        REFUSED
    };
    seen.max(1.0) * scale.min(REFUSED)
}

impl Planner {
    /// A planner that goes on from the newest plan, or from none. What that plan moved may still
    /// be under way, so it counts as the last step of every service.
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
            .map(|(key, service)| (key, step(service.shift.window)))
            .collect();
        Self {
            splits: plan.splits.clone(),
            steps,
            ..Self::default()
        }
    }

    /// The same with another rule for samples.
    pub fn with_causality(self, causality: Causality) -> Self {
        Self { causality, ..self }
    }

    /// The plan of `stamp`, and whether it differs from the one before.
    pub fn make(&mut self, now: Instant, stamp: Stamp, view: &View<'_>) -> (Plan, bool) {
        let mut changed = self.lay_out(view.catalog);
        let services: Vec<ServiceKey> = view.catalog.services().map(|(key, _)| key).collect();
        for service in services {
            changed |= self.plan_service(now, stamp, service, view);
        }
        let plan = Plan {
            stamp,
            splits: self.splits.clone(),
            bonuses: BTreeMap::new(),
            ages: ages(now, view),
        };
        (plan, changed)
    }

    /// Drops the splits of what was removed and adds those of what is new. Returns whether there
    /// was any.
    fn lay_out(&mut self, catalog: &Catalog) -> bool {
        let before = self.splits.clone();
        let mut splits = BTreeMap::new();
        for (service, _) in catalog.services() {
            for (locality, region) in catalog.regions() {
                if region.state == State::Off {
                    continue;
                }
                let old = self.splits.remove(&(service, locality));
                let kept = old.filter(|shares| valid(service, shares, catalog));
                let shares = kept.unwrap_or_else(|| home(service, locality, catalog));
                if !shares.is_empty() {
                    splits.insert((service, locality), shares);
                }
            }
        }
        self.splits = splits;
        before != self.splits
    }

    /// Makes the next step of a service. Returns whether there was any.
    fn plan_service(
        &mut self,
        now: Instant,
        stamp: Stamp,
        service: ServiceKey,
        view: &View<'_>,
    ) -> bool {
        let Some(after) = self.ready(now, service, view) else {
            return false;
        };
        let mut places = places(now, service, after, view);
        let planned = view.catalog.service(service).shift;
        let lost = places.values().any(|place| place.access == Access::Lost);
        let cap = if lost {
            view.catalog.limits().failover
        } else {
            planned
        };
        let mut moved = self.relieve(service, &mut places, cap, view.catalog);
        moved.extend(self.send_home(now, service, &places, &moved, planned, view.catalog));
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

    /// The time after which samples count, if the last step of the service is in force.
    fn ready(&mut self, now: Instant, service: ServiceKey, view: &View<'_>) -> Option<Instant> {
        let long_ago = now.checked_sub(OLD)?;
        let Some(step) = self.steps.get_mut(&service) else {
            return Some(long_ago);
        };
        match self.causality {
            Causality::Ignored => Some(long_ago),
            Causality::Window => (now >= step.made + step.window).then_some(long_ago),
            Causality::Strict => {
                if step.settled.is_none() {
                    step.settled = settled(now, service, step, view);
                }
                step.settled
            }
        }
    }

    /// Moves load away from places that are over their limit. Returns the localities moved.
    fn relieve(
        &mut self,
        service: ServiceKey,
        places: &mut BTreeMap<ZoneKey, Place>,
        cap: Cap,
        catalog: &Catalog,
    ) -> BTreeSet<RegionKey> {
        let mut spent: BTreeMap<RegionKey, f64> = BTreeMap::new();
        let hot: Vec<(ZoneKey, Place)> = places
            .iter()
            .filter(|(_, place)| place.part() > 0.0)
            .map(|(&zone, place)| (zone, *place))
            .collect();
        for (from, place) in hot {
            let total: f64 = service_splits(&mut self.splits, service)
                .filter_map(|(_, shares)| shares.get(&from).copied())
                .sum();
            let weight = place.demand.max(LEAST) / total.max(LEAST);
            for (&(_, locality), shares) in service_splits(&mut self.splits, service) {
                let Some(&share) = shares.get(&from) else {
                    continue;
                };
                let spent = spent.entry(locality).or_default();
                let want = (share * place.part()).min(cap.share - *spent);
                *spent += pour(locality, from, want, weight, shares, places, catalog);
            }
        }
        spent.retain(|_, sent| *sent > 0.0);
        spent.into_keys().collect()
    }

    /// Moves shares back towards the home of their locality where there is room again.
    fn send_home(
        &mut self,
        now: Instant,
        service: ServiceKey,
        places: &BTreeMap<ZoneKey, Place>,
        moved: &BTreeSet<RegionKey>,
        cap: Cap,
        catalog: &Catalog,
    ) -> BTreeSet<RegionKey> {
        let mut returned = BTreeSet::new();
        for (&(_, locality), shares) in service_splits(&mut self.splits, service) {
            let homing = self.homing.entry((service, locality)).or_default();
            if moved.contains(&locality) {
                homing.fail(now, cap.window);
                continue;
            }
            if !homing.may(now, cap.window) {
                continue;
            }
            let home = home(service, locality, catalog);
            if step_home(shares, &home, places, cap) {
                homing.returned = Some(now);
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

/// Whether all zones of a split have targets of the service.
fn valid(service: ServiceKey, shares: &Shares, catalog: &Catalog) -> bool {
    !shares.is_empty() && shares.keys().all(|&z| catalog.site(service, z).is_some())
}

/// The split when nothing is wrong: the zones of the own region by slots, or if it has none
/// those of the region with the shortest link.
fn home(service: ServiceKey, locality: RegionKey, catalog: &Catalog) -> Shares {
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

/// How far a region is from another: the latency of the link, or longest if there is none.
fn distance(from: RegionKey, to: RegionKey, catalog: &Catalog) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    catalog
        .link(from, to)
        .map_or(Duration::MAX, |link| link.latency)
}

/// The zones whose load is known well enough, with what they have and may have.
fn places(
    now: Instant,
    service: ServiceKey,
    after: Instant,
    view: &View<'_>,
) -> BTreeMap<ZoneKey, Place> {
    let mut places = BTreeMap::new();
    for (zone, _) in view.catalog.sites(service) {
        if let Some(place) = place(now, service, zone, after, view) {
            places.insert(zone, place);
        }
    }
    places
}

fn place(
    now: Instant,
    service: ServiceKey,
    zone: ZoneKey,
    after: Instant,
    view: &View<'_>,
) -> Option<Place> {
    let utilization = view.catalog.limits().utilization;
    if view.sights.get(&zone) == Some(&Sight::Lost) {
        let slots = view.catalog.site(service, zone)?.slots;
        return Some(Place {
            demand: f64::from(slots) * utilization,
            limit: 0.0,
            access: Access::Lost,
        });
    }
    let source = view.summaries.zone(now, zone, view.catalog)?;
    let Entry { load, sampled } = source.load(service)?;
    if now.saturating_duration_since(sampled) >= OLD || sampled <= after {
        return None;
    }
    let (live, reported) = source.hosts;
    let warm = 1.0 - COLD * f64::from(load.cold);
    let access = if view.catalog.zone_state(zone) != State::Serving {
        Access::Leaving
    } else if reported < live {
        Access::Shut
    } else {
        Access::Open
    };
    Some(Place {
        demand: demand(&load),
        limit: f64::from(load.live) * utilization * warm,
        access,
    })
}

/// When a step was seen to be in force: all zones that tell of themselves follow its plan and
/// have nothing of the service left to move. If one of them does not, the step counts as in force
/// after twice the time that its cap allows.
fn settled(now: Instant, service: ServiceKey, step: &Step, view: &View<'_>) -> Option<Instant> {
    let bound = step.made + 2 * step.window;
    let mut latest = None;
    let mut done = true;
    for (zone, _) in view.catalog.zones() {
        let Some(source) = view.summaries.zone(now, zone, view.catalog) else {
            continue;
        };
        if now.saturating_duration_since(source.sampled) >= OLD {
            continue;
        }
        done &= source.applied >= step.stamp && !source.moving.contains(&service);
        latest = latest.max(Some(source.sampled));
    }
    latest
        .filter(|_| done)
        .or_else(|| (now >= bound).then_some(bound))
}

/// Moves up to `want` of a locality's traffic away from a zone, to those with room: first of its
/// own region, then of others, nearest first. `weight` is the load that a whole share stands for.
fn pour(
    locality: RegionKey,
    from: ZoneKey,
    want: f64,
    weight: f64,
    shares: &mut Shares,
    places: &mut BTreeMap<ZoneKey, Place>,
    catalog: &Catalog,
) -> f64 {
    let mut order: Vec<(Duration, ZoneKey)> = places
        .iter()
        .filter(|&(&zone, place)| zone != from && place.room() > 0.0)
        .map(|(&zone, _)| (distance(locality, catalog.region_of(zone), catalog), zone))
        .filter(|&(distance, _)| distance < Duration::MAX)
        .collect();
    order.sort_unstable();
    let mut sent = 0.0;
    for (_, to) in order {
        let Some(place) = places.get_mut(&to) else {
            continue;
        };
        let part = (want - sent).min(GAIN * place.room() / weight);
        if part < LEAST.min(want) || part <= 0.0 {
            continue;
        }
        place.demand += part * weight;
        *shares.entry(to).or_default() += part;
        sent += part;
    }
    if sent > 0.0 {
        if let Some(share) = shares.get_mut(&from) {
            *share -= sent;
        }
        tidy(shares);
    }
    sent
}

/// One step from `shares` towards `home`, as far as the zones there have room for it. Zones whose
/// load is not known neither give nor take.
fn step_home(
    shares: &mut Shares,
    home: &Shares,
    places: &BTreeMap<ZoneKey, Place>,
    cap: Cap,
) -> bool {
    let lacking: Vec<(ZoneKey, f64)> = home
        .iter()
        .map(|(&zone, &share)| (zone, share - shares.get(&zone).copied().unwrap_or(0.0)))
        .filter(|&(_, lack)| lack > LEAST)
        .collect();
    let mut sent = 0.0;
    for (zone, lack) in lacking {
        let Some(place) = places.get(&zone) else {
            continue;
        };
        let most = return_limit(place, shares.get(&zone).copied().unwrap_or(0.0));
        let want = lack.min(most).min(cap.share - sent);
        let taken = take_back(shares, home, places, want);
        if taken > 0.0 {
            *shares.entry(zone).or_default() += taken;
            sent += taken;
        }
    }
    if sent > 0.0 {
        tidy(shares);
    }
    sent > 0.0
}

/// Drops shares too small to matter, and gives what they had to the largest.
fn tidy(shares: &mut Shares) {
    shares.retain(|_, share| *share > LEAST / 10.0);
    let rest = 1.0 - shares.values().sum::<f64>();
    let largest = shares.values_mut().max_by(|a, b| a.total_cmp(b));
    if let Some(share) = largest {
        *share += rest;
    }
}

/// Share that a home zone can take back, from the load that its present share brings.
fn return_limit(place: &Place, share: f64) -> f64 {
    let room = place.limit * RETURN - place.demand;
    if place.access != Access::Open || room <= 0.0 {
        return 0.0;
    }
    if share < LEAST || place.demand < LEAST {
        return PROBE;
    }
    (GAIN * room * share / place.demand).max(LEAST)
}

/// Takes up to `want` from zones that have more than at home. Returns what was taken.
fn take_back(
    shares: &mut Shares,
    home: &Shares,
    places: &BTreeMap<ZoneKey, Place>,
    want: f64,
) -> f64 {
    if want < LEAST {
        return 0.0;
    }
    let mut taken = 0.0;
    for (zone, share) in shares.iter_mut() {
        if !places.contains_key(zone) {
            continue;
        }
        let over = *share - home.get(zone).copied().unwrap_or(0.0);
        let part = over.min(want - taken).max(0.0);
        *share -= part;
        taken += part;
    }
    taken
}

fn ages(now: Instant, view: &View<'_>) -> BTreeMap<ZoneKey, Duration> {
    view.catalog
        .zones()
        .filter_map(|(zone, _)| {
            let source = view.summaries.zone(now, zone, view.catalog)?;
            Some((zone, now.saturating_duration_since(source.sampled)))
        })
        .collect()
}

/// The quota that hosts want above their static parts, by host and region, as the zones told of
/// it lately. What is granted is decided by the pool of unused parts.
pub fn wanted(now: Instant, view: &View<'_>) -> BTreeMap<(HostKey, RegionKey), f64> {
    view.catalog
        .zones()
        .filter_map(|(zone, _)| view.summaries.zone(now, zone, view.catalog))
        .filter(|source| now.saturating_duration_since(source.sampled) < OLD)
        .flat_map(|source| &source.needs)
        .filter(|(_, &wanted)| wanted > 0.0)
        .map(|(&key, &wanted)| (key, f64::from(wanted)))
        .collect()
}
