//! Answers to callers and how they are written.

use std::io::{self, Read};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue};
use serde::Serialize;
use tokio::sync::mpsc;

use super::head::{self, Header};
use super::request::{Answer, AnswerBody, Request};
use crate::budget::Charge;

/// Size of the parts in which a body is sent, in bytes.
const PART_BYTES: usize = 16 << 10;
/// Memory of the parts that wait to be sent, in bytes.
const QUEUED_BYTES: usize = 8 * PART_BYTES;
/// How long an answer waits for memory.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of an answer.
pub(crate) enum Body {
    /// The complete body.
    Whole(Bytes),
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

    /// Sends the answer to the caller. If the body breaks off, the connection is closed so that the
    /// caller cannot mistake it for complete.
    pub(crate) fn send(self, request: Request) {
        let (head, body) = (self.head(), self.body);
        let is_sent = match body {
            Body::Whole(bytes) => request.answer(Answer::new(head, AnswerBody::Whole(bytes))),
            Body::Length(length) => request.answer(Answer::new(head, AnswerBody::Length(length))),
            Body::Stream(reader, length) => stream(request, head, reader, length),
        };
        if !is_sent {
            spdlog::debug!("http: an answer broke off");
        }
    }

    /// Status and headers of the answer.
    fn head(&self) -> http::response::Builder {
        let mut head = http::Response::builder().status(self.status);
        if let Some(headers) = head.headers_mut() {
            for (name, value) in &self.headers {
                let name = HeaderName::from_bytes(name.as_bytes());
                if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                    headers.append(name, value);
                }
            }
        }
        head
    }

    /// The answer, if its body is complete.
    pub(crate) fn into_answer(self) -> Answer {
        let head = self.head();
        match self.body {
            Body::Whole(bytes) => Answer::new(head, AnswerBody::Whole(bytes)),
            Body::Length(length) => Answer::new(head, AnswerBody::Length(length)),
            Body::Stream(..) => Answer::new(head, AnswerBody::Whole(Bytes::new())),
        }
    }
}

/// Sends an answer whose body arrives part by part. Returns whether the caller has taken all of it.
fn stream(
    request: Request,
    head: http::response::Builder,
    reader: Box<dyn Read + Send>,
    length: u64,
) -> bool {
    let mut charge = Charge::new(&request.account);
    let deadline = Instant::now() + MEMORY_TIMEOUT;
    if charge.grow_blocking(QUEUED_BYTES, deadline).is_err() {
        return false;
    }
    let (sender, parts) = mpsc::channel(1);
    if !request.answer(Answer::new(head, AnswerBody::Parts(parts, length))) {
        return false;
    }
    let mut reader = ExactLengthReader::new(reader, length);
    let mut buffer = [0; PART_BYTES];
    loop {
        let part = match reader.read(&mut buffer) {
            Ok(0) => return true,
            Ok(count) => Ok(Bytes::copy_from_slice(&buffer[..count])),
            Err(error) => Err(error),
        };
        let has_failed = part.is_err();
        if sender.blocking_send(part).is_err() || has_failed {
            return false;
        }
    }
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
        let count = self.reader.read(&mut buffer[..limit])?;
        if count == 0 && limit > 0 {
            return Err(io::Error::other("the body ended early"));
        }
        self.bytes_left -= count as u64;
        Ok(count)
    }
}
