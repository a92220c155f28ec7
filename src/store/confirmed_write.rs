//! What became of a write whose answer was lost.
//!
//! Each value carries the identity of the write that made it. A writer without an answer reads the
//! object back: its own identity means that the write took effect. While the object stands at the
//! version that the write asked for, the write may still be on its way, so reading alone decides
//! nothing; it is sent again under the same condition, and the platform lets at most one of the two
//! take effect. Once the object has moved on, the condition can never hold again.

use std::fmt;
use std::sync::Arc;

use rand::Rng;
use serde::Serialize;
use serde_json::Value;

use super::client::{Condition, Error, Versioned, Written};
use super::guarded_client::GuardedClient;
use super::retry::RetryPolicy;

/// The identity of one write: 128 random bits in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Identity(Arc<str>);

impl Identity {
    /// Draws an identity.
    pub fn new(rng: &mut impl Rng) -> Self {
        let (high, low) = (rng.next_u64(), rng.next_u64());
        Self(format!("{high:016x}{low:016x}").into())
    }

    /// The identity as it stands in values.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a value tells of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The write took effect.
    Mine,
    /// The write has not taken effect, or has been overwritten by one that need not know of it.
    Other,
    /// The value no longer tells: too much was written since.
    Unclear,
}

/// What a reading tells of a write without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect.
    Mine,
    /// It is not in force and can never be.
    Lost,
    /// It may still take effect.
    Open,
    /// It can no longer take effect, but whether it did is not told.
    Unclear,
}

/// Judges a write under `condition` by the object's version (none if absent) and what its value
/// tells. Versions never come again, so a version other than the one asked for is final; a lower
/// one is a stale reading.
pub fn judge(condition: Condition, found: Option<u64>, evidence: Evidence) -> Verdict {
    if evidence == Evidence::Mine {
        return Verdict::Mine;
    }
    let moved = match (condition, found) {
        (Condition::Absent, None) => false,
        (Condition::Version(asked), Some(version)) => version > asked,
        (Condition::Absent, Some(_)) | (Condition::Version(_), None) => true,
    };
    match (moved, evidence) {
        (false, _) => Verdict::Open,
        (true, Evidence::Unclear) => Verdict::Unclear,
        (true, _) => Verdict::Lost,
    }
}

/// How a write ended.
#[derive(Debug)]
pub enum Outcome {
    /// It took effect; for a value that others have built on since, the version is theirs.
    Mine(Written),
    /// Another write came first; with the object as it is now, none if it was deleted.
    Lost(Option<Versioned<Value>>),
    /// It can no longer be told from the object, which is as given.
    Unclear(Option<Versioned<Value>>),
    /// The platform could not be asked: the write may have taken effect and still may.
    Unknown(Error),
}

/// Writes an object and finds out what became of the write. `evidence` reads the write's identity
/// in a value.
///
/// # Errors
///
/// A failure after which the write surely had no effect.
pub fn put<T: Serialize>(
    guard: &GuardedClient,
    key: &str,
    value: &T,
    condition: Condition,
    evidence: impl Fn(&Value) -> Evidence,
    retry: &mut RetryPolicy,
) -> Result<Outcome, Error> {
    let mut doubt = false;
    // Readings that work in between must not make the number of writes unbounded.
    let mut writes = retry.renewed();
    loop {
        let failure = match guard.put(key, value, condition) {
            Ok(written) => return Ok(Outcome::Mine(written)),
            Err(e) => e,
        };
        doubt |= matches!(failure, Error::Uncertain { .. });
        match failure {
            Error::Unsent { .. } if !doubt => {
                writes.spend(failure)?;
                continue;
            }
            Error::Conflict { .. } => {}
            _ if !doubt => return Err(failure),
            _ => {}
        }
        let found = match retry.insist(|| guard.get(key)) {
            Ok(found) => found,
            Err(e) => return unknown(doubt, e),
        };
        let told = found
            .as_ref()
            .map_or(Evidence::Other, |found| evidence(&found.value));
        let version = found.as_ref().map(|found| found.version);
        match judge(condition, version, told) {
            Verdict::Mine => {
                let version = version.unwrap_or_default();
                return Ok(Outcome::Mine(Written { version }));
            }
            Verdict::Lost => return Ok(Outcome::Lost(found)),
            Verdict::Unclear => return Ok(Outcome::Unclear(found)),
            Verdict::Open => {
                if let Err(e) = writes.spend(failure) {
                    return unknown(doubt, e);
                }
            }
        }
    }
}

/// How a write ends that is given up after `error`.
fn unknown(doubt: bool, error: Error) -> Result<Outcome, Error> {
    if doubt {
        return Ok(Outcome::Unknown(error));
    }
    Err(error)
}
