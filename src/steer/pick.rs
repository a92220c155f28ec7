//! Selection of a target when load reports lag.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::limit::Load;
pub use crate::border::settings::Pick;

/// Weight of one answer in the moving average of the latency, once there are enough answers.
const LATENCY_WEIGHT: f64 = 0.1;
/// Number of answers that the group's latency counts as in the estimate of a target with few answers.
const PRIOR_SAMPLES: f64 = 2.0;
/// Factor by which a latency may differ from the group's and still count as equal. Smaller differences
/// are mostly noise, which would outweigh the load.
const NOISE_RATIO: f64 = 1.3;
/// Time constant with which a latency that differs from the group's decays without new answers.
const LATENCY_DECAY_TIME: Duration = Duration::from_secs(5);
/// Weight of a new load report relative to this host's own requests. Reports lag by an unknown time.
const REPORT_WEIGHT: f64 = 0.3;
/// Age at which a load report has about a third of that weight.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(100);

/// A host's estimate of one target's latency and load.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    latency: f64,
    samples: u32,
    latency_recorded_at: Option<Instant>,
    reported_foreign_load: f64,
    reported_at: Option<Instant>,
}

impl Estimate {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the latency, as after an ejection.
    pub fn reset_latency(&mut self) {
        self.latency = 0.0;
        self.samples = 0;
    }

    /// Records the latency of one answer.
    pub fn record_latency(&mut self, now: Instant, latency: Duration) {
        self.latency_recorded_at = Some(now);
        self.samples = self.samples.saturating_add(1);
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.samples));
        self.latency += (latency.as_secs_f64() - self.latency) * weight;
    }

    /// Records a load report. `own` is the number of this host's requests included in it.
    pub fn record_load(&mut self, now: Instant, load: Load, own: u32) {
        self.reported_foreign_load = f64::from(load.in_flight.saturating_sub(own));
        self.reported_at = Some(now);
    }

    /// Returns the number of answers in the latency.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean latency in seconds, or `None` without answers.
    pub fn latency(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.latency)
    }

    /// Returns the latency divided by the group's `typical` latency; with few answers, the ratio is pulled
    /// towards 1.
    pub fn latency_ratio(&self, typical: f64) -> f64 {
        let samples = f64::from(self.samples);
        (self.latency / typical * samples + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)
    }

    /// Returns the latency ratio for target selection, with noise removed. It decays towards 1 without
    /// answers, so that a target which was slow once is tried again.
    pub fn smoothed_latency_ratio(&self, now: Instant, typical: f64) -> f64 {
        let ratio = self.latency_ratio(typical);
        if is_noise(ratio) {
            return 1.0;
        }
        let age = self
            .latency_recorded_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let faded = ratio.powf((-age.as_secs_f64() / LATENCY_DECAY_TIME.as_secs_f64()).exp());
        if is_noise(faded) {
            return 1.0;
        }
        faded
    }

    /// Returns the last reported load of other hosts, in requests.
    pub fn reported_foreign_load(&self) -> f64 {
        self.reported_foreign_load
    }

    /// Returns the estimated load of other hosts. A report can raise the estimate above the group's median
    /// but not lower it, so that a false report does not attract traffic.
    pub fn foreign_load(&self, now: Instant, median: f64) -> f64 {
        let Some(at) = self.reported_at else {
            return median;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = REPORT_WEIGHT * (-age / REPORT_DECAY_TIME.as_secs_f64()).exp();
        median + weight * (self.reported_foreign_load - median).max(0.0)
    }
}

/// Whether a latency ratio can be explained by the variance of single answers.
fn is_noise(ratio: f64) -> bool {
    (1.0 / NOISE_RATIO..NOISE_RATIO).contains(&ratio)
}

/// Selects targets by cost; keeps the position of the last selection.
#[derive(Clone, Debug)]
pub struct Picker {
    mode: Pick,
    cursor: usize,
}

impl Picker {
    /// Creates a picker with the given mode.
    pub fn new(mode: Pick) -> Self {
        Self { mode, cursor: 0 }
    }

    /// Selects one of `targets` and returns its position. `cost` returns `None` for a target that must not
    /// be used; lower is better. Targets of equal cost take turns, except with least in-flight, where one is
    /// selected at random.
    ///
    /// All targets are compared instead of two random ones: most of the cost is this host's own requests,
    /// which do not lag, so hosts do not herd on the same target.
    pub fn choose<T>(
        &mut self,
        targets: &[T],
        rng: &mut impl Rng,
        cost: impl Fn(usize, &T) -> Option<f64>,
    ) -> Option<usize> {
        if targets.is_empty() {
            return None;
        }
        let next = (self.cursor + 1) % targets.len();
        let found = match self.mode {
            Pick::RoundRobin => first_usable(targets, next, cost),
            Pick::LeastInFlight => lowest_cost(targets, rng.random_range(0..targets.len()), cost),
            Pick::TwoChoices => lowest_cost(targets, next, cost),
        }?;
        self.cursor = found;
        Some(found)
    }
}

/// Returns the position of the first usable target from `start` on.
fn first_usable<T>(
    targets: &[T],
    start: usize,
    cost: impl Fn(usize, &T) -> Option<f64>,
) -> Option<usize> {
    rotated(targets, start)
        .find(|&(position, target)| cost(position, target).is_some())
        .map(|(position, _)| position)
}

/// Returns the position of the first target with the lowest cost from `start` on.
fn lowest_cost<T>(
    targets: &[T],
    start: usize,
    cost: impl Fn(usize, &T) -> Option<f64>,
) -> Option<usize> {
    let mut best = None;
    let mut lowest = f64::INFINITY;
    for (position, target) in rotated(targets, start) {
        match cost(position, target) {
            Some(value) if value < lowest => (best, lowest) = (Some(position), value),
            _ => {}
        }
    }
    best
}

/// Returns all targets with their positions in cyclic order, beginning at `start`.
fn rotated<T>(targets: &[T], start: usize) -> impl Iterator<Item = (usize, &T)> {
    let (before, after) = targets.split_at(start);
    (start..).zip(after).chain((0..).zip(before))
}
