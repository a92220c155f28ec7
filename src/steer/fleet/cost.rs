//! Cost of a request at a target: the expected time until the target starts on it, plus the cost of
//! its bytes on the network, in seconds.

use std::time::{Duration, Instant};

use super::member::Member;
use super::region_stats::RequestEnd;
use super::service_stats::ServiceStats;
use super::{Fleet, Observation, TargetQuery};
use crate::border::settings::Switch;
use crate::duration;
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

/// Bounds of the slowdown by which measured times are divided, so that wrong reports of one target
/// do not distort the means of its service.
const MIN_CORRECTION: f64 = 0.5;
const MAX_CORRECTION: f64 = 4.0;

/// Terms of the cost of a request at a target, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Round trip to the region of the target.
    pub round_trip: f64,
    /// Time to open a connection.
    pub connect: f64,
    /// Wait for a free slot.
    pub wait: f64,
    /// Bytes on the network, weighed as time.
    pub bytes: f64,
    /// Additional processing of an object that the target does not have cached, at the usual speed.
    pub first_visit: f64,
    /// Processing beyond the usual time at the current speed; negative if the target is faster.
    pub slowdown: f64,
}

impl Cost {
    /// Returns the sum of all terms.
    pub fn total(&self) -> f64 {
        self.usual() + self.slowdown
    }

    /// Returns the sum of the terms other than the slowdown.
    pub fn usual(&self) -> f64 {
        self.round_trip + self.connect + self.wait + self.bytes + self.first_visit
    }
}

impl Fleet {
    /// Returns the terms of the cost of a request at a target: the time until the target is
    /// expected to start on it, and the cost of its bytes. `None` for an unknown target.
    pub(super) fn cost_terms(
        &self,
        now: Instant,
        key: TargetKey,
        query: &TargetQuery<'_>,
        is_connected: bool,
    ) -> Option<Cost> {
        let member = self.members.get(&key)?;
        let stats = self.stats(query.service);
        let round_trip = self.round_trip(member);
        let service_time = member.current_service_time(now, stats.service_time);
        let may_be_uncached = self.may_be_uncached(now, key, query);
        let slots = f64::from(member.registration.slots.max(1));
        Some(Cost {
            round_trip,
            connect: if is_connected { 0.0 } else { round_trip },
            wait: service_time * (self.load(now, member) + 1.0 - slots).max(0.0) / slots,
            bytes: (query.body_bytes as f64 + stats.answer_bytes) * self.byte_cost(member),
            first_visit: if may_be_uncached {
                stats.first_visit_penalty()
            } else {
                0.0
            },
            slowdown: stats.processing_time(may_be_uncached) * (member.slowdown(now) - 1.0),
        })
    }

    /// Returns how long a request usually takes at a target, in seconds, with its wait for a slot;
    /// `None` for an unknown target, and while the service's times are not known.
    pub(super) fn usual_processing_time(
        &self,
        now: Instant,
        key: TargetKey,
        query: &TargetQuery<'_>,
    ) -> Option<f64> {
        let stats = self.stats(query.service);
        stats.longest_service_time()?;
        let terms = self.cost_terms(now, key, query, true)?;
        let processing = stats.processing_time(self.may_be_uncached(now, key, query));
        Some(terms.wait + processing + terms.slowdown)
    }

    /// Whether the object of a request may be new to a target, as the target is not known to have
    /// it.
    fn may_be_uncached(&self, now: Instant, key: TargetKey, query: &TargetQuery<'_>) -> bool {
        let object = query.object.filter(|_| self.switches.warmth == Switch::On);
        object.is_some_and(|object| {
            !self.object_locations.is_holder(object, key)
                && !self.is_shared_holder(now, query.service, object, key)
        })
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

    /// Returns the round trip to a target.
    pub fn round_trip_time(&self, key: TargetKey) -> Duration {
        let member = self.members.get(&key);
        duration::from_seconds(member.map_or(0.0, |member| self.round_trip(member)))
    }

    /// Returns the round trip to a target in seconds.
    fn round_trip(&self, member: &Member) -> f64 {
        let measured = self.round_trips.get(&member.region).copied();
        measured.unwrap_or(if member.region == self.region {
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
        let slowdown = self.reported_slowdown(observation.load);
        let usual_time = service_time
            / slowdown.map_or(1.0, |slowdown| {
                slowdown.clamp(MIN_CORRECTION, MAX_CORRECTION)
            });
        let (service, region) = (member.service().clone(), member.region.clone());
        let object = observation.object;
        let is_known = object.is_some_and(|object| self.object_locations.is_holder(object, key));
        let is_shared =
            object.is_some_and(|object| self.is_shared_holder(now, &service, object, key));
        let max_holders = observation
            .object
            .map_or(0, |object| self.max_holders(now, &service, object));
        let stats = self.service_stats.entry(service.clone()).or_default();
        stats.record_service_time(service_time, usual_time);
        if let Some(bytes) = observation.body_bytes {
            stats.record_answer_bytes(bytes);
        }
        if let Some(object) = observation.object {
            // Whether another host has sent a request for the object to a shared holder is not known.
            if is_known || !is_shared {
                stats.record_visit(!is_known, usual_time);
            }
            if let (true, Some(goal)) = (is_known, observation.goal) {
                // A slow period makes answers late whatever the queue.
                let beyond_usual = (service_time - usual_time).max(0.0);
                let usual_elapsed = elapsed.as_secs_f64() - beyond_usual;
                stats
                    .admission
                    .record_answer(usual_elapsed > goal.as_secs_f64());
            }
            self.object_locations.record(now, object, key, max_holders);
        }
        let mean = stats.service_time;
        let stats = self.region_stats_mut(service, region);
        stats.record_end(RequestEnd::Answered);
        if let Some(member) = self.members.get_mut(&key) {
            let previous_slowdown = member.mean_slowdown(now);
            let measured_slowdown = slowdown.unwrap_or(1.0);
            member.measured_slowdown =
                previous_slowdown + (measured_slowdown - previous_slowdown) * SERVICE_TIME_WEIGHT;
            let previous = member.service_time(now, mean);
            member.service_time = Some((
                previous + (service_time - previous) * SERVICE_TIME_WEIGHT,
                now,
            ));
        }
    }
}
