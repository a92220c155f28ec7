//! Accepts callers' requests, finds the route of each and forwards it.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HOST};
use http::{request, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::admission::{admit, Admitted};
use super::body::{self, Body, BodyError};
use super::exchange::{self, Buffered, Exchange};
use super::relay::{with_disposition, Disposition};
use super::request_log::Rejection;
use super::{answer, now, relay, request_log, serve, startup, Error, Host};
use crate::budget::{Account, Exceeded};
use crate::duration;
use crate::inventory::Route;
use crate::port::Head;
use crate::steer::fingerprint::{Content, Fingerprint};
use crate::steer::holdings::Stage;

/// Listens for callers.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let listener = serve::bind(host.settings.front)?;
    serve::start(host, "front", listener, handle);
    Ok(())
}

async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    host.core.borrow_mut().presence.count_request(now());
    let mut response = handle_request(&host, request, None).await;
    close_if_leaving(&host, &mut response);
    response
}

/// Handles a request that another host relays.
pub(crate) async fn handle_relayed(
    host: &Rc<Host>,
    request: Request<Incoming>,
    context: relay::Context,
) -> Response<Body> {
    handle_request(host, request, Some(context)).await
}

/// Ends the connection with this response if the host is shutting down.
pub(crate) fn close_if_leaving(host: &Host, response: &mut Response<Body>) {
    if host.shutdown.is_leaving() {
        close_connection(response);
    }
}

