//! Stores the configuration on the platform, as revisions of a folder of files.
//!
//! `config/head` contains the revision in force, its change and the hash of each file. It is updated on
//! condition of its version, so that each update makes one revision. Texts are stored by their hashes at
//! `config/file/SHA256` and past revisions at `config/history/REVISION-ID`. Both are written before the
//! head that refers to them, and have no effect if they are left over.
//!
//! An operator's changes are the differences between the folder and its [`Base`], the revision that it
//! is based on. Changes of others since then are kept; changes to the same files are a conflict.

pub mod error;
pub mod fetch;
pub mod garbage;
mod history;
pub mod marker;
pub mod merge;
pub mod text;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::Value;

use super::client::{Condition, Versioned};
use super::confirmed_write::{self, Evidence, Identity, Outcome};
use super::guarded_client::GuardedClient;
use super::retry::RetryPolicy;
use crate::border::objects::{Head, Past};
use merge::Hashes;

pub use crate::border::objects::{Base as Marker, Change, Step};
pub use error::{Error, FileConflict};
pub use fetch::{fetch, Fetched};

/// Texts of a folder's files, by their names.
pub type Files = BTreeMap<Arc<str>, Arc<str>>;

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";
/// Maximum number of recent changes listed in the head.
const MAX_RECENT_CHANGES: usize = 32;
/// Maximum number of file names in the head's recent changes; the oldest changes are left out beyond
/// it.
const MAX_RECENT_FILE_NAMES: usize = 2_000;
/// Maximum length of an author or a note in the head, in characters; the rest is cut off.
const MAX_NOTE_CHARS: usize = 500;
/// Attempts after which a writer gives up because other writers were faster each time.
const MAX_LOST_RACES: u32 = 200;
/// Number of revisions between two garbage collections.
const COLLECTION_INTERVAL: u64 = 16;

/// Whether a folder without a marker may overwrite changes made on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverwritePolicy {
    /// It is an error if the folder lacks a file or has a text that an earlier revision had.
    Refuse,
    /// The folder replaces the revision in force: files that it lacks are removed, and older texts are
    /// restored.
    Allow,
}

/// The revision that a folder is based on.
#[derive(Clone, Debug)]
pub enum Base {
    /// The revision in its marker, see [`marker`].
    Pulled(Marker),
    /// The revision in force when the publication begins, because the folder has no marker.
    Head(OverwritePolicy),
}

/// Author, reason and time of a change.
#[derive(Clone, Debug)]
pub struct Signature {
    /// The operator.
    pub author: Arc<str>,
    /// The reason.
    pub note: Arc<str>,
    /// The time by the operator's clock.
    pub time: SystemTime,
}

/// Whether a publication made a new revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It made a new revision.
    New,
    /// The revision in force already has this content.
    Unchanged,
}

/// How it was confirmed that a publication is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// By the platform's answer.
    Answer,
    /// By reading back: the answer was lost, but the change's identity was found on the platform.
    ReadBack,
}

/// A publication that is in force.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The new revision, or the one in force if none was made.
    pub revision: u64,
    /// Whether it made a new revision.
    pub effect: Effect,
    /// How it was confirmed.
    pub confirmation: Confirmation,
    /// The files that it changed.
    pub files: Vec<Arc<str>>,
    /// The marker to write into the folder.
    pub marker: Marker,
}

/// How a file differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only the folder has the file.
    Added,
    /// Only the platform has the file.
    Removed,
    /// The texts differ.
    Changed,
}

/// A file in which a folder differs from the revision in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The file.
    pub file: Arc<str>,
    /// How it differs.
    pub kind: Kind,
    /// The lines that differ, as a unified diff from the platform's text to the folder's.
    pub text: Arc<str>,
}

/// Publishes and reads revisions, for operators.
#[derive(Clone, Debug)]
pub struct Publication {
    client: GuardedClient,
    retry: RetryPolicy,
}

/// The desired files of a publication, and the hashes of the base that they were changed from.
struct DesiredFiles {
    files: Files,
    hashes: Hashes,
    base: Hashes,
}

impl Publication {
    /// Creates a publication that uses `client`.
    pub fn new(client: GuardedClient) -> Self {
        Self {
            client,
            retry: RetryPolicy::default(),
        }
    }

    /// Sets the retries of each operation while the platform is unavailable.
    pub fn with_retry(mut self, retry: RetryPolicy) -> Self {
        self.retry = retry;
        self
    }

