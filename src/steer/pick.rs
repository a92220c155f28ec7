//! The choice of a target under lagging load reports.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::limit::Load;
pub use crate::border::settings::Pick;

/// Weight of one answer in the mean latency, once there are enough of them.
const LATENCY_WEIGHT: f64 = 0.1;
/// Answers that the group's latency counts for in the estimate of a little known target.
const PRIOR: f64 = 2.0;
/// Age at which a load report counts for a third.
const REPORT_AGE: Duration = Duration::from_millis(100);
/// Draws before the choice goes through all targets in turn.
const DRAWS: usize = 4;

/// What a host knows of one target's speed and load.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    latency: f64,
    samples: u32,
    others: f64,
    reported: Option<Instant>,
}

impl Estimate {
    /// Nothing known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the latencies, as after an ejection.
    pub fn forget(&mut self) {
        self.latency = 0.0;
        self.samples = 0;
    }

    /// Takes in the latency of one answer.
    pub fn record(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.samples));
        self.latency += (latency.as_secs_f64() - self.latency) * weight;
    }

    /// Takes in a load report. `own` are this host's requests in it.
    pub fn report(&mut self, now: Instant, load: Load, own: u32) {
        self.others = f64::from(load.in_flight.saturating_sub(own));
        self.reported = Some(now);
    }

    /// Answers that the latency rests on.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The mean latency in seconds, if any answer came.
    pub fn latency(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.latency)
    }

    /// The latency to reckon with, in seconds: few answers are weighed with the group's `typical`.
    pub fn likely(&self, typical: f64) -> f64 {
        let samples = f64::from(self.samples);
        (self.latency * samples + typical * PRIOR) / (samples + PRIOR)
    }

    /// The last reported load of other hosts, in requests.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// The load of other hosts to reckon with. A report may only make a target look busier than
    /// the group's `mean`, never idler, so that a false one does not attract traffic.
    pub fn foreign(&self, now: Instant, mean: f64) -> f64 {
        let Some(at) = self.reported else {
            return mean;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = (-age / REPORT_AGE.as_secs_f64()).exp();
        mean + weight * (self.others - mean).max(0.0)
    }
}

/// Chooses among targets by a score; holds the place of round robin.
#[derive(Clone, Debug)]
pub struct Picker {
    mode: Pick,
    cursor: usize,
}

impl Picker {
    /// A picker of the given mode.
    pub fn new(mode: Pick) -> Self {
        Self { mode, cursor: 0 }
    }

    /// Chooses one of `count` targets. `score` gives none for one that must not be used; lower is
    /// better.
    pub fn choose(
        &mut self,
        count: usize,
        rng: &mut impl Rng,
        score: impl Fn(usize) -> Option<f64>,
    ) -> Option<usize> {
        if count == 0 {
            return None;
        }
        match self.mode {
            Pick::RoundRobin => self.next(count, score),
            Pick::LeastInFlight => least(count, rng, score),
            Pick::TwoChoices => two(count, rng, score),
        }
    }

    fn next(&mut self, count: usize, score: impl Fn(usize) -> Option<f64>) -> Option<usize> {
        let found = (1..=count)
            .map(|step| (self.cursor + step) % count)
            .find(|&index| score(index).is_some())?;
        self.cursor = found;
        Some(found)
    }
}

/// The lowest score; the search starts anywhere, so that equals take turns.
fn least(count: usize, rng: &mut impl Rng, score: impl Fn(usize) -> Option<f64>) -> Option<usize> {
    let start = rng.random_range(0..count);
    let mut best: Option<(usize, f64)> = None;
    for step in 0..count {
        let index = (start + step) % count;
        let Some(value) = score(index) else {
            continue;
        };
        if best.is_none_or(|(_, least)| value < least) {
            best = Some((index, value));
        }
    }
    best.map(|(index, _)| index)
}

/// The better of two usable targets drawn at random.
fn two(count: usize, rng: &mut impl Rng, score: impl Fn(usize) -> Option<f64>) -> Option<usize> {
    let (first, one) = draw(count, rng, None, &score)?;
    let Some((second, other)) = draw(count, rng, Some(first), &score) else {
        return Some(first);
    };
    Some(if other < one { second } else { first })
}

/// A usable target at random, other than `taken`.
fn draw(
    count: usize,
    rng: &mut impl Rng,
    taken: Option<usize>,
    score: &impl Fn(usize) -> Option<f64>,
) -> Option<(usize, f64)> {
    let usable = |index: usize| {
        if Some(index) == taken {
            return None;
        }
        score(index).map(|value| (index, value))
    };
    for _ in 0..DRAWS {
        if let Some(found) = usable(rng.random_range(0..count)) {
            return Some(found);
        }
    }
    let start = rng.random_range(0..count);
    (0..count).find_map(|step| usable((start + step) % count))
}
