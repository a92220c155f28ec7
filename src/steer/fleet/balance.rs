//! Utilization of a service's slots in each region, as the input of the balance and for metrics.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::Fleet;
use crate::border::settings::Switch;
use crate::steer::balance::Utilization;

/// Utilization of a region that is no alternative.
const FULL: f64 = 1.0;

/// Estimated state of a service's targets in one region, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct RegionEstimate<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// The region.
    pub region: &'a Arc<str>,
    /// Load divided by slots, `None` without recent reports.
    pub utilization: Option<f64>,
}

impl Fleet {
    /// Changes the share of a service's requests that leaves by its utilization, if that is due.
    pub(super) fn balance_drift(&mut self, now: Instant, service: &Arc<str>) {
        if self.switches.balance == Switch::Off {
            return;
        }
        let drift = self.drifts.get(service);
        let due = drift.filter(|drift| drift.is_change_due(now));
        let Some(share) = due.map(|drift| drift.remote_share()) else {
            return;
        };
        let utilization = self.utilization(now, service);
        let balance = self.balances.entry(service.clone()).or_default();
        let min_change = balance.min_change(now, share, utilization);
        if let Some(drift) = self.drifts.get_mut(service) {
            drift.change(now, min_change);
        }
    }

    /// Returns the utilization of a service's slots in the own region and elsewhere.
    fn utilization(&self, now: Instant, service: &Arc<str>) -> Utilization {
        let regions = self.region_stats.get(service);
        let utilization_of = |region| regions?.get(region)?.utilization(now);
        let others: Vec<_> = self
            .usable_slots(service)
            .into_iter()
            .filter(|(region, _)| **region != self.region)
            .map(|(region, slots)| (f64::from(slots), region, utilization_of(region)))
            .collect();
        let total: f64 = others.iter().map(|(slots, ..)| slots).sum();
        let load = others.iter().map(|(slots, region, utilization)| {
            let usable = utilization.filter(|_| self.meets_goal_in(service, region));
            slots * usable.unwrap_or(FULL)
        });
        let has_reports = others.iter().any(|(.., utilization)| utilization.is_some());
        Utilization {
            own: utilization_of(&self.region),
            others: (has_reports && total > 0.0).then(|| load.sum::<f64>() / total),
        }
    }

    /// Returns the slots of a service's targets by region, without targets that must not be used.
    fn usable_slots(&self, service: &Arc<str>) -> BTreeMap<&Arc<str>, u32> {
        let mut slots_by_region = BTreeMap::new();
        let keys = self.services.get(service).into_iter().flatten();
        let members = keys.filter_map(|key| self.members.get(key));
        for member in members.filter(|member| self.is_available(member)) {
            *slots_by_region.entry(&member.region).or_default() += member.registration.slots;
        }
        slots_by_region
    }

    /// Whether targets of a region answer repeat visits within the service's latency goal, with the
    /// path to them.
    fn meets_goal_in(&self, service: &Arc<str>, region: &Arc<str>) -> bool {
        let stats = self
            .region_stats
            .get(service)
            .and_then(|all| all.get(region));
        let repeat_visit = stats.map_or(0.0, |stats| stats.repeat_visit());
        let time = self.round_trip_to(region) + repeat_visit;
        let goal = self.latency_goals.get(service);
        goal.is_none_or(|goal| time <= goal.as_secs_f64())
    }

    /// Returns the share of each service's keys that has to leave the own region, for metrics.
    pub fn remote_shares(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let drifts = self.drifts.iter();
        drifts.map(|(service, drift)| (service, drift.remote_share()))
    }

    /// Returns the estimated state of each service in each region, for metrics.
    pub fn region_estimates(&self, now: Instant) -> impl Iterator<Item = RegionEstimate<'_>> {
        self.region_stats
            .iter()
            .flat_map(move |(service, regions)| {
                regions.iter().map(move |(region, stats)| RegionEstimate {
                    service,
                    region,
                    utilization: stats.utilization(now),
                })
            })
    }
}
