//! The thread that keeps this host's configuration up to date, from the platform or from any other host
//! that has a newer revision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use serde::{Deserialize, Serialize};

use super::core::{Event, Handle};
use super::revision::Revision;
use super::Error;
use crate::border::objects::Change;
use crate::peer::frame::{Fetch, Files, Message, Revision as Offer};
use crate::peer::mesh::Mesh;
use crate::store::publication::{text, Fetched};
use crate::supervisor::Supervisor;

/// Time limit for the answer of a host that was asked for a revision.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of files in one fetch; each may be one megabyte large.
const MAX_FILES_PER_FETCH: usize = 3;

/// An event for the configuration thread.
pub(crate) enum ConfigEvent {
    /// A newer revision was fetched from the platform.
    Fetched(Fetched),
    /// A host announced that it has this revision.
    NewerRevision(Arc<str>, u64),
    /// A message about revisions from a host.
    Message(Arc<str>, Message),
    /// The mesh of links to other hosts was created.
    Mesh(Arc<Mesh>),
    /// Ends the thread.
    Stop,
}

/// The revision in force, shared with the threads that query the platform.
#[derive(Default)]
pub(crate) struct CurrentRevision {
    fetched: ArcSwap<Fetched>,
    revision: AtomicU64,
}

impl CurrentRevision {
    /// Returns the revision with its files.
    pub(crate) fn fetched(&self) -> Arc<Fetched> {
        self.fetched.load_full()
    }

    /// Returns the revision's number.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }
}

/// A revision as hosts offer it to each other: file names with content hashes, by which the files are fetched.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    revision: u64,
    change: Change,
    files: BTreeMap<Arc<str>, Arc<str>>,
}

/// A revision that is being fetched from another host.
struct Pending {
    from: Arc<str>,
    last_progress: Instant,
    revision: u64,
    head: Option<Head>,
    files_by_hash: BTreeMap<Arc<str>, Arc<str>>,
}

struct ConfigSync {
    core: Handle,
    current: Arc<CurrentRevision>,
    mesh: Option<Arc<Mesh>>,
    revision: Revision,
    pending: Option<Pending>,
    rejected: BTreeSet<u64>,
}

/// Starts the thread.
pub(crate) fn start(
    core: Handle,
    current: Arc<CurrentRevision>,
    events: Receiver<ConfigEvent>,
    supervisor: &Supervisor,
) -> Result<(), Error> {
    let mut config_sync = ConfigSync {
        core,
        current,
        mesh: None,
        revision: Revision::default(),
        pending: None,
        rejected: BTreeSet::new(),
    };
    let own = supervisor.clone();
    supervisor.spawn("feed", move || config_sync.run(&events, &own))?;
    Ok(())
}

