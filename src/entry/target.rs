//! HTTP client for calls to targets.

use std::io::{Cursor, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ureq::http::{self, Method};
use ureq::unversioned::transport::Connector;
use ureq::{Agent, SendBody};

use super::body::Stream;
use super::head::{self, Header};
use super::stage::{self, Stage};
use crate::budget::{Budget, Charge};
use crate::literal::LiteralResolver;
use crate::steer::announcement::RequestedRest;
use crate::steer::throttle::Rate;
use crate::transport::Dialer;

/// Maximum number of idle connections to each target.
const MAX_IDLE_PER_TARGET: usize = 16;
/// Maximum number of idle connections to all targets.
const MAX_IDLE: usize = 1024;
/// The part of the memory for peers that idle connections may use.
const MAX_IDLE_SHARE: usize = 8;
/// Buffer for what a connection receives, in bytes. The head of an answer has to fit into it.
const INPUT_BYTES: usize = 64 << 10;
/// Part of the buffer for what a connection sends, in bytes, beside the longest header of a request,
/// which has to fit into it as well.
const OUTPUT_BYTES: usize = 16 << 10;
/// Connections of one request: that of an attempt and of a hedge.
const CONNECTIONS_PER_CALL: usize = 2;
/// Time within which a pooled connection that the target had closed fails: a round trip within the zone, with some margin
/// for a busy machine. If it fails later, the request may have run and crashed the target.
const STALE_DETECTION_TIME: Duration = Duration::from_millis(10);
/// How long an idle connection is kept.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);

/// Longest body without a stated length, in bytes, with the encoding of its chunks: several times what
/// is buffered of it.
const MAX_CHUNKED_BYTES: u64 = 32 << 20;

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// A pooled one; the call is sent again if the connection turns out to be closed.
    Pooled,
    /// A new one, for which a failed connect proves that the request did not run.
    Fresh,
}

/// HTTP client with one agent for pooled and one for new connections.
#[derive(Clone)]
pub(crate) struct Client {
    pooled: Agent,
    fresh: Agent,
    /// Buffers of a connection, in bytes.
    connection_bytes: usize,
    /// What idle connections hold.
    _idle: Arc<Charge>,
}

/// A request to a target, without its body.
pub(crate) struct TargetRequest<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) id: &'a str,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [Header],
    /// Time left until the request's deadline.
    pub(crate) deadline: Duration,
    pub(crate) connection: Connection,
}

/// The body of a request to a target or another host.
pub(crate) enum RequestBody<'a, 'b> {
    Whole(&'a [u8]),
    Stream(&'a mut Stream<'b>),
}

/// The head of a target's answer, with a reader for its body.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    /// The body's length if the target stated it.
    pub(crate) length: Option<u64>,
    pub(crate) reader: Box<dyn Read + Send>,
    /// The load that the target reports: requests in flight, slots.
    pub(crate) load: Option<(u32, u32)>,
    /// The state that the target reports.
    pub(crate) state: Option<Arc<str>>,
    /// The request rate that the target states.
    pub(crate) rate: Rate,
    /// The rest that the target asks this host for.
    pub(crate) rest: RequestedRest,
    /// Whether the target reported that the request did not run.
    pub(crate) refused: bool,
}

/// A call that failed before the head of the answer.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub(crate) struct Error {
    /// How far the call got.
    pub(crate) stage: Stage,
    cause: Cause,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum Cause {
    #[error("{0}")]
    Http(#[from] ureq::Error),
    /// The status is none that ends an exchange.
    #[error("the status {0} does not exist")]
    Status(u16),
    /// The target sent an answer twice, or the answer to an abandoned request.
    #[error("the answer belongs to request '{0}'")]
    OtherRequest(Arc<str>),
}

impl Error {
    /// Whether the call timed out.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self.cause, Cause::Http(ureq::Error::Timeout(_)))
    }

    /// Whether the answer was not valid HTTP or belonged to another request.
    pub(crate) fn is_invalid_answer(&self) -> bool {
        matches!(
            self.cause,
            Cause::OtherRequest(_)
                | Cause::Status(_)
                | Cause::Http(ureq::Error::Protocol(_) | ureq::Error::Http(_))
        )
    }

    /// Whether a pooled connection was closed, or delivered another request's answer.
    fn is_stale(&self) -> bool {
        let other = matches!(self.cause, Cause::OtherRequest(_));
        !self.stage.is_dialled && (other || !self.stage.has_read) && !self.is_timeout()
    }
}