    /// Publishes `files` as one revision. Changes of others to other files are kept. Each attempt
    /// validates the merged files with `check` first.
    ///
    /// # Errors
    ///
    /// After any error but [`Error::Unconfirmed`] nothing was published.
    pub fn apply<E: std::fmt::Display>(
        &self,
        files: &Files,
        base: &Base,
        signature: &Signature,
        check: impl Fn(&Files) -> Result<(), E>,
    ) -> Result<Applied, Error> {
        files.keys().try_for_each(|name| text::check_name(name))?;
        let retry = &mut self.retry.clone();
        let hashes = text::hashes(files);
        let base = match base {
            Base::Pulled(marker) => marker.files.clone(),
            Base::Head(overwrite_policy) => {
                self.base_without_marker(&hashes, *overwrite_policy, retry)?
            }
        };
        let desired = DesiredFiles {
            files: files.clone(),
            hashes,
            base,
        };
        self.publish(&desired, signature, check, retry)
    }

    /// Publishes the content of an earlier revision as a new one. Changes that others publish to
    /// other files in the meantime are kept.
    ///
    /// # Errors
    ///
    /// [`Error::NoRevision`], or as [`Publication::apply`].
    pub fn revert<E: std::fmt::Display>(
        &self,
        revision: u64,
        signature: &Signature,
        check: impl Fn(&Files) -> Result<(), E>,
    ) -> Result<Applied, Error> {
        let retry = &mut self.retry.clone();
        let head = self.read_head(retry)?.ok_or(Error::NoRevision(revision))?;
        let past = history::find_revision(&self.client, &head.value, revision, retry)?;
        let desired = DesiredFiles {
            files: self.read_texts(&past.files, &Files::new(), retry)?,
            hashes: past.files,
            base: head.value.files,
        };
        self.publish(&desired, signature, check, retry)
    }

    /// Reads the revision in force; none if nothing was published yet.
    ///
    /// # Errors
    ///
    /// As [`fetch()`].
    pub fn pull(&self) -> Result<Option<Fetched>, Error> {
        let mut text_retries = self.retry.clone();
        loop {
            let retry = &mut self.retry.clone();
            match fetch::fetch_with_retry(&self.client, &Fetched::default(), retry) {
                // The revision was replaced and removed after its head and before its texts were read.
                Err(e @ Error::TextMissing(_)) => text_retries.wait_after(e)?,
                other => return other,
            }
        }
    }

    /// Returns the changes that led to the revision in force, newest first, as far as they are stored.
    ///
    /// # Errors
    ///
    /// [`Error::Store`].
    pub fn history(&self) -> Result<Vec<Step>, Error> {
        let retry = &mut self.retry.clone();
        let Some(head) = self.read_head(retry)? else {
            return Ok(Vec::new());
        };
        let entries = history::list(&self.client, retry)?;
        let mut steps = head.value.recent;
        if let Some(oldest) = steps.last() {
            let older = history::follow_parents(oldest, &entries);
            steps.extend(older.into_iter().skip(1));
        }
        Ok(steps)
    }

    /// Returns the differences between the revision in force and `files`.
    ///
    /// # Errors
    ///
    /// As [`Publication::pull`].
    pub fn diff(&self, files: &Files) -> Result<Vec<Difference>, Error> {
        let head = self.pull()?.unwrap_or_default();
        Ok(differences(&head.files, files))
    }

    /// Removes the revisions older than the latest [`garbage::KEPT_REVISIONS`] and the texts that
    /// nothing refers to. Returns the number of objects removed. Publications also do this after every
    /// 16 revisions.
    ///
    /// # Errors
    ///
    /// [`Error::Store`].
    pub fn collect_garbage(&self) -> Result<usize, Error> {
        let retry = &mut self.retry.clone();
        match self.read_head(retry)? {
            Some(head) => garbage::collect(&self.client, &head, retry),
            None => Ok(0),
        }
    }

    fn read_head(&self, retry: &mut RetryPolicy) -> Result<Option<Versioned<Head>>, Error> {
        let found = retry.retry_outages(|| self.client.get(HEAD_KEY))?;
        Ok(found.map(Versioned::deserialize).transpose()?)
    }

    /// Returns the base of a folder without a marker.
    fn base_without_marker(
        &self,
        ours: &Hashes,
        overwrite_policy: OverwritePolicy,
        retry: &mut RetryPolicy,
    ) -> Result<Hashes, Error> {
        let Some(head) = self.read_head(retry)? else {
            return Ok(Hashes::new());
        };
        let base = head.value.files;
        if overwrite_policy == OverwritePolicy::Allow || base == *ours {
            return Ok(base);
        }
        let entries = history::list(&self.client, retry)?;
        let overwritten: Vec<String> = merge::differing_names(&base, ours)
            .into_iter()
            .filter(|name| base.contains_key(*name) && is_missing_or_past(name, ours, &entries))
            .map(str::to_owned)
            .collect();
        if overwritten.is_empty() {
            return Ok(base);
        }
        Err(Error::NotPulled(overwritten))
    }

