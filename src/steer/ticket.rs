//! Tickets, which bind an idempotency key to one incarnation of one host.
//!
//! The format is `HOST.INCARNATION-GENERATION`; the last dot separates the host, since a host's name may
//! contain dots. A generation is a period of the incarnation's lifetime. Its tickets are accepted for a
//! bounded time, so that records of keys need not be kept forever (see [`super::dedupe`]).

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Default length of a generation.
pub const DEFAULT_GENERATION_PERIOD: Duration = Duration::from_secs(300);
/// Default number of accepted generations: the current one and those before it.
pub const DEFAULT_ACCEPTED_GENERATIONS: u32 = 3;
/// Maximum length of a ticket's text, in bytes.
pub const MAX_TICKET_BYTES: usize = 300;
/// Number of generations that a ticket may be ahead of the current one: the thread that issued it may
/// have read the clock later than the thread that checks it.
const MAX_GENERATIONS_AHEAD: u32 = 1;

/// Number of a period of an incarnation's lifetime, counted from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(pub u32);

/// Identifies the only process that may dispatch requests whose keys carry the ticket.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Name of the issuing host.
    pub host: Arc<str>,
    /// Incarnation of the issuing process.
    pub incarnation: u64,
    /// Generation in which it was issued.
    pub generation: Generation,
}

/// Error in the text of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is longer than [`MAX_TICKET_BYTES`].
    #[error("ticket: {0} bytes, at most {MAX_TICKET_BYTES} allowed")]
    TooLong(usize),
    /// There is no dot between the host and the incarnation.
    #[error("ticket: no '.' between host and incarnation")]
    NoDot,
    /// There is no host before the dot.
    #[error("ticket: no host before the last '.'")]
    NoHost,
    /// The host contains a character that is not allowed in names.
    #[error("ticket: character {0:?} in the host")]
    BadHost(char),
    /// There is no dash between the incarnation and the generation.
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
        if text.len() > MAX_TICKET_BYTES {
            return Err(Error::TooLong(text.len()));
        }
        let (host, rest) = text.rsplit_once('.').ok_or(Error::NoDot)?;
        validate_host(host)?;
        let (incarnation, generation) = rest.split_once('-').ok_or(Error::NoDash)?;
        let incarnation =
            parse_decimal(incarnation).ok_or_else(|| Error::BadIncarnation(incarnation.into()))?;
        let generation =
            parse_decimal(generation).ok_or_else(|| Error::BadGeneration(generation.into()))?;
        Ok(Self {
            host: host.into(),
            incarnation,
            generation: Generation(generation),
        })
    }
}

fn validate_host(host: &str) -> Result<(), Error> {
    if host.is_empty() {
        return Err(Error::NoHost);
    }
    let is_invalid = |c: &char| c.is_control() || c.is_whitespace();
    match host.chars().find(is_invalid) {
        Some(c) => Err(Error::BadHost(c)),
        None => Ok(()),
    }
}

/// Parses decimal digits without a sign or leading zeros, so that each number has exactly one text.
fn parse_decimal<T: FromStr>(text: &str) -> Option<T> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    let is_padded = text.len() > 1 && text.starts_with('0');
    if !is_decimal || is_padded {
        return None;
    }
    text.parse().ok()
}

/// Schedule of generations. The issuer and the idempotency table must use the same one.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    start: Instant,
    period: Duration,
    accepted: u32,
}

impl Rotation {
    /// Creates a schedule whose generation 0 begins at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            period: DEFAULT_GENERATION_PERIOD,
            accepted: DEFAULT_ACCEPTED_GENERATIONS,
        }
    }

    /// Sets the length of a generation and the number of accepted generations, with minimums of one
    /// millisecond and one generation.
    pub fn with_period(mut self, period: Duration, accepted: u32) -> Self {
        self.period = period.max(Duration::from_millis(1));
        self.accepted = accepted.max(1);
        self
    }

    /// Returns the generation at `now`.
    pub fn current(&self, now: Instant) -> Generation {
        let age = now.saturating_duration_since(self.start);
        let count = age.as_nanos() / self.period.as_nanos();
        Generation(u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns the oldest generation whose tickets are accepted at `now`.
    pub fn oldest_accepted(&self, now: Instant) -> Generation {
        let current = self.current(now).0;
        Generation(current.saturating_sub(self.accepted - 1))
    }

    /// Whether tickets of `generation` are accepted at `now`.
    pub fn accepts(&self, now: Instant, generation: Generation) -> bool {
        let newest = self.current(now).0.saturating_add(MAX_GENERATIONS_AHEAD);
        generation >= self.oldest_accepted(now) && generation.0 <= newest
    }

    /// Returns the time from `now` until tickets of `generation` are no longer accepted.
    pub fn remaining(&self, now: Instant, generation: Generation) -> Duration {
        let periods = generation.0.saturating_add(self.accepted);
        let life = self.period.saturating_mul(periods);
        life.saturating_sub(now.saturating_duration_since(self.start))
    }
}

/// Owner of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketOwner {
    /// This process issued the ticket and accepts it.
    ThisProcess(Generation),
    /// This host issued the ticket, but its incarnation has ended or its generation is not accepted. The
    /// outcome of requests with such keys is unknown.
    Expired,
    /// The named host issued the ticket: the request must be relayed to it, or its outcome is unknown.
    OtherHost(Arc<str>),
}

/// Issues and checks tickets of this process.
#[derive(Clone, Debug)]
pub struct Issuer {
    host: Arc<str>,
    incarnation: u64,
    rotation: Rotation,
}

impl Issuer {
    /// Creates the issuer of `host`. `incarnation` must differ from that of every earlier process of the
    /// host: the start time with random low bits.
    pub fn new(host: Arc<str>, incarnation: u64, rotation: Rotation) -> Self {
        Self {
            host,
            incarnation,
            rotation,
        }
    }

    /// Issues the ticket for `now`.
    pub fn issue(&self, now: Instant) -> Ticket {
        Ticket {
            host: self.host.clone(),
            incarnation: self.incarnation,
            generation: self.rotation.current(now),
        }
    }

    /// Returns the owner of `ticket`.
    pub fn check(&self, now: Instant, ticket: &Ticket) -> TicketOwner {
        if ticket.host != self.host {
            return TicketOwner::OtherHost(ticket.host.clone());
        }
        if ticket.incarnation != self.incarnation {
            return TicketOwner::Expired;
        }
        if !self.rotation.accepts(now, ticket.generation) {
            return TicketOwner::Expired;
        }
        TicketOwner::ThisProcess(ticket.generation)
    }
}
