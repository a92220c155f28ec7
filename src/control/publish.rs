//! Writing the plan to the store, fenced by the epoch of the lease.
//!
//! The plan object is written only on the condition that it is still the version that was read,
//! and only if that bears no higher epoch. A new holder writes the plan with its epoch before
//! anything else. From then on whatever a former holder has read is out of date, and its writes
//! fail; those that it got through before that come before all acts of the new epoch.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::lease::{Condition, Version};
use super::plan::Stamp;

/// Delay after the store failed.
const DELAY: Duration = Duration::from_millis(500);

/// What to do with the plan object. Its outcome is to be told by [`Publish::event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read it.
    Read,
    /// Write the newest plan with this stamp.
    Write {
        /// The stamp it must bear.
        stamp: Stamp,
        /// The condition.
        condition: Condition,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was read; none if the object does not exist.
    Read(Option<(Version, Stamp)>),
    /// It was written, and has this version now.
    Written(Version),
    /// The condition did not hold.
    Conflict,
    /// The write was sent and its answer was lost.
    Uncertain,
    /// The store could not be asked.
    Down,
}

/// What came of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The plan with this stamp is in the store.
    Published(Stamp),
    /// A higher epoch has written: this holder must stop.
    Fenced(u64),
}

/// The plan object as the holder of one epoch sees it.
#[derive(Clone, Debug)]
pub struct Publish {
    epoch: u64,
    sequence: u64,
    /// What was read or written last; none if it must be read.
    seen: Option<Condition>,
    pending: Option<Command>,
    lost: Option<Stamp>,
    wanted: bool,
    due: Instant,
}

impl Publish {
    /// The plan object for the holder of `epoch`, who has yet to write it.
    pub fn new(now: Instant, epoch: u64) -> Self {
        Self {
            epoch,
            sequence: 0,
            seen: None,
            pending: None,
            lost: None,
            wanted: true,
            due: now,
        }
    }

    /// The epoch for which it writes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether nothing is to be written and no outcome is awaited.
    pub fn is_idle(&self) -> bool {
        !self.wanted && self.pending.is_none()
    }

    /// The stamp of the next plan, or a lower one if plans before it are lost.
    pub fn next(&self) -> Stamp {
        Stamp {
            epoch: self.epoch,
            sequence: self.sequence + 1,
        }
    }

    /// There is a new plan to write.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// What to do now, if anything; `held` is what [`Lease::held`](super::lease::Lease::held)
    /// says at this moment.
    pub fn tick(&mut self, now: Instant, held: Option<u64>) -> Option<Command> {
        let may = held == Some(self.epoch) && self.pending.is_none();
        if !may || !self.wanted || now < self.due {
            return None;
        }
        let command = match &self.seen {
            None => Command::Read,
            Some(condition) => Command::Write {
                stamp: Stamp {
                    epoch: self.epoch,
                    sequence: self.sequence + 1,
                },
                condition: condition.clone(),
            },
        };
        self.wanted = command == Command::Read;
        self.pending = Some(command.clone());
        Some(command)
    }

    /// Takes in the outcome of the last command.
    pub fn event(&mut self, now: Instant, event: Event, rng: &mut impl Rng) -> Option<Outcome> {
        let command = self.pending.take()?;
        match (command, event) {
            (Command::Read, Event::Read(found)) => self.found(found),
            (Command::Write { stamp, .. }, Event::Written(version)) => {
                Some(self.written(stamp, version))
            }
            (Command::Write { .. }, Event::Conflict) => {
                self.seen = None;
                self.wanted = true;
                None
            }
            (Command::Write { stamp, .. }, Event::Uncertain) => {
                self.seen = None;
                self.wanted = true;
                self.lost = Some(stamp);
                self.sequence = stamp.sequence;
                self.due = now + DELAY.mul_f64(rng.random_range(0.5..1.5));
                None
            }
            _ => {
                self.wanted = true;
                self.due = now + DELAY.mul_f64(rng.random_range(0.5..1.5));
                None
            }
        }
    }

    fn found(&mut self, found: Option<(Version, Stamp)>) -> Option<Outcome> {
        let Some((version, stamp)) = found else {
            self.seen = Some(Condition::Absent);
            return None;
        };
        if stamp.epoch > self.epoch {
            self.wanted = false;
            return Some(Outcome::Fenced(stamp.epoch));
        }
        if self.lost.take() == Some(stamp) {
            return Some(self.written(stamp, version));
        }
        if stamp.epoch == self.epoch {
            self.sequence = self.sequence.max(stamp.sequence);
        }
        self.seen = Some(Condition::Version(version));
        None
    }

    fn written(&mut self, stamp: Stamp, version: Version) -> Outcome {
        self.sequence = stamp.sequence;
        self.seen = Some(Condition::Version(version));
        self.lost = None;
        Outcome::Published(stamp)
    }
}
