//! The part of a host's requests that runs in other regions: it moves slowly, and by keys.
//!
//! Requests overflow to other regions when the targets of the own one are full or have nothing cached.
//! A request that overflows comes to a target that has nothing cached for it, and when that ends all
//! would come back at once. So a part of the keys, by their hashes always the same ones, goes away
//! for good: it grows while more than [`STEP`] of the requests overflow beside it, shrinks while less
//! do, and changes by little in each second.

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
/// How long a region's slots alone tell what it lacks. What comes back after that is little of what moves in the two seconds for
/// which operators cap it.
const TRIAL: Duration = Duration::from_millis(200);
/// For how long fewer slots of the own region are taken for a loss. What such a loss moves has to leave at once, and its
/// targets may take as long to come back.
const LOSS: Duration = Duration::from_secs(10);
/// The part of the slots that may be missing without being a loss: single targets come and go on any day.
const USUAL: f64 = 0.9;

/// The part of the requests that goes to other regions.
#[derive(Clone, Copy, Debug)]
pub struct Drift {
    begun: Instant,
    all: u32,
    far: u32,
    floor: f64,
    last: f64,
    /// Whether it is still to be seen that the part is needed with which this began.
    is_on_trial: bool,
    room: Room,
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
            is_on_trial: false,
            room: Room::new(now),
        }
    }

    /// Sends `part` of the requests away from the start.
    pub fn with_part(mut self, part: f64) -> Self {
        self.floor = part;
        self.last = part;
        self.is_on_trial = part > 0.0;
        self
    }

    /// Sends nothing away from soon after the first request on, if the requests a second so far show that the region has plenty.
    /// Slots alone say only that it has fewer than others, not that it needs more.
    pub fn judge(&mut self, now: Instant, has_plenty: impl FnOnce(f64) -> bool) {
        let age = now.saturating_duration_since(self.begun);
        if !self.is_on_trial || age < TRIAL {
            return;
        }
        self.is_on_trial = false;
        if age < SPAN && has_plenty(f64::from(self.all) / age.as_secs_f64()) {
            self.floor = 0.0;
            self.last = 0.0;
        }
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

    /// Notes the slots of the own region that may be used. Tells whether some were lost lately, so that requests have to
    /// leave however many they are.
    pub fn has_lost(&mut self, now: Instant, slots: u32) -> bool {
        self.room.note(now, slots);
        self.room.has_lost()
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
        let least = self.floor - STEP * spans.floor();
        let most = self.floor + STEP_AWAY;
        if self.all >= ENOUGH {
            self.last = f64::from(self.far) / f64::from(self.all);
            self.floor = (self.last - STEP).clamp(least, most).max(0.0);
        } else {
            self.last = self.floor;
            self.floor = least.max(0.0);
        }
        self.begun = now;
        self.all = 0;
        self.far = 0;
    }
}

/// The slots of a region that may be used, now and before.
#[derive(Clone, Copy, Debug)]
struct Room {
    now: u32,
    /// The most in this span of [`LOSS`] and in the one before it.
    most: u32,
    before: u32,
    begun: Instant,
}

impl Room {
    fn new(now: Instant) -> Self {
        Self {
            now: 0,
            most: 0,
            before: 0,
            begun: now,
        }
    }

    fn note(&mut self, now: Instant, slots: u32) {
        if now.saturating_duration_since(self.begun) >= LOSS {
            self.before = self.most;
            self.most = 0;
            self.begun = now;
        }
        self.now = slots;
        self.most = self.most.max(slots);
    }

    fn has_lost(&self) -> bool {
        let most = f64::from(self.most.max(self.before));
        f64::from(self.now) < most * USUAL
    }
}
