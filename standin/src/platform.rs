//! The platform's object API, in memory.
//!
//! - `GET /v1/objects/KEY` answers the value with its version as `ETag: "N"`. `PUT` (any JSON, up
//!   to [`MAX_VALUE`] bytes, else 413) and `DELETE` answer `{"version":N}`; both honour `If-Match`
//!   and `If-None-Match: *` and answer 412 on a lost race. Keys may contain slashes. Versions come
//!   from one rising counter.
//! - `GET /v1/objects?prefix=P` answers `{"version":N,"objects":[{"key","version","value"}]}`.
//! - `GET /v1/watch?prefix=P&after=N&timeout_ms=T` waits for a change later than version N and
//!   answers `{"version":N,"events":[{"key","version","value"|null}]}`, with no events when the
//!   time is up. Each key appears once, with its latest change; `null` is a deletion. The next
//!   watch goes on after the answered version.
//! - `GET /v1/hosts` answers `{"hosts":[{"host","state":"live"|"leaving"}]}`.
//!
//! The test's side: `POST /standin/fault` takes a [`Fault`], `GET /standin/calls` answers
//! [`Calls`], `PUT /standin/hosts` takes the list of hosts (`{"hosts":[..]}`). While connections
//! are refused these are reachable at the control address only, and the call that sets such a
//! fault is answered there only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{Reply, Request, Response, Server};
use crate::listen::Gate;
use crate::{lock, Error};

/// Largest value of an object, in bytes.
pub const MAX_VALUE: usize = 1_000_000;
/// Longest wait of a watch.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Most connections at once, which bounds the waiting watches as well.
const MAX_CONNECTIONS: usize = 4096;

/// Whether calls are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// Served.
    #[default]
    Up,
    /// Answered with 503.
    Unavailable,
    /// Connections end without an answer.
    Closed,
    /// Connections are refused, and open ones ended.
    Refused,
}

/// What the platform does wrong. The default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether calls are served.
    pub availability: Availability,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Every nth write takes effect and is not answered; 0 is none.
    pub lose_answers: u64,
    /// Every nth answer of a watch leaves its events out; 0 is none.
    pub skip_events: u64,
    /// Each answer of a watch tells all earlier events again.
    pub repeat_events: bool,
    /// The host list stays as it was when the fault began.
    pub stale_hosts: bool,
    /// Watches that wait when the fault begins are never answered, and their connections stay open.
    pub hang_watches: bool,
}

/// Whether a host is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In use.
    Live,
    /// About to stop.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: Arc<str>,
    /// Whether it is in use.
    pub state: HostState,
}

#[derive(Serialize, Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

/// Calls since the start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Objects read.
    pub get: u64,
    /// Objects written, lost races included.
    pub put: u64,
    /// Objects deleted, lost races included.
    pub delete: u64,
    /// Lists of objects.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Writes that lost a race, of those above.
    pub conflicts: u64,
    /// Writes that took effect without an answer, of those above.
    pub lost_answers: u64,
    /// Calls that met an outage; they are not among the others.
    pub refused: u64,
}

struct Object {
    version: u64,
    /// None once deleted.
    value: Option<Arc<RawValue>>,
}

#[derive(Default)]
struct State {
    version: u64,
    objects: BTreeMap<String, Object>,
    hosts: Vec<Host>,
    stale_hosts: Vec<Host>,
    fault: Fault,
    calls: Calls,
    writes: u64,
    watch_answers: u64,
    /// How often the watches that waited were left hanging.
    hung: u64,
    stopped: bool,
}

#[derive(Serialize)]
struct Entry {
    key: String,
    version: u64,
    value: Option<Arc<RawValue>>,
}

#[derive(Serialize)]
struct List {
    version: u64,
    objects: Vec<Entry>,
}

#[derive(Serialize)]
struct Events {
    version: u64,
    events: Vec<Entry>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    server: OnceLock<Weak<Server>>,
}

/// A running platform; it stops when dropped.
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<Server>,
    control: Option<Server>,
}

impl Platform {
    /// Starts an empty platform; port 0 takes a free one.
    pub fn new(listen: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        let inner = Arc::clone(&shared);
        let server = Server::new(listen, MAX_CONNECTIONS, move |request| {
            inner.serve(&request)
        })?;
        let server = Arc::new(server);
        let _ = shared.server.set(Arc::downgrade(&server));
        Ok(Self {
            shared,
            server,
            control: None,
        })
    }

