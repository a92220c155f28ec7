//! How long frames were held up on a link.
//!
//! A request has a time limit, and the clocks of hosts can't be compared. A request that a stalled
//! link delivers late would seem to have all of its time left, and run after its caller was told
//! that it failed. So its frame says when it was queued on the sender's clock, and what it took
//! longer than the fastest frame of the link counts against its time.

use std::time::Duration;

/// The fastest frame of one direction of a link.
#[derive(Debug, Default)]
pub(super) struct Transit {
    /// Smallest difference between the times of receipt and of queuing, in milliseconds. The two
    /// are of different clocks, so only its changes mean something.
    fastest: Option<i64>,
}

impl Transit {
    /// Records a frame, queued and received at these times since each side set up the link. Returns
    /// how much longer than the fastest frame it was on its way.
    pub(super) fn record(&mut self, queued: Duration, received: Duration) -> Duration {
        let took = to_millis(received) - to_millis(queued);
        let fastest = self.fastest.map_or(took, |fastest| fastest.min(took));
        self.fastest = Some(fastest);
        Duration::from_millis(took.abs_diff(fastest))
    }
}

fn to_millis(time: Duration) -> i64 {
    // Halved, so that the difference of any two values is in range.
    i64::try_from(time.as_millis()).map_or(i64::MAX / 2, |millis| millis.min(i64::MAX / 2))
}
