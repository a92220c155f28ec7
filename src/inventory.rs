//! Configuration and targets of a deployment whose targets register themselves: routes, services,
//! targets.
//!
//! A configuration is complete and replaces the previous one. Targets register and leave one by
//! one, each under the identity of its process, so a restarted target is another target.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::account::{Account, Accounts, Caller, ConfigFreshness, Credential, Denial};
use crate::catalog::Repeat;
use crate::duration;

/// Identifies a target during the lifetime of this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(u32);

/// A service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Destination and terms of the requests for one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: Arc<str>,
    /// Host name that it matches.
    pub host: Arc<str>,
    /// Path prefix that it matches; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// One service, or several with weights.
    pub parts: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum time for which a caller waits.
    #[serde(deserialize_with = "duration::deserialize")]
    pub timeout: Duration,
    /// Latency goal: the time within which an answer is worth most.
    #[serde(deserialize_with = "duration::deserialize")]
    pub goal: Duration,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether targets answer faster for objects that they handled lately.
    pub affinity: bool,
    /// Regions that may serve it; any if empty.
    pub homes: BTreeSet<Arc<str>>,
    /// Whether it accepts requests without a key, in a deployment with accounts.
    pub open: bool,
}

/// Properties shared by all targets of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Time for which a target stays cold after its start.
    #[serde(deserialize_with = "duration::deserialize")]
    pub cold: Duration,
    /// Requests a second that a cold target can process.
    pub cold_rate: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for a request head to arrive.
    #[serde(deserialize_with = "duration::deserialize")]
    pub head_timeout: Duration,
    /// Maximum time for which a connection may stay idle.
    #[serde(deserialize_with = "duration::deserialize")]
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version, which increases with each configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on requests.
    pub limits: Limits,
    /// All client accounts; `None` if the deployment has no accounts.
    pub accounts: Option<Vec<Arc<Account>>>,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It is shutting down and accepts no new ones.
    Draining,
}

/// Registration of a target in the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Identity of its process.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Time for which it stays cold.
    #[serde(deserialize_with = "duration::deserialize")]
    pub cold_left: Duration,
    /// Start time of its process in Unix milliseconds, if it reports one. A restarted target may
    /// register under its previous identity without any state of the previous process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// Number of this write, which rises with each write of the process, also with those that change
    /// nothing else and are not shown; `None` if the platform has no such number.
    // A short name, as copies of the store repeat it for each target.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

impl Registration {
    /// Whether this registration is from an earlier process than `other`.
    pub fn is_older_than(&self, other: &Self) -> bool {
        self.born < other.born && self.born.is_some()
    }

    /// Whether this registration was written before `other` of the same process, as far as their
    /// numbers tell.
    pub fn is_earlier_write_than(&self, other: &Self) -> bool {
        self.sequence < other.sequence && self.sequence.is_some()
    }

    /// Whether this registration and `other` are from one process, with the same service, address
    /// and zone.
    pub fn is_same_process(&self, other: &Self) -> bool {
        let restarted = self.born != other.born && self.born.is_some() && other.born.is_some();
        !restarted
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
    }
}

/// The configuration in force, indexed for route lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Option<u64>,
    routes_by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>>,
    services: BTreeMap<Arc<str>, Service>,
    limits: Option<Limits>,
    accounts: Option<Accounts>,
    /// Priority of the least urgent routes and accounts.
    lowest_priority: u32,
}

impl RouteTable {
    /// Returns an empty table, as before the first configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the configuration unless the new one is older than or the same as the one in force.
    /// Returns whether it did.
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
        self.lowest_priority = priorities.max().unwrap_or_default();
        self.accounts = config.accounts.as_deref().map(Accounts::new);
        let mut routes_by_host: BTreeMap<Arc<str>, BTreeMap<_, _>> = BTreeMap::new();
        for route in config.routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route));
        }
        self.version = Some(config.version);
        self.routes_by_host = routes_by_host;
        self.services = config.services;
        self.limits = Some(config.limits);
        true
    }

    /// Returns the version in force, `None` before the first configuration.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Option<Limits> {
        self.limits
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the relative priority of a caller's requests on a route: from 0 for the most urgent
    /// of all to 1 for the least urgent.
    pub fn relative_priority(&self, route: &Route, caller: &Caller) -> f64 {
        let account = caller.account().and_then(|account| account.priority);
        f64::from(account.unwrap_or(route.priority)) / f64::from(self.lowest_priority.max(1))
    }

    /// Returns the caller that sends a request with `credential` on `route`.
    ///
    /// # Errors
    ///
    /// The request must not run.
    pub fn identify_caller(
        &self,
        route: &Route,
        credential: Credential,
        freshness: ConfigFreshness,
    ) -> Result<Caller, Denial> {
        let Some(accounts) = &self.accounts else {
            return Ok(Caller::Unnamed);
        };
        accounts.identify(credential, route.open, freshness)
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }
}

/// Allocates target keys.
#[derive(Debug, Default)]
pub struct TargetKeyAllocator {
    next: u32,
}

impl TargetKeyAllocator {
    /// Returns a key that was not allocated before.
    pub fn allocate(&mut self) -> TargetKey {
        let key = TargetKey(self.next);
        self.next += 1;
        key
    }
}
