//! Tickets: what binds an idempotency key to one incarnation of one host.
//!
//! The text is `HOST.INCARNATION-GENERATION`; the last dot splits, since a host's name may hold
//! dots. A generation is a span of the incarnation's life. Its tickets are accepted for a bounded
//! time, so that records of keys need not be kept for ever (see [`super::dedupe`]).

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Length of a generation when nothing else is said.
pub const DEFAULT_PERIOD: Duration = Duration::from_secs(300);
/// Generations accepted when nothing else is said: the current one and those before it.
pub const DEFAULT_ACCEPTED: u32 = 3;
/// Longest text of a ticket, in bytes.
pub const MAX_LENGTH: usize = 300;
/// How many generations a ticket may be ahead: the thread that issued it may have read its clock
/// later than the one that checks it.
const LEAD: u32 = 1;

/// A span of an incarnation's life, counted from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(pub u32);

/// Names the one process that may dispatch the keys that bear it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The host.
    pub host: Arc<str>,
    /// The process on that host.
    pub incarnation: u64,
    /// When it was issued.
    pub generation: Generation,
}

/// What is wrong with the text of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is longer than [`MAX_LENGTH`].
    #[error("ticket: {0} bytes, at most {MAX_LENGTH} allowed")]
    TooLong(usize),
    /// No dot parts the host from the incarnation.
    #[error("ticket: no '.' between host and incarnation")]
    NoDot,
    /// There is no host before the dot.
    #[error("ticket: no host before the last '.'")]
    NoHost,
    /// The host holds a character that no name has.
    #[error("ticket: character {0:?} in the host")]
    BadHost(char),
    /// No dash parts the incarnation from the generation.
    #[error("ticket: no '-' between incarnation and generation")]
    NoDash,
    /// The incarnation isn't a number in plain decimal digits.
    #[error("ticket: incarnation {0:?} is no number")]
    BadIncarnation(Arc<str>),
    /// The generation isn't a number in plain decimal digits.
    #[error("ticket: generation {0:?} is no number")]
    BadGeneration(Arc<str>),
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let generation = self.generation.0;
        write!(f, "{}.{}-{generation}", self.host, self.incarnation)
    }
}

impl FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_LENGTH {
            return Err(Error::TooLong(text.len()));
        }
        let (host, rest) = text.rsplit_once('.').ok_or(Error::NoDot)?;
        check_host(host)?;
        let (incarnation, generation) = rest.split_once('-').ok_or(Error::NoDash)?;
        let incarnation =
            number(incarnation).ok_or_else(|| Error::BadIncarnation(incarnation.into()))?;
        let generation =
            number(generation).ok_or_else(|| Error::BadGeneration(generation.into()))?;
        Ok(Self {
            host: host.into(),
            incarnation,
            generation: Generation(generation),
        })
    }
}

fn check_host(host: &str) -> Result<(), Error> {
    if host.is_empty() {
        return Err(Error::NoHost);
    }
    let bad = |c: &char| c.is_control() || c.is_whitespace();
    match host.chars().find(bad) {
        Some(c) => Err(Error::BadHost(c)),
        None => Ok(()),
    }
}

/// Parses plain decimal digits, so that each number has one text.
fn number<T: FromStr>(text: &str) -> Option<T> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit());
    let padded = text.len() > 1 && text.starts_with('0');
    if !plain || padded {
        return None;
    }
    text.parse().ok()
}

/// How generations follow each other. The issuer and the records of keys must share it.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    start: Instant,
    period: Duration,
    accepted: u32,
}

impl Rotation {
    /// Generation 0 begins at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            period: DEFAULT_PERIOD,
            accepted: DEFAULT_ACCEPTED,
        }
    }

    /// Each generation lasts `period`, and tickets of the last `accepted` ones are accepted. Both
    /// are at least one (millisecond, generation).
    pub fn with_period(mut self, period: Duration, accepted: u32) -> Self {
        self.period = period.max(Duration::from_millis(1));
        self.accepted = accepted.max(1);
        self
    }

    /// The generation at `now`.
    pub fn current(&self, now: Instant) -> Generation {
        let age = now.saturating_duration_since(self.start);
        let count = age.as_nanos() / self.period.as_nanos();
        Generation(u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// The oldest generation whose tickets are accepted at `now`.
    pub fn oldest(&self, now: Instant) -> Generation {
        let current = self.current(now).0;
        Generation(current.saturating_sub(self.accepted - 1))
    }

    /// Whether tickets of `generation` are accepted at `now`.
    pub fn accepts(&self, now: Instant, generation: Generation) -> bool {
        let newest = self.current(now).0.saturating_add(LEAD);
        generation >= self.oldest(now) && generation.0 <= newest
    }

    /// Time from `now` until tickets of `generation` are no longer accepted.
    pub fn remaining(&self, now: Instant, generation: Generation) -> Duration {
        let periods = generation.0.saturating_add(self.accepted);
        let life = self.period.saturating_mul(periods);
        life.saturating_sub(now.saturating_duration_since(self.start))
    }
}

/// Whose ticket it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Home {
    /// This process accepts it.
    Here(Generation),
    /// This host issued it, but no process may dispatch its keys any more: the outcome of a key
    /// that bears it is unknown.
    Gone,
    /// Another host's: relay to that host, or the outcome is unknown.
    Elsewhere(Arc<str>),
}

/// Issues the tickets of this process.
#[derive(Clone, Debug)]
pub struct Issuer {
    host: Arc<str>,
    incarnation: u64,
    rotation: Rotation,
}

impl Issuer {
    /// The issuer of `host`. `incarnation` must differ from that of every earlier process of the
    /// host: the time of its start with random low bits.
    pub fn new(host: Arc<str>, incarnation: u64, rotation: Rotation) -> Self {
        Self {
            host,
            incarnation,
            rotation,
        }
    }

    /// The ticket to hand out at `now`.
    pub fn issue(&self, now: Instant) -> Ticket {
        Ticket {
            host: self.host.clone(),
            incarnation: self.incarnation,
            generation: self.rotation.current(now),
        }
    }

    /// Tells whose `ticket` is.
    pub fn check(&self, now: Instant, ticket: &Ticket) -> Home {
        if ticket.host != self.host {
            return Home::Elsewhere(ticket.host.clone());
        }
        if ticket.incarnation != self.incarnation {
            return Home::Gone;
        }
        if !self.rotation.accepts(now, ticket.generation) {
            return Home::Gone;
        }
        Home::Here(ticket.generation)
    }
}
