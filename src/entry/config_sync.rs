//! The thread that keeps this host's configuration: from the platform, or from any other host that
//! has a newer one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
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

/// How long a host that was asked for a revision has to answer.
const PATIENCE: Duration = Duration::from_millis(700);
/// Texts asked for at once; each may have a megabyte.
const TEXTS: usize = 3;

/// What the thread hears.
pub(crate) enum News {
    /// The platform has a newer revision.
    Fetched(Fetched),
    /// A host has this revision.
    Newer(Arc<str>, u64),
    /// A message about revisions came from a host.
    Message(Arc<str>, Message),
    /// The links are there.
    Mesh(Arc<Mesh>),
    /// The thread ends.
    Stop,
}

/// The revision in force, for those who ask the platform for a newer one.
#[derive(Default)]
pub(crate) struct Known {
    fetched: ArcSwap<Fetched>,
    revision: AtomicU64,
}

impl Known {
    /// The revision with its texts.
    pub(crate) fn fetched(&self) -> Arc<Fetched> {
        self.fetched.load_full()
    }

    /// Its number.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }
}

/// A revision as hosts offer it to each other: the texts are asked for by their hashes.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    revision: u64,
    change: Change,
    files: BTreeMap<Arc<str>, Arc<str>>,
}

/// A revision that is on its way from another host.
struct Pending {
    from: Arc<str>,
    since: Instant,
    revision: u64,
    head: Option<Head>,
    texts: BTreeMap<Arc<str>, Arc<str>>,
}

struct Feed {
    core: Handle,
    known: Arc<Known>,
    mesh: Option<Arc<Mesh>>,
    revision: Revision,
    pending: Option<Pending>,
    refused: BTreeSet<u64>,
}

/// Starts the thread.
pub(crate) fn start(core: Handle, known: Arc<Known>, news: Receiver<News>) -> Result<(), Error> {
    let feed = Feed {
        core,
        known,
        mesh: None,
        revision: Revision::default(),
        pending: None,
        refused: BTreeSet::new(),
    };
    thread::Builder::new()
        .name("feed".into())
        .spawn(move || feed.run(&news))?;
    Ok(())
}

impl Feed {
    fn run(mut self, news: &Receiver<News>) {
        loop {
            match news.recv_timeout(PATIENCE) {
                Ok(News::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(piece) => self.hear(piece),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.pending.as_ref().is_some_and(Pending::is_late) {
                self.pending = None;
            }
        }
    }

    fn hear(&mut self, news: News) {
        match news {
            News::Fetched(fetched) => self.take(fetched, "the platform"),
            News::Newer(host, revision) => self.ask(host, revision),
            News::Message(host, Message::Fetch(fetch)) => self.answer(&host, &fetch),
            News::Message(host, Message::Revision(offer)) => self.offered(&host, &offer),
            News::Message(host, Message::Files(files)) => self.filed(&host, files),
            News::Message(..) | News::Stop => {}
            News::Mesh(mesh) => self.mesh = Some(mesh),
        }
    }

    /// Puts a revision in force, if it is newer and has no faults.
    fn take(&mut self, fetched: Fetched, source: &str) {
        let offered = fetched.revision;
        match self.revision.take(fetched) {
            Ok(catalog) => {
                spdlog::info!("config: revision {offered} from {source} is in force");
                self.known.fetched.store(self.revision.fetched().clone());
                self.known.revision.store(offered, Ordering::Relaxed);
                self.refused.clear();
                self.pending = None;
                self.core.send(Event::Catalog(catalog));
            }
            Err(problem) => {
                spdlog::warn!("config: {problem}");
                self.refused.insert(offered);
            }
        }
    }

    fn is_wanted(&self, revision: u64) -> bool {
        revision > self.revision.fetched().revision && !self.refused.contains(&revision)
    }

    fn ask(&mut self, host: Arc<str>, revision: u64) {
        let busy = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.revision >= revision && !pending.is_late());
        if busy || !self.is_wanted(revision) {
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
            since: Instant::now(),
            revision,
            head: None,
            texts: BTreeMap::new(),
        });
    }

    /// Answers a host that asks for what is known here.
    fn answer(&self, host: &str, fetch: &Fetch) {
        let fetched = self.revision.fetched();
        if fetch
            .revision
            .is_some_and(|asked| asked <= fetched.revision)
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

    fn offered(&mut self, host: &Arc<str>, offer: &Offer) {
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
        let own = self.revision.fetched();
        let texts = own
            .files
            .values()
            .map(|file| (text::hash(file).into(), file.clone()))
            .collect();
        self.pending = Some(Pending {
            from: host.clone(),
            since: Instant::now(),
            revision: head.revision,
            head: Some(head),
            texts,
        });
        self.go_on();
    }

    fn filed(&mut self, host: &Arc<str>, files: Files) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.from == *host) else {
            return;
        };
        pending.since = Instant::now();
        for file in files.files.into_values() {
            // The hash is worked out here, so that a text can only stand for itself.
            pending.texts.insert(text::hash(&file).into(), file.into());
        }
        self.go_on();
    }

    /// Asks for texts that are still missing, or puts the revision together.
    fn go_on(&mut self) {
        let Some(pending) = &self.pending else {
            return;
        };
        let Some(head) = &pending.head else {
            return;
        };
        let missing: Vec<String> = head
            .files
            .values()
            .filter(|hash| !pending.texts.contains_key(*hash))
            .take(TEXTS)
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
            .filter_map(|(name, hash)| Some((name.clone(), pending.texts.get(hash)?.clone())))
            .collect();
        let fetched = Fetched {
            revision: head.revision,
            change: head.change.clone(),
            files,
        };
        let from = pending.from.clone();
        self.pending = None;
        self.take(fetched, &from);
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
    fn is_late(&self) -> bool {
        self.since.elapsed() > PATIENCE
    }
}

/// The way to the thread.
pub(crate) type Queue = Sender<News>;
