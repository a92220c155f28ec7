//! The configuration this host has: newer revisions come in, from wherever, and older ones do not.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::config::{Clients, Folder};
use crate::store::publication::Fetched;

/// The last good revision.
#[derive(Default)]
pub(crate) struct Revision {
    fetched: Arc<Fetched>,
    /// Its files as they were parsed and checked, of which later ones are made.
    folder: Folder,
    clients: Arc<Clients>,
    catalog: Arc<Catalog>,
}

/// Why a revision is not taken.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("revision {offered} is older than {known}")]
    Older { offered: u64, known: u64 },
    #[error("revision {revision} is not used: {problem}")]
    Faulty { revision: u64, problem: Arc<str> },
}

impl Revision {
    /// What is known.
    pub(crate) fn fetched(&self) -> &Arc<Fetched> {
        &self.fetched
    }

    /// Checks a revision again and lays it out. The last good one stays if it is faulty.
    pub(crate) fn take(&mut self, fetched: Fetched) -> Result<Arc<Catalog>, Error> {
        let offered = fetched.revision;
        let known = self.fetched.revision;
        if offered <= known {
            return Err(Error::Older { offered, known });
        }
        let faulty = |problem: String| Error::Faulty {
            revision: offered,
            problem: problem.into(),
        };
        let folder = self.folder.updated(fetched.files.clone());
        let (configuration, clients) = folder
            .parts()
            .map_err(|faults| faulty(faults.to_string()))?;
        // Client blocks are many and change seldom: the table is made anew only if they did.
        let changed = !Arc::ptr_eq(&clients, &self.clients);
        let blocks = changed.then(|| clients.iter().map(|(block, region)| (block, &**region)));
        let catalog = self
            .catalog
            .with_client_blocks(offered, &configuration, blocks)
            .map_err(|error| faulty(error.to_string()))?;
        self.folder = folder;
        self.clients = clients;
        self.fetched = Arc::new(fetched);
        self.catalog = Arc::new(catalog);
        Ok(self.catalog.clone())
    }
}
