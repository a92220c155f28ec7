//! Since when a host surely has the newest configuration.
//!
//! A key that was withdrawn must not be used after a certain time, at any host, also at one that hears nothing. So a host uses
//! keys only for a term since a moment at which somebody asked the store, in a way that shows all that was acknowledged before,
//! and had no news that this host does not have.
//!
//! The term counts from the question, as the answer may have taken any time. An age that another host tells counts from the own
//! question to that host, as its answer may have lain in a buffer. The time during which a machine sleeps counts too.

use std::time::{Duration, Instant};

/// The part of the term after which a host looks for another proof, and callers are sent elsewhere.
pub const CAUTION: f64 = 0.6;

/// A moment on two clocks of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    steady: Instant,
    /// Since the machine's start, the time counted during which it slept.
    awake: Duration,
}

impl Moment {
    /// What the runtime's clock says, and the time since the machine's start including sleep.
    pub fn new(steady: Instant, awake: Duration) -> Self {
        Self { steady, awake }
    }

    /// What the runtime's clock said.
    pub fn steady(self) -> Instant {
        self.steady
    }

    /// The time since an earlier moment, by the clock that says more.
    pub fn since(self, earlier: Self) -> Duration {
        let steady = self.steady.saturating_duration_since(earlier.steady);
        steady.max(self.awake.saturating_sub(earlier.awake))
    }
}

/// The last proof that a host has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    /// When it was asked for, and how old it was then.
    last: Option<(Moment, Duration)>,
}

impl Proof {
    /// None yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a proof in that was asked for at `asked`, and is of some moment not more than `age` before.
    pub fn take(&mut self, now: Moment, asked: Moment, age: Duration) {
        let new = now.since(asked) + age;
        if self.age(now).is_none_or(|known| new < known) {
            self.last = Some((asked, age));
        }
    }

    /// The time since a moment at which the configuration surely was the newest one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let (asked, age) = self.last?;
        Some(now.since(asked) + age)
    }

    /// Whether it is younger than `term`.
    pub fn holds(&self, now: Moment, term: Duration) -> bool {
        self.age(now).is_some_and(|age| age < term)
    }
}
