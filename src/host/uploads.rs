//! Requests whose body is passed on to a target while it arrives.
//!
//! Each takes a slot of its target until its caller has sent all of it. If a request is refused for
//! lack of a slot, one that waits for its own caller is given up.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use super::body::{Body, BodyError};
use super::{now, Host};
use crate::budget::{Account, Shortage};

/// How long a caller may pause before its slot is given to others: some retransmissions of a lost
/// packet, also between regions.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Identifies an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key(u64);

/// One request.
struct Upload {
    service: Arc<str>,
    account: Account,
    /// Since when the next part of the body is awaited.
    waiting_since: Rc<Cell<Option<Instant>>>,
}

/// The requests whose body is being passed on.
#[derive(Default)]
pub(crate) struct Uploads {
    uploads: RefCell<BTreeMap<Key, Upload>>,
    next: Cell<u64>,
}

impl Uploads {
    /// Gives up the request for `service` that has waited longest for its caller, if that is too long.
    /// Returns whether there was one.
    pub(crate) fn give_up_one(&self, service: &str) -> bool {
        let uploads = self.uploads.borrow();
        let waiting = uploads.values().filter_map(|upload| {
            let since = upload.waiting_since.get()?;
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
}

/// A body that is passed on, which records whether it waits for its sender.
struct Tracked {
    body: Body,
    host: Rc<Host>,
    key: Key,
    waiting_since: Rc<Cell<Option<Instant>>>,
}

/// Records `body`, that of a request for `service`, as one that is passed on while it arrives.
pub(crate) fn track(host: &Rc<Host>, service: &Arc<str>, account: &Account, body: Body) -> Body {
    let uploads = &host.uploads;
    let key = Key(uploads.next.get());
    uploads.next.set(key.0 + 1);
    let waiting_since = Rc::new(Cell::new(None));
    let upload = Upload {
        service: service.clone(),
        account: account.clone(),
        waiting_since: waiting_since.clone(),
    };
    uploads.uploads.borrow_mut().insert(key, upload);
    Box::pin(Tracked {
        body,
        host: host.clone(),
        key,
        waiting_since,
    })
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.host.uploads.uploads.borrow_mut().remove(&self.key);
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = self.body.as_mut().poll_frame(cx);
        let since = self.waiting_since.get().unwrap_or_else(now);
        self.waiting_since.set(frame.is_pending().then_some(since));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
