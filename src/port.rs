//! Where a platform is fitted to the library: plain structs of functions, and the types they speak.
//!
//! An adapter names and formats; it has no state and decides nothing. It turns its platform's bytes
//! into the types of this module and back. All sockets, timers and decisions are the library's.

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
use crate::control::presence;
use crate::inventory::{Config, Registration};
use crate::steer::allowance::Excess;
use crate::steer::fleet::{Load, Switches};
use crate::steer::retry::RetryLimits;
use crate::steer::throttle::Rate;

/// What a process learns at its start and when it is told to read its settings again.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The region of each availability zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Where callers send requests.
    pub front: SocketAddr,
    /// Where the platform asks whether the host takes requests.
    pub ready: Option<SocketAddr>,
    /// Where callers look up hosts.
    pub lookup: Option<SocketAddr>,
    /// Where other hosts send their heartbeats.
    pub peers: SocketAddr,
    /// Where other hosts ask for what this one knows of the store.
    pub feed: SocketAddr,
    /// Feeds of some hosts, which may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// What callers may rely on.
    pub bounds: Bounds,
    /// How long after the host's start a request waits for the configuration at most.
    pub start_wait: Duration,
    /// Mechanisms in use.
    pub switches: Switches,
    /// How much the host can carry.
    pub strength: presence::Strength,
}

/// Figures that a deployment sets for what callers may rely on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to the end of the process at the latest.
    pub grace: Duration,
    /// The longest time for which an answer to a look-up counts.
    pub lookup_ttl: Duration,
    /// Repeats allowed, by all hosts together.
    pub repeats: RetryLimits,
    /// Requests that a cold target bears at once beyond its rate, from all hosts together.
    pub cold_burst: f64,
    /// Time between two heartbeats of a target to the store; its registration runs out after three without one.
    pub heartbeat: Duration,
    /// After how long no host may use a key that was withdrawn, whether it has heard of that or not; without it hosts go on with
    /// what they know.
    pub withdrawal: Option<Duration>,
    /// What accounts may ask beyond their quotas at the most, in each window; without it quotas are not kept.
    pub excess: Option<Excess>,
}

/// Kinds of objects in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Config,
    /// What targets say of themselves.
    Targets,
    /// Availability zones that are to get nothing.
    Evacuations,
    /// What entry hosts say of themselves.
    Hosts,
}

impl Kind {
    /// The kind as metrics name it.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::Targets => "targets",
            Self::Evacuations => "evacuations",
            Self::Hosts => "hosts",
        }
    }
}

/// One object of the store, decoded. The large ones are shared by all that hold them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration.
    Config(Arc<Config>),
    /// A target.
    Target(Arc<Registration>),
    /// The availability zone of this name is evacuated.
    Evacuation,
    /// An entry host.
    Host(Box<presence::Record>),
}

/// An object by its name; without a value it was removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The object's name, unique within its kind.
    pub name: Arc<str>,
    /// Its version.
    pub version: u64,
    /// What it says.
    pub value: Option<Value>,
}

/// How old an answer of the store may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// It shows all that was acknowledged before the call.
    Latest,
    /// It may be some seconds old, and costs the store less.
    Some,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// All objects of a kind, in pages.
    List {
        /// The kind.
        kind: Kind,
        /// The last name of the page before.
        after: Option<Arc<str>>,
        /// How old the answer may be.
        age: Age,
    },
    /// What has changed since a revision.
    Watch {
        /// The kind.
        kind: Kind,
        /// The revision of the last list or watch.
        revision: u64,
        /// How long the store may wait for a change.
        wait: Duration,
    },
    /// Registers an entry host that is not registered yet.
    Create(presence::Record),
    /// Replaces the registration of an entry host, if it still has the given version.
    Replace(presence::Record, u64),
    /// Removes the registration of an entry host, if it still has the given version.
    Remove(Arc<str>, u64),
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// One page of a list.
    Page {
        /// Objects, in the order of their names.
        entries: Vec<Entry>,
        /// Whether there are more.
        more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// What has changed, in order.
    Changes {
        /// The objects as they are after each change.
        entries: Vec<Entry>,
        /// The revision to go on from.
        revision: u64,
    },
    /// The change was made; the object has this version now.
    Done(u64),
    /// The object is not as the call expected; it has this version, if the store told it.
    Conflict(Option<u64>),
    /// There is no such object.
    Absent,
    /// The history that a watch asked for is gone: list again.
    Expired,
    /// Nothing was done: the store has too much to do, or is away.
    Busy,
}

