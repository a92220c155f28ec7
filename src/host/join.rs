//! Maintains the host's registration in the store and the list of the other hosts.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::log::Event;
use super::store::{Client, Error};
use super::sync::{self, Backoff};
use super::{datagram, now, Host};
use crate::port::{Age, Call, Entry, Kind, Reply, Value};

/// Interval at which the registrations of hosts are read again, to find hosts whose heartbeats are
/// lost.
const LIST_INTERVAL: Duration = Duration::from_secs(120);
/// Mean time between two hosts that read the registrations after the store was restored.
const MEAN_LIST_SPACING: Duration = Duration::from_millis(25);
/// Attempts to write or remove the own registration when writes conflict.
const MAX_WRITES: usize = 8;
/// How long a host that has just started waits for responses to its first heartbeat: some round
/// trips within a region.
const INTRODUCTION_WAIT: Duration = Duration::from_millis(40);

/// Registers the host and reads the registrations of the others periodically.
pub(crate) async fn run(host: Rc<Host>) -> Infallible {
    let mut client = Client::new(&host);
    let mut backoff = Backoff::new();
    loop {
        let registrations = async {
            let is_registered = host.core.borrow().registered_version.is_some();
            if !is_registered && !host.shutdown.is_leaving() {
                register(&host, &mut client).await?;
            }
            sync::read_pages(&mut client, Kind::Hosts, Age::Latest).await
        };
        match registrations.await {
            Ok((entries, _)) => {
                remove_departed(&host, &mut client, &entries).await;
                host.core.borrow_mut().set_hosts(now(), entries);
                datagram::announce(&host).await;
                if !host.has_joined.get() {
                    tokio::time::sleep(INTRODUCTION_WAIT).await;
                    host.has_joined.set(true);
                }
                backoff = Backoff::new();
                let is_registered = host.core.borrow().registered_version.is_some();
                if is_registered || host.shutdown.is_leaving() {
                    wait_for_next_list(&host).await;
                } else {
                    backoff.wait(&host).await;
                }
            }
            Err(error) => {
                spdlog::debug!(
                    "join: cannot read the registrations of the other hosts yet: {error}"
                );
                backoff.wait(&host).await;
                host.has_joined.set(true);
            }
        }
    }
}

/// Waits until the registrations are due to be read again. After the store was restored from a copy
/// they may lack hosts, and all hosts read them, one after the other.
async fn wait_for_next_list(host: &Host) {
    let restored = host.restored.notified();
    if tokio::time::timeout(LIST_INTERVAL, restored).await.is_err() {
        return;
    }
    let delay = {
        let core = &mut *host.core.borrow_mut();
        let hosts = core.presence.peers().count() + 1;
        MEAN_LIST_SPACING
            .mul_f64(hosts as f64)
            .mul_f64(core.rng.random_range(0.0..1.0))
    };
    tokio::time::sleep(delay).await;
}

/// Removes the registrations of dead hosts, which nothing else does. If the own registration is
/// missing, or that of an earlier process, marks it to be written again: another host may have
/// removed it, taking this one for dead, or the store was restored from a copy.
async fn remove_departed(host: &Rc<Host>, client: &mut Client, entries: &[Entry]) {
    let departed: Vec<Call> = {
        let core = &mut *host.core.borrow_mut();
        // After this process was suspended, the silence of other hosts must not count.
        core.presence.tick(now());
        let own = core.presence.own();
        let registered = entries
            .iter()
            .find(|entry| matches!(&entry.value, Some(Value::Host(record)) if **record == *own));
        core.registered_version = registered.map(|entry| entry.version);
        let departed: BTreeSet<_> = core.presence.removable_hosts(now()).collect();
        let entries = entries.iter();
        entries
            .filter(|entry| departed.contains(&entry.name))
            .map(|entry| Call::Remove(entry.name.clone(), entry.version))
            .collect()
    };
    for call in departed {
        // A failed removal is tried again after the next list; a conflict means that the host is
        // back.
        let result = client.call(&call).await.map_err(|error| error.to_string());
        spdlog::info!("join: tried to remove the registration of a silent host", kv: {
            event = Event::HostRemoved.as_str(),
            call = format!("{call:?}").as_str(),
            result = format!("{result:?}").as_str()
        });
    }
}

/// Writes the host's registration, replacing one left by an earlier process.
async fn register(host: &Rc<Host>, client: &mut Client) -> Result<(), Error> {
    let record = host.core.borrow().presence.own().clone();
    let mut call = Call::Create(record.clone());
    for _ in 0..MAX_WRITES {
        match client.call(&call).await? {
            Reply::Done(version) => {
                host.core.borrow_mut().registered_version = Some(version);
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
    let Some(mut version) = host.core.borrow().registered_version else {
        return;
    };
    let mut client = Client::new(host);
    for _ in 0..MAX_WRITES {
        match client.call(&Call::Remove(name.clone(), version)).await {
            Ok(Reply::Conflict(Some(now))) => version = now,
            Ok(_) => return,
            Err(error) => {
                spdlog::debug!("join: cannot remove the registration: {error}");
                return;
            }
        }
    }
}
