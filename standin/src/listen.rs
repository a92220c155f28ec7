//! A listener that can stop listening and start again on the same port.
//!
//! A bound socket that never listens holds the port, so that connections are refused meanwhile
//! and nobody else takes it.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::{lock, runtime, Error};

const BACKLOG: i32 = 1024;
/// Pause after a failed accept or bind.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Whether connections are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gate {
    /// Accepted.
    Open,
    /// Refused by the kernel.
    Closed,
    /// The listener ends for good.
    Stopped,
}

struct State {
    gate: Gate,
    listener: Option<Arc<TcpListener>>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    runtime: Handle,
    address: SocketAddr,
    _holder: Socket,
}

/// A listening address with a task that accepts.
pub(crate) struct Listener {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and hands each connection to `accept`, which must not wait.
    pub(crate) fn new(
        address: SocketAddr,
        accept: impl FnMut(TcpStream) + Send + 'static,
    ) -> Result<Self, Error> {
        let failed = |source| Error::Listen { address, source };
        let runtime = runtime::handle()?;
        let holder = bind(address).map_err(failed)?;
        let address = holder.local_addr().map_err(failed)?;
        let address = address
            .as_socket()
            .ok_or_else(|| failed(io::Error::other("no IP")))?;
        let first = listen(&runtime, address).map_err(failed)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                gate: Gate::Open,
                listener: Some(Arc::new(first)),
            }),
            changed: Notify::new(),
            runtime: runtime.clone(),
            address,
            _holder: holder,
        });
        let task = runtime.spawn(run(Arc::clone(&shared), accept));
        Ok(Self { shared, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Opens or closes the gate. When this returns after closing, connections are refused.
    pub(crate) fn set(&self, gate: Gate) {
        set(&self.shared, gate);
    }

    /// A handle that sets the gate from elsewhere.
    pub(crate) fn setter(&self) -> impl Fn(Gate) + Send + Sync + 'static {
        let shared = Arc::clone(&self.shared);
        move |gate| set(&shared, gate)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.set(Gate::Stopped);
        self.task.abort();
    }
}

fn set(shared: &Shared, gate: Gate) {
    let mut state = lock(&shared.state);
    if state.gate == Gate::Stopped {
        return;
    }
    state.gate = gate;
    match (gate, &state.listener) {
        (Gate::Open, None) => state.listener = shared.listen(),
        (Gate::Closed | Gate::Stopped, Some(listener)) => {
            // Ends the listening at once and wakes the accepting task.
            let _ = SockRef::from(&**listener).shutdown(Shutdown::Both);
            state.listener = None;
        }
        _ => {}
    }
    shared.changed.notify_one();
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(runtime: &Handle, address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.listen(BACKLOG)?;
    let _guard = runtime.enter();
    TcpListener::from_std(socket.into())
}

impl Shared {
    fn listen(&self) -> Option<Arc<TcpListener>> {
        listen(&self.runtime, self.address).ok().map(Arc::new)
    }

    /// The listener to accept from, if there is one now.
    fn listener(&self) -> Option<Arc<TcpListener>> {
        let state = &mut *lock(&self.state);
        if state.gate == Gate::Open && state.listener.is_none() {
            state.listener = self.listen();
        }
        state.listener.clone()
    }
}

async fn run(shared: Arc<Shared>, mut accept: impl FnMut(TcpStream)) {
    loop {
        let Some(listener) = shared.listener() else {
            let changed = shared.changed.notified();
            // While the port cannot be had, it is tried again.
            let _ = tokio::time::timeout(RETRY_PAUSE * 10, changed).await;
            continue;
        };
        match listener.accept().await {
            Ok((stream, _)) => accept(stream),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Ends a connection by a reset instead of an orderly end.
///
/// The reset goes out when the last handle is dropped; a blocked reader wakes at once.
pub(crate) fn reset(stream: &impl AsFd) {
    let socket = SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Read);
}
