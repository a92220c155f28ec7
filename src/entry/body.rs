//! Request bodies: small ones are buffered whole, larger ones are streamed.

use std::io::{self, Cursor, Read};
use std::sync::Arc;

use crate::steer::fingerprint::HASHED_BODY_BYTES;

/// A request's body.
pub(crate) enum Body {
    /// The complete body, which can be sent again.
    Whole(Arc<[u8]>),
    /// The beginning of the body; the rest is still to be read.
    Partial(PartialBody),
}

/// The beginning of a body whose rest is still to be read.
pub(crate) struct PartialBody {
    /// The bytes read so far.
    buffered: Vec<u8>,
    /// Number of bytes hashed for the request's fingerprint, independent of how the body is transferred.
    hashed: usize,
    /// Length stated by the requester; none for a chunked body.
    pub(crate) length: Option<u64>,
    /// Maximum size of the body, in bytes.
    max_length: u64,
}

/// A fault of a body that prevents the request from running.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the body is larger than the service's {0} bytes")]
    Oversize(u64),
    #[error("the body ended early: {0}")]
    Short(io::Error),
}

impl Error {
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Oversize(_) => 413,
            Self::Short(_) => 400,
        }
    }
}

impl Body {
    /// Reads a body of `length` bytes (none: chunked). A body of up to `max_buffered` bytes is buffered whole.
    pub(crate) fn read(
        reader: &mut dyn Read,
        length: Option<u64>,
        max_buffered: u64,
        max_length: u64,
    ) -> Result<Self, Error> {
        if length.is_some_and(|length| length > max_length) {
            return Err(Error::Oversize(max_length));
        }
        let hashed = max_buffered.min(HASHED_BODY_BYTES as u64);
        let mut part = PartialBody {
            buffered: Vec::new(),
            hashed: hashed as usize,
            length,
            max_length,
        };
        let is_streamed = length.is_some_and(|length| length > max_buffered);
        let limit = match length {
            Some(_) if is_streamed => hashed,
            Some(length) => length,
            None => max_buffered.min(max_length) + 1,
        };
        reader
            .take(limit)
            .read_to_end(&mut part.buffered)
            .map_err(Error::Short)?;
        let count = part.buffered.len() as u64;
        match length {
            Some(_) if is_streamed && count == limit => Ok(Self::Partial(part)),
            Some(length) if count < length => Err(Error::Short(unexpected_end(count, length))),
            None if count > max_length => Err(Error::Oversize(max_length)),
            None if count > max_buffered => Ok(Self::Partial(part)),
            _ => Ok(Self::Whole(part.buffered.into())),
        }
    }
}

impl Body {
    /// Returns the bytes that are hashed for the request's fingerprint.
    pub(crate) fn content(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Partial(part) => &part.buffered[..part.hashed.min(part.buffered.len())],
        }
    }
}

fn unexpected_end(count: u64, length: u64) -> io::Error {
    let text = format!("{count} of {length} bytes");
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}

impl PartialBody {
    /// Returns a reader for the whole body, given a reader for the `rest`.
    pub(crate) fn stream<'a>(&'a self, rest: &'a mut dyn Read) -> Stream<'a> {
        Stream {
            reader: Box::new(Cursor::new(&self.buffered[..]).chain(rest)),
            length: self.length,
            bytes_left: self.length.unwrap_or(self.max_length),
            bytes_read: 0,
            buffered: self.buffered.len() as u64,
            failed: false,
        }
    }
}

/// A reader for a streamed body. Fails if the body exceeds its maximum size or is shorter than stated.
pub(crate) struct Stream<'a> {
    reader: Box<dyn Read + 'a>,
    pub(crate) length: Option<u64>,
    bytes_left: u64,
    bytes_read: u64,
    buffered: u64,
    failed: bool,
}

impl Stream<'_> {
    /// Whether the requester broke the body off, or sent more or less than stated.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Whether bytes beyond the buffered beginning have been read, so that the body cannot be sent again.
    pub(crate) fn is_consumed(&self) -> bool {
        self.bytes_read > self.buffered
    }
}

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let result = self.read_checked(buffer);
        self.failed |= result.is_err();
        result
    }
}

impl Stream<'_> {
    fn read_checked(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buffer)?;
        self.bytes_read += count as u64;
        if count == 0 && !buffer.is_empty() && self.length.is_some() && self.bytes_left > 0 {
            return Err(unexpected_end(
                self.bytes_read,
                self.bytes_read + self.bytes_left,
            ));
        }
        self.bytes_left = self
            .bytes_left
            .checked_sub(count as u64)
            .ok_or_else(|| io::Error::other("the body is larger than it may be"))?;
        Ok(count)
    }
}
