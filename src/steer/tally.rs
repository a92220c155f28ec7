//! What a host admitted and refused of one service since it was last asked.

use std::time::Instant;

/// Counts since a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tally {
    since: Instant,
    pub(crate) admitted: u32,
    pub(crate) refused: u32,
}

impl Tally {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            admitted: 0,
            refused: 0,
        }
    }

    /// Requests admitted and refused per second, counted anew from `now`.
    pub(crate) fn rates(&mut self, now: Instant) -> (f32, f32) {
        let time = now.saturating_duration_since(self.since).as_secs_f32();
        let rate = |count: u32| {
            if time > 0.0 {
                count as f32 / time
            } else {
                0.0
            }
        };
        let rates = (rate(self.admitted), rate(self.refused));
        *self = Self::new(now);
        rates
    }
}
