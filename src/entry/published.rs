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
            }),
        }
    }

    /// Publishes a state.
    pub(crate) fn put(&self, catalog: Arc<Catalog>, lookup: Option<Snapshot>) {
        self.state.store(Arc::new(State { catalog, lookup }));
    }

    /// The latest state.
    pub(crate) fn get(&self) -> Arc<State> {
        self.state.load_full()
    }
}
