//! A small HTTP/1.1 server over `httparse` that leaves the connection in the hands of its user.
//!
//! `tiny_http` gives no hold of the socket: it cannot end a connection without an answer, send a
//! reset, bound the connections or break an answer off, which is what stand-ins are for.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::listen::{self, Gate, Listener};
use crate::{lock, Error};

/// Largest request head, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Largest request body, in bytes.
const MAX_BODY: usize = 64 << 20;
const MAX_HEADERS: usize = 100;
/// Size of one read, and of one chunk of a chunked answer, in bytes.
const CHUNK: usize = 64 << 10;
/// Idle connections are closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const STACK: usize = 256 << 10;

/// One request with its whole body.
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

    /// A header or query value as a number.
    pub(crate) fn number(&self, header: &str) -> Option<u64> {
        self.header(header)?.trim().parse().ok()
    }
}

/// How the body of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// With a `Content-Length`.
    Length,
    /// In chunks.
    Chunked,
    /// With a `Content-Length`, of which half is sent before the connection ends.
    Truncated,
}

/// An answer.
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

    /// A JSON answer.
    pub(crate) fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(status, body).with_header("Content-Type", "application/json")
    }

    /// A JSON answer that says what went wrong.
    pub(crate) fn error(status: u16, text: &str) -> Self {
        Self::json(status, &BTreeMap::from([("error", text)]))
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// What becomes of a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// It is answered.
    Answer(Response),
    /// These bytes are sent as they are, then the connection ends.
    Raw(Vec<u8>),
    /// The connection ends without an answer.
    Close,
    /// The connection is reset without an answer.
    Reset,
    /// Nothing is ever sent, until the peer or the server ends the connection.
    Hang,
}

impl From<Response> for Reply {
    fn from(response: Response) -> Self {
        Self::Answer(response)
    }
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

struct Shared {
    handler: Box<Handler>,
    connections: Mutex<BTreeMap<u64, Arc<TcpStream>>>,
    limit: usize,
    peak: AtomicUsize,
    over: AtomicU64,
}

/// A server with one thread for each open connection, up to a limit.
pub(crate) struct Server {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Server {
    /// Serves `address`; a connection beyond `limit` is reset.
    pub(crate) fn new(
        address: SocketAddr,
        limit: usize,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            handler: Box::new(handler),
            connections: Mutex::default(),
            limit,
            peak: AtomicUsize::new(0),
            over: AtomicU64::new(0),
        });
        let inner = Arc::clone(&shared);
        let mut next = 0;
        let listener = Listener::new(address, move |stream| {
            next += 1;
            // A connection that can't be taken over has ended, which its other side sees.
            if let Ok(stream) = blocking(stream) {
                open(&inner, next, stream);
            }
        })?;
        Ok(Self { listener, shared })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Refuses new connections, or accepts them again.
    pub(crate) fn set(&self, gate: Gate) {
        self.listener.set(gate);
    }

