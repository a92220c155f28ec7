//! How far the call that runs on this thread came: connected, written, read.
//!
//! `ureq` reports the same error for a connection that was closed before and after the request ran.
//! What it asked of the socket tells them apart, so each transport is wrapped and notes it for the
//! thread that drives it.

use std::cell::Cell;

use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};
use ureq::Error;

/// What one call did to its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stage {
    /// A connection was asked for; without it, a pooled one was used.
    pub(crate) dialled: bool,
    /// The new connection was made.
    pub(crate) connected: bool,
    /// Bytes handed to the socket, or about to be.
    pub(crate) written: u64,
    /// Whether any byte came back.
    pub(crate) read: bool,
}

thread_local! {
    static STAGE: Cell<Stage> = const { Cell::new(Stage {
        dialled: false,
        connected: false,
        written: 0,
        read: false,
    }) };
}

/// Forgets the thread's last call.
pub(crate) fn reset() {
    STAGE.with(|stage| stage.set(Stage::default()));
}

/// How far the thread's call came.
pub(crate) fn get() -> Stage {
    STAGE.with(Cell::get)
}

fn note(change: impl FnOnce(&mut Stage)) {
    STAGE.with(|cell| {
        let mut stage = cell.get();
        change(&mut stage);
        cell.set(stage);
    });
}

/// Notes that a connection is asked for. Goes before the connector that makes it.
#[derive(Debug, Default)]
pub(crate) struct Dial;

impl Connector<()> for Dial {
    type Out = ();

    fn connect(&self, _: &ConnectionDetails<'_>, _: Option<()>) -> Result<Option<()>, Error> {
        note(|stage| stage.dialled = true);
        Ok(None)
    }
}

/// Wraps what the connector before it made.
#[derive(Debug, Default)]
pub(crate) struct Watch;

impl<In: Transport> Connector<In> for Watch {
    type Out = Watched<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = chained.map(|inner| Watched { inner });
        if transport.is_some() {
            note(|stage| stage.connected = true);
        }
        Ok(transport)
    }
}

/// A transport that notes what is written and read.
#[derive(Debug)]
pub(crate) struct Watched<T> {
    inner: T,
}

impl<T: Transport> Transport for Watched<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        note(|stage| stage.written += amount as u64);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let progress = self.inner.await_input(timeout)?;
        if progress {
            note(|stage| stage.read = true);
        }
        Ok(progress)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
