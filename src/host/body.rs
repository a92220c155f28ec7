//! Bodies of requests and answers: whole where they are small, passed on as they come where not.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};

use crate::steer::fingerprint::HASHED_BODY_BYTES;

/// Bodies up to this many bytes are kept whole, so that a request can be sent again and a
/// broken answer is noticed before its first byte is passed on.
pub(crate) const WHOLE: usize = 512 << 10;

/// A body on its way to a caller or a target.
pub(crate) type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = Broken>>>;

/// Why a body ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Broken {
    /// Its sender broke off.
    #[error("the sender broke off: {0}")]
    Sender(#[from] hyper::Error),
    /// It is longer than allowed.
    #[error("longer than {0} bytes")]
    Length(u64),
    /// Its sender took too long.
    #[error("too slow")]
    Slow,
}

impl Broken {
    /// The reason as logs tell it.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Sender(_) => "body-broke-off",
            Self::Length(_) => "body-too-long",
            Self::Slow => "body-too-slow",
        }
    }
}

/// What was read of a body so far.
pub(crate) enum Part {
    /// All of it.
    Whole(Bytes),
    /// Its beginning; the rest is still to come.
    Start(Bytes, Incoming),
}

impl Part {
    /// The length of the whole body, as far as it is known.
    pub(crate) fn length(&self) -> u64 {
        match self {
            Self::Whole(bytes) => bytes.len() as u64,
            Self::Start(start, rest) => start.len() as u64 + rest.size_hint().lower(),
        }
    }

    /// What counts of it for the request's fingerprint: the same however it arrives.
    pub(crate) fn content(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Start(start, _) => &start[..HASHED_BODY_BYTES.min(start.len())],
        }
    }
}

/// A body of the given bytes.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A body with something that lives as long.
struct Guarded<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> hyper::body::Body for Guarded<G> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The same body; `guard` is dropped when it ends or is dropped.
pub(crate) fn guarded<G: Unpin + 'static>(body: Body, guard: G) -> Body {
    Box::pin(Guarded {
        body,
        _guard: guard,
    })
}

/// Reads a body up to [`WHOLE`] bytes, or the beginning of one that is announced to be longer.
pub(crate) async fn read(mut body: Incoming, most: u64) -> Result<Part, Broken> {
    let announced = body.size_hint().lower();
    if announced > most {
        return Err(Broken::Length(most));
    }
    let enough = if announced > WHOLE as u64 {
        HASHED_BODY_BYTES
    } else {
        WHOLE
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
                        .min(enough)
                        .max(begin.len() + data.len()),
                );
                read.extend_from_slice(&begin);
                read.extend_from_slice(&data);
            }
        }
        let length = read.len() + first.as_ref().map_or(0, Bytes::len);
        if length as u64 > most {
            return Err(Broken::Length(most));
        }
        if length > enough {
            let start = first.take().unwrap_or_else(|| read.freeze());
            return Ok(Part::Start(start, body));
        }
    }
    Ok(Part::Whole(first.unwrap_or_else(|| read.freeze())))
}

/// A body that begins with `start` and goes on with what `rest` brings, up to `most` bytes.
pub(crate) fn stream(start: Bytes, rest: Incoming, most: u64) -> Body {
    let state = (Some(start), rest, 0u64);
    let frames = futures_util::stream::unfold(Some(state), move |state| async move {
        let (start, mut rest, mut length) = state?;
        let frame = match start {
            Some(start) if !start.is_empty() => Ok(Frame::data(start)),
            _ => rest.frame().await?.map_err(Broken::from),
        };
        if let Ok(data) = frame.as_ref().map(Frame::data_ref) {
            length += data.map_or(0, |data| data.len() as u64);
        }
        if length > most {
            return Some((Err(Broken::Length(most)), None));
        }
        Some((frame, Some((None, rest, length))))
    });
    Box::pin(StreamBody::new(frames))
}
