//! Writes whose result is confirmed by reading the object back when the answer was lost.
//!
//! Each value carries the identity of the write that made it. A writer without an answer reads the
//! object back: its own identity means that the write took effect. While the object is at the
//! version that the condition requires, the write may still be in transit, so reading alone proves
//! nothing; it is sent again under the same condition, and the platform lets at most one of the two
//! take effect. Once the object has a later version, the condition can never hold again.

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
    /// Draws a random identity.
    pub fn new(rng: &mut impl Rng) -> Self {
        let (high, low) = (rng.next_u64(), rng.next_u64());
        Self(format!("{high:016x}{low:016x}").into())
    }

    /// The identity in the form that is stored in values.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What an object's value shows about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The write took effect.
    Applied,
    /// The write did not take effect, or was overwritten by a write that does not build on it.
    NotApplied,
    /// The value no longer shows it, because too many writes followed.
    Inconclusive,
}

/// Status of a write without an answer, as determined by reading the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// It took effect.
    Applied,
    /// Its value is not in force and can no longer come into force.
    Superseded,
    /// It may still take effect.
    Pending,
    /// It can no longer take effect, but the value does not show whether it did.
    Inconclusive,
}

/// Determines the status of a write under `condition` from the object's version (none if absent) and
/// the evidence in its value. Versions are never reused, so a version above the required one is
/// final; a lower one is a stale read.
pub fn classify(condition: Condition, found: Option<u64>, evidence: Evidence) -> WriteStatus {
    if evidence == Evidence::Applied {
        return WriteStatus::Applied;
    }
    let is_past_condition = match (condition, found) {
        (Condition::Absent, None) => false,
        (Condition::Version(required), Some(version)) => version > required,
        (Condition::Absent, Some(_)) | (Condition::Version(_), None) => true,
    };
    match (is_past_condition, evidence) {
        (false, _) => WriteStatus::Pending,
        (true, Evidence::Inconclusive) => WriteStatus::Inconclusive,
        (true, _) => WriteStatus::Superseded,
    }
}

/// The result of a confirmed write.
#[derive(Debug)]
pub enum Outcome {
    /// The write took effect. If other writes have built on its value since, the version is that of
    /// the last of them.
    Applied(Written),
    /// Another write changed the object first. Holds the current object, none if it was deleted.
    Superseded(Option<Versioned<Value>>),
    /// The current object, given here, does not show whether the write took effect.
    Inconclusive(Option<Versioned<Value>>),
    /// The retries ran out: the write may have taken effect or may still do so.
    Unknown(Error),
}

/// Writes an object and, if the answer is lost, determines whether the write took effect. `evidence`
/// looks for the write's identity in a value.
///
/// # Errors
///
/// A failure after which the write certainly had no effect.
pub fn put<T: Serialize>(
    client: &GuardedClient,
    key: &str,
    value: &T,
    condition: Condition,
    evidence: impl Fn(&Value) -> Evidence,
    retry: &mut RetryPolicy,
) -> Result<Outcome, Error> {
    let mut may_have_applied = false;
    // Writes have their own count of failures, because successful reads in between reset that of
    // `retry` and would make the number of writes unbounded.
    let mut write_retries = retry.renewed();
    loop {
        let failure = match client.put(key, value, condition) {
            Ok(written) => return Ok(Outcome::Applied(written)),
            Err(e) => e,
        };
        may_have_applied |= matches!(failure, Error::Uncertain { .. });
        match failure {
            Error::Unsent { .. } if !may_have_applied => {
                write_retries.wait_after(failure)?;
                continue;
            }
            Error::Conflict { .. } => {}
            _ if !may_have_applied => return Err(failure),
            _ => {}
        }
        let found = match retry.retry_outages(|| client.get(key)) {
            Ok(found) => found,
            Err(e) => return give_up(may_have_applied, e),
        };
        let found_evidence = found
            .as_ref()
            .map_or(Evidence::NotApplied, |found| evidence(&found.value));
        let version = found.as_ref().map(|found| found.version);
        match classify(condition, version, found_evidence) {
            WriteStatus::Applied => {
                let version = version.unwrap_or_default();
                return Ok(Outcome::Applied(Written { version }));
            }
            WriteStatus::Superseded => return Ok(Outcome::Superseded(found)),
            WriteStatus::Inconclusive => return Ok(Outcome::Inconclusive(found)),
            WriteStatus::Pending => {
                if let Err(e) = write_retries.wait_after(failure) {
                    return give_up(may_have_applied, e);
                }
            }
        }
    }
}

/// The result of a write that is abandoned after `error`.
fn give_up(may_have_applied: bool, error: Error) -> Result<Outcome, Error> {
    if may_have_applied {
        return Ok(Outcome::Unknown(error));
    }
    Err(error)
}
