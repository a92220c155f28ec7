//! Keeps the copy of the platform's store current, by watching the store or by following the feed
//! of another host that does.

use std::cell::Cell;
use std::cmp::Ordering;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use rand::RngExt;

use super::dialer;
use super::feed::{self, SYNCED_KINDS};
use super::log::{self, Event};
use super::refresh::{self, Refresher};
use super::store::{Client, Error};
use super::task::{self, AbortGuard};
use super::watcher::{Debounce, StoreProbe, WATCHED_KINDS};
use super::{brief, datagram, join, now, proof, staleness, Host};
use crate::control::fallback::Action;
use crate::control::presence::{HostRecord, StoreView};
use crate::control::replica::Update;
use crate::control::revision::Revision;
use crate::duration;
use crate::port::{Age, Call, Entry, Kind, Reply};

/// How long a watch waits for a change, in seconds: somewhat less than the history that the store
/// keeps, so that an interrupted watch can mostly be resumed. Randomized, so that across all hosts
/// a watch is renewed about every second and an unreachable store is noticed.
const WATCH_WAIT_S: Range<f64> = 9.0..15.0;
/// Pause after a change, so that further changes are collected into one call: each call to the
/// store is charged.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// Watches of one kind at a time: one that the store has ended, and the next one.
const MAX_WATCHES: usize = 2;
/// Shortest and longest backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(1200);
/// How often the host re-evaluates whether to watch the store and which feed to follow.
pub const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a failed feed is skipped: until heartbeats show whether its host has died.
const FAILED_FEED_SKIP: Duration = Duration::from_secs(3);

/// Exponential backoff with jitter.
pub(super) struct Backoff {
    next: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { next: MIN_BACKOFF }
    }

    pub(super) async fn wait(&mut self, host: &Host) {
        let jitter = host.core.borrow_mut().rng.random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}

/// Starts the tasks that keep the copy of the store current.
pub(crate) fn start(host: &Rc<Host>) {
    task::start(host, "registration", join::run);
    task::start(host, "source-selection", run_source_selection);
    task::start(host, "sweep", run_sweep);
}

/// The feed that this host follows.
struct FollowedFeed {
    address: SocketAddr,
    task: AbortGuard,
}

/// Watches the store if this host is one of its watchers. Otherwise, or while the store is
/// unreachable, follows another host.
async fn run_source_selection(host: Rc<Host>) -> Infallible {
    let mut watchers: Vec<AbortGuard> = Vec::new();
    let mut following: Option<FollowedFeed> = None;
    // Whether the last host that was followed has told that it no longer sees the store.
    let mut has_source_lost_store = false;
    let store_probe = StoreProbe::default();
    let mut debounce = Debounce::default();
    let mut interval = tokio::time::interval(DECISION_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = host.watch_state.reached.notified() => {}
            () = host.watch_state.feed_ended.notified() => {}
        }
        let now = now();
        staleness::update(&host, now);
        host.core.borrow_mut().presence.track_outage(now);
        let is_watcher = host.core.borrow().presence.is_watcher(now);
        let should_watch = host.has_joined.get() && (is_watcher || store_probe.has_reached(now));
        if host.has_joined.get() && !should_watch {
            store_probe.probe_if_due(&host, now);
        }
        let start_delay = if store_probe.has_reached(now) {
            // The store has just answered this host while no other host was known to reach it.
            Duration::ZERO
        } else {
            host.core.borrow().presence.watch_delay(now)
        };
        let is_watching = debounce.update(now, should_watch, start_delay);
        if is_watching && watchers.is_empty() {
            log::watching_changed(true);
            host.watch_state.start(now);
            watchers = start_watchers(&host);
        }
        if !is_watching && !watchers.is_empty() {
            log::watching_changed(false);
            watchers.clear();
            host.watch_state.stop();
        }
        let is_current = host.watch_state.is_current(now);
        let wanted_feed = if is_current {
            None
        } else {
            choose_feed(&host, now)
        };
        let is_obsolete = following.as_ref().is_some_and(|current| {
            current.task.is_finished() || Some(current.address) != wanted_feed
        });
        if let Some(former) = following.take_if(|_| is_obsolete) {
            let presence = &host.core.borrow().presence;
            has_source_lost_store = presence.has_lost_store(former.address);
            host.source_store_view.set(None);
        }
        if let (None, Some(address)) = (&following, wanted_feed) {
            has_source_lost_store = false;
            following = Some(FollowedFeed {
                address,
                task: task::spawn_failing_on_request(
                    &host,
                    "followed-feed",
                    follow_feed(host.clone(), address),
                ),
            });
        }
        // A source that has lost the store says so; then hosts probe the store in turn.
        if !has_source_lost_store {
            fall_back_if_due(&host, now);
        }
        update_store_view(&host).await;
    }
}

