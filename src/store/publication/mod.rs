//! The configuration on the platform: revisions of a folder of files.
//!
//! `config/head` names the revision in force, its change and the hash of each file; it alone is
//! updated, on condition of its version, so that one update is one revision. Texts are kept by
//! their hashes at `config/file/SHA256`, past revisions at `config/history/REVISION-ID`; both are
//! written before the head that needs them and harm nothing when they are left over.
//!
//! An operator's changes are found against a [`Base`]: what the folder was derived from. Changes by
//! others since then stay, unless they are to the same files, which is a conflict.

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
pub use error::{Clash, Error};
pub use fetch::{fetch, Fetched};

/// Texts of a folder's files, by their names.
pub type Files = BTreeMap<Arc<str>, Arc<str>>;

/// The key of the head.
pub const HEAD: &str = "config/head";
/// Changes that the head tells of.
const RECENT: usize = 32;
/// File names that the head's recent changes list together, beyond which the oldest are left out.
const RECENT_NAMES: usize = 2_000;
/// Longest author or note in the head, in characters; the rest is cut off.
const MAX_NOTE: usize = 500;
/// Lost races after which a publication gives up.
const MAX_RACES: u32 = 200;
/// Garbage is collected after each such number of revisions.
const COLLECT_EVERY: u64 = 16;

/// Whether a folder that was never pulled may undo what it does not know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undo {
    /// Files that it lacks, or holds in a text that an earlier revision had, are an error.
    Refuse,
    /// The folder is the whole truth: files that it lacks are removed, older texts come back.
    Allow,
}

/// What a folder was derived from.
#[derive(Clone, Debug)]
pub enum Base {
    /// What its marker says, see [`marker`].
    Pulled(Marker),
    /// It has no marker: the revision in force when the publication begins.
    Head(Undo),
}

/// Who publishes, and why.
#[derive(Clone, Debug)]
pub struct Signature {
    /// The operator.
    pub author: Arc<str>,
    /// The reason.
    pub note: Arc<str>,
    /// The operator's clock.
    pub time: SystemTime,
}

/// Whether a publication made a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It did.
    New,
    /// The revision in force has this content already.
    Unchanged,
}

/// How a publication learned that it is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The platform said so.
    Received,
    /// The platform's answer was lost; its identity was found in what the platform holds.
    Settled,
}

/// A publication that is in force.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The revision it made, or the one in force.
    pub revision: u64,
    /// Whether it made a revision.
    pub effect: Effect,
    /// How it learned of that.
    pub answer: Answer,
    /// The files that it changed.
    pub files: Vec<Arc<str>>,
    /// What the folder is now derived from: to be written as its marker.
    pub marker: Marker,
}

/// How a file differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The platform has no such file.
    Added,
    /// The folder has no such file.
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

/// The operators' side: publishes and reads revisions.
#[derive(Clone, Debug)]
pub struct Publication {
    client: GuardedClient,
    retry: RetryPolicy,
}

/// What a publication wants the folder to be, and from what it changed it.
struct Wanted {
    files: Files,
    hashes: Hashes,
    base: Hashes,
}

impl Publication {
    /// Publishes through `client`.
    pub fn new(client: GuardedClient) -> Self {
        Self {
            client,
            retry: RetryPolicy::default(),
        }
    }

    /// Sets how long each operation tries while the platform fails.
    pub fn with_retry(mut self, retry: RetryPolicy) -> Self {
        self.retry = retry;
        self
    }

