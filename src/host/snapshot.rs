//! Encodes the objects that a new follower lacks as feed messages.

use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use tokio_tungstenite::tungstenite::Bytes;

use super::feed::{encode, Message};
use super::{now, Host};
use crate::control::replica::Update;
use crate::control::revision::Revision;
use crate::port::Kind;

/// Objects in one message of a copy. Each follower's connection buffers one message rather than the
/// full copy.
const OBJECTS_PER_MESSAGE: usize = 256;
/// How long an encoded copy is reused for further followers. They treat cold targets in it as cold
/// for up to this much longer.
const REUSE_FOR: Duration = Duration::from_millis(500);

/// An encoded full copy of a kind, shared by the followers that are receiving it.
pub(super) struct FullCopy {
    created_at: Instant,
    revision: Revision,
    messages: Weak<[Bytes]>,
}

/// Encodes the changes since the `revision` that a follower has of a kind.
pub(super) fn changes_since(host: &Host, kind: Kind, revision: u64) -> Rc<[Bytes]> {
    let core = host.core.borrow();
    let (outage, available_ms) = core.outage(now());
    let update = core.replica.changes_since(now(), kind, revision, outage);
    update.map_or_else(Default::default, |update| {
        let update = Update {
            available_ms,
            ..update
        };
        encode_update(update, core.replica.digest(kind))
    })
}

/// Encodes a full copy of a kind. Followers that connect at the same time share one encoding: after
/// a common start there are many of them, and each copy is as large as all targets together.
pub(super) fn full_copy(host: &Host, kind: Kind) -> Rc<[Bytes]> {
    let core = host.core.borrow();
    let Some(revision) = core.replica.revision(kind) else {
        return Rc::default();
    };
    let copies = &mut host.followers.borrow_mut().full_copies;
    let reusable = copies.get(&kind).filter(|copy| {
        copy.revision == revision && now().saturating_duration_since(copy.created_at) < REUSE_FOR
    });
    if let Some(messages) = reusable.and_then(|copy| copy.messages.upgrade()) {
        return messages;
    }
    let (outage, available_ms) = core.outage(now());
    let Some(update) = core.replica.snapshot(now(), kind, outage) else {
        return Rc::default();
    };
    let update = Update {
        available_ms,
        ..update
    };
    let messages = encode_update(update, core.replica.digest(kind));
    let copy = FullCopy {
        created_at: now(),
        revision,
        messages: Rc::downgrade(&messages),
    };
    copies.insert(kind, copy);
    messages
}

/// Encodes an update, split into parts, and the digest of the resulting state.
fn encode_update(mut update: Update, digest: u64) -> Rc<[Bytes]> {
    let (kind, revision) = (update.kind, update.to);
    let mut messages = Vec::new();
    while update.entries.len() > OBJECTS_PER_MESSAGE {
        let rest = update.entries.len() - OBJECTS_PER_MESSAGE;
        messages.push(encode(&Message::Part(update.entries.split_off(rest))));
    }
    messages.push(encode(&Message::Update(update)));
    messages.push(encode(&Message::Digest(kind, revision, digest)));
    messages.into()
}
