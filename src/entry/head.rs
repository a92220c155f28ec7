//! Parses and validates the heads of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use http::{request, HeaderMap};

use crate::edge::RepeatedLength;
use crate::peer::stream::Open;
use crate::steer::ticket;

/// Header with the time left for the request, in milliseconds.
pub const DEADLINE: &str = "Ragwortfold-Deadline-Ms";
/// Header that identifies resends of the same request.
pub const KEY: &str = "Idempotency-Key";
/// Header with the ticket issued by a look-up.
pub const TICKET: &str = "Ragwortfold-Ticket";
/// Header with the outcome of a request.
pub const OUTCOME: &str = "Ragwortfold-Outcome";
/// Header with the identifier of a request towards a target.
pub const REQUEST_ID: &str = "Ragwortfold-Request-Id";
/// Header with a target's load, `IN_FLIGHT/SLOTS`.
pub const LOAD: &str = "Ragwortfold-Load";
/// Header with a target's state.
pub const STATE: &str = "Ragwortfold-State";
/// Header with the requests a second that a target accepts from all hosts together.
pub const RATE: &str = "Ragwortfold-Rate";

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Path prefix in front of a service's name.
pub(crate) const SERVICES_PREFIX: &str = "/v1/services/";

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Headers that this host sets itself and does not forward.
const SET_BY_HOST: [&str; 5] = [
    "host",
    "content-length",
    "expect",
    "ragwortfold-deadline-ms",
    "ragwortfold-request-id",
];

/// A header's name and value.
pub type Header = (Arc<str>, Arc<str>);

/// The validated head of a request.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) service: Arc<str>,
    pub(crate) method: Arc<str>,
    /// Path and query for the target, with the leading slash.
    pub(crate) path: Arc<str>,
    /// The headers that are forwarded.
    pub(crate) headers: Vec<Header>,
    /// The time that the caller allows for the request.
    pub(crate) deadline: Option<Duration>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) ticket: Option<ticket::Ticket>,
    /// Length of the body; none for a chunked one.
    pub(crate) length: Option<u64>,
}

/// A fault of a head that prevents the request from running.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("headers of {0} bytes are too large")]
    Oversize(usize),
    #[error("{DEADLINE}: '{0}' is not a number of milliseconds from 1 to 3600000")]
    Deadline(Arc<str>),
    #[error("{KEY}: must be 1 to {MAX_KEY_BYTES} visible ASCII characters")]
    Key,
    #[error("{TICKET}: {0}")]
    Ticket(#[from] ticket::Error),
    #[error("{0}: the value is not visible ASCII text")]
    Text(Arc<str>),
    #[error("Content-Length: '{0}' is not a number")]
    Length(Arc<str>),
    #[error("Transfer-Encoding: '{0}' is not 'chunked'")]
    Encoding(Arc<str>),
    #[error("conflicting or repeated {0}")]
    Repeated(&'static str),
    #[error("no service is named in '{0}'")]
    Path(Arc<str>),
}

impl Error {
    /// Returns the HTTP status for the fault.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Oversize(_) => 431,
            Self::Path(_) => 404,
            _ => 400,
        }
    }
}

/// Whether a header is hop-by-hop, by its name or because `Connection` lists it.
pub(crate) fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    let listed = connection
        .split(',')
        .any(|item| item.trim().eq_ignore_ascii_case(name));
    listed || contains(&HOP_BY_HOP, name)
}

fn contains(names: &[&str], name: &str) -> bool {
    names.iter().any(|item| item.eq_ignore_ascii_case(name))
}

impl Head {
    /// Validates the head of a request; its URL and headers may have `limit` bytes in all.
    pub(crate) fn new(parts: &request::Parts, limit: usize) -> Result<Self, Error> {
        let url = url(parts);
        let headers = parts.headers.iter();
        let size = url.len()
            + headers
                .map(|(name, value)| name.as_str().len() + value.len())
                .sum::<usize>();
        if size > limit {
            return Err(Error::Oversize(size));
        }
        let (service, path) = split_url(url).ok_or_else(|| Error::Path(url.into()))?;
        let mut head = Self {
            service,
            method: parts.method.as_str().into(),
            path,
            headers: Vec::with_capacity(parts.headers.len()),
            deadline: None,
            key: None,
            ticket: None,
            length: None,
        };
        head.parse_headers(&parts.headers)?;
        if parts.extensions.get::<RepeatedLength>().is_some() {
            return Err(Error::Repeated("Content-Length"));
        }
        Ok(head)
    }

