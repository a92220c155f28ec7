//! The history: past revisions, stored at `config/history/REVISION-ID`.
//!
//! A history object is written before the head that puts its revision in force. If another writer
//! replaces the head first, the object is left over. The valid objects are those that the chain of
//! parents from the head leads to.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Error, Head, Past, Step};
use crate::store::client::{self, Condition};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// Prefix of the keys of history objects.
const KEY_PREFIX: &str = "config/history/";

/// A history object with its key and its version on the platform.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) key: Arc<str>,
    pub(super) version: u64,
    pub(super) revision: u64,
    pub(super) past: Past,
}

fn key(revision: u64, id: &str) -> String {
    format!("{KEY_PREFIX}{revision:010}-{id}")
}

/// Writes a history object. An object that already exists under its key is the same one, because the
/// key contains the revision and the change's identity.
pub(super) fn put(
    client: &GuardedClient,
    past: &Past,
    retry: &mut RetryPolicy,
) -> Result<(), Error> {
    let key = key(past.step.revision, &past.step.change.id);
    match retry.retry_outages(|| client.put(&key, past, Condition::Absent)) {
        Ok(_) | Err(client::Error::Conflict { .. }) => Ok(()),
        Err(e) => Err(e.into()),
    }
}

/// Lists all history objects in order of revisions, including those left over. The listing may be out
/// of date.
pub(super) fn list(client: &GuardedClient, retry: &mut RetryPolicy) -> Result<Vec<Entry>, Error> {
    let listing = retry.retry_outages(|| client.list(KEY_PREFIX))?;
    let mut entries = Vec::with_capacity(listing.objects.len());
    for object in listing.objects {
        let object = object.deserialize::<Past>()?;
        entries.push(Entry {
            key: object.key,
            version: object.version,
            revision: object.value.step.revision,
            past: object.value,
        });
    }
    Ok(entries)
}

/// Reads the history object of one change.
fn read(
    client: &GuardedClient,
    revision: u64,
    id: &str,
    retry: &mut RetryPolicy,
) -> Result<Option<Past>, Error> {
    let key = key(revision, id);
    let Some(found) = retry.retry_outages(|| client.get(&key))? else {
        return Ok(None);
    };
    Ok(Some(found.deserialize::<Past>()?.value))
}

/// Finds `revision` by following the chain of parents from `head`.
pub(super) fn find_revision(
    client: &GuardedClient,
    head: &Head,
    revision: u64,
    retry: &mut RetryPolicy,
) -> Result<Past, Error> {
    let not_found = || Error::NoRevision(revision);
    let mut recent = head.recent.iter().filter(|step| step.revision >= revision);
    // The oldest recent change that is not older than `revision`. From there on, each history object
    // is found by its child's `parent`.
    let start = recent.next_back().ok_or_else(not_found)?;
    let (mut current, mut id) = (start.revision, start.change.id.clone());
    loop {
        let past = read(client, current, &id, retry)?.ok_or_else(not_found)?;
        if current == revision {
            return Ok(past);
        }
        (current, id) = (current - 1, past.parent.ok_or_else(not_found)?);
    }
}

/// Returns `newest` and its ancestors, newest first, up to the first that is not in `entries`.
pub(super) fn follow_parents(newest: &Step, entries: &[Entry]) -> Vec<Step> {
    let by_id: BTreeMap<(u64, &str), &Past> = entries
        .iter()
        .map(|entry| ((entry.revision, &*entry.past.step.change.id), &entry.past))
        .collect();
    let mut steps = Vec::new();
    let mut next = Some((newest.revision, &*newest.change.id));
    while let Some(past) = next.and_then(|position| by_id.get(&position)) {
        steps.push(past.step.clone());
        next = past
            .parent
            .as_deref()
            .map(|id| (past.step.revision - 1, id));
    }
    steps
}
