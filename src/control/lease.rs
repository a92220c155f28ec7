//! The planner lease.
//!
//! The lease is one object in the platform's store, changed only by conditional writes. The holder
//! counts its validity from before it sent a write. Other hosts wait a full time-to-live on their
//! own clocks from when they first read a version. So the holder's validity ends before any other
//! host may write, whatever the clocks show. Each new holder raises the epoch.
//!
//! A holder that was paused may consider its lease valid until it next calls [`Lease::held_epoch`].
//! The lease alone therefore protects nothing: the writes of a holder are fenced by the epoch, see
//! [`publish`](super::publish).
//!
//! A write whose answer was lost is settled by reading the object. Each write carries an identity,
//! and the lease counts as held from the time at which the write with the found identity was sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// A version of an object, in the store's format.
pub type Version = Arc<str>;

/// Time for which a lease is valid.
pub const TTL: Duration = Duration::from_secs(5);
/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1500);
/// Mean interval between the reads of a host that waits for the lease.
pub const MEAN_POLL_INTERVAL: Duration = Duration::from_millis(1500);
/// Fraction of the time-to-live that the holder gives up to allow for clocks that run at different
/// rates.
const CLOCK_DRIFT_MARGIN: f64 = 0.02;
/// Longest random delay before a lapsed lease is acquired, so that only few hosts write at once.
const MAX_ACQUIRE_DELAY: Duration = Duration::from_millis(600);
/// First delay after a store failure; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// Longest delay after a store failure.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Longest time-to-live that is accepted, in case the object holds an invalid value.
const MAX_TTL: Duration = Duration::from_secs(60);
/// Number of writes with a lost answer whose identity is remembered.
const MAX_UNCERTAIN_WRITES: usize = 8;

/// The value of the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The holder's name and incarnation.
    pub holder: Arc<str>,
    /// Increases with every new holder.
    pub epoch: u64,
    /// Identifies the write.
    pub identity: u64,
    /// Time for which it is valid; zero if the holder gave it up.
    pub ttl: Duration,
}

/// The condition that the store must check before it accepts a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// A command on the lease object. Its outcome is passed to [`Lease::handle_event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the object.
    Read,
    /// Write the object.
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
    /// The object was read; none if it does not exist.
    Read(Option<(Version, Value)>),
    /// The object was written and now has this version.
    Written(Version),
    /// The condition did not hold.
    Conflict,
    /// The write was sent and its answer was lost. It may have taken effect, or may yet do so.
    Uncertain,
    /// The store could not be reached.
    Down,
}

/// Whether this host wants to hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// It does: it is the first delegate of its zone and is not leaving.
    Eligible,
    /// It does not: it is not the first delegate, or it is leaving.
    Ineligible,
}

/// The lease object as it was last read or written.
#[derive(Clone, Debug)]
struct ObservedLease {
    version: Version,
    value: Value,
    /// When this version was first seen, on this host's clock.
    first_seen: Instant,
}

/// The planner lease from the view of one host.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: Arc<str>,
    candidacy: Candidacy,
    observed: Option<ObservedLease>,
    /// Whether the object has been read, so that a missing object is known to be absent.
    is_read: bool,
    /// Epoch and end of validity of the lease, if this host was the last known holder.
    valid_until: Option<(u64, Instant)>,
    /// The pending command, and when it was sent.
    pending: Option<(Command, Instant)>,
    /// The highest known epoch.
    highest_epoch: u64,
    /// When each write with a lost outcome was sent, by identity.
    uncertain_writes: BTreeMap<u64, Instant>,
    due: Instant,
    failures: u32,
    /// Number of conflicts since a new version was seen. Repeated conflicts cause a delay, so that
    /// a lagging store is not called in a loop.
    conflicts: u32,
}

impl Lease {
    /// Creates the state of a host that has not read the lease. `holder` must include the
    /// incarnation.
    pub fn new(now: Instant, holder: Arc<str>) -> Self {
        Self {
            holder,
            candidacy: Candidacy::Ineligible,
            observed: None,
            is_read: false,
            valid_until: None,
            pending: None,
            highest_epoch: 0,
            uncertain_writes: BTreeMap::new(),
            due: now,
            failures: 0,
            conflicts: 0,
        }
    }

    /// The epoch, if this host holds the lease at `now`. To be checked before every action under
    /// the lease.
    pub fn held_epoch(&self, now: Instant) -> Option<u64> {
        let (epoch, until) = self.valid_until?;
        (now < until).then_some(epoch)
    }

