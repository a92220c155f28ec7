//! What a deployment with self-registered targets consists of: routes, services, targets.
//!
//! The configuration comes whole and replaces the one before. Targets come and go one by one, each
//! under the identity of its process, so a restarted target is another target.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::account::{Account, Accounts, Caller, Credential, Denial, Knowledge};
use crate::catalog::Repeat;

/// Names a target for as long as this process lives; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(u32);

/// A share of a route's requests that belongs to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the parts of the route.
    pub weight: f64,
}

/// Where requests of one host name and path prefix go, and on what terms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's own name, for logs and metrics.
    pub name: Arc<str>,
    /// The host name it belongs to.
    pub host: Arc<str>,
    /// The beginning of the paths it takes; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// One service, or several by weight.
    pub parts: Vec<Part>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub goal: Duration,
    /// The most targets that one request may be sent to.
    pub attempts: u32,
    /// Its rank, 0 first.
    pub priority: u32,
    /// Whether targets answer faster for objects that they handled lately.
    pub affinity: bool,
    /// The only regions that may serve it; any, if empty.
    pub homes: BTreeSet<Arc<str>>,
    /// Whether it takes requests without a key, where there are accounts.
    pub open: bool,
}

/// What all targets of one service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// How long a target stays cold after its start.
    pub cold: Duration,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest request head, in bytes.
    pub head_bytes: usize,
    /// The longest request body, in bytes.
    pub body_bytes: u64,
    /// The longest time that a request head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One configuration, complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Grows from each configuration to the next.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Bounds on requests.
    pub limits: Limits,
    /// All client accounts; none, if the deployment has no accounts.
    pub accounts: Option<Vec<Arc<Account>>>,
}

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// What a target says of itself in the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The identity of its process.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it stays cold.
    pub cold_left: Duration,
    /// When its process started, in Unix milliseconds, if it says so. A target that starts again may do
    /// so under the identity that it had, and knows nothing of before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
}

impl Registration {
    /// Whether this is of an earlier process than `other`.
    pub fn is_before(&self, other: &Self) -> bool {
        self.born < other.born && self.born.is_some()
    }

    /// Whether this and `other` are of one process, which does the same work in the same place.
    pub fn is_same_process(&self, other: &Self) -> bool {
        let restarted = self.born != other.born && self.born.is_some() && other.born.is_some();
        !restarted
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
    }
}

/// The configuration in force, laid out for finding routes.
#[derive(Debug, Default)]
pub struct Table {
    version: Option<u64>,
    hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>>,
    services: BTreeMap<Arc<str>, Service>,
    limits: Option<Limits>,
    accounts: Option<Accounts>,
    /// The priority of the least urgent routes and accounts.
    last_priority: u32,
}

impl Table {
    /// An empty table, as before the first configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a configuration over as a whole unless it is older than the one in force; says
    /// whether it did.
    pub fn replace(&mut self, config: Config) -> bool {
        if self
            .version
            .is_some_and(|version| config.version <= version)
        {
            return false;
        }
        let routes = config.routes.iter().map(|route| route.priority);
        let accounts = config.accounts.iter().flatten();
        let priorities = routes.chain(accounts.filter_map(|account| account.priority));
        self.last_priority = priorities.max().unwrap_or_default();
        self.accounts = config.accounts.as_deref().map(Accounts::new);
        let mut hosts: BTreeMap<Arc<str>, BTreeMap<_, _>> = BTreeMap::new();
        for route in config.routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route));
        }
        self.version = Some(config.version);
        self.hosts = hosts;
        self.services = config.services;
        self.limits = Some(config.limits);
        true
    }

    /// The version in force, none before the first configuration.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The bounds in force.
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// How urgent requests of a caller on a route are: from 0 for the most urgent of all to 1 for the least urgent.
    pub fn rank(&self, route: &Route, caller: &Caller) -> f64 {
        let account = caller.account().and_then(|account| account.priority);
        f64::from(account.unwrap_or(route.priority)) / f64::from(self.last_priority.max(1))
    }

    /// Who sends a request with `credential` on `route`.
    ///
    /// # Errors
    ///
    /// The request may not run.
    pub fn caller(
        &self,
        route: &Route,
        credential: Credential,
        knowledge: Knowledge,
    ) -> Result<Caller, Denial> {
        let Some(accounts) = &self.accounts else {
            return Ok(Caller::Unnamed);
        };
        accounts.caller(credential, route.open, knowledge)
    }

    /// The route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }
}

/// Gives out keys for targets.
#[derive(Debug, Default)]
pub struct Keys {
    next: u32,
}

impl Keys {
    /// A key that was not given out before.
    pub fn take(&mut self) -> TargetKey {
        let key = TargetKey(self.next);
        self.next += 1;
        key
    }
}
