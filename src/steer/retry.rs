//! The retry budget.

use std::time::{Duration, Instant};

pub use crate::border::settings::Switch;

/// The window over which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Parts of the window; it slides by one at a time.
const PARTS: usize = 10;
/// Retries a quiet service may make in each window.
pub const DEFAULT_FLOOR: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u64,
    extra: u64,
}

/// Extra sends allowed as a share of requests over a sliding window, with a small floor.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    floor: u32,
    switch: Switch,
    start: Instant,
    /// The newest part, counted from `start`.
    newest: u64,
    parts: [Part; PARTS],
    sum: Part,
}

impl Budget {
    /// Allows extra sends up to `share` of the requests.
    pub fn new(now: Instant, share: f64) -> Self {
        Self {
            share,
            floor: DEFAULT_FLOOR,
            switch: Switch::On,
            start: now,
            newest: 0,
            parts: [Part::default(); PARTS],
            sum: Part::default(),
        }
    }

    /// Allows `floor` extra sends a window beside the share.
    pub fn with_floor(mut self, floor: u32) -> Self {
        self.floor = floor;
        self
    }

    /// Without the budget every extra send is allowed.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Changes the share, as a new configuration does.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a request. Retries and hedges don't count here.
    pub fn request(&mut self, now: Instant) {
        self.slide(now);
        self.parts[self.index()].requests += 1;
        self.sum.requests += 1;
    }

    /// Takes one extra send, if the budget has it.
    pub fn take(&mut self, now: Instant) -> bool {
        self.slide(now);
        let allowed = f64::from(self.floor) + self.share * self.sum.requests as f64;
        let fits = (self.sum.extra + 1) as f64 <= allowed;
        if !fits && self.switch == Switch::On {
            return false;
        }
        self.parts[self.index()].extra += 1;
        self.sum.extra += 1;
        true
    }

    fn index(&self) -> usize {
        (self.newest % PARTS as u64) as usize
    }

    /// Empties the parts that have left the window.
    fn slide(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.start);
        let part = WINDOW / PARTS as u32;
        let newest = (age.as_nanos() / part.as_nanos()) as u64;
        let passed = newest.saturating_sub(self.newest).min(PARTS as u64);
        self.newest = self.newest.max(newest);
        for back in 0..passed {
            let index = ((self.newest - back) % PARTS as u64) as usize;
            let old = std::mem::take(&mut self.parts[index]);
            self.sum.requests -= old.requests;
            self.sum.extra -= old.extra;
        }
    }
}