    /// Publishes `files` as one revision. Changes of others to other files stay, and `check` judges
    /// the merged whole before each try.
    ///
    /// # Errors
    ///
    /// After any error but [`Error::Unsettled`] nothing was published.
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
            Base::Head(undo) => self.head_base(&hashes, *undo, retry)?,
        };
        let wanted = Wanted {
            files: files.clone(),
            hashes,
            base,
        };
        self.publish(&wanted, signature, check, retry)
    }

    /// Publishes the content of an earlier revision as a new one. What others publish meanwhile
    /// to other files stays.
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
        let head = self.head(retry)?.ok_or(Error::NoRevision(revision))?;
        let past = history::find(&self.client, &head.value, revision, retry)?;
        let wanted = Wanted {
            files: self.texts(&past.files, &Files::new(), retry)?,
            hashes: past.files,
            base: head.value.files,
        };
        self.publish(&wanted, signature, check, retry)
    }

    /// Reads the revision in force; none before the first.
    ///
    /// # Errors
    ///
    /// As [`fetch()`].
    pub fn pull(&self) -> Result<Option<Fetched>, Error> {
        let mut tries = self.retry.clone();
        loop {
            let retry = &mut self.retry.clone();
            match fetch::with_retry(&self.client, &Fetched::default(), retry) {
                // The revision went out of use between the reading of the head and of its texts.
                Err(e @ Error::Missing(_)) => tries.wait_after(e)?,
                other => return other,
            }
        }
    }

    /// The changes in force, newest first, as far as they are kept.
    ///
    /// # Errors
    ///
    /// [`Error::Store`].
    pub fn history(&self) -> Result<Vec<Step>, Error> {
        let retry = &mut self.retry.clone();
        let Some(head) = self.head(retry)? else {
            return Ok(Vec::new());
        };
        let entries = history::list(&self.client, retry)?;
        let mut steps = head.value.recent;
        if let Some(oldest) = steps.last() {
            let older = history::chain(oldest, &entries);
            steps.extend(older.into_iter().skip(1));
        }
        Ok(steps)
    }

    /// Where `files` differ from the revision in force.
    ///
    /// # Errors
    ///
    /// As [`Publication::pull`].
    pub fn diff(&self, files: &Files) -> Result<Vec<Difference>, Error> {
        let head = self.pull()?.unwrap_or_default();
        Ok(differences(&head.files, files))
    }

    /// Removes revisions beyond [`garbage::KEPT`] and texts that nothing needs. Publications do so
    /// now and then by themselves. Returns the number of objects removed.
    ///
    /// # Errors
    ///
    /// [`Error::Store`].
    pub fn collect(&self) -> Result<usize, Error> {
        let retry = &mut self.retry.clone();
        match self.head(retry)? {
            Some(head) => garbage::collect(&self.client, &head, retry),
            None => Ok(0),
        }
    }

    fn head(&self, retry: &mut RetryPolicy) -> Result<Option<Versioned<Head>>, Error> {
        let found = retry.retry_outages(|| self.client.get(HEAD))?;
        Ok(found.map(Versioned::deserialize).transpose()?)
    }

    /// The base of a folder without a marker.
    fn head_base(
        &self,
        ours: &Hashes,
        undo: Undo,
        retry: &mut RetryPolicy,
    ) -> Result<Hashes, Error> {
        let Some(head) = self.head(retry)? else {
            return Ok(Hashes::new());
        };
        let base = head.value.files;
        if undo == Undo::Allow || base == *ours {
            return Ok(base);
        }
        let entries = history::list(&self.client, retry)?;
        let undone: Vec<String> = merge::differing(&base, ours)
            .into_iter()
            .filter(|name| base.contains_key(*name) && is_past(name, ours, &entries))
            .map(str::to_owned)
            .collect();
        if undone.is_empty() {
            return Ok(base);
        }
        Err(Error::Unpulled(undone))
    }

    fn publish<E: std::fmt::Display>(
        &self,
        wanted: &Wanted,
        signature: &Signature,
        check: impl Fn(&Files) -> Result<(), E>,
        retry: &mut RetryPolicy,
    ) -> Result<Applied, Error> {
        let id = Identity::new(&mut rand::rng());
        let change = change(&id, signature);
        let marker = |revision| Marker {
            revision,
            files: wanted.hashes.clone(),
        };
        for _ in 0..MAX_RACES {
            let head = self.head(retry)?;
            let theirs = head.as_ref().map(|head| &head.value);
            let files = rebase(wanted, theirs)?;
            if let Some(same) = theirs.filter(|head| head.files == files) {
                return Ok(Applied {
                    revision: same.revision,
                    effect: Effect::Unchanged,
                    answer: Answer::Received,
                    files: Vec::new(),
                    marker: marker(same.revision),
                });
            }
            let texts = self.texts(&files, &wanted.files, retry)?;
            check(&texts).map_err(|e| Error::Check(e.to_string().into()))?;
            let next = next_head(theirs, change.clone(), files);
            let replaced = self.replace(head.as_ref(), &next, &texts, &id, retry)?;
            let Some(answer) = replaced else {
                continue;
            };
            self.collect_sometimes(next.revision);
            let changed = next.recent.first().map(|step| &step.files[..]);
            return Ok(Applied {
                revision: next.revision,
                effect: Effect::New,
                answer,
                files: changed
                    .unwrap_or_default()
                    .iter()
                    .map(|name| name.as_str().into())
                    .collect(),
                marker: marker(next.revision),
            });
        }
        Err(Error::Crowded(MAX_RACES))
    }

    /// Writes what `next` needs, and then `next` in place of `head`. Tells how it learned that it
    /// did; none if another writer was faster.
    fn replace(
        &self,
        head: Option<&Versioned<Head>>,
        next: &Head,
        texts: &Files,
        id: &Identity,
        retry: &mut RetryPolicy,
    ) -> Result<Option<Answer>, Error> {
        history::put(&self.client, &past(head, next), retry)?;
        let old = head.map(|head| &head.value.files);
        let fence = head.map_or(0, |head| head.version);
        for (name, hash) in &next.files {
            let is_held = old.is_some_and(|old| old.values().any(|held| held == hash));
            if let (false, Some(text)) = (is_held, texts.get(name.as_str())) {
                text::touch(&self.client, name, text, fence, retry)?;
            }
        }
        let condition = head.map_or(Condition::Absent, |head| Condition::Version(head.version));
        let answer = Cell::new(Answer::Received);
        let evidence = |value: &Value| {
            // Only a write without an answer looks for evidence.
            answer.set(Answer::Settled);
            evidence(value, id, next.revision)
        };
        let outcome = confirmed_write::put(&self.client, HEAD, next, condition, evidence, retry)?;
        match outcome {
            Outcome::Applied(_) => Ok(Some(answer.get())),
            Outcome::Superseded(_) => Ok(None),
            Outcome::Inconclusive(found) => {
                let is_mine = self.is_in_chain(found, id, next.revision, retry)?;
                Ok(is_mine.then_some(Answer::Settled))
            }
            Outcome::Unknown(cause) => Err(unsettled(id, &cause)),
        }
    }

    /// Whether `revision` was made by the change `id`, told by the history.
    fn is_in_chain(
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
        match history::find(&self.client, &head, revision, retry) {
            Ok(past) => Ok(past.step.change.id == id.as_str()),
            Err(e) => Err(unsettled(id, &e)),
        }
    }

    /// Collects garbage after some revisions. The publication is in force whatever comes of it.
    fn collect_sometimes(&self, revision: u64) {
        if !revision.is_multiple_of(COLLECT_EVERY) {
            return;
        }
        if let Err(e) = self.collect() {
            spdlog::warn!("store: garbage is left: {e}");
        }
    }

    /// The texts of `hashes`, from `at_hand` where they are the same.
    fn texts(
        &self,
        hashes: &Hashes,
        at_hand: &Files,
        retry: &mut RetryPolicy,
    ) -> Result<Files, Error> {
        fetch::texts(&self.client, hashes, at_hand, retry)
    }
}

