//! A TCP link with faults: delay, loss of a direction, cuts, refusal, resets, limited bandwidth.
//!
//! Each direction of a connection has a reader, which stamps chunks with the time they are due,
//! and a writer, which sends them then: a delay does not lower the throughput, up to
//! [`QUEUE`] chunks under way. Both are tasks, as a link in front of a busy host has thousands. While a direction is a black hole its bytes are held and arrive
//! after it ends, as retransmission would have it; a new connection is accepted all the same,
//! since the kernel does that. When the far end refuses, the link refuses as well, until the far
//! end is back; the connection that finds it out is reset.
//!
//! Connections from one source address can have a fault and a count of bytes of their own, so that
//! one link shows the distances from many places.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::watch;

use crate::http::{Reply, Request, Response, Server};
use crate::listen::{self, Gate, Listener};
use crate::{lock, Error};

/// Bytes read at once.
const CHUNK: usize = 16 << 10;
/// Chunks under way in one direction of a connection.
const QUEUE: usize = 256;
const MAX_CONNECTIONS: usize = 1024;
const CONTROL_CONNECTIONS: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between tries to reach a far end that refused.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// What one direction does to the bytes. The default is to pass them on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// Time under way, in microseconds.
    pub delay_us: u64,
    /// Nothing arrives while it lasts.
    pub black_hole: bool,
    /// The connection is cut after this many bytes since the fault was set.
    pub cut_after: Option<u64>,
    /// Bandwidth shared by all connections, in bytes per second; 0 is no limit.
    pub bytes_per_s: u64,
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accept {
    /// They are joined to the far end.
    #[default]
    Join,
    /// They are refused.
    Refuse,
    /// They are accepted and reset.
    Reset,
}

/// What a link does wrong. The default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Bytes from the connecting side to the far end.
    pub forth: Flow,
    /// Bytes from the far end back.
    pub back: Flow,
    /// What becomes of new connections.
    pub accept: Accept,
    /// Resets every connection that is open when the fault is set.
    pub reset_open: bool,
}

impl Fault {
    /// A sound link of that delay each way.
    pub fn delay(delay: Duration) -> Self {
        let flow = Flow {
            delay_us: delay.as_micros() as u64,
            ..Flow::default()
        };
        Self {
            forth: flow,
            back: flow,
            ..Self::default()
        }
    }

    /// The same with nothing passing either way.
    pub fn with_black_hole(mut self) -> Self {
        self.forth.black_hole = true;
        self.back.black_hole = true;
        self
    }
}

#[derive(Clone, Copy)]
enum Direction {
    Forth = 0,
    Back = 1,
}

/// The two joined streams: the near one and the far one.
struct Connection {
    near: TcpStream,
    far: TcpStream,
    reset: AtomicBool,
}

impl Connection {
    /// The stream a direction reads and the one it writes.
    fn streams(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::Forth => (&self.near, &self.far),
            Direction::Back => (&self.far, &self.near),
        }
    }

    fn cut(&self) {
        let _ = SockRef::from(&self.near).shutdown(Shutdown::Both);
        let _ = SockRef::from(&self.far).shutdown(Shutdown::Both);
    }

    /// Resets both sides; the resets go out when the tasks have let go.
    fn reset(&self) {
        self.reset.store(true, Ordering::Relaxed);
        listen::reset(&self.near);
        listen::reset(&self.far);
    }
}

/// What a reader hands to its writer.
enum Piece {
    Bytes(Vec<u8>),
    End,
    Reset,
}

type Due = (Instant, Piece);

struct State {
    fault: Fault,
    /// Rises with each change of the fault.
    generation: u64,
    /// When each direction has sent what it was given so far.
    free: [Option<Instant>; 2],
    connections: BTreeMap<u64, Arc<Connection>>,
    /// The far end refused and is being probed.
    far_refuses: bool,
    bytes: [u64; 2],
    stopped: bool,
}

struct Shared {
    to: SocketAddr,
    keep_source: AtomicBool,
    state: Mutex<State>,
    /// Told each change of the state that a writer may wait for.
    changed: watch::Sender<()>,
    gate: OnceLock<Box<dyn Fn(Gate) + Send + Sync>>,
}

/// What the connections from some source addresses meet, in place of the link's own fault.
type Paths = Arc<Mutex<BTreeMap<IpAddr, Arc<Shared>>>>;

/// A running link; it stops when dropped.
pub struct Link {
    shared: Arc<Shared>,
    paths: Paths,
    listener: Listener,
    control: Option<Server>,
}

impl Link {
    /// Starts a sound link from `listen` (port 0 takes a free one) to `to`.
    pub fn new(listen: SocketAddr, to: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::new(Shared::new(to));
        let paths = Paths::default();
        let (inner, known) = (Arc::clone(&shared), Arc::clone(&paths));
        let mut next = 0;
        let listener = Listener::new(listen, move |stream| {
            next += 1;
            let path = stream.peer_addr().ok();
            let path = path.and_then(|from| lock(&known).get(&from.ip()).cloned());
            open(path.as_ref().unwrap_or(&inner), next, stream);
        })?;
        let _ = shared.gate.set(Box::new(listener.setter()));
        Ok(Self {
            shared,
            paths,
            listener,
            control: None,
        })
    }

