//! Polls the store to check whether this host's copy of it is current, and updates the copy if not.
//!
//! The list of evacuated availability zones is short, and the response contains the store's
//! revision. A copy of another kind at this revision is complete; for a copy that is behind, the
//! changes are queried. So changes are found even if a watch hangs, and a response never counts as
//! evidence for more than it shows.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use tokio::time::MissedTickBehavior;

use super::log::Event;
use super::store::{Client, Error};
use super::sync::{self, WatchResult};
use super::watcher::WATCHED_KINDS;
use super::{datagram, now, proof, Host};
use crate::control::freshness::{ANSWER_TIMEOUT, INTERVAL};
use crate::control::proof::Moment;
use crate::control::revision::Revision;
use crate::port::{Age, Kind};

/// Every how many polls a full refresh is made. The polls in between only check whether the store
/// responds, which costs it a tenth.
const REFRESH_EVERY: u32 = 3;
/// Time after a full refresh after which the next poll is one, however slow the store is.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_millis(2400);
/// How long the copy counts as current after a refresh: until the next refresh has its responses.
pub(super) const CURRENT_FOR: Duration = Duration::from_millis(3000);

/// Interval of the pings to a store that does not answer. They are charged a tenth of a refresh.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a store that has returned answers the pings that it held meanwhile.
const ANSWER_SPREAD: Duration = Duration::from_millis(50);

/// Time within which the hosts that watch the store notify the others of its return.
pub(super) const RETURN_NOTICE_TIME: Duration = Duration::from_millis(400);

/// Polls the store over a connection of its own.
pub(super) struct Refresher {
    host: Rc<Host>,
    client: Client,
    /// When the last query had a connection, or none while it waits for one.
    connected_at: Rc<Cell<Option<Instant>>>,
}

impl Refresher {
    pub(super) fn new(host: &Rc<Host>) -> Self {
        Self {
            host: host.clone(),
            client: Client::new(host),
            connected_at: Rc::default(),
        }
    }

    async fn connect(&mut self) -> Result<(), Error> {
        self.connected_at.set(None);
        self.client.connect().await?;
        self.connected_at.set(Some(now()));
        Ok(())
    }

    /// Queries the store once, updates the copy and records that it is current. The first answer may
    /// take up to `limit`: a later one may show the store as it was before an outage.
    pub(super) async fn refresh(&mut self, limit: Duration) -> Result<(), Error> {
        let began_at = now();
        let host = self.host.clone();
        let connected = self.connect().await;
        connected.inspect_err(|error| record_unanswered(&host, began_at, error))?;
        let asked_at = proof::moment();
        let answer = tokio::time::timeout(limit, self.query(asked_at)).await;
        let revision = answer
            .unwrap_or(Err(Error::Timeout))
            .inspect_err(|error| record_unanswered(&host, asked_at.runtime_clock(), error))?;
        self.update_copies(asked_at, revision).await
    }

    /// Updates the copies of all kinds that are watched at least to the store's revision.
    async fn update_copies(&mut self, asked_at: Moment, revision: Revision) -> Result<(), Error> {
        // The connection on which the store has just answered serves the queries for changes.
        self.client.release();
        let [configs, targets] =
            WATCHED_KINDS.map(|kind| refresh_kind(&self.host, kind, asked_at, revision));
        let (configs, targets) = tokio::join!(configs, targets);
        self.client.reserve();
        configs.and(targets)
    }

    /// Checks whether the store responds at all; a stale response suffices. That the answer is late
    /// is recorded, and it counts all the same.
    pub(super) async fn ping(&mut self) -> Result<(), Error> {
        let host = self.host.clone();
        await_pong(&host, now(), self.query_stale()).await
    }