fn unsettled(id: &Identity, cause: &dyn std::fmt::Display) -> Error {
    Error::Unsettled {
        id: id.clone(),
        cause: cause.to_string().into(),
    }
}

/// Whether `ours` lacks a file, or holds it in a text that it had in a past revision.
fn is_past(name: &str, ours: &Hashes, entries: &[history::Entry]) -> bool {
    let Some(hash) = ours.get(name) else {
        return true;
    };
    entries
        .iter()
        .any(|entry| entry.past.files.get(name) == Some(hash))
}

fn rebase(wanted: &Wanted, head: Option<&Head>) -> Result<Hashes, Error> {
    let none = Hashes::new();
    let theirs = head.map_or(&none, |head| &head.files);
    merge::merge(&wanted.base, &wanted.hashes, theirs).map_err(|names| {
        let clashes = names.into_iter().map(|file| clash(&file, head)).collect();
        Error::Conflict(clashes)
    })
}

fn clash(file: &str, head: Option<&Head>) -> Clash {
    let is_other = |step: &&Step| step.files.iter().any(|name| name == file);
    Clash {
        file: file.into(),
        other: head.and_then(|head| head.recent.iter().find(is_other).cloned()),
    }
}

fn change(id: &Identity, signature: &Signature) -> Change {
    let since = signature.time.duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    Change {
        id: id.to_string(),
        author: signature.author.chars().take(MAX_NOTE).collect(),
        time: u64::try_from(millis).unwrap_or(u64::MAX),
        note: signature.note.chars().take(MAX_NOTE).collect(),
    }
}

fn next_head(head: Option<&Head>, change: Change, files: Hashes) -> Head {
    let none = Hashes::new();
    let old = head.map_or(&none, |head| &head.files);
    let step = Step {
        revision: head.map_or(0, |head| head.revision) + 1,
        change: change.clone(),
        files: merge::differing(old, &files)
            .into_iter()
            .map(str::to_owned)
            .collect(),
    };
    let revision = step.revision;
    let older = head.map_or(&[][..], |head| &head.recent);
    let mut recent: Vec<Step> = std::iter::once(&step).chain(older).cloned().collect();
    recent.truncate(RECENT);
    while recent.len() > 1 && names(&recent) > RECENT_NAMES {
        recent.pop();
    }
    Head {
        revision,
        change,
        files,
        recent,
    }
}

fn names(steps: &[Step]) -> usize {
    steps.iter().map(|step| step.files.len()).sum()
}

fn past(head: Option<&Versioned<Head>>, next: &Head) -> Past {
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

/// What a head tells of the change `id`, which would have made `revision`.
fn evidence(value: &Value, id: &Identity, revision: u64) -> Evidence {
    let Ok(head) = serde_json::from_value::<Head>(value.clone()) else {
        return Evidence::Inconclusive;
    };
    let steps = &head.recent;
    if steps.iter().any(|step| step.change.id == id.as_str()) {
        return Evidence::Applied;
    }
    let is_told = steps.iter().any(|step| step.revision == revision);
    if is_told || head.revision < revision {
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
