//! The body of a caller's request: held whole where it is small, streamed where it is not.

use std::io::{self, Cursor, Read};
use std::sync::Arc;

/// A request's body.
pub(crate) enum Body {
    /// All of it, so that it can be sent again.
    Whole(Arc<[u8]>),
    /// A part that was read, and the rest as it comes.
    Stream(Stream),
}

/// A body that is passed on as it comes.
pub(crate) struct Stream {
    reader: Box<dyn Read + Send>,
    /// Length stated by the caller; none for a chunked body.
    pub(crate) length: Option<u64>,
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
    pub(crate) fn new(
        mut reader: Box<dyn Read + Send>,
        length: Option<u64>,
        hold: u64,
        most: u64,
    ) -> Result<Self, Error> {
        if length.is_some_and(|length| length > most) {
            return Err(Error::Oversize(most));
        }
        if length.is_some_and(|length| length > hold) {
            return Ok(Self::Stream(Stream { reader, length }));
        }
        let mut held = Vec::new();
        let limit = length.unwrap_or(hold.min(most) + 1);
        reader
            .by_ref()
            .take(limit)
            .read_to_end(&mut held)
            .map_err(Error::Short)?;
        let count = held.len() as u64;
        match length {
            Some(length) if count < length => Err(Error::Short(missing(count, length))),
            Some(_) => Ok(Self::Whole(held.into())),
            None if count > most => Err(Error::Oversize(most)),
            None if count <= hold => Ok(Self::Whole(held.into())),
            None => Ok(Self::Stream(Stream {
                reader: Box::new(Limit::new(Cursor::new(held).chain(reader), most)),
                length: None,
            })),
        }
    }
}

fn missing(count: u64, length: u64) -> io::Error {
    let text = format!("{count} of {length} bytes");
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}

impl Stream {
    /// A stream over `reader`.
    pub(crate) fn new(reader: Box<dyn Read + Send>, length: Option<u64>) -> Self {
        Self { reader, length }
    }
}

impl Read for Stream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buffer)
    }
}

/// A reader that fails once its source gives more than it may.
struct Limit<R> {
    reader: R,
    left: u64,
}

impl<R: Read> Limit<R> {
    fn new(reader: R, most: u64) -> Self {
        Self { reader, left: most }
    }
}

impl<R: Read> Read for Limit<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.reader.read(buffer)?;
        self.left = self
            .left
            .checked_sub(count as u64)
            .ok_or_else(|| io::Error::other("the body is larger than the service allows"))?;
        Ok(count)
    }
}