impl Error {
    /// Adds the progress of an earlier copy of the request, `earlier`, to the stage.
    fn with_earlier(mut self, earlier: Stage) -> Self {
        self.stage.is_connected |= earlier.written > 0;
        self.stage.written += earlier.written;
        self
    }
}

impl Client {
    /// Creates a client whose connects time out after `connect`, for requests whose heads have up to
    /// `head_bytes` bytes. Idle connections are kept as far as `budget` allows.
    pub(crate) fn new(connect: Duration, head_bytes: usize, budget: &Budget) -> Self {
        let output_bytes = OUTPUT_BYTES + head_bytes;
        let connection_bytes = INPUT_BYTES + output_bytes;
        let affordable = budget.limits().bytes / MAX_IDLE_SHARE / connection_bytes;
        let mut idle = MAX_IDLE.min(budget.idle_connections()).min(affordable);
        let mut charge = Charge::new(&budget.open_own());
        if let Err(error) = charge.grow_blocking(idle * connection_bytes, Instant::now()) {
            spdlog::warn!("target: no idle connections are kept: {error}");
            idle = 0;
        }
        Self {
            pooled: build_agent(connect, output_bytes, idle, MAX_IDLE_PER_TARGET),
            fresh: build_agent(connect, output_bytes, 0, 0),
            connection_bytes,
            _idle: Arc::new(charge),
        }
    }

    /// Memory of the connections of one request, in bytes.
    pub(crate) fn call_bytes(&self) -> usize {
        CONNECTIONS_PER_CALL * self.connection_bytes
    }

    /// Sends a request and waits for the head of its answer. A request whose pooled connection fails as stale
    /// within [`STALE_DETECTION_TIME`] is sent once more on a new connection.
    pub(crate) fn call(
        &self,
        target_request: &TargetRequest<'_>,
        body: RequestBody<'_, '_>,
    ) -> Result<Answer, Error> {
        let buffered = match &body {
            RequestBody::Whole(bytes) => Some(*bytes),
            RequestBody::Stream(_) => None,
        };
        let agent = match target_request.connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        let started = Instant::now();
        let result = run(agent, target_request, body);
        let failed_early = started.elapsed() < STALE_DETECTION_TIME;
        match (result, buffered) {
            (Err(error), Some(bytes))
                if target_request.connection == Connection::Pooled
                    && error.is_stale()
                    && failed_early =>
            {
                let second = run(&self.fresh, target_request, RequestBody::Whole(bytes));
                // The first copy may have run even if the second one fails.
                second.map_err(|second| second.with_earlier(error.stage))
            }
            (result, _) => result,
        }
    }

    fn send(
        agent: &Agent,
        target_request: &TargetRequest<'_>,
        body: RequestBody<'_, '_>,
    ) -> Result<http::Response<ureq::Body>, ureq::Error> {
        let (length, body) = match body {
            RequestBody::Whole(bytes) => (Some(bytes.len() as u64), bytes),
            RequestBody::Stream(stream) => {
                let length = stream.length;
                let request = to_http_request(target_request, length)?;
                let request = with_deadline(
                    agent,
                    request.map(|()| SendBody::from_reader(stream)),
                    target_request,
                );
                return agent.run(request);
            }
        };
        if body.is_empty() && is_bodiless(target_request.method) {
            let request = to_http_request(target_request, None)?;
            let request = with_deadline(agent, request.map(|()| SendBody::none()), target_request);
            return agent.run(request);
        }
        let mut reader = Cursor::new(body);
        let request = to_http_request(target_request, length)?;
        let request = with_deadline(
            agent,
            request.map(|()| SendBody::from_reader(&mut reader)),
            target_request,
        );
        agent.run(request)
    }

