//! Client accounts: whose request it is, and whether it may run.
//!
//! A caller's key is kept and passed between hosts as a digest only. What a request without a valid key is told depends on how
//! new the host's configuration surely is: a key that is unknown here may have been added, and one that is known here may have
//! been withdrawn.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The bytes of a digest.
const LENGTH: usize = 32;

/// The SHA-256 digest of a caller's key. The key itself can't be got back from it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "Bytes", try_from = "Bytes")]
pub struct Key([u8; LENGTH]);

/// Bytes of another length than a digest has.
#[derive(Debug, thiserror::Error)]
#[error("{0} bytes are no digest of a key")]
pub struct Length(usize);

impl Key {
    /// The digest of a key as a caller sends it.
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }
}

impl From<Key> for Bytes {
    fn from(key: Key) -> Self {
        Self::copy_from_slice(&key.0)
    }
}

impl TryFrom<Bytes> for Key {
    type Error = Length;

    fn try_from(bytes: Bytes) -> Result<Self, Length> {
        let digest = <[u8; LENGTH]>::try_from(&bytes[..]);
        digest.map(Self).map_err(|_| Length(bytes.len()))
    }
}

impl fmt::Debug for Key {
    /// Leaves the digest out: with few possible keys it would tell the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

/// How much an account may ask of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once beyond that.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name, which targets are told.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: BTreeSet<Key>,
    /// How much it may ask; without one it is not limited.
    pub quota: Option<Quota>,
    /// Its rank, 0 first, which goes before that of a route.
    pub priority: Option<u32>,
    /// The only regions that may serve it; any, if empty.
    pub homes: BTreeSet<Arc<str>>,
}

/// Why accounts can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// A key has to tell whose request it is.
    #[error("{one} and {other} have a key in common")]
    SharedKey {
        /// One of the accounts.
        one: Arc<str>,
        /// Another one.
        other: Arc<str>,
    },
    /// A quota is no number of requests.
    #[error("{account}: the quota is not above zero")]
    Quota {
        /// The account.
        account: Arc<str>,
    },
}

/// What a request says of its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is not one key.
    Unreadable,
    /// A key.
    Key(Key),
}

/// How new the configuration of a host surely is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// As new as a decision needs.
    Current,
    /// It may be an old one, and the deployment lets hosts go on with what they know.
    Old,
    /// It may be an old one, and no key may be used by it.
    Expired,
}

/// Who sends a request, as far as that matters to its target.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The deployment has no accounts.
    Unnamed,
    /// Nobody in particular, on a route that is open to all.
    Public,
    /// An account.
    Account(Arc<Account>),
}

impl Caller {
    /// The account, if the request is one's.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unnamed | Self::Public => None,
        }
    }
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No configuration that may be in force allows it.
    NoAccount,
    /// Another host may know better.
    Unsure,
}

/// All accounts of a configuration, to be found by their keys.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key: BTreeMap<Key, Arc<Account>>,
}

impl Accounts {
    /// Accounts that were checked.
    pub fn new(accounts: &[Arc<Account>]) -> Self {
        let by_key = accounts.iter().flat_map(|account| {
            let keys = account.keys.iter();
            keys.map(|key| (*key, account.clone()))
        });
        Self {
            by_key: by_key.collect(),
        }
    }

    /// Who sends a request with `credential`, on a route that is `open` to all or not.
    ///
    /// # Errors
    ///
    /// The request may not run.
    pub fn caller(
        &self,
        credential: Credential,
        open: bool,
        knowledge: Knowledge,
    ) -> Result<Caller, Denial> {
        let account = match credential {
            Credential::Key(key) => self.by_key.get(&key).cloned(),
            Credential::Missing | Credential::Unreadable => None,
        };
        match (account, knowledge) {
            (account, _) if open => Ok(account.map_or(Caller::Public, Caller::Account)),
            (_, Knowledge::Expired) => Err(Denial::Unsure),
            (Some(account), _) => Ok(Caller::Account(account)),
            (None, Knowledge::Current) => Err(Denial::NoAccount),
            (None, Knowledge::Old) => Err(Denial::Unsure),
        }
    }
}

/// Checks that accounts can be told apart and that their quotas are numbers of requests.
///
/// # Errors
///
/// The first fault that is found.
pub fn check(accounts: &[Arc<Account>]) -> Result<(), Fault> {
    let mut holders: BTreeMap<Key, &Arc<str>> = BTreeMap::new();
    for account in accounts {
        let sound = |number: f64| number.is_finite() && number >= 0.0;
        let quota = account.quota;
        if quota.is_some_and(|quota| !sound(quota.burst) || !sound(quota.rate) || quota.rate == 0.0)
        {
            return Err(Fault::Quota {
                account: account.name.clone(),
            });
        }
        for key in &account.keys {
            if let Some(other) = holders.insert(*key, &account.name) {
                return Err(Fault::SharedKey {
                    one: other.clone(),
                    other: account.name.clone(),
                });
            }
        }
    }
    Ok(())
}

/// The regions in which a request may run: those that both its route and its account allow. An empty set allows any.
///
/// # Errors
///
/// There is none.
pub fn homes(
    route: &BTreeSet<Arc<str>>,
    account: &BTreeSet<Arc<str>>,
) -> Result<BTreeSet<Arc<str>>, NoHome> {
    if account.is_empty() {
        return Ok(route.clone());
    }
    if route.is_empty() {
        return Ok(account.clone());
    }
    let both: BTreeSet<_> = route.intersection(account).cloned().collect();
    if both.is_empty() {
        return Err(NoHome);
    }
    Ok(both)
}

/// No region may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no region may serve both the route and the account")]
pub struct NoHome;
