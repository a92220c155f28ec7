//! The adaptive concurrency limit of one target, as one host applies it.
//!
//! The limit starts at the host's share of the target's slots. It rises while the target answers
//! without queueing and falls back to that share when the target refuses, slows down or reports
//! more work than slots, and while it is not reached. The host's share of the connections bounds it, whatever is measured, so
//! the sum over the hosts never exceeds the connections.

use std::time::{Duration, Instant};

/// Rise of the limit over one full round of answers at the limit.
const RISE: f64 = 0.25;
/// Factor on the excess over the share after a refusal.
const CUT: f64 = 0.5;
/// Factor on the excess over the share after a sign of queueing.
const EASE: f64 = 0.8;
/// Latency over the one without queueing from which a target is taken to queue.
const TOLERANCE: f64 = 1.7;
/// The same for a target that reports its load, which tells more; but the report may be false.
const TOLERANCE_REPORTED: f64 = 2.0;
/// Requests above its slots that a target may report before it counts as queueing. They fill the
/// time in which answers and requests are on the wire.
const QUEUED: u32 = 2;
/// Time in which half of the excess over the share goes that is not used: longer than the gaps of a steady load, so that a
/// burst within a host's room finds it, and shorter than the time for which hosts are away.
const HALF_LIFE: Duration = Duration::from_millis(250);
/// Least time between two cuts, so that one congestion counts once.
const REST: Duration = Duration::from_millis(20);

/// Requests in flight and slots, as a target reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests the target runs or queues, from all hosts.
    pub in_flight: u32,
    /// Requests it runs at once.
    pub slots: u32,
}

/// The limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    share: f64,
    hard: u32,
    value: f64,
    cut: Option<Instant>,
    /// Until when the excess over the share has faded.
    faded: Option<Instant>,
}

impl Limit {
    /// The limit of a target that `hosts` hosts share.
    pub fn new(slots: u32, connections: u32, hosts: usize) -> Self {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let hard = connections / hosts;
        let share = (f64::from(slots) / f64::from(hosts)).min(f64::from(hard));
        Self {
            share,
            hard,
            value: share,
            cut: None,
            faded: None,
        }
    }

    /// The same limit after the target or the number of hosts changed.
    #[must_use]
    pub fn with_size(&self, slots: u32, connections: u32, hosts: usize) -> Self {
        let new = Self::new(slots, connections, hosts);
        if new.share == self.share && new.hard == self.hard {
            return self.clone();
        }
        new
    }

    /// The limit, in requests; below 1 when there are more hosts than slots.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The host's share of the slots: the least that the limit falls to.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The host's share of the connections, which is never exceeded.
    pub fn hard(&self) -> u32 {
        self.hard
    }

    /// Whole requests allowed in flight when the target is used to `fraction`; at least 1 where
    /// the connections allow it.
    pub fn whole(&self, fraction: f64) -> u32 {
        let whole = (self.value * fraction).ceil() as u32;
        whole.max(1).min(self.hard)
    }

    /// Takes in an answer. `full` says that the limit was reached, `ratio` is the target's mean
    /// latency over the one without queueing.
    pub fn answer(&mut self, now: Instant, full: bool, ratio: f64, load: Option<Load>) {
        let queues = load.is_some_and(|load| load.in_flight > load.slots.saturating_add(QUEUED));
        let tolerance = match load {
            Some(_) => TOLERANCE_REPORTED,
            None => TOLERANCE,
        };
        if queues || ratio > tolerance {
            self.reduce(now, EASE);
            return;
        }
        if full {
            self.faded = Some(now);
        }
        let room = load.is_none_or(|load| load.in_flight <= load.slots);
        if full && room {
            let risen = self.value + RISE / self.value.max(1.0);
            self.value = risen.min(f64::from(self.hard));
        }
    }

    /// Gives back what is not used: the limit was earned while the other hosts left room, and nothing tells that they still do.
    pub fn fade(&mut self, now: Instant) {
        let since = *self.faded.get_or_insert(now);
        let idle = now.saturating_duration_since(since).as_secs_f64();
        let left = 0.5f64.powf(idle / HALF_LIFE.as_secs_f64());
        self.value = self.share + (self.value - self.share) * left;
        self.faded = Some(now);
    }

    /// Takes in a refusal.
    pub fn refuse(&mut self, now: Instant) {
        self.reduce(now, CUT);
    }

    fn reduce(&mut self, now: Instant, factor: f64) {
        if self.cut.is_some_and(|cut| now < cut + REST) {
            return;
        }
        self.cut = Some(now);
        self.value = self.share + (self.value - self.share) * factor;
    }
}
