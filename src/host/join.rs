//! The host's own registration in the store, and how it learns of the other hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::log::Event;
use super::store::{Client, Error};
use super::sync::{self, Pause};
use super::{beat, now, Host};
use crate::port::{Age, Call, Entry, Kind, Reply};

/// How often the registrations of hosts are read again, to find hosts whose heartbeats are lost.
const HOSTS: Duration = Duration::from_secs(120);
/// Time until they are read again if the own one was not among them yet, and how often what may be old is read then.
const AGAIN: Duration = Duration::from_secs(1);
const OLD_READS: u32 = 5;
/// Time until they are read once more after that, as the pages of an answer that may be old need not be equally old; and until
/// the next try if that fails. It varies, as all hosts may have started at once.
const CONFIRM: Range<f64> = 10.0..20.0;
/// Writes of the own registration are tried so many times on conflicts.
const WRITES: usize = 8;
/// How long a host that has just started waits for answers to its first heartbeat: some round
/// trips within a region.
const MEET: Duration = Duration::from_millis(40);

/// Registers the host and learns of the others; looks again now and then.
///
/// The list of hosts is read as it may have been some seconds ago, at a tenth of the price: if each of all hosts that start at
/// once read the newest one, that would be the square of the hosts. Read again until it has the own registration it has all that
/// are older, and who registers later finds this one.
pub(crate) async fn run(host: Rc<Host>) {
    let mut client = Client::new(&host);
    let mut pause = Pause::new();
    let mut introduced = BTreeSet::new();
    let mut course = Course::default();
    loop {
        match read(&host, &mut client, course.age()).await {
            Ok(entries) => {
                pause = Pause::new();
                let is_complete = course.age() == Age::Latest || has_own(&host, &entries);
                if is_complete {
                    tidy(&host, &mut client, &entries).await;
                }
                if is_complete || has_others(&host, &entries) {
                    host.core.borrow_mut().meet(now(), entries);
                    introduce(&host, &mut introduced).await;
                    if !host.joined.get() {
                        tokio::time::sleep(MEET).await;
                        host.joined.set(true);
                    }
                }
                tokio::time::sleep(course.pause(&host, is_complete)).await;
            }
            Err(error) => {
                spdlog::debug!("sync: the hosts could not be read: {error}");
                if host.core.borrow().presence.is_listed() {
                    // A store that fails is not to be asked by all hosts again and again for what they know.
                    tokio::time::sleep(later(&host)).await;
                } else {
                    pause.wait(&host).await;
                }
                host.joined.set(true);
            }
        }
    }
}

/// Registers the host if it is not, and reads the list of hosts.
async fn read(host: &Rc<Host>, client: &mut Client, age: Age) -> Result<Vec<Entry>, Error> {
    if host.core.borrow().registered.is_none() {
        register(host, client).await?;
    }
    let (entries, _) = sync::read(client, Kind::Hosts, age).await?;
    Ok(entries)
}

/// How far the reading of the list of hosts has come.
#[derive(Default)]
struct Course {
    /// Lists in a row that were not complete.
    incomplete: u32,
    /// Whether the last list was complete.
    is_complete: bool,
}

impl Course {
    /// How old the next list may be.
    fn age(&self) -> Age {
        if self.incomplete < OLD_READS {
            Age::Some
        } else {
            Age::Latest
        }
    }

    /// Notes a list; gives the time until the next one.
    fn pause(&mut self, host: &Host, is_complete: bool) -> Duration {
        let was_complete = std::mem::replace(&mut self.is_complete, is_complete);
        self.incomplete = if is_complete { 0 } else { self.incomplete + 1 };
        match (is_complete, was_complete) {
            (false, _) => AGAIN,
            (true, false) => later(host),
            (true, true) => HOSTS,
        }
    }
}

/// The time until a list is read that is not urgent.
fn later(host: &Host) -> Duration {
    let seconds = host.core.borrow_mut().rng.random_range(CONFIRM);
    Duration::from_secs_f64(seconds)
}

/// Whether a list of hosts has this one as it has registered.
fn has_own(host: &Host, entries: &[Entry]) -> bool {
    let core = host.core.borrow();
    let name = &core.presence.own().host;
    let own = entries.iter().find(|entry| entry.name == *name);
    own.is_some_and(|entry| Some(entry.version) >= core.registered)
}

/// Whether a list of hosts has others than this one.
fn has_others(host: &Host, entries: &[Entry]) -> bool {
    let core = host.core.borrow();
    let name = &core.presence.own().host;
    entries.iter().any(|entry| entry.name != *name)
}

/// Introduces this host to those that it has not been introduced to.
async fn introduce(host: &Host, introduced: &mut BTreeSet<SocketAddr>) {
    let peers = beat::all(host).into_iter();
    let new: Vec<SocketAddr> = peers.filter(|peer| introduced.insert(*peer)).collect();
    beat::introduce_to(host, &new).await;
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
        let departed: BTreeSet<_> = core.presence.departed(now()).collect();
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
