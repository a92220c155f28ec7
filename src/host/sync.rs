//! How a host keeps up with the platform's store: by watching it, or by following a host that does.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use tokio::task::AbortHandle;

use super::feed;
use super::inquiry::{self, Inquiry};
use super::log::{self, Event};
use super::store::{Client, Error};
use super::watcher::{Reach, Steady, WATCHED};
use super::{beat, join, now, proof, Host};
use crate::control::presence::{HostRecord, StoreView};
use crate::control::replica::Update;
use crate::port::{Age, Call, Entry, Kind, Reply};

/// How long a watch waits for a change: somewhat less than the history that the store keeps, so that
/// a watch that is cut can mostly be taken up again. It varies, so that of all watches one is
/// renewed every second or so, and a store that is away is noticed.
const WAIT: Range<f64> = 9.0..15.0;
/// Pause after changes, in which more of them gather: each call to the store has its price.
const GATHER: Duration = Duration::from_millis(300);
/// First and longest pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// How often it is decided whether to watch the store and whom to follow.
const DECIDE: Duration = Duration::from_millis(100);

/// How long a feed that failed is passed over: until a host that died is known to be dead.
const FAILED: Duration = Duration::from_secs(3);

/// Pauses that grow from failure to failure.
pub(super) struct Pause {
    next: Duration,
}

impl Pause {
    pub(super) fn new() -> Self {
        Self { next: PAUSE }
    }

    pub(super) async fn wait(&mut self, host: &Host) {
        let part = host.core.borrow_mut().rng.random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(part)).await;
        self.next = (self.next * 2).min(LONGEST_PAUSE);
    }
}

/// Keeps up with the store from now on.
pub(crate) fn start(host: &Rc<Host>) {
    tokio::task::spawn_local(join::run(host.clone()));
    tokio::task::spawn_local(decide(host.clone()));
    tokio::task::spawn_local(sweep(host.clone()));
}

/// Whom a host follows.
struct Following {
    address: SocketAddr,
    task: AbortHandle,
}

/// Watches the store if this host is to, follows another one if not or if the store is lost.
async fn decide(host: Rc<Host>) {
    let mut watchers: Vec<AbortHandle> = Vec::new();
    let mut following: Option<Following> = None;
    let reach = Reach::default();
    let mut steady = Steady::default();
    let mut interval = tokio::time::interval(DECIDE);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = host.watching.reached.notified() => {}
        }
        let now = now();
        host.core.borrow_mut().presence.track_outage(now);
        let first = host.core.borrow().presence.is_watcher(now);
        let wanted = host.joined.get() && (first || reach.is_fresh(now));
        if host.joined.get() && !wanted {
            reach.look(&host, now);
        }
        let begin = if reach.is_fresh(now) {
            // The store has just answered this host, while nobody else was known to see it.
            Duration::ZERO
        } else {
            host.core.borrow().presence.watch_delay(now)
        };
        let watch = steady.turn(now, wanted, begin);
        if watch && watchers.is_empty() {
            log::watching(true);
            host.watching.begin(now);
            watchers = WATCHED
                .iter()
                .map(|kind| {
                    tokio::task::spawn_local(watch_kind(host.clone(), *kind)).abort_handle()
                })
                .collect();
            watchers.push(tokio::task::spawn_local(inquiry::run(host.clone())).abort_handle());
        }
        if !watch && !watchers.is_empty() {
            log::watching(false);
            watchers.drain(..).for_each(|task| task.abort());
            host.watching.end();
        }
        let sees = host.watching.sees(now);
        let wanted = if sees { None } else { source(&host, now) };
        let over = following
            .as_ref()
            .is_some_and(|kept| kept.task.is_finished() || Some(kept.address) != wanted);
        if over {
            if let Some(kept) = following.take() {
                kept.task.abort();
            }
            host.followed.set(None);
        }
        if let (None, Some(address)) = (&following, wanted) {
            following = Some(Following {
                address,
                task: tokio::task::spawn_local(follow(host.clone(), address)).abort_handle(),
            });
        }
        note_sight(&host).await;
    }
}

