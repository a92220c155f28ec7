//! The planner lease.
//!
//! The lease is one object in the platform's store, changed only by conditional writes. The
//! holder counts its validity from before it sent a write; the others wait a full time-to-live on
//! their own clocks from when they first read a version, so the validity of the holder ends
//! before anybody else may write, whatever the clocks show. Each new holder raises the epoch.
//!
//! A holder that was paused may still believe in its lease until it looks at [`Lease::held`]. So
//! the lease alone protects nothing: what a holder does is fenced by the epoch, see
//! [`publish`](super::publish).
//!
//! A write whose answer was lost is settled by reading: each carries an identity, and the lease
//! is held from the time at which the write with the identity that is found was sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// A version of an object, as the store names it.
pub type Version = Arc<str>;

/// Time a lease lasts.
pub const TTL: Duration = Duration::from_secs(5);
/// Time from one renewal to the next.
pub const RENEW: Duration = Duration::from_millis(1500);
/// Mean time between the reads of a host that waits for the lease.
pub const POLL: Duration = Duration::from_millis(1500);
/// Part of the time-to-live that the holder gives up, against clocks that run at other rates.
const DRIFT: f64 = 0.02;
/// Longest random delay before a lapsed lease is taken, so that few hosts write at once.
const SPREAD: Duration = Duration::from_millis(600);
/// First delay after the store failed; doubles up to [`MAX_DELAY`].
const MIN_DELAY: Duration = Duration::from_millis(400);
/// Longest delay after the store failed.
const MAX_DELAY: Duration = Duration::from_secs(3);
/// Longest time-to-live that is believed, should the object hold nonsense.
const MAX_TTL: Duration = Duration::from_secs(60);
/// Sent writes whose identity is remembered.
const REMEMBERED: usize = 8;

/// The value of the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The holder, with its incarnation.
    pub holder: Arc<str>,
    /// Rises with every new holder.
    pub epoch: u64,
    /// Identity of the write.
    pub identity: u64,
    /// Time it lasts; zero if the holder gave it up.
    pub ttl: Duration,
}

/// What the store must check before it takes a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// What to do with the lease object. Its outcome is to be told by [`Lease::event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read it.
    Read,
    /// Write it.
    Write {
        /// The new value.
        value: Value,
        /// The condition.
        condition: Condition,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was read; none if the object does not exist.
    Read(Option<(Version, Value)>),
    /// It was written, and has this version now.
    Written(Version),
    /// The condition did not hold.
    Conflict,
    /// The write was sent and its answer was lost: it may take effect, or may have.
    Uncertain,
    /// The store could not be asked.
    Down,
}

/// Whether this host wants to hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// It is a delegate of its zone and stays.
    Stands,
    /// It is none, or it is leaving.
    Abstains,
}

/// What the lease object was when it was read or written last.
#[derive(Clone, Debug)]
struct Seen {
    version: Version,
    value: Value,
    /// When this version was first seen, on the own clock.
    since: Instant,
}

/// The planner lease as one host sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: Arc<str>,
    candidacy: Candidacy,
    seen: Option<Seen>,
    /// Whether the object was ever read, so that its absence is known.
    read: bool,
    /// Epoch and end of the lease, if it was held last.
    valid: Option<(u64, Instant)>,
    /// The command whose outcome is awaited, and when it was sent.
    pending: Option<(Command, Instant)>,
    /// The highest epoch known of.
    highest: u64,
    /// Writes whose outcome was lost, by identity: when they were sent.
    sent: BTreeMap<u64, Instant>,
    due: Instant,
    failures: u32,
    /// Conflicts since a new version was seen: a store that lags must not be asked in a loop.
    conflicts: u32,
}

impl Lease {
    /// The lease as seen by a host that has not asked for it. `holder` must name the incarnation.
    pub fn new(now: Instant, holder: Arc<str>) -> Self {
        Self {
            holder,
            candidacy: Candidacy::Abstains,
            seen: None,
            read: false,
            valid: None,
            pending: None,
            highest: 0,
            sent: BTreeMap::new(),
            due: now,
            failures: 0,
            conflicts: 0,
        }
    }

    /// The epoch, if this host holds the lease at `now`. To be asked before every act.
    pub fn held(&self, now: Instant) -> Option<u64> {
        let (epoch, until) = self.valid?;
        (now < until).then_some(epoch)
    }

    /// The highest epoch known of.
    pub fn epoch(&self) -> u64 {
        self.highest
    }

    /// Takes in an epoch that a plan bears. A lease object that was deleted and made anew must
    /// not start below it.
    pub fn learn(&mut self, epoch: u64) {
        self.highest = self.highest.max(epoch);
        if self.valid.is_some_and(|(own, _)| own < epoch) {
            self.valid = None;
        }
    }

    /// When [`Lease::tick`] has something to do next, unless an outcome is awaited.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Sets whether the host stands for the lease. One that holds it and abstains gives it up.
    pub fn stand(&mut self, now: Instant, candidacy: Candidacy) {
        if self.candidacy != candidacy {
            self.candidacy = candidacy;
            self.due = now;
        }
    }