    fn publish<E: std::fmt::Display>(
        &self,
        desired: &DesiredFiles,
        signature: &Signature,
        check: impl Fn(&Files) -> Result<(), E>,
        retry: &mut RetryPolicy,
    ) -> Result<Applied, Error> {
        let id = Identity::new(&mut rand::rng());
        let change = new_change(&id, signature);
        let marker = |revision| Marker {
            revision,
            files: desired.hashes.clone(),
        };
        for _ in 0..MAX_LOST_RACES {
            let head = self.read_head(retry)?;
            let theirs = head.as_ref().map(|head| &head.value);
            let files = rebase(desired, theirs)?;
            if let Some(current) = theirs.filter(|head| head.files == files) {
                return Ok(Applied {
                    revision: current.revision,
                    effect: Effect::Unchanged,
                    confirmation: Confirmation::Answer,
                    files: Vec::new(),
                    marker: marker(current.revision),
                });
            }
            let texts = self.read_texts(&files, &desired.files, retry)?;
            check(&texts).map_err(|e| Error::Invalid(e.to_string().into()))?;
            let next = next_head(theirs, change.clone(), files);
            let replaced = self.replace_head(head.as_ref(), &next, &texts, &id, retry)?;
            let Some(confirmation) = replaced else {
                continue;
            };
            self.collect_periodically(next.revision);
            let changed = next.recent.first().map(|step| &step.files[..]);
            return Ok(Applied {
                revision: next.revision,
                effect: Effect::New,
                confirmation,
                files: changed
                    .unwrap_or_default()
                    .iter()
                    .map(|name| name.as_str().into())
                    .collect(),
                marker: marker(next.revision),
            });
        }
        Err(Error::LostRaces(MAX_LOST_RACES))
    }

    /// Writes the history object and the texts that `next` refers to, and then replaces `head` by
    /// `next`. Returns how the write was confirmed, none if another writer was faster.
    fn replace_head(
        &self,
        head: Option<&Versioned<Head>>,
        next: &Head,
        texts: &Files,
        id: &Identity,
        retry: &mut RetryPolicy,
    ) -> Result<Option<Confirmation>, Error> {
        history::put(&self.client, &history_entry(head, next), retry)?;
        let old = head.map(|head| &head.value.files);
        let head_version = head.map_or(0, |head| head.version);
        for (name, hash) in &next.files {
            let is_stored = old.is_some_and(|old| old.values().any(|stored| stored == hash));
            if let (false, Some(text)) = (is_stored, texts.get(name.as_str())) {
                text::touch(&self.client, name, text, head_version, retry)?;
            }
        }
        let condition = head.map_or(Condition::Absent, |head| Condition::Version(head.version));
        let confirmation = Cell::new(Confirmation::Answer);
        let evidence = |value: &Value| {
            // Evidence is only looked for if the write got no answer.
            confirmation.set(Confirmation::ReadBack);
            find_evidence(value, id, next.revision)
        };
        let outcome =
            confirmed_write::put(&self.client, HEAD_KEY, next, condition, evidence, retry)?;
        match outcome {
            Outcome::Applied(_) => Ok(Some(confirmation.get())),
            Outcome::Superseded(_) => Ok(None),
            Outcome::Inconclusive(found) => {
                let is_mine = self.is_in_history(found, id, next.revision, retry)?;
                Ok(is_mine.then_some(Confirmation::ReadBack))
            }
            Outcome::Unknown(cause) => Err(unconfirmed(id, &cause)),
        }
    }

    /// Whether the change `id` made `revision`, according to the history.
    fn is_in_history(
        &self,
        found: Option<Versioned<Value>>,
        id: &Identity,
        revision: u64,
        retry: &mut RetryPolicy,
    ) -> Result<bool, Error> {
        let Some(found) = found else {
            return Ok(false);
        };
        let head = found.deserialize::<Head>()?.value;
        match history::find_revision(&self.client, &head, revision, retry) {
            Ok(past) => Ok(past.step.change.id == id.as_str()),
            Err(e) => Err(unconfirmed(id, &e)),
        }
    }

    /// Collects garbage if `revision` is due for it. A failure is only logged, because the publication
    /// is in force anyway.
    fn collect_periodically(&self, revision: u64) {
        if !revision.is_multiple_of(COLLECTION_INTERVAL) {
            return;
        }
        if let Err(e) = self.collect_garbage() {
            spdlog::warn!("store: garbage is left: {e}");
        }
    }

    /// Returns the texts of `hashes`; those that are in `known` are not read.
    fn read_texts(
        &self,
        hashes: &Hashes,
        known: &Files,
        retry: &mut RetryPolicy,
    ) -> Result<Files, Error> {
        fetch::read_texts(&self.client, hashes, known, retry)
    }
}

