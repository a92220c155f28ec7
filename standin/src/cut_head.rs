//! A target that stops in the head or the body of its answer and closes the connection, and callers that judge what they receive.
//!
//! The value of one request header, the call, names how many bytes of the answer to it are sent. Other calls are answered as a whole.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::lock;

/// The body of each answer.
pub const BODY: &str = "hello";
/// A header of each answer that hosts pass on.
pub const STAMP: &str = "ragwortfold-response-stamp: 3e1b.07.5a2.600.0.c9f2a4d1";
/// Prefix of calls whose answers are cut; the number of bytes follows.
const CUT: &str = "cut-";
/// Requests that are sent until one is not refused, and the pause after a refusal.
const MAX_ATTEMPTS: usize = 99;
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);
/// Requests that are answered as a whole after each one whose answer is cut.
const WHOLE_ANSWERS: usize = 3;
/// Callers that send requests at the same time.
const CALLERS: usize = 4;
/// Time limit of a caller for reading an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for bytes to be received before the connection is reset, which discards them otherwise.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// An answer: its head, in which `{id}` stands for the value of the header [`Script::id_header`] of the request and `{stamp}` for
/// [`STAMP`], and its body as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head, with those of interim answers before it.
    pub head: &'static str,
    /// The body.
    pub body: &'static str,
}

impl Answer {
    /// A successful answer.
    pub const fn new(head: &'static str, body: &'static str) -> Self {
        Self {
            status: 200,
            head,
            body,
        }
    }

    /// The length of the answer with an ID.
    fn length(&self, id: &str) -> usize {
        let head = self.head.replace("{id}", id).replace("{stamp}", STAMP);
        head.len() + self.body.len()
    }

    /// The bytes at the end that are sent as a whole: a body that ends with the connection is complete wherever that ends.
    fn inseparable_bytes(&self) -> usize {
        let states_end = ["content-length: 5", "transfer-encoding"];
        if states_end.iter().any(|header| self.head.contains(header)) {
            0
        } else {
            self.body.len()
        }
    }
}

/// How the target ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// In order.
    Finish,
    /// By a reset.
    Reset,
}

/// Whether the target keeps connections open after answers that are sent as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Each request arrives on a new one.
    New,
    /// They are kept.
    Kept,
}

/// What a target does.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    /// The answer that is cut.
    pub answer: Answer,
    /// How the connection ends then.
    pub close: Close,
    /// Whether connections are kept.
    pub connection: Connection,
    /// The request header with the call, in lower case.
    pub call_header: &'static str,
    /// The request header that answers repeat, in lower case.
    pub id_header: &'static str,
    /// The answer to requests without a call, such as health checks.
    pub health: &'static str,
    /// A header line of answers that are sent as a whole.
    pub extra_header: &'static str,
}

impl Script {
    /// Adds a header line to the answers that are sent as a whole.
    pub const fn with_extra_header(mut self, line: &'static str) -> Self {
        self.extra_header = line;
        self
    }
}

/// The calls that were received, by their names, on new and on kept connections.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, [usize; 2]>>>);

impl Runs {
    fn record(&self, call: &str, connection: Connection) {
        let mut runs = lock(&self.0);
        let counts = runs.entry(call.to_owned()).or_default();
        counts[connection as usize] += 1;
    }

    fn count(&self, call: &str) -> usize {
        let runs = lock(&self.0);
        runs.get(call).map_or(0, |counts| counts.iter().sum())
    }

    /// How many calls whose answers were cut arrived on connections of a kind.
    pub fn count_on(&self, connection: Connection) -> usize {
        let runs = lock(&self.0);
        runs.values()
            .map(|counts| counts[connection as usize])
            .sum()
    }
}

