//! Adapter to the platform's object API over HTTP and JSON. All of the API's shape is in this file.
//!
//! Calls block. A write's failure says whether the write can have taken effect: see [`Error`].

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use ureq::http::{Response, StatusCode};
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector, Transport};
use ureq::{Agent, Body};

use crate::border::objects as border;
use crate::literal::LiteralResolver;

pub use border::HostState;

/// Largest value the platform takes, in bytes of JSON.
pub const MAX_VALUE: usize = 1_000_000;
/// Largest answer that is read, in bytes: a listing of many objects.
const MAX_ANSWER: u64 = 64 << 20;
/// Time for one call, unless [`Client::with_timeout`] sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a key that go into a path or a query as they are, beside letters and digits.
const PLAIN: &[u8] = b"-._~/";

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The condition of a write did not hold, so it had no effect.
    #[error("{key}: changed by another writer")]
    Conflict {
        /// The object's key.
        key: Arc<str>,
    },
    /// The call never left this process: it had no effect.
    #[error("platform not reached: {reason}")]
    Unsent {
        /// What kept it.
        reason: Arc<str>,
    },
    /// A write without a readable answer: it may have taken effect, now or later.
    #[error("{key}: no answer to a write: {reason}")]
    Uncertain {
        /// The object's key.
        key: Arc<str>,
        /// What was seen in place of an answer.
        reason: Arc<str>,
    },
    /// A read without an answer.
    #[error("platform gave no answer: {reason}")]
    Down {
        /// What was seen in place of an answer.
        reason: Arc<str>,
    },
    /// The platform refused the call with an HTTP status; a refused write had no effect.
    #[error("{key}: platform answered status {status}")]
    Status {
        /// The key or prefix asked for.
        key: Arc<str>,
        /// The HTTP status.
        status: u16,
    },
    /// An answer or a value that cannot be read.
    #[error("{key}: malformed: {reason}")]
    Malformed {
        /// The key or prefix asked for.
        key: Arc<str>,
        /// What is wrong with it.
        reason: Arc<str>,
    },
    /// The value is larger than the platform takes; it was not sent.
    #[error("{key}: {size} bytes are more than {MAX_VALUE}")]
    TooLarge {
        /// The object's key.
        key: Arc<str>,
        /// Its size as JSON, in bytes.
        size: usize,
    },
}

impl Error {
    /// Whether the platform itself failed, as opposed to refusing this one call.
    pub fn is_outage(&self) -> bool {
        match self {
            Self::Unsent { .. } | Self::Uncertain { .. } | Self::Down { .. } => true,
            Self::Status { status, .. } => *status >= 500,
            Self::Conflict { .. } | Self::Malformed { .. } | Self::TooLarge { .. } => false,
        }
    }
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no such object.
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
    /// Reads the value as a `T`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] with the key.
    pub fn typed<T: DeserializeOwned>(self) -> Result<Versioned<T>, Error> {
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

/// The objects under a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The platform's version as of the listing; a listing may lag.
    pub version: u64,
    /// The objects, in order of their keys.
    pub objects: Vec<Versioned<Value>>,
}

/// A change that a watch saw; no value when the object was deleted.
pub type Event = Versioned<Option<Value>>;

/// What a watch saw.
#[derive(Clone, Debug, PartialEq)]
pub struct Events {
    /// Where the next watch goes on; never below where this one began.
    pub version: u64,
    /// Changes in order of their versions. A watch may skip changes, so take it as a hint to read.
    pub events: Vec<Event>,
}

/// A host in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The host's name.
    pub host: Arc<str>,
    /// Whether it is leaving.
    pub state: HostState,
}

/// Opens connections and marks what fails before one is open: such a call had no effect.
#[derive(Debug, Default)]
struct Dial(TcpConnector);

/// The mark of a failed connect.
#[derive(Debug, thiserror::Error)]
#[error("connect: {0}")]
struct DialError(ureq::Error);

impl<In: Transport> Connector<In> for Dial {
    type Out = <TcpConnector as Connector<In>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        self.0
            .connect(details, chained)
            .map_err(|e| ureq::Error::Other(Box::new(DialError(e))))
    }
}

/// A blocking client of the platform. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    url: Arc<str>,
    timeout: Duration,
    agent: Agent,
}

