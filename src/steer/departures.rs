//! Processes of targets that have stated that they are shutting down, in answers or in their
//! registrations.
//!
//! Such a process never takes requests again, also if its registration says otherwise: it may have
//! been written before the statement. Processes are remembered after their targets are removed, as
//! a registration may be delivered late.

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

#[derive(Clone, Copy, Debug)]
struct Departure {
    known_at: Instant,
    audience: Audience,
}

/// The processes that are known to shut down.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// By the digest of the process.
    known: BTreeMap<u64, Departure>,
}

impl Departures {
    /// Returns an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a process shuts down. Returns whether that is new, also if only its
    /// registration has said so until now: other hosts may not read the same one.
    pub fn record(&mut self, now: Instant, process: u64, audience: Audience) -> bool {
        let known = self.known.get(&process);
        if known.is_some_and(|known| known.audience == Audience::Told || known.audience == audience)
        {
            return false;
        }
        if known.is_none() && self.known.len() >= MAX_PROCESSES {
            let known = self.known.iter();
            let oldest = known.min_by_key(|(_, departure)| departure.known_at);
            if let Some(oldest) = oldest.map(|(process, _)| *process) {
                self.known.remove(&oldest);
            }
        }
        let departure = Departure {
            known_at: now,
            audience,
        };
        self.known.insert(process, departure);
        true
    }

    /// Whether a process shuts down.
    pub fn contains(&self, process: u64) -> bool {
        self.known.contains_key(&process)
    }

    /// Returns the processes that other hosts may not know about yet.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = u64> + '_ {
        let known = self.known.iter();
        known
            .filter(move |(_, departure)| {
                let age = now.saturating_duration_since(departure.known_at);
                departure.audience == Audience::Told && age < REPEAT_FOR
            })
            .map(|(process, _)| *process)
    }
}
