//! Forwards requests to other hosts while this host can't reach targets, and serves such requests
//! of other hosts.
//!
//! A relayed request is an HTTP request at the address that receives a host's datagrams. It is
//! relayed once: the other host sends it to targets or refuses it. Each limit is applied by one of
//! the two: the host that the caller asked charges the account's quota, if it can name the account,
//! and the one that sends to targets applies their limits and rates and the retry budget. It takes
//! requests of registered hosts only, and no more attempts or time than the route has.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{HeaderName, HeaderValue};
use http::{response, HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::attempt;
use super::body::{self, Body, ReceivedBody};
use super::client::{self, Connection, Unanswered};
use super::exchange::Exchange;
use super::pool::Pool;
use super::request_log::RequestTrace;
use super::{announcement, answer, front, message, now, serve, Error, Host};
use crate::duration;
use crate::inventory::TargetKey;
use crate::steer::allowance::AccountId;
use crate::steer::fleet::TargetQuery;

/// Header of a relayed request, with a [`Context`] in JSON.
const CONTEXT: HeaderName = HeaderName::from_static("relay-context");
/// Header of the response to a relayed request, with a [`Disposition`] in JSON.
const DISPOSITION: HeaderName = HeaderName::from_static("relay-disposition");
/// Header of the response to a relayed request, with the identity of the target that answered.
const SOURCE: HeaderName = HeaderName::from_static("relay-source");
/// Header of a response with the time for which its connection is kept open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Connect timeout to a host of the same region: some round trips between zones.
const NEAR_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Connect timeout to a host of another region.
const FAR_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a host is not used after it could not be reached or could not serve a request.
const AVOIDANCE: Duration = Duration::from_millis(500);
/// Maximum number of hosts that a request is sent to until one takes it.
pub(crate) const MAX_HOSTS: usize = 3;

/// What a host needs to know about a relayed request besides the request itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Context {
    /// Time left until its deadline.
    #[serde(deserialize_with = "duration::deserialize")]
    pub(crate) time_left: Duration,
    /// Number of targets that it may still be sent to.
    pub(crate) attempts: usize,
    /// Whether the retry budget has counted it already.
    pub(crate) is_counted: bool,
    /// The account whose quota it was charged to.
    #[serde(default)]
    pub(crate) charged: Option<AccountId>,
    /// Version of the configuration at the host that relays it.
    pub(crate) configuration: Option<u64>,
    /// Targets that it was sent to.
    pub(crate) tried: Vec<Arc<str>>,
}

/// What became of a request at the host that sent it to targets. It is attached to the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Disposition {
    /// A target answered, or the request was rejected whichever host it is sent to.
    Answered,
    /// A target answered with a server error.
    Failed,
    /// It did not run and will not. Its caller may retry after this time.
    NotRun(#[serde(deserialize_with = "duration::deserialize")] Duration),
    /// It did not run, but may be sent to another host.
    NotServed,
    /// It may have run.
    Unknown,
    /// It may have run, and its deadline has passed.
    TimedOut,
}

/// The target whose answer a response is. It is attached to the response.
#[derive(Clone, Debug)]
struct Source(Arc<str>);

/// Attaches the target that answered to the response to a relayed request.
pub(crate) fn with_source(
    host: &Host,
    exchange: &Exchange,
    target: TargetKey,
    mut response: Response<Body>,
) -> Response<Body> {
    if exchange.context.is_none() {
        return response;
    }
    if let Some(member) = host.core.borrow().fleet.member(target) {
        response
            .extensions_mut()
            .insert(Source(member.id().clone()));
    }
    response
}

/// Result of an attempt to have another host serve a request.
pub(crate) enum Outcome {
    /// A target answered; the response for the caller.
    Answered(Response<Body>),
    /// A target answered with a server error.
    Failed(Response<Body>),
    /// The other host refused the request. Its caller may retry after this time.
    Refused(Duration),
    /// The other host can't serve the request, which may be sent to a further one.
    NotServed,
    /// The request was not sent.
    NotSent,
    /// It may have run.
    Unknown,
    /// It may have run, and its deadline has passed.
    TimedOut,
    /// Its body can't be sent again.
    NoBody,
}

impl Outcome {
    fn new(disposition: Disposition, response: Response<Body>) -> Self {
        match disposition {
            Disposition::Answered => Self::Answered(response),
            Disposition::Failed => Self::Failed(response),
            Disposition::NotRun(retry_after) => Self::Refused(retry_after),
            Disposition::NotServed => Self::NotServed,
            Disposition::Unknown => Self::Unknown,
            Disposition::TimedOut => Self::TimedOut,
        }
    }

