//! The platform's object API, in memory.
//!
//! - `GET /v1/objects/KEY` returns the value with its version as `ETag: "N"`. `PUT` (any JSON, up
//!   to [`MAX_VALUE_BYTES`] bytes, else 413) and `DELETE` return `{"version":N}`; both support
//!   `If-Match` and `If-None-Match: *` and return 412 if the condition fails. Keys may contain
//!   slashes. Versions come from one increasing counter.
//! - `GET /v1/objects?prefix=P` returns `{"version":N,"objects":[{"key","version","value"}]}`.
//! - `GET /v1/watch?prefix=P&after=N&timeout_ms=T` waits for a change later than version N and
//!   returns `{"version":N,"events":[{"key","version","value"|null}]}`, without events after the
//!   time-out. Each key appears once, with its latest change; `null` is a deletion. The next watch
//!   continues after the returned version.
//! - `GET /v1/hosts` returns `{"hosts":[{"host","state":"live"|"leaving"}]}`.
//!
//! For tests, `POST /standin/fault` sets a [`Fault`], `GET /standin/calls` returns [`Calls`] and
//! `PUT /standin/hosts` sets the list of hosts (`{"hosts":[..]}`). While connections are refused
//! these are reachable at the control address only, and the call that sets such a fault gets a
//! response at that address only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{Reply, Request, Response, Server};
use crate::listen::ListenerState;
use crate::{lock, Error};

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest wait of a watch.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);
/// Limit of open connections, which also limits the waiting watches.
const MAX_CONNECTIONS: usize = 4096;

/// How the platform handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// Calls are served.
    #[default]
    Up,
    /// Calls get a 503 response.
    Unavailable,
    /// Connections are closed without a response.
    Closed,
    /// Connections are refused, and open ones closed.
    Refused,
}

/// The faults of the platform; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// How calls are handled.
    pub availability: Availability,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Every nth write takes effect but gets no response; 0 for none.
    pub lose_answers: u64,
    /// Every nth response of a watch that has events omits them; 0 for none.
    pub skip_events: u64,
    /// Each response of a watch that has events repeats the earlier ones.
    pub repeat_events: bool,
    /// The host list is returned as it was when the fault was set.
    pub stale_hosts: bool,
    /// Watches that wait when the fault is set never get a response, and their connections stay open.
    pub hang_watches: bool,
}

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in use.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: Arc<str>,
    /// Its state.
    pub state: HostState,
}

#[derive(Serialize, Deserialize)]
struct Hosts {
    hosts: Vec<Host>,
}

/// Counts of calls since the start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of an object.
    pub get: u64,
    /// Writes of an object, including conflicts.
    pub put: u64,
    /// Deletions of an object, including conflicts.
    pub delete: u64,
    /// Lists of objects.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Writes and deletions whose condition failed; counted above as well.
    pub conflicts: u64,
    /// Writes and deletions that took effect without a response; counted above as well.
    pub lost_answers: u64,
    /// Calls during an outage; not counted above.
    pub refused: u64,
}

struct Object {
    version: u64,
    /// None if the object is deleted.
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
    /// How often [`Fault::hang_watches`] was set.
    hang_count: u64,
    is_stopped: bool,
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
    /// Starts a platform without objects; with port 0 it listens on a free port.
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

