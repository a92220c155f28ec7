//! Client accounts: identification of callers by their keys.
//!
//! A caller's key is stored and passed between hosts only as a digest. The answer to a request
//! without a valid key depends on how recent the host's configuration is: a key that is unknown
//! here may have been added, and one that is known here may have been revoked.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's key. The key can't be recovered from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Error for bytes that do not have the length of a digest.
#[derive(Debug, thiserror::Error)]
#[error("{0} bytes are not a valid key digest")]
pub struct InvalidDigestLength(usize);

impl KeyDigest {
    /// Returns the digest of a key as a caller sends it.
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }
}

impl From<KeyDigest> for Bytes {
    fn from(key: KeyDigest) -> Self {
        Self::copy_from_slice(&key.0)
    }
}

impl TryFrom<Bytes> for KeyDigest {
    type Error = InvalidDigestLength;

    fn try_from(bytes: Bytes) -> Result<Self, InvalidDigestLength> {
        let digest = <[u8; DIGEST_BYTES]>::try_from(&bytes[..]);
        digest
            .map(Self)
            .map_err(|_| InvalidDigestLength(bytes.len()))
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest: if there are few possible keys, it would reveal the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

/// Limit on an account's requests at all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests in a burst beyond that rate.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name, which is sent to targets.
    pub name: Arc<str>,
    /// Digests of its keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Limit on its requests; not limited if absent.
    pub quota: Option<Quota>,
    /// Priority, which overrides that of a route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Regions that may serve its requests; any if empty.
    pub homes: BTreeSet<Arc<str>>,
}

/// Error in the accounts of a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AccountError {
    /// Two accounts have the same key, so it does not identify one of them.
    #[error("{one} and {other} have a key in common")]
    SharedKey {
        /// One of the accounts.
        one: Arc<str>,
        /// Another one.
        other: Arc<str>,
    },
    /// A quota is not a valid number of requests.
    #[error("account {account}: the quota needs a rate above zero and a burst of at least zero")]
    Quota {
        /// The account.
        account: Arc<str>,
    },
}

/// Credential of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request has no credential.
    #[default]
    Missing,
    /// The credential is not a single key.
    Unreadable,
    /// A key.
    Key(KeyDigest),
}

/// How recent the configuration of a host is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFreshness {
    /// Recent enough for any decision.
    Current,
    /// It may be outdated, and the deployment lets hosts continue with it.
    Stale,
    /// It may be outdated, and must not be used to accept keys or to name their accounts.
    Expired,
}

/// Caller of a request, as far as it matters to its target.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The deployment has no accounts.
    Unnamed,
    /// An unidentified caller, on a route that is open to all.
    Public,
    /// A caller on a route that is open to all. Its key was that of this account in a configuration
    /// that is too old to name the account.
    Unproved(Arc<Account>),
    /// A client account.
    Account(Arc<Account>),
}

impl Caller {
    /// Returns the account in whose name the request runs, if there is one.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unnamed | Self::Public | Self::Unproved(_) => None,
        }
    }

    /// Returns the regions that may serve the caller's requests; any if empty. Those of an account
    /// that is not proved apply as well, since it may still have the key.
    pub fn homes(&self) -> &BTreeSet<Arc<str>> {
        static ANY: BTreeSet<Arc<str>> = BTreeSet::new();
        match self {
            Self::Account(account) | Self::Unproved(account) => &account.homes,
            Self::Unnamed | Self::Public => &ANY,
        }
    }
}

/// Why a request must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No configuration that may be in force permits it.
    NoAccount,
    /// This host can't decide; another host may have a more recent configuration.
    Undecided,
}

/// All accounts of a configuration, indexed by their keys.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key: BTreeMap<KeyDigest, Arc<Account>>,
}

impl Accounts {
    /// Returns the index of accounts that were validated.
    pub fn new(accounts: &[Arc<Account>]) -> Self {
        let by_key = accounts.iter().flat_map(|account| {
            let keys = account.keys.iter();
            keys.map(|key| (*key, account.clone()))
        });
        Self {
            by_key: by_key.collect(),
        }
    }

    /// Returns the caller that sends a request with `credential`, on a route that is `open` to all
    /// or not.
    ///
    /// # Errors
    ///
    /// The request must not run.
    pub fn identify(
        &self,
        credential: Credential,
        open: bool,
        freshness: ConfigFreshness,
    ) -> Result<Caller, Denial> {
        let account = match credential {
            Credential::Key(key) => self.by_key.get(&key).cloned(),
            Credential::Missing | Credential::Unreadable => None,
        };
        match (account, freshness) {
            (None, _) if open => Ok(Caller::Public),
            (Some(account), ConfigFreshness::Expired) if open => Ok(Caller::Unproved(account)),
            (_, ConfigFreshness::Expired) => Err(Denial::Undecided),
            (Some(account), _) => Ok(Caller::Account(account)),
            (None, ConfigFreshness::Current) => Err(Denial::NoAccount),
            (None, ConfigFreshness::Stale) => Err(Denial::Undecided),
        }
    }
}

/// Checks that no two accounts share a key and that their quotas are valid numbers of requests.
///
/// # Errors
///
/// The first error found.
pub fn validate(accounts: &[Arc<Account>]) -> Result<(), AccountError> {
    let mut names_by_key: BTreeMap<KeyDigest, &Arc<str>> = BTreeMap::new();
    for account in accounts {
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        let quota = account.quota;
        if quota.is_some_and(|quota| {
            !is_valid(quota.burst) || !is_valid(quota.rate) || quota.rate == 0.0
        }) {
            return Err(AccountError::Quota {
                account: account.name.clone(),
            });
        }
        for key in &account.keys {
            if let Some(other) = names_by_key.insert(*key, &account.name) {
                return Err(AccountError::SharedKey {
                    one: other.clone(),
                    other: account.name.clone(),
                });
            }
        }
    }
    Ok(())
}

/// Returns the regions that may serve a request: those that both its route and its account allow.
/// An empty set allows any.
///
/// # Errors
///
/// No region is allowed by both.
pub fn allowed_regions(
    route: &BTreeSet<Arc<str>>,
    account: &BTreeSet<Arc<str>>,
) -> Result<BTreeSet<Arc<str>>, NoCommonRegion> {
    if account.is_empty() {
        return Ok(route.clone());
    }
    if route.is_empty() {
        return Ok(account.clone());
    }
    let common: BTreeSet<_> = route.intersection(account).cloned().collect();
    if common.is_empty() {
        return Err(NoCommonRegion);
    }
    Ok(common)
}

/// Error: the route and the account of a request have no region in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no region may serve both the route and the account")]
pub struct NoCommonRegion;
