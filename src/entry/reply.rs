//! Answers to callers and how they are written.

use std::io::{self, Cursor, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Response, StatusCode};

use super::head::{self, Header};
use super::raw_socket;
use super::request::Request;

/// The body of an answer.
pub(crate) enum Body {
    /// The complete body.
    Whole(Arc<[u8]>),
    /// A body too large to buffer, and its length.
    Stream(Box<dyn Read + Send>, u64),
    /// No body, only its length: the answer to a HEAD request.
    Length(u64),
}

/// An answer to a caller.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Body,
}

/// The body of an error answer of this host itself.
#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
    outcome: &'a str,
}

impl Reply {
    /// Builds an answer with a JSON body.
    pub(crate) fn json(status: u16, value: &impl Serialize) -> Self {
        let text = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", text)
    }

    /// Builds an answer with a complete body.
    pub(crate) fn whole(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type".into(), content_type.into())],
            body: Body::Whole(body.into()),
        }
    }

    /// Builds an error answer that states that the request did not run.
    pub(crate) fn not_run(status: u16, error: &str, retry_after: Option<Duration>) -> Self {
        let mut reply = Self::problem(status, error, "not-run");
        if let Some(wait) = retry_after {
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            reply.add("Retry-After", &format!("{seconds:.0}"));
        }
        reply
    }

    /// Builds an error answer that states that it is unknown whether the request ran.
    pub(crate) fn unknown(status: u16, error: &str) -> Self {
        Self::problem(status, error, "unknown")
    }

    fn problem(status: u16, error: &str, outcome: &str) -> Self {
        let mut reply = Self::json(status, &Problem { error, outcome });
        reply.add(head::OUTCOME, outcome);
        reply
    }

    /// Adds a header.
    pub(crate) fn add(&mut self, name: &str, value: &str) {
        self.headers.push((name.into(), value.into()));
    }

    /// Writes the answer to the caller. If the body breaks off, the connection is closed so that the
    /// caller cannot mistake it for complete.
    pub(crate) fn send(self, request: Request) {
        let peer = request.remote_addr().copied();
        let (length, reader): (u64, Box<dyn Read + Send>) = match self.body {
            Body::Whole(bytes) => (bytes.len() as u64, Box::new(Cursor::new(bytes))),
            Body::Stream(reader, length) => {
                (length, Box::new(ExactLengthReader::new(reader, length)))
            }
            Body::Length(length) => (length, Box::new(io::empty())),
        };
        let headers = self.headers.iter().filter_map(to_header).collect();
        let response = Response::new(
            StatusCode(self.status),
            headers,
            reader,
            usize::try_from(length).ok(),
            None,
        )
        .with_chunked_threshold(usize::MAX);
        if let Err(error) = request.respond(response) {
            spdlog::debug!("http: an answer broke off: {error}");
            close_connection(peer);
        }
    }
}

fn close_connection(peer: Option<SocketAddr>) {
    if let Some(peer) = peer {
        raw_socket::close(peer);
    }
}

fn to_header((name, value): &Header) -> Option<tiny_http::Header> {
    tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

/// A reader that fails if its source ends before `bytes_left` bytes.
struct ExactLengthReader {
    reader: Box<dyn Read + Send>,
    bytes_left: u64,
}

impl ExactLengthReader {
    fn new(reader: Box<dyn Read + Send>, length: u64) -> Self {
        Self {
            reader,
            bytes_left: length,
        }
    }
}

impl Read for ExactLengthReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.bytes_left == 0 {
            return Ok(0);
        }
        let limit = buffer
            .len()
            .min(usize::try_from(self.bytes_left).unwrap_or(usize::MAX));
        let count = self.reader.read(&mut buffer[..limit]).map_err(|error| {
            // The library ignores connection errors because it attributes them to the caller; wrap them.
            io::Error::other(error)
        })?;
        if count == 0 && limit > 0 {
            return Err(io::Error::other("the body ended early"));
        }
        self.bytes_left -= count as u64;
        Ok(count)
    }
}
