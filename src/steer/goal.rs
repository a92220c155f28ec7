//! Computes the goal of a split from the catalog and the observed state of the zones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::catalog::{Catalog, RegionKey, ServiceKey, State, ZoneKey};

use super::shift::MoveKind;
use super::split::Split;

/// Maximum number of doublings of the hold time of a zone that keeps failing.
const MAX_HOLD_DOUBLINGS: u32 = 4;

/// Observed status of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// It responds.
    Alive,
    /// It is known to be lost.
    Lost,
    /// There is no recent observation.
    Unknown,
}

/// State observed by a host, in addition to the configuration.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Status of each zone; a missing zone is unknown.
    pub zones: BTreeMap<ZoneKey, ZoneHealth>,
    /// Slots of the serving targets, as last measured; missing if there is no recent measurement.
    pub slots: BTreeMap<(ServiceKey, ZoneKey), u32>,
    /// Splits of the last plan, if it is recent and its epoch is accepted.
    pub plan: BTreeMap<(ServiceKey, RegionKey), Split>,
}

/// Goal of a split, and the kind of move that leads to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// Split to reach.
    pub split: Split,
    /// Kind of the move, which selects its cap.
    pub kind: MoveKind,
}

/// How a goal uses a zone.
enum ZoneUse {
    /// It can serve, with this number of slots.
    Open(u32),
    /// The configuration excludes it: its share is removed by planned moves.
    Closed,
    /// It cannot serve: its share is removed by failover.
    Lost,
    /// Its state is unknown: its share stays unchanged.
    Frozen,
}

/// Zones of one service by their use.
#[derive(Default)]
struct ZonesByUse {
    open: Vec<(ZoneKey, f64)>,
    frozen: Vec<ZoneKey>,
    lost: f64,
}

/// Computes the goal of a service's split for callers in `locality`.
///
/// Zones of the locality's own region share the traffic in proportion to their serving slots. If none
/// of them can serve, zones of other regions do, nearest first, until they have as many slots as are
/// configured in the own region. A plan takes precedence if it contains only zones that can serve.
/// Draining and removed zones lose their share by planned moves. Lost zones lose it by failover, which
/// moves no other share. A zone without recent measurements keeps its share.
pub fn compute_goal(
    catalog: &Catalog,
    service: ServiceKey,
    locality: RegionKey,
    view: &View,
    current: &Split,
) -> Goal {
    let zones = classify_zones(catalog, service, view, current);
    let open = desired_split(catalog, service, locality, view, &zones);
    if zones.lost > 0.0 && !open.is_empty() {
        return Goal {
            split: failover_split(catalog, service, view, current, &open),
            kind: MoveKind::Failover,
        };
    }
    Goal {
        split: planned_split(catalog, locality, current, &zones, &open),
        kind: MoveKind::Planned,
    }
}

fn classify_zones(
    catalog: &Catalog,
    service: ServiceKey,
    view: &View,
    current: &Split,
) -> ZonesByUse {
    let mut zones = ZonesByUse::default();
    for (zone, _) in catalog.zones() {
        match zone_use(catalog, service, view, zone) {
            ZoneUse::Open(slots) => zones.open.push((zone, f64::from(slots))),
            ZoneUse::Closed => {}
            ZoneUse::Lost => zones.lost += current.share(zone),
            ZoneUse::Frozen => zones.frozen.push(zone),
        }
    }
    zones
}

fn zone_use(catalog: &Catalog, service: ServiceKey, view: &View, zone: ZoneKey) -> ZoneUse {
    let status = view.zones.get(&zone).copied();
    if status == Some(ZoneHealth::Lost) {
        return ZoneUse::Lost;
    }
    let slots = catalog.site(service, zone).map_or(0, |site| site.slots);
    if slots == 0 || catalog.zone_state(zone) != State::Serving {
        return ZoneUse::Closed;
    }
    if status != Some(ZoneHealth::Alive) {
        return ZoneUse::Frozen;
    }
    match view.slots.get(&(service, zone)) {
        Some(0) => ZoneUse::Lost,
        Some(&slots) => ZoneUse::Open(slots),
        None => ZoneUse::Frozen,
    }
}

/// Returns the desired split over zones that can serve; empty if there are none.
fn desired_split(
    catalog: &Catalog,
    service: ServiceKey,
    locality: RegionKey,
    view: &View,
    zones: &ZonesByUse,
) -> Split {
    let is_open = |zone| zones.open.iter().any(|&(open, _)| open == zone);
    if let Some(plan) = view.plan.get(&(service, locality)) {
        if !plan.is_empty() && plan.shares().all(|(zone, _)| is_open(zone)) {
            return plan.clone();
        }
    }
    let own = zones_in_region(catalog, &zones.open, locality);
    if own.is_empty() {
        nearest_other_regions(catalog, service, locality, &zones.open)
    } else {
        Split::new(catalog, own)
    }
}

/// Returns a split over the nearest other regions that together have the slots configured in `locality`.
fn nearest_other_regions(
    catalog: &Catalog,
    service: ServiceKey,
    locality: RegionKey,
    open: &[(ZoneKey, f64)],
) -> Split {
    let needed_slots = configured_slots(catalog, service, locality);
    let mut weights = Vec::new();
    let mut slots = 0.0;
    for region in regions_by_latency(catalog, locality) {
        if slots > 0.0 && slots >= needed_slots {
            break;
        }
        let zones = zones_in_region(catalog, open, region);
        slots += zones.iter().map(|&(_, slots)| slots).sum::<f64>();
        weights.extend(zones);
    }
    Split::new(catalog, weights)
}