    /// Connects to the far end from the source address of the connecting side (of this machine),
    /// so that the far end sees who calls.
    pub fn with_source(self) -> Self {
        self.shared.keep_source.store(true, Ordering::Relaxed);
        self
    }

    /// Takes `POST /standin/fault` at a second address, which no fault reaches.
    pub fn with_control(mut self, listen: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::clone(&self.shared);
        let handler = move |request: Request| {
            if (request.method.as_str(), request.path.as_str()) != ("POST", "/standin/fault") {
                return Reply::from(Response::error(404, "no such call"));
            }
            match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    shared.set_fault(fault);
                    Response::json(200, &fault).into()
                }
                Err(error) => Response::error(400, &error.to_string()).into(),
            }
        };
        self.control = Some(Server::new(listen, CONTROL_CONNECTIONS, handler)?);
        Ok(self)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Where it takes control calls, if there is a second address.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Replaces the faults shown, for open connections too.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Replaces the faults shown to connections from `source`, which from now on meet these and
    /// not the link's own. Refusal is the link's alone; [`Accept::Reset`] works here as well.
    pub fn set_fault_from(&self, source: IpAddr, fault: Fault) {
        let mut paths = lock(&self.paths);
        let path = paths
            .entry(source)
            .or_insert_with(|| Arc::new(Shared::new(self.shared.to)));
        path.set_fault(fault);
    }

    /// Bytes passed on so far, forth and back; those of sources with faults of their own are not
    /// among them.
    pub fn bytes(&self) -> [u64; 2] {
        lock(&self.shared.state).bytes
    }

    /// Bytes passed on so far, forth and back, for a source that has faults of its own.
    pub fn bytes_from(&self, source: IpAddr) -> [u64; 2] {
        let path = lock(&self.paths).get(&source).cloned();
        path.map_or([0; 2], |path| lock(&path.state).bytes)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop();
        lock(&self.paths).values().for_each(|path| path.stop());
    }
}

impl Shared {
    fn new(to: SocketAddr) -> Self {
        let state = State {
            fault: Fault::default(),
            generation: 0,
            free: [None; 2],
            connections: BTreeMap::new(),
            far_refuses: false,
            bytes: [0; 2],
            stopped: false,
        };
        Self {
            to,
            keep_source: AtomicBool::new(false),
            state: Mutex::new(state),
            changed: watch::Sender::new(()),
            gate: OnceLock::new(),
        }
    }

    fn stop(&self) {
        let mut state = lock(&self.state);
        state.stopped = true;
        state
            .connections
            .values()
            .for_each(|connection| connection.cut());
        drop(state);
        self.changed.send_replace(());
    }

    fn set_fault(&self, fault: Fault) {
        let mut state = lock(&self.state);
        state.fault = fault;
        state.generation += 1;
        if fault.reset_open {
            state
                .connections
                .values()
                .for_each(|connection| connection.reset());
        }
        drop(state);
        self.changed.send_replace(());
        self.regate();
    }

    /// Refuses connections if the fault says so or the far end does.
    fn regate(&self) {
        let state = lock(&self.state);
        let closed = state.far_refuses || state.fault.accept == Accept::Refuse;
        if let Some(gate) = self.gate.get() {
            gate(if closed { Gate::Closed } else { Gate::Open });
        }
    }

    /// Connects to the far end; if it refuses, refuses too until it is back.
    async fn connect(&self, near: &TcpStream) -> io::Result<TcpStream> {
        let keeps = self.keep_source.load(Ordering::Relaxed);
        let source = near.peer_addr().ok().filter(|_| keeps);
        let result = connect(source.map(|from| from.ip()), self.to).await;
        if is_refused(&result) && self.note_refusal() {
            self.regate();
            while is_refused(&connect(None, self.to).await) && !lock(&self.state).stopped {
                tokio::time::sleep(PROBE_PAUSE).await;
            }
            lock(&self.state).far_refuses = false;
            self.regate();
        }
        result
    }

    /// Whether this is the first connection that the far end refused.
    fn note_refusal(&self) -> bool {
        let mut state = lock(&self.state);
        !std::mem::replace(&mut state.far_refuses, true)
    }

    /// When bytes read now arrive.
    fn due(&self, direction: Direction, length: usize) -> Instant {
        let mut state = lock(&self.state);
        let flow = state.fault.flow(direction);
        let now = Instant::now();
        let free = &mut state.free[direction as usize];
        let mut sent = free.map_or(now, |free| free.max(now));
        if flow.bytes_per_s > 0 {
            sent += Duration::from_secs_f64(length as f64 / flow.bytes_per_s as f64);
        }
        *free = Some(sent);
        sent + Duration::from_micros(flow.delay_us)
    }

