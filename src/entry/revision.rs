//! This host's configuration: accepts newer valid revisions and rejects older ones, whatever their source.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::config::{Clients, Folder};
use crate::store::publication::Fetched;

/// The last valid revision.
#[derive(Default)]
pub(crate) struct Revision {
    fetched: Arc<Fetched>,
    /// Its parsed and checked files; the next revision is built by updating them.
    folder: Folder,
    clients: Arc<Clients>,
    catalog: Arc<Catalog>,
}

/// Why a revision is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("revision {offered} is older than {known}")]
    Older { offered: u64, known: u64 },
    #[error("revision {revision} is not used: {problem}")]
    Invalid { revision: u64, problem: Arc<str> },
}

impl Revision {
    /// Returns the revision with its files.
    pub(crate) fn fetched(&self) -> &Arc<Fetched> {
        &self.fetched
    }

    /// Validates a revision and builds its catalog. If it is invalid, the last valid one stays.
    pub(crate) fn apply(&mut self, fetched: Fetched) -> Result<Arc<Catalog>, Error> {
        let offered = fetched.revision;
        let known = self.fetched.revision;
        if offered <= known {
            return Err(Error::Older { offered, known });
        }
        let invalid = |problem: String| Error::Invalid {
            revision: offered,
            problem: problem.into(),
        };
        let folder = self.folder.updated(fetched.files.clone());
        let (configuration, clients) = folder
            .merged_with_clients()
            .map_err(|faults| invalid(faults.to_string()))?;
        // There are many client blocks and they rarely change: the table is rebuilt only if they did.
        let blocks_changed = !Arc::ptr_eq(&clients, &self.clients);
        let blocks =
            blocks_changed.then(|| clients.iter().map(|(block, region)| (block, &**region)));
        let catalog = self
            .catalog
            .with_client_blocks(offered, &configuration, blocks)
            .map_err(|error| invalid(error.to_string()))?;
        self.folder = folder;
        self.clients = clients;
        self.fetched = Arc::new(fetched);
        self.catalog = Arc::new(catalog);
        Ok(self.catalog.clone())
    }
}