/// Returns the configured slots of a service in a region, regardless of their state.
fn configured_slots(catalog: &Catalog, service: ServiceKey, region: RegionKey) -> f64 {
    catalog
        .sites(service)
        .filter(|&(zone, _)| catalog.region_of(zone) == region)
        .flat_map(|(_, site)| &site.targets)
        .map(|&target| f64::from(catalog.target(target).slots))
        .sum()
}

/// Returns the other regions ordered by the latency of the link from `from`; those without a link come last.
pub(crate) fn regions_by_latency(catalog: &Catalog, from: RegionKey) -> Vec<RegionKey> {
    let mut regions: Vec<RegionKey> = catalog
        .regions()
        .map(|(region, _)| region)
        .filter(|&region| region != from)
        .collect();
    regions.sort_by_cached_key(|&region| {
        let link = catalog.link(from, region);
        let latency = link.map_or(Duration::MAX, |link| link.latency);
        (latency, catalog.region(region).name.clone())
    });
    regions
}

fn zones_in_region(
    catalog: &Catalog,
    zones: &[(ZoneKey, f64)],
    region: RegionKey,
) -> Vec<(ZoneKey, f64)> {
    let is_in_region = |&&(zone, _): &&(ZoneKey, f64)| catalog.region_of(zone) == region;
    zones.iter().filter(is_in_region).copied().collect()
}

/// Returns the current split with the share of lost zones distributed in proportion to `open`.
fn failover_split(
    catalog: &Catalog,
    service: ServiceKey,
    view: &View,
    current: &Split,
    open: &Split,
) -> Split {
    let is_lost = |zone| matches!(zone_use(catalog, service, view, zone), ZoneUse::Lost);
    let (lost, kept): (Vec<_>, Vec<_>) = current.shares().partition(|&(zone, _)| is_lost(zone));
    let lost: f64 = lost.iter().map(|&(_, share)| share).sum();
    let redistributed = open.shares().map(|(zone, share)| (zone, lost * share));
    Split::new(catalog, kept.into_iter().chain(redistributed))
}

/// Returns a split in which frozen zones keep their share and the rest is distributed in proportion to `open`.
fn planned_split(
    catalog: &Catalog,
    locality: RegionKey,
    current: &Split,
    zones: &ZonesByUse,
    open: &Split,
) -> Split {
    let is_own = |zone: &ZoneKey| catalog.region_of(*zone) == locality;
    let is_own_frozen = zones.frozen.iter().any(is_own);
    let is_own_open = open.shares().any(|(zone, _)| is_own(&zone));
    if open.is_empty() || (is_own_frozen && !is_own_open) {
        return current.clone();
    }
    let frozen = zones.frozen.iter().map(|&zone| (zone, current.share(zone)));
    let remaining_share = 1.0 - frozen.clone().map(|(_, share)| share).sum::<f64>();
    let redistributed = open
        .shares()
        .map(|(zone, share)| (zone, remaining_share * share));
    Split::new(catalog, frozen.chain(redistributed))
}

/// Flap damping: keeps recovered zones out of use until they have stayed healthy for a hold time.
#[derive(Clone, Debug)]
pub struct FlapDamping {
    period: Duration,
    zones: BTreeMap<ZoneKey, ZoneRecovery>,
}

/// Recovery state of a zone that was lost.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneRecovery {
    /// Start of the current uninterrupted healthy period.
    healthy_since: Option<Instant>,
    /// Whether it is in use again.
    is_in_use: bool,
    /// Number of times it was lost while in use.
    losses: u32,
}

impl FlapDamping {
    /// Creates a damping with the hold time `period`, which doubles with each further loss of a zone.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            zones: BTreeMap::new(),
        }
    }

    /// Returns the damped status of a zone, given the observed one. Must be called regularly for each zone.
    pub fn observe(&mut self, now: Instant, zone: ZoneKey, observed: ZoneHealth) -> ZoneHealth {
        if observed == ZoneHealth::Lost {
            self.record_loss(zone);
            return ZoneHealth::Lost;
        }
        let Some(recovery) = self.zones.get_mut(&zone) else {
            return observed;
        };
        if observed == ZoneHealth::Unknown {
            recovery.healthy_since = None;
            return if recovery.is_in_use {
                observed
            } else {
                ZoneHealth::Lost
            };
        }
        let healthy_time =
            now.saturating_duration_since(*recovery.healthy_since.get_or_insert(now));
        let doublings = recovery.losses.saturating_sub(1).min(MAX_HOLD_DOUBLINGS);
        let wait = self.period * (1 << doublings);
        recovery.is_in_use |= healthy_time >= wait;
        let is_in_use = recovery.is_in_use;
        if healthy_time >= wait * (1 << MAX_HOLD_DOUBLINGS) {
            self.zones.remove(&zone);
        }
        if is_in_use {
            ZoneHealth::Alive
        } else {
            ZoneHealth::Lost
        }
    }

    fn record_loss(&mut self, zone: ZoneKey) {
        let recovery = self.zones.entry(zone).or_insert(ZoneRecovery {
            is_in_use: true,
            ..ZoneRecovery::default()
        });
        if recovery.is_in_use {
            recovery.losses += 1;
        }
        recovery.is_in_use = false;
        recovery.healthy_since = None;
    }
}