fn unconfirmed(id: &Identity, cause: &dyn std::fmt::Display) -> Error {
    Error::Unconfirmed {
        id: id.clone(),
        cause: cause.to_string().into(),
    }
}

/// Whether `ours` lacks the file or has a text that the file had in a past revision.
fn is_missing_or_past(name: &str, ours: &Hashes, entries: &[history::Entry]) -> bool {
    let Some(hash) = ours.get(name) else {
        return true;
    };
    entries
        .iter()
        .any(|entry| entry.past.files.get(name) == Some(hash))
}

fn rebase(desired: &DesiredFiles, head: Option<&Head>) -> Result<Hashes, Error> {
    let none = Hashes::new();
    let theirs = head.map_or(&none, |head| &head.files);
    merge::merge(&desired.base, &desired.hashes, theirs).map_err(|names| {
        let conflicts = names
            .into_iter()
            .map(|file| file_conflict(&file, head))
            .collect();
        Error::Conflict(conflicts)
    })
}

fn file_conflict(file: &str, head: Option<&Head>) -> FileConflict {
    let has_file = |step: &&Step| step.files.iter().any(|name| name == file);
    FileConflict {
        file: file.into(),
        latest: head.and_then(|head| head.recent.iter().find(has_file).cloned()),
    }
}

fn new_change(id: &Identity, signature: &Signature) -> Change {
    let since = signature.time.duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    Change {
        id: id.to_string(),
        author: signature.author.chars().take(MAX_NOTE_CHARS).collect(),
        time: u64::try_from(millis).unwrap_or(u64::MAX),
        note: signature.note.chars().take(MAX_NOTE_CHARS).collect(),
    }
}

fn next_head(head: Option<&Head>, change: Change, files: Hashes) -> Head {
    let none = Hashes::new();
    let old = head.map_or(&none, |head| &head.files);
    let step = Step {
        revision: head.map_or(0, |head| head.revision) + 1,
        change: change.clone(),
        files: merge::differing_names(old, &files)
            .into_iter()
            .map(str::to_owned)
            .collect(),
    };
    let revision = step.revision;
    let older = head.map_or(&[][..], |head| &head.recent);
    let mut recent: Vec<Step> = std::iter::once(&step).chain(older).cloned().collect();
    recent.truncate(MAX_RECENT_CHANGES);
    while recent.len() > 1 && count_file_names(&recent) > MAX_RECENT_FILE_NAMES {
        recent.pop();
    }
    Head {
        revision,
        change,
        files,
        recent,
    }
}

fn count_file_names(steps: &[Step]) -> usize {
    steps.iter().map(|step| step.files.len()).sum()
}

fn history_entry(head: Option<&Versioned<Head>>, next: &Head) -> Past {
    let step = next.recent.first().cloned().unwrap_or_else(|| Step {
        revision: next.revision,
        change: next.change.clone(),
        files: Vec::new(),
    });
    Past {
        step,
        parent: head.map(|head| head.value.change.id.clone()),
        files: next.files.clone(),
    }
}

/// Returns what a head shows about the change `id`, which would have made `revision`.
fn find_evidence(value: &Value, id: &Identity, revision: u64) -> Evidence {
    let Ok(head) = serde_json::from_value::<Head>(value.clone()) else {
        return Evidence::Inconclusive;
    };
    let steps = &head.recent;
    if steps.iter().any(|step| step.change.id == id.as_str()) {
        return Evidence::Applied;
    }
    let is_listed = steps.iter().any(|step| step.revision == revision);
    if is_listed || head.revision < revision {
        return Evidence::NotApplied;
    }
    Evidence::Inconclusive
}

fn differences(old: &Files, new: &Files) -> Vec<Difference> {
    let names = old
        .keys()
        .chain(new.keys().filter(|n| !old.contains_key(*n)));
    let mut found: Vec<_> = names
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| difference(name, old.get(name), new.get(name)))
        .collect();
    found.sort_by(|a, b| a.file.cmp(&b.file));
    found
}

fn difference(name: &Arc<str>, old: Option<&Arc<str>>, new: Option<&Arc<str>>) -> Difference {
    let kind = match (old, new) {
        (None, _) => Kind::Added,
        (_, None) => Kind::Removed,
        _ => Kind::Changed,
    };
    let (old, new) = (old.map_or("", |t| t), new.map_or("", |t| t));
    let text = similar::TextDiff::from_lines(old, new)
        .unified_diff()
        .header(&format!("platform/{name}"), &format!("folder/{name}"))
        .to_string();
    Difference {
        file: name.clone(),
        kind,
        text: text.into(),
    }
}
