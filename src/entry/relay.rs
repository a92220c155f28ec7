//! Requests that another entry host carries, at both ends of the link.

use std::io::{self, Read};
use std::sync::Arc;
use std::time::Duration;

use super::call::{Start, HOLD_ANSWER};
use super::reply::{Body, Reply};
use super::target::Sending;
use crate::peer::error::{Dispatch, StreamError};
use crate::peer::mesh::Mesh;
use crate::peer::stream::{Incoming, Open, Reply as Head, Stream};
use crate::steer::attempt::{FailurePoint, Outcome, Reason, Stage};

/// Time to link a host that is not linked yet.
const LINK_TIME: Duration = Duration::from_millis(1000);
/// Between hosts, the length of the body that a HEAD request leaves out.
const HEAD_LENGTH: &str = "Ragwortfold-Head-Length";
/// Bytes read and written at once.
const PIECE: usize = 16 << 10;

/// Why a request goes to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A target of that host's zone shall run it.
    Place,
    /// That host is the home of the request's ticket, and alone may dispatch it.
    Home,
}

/// What came back.
pub(crate) enum Answer {
    /// All of an answer.
    Whole(Reply),
    /// An answer too large to hold; its body is yet to come.
    Stream(Reply),
}

/// A relay that brought no answer.
pub(crate) struct Failure {
    pub(crate) cause: FailurePoint,
    /// When to come back, if the host said so.
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

/// Whether a break proves that nothing was sent to the host.
pub(crate) fn is_unsent(cause: FailurePoint) -> bool {
    matches!(cause, FailurePoint::NoLink | FailurePoint::FrameNotSent)
}

/// The head of a relayed request.
pub(crate) fn open(start: &Start, id: &str, left: Duration, purpose: Purpose) -> Open {
    let head = &start.head;
    let service = start.catalog.service(start.service);
    let mut open = Open::new(
        id,
        head.service.clone(),
        head.method.clone(),
        head.path.clone(),
        left,
    );
    open.class = service.class.clone();
    open.priority = service.priority;
    open.headers = head.headers.clone();
    open.length = head.length;
    open.locality = Some(start.catalog.region(start.locality).name.clone());
    open.block = Some(start.block.to_string().into());
    if purpose == Purpose::Home {
        open.key = head.key.clone();
        open.ticket = head.ticket.as_ref().map(|ticket| ticket.to_string().into());
    }
    open
}

/// Sends a request to `host` and waits for its answer. Tells the bytes of both bodies.
pub(crate) fn call(
    mesh: &Mesh,
    host: &str,
    open: &Open,
    body: Sending<'_, '_>,
) -> (Result<Answer, Failure>, u64) {
    let mut stream = match mesh.open(host, open, LINK_TIME) {
        Ok(stream) => stream,
        Err(error) => {
            spdlog::debug!("relay: {error}");
            return (Err(Failure::new(FailurePoint::NoLink)), 0);
        }
    };
    let mut bytes = 0;
    let result = write(&mut stream, body, &mut bytes).and_then(|()| read(stream, open, &mut bytes));
    (result, bytes)
}

fn write(stream: &mut Stream, body: Sending<'_, '_>, bytes: &mut u64) -> Result<(), Failure> {
    let written = match body {
        Sending::Whole(whole) => {
            *bytes += whole.len() as u64;
            stream.write_body(whole)
        }
        Sending::Stream(reader) => copy(stream, reader, bytes)?,
    };
    let finished = written.and_then(|()| stream.finish_body());
    match finished {
        // An answer may be there before the body has been sent whole.
        Ok(()) | Err(StreamError::ReplyComplete) => Ok(()),
        Err(error) => Err(failure(stream, &error, Stage::Body)),
    }
}

fn copy(
    stream: &mut Stream,
    reader: &mut dyn Read,
    bytes: &mut u64,
) -> Result<Result<(), StreamError>, Failure> {
    let mut piece = [0; PIECE];
    loop {
        let count = match reader.read(&mut piece) {
            Ok(0) => return Ok(Ok(())),
            Ok(count) => count,
            Err(error) => {
                spdlog::debug!("relay: the request's body broke off: {error}");
                stream.cancel();
                return Err(Failure::new(FailurePoint::CallerGone(Stage::Body)));
            }
        };
        *bytes += count as u64;
        if let Err(error) = stream.write_body(&piece[..count]) {
            return Ok(Err(error));
        }
    }
}

fn read(mut stream: Stream, open: &Open, bytes: &mut u64) -> Result<Answer, Failure> {
    let head = stream
        .read_head(open.deadline)
        .map_err(|error| failure(&stream, &error, Stage::Sent))?;
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
        reply.body = Body::Length(take_length(&mut reply));
        return Ok(Answer::Whole(reply));
    }
    if let Some(length) = length.filter(|&length| length > HOLD_ANSWER) {
        *bytes += length;
        reply.body = Body::Stream(Box::new(Rest(stream)), length);
        return Ok(Answer::Stream(reply));
    }
    let mut held = Vec::new();
    let mut piece = [0; PIECE];
    loop {
        match stream.read_body(&mut piece) {
            Ok(0) => break,
            Ok(count) => held.extend_from_slice(&piece[..count]),
            Err(error) => return Err(failure(&stream, &error, Stage::AnswerBody)),
        }
        if held.len() as u64 > HOLD_ANSWER {
            return Err(Failure::new(FailurePoint::WrongLength(Stage::AnswerBody)));
        }
    }
    *bytes += held.len() as u64;
    reply.body = Body::Whole(held.into());
    Ok(Answer::Whole(reply))
}

