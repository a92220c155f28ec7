//! Removes the revisions older than the latest [`KEPT_REVISIONS`] and the texts that only they refer to.
//!
//! A writer reads the head (at version V), writes its history object and every text that the head does
//! not refer to yet, so that each has a version above V, and then replaces the head on condition that it
//! is still at V. A collector reads the head (at version H), the kept history and then the version of a
//! text. It deletes the text only if that version is below H and has not changed since. Therefore no
//! text that a writer needs is lost:
//!
//! - If the writer read the head at H or later, it then writes the text with a version above H, which
//!   the collector does not delete. If the deletion comes first, the writer writes the text again.
//! - If the writer read the head before H, its update of the head fails and it starts again.
//! - Texts that the head or a kept revision refers to are never candidates. The listing of the history
//!   may be out of date, so the collector follows the chain of parents and removes nothing if one is
//!   missing.
//!
//! Candidates are the texts of the revisions being removed. A history object is written before the
//! texts that it refers to, so texts left over by an interrupted writer become candidates too.

use std::collections::BTreeSet;

use super::history::{self, Entry};
use super::merge::Hashes;
use super::{text, Error, Head};
use crate::store::client::{self, Versioned};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// Number of latest revisions that are kept, including the one in force.
pub const KEPT_REVISIONS: u64 = 200;

/// Removes old history objects and the texts that neither `head` nor a kept revision refers to.
/// Returns the number of objects removed.
pub(super) fn collect(
    client: &GuardedClient,
    head: &Versioned<Head>,
    retry: &mut RetryPolicy,
) -> Result<usize, Error> {
    let revision = head.value.revision;
    let listed = history::list(client, retry)?;
    let (old, kept): (Vec<Entry>, Vec<Entry>) = listed
        .into_iter()
        .partition(|entry| entry.revision + KEPT_REVISIONS <= revision);
    if old.is_empty() || !is_complete(&head.value, &kept) {
        return Ok(0);
    }
    let needed = needed_hashes(&head.value.files, &kept);
    let mut removed = 0;
    for hash in removable_hashes(&old, &needed) {
        removed += remove_text(client, &hash, head.version, retry)?;
    }
    // Removed after the texts, so that the next collection after an interrupted one finds the same
    // candidates.
    for entry in &old {
        removed += remove_object(client, &entry.key, entry.version, retry)?;
    }
    Ok(removed)
}

/// Whether `kept` contains every revision to keep, so that all hashes they refer to are known.
fn is_complete(head: &Head, kept: &[Entry]) -> bool {
    let chain_length = head
        .recent
        .first()
        .map_or(0, |newest| history::follow_parents(newest, kept).len());
    chain_length as u64 == head.revision.min(KEPT_REVISIONS)
}

fn needed_hashes(files: &Hashes, kept: &[Entry]) -> BTreeSet<String> {
    kept.iter()
        .flat_map(|entry| entry.past.files.values())
        .chain(files.values())
        .cloned()
        .collect()
}

fn removable_hashes(old: &[Entry], needed: &BTreeSet<String>) -> BTreeSet<String> {
    old.iter()
        .flat_map(|entry| entry.past.files.values())
        .filter(|hash| !needed.contains(*hash))
        .cloned()
        .collect()
}

fn remove_text(
    client: &GuardedClient,
    hash: &str,
    head_version: u64,
    retry: &mut RetryPolicy,
) -> Result<usize, Error> {
    let key = text::key(hash);
    match retry.retry_outages(|| client.get(&key))? {
        Some(found) if found.version < head_version => {
            remove_object(client, &key, found.version, retry)
        }
        _ => Ok(0),
    }
}

fn remove_object(
    client: &GuardedClient,
    key: &str,
    version: u64,
    retry: &mut RetryPolicy,
) -> Result<usize, Error> {
    match retry.retry_outages(|| client.delete(key, version)) {
        Ok(()) => Ok(1),
        Err(client::Error::Conflict { .. }) => Ok(0),
        Err(e) => Err(e.into()),
    }
}
