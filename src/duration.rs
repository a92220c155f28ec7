//! Durations that come from outside this process: from the store, the settings, headers and messages.
//!
//! Sums of instants and durations panic beyond the range of the clock, and so do conversions of
//! numbers to durations. Each duration is therefore limited to [`MAX`] where it is decoded, and
//! numbers of seconds are converted by the functions of this module only.

use std::time::{Duration, Instant};

use serde::{Deserialize, Deserializer};

/// Longest duration that is accepted: sums and usual multiples of it are within the clock's range.
pub const MAX: Duration = Duration::from_secs(365 * 24 * 3600);

/// Error for a number of seconds that is negative, not a number, or beyond [`MAX`].
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("not between 0 and {} seconds", MAX.as_secs())]
pub struct OutOfRange;

/// Converts a number of seconds.
///
/// # Errors
///
/// It is negative, not a number, or beyond [`MAX`].
pub fn try_from_seconds(seconds: f64) -> Result<Duration, OutOfRange> {
    if (0.0..=MAX.as_secs_f64()).contains(&seconds) {
        Duration::try_from_secs_f64(seconds).map_err(|_| OutOfRange)
    } else {
        Err(OutOfRange)
    }
}

/// Converts a number of seconds to the closest duration up to [`MAX`]; zero for what is not a number.
pub fn from_seconds(seconds: f64) -> Duration {
    let seconds = seconds.clamp(0.0, MAX.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Converts a number of milliseconds, up to [`MAX`].
pub fn from_millis(millis: u64) -> Duration {
    Duration::from_millis(millis).min(MAX)
}

/// Returns the instant that is `duration`, or [`MAX`] if that is less, after `start`.
pub fn after(start: Instant, duration: Duration) -> Instant {
    start + duration.min(MAX)
}

/// Deserializes a duration that another host sent, up to [`MAX`].
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::deserialize(deserializer).map(|duration| duration.min(MAX))
}