/// Starts a target at a free address, which runs as long as the process.
///
/// # Errors
///
/// It can't listen.
pub fn start_target(script: Script, runs: &Runs) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let runs = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            // An error ends the connection.
            thread::spawn(move || serve(stream, &script, &runs));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, script: &Script, runs: &Runs) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut kind = Connection::New;
    while let Some(headers) = read_request(&mut reader)? {
        let Some(call) = headers.get(script.call_header) else {
            stream.write_all(script.health.as_bytes())?;
            continue;
        };
        let id = headers.get(script.id_header).map_or("", |id| id);
        let fill = |text: &str| text.replace("{id}", id).replace("{stamp}", STAMP);
        let Some(length) = cut_length(call) else {
            let end = match script.connection {
                Connection::New => "connection: close\r\n\r\n",
                Connection::Kept => "\r\n",
            };
            let head = "HTTP/1.1 200 OK\r\nragwortfold-request-id: {id}\r\n{stamp}\r\ncontent-length: 5\r\n";
            let mut whole = fill(head);
            if !script.extra_header.is_empty() {
                whole += script.extra_header;
                whole += "\r\n";
            }
            stream.write_all((whole + end + BODY).as_bytes())?;
            if script.connection == Connection::New {
                return Ok(());
            }
            kind = Connection::Kept;
            continue;
        };
        runs.record(call, kind);
        let text = fill(script.answer.head) + script.answer.body;
        let is_whole = length >= text.len() - script.answer.inseparable_bytes();
        let sent = if is_whole { text.len() } else { length };
        stream.write_all(&text.as_bytes()[..sent])?;
        if !is_whole && script.close == Close::Reset {
            thread::sleep(RESET_DELAY);
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        return Ok(());
    }
    Ok(())
}

/// The number of bytes of the answer to a call that are sent, if it is cut.
fn cut_length(call: &str) -> Option<usize> {
    let (length, _) = call.strip_prefix(CUT)?.split_once('-')?;
    length.parse().ok()
}

/// Reads a request with its body; returns its headers with lower-case names, or none at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> io::Result<Option<BTreeMap<String, String>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or_default()];
    reader.read_exact(&mut body)?;
    Ok(Some(headers))
}

/// The requests of callers.
#[derive(Clone, Copy)]
pub struct Caller<'a> {
    /// The host that they connect to.
    pub host: SocketAddr,
    /// Builds a request that closes its connection, from a path prefix and the call.
    pub request: &'a (dyn Fn(&str, &str) -> String + Sync),
    /// The path prefixes, and whether requests may run more than once there.
    pub paths: &'a [(&'a str, bool)],
    /// Statuses that promise that the request has not run.
    pub not_run: &'a [u16],
}

/// What a caller receives until its connection ends.
struct Received {
    status: u16,
    has_stamp: bool,
    /// The body, if it is complete as far as the caller can tell.
    body: Option<Vec<u8>>,
}

/// Has the answer cut at each of its bytes, for each path; returns all that is wrong with what callers received.
pub fn cut_everywhere(script: &Script, caller: Caller<'_>, runs: &Runs) -> Vec<String> {
    // The IDs of hosts' own requests are not known in advance, and shorter than this.
    const MAX_ID_BYTES: usize = 40;
    let shortest = script.answer.length("") - script.answer.inseparable_bytes();
    let longest = script.answer.length(&"x".repeat(MAX_ID_BYTES));
    let mut cases = Vec::new();
    for path in caller.paths {
        cases.extend((0..=longest).map(|length| (*path, length)));
    }
    let cases = Mutex::new(cases.into_iter());
    let faults = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| loop {
                let Some(((path, may_repeat), length)) = lock(&cases).next() else {
                    return;
                };
                let is_cut = length < shortest;
                let is_whole = length >= longest;
                let expected = Expected {
                    status: script.answer.status,
                    is_cut,
                    is_whole,
                };
                let found = check(caller, path, may_repeat, length, expected, runs);
                lock(&faults).extend(found);
            });
        }
    });
    faults.into_inner().unwrap_or_default()
}

