//! Relays requests between entry hosts: the sending and the receiving side.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::call::{RequestContext, MAX_BUFFERED_ANSWER_BYTES};
use super::reply::{Body, Reply};
use super::target::RequestBody;
use crate::budget::{Account, Buffer};
use crate::peer::error::{Dispatch, StreamError};
use crate::peer::mesh::Mesh;
use crate::peer::stream::{Incoming, Open, Reply as Head, Stream};
use crate::steer::attempt::{FailurePoint, Outcome, Reason, Stage};

/// Time limit for linking a host that is not linked yet.
const LINK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Header between hosts that carries the length of the body omitted from the answer to a HEAD request.
const HEAD_LENGTH: &str = "Ragwortfold-Head-Length";
/// Size of the copy buffer, in bytes.
const COPY_BUFFER_BYTES: usize = 16 << 10;

/// Why a request is relayed to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To run at a target of that host's zone.
    Dispatch,
    /// That host is the home of the request's ticket, and only it may dispatch the request.
    Home,
}

/// The answer of the other host.
pub(crate) enum Answer {
    /// A complete answer.
    Whole(Reply),
    /// An answer too large to buffer, with its body still to be read.
    Stream(Reply),
}

/// A relay that brought no answer.
pub(crate) struct Failure {
    pub(crate) cause: FailurePoint,
    /// When the caller may retry: the host's value if it gave one, otherwise 1 s.
    pub(crate) retry_after: Duration,
}

impl Failure {
    fn new(cause: FailurePoint) -> Self {
        Self {
            cause,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Whether a failure proves that nothing was sent to the host.
pub(crate) fn is_not_sent(cause: FailurePoint) -> bool {
    matches!(cause, FailurePoint::NoLink | FailurePoint::FrameNotSent)
}

/// Builds the head of a relayed request.
pub(crate) fn to_open(
    context: &RequestContext,
    id: &str,
    time_left: Duration,
    purpose: Purpose,
) -> Open {
    let head = &context.head;
    let service = context.catalog.service(context.service);
    let mut open = Open::new(
        id,
        head.service.clone(),
        head.method.clone(),
        head.path.clone(),
        time_left,
    );
    open.class = service.class.clone();
    open.priority = service.priority;
    open.headers = head.headers.clone();
    open.length = head.length;
    open.locality = Some(context.catalog.region(context.locality).name.clone());
    open.block = Some(context.block.to_string().into());
    if purpose == Purpose::Home {
        open.key = head.key.clone();
        open.ticket = head.ticket.as_ref().map(|ticket| ticket.to_string().into());
    }
    open
}

/// Sends a request to `host` and waits for its answer. Also returns the body bytes sent and received.
pub(crate) fn call(
    mesh: &Mesh,
    host: &str,
    open: &Open,
    body: RequestBody<'_, '_>,
    account: &Account,
) -> (Result<Answer, Failure>, u64) {
    let mut stream = match mesh.open(host, open, LINK_TIMEOUT) {
        Ok(stream) => stream,
        Err(error) => {
            spdlog::debug!("relay: {error}");
            return (Err(Failure::new(FailurePoint::NoLink)), 0);
        }
    };
    let mut bytes = 0;
    let result = send_body(&mut stream, body, &mut bytes)
        .and_then(|()| read_answer(stream, open, &mut bytes, account));
    (result, bytes)
}

fn send_body(
    stream: &mut Stream,
    body: RequestBody<'_, '_>,
    bytes: &mut u64,
) -> Result<(), Failure> {
    let written = match body {
        RequestBody::Whole(content) => {
            *bytes += content.len() as u64;
            stream.write_body(content)
        }
        RequestBody::Stream(reader) => copy_body(stream, reader, bytes)?,
    };
    let finished = written.and_then(|()| stream.finish_body());
    match finished {
        // The host may answer before it has received the whole body.
        Ok(()) | Err(StreamError::ReplyComplete) => Ok(()),
        Err(error) => Err(to_failure(stream, &error, Stage::Body)),
    }
}

fn copy_body(
    stream: &mut Stream,
    reader: &mut dyn Read,
    bytes: &mut u64,
) -> Result<Result<(), StreamError>, Failure> {
    let mut buffer = [0; COPY_BUFFER_BYTES];
    loop {
        let count = match reader.read(&mut buffer) {
            Ok(0) => return Ok(Ok(())),
            Ok(count) => count,
            Err(error) => {
                spdlog::debug!("relay: reading the request body failed: {error}");
                stream.cancel();
                return Err(Failure::new(FailurePoint::CallerGone(Stage::Body)));
            }
        };
        *bytes += count as u64;
        if let Err(error) = stream.write_body(&buffer[..count]) {
            return Ok(Err(error));
        }
    }
}

fn read_answer(
    mut stream: Stream,
    open: &Open,
    bytes: &mut u64,
    account: &Account,
) -> Result<Answer, Failure> {
    let head = stream
        .read_head(open.deadline)
        .map_err(|error| to_failure(&stream, &error, Stage::Sent))?;
    let (status, headers, length) = match head {
        Head::Head {
            status,
            headers,
            length,
        } => (status, headers, length),
        Head::Refused { retry_after, .. } => {
            return Err(Failure {
                cause: FailurePoint::RelayRefused,
                retry_after,
            })
        }
        Head::Unknown { .. } => return Err(Failure::new(FailurePoint::RelayUnknown)),
    };
    let mut reply = Reply {
        status,
        headers,
        body: Body::Length(length.unwrap_or_default()),
    };
    if &*open.method == "HEAD" {
        reply.body = Body::Length(take_head_length(&mut reply));
        return Ok(Answer::Whole(reply));
    }
    if let Some(length) = length.filter(|&length| length > MAX_BUFFERED_ANSWER_BYTES) {
        *bytes += length;
        reply.body = Body::Stream(Box::new(AnswerReader(stream)), length);
        return Ok(Answer::Stream(reply));
    }
    let memory_timeout = Instant::now() + open.deadline;
    let mut content = Buffer::new(account);
    let mut buffer = [0; COPY_BUFFER_BYTES];
    loop {
        match stream.read_body(&mut buffer) {
            Ok(0) => break,
            Ok(count) => content
                .append_blocking(&buffer[..count], memory_timeout)
                .map_err(|_| Failure::new(FailurePoint::ConnectionClosed(Stage::AnswerBody)))?,
            Err(error) => return Err(to_failure(&stream, &error, Stage::AnswerBody)),
        }
        if content.len() as u64 > MAX_BUFFERED_ANSWER_BYTES {
            return Err(Failure::new(FailurePoint::WrongLength(Stage::AnswerBody)));
        }
    }
    *bytes += content.len() as u64;
    reply.body = Body::Whole(content.freeze());
    Ok(Answer::Whole(reply))
}

/// Removes the header with the length of an omitted body and returns its value.
fn take_head_length(reply: &mut Reply) -> u64 {
    let found = reply
        .headers
        .iter()
        .position(|(name, _)| name.eq_ignore_ascii_case(HEAD_LENGTH));
    let value = found.map(|index| reply.headers.remove(index).1);
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn to_failure(stream: &Stream, error: &StreamError, stage: Stage) -> Failure {
    spdlog::debug!("relay: {}: {error}", stream.host());
    if stream.dispatch() == Dispatch::NotSent {
        return Failure::new(FailurePoint::FrameNotSent);
    }
    Failure::new(match error {
        StreamError::NotSent => FailurePoint::FrameNotSent,
        StreamError::Truncated => FailurePoint::ConnectionClosed(Stage::AnswerBody),
        StreamError::Deadline | StreamError::Timeout => FailurePoint::Timeout(stage),
        StreamError::WrongLength { .. } => FailurePoint::WrongLength(stage),
        _ => FailurePoint::ConnectionClosed(stage),
    })
}

/// The rest of a relayed answer's body.
struct AnswerReader(Stream);

impl Read for AnswerReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read_body(buffer).map_err(io::Error::other)
    }
}

/// The rest of a relayed request's body.
pub(crate) struct RequestReader<'a>(pub(crate) &'a mut Incoming);

impl Read for RequestReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read_body(buffer).map_err(io::Error::other)
    }
}

