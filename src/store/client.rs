//! Client of the platform's object API over HTTP and JSON. No other file of the store depends on the
//! API's paths, headers and bodies.
//!
//! Calls block. The error of a write shows whether the write can have taken effect: see [`Error`].

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use ureq::http::{Response, StatusCode};
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector, Transport};
use ureq::{Agent, Body};

use crate::border::objects as border;
use crate::literal::LiteralResolver;

pub use border::HostState;

/// Largest value that the platform accepts, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Largest answer that is read, in bytes. Only listings of many objects come near it.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Timeout of one call, unless [`Client::with_timeout`] sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes, besides ASCII letters and digits, that are not percent-encoded in a path or a query.
const UNESCAPED: &[u8] = b"-._~/";

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold; the write had no effect.
    #[error("{key}: changed by another writer")]
    Conflict {
        /// The object's key.
        key: Arc<str>,
    },
    /// The call was not sent; it had no effect.
    #[error("platform not reached: {reason}")]
    Unsent {
        /// Why it was not sent.
        reason: Arc<str>,
    },
    /// A write without a usable answer: it may have taken effect or may still do so.
    #[error("{key}: no usable answer to a write: {reason}")]
    Uncertain {
        /// The object's key.
        key: Arc<str>,
        /// Why there is no usable answer.
        reason: Arc<str>,
    },
    /// A read without an answer.
    #[error("platform gave no answer: {reason}")]
    Unanswered {
        /// Why there is no usable answer.
        reason: Arc<str>,
    },
    /// The platform answered with an HTTP error status; a write that fails so had no effect.
    #[error("{key}: platform answered status {status}")]
    Status {
        /// The requested key or prefix.
        key: Arc<str>,
        /// The HTTP status.
        status: u16,
    },
    /// An answer or a value that cannot be parsed or serialized.
    #[error("{key}: malformed: {reason}")]
    Malformed {
        /// The requested key or prefix.
        key: Arc<str>,
        /// The fault.
        reason: Arc<str>,
    },
    /// The value is larger than the platform accepts; it was not sent.
    #[error("{key}: value of {size} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes")]
    TooLarge {
        /// The object's key.
        key: Arc<str>,
        /// Its size as JSON, in bytes.
        size: usize,
    },
}

impl Error {
    /// Whether the platform was unavailable, as opposed to rejecting this one call.
    pub fn is_outage(&self) -> bool {
        match self {
            Self::Unsent { .. } | Self::Uncertain { .. } | Self::Unanswered { .. } => true,
            Self::Status { status, .. } => *status >= 500,
            Self::Conflict { .. } | Self::Malformed { .. } | Self::TooLarge { .. } => false,
        }
    }
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(u64),
}

/// A value with the version it has on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The object's key.
    pub key: Arc<str>,
    /// Rises with every write to any object.
    pub version: u64,
    /// The object's value.
    pub value: T,
}

impl Versioned<Value> {
    /// Deserializes the value as a `T`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the value does not have this type.
    pub fn deserialize<T: DeserializeOwned>(self) -> Result<Versioned<T>, Error> {
        let value = serde_json::from_value(self.value).map_err(|e| malformed(&self.key, &e))?;
        Ok(Versioned {
            key: self.key,
            version: self.version,
            value,
        })
    }
}

/// A write that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The object's new version.
    pub version: u64,
}

/// The objects whose keys begin with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The platform's version that the listing reflects; it may be out of date.
    pub version: u64,
    /// The objects, in order of their keys.
    pub objects: Vec<Versioned<Value>>,
}

/// A change that a watch reports, without a value if the object was deleted.
pub type Event = Versioned<Option<Value>>;

/// The result of a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Events {
    /// The version after which the next watch continues; never below this watch's start.
    pub version: u64,
    /// Changes in order of their versions. A watch may skip changes, so they only show that a read is
    /// worthwhile.
    pub events: Vec<Event>,
}

/// A host in the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The host's name.
    pub host: Arc<str>,
    /// Whether it is leaving.
    pub state: HostState,
}

/// A list in an answer. Its entries are decoded one by one: other writers may leave some that can't
/// be decoded.
#[derive(Deserialize)]
struct List {
    #[serde(alias = "objects", alias = "events", alias = "hosts")]
    entries: Vec<Box<RawValue>>,
    #[serde(default)]
    version: u64,
}

