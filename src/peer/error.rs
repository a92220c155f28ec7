//! What can go wrong on links and streams.

use std::sync::Arc;
use std::time::Duration;

/// A mesh could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime could not be started.
    #[error("peer: cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The listening socket could not be had.
    #[error("peer: cannot listen: {0}")]
    Listen(std::io::Error),
}

/// A stream could not be opened. In every case the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The host's address is not known.
    #[error("no address of {0}")]
    Host(Arc<str>),
    /// The host could not be connected to.
    #[error("{0} is unreachable")]
    Unreachable(Arc<str>),
    /// No link came up in time.
    #[error("no link to {0} in time")]
    Timeout(Arc<str>),
    /// The request's head does not fit a frame.
    #[error("a head of {0} bytes does not fit a frame")]
    Oversize(usize),
    /// The link carries as many streams as it may.
    #[error("too many streams")]
    Streams,
    /// The mesh is closing.
    #[error("the mesh is closing")]
    Closing,
}

/// A control message could not be sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is no link.
    #[error("no link to {0}")]
    Unlinked(Arc<str>),
    /// Too many bytes wait already.
    #[error("too many messages wait for {0}")]
    Full(Arc<str>),
    /// The message is larger than peers accept.
    #[error("a message of {0} bytes is too large")]
    Oversize(usize),
}

/// Whether a request may have reached the other host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// No byte of it was given to the connection: it did not run.
    NotSent,
    /// It was given to the connection: it may have run.
    Sent,
}

/// A stream failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The link ended before the request was given to it: the request did not run.
    #[error("not sent")]
    NotSent,
    /// The link ended, or the other host gave up, before the reply began: the request may have run.
    #[error("no reply, and the request may have run")]
    Uncertain,
    /// The link ended, or the other host gave up, within the reply.
    #[error("the reply was cut")]
    Cut,
    /// The caller gave the request up.
    #[error("cancelled")]
    Cancelled,
    /// The time given to this step passed; the stream is still open.
    #[error("timed out")]
    Timeout,
    /// The request's deadline passed; the stream is cancelled.
    #[error("the deadline passed")]
    Deadline,
    /// A body is not as long as was declared; the stream is given up.
    #[error("{actual} bytes of a body of {declared}")]
    Length {
        /// The length declared.
        declared: u64,
        /// The length seen so far.
        actual: u64,
    },
    /// The reply is complete, so the rest of the request's body is not wanted.
    #[error("the rest of the body is not wanted")]
    Stopped,
    /// The reply's head does not fit a frame.
    #[error("a head of {0} bytes does not fit a frame")]
    Oversize(usize),
    /// The calls on the stream came in a wrong order.
    #[error("the stream is not in a state for this")]
    Order,
}

/// Why a host is no longer linked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Either side closed the link in an orderly way.
    Goodbye,
    /// Nothing was heard for too long.
    Silent,
    /// The connection failed or was closed without a goodbye.
    Lost,
    /// The peer sent what it may not send.
    Fault,
    /// A later link or incarnation took its place.
    Replaced,
    /// The mesh was closed.
    Closed,
}

/// How long a caller should wait when a peer refuses a stream for want of room.
pub(crate) const ROOM_RETRY: Duration = Duration::from_millis(1000);
