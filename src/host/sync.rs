//! What the platform's store tells: lists and watches of each kind, and the host's own registration.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use rand::RngExt;

use super::body::whole;
use super::client::{self, Connection};
use super::{now, Host};
use crate::inventory::State;
use crate::port::{Call, Entry, Kind, Reply, Value};

/// How long the store may take for a call beside what it was asked to wait.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a connection to the store may take to be established.
const CONNECT: Duration = Duration::from_secs(1);
/// How long a watch waits for a change: somewhat less than the history that the store keeps, so that
/// a watch that is cut can mostly be taken up again.
const WAIT: Duration = Duration::from_secs(15);
/// How often the registrations of hosts are read again, to find hosts whose heartbeats are lost.
const HOSTS: Duration = Duration::from_secs(30);
/// Pause after changes, in which more of them gather: each call to the store has its price.
const GATHER: Duration = Duration::from_millis(150);
/// First and longest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// How long targets that are missing after the store was away may take to register again.
const RETURN: Duration = Duration::from_secs(2);
/// Writes of the own registration are tried so many times on conflicts.
const WRITES: usize = 8;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Connect(#[from] client::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Malformed(#[from] crate::port::Malformed),
    #[error("it has too much to do or is away")]
    Busy,
    #[error("an answer that does not fit the call")]
    Unexpected,
}

/// A connection to the store that is opened when it is needed.
struct Client {
    host: Rc<Host>,
    connection: Option<Connection>,
}

impl Client {
    fn new(host: &Rc<Host>) -> Self {
        Self {
            host: host.clone(),
            connection: None,
        }
    }

    /// Makes a call. A connection on which anything went wrong is not used again.
    async fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let wait = match call {
            Call::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let kept = self.connection.take();
        let exchange = self.exchange(kept, call);
        let answered = tokio::time::timeout(PATIENCE + wait, exchange).await;
        let (connection, status, bytes) = answered.map_err(|_| Error::Timeout)??;
        self.connection = Some(connection);
        let (reply, unread) = (self.host.platform.store.decode)(call, status, &bytes)?;
        for malformed in unread {
            spdlog::warn!("sync: an object is left out: {malformed}");
        }
        match reply {
            Reply::Busy => Err(Error::Busy),
            reply => Ok(reply),
        }
    }

    async fn exchange(
        &self,
        kept: Option<Connection>,
        call: &Call,
    ) -> Result<(Connection, StatusCode, bytes::Bytes), Error> {
        let mut connection = match kept {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => client::connect(self.host.settings.store, CONNECT).await?,
        };
        let request = (self.host.platform.store.encode)(call)?.map(whole);
        connection.sender.ready().await?;
        let response = connection.sender.send_request(request).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        Ok((connection, status, bytes))
    }
}

/// Pauses that grow from failure to failure.
struct Pause {
    next: Duration,
}

impl Pause {
    fn new() -> Self {
        Self { next: PAUSE }
    }

    async fn wait(&mut self, host: &Host) {
        let part = host.core.borrow_mut().rng.random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(part)).await;
        self.next = (self.next * 2).min(LONGEST_PAUSE);
    }
}

/// Follows all kinds, and registers the host.
pub(crate) fn start(host: &Rc<Host>) {
    for kind in [Kind::Config, Kind::Targets, Kind::Evacuations] {
        tokio::task::spawn_local(follow(host.clone(), kind));
    }
    tokio::task::spawn_local(join(host.clone()));
    tokio::task::spawn_local(sweep(host.clone()));
}

/// Lists and watches one kind for ever.
async fn follow(host: Rc<Host>, kind: Kind) {
    let mut client = Client::new(&host);
    let mut pause = Pause::new();
    let mut known = None;
    let mut lost = false;
    loop {
        let result = match known {
            None => list(&host, &mut client, kind).await.map(Some),
            Some(revision) => watch(&host, &mut client, kind, revision, lost).await,
        };
        match result {
            Ok(revision) => {
                if std::mem::take(&mut lost) {
                    spdlog::info!("sync: {kind:?} regained");
                }
                known = revision;
                pause = Pause::new();
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    spdlog::warn!("sync: {kind:?} lost: {error}");
                }
                pause.wait(&host).await;
            }
        }
    }
}

/// Reads all objects of a kind; gives the revision to watch from.
async fn list(host: &Rc<Host>, client: &mut Client, kind: Kind) -> Result<u64, Error> {
    let mut all: Vec<Entry> = Vec::new();
    let mut first = None;
    loop {
        let after = all.last().map(|entry| entry.name.clone());
        let Reply::Page {
            entries,
            more,
            revision,
        } = client.call(&Call::List { kind, after }).await?
        else {
            return Err(Error::Unexpected);
        };
        // Changes after the first page was read are watched for, on whichever page they fall.
        let from = *first.get_or_insert(revision);
        let last = entries.is_empty() || !more;
        all.extend(entries);
        if last {
            snapshot(host, kind, all);
            return Ok(from);
        }
    }
}

/// Waits for changes; gives the revision to go on from, or none if the history is gone.
async fn watch(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
    revision: u64,
    lost: bool,
) -> Result<Option<u64>, Error> {
    let call = Call::Watch {
        kind,
        revision,
        wait: WAIT,
    };
    match client.call(&call).await? {
        Reply::Changes { entries, revision } => {
            let any = !entries.is_empty();
            for entry in entries {
                change(host, entry, kind, lost);
            }
            if any {
                tokio::time::sleep(GATHER).await;
            }
            Ok(Some(revision))
        }
        Reply::Expired => Ok(None),
        _ => Err(Error::Unexpected),
    }
}

