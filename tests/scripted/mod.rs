//! Scripted targets on plain sockets, which control every byte of their answers.

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

/// Behavior of a target on a connection or a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Answers.
    Serve,
    /// Answers after this number of milliseconds.
    Slow(u64),
    /// Answers with the head of the request, and with headers that must and must not be forwarded.
    Echo,
    /// Answers with chunked transfer encoding.
    Chunked,
    /// Answers with a header of this number of bytes.
    Header(usize),
    /// Refuses connections: nothing listens.
    Refuse,
    /// Neither accepts nor refuses connections.
    BlackHole,
    /// Resets each connection.
    ResetOnAccept,
    /// Closes each connection.
    CloseOnAccept,
    /// Resets the connection after reading this number of bytes.
    ResetWhileReading(usize),
    /// Executes the request and closes the connection.
    CloseBeforeAnswer,
    /// Executes the request and resets the connection.
    ResetBeforeAnswer,
    /// Executes the request and closes after this number of bytes of its answer.
    TruncateAnswer(usize),
    /// Executes the request and closes within a chunk of its answer.
    TruncateChunkedAnswer,
    /// Executes the request, answers with this text and closes.
    Raw(&'static str),
    /// Executes the request, answers without a length and with this number of bytes, and resets the connection.
    ResetInAnswer(usize),
    /// The same after reading the given number of bytes of the request.
    ResetDuringUpload(usize, usize),
    /// Executes the request and never answers.
    Hang,
    /// Answers 503 and states that the request was not executed.
    Refusal,
    /// Answers and closes without having announced it.
    CloseAfterAnswer,
    /// Resets the connection as soon as its second request begins.
    ResetAtSecondRequest,
    /// Executes the second request on a connection and closes.
    CloseBeforeSecondAnswer,
    /// Executes the second request on a connection, closes it and stops listening.
    StopListeningAtSecondRequest,
    /// Answers twice, the second time after this number of milliseconds.
    AnswerTwice(u64),
    /// Answers, and then sends another answer without a request.
    UnsolicitedAnswer,
}

/// How often the behavior applies; otherwise the target answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Occurrence {
    Always,
    First,
}

/// Two targets that share a script and a count of executions.
pub struct ScriptedTargets {
    pub addresses: [SocketAddr; 2],
    state: Arc<State>,
    _reserved_sockets: Vec<ReservedSocket>,
}

struct State {
    behavior: Behavior,
    occurrence: Occurrence,
    behaviors_started: AtomicUsize,
    executions: Mutex<BTreeMap<String, usize>>,
    listeners: Mutex<Vec<TcpListener>>,
}

/// A socket that keeps an address in its state.
enum ReservedSocket {
    Socket(#[allow(dead_code)] Socket),
    Stream(#[allow(dead_code)] TcpStream),
}

/// Returns the body of the answer to a call.
pub fn body(call: &str) -> String {
    format!("the whole answer to {call}, and to no other")
}

impl ScriptedTargets {
    pub fn new(behavior: Behavior, occurrence: Occurrence) -> Self {
        let state = Arc::new(State {
            behavior,
            occurrence,
            behaviors_started: AtomicUsize::new(0),
            executions: Mutex::default(),
            listeners: Mutex::default(),
        });
        let mut reserved = Vec::new();
        let addresses = [0, 1].map(|_| match behavior {
            Behavior::Refuse => free_address(),
            Behavior::BlackHole => black_hole(&mut reserved),
            _ => listen(&state),
        });
        Self {
            addresses,
            state,
            _reserved_sockets: reserved,
        }
    }

    /// Returns how often a call was executed.
    pub fn executions(&self, call: &str) -> usize {
        let runs = self.state.executions.lock().unwrap();
        runs.get(call).copied().unwrap_or_default()
    }
}

/// Creates a listening socket whose accept queue is full.
fn black_hole(reserved: &mut Vec<ReservedSocket>) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let time = Duration::from_millis(100);
    while let Ok(stream) = TcpStream::connect_timeout(&address, time) {
        reserved.push(ReservedSocket::Stream(stream));
    }
    reserved.push(ReservedSocket::Socket(socket));
    address
}

fn listen(state: &Arc<State>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = state.clone();
    let listener_copy = listener.try_clone().unwrap();
    state.listeners.lock().unwrap().push(listener_copy);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = state.clone();
            thread::spawn(move || serve(&state, stream));
        }
    });
    address
}

impl State {
    /// Returns the behavior for the next connection or request.
    fn next_behavior(&self) -> Behavior {
        let started = self.behaviors_started.fetch_add(1, Ordering::SeqCst);
        match self.occurrence {
            Occurrence::First if started > 0 => Behavior::Serve,
            _ => self.behavior,
        }
    }

    /// Stops listening, so that new connections are refused.
    fn stop_listening(&self) {
        for listener in self.listeners.lock().unwrap().iter() {
            let _ = SockRef::from(listener).shutdown(Shutdown::Both);
        }
    }

    fn record_execution(&self, call: &str) {
        *self
            .executions
            .lock()
            .unwrap()
            .entry(call.into())
            .or_default() += 1;
    }
}

fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// Sends an answer without a length and with so many bytes, and resets the connection after these have been delivered.
fn reset_in_answer(stream: &mut TcpStream, count: usize) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
    stream.write_all(&vec![b'a'; count])?;
    thread::sleep(Duration::from_millis(100));
    reset(stream);
    Ok(())
}

const HEALTH: &[u8] = b"GET /health ";

