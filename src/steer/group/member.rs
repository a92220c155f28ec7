//! One target of a group, and what the choice needs of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Ask, Config, Health, Pick, Source, State, Switch, Tally};
use crate::catalog::{self, TargetKey};
use crate::steer::eject::OutlierDetector;
use crate::steer::limit::Limit;
use crate::steer::pick::Estimate;
use crate::steer::slow_start::SlowStart;
use crate::steer::throttle::{Assignment, Bucket};

/// The first rest of a target after a refusal or a failure; doubles with each in a row.
const REST: Duration = Duration::from_millis(5);
/// Doublings of the rest at most.
const REST_DOUBLINGS: u32 = 7;

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) key: TargetKey,
    pub(super) slots: u32,
    pub(super) configured: catalog::State,
    pub(super) leaving: BTreeMap<Source, Instant>,
    pub(super) word: State,
    pub(super) health: Health,
    pub(super) in_flight: u32,
    pub(super) limit: Limit,
    pub(super) warm: SlowStart,
    pub(super) eject: OutlierDetector,
    pub(super) estimate: Estimate,
    pub(super) refusals: u32,
    pub(super) rest: Option<Instant>,
    /// What this host has of the rate that the target names, if it names one.
    pub(super) share: Option<Share>,
}

/// This host's part of the rate that a target names.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Requests a second.
    pub(super) rate: f64,
    pub(super) bucket: Bucket,
}

impl Member {
    pub(super) fn new(key: TargetKey, target: &catalog::Target, hosts: usize) -> Self {
        Self {
            key,
            slots: target.slots,
            configured: catalog::State::Serving,
            leaving: BTreeMap::new(),
            word: State::Serving,
            health: Health::Up,
            in_flight: 0,
            limit: Limit::new(target.slots, target.connections, hosts),
            warm: SlowStart::new(target.warm),
            eject: OutlierDetector::new(),
            estimate: Estimate::new(),
            refusals: 0,
            rest: None,
            share: None,
        }
    }

    /// The time until this host may send a request, by the rate that the target names.
    pub(super) fn opens_in(&self, now: Instant) -> Duration {
        self.share.map_or(Duration::ZERO, |share| {
            share
                .bucket
                .time_to_token(now, share.rate, Assignment::Primary)
        })
    }

    /// Counts a request against the rate that the target names.
    pub(super) fn spend(&mut self, now: Instant) {
        if let Some(share) = &mut self.share {
            // An empty bucket gets nothing that could be taken: the choice passed over it.
            let _ = share.bucket.take(now, share.rate, Assignment::Primary, 1);
        }
    }

    /// Whether new work may be sent at all.
    pub(super) fn is_serving(&self) -> bool {
        self.configured == catalog::State::Serving && self.leaving.is_empty()
    }

    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rest.is_some_and(|until| now < until)
    }

    pub(super) fn start_rest(&mut self, now: Instant) {
        let factor = 1 << self.refusals.min(REST_DOUBLINGS);
        self.refusals += 1;
        self.rest = Some(now + REST * factor);
    }

    pub(super) fn has_tried(&self, ask: &Ask) -> bool {
        ask.exclude.contains(&self.key)
    }
}

/// What the choice needs of one target, close together as every decision reads it of all.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seat {
    pub(super) in_flight: u32,
    /// Requests allowed in flight; 0 if it must not be used.
    pub(super) allowed: u32,
    /// Load of other hosts, in requests.
    pub(super) foreign: f64,
    /// Slowness over slots.
    pub(super) weight: f64,
    /// The part it may be used to while it warms up.
    pub(super) fraction: f64,
}

impl Seat {
    pub(super) fn new(config: &Config, tally: &Tally, member: &Member, now: Instant) -> Self {
        Self {
            in_flight: member.in_flight,
            allowed: if is_usable(config, member, now) {
                allowed(config, member)
            } else {
                0
            },
            foreign: member.estimate.foreign(now, tally.others),
            weight: member.estimate.slowness(now, tally.median) / f64::from(member.slots),
            fraction: fraction(config, member),
        }
    }

    pub(super) fn is_free(&self) -> bool {
        self.in_flight < self.allowed
    }

    /// The cost of sending one more request; lower is better.
    pub(super) fn cost(&self, pick: Pick) -> f64 {
        match pick {
            Pick::TwoChoices => (1.0 + f64::from(self.in_flight) + self.foreign) * self.weight,
            Pick::LeastInFlight | Pick::RoundRobin => f64::from(self.in_flight),
        }
    }
}

/// The part of a target's limit in use while it warms up.
pub(super) fn fraction(config: &Config, member: &Member) -> f64 {
    match config.warm {
        Switch::On => member.warm.fraction(),
        Switch::Off => 1.0,
    }
}

/// Requests allowed at a target.
pub(super) fn allowed(config: &Config, member: &Member) -> u32 {
    match config.limit {
        Switch::On => member.limit.max_in_flight(fraction(config, member)),
        Switch::Off => member.limit.connection_share(),
    }
}

/// Whether a target may be used at all, up to its limit.
fn is_usable(config: &Config, member: &Member, now: Instant) -> bool {
    let rests = config.eject == Switch::On && member.rests(now);
    member.is_serving() && member.eject.is_in_use() && !rests
}
