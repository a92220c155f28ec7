//! Prepares requests and responses for forwarding, without hop-by-hop headers.

use std::sync::Arc;

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{response, HeaderMap, HeaderValue, Request, Response};
use http_body_util::BodyExt;

use super::body::{self, Body, ReceivedBody};
use super::exchange::Exchange;
use super::{now, uploads, Host};
use crate::account::Caller;

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Builds the request for a target, with the remaining time and the ID of the expected target
/// process.
pub(crate) fn build_target_request(
    host: &Host,
    exchange: &Exchange,
    service: &Arc<str>,
    body: ReceivedBody,
    id: &HeaderValue,
) -> Request<Body> {
    let mut headers = forwarded_headers(&exchange.parts.headers);
    let left = exchange.deadline.saturating_duration_since(now());
    (host.platform.wire.add_target_headers)(&mut headers, left, id);
    match &exchange.admitted.caller {
        Caller::Unnamed => {}
        Caller::Public | Caller::Unproved(_) => {
            (host.platform.wire.replace_credential)(&mut headers, None)
        }
        Caller::Account(account) => {
            (host.platform.wire.replace_credential)(&mut headers, Some(&account.name))
        }
    }
    let is_passed_on = matches!(body, ReceivedBody::Prefix(..));
    let request = build_request(exchange, headers, body);
    if !is_passed_on {
        return request;
    }
    let entry = host.uploads.add(service, &exchange.account);
    request.map(|body| uploads::track(body, entry))
}

/// Builds the request for another host, with an additional header.
pub(crate) fn build_relay_request(
    exchange: &Exchange,
    body: ReceivedBody,
    (name, value): (HeaderName, HeaderValue),
) -> Request<Body> {
    let mut headers = forwarded_headers(&exchange.parts.headers);
    headers.insert(name, value);
    // A request with an absolute URI names its site there.
    if let Some(authority) = exchange.parts.uri.authority() {
        if let Ok(site) = HeaderValue::from_str(authority.as_str()) {
            headers.insert(HOST, site);
        }
    }
    build_request(exchange, headers, body)
}

fn build_request(exchange: &Exchange, mut headers: HeaderMap, body: ReceivedBody) -> Request<Body> {
    let body = match body {
        ReceivedBody::Complete(bytes) => {
            let has_body = exchange.parts.headers.contains_key(CONTENT_LENGTH)
                || exchange.parts.headers.contains_key(TRANSFER_ENCODING);
            if has_body {
                headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
            }
            body::full(bytes)
        }
        ReceivedBody::Prefix(start, rest) => {
            let caller_aborted = exchange.caller_aborted.clone();
            let body = body::stream(start, rest, exchange.max_body_bytes);
            Box::pin(body.map_err(move |error| {
                caller_aborted.set(true);
                error
            }))
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = exchange.parts.method.clone();
    *request.headers_mut() = headers;
    if let Some(path) = exchange.parts.uri.path_and_query() {
        *request.uri_mut() = path.clone().into();
    }
    request
}

/// Copies all headers except the hop-by-hop ones, including those listed in `Connection`.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        forwarded.remove(name);
    }
    forwarded
}

/// Builds the response for the caller from a target's answer. `keep_length` retains the
/// Content-Length that the target stated.
pub(crate) fn build_caller_response(
    parts: response::Parts,
    body: Body,
    keep_length: bool,
) -> Response<Body> {
    let mut headers = forwarded_headers(&parts.headers);
    if !keep_length {
        headers.remove(CONTENT_LENGTH);
    }
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}
