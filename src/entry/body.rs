//! The body of a request: held whole where it is small, passed on as it comes where it is not.

use std::io::{self, Cursor, Read};
use std::sync::Arc;

use crate::steer::fingerprint::HASHED_BODY_BYTES;

/// A request's body.
pub(crate) enum Body {
    /// All of it, so that it can be sent again.
    Whole(Arc<[u8]>),
    /// Its beginning; the rest is yet to come.
    Part(Part),
}

/// A body of which the rest is yet to come.
pub(crate) struct Part {
    /// What was read.
    held: Vec<u8>,
    /// So much of it counts for the request's fingerprint: the same however the body arrives.
    counted: usize,
    /// Length stated by the sender; none for a chunked body.
    pub(crate) length: Option<u64>,
    /// Most bytes it may have.
    most: u64,
}

/// What is wrong with a body; the request did not run.
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
    /// Reads a body of `length` bytes (none: chunked), holding it whole up to `hold` bytes.
    pub(crate) fn read(
        reader: &mut dyn Read,
        length: Option<u64>,
        hold: u64,
        most: u64,
    ) -> Result<Self, Error> {
        if length.is_some_and(|length| length > most) {
            return Err(Error::Oversize(most));
        }
        let counted = hold.min(HASHED_BODY_BYTES as u64);
        let mut part = Part {
            held: Vec::new(),
            counted: counted as usize,
            length,
            most,
        };
        let is_long = length.is_some_and(|length| length > hold);
        let limit = match length {
            Some(_) if is_long => counted,
            Some(length) => length,
            None => hold.min(most) + 1,
        };
        reader
            .take(limit)
            .read_to_end(&mut part.held)
            .map_err(Error::Short)?;
        let count = part.held.len() as u64;
        match length {
            Some(_) if is_long && count == limit => Ok(Self::Part(part)),
            Some(length) if count < length => Err(Error::Short(missing(count, length))),
            None if count > most => Err(Error::Oversize(most)),
            None if count > hold => Ok(Self::Part(part)),
            _ => Ok(Self::Whole(part.held.into())),
        }
    }
}

impl Body {
    /// What counts of it for the request's fingerprint.
    pub(crate) fn content(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Part(part) => &part.held[..part.counted.min(part.held.len())],
        }
    }
}

fn missing(count: u64, length: u64) -> io::Error {
    let text = format!("{count} of {length} bytes");
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}

impl Part {
    /// The whole body, when `rest` gives what is yet to come.
    pub(crate) fn stream<'a>(&'a self, rest: &'a mut dyn Read) -> Stream<'a> {
        Stream {
            reader: Box::new(Cursor::new(&self.held[..]).chain(rest)),
            length: self.length,
            left: self.length.unwrap_or(self.most),
            rest: 0,
            held: self.held.len() as u64,
            failed: false,
        }
    }
}

/// A body as it is passed on. Fails if it is longer than it may be, or shorter than stated.
pub(crate) struct Stream<'a> {
    reader: Box<dyn Read + 'a>,
    pub(crate) length: Option<u64>,
    left: u64,
    rest: u64,
    held: u64,
    failed: bool,
}

impl Stream<'_> {
    /// Whether its sender broke it off, or sent more or less than stated.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Whether any of it is no longer held.
    pub(crate) fn is_consumed(&self) -> bool {
        self.rest > self.held
    }
}

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let result = self.read_on(buffer);
        self.failed |= result.is_err();
        result
    }
}

impl Stream<'_> {
    fn read_on(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buffer)?;
        self.rest += count as u64;
        if count == 0 && !buffer.is_empty() && self.length.is_some() && self.left > 0 {
            return Err(missing(self.rest, self.rest + self.left));
        }
        self.left = self
            .left
            .checked_sub(count as u64)
            .ok_or_else(|| io::Error::other("the body is larger than it may be"))?;
        Ok(count)
    }
}
