//! The interface between the library and a platform: structs of functions that an adapter provides,
//! and the types that they exchange.
//!
//! An adapter translates names and formats; it has no state and decides nothing. It converts its
//! platform's bytes to the types of this module and back. The library owns all sockets, timers and
//! decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{
    request, response, HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri,
};
use serde::{Deserialize, Serialize};

use crate::account::Credential;
use crate::border::settings::Switch;
use crate::control::presence;
use crate::inventory::{Config, Registration};
use crate::steer::allowance::Excess;
use crate::steer::announcement::Announcement;
use crate::steer::fleet::{Load, Switches};
use crate::steer::retry::RetryLimits;
use crate::steer::throttle::Rate;

/// The settings that a process reads at its start and on each reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The region of each availability zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Address that receives callers' requests.
    pub front: SocketAddr,
    /// Address that answers the platform's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Address that answers callers' look-ups.
    pub lookup: Option<SocketAddr>,
    /// Address that receives the heartbeats of other hosts.
    pub peers: SocketAddr,
    /// Address of the feed, from which other hosts copy the contents of the store.
    pub feed: SocketAddr,
    /// Feed addresses of some hosts, which may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address that serves metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds that callers may rely on.
    pub bounds: Bounds,
    /// Maximum time after the host's start for which a request waits for the configuration.
    pub start_wait: Duration,
    /// Which mechanisms are enabled.
    pub switches: Switches,
    /// The capacity of the host.
    pub strength: presence::Strength,
    /// Whether requests share insufficient capacity by their urgency and their accounts.
    pub sharing: Switch,
    /// Memory that the process may use, in megabytes; that of the machine, if unset.
    pub memory_mb: Option<u32>,
    /// Descriptors that the process may open; as many as the system allows, if unset.
    pub descriptors: Option<u32>,
}

/// Limits that a deployment guarantees to its callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Maximum time for which the answer to a look-up is valid.
    pub lookup_ttl: Duration,
    /// Limits on retries, for all hosts together.
    pub retry_limits: RetryLimits,
    /// Number of requests that a cold target can take at once beyond its rate, from all hosts
    /// together.
    pub cold_burst: f64,
    /// Interval between a target's heartbeats to the store. Its registration expires after three
    /// intervals without one.
    pub heartbeat: Duration,
    /// Time after which no host may use a withdrawn key, whether it has learned of the withdrawal
    /// or not. If unset, hosts continue to accept the keys of their last configuration.
    pub withdrawal: Option<Duration>,
    /// Maximum excess of accounts over their quotas in each window. If unset, quotas are not
    /// enforced.
    pub excess: Option<Excess>,
}

/// Kinds of objects in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Config,
    /// Registrations of targets.
    Targets,
    /// Availability zones that must receive no requests.
    Evacuations,
    /// Registrations of entry hosts.
    Hosts,
}

impl Kind {
    /// The kind's name in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::Targets => "targets",
            Self::Evacuations => "evacuations",
            Self::Hosts => "hosts",
        }
    }
}

/// One decoded object of the store. Large values are shared by all their holders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration.
    Config(Arc<Config>),
    /// A target.
    Target(Arc<Registration>),
    /// The availability zone of this name is evacuated.
    Evacuation,
    /// An entry host.
    Host(Box<presence::HostRecord>),
}

/// A named object; without a value it was removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The object's name, unique within its kind.
    pub name: Arc<str>,
    /// Its version.
    pub version: u64,
    /// Its value.
    pub value: Option<Value>,
}

/// The maximum age of an answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// The answer shows everything acknowledged before the call.
    Latest,
    /// The answer may be some seconds old, and costs the store less.
    Some,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Lists all objects of a kind, page by page.
    List {
        /// The kind.
        kind: Kind,
        /// The last name of the previous page.
        after: Option<Arc<str>>,
        /// The maximum age of the answer.
        age: Age,
    },
    /// Waits for changes since a revision.
    Watch {
        /// The kind.
        kind: Kind,
        /// The revision of the last list or watch.
        revision: u64,
        /// Maximum time that the store waits for a change.
        wait: Duration,
    },
    /// Registers an entry host that is not registered yet.
    Create(presence::HostRecord),
    /// Replaces the registration of an entry host, if it still has the given version.
    Replace(presence::HostRecord, u64),
    /// Removes the registration of an entry host, if it still has the given version.
    Remove(Arc<str>, u64),
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One page of a list.
    Page {
        /// Objects, in the order of their names.
        entries: Vec<Entry>,
        /// The name to continue after, if there are more. Its object may be unreadable.
        next: Option<Arc<str>>,
        /// The store's revision.
        revision: u64,
    },
    /// The changes, in order.
    Changes {
        /// The objects as of each change.
        entries: Vec<Entry>,
        /// The revision to continue from.
        revision: u64,
    },
    /// The change was made; the object now has this version.
    Done(u64),
    /// The object's version differs from the expected one; the actual version, if the store
    /// reported it.
    Conflict(Option<u64>),
    /// There is no such object.
    Absent,
    /// The history for a watch is gone: list again.
    Expired,
    /// Nothing was done: the store is overloaded or unavailable.
    Busy,
    /// Nothing was done: the hosts have made too many calls.
    Limited,
}

