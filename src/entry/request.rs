//! A caller's request: wraps the library's request and handles bodies that are not read to their end.
//!
//! When a `tiny_http::Request` is dropped, the library reads the rest of a body of stated length, without
//! a time limit and into a buffer of that length; it parses the rest of a chunked body as the next
//! request.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tiny_http::{Response, StatusCode};

use super::pipelining::Turn;
use super::raw_socket;
use super::watchdog::{Guard, TimeoutAction, Watchdog};
use super::InFlightGuard;

/// Bodies up to this size are read by the library before it returns the request, in bytes.
const READ_AHEAD_BYTES: u64 = 1024;
/// How long the rest of a refused body is read, so that the caller can receive the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of a refused chunked body that are read.
const MAX_DRAIN_BYTES: u64 = 32 << 20;
/// Largest unread rest of a body for which the library may allocate a buffer, in bytes.
const MAX_UNREAD_BYTES: u64 = 1 << 30;
/// Size of the buffer for draining a body, in bytes.
const DRAIN_BUFFER_BYTES: usize = 64 << 10;

/// How long after a request was read its caller is taken to wait for the answer, without a check.
const CALLER_CHECK_AFTER: Duration = Duration::from_millis(200);

/// A request that has to be answered exactly once.
pub(crate) struct Request {
    inner: Option<tiny_http::Request>,
    framing: Framing,
    bytes_read: u64,
    watchdog: Watchdog,
    body_guard: Option<Guard>,
    /// When it was read, or none if that may have been long after it had arrived.
    read_at: Option<Instant>,
    /// Whether the answer tells the caller to close the connection, once that is set.
    is_leaving: Arc<AtomicBool>,
    /// Counts the request as unanswered.
    open: Option<InFlightGuard>,
    // Dropped last: the next request of the connection may be answered only after this one.
    turn: Option<Turn>,
}

/// How the end of the body is determined, and whether it has been reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// The body has been read to its end.
    Complete,
    /// The body ends after this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The chunked encoding is invalid or reading it failed.
    Invalid,
}

impl Request {
    /// Wraps a request; `watchdog` limits the time for reading its body.
    pub(crate) fn new(inner: tiny_http::Request, watchdog: &Watchdog) -> Self {
        Self {
            framing: framing_of(&inner),
            inner: Some(inner),
            bytes_read: 0,
            watchdog: watchdog.clone(),
            body_guard: None,
            read_at: Some(Instant::now()),
            is_leaving: Arc::default(),
            open: None,
            turn: None,
        }
    }

    /// Has the answer close the connection if `is_leaving` is set when it is sent, and counts the
    /// request until then.
    pub(crate) fn with_shutdown(
        mut self,
        is_leaving: Arc<AtomicBool>,
        open: InFlightGuard,
    ) -> Self {
        self.is_leaving = is_leaving;
        self.open = Some(open);
        self
    }

    /// Marks a request that may have arrived long before it was read.
    pub(crate) fn with_late_read(mut self, is_late: bool) -> Self {
        self.read_at = self.read_at.filter(|_| !is_late);
        self
    }

    /// Whether the caller has closed the connection, as far as this is worth a check: the library does
    /// not tell.
    pub(crate) fn has_caller_left(&self) -> bool {
        let read_at = self.read_at;
        let is_recent = read_at.is_some_and(|at| at.elapsed() < CALLER_CHECK_AFTER);
        !is_recent
            && self
                .remote_addr()
                .copied()
                .is_some_and(raw_socket::is_closed_by)
    }

    /// Attaches the request's turn on its connection.
    pub(crate) fn with_turn(mut self, turn: Turn) -> Self {
        self.turn = Some(turn);
        self
    }

    /// Whether a part of the body is still unread.
    pub(crate) fn has_body_left(&self) -> bool {
        self.framing != Framing::Complete
    }

    /// Stops reading the body at `deadline`.
    pub(crate) fn limit_body(&mut self, deadline: Instant) {
        if self.framing == Framing::Complete {
            return;
        }
        let timeout = deadline.saturating_duration_since(Instant::now());
        let peer = self.remote_addr().copied();
        self.body_guard =
            peer.map(|peer| self.watchdog.guard(peer, timeout, TimeoutAction::CloseRead));
    }

    /// Returns a reader for the body.
    pub(crate) fn as_reader(&mut self) -> &mut dyn Read {
        self
    }

    /// Sends the answer. Returns an error if it could not be sent completely.
    pub(crate) fn respond<R: Read>(mut self, response: Response<R>) -> io::Result<()> {
        self.body_guard = None;
        let Some(peer) = self.remote_addr().copied() else {
            return self.respond_now(response);
        };
        match self.framing {
            Framing::Complete => self.respond_now(response),
            Framing::Length(length) if length - self.bytes_read > MAX_UNREAD_BYTES => {
                self.respond_and_leak(peer, response)
            }
            _ if self.awaits_continue() => {
                raw_socket::close_read(peer);
                self.respond_now(response)
            }
            Framing::Length(_) => {
                // The library writes the answer and then reads the rest of the body.
                let _guard = self
                    .watchdog
                    .guard(peer, LINGER_TIMEOUT, TimeoutAction::CloseRead);
                self.respond_now(response)
            }
            Framing::Chunked | Framing::Invalid => {
                let guard = self
                    .watchdog
                    .guard(peer, LINGER_TIMEOUT, TimeoutAction::CloseRead);
                self.drain();
                drop(guard);
                if self.framing != Framing::Complete {
                    if let Some(turn) = &mut self.turn {
                        turn.close_at_end();
                    }
                }
                self.respond_now(response)
            }
        }
    }

