//! Statistics of a service's targets in one region.
//!
//! A host learns the load of a target only from the target's answers. An overloaded target answers
//! seldom, and where many hosts use it, each of them has no recent report while its queue is full.
//! All of them would then take it for idle and fill its queue further, until most requests run out
//! of time. So while requests run out of time at targets of a region, a target without a recent
//! report is assumed to be as loaded as the others there lately were, and less may be queued at all
//! of them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::member::Member;
use super::Fleet;
use crate::border::settings::Switch;
use crate::inventory::TargetKey;

/// Weight of one report in the mean load, if the report before it has just arrived.
const REPORT_WEIGHT: f64 = 0.1;
/// Time in which the mean loses most of its weight against the next report.
const MEAN_AGING: Duration = Duration::from_secs(1);
/// Weight of one request in the share of those that run out of time.
const TIMEOUT_WEIGHT: f64 = 0.01;
/// Shares of requests that run out of time from which targets count as overloaded, and in full.
const TIMEOUT_SHARE_LOW: f64 = 0.02;
const TIMEOUT_SHARE_HIGH: f64 = 0.06;
/// Time without any report after which nothing is assumed: requests have to be sent to learn more.
const MEAN_LIFETIME: Duration = Duration::from_secs(4);
/// Time constant of the mean utilization: less than a second of it varies with single queues, much
/// more of it lags behind a load that rises by a tenth each second.
const UTILIZATION_TIME: Duration = Duration::from_secs(1);
/// Weight of one answer in the mean time of repeat visits.
const REPEAT_VISIT_WEIGHT: f64 = 0.05;

/// Statistics of one service's targets in one region.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionStats {
    /// Share of requests that ran out of time at a busy target.
    timeout_share: f64,
    /// Mean number of other hosts' requests that targets reported, and when the last one did.
    mean_load: Option<(f64, Instant)>,
    /// Mean ratio of running and waiting requests to slots that targets reported, and when the last
    /// one did.
    utilization: Option<(f64, Instant)>,
    /// Mean service time of objects that targets have cached, in seconds.
    repeat_visit: Option<f64>,
}

/// How a request at a target that is not silent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// It was answered.
    Answered,
    /// It ran out of time.
    TimedOut,
}

impl RegionStats {
    /// Records the end of a request.
    pub(super) fn record_end(&mut self, end: RequestEnd) {
        let value = f64::from(u8::from(end == RequestEnd::TimedOut));
        self.timeout_share += (value - self.timeout_share) * TIMEOUT_WEIGHT;
    }

    /// Returns how much the targets are overloaded, from 0 to 1.
    fn overload(&self) -> f64 {
        let overload =
            (self.timeout_share - TIMEOUT_SHARE_LOW) / (TIMEOUT_SHARE_HIGH - TIMEOUT_SHARE_LOW);
        overload.clamp(0.0, 1.0)
    }

    /// Records how many requests of other hosts a target reported.
    pub(super) fn record_load(&mut self, now: Instant, other_requests: u32) {
        let load = f64::from(other_requests);
        let mean = self.mean_load.map_or(load, |(mean, reported_at)| {
            let age = now.saturating_duration_since(reported_at);
            let kept = (-age.as_secs_f64() / MEAN_AGING.as_secs_f64()).exp();
            mean + (load - mean) * (1.0 - (1.0 - REPORT_WEIGHT) * kept)
        });
        self.mean_load = Some((mean, now));
    }

    /// Records the utilization of its slots that a target reported. Each report counts until the
    /// next one, so that targets do not count for more while they answer more often.
    pub(super) fn record_utilization(&mut self, now: Instant, utilization: f64) {
        let mean = self.utilization.map_or(utilization, |(mean, reported_at)| {
            let age = now.saturating_duration_since(reported_at);
            let kept = (-age.as_secs_f64() / UTILIZATION_TIME.as_secs_f64()).exp();
            utilization + (mean - utilization) * kept
        });
        self.utilization = Some((mean, now));
    }

    /// Returns the mean utilization of slots, if there is a recent report.
    pub(super) fn utilization(&self, now: Instant) -> Option<f64> {
        let (mean, reported_at) = self.utilization?;
        (now.saturating_duration_since(reported_at) < MEAN_LIFETIME).then_some(mean)
    }

    /// Records the service time of an object that the target had cached, in seconds.
    pub(super) fn record_repeat_visit(&mut self, service_time: f64) {
        let mean = self.repeat_visit.get_or_insert(service_time);
        *mean += (service_time - *mean) * REPEAT_VISIT_WEIGHT;
    }

    /// Returns the mean service time of cached objects in seconds, zero while it is not measured.
    pub(super) fn repeat_visit(&self) -> f64 {
        self.repeat_visit.unwrap_or_default()
    }

    /// Returns how many requests of other hosts a target has that reported nothing lately.
    fn assumed_load(&self, now: Instant) -> f64 {
        self.mean_load.map_or(0.0, |(mean, reported_at)| {
            let age = now.saturating_duration_since(reported_at);
            let weight = (1.0 - age.as_secs_f64() / MEAN_LIFETIME.as_secs_f64()).max(0.0);
            mean * weight * self.overload()
        })
    }
}

impl Fleet {
    /// Returns the estimated load of a target, in requests.
    pub(super) fn load(&self, now: Instant, member: &Member) -> f64 {
        let stats = self.region_stats(member);
        member.load(now, stats.map_or(0.0, |stats| stats.assumed_load(now)))
    }

    /// Returns the current maximum load of a target in multiples of its slots.
    pub(super) fn max_load_factor(&self, member: &Member) -> f64 {
        let overload = self.region_stats(member).map_or(0.0, RegionStats::overload);
        let admission = self.stats(member.service()).admission;
        admission.max_load_factor(overload)
    }

    /// Records that a request ran out of time at a target. Without the detection of silent targets it
    /// is not known whether the target is busy or does not answer at all.
    pub(super) fn record_timeout(&mut self, key: TargetKey) {
        if self.switches.silence == Switch::Off {
            return;
        }
        if let Some(member) = self.members.get(&key) {
            let (service, region) = (member.service().clone(), member.region.clone());
            let stats = self.region_stats_mut(service, region);
            stats.record_end(RequestEnd::TimedOut);
        }
    }

    /// Returns the statistics of a target's service and region, if there are any.
    pub(super) fn region_stats(&self, member: &Member) -> Option<&RegionStats> {
        let regions = self.region_stats.get(member.service())?;
        regions.get(&member.region)
    }

    /// Returns the statistics of a service and region.
    pub(super) fn region_stats_mut(
        &mut self,
        service: Arc<str>,
        region: Arc<str>,
    ) -> &mut RegionStats {
        let regions = self.region_stats.entry(service).or_default();
        regions.entry(region).or_default()
    }
}
