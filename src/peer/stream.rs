//! Relayed requests, for threads that may block.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::channel::{Channel, Progress};
use super::error::{Dispatch, StreamError};
use super::frame::{self, Frame};
use super::link::Link;

/// A header's name and value.
pub type Header = (Arc<str>, Arc<str>);

/// The head of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// The request's identifier.
    pub request: Arc<str>,
    /// The service asked for.
    pub service: Arc<str>,
    /// The traffic class.
    pub class: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// Path and query as the target gets them.
    pub path: Arc<str>,
    /// The headers to pass on.
    pub headers: Vec<Header>,
    /// Length of the body, if known.
    pub length: Option<u64>,
    /// Time left.
    pub deadline: Duration,
    /// Rank in a full queue, 0 (dropped first) to 9.
    pub priority: u8,
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// The ticket that binds the key to a host.
    pub ticket: Option<Arc<str>>,
    /// The region that the caller is in.
    pub locality: Option<Arc<str>>,
    /// The caller's client block.
    pub block: Option<Arc<str>>,
}

impl Open {
    /// A request without headers, body or caller, of middle priority.
    pub fn new(
        request: impl Into<Arc<str>>,
        service: impl Into<Arc<str>>,
        method: impl Into<Arc<str>>,
        path: impl Into<Arc<str>>,
        deadline: Duration,
    ) -> Open {
        Open {
            request: request.into(),
            service: service.into(),
            class: "".into(),
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            length: Some(0),
            deadline,
            priority: 5,
            key: None,
            ticket: None,
            locality: None,
            block: None,
        }
    }

    /// The same with a body; of unknown length if none is given.
    pub fn with_length(mut self, length: Option<u64>) -> Open {
        self.length = length;
        self
    }

    pub(crate) fn to_frame(&self, left: Duration) -> Frame {
        let text = |text: &Option<Arc<str>>| text.as_deref().map(str::to_owned);
        Frame::Open(frame::Open {
            request: self.request.to_string(),
            service: self.service.to_string(),
            class: self.class.to_string(),
            method: self.method.to_string(),
            path: self.path.to_string(),
            headers: headers_to_frame(&self.headers),
            length: self.length,
            deadline_ms: millis(left),
            priority: self.priority,
            key: text(&self.key),
            ticket: text(&self.ticket),
            locality: text(&self.locality),
            block: text(&self.block),
        })
    }

    pub(crate) fn from_frame(open: frame::Open) -> Open {
        Open {
            request: open.request.into(),
            service: open.service.into(),
            class: open.class.into(),
            method: open.method.into(),
            path: open.path.into(),
            headers: headers_from_frame(open.headers),
            length: open.length,
            deadline: Duration::from_millis(open.deadline_ms),
            priority: open.priority,
            key: open.key.map(Arc::from),
            ticket: open.ticket.map(Arc::from),
            locality: open.locality.map(Arc::from),
            block: open.block.map(Arc::from),
        }
    }
}

/// How the other host replied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A target answered; the body follows.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers to pass on.
        headers: Vec<Header>,
        /// Length of the body, if known.
        length: Option<u64>,
    },
    /// The request did not run.
    Refused {
        /// Why, as a short word.
        reason: Arc<str>,
        /// When to come back.
        retry_after: Duration,
    },
    /// Whether the request ran is unknown.
    Unknown {
        /// Why, as a short word.
        reason: Arc<str>,
    },
}

impl Reply {
    pub(crate) fn from_head(head: frame::Head) -> Reply {
        Reply::Head {
            status: head.status,
            headers: headers_from_frame(head.headers),
            length: head.length,
        }
    }

    pub(crate) fn from_refused(refused: frame::Refused) -> Reply {
        Reply::Refused {
            reason: refused.reason.into(),
            retry_after: Duration::from_millis(refused.retry_after_ms),
        }
    }

    pub(crate) fn from_unknown(unknown: frame::Unknown) -> Reply {
        Reply::Unknown {
            reason: unknown.reason.into(),
        }
    }
}

/// What both ends of a stream share.
struct Handle {
    link: Arc<Link>,
    channel: Arc<Channel>,
    deadline: Instant,
}

impl Handle {
    fn new(link: Arc<Link>, channel: Arc<Channel>, left: Duration) -> Handle {
        Handle {
            link,
            channel,
            deadline: Instant::now() + left,
        }
    }

    fn write(&self, bytes: &[u8]) -> Result<(), StreamError> {
        let grant = |wish| self.link.grant(&self.channel, wish);
        let written = self.channel.write(bytes, self.deadline, grant);
        self.settle(written)
    }

    fn finish(&self) -> Result<(), StreamError> {
        let wish = self.settle(self.channel.finish())?;
        self.link.grant(&self.channel, wish);
        Ok(())
    }

    fn read(&self, buffer: &mut [u8]) -> Result<usize, StreamError> {
        let (count, credit) = self.settle(self.channel.read(buffer, self.deadline))?;
        if let Some(frame) = credit {
            self.link.push(&frame);
        }
        Ok(count)
    }

    /// Gives the stream up when its deadline has passed or a body has the wrong length.
    fn settle<T>(&self, result: Result<T, StreamError>) -> Result<T, StreamError> {
        match result {
            Err(StreamError::Timeout) if Instant::now() >= self.deadline => {
                self.link.abandon(&self.channel, StreamError::Deadline);
                Err(StreamError::Deadline)
            }
            Err(error @ StreamError::Length { .. }) => {
                self.link.abandon(&self.channel, error.clone());
                Err(error)
            }
            result => result,
        }
    }
}

/// The caller's end of a relayed request. Dropping it before the reply is complete cancels the request.
///
/// Every call ends at the request's deadline at the latest, with [`StreamError::Deadline`].
pub struct Stream {
    handle: Handle,
}