impl ConfigSync {
    fn run(&mut self, events: &Receiver<ConfigEvent>, supervisor: &Supervisor) {
        loop {
            match events.recv_timeout(FETCH_TIMEOUT) {
                Ok(ConfigEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => {
                    supervisor.catch("configuration", || self.handle_event(event));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.pending.as_ref().is_some_and(Pending::is_expired) {
                self.pending = None;
            }
        }
    }

    fn handle_event(&mut self, event: ConfigEvent) {
        match event {
            ConfigEvent::Fetched(fetched) => self.apply(fetched, "the platform"),
            ConfigEvent::NewerRevision(host, revision) => self.request_revision(host, revision),
            ConfigEvent::Message(host, Message::Fetch(fetch)) => self.answer_fetch(&host, &fetch),
            ConfigEvent::Message(host, Message::Revision(offer)) => {
                self.handle_offer(&host, &offer)
            }
            ConfigEvent::Message(host, Message::Files(files)) => self.handle_files(&host, files),
            ConfigEvent::Message(..) | ConfigEvent::Stop => {}
            ConfigEvent::Mesh(mesh) => self.mesh = Some(mesh),
        }
    }

    /// Puts a revision in force if it is newer and valid.
    fn apply(&mut self, fetched: Fetched, source: &str) {
        let offered = fetched.revision;
        match self.revision.apply(fetched) {
            Ok(catalog) => {
                spdlog::info!("config: revision {offered} from {source} is in force");
                self.current.fetched.store(self.revision.fetched().clone());
                self.current.revision.store(offered, Ordering::Relaxed);
                self.rejected.clear();
                self.pending = None;
                self.core.send(Event::Catalog(catalog));
            }
            Err(problem) => {
                spdlog::warn!("config: {problem}");
                self.rejected.insert(offered);
            }
        }
    }

    fn is_wanted(&self, revision: u64) -> bool {
        revision > self.revision.fetched().revision && !self.rejected.contains(&revision)
    }

    fn request_revision(&mut self, host: Arc<str>, revision: u64) {
        let is_pending = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.revision >= revision && !pending.is_expired());
        if is_pending || !self.is_wanted(revision) {
            return;
        }
        self.send(
            &host,
            &Message::Fetch(Fetch {
                revision: Some(revision),
                files: Vec::new(),
            }),
        );
        self.pending = Some(Pending {
            from: host,
            last_progress: Instant::now(),
            revision,
            head: None,
            files_by_hash: BTreeMap::new(),
        });
    }

    /// Answers a host that fetches a newer revision or files.
    fn answer_fetch(&self, host: &str, fetch: &Fetch) {
        let fetched = self.revision.fetched();
        if fetch
            .revision
            .is_some_and(|wanted| wanted <= fetched.revision)
        {
            let hashes = text::hashes(&fetched.files);
            let head = Head {
                revision: fetched.revision,
                change: fetched.change.clone(),
                files: hashes
                    .iter()
                    .map(|(name, hash)| (name.as_str().into(), hash.as_str().into()))
                    .collect(),
            };
            self.send(
                host,
                &Message::Revision(Offer {
                    revision: fetched.revision,
                    head: serde_json::to_string(&head).unwrap_or_default(),
                }),
            );
        }
        if fetch.files.is_empty() {
            return;
        }
        let files = fetched
            .files
            .values()
            .map(|file| (text::hash(file), file))
            .filter(|(hash, _)| fetch.files.contains(hash))
            .map(|(hash, file)| (hash, file.to_string()))
            .collect();
        self.send(host, &Message::Files(Files { files }));
    }

    fn handle_offer(&mut self, host: &Arc<str>, offer: &Offer) {
        if !self.is_wanted(offer.revision) {
            return;
        }
        let head: Head = match serde_json::from_str(&offer.head) {
            Ok(head) => head,
            Err(error) => {
                spdlog::warn!("config: the offer of {host} cannot be read: {error}");
                return;
            }
        };
        if head.revision != offer.revision {
            spdlog::warn!("config: the offer of {host} names two revisions");
            return;
        }
        let current = self.revision.fetched();
        let files_by_hash = current
            .files
            .values()
            .map(|file| (text::hash(file).into(), file.clone()))
            .collect();
        self.pending = Some(Pending {
            from: host.clone(),
            last_progress: Instant::now(),
            revision: head.revision,
            head: Some(head),
            files_by_hash,
        });
        self.continue_fetch();
    }

    fn handle_files(&mut self, host: &Arc<str>, files: Files) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.from == *host) else {
            return;
        };
        pending.last_progress = Instant::now();
        for file in files.files.into_values() {
            // The hash is computed here rather than taken from the message, so that wrong content cannot replace a file.
            pending
                .files_by_hash
                .insert(text::hash(&file).into(), file.into());
        }
        self.continue_fetch();
    }

    /// Fetches files that are still missing, or assembles and applies the revision.
    fn continue_fetch(&mut self) {
        let Some(pending) = &self.pending else {
            return;
        };
        let Some(head) = &pending.head else {
            return;
        };
        let missing: Vec<String> = head
            .files
            .values()
            .filter(|hash| !pending.files_by_hash.contains_key(*hash))
            .take(MAX_FILES_PER_FETCH)
            .map(|hash| hash.to_string())
            .collect();
        if !missing.is_empty() {
            let fetch = Fetch {
                revision: None,
                files: missing,
            };
            return self.send(&pending.from.clone(), &Message::Fetch(fetch));
        }
        let files = head
            .files
            .iter()
            .filter_map(|(name, hash)| {
                Some((name.clone(), pending.files_by_hash.get(hash)?.clone()))
            })
            .collect();
        let fetched = Fetched {
            revision: head.revision,
            change: head.change.clone(),
            files,
        };
        let from = pending.from.clone();
        self.pending = None;
        self.apply(fetched, &from);
    }

    fn send(&self, host: &str, message: &Message) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        if let Err(error) = mesh.send(host, message) {
            spdlog::debug!("config: {error}");
        }
    }
}

impl Pending {
    fn is_expired(&self) -> bool {
        self.last_progress.elapsed() > FETCH_TIMEOUT
    }
}

/// Sends events to the configuration thread.
pub(crate) type EventSender = Sender<ConfigEvent>;
