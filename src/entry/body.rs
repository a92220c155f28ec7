//! Request bodies: small ones are buffered whole, larger ones are streamed.

use std::io::{self, Cursor, Read};
use std::time::Instant;

use bytes::Bytes;

use crate::budget::{Account, Buffer, Exceeded};
use crate::steer::fingerprint::HASHED_BODY_BYTES;

/// A request's body.
pub(crate) enum Body {
    /// The complete body, which can be sent again.
    Whole(Bytes),
    /// The beginning of the body; the rest is still to be read.
    Partial(PartialBody),
}

/// The beginning of a body whose rest is still to be read.
pub(crate) struct PartialBody {
    /// The bytes read so far.
    buffered: Bytes,
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
    #[error(transparent)]
    NoMemory(#[from] Exceeded),
}

/// Size of the buffer that a body of another host is read through, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How a body is read.
pub(crate) struct Limits {
    /// Length stated by the requester; none for a chunked body.
    pub(crate) length: Option<u64>,
    /// Length of the longest body that is buffered whole.
    pub(crate) max_buffered: u64,
    /// Maximum size of the body, in bytes.
    pub(crate) max_length: u64,
    /// When reading it is given up.
    pub(crate) deadline: Instant,
}

impl Limits {
    fn hashed(&self) -> u64 {
        self.max_buffered.min(HASHED_BODY_BYTES as u64)
    }

    /// The body of which `buffered` has been read, and which has a rest.
    pub(crate) fn partial(&self, buffered: Bytes) -> Body {
        Body::Partial(PartialBody {
            buffered,
            hashed: self.hashed() as usize,
            length: self.length,
            max_length: self.max_length,
        })
    }
}

impl Body {
    /// Reads the body of a request that another host relays. What is kept of it is charged to `account`.
    pub(crate) fn read(
        reader: &mut dyn Read,
        limits: &Limits,
        account: &Account,
    ) -> Result<Self, Error> {
        let max_length = limits.max_length;
        if limits.length.is_some_and(|length| length > max_length) {
            return Err(Error::Oversize(max_length));
        }
        let is_streamed = limits
            .length
            .is_some_and(|length| length > limits.max_buffered);
        let limit = match limits.length {
            Some(_) if is_streamed => limits.hashed(),
            Some(length) => length,
            None => limits.max_buffered.min(max_length) + 1,
        };
        let bytes = read_up_to(reader, limit, account, limits.deadline)?;
        let count = bytes.len() as u64;
        match limits.length {
            Some(_) if is_streamed && count == limit => Ok(limits.partial(bytes)),
            Some(length) if count < length => Err(Error::Short(unexpected_end(count, length))),
            None if count > max_length => Err(Error::Oversize(max_length)),
            None if count > limits.max_buffered => Ok(limits.partial(bytes)),
            _ => Ok(Self::Whole(bytes)),
        }
    }
}

/// Reads to the end, or `limit` bytes, which are charged to `account`.
pub(crate) fn read_up_to(
    reader: &mut dyn Read,
    limit: u64,
    account: &Account,
    deadline: Instant,
) -> Result<Bytes, Error> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let mut bytes = Buffer::new(account);
    let mut reader = reader.take(limit);
    loop {
        let count = reader.read(&mut buffer).map_err(Error::Short)?;
        if count == 0 {
            return Ok(bytes.freeze());
        }
        bytes.append_blocking(&buffer[..count], deadline)?;
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
