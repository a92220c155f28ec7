//! A small HTTP/1.1 server over `httparse` whose handlers control the connection.
//!
//! `tiny_http` does not expose the socket: it can't close a connection without a response, send a
//! reset, limit the connections or truncate a response, all of which the stand-ins need.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::listen::{self, Listener, ListenerState};
use crate::{lock, Error};

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
const MAX_HEADERS: usize = 100;
/// Limit of a chunk of a chunked response, in bytes.
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Time limit of each read and write, after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const STACK_BYTES: usize = 256 << 10;

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    /// The path without the query.
    pub(crate) path: String,
    pub(crate) query: BTreeMap<String, String>,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) peer: SocketAddr,
}

impl Request {
    /// The first header of that name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The value of a header as a number.
    pub(crate) fn number(&self, header: &str) -> Option<u64> {
        self.header(header)?.trim().parse().ok()
    }
}

/// How the body of a response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// With a `Content-Length`.
    Length,
    /// In chunks.
    Chunked,
    /// With a `Content-Length`, of which half is sent before the connection is closed.
    Truncated,
}

/// A response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) framing: Framing,
}

impl Response {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            framing: Framing::Length,
        }
    }

    /// A response with a JSON body.
    pub(crate) fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(status, body).with_header("Content-Type", "application/json")
    }

    /// A response with an error message in a JSON body.
    pub(crate) fn error(status: u16, text: &str) -> Self {
        Self::json(status, &BTreeMap::from([("error", text)]))
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// What a handler does with a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Sends a response.
    Response(Response),
    /// Sends raw bytes, then closes the connection.
    Raw(Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Resets the connection without a response.
    Reset,
    /// Sends nothing until the peer or the server closes the connection.
    Hang,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        Self::Response(response)
    }
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

struct Shared {
    handler: Box<Handler>,
    connections: Mutex<BTreeMap<u64, Arc<TcpStream>>>,
    max_connections: usize,
    peak: AtomicUsize,
    over_limit: AtomicU64,
}

/// A server with one thread for each open connection, up to a limit.
pub(crate) struct Server {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Server {
    /// Serves `address`; connections beyond `max_connections` are reset.
    pub(crate) fn new(
        address: SocketAddr,
        max_connections: usize,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            handler: Box::new(handler),
            connections: Mutex::default(),
            max_connections,
            peak: AtomicUsize::new(0),
            over_limit: AtomicU64::new(0),
        });
        let inner = Arc::clone(&shared);
        let mut last_id = 0;
        let listener = Listener::new(address, move |stream| {
            last_id += 1;
            // If the stream can't be converted it is dropped, which closes the connection.
            if let Ok(stream) = into_blocking(stream) {
                start_connection(&inner, last_id, stream);
            }
        })?;
        Ok(Self { listener, shared })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Refuses new connections, or accepts them again.
    pub(crate) fn set_listener_state(&self, state: ListenerState) {
        self.listener.set_state(state);
    }

    /// Closes every open connection, as the kernel does when a process ends.
    pub(crate) fn close_connections(&self) {
        for stream in lock(&self.shared.connections).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The open connections, the most that were open at once, and those that were reset because of the limit.
    pub(crate) fn connection_counts(&self) -> (usize, usize, u64) {
        let open = lock(&self.shared.connections).len();
        let peak = self.shared.peak.load(Ordering::Relaxed);
        (open, peak, self.shared.over_limit.load(Ordering::Relaxed))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.listener.set_state(ListenerState::Stopped);
        self.close_connections();
    }
}

fn into_blocking(stream: tokio::net::TcpStream) -> io::Result<TcpStream> {
    let stream = stream.into_std()?;
    stream.set_nonblocking(false)?;
    Ok(stream)
}

/// Starts the thread that serves a connection, or resets the connection if there are too many.
fn start_connection(shared: &Arc<Shared>, id: u64, stream: TcpStream) {
    let stream = Arc::new(stream);
    {
        let mut connections = lock(&shared.connections);
        if connections.len() >= shared.max_connections {
            shared.over_limit.fetch_add(1, Ordering::Relaxed);
            listen::reset(&*stream);
            return;
        }
        connections.insert(id, Arc::clone(&stream));
        shared.peak.fetch_max(connections.len(), Ordering::Relaxed);
    }
    let inner = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("serve".into())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _ = serve_connection(&inner, &stream);
            lock(&inner.connections).remove(&id);
        });
    if spawned.is_err() {
        lock(&shared.connections).remove(&id);
    }
}

