//! Current speed of a target, by the factor that it adds to its load reports.
//!
//! Targets share their machines with others, so their processing may take a multiple of the usual
//! time for some hundred milliseconds. A report says little about the time after such a period:
//! its weight decreases with age, and without a recent one the usual speed is assumed.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use super::member::Member;
use super::{Fleet, Load};
use crate::border::settings::Switch;
use crate::inventory::TargetKey;
use crate::steer::throttle::decimal;

/// Time after which a reported slowdown has lost its weight, about as long as slow periods last.
const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(600);
/// Plausible slowdowns; others are faults of the target.
const PLAUSIBLE_SLOWDOWNS: RangeInclusive<f64> = 0.01..=100.0;
/// Value of a report of the usual speed, in percent.
const USUAL_PERCENT: f64 = 100.0;
/// Slowdown from which a request that runs out of time is taken for an effect of the target's
/// speed, not of its queue.
const MIN_SLOW_PERIOD: f64 = 1.25;

/// Reads a reported duration of processing in percent of the usual one, and returns it as a
/// factor. `None` if it is no decimal number or not plausible.
pub fn parse_slowdown(percent: &str) -> Option<f64> {
    let slowdown = decimal(percent.trim())? / USUAL_PERCENT;
    PLAUSIBLE_SLOWDOWNS.contains(&slowdown).then_some(slowdown)
}

/// Slowdown that a target reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowdownReport {
    /// Duration of processing in multiples of the usual one.
    pub(super) slowdown: f64,
    pub(super) received: Instant,
}

impl SlowdownReport {
    /// Returns the weight of the report, from 0 to 1.
    fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.received);
        (1.0 - age.as_secs_f64() / SLOWDOWN_LIFETIME.as_secs_f64()).max(0.0)
    }
}

impl Member {
    /// Returns the expected duration of its processing in multiples of the usual one.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        self.slowdown_report.map_or(1.0, |report| {
            1.0 + (report.slowdown - 1.0) * report.weight(now)
        })
    }

    /// Returns its service time in seconds at its expected speed, as [`Member::service_time`]. That
    /// is measured at various speeds, so the current one is compared with their mean.
    pub(super) fn current_service_time(&self, now: Instant, mean: f64) -> f64 {
        let service_time = self.service_time(now, mean);
        self.slowdown_report.map_or(service_time, |report| {
            let relative = report.slowdown / self.mean_slowdown(now);
            service_time * (1.0 + (relative - 1.0) * report.weight(now))
        })
    }
}

impl Fleet {
    /// Records the slowdown that a target reported outside of an answer to a request.
    pub fn record_slowdown(&mut self, now: Instant, key: TargetKey, slowdown: f64) {
        if self.switches.speed == Switch::Off {
            return;
        }
        if let Some(member) = self.members.get_mut(&key) {
            member.slowdown_report = Some(SlowdownReport {
                slowdown,
                received: now,
            });
        }
    }

    /// Returns the slowdown of a load report, if it is to be used.
    pub(super) fn reported_slowdown(&self, load: Option<Load>) -> Option<f64> {
        load?.slowdown.filter(|_| self.switches.speed == Switch::On)
    }

    /// Whether a target is expected to be in a slow period, which is no sign of overload.
    pub(super) fn is_slow(&self, now: Instant, member: &Member) -> bool {
        member.slowdown(now) >= MIN_SLOW_PERIOD
    }
}