/// Input that does not follow the platform's format.
#[derive(Debug, thiserror::Error)]
#[error("{place}: {cause}")]
pub struct Malformed {
    /// The part of the input.
    pub place: Arc<str>,
    /// The problem.
    pub cause: Arc<str>,
}

/// Longest place and cause of an error, in characters. Both may quote the input, of any length.
const MAX_ERROR_CHARS: usize = 300;

/// Cuts a text that is too long for an error.
fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_ERROR_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

impl Malformed {
    /// Creates an error for a problem at `place`.
    pub fn new(place: impl AsRef<str>, cause: impl std::fmt::Display) -> Self {
        Self {
            place: shorten(place.as_ref()).into(),
            cause: shorten(&cause.to_string()).into(),
        }
    }
}

/// The encoding of calls to the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Encodes a call as an HTTP request.
    pub encode: fn(&Call) -> Result<Request<Bytes>, Malformed>,
    /// Decodes the answer to a call. Unreadable objects are left out.
    pub decode: fn(&Call, StatusCode, &[u8]) -> Decoded,
    /// How often the store that sent an answer with these headers has been restored from a copy.
    pub era: fn(&HeaderMap) -> Option<u64>,
}

/// A decoded answer of the store: the reply, and an error for each object that was left out.
pub type Decoded = Result<(Reply, Vec<Malformed>), Malformed>;

/// The head of a caller's request, apart from its method and path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's identifier of this attempt.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The object that the request concerns.
    pub affinity: Option<Arc<str>>,
    /// The caller's credential.
    pub credential: Credential,
}

/// The head of a target's answer, apart from its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The request that it answers.
    pub id: Option<Arc<str>>,
    /// The identity of the process that answers, if the answer contains it.
    pub target: Option<Arc<str>>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The target is not the intended process, and did not run the request.
    pub misdirected: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// The target's slowdown, if it can't be parsed; `load` is without it.
    pub unreadable_slowdown: Option<Arc<str>>,
    /// The requests per second that it accepts from all hosts together.
    pub rate: Rate,
    /// What it states about its process.
    pub announcement: Announcement,
}

/// The content of a target's health answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    /// The identity of its process.
    pub target: Option<Arc<str>>,
    /// Whether it is healthy and not leaving; `None` if the answer says nothing about that, as it
    /// was refused like a request.
    pub is_ready: Option<bool>,
    /// How much longer it remains cold.
    pub cold_left: Option<Duration>,
    /// The target's load.
    pub load: Option<Load>,
    /// The target's slowdown, if it can't be parsed; `load` is without it.
    pub unreadable_slowdown: Option<Arc<str>>,
    /// What it states about its process.
    pub announcement: Announcement,
}

/// The headers of requests and answers.
#[derive(Clone, Copy, Debug)]
pub struct Wire {
    /// Reads the head of a caller's request.
    pub head: fn(&request::Parts) -> Head,
    /// Reads the head of a target's answer.
    pub answer: fn(&response::Parts) -> Answer,
    /// Whether the adapter reads this header of a target's answer, or any answer may have it.
    pub is_usual: fn(&HeaderName) -> bool,
    /// Reads the head of a target's health answer.
    pub health: fn(&response::Parts) -> Health,
    /// Adds the headers for a target: the remaining time and the intended process.
    pub add_target_headers: fn(&mut HeaderMap, Duration, &HeaderValue),
    /// Removes the caller's credential and adds the name of the account that the request belongs
    /// to, if there is one.
    pub replace_credential: fn(&mut HeaderMap, Option<&str>),
    /// Adds the time after which a refused caller may retry.
    pub add_retry_after: fn(&mut HeaderMap, Duration),
}

/// A look-up of the entry hosts to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The caller's region.
    pub region: Arc<str>,
    /// The caller's availability zone.
    pub zone: Arc<str>,
}

/// Look-ups by callers and readiness checks by the platform.
#[derive(Clone, Copy, Debug)]
pub struct Lookup {
    /// The look-up in a request, if it is one.
    pub question: fn(&Uri) -> Option<Question>,
    /// Builds the answer from hosts and the time for which it is valid.
    pub answer: fn(&[SocketAddr], Duration) -> Response<Bytes>,
    /// Whether a request is a readiness check.
    pub is_ready: fn(&Uri) -> bool,
}

/// Everything that an adapter provides.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Reads the settings file.
    pub settings: fn(&Path) -> Result<Settings, Malformed>,
    /// The store's encoding.
    pub store: Store,
    /// Headers.
    pub wire: Wire,
    /// Look-ups and readiness checks.
    pub lookup: Lookup,
}
