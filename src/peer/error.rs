//! Errors of links and streams.

use std::sync::Arc;
use std::time::Duration;

/// A mesh could not be created.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime could not be started.
    #[error("peer: cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The listening socket could not be opened.
    #[error("peer: cannot listen: {0}")]
    Listen(std::io::Error),
}

/// A stream could not be opened. In every case the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The host's address is unknown.
    #[error("the address of {0} is unknown")]
    UnknownHost(Arc<str>),
    /// The host could not be connected to.
    #[error("{0} is unreachable")]
    Unreachable(Arc<str>),
    /// No link was established in time.
    #[error("no link with {0} was established in time")]
    Timeout(Arc<str>),
    /// The request's head exceeds the largest frame that the peer accepts.
    #[error("the request head of {0} bytes exceeds the frame limit of the peer")]
    Oversize(usize),
    /// The link has reached its limit of open streams.
    #[error("the link has reached its limit of open streams")]
    StreamLimit,
    /// The mesh is closing.
    #[error("the mesh is closing")]
    Closing,
}

/// A control message could not be sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The host is not linked.
    #[error("no link with {0}")]
    NotLinked(Arc<str>),
    /// Too many bytes of messages are queued already.
    #[error("too many bytes of messages are queued for {0}")]
    BacklogFull(Arc<str>),
    /// The message exceeds the size limit.
    #[error("the message of {0} bytes exceeds the size limit")]
    Oversize(usize),
}

/// Whether a request may have reached the other host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// No byte of it was passed to the connection, so it did not run.
    NotSent,
    /// It was passed to the connection, so it may have run.
    Sent,
}

/// A stream failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The link ended before the request was sent, so the request did not run.
    #[error("the request was not sent")]
    NotSent,
    /// The link ended, or the other host abandoned the stream, before the reply started. The request may
    /// have run.
    #[error("no reply, and the request may have run")]
    Uncertain,
    /// The link ended, or the other host abandoned the stream, within the reply.
    #[error("the reply was truncated")]
    Truncated,
    /// The caller cancelled the request, or the link to the caller ended.
    #[error("the request was cancelled")]
    Cancelled,
    /// The timeout of this call expired; the stream is still open.
    #[error("timed out")]
    Timeout,
    /// The request's deadline passed; the stream is cancelled.
    #[error("the deadline passed")]
    Deadline,
    /// A body does not have its declared length; the stream is abandoned.
    #[error("the body has {actual} bytes instead of the declared {declared}")]
    WrongLength {
        /// The declared length in bytes.
        declared: u64,
        /// The bytes of the body so far.
        actual: u64,
    },
    /// The reply is complete, so the rest of the request's body is not sent.
    #[error("the reply is complete, the rest of the request body is not sent")]
    ReplyComplete,
    /// The reply's head exceeds the largest frame that the peer accepts.
    #[error("the reply head of {0} bytes exceeds the frame limit of the peer")]
    Oversize(usize),
    /// The stream's state does not permit this call, e.g. a second head.
    #[error("the state of the stream does not permit this call")]
    InvalidState,
}

/// Why a host is no longer linked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEndReason {
    /// Either side closed the link in an orderly way.
    Goodbye,
    /// Nothing was received within the silence timeout.
    Silent,
    /// The connection failed or was closed without a goodbye.
    Lost,
    /// The peer violated the protocol.
    Fault,
    /// A later link or incarnation replaced it.
    Replaced,
    /// The mesh was closed.
    Closed,
}

/// Retry delay sent with the refusal of a stream beyond the limit of open streams.
pub(crate) const STREAM_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(1000);
