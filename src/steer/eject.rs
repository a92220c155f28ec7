//! Outlier ejection of one target, with probes before it is used again.
//!
//! A target is ejected after consecutive failures, for a success rate well below that of the group,
//! or for a latency well above the group's median. After a time that doubles with each ejection,
//! single requests probe it. The group limits how many targets may be ejected at once.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Consecutive failures after which a target is ejected.
const FAILURE_STREAK: u32 = 3;
/// The same for a target that its health endpoint reports as down.
const FAILURE_STREAK_DOWN: u32 = 2;
/// Weight of one outcome in the success rate.
const SUCCESS_WEIGHT: f64 = 0.05;
/// Outcomes needed before the success rate is used.
const MIN_SUCCESS_SAMPLES: u32 = 20;
/// Margin by which the success rate may be below that of the group.
const MAX_SUCCESS_DEFICIT: f64 = 0.2;
/// Answers needed before the latency is used.
const MIN_LATENCY_SAMPLES: u32 = 5;
/// Maximum latency in multiples of the group's median.
pub const MAX_LATENCY_RATIO: f64 = 3.0;
/// Consecutive successful probes after which a target is restored.
const REQUIRED_PROBES: u32 = 3;
/// Duration of the first ejection.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Maximum number of times that this duration is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Ejection state of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// In use.
    InUse,
    /// Ejected until the given time.
    Ejected(Instant),
    /// Probed with one request at a time; holds the number of successful probes.
    Probing(u32),
}

/// Outcome of one request, as an indication of the state of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered in time.
    Good,
    /// It answered, but far too slowly.
    Slow,
    /// It failed.
    Bad,
}

/// Comparison of a target with its group.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    /// Latency in multiples of the group's median.
    pub latency_ratio: f64,
    /// Answers from which the latency was measured.
    pub latency_samples: u32,
    /// Mean success rate of the group, 0 to 1.
    pub group_success_rate: f64,
    /// Whether its health endpoint reports it as down.
    pub is_down: bool,
    /// Whether it is warming up, when it may be slow.
    pub is_warming_up: bool,
}

/// Outlier detection of one target.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    phase: Phase,
    failure_streak: u32,
    ejection_count: u32,
    restored_at: Option<Instant>,
    success_rate: f64,
    sample_count: u32,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self::new()
    }
}

impl OutlierDetector {
    /// Returns the state of a target in use.
    pub fn new() -> Self {
        Self {
            phase: Phase::InUse,
            failure_streak: 0,
            ejection_count: 0,
            restored_at: None,
            success_rate: 1.0,
            sample_count: 0,
        }
    }

    /// Whether the target is in use, not ejected or probed.
    pub fn is_in_use(&self) -> bool {
        self.phase == Phase::InUse
    }

    /// Whether a probe may be sent, if none is in flight.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        match self.phase {
            Phase::InUse => false,
            Phase::Ejected(ejected_until) => now >= ejected_until,
            Phase::Probing(_) => true,
        }
    }

    /// Returns when probes start, if the target is ejected.
    pub fn ejected_until(&self) -> Option<Instant> {
        match self.phase {
            Phase::Ejected(ejected_until) => Some(ejected_until),
            _ => None,
        }
    }

    /// Returns the success rate, 0 to 1.
    pub fn success_rate(&self) -> f64 {
        self.success_rate
    }

    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: Outcome) {
        let is_failure = outcome == Outcome::Bad;
        self.failure_streak = if is_failure {
            self.failure_streak + 1
        } else {
            0
        };
        self.sample_count = self.sample_count.saturating_add(1);
        let value = f64::from(u8::from(!is_failure));
        self.success_rate += (value - self.success_rate) * SUCCESS_WEIGHT;
    }

    /// Whether the target should be ejected.
    pub fn is_outlier(&self, comparison: &Comparison) -> bool {
        if !self.is_in_use() {
            return false;
        }
        let failure_streak = if comparison.is_down {
            FAILURE_STREAK_DOWN
        } else {
            FAILURE_STREAK
        };
        let has_failure_streak = self.failure_streak >= failure_streak;
        let has_low_success_rate = self.sample_count >= MIN_SUCCESS_SAMPLES
            && self.success_rate < comparison.group_success_rate - MAX_SUCCESS_DEFICIT;
        let is_slow = !comparison.is_warming_up
            && comparison.latency_samples >= MIN_LATENCY_SAMPLES
            && comparison.latency_ratio > MAX_LATENCY_RATIO;
        has_failure_streak || has_low_success_rate || is_slow
    }

    /// Ejects the target.
    pub fn eject(&mut self, now: Instant, rng: &mut impl Rng) {
        if self.restored_at.is_some_and(|restored_at| {
            now > restored_at
                + FIRST_EJECTION_TIME * (1 << self.ejection_count.min(MAX_DOUBLINGS)) * 4
        }) {
            self.ejection_count = 0;
        }
        let duration = FIRST_EJECTION_TIME * (1 << self.ejection_count.min(MAX_DOUBLINGS));
        let jitter = rng.random_range(0.9..1.1);
        self.phase = Phase::Ejected(now + duration.mul_f64(jitter));
        self.ejection_count += 1;
        self.failure_streak = 0;
        self.success_rate = 1.0;
        self.sample_count = 0;
    }

    /// Records the outcome of a probe. Returns whether the target was restored.
    pub fn record_probe(&mut self, now: Instant, outcome: Outcome, rng: &mut impl Rng) -> bool {
        let good = match self.phase {
            Phase::InUse => return false,
            Phase::Ejected(_) => 0,
            Phase::Probing(good) => good,
        };
        if outcome != Outcome::Good {
            self.eject(now, rng);
            return false;
        }
        self.phase = Phase::Probing(good + 1);
        if good + 1 < REQUIRED_PROBES {
            return false;
        }
        self.restore(now);
        true
    }

    /// Restores the target regardless of the outcomes recorded.
    pub fn restore(&mut self, now: Instant) {
        self.phase = Phase::InUse;
        self.restored_at = Some(now);
        self.failure_streak = 0;
    }
}