    /// Serves `/standin/` at a second address as well, which no fault reaches.
    pub fn with_control(mut self, listen: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::clone(&self.shared);
        let handler = move |request: Request| Reply::from(shared.control(&request));
        self.control = Some(Server::new(listen, MAX_CONNECTIONS, handler)?);
        Ok(self)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where it takes control calls, if there is a second address.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Replaces the faults shown.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Calls since the start.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.state).calls
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.shared.state).hosts = hosts;
    }

    /// An object's version and value, read without a call.
    pub fn object(&self, key: &str) -> Option<(u64, String)> {
        let state = lock(&self.shared.state);
        let object = state.objects.get(key)?;
        let value = object.value.as_ref()?;
        Some((object.version, value.get().to_owned()))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        lock(&self.shared.state).stopped = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        if fault.stale_hosts && !state.fault.stale_hosts {
            state.stale_hosts = state.hosts.clone();
        }
        state.hung += u64::from(fault.hang_watches && !state.fault.hang_watches);
        state.fault = fault;
        let refused = state.fault.availability == Availability::Refused;
        drop(state);
        self.changed.notify_all();
        let Some(server) = self.server.get().and_then(Weak::upgrade) else {
            return;
        };
        server.set(if refused { Gate::Closed } else { Gate::Open });
        if refused {
            server.close_connections();
        }
    }

    fn serve(&self, request: &Request) -> Reply {
        if request.path.starts_with("/standin/") {
            return self.control(request).into();
        }
        let (availability, slow) = {
            let state = lock(&self.state);
            (state.fault.availability, state.fault.slow_ms)
        };
        thread::sleep(Duration::from_millis(slow));
        if availability != Availability::Up {
            lock(&self.state).calls.refused += 1;
            return match availability {
                Availability::Unavailable => Response::error(503, "the platform is down").into(),
                _ => Reply::Close,
            };
        }
        let key = request.path.strip_prefix("/v1/objects/");
        match (request.method.as_str(), key, request.path.as_str()) {
            ("GET" | "HEAD", Some(key), _) => self.get(key).into(),
            ("PUT", Some(key), _) => self.write(key, request, Change::Put),
            ("DELETE", Some(key), _) => self.write(key, request, Change::Delete),
            ("GET", None, "/v1/objects") => self.list(request).into(),
            ("GET", None, "/v1/watch") => self.watch(request),
            ("GET", None, "/v1/hosts") => self.hosts().into(),
            _ => Response::error(404, "no such call").into(),
        }
    }

    fn control(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/standin/fault") => match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    self.set_fault(fault);
                    Response::json(200, &lock(&self.state).fault)
                }
                Err(error) => Response::error(400, &error.to_string()),
            },
            ("GET", "/standin/calls") => Response::json(200, &lock(&self.state).calls),
            ("PUT", "/standin/hosts") => match serde_json::from_slice::<Hosts>(&request.body) {
                Ok(list) => {
                    lock(&self.state).hosts = list.hosts;
                    Response::json(200, &())
                }
                Err(error) => Response::error(400, &error.to_string()),
            },
            _ => Response::error(404, "no such call"),
        }
    }

    fn get(&self, key: &str) -> Response {
        let mut state = lock(&self.state);
        state.calls.get += 1;
        let object = state.objects.get(key);
        let Some((version, value)) = object.and_then(|o| Some((o.version, o.value.as_ref()?)))
        else {
            return Response::error(404, "no such object");
        };
        Response::new(200, value.get().as_bytes().to_vec())
            .with_header("Content-Type", "application/json")
            .with_header("ETag", format_args!("\"{version}\""))
    }

    fn write(&self, key: &str, request: &Request, change: Change) -> Reply {
        let value = match change {
            Change::Put if request.body.len() > MAX_VALUE => {
                return Response::error(413, "the value is too large").into();
            }
            Change::Put => match serde_json::from_slice::<Box<RawValue>>(&request.body) {
                Ok(value) => Some(Arc::from(value)),
                Err(error) => return Response::error(400, &error.to_string()).into(),
            },
            Change::Delete => None,
        };
        let mut state = lock(&self.state);
        match change {
            Change::Put => state.calls.put += 1,
            Change::Delete => state.calls.delete += 1,
        }
        let current = state
            .objects
            .get(key)
            .filter(|o| o.value.is_some())
            .map(|o| o.version);
        if !condition_holds(request, current) {
            state.calls.conflicts += 1;
            return Response::error(412, "the object has changed").into();
        }
        if current.is_none() && change == Change::Delete {
            return Response::error(404, "no such object").into();
        }
        state.version += 1;
        let version = state.version;
        state
            .objects
            .insert(key.to_owned(), Object { version, value });
        state.writes += 1;
        let lost = is_nth(state.writes, state.fault.lose_answers);
        state.calls.lost_answers += u64::from(lost);
        drop(state);
        self.changed.notify_all();
        if lost {
            return Reply::Close;
        }
        let status = if current.is_none() { 201 } else { 200 };
        Response::json(status, &BTreeMap::from([("version", version)]))
            .with_header("ETag", format_args!("\"{version}\""))
            .into()
    }

    fn list(&self, request: &Request) -> Response {
        let mut state = lock(&self.state);
        state.calls.list += 1;
        let mut objects = changes(&state, prefix(request), 0);
        objects.retain(|entry| entry.value.is_some());
        let version = state.version;
        drop(state);
        Response::json(200, &List { version, objects })
    }

    fn watch(&self, request: &Request) -> Reply {
        let number = |name| {
            request
                .query
                .get(name)
                .and_then(|text: &String| text.parse().ok())
        };
        let after: u64 = number("after").unwrap_or(0);
        let timeout = Duration::from_millis(number("timeout_ms").unwrap_or(0)).min(MAX_WATCH);
        let end = Instant::now() + timeout;
        let mut state = lock(&self.state);
        state.calls.watch += 1;
        let begun = state.hung;
        loop {
            if state.stopped || state.fault.availability != Availability::Up {
                return Reply::Close;
            }
            if state.hung > begun {
                let waited = self.changed.wait(state);
                state = waited.unwrap_or_else(PoisonError::into_inner);
                continue;
            }
            let mut events = changes(&state, prefix(request), after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                if !events.is_empty() {
                    state.watch_answers += 1;
                    if state.fault.repeat_events {
                        events = changes(&state, prefix(request), 0);
                    }
                    if is_nth(state.watch_answers, state.fault.skip_events) {
                        events.clear();
                    }
                }
                let version = state.version;
                drop(state);
                return Response::json(200, &Events { version, events }).into();
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn hosts(&self) -> Response {
        let mut state = lock(&self.state);
        state.calls.hosts += 1;
        let stale = state.fault.stale_hosts;
        let hosts = if stale {
            &state.stale_hosts
        } else {
            &state.hosts
        };
        Response::json(
            200,
            &Hosts {
                hosts: hosts.clone(),
            },
        )
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    Put,
    Delete,
}

fn prefix(request: &Request) -> &str {
    request.query.get("prefix").map_or("", String::as_str)
}

/// The latest change of each key under `prefix` later than `after`, oldest first.
fn changes(state: &State, prefix: &str, after: u64) -> Vec<Entry> {
    let range = state.objects.range(prefix.to_owned()..);
    let mut entries: Vec<Entry> = range
        .take_while(|(key, _)| key.starts_with(prefix))
        .filter(|(_, object)| object.version > after)
        .map(|(key, object)| Entry {
            key: key.clone(),
            version: object.version,
            value: object.value.clone(),
        })
        .collect();
    entries.sort_by_key(|entry| entry.version);
    entries
}

fn condition_holds(request: &Request, current: Option<u64>) -> bool {
    let expected = request.header("If-Match");
    let matches = expected.is_none_or(|tag| match current {
        Some(version) => tag == "*" || tag == format!("\"{version}\""),
        None => false,
    });
    let absent = request
        .header("If-None-Match")
        .is_none_or(|_| current.is_none());
    matches && absent
}

/// Whether `count` is a multiple of `n`, where 0 means never.
fn is_nth(count: u64, n: u64) -> bool {
    n > 0 && count.is_multiple_of(n)
}