    /// The highest known epoch.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Records an epoch that was seen in a plan. A lease object that was deleted and created again
    /// must not start below it.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.valid_until.is_some_and(|(own, _)| own < epoch) {
            self.valid_until = None;
        }
    }

    /// When [`Lease::tick`] next has something to do, unless a command is pending.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Sets whether this host wants to hold the lease. A holder that becomes ineligible gives it
    /// up.
    pub fn set_candidacy(&mut self, now: Instant, candidacy: Candidacy) {
        if self.candidacy != candidacy {
            self.candidacy = candidacy;
            self.due = now;
        }
    }

    /// Returns the command to run now, if any. Only one command is pending at a time.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Command> {
        if self.pending.is_some() || now < self.due {
            return None;
        }
        let command = match self.candidacy {
            Candidacy::Ineligible => self.release(now, rng)?,
            Candidacy::Eligible => self.next_command(now, rng),
        };
        self.pending = Some((command.clone(), now));
        Some(command)
    }

    fn next_command(&mut self, now: Instant, rng: &mut impl Rng) -> Command {
        if !self.is_read {
            return Command::Read;
        }
        let Some(observed) = &self.observed else {
            return self.write(self.highest_epoch + 1, TTL, Condition::Absent, rng);
        };
        let condition = Condition::Version(observed.version.clone());
        if let Some(epoch) = self.held_epoch(now) {
            return self.write(epoch, TTL, condition, rng);
        }
        let is_own = observed.value.holder == self.holder;
        if is_own || now >= observed.first_seen + observed.value.ttl {
            return self.write(self.highest_epoch + 1, TTL, condition, rng);
        }
        Command::Read
    }

    /// Gives the lease up, so that the next holder need not wait for its end.
    fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Option<Command> {
        let epoch = self.held_epoch(now)?;
        let version = self.observed.as_ref()?.version.clone();
        self.valid_until = None;
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

    /// Handles the outcome of the pending command.
    pub fn handle_event(&mut self, now: Instant, event: Event, rng: &mut impl Rng) {
        let Some((command, sent)) = self.pending.take() else {
            return;
        };
        let failed = matches!(event, Event::Down | Event::Uncertain);
        if !failed && self.conflicts == 0 {
            self.failures = 0;
        }
        match (command, event) {
            (_, Event::Read(found)) => self.handle_read(now, found, rng),
            (Command::Write { value, .. }, Event::Written(version)) => {
                self.handle_written(now, version, value, sent);
            }
            (Command::Write { value, .. }, Event::Uncertain) => {
                self.remember_uncertain_write(value.identity, sent);
                self.is_read = false;
                self.due = now + self.next_backoff(rng);
            }
            (Command::Write { .. }, Event::Conflict) => {
                self.is_read = false;
                self.conflicts += 1;
                self.due = if self.conflicts > 1 {
                    now + self.next_backoff(rng)
                } else {
                    now
                };
            }
            (_, Event::Down | Event::Uncertain | Event::Conflict) => {
                self.due = now + self.next_backoff(rng);
            }
            (Command::Read, Event::Written(_)) => self.due = now,
        }
    }

    fn remember_uncertain_write(&mut self, identity: u64, sent: Instant) {
        self.uncertain_writes.insert(identity, sent);
        if self.uncertain_writes.len() > MAX_UNCERTAIN_WRITES {
            let oldest = self.uncertain_writes.iter().min_by_key(|(_, &at)| at);
            let oldest = oldest.map(|(&identity, _)| identity);
            self.uncertain_writes
                .retain(|&identity, _| Some(identity) != oldest);
        }
    }

    fn handle_read(&mut self, now: Instant, found: Option<(Version, Value)>, rng: &mut impl Rng) {
        self.is_read = true;
        let Some((version, value)) = found else {
            self.observed = None;
            self.valid_until = None;
            self.due = now + random_acquire_delay(rng);
            return;
        };
        let is_own = value.holder == self.holder;
        if let (true, Some(&sent)) = (is_own, self.uncertain_writes.get(&value.identity)) {
            return self.handle_written(now, version, value, sent);
        }
        self.observe_version(now, version, value);
        self.schedule_next_command(now, rng);
    }

    /// Records a version that another host wrote, or that this host wrote earlier.
    fn observe_version(&mut self, now: Instant, version: Version, mut value: Value) {
        let is_known = self.observed.as_ref().is_some_and(|s| s.version == version);
        if is_known {
            return;
        }
        self.conflicts = 0;
        value.ttl = value.ttl.min(MAX_TTL);
        self.observe_epoch(value.epoch);
        if value.holder != self.holder && value.epoch == self.highest_epoch {
            self.valid_until = None;
        }
        self.observed = Some(ObservedLease {
            version,
            value,
            first_seen: now,
        });
    }

    fn schedule_next_command(&mut self, now: Instant, rng: &mut impl Rng) {
        let Some(observed) = &self.observed else {
            self.due = now;
            return;
        };
        if self.held_epoch(now).is_some() {
            self.due = now;
            return;
        }
        let expires_at = observed.first_seen + observed.value.ttl;
        let poll = now + MEAN_POLL_INTERVAL.mul_f64(rng.random_range(0.7..1.3));
        self.due = if expires_at <= poll {
            expires_at.max(now) + random_acquire_delay(rng)
        } else {
            poll
        };
    }

    fn handle_written(&mut self, now: Instant, version: Version, value: Value, sent: Instant) {
        self.uncertain_writes.clear();
        self.conflicts = 0;
        self.observe_epoch(value.epoch);
        let until = sent + value.ttl.mul_f64(1.0 - CLOCK_DRIFT_MARGIN);
        self.valid_until = (!value.ttl.is_zero()).then_some((value.epoch, until));
        self.due = (sent + RENEW_INTERVAL).max(now);
        self.observed = Some(ObservedLease {
            version,
            value,
            first_seen: now,
        });
    }

    fn next_backoff(&mut self, rng: &mut impl Rng) -> Duration {
        let doubled = MIN_BACKOFF.saturating_mul(1 << self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        doubled.min(MAX_BACKOFF).mul_f64(rng.random_range(0.5..1.0))
    }
}

fn random_acquire_delay(rng: &mut impl Rng) -> Duration {
    MAX_ACQUIRE_DELAY.mul_f64(rng.random_range(0.0..1.0))
}
