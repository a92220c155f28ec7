//! Slow start of one target after it became cold.
//!
//! Progress depends on use, not on time alone: a target without requests stays cold.

use std::time::{Duration, Instant};

/// Fraction of its limit that a cold target starts with.
const START_FRACTION: f64 = 0.25;
/// Maximum gap between two answers that counts as use, as a share of the ramp.
const MAX_GAP_SHARE: f64 = 0.05;

/// Slow-start state of one target.
#[derive(Clone, Debug)]
pub struct SlowStart {
    ramp: Duration,
    progress: f64,
    last_answer: Option<Instant>,
}

impl SlowStart {
    /// Returns the state of a warm target, which takes `ramp` of use to warm up when it is cold.
    pub fn new(ramp: Duration) -> Self {
        Self {
            ramp,
            progress: 1.0,
            last_answer: None,
        }
    }

    /// Returns the same state with another ramp.
    #[must_use]
    pub fn with_ramp(&self, ramp: Duration) -> Self {
        Self {
            ramp,
            ..self.clone()
        }
    }

    /// Restarts the ramp from cold.
    pub fn restart(&mut self, now: Instant) {
        if self.ramp.is_zero() {
            return;
        }
        self.progress = 0.0;
        self.last_answer = Some(now);
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        if !self.is_cold() {
            return;
        }
        let gap = self.last_answer.map_or(Duration::ZERO, |last_answer| {
            now.saturating_duration_since(last_answer)
        });
        let step = gap.as_secs_f64() / self.ramp.as_secs_f64();
        self.progress = (self.progress + step.min(MAX_GAP_SHARE)).min(1.0);
        self.last_answer = Some(now);
    }

    /// Whether the target is still warming up.
    pub fn is_cold(&self) -> bool {
        self.progress < 1.0 && !self.ramp.is_zero()
    }

    /// Returns the fraction of its limit to which the target may be used, above 0 to 1.
    pub fn fraction(&self) -> f64 {
        if !self.is_cold() {
            return 1.0;
        }
        START_FRACTION + (1.0 - START_FRACTION) * self.progress
    }
}
