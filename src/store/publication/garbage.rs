//! Removes revisions beyond [`KEPT`] and the texts that only they refer to.
//!
//! A writer reads the head (at version V), then writes its history object and every text that the
//! head does not refer to yet, each in a version above V, and then replaces the head on condition
//! that it is still at V. A collector reads the head (at version H) and the kept history, then the
//! text's version, and deletes the text only on condition that it is still at that version, which
//! must be below H. So a text that a writer still needs survives:
//!
//! - If the writer read the head at H or later, it wrote the text in a version above H after that,
//!   which the collector spares; a deletion that comes earlier is made good by the writer's write.
//! - If it read the head before H, its update of the head fails and it begins anew.
//! - Texts that the head refers to, or a kept revision, are never candidates. The history's listing
//!   may lag, so the collector follows the chain of parents and stops when a link is missing.
//!
//! Candidates are the texts of the revisions being removed. A history object is written before the
//! texts it refers to, so what an interrupted writer left behind becomes a candidate too.

use std::collections::BTreeSet;

use super::history::{self, Entry};
use super::merge::Hashes;
use super::{text, Error, Head};
use crate::store::client::{self, Versioned};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// Revisions that are kept, with the one in force.
pub const KEPT: u64 = 200;

/// Removes what `head` and the kept revisions do not need. Returns the number of objects removed.
pub(super) fn collect(
    client: &GuardedClient,
    head: &Versioned<Head>,
    retry: &mut RetryPolicy,
) -> Result<usize, Error> {
    let revision = head.value.revision;
    let listed = history::list(client, retry)?;
    let (old, kept): (Vec<Entry>, Vec<Entry>) = listed
        .into_iter()
        .partition(|entry| entry.revision + KEPT <= revision);
    if old.is_empty() || !is_whole(&head.value, &kept) {
        return Ok(0);
    }
    let needed = needed(&head.value.files, &kept);
    let mut removed = 0;
    for candidate in candidates(&old, &needed) {
        removed += remove_text(client, &candidate, head.version, retry)?;
    }
    // Last, so that an interrupted collection finds its candidates again.
    for entry in &old {
        removed += remove(client, &entry.key, entry.version, retry)?;
    }
    Ok(removed)
}

/// Whether `kept` holds each revision that must be kept, so that all that they need is known.
fn is_whole(head: &Head, kept: &[Entry]) -> bool {
    let found = head
        .recent
        .first()
        .map_or(0, |newest| history::chain(newest, kept).len());
    found as u64 == head.revision.min(KEPT)
}

fn needed(files: &Hashes, kept: &[Entry]) -> BTreeSet<String> {
    kept.iter()
        .flat_map(|entry| entry.past.files.values())
        .chain(files.values())
        .cloned()
        .collect()
}

fn candidates(old: &[Entry], needed: &BTreeSet<String>) -> BTreeSet<String> {
    old.iter()
        .flat_map(|entry| entry.past.files.values())
        .filter(|hash| !needed.contains(*hash))
        .cloned()
        .collect()
}

fn remove_text(
    client: &GuardedClient,
    hash: &str,
    head: u64,
    retry: &mut RetryPolicy,
) -> Result<usize, Error> {
    let key = text::key(hash);
    match retry.retry_outages(|| client.get(&key))? {
        Some(found) if found.version < head => remove(client, &key, found.version, retry),
        _ => Ok(0),
    }
}

fn remove(
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
