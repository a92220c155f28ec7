//! Client for the platform's store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::body::full;
use super::client::{self, Connection};
use super::dialer::{self, Purpose};
use super::log::Event;
use super::{now, task, Host};
use crate::budget::{Account, Buffer};
use crate::port::{Call, Malformed, Reply};

/// Timeout of a call, in addition to the time that a watch asks the store to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest answer in bytes: pages of lists are about one megabyte long, watches may bring many changes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Faults of objects that are remembered so that each is logged once: many more than a store has in
/// practice.
const MAX_LOGGED_FAULTS: usize = 1024;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Connect(#[from] client::Error),
    #[error("the answer broke off or is too long")]
    Broken,
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Malformed(#[from] Malformed),
    #[error("the store is overloaded or unavailable")]
    Busy,
    #[error("the store limits the rate of calls")]
    Limited,
    #[error("the answer does not match the call")]
    Unexpected,
    /// The answer is from before the store was restored from a copy, or partly.
    #[error("the answer is from an earlier era of the store")]
    Superseded,
}

impl Error {
    /// Whether it shows that the store is unavailable.
    pub(crate) fn is_outage(&self) -> bool {
        match self {
            Self::Busy => true,
            _ => self.is_unanswered(),
        }
    }

    /// Whether there was no answer at all.
    pub(crate) fn is_unanswered(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Broken | Self::Timeout => true,
            Self::Busy | Self::Limited | Self::Malformed(_) => false,
            Self::Unexpected | Self::Superseded => false,
        }
    }
}

/// A client for the store that connects on demand.
pub(crate) struct Client {
    host: Rc<Host>,
    idle: Option<TcpStream>,
    /// Whether an object in the last answer could not be decoded.
    pub(crate) has_skipped: bool,
    /// The store's era as of the last answer; 0 if the answer did not contain it.
    pub(crate) era: u64,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.release();
    }
}

impl Client {
    pub(crate) fn new(host: &Rc<Host>) -> Self {
        Self {
            host: host.clone(),
            idle: None,
            has_skipped: false,
            era: 0,
        }
    }

    /// Waits for a connection for the next query.
    pub(crate) async fn connect(&mut self) -> Result<(), Error> {
        self.connect_within(CALL_TIMEOUT, Purpose::Query).await
    }

    /// Waits for a connection for the next watch, which may take as long as the watch itself.
    pub(crate) async fn connect_watch(&mut self, wait: Duration) -> Result<(), Error> {
        let limit = CALL_TIMEOUT + wait;
        self.connect_within(limit, Purpose::Watch).await
    }

    async fn connect_within(&mut self, limit: Duration, purpose: Purpose) -> Result<(), Error> {
        let idle = self.idle.take();
        let opening = self.open(idle, purpose);
        let opened = tokio::time::timeout(limit, opening).await;
        self.idle = Some(opened.map_err(|_| client::Error::Timeout)??);
        Ok(())
    }

    async fn open(
        &self,
        idle: Option<TcpStream>,
        purpose: Purpose,
    ) -> Result<TcpStream, client::Error> {
        match idle.filter(client::is_reusable) {
            Some(stream) => Ok(stream),
            None => dialer::connect(&self.host, purpose).await,
        }
    }

    /// Leaves the connection of the last call to other calls.
    pub(crate) fn release(&mut self) {
        if let Some(stream) = self.idle.take() {
            self.host.dialer.put(stream);
        }
    }

    /// Takes a connection that no other call uses for the next query, if there is one.
    pub(crate) fn reserve(&mut self) {
        if self.idle.is_none() {
            self.idle = self.host.dialer.take(Purpose::Query);
        }
    }

    /// Makes a call. A connection on which anything failed is not reused.
    pub(crate) async fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let wait = match call {
            Call::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let purpose = if wait.is_zero() {
            Purpose::Query
        } else {
            Purpose::Watch
        };
        let asked_at = now();
        let idle = self.idle.take();
        let exchange = async {
            let stream = self.open(idle, purpose).await?;
            let sent_at = now();
            let answer = match call {
                Call::List { .. } | Call::Watch { .. } if purpose == Purpose::Query => {
                    self.query(stream, call).await?
                }
                // A write that is given up must not be made afterwards.
                _ => exchange(&self.host, stream, call).await?,
            };
            Ok::<_, Error>((sent_at, answer))
        };
        let answered = tokio::time::timeout(CALL_TIMEOUT + wait, exchange).await;
        let (sent_at, (idle, (status, era), bytes)) = answered.map_err(|_| Error::Timeout)??;
        if wait.is_zero() {
            let took = now().saturating_duration_since(sent_at);
            self.host.metrics.record_store_answer(took);
        }
        self.idle = idle;
        self.era = era;
        self.host.note_answer(era, asked_at);
        let (reply, skipped) = (self.host.platform.store.decode)(call, status, &bytes)?;
        self.has_skipped = !skipped.is_empty();
        for malformed in skipped {
            self.log_skipped(&malformed);
        }
        match reply {
            Reply::Busy => Err(Error::Busy),
            Reply::Limited => Err(Error::Limited),
            reply => Ok(reply),
        }
    }

    /// Logs an object that can't be decoded, once for each fault.
    fn log_skipped(&self, malformed: &Malformed) {
        let logged_faults = &mut *self.host.logged_store_faults.borrow_mut();
        if logged_faults.len() >= MAX_LOGGED_FAULTS {
            logged_faults.clear();
        }
        let error = malformed.to_string();
        if logged_faults.contains(&error) {
            return;
        }
        spdlog::warn!("store: skipped an object that cannot be decoded", kv: {
            event = Event::UnreadableObject.as_str(),
            error = error.as_str()
        });
        logged_faults.insert(error);
    }

    /// Makes a query. One that is given up still ends, so that its connection serves the next call:
    /// to open another one may take longer than the answer does.
    async fn query(&self, stream: TcpStream, call: &Call) -> Result<Answer, Error> {
        let (sender, answer) = oneshot::channel();
        let (host, call) = (self.host.clone(), call.clone());
        task::spawn(&self.host, "store-query", async move {
            let exchange = exchange(&host, stream, &call);
            let answer = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
            let unused = sender.send(answer.unwrap_or(Err(Error::Timeout)));
            if let Err(Ok((Some(stream), ..))) = unused {
                host.dialer.put(stream);
            }
        });
        answer.await.unwrap_or(Err(Error::Broken))
    }
}

/// The connection, if it can be reused, with the status, the store's era and the body of an answer.
type Answer = (Option<TcpStream>, (StatusCode, u64), Bytes);

async fn exchange(host: &Host, stream: TcpStream, call: &Call) -> Result<Answer, Error> {
    let mut connection = Connection::new(stream).await?;
    let request = (host.platform.store.encode)(call)?.map(full);
    let Ok(response) = connection.send(request).await else {
        return Err(client::Error::Unanswered.into());
    };
    let status = response.status();
    let era = (host.platform.store.era)(response.headers()).unwrap_or_default();
    let body = read_body(response.into_body(), &host.store_account);
    let bytes = connection.read(body).await?;
    Ok((connection.release().await, (status, era), bytes))
}

/// Reads the body of an answer, which is charged to `account`.
async fn read_body(mut body: Incoming, account: &Account) -> Result<Bytes, Error> {
    let announced = body.size_hint().exact();
    let expected = announced.map(|length| MAX_ANSWER_BYTES.min(length as usize));
    let mut read = Buffer::new(account).with_expected(expected);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        if read.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(Error::Broken);
        }
        let appended = read.append(&data).await;
        appended.map_err(|_| Error::Broken)?;
    }
    Ok(read.freeze())
}
