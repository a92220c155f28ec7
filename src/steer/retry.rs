//! Retry budgets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use crate::border::settings::Switch;

/// Default window over which retries are counted.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
/// Parts of the window; it advances by one part at a time.
const WINDOW_PARTS: usize = 10;
/// Default number of retries in each window that a service with few requests may make.
pub const DEFAULT_FLOOR: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    requests: u64,
    extra_sends: u64,
}

/// Budget of extra sends, as a share of the requests in a sliding window, with a small floor.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    floor: u32,
    switch: Switch,
    window: Duration,
    start: Instant,
    /// Number of the newest part, counted from `start`.
    newest: u64,
    parts: [WindowPart; WINDOW_PARTS],
    sum: WindowPart,
}

impl Budget {
    /// Returns a budget of `share` of the requests.
    pub fn new(now: Instant, share: f64) -> Self {
        Self {
            share,
            floor: DEFAULT_FLOOR,
            switch: Switch::On,
            window: DEFAULT_WINDOW,
            start: now,
            newest: 0,
            parts: [WindowPart::default(); WINDOW_PARTS],
            sum: WindowPart::default(),
        }
    }

    /// Sets the extra sends allowed in a window in addition to the share.
    pub fn with_floor(mut self, floor: u32) -> Self {
        self.floor = floor;
        self
    }

    /// Sets the window.
    pub fn with_window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets whether the budget is enforced; if off, every extra send is allowed.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Sets the share, for a new configuration. The counts are kept.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Sets the floor. The counts are kept.
    pub fn set_floor(&mut self, floor: u32) {
        self.floor = floor;
    }

    /// Returns the extra sends that are left.
    pub fn remaining(&mut self, now: Instant) -> u64 {
        self.advance_window(now);
        (self.allowed_extra_sends() as u64).saturating_sub(self.sum.extra_sends)
    }

    /// Counts a request, but no retries and hedges.
    pub fn record_request(&mut self, now: Instant) {
        self.advance_window(now);
        self.parts[self.current_index()].requests += 1;
        self.sum.requests += 1;
    }

    /// Charges one extra send and returns `true`, if the budget allows it.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.advance_window(now);
        let is_within_budget = (self.sum.extra_sends + 1) as f64 <= self.allowed_extra_sends();
        if !is_within_budget && self.switch == Switch::On {
            return false;
        }
        self.parts[self.current_index()].extra_sends += 1;
        self.sum.extra_sends += 1;
        true
    }

    /// Returns the extra sends allowed in the window.
    fn allowed_extra_sends(&self) -> f64 {
        f64::from(self.floor) + self.share * self.sum.requests as f64
    }

    fn current_index(&self) -> usize {
        (self.newest % WINDOW_PARTS as u64) as usize
    }

    /// Clears the parts that have left the window.
    fn advance_window(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.start);
        let part = self.window / WINDOW_PARTS as u32;
        let newest = (age.as_nanos() / part.as_nanos().max(1)) as u64;
        let passed = newest.saturating_sub(self.newest).min(WINDOW_PARTS as u64);
        self.newest = self.newest.max(newest);
        for back in 0..passed {
            let index = ((self.newest - back) % WINDOW_PARTS as u64) as usize;
            let old = std::mem::take(&mut self.parts[index]);
            self.sum.requests -= old.requests;
            self.sum.extra_sends -= old.extra_sends;
        }
    }
}

/// Limits on the retries of all hosts together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries as a share of the requests in the window.
    pub share: f64,
    /// Retries in a window in addition to the share.
    pub floor: f64,
    /// Window over which retries are counted.
    pub window: Duration,
}

/// Share of the allowed retries that is allocated to hosts. The rest covers hosts that start in the
/// middle of a window and do not know what was used before.
const ALLOCATED_SHARE: f64 = 0.6;

/// Retry budgets of a host for each service. The floor is divided among all known hosts, so that
/// their sum stays within it.
#[derive(Clone, Debug)]
pub struct SharedBudgets {
    limits: RetryLimits,
    hosts: usize,
    switch: Switch,
    budgets: BTreeMap<Arc<str>, Budget>,
}

impl SharedBudgets {
    /// Returns the budgets of a host that knows of no other host.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            hosts: 1,
            switch: Switch::On,
            budgets: BTreeMap::new(),
        }
    }

    /// Sets whether the budgets are enforced; if off, every retry is allowed.
    pub fn with_switch(mut self, switch: Switch) -> Self {
        self.switch = switch;
        self
    }

    /// Sets how many hosts there are, this one among them.
    pub fn set_hosts(&mut self, hosts: usize) {
        if self.hosts != hosts.max(1) {
            self.hosts = hosts.max(1);
            self.apply_limits();
        }
    }

    /// Sets the limits. A window that has started keeps its length.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.apply_limits();
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Instant, service: &Arc<str>) {
        self.budget(now, service).record_request(now);
    }

    /// Charges one retry of a request for a service and returns `true`, if the budget allows it.
    pub fn try_take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        self.budget(now, service).try_take(now)
    }

    /// Whether a service has a retry left.
    pub fn has_remaining(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let is_on = self.switch == Switch::On;
        !is_on || self.budget(now, service).remaining(now) > 0
    }

    /// Returns the retries left for each service.
    pub fn remaining(&mut self, now: Instant) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let budgets = self.budgets.iter_mut();
        budgets.map(move |(service, budget)| (service, budget.remaining(now)))
    }

    fn budget(&mut self, now: Instant, service: &Arc<str>) -> &mut Budget {
        let (share, floor) = self.host_limits();
        let window = self.limits.window;
        let switch = self.switch;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            Budget::new(now, share)
                .with_floor(floor)
                .with_window(window)
                .with_switch(switch)
        })
    }

    /// Applies the limits to all budgets.
    fn apply_limits(&mut self) {
        let (share, floor) = self.host_limits();
        for budget in self.budgets.values_mut() {
            budget.set_share(share);
            budget.set_floor(floor);
        }
    }

    /// Returns the share and the floor of this host.
    fn host_limits(&self) -> (f64, u32) {
        let floor = self.limits.floor * ALLOCATED_SHARE / self.hosts as f64;
        (self.limits.share * ALLOCATED_SHARE, floor as u32)
    }
}
