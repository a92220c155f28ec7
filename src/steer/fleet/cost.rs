//! Cost of a request at a target: the expected time until the target starts on it, plus the cost of
//! its bytes on the network, in seconds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::member::Member;
use super::region_stats::RequestEnd;
use super::service_stats::ServiceStats;
use super::{Fleet, Observation, TargetQuery};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;

/// Assumed round trip to another region while it is not measured, in seconds.
const DEFAULT_ROUND_TRIP_S: f64 = 0.05;
/// Weight of one slower sample in the measured round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.05;
/// Weight of one answer in a target's measured service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Cost of a byte between availability zones, in seconds of waiting.
const ZONE_BYTE_COST_S: f64 = 1.0e-6;
/// Cost of a byte between regions, in seconds of waiting.
const REGION_BYTE_COST_S: f64 = 2.2e-6;

impl Fleet {
    /// Returns the time in seconds until a target is expected to start on a request, plus the cost
    /// of its bytes.
    pub(super) fn cost(
        &self,
        now: Instant,
        key: TargetKey,
        query: &TargetQuery<'_>,
        is_connected: bool,
    ) -> f64 {
        let Some(member) = self.members.get(&key) else {
            return f64::INFINITY;
        };
        let stats = self.stats(query.service);
        let round_trip = self.round_trip(member);
        let connect_time = if is_connected { 0.0 } else { round_trip };
        let service_time = member.service_time(now, stats.service_time);
        let slots = f64::from(member.registration.slots.max(1));
        let wait = service_time * (self.load(now, member) + 1.0 - slots).max(0.0) / slots;
        let bytes = (query.body_bytes as f64 + stats.answer_bytes) * self.byte_cost(member);
        let first_visit = if self.may_be_uncached(key, query) {
            stats.first_visit_penalty()
        } else {
            0.0
        };
        round_trip + connect_time + wait + bytes + first_visit
    }

    /// Whether the object of a request may be new to a target, as the target is not known to have
    /// it.
    fn may_be_uncached(&self, key: TargetKey, query: &TargetQuery<'_>) -> bool {
        let object = query.object.filter(|_| self.switches.warmth == Switch::On);
        object.is_some_and(|object| !self.object_locations.is_holder(object, key))
    }

    /// Returns the cost of a byte to or from a target in seconds of waiting: links between
    /// availability zones, and more so between regions, are limited and paid for.
    fn byte_cost(&self, member: &Member) -> f64 {
        if member.registration.zone == self.zone {
            0.0
        } else if member.region == self.region {
            ZONE_BYTE_COST_S
        } else {
            REGION_BYTE_COST_S
        }
    }

    /// Returns the round trip to a target in seconds.
    fn round_trip(&self, member: &Member) -> f64 {
        self.round_trip_to(&member.region)
    }

    /// Returns the round trip to a region in seconds.
    pub(super) fn round_trip_to(&self, region: &Arc<str>) -> f64 {
        let measured = self.round_trips.get(region).copied();
        measured.unwrap_or(if *region == self.region {
            0.0
        } else {
            DEFAULT_ROUND_TRIP_S
        })
    }

    /// Returns the statistics of a service, or the defaults.
    pub(super) fn stats(&self, service: &str) -> ServiceStats {
        self.service_stats.get(service).copied().unwrap_or_default()
    }

    /// Records the time to connect to a target, as a round trip.
    pub fn record_connect(&mut self, key: TargetKey, elapsed: Duration) {
        let Some(member) = self.members.get(&key) else {
            return;
        };
        let elapsed = elapsed.as_secs_f64();
        let round_trip = self
            .round_trips
            .entry(member.region.clone())
            .or_insert(elapsed);
        // Time in the accept queue makes a sample longer, nothing makes it shorter.
        *round_trip = if elapsed < *round_trip {
            elapsed
        } else {
            *round_trip + (elapsed - *round_trip) * ROUND_TRIP_WEIGHT
        };
    }

    /// Records the time of an answer. It includes the wait for a slot, so a target that is busier
    /// than it reports has a long service time.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        key: TargetKey,
        elapsed: Duration,
        observation: &Observation,
    ) {
        let Some(member) = self.members.get(&key) else {
            return;
        };
        let service_time = (elapsed.as_secs_f64() - self.round_trip(member)).max(0.0);
        let (service, region) = (member.service().clone(), member.region.clone());
        let stats = self.service_stats.entry(service.clone()).or_default();
        stats.record_service_time(service_time);
        if let Some(bytes) = observation.body_bytes {
            stats.record_answer_bytes(bytes);
        }
        let mut is_repeat = false;
        if let Some(object) = observation.object {
            let is_first = !self.object_locations.is_holder(object, key);
            is_repeat = !is_first;
            stats.record_visit(is_first, service_time);
            if let (false, Some(goal)) = (is_first, observation.goal) {
                stats.admission.record_answer(elapsed > goal);
            }
            self.object_locations.record(now, object, key);
        }
        let mean = stats.service_time;
        let stats = self.region_stats_mut(service, region);
        stats.record_end(RequestEnd::Answered);
        if is_repeat {
            stats.record_repeat_visit(service_time);
        }
        if let Some(member) = self.members.get_mut(&key) {
            let previous = member.service_time(now, mean);
            member.service_time = Some((
                previous + (service_time - previous) * SERVICE_TIME_WEIGHT,
                now,
            ));
        }
    }
}