    /// Ends every open connection as a dying process would.
    pub(crate) fn close_connections(&self) {
        for stream in lock(&self.shared.connections).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Open connections, the most that were open at once, and those refused beyond the limit.
    pub(crate) fn connections(&self) -> (usize, usize, u64) {
        let open = lock(&self.shared.connections).len();
        let peak = self.shared.peak.load(Ordering::Relaxed);
        (open, peak, self.shared.over.load(Ordering::Relaxed))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.listener.set(Gate::Stopped);
        self.close_connections();
    }
}

fn blocking(stream: tokio::net::TcpStream) -> io::Result<TcpStream> {
    let stream = stream.into_std()?;
    stream.set_nonblocking(false)?;
    Ok(stream)
}

fn open(shared: &Arc<Shared>, id: u64, stream: TcpStream) {
    let stream = Arc::new(stream);
    {
        let mut connections = lock(&shared.connections);
        if connections.len() >= shared.limit {
            shared.over.fetch_add(1, Ordering::Relaxed);
            listen::reset(&*stream);
            return;
        }
        connections.insert(id, Arc::clone(&stream));
        shared.peak.fetch_max(connections.len(), Ordering::Relaxed);
    }
    let inner = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("serve".into())
        .stack_size(STACK)
        .spawn(move || {
            let _ = serve(&inner, &stream);
            lock(&inner.connections).remove(&id);
        });
    if spawned.is_err() {
        lock(&shared.connections).remove(&id);
    }
}

/// Serves one connection until it ends.
fn serve(shared: &Shared, stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(IDLE_TIMEOUT))?;
    let mut input = Input {
        stream,
        buffer: Vec::new(),
        peer: stream.peer_addr()?,
    };
    while let Some((request, keep)) = input.request()? {
        let head_only = request.method == "HEAD";
        match (shared.handler)(request) {
            Reply::Answer(response) => {
                let cut = response.framing == Framing::Truncated;
                write_response(stream, &response, head_only, keep && !cut)?;
                if cut || !keep {
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
                input.drain();
                break;
            }
        }
    }
    stream.shutdown(Shutdown::Both)
}

/// The reading side of a connection.
struct Input<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
    peer: SocketAddr,
}

impl Input<'_> {
    /// The next request and whether the connection is kept after it; none at an orderly end.
    fn request(&mut self) -> io::Result<Option<(Request, bool)>> {
        loop {
            if let Some(head) = parse(&self.buffer)? {
                self.buffer.drain(..head.length);
                return self.complete(head).map(Some);
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(invalid("head too long"));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn complete(&mut self, head: Head) -> io::Result<(Request, bool)> {
        let mut request = head.request(self.peer);
        if request.header("Expect").is_some() {
            let mut writer = self.stream;
            writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let chunked = request.header("Transfer-Encoding").is_some();
        let length = request.number("Content-Length").unwrap_or(0) as usize;
        request.body = if chunked {
            self.chunks()?
        } else {
            self.exactly(length)?
        };
        let closes = request
            .header("Connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        Ok((request, !closes))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_BODY {
            return Err(invalid("body too long"));
        }
        let buffered = length.min(self.buffer.len());
        let mut body: Vec<u8> = self.buffer.drain(..buffered).collect();
        body.resize(length, 0);
        self.stream.read_exact(&mut body[buffered..])?;
        Ok(body)
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let (start, size) = match httparse::parse_chunk_size(&line) {
                Ok(httparse::Status::Complete(found)) => found,
                _ => return Err(invalid("bad chunk size")),
            };
            debug_assert_eq!(start, line.len());
            if size == 0 {
                while self.line()? != b"\r\n" {}
                return Ok(body);
            }
            if body.len() as u64 + size > MAX_BODY as u64 {
                return Err(invalid("body too long"));
            }
            body.extend(self.exactly(size as usize)?);
            self.line()?;
        }
    }

    /// One line with its end.
    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                return Ok(self.buffer.drain(..=at).collect());
            }
            if self.buffer.len() > MAX_HEAD || self.fill()? == 0 {
                return Err(invalid("line cut"));
            }
        }
    }

    /// Reads until the connection ends.
    fn drain(&mut self) {
        let _ = self.stream.set_read_timeout(None);
        while self.fill().is_ok_and(|n| n > 0) {
            self.buffer.clear();
        }
    }
}

struct Head {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    length: usize,
}

impl Head {
    fn request(self, peer: SocketAddr) -> Request {
        let (path, query) = self.target.split_once('?').unwrap_or((&self.target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Request {
            method: self.method,
            path: decode(path),
            query: pairs
                .map(|(name, value)| (decode(name), decode(value)))
                .collect(),
            headers: self.headers,
            body: Vec::new(),
            peer,
        }
    }
}

fn parse(buffer: &[u8]) -> io::Result<Option<Head>> {
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

/// Undoes percent encoding.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|h| std::str::from_utf8(h).ok());
        let coded = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        match (first, coded) {
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
    head_only: bool,
    keep: bool,
) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {} {}\r\n",
        response.status,
        reason(response.status)
    );
    for (name, value) in &response.headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    if !keep && response.framing != Framing::Truncated {
        bytes += "Connection: close\r\n";
    }
    let chunked = response.framing == Framing::Chunked;
    if chunked {
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
    } else {
        bytes += &format!("Content-Length: {}\r\n\r\n", response.body.len());
    }
    let mut bytes = bytes.into_bytes();
    let body = &response.body;
    match response.framing {
        _ if head_only => {}
        Framing::Length => bytes.extend_from_slice(body),
        Framing::Truncated => bytes.extend_from_slice(&body[..body.len() / 2]),
        Framing::Chunked => {
            // Small chunks even in a small answer, so that their ends are met.
            for part in body.chunks((body.len() / 3).clamp(1, CHUNK)) {
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

fn reason(status: u16) -> &'static str {
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

fn invalid(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}
