//! Processes of targets that have stated that they are shutting down.
//!
//! Such a process never takes requests again, also if its registration says otherwise: the
//! registration may be older than the statement. Processes are remembered after their targets are
//! removed, as a registration may be delivered late.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of processes that are remembered.
const MAX_PROCESSES: usize = 4096;
/// Time for which other hosts are told about a process: hosts that start learn about it until its
/// registration says the same.
const REPEAT_FOR: Duration = Duration::from_secs(60);

/// The processes that are known to shut down.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// When each process became known, by its digest.
    known: BTreeMap<u64, Instant>,
}

impl Departures {
    /// Returns an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a process shuts down. Returns whether that is new.
    pub fn record(&mut self, now: Instant, process: u64) -> bool {
        if self.known.contains_key(&process) {
            return false;
        }
        if self.known.len() >= MAX_PROCESSES {
            let oldest = self.known.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(process, _)| *process) {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(process, now);
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
            .filter(move |(_, at)| now.saturating_duration_since(**at) < REPEAT_FOR)
            .map(|(process, _)| *process)
    }
}
