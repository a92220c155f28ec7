//! Requests that a target may not have read yet, for the log.
//!
//! A target that stands still reads what its kernel has acknowledged once it continues, also after
//! it has left. Nothing else connects such a request with the departure: it was given up before, or
//! answered by another target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Fleet;
use crate::inventory::TargetKey;

/// Maximum requests of one target that are remembered.
const MAX_UNREAD: usize = 16;

/// A request that was given up at a target, which has sent no answer since.
#[derive(Clone, Debug)]
pub struct Unread {
    /// The request's ID.
    pub id: Arc<str>,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether this host already counted the target as silent.
    pub is_to_silent: bool,
    /// Whether the target's kernel had acknowledged nothing of it.
    pub is_undelivered: bool,
}

/// What a target may not have read when it left.
#[derive(Debug)]
pub struct Unanswered {
    /// The last requests that were given up since its last answer.
    pub requests: Vec<Unread>,
    /// Time since the target's last answer, if there was one.
    pub heard: Option<Duration>,
}

impl Fleet {
    /// Records that a request was given up at a target.
    pub fn record_unread(&mut self, key: TargetKey, unread: Unread) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        if member.unread.len() >= MAX_UNREAD {
            member.unread.remove(0);
        }
        member.unread.push(unread);
    }

    /// Returns what a target may not have read, once, if there is anything.
    pub fn take_unread(&mut self, now: Instant, id: &str) -> Option<Unanswered> {
        let key = self.key(id)?;
        let member = self.members.get_mut(&key)?;
        let heard_at = member.heard_at;
        let requests = std::mem::take(&mut member.unread);
        (!requests.is_empty()).then(|| Unanswered {
            requests,
            heard: heard_at.map(|at| now.saturating_duration_since(at)),
        })
    }
}
