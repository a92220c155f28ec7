//! When the heartbeats of one host are overdue, from how they arrived so far.
//!
//! A live host is taken for dead when three heartbeats in a row are lost and no other host that
//! hears it answers in time. For two hosts alone that is 7,200 p^3 times an hour, if each
//! heartbeat is lost with probability p: by `benches/control.rs`, in 40 hours of pairs, none at
//! 1 %, 4 at 2 % and 38 at 5 %. With four more hosts in the zone there was none in 120 hours of
//! pairs at up to 5 %, and 22 at 20 %. Jitter raises the limit above what it is in quiet times,
//! so that it causes none by itself.

use std::time::{Duration, Instant};

/// Time between the heartbeats of a host to those of its own availability zone.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats that may be missing before a host counts as dead.
const MISSED: f64 = 3.0;
/// Standard deviations of the arrival that are allowed on top.
const DEVIATIONS: f64 = 6.0;
/// Allowance for delays when the observed jitter is small.
const SLACK: Duration = Duration::from_millis(250);
/// Longest silence of a live host, however irregular its heartbeats are.
const MAX: Duration = Duration::from_secs(6);
/// Weight of a new observation in the running averages.
const WEIGHT: f64 = 1.0 / 16.0;

/// Arrival statistics of the heartbeats of one host.
#[derive(Clone, Debug)]
pub struct Detector {
    interval: Duration,
    variance: f64,
    arrived: Option<(Instant, u64)>,
}

impl Default for Detector {
    fn default() -> Self {
        Self::new(INTERVAL)
    }
}

impl Detector {
    /// Statistics for heartbeats sent every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            variance: 0.0,
            arrived: None,
        }
    }

    /// Takes in a heartbeat whose sender numbers them by [`INTERVAL`] and sends the next one on
    /// this link after `interval`. A gap in the numbers is loss, not jitter.
    pub fn arrive(&mut self, now: Instant, interval: Duration, sequence: u64) {
        self.interval = interval;
        let Some((at, before)) = self.arrived.replace((now, sequence)) else {
            return;
        };
        let steps = sequence.saturating_sub(before);
        let expected = INTERVAL.as_secs_f64() * steps as f64;
        let late = now.saturating_duration_since(at).as_secs_f64() - expected;
        let bound = MAX.as_secs_f64();
        let late = late.clamp(-bound, bound);
        self.variance += WEIGHT * (late * late - self.variance);
    }

    /// Forgets the last arrival, so that a gap is not taken for jitter.
    pub fn resume(&mut self) {
        self.arrived = None;
    }

    /// Silence after which the host counts as dead: three heartbeats, and an allowance for the
    /// observed jitter.
    pub fn dead(&self) -> Duration {
        let jitter = DEVIATIONS * self.variance.sqrt();
        let slack = jitter.max(SLACK.as_secs_f64());
        let silence = MISSED * self.interval.as_secs_f64() + slack;
        Duration::from_secs_f64(silence).min(MAX.max(self.interval.mul_f64(MISSED)))
    }

    /// Silence after which the host is suspected: one interval before it counts as dead.
    pub fn suspect(&self) -> Duration {
        self.dead().saturating_sub(self.interval)
    }
}
