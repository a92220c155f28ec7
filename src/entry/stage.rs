//! Records how far the HTTP call of the current thread got: connected, written, read.
//!
//! `ureq` reports the same error for a connection that was closed before and after the request ran.
//! The socket operations tell these cases apart, so each transport is wrapped and records them in a
//! thread-local value. It also limits what is received: `ureq` reads trailers, and what else is not
//! part of a body, for as long as it comes.

use std::cell::Cell;
use std::io;

use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};
use ureq::Error;

/// The socket operations of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stage {
    /// Whether a new connection was requested; otherwise a pooled one was used.
    pub(crate) is_dialled: bool,
    /// Whether the new connection was established.
    pub(crate) is_connected: bool,
    /// Bytes passed to the socket, including those of a write that failed.
    pub(crate) written: u64,
    /// Whether any byte was received.
    pub(crate) has_read: bool,
    /// Bytes that may still be received.
    allowance: u64,
}

/// Bytes that may be received before the head of an answer is complete, and beyond its body.
const MAX_HEAD_BYTES: u64 = 256 << 10;

thread_local! {
    static STAGE: Cell<Stage> = const { Cell::new(Stage {
        is_dialled: false,
        is_connected: false,
        written: 0,
        has_read: false,
        allowance: 0,
    }) };
}

/// Resets the stage before a call of this thread, which may receive the head of an answer.
pub(crate) fn reset() {
    let stage = Stage {
        allowance: MAX_HEAD_BYTES,
        ..Stage::default()
    };
    STAGE.with(|cell| cell.set(stage));
}

/// Allows the call to receive a body that takes at most so many bytes.
pub(crate) fn allow_body(bytes: u64) {
    update(|stage| stage.allowance = bytes.saturating_add(MAX_HEAD_BYTES));
}

/// Returns the stage of this thread's last call.
pub(crate) fn get() -> Stage {
    STAGE.with(Cell::get)
}

fn update(change: impl FnOnce(&mut Stage)) {
    STAGE.with(|cell| {
        let mut stage = cell.get();
        change(&mut stage);
        cell.set(stage);
    });
}

/// Records that a new connection is requested. Chained in front of the connector that opens it.
#[derive(Debug, Default)]
pub(crate) struct RecordDial;

impl Connector<()> for RecordDial {
    type Out = ();

    fn connect(&self, _: &ConnectionDetails<'_>, _: Option<()>) -> Result<Option<()>, Error> {
        update(|stage| stage.is_dialled = true);
        Ok(None)
    }
}

/// Wraps the transport of the previous connector in a [`RecordedTransport`].
#[derive(Debug, Default)]
pub(crate) struct RecordTransport;

impl<In: Transport> Connector<In> for RecordTransport {
    type Out = RecordedTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = chained.map(|inner| RecordedTransport { inner });
        if transport.is_some() {
            update(|stage| stage.is_connected = true);
        }
        Ok(transport)
    }
}

/// A transport that records writes and reads in the thread's stage.
#[derive(Debug)]
pub(crate) struct RecordedTransport<T> {
    inner: T,
}

impl<T: Transport> Transport for RecordedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        update(|stage| stage.written += amount as u64);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        if get().allowance == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the answer is too long");
            return Err(error.into());
        }
        let before = self.inner.buffers().input().len();
        let progress = self.inner.await_input(timeout)?;
        let received = self.inner.buffers().input().len().saturating_sub(before) as u64;
        update(|stage| {
            stage.has_read |= progress;
            stage.allowance = stage.allowance.saturating_sub(received);
        });
        Ok(progress)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}
