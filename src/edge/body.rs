//! Bodies of requests and answers: small ones are buffered completely, larger ones are streamed.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};

use crate::budget::{Account, Buffer, Charge, Exceeded};
use crate::steer::fingerprint::HASHED_BODY_BYTES;

/// Bodies up to this many bytes are buffered completely, so that a request can be sent again and a
/// truncated answer is noticed before its first byte is forwarded.
pub(crate) const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// The body of an outgoing request or response.
pub(crate) type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// Its sender disconnected.
    #[error("the sender disconnected: {0}")]
    Sender(#[from] hyper::Error),
    /// It is longer than allowed.
    #[error("longer than {0} bytes")]
    TooLong(u64),
    /// Its sender took too long.
    #[error("not complete before the deadline")]
    TooSlow,
    /// The thread that passes it on could not read it.
    #[error("{0}")]
    Reader(#[from] std::io::Error),
    /// The host has no memory for it.
    #[error(transparent)]
    NoMemory(#[from] Exceeded),
}

impl BodyError {
    /// The value of the log field `reason`.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Sender(_) | Self::Reader(_) => "body-broke-off",
            Self::TooLong(_) => "body-too-long",
            Self::TooSlow => "body-too-slow",
            Self::NoMemory(_) => "no-memory",
        }
    }
}

/// A body as far as it was read.
pub(crate) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// Its beginning; the rest is still to be received.
    Prefix(Bytes, Rest),
}

impl ReceivedBody {
    /// The length of the complete body, as far as it is known.
    pub(crate) fn length(&self) -> u64 {
        match self {
            Self::Complete(bytes) => bytes.len() as u64,
            Self::Prefix(start, rest) => start.len() as u64 + rest.incoming.size_hint().lower(),
        }
    }

    /// The part that is hashed into the request's fingerprint. It does not depend on how the body
    /// was split into frames.
    pub(crate) fn fingerprint_content(&self) -> &[u8] {
        match self {
            Self::Complete(bytes) => bytes,
            Self::Prefix(start, _) => &start[..HASHED_BODY_BYTES.min(start.len())],
        }
    }
}

/// A body of the given bytes.
pub(crate) fn full(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A body that owns a guard value.
struct Guarded<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> hyper::body::Body for Guarded<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Attaches `guard` to a body; it is dropped together with the body.
pub(crate) fn with_guard<G: Unpin + 'static>(body: Body, guard: G) -> Body {
    Box::pin(Guarded {
        body,
        _guard: guard,
    })
}

/// Limits on reading a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Length of the longest body, in bytes.
    pub(crate) max_bytes: u64,
    /// Length of the longest body that is buffered completely, in bytes.
    pub(crate) max_buffered: usize,
    /// How long its sender may pause, if that is limited.
    pub(crate) max_pause: Option<Duration>,
    /// Memory that a part of the body keeps in use, in bytes: that of the buffer it was read into.
    pub(crate) read_buffer_bytes: usize,
}

/// The rest of a body that is streamed.
pub(crate) struct Rest {
    incoming: Incoming,
    /// What waits to be sent on.
    _charge: Charge,
}

/// Parts of a body that the HTTP library queues until they can be sent on.
const MAX_QUEUED_PARTS: usize = 16;

/// The part of a body that has been read.
pub(crate) enum Part {
    /// The complete body.
    Complete(Bytes),
    /// Its beginning, and what is charged for passing on the rest.
    Prefix(Bytes, Charge),
}

impl Part {
    /// Adds the body that it was read from.
    pub(crate) fn with_rest(self, incoming: Incoming) -> ReceivedBody {
        match self {
            Self::Complete(bytes) => ReceivedBody::Complete(bytes),
            Self::Prefix(start, charge) => {
                let rest = Rest {
                    incoming,
                    _charge: charge,
                };
                ReceivedBody::Prefix(start, rest)
            }
        }
    }
}

impl Rest {
    /// What has not been read of the body.
    pub(crate) fn into_incoming(self) -> Incoming {
        self.incoming
    }

    /// The next part of the body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let frame = match self.incoming.frame().await? {
                Ok(frame) => frame,
                Err(error) => return Some(Err(error.into())),
            };
            if let Ok(data) = frame.into_data() {
                return Some(Ok(data));
            }
        }
    }
}

/// Reads a body up to [`MAX_BUFFERED_BYTES`], or the beginning of one that is announced to be
/// longer. What is kept of it is charged to `account`.
pub(crate) async fn read(
    body: &mut Incoming,
    limits: &Limits,
    account: &Account,
) -> Result<Part, BodyError> {
    let max_bytes = limits.max_bytes;
    let announced = body.size_hint().lower();
    if announced > max_bytes {
        return Err(BodyError::TooLong(max_bytes));
    }
    let wanted = if announced > limits.max_buffered as u64 {
        HASHED_BODY_BYTES.min(limits.max_buffered)
    } else {
        limits.max_buffered
    };
    let expected = (announced > 0).then_some((announced as usize).min(wanted));
    // A body that consists of one part is not copied: the buffer that it was read into belongs to
    // the connection.
    let mut first: Option<Bytes> = None;
    let mut read = Buffer::new(account).with_expected(expected);
    while let Some(frame) = next_frame(body, limits.max_pause).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.is_none() && read.is_empty() {
            first = Some(data);
        } else {
            if let Some(begin) = first.take() {
                read.append(&begin).await?;
            }
            read.append(&data).await?;
        }
        let length = read.len() + first.as_ref().map_or(0, Bytes::len);
        if length as u64 > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        if length > wanted {
            let start = first.take().unwrap_or_else(|| read.freeze());
            let queue = MAX_QUEUED_PARTS * limits.read_buffer_bytes;
            return Ok(Part::Prefix(start, account.charge(queue).await?));
        }
    }
    Ok(Part::Complete(first.unwrap_or_else(|| read.freeze())))
}

async fn next_frame(
    body: &mut Incoming,
    max_pause: Option<Duration>,
) -> Result<Option<Frame<Bytes>>, BodyError> {
    let frame = match max_pause {
        None => body.frame().await,
        Some(pause) => tokio::time::timeout(pause, body.frame())
            .await
            .map_err(|_| BodyError::TooSlow)?,
    };
    Ok(frame.transpose()?)
}

/// A body that streams `start` and then the frames of `rest`, up to `max_bytes` in all.
pub(crate) fn stream(start: Bytes, rest: Rest, max_bytes: u64) -> Body {
    let state = (Some(start), rest, 0u64);
    let frames = futures_util::stream::unfold(Some(state), move |state| async move {
        let (start, mut rest, mut length) = state?;
        let frame = match start {
            Some(start) if !start.is_empty() => Ok(Frame::data(start)),
            _ => rest.incoming.frame().await?.map_err(BodyError::from),
        };
        if let Ok(data) = frame.as_ref().map(Frame::data_ref) {
            length += data.map_or(0, |data| data.len() as u64);
        }
        if length > max_bytes {
            return Some((Err(BodyError::TooLong(max_bytes)), None));
        }
        Some((frame, Some((None, rest, length))))
    });
    Box::pin(StreamBody::new(frames))
}
