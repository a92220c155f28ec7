//! Processes of targets that are shutting down or have left: by their own statement, in an answer
//! or in their registration, or because their registration was removed.
//!
//! A process that has stated it never takes requests again, also if its registration says
//! otherwise: it may have been written before the statement. One whose registration was removed may
//! have left, or may have been unable to renew it. If it is registered again, that may be a write
//! that was delivered late, so it takes no requests until it has shown that it runs. Processes are
//! remembered after their targets are removed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of processes that are remembered.
const MAX_PROCESSES: usize = 4096;
/// Time for which other hosts are told about a process: hosts that start learn about it until its
/// registration says the same.
const REPEAT_FOR: Duration = Duration::from_secs(60);

/// Which hosts know that a process shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Those that were told: it stated so in an answer to one of them, or in a registration that was
    /// replaced.
    Told,
    /// All that read its registration.
    Readers,
}

/// A process with the number of one of its registrations, see
/// [`Registration::sequence`](crate::inventory::Registration::sequence).
pub type Numbered = (u64, Option<u64>);

/// What is known of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has stated that it is shutting down.
    Announced(Audience),
    /// Its registration was removed; the last one had this number.
    Removed {
        sequence: Option<u64>,
        /// Whether it is registered again, so that hosts that start now take it for a live one.
        is_listed: bool,
    },
    /// It was registered again after that, with this number, and has shown that it runs.
    Confirmed(Option<u64>),
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    known_at: Instant,
    state: State,
}

/// The processes that are known to shut down or to have left.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// By the digest of the process.
    known: BTreeMap<u64, Departure>,
}

/// Whether a registration was written after another one of the same process, as far as their numbers
/// tell.
fn may_be_later(sequence: Option<u64>, other: Option<u64>) -> bool {
    match (sequence, other) {
        (Some(sequence), Some(other)) => sequence > other,
        _ => true,
    }
}

impl Departures {
    /// Returns an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self, process: u64) -> Option<State> {
        self.known.get(&process).map(|departure| departure.state)
    }

    fn insert(&mut self, now: Instant, process: u64, state: State) {
        if !self.known.contains_key(&process) && self.known.len() >= MAX_PROCESSES {
            let known = self.known.iter();
            let oldest = known.min_by_key(|(_, departure)| departure.known_at);
            if let Some(oldest) = oldest.map(|(process, _)| *process) {
                self.known.remove(&oldest);
            }
        }
        let departure = Departure {
            known_at: now,
            state,
        };
        self.known.insert(process, departure);
    }

    /// Records that a process has stated that it shuts down. Returns whether that is new, also if
    /// only its registration has said so until now: other hosts may not read the same one.
    pub fn record(&mut self, now: Instant, process: u64, audience: Audience) -> bool {
        if let Some(State::Announced(known)) = self.state(process) {
            if known == Audience::Told || known == audience {
                return false;
            }
        }
        self.insert(now, process, State::Announced(audience));
        true
    }

    /// Records that the registration of a process was removed, the last one of which had this
    /// number.
    pub fn record_removal(&mut self, now: Instant, process: u64, sequence: Option<u64>) {
        let known = match self.state(process) {
            Some(State::Announced(_)) => return,
            Some(State::Removed { sequence, .. } | State::Confirmed(sequence)) => sequence,
            None => None,
        };
        let state = State::Removed {
            sequence: sequence.max(known),
            is_listed: false,
        };
        self.insert(now, process, state);
    }

    /// Records that a process is registered. Hosts that start now read only this registration, so
    /// they have to be told if it contradicts what is known.
    pub fn record_registration(&mut self, now: Instant, process: u64) {
        match self.state(process) {
            Some(State::Announced(_)) => {
                self.record(now, process, Audience::Told);
            }
            Some(State::Removed { sequence, .. }) => {
                let state = State::Removed {
                    sequence,
                    is_listed: true,
                };
                self.insert(now, process, state);
            }
            Some(State::Confirmed(_)) | None => {}
        }
    }

    /// Records a removal that another host knows of. Returns whether that is new.
    pub fn merge_removal(&mut self, now: Instant, (process, sequence): Numbered) -> bool {
        let is_known = match self.state(process) {
            None => false,
            Some(State::Announced(_) | State::Removed { .. }) => true,
            Some(State::Confirmed(confirmed)) => may_be_later(confirmed, sequence),
        };
        if !is_known {
            let state = State::Removed {
                sequence,
                is_listed: true,
            };
            self.insert(now, process, state);
        }
        !is_known
    }

    /// Forgets that the registration of a process was removed.
    pub fn forget_removal(&mut self, process: u64) {
        if self.is_removed(process) {
            self.known.remove(&process);
        }
    }

    /// Whether a process shuts down, or is not known to run since its registration was removed.
    pub fn contains(&self, process: u64) -> bool {
        let state = self.state(process);
        matches!(state, Some(State::Announced(_) | State::Removed { .. }))
    }

    /// Whether the registration of a process was removed and it is not known to run since.
    pub fn is_removed(&self, process: u64) -> bool {
        matches!(self.state(process), Some(State::Removed { .. }))
    }

    /// Whether the registration of a process was removed and this one may have been written
    /// afterwards.
    pub fn may_have_returned(&self, (process, sequence): Numbered) -> bool {
        match self.state(process) {
            Some(State::Removed { sequence: last, .. }) => may_be_later(sequence, last),
            _ => false,
        }
    }

    /// Records that a process runs which was registered again after it had been removed. Returns
    /// whether that is new.
    pub fn confirm(&mut self, now: Instant, (process, sequence): Numbered) -> bool {
        let is_new = self.may_have_returned((process, sequence));
        if is_new {
            self.insert(now, process, State::Confirmed(sequence));
        }
        is_new
    }

    /// Returns the processes that have stated that they shut down and that other hosts may not know
    /// about yet.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = u64> + '_ {
        self.recent_states(now).filter_map(|(process, state)| {
            let is_told = state == State::Announced(Audience::Told);
            is_told.then_some(process)
        })
    }

    /// Returns the processes that were removed and are registered again.
    pub fn recent_removals(&self, now: Instant) -> impl Iterator<Item = Numbered> + '_ {
        let states = self.recent_states(now);
        states.filter_map(|(process, state)| match state {
            State::Removed {
                sequence,
                is_listed: true,
            } => Some((process, sequence)),
            _ => None,
        })
    }

    /// Returns the processes that run although they had been removed.
    pub fn recent_confirmations(&self, now: Instant) -> impl Iterator<Item = Numbered> + '_ {
        let states = self.recent_states(now);
        states.filter_map(|(process, state)| match state {
            State::Confirmed(sequence) => Some((process, sequence)),
            _ => None,
        })
    }

    fn recent_states(&self, now: Instant) -> impl Iterator<Item = (u64, State)> + '_ {
        let known = self.known.iter();
        let recent = known.filter(move |(_, departure)| {
            now.saturating_duration_since(departure.known_at) < REPEAT_FOR
        });
        recent.map(|(process, departure)| (*process, departure.state))
    }
}