/// An answer that does not follow the platform's format.
#[derive(Debug, thiserror::Error)]
#[error("{place}: {cause}")]
pub struct Malformed {
    /// Which part of the message.
    pub place: Arc<str>,
    /// What is wrong with it.
    pub cause: Arc<str>,
}

impl Malformed {
    /// Something is wrong at `place`.
    pub fn new(place: impl Into<Arc<str>>, cause: impl std::fmt::Display) -> Self {
        Self {
            place: place.into(),
            cause: cause.to_string().into(),
        }
    }
}

/// How the platform's store is spoken to.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Writes a call as an HTTP request.
    pub encode: fn(&Call) -> Result<Request<Bytes>, Malformed>,
    /// Reads the answer to a call. Objects that can't be read are left out.
    pub decode: fn(&Call, StatusCode, &[u8]) -> Decoded,
}

/// What an answer of the store was read as: the reply, and what of it had to be left out.
pub type Decoded = Result<(Reply, Vec<Malformed>), Malformed>;

/// What a caller's request says beside its method, path and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's name for this attempt.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The object that the request concerns.
    pub affinity: Option<Arc<str>>,
    /// What it says of its caller.
    pub credential: Credential,
}

/// What a target's answer says beside its status and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The request that it belongs to.
    pub id: Option<Arc<str>>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// The target is not the one that was meant, and did not run the request.
    pub misdirected: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// The requests a second that it takes from all hosts together.
    pub rate: Rate,
}

/// What a target's health answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    /// The identity of its process.
    pub target: Option<Arc<str>>,
    /// How much longer it is cold.
    pub cold_left: Option<Duration>,
}

/// What callers and targets are told in headers.
#[derive(Clone, Copy, Debug)]
pub struct Wire {
    /// Reads the head of a caller's request.
    pub head: fn(&request::Parts) -> Head,
    /// Reads the head of a target's answer.
    pub answer: fn(&response::Parts) -> Answer,
    /// Whether a header of a target's answer is one that the adapter reads, or that any answer may have.
    pub is_usual: fn(&HeaderName) -> bool,
    /// Reads the head of a target's health answer.
    pub health: fn(&response::Parts) -> Health,
    /// Adds what a target has to know: the time left, and which process is meant.
    pub address: fn(&mut HeaderMap, Duration, &HeaderValue),
    /// Takes away what a request says of its caller, and names the account whose request it is, if there is one.
    pub name: fn(&mut HeaderMap, Option<&str>),
    /// Adds when a refused caller may come back.
    pub come_back: fn(&mut HeaderMap, Duration),
}

/// A question for the entry hosts to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The caller's region.
    pub region: Arc<str>,
    /// The caller's availability zone.
    pub zone: Arc<str>,
}

/// How callers look up hosts, and how the platform asks whether this one is ready.
#[derive(Clone, Copy, Debug)]
pub struct Lookup {
    /// The question in a request, if it is one.
    pub question: fn(&Uri) -> Option<Question>,
    /// The answer: hosts, and how long it may be kept.
    pub answer: fn(&[SocketAddr], Duration) -> Response<Bytes>,
    /// Whether a request asks for readiness.
    pub is_ready: fn(&Uri) -> bool,
}

/// Everything that an adapter provides.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Reads the settings file.
    pub settings: fn(&Path) -> Result<Settings, Malformed>,
    /// The store.
    pub store: Store,
    /// Headers.
    pub wire: Wire,
    /// Look-ups.
    pub lookup: Lookup,
}