    /// Asks a target to cancel a request.
    pub(crate) fn cancel(&self, address: SocketAddr, id: &str, timeout: Duration) {
        let result = self
            .pooled
            .delete(format!("http://{address}/requests/{id}"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call();
        if let Err(error) = result {
            spdlog::debug!("target: cancelling {id} at {address} failed: {error}");
        }
    }
}

fn run(
    agent: &Agent,
    target_request: &TargetRequest<'_>,
    body: RequestBody<'_, '_>,
) -> Result<Answer, Error> {
    stage::reset();
    let result = Client::send(agent, target_request, body).map_err(Cause::from);
    result
        .and_then(|response| to_answer(target_request, response))
        .map_err(|cause| Error {
            stage: stage::get(),
            cause,
        })
}

fn is_bodiless(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE" | "TRACE")
}

fn build_agent(
    connect: Duration,
    output_bytes: usize,
    idle: usize,
    idle_per_target: usize,
) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(connect))
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle_per_target)
        .max_idle_age(MAX_IDLE_AGE)
        .input_buffer_size(INPUT_BYTES)
        .output_buffer_size(output_bytes)
        .proxy(None)
        .build();
    let connector = stage::RecordDial
        .chain(Dialer)
        .chain(stage::RecordTransport);
    Agent::with_parts(config, connector, LiteralResolver::default())
}

fn to_http_request(
    target_request: &TargetRequest<'_>,
    length: Option<u64>,
) -> Result<http::Request<()>, ureq::Error> {
    let method = Method::from_bytes(target_request.method.as_bytes()).map_err(http::Error::from)?;
    let mut builder = http::Request::builder()
        .method(method)
        .uri(format!(
            "http://{}{}",
            target_request.address, target_request.path
        ))
        .header(head::REQUEST_ID, target_request.id)
        .header(
            head::DEADLINE,
            target_request.deadline.as_millis().to_string(),
        );
    for (name, value) in target_request.headers {
        builder = builder.header(&**name, &**value);
    }
    if let Some(length) = length {
        builder = builder.header("Content-Length", length);
    }
    Ok(builder.body(())?)
}

fn with_deadline<'b>(
    agent: &Agent,
    request: http::Request<SendBody<'b>>,
    target_request: &TargetRequest<'_>,
) -> http::Request<SendBody<'b>> {
    agent
        .configure_request(request)
        .timeout_global(Some(target_request.deadline))
        .build()
}

fn to_answer(
    target_request: &TargetRequest<'_>,
    response: http::Response<ureq::Body>,
) -> Result<Answer, Cause> {
    let (parts, body) = response.into_parts();
    let header = |name: &str| -> Option<Arc<str>> {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(Into::into)
    };
    if let Some(id) = header(head::REQUEST_ID).filter(|id| **id != *target_request.id) {
        return Err(Cause::OtherRequest(id));
    }
    let status = parts.status.as_u16();
    if !(200..600).contains(&status) {
        return Err(Cause::Status(status));
    }
    let connection = header("connection").unwrap_or_default();
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !is_not_forwarded(name.as_str(), &connection))
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    let length = header("content-length").and_then(|text| text.parse().ok());
    stage::allow_body(length.unwrap_or(MAX_CHUNKED_BYTES));
    let refused = status == 503 && header(head::OUTCOME).as_deref() == Some("not-run");
    Ok(Answer {
        status,
        headers,
        length,
        load: header(head::LOAD).and_then(|text| parse_load(&text)),
        state: header(head::STATE),
        rate: Rate::new(
            parts
                .headers
                .get_all(head::RATE)
                .iter()
                .map(|value| value.to_str().ok()),
        ),
        rest: RequestedRest::new(parts.status, &parts.headers),
        refused,
        reader: Box::new(body.into_reader()),
    })
}

/// Whether a header of an answer is not forwarded: it is meant for this host or set again by it.
fn is_not_forwarded(name: &str, connection: &str) -> bool {
    let internal = [
        head::OUTCOME,
        head::LOAD,
        head::STATE,
        head::RATE,
        "content-length",
    ];
    head::is_hop_by_hop(name, connection)
        || internal
            .iter()
            .any(|internal| name.eq_ignore_ascii_case(internal))
}

fn parse_load(text: &str) -> Option<(u32, u32)> {
    let (in_flight, slots) = text.split_once('/')?;
    Some((in_flight.trim().parse().ok()?, slots.trim().parse().ok()?))
}
