//! Targets that follow a script on a bare socket, to the byte.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use crate::cluster::free_address;

/// What a target does with a connection or a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// It answers.
    Serve,
    /// It answers after so many milliseconds.
    Slow(u64),
    /// It answers with the head of the request, and with headers that must and must not pass.
    Echo,
    /// It answers in chunks.
    Chunked,
    /// It answers with a header of that many bytes.
    Header(usize),
    /// Nothing listens.
    Refuse,
    /// Connections are neither accepted nor refused.
    BlackHole,
    /// It resets each connection.
    ResetOnAccept,
    /// It closes each connection.
    CloseOnAccept,
    /// It resets the connection after reading so many bytes.
    CutForth(usize),
    /// It runs the request and closes the connection.
    LoseAnswer,
    /// It runs the request and resets the connection.
    ResetAnswer,
    /// It runs the request and closes after so many bytes of its answer.
    CutBack(usize),
    /// It runs the request and closes within a chunk of its answer.
    CutChunked,
    /// It runs the request, answers this and closes.
    Raw(&'static str),
    /// It runs the request and never answers.
    Hang,
    /// It answers 503 and says that the request did not run.
    Refusal,
    /// It answers and closes, without having said so.
    CloseAfterAnswer,
    /// It closes as soon as the second request on a connection begins.
    CloseAtSecond,
    /// It runs the second request on a connection and closes.
    LoseAtSecond,
    /// It runs the second request on a connection, closes, and nothing listens from then on.
    GoneAtSecond,
    /// It answers twice, the second time after so many milliseconds.
    Twice(u64),
    /// It answers, and soon after answers what nobody asked.
    Early,
}

/// How often it does so; otherwise it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Times {
    Always,
    First,
}

/// Two targets with one script and one count of runs.
pub struct Pair {
    pub addresses: [SocketAddr; 2],
    state: Arc<State>,
    _holders: Vec<Holder>,
}

struct State {
    act: Act,
    times: Times,
    met: AtomicUsize,
    runs: Mutex<BTreeMap<String, usize>>,
    listeners: Mutex<Vec<TcpListener>>,
}

/// What keeps an address as it is.
enum Holder {
    Socket(#[allow(dead_code)] Socket),
    Stream(#[allow(dead_code)] TcpStream),
}

/// The body of the answer to a call.
pub fn body(call: &str) -> String {
    format!("the whole answer to {call}, and to no other")
}

impl Pair {
    pub fn new(act: Act, times: Times) -> Self {
        let state = Arc::new(State {
            act,
            times,
            met: AtomicUsize::new(0),
            runs: Mutex::default(),
            listeners: Mutex::default(),
        });
        let mut holders = Vec::new();
        let addresses = [0, 1].map(|_| match act {
            Act::Refuse => free_address(),
            Act::BlackHole => black_hole(&mut holders),
            _ => listen(&state),
        });
        Self {
            addresses,
            state,
            _holders: holders,
        }
    }

    /// How often a call ran.
    pub fn runs(&self, call: &str) -> usize {
        let runs = self.state.runs.lock().unwrap();
        runs.get(call).copied().unwrap_or_default()
    }
}

/// A listening socket whose queue is full.
fn black_hole(holders: &mut Vec<Holder>) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let time = Duration::from_millis(100);
    while let Ok(stream) = TcpStream::connect_timeout(&address, time) {
        holders.push(Holder::Stream(stream));
    }
    holders.push(Holder::Socket(socket));
    address
}

fn listen(state: &Arc<State>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = state.clone();
    let kept = listener.try_clone().unwrap();
    state.listeners.lock().unwrap().push(kept);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = state.clone();
            thread::spawn(move || serve(&state, stream));
        }
    });
    address
}

impl State {
    /// What the next connection or request meets.
    fn next(&self) -> Act {
        let met = self.met.fetch_add(1, Ordering::SeqCst);
        match self.times {
            Times::First if met > 0 => Act::Serve,
            _ => self.act,
        }
    }

    /// Refuses connections from now on.
    fn close(&self) {
        for listener in self.listeners.lock().unwrap().iter() {
            let _ = SockRef::from(listener).shutdown(Shutdown::Both);
        }
    }