/// Sends a request whose answer is cut, again if the host refused it because of the failures before; returns what is wrong with
/// the answer.
fn check(
    caller: Caller<'_>,
    path: &str,
    may_repeat: bool,
    length: usize,
    expected: Expected,
    runs: &Runs,
) -> Option<String> {
    for attempt in 0..MAX_ATTEMPTS {
        let call = format!("{CUT}{length:03}-{attempt:02}{}", path.replace('/', "-"));
        let received = send(caller, path, &call);
        // A connection for the next request, and successes among the failures.
        for number in 0..WHOLE_ANSWERS {
            send(caller, path, &format!("whole-{number}"));
        }
        let run_count = runs.count(&call);
        if run_count == 0 {
            thread::sleep(REFUSAL_PAUSE);
            continue;
        }
        let fault = if run_count > 1 && !may_repeat {
            Some(format!("ran {run_count} times"))
        } else {
            find_fault(received, caller.not_run, expected)
        };
        return fault.map(|fault| format!("{call}: {fault}"));
    }
    Some(format!("{path} {length}: never sent"))
}

/// What is known of the answer that the target sent.
#[derive(Clone, Copy)]
struct Expected {
    status: u16,
    /// Whether it was certainly cut.
    is_cut: bool,
    /// Whether it was certainly sent as a whole.
    is_whole: bool,
}

/// What is wrong with the answer to a request that ran.
fn find_fault(received: Option<Received>, not_run: &[u16], expected: Expected) -> Option<String> {
    let Some(Received {
        status,
        has_stamp,
        body,
    }) = received
    else {
        return Some("no answer".into());
    };
    let is_intact =
        status == expected.status && has_stamp && body.as_deref() == Some(BODY.as_bytes());
    if expected.is_whole {
        return (!is_intact).then(|| format!("a whole answer gives {status}, {body:?}"));
    }
    if status < 500 && (expected.is_cut || !is_intact) {
        return Some(format!("{status} with the body {body:?}"));
    }
    not_run
        .contains(&status)
        .then(|| format!("{status}, and it ran"))
}

fn send(caller: Caller<'_>, path: &str, call: &str) -> Option<Received> {
    let mut stream = TcpStream::connect(caller.host).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream
        .write_all((caller.request)(path, call).as_bytes())
        .ok()?;
    let mut bytes = Vec::new();
    let has_finished = stream.read_to_end(&mut bytes).is_ok();
    parse(&bytes, has_finished)
}

fn parse(bytes: &[u8], has_finished: bool) -> Option<Received> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let body = &bytes[end + 4..];
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let body = if let Some(length) = length {
        let length: usize = length.trim().parse().ok()?;
        body.get(..length).map(<[u8]>::to_vec)
    } else if head.contains("transfer-encoding: chunked") {
        unchunk(body)
    } else {
        has_finished.then(|| body.to_vec())
    };
    Some(Received {
        status,
        has_stamp: head.contains(STAMP),
        body,
    })
}

/// The content of a chunked body, if it has its end.
fn unchunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut content = Vec::new();
    loop {
        let end = bytes.windows(2).position(|part| part == b"\r\n")?;
        let length = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).ok()?, 16).ok()?;
        if length == 0 {
            return Some(content);
        }
        content.extend_from_slice(bytes.get(end + 2..end + 2 + length)?);
        bytes = bytes.get(end + 4 + length..)?;
    }
}

