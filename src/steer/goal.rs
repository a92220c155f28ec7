//! Where a split should go, from the catalog and what is known of zones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::catalog::{Catalog, RegionKey, ServiceKey, State, ZoneKey};

use super::shift::Kind;
use super::split::Split;

/// Most doublings of the time for which a zone that keeps failing has to stay good.
const MAX_DOUBLINGS: u32 = 4;

/// What is known of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It answers.
    Alive,
    /// It is known to be lost.
    Lost,
    /// Nothing recent is known.
    Unknown,
}

/// What a host knows beside the configuration.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The standing of each zone; one that is not named is unknown.
    pub zones: BTreeMap<ZoneKey, Standing>,
    /// Slots of the targets that serve, as last measured; none if the measurement is missing or old.
    pub slots: BTreeMap<(ServiceKey, ZoneKey), u32>,
    /// The splits of the last plan, if it is fresh and its epoch is accepted.
    pub plan: BTreeMap<(ServiceKey, RegionKey), Split>,
}

/// Where to go, and under which cap.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// The split to reach.
    pub split: Split,
    /// The kind of move.
    pub kind: Kind,
}

/// What a zone is to a goal.
enum Use {
    /// It can take work, by this many slots.
    Open(u32),
    /// The configuration takes it out: it is left by planned moves.
    Closed,
    /// It cannot take work: it is left by failover.
    Lost,
    /// Nothing is known of it: its share stays as it is.
    Frozen,
}

/// The zones of one service by their use.
#[derive(Default)]
struct Sorted {
    open: Vec<(ZoneKey, f64)>,
    frozen: Vec<ZoneKey>,
    lost: f64,
}

/// The goal of a service's split for callers in `locality`.
///
/// Zones of the locality's own region share by their serving slots; if none of them can serve, those
/// of other regions do, the nearest first, until they have the slots that the own region should
/// have. A plan goes before that, if it names zones that can serve only. Draining and removed zones are left
/// by planned moves. Lost zones are left by failover, which moves their share and no other. A zone
/// without fresh measurements keeps the share it has.
pub fn goal(
    catalog: &Catalog,
    service: ServiceKey,
    locality: RegionKey,
    view: &View,
    current: &Split,
) -> Goal {
    let zones = sort(catalog, service, view, current);
    let open = desired(catalog, service, locality, view, &zones);
    if zones.lost > 0.0 && !open.is_empty() {
        return Goal {
            split: failover(catalog, service, view, current, &open),
            kind: Kind::Failover,
        };
    }
    Goal {
        split: planned(catalog, locality, current, &zones, &open),
        kind: Kind::Planned,
    }
}

fn sort(catalog: &Catalog, service: ServiceKey, view: &View, current: &Split) -> Sorted {
    let mut sorted = Sorted::default();
    for (zone, _) in catalog.zones() {
        match usage(catalog, service, view, zone) {
            Use::Open(slots) => sorted.open.push((zone, f64::from(slots))),
            Use::Closed => {}
            Use::Lost => sorted.lost += current.share(zone),
            Use::Frozen => sorted.frozen.push(zone),
        }
    }
    sorted
}

fn usage(catalog: &Catalog, service: ServiceKey, view: &View, zone: ZoneKey) -> Use {
    let standing = view.zones.get(&zone).copied();
    if standing == Some(Standing::Lost) {
        return Use::Lost;
    }
    let slots = catalog.site(service, zone).map_or(0, |site| site.slots);
    if slots == 0 || catalog.zone_state(zone) != State::Serving {
        return Use::Closed;
    }
    if standing != Some(Standing::Alive) {
        return Use::Frozen;
    }
    match view.slots.get(&(service, zone)) {
        Some(0) => Use::Lost,
        Some(&slots) => Use::Open(slots),
        None => Use::Frozen,
    }
}

/// The split over zones that can serve; empty if there are none.
fn desired(
    catalog: &Catalog,
    service: ServiceKey,
    locality: RegionKey,
    view: &View,
    zones: &Sorted,
) -> Split {
    let is_open = |zone| zones.open.iter().any(|&(open, _)| open == zone);
    if let Some(plan) = view.plan.get(&(service, locality)) {
        if !plan.is_empty() && plan.shares().all(|(zone, _)| is_open(zone)) {
            return plan.clone();
        }
    }
    let own = in_region(catalog, &zones.open, locality);
    if own.is_empty() {
        abroad(catalog, service, locality, &zones.open)
    } else {
        Split::new(catalog, own)
    }
}