    /// Waits until a piece may arrive; answers the cut in force and the fault's generation.
    async fn arrive(&self, direction: Direction, due: Instant) -> io::Result<(Option<u64>, u64)> {
        let mut changes = self.changed.subscribe();
        loop {
            let (flow, generation) = {
                let state = lock(&self.state);
                if state.stopped {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                (state.fault.flow(direction), state.generation)
            };
            if due <= Instant::now() && !flow.black_hole {
                return Ok((flow.cut_after, generation));
            }
            let wait = async {
                if flow.black_hole {
                    std::future::pending().await
                } else {
                    tokio::time::sleep_until(due.into()).await
                }
            };
            tokio::select! {
                () = wait => {}
                _ = changes.changed() => {}
            }
        }
    }
}

impl Fault {
    fn flow(&self, direction: Direction) -> Flow {
        match direction {
            Direction::Forth => self.forth,
            Direction::Back => self.back,
        }
    }
}

fn is_refused(result: &io::Result<TcpStream>) -> bool {
    let error = result.as_ref().err();
    error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn connect(source: Option<IpAddr>, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    match tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(to)).await {
        Ok(connected) => connected,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Takes a new connection.
fn open(shared: &Arc<Shared>, id: u64, near: TcpStream) {
    let state = lock(&shared.state);
    let full = state.connections.len() >= MAX_CONNECTIONS;
    if full || state.fault.accept == Accept::Reset {
        listen::reset(&near);
        return;
    }
    drop(state);
    let shared = Arc::clone(shared);
    // A connection that can't be joined ends, which the connecting side sees.
    tokio::spawn(async move { drop(join(&shared, id, near).await) });
}

/// Joins a connection to the far end until both directions have ended.
async fn join(shared: &Arc<Shared>, id: u64, near: TcpStream) -> io::Result<()> {
    let far = match shared.connect(&near).await {
        Ok(far) => far,
        Err(error) => {
            listen::reset(&near);
            return Err(error);
        }
    };
    far.set_nodelay(true)?;
    let connection = Arc::new(Connection {
        near,
        far,
        reset: AtomicBool::new(false),
    });
    lock(&shared.state)
        .connections
        .insert(id, Arc::clone(&connection));
    tokio::join!(
        carry(shared, &connection, Direction::Forth),
        carry(shared, &connection, Direction::Back)
    );
    lock(&shared.state).connections.remove(&id);
    Ok(())
}

/// Carries one direction until it has ended.
async fn carry(shared: &Shared, connection: &Connection, direction: Direction) {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let writer = async {
        if write(shared, connection, direction, receiver)
            .await
            .is_err()
        {
            connection.cut();
        }
    };
    tokio::join!(read(shared, connection, direction, sender), writer);
}

async fn read(shared: &Shared, connection: &Connection, direction: Direction, to: Sender<Due>) {
    let (from, _) = connection.streams(direction);
    loop {
        let piece = match receive(from).await {
            Ok(bytes) if bytes.is_empty() => Piece::End,
            Ok(bytes) => Piece::Bytes(bytes),
            Err(_) => Piece::Reset,
        };
        let length = if let Piece::Bytes(bytes) = &piece {
            bytes.len()
        } else {
            0
        };
        let due = shared.due(direction, length);
        if to.send((due, piece)).await.is_err() || length == 0 {
            return;
        }
    }
}

/// The next bytes; none at the end.
async fn receive(from: &TcpStream) -> io::Result<Vec<u8>> {
    loop {
        from.readable().await?;
        let mut buffer = Vec::with_capacity(CHUNK);
        match from.try_read_buf(&mut buffer) {
            Ok(_) => {
                // Many small pieces may be under way.
                buffer.shrink_to_fit();
                return Ok(buffer);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

async fn write(
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
    mut from: Receiver<Due>,
) -> io::Result<()> {
    let (_, to) = connection.streams(direction);
    let mut sent = 0;
    let mut seen = 0;
    while let Some((due, piece)) = from.recv().await {
        let (cut_after, generation) = shared.arrive(direction, due).await?;
        if generation != seen {
            seen = generation;
            sent = 0;
        }
        match piece {
            Piece::Bytes(bytes) => {
                let room = cut_after.map_or(u64::MAX, |limit| limit - sent);
                let passed = (bytes.len() as u64).min(room) as usize;
                let all = send(to, &bytes[..passed]);
                tokio::time::timeout(WRITE_TIMEOUT, all).await??;
                sent += passed as u64;
                lock(&shared.state).bytes[direction as usize] += passed as u64;
                if cut_after == Some(sent) {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
            Piece::End if connection.reset.load(Ordering::Relaxed) => return Ok(()),
            Piece::End => return SockRef::from(to).shutdown(Shutdown::Write),
            Piece::Reset => {
                connection.reset();
                return Ok(());
            }
        }
    }
    Ok(())
}

async fn send(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