/// The feed to follow: that of the host that sees most, or a seed if the store did not tell of any host.
fn source(host: &Host, now: Instant) -> Option<SocketAddr> {
    let core = host.core.borrow();
    let failed = host.failed.borrow();
    let skip = |feed: SocketAddr| {
        let at = failed.get(&feed);
        at.is_some_and(|at| now.saturating_duration_since(*at) < FAILED)
    };
    let only_near = host.begin.is_reading(now);
    let skip_host =
        |record: &HostRecord| skip(record.feed) || (only_near && !core.presence.is_near(record));
    if let Some((record, _)) = core.presence.feed_source(now, skip_host) {
        return Some(record.feed);
    }
    if !core.presence.is_alone(now)
        || !host.joined.get()
        || core.presence.store_view() > StoreView::Nothing
    {
        return None;
    }
    let mut seeds = host.settings.seeds.iter().copied();
    seeds.find(|seed| *seed != host.settings.feed && !skip(*seed))
}

async fn follow(host: Rc<Host>, address: SocketAddr) {
    let broken = feed::follow(&host, address).await;
    spdlog::info!("sync: a feed has ended", kv: {
        event = Event::Unfollowed.as_str(),
        source = address.to_string().as_str(),
        error = broken.to_string().as_str()
    });
    let now = now();
    let is_mute = broken.is_mute();
    {
        let mut failed = host.failed.borrow_mut();
        failed.retain(|_, at| now.saturating_duration_since(*at) < FAILED);
        failed.insert(address, now);
    }
    if is_mute {
        host.core.borrow_mut().presence.forget_store_view(address);
        // One that has no copy yet would read all targets.
        if host.knows_store() {
            tokio::task::spawn_local(look_for_itself(host));
        }
    }
}

/// Asks the store once for what a source that fell silent may not have told. It may take longer to find another one than a change
/// may take, as hosts that lost power seem alive for a while.
async fn look_for_itself(host: Rc<Host>) {
    let result = Inquiry::new(&host).ask().await;
    log::looked(&result);
}

/// Sets what this host knows of the store, and tells others if that is news.
pub(super) async fn note_sight(host: &Rc<Host>) {
    let known = host.knows_store();
    let sees = host.watching.sees(now());
    let relayed = host.followed.get() == Some(StoreView::Store) || host.begin.is_fresh(now());
    let news = {
        let core = &mut *host.core.borrow_mut();
        let is_proved = core.is_proved(proof::moment());
        let sight = match (known, sees && is_proved, relayed && is_proved) {
            (false, ..) => StoreView::Nothing,
            (true, true, _) => StoreView::Store,
            (true, false, true) => StoreView::Relayed,
            (true, false, false) => StoreView::Stale,
        };
        let before = core.presence.store_view();
        let news = core.presence.set_store_view(sight).then_some(before);
        if news.is_some() {
            spdlog::info!("sync: the store is seen otherwise", kv: {
                event = Event::Sight.as_str(),
                before = format!("{before:?}").as_str(),
                sight = format!("{sight:?}").as_str()
            });
        }
        news
    };
    if let Some(before) = news {
        feed::tell_sight(host);
        beat::tell_sight(host, before).await;
    }
}

/// Watches one kind for ever.
///
/// What is known is brought up to date by its changes: a target that said that it leaves and then left is only missing in a
/// list, as one that may return.
async fn watch_kind(host: Rc<Host>, kind: Kind) {
    let mut client = Client::new(&host);
    let mut pause = Pause::new();
    let mut lost = false;
    loop {
        if !host.watching.answers.get() {
            // A store that is slow may yet answer a watch.
            tokio::select! {
                () = pause.wait(&host) => {}
                () = host.watching.renewed(kind) => {}
            }
        }
        let result = tokio::select! {
            result = wait(&host, &mut client, kind) => result,
            () = host.watching.renewed(kind) => {
                client = Client::new(&host);
                continue;
            }
        };
        match result {
            Ok(()) => {
                if std::mem::take(&mut lost) {
                    log::kind(kind, None);
                }
                pause = Pause::new();
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    log::kind(kind, Some(&error));
                }
                pause.wait(&host).await;
            }
        }
    }
}

