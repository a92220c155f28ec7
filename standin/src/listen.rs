//! A listener that can stop listening and start again on the same port.
//!
//! A second socket is bound to the port and never listens. It reserves the port, so that connections
//! are refused while the listener is closed and no other process can bind the port.

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
/// Connections that fill the shortest queue that the kernel keeps.
const QUEUE_FILLERS: usize = 2;
/// Pause after a failed accept; the pause after a failed bind is ten times as long.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Whether a listener accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// Connections are accepted.
    Open,
    /// Connections are refused by the kernel.
    Closed,
    /// Connections are accepted one after the other, each after a pause. The kernel ignores the attempts of
    /// others to connect.
    Late(Duration),
    /// The kernel ignores attempts to connect, as if the listener were unreachable.
    Unreachable,
    /// The listener has ended and can't be opened again.
    Stopped,
}

impl ListenerState {
    fn is_listening(self) -> bool {
        matches!(self, Self::Open | Self::Late(_))
    }

    /// The number of connections that wait to be accepted; with 0 the kernel keeps the shortest queue.
    fn backlog(self) -> i32 {
        match self {
            Self::Late(_) => 0,
            _ => BACKLOG,
        }
    }

    /// The pause before a connection is accepted.
    fn pause(self) -> Option<Duration> {
        match self {
            Self::Late(pause) => Some(pause),
            _ => None,
        }
    }
}

struct State {
    status: ListenerState,
    listener: Option<Arc<TcpListener>>,
    /// A listening socket whose queue of new connections is full, and the connections that fill it.
    full_queue: Option<(Socket, Vec<Socket>)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    runtime: Handle,
    address: SocketAddr,
    /// Reserves the port.
    _reservation: Socket,
}

/// A listening address and the task that accepts its connections.
pub(crate) struct Listener {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and passes each connection to `accept`, which must not block.
    pub(crate) fn new(
        address: SocketAddr,
        accept: impl FnMut(TcpStream) + Send + 'static,
    ) -> Result<Self, Error> {
        let listen_error = |source| Error::Listen { address, source };
        let runtime = runtime::handle()?;
        let reservation = bind(address).map_err(listen_error)?;
        let address = reservation.local_addr().map_err(listen_error)?;
        let address = address
            .as_socket()
            .ok_or_else(|| listen_error(io::Error::other("not an IP address")))?;
        let first = listen(&runtime, address, BACKLOG).map_err(listen_error)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                status: ListenerState::Open,
                listener: Some(Arc::new(first)),
                full_queue: None,
            }),
            changed: Notify::new(),
            runtime: runtime.clone(),
            address,
            _reservation: reservation,
        });
        let task = runtime.spawn(accept_connections(Arc::clone(&shared), accept));
        Ok(Self { shared, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Opens or closes the listener. After a close, connections are refused once this returns.
    pub(crate) fn set_state(&self, status: ListenerState) {
        set_state(&self.shared, status);
    }

    /// A function that sets the state without a reference to the listener.
    pub(crate) fn state_setter(&self) -> impl Fn(ListenerState) + Send + Sync + 'static {
        let shared = Arc::clone(&self.shared);
        move |status| set_state(&shared, status)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.set_state(ListenerState::Stopped);
        self.task.abort();
    }
}

fn set_state(shared: &Shared, status: ListenerState) {
    let mut state = lock(&shared.state);
    // Opening a listener anew would refuse connections for a moment.
    if state.status == ListenerState::Stopped || state.status == status {
        return;
    }
    state.status = status;
    state.full_queue = None;
    if status.is_listening() {
        match &state.listener {
            Some(listener) => {
                let _ = SockRef::from(&**listener).listen(status.backlog());
            }
            None => state.listener = shared.listen(status),
        }
    } else if let Some(listener) = state.listener.take() {
        // Closes the listening socket at once and wakes the accepting task.
        let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
    }
    if status == ListenerState::Unreachable {
        state.full_queue = full_queue(shared.address).ok();
    }
    shared.changed.notify_one();
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(runtime: &Handle, address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_nonblocking(true)?;
    socket.listen(backlog)?;
    let _guard = runtime.enter();
    TcpListener::from_std(socket.into())
}

/// Listens on `address` and fills the queue of new connections, so that the kernel drops further
/// attempts to connect.
fn full_queue(address: SocketAddr) -> io::Result<(Socket, Vec<Socket>)> {
    let listener = bind(address)?;
    listener.listen(0)?;
    let connections = (0..QUEUE_FILLERS).map(|_| {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        // The connections that find the queue full stay in progress.
        let _ = socket.connect(&address.into());
        Ok(socket)
    });
    let connections = connections.collect::<io::Result<_>>()?;
    Ok((listener, connections))
}

impl Shared {
    fn listen(&self, status: ListenerState) -> Option<Arc<TcpListener>> {
        let listener = listen(&self.runtime, self.address, status.backlog());
        listener.ok().map(Arc::new)
    }

    /// The listening socket and the pause before the next connection; opens a socket if the listener is open and has none.
    /// None if that fails.
    fn listener(&self) -> Option<(Arc<TcpListener>, Option<Duration>)> {
        let state = &mut *lock(&self.state);
        if state.status.is_listening() && state.listener.is_none() {
            state.listener = self.listen(state.status);
        }
        let listener = state.listener.clone()?;
        Some((listener, state.status.pause()))
    }
}

/// Accepts connections until the task is aborted.
async fn accept_connections(shared: Arc<Shared>, mut accept: impl FnMut(TcpStream)) {
    loop {
        let changed = shared.changed.notified();
        let Some((listener, pause)) = shared.listener() else {
            // A closed listener waits to be opened. An open one could not bind the port and tries again after the pause.
            let _ = tokio::time::timeout(RETRY_PAUSE * 10, changed).await;
            continue;
        };
        let accepted = async {
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
            listener.accept().await
        };
        tokio::select! {
            result = accepted => match result {
                Ok((stream, _)) => accept(stream),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            },
            () = changed => {}
        }
    }
}

/// Makes a connection end with a reset instead of an orderly close.
///
/// The reset is sent when the last handle is dropped; a blocked reader wakes at once.
pub(crate) fn reset(stream: &impl AsFd) {
    let socket = SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Read);
}
