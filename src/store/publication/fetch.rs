//! The hosts' side: reads the revision in force, and of it only what is not known yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::merge::Hashes;
use super::{text, Change, Error, Files, Head, HEAD};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// A revision with its texts. The default is revision 0, before the first.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The revision.
    pub revision: u64,
    /// The change that made it.
    pub change: Change,
    /// The files' texts.
    pub files: Files,
}

impl Default for Fetched {
    fn default() -> Self {
        Self {
            revision: 0,
            change: Change {
                id: String::new(),
                author: String::new(),
                time: 0,
                note: String::new(),
            },
            files: Files::new(),
        }
    }
}

/// Reads the revision in force if it is newer than `known`. Tries once; a host asks again later.
///
/// # Errors
///
/// [`Error::Stale`] and [`Error::Forked`] if the platform tells a revision that must not be used;
/// [`Error::Missing`] if a newer revision took its place meanwhile.
pub fn fetch(client: &GuardedClient, known: &Fetched) -> Result<Option<Fetched>, Error> {
    with_retry(client, known, &mut RetryPolicy::none())
}

pub(super) fn with_retry(
    client: &GuardedClient,
    known: &Fetched,
    retry: &mut RetryPolicy,
) -> Result<Option<Fetched>, Error> {
    let found = retry.retry_outages(|| client.get(HEAD))?;
    let Some(head) = found.map(|found| found.deserialize::<Head>()).transpose()? else {
        return missing_head(known);
    };
    let head = head.value;
    if !is_newer(&head, known)? {
        return Ok(None);
    }
    head.files
        .keys()
        .try_for_each(|name| text::check_name(name))?;
    let files = texts(client, &head.files, &known.files, retry)?;
    Ok(Some(Fetched {
        revision: head.revision,
        change: head.change,
        files,
    }))
}

fn missing_head(known: &Fetched) -> Result<Option<Fetched>, Error> {
    if known.revision == 0 {
        return Ok(None);
    }
    Err(Error::Stale {
        known: known.revision,
        found: 0,
    })
}

fn is_newer(head: &Head, known: &Fetched) -> Result<bool, Error> {
    if head.revision < known.revision {
        return Err(Error::Stale {
            known: known.revision,
            found: head.revision,
        });
    }
    if head.revision > known.revision {
        return Ok(true);
    }
    if head.change.id != known.change.id {
        return Err(Error::Forked {
            revision: known.revision,
            known: known.change.id.as_str().into(),
            found: head.change.id.as_str().into(),
        });
    }
    Ok(false)
}

/// The texts of `hashes`, each read at most once, and not if it is among `at_hand`.
pub(super) fn texts(
    client: &GuardedClient,
    hashes: &Hashes,
    at_hand: &Files,
    retry: &mut RetryPolicy,
) -> Result<Files, Error> {
    let mut held: BTreeMap<String, Arc<str>> = at_hand
        .values()
        .map(|text| (text::hash(text), text.clone()))
        .collect();
    let mut files = Files::new();
    for (name, hash) in hashes {
        let text = match held.get(hash) {
            Some(text) => text.clone(),
            None => text::get(client, hash, retry)?,
        };
        held.insert(hash.clone(), text.clone());
        files.insert(name.as_str().into(), text);
    }
    Ok(files)
}
