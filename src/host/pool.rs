//! Connections to targets that wait for their next request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::client;
use crate::inventory::TargetKey;

/// How long a connection is kept when its target does not say after what time it closes it.
const DEFAULT_IDLE: Duration = Duration::from_secs(8);
/// How long before its target closes it a connection is not used any more: a request that
/// crosses the close could have run or not.
const MARGIN: Duration = Duration::from_millis(1500);
/// Idle connections kept for one target.
const KEPT: usize = 6;
/// Idle connections kept in all: less than half of the descriptors of the smallest hosts in use, as callers need the others.
const MOST: usize = 1500;

struct Idle {
    stream: TcpStream,
    until: Instant,
}

/// The idle connections of a host.
#[derive(Default)]
pub(crate) struct Pool {
    idle: BTreeMap<TargetKey, Vec<Idle>>,
}

impl Pool {
    /// The connection to `target` that was used last.
    pub(crate) fn take(&mut self, now: Instant, target: TargetKey) -> Option<TcpStream> {
        let idle = self.idle.get_mut(&target)?;
        while let Some(next) = idle.pop() {
            if now < next.until && client::is_quiet(&next.stream) {
                return Some(next.stream);
            }
        }
        None
    }

    /// Whether there is an idle connection to `target`.
    pub(crate) fn has(&self, target: TargetKey) -> bool {
        self.idle.get(&target).is_some_and(|idle| !idle.is_empty())
    }

    /// Keeps a connection whose last answer is complete. `idle` is what its target said of closing it.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        target: TargetKey,
        stream: TcpStream,
        idle: Option<Duration>,
    ) {
        let keep = idle.unwrap_or(DEFAULT_IDLE).saturating_sub(MARGIN);
        if self.count() >= MOST {
            self.sweep(now);
        }
        let is_full = self.count() >= MOST;
        let connections = self.idle.entry(target).or_default();
        if is_full || connections.len() >= KEPT || keep.is_zero() {
            return;
        }
        connections.push(Idle {
            stream,
            until: now + keep,
        });
    }

    fn count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Closes what has waited too long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| now < idle.until && client::is_quiet(&idle.stream));
            !idle.is_empty()
        });
    }
}
