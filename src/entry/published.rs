//! What the core publishes for the workers: immutable, exchanged as a whole.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::catalog::Catalog;
use crate::steer::lookup::Snapshot;

/// One state of the core, for readers.
pub(crate) struct State {
    /// The configuration in force.
    pub(crate) catalog: Arc<Catalog>,
    /// What look-ups are answered from; none before the first configuration.
    pub(crate) lookup: Option<Snapshot>,
    /// Whether this host knows enough of the others to serve well.
    pub(crate) readiness: Readiness,
}

/// Whether a host serves as well as it will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It has no configuration, or other hosts may still tell it where traffic goes.
    Starting,
    /// It serves.
    Ready,
    /// It finishes what callers were sent here for, and hands out nothing new.
    Leaving,
}

/// The place of the latest state.
pub(crate) struct Published {
    state: ArcSwap<State>,
}

impl Published {
    /// Nothing is in force.
    pub(crate) fn new() -> Self {
        Self {
            state: ArcSwap::from_pointee(State {
                catalog: Arc::default(),
                lookup: None,
                readiness: Readiness::Starting,
            }),
        }
    }

    /// Publishes a state.
    pub(crate) fn put(&self, state: State) {
        self.state.store(Arc::new(state));
    }

    /// The latest state.
    pub(crate) fn get(&self) -> Arc<State> {
        self.state.load_full()
    }
}
