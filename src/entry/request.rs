//! A caller's request, handled by a thread of its own pool while its connection is served elsewhere.

use std::io::{self, Read};
use std::net::IpAddr;

use bytes::{Buf as _, Bytes};
use http::request;
use tokio::sync::{mpsc, oneshot};

use crate::budget::Account;

/// A part of a body, or why it ended early.
pub(crate) type Part = io::Result<Bytes>;

/// The body of an answer, as far as its connection needs to know it.
pub(crate) enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// Parts that arrive one after the other, and their length in all.
    Parts(mpsc::Receiver<Part>, u64),
    /// No body, only its length: the answer to a HEAD request.
    Length(u64),
}

/// An answer on its way to the connection.
pub(crate) struct Answer {
    pub(crate) head: http::response::Builder,
    pub(crate) body: AnswerBody,
}

impl Answer {
    /// An answer with this head and body.
    pub(crate) fn new(head: http::response::Builder, body: AnswerBody) -> Self {
        Self { head, body }
    }
}

/// A request that is answered once. If it is dropped before, its connection answers that the host failed.
pub(crate) struct Request {
    pub(crate) parts: request::Parts,
    /// The caller's address.
    pub(crate) caller: IpAddr,
    /// The account of its connection.
    pub(crate) account: Account,
    answer: oneshot::Sender<Answer>,
    rest: Rest,
}

/// The part of a body that has not been read.
#[derive(Default)]
struct Rest {
    parts: Option<mpsc::Receiver<Part>>,
    part: Bytes,
}

impl Request {
    /// Wraps a request whose answer is sent to `answer`.
    pub(crate) fn new(
        parts: request::Parts,
        caller: IpAddr,
        account: Account,
        answer: oneshot::Sender<Answer>,
    ) -> Self {
        Self {
            parts,
            caller,
            account,
            answer,
            rest: Rest::default(),
        }
    }

    /// Adds the rest of a body whose beginning has been read.
    pub(crate) fn with_rest(mut self, rest: mpsc::Receiver<Part>) -> Self {
        self.rest.parts = Some(rest);
        self
    }

    /// Whether the caller has closed the connection.
    pub(crate) fn has_caller_left(&self) -> bool {
        self.answer.is_closed()
    }

    /// Returns a reader for the rest of the body.
    pub(crate) fn as_reader(&mut self) -> &mut dyn Read {
        &mut self.rest
    }

    /// Passes the answer to the connection. Returns whether the connection is still open.
    pub(crate) fn answer(self, answer: Answer) -> bool {
        self.answer.send(answer).is_ok()
    }
}

impl Read for Rest {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.part.is_empty() {
            let Some(parts) = &mut self.parts else {
                return Ok(0);
            };
            match parts.blocking_recv() {
                Some(part) => self.part = part?,
                None => self.parts = None,
            }
        }
        let count = self.part.len().min(buffer.len());
        self.part.copy_to_slice(&mut buffer[..count]);
        Ok(count)
    }
}
