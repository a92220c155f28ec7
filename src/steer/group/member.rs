//! State of one target of a group, and the data used to select among targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Config, GroupStats, Health, Pick, Source, State, Switch, TargetRequest};
use crate::catalog::{self, TargetKey};
use crate::steer::eject::OutlierDetector;
use crate::steer::limit::Limit;
use crate::steer::pick::Estimate;
use crate::steer::rest::Rest;
use crate::steer::slow_start::SlowStart;
use crate::steer::throttle::{Assignment, Bucket};

/// Initial backoff of a target after a refusal or a failure; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 7;

/// One target of a group.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) key: TargetKey,
    pub(super) slots: u32,
    pub(super) configured_state: catalog::State,
    pub(super) draining_sources: BTreeMap<Source, Instant>,
    pub(super) header_state: State,
    pub(super) health: Health,
    /// Whether it has answered any health check.
    pub(super) has_answered_check: bool,
    pub(super) in_flight: u32,
    pub(super) limit: Limit,
    pub(super) slow_start: SlowStart,
    pub(super) outlier_detector: OutlierDetector,
    pub(super) estimate: Estimate,
    pub(super) consecutive_failures: u32,
    pub(super) backoff_until: Option<Instant>,
    /// This host's share of the rate limit that the target announces, if it announces one.
    pub(super) rate_share: Option<RateShare>,
    /// The rest that the target asked this host for.
    pub(super) rest: Rest,
}

/// This host's share of the rate limit that a target announces.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateShare {
    /// Requests per second.
    pub(super) rate: f64,
    pub(super) bucket: Bucket,
}

impl Member {
    /// Whether its last health check was not answered, although an earlier one was: a request would
    /// not be answered either.
    pub(super) fn is_unreached(&self) -> bool {
        self.has_answered_check && self.health == Health::Unreached
    }

    pub(super) fn new(key: TargetKey, target: &catalog::Target, hosts: usize) -> Self {
        Self {
            key,
            slots: target.slots,
            configured_state: catalog::State::Serving,
            draining_sources: BTreeMap::new(),
            header_state: State::Serving,
            health: Health::Up,
            has_answered_check: false,
            in_flight: 0,
            limit: Limit::new(target.slots, target.connections, hosts),
            slow_start: SlowStart::new(target.warm_up),
            outlier_detector: OutlierDetector::new(),
            estimate: Estimate::new(),
            consecutive_failures: 0,
            backoff_until: None,
            rate_share: None,
            rest: Rest::default(),
        }
    }

    /// Returns the time until the target's rest ends and its rate limit allows this host to send a
    /// request.
    pub(super) fn closed_for(&self, now: Instant) -> Duration {
        let until_token = self.rate_share.map_or(Duration::ZERO, |share| {
            share
                .bucket
                .time_to_token(now, share.rate, Assignment::Primary)
        });
        until_token.max(self.rest.time_left(now).unwrap_or_default())
    }

    /// Charges a request to this host's share of the target's rate limit.
    pub(super) fn charge_rate(&mut self, now: Instant) {
        if let Some(share) = &mut self.rate_share {
            // The result can be ignored: selection skips targets whose bucket is empty.
            let _ = share.bucket.take(now, share.rate, Assignment::Primary, 1);
        }
    }

    /// Whether the target accepts new requests by its configured and reported states.
    pub(super) fn is_serving(&self) -> bool {
        self.configured_state == catalog::State::Serving && self.draining_sources.is_empty()
    }

    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    pub(super) fn start_backoff(&mut self, now: Instant) {
        let factor = 1 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + INITIAL_BACKOFF * factor);
    }

    pub(super) fn has_tried(&self, request: &TargetRequest) -> bool {
        request.exclude.contains(&self.key)
    }
}

/// Data of one target used for selection, stored compactly since each selection reads it for all targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) in_flight: u32,
    /// Limit on requests in flight; 0 if the target must not be used.
    pub(super) max_in_flight: u32,
    /// Estimated requests of other hosts at the target.
    pub(super) foreign_load: f64,
    /// Latency relative to the group's median, divided by the slots.
    pub(super) weight: f64,
    /// Usable fraction of the limit while the target warms up.
    pub(super) warm_fraction: f64,
}

impl Candidate {
    pub(super) fn new(config: &Config, stats: &GroupStats, member: &Member, now: Instant) -> Self {
        Self {
            in_flight: member.in_flight,
            max_in_flight: if is_usable(config, member, now) {
                let after_rest = member.rest.max_in_flight(now).unwrap_or(u32::MAX);
                max_in_flight(config, member).min(after_rest)
            } else {
                0
            },
            foreign_load: member.estimate.foreign_load(now, stats.median_foreign_load),
            weight: member
                .estimate
                .smoothed_latency_ratio(now, stats.median_latency)
                / f64::from(member.slots),
            warm_fraction: warm_fraction(config, member),
        }
    }

    pub(super) fn is_free(&self) -> bool {
        self.in_flight < self.max_in_flight
    }

    /// Returns the cost of sending one more request; lower is better.
    pub(super) fn cost(&self, pick: Pick) -> f64 {
        match pick {
            Pick::TwoChoices => (1.0 + f64::from(self.in_flight) + self.foreign_load) * self.weight,
            Pick::LeastInFlight | Pick::RoundRobin => f64::from(self.in_flight),
        }
    }
}

/// Returns the usable fraction of a target's limit while it warms up.
pub(super) fn warm_fraction(config: &Config, member: &Member) -> f64 {
    match config.warm {
        Switch::On => member.slow_start.fraction(),
        Switch::Off => 1.0,
    }
}

/// Returns the limit on this host's requests in flight at a target.
pub(super) fn max_in_flight(config: &Config, member: &Member) -> u32 {
    match config.limit {
        Switch::On => member.limit.max_in_flight(warm_fraction(config, member)),
        Switch::Off => member.limit.connection_share(),
    }
}

/// Whether a target may receive requests, up to its limit.
fn is_usable(config: &Config, member: &Member, now: Instant) -> bool {
    let is_backing_off = config.eject == Switch::On && member.is_backing_off(now);
    member.is_serving() && member.outlier_detector.is_in_use() && !is_backing_off
}
