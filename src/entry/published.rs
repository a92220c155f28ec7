//! The state that the core publishes for the workers: an immutable snapshot, replaced as a whole.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::catalog::Catalog;
use crate::steer::lookup::Snapshot;

/// A snapshot of the core's state.
pub(crate) struct State {
    /// The configuration in force.
    pub(crate) catalog: Arc<Catalog>,
    /// The data that look-ups are answered from; none before the first configuration.
    pub(crate) lookup: Option<Snapshot>,
    /// Whether this host is ready to serve.
    pub(crate) readiness: Readiness,
}

/// Whether a host is ready to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It has no configuration, or may still lack the traffic splits of other hosts.
    Starting,
    /// It serves.
    Ready,
    /// It completes requests of callers that were sent here, and answers no look-ups.
    Leaving,
}

/// Holds the latest state.
pub(crate) struct Published {
    state: ArcSwap<State>,
}

impl Published {
    /// Creates the initial state, without a configuration.
    pub(crate) fn new() -> Self {
        Self {
            state: ArcSwap::from_pointee(State {
                catalog: Arc::default(),
                lookup: None,
                readiness: Readiness::Starting,
            }),
        }
    }

    /// Replaces the state.
    pub(crate) fn set(&self, state: State) {
        self.state.store(Arc::new(state));
    }

    /// Returns the latest state.
    pub(crate) fn get(&self) -> Arc<State> {
        self.state.load_full()
    }
}