/// Takes the length of a left-out body from the headers.
fn take_length(reply: &mut Reply) -> u64 {
    let found = reply
        .headers
        .iter()
        .position(|(name, _)| name.eq_ignore_ascii_case(HEAD_LENGTH));
    let value = found.map(|index| reply.headers.remove(index).1);
    value.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn failure(stream: &Stream, error: &StreamError, stage: Stage) -> Failure {
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
struct Rest(Stream);

impl Read for Rest {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read_body(buffer).map_err(io::Error::other)
    }
}

/// The rest of a relayed request's body.
pub(crate) struct Reader<'a>(pub(crate) &'a mut Incoming);

impl Read for Reader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read_body(buffer).map_err(io::Error::other)
    }
}

/// Gives the one reply to the host that relayed a request.
pub(crate) fn reply(
    incoming: Incoming,
    outcome: Outcome,
    retry_after: Duration,
    reply: Option<Reply>,
) {
    let reason = outcome.reason().map_or("", Reason::as_str);
    let result = match (outcome, reply) {
        (Outcome::Answered, Some(reply)) => answer(incoming, reply),
        (Outcome::NotRun(_), _) => incoming.refuse(reason, retry_after),
        _ => incoming.unknown(reason),
    };
    if let Err(error) = result {
        spdlog::debug!("relay: a reply broke off: {error}");
    }
}

fn answer(mut incoming: Incoming, reply: Reply) -> Result<(), StreamError> {
    match reply.body {
        Body::Whole(bytes) => {
            incoming.reply_head(reply.status, &reply.headers, Some(bytes.len() as u64))?;
            incoming.write_body(&bytes)?;
        }
        Body::Length(length) => {
            // What a HEAD request gets: the length is a header here, and no body follows.
            let length: Arc<str> = length.to_string().into();
            let mut headers = reply.headers;
            headers.push((HEAD_LENGTH.into(), length));
            incoming.reply_head(reply.status, &headers, Some(0))?;
        }
        Body::Stream(mut reader, length) => {
            incoming.reply_head(reply.status, &reply.headers, Some(length))?;
            let mut piece = [0; PIECE];
            loop {
                match reader.read(&mut piece) {
                    Ok(0) => break,
                    Ok(count) => incoming.write_body(&piece[..count])?,
                    // Dropping the stream within the reply tells the other host that it was cut.
                    Err(_) => return Err(StreamError::Truncated),
                }
            }
        }
    }
    incoming.finish()
}
