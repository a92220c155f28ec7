//! Adaptive concurrency limit of one target, as one host applies it.
//!
//! The limit starts at the host's share of the target's slots. It rises while the target answers
//! without queueing. It falls back to that share when the target refuses requests, slows down or
//! reports more requests than slots, and while the limit is not reached. The host's share of the
//! connections is an upper bound regardless of any measurement, so the sum over the hosts never
//! exceeds the connections.

use std::time::{Duration, Instant};

/// Increase of the limit over one full round of answers at the limit.
const INCREASE_PER_ROUND: f64 = 0.25;
/// Factor on the excess over the share after a refusal.
const REFUSAL_FACTOR: f64 = 0.5;
/// Factor on the excess over the share after a sign of queueing.
const QUEUEING_FACTOR: f64 = 0.8;
/// Ratio of the latency to the latency without queueing above which a target is considered to be
/// queueing.
const MAX_LATENCY_RATIO: f64 = 1.7;
/// The same ratio for a target that reports its load: the report is the better indication, but it
/// may be wrong.
const MAX_LATENCY_RATIO_REPORTED: f64 = 2.0;
/// Requests above its slots that a target may report before it counts as queueing. They cover the
/// time in which answers and requests are on the network.
const MAX_REPORTED_QUEUE: u32 = 2;
/// Time in which half of an unused excess over the share decays: longer than the gaps of a steady
/// load, so that a burst within a host's limit still finds it, and shorter than the time for which
/// hosts are unavailable.
const EXCESS_HALF_LIFE: Duration = Duration::from_millis(250);
/// Minimum time between two reductions, so that one congestion counts once.
const MIN_REDUCTION_INTERVAL: Duration = Duration::from_millis(20);

/// Requests in flight and slots that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests from all hosts that it runs or queues.
    pub in_flight: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

/// Concurrency limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    share: f64,
    connection_share: u32,
    value: f64,
    last_reduction: Option<Instant>,
    /// Time up to which the decay of the excess is included.
    decayed_until: Option<Instant>,
}

impl Limit {
    /// Returns the limit of a target that `hosts` hosts share.
    pub fn new(slots: u32, connections: u32, hosts: usize) -> Self {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let connection_share = connections / hosts;
        let share = (f64::from(slots) / f64::from(hosts)).min(f64::from(connection_share));
        Self {
            share,
            connection_share,
            value: share,
            last_reduction: None,
            decayed_until: None,
        }
    }

    /// Returns the limit after a change of the target or of the number of hosts; it restarts if the
    /// shares changed.
    #[must_use]
    pub fn with_size(&self, slots: u32, connections: u32, hosts: usize) -> Self {
        let new = Self::new(slots, connections, hosts);
        if new.share == self.share && new.connection_share == self.connection_share {
            return self.clone();
        }
        new
    }

    /// Returns the limit in requests; below 1 when there are more hosts than slots.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the host's share of the slots, which is the minimum of the limit.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the host's share of the connections, which is the maximum of the limit.
    pub fn connection_share(&self) -> u32 {
        self.connection_share
    }

    /// Returns the whole requests that may be in flight when the target may be used to `fraction`;
    /// at least 1 where the connections allow it.
    pub fn max_in_flight(&self, fraction: f64) -> u32 {
        let whole = (self.value * fraction).ceil() as u32;
        whole.max(1).min(self.connection_share)
    }

    /// Records an answer. `is_full` says that the limit was reached; `ratio` is the target's mean
    /// latency over its latency without queueing.
    pub fn record_answer(&mut self, now: Instant, is_full: bool, ratio: f64, load: Option<Load>) {
        let is_queueing =
            load.is_some_and(|load| load.in_flight > load.slots.saturating_add(MAX_REPORTED_QUEUE));
        let max_ratio = match load {
            Some(_) => MAX_LATENCY_RATIO_REPORTED,
            None => MAX_LATENCY_RATIO,
        };
        if is_queueing || ratio > max_ratio {
            self.reduce_excess(now, QUEUEING_FACTOR);
            return;
        }
        if is_full {
            self.decayed_until = Some(now);
        }
        let has_free_slots = load.is_none_or(|load| load.in_flight <= load.slots);
        if is_full && has_free_slots {
            let raised = self.value + INCREASE_PER_ROUND / self.value.max(1.0);
            self.value = raised.min(f64::from(self.connection_share));
        }
    }

    /// Decays an unused excess over the share: the limit rose while the other hosts left slots
    /// free, and nothing shows that they still do.
    pub fn decay_excess(&mut self, now: Instant) {
        let since = *self.decayed_until.get_or_insert(now);
        let idle = now.saturating_duration_since(since).as_secs_f64();
        let left = 0.5f64.powf(idle / EXCESS_HALF_LIFE.as_secs_f64());
        self.value = self.share + (self.value - self.share) * left;
        self.decayed_until = Some(now);
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, now: Instant) {
        self.reduce_excess(now, REFUSAL_FACTOR);
    }

    /// Reduces the excess over the share, at most once per [`MIN_REDUCTION_INTERVAL`].
    fn reduce_excess(&mut self, now: Instant, factor: f64) {
        if self
            .last_reduction
            .is_some_and(|last_reduction| now < last_reduction + MIN_REDUCTION_INTERVAL)
        {
            return;
        }
        self.last_reduction = Some(now);
        self.value = self.share + (self.value - self.share) * factor;
    }
}
