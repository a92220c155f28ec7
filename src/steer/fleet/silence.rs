//! Detection of targets that have stopped answering, before any deadline expires.
//!
//! Requests to a target that has lost power get no answer and no error, and each of them is given
//! up only at its deadline. Requests that must not run twice are lost then. So a target that has
//! answered none of several requests for longer than its service ever takes receives no new ones
//! while there are other targets, and requests that may be repeated are sent elsewhere. Targets to
//! which no connection can be opened are skipped for a moment as well. With two of four targets of
//! a region without power, at most half as many requests are lost as without this detection (replay
//! in virtual time).

use std::time::{Duration, Instant};

use super::member::Member;
use super::Fleet;
use crate::border::settings::Switch;
use crate::duration;
use crate::inventory::TargetKey;

/// Maximum silence of a target in multiples of its service's peak service time.
const SILENCE_FACTOR: f64 = 1.5;
/// Lower bound of the silence limit: lost packets are retransmitted after 0.2 s and more.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Time for which a target is skipped after a failed connection: it stays registered for seconds
/// after a crash, and each request that tries it loses a round trip.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Requests that have to be in flight at a silent target: a single one may concern an object that
/// takes long.
const MIN_SILENT_REQUESTS: u32 = 2;

impl Fleet {
    /// Returns the maximum silence of a service's targets, once its service times are known.
    pub fn silence_limit(&self, service: &str) -> Option<Duration> {
        if self.switches.silence == Switch::Off {
            return None;
        }
        let longest = self.stats(service).longest_service_time()?;
        Some(duration::from_seconds(longest * SILENCE_FACTOR).max(MIN_SILENCE_LIMIT))
    }

    /// Whether a target has sent no answer for too long.
    pub fn is_silent(&self, now: Instant, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        member.is_some_and(|member| member.is_silent(now, self.silence_limit(member.service())))
    }
}

impl Member {
    /// Whether it is skipped after a failed connection.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        let since = self.connect_failed_at;
        since.is_some_and(|since| now.saturating_duration_since(since) < UNREACHABLE_PAUSE)
    }

    /// Whether it has sent no answer for longer than `silence_limit`, or a multiple of it while it is
    /// slow; `false` without a limit.
    pub(super) fn is_silent(&self, now: Instant, silence_limit: Option<Duration>) -> bool {
        if self.in_flight < MIN_SILENT_REQUESTS {
            return false;
        }
        match (self.silent_since, silence_limit) {
            (Some(since), Some(silence_limit)) => {
                let slowdown = self.slowdown(now);
                let silence_limit = if slowdown > 1.0 {
                    silence_limit.mul_f64(slowdown)
                } else {
                    silence_limit
                };
                now.saturating_duration_since(since) > silence_limit
            }
            _ => false,
        }
    }
}