    /// Describes it in a word, for the log.
    pub(crate) fn describe(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Refused(_) => "refused",
            Self::NotServed => "unserved",
            Self::NotSent => "unreached",
            Self::Unknown => "unknown",
            Self::TimedOut => "timedout",
            Self::NoBody => "unsent",
        }
    }
}

/// A host that takes requests of this one.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) host: Arc<str>,
    address: SocketAddr,
    connect_timeout: Duration,
}

/// Connections to other hosts, and hosts that are not used for a while.
pub(crate) struct Relays {
    pool: RefCell<Pool<SocketAddr>>,
    avoided_until: RefCell<BTreeMap<SocketAddr, Instant>>,
}

impl Relays {
    /// Creates a pool for at most `max_idle` connections.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self {
            pool: RefCell::new(Pool::new(max_idle)),
            avoided_until: RefCell::default(),
        }
    }

    fn is_avoided(&self, address: SocketAddr) -> bool {
        let avoided_until = self.avoided_until.borrow();
        avoided_until
            .get(&address)
            .is_some_and(|until| now() < *until)
    }

    /// Prefers other hosts for a while.
    pub(crate) fn avoid(&self, relay: &Relay) {
        let mut avoided_until = self.avoided_until.borrow_mut();
        avoided_until.retain(|_, until| now() < *until);
        avoided_until.insert(relay.address, now() + AVOIDANCE);
    }

    /// Closes connections that have expired.
    pub(crate) fn sweep(&self) {
        self.pool.borrow_mut().sweep(now());
    }
}

/// Chooses a host for a request, none of `tried`.
pub(crate) fn choose(host: &Host, query: &TargetQuery<'_>, tried: &[Arc<str>]) -> Option<Relay> {
    let core = host.core.borrow();
    let record = core
        .presence
        .relay_host(now(), query.affinity_key, query.homes, |record| {
            tried.contains(&record.host) || host.relays.is_avoided(record.peers)
        })?;
    Some(Relay {
        host: record.host.clone(),
        address: record.peers,
        connect_timeout: if core.presence.is_near(record) {
            NEAR_CONNECT_TIMEOUT
        } else {
            FAR_CONNECT_TIMEOUT
        },
    })
}

/// Sends a request to another host and waits for its response. `sent_to` are the targets that the
/// request was sent to before.
pub(crate) async fn send(
    host: &Rc<Host>,
    exchange: &Exchange,
    trace: &mut RequestTrace,
    relay: &Relay,
    sent_to: &[TargetKey],
    body: &mut Option<ReceivedBody>,
) -> Outcome {
    let mut connection = match connect(host, relay).await {
        Ok(connection) => connection,
        Err(error) => {
            spdlog::debug!("relay: cannot connect to host {}: {error}", relay.host);
            return Outcome::NotSent;
        }
    };
    trace.observe(&connection);
    let Some(payload) = attempt::take_body(body) else {
        return Outcome::NoBody;
    };
    let Some(context) = encode(&context(host, exchange, sent_to)) else {
        return Outcome::NotSent;
    };
    let request = message::build_relay_request(exchange, payload, (CONTEXT, context));
    let response = connection.send(request);
    match tokio::time::timeout_at(exchange.deadline.into(), response).await {
        Ok(Ok(response)) => receive(host, exchange, relay, connection, response).await,
        Ok(Err(Unanswered::NotSent)) => Outcome::NotSent,
        Ok(Err(Unanswered::Sent)) => Outcome::Unknown,
        Err(_) => Outcome::TimedOut,
    }
}

fn context(host: &Host, exchange: &Exchange, sent_to: &[TargetKey]) -> Context {
    let core = host.core.borrow();
    let tried = sent_to.iter().filter_map(|key| core.fleet.member(*key));
    Context {
        time_left: exchange.deadline.saturating_duration_since(now()),
        attempts: exchange.attempts.saturating_sub(sent_to.len()),
        is_counted: exchange.is_counted.get(),
        charged: exchange.admitted.charged_account(),
        configuration: core.table.version(),
        tried: tried.map(|member| member.id().clone()).collect(),
    }
}

async fn connect(host: &Host, relay: &Relay) -> Result<Connection, client::Error> {
    let idle = host.relays.pool.borrow_mut().take(now(), relay.address);
    let stream = match idle {
        Some(stream) => stream,
        None => {
            let source = host.settings.peers.ip();
            client::connect_from(source, relay.address, relay.connect_timeout).await?
        }
    };
    Connection::new(stream).await
}

