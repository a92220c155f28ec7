//! Calls to the platform's store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::net::TcpStream;

use super::body::whole;
use super::client::{self, Connection};
use super::log::Event;
use super::Host;
use crate::port::{Call, Malformed, Reply};

/// How long the store may take for a call beside what it was asked to wait.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a connection to the store may take to be established.
const CONNECT: Duration = Duration::from_secs(1);

/// Faults of objects that are remembered, so that each is logged once: many more than a store has in practice.
const UNREAD: usize = 1024;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Connect(#[from] client::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Malformed(#[from] Malformed),
    #[error("it has too much to do or is away")]
    Busy,
    #[error("an answer that does not fit the call")]
    Unexpected,
}

/// A connection to the store that is opened when it is needed.
pub(crate) struct Client {
    host: Rc<Host>,
    kept: Option<TcpStream>,
    /// Whether an object of the last answer could not be read.
    pub(crate) left_out: bool,
}

impl Client {
    pub(crate) fn new(host: &Rc<Host>) -> Self {
        Self {
            host: host.clone(),
            kept: None,
            left_out: false,
        }
    }

    /// Makes a call. A connection on which anything went wrong is not used again.
    pub(crate) async fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let wait = match call {
            Call::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let kept = self.kept.take();
        let exchange = self.exchange(kept, call);
        let answered = tokio::time::timeout(PATIENCE + wait, exchange).await;
        let (kept, status, bytes) = answered.map_err(|_| Error::Timeout)??;
        self.kept = kept;
        let (reply, unread) = (self.host.platform.store.decode)(call, status, &bytes)?;
        self.left_out = !unread.is_empty();
        for malformed in unread {
            self.leave_out(&malformed);
        }
        match reply {
            Reply::Busy => Err(Error::Busy),
            reply => Ok(reply),
        }
    }

    /// Logs an object that can't be read, once for each fault of it.
    fn leave_out(&self, malformed: &Malformed) {
        let told = &mut *self.host.unread.borrow_mut();
        if told.len() >= UNREAD {
            told.clear();
        }
        let error = malformed.to_string();
        if told.contains(&error) {
            return;
        }
        spdlog::warn!("store: an object is left out", kv: {
            event = Event::Unread.as_str(),
            error = error.as_str()
        });
        told.insert(error);
    }

    async fn exchange(
        &self,
        kept: Option<TcpStream>,
        call: &Call,
    ) -> Result<(Option<TcpStream>, StatusCode, Bytes), Error> {
        let stream = match kept.filter(client::is_quiet) {
            Some(stream) => stream,
            None => client::connect(self.host.settings.store, CONNECT).await?,
        };
        let mut connection = Connection::new(stream).await?;
        let request = (self.host.platform.store.encode)(call)?.map(whole);
        let Ok(response) = connection.send(request).await else {
            return Err(client::Error::Unanswered.into());
        };
        let status = response.status();
        let body = response.into_body().collect();
        let bytes = connection.read(body).await?.to_bytes();
        Ok((connection.release().await, status, bytes))
    }
}
