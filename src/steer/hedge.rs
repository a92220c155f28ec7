//! When a second copy of an idempotent request is sent.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::retry::{Budget, Switch};

/// The latency quantile after which a copy is sent.
const QUANTILE: f64 = 0.95;
/// Samples needed before the quantile means something.
const MIN_SAMPLES: u64 = 100;
/// No copy is sent sooner than this.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Samples are kept for one to two of these.
const WINDOW: Duration = Duration::from_secs(15);
/// The quantile is worked out anew after this many samples.
const REFRESH: u32 = 64;
/// Largest latency told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Copies allowed in each window of the budget, whatever the share.
const FLOOR: u32 = 1;

/// Whether the place that would take a copy is known to have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headroom {
    /// It has room.
    Known,
    /// It has none, or nothing recent is known.
    Lacking,
}

/// Decides on second copies for one class.
#[derive(Clone, Debug)]
pub struct Hedge {
    switch: Switch,
    budget: Budget,
    newer: Histogram<u64>,
    older: Histogram<u64>,
    rotated: Instant,
    fresh: u32,
    delay: Option<Duration>,
}

impl Hedge {
    /// Allows copies up to `share` of the requests.
    pub fn new(now: Instant, share: f64) -> Self {
        Self {
            switch: Switch::On,
            budget: Budget::new(now, share).with_floor(FLOOR),
            newer: histogram(),
            older: histogram(),
            rotated: now,
            fresh: 0,
            delay: None,
        }
    }

    /// When off, no copy is ever sent.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Changes the share, as a new configuration does.
    pub fn set_share(&mut self, share: f64) {
        self.budget.set_share(share);
    }

    /// Counts a request; its copy doesn't count.
    pub fn request(&mut self, now: Instant) {
        self.budget.request(now);
    }

    /// Notes the latency of an answered try, counted from its own start.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.newer.saturating_record(micros);
        self.fresh += 1;
        if self.fresh >= REFRESH || self.delay.is_none() {
            self.refresh();
        }
    }

    /// How long after its start a try gets a copy, or nothing while too little is known.
    pub fn delay(&mut self, now: Instant) -> Option<Duration> {
        if self.switch == Switch::Off {
            return None;
        }
        self.rotate(now);
        self.delay
    }

    /// Asks, once the delay has passed, whether the copy may go; draws on the budget if so.
    pub fn take(&mut self, now: Instant, headroom: Headroom) -> bool {
        self.switch == Switch::On && headroom == Headroom::Known && self.budget.take(now)
    }

    /// Lets old samples go.
    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.newer, &mut self.older);
        self.newer.reset();
        if age >= 2 * WINDOW {
            self.older.reset();
        }
        self.rotated = now;
        self.refresh();
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        if self.newer.len() + self.older.len() < MIN_SAMPLES {
            self.delay = None;
            return;
        }
        let mut sum = self.older.clone();
        // Both have the same bounds, so that adding can't fail.
        if sum.add(&self.newer).is_err() {
            self.delay = None;
            return;
        }
        let micros = sum.value_at_quantile(QUANTILE);
        self.delay = Some(Duration::from_micros(micros).max(MIN_DELAY));
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("the bounds are constant and valid")
}