    /// What to do now, if anything. Only one command is out at a time.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Command> {
        if self.pending.is_some() || now < self.due {
            return None;
        }
        let command = match self.candidacy {
            Candidacy::Abstains => self.release(now, rng)?,
            Candidacy::Stands => self.next(now, rng),
        };
        self.pending = Some((command.clone(), now));
        Some(command)
    }

    fn next(&mut self, now: Instant, rng: &mut impl Rng) -> Command {
        if !self.read {
            return Command::Read;
        }
        let Some(seen) = &self.seen else {
            return self.write(self.highest + 1, TTL, Condition::Absent, rng);
        };
        let condition = Condition::Version(seen.version.clone());
        if let Some(epoch) = self.held(now) {
            return self.write(epoch, TTL, condition, rng);
        }
        let own = seen.value.holder == self.holder;
        if own || now >= seen.since + seen.value.ttl {
            return self.write(self.highest + 1, TTL, condition, rng);
        }
        Command::Read
    }

    /// Gives the lease up, so that the next holder need not wait.
    fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Command> {
        let epoch = self.held(now)?;
        let version = self.seen.as_ref()?.version.clone();
        self.valid = None;
        Some(self.write(epoch, Duration::ZERO, Condition::Version(version), rng))
    }

    fn write(
        &self,
        epoch: u64,
        ttl: Duration,
        condition: Condition,
        rng: &mut impl Rng,
    ) -> Command {
        let value = Value {
            holder: self.holder.clone(),
            epoch,
            identity: rng.random(),
            ttl,
        };
        Command::Write { value, condition }
    }

    /// Takes in the outcome of the last command.
    pub fn event(&mut self, now: Instant, event: Event, rng: &mut impl Rng) {
        let Some((command, sent)) = self.pending.take() else {
            return;
        };
        let failed = matches!(event, Event::Down | Event::Uncertain);
        if !failed && self.conflicts == 0 {
            self.failures = 0;
        }
        match (command, event) {
            (_, Event::Read(found)) => self.found(now, found, rng),
            (Command::Write { value, .. }, Event::Written(version)) => {
                self.written(now, version, value, sent);
            }
            (Command::Write { value, .. }, Event::Uncertain) => {
                self.remember(value.identity, sent);
                self.read = false;
                self.due = now + self.delay(rng);
            }
            (Command::Write { .. }, Event::Conflict) => {
                self.read = false;
                self.conflicts += 1;
                self.due = if self.conflicts > 1 {
                    now + self.delay(rng)
                } else {
                    now
                };
            }
            (_, Event::Down | Event::Uncertain | Event::Conflict) => {
                self.due = now + self.delay(rng);
            }
            (Command::Read, Event::Written(_)) => self.due = now,
        }
    }

    fn remember(&mut self, identity: u64, sent: Instant) {
        self.sent.insert(identity, sent);
        if self.sent.len() > REMEMBERED {
            let oldest = self.sent.iter().min_by_key(|(_, &at)| at);
            let oldest = oldest.map(|(&identity, _)| identity);
            self.sent.retain(|&identity, _| Some(identity) != oldest);
        }
    }

    fn found(&mut self, now: Instant, found: Option<(Version, Value)>, rng: &mut impl Rng) {
        self.read = true;
        let Some((version, value)) = found else {
            self.seen = None;
            self.valid = None;
            self.due = now + spread(rng);
            return;
        };
        let own = value.holder == self.holder;
        if let (true, Some(&at)) = (own, self.sent.get(&value.identity)) {
            return self.written(now, version, value, at);
        }
        self.look(now, version, value);
        self.plan_wait(now, rng);
    }

    /// Takes in a version that another wrote, or an old one of its own.
    fn look(&mut self, now: Instant, version: Version, mut value: Value) {
        let same = self.seen.as_ref().is_some_and(|s| s.version == version);
        if same {
            return;
        }
        self.conflicts = 0;
        value.ttl = value.ttl.min(MAX_TTL);
        self.learn(value.epoch);
        if value.holder != self.holder && value.epoch == self.highest {
            self.valid = None;
        }
        self.seen = Some(Seen {
            version,
            value,
            since: now,
        });
    }

    fn plan_wait(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(seen) = &self.seen else {
            self.due = now;
            return;
        };
        if self.held(now).is_some() {
            self.due = now;
            return;
        }
        let lapses = seen.since + seen.value.ttl;
        let poll = now + POLL.mul_f64(rng.random_range(0.7..1.3));
        self.due = if lapses <= poll {
            lapses.max(now) + spread(rng)
        } else {
            poll
        };
    }

    fn written(&mut self, now: Instant, version: Version, value: Value, sent: Instant) {
        self.sent.clear();
        self.conflicts = 0;
        self.learn(value.epoch);
        let until = sent + value.ttl.mul_f64(1.0 - DRIFT);
        self.valid = (!value.ttl.is_zero()).then_some((value.epoch, until));
        self.due = (sent + RENEW).max(now);
        self.seen = Some(Seen {
            version,
            value,
            since: now,
        });
    }

    fn delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doubled = MIN_DELAY.saturating_mul(1 << self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        doubled.min(MAX_DELAY).mul_f64(rng.random_range(0.5..1.0))
    }
}

fn spread(rng: &mut impl Rng) -> Duration {
    SPREAD.mul_f64(rng.random_range(0.0..1.0))
}