/// Ends the connection with this response.
fn close_connection(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Handles a request of a caller, or of another host that relays it with `context`.
async fn handle_request(
    host: &Rc<Host>,
    request: Request<Incoming>,
    context: Option<relay::Context>,
) -> Response<Body> {
    let started_at = now();
    // The connection is polled once more first. A request that was read late, by a host that was
    // paused or overloaded, is dropped then if its sender has left.
    tokio::task::yield_now().await;
    let (parts, incoming) = request.into_parts();
    if context.is_none() {
        startup::wait_for_copy(host).await;
    }
    let limits = host.core.borrow().table.limits();
    let reject = |parts: &request::Parts, response: Response<Body>, reason, detail: &str| {
        let rejection = Rejection {
            reason,
            detail,
            account: "",
        };
        request_log::log_rejected(host, parts, started_at, response.status(), rejection);
        response
    };
    let Some(limits) = limits else {
        let answer = answer::not_run(host, "no configuration yet\n");
        return reject(&parts, answer, "no-configuration", "");
    };
    let site = site_name(&parts).unwrap_or_default();
    if context
        .as_ref()
        .is_some_and(|context| context.configuration > host.core.borrow().table.version())
    {
        let answer = answer::not_run(host, "an older configuration\n");
        return reject(&parts, answer, "older-configuration", "");
    }
    let Some(route) = find_route(host, &site, &parts) else {
        let answer = answer::plain_text(StatusCode::NOT_FOUND, "no such route\n");
        let answer = with_disposition(answer, Disposition::Answered);
        return reject(&parts, answer, "no-route", "");
    };
    let head = (host.platform.wire.head)(&parts);
    let timeout = match &context {
        Some(context) => context.time_left,
        None => head.deadline.unwrap_or(Duration::MAX),
    };
    let timeout = timeout.min(route.timeout);
    let deadline = duration::after(started_at, timeout);
    let Some(account) = serve::account(&parts.extensions).cloned() else {
        return answer::not_run(host, "no account\n");
    };
    let read_limits = body::Limits {
        max_bytes: limits.body_bytes,
        max_buffered: body::MAX_BUFFERED_BYTES,
        max_pause: None,
        read_buffer_bytes: host.budget.head_buffer(limits.head_bytes),
    };
    let body = match read_body(incoming, &read_limits, &account, deadline).await {
        Ok(body) => body,
        Err(error) => {
            let detail = error.to_string();
            return reject(
                &parts,
                body_error_response(host, &error),
                error.reason(),
                &detail,
            );
        }
    };
    let buffered = match body {
        body::ReceivedBody::Complete(_) => Buffered::Complete,
        body::ReceivedBody::Prefix(..) => Buffered::Prefix,
    };
    let charged_by_relay = context.as_ref().and_then(|context| context.charged);
    account.set_stage(Stage::Running);
    let admitted = match admit(host, &route, &head, charged_by_relay) {
        Ok(admitted) => admitted,
        Err(error) => {
            let detail = error.to_string();
            let response = with_disposition(error.response(host), error.disposition());
            let rejection = Rejection {
                reason: error.reason(),
                detail: &detail,
                account: error.account_over_quota(),
            };
            request_log::log_rejected(host, &parts, started_at, response.status(), rejection);
            return response;
        }
    };
    let fingerprint = compute_fingerprint(&site, &parts, &head, &admitted, &body);
    let exchange = Exchange {
        fingerprint,
        attempts: context
            .as_ref()
            .map_or(usize::MAX, |context| context.attempts)
            .min(route.attempts as usize),
        is_counted: Cell::new(context.as_ref().is_some_and(|context| context.is_counted)),
        context,
        caller_aborted: Rc::default(),
        account,
        route,
        admitted,
        head,
        parts,
        started_at,
        deadline,
        max_body_bytes: limits.body_bytes,
        buffered,
    };
    let mut response = exchange::forward(host, exchange, body).await;
    if buffered == Buffered::Complete {
        response.extensions_mut().insert(serve::BodyConsumed);
    }
    response
}

/// The response to a request whose body could not be read completely.
fn body_error_response(host: &Host, error: &BodyError) -> Response<Body> {
    let not_run = Some(Disposition::NotRun(answer::DEFAULT_RETRY_AFTER));
    match error {
        BodyError::TooLong(_) => {
            let text = "the body is too long\n";
            let answer = answer::plain_text(StatusCode::PAYLOAD_TOO_LARGE, text);
            with_disposition(answer, Disposition::Answered)
        }
        BodyError::TooSlow => {
            let answer = answer::not_run(host, "the body did not arrive in time\n");
            with_disposition(answer, not_run)
        }
        BodyError::NoMemory(_) => {
            let mut answer = answer::not_run(host, "no memory for the body\n");
            close_connection(&mut answer);
            answer
        }
        BodyError::Sender(_) | BodyError::Reader(_) => {
            let answer = answer::plain_text(StatusCode::BAD_REQUEST, "the body broke off\n");
            with_disposition(answer, not_run)
        }
    }
}

async fn read_body(
    mut incoming: Incoming,
    limits: &body::Limits,
    account: &Account,
    deadline: Instant,
) -> Result<body::ReceivedBody, BodyError> {
    let read = body::read(&mut incoming, limits, account);
    let part = tokio::select! {
        biased;
        result = read => result?,
        () = account.wait_for_closing() => return Err(Exceeded.into()),
        () = tokio::time::sleep_until(deadline.into()) => return Err(BodyError::TooSlow),
    };
    Ok(part.with_rest(incoming))
}

/// The host name that the request is for, lower-cased and without a port.
fn site_name(parts: &request::Parts) -> Option<String> {
    let name = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let name = name.split_once(':').map_or(name, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

fn compute_fingerprint(
    site: &str,
    parts: &request::Parts,
    head: &Head,
    admitted: &Admitted,
    body: &body::ReceivedBody,
) -> Fingerprint {
    let path = parts.uri.path_and_query();
    let account = admitted.caller.account();
    Fingerprint::new(&Content {
        method: parts.method.as_str(),
        site,
        path: path.map_or("", |path| path.as_str()),
        account: account.map_or("", |account| &account.name),
        object: head.affinity.as_deref().unwrap_or_default(),
        body: body.fingerprint_content(),
    })
}

fn find_route(host: &Host, site: &str, parts: &request::Parts) -> Option<Arc<Route>> {
    let core = host.core.borrow();
    core.table.route(site, parts.uri.path()).cloned()
}
