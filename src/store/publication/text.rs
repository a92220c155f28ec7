//! Texts of configuration files: their hashes, their names, and the objects that store them.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::merge::Hashes;
use super::{Error, Files, MAX_LOST_RACES};
use crate::border::objects as border;
use crate::store::client::{self, Condition};
use crate::store::guarded_client::GuardedClient;
use crate::store::retry::RetryPolicy;

/// Prefix of the keys of texts; the hash follows.
const KEY_PREFIX: &str = "config/file/";
/// Maximum length of a file name, in bytes.
const MAX_NAME_BYTES: usize = 255;

/// Returns the SHA-256 of a text, in hexadecimal.
pub fn hash(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the hash of each file of a folder.
pub fn hashes(files: &Files) -> Hashes {
    files
        .iter()
        .map(|(name, text)| (name.to_string(), hash(text)))
        .collect()
}

/// Rejects names whose files would be outside the folder or hidden in it, and names that are empty or
/// too long.
pub(super) fn check_name(name: &str) -> Result<(), Error> {
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.starts_with('.');
    if is_valid && !name.contains(['/', '\\', '\0', '\n']) {
        return Ok(());
    }
    Err(Error::InvalidName(name.into()))
}

/// Returns the key of the object that stores the text with this hash.
pub(super) fn key(hash: &str) -> String {
    format!("{KEY_PREFIX}{hash}")
}

/// Reads a text and verifies its hash.
pub(super) fn read(
    client: &GuardedClient,
    expected: &str,
    retry: &mut RetryPolicy,
) -> Result<Arc<str>, Error> {
    let key = key(expected);
    let found = retry
        .retry_outages(|| client.get(&key))?
        .ok_or_else(|| Error::TextMissing(expected.into()))?
        .deserialize::<border::File>()?;
    if hash(&found.value.text) != expected {
        return Err(Error::Store(client::Error::Malformed {
            key: key.into(),
            reason: "the text does not have this hash".into(),
        }));
    }
    Ok(found.value.text.into())
}

/// Ensures that the platform stores a text with a version above `after_version`, so that no garbage
/// collection that began before removes it (see [`super::garbage`]).
pub(super) fn touch(
    client: &GuardedClient,
    name: &str,
    text: &str,
    after_version: u64,
    retry: &mut RetryPolicy,
) -> Result<(), Error> {
    let key = key(&hash(text));
    let value = border::File { text: text.into() };
    let mut condition = Condition::Absent;
    for _ in 0..MAX_LOST_RACES {
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
            Some(found) if found.version > after_version => return Ok(()),
            Some(found) => Condition::Version(found.version),
            None => Condition::Absent,
        };
    }
    Err(Error::LostRaces(MAX_LOST_RACES))
}
