//! Reads the revision in force, for hosts. Only texts that are not known yet are read.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::merge::Hashes;
use super::{text, Change, Error, Files, Head, HEAD_KEY};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// A revision with its texts. The default is revision 0, which stands for no revision.
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

/// Reads the revision in force if it is newer than `known`. Does not retry; a host fetches again later.
///
/// # Errors
///
/// [`Error::Stale`] and [`Error::Forked`] if the platform returns a revision that must not be used;
/// [`Error::TextMissing`] if a newer revision replaced it in the meantime and its texts were removed.
pub fn fetch(client: &GuardedClient, known: &Fetched) -> Result<Option<Fetched>, Error> {
    fetch_with_retry(client, known, &mut RetryPolicy::none())
}

pub(super) fn fetch_with_retry(
    client: &GuardedClient,
    known: &Fetched,
    retry: &mut RetryPolicy,
) -> Result<Option<Fetched>, Error> {
    let found = retry.retry_outages(|| client.get(HEAD_KEY))?;
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
    let files = read_texts(client, &head.files, &known.files, retry)?;
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

/// Returns the texts of `hashes`. Reads each text at most once, and none that is in `known`.
pub(super) fn read_texts(
    client: &GuardedClient,
    hashes: &Hashes,
    known: &Files,
    retry: &mut RetryPolicy,
) -> Result<Files, Error> {
    let mut text_by_hash: BTreeMap<String, Arc<str>> = known
        .values()
        .map(|text| (text::hash(text), text.clone()))
        .collect();
    let mut files = Files::new();
    for (name, hash) in hashes {
        let text = match text_by_hash.get(hash) {
            Some(text) => text.clone(),
            None => text::read(client, hash, retry)?,
        };
        text_by_hash.insert(hash.clone(), text.clone());
        files.insert(name.as_str().into(), text);
    }
    Ok(files)
}
