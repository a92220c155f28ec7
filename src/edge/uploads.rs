//! Requests whose body is passed on to a target while it arrives.
//!
//! Each takes a slot of its target until its caller has sent all of it. If a request is refused for
//! lack of a slot, one that waits for its own caller is given up.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use super::body::{Body, BodyError};
use super::now;
use crate::budget::{Account, Shortage};

/// How long a caller may pause before its slot is given to others: some retransmissions of a lost
/// packet, also between regions.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Identifies an upload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Key(u64);

/// One request.
struct Upload {
    service: Arc<str>,
    account: Account,
    /// Since when the next part of the body is awaited.
    waiting_since: Option<Instant>,
}

#[derive(Default)]
struct Table {
    uploads: BTreeMap<Key, Upload>,
    next: Key,
}

/// The requests whose body is being passed on. Copies share them.
#[derive(Clone, Default)]
pub(crate) struct Uploads {
    table: Arc<Mutex<Table>>,
}

impl Uploads {
    /// Adds a request for `service`, until the returned entry is dropped.
    pub(crate) fn add(&self, service: &Arc<str>, account: &Account) -> Entry {
        let mut table = self.table();
        let key = table.next;
        table.next = Key(key.0 + 1);
        let upload = Upload {
            service: service.clone(),
            account: account.clone(),
            waiting_since: None,
        };
        table.uploads.insert(key, upload);
        Entry {
            uploads: self.clone(),
            key,
        }
    }

    /// Gives up the request for `service` that has waited longest for its caller, if that is too long.
    /// Returns whether there was one.
    pub(crate) fn give_up_one(&self, service: &str) -> bool {
        let table = self.table();
        let waiting = table.uploads.values().filter_map(|upload| {
            let since = upload.waiting_since?;
            let is_usable = &*upload.service == service && !upload.account.is_closing();
            is_usable.then_some((since, upload))
        });
        let longest = waiting.min_by_key(|(since, _)| *since);
        match longest {
            Some((since, upload)) if now().saturating_duration_since(since) > MAX_PAUSE => {
                upload.account.close(Shortage::Slots);
                true
            }
            _ => false,
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One of the requests in [`Uploads`].
pub(crate) struct Entry {
    uploads: Uploads,
    key: Key,
}

impl Entry {
    /// Records whether the next part of the body is awaited.
    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        if let Some(upload) = self.uploads.table().uploads.get_mut(&self.key) {
            let since = upload.waiting_since.unwrap_or_else(now);
            upload.waiting_since = is_waiting.then_some(since);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.uploads.table().uploads.remove(&self.key);
    }
}

/// A body that is passed on, which records whether it waits for its sender.
struct Tracked {
    body: Body,
    entry: Entry,
}

/// Has `body` record in `entry` whether it waits for its sender.
pub(crate) fn track(body: Body, entry: Entry) -> Body {
    Box::pin(Tracked { body, entry })
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.body.as_mut().poll_frame(cx);
        self.entry.set_waiting(frame.is_pending());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
