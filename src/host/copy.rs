//! What a new follower lacks of what the store holds, as messages of a feed.

use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use tokio_tungstenite::tungstenite::Bytes;

use super::feed::{write, Message};
use super::{now, Host};
use crate::control::replica::Update;
use crate::port::Kind;

/// Objects in one message of a copy. Each follower's connection buffers one message, not a copy.
const PART: usize = 256;
/// How long a whole copy is used for further followers. Cold targets are told to be cold for so much longer.
const KEPT: Duration = Duration::from_millis(500);

/// A whole copy of a kind, as messages that all followers share that are sent it.
pub(super) struct Copy {
    made: Instant,
    revision: u64,
    messages: Weak<[Bytes]>,
}

/// The messages that bring a follower up to date that has a kind as it was at a revision.
pub(super) fn difference(host: &Host, kind: Kind, revision: u64) -> Rc<[Bytes]> {
    let core = host.core.borrow();
    let outage = core.presence.outage(now());
    let update = core.replica.changes_since(now(), kind, revision, outage);
    update.map_or_else(Default::default, |update| {
        messages(update, core.replica.digest(kind))
    })
}

/// The messages of a whole copy of a kind. Followers that come at the same time get the same ones: after a common start they are
/// many, and each copy is as large as all targets together.
pub(super) fn whole(host: &Host, kind: Kind) -> Rc<[Bytes]> {
    let core = host.core.borrow();
    let Some(revision) = core.replica.revision(kind) else {
        return Rc::default();
    };
    let copies = &mut host.followers.borrow_mut().copies;
    let kept = copies.get(&kind).filter(|copy| {
        copy.revision == revision && now().saturating_duration_since(copy.made) < KEPT
    });
    if let Some(messages) = kept.and_then(|copy| copy.messages.upgrade()) {
        return messages;
    }
    let outage = core.presence.outage(now());
    let Some(update) = core.replica.snapshot(now(), kind, outage) else {
        return Rc::default();
    };
    let messages = messages(update, core.replica.digest(kind));
    let copy = Copy {
        made: now(),
        revision,
        messages: Rc::downgrade(&messages),
    };
    copies.insert(kind, copy);
    messages
}

/// An update in parts, and the digest of what it leads to.
fn messages(mut update: Update, digest: u64) -> Rc<[Bytes]> {
    let (kind, revision) = (update.kind, update.to);
    let mut messages = Vec::new();
    while update.entries.len() > PART {
        let rest = update.entries.len() - PART;
        messages.push(write(&Message::Part(update.entries.split_off(rest))));
    }
    messages.push(write(&Message::Update(update)));
    messages.push(write(&Message::Digest(kind, revision, digest)));
    messages.into()
}