impl Client {
    /// A client of the API at the base URL `url`, e.g. `http://127.0.0.1:7000`.
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
            agent: Agent::with_parts(config, Dial::default(), LiteralResolver::default()),
        }
    }

    /// Sets the time for one call, from connecting to the last byte of the answer.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads an object; none if there is no such object.
    ///
    /// # Errors
    ///
    /// All but [`Error::Conflict`], [`Error::Uncertain`] and [`Error::TooLarge`].
    pub fn get(&self, key: &str) -> Result<Option<Versioned<Value>>, Error> {
        let (status, etag, body) = self.read(&self.object(key), self.timeout)?;
        match status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            _ => return Err(refused(key, status)),
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
    /// [`Error::Uncertain`] if it may have taken effect; after any other it has not.
    pub fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<Written, Error> {
        let body = serde_json::to_vec(value).map_err(|e| malformed(key, &e))?;
        if body.len() > MAX_VALUE {
            return Err(Error::TooLarge {
                key: key.into(),
                size: body.len(),
            });
        }
        let request = self
            .agent
            .put(self.object(key))
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .content_type("application/json");
        let request = match condition {
            Condition::Absent => request.header("If-None-Match", "*"),
            Condition::Version(n) => request.header("If-Match", format!("\"{n}\"")),
        };
        let response = request.send(&body[..]);
        let (status, etag) = written(key, response)?;
        if !status.is_success() {
            return Err(refused(key, status));
        }
        let version = etag.ok_or_else(|| uncertain(key, &"no version in the ETag"))?;
        Ok(Written { version })
    }

    /// Deletes an object at `version`. An object that is already gone is no error.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub fn delete(&self, key: &str, version: u64) -> Result<(), Error> {
        let response = self
            .agent
            .delete(self.object(key))
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .header("If-Match", format!("\"{version}\""))
            .call();
        let (status, _) = written(key, response)?;
        match status {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            status => Err(refused(key, status)),
        }
    }

    /// Lists the objects whose keys begin with `prefix`. The listing may lag.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let url = format!("{}/v1/objects?prefix={}", self.url, encode(prefix));
        let answer: border::Listing = self.answer(prefix, &url, self.timeout)?;
        let mut objects: Vec<_> = answer
            .objects
            .into_iter()
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

    /// Waits up to `timeout` for changes after version `after` under `prefix`. Changes that the
    /// platform tells again are left out.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn watch(&self, prefix: &str, after: u64, timeout: Duration) -> Result<Events, Error> {
        let url = format!(
            "{}/v1/watch?prefix={}&after={after}&timeout_ms={}",
            self.url,
            encode(prefix),
            timeout.as_millis()
        );
        let answer: border::Events = self.answer(prefix, &url, self.timeout + timeout)?;
        let mut events: Vec<_> = answer
            .events
            .into_iter()
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

    /// The platform's list of hosts, which lags.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub fn hosts(&self) -> Result<Vec<Host>, Error> {
        let url = format!("{}/v1/hosts", self.url);
        let answer: border::Hosts = self.answer("hosts", &url, self.timeout)?;
        Ok(answer
            .hosts
            .into_iter()
            .map(|entry| Host {
                host: entry.host.into(),
                state: entry.state,
            })
            .collect())
    }

    fn object(&self, key: &str) -> String {
        format!("{}/v1/objects/{}", self.url, encode(key))
    }

    fn answer<T: DeserializeOwned>(
        &self,
        key: &str,
        url: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        let (status, _, body) = self.read(url, timeout)?;
        if status != StatusCode::OK {
            return Err(refused(key, status));
        }
        serde_json::from_slice(&body).map_err(|e| malformed(key, &e))
    }

    fn read(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Option<u64>, Vec<u8>), Error> {
        let mut response = match self.send_read(url, timeout) {
            // A pooled connection that the platform had closed; a read may be sent again.
            Err(ureq::Error::Io(_)) => self.send_read(url, timeout),
            other => other,
        }
        .map_err(down)?;
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER)
            .read_to_vec()
            .map_err(down)?;
        Ok((response.status(), etag(&response), body))
    }

    fn send_read(&self, url: &str, timeout: Duration) -> Result<Response<Body>, ureq::Error> {
        self.agent
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call()
    }
}

/// The status of a write's answer, if it says what became of the write.
fn written(
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
    // Reading the body to its end lets the connection be used again; what it says does not matter.
    let _ = response.body_mut().read_to_vec();
    Ok((status, etag(&response)))
}

/// Whether a call failed before its first byte could leave.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Other(e) => e.is::<DialError>(),
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

fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || PLAIN.contains(&byte) {
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

fn down(error: ureq::Error) -> Error {
    if is_unsent(&error) {
        return unsent(&error);
    }
    Error::Down {
        reason: error.to_string().into(),
    }
}

fn malformed(key: &str, reason: &dyn std::fmt::Display) -> Error {
    Error::Malformed {
        key: key.into(),
        reason: reason.to_string().into(),
    }
}

fn refused(key: &str, status: StatusCode) -> Error {
    if status == StatusCode::PRECONDITION_FAILED {
        return Error::Conflict { key: key.into() };
    }
    Error::Status {
        key: key.into(),
        status: status.as_u16(),
    }
}
