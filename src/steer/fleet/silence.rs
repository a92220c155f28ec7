//! Targets that have stopped to answer, before any deadline shows it.
//!
//! A target that loses power takes requests without a word, and each of them is only given up when its time is over.
//! Those that must not run twice are lost then. So a target that has answered none of several requests for longer than its
//! service ever takes gets no new ones while others are left, and requests that may be repeated are taken elsewhere. With
//! Targets to which no connection can be opened are passed over for a moment, likewise. With
//! two of four targets of a region dark, at most half of the requests are lost that were lost without it (replay in virtual time).

use std::time::{Duration, Instant};

use super::member::Member;
use super::Fleet;
use crate::border::settings::Switch;
use crate::inventory::TargetKey;

/// How many times as long as the longest of the last answers a target may be silent.
const TIMES: f64 = 1.5;
/// The shortest silence that says something: lost packets are sent again after 0.2 s and more.
const SHORTEST: Duration = Duration::from_millis(400);
/// How long a target is passed over to which no connection could be opened: it stays registered for seconds after a crash, and
/// each request that tries it loses a round trip.
const REST: Duration = Duration::from_millis(500);
/// Requests that have to be at a target: one alone may have met a long object.
const SEVERAL: u32 = 2;

impl Fleet {
    /// How long targets of a service may be silent, once it is known how long they take.
    pub fn patience(&self, service: &str) -> Option<Duration> {
        if self.switches.silence == Switch::Off {
            return None;
        }
        let longest = self.habit(service).longest()?;
        Some(Duration::from_secs_f64(longest * TIMES).max(SHORTEST))
    }

    /// Whether a target has answered nothing for too long.
    pub fn is_silent(&self, now: Instant, key: TargetKey) -> bool {
        let member = self.members.get(&key);
        member.is_some_and(|member| member.is_silent(now, self.patience(member.service())))
    }
}

impl Member {
    /// Whether it is passed over, as no connection to it could be opened just now.
    pub(super) fn is_unreached(&self, now: Instant) -> bool {
        let since = self.unreached;
        since.is_some_and(|since| now.saturating_duration_since(since) < REST)
    }

    /// Whether it has answered nothing for longer than `patience`; no without one.
    pub(super) fn is_silent(&self, now: Instant, patience: Option<Duration>) -> bool {
        if self.in_flight < SEVERAL {
            return false;
        }
        match (self.unheard, patience) {
            (Some(since), Some(patience)) => now.saturating_duration_since(since) > patience,
            _ => false,
        }
    }
}