/// Whether a connection begins with a health check. Those are always answered, so that they don't
/// trigger a fault intended for a request.
fn is_health_check(stream: &TcpStream) -> bool {
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
    while read_request(stream, &mut input)?.is_some() {
        let body = r#"{"state":"serving"}"#;
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn serve(state: &State, mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    if is_health_check(&stream) {
        let _ = serve_health(&mut stream);
        return;
    }
    let on_accept = matches!(
        state.behavior,
        Behavior::ResetOnAccept
            | Behavior::CloseOnAccept
            | Behavior::ResetWhileReading(_)
            | Behavior::ResetDuringUpload(..)
    );
    let behavior = if on_accept {
        state.next_behavior()
    } else {
        Behavior::Serve
    };
    match behavior {
        Behavior::ResetOnAccept => return reset(&stream),
        Behavior::CloseOnAccept => return,
        Behavior::ResetWhileReading(count) => {
            let mut bytes = vec![0; count];
            let _ = stream.read_exact(&mut bytes);
            return reset(&stream);
        }
        Behavior::ResetDuringUpload(count, sent) => {
            let _ = stream.read_exact(&mut vec![0; count]);
            let _ = reset_in_answer(&mut stream, sent);
            return;
        }
        _ => {}
    }
    let mut input = Vec::new();
    let mut request_number = 0;
    loop {
        request_number += 1;
        if request_number == 2 && state.behavior == Behavior::ResetAtSecondRequest {
            let _ = stream.read(&mut [0]);
            return reset(&stream);
        }
        let Ok(Some(request)) = read_request(&mut stream, &mut input) else {
            return;
        };
        let behavior = if on_accept {
            Behavior::Serve
        } else {
            state.next_behavior()
        };
        if behavior != Behavior::Refusal {
            state.record_execution(&request.call);
        }
        if behavior == Behavior::CloseBeforeSecondAnswer && request_number == 2 {
            return;
        }
        if behavior == Behavior::StopListeningAtSecondRequest && request_number == 2 {
            return state.stop_listening();
        }
        match respond(&mut stream, behavior, &request) {
            Ok(true) => {}
            _ => return,
        }
    }
}

/// Answers according to the script, and returns whether the connection stays open.
fn respond(stream: &mut TcpStream, behavior: Behavior, request: &Request) -> io::Result<bool> {
    let answer = complete_answer(request, "");
    let answer = answer.as_bytes();
    match behavior {
        Behavior::Slow(ms) => {
            thread::sleep(Duration::from_millis(ms));
            stream.write_all(answer)?;
        }
        Behavior::Echo => stream.write_all(echo_answer(request).as_bytes())?,
        Behavior::Chunked => stream.write_all(chunked_answer(request).as_bytes())?,
        Behavior::TruncateChunkedAnswer => {
            let text = chunked_answer(request);
            stream.write_all(&text.as_bytes()[..text.len() - 12])?;
            return Ok(false);
        }
        Behavior::Header(size) => {
            let header = format!("Large: {}\r\n", "l".repeat(size));
            stream.write_all(self::complete_answer(request, &header).as_bytes())?;
        }
        Behavior::CloseBeforeAnswer => return Ok(false),
        Behavior::ResetBeforeAnswer => {
            reset(stream);
            return Ok(false);
        }
        Behavior::TruncateAnswer(count) => {
            stream.write_all(&answer[..count])?;
            return Ok(false);
        }
        Behavior::Raw(text) => {
            let body = body(&request.call);
            let text = text
                .replace("{length}", &body.len().to_string())
                .replace("{body}", &body);
            stream.write_all(text.as_bytes())?;
            stream.shutdown(Shutdown::Write)?;
            let _ = io::copy(stream, &mut io::sink());
            return Ok(false);
        }
        Behavior::ResetInAnswer(count) => {
            reset_in_answer(stream, count)?;
            return Ok(false);
        }
        Behavior::Hang => {
            let _ = io::copy(stream, &mut io::sink());
            return Ok(false);
        }
        Behavior::Refusal => stream.write_all(
            b"HTTP/1.1 503 Busy\r\nRagwortfold-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
        )?,
        Behavior::CloseAfterAnswer => {
            stream.write_all(answer)?;
            return Ok(false);
        }
        Behavior::AnswerTwice(ms) => {
            stream.write_all(answer)?;
            thread::sleep(Duration::from_millis(ms));
            stream.write_all(answer)?;
        }
        Behavior::UnsolicitedAnswer => {
            stream.write_all(answer)?;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")?;
        }
        _ => stream.write_all(answer)?,
    }
    Ok(true)
}

fn complete_answer(request: &Request, header: &str) -> String {
    let body = body(&request.call);
    let sent_body = if request.head_only { "" } else { &body };
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRagwortfold-Request-Id: {}\r\n{header}Content-Length: {length}\r\n\r\n{sent_body}",
        request.id
    )
}

fn echo_answer(request: &Request) -> String {
    let length = request.head.len();
    format!(
        "HTTP/1.1 200 OK\r\nConnection: keep-alive, X-Listed\r\nKeep-Alive: timeout=5\r\n\
         X-Listed: no\r\nUpgrade: none\r\nProxy-Authenticate: no\r\n\
         X-MiXed: a  b;c=\"d\" , e\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n\
         Ragwortfold-Load: 0/4\r\nContent-Length: {length}\r\n\r\n{}",
        request.head
    )
}

fn chunked_answer(request: &Request) -> String {
    let body = body(&request.call);
    let mut text = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for part in body.as_bytes().chunks(7) {
        let part = std::str::from_utf8(part).unwrap();
        text += &format!("{:x}\r\n{part}\r\n", part.len());
    }
    text + "0\r\n\r\n"
}

/// A request that was read.
pub struct Request {
    head: String,
    pub call: String,
    pub id: String,
    head_only: bool,
}

/// Reads one complete request; returns `None` if the connection was closed.
pub fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, input)? {
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
        if !read_more(stream, input)? {
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

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 16 << 10];
    let count = stream.read(&mut buffer)?;
    input.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}
