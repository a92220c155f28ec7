//! The host's own registration in the store, and how it learns of the other hosts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use super::log::Event;
use super::store::{Client, Error};
use super::sync::{self, Pause};
use super::{beat, now, Host};
use crate::port::{Age, Call, Entry, Kind, Reply};

/// How often the registrations of hosts are read again, to find hosts whose heartbeats are lost.
const HOSTS: Duration = Duration::from_secs(120);
/// Writes of the own registration are tried so many times on conflicts.
const WRITES: usize = 8;
/// How long a host that has just started waits for answers to its first heartbeat: some round
/// trips within a region.
const MEET: Duration = Duration::from_millis(40);

/// Registers the host and learns of the others; looks again now and then.
pub(crate) async fn run(host: Rc<Host>) {
    let mut client = Client::new(&host);
    let mut pause = Pause::new();
    loop {
        let known = async {
            if host.core.borrow().registered.is_none() {
                register(&host, &mut client).await?;
            }
            sync::read(&mut client, Kind::Hosts, Age::Latest).await
        };
        match known.await {
            Ok((entries, _)) => {
                tidy(&host, &mut client, &entries).await;
                host.core.borrow_mut().meet(now(), entries);
                beat::send_to_all(&host).await;
                if !host.joined.get() {
                    tokio::time::sleep(MEET).await;
                    host.joined.set(true);
                }
                pause = Pause::new();
                tokio::time::sleep(HOSTS).await;
            }
            Err(error) => {
                spdlog::debug!("sync: the other hosts are not known yet: {error}");
                pause.wait(&host).await;
                host.joined.set(true);
            }
        }
    }
}

/// Removes registrations of hosts that died, which nobody else does, and notices when the own one
/// is gone, so that it is written again: this host may have been taken for dead.
async fn tidy(host: &Rc<Host>, client: &mut Client, entries: &[Entry]) {
    let departed: Vec<Call> = {
        let core = &mut *host.core.borrow_mut();
        // After a pause of this process nobody has been silent for long.
        core.presence.tick(now());
        let name = &core.presence.own().host;
        if !entries.iter().any(|entry| entry.name == *name) {
            core.registered = None;
        }
        let departed: BTreeSet<_> = core.presence.removable_hosts(now()).collect();
        let entries = entries.iter();
        entries
            .filter(|entry| departed.contains(&entry.name))
            .map(|entry| Call::Remove(entry.name.clone(), entry.version))
            .collect()
    };
    for call in departed {
        // One that fails is tried again after the next list; a conflict means that the host is back.
        let result = client.call(&call).await.map_err(|error| error.to_string());
        spdlog::info!("join: the registration of a host that is silent is removed", kv: {
            event = Event::Tidied.as_str(),
            call = format!("{call:?}").as_str(),
            result = format!("{result:?}").as_str()
        });
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
