//! Asks the store whether this host's copy of it is current, and brings the copy up to date if not.
//!
//! The list of evacuated availability zones is short, and its answer names the store's revision. A copy of another kind that has
//! this revision lacks nothing; of others the changes are asked for. So what a watch should have told is found though the watch
//! hangs, and an answer that is ready is never taken for more than it shows.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use super::log::Event;
use super::store::{Client, Error};
use super::sync::{self, News};
use super::watcher::WATCHED;
use super::{proof, Host};
use crate::control::freshness::{ANSWER_TIMEOUT, INTERVAL};
use crate::control::proof::Moment;
use crate::port::{Age, Kind};

/// Every which question asks for what is new; the others only whether the store answers, which costs it a tenth.
const NEW: u32 = 3;
/// How long the copy counts as current after a question: until the next one for what is new has its answers.
pub(super) const TERM: Duration = Duration::from_millis(3000);

/// What asks.
pub(super) struct Inquiry {
    host: Rc<Host>,
    client: Client,
}

impl Inquiry {
    pub(super) fn new(host: &Rc<Host>) -> Self {
        Self {
            host: host.clone(),
            client: Client::new(host),
        }
    }

    /// Asks once, and notes what the answer shows.
    pub(super) async fn ask(&mut self) -> Result<(), Error> {
        let asked = proof::moment();
        let host = &self.host;
        let list = sync::list(host, &mut self.client, Kind::Evacuations, Age::Latest);
        let revision = in_time(list).await?;
        show(host, Kind::Evacuations, asked);
        let [configs, targets] = WATCHED.map(|kind| bring(host, kind, asked, revision));
        let (configs, targets) = tokio::join!(configs, targets);
        configs.and(targets)
    }

    /// Asks whether the store answers at all; how old that answer is does not count.
    async fn check(&mut self) -> Result<(), Error> {
        let list = sync::read(&mut self.client, Kind::Evacuations, Age::Some);
        in_time(list).await.map(|_| ())
    }
}

async fn in_time<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let result = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
    result.unwrap_or(Err(Error::Timeout))
}

/// Brings the copy of a kind at least to the store's revision. That takes a connection of its own, as one that was kept may have fallen
/// silent, and as much time as what the store has to tell.
async fn bring(host: &Rc<Host>, kind: Kind, asked: Moment, revision: u64) -> Result<(), Error> {
    let is_behind = || host.core.borrow().replica.revision(kind) < Some(revision);
    if is_behind() {
        let _turn = host.watching.turn(kind).await;
        let client = &mut Client::new(host);
        if is_behind() && catch_up(host, client, kind).await? == News::Some {
            // The watch should have told; its connection may be silent.
            host.watching.renew(kind);
        }
        if is_behind() {
            // The store tells watches less than it has acknowledged.
            sync::list(host, client, kind, Age::Latest).await?;
        }
    }
    show(host, kind, asked);
    Ok(())
}

/// The copy of a kind lacks nothing that was acknowledged before `asked`.
fn show(host: &Host, kind: Kind, asked: Moment) {
    host.watching.show(kind, asked.runtime_clock());
    host.core
        .borrow_mut()
        .told
        .insert(kind, asked.runtime_clock());
    if kind == Kind::Config && !host.watching.config_unread.get() {
        proof::shown(host, asked);
    }
}

/// Asks for the changes of a kind, or for all of it if they can't be had.
pub(super) async fn catch_up(
    host: &Rc<Host>,
    client: &mut Client,
    kind: Kind,
) -> Result<News, Error> {
    let known = host.core.borrow().replica.revision(kind);
    if let Some(revision) = known {
        let news = sync::watch(host, client, kind, revision, Duration::ZERO).await?;
        if news != News::Unknown {
            return Ok(news);
        }
    }
    sync::list(host, client, kind, Age::Latest).await?;
    Ok(News::Some)
}

/// Asks for ever, as a host that watches the store. The first question comes at once, unless a look has just been answered.
pub(super) async fn run(host: Rc<Host>) {
    let mut inquiry = Inquiry::new(&host);
    if host.watching.answers.get() {
        tokio::time::sleep(INTERVAL).await;
    }
    for number in (0..NEW).cycle() {
        // A store that is back may have changed.
        let is_new = number == 0 || !host.watching.answers.get();
        let result = if is_new {
            inquiry.ask().await
        } else {
            inquiry.check().await
        };
        note(&host, result).await;
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Notes whether the store answered all questions.
pub(super) async fn note(host: &Rc<Host>, result: Result<(), Error>) {
    let answers = result.is_ok();
    if !answers {
        host.watching.forget();
    }
    if host.watching.answers.replace(answers) != answers {
        let error = result.err().map(|error| error.to_string());
        spdlog::info!("inquiry: the store answers otherwise", kv: {
            event = Event::Reach.as_str(),
            answers,
            error = error.as_deref().unwrap_or_default()
        });
        if answers {
            // Watches that waited when the store fell silent may never be answered.
            host.watching.renew_all();
        }
    }
    sync::note_sight(host).await;
}
