//! Incoming connections: HTTP/1.1 with bounds on how long a head may take and a connection may idle.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::body::Body;
use super::{client, now, stop, Error, Host};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, when descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);
/// How often a connection's times are checked.
const CHECK: Duration = Duration::from_millis(500);
/// The least buffer that the HTTP library takes, in bytes.
const MIN_BUFFER: usize = 8192;
/// Bound on a request head before the first configuration, in bytes.
const DEFAULT_HEAD: usize = 16 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It waits for a request since then.
    Idle(Instant),
    /// A head began to arrive then.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// A stream that notes when a head begins to arrive.
struct Watched {
    stream: TcpStream,
    phase: Rc<Cell<Phase>>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && matches!(self.phase.get(), Phase::Idle(_)) {
            self.phase.set(Phase::Head(now()));
        }
        result
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Listens on `address`.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| Error::Listen { address, source })
}

/// Answers requests on all connections that `listener` accepts, until the host stops.
pub(crate) async fn accept<F, R>(host: Rc<Host>, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = host.stop.closing() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(host.clone(), stream, handler));
            }
            Err(error) => {
                spdlog::warn!("serve: cannot accept a connection: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn connection<F, R>(host: Rc<Host>, stream: TcpStream, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let _guard = stop::Guard::new(&host);
    if let Err(error) = client::watch(&stream) {
        spdlog::debug!("serve: a connection ended at once: {error}");
        return;
    }
    let phase = Rc::new(Cell::new(Phase::Idle(now())));
    let io = TokioIo::new(Watched {
        stream,
        phase: phase.clone(),
    });
    let service = service_fn(|request| {
        phase.set(Phase::Busy);
        let answer = handler(host.clone(), request);
        let phase = phase.clone();
        async move {
            let response = answer.await;
            phase.set(Phase::Idle(now()));
            Ok::<_, Infallible>(response)
        }
    });
    let limits = host.core.borrow().table.limits();
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.head_bytes);
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(head.max(MIN_BUFFER))
        .auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut check = tokio::time::interval(CHECK);
    let mut leaving = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    spdlog::debug!("serve: a connection ended: {error}");
                }
                return;
            }
            () = host.stop.closing(), if !leaving => {
                leaving = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = check.tick() => match overdue(&host, phase.get()) {
                Overdue::No => {}
                Overdue::Idle if leaving => {}
                Overdue::Idle => {
                    leaving = true;
                    connection.as_mut().graceful_shutdown();
                }
                Overdue::Head => return,
            }
        }
    }
}

/// Which of its bounds a connection has passed.
enum Overdue {
    No,
    Idle,
    Head,
}

fn overdue(host: &Host, phase: Phase) -> Overdue {
    let Some(limits) = host.core.borrow().table.limits() else {
        return Overdue::No;
    };
    match phase {
        Phase::Idle(since) if now() > since + limits.idle_timeout => Overdue::Idle,
        Phase::Head(since) if now() > since + limits.head_timeout => Overdue::Head,
        _ => Overdue::No,
    }
}
