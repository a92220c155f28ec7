//! One call to one target, over HTTP.

use std::io::{Cursor, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ureq::http::{self, Method};
use ureq::unversioned::transport::{Connector, TcpConnector};
use ureq::{Agent, SendBody};

use super::body::Stream;
use super::head::{self, Header};
use super::stage::{self, Stage};
use crate::literal::LiteralResolver;
use crate::steer::throttle::Rate;

/// Idle connections kept to each target.
const IDLE_PER_TARGET: usize = 16;
/// Idle connections kept in all.
const IDLE: usize = 1024;
/// Time in which a kept connection breaks that its target had closed: a round trip within the zone, with room for a busy
/// machine. On one that breaks later the request may have run, and have crashed the target.
const STALE: Duration = Duration::from_millis(10);
/// How long an idle connection is kept.
const IDLE_AGE: Duration = Duration::from_secs(10);

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// A pooled one; the call may be sent again should it turn out to be closed.
    Pooled,
    /// A new one: only then does a failed connect prove that nothing ran.
    Fresh,
}

/// Calls targets.
#[derive(Clone)]
pub(crate) struct Client {
    pooled: Agent,
    fresh: Agent,
}

/// What to ask of a target.
pub(crate) struct Ask<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) id: &'a str,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [Header],
    /// Time left.
    pub(crate) deadline: Duration,
    pub(crate) connection: Connection,
}

/// A body on its way to a target.
pub(crate) enum Sending<'a, 'b> {
    Whole(&'a [u8]),
    Stream(&'a mut Stream<'b>),
}

/// The head of a target's answer, with its body yet to be read.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    /// Length the target stated.
    pub(crate) length: Option<u64>,
    pub(crate) reader: Box<dyn Read + Send>,
    /// The target's own account of its load: in flight, slots.
    pub(crate) load: Option<(u32, u32)>,
    /// The target's own account of its state.
    pub(crate) state: Option<Arc<str>>,
    /// The target's own account of the rate that it takes.
    pub(crate) rate: Rate,
    /// The target said that the request did not run.
    pub(crate) refused: bool,
}

/// A call that got no answer's head.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub(crate) struct Error {
    /// How far it came.
    pub(crate) stage: Stage,
    cause: Cause,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
enum Cause {
    #[error("{0}")]
    Http(#[from] ureq::Error),
    /// A target sent an answer twice, or one to a request that was given up.
    #[error("the answer is to request '{0}'")]
    OtherRequest(Arc<str>),
}

impl Error {
    /// Whether time ran out.
    pub(crate) fn is_timeout(&self) -> bool {
        matches!(self.cause, Cause::Http(ureq::Error::Timeout(_)))
    }

    /// Whether the answer was not HTTP.
    pub(crate) fn is_garbage(&self) -> bool {
        matches!(
            self.cause,
            Cause::OtherRequest(_) | Cause::Http(ureq::Error::Protocol(_) | ureq::Error::Http(_))
        )
    }

    /// Whether a pooled connection turned out to be closed, or to bear another request's answer.
    fn is_stale(&self) -> bool {
        let other = matches!(self.cause, Cause::OtherRequest(_));
        !self.stage.dialled && (other || !self.stage.read) && !self.is_timeout()
    }
}

impl Error {
    /// The same for a request of which an earlier copy came as far as `earlier`.
    fn with_earlier(mut self, earlier: Stage) -> Self {
        self.stage.connected |= earlier.written > 0;
        self.stage.written += earlier.written;
        self
    }
}

impl Client {
    /// A client that gives up connecting after `connect`.
    pub(crate) fn new(connect: Duration) -> Self {
        Self {
            pooled: agent(connect, IDLE, IDLE_PER_TARGET),
            fresh: agent(connect, 0, 0),
        }
    }

    /// Sends a request and waits for the head of its answer. What found its pooled connection stale at once
    /// is sent once more on a new one.
    pub(crate) fn call(&self, ask: &Ask<'_>, body: Sending<'_, '_>) -> Result<Answer, Error> {
        let whole = match &body {
            Sending::Whole(bytes) => Some(*bytes),
            Sending::Stream(_) => None,
        };
        let agent = match ask.connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        let begun = Instant::now();
        let result = attempt(agent, ask, body);
        let is_early = begun.elapsed() < STALE;
        match (result, whole) {
            (Err(error), Some(bytes))
                if ask.connection == Connection::Pooled && error.is_stale() && is_early =>
            {
                let again = attempt(&self.fresh, ask, Sending::Whole(bytes));
                // The first copy may have run, whatever becomes of the second.
                again.map_err(|again| again.with_earlier(error.stage))
            }
            (result, _) => result,
        }
    }

