//! Connections from a given source address, with failures to connect distinct from later ones.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

/// No connection was established, so that nothing was sent.
#[derive(Debug, thiserror::Error)]
#[error("cannot connect: {0}")]
pub(super) struct ConnectError(io::Error);

/// A connector that binds each connection to one source address.
#[derive(Debug)]
pub(super) struct SourceConnector {
    pub(super) address: IpAddr,
}

/// A resolver for literal IP addresses. The library's own starts a thread for each call that has a time-out.
#[derive(Debug)]
pub(super) struct LiteralResolver;

impl Resolver for LiteralResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _: &Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|text| text.as_str().parse().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}

impl<In: Transport> Connector<In> for SourceConnector {
    type Out = Stream;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<In>,
    ) -> Result<Option<Stream>, ureq::Error> {
        let to = *details.addrs.first().ok_or(ureq::Error::HostNotFound)?;
        let timeout = details.timeout.not_zero().map(|timeout| *timeout);
        let stream = connect(self.address, to, timeout);
        let stream = stream.map_err(|error| ureq::Error::Other(Box::new(ConnectError(error))))?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(Stream { stream, buffers }))
    }
}

fn connect(from: IpAddr, to: SocketAddr, timeout: Option<Duration>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.set_tcp_nodelay(true)?;
    match timeout {
        Some(timeout) => socket.connect_timeout(&to.into(), timeout)?,
        None => socket.connect(&to.into())?,
    }
    Ok(socket.into())
}

/// Whether no connection was established, which proves that nothing was sent.
pub(super) fn is_connect_error(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Other(inner) if inner.is::<ConnectError>())
}

/// A TCP transport without TLS.
#[derive(Debug)]
pub(super) struct Stream {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl Transport for Stream {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.stream
            .set_write_timeout(timeout.not_zero().map(|timeout| *timeout))?;
        let sent = self.stream.write_all(&self.buffers.output()[..amount]);
        sent.map_err(|error| convert_error(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.stream
            .set_read_timeout(timeout.not_zero().map(|timeout| *timeout))?;
        let read = self.stream.read(self.buffers.input_append_buf());
        let n = read.map_err(|error| convert_error(error, timeout))?;
        self.buffers.input_appended(n);
        Ok(n > 0)
    }

    fn is_open(&mut self) -> bool {
        let peek = |stream: &TcpStream| {
            stream.set_nonblocking(true)?;
            let peeked = stream.peek(&mut [0]);
            stream.set_nonblocking(false)?;
            peeked
        };
        peek(&self.stream).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

fn convert_error(error: io::Error, timeout: NextTimeout) -> ureq::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ureq::Error::Timeout(timeout.reason),
        _ => error.into(),
    }
}
