//! Requests and answers as they are passed on, without what concerns one connection only.

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{response, HeaderMap, HeaderValue, Request, Response};
use http_body_util::BodyExt;

use super::body::{self, Body, Part};
use super::exchange::Exchange;
use super::{now, Host};
use crate::account::Caller;

/// Headers that concern one connection only.
const HOP: [HeaderName; 8] = [
    CONNECTION,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// A request as a target gets it: with the time that is left, for the process that is meant.
pub(crate) fn outgoing(
    host: &Host,
    exchange: &Exchange,
    body: Part,
    id: &HeaderValue,
) -> Request<Body> {
    let mut headers = passed_on(&exchange.parts.headers);
    let left = exchange.deadline.saturating_duration_since(now());
    (host.platform.wire.add_target_headers)(&mut headers, left, id);
    match &exchange.admitted.caller {
        Caller::Unnamed => {}
        Caller::Public => (host.platform.wire.replace_credential)(&mut headers, None),
        Caller::Account(account) => {
            (host.platform.wire.replace_credential)(&mut headers, Some(&account.name))
        }
    }
    let body = match body {
        Part::Whole(bytes) => {
            let framed = exchange.parts.headers.contains_key(CONTENT_LENGTH)
                || exchange.parts.headers.contains_key(TRANSFER_ENCODING);
            if framed {
                headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
            }
            body::whole(bytes)
        }
        Part::Start(start, rest) => {
            let cut = exchange.cut.clone();
            let body = body::stream(start, rest, exchange.longest_body);
            Box::pin(body.map_err(move |error| {
                cut.set(true);
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

/// All headers but those that concern one connection only.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP.iter().chain(&named) {
        passed.remove(name);
    }
    passed
}

/// A target's answer as the caller gets it. `framed` keeps the length that the target stated.
pub(crate) fn incoming(parts: response::Parts, body: Body, framed: bool) -> Response<Body> {
    let mut headers = passed_on(&parts.headers);
    if !framed {
        headers.remove(CONTENT_LENGTH);
    }
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}
