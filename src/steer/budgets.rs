//! Retry and hedge budgets of one service, and the switches of a host.

use std::time::Instant;

use super::hedge::HedgePolicy;
use super::retry;
use crate::border::settings::{Steer, Switch};
use crate::catalog::Limits;

/// Mechanisms that can be switched off for measurement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Switches {
    pub(crate) hedge: Switch,
    pub(crate) retry: Switch,
    pub(crate) quota: Switch,
}

impl Switches {
    pub(crate) fn new(steer: &Steer) -> Self {
        Self {
            hedge: steer.hedge,
            retry: steer.retry_budget,
            quota: steer.quota,
        }
    }
}

/// The budgets of one service.
#[derive(Debug)]
pub(crate) struct ServiceBudgets {
    pub(crate) retry: retry::Budget,
    pub(crate) hedge: HedgePolicy,
}

impl ServiceBudgets {
    pub(crate) fn new(now: Instant, limits: &Limits, switches: Switches) -> Self {
        Self {
            retry: retry::Budget::new(now, limits.retry_share).with_switch(switches.retry),
            hedge: HedgePolicy::new(now, limits.hedge_share).with_switch(switches.hedge),
        }
    }

    /// Applies the limits of a new configuration.
    pub(crate) fn set_limits(&mut self, limits: &Limits) {
        self.retry.set_share(limits.retry_share);
        self.hedge.set_share(limits.hedge_share);
    }

    /// Counts a request of the service.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.retry.record_request(now);
        self.hedge.record_request(now);
    }
}
