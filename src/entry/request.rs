//! A caller's request: the library's, with care for a body that is not read to its end.
//!
//! When a `tiny_http::Request` is dropped, the library reads what is left of a body of stated length,
//! without end and into a buffer of that length; what is left of a chunked one it takes for the next
//! request.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::ops::Deref;
use std::time::{Duration, Instant};

use tiny_http::{Response, StatusCode};

use super::pipelining::Turn;
use super::raw_socket;
use super::watchdog::{Act, Guard, Watch};

/// Bodies up to this size are read before the library hands a request over, in bytes.
const READ_AHEAD: u64 = 1024;
/// How long the rest of a refused body is read, so that the caller gets to read the answer.
const LINGER: Duration = Duration::from_millis(500);
/// The most of a refused chunked body that is read, in bytes.
const MAX_DRAIN: u64 = 32 << 20;
/// The largest rest of a body for which the library may make a buffer, in bytes.
const MAX_LEFT: u64 = 1 << 30;
/// Bytes read at once while a body is drained.
const PIECE: usize = 64 << 10;

/// A request, and the answer that is due to it.
pub(crate) struct Request {
    inner: Option<tiny_http::Request>,
    framing: Framing,
    read: u64,
    watch: Watch,
    body_guard: Option<Guard>,
    // Dropped last: the next request of the connection may be answered only then.
    turn: Option<Turn>,
}

/// How the body ends, and whether it was read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// It has been read whole.
    Ended,
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunks,
    /// The sender broke its rules.
    Broken,
}

impl Request {
    /// Wraps a request, whose connection is watched while its body is read.
    pub(crate) fn new(inner: tiny_http::Request, watch: &Watch) -> Self {
        Self {
            framing: framing(&inner),
            inner: Some(inner),
            read: 0,
            watch: watch.clone(),
            body_guard: None,
            turn: None,
        }
    }

    /// The request has its turn on its connection.
    pub(crate) fn with_turn(mut self, turn: Turn) -> Self {
        self.turn = Some(turn);
        self
    }

    /// Whether a part of the body is still to be read.
    pub(crate) fn has_body_left(&self) -> bool {
        self.framing != Framing::Ended
    }

    /// Gives up reading the body at `deadline`.
    pub(crate) fn limit_body(&mut self, deadline: Instant) {
        if self.framing == Framing::Ended {
            return;
        }
        let time = deadline.saturating_duration_since(Instant::now());
        let peer = self.remote_addr().copied();
        self.body_guard = peer.map(|peer| self.watch.guard(peer, time, Act::CloseRead));
    }

    /// The body.
    pub(crate) fn as_reader(&mut self) -> &mut dyn Read {
        self
    }

    /// Gives the answer. Returns an error if it broke off.
    pub(crate) fn respond<R: Read>(mut self, response: Response<R>) -> io::Result<()> {
        self.body_guard = None;
        let Some(peer) = self.remote_addr().copied() else {
            return self.respond_now(response);
        };
        match self.framing {
            Framing::Ended => self.respond_now(response),
            Framing::Length(length) if length - self.read > MAX_LEFT => {
                self.abandon(peer, response)
            }
            _ if self.awaits_continue() => {
                raw_socket::close_read(peer);
                self.respond_now(response)
            }
            Framing::Length(_) => {
                // The library writes the answer, and then reads the rest.
                let _guard = self.watch.guard(peer, LINGER, Act::CloseRead);
                self.respond_now(response)
            }
            Framing::Chunks | Framing::Broken => {
                let guard = self.watch.guard(peer, LINGER, Act::CloseRead);
                self.drain();
                drop(guard);
                if self.framing != Framing::Ended {
                    if let Some(turn) = &mut self.turn {
                        turn.close();
                    }
                }
                self.respond_now(response)
            }
        }
    }

    fn respond_now<R: Read>(&mut self, response: Response<R>) -> io::Result<()> {
        let inner = self.inner.take();
        inner.map_or(Ok(()), |inner| inner.respond(response))
    }

    /// Whether the caller was not yet told to send the body.
    fn awaits_continue(&self) -> bool {
        let expects = |header: &tiny_http::Header| header.field.equiv("Expect");
        self.read == 0 && self.headers().iter().any(expects)
    }

    fn drain(&mut self) {
        let mut piece = vec![0; PIECE];
        let mut left = MAX_DRAIN;
        while left > 0 && self.framing == Framing::Chunks {
            match self.read(&mut piece) {
                Ok(0) | Err(_) => return,
                Ok(count) => left = left.saturating_sub(count as u64),
            }
        }
    }

    /// Answers past the library, and never lets go of the request: the library would make a buffer as
    /// large as the rest of the body, and the process end for lack of memory. A thread and a
    /// connection's file are lost with it.
    fn abandon<R: Read>(mut self, peer: SocketAddr, response: Response<R>) -> io::Result<()> {
        spdlog::error!("http: {peer} announced a body of absurd length; a thread is lost to it");
        let mut bytes = Vec::new();
        let version = self.http_version().clone();
        let printed = response.raw_print(&mut bytes, version, &[], false, None);
        let result = printed.and_then(|()| raw_socket::write(peer, &bytes));
        if let Some(turn) = &mut self.turn {
            turn.close();
        }
        std::mem::forget(self.inner.take());
        result
    }
}

impl Deref for Request {
    type Target = tiny_http::Request;

    fn deref(&self) -> &tiny_http::Request {
        // It is there until the request is answered, which consumes it.
        self.inner.as_ref().expect("a request that was answered")
    }
}

impl Read for Request {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(inner) = self.inner.as_mut() else {
            return Ok(0);
        };
        if self.framing == Framing::Ended && inner.body_length().is_none() {
            return Ok(0);
        }
        let result = inner.as_reader().read(buffer);
        let chunked = matches!(self.framing, Framing::Chunks);
        match &result {
            Ok(0) if buffer.is_empty() => {}
            Ok(0) if chunked => self.framing = Framing::Ended,
            Err(_) if chunked => self.framing = Framing::Broken,
            Ok(count) => self.read += *count as u64,
            Err(_) => {}
        }
        if self.framing == Framing::Length(self.read) {
            self.framing = Framing::Ended;
        }
        if self.framing == Framing::Ended {
            self.body_guard = None;
        }
        result
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        // Without an answer so far: a thread that carried it has panicked, or its connection is gone.
        if let Some(inner) = self.inner.take() {
            let again = Self {
                inner: Some(inner),
                framing: self.framing,
                read: self.read,
                watch: self.watch.clone(),
                body_guard: None,
                turn: self.turn.take(),
            };
            let _ = again.respond(Response::empty(StatusCode(500)));
        }
    }
}

fn framing(request: &tiny_http::Request) -> Framing {
    let chunked = |header: &tiny_http::Header| header.field.equiv("Transfer-Encoding");
    if request.headers().iter().any(chunked) {
        return Framing::Chunks;
    }
    let expects = |header: &tiny_http::Header| header.field.equiv("Expect");
    let expects = request.headers().iter().any(expects);
    match request.body_length() {
        None | Some(0) => Framing::Ended,
        Some(length) if length as u64 <= READ_AHEAD && !expects => Framing::Ended,
        Some(length) => Framing::Length(length as u64),
    }
}