/// Decodes entries of a list, and leaves out those that can't be decoded.
fn decode_each<'a, T: DeserializeOwned>(
    key: &'a str,
    entries: &'a [Box<RawValue>],
) -> impl Iterator<Item = T> + 'a {
    entries.iter().filter_map(move |raw| {
        let entry = serde_json::from_str(raw.get());
        entry
            .inspect_err(|error| {
                spdlog::warn!("platform: {key}: skipped an entry that cannot be decoded: {error}")
            })
            .ok()
    })
}

/// Opens TCP connections and wraps connection errors in [`ConnectError`], because a call that fails
/// before it has a connection had no effect.
#[derive(Debug, Default)]
struct ConnectionOpener(TcpConnector);

/// A failure to open a connection.
#[derive(Debug, thiserror::Error)]
#[error("connect: {0}")]
struct ConnectError(ureq::Error);

impl<In: Transport> Connector<In> for ConnectionOpener {
    type Out = <TcpConnector as Connector<In>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        self.0
            .connect(details, chained)
            .map_err(|e| ureq::Error::Other(Box::new(ConnectError(e))))
    }
}

/// A blocking client of the platform. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    url: Arc<str>,
    timeout: Duration,
    agent: Agent,
}

impl Client {
    /// Creates a client of the API at the base URL `url`, e.g. `http://127.0.0.1:7000`.
    pub fn new(url: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .build();
        Self {
            url: url.trim_end_matches('/').into(),
            timeout: DEFAULT_TIMEOUT,
            agent: Agent::with_parts(
                config,
                ConnectionOpener::default(),
                LiteralResolver::default(),
            ),
        }
    }

    /// Sets the timeout of one call, from connecting to the last byte of the answer.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`], [`Error::Uncertain`] and [`Error::TooLarge`].
    pub fn get(&self, key: &str) -> Result<Option<Versioned<Value>>, Error> {
        let (status, etag, body) = self.get_response(&self.object_url(key), self.timeout)?;
        match status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            _ => return Err(status_error(key, status)),
        }
        let version = etag.ok_or_else(|| malformed(key, &"no version in the ETag"))?;
        let value = serde_json::from_slice(&body).map_err(|e| malformed(key, &e))?;
        Ok(Some(Versioned {
            key: key.into(),
            version,
            value,
        }))
    }

    /// Writes an object if `condition` holds.
    ///
    /// # Errors
    ///
    /// [`Error::Uncertain`] if the write may have taken effect; after any other error it has not.
    pub fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<Written, Error> {
        let body = serde_json::to_vec(value).map_err(|e| malformed(key, &e))?;
        if body.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge {
                key: key.into(),
                size: body.len(),
            });
        }
        let request = self
            .agent
            .put(self.object_url(key))
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .content_type("application/json");
        let request = match condition {
            Condition::Absent => request.header("If-None-Match", "*"),
            Condition::Version(n) => request.header("If-Match", format!("\"{n}\"")),
        };
        let response = request.send(&body[..]);
        let (status, etag) = write_status(key, response)?;
        if !status.is_success() {
            return Err(status_error(key, status));
        }
        let version = etag.ok_or_else(|| uncertain(key, &"no version in the ETag"))?;
        Ok(Written { version })
    }

    /// Deletes an object if it is at `version`. It is no error if the object does not exist.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub fn delete(&self, key: &str, version: u64) -> Result<(), Error> {
        let response = self
            .agent
            .delete(self.object_url(key))
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .header("If-Match", format!("\"{version}\""))
            .call();
        let (status, _) = write_status(key, response)?;
        match status {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            status => Err(status_error(key, status)),
        }
    }

    /// Lists the objects whose keys begin with `prefix`. The listing may be out of date.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let url = format!("{}/v1/objects?prefix={}", self.url, percent_encode(prefix));
        let answer: List = self.get_json(prefix, &url, self.timeout)?;
        let mut objects: Vec<_> = decode_each::<border::Object>(prefix, &answer.entries)
            .filter(|object| object.key.starts_with(prefix))
            .map(|object| Versioned {
                key: object.key.into(),
                version: object.version,
                value: object.value,
            })
            .collect();
        objects.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(Listing {
            version: answer.version,
            objects,
        })
    }

    /// Waits up to `timeout` for changes after version `after` to objects whose keys begin with
    /// `prefix`. Changes that the platform reports more than once are returned once.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn watch(&self, prefix: &str, after: u64, timeout: Duration) -> Result<Events, Error> {
        let url = format!(
            "{}/v1/watch?prefix={}&after={after}&timeout_ms={}",
            self.url,
            percent_encode(prefix),
            timeout.as_millis()
        );
        let answer: List = self.get_json(prefix, &url, self.timeout + timeout)?;
        let mut events: Vec<_> = decode_each::<border::Event>(prefix, &answer.entries)
            .filter(|event| event.version > after && event.key.starts_with(prefix))
            .map(|event| Versioned {
                key: event.key.into(),
                version: event.version,
                value: event.value,
            })
            .collect();
        events.sort_by(|a, b| (a.version, &a.key).cmp(&(b.version, &b.key)));
        events.dedup_by(|a, b| a.version == b.version && a.key == b.key);
        let last = events.last().map_or(after, |event| event.version);
        Ok(Events {
            version: answer.version.max(last),
            events,
        })
    }

    /// Reads the platform's list of hosts, which may be out of date.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn hosts(&self) -> Result<Vec<Host>, Error> {
        let url = format!("{}/v1/hosts", self.url);
        let answer: List = self.get_json("hosts", &url, self.timeout)?;
        Ok(decode_each::<border::HostEntry>("hosts", &answer.entries)
            .map(|entry| Host {
                host: entry.host.into(),
                state: entry.state,
            })
            .collect())
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/v1/objects/{}", self.url, percent_encode(key))
    }

    fn get_json<T: DeserializeOwned>(
        &self,
        key: &str,
        url: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        let (status, _, body) = self.get_response(url, timeout)?;
        if status != StatusCode::OK {
            return Err(status_error(key, status));
        }
        serde_json::from_slice(&body).map_err(|e| malformed(key, &e))
    }

    fn get_response(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Option<u64>, Vec<u8>), Error> {
        let mut response = match self.send_get(url, timeout) {
            // The platform may have closed a pooled connection. A read is idempotent, so it is retried.
            Err(ureq::Error::Io(_)) => self.send_get(url, timeout),
            other => other,
        }
        .map_err(read_error)?;
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(read_error)?;
        Ok((response.status(), etag(&response), body))
    }

    fn send_get(&self, url: &str, timeout: Duration) -> Result<Response<Body>, ureq::Error> {
        self.agent
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call()
    }
}