    /// Queries the store's revision, with the evacuated availability zones.
    async fn query(&mut self, asked_at: Moment) -> Result<Revision, Error> {
        self.connect().await?;
        let host = &self.host;
        let list = sync::list(host, &mut self.client, Kind::Evacuations, Age::Latest);
        let revision = list.await?;
        mark_current(host, Kind::Evacuations, asked_at);
        Ok(revision)
    }

    /// Records how long the store took for the answer to a poll, all pages of it, without the time for
    /// a connection.
    fn record_answer<T>(&self, answer: &Result<T, Error>) {
        if let (Ok(_), Some(at)) = (answer, self.connected_at.get()) {
            let took = now().saturating_duration_since(at);
            self.host.watch_state.record_answer(took);
        }
    }

    /// Queries anything of the store.
    async fn query_stale(&mut self) -> Result<(), Error> {
        self.connect().await?;
        let list = sync::read_pages(&mut self.client, Kind::Evacuations, Age::Some);
        list.await.map(|_| ())
    }
}

/// Records a query that failed, if that shows that the store is unavailable.
fn record_unanswered(host: &Host, asked_at: Instant, error: &Error) {
    if error.is_outage() {
        let presence = &mut host.core.borrow_mut().presence;
        presence.record_unanswered(now(), asked_at);
    }
}

/// Updates the copy of a kind at least to the store's revision. Sets no time limit, since there may
/// be any number of changes to transfer.
async fn refresh_kind(
    host: &Rc<Host>,
    kind: Kind,
    asked_at: Moment,
    revision: Revision,
) -> Result<(), Error> {
    let is_behind = || host.core.borrow().replica.revision(kind) < Some(revision);
    if is_behind() {
        let _lock = host.watch_state.lock_kind(kind).await;
        let client = &mut Client::new(host);
        if is_behind() && catch_up(host, client, kind).await? == WatchResult::Applied {
            // The watch missed these changes; its connection may be dead.
            host.watch_state.renew_if_behind(now(), kind);
        }
        if is_behind() {
            // The store acknowledged changes that it does not report to watches.
            sync::list(host, client, kind, Age::Latest).await?;
        }
    }
    if !host.has_revision(kind, revision) {
        return Err(Error::Superseded);
    }
    mark_current(host, kind, asked_at);
    Ok(())
}

/// Records that the copy of a kind lacks nothing that was acknowledged before `asked_at`.
fn mark_current(host: &Host, kind: Kind, asked_at: Moment) {
    host.watch_state
        .mark_current(kind, asked_at.runtime_clock());
    host.confirm(&[kind], asked_at.runtime_clock());
    if kind == Kind::Config && !host.watch_state.is_config_unreadable.get() {
        proof::record_query(host, asked_at);
    }
}

/// Queries the changes of a kind, or all objects if the changes are not available.
pub(super) async fn catch_up(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
) -> Result<WatchResult, Error> {
    let known = host.core.borrow().replica.revision(kind);
    if let Some(revision) = known {
        let changes = sync::watch_once(host, client, kind, revision, Duration::ZERO).await?;
        if changes != WatchResult::Unavailable {
            return Ok(changes);
        }
    }
    sync::list(host, client, kind, Age::Latest).await?;
    Ok(WatchResult::Applied)
}

