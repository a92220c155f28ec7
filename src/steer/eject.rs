//! Outlier ejection of one target, with probes before it is used again.
//!
//! A target is taken out after failures in a row, for a success rate well under that of the
//! group, or for a latency well over the group's median. After a time that doubles from one
//! ejection to the next, single requests probe it. How many targets may be out at once is the
//! group's rule.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// Failures in a row that take a target out.
const STREAK: u32 = 3;
/// The same, for a target that its health endpoint calls down.
const STREAK_DOWN: u32 = 2;
/// Weight of one outcome in the success rate.
const SUCCESS_WEIGHT: f64 = 0.05;
/// Outcomes needed to judge the success rate.
const SUCCESS_SAMPLES: u32 = 20;
/// How far the success rate may lie under that of the group.
const SUCCESS_MARGIN: f64 = 0.2;
/// Answers needed to judge the latency.
const LATENCY_SAMPLES: u32 = 5;
/// How far the latency may lie over the group's median, as a factor.
pub const LATENCY_RATIO: f64 = 3.0;
/// Good probes in a row that bring a target back.
const PROBES: u32 = 3;
/// The first ejection's length.
const BASE: Duration = Duration::from_secs(1);
/// Doublings of that length at most.
const DOUBLINGS: u32 = 6;

/// Where a target stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// In use.
    In,
    /// Not used until the given time.
    Out(Instant),
    /// Tried with one request at a time; so many went well.
    Probe(u32),
}

/// What one request showed about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered in good time.
    Good,
    /// It answered, but far too slowly.
    Slow,
    /// It failed.
    Bad,
}

/// How a target compares with its group.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Its latency over the group's median.
    pub ratio: f64,
    /// Answers that the latency rests on.
    pub samples: u32,
    /// The group's mean success rate, 0 to 1.
    pub success: f64,
    /// Whether its health endpoint calls it down.
    pub down: bool,
    /// Whether it is warming up, when it may be slow.
    pub cold: bool,
}

/// The ejection state of one target.
#[derive(Clone, Debug)]
pub struct Eject {
    phase: Phase,
    streak: u32,
    round: u32,
    back: Option<Instant>,
    success: f64,
    samples: u32,
}

impl Default for Eject {
    fn default() -> Self {
        Self::new()
    }
}

impl Eject {
    /// A target in use.
    pub fn new() -> Self {
        Self {
            phase: Phase::In,
            streak: 0,
            round: 0,
            back: None,
            success: 1.0,
            samples: 0,
        }
    }

    /// Whether the target is in ordinary use.
    pub fn is_in(&self) -> bool {
        self.phase == Phase::In
    }

    /// Whether a probe may be sent, if none is under way.
    pub fn is_due(&self, now: Instant) -> bool {
        match self.phase {
            Phase::In => false,
            Phase::Out(until) => now >= until,
            Phase::Probe(_) => true,
        }
    }

    /// When probes begin, if the target is out.
    pub fn until(&self) -> Option<Instant> {
        match self.phase {
            Phase::Out(until) => Some(until),
            _ => None,
        }
    }

    /// The success rate, 0 to 1.
    pub fn success(&self) -> f64 {
        self.success
    }

    /// Takes in what a request showed.
    pub fn record(&mut self, sign: Sign) {
        let bad = sign == Sign::Bad;
        self.streak = if bad { self.streak + 1 } else { 0 };
        self.samples = self.samples.saturating_add(1);
        let value = f64::from(u8::from(!bad));
        self.success += (value - self.success) * SUCCESS_WEIGHT;
    }

    /// Whether the target ought to be taken out.
    pub fn is_outlier(&self, standing: &Standing) -> bool {
        if !self.is_in() {
            return false;
        }
        let streak = if standing.down { STREAK_DOWN } else { STREAK };
        let fails = self.streak >= streak;
        let unsteady =
            self.samples >= SUCCESS_SAMPLES && self.success < standing.success - SUCCESS_MARGIN;
        let slow =
            !standing.cold && standing.samples >= LATENCY_SAMPLES && standing.ratio > LATENCY_RATIO;
        fails || unsteady || slow
    }

    /// Takes the target out.
    pub fn eject(&mut self, now: Instant, rng: &mut impl Rng) {
        if self
            .back
            .is_some_and(|back| now > back + BASE * (1 << self.round.min(DOUBLINGS)) * 4)
        {
            self.round = 0;
        }
        let length = BASE * (1 << self.round.min(DOUBLINGS));
        let jitter = rng.random_range(0.9..1.1);
        self.phase = Phase::Out(now + length.mul_f64(jitter));
        self.round += 1;
        self.streak = 0;
        self.success = 1.0;
        self.samples = 0;
    }

    /// Takes in a probe's outcome; says whether the target is in use again.
    pub fn probe(&mut self, now: Instant, sign: Sign, rng: &mut impl Rng) -> bool {
        let good = match self.phase {
            Phase::In => return false,
            Phase::Out(_) => 0,
            Phase::Probe(good) => good,
        };
        if sign != Sign::Good {
            self.eject(now, rng);
            return false;
        }
        self.phase = Phase::Probe(good + 1);
        if good + 1 < PROBES {
            return false;
        }
        self.restore(now);
        true
    }

    /// Brings the target back, whatever was seen of it.
    pub fn restore(&mut self, now: Instant) {
        self.phase = Phase::In;
        self.back = Some(now);
        self.streak = 0;
    }
}
