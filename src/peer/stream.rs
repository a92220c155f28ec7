//! Blocking API of relayed requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::channel::{Channel, SendProgress};
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
    /// Path and query, sent to the target unchanged.
    pub path: Arc<str>,
    /// The headers to pass on.
    pub headers: Vec<Header>,
    /// Length of the body, if known.
    pub length: Option<u64>,
    /// Time left until the request's deadline.
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
    /// A request of middle priority, without headers, body or caller attributes.
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

    /// Adds a body; none stands for an unknown length.
    pub fn with_length(mut self, length: Option<u64>) -> Open {
        self.length = length;
        self
    }

    /// Builds the frame for a request that has the time `left`, on a link that is `link_age` old.
    pub(crate) fn to_frame(&self, left: Duration, link_age: Duration) -> Frame {
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
            queued_ms: Some(millis(link_age)),
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

/// The reply of the other host.
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
        /// The reason, as a short keyword.
        reason: Arc<str>,
        /// After which time the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// The reason, as a short keyword.
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

/// The operations that both ends of a stream have in common.
struct StreamHandle {
    link: Arc<Link>,
    channel: Arc<Channel>,
    deadline: Instant,
}

impl StreamHandle {
    fn new(link: Arc<Link>, channel: Arc<Channel>, left: Duration) -> StreamHandle {
        StreamHandle {
            link,
            channel,
            deadline: Instant::now() + left,
        }
    }

    fn write(&self, bytes: &[u8]) -> Result<(), StreamError> {
        let schedule = |turn_request| self.link.schedule_stream(&self.channel, turn_request);
        let written = self.channel.write_body(bytes, self.deadline, schedule);
        self.abandon_on_error(written)
    }

    fn finish(&self) -> Result<(), StreamError> {
        let turn_request = self.abandon_on_error(self.channel.finish_body())?;
        self.link.schedule_stream(&self.channel, turn_request);
        Ok(())
    }

    fn read(&self, buffer: &mut [u8]) -> Result<usize, StreamError> {
        let (count, credit) =
            self.abandon_on_error(self.channel.read_body(buffer, self.deadline))?;
        if let Some(frame) = credit {
            self.link.queue_frame(&frame);
        }
        Ok(count)
    }

    /// Abandons the stream if its deadline has passed or a body has the wrong length.
    fn abandon_on_error<T>(&self, result: Result<T, StreamError>) -> Result<T, StreamError> {
        match result {
            Err(StreamError::Timeout) if Instant::now() >= self.deadline => {
                self.link.abandon(&self.channel, StreamError::Deadline);
                Err(StreamError::Deadline)
            }
            Err(error @ StreamError::WrongLength { .. }) => {
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
    handle: StreamHandle,
}

impl Stream {
    pub(crate) fn new(link: Arc<Link>, channel: Arc<Channel>, left: Duration) -> Stream {
        Stream {
            handle: StreamHandle::new(link, channel, left),
        }
    }

    /// The name of the host that the request is relayed to.
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

    /// Sends a part of the body. Blocks while the send buffer is full.
    ///
    /// Fails with [`StreamError::ReplyComplete`] if the reply is complete already.
    pub fn write_body(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.handle.write(bytes)
    }

    /// Marks the body as complete. Required also for an empty body.
    pub fn finish_body(&mut self) -> Result<(), StreamError> {
        self.handle.finish()
    }

    /// Waits for the start of the reply.
    pub fn read_head(&mut self, timeout: Duration) -> Result<Reply, StreamError> {
        let until = self.handle.deadline.min(Instant::now() + timeout);
        self.handle
            .abandon_on_error(self.handle.channel.read_reply(until))
    }

    /// Reads from the body of the reply. Returns 0 at its end.
    pub fn read_body(&mut self, buffer: &mut [u8]) -> Result<usize, StreamError> {
        self.handle.read(buffer)
    }

    /// Cancels the request. Returns whether it may have reached the other host.
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
/// If it is dropped before the reply, the caller receives [`Reply::Unknown`]; if it is dropped within the
/// reply, the caller receives [`StreamError::Truncated`].
pub struct Incoming {
    /// The request.
    pub open: Open,
    handle: StreamHandle,
}

impl Incoming {
    pub(crate) fn new(link: Arc<Link>, channel: Arc<Channel>, open: Open) -> Incoming {
        Incoming {
            handle: StreamHandle::new(link, channel, open.deadline),
            open,
        }
    }

    /// The name of the host that relays the request.
    pub fn host(&self) -> &Arc<str> {
        &self.handle.link.host
    }

    /// The availability zone of that host.
    pub fn zone(&self) -> &Arc<str> {
        &self.handle.link.zone
    }

    /// The request's deadline on this host's clock.
    pub fn deadline(&self) -> Instant {
        self.handle.deadline
    }

    /// Reads from the body of the request. Returns 0 at its end.
    pub fn read_body(&mut self, buffer: &mut [u8]) -> Result<usize, StreamError> {
        self.handle.read(buffer)
    }

    /// Sends the head of the reply.
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
        if head.len() > handle.link.peer_max_frame_bytes() {
            return Err(StreamError::Oversize(head.len()));
        }
        let turn_request = handle.channel.queue_head(head, length)?;
        handle.link.schedule_stream(&handle.channel, turn_request);
        Ok(())
    }

    /// Sends a part of the reply's body. Blocks while the send buffer is full.
    pub fn write_body(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.handle.write(bytes)
    }

    /// Completes the reply.
    pub fn finish(self) -> Result<(), StreamError> {
        self.handle.finish()
    }

    /// Replies that the request did not run and will not.
    pub fn refuse(self, reason: &str, retry_after: Duration) -> Result<(), StreamError> {
        self.send_final_frame(&Frame::Refused(frame::Refused {
            stream: self.handle.channel.number(),
            reason: reason.to_owned(),
            retry_after_ms: millis(retry_after),
        }))
    }

    /// Replies that the request may have run.
    pub fn unknown(self, reason: &str) -> Result<(), StreamError> {
        self.send_final_frame(&self.unknown_frame(reason))
    }

    /// Whether the stream failed, e.g. because the caller cancelled the request or the link was lost.
    pub fn is_cancelled(&self) -> bool {
        self.handle.channel.is_failed()
    }

    /// Calls `hook`, on a thread of the mesh, when the caller cancels the request or the link is lost; at
    /// once if that has happened already. `hook` must not block.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) {
        self.handle.channel.on_failure(Box::new(hook));
    }

    fn unknown_frame(&self, reason: &str) -> Frame {
        Frame::Unknown(frame::Unknown {
            stream: self.handle.channel.number(),
            reason: reason.to_owned(),
        })
    }

    fn send_final_frame(&self, frame: &Frame) -> Result<(), StreamError> {
        let handle = &self.handle;
        let turn_request = handle.channel.queue_final_frame(frame::encode(frame))?;
        handle.link.schedule_stream(&handle.channel, turn_request);
        Ok(())
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        let handle = &self.handle;
        match handle.channel.progress() {
            SendProgress::NotStarted => {
                let _ = self.send_final_frame(&self.unknown_frame("dropped"));
            }
            SendProgress::Started => {
                handle.link.abandon(&handle.channel, StreamError::Truncated);
            }
            SendProgress::Complete => {}
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