/// With a stated length.
pub const SIZED: Answer = Answer::new("HTTP/1.1 200 OK\r\nragwortfold-request-id: {id}\r\n{stamp}\r\nkeep-alive: timeout=15\r\ncontent-length: 5\r\n\r\n", BODY);
/// The same with the length first.
pub const SIZED_FIRST: Answer = Answer::new(
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nragwortfold-request-id: {id}\r\n{stamp}\r\n\r\n",
    BODY,
);
/// In chunks.
pub const CHUNKED: Answer = Answer::new("HTTP/1.1 200 OK\r\nragwortfold-request-id: {id}\r\ntransfer-encoding: chunked\r\n{stamp}\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n");
/// The body ends with the connection.
pub const UNSIZED: Answer = Answer::new(
    "HTTP/1.1 200 OK\r\nragwortfold-request-id: {id}\r\nconnection: close\r\n{stamp}\r\n\r\n",
    BODY,
);
/// Of the earlier version of the protocol.
pub const HTTP_1_0: Answer = Answer::new(
    "HTTP/1.0 200 OK\r\nragwortfold-request-id: {id}\r\n{stamp}\r\n\r\n",
    BODY,
);
/// With line feeds alone.
pub const BARE_LINE_FEEDS: Answer = Answer::new(
    "HTTP/1.1 200 OK\nragwortfold-request-id: {id}\n{stamp}\ncontent-length: 5\n\n",
    BODY,
);
/// After interim answers.
pub const INTERIM: Answer = Answer {
    status: 200,
    head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nragwortfold-request-id: {id}\r\nlink: </a>\r\n\r\n\
        HTTP/1.1 200 OK\r\nragwortfold-request-id: {id}\r\n{stamp}\r\ncontent-length: 5\r\n\r\n",
    body: BODY,
};
/// After an interim answer with a length, and with a body that ends with the connection.
pub const INTERIM_UNSIZED: Answer = Answer {
    status: 200,
    head: "HTTP/1.1 102 Processing\r\nragwortfold-request-id: {id}\r\ncontent-length: 0\r\n\r\n\
        HTTP/1.1 200 OK\r\nragwortfold-request-id: {id}\r\n{stamp}\r\n\r\n",
    body: BODY,
};
/// A redirection.
pub const REDIRECTION: Answer = Answer {
    status: 302,
    head: "HTTP/1.1 302 Found\r\nlocation: /y\r\nragwortfold-request-id: {id}\r\n{stamp}\r\ncontent-length: 5\r\n\r\n",
    body: BODY,
};
/// A failure of the request itself.
pub const NOT_FOUND: Answer = Answer {
    status: 404,
    head: "HTTP/1.1 404 Not Found\r\nragwortfold-request-id: {id}\r\n{stamp}\r\ncontent-length: 5\r\n\r\n",
    body: BODY,
};

/// Passes the answers to cut, how connections end then, and whether they are kept to a macro that defines a test of each, so that all
/// interfaces are tested alike.
#[macro_export]
macro_rules! cut_head_cases {
    ($define:ident) => {
        $define! {
            a_head_with_a_length: $crate::cut_head::SIZED, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_with_a_length_on_a_new_connection: $crate::cut_head::SIZED, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::New;
            a_head_with_a_length_that_is_reset: $crate::cut_head::SIZED, $crate::cut_head::Close::Reset, $crate::cut_head::Connection::Kept;
            a_head_that_begins_with_the_length: $crate::cut_head::SIZED_FIRST, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_of_a_chunked_body: $crate::cut_head::CHUNKED, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_of_a_body_that_ends_with_the_connection: $crate::cut_head::UNSIZED, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_of_a_body_that_ends_with_a_new_connection: $crate::cut_head::UNSIZED, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::New;
            a_head_of_http_1_0: $crate::cut_head::HTTP_1_0, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_with_bare_line_feeds: $crate::cut_head::BARE_LINE_FEEDS, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_of_a_redirection: $crate::cut_head::REDIRECTION, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            a_head_of_a_failure: $crate::cut_head::NOT_FOUND, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            heads_of_interim_answers: $crate::cut_head::INTERIM, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
            heads_of_interim_answers_on_a_new_connection: $crate::cut_head::INTERIM, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::New;
            heads_of_interim_answers_that_are_reset: $crate::cut_head::INTERIM, $crate::cut_head::Close::Reset, $crate::cut_head::Connection::Kept;
            an_interim_answer_before_a_body_that_ends_with_the_connection: $crate::cut_head::INTERIM_UNSIZED, $crate::cut_head::Close::Finish, $crate::cut_head::Connection::Kept;
        }
    };
}
