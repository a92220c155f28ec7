//! A listener that can stop listening and start again on the same port.
//!
//! A bound socket that never listens holds the port, so that connections are refused meanwhile
//! and nobody else takes it.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use crate::{lock, Error};

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
    changed: Condvar,
    address: SocketAddr,
    _holder: Socket,
}

/// A listening address with a thread that accepts.
pub(crate) struct Listener {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on `address` and hands each connection to `accept` on the accepting thread.
    pub(crate) fn new(
        address: SocketAddr,
        accept: impl FnMut(TcpStream) + Send + 'static,
    ) -> Result<Self, Error> {
        let failed = |source| Error::Listen { address, source };
        let holder = bind(address).map_err(failed)?;
        let address = holder.local_addr().map_err(failed)?;
        let address = address
            .as_socket()
            .ok_or_else(|| failed(io::Error::other("no IP")))?;
        let first = listen(address).map_err(failed)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                gate: Gate::Open,
                listener: Some(Arc::new(first)),
            }),
            changed: Condvar::new(),
            address,
            _holder: holder,
        });
        let inner = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("accept".into())
            .spawn(move || run(&inner, accept))
            .map_err(Error::Thread)?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
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
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn set(shared: &Shared, gate: Gate) {
    let mut state = lock(&shared.state);
    if state.gate == Gate::Stopped {
        return;
    }
    state.gate = gate;
    match (gate, &state.listener) {
        (Gate::Open, None) => state.listener = listen(shared.address).ok().map(Arc::new),
        (Gate::Closed | Gate::Stopped, Some(listener)) => {
            // Ends the listening at once and wakes the accepting thread.
            let _ = SockRef::from(&**listener).shutdown(Shutdown::Both);
            state.listener = None;
        }
        _ => {}
    }
    shared.changed.notify_all();
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.set_tcp_nodelay(true)?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn run(shared: &Shared, mut accept: impl FnMut(TcpStream)) {
    while let Some(listener) = wait(shared) {
        match listener.accept() {
            Ok((stream, _)) => accept(stream),
            Err(_) => thread::sleep(RETRY_PAUSE),
        }
    }
}

/// The listener to accept from, once there is one; none when stopped.
fn wait(shared: &Shared) -> Option<Arc<TcpListener>> {
    let mut state = lock(&shared.state);
    loop {
        match (state.gate, &state.listener) {
            (Gate::Stopped, _) => return None,
            (Gate::Open, Some(listener)) => return Some(Arc::clone(listener)),
            (Gate::Open, None) => state.listener = listen(shared.address).ok().map(Arc::new),
            (Gate::Closed, _) => {}
        }
        if state.listener.is_none() {
            let waited = shared.changed.wait_timeout(state, RETRY_PAUSE * 10);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Ends a connection by a reset instead of an orderly end.
///
/// The reset goes out when the last handle is dropped; a blocked reader wakes at once.
pub(crate) fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}