async fn receive(
    host: &Rc<Host>,
    exchange: &Exchange,
    relay: &Relay,
    mut connection: Connection,
    response: Response<Incoming>,
) -> Outcome {
    let (mut parts, incoming) = response.into_parts();
    if !attempt::is_final_status(parts.status) {
        spdlog::warn!(
            "relay: host {} answered with status {}",
            relay.host,
            parts.status
        );
        return Outcome::Unknown;
    }
    record_announcement(host, &mut parts);
    let disposition = parts.headers.remove(DISPOSITION);
    let Some(disposition) = disposition.and_then(|value| decode(&value)) else {
        spdlog::warn!("relay: host {} sent no valid disposition", relay.host);
        return Outcome::Unknown;
    };
    let read = connection.read(attempt::read_body(exchange, incoming));
    let response = match read.await {
        Some(ReceivedBody::Complete(bytes)) => {
            return_to_pool(host, relay, connection, &parts.headers).await;
            let keep_length = exchange.parts.method == Method::HEAD;
            message::build_caller_response(parts, body::full(bytes), keep_length)
        }
        Some(ReceivedBody::Prefix(start, rest)) => {
            let task = attempt::drive(host, connection);
            attempt::stream_response(exchange, parts, (start, rest), task)
        }
        None if now() >= exchange.deadline => return Outcome::TimedOut,
        None => return Outcome::Unknown,
    };
    Outcome::new(disposition, response)
}

/// Records what the target that answered states about its process. A rest that it asks for concerns
/// the other host only.
fn record_announcement(host: &Rc<Host>, parts: &mut response::Parts) {
    let Some(source) = parts.headers.remove(SOURCE) else {
        return;
    };
    let target = source
        .to_str()
        .ok()
        .and_then(|id| host.core.borrow().fleet.key(id));
    let is_leaving = (host.platform.wire.answer)(parts).announcement.is_leaving;
    if let Some(target) = target.filter(|_| is_leaving) {
        announcement::record_leaving(host, target);
    }
}

async fn return_to_pool(host: &Host, relay: &Relay, connection: Connection, headers: &HeaderMap) {
    let released = connection.release().await;
    if let Some(stream) = released.filter(|_| !client::closes_connection(headers)) {
        let idle = client::idle_timeout(headers);
        let pool = &mut *host.relays.pool.borrow_mut();
        pool.put(now(), relay.address, stream, idle);
    }
}

/// Listens for requests that other hosts relay.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let listener = serve::bind(host.settings.peers)?;
    serve::start(host, "relayed-requests", listener, handle);
    Ok(())
}

async fn handle(host: Rc<Host>, mut request: Request<Incoming>) -> Response<Body> {
    let sender = serve::caller_address(request.extensions());
    if !host.core.borrow().presence.is_peer_address(sender) {
        // A host that has just started may not be known yet, and can ask another one.
        let response = answer::plain_text(StatusCode::FORBIDDEN, "not a registered host\n");
        return with_disposition_header(response, Disposition::NotServed);
    }
    let context = request.headers_mut().remove(CONTEXT);
    let Some(context) = context.and_then(|value| decode(&value)) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "no valid relay context\n");
    };
    let mut response = front::handle_relayed(&host, request, context).await;
    // A request that was rejected before a target was chosen may be served by another host.
    let disposition = response.extensions_mut().remove::<Disposition>();
    let disposition = disposition.unwrap_or(Disposition::NotServed);
    response = with_disposition_header(response, disposition);
    if let Some(Source(id)) = response.extensions_mut().remove::<Source>() {
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(SOURCE, value);
        }
    }
    if let Some(limits) = host.core.borrow().table.limits() {
        let timeout = format!("timeout={}", limits.idle_timeout.as_secs());
        if let Ok(value) = HeaderValue::from_str(&timeout) {
            response.headers_mut().insert(KEEP_ALIVE, value);
        }
    }
    front::close_if_leaving(&host, &mut response);
    response
}

/// Attaches what a host that relays the request is to make of the response. Without it the request
/// is offered to other hosts, and this one is not used for a while.
pub(crate) fn with_disposition(
    mut response: Response<Body>,
    disposition: impl Into<Option<Disposition>>,
) -> Response<Body> {
    if let Some(disposition) = disposition.into() {
        response.extensions_mut().insert(disposition);
    }
    response
}

fn with_disposition_header(
    mut response: Response<Body>,
    disposition: Disposition,
) -> Response<Body> {
    if let Some(value) = encode(&disposition) {
        response.headers_mut().insert(DISPOSITION, value);
    }
    response
}

fn encode<T: Serialize>(item: &T) -> Option<HeaderValue> {
    let text = serde_json::to_string(item).ok()?;
    HeaderValue::from_str(&text).ok()
}

fn decode<T: for<'de> Deserialize<'de>>(value: &HeaderValue) -> Option<T> {
    serde_json::from_slice(value.as_bytes()).ok()
}