    fn respond_now<R: Read>(&mut self, response: Response<R>) -> io::Result<()> {
        let Some(inner) = self.inner.take() else {
            return Ok(());
        };
        if !self.is_leaving.load(Ordering::Relaxed) {
            return inner.respond(response);
        }
        let version = inner.http_version().clone();
        let request_headers = inner.headers().to_vec();
        let is_head = *inner.method() == tiny_http::Method::Head;
        let mut writer = ClosingWriter::new(inner.into_writer());
        response.raw_print(&mut writer, version, &request_headers, is_head, None)?;
        writer.flush()
    }

    /// Whether the caller still waits for `100 Continue` before it sends the body.
    fn awaits_continue(&self) -> bool {
        let is_expect = |header: &tiny_http::Header| header.field.equiv("Expect");
        self.bytes_read == 0 && self.headers().iter().any(is_expect)
    }

    fn drain(&mut self) {
        let mut buffer = vec![0; DRAIN_BUFFER_BYTES];
        let mut left = MAX_DRAIN_BYTES;
        while left > 0 && self.framing == Framing::Chunked {
            match self.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => left = left.saturating_sub(count as u64),
            }
        }
    }

    /// Answers directly on the socket and leaks the library's request: on drop the library would allocate
    /// a buffer as large as the rest of the body, and the process would run out of memory. This also
    /// leaks a thread and the connection's file descriptor.
    fn respond_and_leak<R: Read>(
        mut self,
        peer: SocketAddr,
        response: Response<R>,
    ) -> io::Result<()> {
        spdlog::error!("http: {peer} announced a body of absurd length; a thread is lost to it");
        let mut bytes = Vec::new();
        let version = self.http_version().clone();
        let printed = response.raw_print(&mut bytes, version, &[], false, None);
        let result = printed.and_then(|()| raw_socket::write(peer, &bytes));
        if let Some(turn) = &mut self.turn {
            turn.close_at_end();
        }
        std::mem::forget(self.inner.take());
        result
    }
}

impl Deref for Request {
    type Target = tiny_http::Request;

    fn deref(&self) -> &tiny_http::Request {
        // `inner` is taken only when the request is answered, which consumes it.
        self.inner
            .as_ref()
            .expect("the request has already been answered")
    }
}

impl Read for Request {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(inner) = self.inner.as_mut() else {
            return Ok(0);
        };
        if self.framing == Framing::Complete && inner.body_length().is_none() {
            return Ok(0);
        }
        let result = inner.as_reader().read(buffer);
        let is_chunked = matches!(self.framing, Framing::Chunked);
        match &result {
            Ok(0) if buffer.is_empty() => {}
            Ok(0) if is_chunked => self.framing = Framing::Complete,
            Err(_) if is_chunked => self.framing = Framing::Invalid,
            Ok(count) => self.bytes_read += *count as u64,
            Err(_) => {}
        }
        if self.framing == Framing::Length(self.bytes_read) {
            self.framing = Framing::Complete;
        }
        if self.framing == Framing::Complete {
            self.body_guard = None;
        }
        result
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        // Not answered yet: the thread that handled it panicked, or its connection is closed.
        if let Some(inner) = self.inner.take() {
            let unanswered = Self {
                inner: Some(inner),
                framing: self.framing,
                bytes_read: self.bytes_read,
                watchdog: self.watchdog.clone(),
                body_guard: None,
                read_at: self.read_at,
                is_leaving: self.is_leaving.clone(),
                open: self.open.take(),
                turn: self.turn.take(),
            };
            let _ = unanswered.respond(Response::empty(StatusCode(500)));
        }
    }
}

/// Adds a header to a response that tells the caller to close the connection: the library doesn't
/// send it.
struct ClosingWriter<W> {
    inner: W,
    has_added: bool,
}

impl<W: Write> ClosingWriter<W> {
    const HEADER: &[u8] = b"Connection: close\r\n";

    fn new(inner: W) -> Self {
        Self {
            inner,
            has_added: false,
        }
    }
}

impl<W: Write> Write for ClosingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.has_added {
            return self.inner.write(bytes);
        }
        // The status line ends with the first line feed.
        let line = bytes.iter().position(|byte| *byte == b'\n');
        let Some(end) = line.map(|position| position + 1) else {
            return self.inner.write(bytes);
        };
        self.inner.write_all(&bytes[..end])?;
        self.inner.write_all(Self::HEADER)?;
        self.has_added = true;
        Ok(end)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

fn framing_of(request: &tiny_http::Request) -> Framing {
    let is_chunked = |header: &tiny_http::Header| header.field.equiv("Transfer-Encoding");
    if request.headers().iter().any(is_chunked) {
        return Framing::Chunked;
    }
    let is_expect = |header: &tiny_http::Header| header.field.equiv("Expect");
    let expects = request.headers().iter().any(is_expect);
    match request.body_length() {
        None | Some(0) => Framing::Complete,
        Some(length) if length as u64 <= READ_AHEAD_BYTES && !expects => Framing::Complete,
        Some(length) => Framing::Length(length as u64),
    }
}
