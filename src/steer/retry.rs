//! The retry budget.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use crate::border::settings::Switch;

/// The window over which retries are counted, unless it is set.
const WINDOW: Duration = Duration::from_secs(10);
/// Parts of the window; it slides by one at a time.
const PARTS: usize = 10;
/// Retries a quiet service may make in each window.
pub const DEFAULT_FLOOR: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u64,
    extra: u64,
}

/// Extra sends allowed as a share of requests over a sliding window, with a small floor.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    floor: u32,
    switch: Switch,
    window: Duration,
    start: Instant,
    /// The newest part, counted from `start`.
    newest: u64,
    parts: [Part; PARTS],
    sum: Part,
}

impl Budget {
    /// Allows extra sends up to `share` of the requests.
    pub fn new(now: Instant, share: f64) -> Self {
        Self {
            share,
            floor: DEFAULT_FLOOR,
            switch: Switch::On,
            window: WINDOW,
            start: now,
            newest: 0,
            parts: [Part::default(); PARTS],
            sum: Part::default(),
        }
    }

    /// Allows `floor` extra sends a window beside the share.
    pub fn with_floor(mut self, floor: u32) -> Self {
        self.floor = floor;
        self
    }

    /// Counts over `window`.
    pub fn with_window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Without the budget every extra send is allowed.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Changes the share, as a new configuration does. What was counted stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Changes the floor. What was counted stays.
    pub fn set_floor(&mut self, floor: u32) {
        self.floor = floor;
    }

    /// What is left of the budget.
    pub fn left(&mut self, now: Instant) -> u64 {
        self.slide(now);
        (self.allowed() as u64).saturating_sub(self.sum.extra)
    }

    /// Counts a request. Retries and hedges don't count here.
    pub fn request(&mut self, now: Instant) {
        self.slide(now);
        self.parts[self.index()].requests += 1;
        self.sum.requests += 1;
    }

    /// Takes one extra send, if the budget has it.
    pub fn take(&mut self, now: Instant) -> bool {
        self.slide(now);
        let fits = (self.sum.extra + 1) as f64 <= self.allowed();
        if !fits && self.switch == Switch::On {
            return false;
        }
        self.parts[self.index()].extra += 1;
        self.sum.extra += 1;
        true
    }

    /// Extra sends allowed in the window.
    fn allowed(&self) -> f64 {
        f64::from(self.floor) + self.share * self.sum.requests as f64
    }

    fn index(&self) -> usize {
        (self.newest % PARTS as u64) as usize
    }

    /// Empties the parts that have left the window.
    fn slide(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.start);
        let part = self.window / PARTS as u32;
        let newest = (age.as_nanos() / part.as_nanos().max(1)) as u64;
        let passed = newest.saturating_sub(self.newest).min(PARTS as u64);
        self.newest = self.newest.max(newest);
        for back in 0..passed {
            let index = ((self.newest - back) % PARTS as u64) as usize;
            let old = std::mem::take(&mut self.parts[index]);
            self.sum.requests -= old.requests;
            self.sum.extra -= old.extra;
        }
    }
}

/// What all hosts together may send again, of the requests for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats as a part of the requests in the window.
    pub share: f64,
    /// Repeats in a window beside that share.
    pub floor: f64,
    /// The window over which repeats are counted.
    pub window: Duration,
}

/// The part of the allowed repeats that hosts share out: the rest is for hosts that start in the
/// middle of a window and don't know what the one before has used.
const SHARED_OUT: f64 = 0.6;

/// The budgets of a host for each service. The floor is shared out among all hosts, so that their
/// sum keeps to it; it follows the number of hosts that are known.
#[derive(Clone, Debug)]
pub struct Budgets {
    terms: Terms,
    hosts: usize,
    switch: Switch,
    budgets: BTreeMap<Arc<str>, Budget>,
}

impl Budgets {
    /// For a host that knows of no other.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            hosts: 1,
            switch: Switch::On,
            budgets: BTreeMap::new(),
        }
    }

    /// Without the budget every repeat is allowed.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Sets how many hosts there are, this one among them.
    pub fn set_hosts(&mut self, hosts: usize) {
        if self.hosts != hosts.max(1) {
            self.hosts = hosts.max(1);
            self.adjust();
        }
    }

    /// Changes what is allowed. A window that has begun keeps its length.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
        self.adjust();
    }

    /// Counts a request for a service.
    pub fn request(&mut self, now: Instant, service: &Arc<str>) {
        self.budget(now, service).request(now);
    }

    /// Takes one repeat of a request for a service, if there is one left.
    pub fn take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        self.budget(now, service).take(now)
    }

    /// Whether a repeat of a request for a service is left.
    pub fn has(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let is_on = self.switch == Switch::On;
        !is_on || self.budget(now, service).left(now) > 0
    }

    /// What is left for each service.
    pub fn left(&mut self, now: Instant) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let budgets = self.budgets.iter_mut();
        budgets.map(move |(service, budget)| (service, budget.left(now)))
    }

    fn budget(&mut self, now: Instant, service: &Arc<str>) -> &mut Budget {
        let (share, floor) = self.allowed();
        let window = self.terms.window;
        let switch = self.switch;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            Budget::new(now, share)
                .with_floor(floor)
                .with_window(window)
                .with_switch(switch)
        })
    }

    fn adjust(&mut self) {
        let (share, floor) = self.allowed();
        for budget in self.budgets.values_mut() {
            budget.set_share(share);
            budget.set_floor(floor);
        }
    }

    /// The share and the floor of this host.
    fn allowed(&self) -> (f64, u32) {
        let floor = self.terms.floor * SHARED_OUT / self.hosts as f64;
        (self.terms.share * SHARED_OUT, floor as u32)
    }
}