/// Starts the tasks of a host that watches the store.
fn start_watchers(host: &Rc<Host>) -> Vec<AbortGuard> {
    // Polls go first: a single connection is enough for them to find all changes.
    let refresh = task::supervise(host, "refresh", refresh::run);
    let watchers = WATCHED_KINDS.map(|kind| {
        let name = match kind {
            Kind::Config => "watch-configuration",
            _ => "watch-targets",
        };
        task::supervise(host, name, move |host| watch_kind(host, kind))
    });
    [refresh].into_iter().chain(watchers).collect()
}

/// Chooses the feed to follow: that of the host with the best view of the store, or a seed if no
/// other host is known.
fn choose_feed(host: &Host, now: Instant) -> Option<SocketAddr> {
    let core = host.core.borrow();
    let failed_feeds = host.failed_feeds.borrow();
    let has_failed = |feed: SocketAddr| {
        let failed_at = failed_feeds.get(&feed);
        failed_at.is_some_and(|at| now.saturating_duration_since(*at) < FAILED_FEED_SKIP)
    };
    let only_same_region = host.startup.is_reading(now);
    let skip_host = |record: &HostRecord| {
        has_failed(record.feed) || (only_same_region && !core.presence.is_near(record))
    };
    if let Some((record, _)) = core.presence.feed_source(now, skip_host) {
        return Some(record.feed);
    }
    if !core.presence.is_alone(now)
        || !host.has_joined.get()
        || core.presence.store_view() > StoreView::Nothing
    {
        return None;
    }
    let mut seeds = host.settings.seeds.iter().copied();
    seeds.find(|seed| *seed != host.settings.feed && !has_failed(*seed))
}

async fn follow_feed(host: Rc<Host>, address: SocketAddr) {
    let error = feed::follow(&host, address).await;
    host.staleness.record_end(address, &error);
    spdlog::info!("sync: the feed of another host has ended", kv: {
        event = Event::FeedEnded.as_str(),
        source = address.to_string().as_str(),
        error = error.to_string().as_str()
    });
    let now = now();
    {
        let mut failed_feeds = host.failed_feeds.borrow_mut();
        failed_feeds.retain(|_, at| now.saturating_duration_since(*at) < FAILED_FEED_SKIP);
        failed_feeds.insert(address, now);
    }
    if error.is_loss() {
        host.core.borrow_mut().presence.record_lost_feed(address);
    }
    host.watch_state.feed_ended.notify_one();
}

/// Does what a host that follows others has to while its copy of the store is not confirmed.
fn fall_back_if_due(host: &Rc<Host>, now: Instant) {
    let age = host.core.borrow().confirmations.max_age(now, &SYNCED_KINDS);
    let (Some(age), false) = (age, host.watch_state.is_active()) else {
        return;
    };
    let action = host.fallback.borrow_mut().decide(now, age);
    match action {
        Action::Wait => {}
        Action::Connect => dialer::prepare(host),
        Action::Query => drop(task::spawn(host, "fallback", query_once(host.clone()))),
    }
}

/// Queries the store once for changes that no other host may have passed on.
async fn query_once(host: Rc<Host>) {
    let limit = host.watch_state.answer_limit();
    let result = Refresher::new(&host).refresh(limit).await;
    log::store_probed(&result);
    let presence = &mut host.core.borrow_mut().presence;
    if result.is_ok() {
        presence.record_answer();
    }
    let retry_interval = presence.probe_interval();
    let fallback = &mut *host.fallback.borrow_mut();
    fallback.record_end(now(), result.is_ok(), retry_interval);
}

