//! What is soaked: a store, targets behind links, and hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ::standin::link::{Fault, Link};

use crate::standin::{
    self, build_response, configure, get, ok_response, start_target, Host, Mode, Store,
};

/// Hosts; one may be lost at any time.
const HOSTS: usize = 3;
const TARGETS: usize = 6;
/// How long the whole may take to serve again after the last fault.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a target does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// It runs and answers them.
    #[default]
    Well,
    /// It runs them and breaks off.
    Break,
    /// It refuses them without running them.
    Refuse,
    /// It runs them and answers 503 without a promise.
    Shed,
    /// It runs them and fails them.
    Fail,
    /// It runs them and names another request in its answer.
    Stray,
    /// It runs them late.
    Slow,
}

/// What targets ran, and how they run it.
#[derive(Default)]
pub struct Ledger {
    /// How often each request was run.
    runs: BTreeMap<String, usize>,
    /// Requests that must not run twice and were refused with a promise.
    promised: BTreeSet<String>,
    ways: BTreeMap<usize, Way>,
}

/// The ledger, shared by targets, callers and faults.
pub type Shared = Arc<Mutex<Ledger>>;

pub fn lock(ledger: &Shared) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Ledger {
    pub fn set_way(&mut self, target: usize, way: Way) {
        self.ways.insert(target, way);
    }

    /// How often a request has run so far.
    pub fn runs(&self, id: &str) -> usize {
        self.runs.get(id).copied().unwrap_or_default()
    }

    /// A caller was promised that a request has not run and never will.
    pub fn promise(&mut self, id: &str) {
        self.promised.insert(id.into());
    }
}

pub struct World {
    pub store: Store,
    pub ledger: Shared,
    pub links: Vec<Link>,
    pub hosts: Vec<Host>,
}

impl World {
    pub fn new() -> Self {
        let store = Store::new();
        configure(&store, 1);
        let ledger = Shared::default();
        let links: Vec<Link> = (0..TARGETS)
            .map(|index| {
                let address = one_target(index, ledger.clone());
                Link::new(SocketAddr::from(([127, 0, 0, 1], 0)), address).unwrap()
            })
            .collect();
        for (index, link) in links.iter().enumerate() {
            store.put_target(&format!("i-{index}"), link.address(), "ready");
        }
        let hosts = (0..HOSTS)
            .map(|index| Host::with_name(&store, &format!("h{index}")))
            .collect();
        let world = Self {
            store,
            ledger,
            links,
            hosts,
        };
        world.recovers().unwrap();
        world
    }

    /// Ends all faults but those of the processes that are gone.
    pub fn heal(&mut self) {
        self.store.set_mode(Mode::Up);
        for (index, link) in self.links.iter().enumerate() {
            link.set_fault(Fault::default());
            lock(&self.ledger).set_way(index, Way::Well);
            self.store
                .put_target(&format!("i-{index}"), link.address(), "ready");
        }
        for host in &mut self.hosts {
            host.signal("-CONT");
            host.restart_if_ended();
        }
    }

    /// Waits until all hosts serve, ten times in a row each.
    pub fn recovers(&self) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        for (index, host) in self.hosts.iter().enumerate() {
            let mut streak = 0;
            while streak < 10 {
                if Instant::now() >= end {
                    return Err(format!("host {index} serves no more"));
                }
                let path = format!("/safe/{index}-{streak}");
                let headers = format!("ragwortfold-request-id: probe-{index}-{streak}\r\n");
                let answered = get(host.front, &path, &headers)
                    .is_some_and(|(line, ..)| line.contains(" 200 "));
                streak = if answered { streak + 1 } else { 0 };
                if !answered {
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
        Ok(())
    }

    /// What targets saw against what callers were promised.
    pub fn judge(&self) -> Vec<String> {
        let ledger = lock(&self.ledger);
        let once = |id: &str| id.starts_with("once-");
        let twice = ledger
            .runs
            .iter()
            .filter(|(id, runs)| once(id) && **runs > 1)
            .map(|(id, runs)| format!("{id} ran {runs} times"));
        let promised = ledger
            .promised
            .iter()
            .filter(|id| ledger.runs(id) > 0)
            .map(|id| format!("{id} ran although its caller was told that it never will"));
        twice.chain(promised).collect()
    }
}

fn one_target(index: usize, ledger: Shared) -> SocketAddr {
    start_target(move |headers| {
        let id = headers.get("ragwortfold-request-id")?.clone();
        let way = lock(&ledger).ways.get(&index).copied().unwrap_or_default();
        if way == Way::Refuse {
            return Some(build_response(
                headers,
                "503 X",
                "ragwortfold-not-run: 1\r\n",
                "",
            ));
        }
        if way == Way::Slow {
            thread::sleep(Duration::from_millis(300));
        }
        *lock(&ledger).runs.entry(id).or_default() += 1;
        match way {
            Way::Well | Way::Slow | Way::Refuse => Some(ok_response(headers)),
            Way::Break => None,
            Way::Shed => Some(build_response(headers, "503 X", "", "")),
            Way::Fail => Some(build_response(headers, "500 X", "", "no")),
            Way::Stray => {
                let mut other = headers.clone();
                other.insert("ragwortfold-request-id".into(), "other".into());
                Some(standin::ok_response(&other))
            }
        }
    })
}