/// Waits for changes of a kind, or reads all of it if they can't be had.
async fn wait(host: &Rc<Host>, client: &mut Client, kind: Kind) -> Result<(), Error> {
    let known = host.core.borrow().replica.revision(kind);
    if let Some(revision) = known {
        let wait = host.core.borrow_mut().rng.random_range(WAIT);
        let wait = Duration::from_secs_f64(wait);
        if watch(host, client, kind, revision, wait).await? != News::Unknown {
            return Ok(());
        }
    }
    let _turn = host.watching.turn(kind).await;
    inquiry::catch_up(host, client, kind).await?;
    Ok(())
}

/// Reads all objects of a kind; gives the store's revision.
pub(super) async fn list(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
    age: Age,
) -> Result<u64, Error> {
    let asked = proof::moment();
    let (entries, revision) = read(client, kind, age).await?;
    let is_whole = !client.left_out;
    if kind == Kind::Config {
        host.watching.config_unread.set(!is_whole);
    }
    let outage = host.core.borrow().presence.outage(now());
    let whole = Update {
        kind,
        from: None,
        to: revision,
        entries,
        outage,
    };
    // A whole list fits onto anything.
    let _ = host.take(whole);
    if kind == Kind::Config && age == Age::Latest && is_whole {
        proof::shown(host, asked);
    }
    Ok(revision)
}

/// Reads all pages of a kind; also gives the revision to watch from, the earliest of all pages: what may be old need not be
/// equally old on all of them.
pub(super) async fn read(
    client: &mut Client,
    kind: Kind,
    age: Age,
) -> Result<(Vec<Entry>, u64), Error> {
    let mut all: Vec<Entry> = Vec::new();
    let mut earliest = u64::MAX;
    loop {
        let after = all.last().map(|entry| entry.name.clone());
        let Reply::Page {
            entries,
            more,
            revision,
        } = client.call(&Call::List { kind, after, age }).await?
        else {
            return Err(Error::Unexpected);
        };
        // Changes after a page was read are watched for, on whichever page they fall.
        earliest = earliest.min(revision);
        let last = entries.is_empty() || !more;
        all.extend(entries);
        if last {
            return Ok((all, earliest));
        }
    }
}

/// What a question for changes has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// Nothing has changed.
    None,
    /// What has changed is taken in.
    Some,
    /// The store has forgotten what has changed.
    Unknown,
}

/// Asks for changes, and waits for them for a while.
pub(super) async fn watch(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
    revision: u64,
    wait: Duration,
) -> Result<News, Error> {
    let asked = proof::moment();
    let call = Call::Watch {
        kind,
        revision,
        wait,
    };
    let (entries, to) = match client.call(&call).await? {
        Reply::Changes { entries, revision } => (entries, revision),
        Reply::Expired => return Ok(News::Unknown),
        _ => return Err(Error::Unexpected),
    };
    let any = !entries.is_empty();
    if kind == Kind::Config && (any || client.left_out) {
        host.watching.config_unread.set(client.left_out);
    }
    let outage = host.core.borrow().presence.outage(now());
    let update = Update {
        kind,
        from: Some(revision),
        to,
        entries,
        outage,
    };
    if host.take(update).is_err() {
        return Ok(News::Unknown);
    }
    if kind == Kind::Config && !host.watching.config_unread.get() {
        proof::shown(host, asked);
    }
    if !any {
        return Ok(News::None);
    }
    if !wait.is_zero() {
        tokio::time::sleep(GATHER).await;
    }
    Ok(News::Some)
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
            log::gone(&id);
        }
    }
}