/// Polls the store indefinitely, on a host that watches it. Starts at once, unless a probe of the
/// store has just succeeded.
pub(super) async fn run(host: Rc<Host>) -> Infallible {
    let mut refresher = Refresher::new(&host);
    refresher.client.reserve();
    host.dialer.end_reservation();
    if host.watch_state.is_answering.get() {
        tokio::time::sleep(INTERVAL).await;
    }
    let mut refreshed_at = None;
    let mut polls_since = 0;
    loop {
        let asked_at = proof::moment();
        let now = asked_at.runtime_clock();
        // A watch that lets changes collect will show them without a query of their own.
        let put_off = u32::from(host.watch_state.is_collecting(now));
        // After an outage the store may have changed.
        let is_refresh = polls_since >= REFRESH_EVERY + put_off
            || refreshed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= MAX_REFRESH_INTERVAL)
            || !host.watch_state.is_answering.get()
            || !host.has_current_era();
        let connected_at = refresher.connected_at.clone();
        let result = if is_refresh {
            refreshed_at = Some(now);
            polls_since = 0;
            let query = refresher.query(asked_at);
            let answer = await_poll(&host, now, &connected_at, query).await;
            refresher.record_answer(&answer);
            match answer {
                Ok(revision) => refresher.update_copies(asked_at, revision).await,
                Err(error) => Err(error),
            }
        } else {
            let query = refresher.query_stale();
            let answer = await_poll(&host, now, &connected_at, query).await;
            refresher.record_answer(&answer);
            answer
        };
        polls_since += 1;
        // A store that answers pings may still fail refreshes.
        let pause = match &result {
            Ok(()) => tokio::time::sleep(INTERVAL),
            Err(_) => tokio::time::sleep_until((now + INTERVAL).into()),
        };
        record_poll_result(&host, result).await;
        pause.await;
    }
}

/// Waits for the answer to a poll that was sent at `asked_at`. If it is late, the store counts as
/// unavailable until it answers. A store that does so after all was only slow, and was there all
/// the time since the poll was sent; whether it was there before there was a connection is not known.
async fn await_poll<T>(
    host: &Rc<Host>,
    asked_at: Instant,
    connected_at: &Cell<Option<Instant>>,
    query: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let mut query = pin!(query);
    let limit = host.watch_state.answer_limit();
    match tokio::time::timeout(limit, &mut query).await {
        Ok(Err(error)) if error.is_outage() => {
            record_unanswered(host, asked_at, &error);
            host.dialer.discard_spare();
            if error.is_unanswered() {
                host.dialer.reserve_for_queries();
            }
            host.watch_state.clear_evidence();
            report_reachability(host, Some(&error)).await;
            await_return(host).await;
            Err(error)
        }
        Ok(result) => result,
        Err(_) => {
            record_unanswered(host, asked_at, &Error::Timeout);
            host.dialer.discard_spare();
            host.watch_state.suspend();
            let was_sent = connected_at.get().is_some();
            if !was_sent {
                host.dialer.reserve_for_queries();
            }
            report_reachability(host, Some(&Error::Timeout)).await;
            let answer = await_late_answer(host, query).await?;
            host.watch_state.resume();
            if was_sent {
                host.core.borrow_mut().presence.forget_outage(asked_at);
            } else if let Some(at) = connected_at.get() {
                record_unanswered(host, at, &Error::Timeout);
            }
            report_reachability(host, None).await;
            Ok(answer)
        }
    }
}

/// Waits for the late answer to a poll. Fails once the store answers pings, as then it was
/// unavailable.
async fn await_late_answer<T>(
    host: &Rc<Host>,
    query: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let mut returned = pin!(await_return(host));
    let result = tokio::select! {
        result = query => result,
        () = &mut returned => return Err(Error::Timeout),
    };
    match &result {
        // A store that has held its answers back for a while answers later pings at the same time.
        Ok(_) => match tokio::time::timeout(ANSWER_SPREAD * 2, returned).await {
            Ok(()) => Err(Error::Timeout),
            Err(_) => result,
        },
        Err(error) if error.is_outage() => {
            returned.await;
            result
        }
        Err(_) => result,
    }
}

