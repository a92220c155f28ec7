//! Mechanisms that can be switched off, to measure what each is worth.

use serde::Deserialize;

use crate::border::settings::Switch;

/// Which mechanisms of a host are in use; all, unless the settings say otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Targets are chosen by the object of a request; off: at random.
    pub affinity: Switch,
    /// Each object may use a target of another region.
    pub far: Switch,
    /// Requests change their region slowly.
    pub drift: Switch,
    /// Few hosts use a cold target, each at a part of its rate.
    pub cold_rate: Switch,
    /// Targets that fail are taken out for a while.
    pub ejection: Switch,
    /// Requests that no target has room for are refused at once.
    pub early_refusal: Switch,
    /// Targets that have an object are preferred.
    pub warmth: Switch,
    /// Targets that have stopped to answer get nothing.
    pub silence: Switch,
    /// Repeats keep to a budget.
    pub repeat_budget: Switch,
    /// The store is read at once at the start, and requests wait for it.
    pub start_read: Switch,
    /// Few hosts watch the store; off: all do.
    pub few_watchers: Switch,
    /// Look-ups name hosts by what they can carry; off: all alike.
    pub strength: Switch,
    /// Look-ups name as few hosts as carry a zone's callers with ease; off: all that serve.
    pub few_hosts: Switch,
    /// Refused callers come back when there may be room; off: after a fixed time.
    pub room_pause: Switch,
}

impl Default for Switches {
    fn default() -> Self {
        let on = Switch::On;
        Self {
            affinity: on,
            far: on,
            drift: on,
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