    /// Builds the head of a request that another entry host relays.
    pub(crate) fn from_open(open: &Open) -> Result<Self, Error> {
        let ticket = open.ticket.as_deref().map(str::parse).transpose()?;
        Ok(Self {
            service: open.service.clone(),
            method: open.method.clone(),
            path: open.path.clone(),
            headers: open.headers.clone(),
            deadline: Some(open.deadline),
            // Only the home host of a ticket handles the key; for a target it is an ordinary header.
            key: open.key.clone().filter(|_| ticket.is_some()),
            ticket,
            length: open.length,
        })
    }

    fn parse_headers(&mut self, headers: &HeaderMap) -> Result<(), Error> {
        let connection = find_header(headers, "connection").unwrap_or_default();
        let encoding = find_header(headers, "transfer-encoding");
        let is_chunked = encoding.is_some();
        if let Some(encoding) = encoding.filter(|text| !text.eq_ignore_ascii_case("chunked")) {
            return Err(Error::Encoding(encoding));
        }
        let mut length_headers = 0;
        for (name, value) in headers {
            let name = name.as_str();
            let value = value.to_str().map_err(|_| Error::Text(name.into()))?;
            if name.eq_ignore_ascii_case(DEADLINE) {
                self.deadline = Some(parse_deadline(value)?);
            } else if name.eq_ignore_ascii_case(KEY) {
                self.set_key(value)?;
            } else if name.eq_ignore_ascii_case(TICKET) {
                self.ticket = Some(value.parse()?);
                continue;
            } else if name.eq_ignore_ascii_case("content-length") {
                length_headers += 1;
                let length = value.parse().map_err(|_| Error::Length(value.into()))?;
                self.length = Some(length);
            }
            if !is_hop_by_hop(name, &connection) && !contains(&SET_BY_HOST, name) {
                self.headers.push((name.into(), value.into()));
            }
        }
        if length_headers > 1 || (length_headers == 1 && is_chunked) {
            return Err(Error::Repeated("Content-Length"));
        }
        if length_headers == 0 && !is_chunked {
            self.length = Some(0);
        }
        Ok(())
    }

    fn set_key(&mut self, value: &str) -> Result<(), Error> {
        if self.key.is_some() {
            return Err(Error::Repeated(KEY));
        }
        let is_visible = value.bytes().all(|byte| byte.is_ascii_graphic());
        if value.is_empty() || value.len() > MAX_KEY_BYTES || !is_visible {
            return Err(Error::Key);
        }
        self.key = Some(value.into());
        Ok(())
    }
}

fn find_header(headers: &HeaderMap, name: &'static str) -> Option<Arc<str>> {
    let value = headers.get(name)?;
    value.to_str().ok().map(Into::into)
}

/// The path and query of a request.
pub(crate) fn url(parts: &request::Parts) -> &str {
    parts
        .uri
        .path_and_query()
        .map_or("", |path_and_query| path_and_query.as_str())
}

fn parse_deadline(value: &str) -> Result<Duration, Error> {
    let invalid = || Error::Deadline(value.into());
    let ms: u64 = value.trim().parse().map_err(|_| invalid())?;
    let time = Duration::from_millis(ms);
    if ms == 0 || time > MAX_DEADLINE {
        return Err(invalid());
    }
    Ok(time)
}

/// Splits `/v1/services/S/PATH?QUERY` into `S` and `/PATH?QUERY`.
fn split_url(url: &str) -> Option<(Arc<str>, Arc<str>)> {
    let rest = url.strip_prefix(SERVICES_PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return None;
    }
    if path.starts_with('/') {
        return Some((service.into(), path.into()));
    }
    Some((service.into(), format!("/{path}").into()))
}
