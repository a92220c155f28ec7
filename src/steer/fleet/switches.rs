//! Mechanisms that can be switched off to measure the effect of each.

use serde::Deserialize;

use crate::border::settings::Switch;

/// Which mechanisms of a host are on; all of them by default except `balance`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Targets are selected by the object of a request; off: at random.
    pub affinity: Switch,
    /// An object may also use a target of another region.
    pub far: Switch,
    /// The share of requests that leave their region changes slowly.
    pub drift: Switch,
    /// The share of requests that leave their region follows the utilization of slots. Off by
    /// default: while three equal regions were all overloaded, it cost 0.01 to 0.02 of the requests
    /// in time (`tests/load.rs`).
    pub balance: Switch,
    /// Only a few hosts use a cold target, each with a share of its rate.
    pub cold_rate: Switch,
    /// Targets that fail are ejected for a while.
    pub ejection: Switch,
    /// Requests for which no target has room are refused at once.
    pub early_refusal: Switch,
    /// Targets that have an object cached are preferred.
    pub warmth: Switch,
    /// Targets that have stopped answering receive no requests.
    pub silence: Switch,
    /// Repeated requests are limited by a budget.
    pub repeat_budget: Switch,
    /// The store is read immediately at the start, and requests wait for it.
    pub start_read: Switch,
    /// Only a few hosts watch the store; off: all do.
    pub few_watchers: Switch,
    /// Lookups weight hosts by their capacity; off: all alike.
    pub strength: Switch,
    /// Lookups return the fewest hosts that can easily serve a zone's callers; off: all that serve.
    pub few_hosts: Switch,
    /// Refused callers retry when there may be room; off: after a fixed time.
    pub room_pause: Switch,
}

impl Default for Switches {
    fn default() -> Self {
        let on = Switch::On;
        Self {
            affinity: on,
            far: on,
            drift: on,
            balance: Switch::Off,
            cold_rate: on,
            ejection: on,
            early_refusal: on,
            warmth: on,
            silence: on,
            repeat_budget: on,
            start_read: on,
            few_watchers: on,
            strength: on,
            few_hosts: on,
            room_pause: on,
        }
    }
}