    fn run(&self, call: &str) {
        *self.runs.lock().unwrap().entry(call.into()).or_default() += 1;
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

const HEALTH: &[u8] = b"GET /health ";

/// Whether a connection begins with a question for the target's health. Those are always answered,
/// so that they meet no fault that is meant for a request.
fn asks_health(stream: &TcpStream) -> bool {
    let mut bytes = [0; HEALTH.len()];
    loop {
        match stream.peek(&mut bytes) {
            Ok(count) if count == bytes.len() => return bytes == HEALTH,
            Ok(count) if count > 0 && HEALTH.starts_with(&bytes[..count]) => thread::yield_now(),
            _ => return false,
        }
    }
}

fn serve_health(stream: &mut TcpStream) -> io::Result<()> {
    let mut input = Vec::new();
    while read(stream, &mut input)?.is_some() {
        let body = r#"{"state":"serving"}"#;
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn serve(state: &State, mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    if asks_health(&stream) {
        let _ = serve_health(&mut stream);
        return;
    }
    let on_accept = matches!(
        state.act,
        Act::ResetOnAccept | Act::CloseOnAccept | Act::CutForth(_)
    );
    let act = if on_accept { state.next() } else { Act::Serve };
    match act {
        Act::ResetOnAccept => return reset(&stream),
        Act::CloseOnAccept => return,
        Act::CutForth(count) => {
            let mut bytes = vec![0; count];
            let _ = stream.read_exact(&mut bytes);
            return reset(&stream);
        }
        _ => {}
    }
    let mut input = Vec::new();
    let mut number = 0;
    loop {
        number += 1;
        if number == 2 && state.act == Act::CloseAtSecond {
            let _ = stream.read(&mut [0]);
            return reset(&stream);
        }
        let Ok(Some(request)) = read(&mut stream, &mut input) else {
            return;
        };
        let act = if on_accept { Act::Serve } else { state.next() };
        if act != Act::Refusal {
            state.run(&request.call);
        }
        if act == Act::LoseAtSecond && number == 2 {
            return;
        }
        if act == Act::GoneAtSecond && number == 2 {
            return state.close();
        }
        match respond(&mut stream, act, &request) {
            Ok(true) => {}
            _ => return,
        }
    }
}

/// Answers as the script says, and tells whether the connection goes on.
fn respond(stream: &mut TcpStream, act: Act, request: &Request) -> io::Result<bool> {
    let good = good(request, "");
    let good = good.as_bytes();
    match act {
        Act::Slow(ms) => {
            thread::sleep(Duration::from_millis(ms));
            stream.write_all(good)?;
        }
        Act::Echo => stream.write_all(echo(request).as_bytes())?,
        Act::Chunked => stream.write_all(chunked(request).as_bytes())?,
        Act::CutChunked => {
            let text = chunked(request);
            stream.write_all(&text.as_bytes()[..text.len() - 12])?;
            return Ok(false);
        }
        Act::Header(size) => {
            let header = format!("Large: {}\r\n", "l".repeat(size));
            stream.write_all(self::good(request, &header).as_bytes())?;
        }
        Act::LoseAnswer => return Ok(false),
        Act::ResetAnswer => {
            reset(stream);
            return Ok(false);
        }
        Act::CutBack(count) => {
            stream.write_all(&good[..count])?;
            return Ok(false);
        }
        Act::Raw(text) => {
            let body = body(&request.call);
            let text = text
                .replace("{length}", &body.len().to_string())
                .replace("{body}", &body);
            stream.write_all(text.as_bytes())?;
            stream.shutdown(Shutdown::Write)?;
            let _ = io::copy(stream, &mut io::sink());
            return Ok(false);
        }
        Act::Hang => {
            let _ = io::copy(stream, &mut io::sink());
            return Ok(false);
        }
        Act::Refusal => stream.write_all(
            b"HTTP/1.1 503 Busy\r\nRagwortfold-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
        )?,
        Act::CloseAfterAnswer => {
            stream.write_all(good)?;
            return Ok(false);
        }
        Act::Twice(ms) => {
            stream.write_all(good)?;
            thread::sleep(Duration::from_millis(ms));
            stream.write_all(good)?;
        }
        Act::Early => {
            stream.write_all(good)?;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")?;
        }
        _ => stream.write_all(good)?,
    }
    Ok(true)
}

fn good(request: &Request, header: &str) -> String {
    let body = body(&request.call);
    let shown = if request.head_only { "" } else { &body };
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {}\r\n{header}Content-Length: {length}\r\n\r\n{shown}",
        request.id
    )
}

fn echo(request: &Request) -> String {
    let length = request.head.len();
    format!(
        "HTTP/1.1 200 OK\r\nConnection: keep-alive, X-Listed\r\nKeep-Alive: timeout=5\r\n\
         X-Listed: no\r\nUpgrade: none\r\nProxy-Authenticate: no\r\n\
         X-MiXed: a  b;c=\"d\" , e\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\
         Ragwortfold-Load: 0/4\r\nContent-Length: {length}\r\n\r\n{}",
        request.head
    )
}

fn chunked(request: &Request) -> String {
    let body = body(&request.call);
    let mut text = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for part in body.as_bytes().chunks(7) {
        let part = std::str::from_utf8(part).unwrap();
        text += &format!("{:x}\r\n{part}\r\n", part.len());
    }
    text + "0\r\n\r\n"
}

struct Request {
    head: String,
    call: String,
    id: String,
    head_only: bool,
}

/// Reads one whole request; nothing at an orderly end.
fn read(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if !fill(stream, input)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    input.drain(..end);
    let value = |name: &str| {
        head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            let found = key.eq_ignore_ascii_case(name);
            found.then(|| value.trim().to_owned())
        })
    };
    let length = value("content-length").map_or(0, |text| text.parse().unwrap());
    while input.len() < length {
        if !fill(stream, input)? {
            return Ok(None);
        }
    }
    input.drain(..length);
    Ok(Some(Request {
        call: value("standin-call").unwrap_or_default(),
        id: value("ragwortfold-request-id").unwrap_or_default(),
        head_only: head.starts_with("HEAD "),
        head,
    }))
}

fn fill(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<bool> {
    let mut piece = [0; 16 << 10];
    let count = stream.read(&mut piece)?;
    input.extend_from_slice(&piece[..count]);
    Ok(count > 0)
}
