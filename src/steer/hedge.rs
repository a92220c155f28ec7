//! Hedged requests: when a second copy of an idempotent request is sent.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::retry::{Budget, Switch};

/// The latency quantile after which a copy is sent.
const DELAY_QUANTILE: f64 = 0.95;
/// Samples needed before the quantile is used.
const MIN_SAMPLES: u64 = 100;
/// Minimum delay before a copy is sent.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Rotation period of the samples; each is kept for one to two periods.
const SAMPLE_WINDOW: Duration = Duration::from_secs(15);
/// Number of new samples after which the quantile is recomputed.
const SAMPLES_PER_UPDATE: u32 = 64;
/// Maximum latency that is distinguished, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Copies allowed in each window of the budget, regardless of the share.
const BUDGET_FLOOR: u32 = 1;

/// Whether the target of a copy is known to have capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headroom {
    /// It has capacity.
    Confirmed,
    /// It has none, or there is no recent report.
    Unconfirmed,
}

/// Hedging decisions for one class of requests.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    switch: Switch,
    budget: Budget,
    recent: Histogram<u64>,
    previous: Histogram<u64>,
    last_rotation: Instant,
    new_samples: u32,
    delay: Option<Duration>,
}

impl HedgePolicy {
    /// Returns a policy that allows copies up to `share` of the requests.
    pub fn new(now: Instant, share: f64) -> Self {
        Self {
            switch: Switch::On,
            budget: Budget::new(now, share).with_floor(BUDGET_FLOOR),
            recent: histogram(),
            previous: histogram(),
            last_rotation: now,
            new_samples: 0,
            delay: None,
        }
    }

    /// Sets whether copies are sent at all.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Sets the share, for a new configuration.
    pub fn set_share(&mut self, share: f64) {
        self.budget.set_share(share);
    }

    /// Counts a request, but not its copy.
    pub fn record_request(&mut self, now: Instant) {
        self.budget.record_request(now);
    }

    /// Records the latency of an answered attempt, measured from its own start.
    pub fn record_latency(&mut self, now: Instant, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.recent.saturating_record(micros);
        self.new_samples += 1;
        if self.new_samples >= SAMPLES_PER_UPDATE || self.delay.is_none() {
            self.update_delay();
        }
    }

    /// Returns the delay from the start of an attempt to its copy; `None` while there are too few
    /// samples.
    pub fn delay(&mut self, now: Instant) -> Option<Duration> {
        if self.switch == Switch::Off {
            return None;
        }
        self.rotate(now);
        self.delay
    }

    /// Returns whether a copy may be sent after the delay has passed, and charges the budget if so.
    pub fn try_hedge(&mut self, now: Instant, headroom: Headroom) -> bool {
        self.switch == Switch::On && headroom == Headroom::Confirmed && self.budget.try_take(now)
    }

    /// Drops samples older than two rotation periods.
    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.last_rotation);
        if age < SAMPLE_WINDOW {
            return;
        }
        std::mem::swap(&mut self.recent, &mut self.previous);
        self.recent.reset();
        if age >= 2 * SAMPLE_WINDOW {
            self.previous.reset();
        }
        self.last_rotation = now;
        self.update_delay();
    }

    /// Recomputes the delay from the samples.
    fn update_delay(&mut self) {
        self.new_samples = 0;
        if self.recent.len() + self.previous.len() < MIN_SAMPLES {
            self.delay = None;
            return;
        }
        let mut sum = self.previous.clone();
        // Both histograms have the same bounds, so that adding them can't fail.
        if sum.add(&self.recent).is_err() {
            self.delay = None;
            return;
        }
        let micros = sum.value_at_quantile(DELAY_QUANTILE);
        self.delay = Some(Duration::from_micros(micros).max(MIN_DELAY));
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2).expect("the bounds are constant and valid")
}
