//! Writes the plan to the store, fenced by the epoch of the lease.
//!
//! The plan object is written only on the condition that it is still the version that was read, and
//! only if that version has no higher epoch. A new holder writes the plan with its epoch before any
//! other action. From then on every version that a former holder has read is outdated, so its
//! writes fail. Writes of a former holder that succeeded earlier precede all actions of the new
//! epoch.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::lease::{Condition, Version};
use super::plan::Stamp;

/// Mean delay after a store failure.
const MEAN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A command on the plan object. Its outcome is passed to [`Publisher::handle_event`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read the object.
    Read,
    /// Write the newest plan with this stamp.
    Write {
        /// The stamp that the written plan must have.
        stamp: Stamp,
        /// The condition.
        condition: Condition,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The object was read; none if it does not exist.
    Read(Option<(Version, Stamp)>),
    /// The object was written and now has this version.
    Written(Version),
    /// The condition did not hold.
    Conflict,
    /// The write was sent and its answer was lost.
    Uncertain,
    /// The store could not be reached.
    Down,
}

/// The result of a handled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The plan with this stamp is in the store.
    Published(Stamp),
    /// A holder with this higher epoch has written: this holder must stop.
    Fenced(u64),
}

/// The plan object from the view of the holder of one epoch.
#[derive(Clone, Debug)]
pub struct Publisher {
    epoch: u64,
    sequence: u64,
    /// The condition for the next write, from the last read or write; none if the object must be
    /// read first.
    write_condition: Option<Condition>,
    pending: Option<Command>,
    uncertain_stamp: Option<Stamp>,
    is_write_wanted: bool,
    due: Instant,
}

impl Publisher {
    /// Creates the state of the holder of `epoch`, who has not written the plan object yet.
    pub fn new(now: Instant, epoch: u64) -> Self {
        Self {
            epoch,
            sequence: 0,
            write_condition: None,
            pending: None,
            uncertain_stamp: None,
            is_write_wanted: true,
            due: now,
        }
    }

    /// The epoch under which it writes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether no write is wanted and no command is pending.
    pub fn is_idle(&self) -> bool {
        !self.is_write_wanted && self.pending.is_none()
    }

    /// The stamp for the next plan. The plan that is written may get a higher stamp after a lost
    /// answer.
    pub fn next_stamp(&self) -> Stamp {
        Stamp {
            epoch: self.epoch,
            sequence: self.sequence + 1,
        }
    }

    /// Requests that the new plan be written.
    pub fn request_write(&mut self) {
        self.is_write_wanted = true;
    }

    /// Returns the command to run now, if any. `held` is the current result of
    /// [`Lease::held_epoch`](super::lease::Lease::held_epoch).
    pub fn tick(&mut self, now: Instant, held: Option<u64>) -> Option<Command> {
        let may = held == Some(self.epoch) && self.pending.is_none();
        if !may || !self.is_write_wanted || now < self.due {
            return None;
        }
        let command = match &self.write_condition {
            None => Command::Read,
            Some(condition) => Command::Write {
                stamp: Stamp {
                    epoch: self.epoch,
                    sequence: self.sequence + 1,
                },
                condition: condition.clone(),
            },
        };
        self.is_write_wanted = command == Command::Read;
        self.pending = Some(command.clone());
        Some(command)
    }

    /// Handles the outcome of the pending command.
    pub fn handle_event(
        &mut self,
        now: Instant,
        event: Event,
        rng: &mut impl Rng,
    ) -> Option<Outcome> {
        let command = self.pending.take()?;
        match (command, event) {
            (Command::Read, Event::Read(found)) => self.handle_read(found),
            (Command::Write { stamp, .. }, Event::Written(version)) => {
                Some(self.handle_written(stamp, version))
            }
            (Command::Write { .. }, Event::Conflict) => {
                self.write_condition = None;
                self.is_write_wanted = true;
                None
            }
            (Command::Write { stamp, .. }, Event::Uncertain) => {
                self.write_condition = None;
                self.is_write_wanted = true;
                self.uncertain_stamp = Some(stamp);
                self.sequence = stamp.sequence;
                self.due = now + MEAN_RETRY_DELAY.mul_f64(rng.random_range(0.5..1.5));
                None
            }
            _ => {
                self.is_write_wanted = true;
                self.due = now + MEAN_RETRY_DELAY.mul_f64(rng.random_range(0.5..1.5));
                None
            }
        }
    }

    fn handle_read(&mut self, found: Option<(Version, Stamp)>) -> Option<Outcome> {
        let Some((version, stamp)) = found else {
            self.write_condition = Some(Condition::Absent);
            return None;
        };
        if stamp.epoch > self.epoch {
            self.is_write_wanted = false;
            return Some(Outcome::Fenced(stamp.epoch));
        }
        if self.uncertain_stamp.take() == Some(stamp) {
            return Some(self.handle_written(stamp, version));
        }
        if stamp.epoch == self.epoch {
            self.sequence = self.sequence.max(stamp.sequence);
        }
        self.write_condition = Some(Condition::Version(version));
        None
    }

    fn handle_written(&mut self, stamp: Stamp, version: Version) -> Outcome {
        self.sequence = stamp.sequence;
        self.write_condition = Some(Condition::Version(version));
        self.uncertain_stamp = None;
        Outcome::Published(stamp)
    }
}
