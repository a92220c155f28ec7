//! Selects the hosts of an availability zone that receive its callers.
//!
//! A host learns the load, speed, cached objects and failures of targets only from the answers to
//! its own requests. If callers are spread over many hosts, each host gets too few answers from
//! hundreds of targets to choose well among them, and rarely has an open connection to the chosen
//! one. So a zone's callers are sent to as few hosts as can carry them comfortably, the strongest
//! first; look-ups name the others as soon as the load requires it. With 295 hosts and 1,209
//! targets at the highest load, late answers fell from 14 to 8 in 100 and new connections to half,
//! compared with callers spread over all hosts by strength.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::presence::Strength;

/// Requests per second that a whole processor core carries comfortably: at about 0.25 ms for a
/// request, a fifth of its time.
const CORE_RATE: f64 = 800.0;
/// Requests per second for each megabit per second of a link: at about 20 KB for a request, both
/// directions together, half of the link.
const MEGABIT_RATE: f64 = 3.0;
/// Minimum number of active hosts, so that the loss of one moves few callers.
const MIN_ACTIVE_HOSTS: usize = 3;
/// Fraction of the total comfortable rate of a zone's hosts that the active ones provide at least:
/// a large zone may gain many callers before the rates reported by the hosts show them. It is a
/// fraction of the rate rather than of the number of hosts: with a fraction of the number, ten
/// strong hosts that could carry the callers many times over were active beside weak ones, and each
/// sent requests to a target so rarely that nearly every request opened a connection.
const MIN_ACTIVE_CAPACITY: f64 = 1.0 / 8.0;

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Number of spans of which the busiest counts, so that hosts become active as soon as the load
/// grows and stay active during short lulls.
const SPANS: usize = 10;

/// The rate of requests that a host receives and reports to the others.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    span_start: Instant,
    count: u32,
    /// Counts of the previous spans, newest last.
    past_counts: [u32; SPANS],
}

impl Rate {
    /// Creates a counter without any request.
    pub fn new(now: Instant) -> Self {
        Self {
            span_start: now,
            count: 0,
            past_counts: [0; SPANS],
        }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.advance_spans(now);
        self.count += 1;
    }

    /// The requests per second in the busiest of the last spans.
    pub fn peak(&mut self, now: Instant) -> u32 {
        self.advance_spans(now);
        self.last_peak()
    }

    /// The same as of the last call to [`Rate::peak`] or the last request.
    pub fn last_peak(&self) -> u32 {
        self.past_counts.iter().copied().max().unwrap_or_default()
    }

    fn advance_spans(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.span_start);
        let passed = (age.as_nanos() / SPAN.as_nanos()).min(SPANS as u128) as usize;
        for _ in 0..passed {
            self.past_counts.rotate_left(1);
            self.past_counts[SPANS - 1] = std::mem::take(&mut self.count);
        }
        if passed > 0 {
            self.span_start = now;
        }
    }
}

/// A host that may receive callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Address that receives callers' requests.
    pub front: SocketAddr,
    /// Its capacity.
    pub strength: Strength,
    /// Requests per second that it receives now.
    pub rate: f64,
    /// Its order among equally strong hosts, the same on all hosts.
    pub order: u64,
}

/// The requests per second that a host carries comfortably.
pub fn comfortable_rate(strength: Strength) -> f64 {
    (strength.cores * CORE_RATE).min(strength.megabits * MEGABIT_RATE)
}

/// Selects the active hosts: the strongest ones, as many as comfortably carry the present load and
/// a fraction of the total capacity.
pub fn active_hosts(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    let load: f64 = candidates.iter().map(|candidate| candidate.rate).sum();
    let all: f64 = candidates
        .iter()
        .map(|one| comfortable_rate(one.strength))
        .sum();
    let load = load.max(all * MIN_ACTIVE_CAPACITY);
    candidates.sort_by(|one, other| {
        comfortable_rate(other.strength)
            .total_cmp(&comfortable_rate(one.strength))
            .then(other.order.cmp(&one.order))
    });
    let mut carried = 0.0;
    let needed = candidates.iter().take_while(|candidate| {
        let is_needed = carried < load;
        carried += comfortable_rate(candidate.strength);
        is_needed
    });
    let count = needed.count().max(MIN_ACTIVE_HOSTS);
    candidates.truncate(count);
    candidates
}
