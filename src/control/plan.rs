//! The plan: splits and quota bonuses, as they are stored, sent and accepted.
//!
//! It is made by a [`Planner`](super::planner::Planner). Hosts take plans in the order of their
//! stamps and follow them under the operator's caps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};

/// Units of a share on the wire.
const UNITS: f64 = 10_000.0;

/// Order of plans: by epoch, then by sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Epoch of the lease under which it was made.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Rises with each plan of the epoch.
    #[serde(rename = "s")]
    pub sequence: u64,
}

/// What a host accepts: stamps that only rise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    newest: Stamp,
}

impl Gate {
    /// Whether a plan is newer than all before; if so, older ones are refused from now on.
    pub fn accept(&mut self, stamp: Stamp) -> bool {
        let newer = stamp > self.newest;
        if newer {
            self.newest = stamp;
        }
        newer
    }

    /// The newest stamp accepted.
    pub fn newest(&self) -> Stamp {
        self.newest
    }
}

/// Shares over zones; they add up to 1.
pub type Shares = BTreeMap<ZoneKey, f64>;

/// A part of unused quota, granted for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bonus {
    /// How much, in the unit of the quota.
    pub amount: f64,
    /// How long it may be used from its receipt.
    pub ttl: Duration,
}

/// A plan, by keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Its place in the order of plans.
    pub stamp: Stamp,
    /// Shares by service and locality.
    pub splits: BTreeMap<(ServiceKey, RegionKey), Shares>,
    /// Quota bonuses by host and the region the work is for.
    pub bonuses: BTreeMap<(HostKey, RegionKey), Bonus>,
    /// Age of the samples it was made from, by zone.
    pub ages: BTreeMap<ZoneKey, Duration>,
}

/// Shares in ten-thousandths, by locality and zone.
pub type Localities = BTreeMap<Arc<str>, BTreeMap<Arc<str>, u16>>;

/// A plan as it is stored and sent, by names. The store has it whole; between hosts only what
/// changed since a plan before it may be sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the order of plans.
    pub stamp: Stamp,
    /// The plan to which this is the difference; none if it is whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Stamp>,
    /// Shares by service.
    pub splits: BTreeMap<Arc<str>, Localities>,
    /// Bonuses by host and region.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub bonuses: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Grant>>,
    /// Age of the samples by zone, in milliseconds.
    pub ages: BTreeMap<Arc<str>, u32>,
}

/// A bonus as it is stored and sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// How much, in the unit of the quota.
    pub amount: f32,
    /// How long it may be used from its receipt, in milliseconds.
    pub ttl_ms: u32,
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Shares in ten-thousandths that add up to exactly one.
fn quantize(shares: &Shares) -> BTreeMap<ZoneKey, u16> {
    let mut rest = UNITS as i32;
    let mut units: BTreeMap<ZoneKey, i32> = BTreeMap::new();
    for (&zone, &share) in shares {
        let unit = (share * UNITS).round() as i32;
        units.insert(zone, unit);
        rest -= unit;
    }
    if let Some(unit) = units.values_mut().max() {
        *unit += rest;
    }
    units
        .into_iter()
        .filter(|&(_, unit)| unit > 0)
        .map(|(zone, unit)| (zone, u16::try_from(unit).unwrap_or(u16::MAX)))
        .collect()
}

impl Plan {
    /// The plan by names.
    pub fn record(&self, catalog: &Catalog) -> Record {
        let mut record = Record {
            stamp: self.stamp,
            ..Record::default()
        };
        for (&(service, locality), shares) in &self.splits {
            let shares = quantize(shares)
                .into_iter()
                .map(|(zone, unit)| (catalog.zone(zone).name.clone(), unit))
                .collect();
            record
                .splits
                .entry(catalog.service(service).name.clone())
                .or_default()
                .insert(catalog.region(locality).name.clone(), shares);
        }
        for (&(host, region), bonus) in &self.bonuses {
            let grant = Grant {
                amount: bonus.amount as f32,
                ttl_ms: millis(bonus.ttl),
            };
            record
                .bonuses
                .entry(catalog.host(host).name.clone())
                .or_default()
                .insert(catalog.region(region).name.clone(), grant);
        }
        for (&zone, &age) in &self.ages {
            let name = catalog.zone(zone).name.clone();
            record.ages.insert(name, millis(age));
        }
        record
    }
}

impl Record {
    /// The difference of a whole plan to an older whole one; itself if something was removed.
    pub fn since(&self, old: &Self) -> Self {
        let removed = |new: &Localities, old: &Localities| {
            old.keys().any(|locality| !new.contains_key(locality))
        };
        let gone = old.splits.iter().any(|(service, localities)| {
            let new = self.splits.get(service);
            new.is_none_or(|new| removed(new, localities))
        });
        if gone || old.base.is_some() {
            return self.clone();
        }
        let mut difference = self.clone();
        difference.base = Some(old.stamp);
        difference.splits.retain(|service, localities| {
            if let Some(old) = old.splits.get(service) {
                localities.retain(|locality, shares| old.get(locality) != Some(shares));
            }
            !localities.is_empty()
        });
        difference
    }

    /// The whole plan, from this and the whole plan that was known before. None if this is the
    /// difference to another one, so that the whole must be asked for.
    pub fn onto(&self, known: &Self) -> Option<Self> {
        let Some(base) = self.base else {
            return Some(self.clone());
        };
        if base != known.stamp {
            return None;
        }
        let mut whole = self.clone();
        whole.base = None;
        for (service, localities) in &known.splits {
            let entry = whole.splits.entry(service.clone()).or_default();
            for (locality, shares) in localities {
                entry
                    .entry(locality.clone())
                    .or_insert_with(|| shares.clone());
            }
        }
        Some(whole)
    }

    /// The plan by keys. Names that the catalog lacks are left out; a split that loses a zone by
    /// that is left out whole.
    pub fn plan(&self, catalog: &Catalog) -> Plan {
        let mut plan = Plan {
            stamp: self.stamp,
            ..Plan::default()
        };
        for (service, localities) in &self.splits {
            let Some(service) = catalog.service_key(service) else {
                continue;
            };
            for (locality, shares) in localities {
                let shares = named_shares(shares, catalog);
                if let (Some(locality), Some(shares)) = (catalog.region_key(locality), shares) {
                    plan.splits.insert((service, locality), shares);
                }
            }
        }
        for (host, grants) in &self.bonuses {
            for (region, grant) in grants {
                let keys = catalog.host_key(host).zip(catalog.region_key(region));
                if let Some(key) = keys {
                    let bonus = Bonus {
                        amount: grant.amount.into(),
                        ttl: Duration::from_millis(grant.ttl_ms.into()),
                    };
                    plan.bonuses.insert(key, bonus);
                }
            }
        }
        for (zone, &age) in &self.ages {
            if let Some(zone) = catalog.zone_key(zone) {
                plan.ages.insert(zone, Duration::from_millis(age.into()));
            }
        }
        plan
    }
}

fn named_shares(shares: &BTreeMap<Arc<str>, u16>, catalog: &Catalog) -> Option<Shares> {
    let total: u32 = shares.values().copied().map(u32::from).sum();
    if total == 0 {
        return None;
    }
    shares
        .iter()
        .map(|(zone, &unit)| {
            let share = f64::from(unit) / f64::from(total);
            Some((catalog.zone_key(zone)?, share))
        })
        .collect()
}