/// Updates this host's view of the store, and publishes it to other hosts if it has changed.
pub(super) async fn update_store_view(host: &Rc<Host>) {
    let has_copy = host.has_full_copy();
    let is_current = host.watch_state.is_current(now());
    let is_relayed =
        host.source_store_view.get() == Some(StoreView::Store) || host.startup.is_fresh(now());
    let changed_from = {
        let core = &mut *host.core.borrow_mut();
        let is_proved = core.is_proved(proof::moment());
        let view = match (has_copy, is_current && is_proved, is_relayed && is_proved) {
            (false, ..) => StoreView::Nothing,
            (true, true, _) => StoreView::Store,
            (true, false, true) => StoreView::Relayed,
            (true, false, false) => StoreView::Stale,
        };
        let before = core.presence.store_view();
        let changed_from = core.presence.set_store_view(view).then_some(before);
        if changed_from.is_some() {
            spdlog::info!("sync: the view of the store has changed", kv: {
                event = Event::StoreViewChanged.as_str(),
                before = format!("{before:?}").as_str(),
                sight = format!("{view:?}").as_str()
            });
        }
        changed_from
    };
    if let Some(before) = changed_from {
        feed::publish_store_view(host);
        datagram::send_store_view(host, before).await;
    }
}

/// Watches one kind of objects indefinitely.
///
/// The copy is updated by changes rather than replaced by a list: a change shows that a target
/// announced its shutdown before it left, whereas in a list the target is only missing and could
/// return.
///
/// The next watch begins when the store ends the one before, not when the answer to that has arrived:
/// a change in between would take a slow store the time of two answers.
async fn watch_kind(host: Rc<Host>, kind: Kind) -> Infallible {
    // When the newest watch was sent, or began to wait for its connection.
    let sent_at = Cell::new(now());
    let next_at = |wait: Duration| sent_at.get() + wait + host.watch_state.overlap_delay();
    let mut wait = Duration::ZERO;
    let mut watches = FuturesUnordered::new();
    let mut backoff = Backoff::new();
    let mut is_failing = false;
    loop {
        if !host.watch_state.is_answering.get() {
            // A slow store may still answer a watch.
            tokio::select! {
                () = backoff.wait(&host) => {}
                () = host.watch_state.wait_for_renewal(kind) => {}
            }
        }
        if watches.is_empty() || (watches.len() < MAX_WATCHES && now() >= next_at(wait)) {
            let seconds = host.core.borrow_mut().rng.random_range(WATCH_WAIT_S);
            wait = duration::from_seconds(seconds);
            sent_at.set(now());
            watches.push(watch_or_catch_up(&host, kind, wait, &sent_at));
        }
        let result = tokio::select! {
            Some(result) = watches.next() => result,
            () = tokio::time::sleep_until(next_at(wait).into()), if watches.len() < MAX_WATCHES => continue,
            () = host.watch_state.wait_for_renewal(kind) => {
                watches.clear();
                continue;
            }
        };
        match result {
            Ok(()) => {
                if std::mem::take(&mut is_failing) {
                    log::kind_changed(kind, None);
                }
                backoff = Backoff::new();
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    log::kind_changed(kind, Some(&error));
                }
                if error.is_unanswered() {
                    host.dialer.reserve_for_queries();
                }
                backoff.wait(&host).await;
            }
        }
    }
}

/// Waits for changes of a kind, or reads all objects if the changes are not available.
async fn watch_or_catch_up(
    host: &Rc<Host>,
    kind: Kind,
    wait: Duration,
    sent_at: &Cell<Instant>,
) -> Result<(), Error> {
    let client = &mut Client::new(host);
    let is_known = host.core.borrow().replica.revision(kind).is_some();
    if is_known {
        client.connect_watch(wait).await?;
        sent_at.set(now());
    }
    // The copy may have changed meanwhile.
    let known = host.core.borrow().replica.revision(kind);
    if let Some(revision) = known {
        let result = watch_once(host, client, kind, revision, wait).await?;
        host.watch_state.record_watch(kind);
        if result != WatchResult::Unavailable {
            return Ok(());
        }
    }
    let _lock = host.watch_state.lock_kind(kind).await;
    refresh::catch_up(host, client, kind).await?;
    Ok(())
}

/// Reads all objects of a kind into the copy; returns the store's revision.
pub(super) async fn list(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
    age: Age,
) -> Result<Revision, Error> {
    let asked_at = proof::moment();
    let (entries, revision) = read_pages(client, kind, age).await?;
    let is_complete = !client.has_skipped;
    if kind == Kind::Config {
        host.watch_state.is_config_unreadable.set(!is_complete);
    }
    let (outage, available_ms) = host.core.borrow().outage(now());
    let update = Update {
        kind,
        from: None,
        to: revision.number,
        era: revision.era,
        entries,
        outage,
        available_ms,
    };
    // A complete list can be applied to any state.
    let _ = host.apply_update(update);
    if !host.has_revision(kind, revision) {
        return Err(Error::Superseded);
    }
    if age == Age::Latest {
        host.confirm(&[kind], asked_at.runtime_clock());
    }
    if kind == Kind::Config && age == Age::Latest && is_complete {
        proof::record_query(host, asked_at);
    }
    Ok(revision)
}