impl Stream {
    pub(crate) fn new(link: Arc<Link>, channel: Arc<Channel>, left: Duration) -> Stream {
        Stream {
            handle: Handle::new(link, channel, left),
        }
    }

    /// The host that the request was given to.
    pub fn host(&self) -> &Arc<str> {
        &self.handle.link.host
    }

    /// The incarnation of that host.
    pub fn incarnation(&self) -> u64 {
        self.handle.link.incarnation
    }

    /// Whether the request may have reached the other host.
    pub fn dispatch(&self) -> Dispatch {
        self.handle.channel.dispatch()
    }

    /// Sends a part of the body; blocks while the other host does not take more.
    ///
    /// [`StreamError::Stopped`] tells that the reply is complete already.
    pub fn write_body(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.handle.write(bytes)
    }

    /// Marks the body as complete. Needed also when it is empty.
    pub fn finish_body(&mut self) -> Result<(), StreamError> {
        self.handle.finish()
    }

    /// Waits for the start of the reply.
    pub fn read_head(&mut self, timeout: Duration) -> Result<Reply, StreamError> {
        let until = self.handle.deadline.min(Instant::now() + timeout);
        self.handle.settle(self.handle.channel.read_reply(until))
    }

    /// Reads from the body of the reply; 0 at its end.
    pub fn read_body(&mut self, buffer: &mut [u8]) -> Result<usize, StreamError> {
        self.handle.read(buffer)
    }

    /// Gives the request up. Tells whether it may have reached the other host.
    pub fn cancel(&mut self) -> Dispatch {
        let handle = &self.handle;
        handle.link.abandon(&handle.channel, StreamError::Cancelled)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// The replying end of a relayed request.
///
/// Dropping it without a reply tells the caller that the outcome is unknown; dropping it within a
/// reply tells that the reply was cut.
pub struct Incoming {
    /// The request.
    pub open: Open,
    handle: Handle,
}

impl Incoming {
    pub(crate) fn new(link: Arc<Link>, channel: Arc<Channel>, open: Open) -> Incoming {
        Incoming {
            handle: Handle::new(link, channel, open.deadline),
            open,
        }
    }

    /// The host that relays the request.
    pub fn host(&self) -> &Arc<str> {
        &self.handle.link.host
    }

    /// The availability zone of that host.
    pub fn zone(&self) -> &Arc<str> {
        &self.handle.link.zone
    }

    /// When the request's time is over, on this host's clock.
    pub fn deadline(&self) -> Instant {
        self.handle.deadline
    }

    /// Reads from the body of the request; 0 at its end.
    pub fn read_body(&mut self, buffer: &mut [u8]) -> Result<usize, StreamError> {
        self.handle.read(buffer)
    }

    /// Starts the reply.
    pub fn reply_head(
        &mut self,
        status: u16,
        headers: &[Header],
        length: Option<u64>,
    ) -> Result<(), StreamError> {
        let handle = &self.handle;
        let head = frame::encode(&Frame::Head(frame::Head {
            stream: handle.channel.number(),
            status,
            headers: headers_to_frame(headers),
            length,
        }));
        if head.len() > handle.link.peer_frame() {
            return Err(StreamError::Oversize(head.len()));
        }
        let wish = handle.channel.put_head(head, length)?;
        handle.link.grant(&handle.channel, wish);
        Ok(())
    }

    /// Sends a part of the reply's body; blocks while the other host does not take more.
    pub fn write_body(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.handle.write(bytes)
    }

    /// Completes the reply.
    pub fn finish(self) -> Result<(), StreamError> {
        self.handle.finish()
    }

    /// Replies that the request did not run and will not.
    pub fn refuse(self, reason: &str, retry_after: Duration) -> Result<(), StreamError> {
        self.end_with(&Frame::Refused(frame::Refused {
            stream: self.handle.channel.number(),
            reason: reason.to_owned(),
            retry_after_ms: millis(retry_after),
        }))
    }

    /// Replies that the request may have run.
    pub fn unknown(self, reason: &str) -> Result<(), StreamError> {
        self.end_with(&self.unknown_frame(reason))
    }

    /// Whether the caller gave the request up, or the link to it is lost.
    pub fn is_cancelled(&self) -> bool {
        self.handle.channel.is_failed()
    }

    /// Calls a function, on a thread of the mesh, when the caller gives the request up or the link
    /// is lost; at once if that has happened. The function must not block.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) {
        self.handle.channel.on_failure(Box::new(hook));
    }

    fn unknown_frame(&self, reason: &str) -> Frame {
        Frame::Unknown(frame::Unknown {
            stream: self.handle.channel.number(),
            reason: reason.to_owned(),
        })
    }

    fn end_with(&self, frame: &Frame) -> Result<(), StreamError> {
        let handle = &self.handle;
        let wish = handle.channel.put_last(frame::encode(frame))?;
        handle.link.grant(&handle.channel, wish);
        Ok(())
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        let handle = &self.handle;
        match handle.channel.progress() {
            Progress::None => {
                let _ = self.end_with(&self.unknown_frame("dropped"));
            }
            Progress::Begun => {
                handle.link.abandon(&handle.channel, StreamError::Cut);
            }
            Progress::Whole => {}
        }
    }
}

fn headers_to_frame(headers: &[Header]) -> Vec<frame::Header> {
    headers
        .iter()
        .map(|(name, value)| frame::Header((name.to_string(), value.to_string())))
        .collect()
}

fn headers_from_frame(headers: Vec<frame::Header>) -> Vec<Header> {
    headers
        .into_iter()
        .map(|frame::Header((name, value))| (name.into(), value.into()))
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
