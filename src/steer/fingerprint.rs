//! What stays the same of a request when it comes again, at whichever host.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The bytes of a body that count where it is passed on before it has been read whole.
pub const PREFIX: usize = 64 << 10;

/// A digest of what a target gets of a request. Nothing of the request can be read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// What a fingerprint is taken of. What changes with each attempt, as its identity and its deadline, is left out.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The name of the site that is asked.
    pub site: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The client account whose request it is.
    pub account: &'a str,
    /// The object that it concerns.
    pub object: &'a str,
    /// The body, or the first [`PREFIX`] bytes of a longer one.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The digest of `content`.
    pub fn new(content: &Content<'_>) -> Self {
        let mut hash = Xxh3::new();
        let parts = [
            content.method.as_bytes(),
            content.site.as_bytes(),
            content.path.as_bytes(),
            content.account.as_bytes(),
            content.object.as_bytes(),
            content.body,
        ];
        for part in parts {
            // With its length, so that no byte can pass from one part to the next.
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