/// Returns the status and version of a write's answer, or an error if the answer does not show whether
/// the write took effect.
fn write_status(
    key: &str,
    response: Result<Response<Body>, ureq::Error>,
) -> Result<(StatusCode, Option<u64>), Error> {
    let mut response = match response {
        Ok(response) => response,
        Err(e) if is_unsent(&e) => return Err(unsent(&e)),
        Err(e) => return Err(uncertain(key, &e)),
    };
    let status = response.status();
    if status.is_server_error() {
        return Err(uncertain(key, &status));
    }
    // The body is read to its end only so that the connection can be reused; its content is ignored.
    let _ = response.body_mut().read_to_vec();
    Ok((status, etag(&response)))
}

/// Whether a call failed before its first byte was sent.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Other(e) => e.is::<ConnectError>(),
        ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::TlsRequired
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(ureq::Timeout::Resolve) => true,
        _ => false,
    }
}

fn etag(response: &Response<Body>) -> Option<u64> {
    let text = response.headers().get("etag")?.to_str().ok()?;
    text.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || UNESCAPED.contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

fn unsent(reason: &dyn std::fmt::Display) -> Error {
    Error::Unsent {
        reason: reason.to_string().into(),
    }
}

fn uncertain(key: &str, reason: &dyn std::fmt::Display) -> Error {
    Error::Uncertain {
        key: key.into(),
        reason: reason.to_string().into(),
    }
}

fn read_error(error: ureq::Error) -> Error {
    if is_unsent(&error) {
        return unsent(&error);
    }
    Error::Unanswered {
        reason: error.to_string().into(),
    }
}

fn malformed(key: &str, reason: &dyn std::fmt::Display) -> Error {
    Error::Malformed {
        key: key.into(),
        reason: reason.to_string().into(),
    }
}

fn status_error(key: &str, status: StatusCode) -> Error {
    if status == StatusCode::PRECONDITION_FAILED {
        return Error::Conflict { key: key.into() };
    }
    Error::Status {
        key: key.into(),
        status: status.as_u16(),
    }
}
