//! Fingerprints of requests, by which hosts recognize a request that is sent again.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of the body that are hashed where it is forwarded before it has been read whole.
pub const HASHED_BODY_BYTES: usize = 64 << 10;

/// Digest of the parts of a request that its target receives. The request can't be recovered from
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// The parts of a request that are hashed. Parts that change with each attempt, such as its
/// identity and its deadline, are left out.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// Host name of the requested site.
    pub site: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Client account that sent the request.
    pub account: &'a str,
    /// Object that the request concerns.
    pub object: &'a str,
    /// The body, or the first [`HASHED_BODY_BYTES`] bytes of a longer one.
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
            // The length prefix keeps adjacent parts apart.
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
