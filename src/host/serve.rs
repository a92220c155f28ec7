//! Listens for incoming connections and answers their requests.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpSocket};

use super::body::Body;
use super::{answer, client, log, shutdown, task, Error, Host};
use crate::duration;
pub(crate) use crate::edge::{accept_each, account, caller_address, BodyConsumed, StreamUntil};
use crate::edge::{serve_connection, Edge, Limits, RepeatedLengths};

/// Listen backlog: connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for instance when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Limit on a request head before the first configuration, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Number of headers that a request may have.
const MAX_HEADERS: usize = 100;

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

/// Answers requests on all connections that `listener` accepts, until the host stops. `name` is that
/// of the task.
pub(crate) fn start<F, R>(host: &Rc<Host>, name: &'static str, listener: TcpListener, handler: F)
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let listener = Rc::new(listener);
    let edge = Rc::new(edge(host));
    task::start_until_close(host, name, move |host| {
        accept(host, edge.clone(), listener.clone(), handler)
    });
}

/// What the connections of this host have in common.
fn edge(host: &Rc<Host>) -> Edge {
    let (state, closed) = (host.clone(), host.clone());
    Edge {
        limits: Box::new(move || limits(&state)),
        closing: host.shutdown.closing(),
        log_closed: Box::new(move |used_for| log::connection_closed(&closed, used_for)),
        unparsed: None,
        max_headers: MAX_HEADERS,
        repeated_lengths: RepeatedLengths::Accepted,
    }
}

/// The limits of the configuration in force. Without one, nothing is cut off.
fn limits(host: &Host) -> Limits {
    let limits = host.core.borrow().table.limits();
    limits.map_or(
        Limits {
            buffer_bytes: host.budget.head_buffer(DEFAULT_HEAD_BYTES),
            head_timeout: duration::MAX,
            idle_timeout: duration::MAX,
        },
        |limits| Limits {
            buffer_bytes: host.budget.head_buffer(limits.head_bytes),
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
        },
    )
}

async fn accept<F, R>(
    host: Rc<Host>,
    edge: Rc<Edge>,
    listener: Rc<TcpListener>,
    handler: F,
) -> Infallible
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    accept_each(
        &host.budget,
        &listener,
        ACCEPT_PAUSE,
        |stream, _, account| {
            let guard = shutdown::ConnectionGuard::new(&host);
            let (edge, state) = (edge.clone(), host.clone());
            task::spawn(&host, "connection", async move {
                let _guard = guard;
                if let Err(error) = client::configure_socket(&stream) {
                    spdlog::debug!("serve: cannot configure the socket of a connection: {error}");
                    return;
                }
                let handle = |request| answer(state.clone(), request, handler);
                serve_connection(&edge, stream, account, handle).await;
            });
        },
    )
    .await
}

/// Answers one request, also if its handler fails.
async fn answer<F, R>(host: Rc<Host>, request: Request<Incoming>, handler: F) -> Response<Body>
where
    F: Fn(Rc<Host>, Request<Incoming>) -> R,
    R: Future<Output = Response<Body>>,
{
    let answer = handler(host.clone(), request);
    let response = task::catch(&host, "request", answer).await;
    response.unwrap_or_else(|| answer::outcome_unknown("the host failed\n"))
}
