//! Past revisions, kept at `config/history/REVISION-ID`.
//!
//! A history object is written before the head that makes its revision, so it may be left over from
//! a lost race. Those in force are the ones that the head's chain of parents leads to.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Error, Head, Past, Step};
use crate::store::client::{self, Condition};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// Where past revisions are kept.
const PREFIX: &str = "config/history/";

/// A history object.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) key: Arc<str>,
    pub(super) version: u64,
    pub(super) revision: u64,
    pub(super) past: Past,
}

fn key(revision: u64, id: &str) -> String {
    format!("{PREFIX}{revision:010}-{id}")
}

/// Writes a history object. One that is there already is the same: the key holds the change's
/// identity and its place.
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

/// Lists all history objects, with those left over, in order of revisions. The listing may lag.
pub(super) fn list(client: &GuardedClient, retry: &mut RetryPolicy) -> Result<Vec<Entry>, Error> {
    let listing = retry.retry_outages(|| client.list(PREFIX))?;
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

/// The past of one change.
fn get(
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

/// The revision `revision` in the chain that `head` ends.
pub(super) fn find(
    client: &GuardedClient,
    head: &Head,
    revision: u64,
    retry: &mut RetryPolicy,
) -> Result<Past, Error> {
    let gone = || Error::NoRevision(revision);
    let mut recent = head.recent.iter().filter(|step| step.revision >= revision);
    // The nearest to the wanted one among the recent ones; the way on is from parent to parent.
    let start = recent.next_back().ok_or_else(gone)?;
    let (mut at, mut id) = (start.revision, start.change.id.clone());
    loop {
        let past = get(client, at, &id, retry)?.ok_or_else(gone)?;
        if at == revision {
            return Ok(past);
        }
        (at, id) = (at - 1, past.parent.ok_or_else(gone)?);
    }
}

/// The steps that lead to `newest`, newest first, as far as they are in `entries`; `newest` too.
pub(super) fn chain(newest: &Step, entries: &[Entry]) -> Vec<Step> {
    let by_id: BTreeMap<(u64, &str), &Past> = entries
        .iter()
        .map(|entry| ((entry.revision, &*entry.past.step.change.id), &entry.past))
        .collect();
    let mut steps = Vec::new();
    let mut next = Some((newest.revision, &*newest.change.id));
    while let Some(past) = next.and_then(|at| by_id.get(&at)) {
        steps.push(past.step.clone());
        next = past
            .parent
            .as_deref()
            .map(|id| (past.step.revision - 1, id));
    }
    steps
}
