//! Callers' requests: from the head to the route that takes it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HOST};
use http::{request, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use super::admission::{admit, Admitted};
use super::body::{self, Body, Broken};
use super::exchange::{self, Exchange, Kept};
use super::{answer, begin, now, record, serve, Error, Host};
use crate::inventory::Route;
use crate::port::Head;
use crate::steer::fingerprint::{Content, Fingerprint};

/// Listens for callers.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let listener = serve::bind(host.settings.front)?;
    tokio::task::spawn_local(serve::accept(host.clone(), listener, handle));
    Ok(())
}

async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    let mut response = take(&host, request).await;
    if host.stop.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn take(host: &Rc<Host>, request: Request<Incoming>) -> Response<Body> {
    let begun = now();
    host.core.borrow_mut().presence.count_request(begun);
    let (parts, incoming) = request.into_parts();
    begin::known(host).await;
    let limits = host.core.borrow().table.limits();
    let reject = |parts: &request::Parts, response: Response<Body>, reason, detail: &str| {
        record::rejected(host, parts, begun, response.status(), reason, detail);
        response
    };
    let Some(limits) = limits else {
        let answer = answer::not_run(host, "no configuration yet\n");
        return reject(&parts, answer, "no-configuration", "");
    };
    let site = site(&parts).unwrap_or_default();
    let Some(route) = route(host, &site, &parts) else {
        let answer = answer::plain(StatusCode::NOT_FOUND, "no such route\n");
        return reject(&parts, answer, "no-route", "");
    };
    let head = (host.platform.wire.head)(&parts);
    let patience = head.deadline.unwrap_or(Duration::MAX).min(route.timeout);
    let deadline = begun + patience;
    let body = match read(incoming, limits.body_bytes, deadline).await {
        Ok(body) => body,
        Err(broken) => {
            let detail = broken.to_string();
            return reject(&parts, unread(host, &broken), broken.reason(), &detail);
        }
    };
    let kept = match body {
        body::Part::Whole(_) => Kept::Whole,
        body::Part::Start(..) => Kept::Start,
    };
    let admitted = match admit(host, &route, &head) {
        Ok(admitted) => admitted,
        Err(refused) => {
            let detail = refused.to_string();
            return reject(&parts, refused.answer(host), refused.reason(), &detail);
        }
    };
    let fingerprint = fingerprint(&site, &parts, &head, &admitted, &body);
    let exchange = Exchange {
        fingerprint,
        cut: Rc::default(),
        route,
        admitted,
        head,
        parts,
        begun,
        deadline,
        longest_body: limits.body_bytes,
        body: kept,
    };
    let mut response = exchange::run(host, exchange, body).await;
    if kept == Kept::Whole {
        response.extensions_mut().insert(serve::ReadWhole);
    }
    response
}

/// The answer to a request whose body did not come as it should.
fn unread(host: &Host, broken: &Broken) -> Response<Body> {
    match broken {
        Broken::Length(_) => answer::plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"),
        Broken::Slow => answer::not_run(host, "the body did not arrive in time\n"),
        Broken::Sender(_) => answer::plain(StatusCode::BAD_REQUEST, "the body broke off\n"),
    }
}

async fn read(incoming: Incoming, most: u64, deadline: Instant) -> Result<body::Part, Broken> {
    let read = body::read(incoming, most);
    match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(result) => result,
        Err(_) => Err(Broken::Slow),
    }
}

/// The name of the site that is asked.
fn site(parts: &request::Parts) -> Option<String> {
    let name = match parts.uri.authority() {
        Some(authority) => authority.as_str(),
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let name = name.split_once(':').map_or(name, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

fn fingerprint(
    site: &str,
    parts: &request::Parts,
    head: &Head,
    admitted: &Admitted,
    body: &body::Part,
) -> Fingerprint {
    let path = parts.uri.path_and_query();
    let account = admitted.caller.account();
    Fingerprint::new(&Content {
        method: parts.method.as_str(),
        site,
        path: path.map_or("", |path| path.as_str()),
        account: account.map_or("", |account| &account.name),
        object: head.affinity.as_deref().unwrap_or_default(),
        body: body.content(),
    })
}

fn route(host: &Host, site: &str, parts: &request::Parts) -> Option<Arc<Route>> {
    let core = host.core.borrow();
    core.table.route(site, parts.uri.path()).cloned()
}
