//! Bodies of requests and answers: small ones are buffered completely, larger ones are streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};

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
}

impl BodyError {
    /// The value of the log field `reason`.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Sender(_) => "body-broke-off",
            Self::TooLong(_) => "body-too-long",
            Self::TooSlow => "body-too-slow",
        }
    }
}

/// A body as far as it was read.
pub(crate) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// Its beginning; the rest is still to be received.
    Prefix(Bytes, Incoming),
}

impl ReceivedBody {
    /// The length of the complete body, as far as it is known.
    pub(crate) fn length(&self) -> u64 {
        match self {
            Self::Complete(bytes) => bytes.len() as u64,
            Self::Prefix(start, rest) => start.len() as u64 + rest.size_hint().lower(),
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

/// Reads a body up to [`MAX_BUFFERED_BYTES`], or the beginning of one that is announced to be
/// longer.
pub(crate) async fn read(mut body: Incoming, max_bytes: u64) -> Result<ReceivedBody, BodyError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes {
        return Err(BodyError::TooLong(max_bytes));
    }
    let wanted = if announced > MAX_BUFFERED_BYTES as u64 {
        HASHED_BODY_BYTES
    } else {
        MAX_BUFFERED_BYTES
    };
    let mut first: Option<Bytes> = None;
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        match first.take() {
            None if read.is_empty() => first = Some(data),
            None => read.extend_from_slice(&data),
            Some(begin) => {
                read.reserve(
                    (announced as usize)
                        .min(wanted)
                        .max(begin.len() + data.len()),
                );
                read.extend_from_slice(&begin);
                read.extend_from_slice(&data);
            }
        }
        let length = read.len() + first.as_ref().map_or(0, Bytes::len);
        if length as u64 > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        if length > wanted {
            let start = first.take().unwrap_or_else(|| read.freeze());
            return Ok(ReceivedBody::Prefix(start, body));
        }
    }
    Ok(ReceivedBody::Complete(
        first.unwrap_or_else(|| read.freeze()),
    ))
}

/// A body that streams `start` and then the frames of `rest`, up to `max_bytes` in all.
pub(crate) fn stream(start: Bytes, rest: Incoming, max_bytes: u64) -> Body {
    let state = (Some(start), rest, 0u64);
    let frames = futures_util::stream::unfold(Some(state), move |state| async move {
        let (start, mut rest, mut length) = state?;
        let frame = match start {
            Some(start) if !start.is_empty() => Ok(Frame::data(start)),
            _ => rest.frame().await?.map_err(BodyError::from),
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