    /// Also serves `/standin/` at a second address, which faults do not affect.
    pub fn with_control(mut self, listen: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::clone(&self.shared);
        let handler = move |request: Request| Reply::from(shared.serve_control(&request));
        self.control = Some(Server::new(listen, MAX_CONNECTIONS, handler)?);
        Ok(self)
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The second address, for control calls, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Replaces the faults in force.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// The counts of calls since the start.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.state).calls
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.shared.state).hosts = hosts;
    }

    /// Returns an object's version and value without counting a call.
    pub fn object(&self, key: &str) -> Option<(u64, String)> {
        let state = lock(&self.shared.state);
        let object = state.objects.get(key)?;
        let value = object.value.as_ref()?;
        Some((object.version, value.get().to_owned()))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        lock(&self.shared.state).is_stopped = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        if fault.stale_hosts && !state.fault.stale_hosts {
            state.stale_hosts = state.hosts.clone();
        }
        state.hang_count += u64::from(fault.hang_watches && !state.fault.hang_watches);
        state.fault = fault;
        let is_refused = state.fault.availability == Availability::Refused;
        drop(state);
        self.changed.notify_all();
        let Some(server) = self.server.get().and_then(Weak::upgrade) else {
            return;
        };
        server.set_listener_state(if is_refused {
            ListenerState::Closed
        } else {
            ListenerState::Open
        });
        if is_refused {
            server.close_connections();
        }
    }

    fn serve(&self, request: &Request) -> Reply {
        if request.path.starts_with("/standin/") {
            return self.serve_control(request).into();
        }
        let (availability, slow_ms) = {
            let state = lock(&self.state);
            (state.fault.availability, state.fault.slow_ms)
        };
        thread::sleep(Duration::from_millis(slow_ms));
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

    fn serve_control(&self, request: &Request) -> Response {
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
            Change::Put if request.body.len() > MAX_VALUE_BYTES => {
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
        let current_version = state
            .objects
            .get(key)
            .filter(|o| o.value.is_some())
            .map(|o| o.version);
        if !is_condition_met(request, current_version) {
            state.calls.conflicts += 1;
            return Response::error(412, "the object has changed").into();
        }
        if current_version.is_none() && change == Change::Delete {
            return Response::error(404, "no such object").into();
        }
        state.version += 1;
        let version = state.version;
        state
            .objects
            .insert(key.to_owned(), Object { version, value });
        state.writes += 1;
        let is_lost = is_nth(state.writes, state.fault.lose_answers);
        state.calls.lost_answers += u64::from(is_lost);
        drop(state);
        self.changed.notify_all();
        if is_lost {
            return Reply::Close;
        }
        let status = if current_version.is_none() { 201 } else { 200 };
        Response::json(status, &BTreeMap::from([("version", version)]))
            .with_header("ETag", format_args!("\"{version}\""))
            .into()
    }

    fn list(&self, request: &Request) -> Response {
        let mut state = lock(&self.state);
        state.calls.list += 1;
        let mut objects = latest_changes(&state, query_prefix(request), 0);
        objects.retain(|entry| entry.value.is_some());
        let version = state.version;
        drop(state);
        Response::json(200, &List { version, objects })
    }

    fn watch(&self, request: &Request) -> Reply {
        let query_number = |name| {
            request
                .query
                .get(name)
                .and_then(|text: &String| text.parse().ok())
        };
        let after: u64 = query_number("after").unwrap_or(0);
        let timeout =
            Duration::from_millis(query_number("timeout_ms").unwrap_or(0)).min(MAX_WATCH_TIME);
        let end = Instant::now() + timeout;
        let mut state = lock(&self.state);
        state.calls.watch += 1;
        let initial_hang_count = state.hang_count;
        loop {
            if state.is_stopped || state.fault.availability != Availability::Up {
                return Reply::Close;
            }
            if state.hang_count > initial_hang_count {
                let waited = self.changed.wait(state);
                state = waited.unwrap_or_else(PoisonError::into_inner);
                continue;
            }
            let mut events = latest_changes(&state, query_prefix(request), after);
            let time_left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || time_left.is_zero() {
                if !events.is_empty() {
                    state.watch_answers += 1;
                    if state.fault.repeat_events {
                        events = latest_changes(&state, query_prefix(request), 0);
                    }
                    if is_nth(state.watch_answers, state.fault.skip_events) {
                        events.clear();
                    }
                }
                let version = state.version;
                drop(state);
                return Response::json(200, &Events { version, events }).into();
            }
            let waited = self.changed.wait_timeout(state, time_left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn hosts(&self) -> Response {
        let mut state = lock(&self.state);
        state.calls.hosts += 1;
        let is_stale = state.fault.stale_hosts;
        let hosts = if is_stale {
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

fn query_prefix(request: &Request) -> &str {
    request.query.get("prefix").map_or("", String::as_str)
}

/// Returns the latest change of each key that starts with `prefix`, if later than version `after`, in the order of versions.
fn latest_changes(state: &State, prefix: &str, after: u64) -> Vec<Entry> {
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

/// Whether `If-Match` and `If-None-Match` allow a write of an object with this version.
fn is_condition_met(request: &Request, current_version: Option<u64>) -> bool {
    let expected = request.header("If-Match");
    let is_match = expected.is_none_or(|tag| match current_version {
        Some(version) => tag == "*" || tag == format!("\"{version}\""),
        None => false,
    });
    let is_absent = request
        .header("If-None-Match")
        .is_none_or(|_| current_version.is_none());
    is_match && is_absent
}

/// Whether `count` is a multiple of `n`; never for 0.
fn is_nth(count: u64, n: u64) -> bool {
    n > 0 && count.is_multiple_of(n)
}