/// Pings a store that did not answer until it does. The pings don't wait for each other: the store
/// was unavailable when the last one before the one that it answered was sent.
async fn await_return(host: &Rc<Host>) {
    let progress = Progress::default();
    let mut pings = FuturesUnordered::new();
    let mut interval = tokio::time::interval(PING_INTERVAL);
    // Pings that were due while one waited for its connection are left out.
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // When the newest ping that was answered was sent, and the one before it.
    let mut answered = None;
    let mut collect_until = None;
    while collect_until.is_none_or(|until| now() < until) {
        let wait = collect_until.unwrap_or_else(|| now() + ANSWER_TIMEOUT);
        tokio::select! {
            Some((sent, answer)) = pings.next() => {
                if !matches!(&answer, Err(error) if Error::is_outage(error)) {
                    collect_until.get_or_insert(now() + ANSWER_SPREAD);
                    answered = answered.max(Some(sent));
                }
            }
            () = tokio::time::sleep_until(wait.into()) => {}
            _ = interval.tick(), if !progress.is_connecting.get() => {
                pings.push(ping_anew(host, &progress));
            }
        }
    }
    if let Some((_, Some(unanswered_at))) = answered {
        host.core
            .borrow_mut()
            .record_unavailable(now(), unanswered_at);
        datagram::send_returned(host, unanswered_at).await;
    }
}

/// Progress of the pings to a store that does not answer.
#[derive(Default)]
struct Progress {
    /// Whether a ping waits for its connection.
    is_connecting: Cell<bool>,
    /// When the last ping was sent, if no host saw the store then.
    previous: Cell<Option<Instant>>,
}

/// Pings the store on a connection of its own, as others may be dead. Returns when the ping was sent,
/// the last moment before it at which no host could reach the store, and the answer.
async fn ping_anew(
    host: &Rc<Host>,
    progress: &Progress,
) -> ((Instant, Option<Instant>), Result<(), Error>) {
    progress.is_connecting.set(true);
    let mut refresher = Refresher::new(host);
    let connected = refresher.connect().await;
    progress.is_connecting.set(false);
    let asked_at = now();
    let is_seen = host.core.borrow().presence.is_store_seen(asked_at);
    let previous = progress.previous.replace((!is_seen).then_some(asked_at));
    let unopened = host.dialer.unopened_since(asked_at);
    let unopened = unopened.filter(|_| !is_seen);
    let sent = (asked_at, previous.max(unopened));
    if let Err(error) = connected {
        record_unanswered(host, asked_at, &error);
        return (sent, Err(error));
    }
    let answer = refresher.query_stale();
    (sent, await_pong(host, asked_at, answer).await)
}

/// Waits for the answer to a ping that was sent at `asked_at`, and records if it is late or missing.
async fn await_pong(
    host: &Host,
    asked_at: Instant,
    answer: impl Future<Output = Result<(), Error>>,
) -> Result<(), Error> {
    let mut answer = pin!(answer);
    let limit = host.watch_state.answer_limit();
    let result = match tokio::time::timeout(limit, &mut answer).await {
        Ok(result) => result,
        Err(_) => {
            record_unanswered(host, asked_at, &Error::Timeout);
            answer.await
        }
    };
    result.inspect_err(|error| record_unanswered(host, asked_at, error))
}

/// Records whether the store responded to all queries.
async fn record_poll_result(host: &Rc<Host>, result: Result<(), Error>) {
    if result.is_err() {
        host.watch_state.clear_evidence();
    }
    if !matches!(&result, Err(error) if error.is_unanswered()) {
        host.dialer.end_reservation();
    }
    let was_answering = host.watch_state.is_answering.get();
    report_reachability(host, result.as_ref().err()).await;
    if result.is_ok() && !was_answering {
        // Watches that were waiting when the store stopped responding may never be answered.
        host.watch_state.renew_all();
    }
}

/// Records and logs whether the store answers, and updates this host's view of it.
async fn report_reachability(host: &Rc<Host>, error: Option<&Error>) {
    let answers = error.is_none();
    if host.watch_state.is_answering.replace(answers) != answers {
        let error = error.map(ToString::to_string);
        spdlog::info!("refresh: the reachability of the store has changed", kv: {
            event = Event::StoreReachability.as_str(),
            answers,
            error = error.as_deref().unwrap_or_default()
        });
    }
    sync::update_store_view(host).await;
}