/// Serves a connection until it ends.
fn serve_connection(shared: &Shared, stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(IDLE_TIMEOUT))?;
    let mut reader = RequestReader {
        stream,
        buffer: Vec::new(),
        peer: stream.peer_addr()?,
    };
    while let Some((request, keep_alive)) = reader.read_request()? {
        let is_head = request.method == "HEAD";
        match (shared.handler)(request) {
            Reply::Response(response) => {
                let is_truncated = response.framing == Framing::Truncated;
                write_response(stream, &response, is_head, keep_alive && !is_truncated)?;
                if is_truncated || !keep_alive {
                    break;
                }
            }
            Reply::Raw(bytes) => {
                let mut writer = stream;
                writer.write_all(&bytes)?;
                break;
            }
            Reply::Close => break,
            Reply::Reset => {
                listen::reset(stream);
                return Ok(());
            }
            Reply::Hang => {
                reader.discard_all();
                break;
            }
        }
    }
    stream.shutdown(Shutdown::Both)
}

/// Reads requests from a connection.
struct RequestReader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
    peer: SocketAddr,
}

impl RequestReader<'_> {
    /// Reads the next request, and whether the connection stays open after it; none if the peer has closed the connection.
    fn read_request(&mut self) -> io::Result<Option<(Request, bool)>> {
        loop {
            if let Some(head) = parse_head(&self.buffer)? {
                self.buffer.drain(..head.length);
                return self.read_body(head).map(Some);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("head too long"));
            }
            if self.fill_buffer()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body of the request with the given head.
    fn read_body(&mut self, head: Head) -> io::Result<(Request, bool)> {
        let mut request = head.into_request(self.peer);
        if request.header("Expect").is_some() {
            let mut writer = self.stream;
            writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let is_chunked = request.header("Transfer-Encoding").is_some();
        let length = request.number("Content-Length").unwrap_or(0) as usize;
        request.body = if is_chunked {
            self.read_chunks()?
        } else {
            self.read_exact(length)?
        };
        let closes = request
            .header("Connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        Ok((request, !closes))
    }

    /// Reads once into the buffer; returns the number of bytes, 0 if the peer has closed the connection.
    fn fill_buffer(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_BODY_BYTES {
            return Err(invalid_data("body too long"));
        }
        let buffered = length.min(self.buffer.len());
        let mut body: Vec<u8> = self.buffer.drain(..buffered).collect();
        body.resize(length, 0);
        self.stream.read_exact(&mut body[buffered..])?;
        Ok(body)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let (start, size) = match httparse::parse_chunk_size(&line) {
                Ok(httparse::Status::Complete(found)) => found,
                _ => return Err(invalid_data("invalid chunk size")),
            };
            debug_assert_eq!(start, line.len());
            if size == 0 {
                while self.read_line()? != b"\r\n" {}
                return Ok(body);
            }
            if body.len() as u64 + size > MAX_BODY_BYTES as u64 {
                return Err(invalid_data("body too long"));
            }
            body.extend(self.read_exact(size as usize)?);
            self.read_line()?;
        }
    }

    /// Reads a line, with its line break.
    fn read_line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                return Ok(self.buffer.drain(..=at).collect());
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.fill_buffer()? == 0 {
                return Err(invalid_data("line too long or incomplete"));
            }
        }
    }

    /// Discards everything until the connection ends.
    fn discard_all(&mut self) {
        let _ = self.stream.set_read_timeout(None);
        while self.fill_buffer().is_ok_and(|n| n > 0) {
            self.buffer.clear();
        }
    }
}

/// The parsed head of a request.
struct Head {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    /// Length of the head in bytes.
    length: usize,
}

impl Head {
    fn into_request(self, peer: SocketAddr) -> Request {
        let (path, query) = self.target.split_once('?').unwrap_or((&self.target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Request {
            method: self.method,
            path: percent_decode(path),
            query: pairs
                .map(|(name, value)| (percent_decode(name), percent_decode(value)))
                .collect(),
            headers: self.headers,
            body: Vec::new(),
            peer,
        }
    }
}

fn parse_head(buffer: &[u8]) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error)),
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    Ok(Some(Head {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        headers: request
            .headers
            .iter()
            .map(|h| (h.name.to_owned(), text(h.value)))
            .collect(),
        length,
    }))
}

/// Decodes percent-encoded text.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        let decoded = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        match (first, decoded) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn write_response(
    stream: &TcpStream,
    response: &Response,
    is_head: bool,
    keep_alive: bool,
) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {} {}\r\n",
        response.status,
        reason_phrase(response.status)
    );
    for (name, value) in &response.headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    if !keep_alive && response.framing != Framing::Truncated {
        bytes += "Connection: close\r\n";
    }
    let is_chunked = response.framing == Framing::Chunked;
    if is_chunked {
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
    } else {
        bytes += &format!("Content-Length: {}\r\n\r\n", response.body.len());
    }
    let mut bytes = bytes.into_bytes();
    let body = &response.body;
    match response.framing {
        _ if is_head => {}
        Framing::Length => bytes.extend_from_slice(body),
        Framing::Truncated => bytes.extend_from_slice(&body[..body.len() / 2]),
        Framing::Chunked => {
            // Splits small bodies as well, so that clients have to join chunks.
            for part in body.chunks((body.len() / 3).clamp(1, MAX_CHUNK_BYTES)) {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
    }
    let mut writer = stream;
    writer.write_all(&bytes)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

fn invalid_data(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}
