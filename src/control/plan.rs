//! The plan: splits and quota bonuses, worked out from summaries.

use serde::{Deserialize, Serialize};

/// Order of plans: by epoch, then by sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Epoch of the lease under which it was made.
    pub epoch: u64,
    /// Rises with each plan of the epoch.
    pub sequence: u64,
}

/// What a host accepts: stamps that only rise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gate {
    newest: Stamp,
}

impl Gate {
    /// Whether a plan is newer than all before; if so, older ones are refused from now on.
    pub fn accept(&mut self, stamp: Stamp) -> bool {
        let newer = stamp > self.newest;
        if newer {
            self.newest = stamp;
        }
        newer
    }

    /// The newest stamp accepted.
    pub fn newest(&self) -> Stamp {
        self.newest
    }
}
