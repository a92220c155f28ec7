//! How long frames were held up on a link.
//!
//! A request has a time limit, and the clocks of hosts can't be compared. A request that a stalled
//! link delivers late would seem to have all of its time left, and run after its caller was told
//! that it failed. So its frame says when it was queued on the sender's clock, and what it took
//! longer than the fastest of the last frames counts against its time.

use std::time::Duration;

/// A frame is remembered for one to two windows, as clocks drift apart.
const WINDOW: Duration = Duration::from_secs(30);

/// The fastest frames of one direction of a link.
///
/// A frame took the difference between the times of receipt and of queuing, in milliseconds. The two
/// are of different clocks, so only its changes mean something.
#[derive(Debug, Default)]
pub struct Transit {
    /// When the current window began, since this side set up the link.
    window_start: Duration,
    /// The fastest frame of the current window.
    current: Option<i64>,
    /// The fastest frame of the window before.
    previous: Option<i64>,
}

impl Transit {
    /// Creates a record without frames.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a frame, queued and received at these times since each side set up the link. Returns
    /// how much longer than the fastest one it was on its way.
    pub fn record(&mut self, queued: Duration, received: Duration) -> Duration {
        let window_age = received.saturating_sub(self.window_start);
        if window_age >= WINDOW {
            let is_next = window_age < 2 * WINDOW;
            self.previous = self.current.take().filter(|_| is_next);
            self.window_start = received;
        }
        let took = to_millis(received) - to_millis(queued);
        let fastest = self.current.map_or(took, |fastest| fastest.min(took));
        self.current = Some(fastest);
        let fastest = self
            .previous
            .map_or(fastest, |previous| previous.min(fastest));
        Duration::from_millis(took.abs_diff(fastest))
    }
}

fn to_millis(time: Duration) -> i64 {
    // Halved, so that the difference of any two values is in range.
    i64::try_from(time.as_millis()).map_or(i64::MAX / 2, |millis| millis.min(i64::MAX / 2))
}
