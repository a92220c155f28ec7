//! Graceful shutdown.
//!
//! On SIGTERM a host notifies the others, which stop listing it in look-ups. Callers that still
//! have its address are served for a while, and each response closes its connection. Then idle
//! connections are closed, and the process ends with the last connection: one on which a request
//! has just arrived counts like one whose request is being answered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use super::log::Event;
use super::{brief, datagram, join, Host};
use crate::edge::Closing;

/// Fraction of the grace period during which callers that still have the address are served.
const SERVE_FRACTION: f64 = 0.45;
/// Fraction of the grace period after which the process ends in any case.
const END_FRACTION: f64 = 0.95;
/// Interval at which the number of open connections is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of the shutdown.
pub(crate) struct Shutdown {
    is_leaving: Cell<bool>,
    closing: Rc<Closing>,
    connections: Cell<usize>,
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct ConnectionGuard(Rc<Host>);

impl ConnectionGuard {
    pub(crate) fn new(host: &Rc<Host>) -> Self {
        let connections = &host.shutdown.connections;
        connections.set(connections.get() + 1);
        Self(host.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.shutdown.connections;
        connections.set(connections.get().saturating_sub(1));
    }
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self {
            is_leaving: Cell::new(false),
            closing: Rc::default(),
            connections: Cell::new(0),
        }
    }

    /// Whether responses close their connections.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn wait_for_close(&self) {
        self.closing.wait().await;
    }

    /// Tells connections to close.
    pub(crate) fn closing(&self) -> Rc<Closing> {
        self.closing.clone()
    }
}

/// Waits for SIGTERM and shuts down.
pub(crate) async fn run(host: &Rc<Host>) {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => {
            spdlog::error!(
                "shutdown: cannot handle SIGTERM, which will end the process at once: {error}"
            );
            return std::future::pending().await;
        }
    };
    terminate.recv().await;
    spdlog::info!("shutdown: received SIGTERM", kv: { event = Event::Leaving.as_str() });
    let started_at = super::now();
    host.shutdown.is_leaving.set(true);
    host.core.borrow_mut().presence.leave();
    datagram::send_leaving(host).await;
    let grace = host.settings.bounds.grace;
    tokio::join!(
        join::unregister(host),
        tokio::time::sleep(grace.mul_f64(SERVE_FRACTION))
    );
    host.shutdown.closing.set();
    while host.shutdown.connections.get() > 0 && started_at.elapsed() < grace.mul_f64(END_FRACTION)
    {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    brief::write(host, super::now());
    spdlog::info!("shutdown: the process ends", kv: {
        event = Event::Left.as_str(),
        connections = host.shutdown.connections.get()
    });
}
