//! Texts of files: hashes, names, and the objects that hold them.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::merge::Hashes;
use super::{Error, Files, MAX_RACES};
use crate::border::objects as border;
use crate::store::client::{self, Condition};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// Where texts are kept, by their hashes.
const PREFIX: &str = "config/file/";
/// Longest name of a file, in bytes.
const MAX_NAME: usize = 255;

/// SHA-256 of a text, in hexadecimal.
pub fn hash(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The hashes of a folder's files.
pub fn hashes(files: &Files) -> Hashes {
    files
        .iter()
        .map(|(name, text)| (name.to_string(), hash(text)))
        .collect()
}

/// Whether a file of that name can be written into a folder without leaving it or hiding in it.
pub(super) fn check_name(name: &str) -> Result<(), Error> {
    let fits = !name.is_empty() && name.len() <= MAX_NAME && !name.starts_with('.');
    if fits && !name.contains(['/', '\\', '\0', '\n']) {
        return Ok(());
    }
    Err(Error::Name(name.into()))
}

/// The key of a text.
pub(super) fn key(hash: &str) -> String {
    format!("{PREFIX}{hash}")
}

/// Reads a text.
pub(super) fn get(
    client: &GuardedClient,
    hash_: &str,
    retry: &mut RetryPolicy,
) -> Result<Arc<str>, Error> {
    let key = key(hash_);
    let found = retry
        .retry_outages(|| client.get(&key))?
        .ok_or_else(|| Error::Missing(hash_.into()))?
        .deserialize::<border::File>()?;
    if hash(&found.value.text) != hash_ {
        return Err(Error::Store(client::Error::Malformed {
            key: key.into(),
            reason: "the text does not have this hash".into(),
        }));
    }
    Ok(found.value.text.into())
}

/// Makes sure that the platform holds a text in a version above `fence`, so that no collection of
/// garbage that began before removes it (see [`super::garbage`]).
pub(super) fn touch(
    client: &GuardedClient,
    name: &str,
    text: &str,
    fence: u64,
    retry: &mut RetryPolicy,
) -> Result<(), Error> {
    let key = key(&hash(text));
    let value = border::File { text: text.into() };
    let mut condition = Condition::Absent;
    for _ in 0..MAX_RACES {
        match retry.retry_outages(|| client.put(&key, &value, condition)) {
            Ok(_) => return Ok(()),
            Err(client::Error::Conflict { .. }) => {}
            Err(client::Error::TooLarge { size, .. }) => {
                return Err(Error::TooLarge {
                    name: name.into(),
                    size,
                })
            }
            Err(e) => return Err(e.into()),
        }
        condition = match retry.retry_outages(|| client.get(&key))? {
            Some(found) if found.version > fence => return Ok(()),
            Some(found) => Condition::Version(found.version),
            None => Condition::Absent,
        };
    }
    Err(Error::Crowded(MAX_RACES))
}
