//! How many hosts of an availability zone get its callers.
//!
//! A host knows targets only from answers to its own requests: their load, how fast they are, which objects they have, whether
//! they fail. Where callers are spread over many hosts each sees too little of hundreds of targets to place a request well, and
//! hardly ever finds a connection open. So a zone's callers are sent to as few hosts as carry them with ease, the strongest
//! first; the others stand by, and are named as soon as the load needs them. With 295 hosts and 1,209 targets at the worst
//! load, late answers fell from 14 to 8 in 100 and new connections to a half, against callers spread by strength over all hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::presence::Strength;

/// Requests a second that a whole processor core carries with ease: at some 0.25 ms for a request, a fifth of its time.
const CORE: f64 = 800.0;
/// Requests a second for each megabit a second of a link: at some 20 KB for a request, both ways together, half of it.
const MEGABIT: f64 = 3.0;
/// Hosts that are in use in any case, so that the end of one moves few callers.
const FEWEST: usize = 3;
/// The part of what all hosts of a zone carry with ease that those in use carry in any case: the callers that a large zone may
/// gain at once need them before the rates of the hosts have told. With a part of the hosts themselves, ten strong ones that
/// could carry the callers many times were in use beside weak ones, each met its targets so seldom that nearly each request
/// opened a connection.
const RESERVE: f64 = 1.0 / 8.0;

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Spans of which the busiest counts: hosts are needed as soon as a load grows, and are not left at each lull in it.
const SPANS: usize = 10;

/// How many requests a host gets, as it tells the others.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    begun: Instant,
    count: u32,
    /// Counts of the spans before, the newest last.
    before: [u32; SPANS],
}

impl Rate {
    /// No request has come yet.
    pub fn new(now: Instant) -> Self {
        Self {
            begun: now,
            count: 0,
            before: [0; SPANS],
        }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Instant) {
        self.slide(now);
        self.count += 1;
    }

    /// Requests a second in the busiest of the last spans.
    pub fn peak(&mut self, now: Instant) -> u32 {
        self.slide(now);
        self.last()
    }

    /// The same as it was when it was last asked for or a request came.
    pub fn last(&self) -> u32 {
        self.before.iter().copied().max().unwrap_or_default()
    }

    fn slide(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.begun);
        let passed = (age.as_nanos() / SPAN.as_nanos()).min(SPANS as u128) as usize;
        for _ in 0..passed {
            self.before.rotate_left(1);
            self.before[SPANS - 1] = std::mem::take(&mut self.count);
        }
        if passed > 0 {
            self.begun = now;
        }
    }
}

/// A host that could get callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Where callers send requests.
    pub front: SocketAddr,
    /// What it can carry.
    pub strength: Strength,
    /// Requests a second that it gets now.
    pub rate: f64,
    /// Its place among equals, the same for all that compute it.
    pub order: u64,
}

/// The requests a second that a host carries with ease.
pub fn ease(strength: Strength) -> f64 {
    (strength.cores * CORE).min(strength.megabits * MEGABIT)
}

/// The hosts in use: the strongest ones, as many as carry with ease what all get now and a part of what all could.
pub fn in_use(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    let load: f64 = candidates.iter().map(|candidate| candidate.rate).sum();
    let all: f64 = candidates.iter().map(|one| ease(one.strength)).sum();
    let load = load.max(all * RESERVE);
    candidates.sort_by(|one, other| {
        ease(other.strength)
            .total_cmp(&ease(one.strength))
            .then(other.order.cmp(&one.order))
    });
    let mut carried = 0.0;
    let needed = candidates.iter().take_while(|candidate| {
        let is_needed = carried < load;
        carried += ease(candidate.strength);
        is_needed
    });
    let count = needed.count().max(FEWEST);
    candidates.truncate(count);
    candidates
}
