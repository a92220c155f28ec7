//! Counts of the requests for one service that a host admitted and refused since the last query.

use std::time::Instant;

/// Admitted and refused requests since a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionCounts {
    since: Instant,
    pub(crate) admitted: u32,
    pub(crate) refused: u32,
}

impl AdmissionCounts {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            admitted: 0,
            refused: 0,
        }
    }

    /// Returns the requests admitted and refused per second, and restarts the counts at `now`.
    pub(crate) fn take_rates(&mut self, now: Instant) -> (f32, f32) {
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
