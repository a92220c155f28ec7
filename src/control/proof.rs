//! Tracks since when a host is known to have the newest configuration.
//!
//! After a certain time no host may use a withdrawn key, not even a host that receives nothing. So
//! a host uses keys only for a limited term after a proof. A proof is a moment at which some host
//! asked the store in a way that shows all changes acknowledged before, and the answer held nothing
//! that this host lacks.
//!
//! The term counts from when the request was sent, as the answer may have taken any time. An age
//! reported by another host counts from this host's own request to that host, as its answer may
//! have waited in a buffer. The time during which a machine sleeps counts too.

use std::time::{Duration, Instant};

/// Fraction of the term after which a host looks for a new proof and callers are sent to other
/// hosts.
pub const RENEWAL_FRACTION: f64 = 0.6;

/// A moment on two clocks of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    steady: Instant,
    /// Time since the machine's start, including the time during which it slept.
    since_boot: Duration,
}

impl Moment {
    /// A moment from the runtime's clock and the time since the machine's start, including sleep.
    pub fn new(steady: Instant, boot_time: Duration) -> Self {
        Self {
            steady,
            since_boot: boot_time,
        }
    }

    /// The reading of the runtime's clock.
    pub fn runtime_clock(self) -> Instant {
        self.steady
    }

    /// The time since an earlier moment, by the clock that shows more.
    pub fn since(self, earlier: Self) -> Duration {
        let steady = self.steady.saturating_duration_since(earlier.steady);
        steady.max(self.since_boot.saturating_sub(earlier.since_boot))
    }
}

/// The most recent proof that a host has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    /// When it was requested, and how old it was at that time.
    last: Option<(Moment, Duration)>,
}

impl Proof {
    /// Creates a tracker without a proof.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a proof that was requested at `asked` and was at most `age` old then. A proof that
    /// is older than the known one is ignored.
    pub fn record(&mut self, now: Moment, asked: Moment, age: Duration) {
        let new = now.since(asked) + age;
        if self.age(now).is_none_or(|known| new < known) {
            self.last = Some((asked, age));
        }
    }

    /// The time since a moment at which the configuration was known to be the newest.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let (asked, age) = self.last?;
        Some(now.since(asked) + age)
    }

    /// Whether there is a proof younger than `term`.
    pub fn is_younger_than(&self, now: Moment, term: Duration) -> bool {
        self.age(now).is_some_and(|age| age < term)
    }
}