/// Sends the reply to the host that relayed a request.
pub(crate) fn reply(
    incoming: Incoming,
    outcome: Outcome,
    retry_after: Duration,
    reply: Option<Reply>,
) {
    let reason = outcome.reason().map_or("", Reason::as_str);
    let result = match (outcome, reply) {
        (Outcome::Answered, Some(reply)) => send_answer(incoming, reply),
        (Outcome::NotRun(_), _) => incoming.refuse(reason, retry_after),
        _ => incoming.unknown(reason),
    };
    if let Err(error) = result {
        spdlog::debug!("relay: sending the reply failed: {error}");
    }
}

fn send_answer(mut incoming: Incoming, reply: Reply) -> Result<(), StreamError> {
    match reply.body {
        Body::Whole(bytes) => {
            incoming.reply_head(reply.status, &reply.headers, Some(bytes.len() as u64))?;
            incoming.write_body(&bytes)?;
        }
        Body::Length(length) => {
            // Answer to a HEAD request: the length is sent as a header and no body follows.
            let length: Arc<str> = length.to_string().into();
            let mut headers = reply.headers;
            headers.push((HEAD_LENGTH.into(), length));
            incoming.reply_head(reply.status, &headers, Some(0))?;
        }
        Body::Stream(mut reader, length) => {
            incoming.reply_head(reply.status, &reply.headers, Some(length))?;
            let mut buffer = [0; COPY_BUFFER_BYTES];
            loop {
                match reader.read(&mut buffer) {
                    Ok(0) => break,
                    Ok(count) => incoming.write_body(&buffer[..count])?,
                    // Dropping the stream before its end reports to the other host that the body broke off.
                    Err(_) => return Err(StreamError::Truncated),
                }
            }
        }
    }
    incoming.finish()
}
