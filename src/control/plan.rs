//! The plan: splits and quota bonuses, in memory and in the form that is stored and sent.
//!
//! Plans are made by a [`Planner`](super::planner::Planner). Hosts accept plans in the order of
//! their stamps and follow them within the operator's caps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, HostKey, RegionKey, ServiceKey, ZoneKey};

/// Units in a full share in the stored and sent form.
const SHARE_UNITS: f64 = 10_000.0;

/// Orders plans by epoch, then by sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Epoch of the lease under which the plan was made.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Increases with each plan of the epoch.
    #[serde(rename = "s")]
    pub sequence: u64,
}

/// Accepts only plans with increasing stamps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    newest: Stamp,
}

impl Gate {
    /// Returns whether a plan is newer than all accepted before. If so, older ones are rejected
    /// from now on.
    pub fn accept(&mut self, stamp: Stamp) -> bool {
        let newer = stamp > self.newest;
        if newer {
            self.newest = stamp;
        }
        newer
    }

    /// The newest accepted stamp.
    pub fn newest(&self) -> Stamp {
        self.newest
    }
}

/// Shares by zone, which add up to 1.
pub type Shares = BTreeMap<ZoneKey, f64>;

/// A part of the unused quota, granted for a limited time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bonus {
    /// Amount in the unit of the quota.
    pub amount: f64,
    /// How long it may be used after receipt.
    pub ttl: Duration,
}

/// A plan, indexed by catalog keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Its position in the order of plans.
    pub stamp: Stamp,
    /// Shares by service and locality.
    pub splits: BTreeMap<(ServiceKey, RegionKey), Shares>,
    /// Quota bonuses by host and target region.
    pub bonuses: BTreeMap<(HostKey, RegionKey), Bonus>,
    /// Age, by zone, of the samples that the plan was made from.
    pub ages: BTreeMap<ZoneKey, Duration>,
}

/// Shares in ten-thousandths, by locality and zone.
pub type Localities = BTreeMap<Arc<str>, BTreeMap<Arc<str>, u16>>;

/// A plan as it is stored and sent, indexed by names. The store always has the whole plan. Between
/// hosts, only the difference from an earlier plan may be sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Its position in the order of plans.
    pub stamp: Stamp,
    /// The stamp of the plan that this is a difference from; none if this is a whole plan.
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

/// A bonus in the form that is stored and sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Amount in the unit of the quota.
    pub amount: f32,
    /// How long it may be used after receipt, in milliseconds.
    pub ttl_ms: u32,
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Converts shares to ten-thousandths that add up to exactly 10,000.
fn quantize(shares: &Shares) -> BTreeMap<ZoneKey, u16> {
    let mut remainder = SHARE_UNITS as i32;
    let mut units: BTreeMap<ZoneKey, i32> = BTreeMap::new();
    for (&zone, &share) in shares {
        let unit = (share * SHARE_UNITS).round() as i32;
        units.insert(zone, unit);
        remainder -= unit;
    }
    if let Some(unit) = units.values_mut().max() {
        *unit += remainder;
    }
    units
        .into_iter()
        .filter(|&(_, unit)| unit > 0)
        .map(|(zone, unit)| (zone, u16::try_from(unit).unwrap_or(u16::MAX)))
        .collect()
}

impl Plan {
    /// Converts the plan to its stored form.
    pub fn to_record(&self, catalog: &Catalog) -> PlanRecord {
        let mut record = PlanRecord {
            stamp: self.stamp,
            ..PlanRecord::default()
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

impl PlanRecord {
    /// Returns the difference between this whole plan and an older whole one, or a copy of this
    /// plan if a split was removed.
    pub fn difference_from(&self, old: &Self) -> Self {
        let has_removed_locality = |new: &Localities, old: &Localities| {
            old.keys().any(|locality| !new.contains_key(locality))
        };
        let has_removals = old.splits.iter().any(|(service, localities)| {
            let new = self.splits.get(service);
            new.is_none_or(|new| has_removed_locality(new, localities))
        });
        if has_removals || old.base.is_some() {
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

    /// Returns the whole plan, given the whole plan that was known before. Returns none if this is
    /// a difference from another plan, so that the whole plan must be requested.
    pub fn applied_to(&self, known: &Self) -> Option<Self> {
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

    /// Converts the record to a plan. Names that are missing from the catalog are left out. A split
    /// with a missing zone is left out completely.
    pub fn to_plan(&self, catalog: &Catalog) -> Plan {
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
