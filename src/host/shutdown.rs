//! Stopping without cutting a request.
//!
//! On SIGTERM a host tells the others and is named in no look-up any more. Callers that keep its address
//! are served for a while, each answer ending its connection; then idle connections are closed, and the
//! process ends with the last connection: one on which a request has just arrived counts like one
//! whose request is being answered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;

use super::log::Event;
use super::{datagram, join, Host};

/// The part of the time between SIGTERM and the end in which callers that keep the address are served.
const SERVE: f64 = 0.45;
/// The part after which the process ends in any case.
const END: f64 = 0.95;
/// How often it is checked whether the last connection is closed.
const CHECK: Duration = Duration::from_millis(50);

/// How far stopping has gone.
pub(crate) struct Stop {
    leaving: Cell<bool>,
    closing: Cell<bool>,
    closed: Notify,
    connections: Cell<usize>,
}

/// A caller's connection, open as long as this lives.
pub(crate) struct Guard(Rc<Host>);

impl Guard {
    pub(crate) fn new(host: &Rc<Host>) -> Self {
        let connections = &host.stop.connections;
        connections.set(connections.get() + 1);
        Self(host.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let connections = &self.0.stop.connections;
        connections.set(connections.get().saturating_sub(1));
    }
}

impl Stop {
    pub(crate) fn new() -> Self {
        Self {
            leaving: Cell::new(false),
            closing: Cell::new(false),
            closed: Notify::new(),
            connections: Cell::new(0),
        }
    }

    /// Whether answers end their connections.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn closing(&self) {
        while !self.closing.get() {
            self.closed.notified().await;
        }
    }
}

/// Waits for SIGTERM and stops.
pub(crate) async fn run(host: &Rc<Host>) {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => {
            spdlog::error!("stop: no notice of SIGTERM, it will end the process at once: {error}");
            return std::future::pending().await;
        }
    };
    terminate.recv().await;
    spdlog::info!("stop: told to end", kv: { event = Event::Leaving.as_str() });
    let begun = super::now();
    host.stop.leaving.set(true);
    host.core.borrow_mut().presence.leave();
    datagram::tell_leaving(host).await;
    let grace = host.settings.bounds.grace;
    tokio::join!(
        join::unregister(host),
        tokio::time::sleep(grace.mul_f64(SERVE))
    );
    host.stop.closing.set(true);
    host.stop.closed.notify_waiters();
    while host.stop.connections.get() > 0 && begun.elapsed() < grace.mul_f64(END) {
        tokio::time::sleep(CHECK).await;
    }
    spdlog::info!("stop: ends", kv: {
        event = Event::Left.as_str(),
        connections = host.stop.connections.get()
    });
}