/// Reads all pages of a kind. Also returns the revision to watch from, the earliest of all pages:
/// stale pages may be of different ages. All pages are of one era.
pub(super) async fn read_pages(
    client: &mut Client,
    kind: Kind,
    age: Age,
) -> Result<(Vec<Entry>, Revision), Error> {
    let mut all_entries: Vec<Entry> = Vec::new();
    let mut earliest: Option<Revision> = None;
    let mut after: Option<Arc<str>> = None;
    loop {
        let call = Call::List {
            kind,
            after: after.clone(),
            age,
        };
        let Reply::Page {
            entries,
            next,
            revision,
        } = client.call(&call).await?
        else {
            return Err(Error::Unexpected);
        };
        let revision = Revision::new(client.era, revision);
        if earliest.is_some_and(|earliest| earliest.era != revision.era) {
            return Err(Error::Superseded);
        }
        // Watches from the earliest revision, so that a change is seen whichever page it falls on.
        let start = earliest.map_or(revision, |earliest| earliest.min(revision));
        earliest = Some(start);
        all_entries.extend(entries);
        if next.is_none() {
            return Ok((all_entries, start));
        }
        if next <= after {
            // The list would never end.
            return Err(Error::Unexpected);
        }
        after = next;
    }
}

/// Result of a query for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchResult {
    /// There were no changes.
    Unchanged,
    /// Changes were applied to the copy.
    Applied,
    /// The changes are not available, so all objects have to be read.
    Unavailable,
}

/// Asks the store for changes since `revision`, waiting up to `wait` for one.
pub(super) async fn watch_once(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
    revision: Revision,
    wait: Duration,
) -> Result<WatchResult, Error> {
    let asked_at = proof::moment();
    let call = Call::Watch {
        kind,
        revision: revision.number,
        wait,
    };
    let reply = client.call(&call).await?;
    match client.era.cmp(&revision.era) {
        Ordering::Less => return Err(Error::Superseded),
        Ordering::Equal => {}
        // The store counts its revisions anew.
        Ordering::Greater => return Ok(WatchResult::Unavailable),
    }
    let (entries, to) = match reply {
        Reply::Changes { entries, revision } => (entries, revision),
        Reply::Expired => return Ok(WatchResult::Unavailable),
        _ => return Err(Error::Unexpected),
    };
    let has_changes = !entries.is_empty();
    if kind == Kind::Config && (has_changes || client.has_skipped) {
        host.watch_state
            .is_config_unreadable
            .set(client.has_skipped);
    }
    let (outage, available_ms) = host.core.borrow().outage(now());
    let update = Update {
        kind,
        from: Some(revision.number),
        to,
        era: revision.era,
        entries,
        outage,
        available_ms,
    };
    let shown = update.revision();
    if host.apply_update(update).is_err() {
        return Ok(WatchResult::Unavailable);
    }
    if !host.has_revision(kind, shown) {
        return Err(Error::Superseded);
    }
    host.confirm(&[kind], asked_at.runtime_clock());
    if kind == Kind::Config && !host.watch_state.is_config_unreadable.get() {
        proof::record_query(host, asked_at);
    }
    if !has_changes {
        return Ok(WatchResult::Unchanged);
    }
    if !wait.is_zero() {
        host.watch_state.record_collecting(now() + BATCH_DELAY);
        tokio::time::sleep(BATCH_DELAY).await;
    }
    Ok(WatchResult::Applied)
}

/// Expires idle connections and targets whose time has run out, and names requests in the log.
async fn run_sweep(host: Rc<Host>) -> Infallible {
    const INTERVAL: Duration = Duration::from_millis(250);
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let now = now();
        host.pool.borrow_mut().sweep(now);
        host.relays.sweep();
        host.dialer.sweep(now);
        brief::write_if_due(&host);
        let core = &mut *host.core.borrow_mut();
        for id in core.fleet.expire(now) {
            log::target_gone(&id);
        }
        core.expire_carryovers(now);
    }
}