/// Takes in all objects of a kind; what is not among them is gone.
fn snapshot(host: &Host, kind: Kind, entries: Vec<Entry>) {
    let names: BTreeSet<Arc<str>> = entries.iter().map(|entry| entry.name.clone()).collect();
    for entry in entries.iter().cloned() {
        if kind != Kind::Evacuations {
            change(host, entry, kind, false);
        }
    }
    let core = &mut *host.core.borrow_mut();
    match kind {
        Kind::Config => {}
        Kind::Evacuations => {
            let cold = core.longest_cold();
            core.fleet.evacuate(now(), names, cold);
        }
        Kind::Targets => {
            let missing: Vec<_> = core
                .fleet
                .ids()
                .filter(|id| !names.contains(*id))
                .cloned()
                .collect();
            for id in missing {
                core.fleet.lapse(&id, now() + RETURN);
            }
        }
        Kind::Hosts => {
            let missing: Vec<_> = core
                .presence
                .peers()
                .filter(|peer| !names.contains(&peer.host))
                .map(|peer| peer.host.clone())
                .collect();
            for peer in missing {
                core.presence.withdraw(now(), &peer);
            }
        }
    }
}

/// Takes in one object. `lost` tells that the store was away just before.
fn change(host: &Host, entry: Entry, kind: Kind, lost: bool) {
    let core = &mut *host.core.borrow_mut();
    let name = entry.name;
    match (kind, entry.value) {
        (Kind::Config, Some(Value::Config(config))) => {
            let version = config.version;
            if core.configure(config) {
                spdlog::info!("sync: configuration {version} is in force");
            }
        }
        (Kind::Targets, Some(Value::Target(registration))) => {
            if registration.state == State::Draining {
                spdlog::info!("sync: target {name} is draining");
            }
            if !registration.cold_left.is_zero() {
                spdlog::info!("sync: target {name} is cold for {:?}", registration.cold_left);
            }
            core.fleet.register(now(), registration);
        }
        (Kind::Targets, None) if lost => core.fleet.lapse(&name, now() + RETURN),
        (Kind::Targets, None) => core.fleet.withdraw(&name),
        (Kind::Evacuations, value) => {
            let cold = core.longest_cold();
            let mut zones = core.fleet.evacuated().clone();
            match value {
                Some(_) => {
                    spdlog::info!("sync: zone {name} is evacuated");
                    zones.insert(name);
                }
                None => {
                    spdlog::info!("sync: zone {name} is taken back");
                    zones.remove(&name);
                }
            }
            core.fleet.evacuate(now(), zones, cold);
        }
        (Kind::Hosts, Some(Value::Host(record))) => core.presence.register(now(), record),
        (Kind::Hosts, None) => core.presence.withdraw(now(), &name),
        (kind, value) => spdlog::warn!("sync: {name} is no {kind:?}: {value:?}"),
    }
}

/// Registers the host and learns of the others; looks again now and then.
async fn join(host: Rc<Host>) {
    let mut client = Client::new(&host);
    let mut pause = Pause::new();
    loop {
        let known = async {
            if host.core.borrow().registered.is_none() {
                register(&host, &mut client).await?;
            }
            list(&host, &mut client, Kind::Hosts).await
        };
        match known.await {
            Ok(_) => {
                pause = Pause::new();
                tokio::time::sleep(HOSTS).await;
            }
            Err(error) => {
                spdlog::debug!("sync: the other hosts are not known yet: {error}");
                pause.wait(&host).await;
            }
        }
    }
}

/// Writes the host's registration over what an earlier process of it may have left.
async fn register(host: &Rc<Host>, client: &mut Client) -> Result<(), Error> {
    let record = host.core.borrow().presence.own().clone();
    let mut call = Call::Create(record.clone());
    for _ in 0..WRITES {
        match client.call(&call).await? {
            Reply::Done(version) => {
                host.core.borrow_mut().registered = Some(version);
                return Ok(());
            }
            Reply::Conflict(Some(version)) => call = Call::Replace(record.clone(), version),
            _ => call = Call::Create(record.clone()),
        }
    }
    Err(Error::Unexpected)
}

/// Removes the host's registration, if the store can be reached.
pub(crate) async fn unregister(host: &Rc<Host>) {
    let name = host.settings.host.clone();
    let Some(mut version) = host.core.borrow().registered else {
        return;
    };
    let mut client = Client::new(host);
    for _ in 0..WRITES {
        match client.call(&Call::Remove(name.clone(), version)).await {
            Ok(Reply::Conflict(Some(now))) => version = now,
            Ok(_) => return,
            Err(error) => {
                spdlog::debug!("sync: still registered: {error}");
                return;
            }
        }
    }
}

/// Sees to what time alone changes.
async fn sweep(host: Rc<Host>) {
    const INTERVAL: Duration = Duration::from_millis(250);
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let now = now();
        host.pool.borrow_mut().sweep(now);
        for id in host.core.borrow_mut().fleet.expire(now) {
            spdlog::info!("sync: target {id} did not register again");
        }
    }
}
