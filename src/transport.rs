//! TCP connections for `ureq` that are reset when they are dropped.
//!
//! If a connection is closed, what the peer has not received yet is still delivered when the path
//! allows it again, however long the request has been given up. A reset discards it.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Error, Timeout};

/// Opens connections.
#[derive(Debug, Default)]
pub(crate) struct Dialer;

impl<In: Transport> Connector<In> for Dialer {
    type Out = Connection;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        let mut result = Err(Error::ConnectionFailed);
        for address in &details.addrs {
            let connected = match details.timeout.not_zero() {
                Some(timeout) => TcpStream::connect_timeout(address, *timeout),
                None => TcpStream::connect(address),
            };
            result = connected.map_err(|error| to_error(error, details.timeout.reason));
            if result.is_ok() {
                break;
            }
        }
        let stream = result?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        stream.set_nodelay(true)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(Connection { stream, buffers }))
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl Transport for Connection {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = timeout.for_write();
        self.stream.set_write_timeout(time_left(timeout)?)?;
        let output = &self.buffers.output()[..amount];
        let written = self.stream.write_all(output);
        written.map_err(|error| to_error(error, timeout.reason))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        self.stream.set_read_timeout(time_left(timeout)?)?;
        let input = self.buffers.input_append_buf();
        let count = loop {
            match self.stream.read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read.map_err(|error| to_read_error(error, timeout.reason))?,
            }
        };
        self.buffers.input_appended(count);
        Ok(count > 0)
    }

    fn is_open(&mut self) -> bool {
        // Bytes that nothing asked for, or the end of the stream, make it unusable.
        let is_idle = self.stream.set_nonblocking(true).is_ok()
            && self
                .stream
                .read(&mut [0])
                .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_ok() && is_idle
    }
}

/// Returns the time left for an operation, or the error if there is none.
fn time_left(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    if timeout.after.is_zero() {
        return Err(Error::Timeout(timeout.reason));
    }
    Ok(timeout.not_zero().map(|left| *left))
}

/// The error of a read. A reset is renamed: `ureq` takes it for the end of an answer without a length.
fn to_read_error(error: io::Error, reason: Timeout) -> Error {
    match error.kind() {
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted => {
            io::Error::other(error).into()
        }
        _ => to_error(error, reason),
    }
}

fn to_error(error: io::Error, reason: Timeout) -> Error {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(reason),
        _ => error.into(),
    }
}