/// The nearest zones of other regions which together have the slots that `locality` should have.
fn abroad(
    catalog: &Catalog,
    service: ServiceKey,
    locality: RegionKey,
    open: &[(ZoneKey, f64)],
) -> Split {
    let need = configured(catalog, service, locality);
    let mut weights = Vec::new();
    let mut slots = 0.0;
    for region in nearest(catalog, locality) {
        if slots > 0.0 && slots >= need {
            break;
        }
        let zones = in_region(catalog, open, region);
        slots += zones.iter().map(|&(_, slots)| slots).sum::<f64>();
        weights.extend(zones);
    }
    Split::new(catalog, weights)
}

/// The slots that a service has in a region by the configuration, whatever their state.
fn configured(catalog: &Catalog, service: ServiceKey, region: RegionKey) -> f64 {
    catalog
        .sites(service)
        .filter(|&(zone, _)| catalog.region_of(zone) == region)
        .flat_map(|(_, site)| &site.targets)
        .map(|&target| f64::from(catalog.target(target).slots))
        .sum()
}

/// The other regions by the latency of the link from `from`; those without a link come last.
pub(crate) fn nearest(catalog: &Catalog, from: RegionKey) -> Vec<RegionKey> {
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

fn in_region(
    catalog: &Catalog,
    zones: &[(ZoneKey, f64)],
    region: RegionKey,
) -> Vec<(ZoneKey, f64)> {
    let own = |&&(zone, _): &&(ZoneKey, f64)| catalog.region_of(zone) == region;
    zones.iter().filter(own).copied().collect()
}

/// The current split with the share of lost zones spread like `open`.
fn failover(
    catalog: &Catalog,
    service: ServiceKey,
    view: &View,
    current: &Split,
    open: &Split,
) -> Split {
    let is_lost = |zone| matches!(usage(catalog, service, view, zone), Use::Lost);
    let (lost, kept): (Vec<_>, Vec<_>) = current.shares().partition(|&(zone, _)| is_lost(zone));
    let lost: f64 = lost.iter().map(|&(_, share)| share).sum();
    let spread = open.shares().map(|(zone, share)| (zone, lost * share));
    Split::new(catalog, kept.into_iter().chain(spread))
}

/// Zones of which nothing is known keep their share, the others share the rest like `open`.
fn planned(
    catalog: &Catalog,
    locality: RegionKey,
    current: &Split,
    zones: &Sorted,
    open: &Split,
) -> Split {
    let is_own = |zone: &ZoneKey| catalog.region_of(*zone) == locality;
    let own_unknown = zones.frozen.iter().any(is_own);
    let own_open = open.shares().any(|(zone, _)| is_own(&zone));
    if open.is_empty() || (own_unknown && !own_open) {
        return current.clone();
    }
    let frozen = zones.frozen.iter().map(|&zone| (zone, current.share(zone)));
    let rest = 1.0 - frozen.clone().map(|(_, share)| share).sum::<f64>();
    let spread = open.shares().map(|(zone, share)| (zone, rest * share));
    Split::new(catalog, frozen.chain(spread))
}

/// Keeps zones that came back from being used before they have stayed good for a while.
#[derive(Clone, Debug)]
pub struct Hold {
    period: Duration,
    zones: BTreeMap<ZoneKey, Relapse>,
}

/// A zone that was lost.
#[derive(Clone, Copy, Debug, Default)]
struct Relapse {
    /// Since when it has been good without a break.
    good: Option<Instant>,
    /// Whether it is in use again.
    settled: bool,
    /// How often it was lost after it had been in use.
    losses: u32,
}

impl Hold {
    /// A zone has to stay good for `period`, twice as long after each further loss.
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            zones: BTreeMap::new(),
        }
    }

    /// The standing to act by, given the one seen now. To be called regularly for each zone.
    pub fn observe(&mut self, now: Instant, zone: ZoneKey, seen: Standing) -> Standing {
        if seen == Standing::Lost {
            self.lose(zone);
            return Standing::Lost;
        }
        let Some(relapse) = self.zones.get_mut(&zone) else {
            return seen;
        };
        if seen == Standing::Unknown {
            relapse.good = None;
            return if relapse.settled {
                seen
            } else {
                Standing::Lost
            };
        }
        let good = now.saturating_duration_since(*relapse.good.get_or_insert(now));
        let doublings = relapse.losses.saturating_sub(1).min(MAX_DOUBLINGS);
        let wait = self.period * (1 << doublings);
        relapse.settled |= good >= wait;
        let settled = relapse.settled;
        if good >= wait * (1 << MAX_DOUBLINGS) {
            self.zones.remove(&zone);
        }
        if settled {
            Standing::Alive
        } else {
            Standing::Lost
        }
    }

    fn lose(&mut self, zone: ZoneKey) {
        let relapse = self.zones.entry(zone).or_insert(Relapse {
            settled: true,
            ..Relapse::default()
        });
        if relapse.settled {
            relapse.losses += 1;
        }
        relapse.settled = false;
        relapse.good = None;
    }
}
