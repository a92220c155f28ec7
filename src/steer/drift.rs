//! Keeps the part of a host's requests that runs in other regions from falling fast.
//!
//! Requests overflow to other regions when the targets of the own one are full or have nothing cached.
//! When that ends, all of them would come back at once, onto caches that are only just warm, and the
//! other region would lose its load as suddenly. So the part that went away may only shrink so much
//! a second; which keys stay away is decided by their hashes, so that they stay the same.

use std::time::{Duration, Instant};

/// The span over which the part is measured.
const SPAN: Duration = Duration::from_secs(1);
/// How much of all requests may come back in one span: two of them stay under the usual cap on
/// shifts, 0.15 in 2 s, with room for what single hosts see differently.
const STEP: f64 = 0.05;
/// How much more of all requests may go away in one span than in the one before, while they could
/// stay.
const STEP_AWAY: f64 = 0.06;
/// Requests in a span that are enough to measure.
const ENOUGH: u32 = 4;

/// The part of the requests that goes to other regions.
#[derive(Clone, Copy, Debug)]
pub struct Drift {
    begun: Instant,
    all: u32,
    far: u32,
    floor: f64,
    last: f64,
}

impl Drift {
    /// Nothing was sent yet.
    pub fn new(now: Instant) -> Self {
        Self {
            begun: now,
            all: 0,
            far: 0,
            floor: 0.0,
            last: 0.0,
        }
    }

    /// Sends `part` of the requests away from the start.
    pub fn with_part(mut self, part: f64) -> Self {
        self.floor = part;
        self.last = part;
        self
    }

    /// Counts a request.
    pub fn count(&mut self, now: Instant, far: bool) {
        self.roll(now);
        self.all += 1;
        self.far += u32::from(far);
    }

    /// Whether one more request may go away, if it could as well stay.
    pub fn may_leave(&mut self, now: Instant) -> bool {
        self.roll(now);
        let most = f64::from(self.all.max(ENOUGH)) * (self.last + STEP_AWAY);
        f64::from(self.far) < most
    }

    /// Whether a request has to stay away, although it could come back.
    pub fn holds(&mut self, now: Instant, key: u64) -> bool {
        self.roll(now);
        (key as f64 / u64::MAX as f64) < self.floor
    }

    fn roll(&mut self, now: Instant) {
        let spans = now.saturating_duration_since(self.begun).as_secs_f64() / SPAN.as_secs_f64();
        if spans < 1.0 {
            return;
        }
        let part = if self.all >= ENOUGH {
            f64::from(self.far) / f64::from(self.all)
        } else {
            self.floor
        };
        self.last = part;
        self.floor = (part.max(self.floor) - STEP * spans.floor()).max(0.0);
        self.begun = now;
        self.all = 0;
        self.far = 0;
    }
}