    fn send(
        agent: &Agent,
        ask: &Ask<'_>,
        body: Sending<'_, '_>,
    ) -> Result<http::Response<ureq::Body>, ureq::Error> {
        let (length, body) = match body {
            Sending::Whole(bytes) => (Some(bytes.len() as u64), bytes),
            Sending::Stream(stream) => {
                let length = stream.length;
                let request = request(ask, length)?;
                let request =
                    configure(agent, request.map(|()| SendBody::from_reader(stream)), ask);
                return agent.run(request);
            }
        };
        if body.is_empty() && is_bodiless(ask.method) {
            let request = request(ask, None)?;
            let request = configure(agent, request.map(|()| SendBody::none()), ask);
            return agent.run(request);
        }
        let mut reader = Cursor::new(body);
        let request = request(ask, length)?;
        let request = configure(
            agent,
            request.map(|()| SendBody::from_reader(&mut reader)),
            ask,
        );
        agent.run(request)
    }

    /// Tells a target that a request is no longer waited for.
    pub(crate) fn cancel(&self, address: SocketAddr, id: &str, time: Duration) {
        let result = self
            .pooled
            .delete(format!("http://{address}/requests/{id}"))
            .config()
            .timeout_global(Some(time))
            .build()
            .call();
        if let Err(error) = result {
            spdlog::debug!("target: cancelling {id} at {address} failed: {error}");
        }
    }
}

fn attempt(agent: &Agent, ask: &Ask<'_>, body: Sending<'_, '_>) -> Result<Answer, Error> {
    stage::reset();
    let result = Client::send(agent, ask, body).map_err(Cause::from);
    result
        .and_then(|response| answer(ask, response))
        .map_err(|cause| Error {
            stage: stage::get(),
            cause,
        })
}

fn is_bodiless(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE" | "TRACE")
}

fn agent(connect: Duration, idle: usize, idle_per_target: usize) -> Agent {
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
        .max_idle_age(IDLE_AGE)
        .proxy(None)
        .build();
    let connector = stage::Dial
        .chain(TcpConnector::default())
        .chain(stage::Watch);
    Agent::with_parts(config, connector, LiteralResolver::default())
}

fn request(ask: &Ask<'_>, length: Option<u64>) -> Result<http::Request<()>, ureq::Error> {
    let method = Method::from_bytes(ask.method.as_bytes()).map_err(http::Error::from)?;
    let mut builder = http::Request::builder()
        .method(method)
        .uri(format!("http://{}{}", ask.address, ask.path))
        .header(head::REQUEST_ID, ask.id)
        .header(head::DEADLINE, ask.deadline.as_millis().to_string());
    for (name, value) in ask.headers {
        builder = builder.header(&**name, &**value);
    }
    if let Some(length) = length {
        builder = builder.header("Content-Length", length);
    }
    Ok(builder.body(())?)
}

fn configure<'b>(
    agent: &Agent,
    request: http::Request<SendBody<'b>>,
    ask: &Ask<'_>,
) -> http::Request<SendBody<'b>> {
    agent
        .configure_request(request)
        .timeout_global(Some(ask.deadline))
        .build()
}

fn answer(ask: &Ask<'_>, response: http::Response<ureq::Body>) -> Result<Answer, Cause> {
    let (parts, body) = response.into_parts();
    let text = |name: &str| -> Option<Arc<str>> {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(Into::into)
    };
    if let Some(id) = text(head::REQUEST_ID).filter(|id| **id != *ask.id) {
        return Err(Cause::OtherRequest(id));
    }
    let connection = text("connection").unwrap_or_default();
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !is_own(name.as_str(), &connection))
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    let status = parts.status.as_u16();
    let refused = status == 503 && text(head::OUTCOME).as_deref() == Some("not-run");
    Ok(Answer {
        status,
        headers,
        length: text("content-length").and_then(|text| text.parse().ok()),
        load: text(head::LOAD).and_then(|text| load(&text)),
        state: text(head::STATE),
        rate: Rate::new(
            parts
                .headers
                .get_all(head::RATE)
                .iter()
                .map(|value| value.to_str().ok()),
        ),
        refused,
        reader: Box::new(body.into_reader()),
    })
}

/// Headers of a target that are not the caller's business or are written anew.
fn is_own(name: &str, connection: &str) -> bool {
    let own = [
        head::OUTCOME,
        head::LOAD,
        head::STATE,
        head::RATE,
        "content-length",
    ];
    head::is_hop_by_hop(name, connection) || own.iter().any(|own| name.eq_ignore_ascii_case(own))
}

fn load(text: &str) -> Option<(u32, u32)> {
    let (in_flight, slots) = text.split_once('/')?;
    Some((in_flight.trim().parse().ok()?, slots.trim().parse().ok()?))
}
