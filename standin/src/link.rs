//! A TCP proxy that simulates a faulty link: delay, loss of a direction, broken connections, refusal,
//! resets, limited bandwidth.
//!
//! Each direction of a connection has a reader, which assigns chunks the time at which they are due,
//! and a writer, which sends them at that time. A delay does not lower the throughput, as long as no
//! more than [`MAX_CHUNKS_IN_FLIGHT`] chunks are in flight. Both are tasks instead of threads, since a
//! link in front of a busy host has thousands of them.
//!
//! While a direction is a black hole, its bytes are held; they arrive after it ends, as they would
//! with TCP retransmission, also if their sender has closed the connection. If it has reset the
//! connection they are lost, since the kernel then discards what it would retransmit. New connections are accepted meanwhile, since the kernel accepts them
//! too. When the far end refuses a connection, the link resets the connection that it was for and
//! refuses new ones until the far end accepts again.
//!
//! Connections from a source address can have their own fault and byte count, so that one link can
//! simulate the distances from many locations.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::watch;

use crate::http::{Reply, Request, Response, Server};
use crate::listen::{self, Listener, ListenerState};
use crate::{lock, Error};

/// Limit of the bytes read at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Limit of the chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
const MAX_CONNECTIONS: usize = 1024;
const MAX_CONTROL_CONNECTIONS: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts to connect to a far end that refused.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Maximum retransmissions of a chunk.
const MAX_RETRANSMISSIONS: u32 = 6;
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// How the bytes of one direction are forwarded; without any fault by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// Latency, in microseconds.
    pub delay_us: u64,
    /// Holds all bytes back while it is set.
    pub black_hole: bool,
    /// Closes the connection once this many bytes were forwarded since the fault was set.
    pub cut_after: Option<u64>,
    /// Bandwidth shared by all connections, in bytes per second; 0 for unlimited.
    pub bytes_per_s: u64,
    /// Of 1,000 chunks so many are lost. A lost chunk is sent again after [`Flow::retransmit_ms`], after twice that if it is lost once
    /// more, and so on; the chunks behind it on the same connection wait.
    pub lost_per_1000: u16,
    /// Retransmission timeout, in milliseconds.
    pub retransmit_ms: u32,
}

/// How a link handles new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accept {
    /// They are connected to the far end.
    #[default]
    Join,
    /// They are refused.
    Refuse,
    /// Attempts to connect get no reply.
    Ignore,
    /// They are connected to the far end one after the other, each after so many milliseconds. Attempts of others to connect get
    /// no reply.
    Late(u32),
    /// They are accepted and reset.
    Reset,
}

/// The faults of a link; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The direction from the connecting side to the far end.
    pub forth: Flow,
    /// The direction from the far end to the connecting side.
    pub back: Flow,
    /// How new connections are handled.
    pub accept: Accept,
    /// Resets all connections that are open when the fault is set.
    pub reset_open: bool,
}

impl Fault {
    /// A delay in each direction and no other fault.
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

    /// Loses chunks in both directions.
    pub fn with_loss(mut self, lost_per_1000: u16, retransmit: Duration) -> Self {
        for flow in [&mut self.forth, &mut self.back] {
            flow.lost_per_1000 = lost_per_1000;
            flow.retransmit_ms = retransmit.as_millis() as u32;
        }
        self
    }

    /// Makes both directions black holes.
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

/// The streams to both sides: to the connecting side (near) and to the far end.
struct Connection {
    near: TcpStream,
    far: TcpStream,
    is_reset: AtomicBool,
    /// Whether the sender of each direction has reset the connection.
    reset_by_sender: [AtomicBool; 2],
}

impl Connection {
    /// The streams that a direction reads from and writes to.
    fn streams(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::Forth => (&self.near, &self.far),
            Direction::Back => (&self.far, &self.near),
        }
    }

    fn close(&self) {
        let _ = SockRef::from(&self.near).shutdown(Shutdown::Both);
        let _ = SockRef::from(&self.far).shutdown(Shutdown::Both);
    }

    /// Resets both sides; the resets are sent when the tasks have dropped the connection.
    fn reset(&self) {
        self.is_reset.store(true, Ordering::Relaxed);
        listen::reset(&self.near);
        listen::reset(&self.far);
    }
}

/// The result of a read, which the reader of a direction passes to its writer.
enum Chunk {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// A chunk and the time at which it is due.
type ScheduledChunk = (Instant, Chunk);

struct State {
    fault: Fault,
    /// Incremented with each change of the fault.
    generation: u64,
    /// When each direction will have sent all bytes read so far at its bandwidth.
    sent_at: [Option<Instant>; 2],
    connections: BTreeMap<u64, Arc<Connection>>,
    /// Whether the far end refused a connection and has not accepted one since.
    far_refuses: bool,
    /// Bytes forwarded so far in each direction.
    bytes: [u64; 2],
    /// Decides which chunks are lost.
    rng: Pcg64Mcg,
    is_stopped: bool,
}

impl State {
    /// How long the retransmissions of a chunk take.
    fn retransmission_time(&mut self, flow: Flow) -> Duration {
        let first = Duration::from_millis(flow.retransmit_ms.into());
        let mut time = Duration::ZERO;
        for doublings in 0..MAX_RETRANSMISSIONS {
            if !self
                .rng
                .random_ratio(flow.lost_per_1000.min(1000).into(), 1000)
            {
                break;
            }
            time += first * (1 << doublings);
        }
        time
    }
}

struct Shared {
    far_address: SocketAddr,
    keep_source: AtomicBool,
    state: Mutex<State>,
    /// Notifies writers of changes of the fault and of the stop.
    changed: watch::Sender<()>,
    set_listener_state: OnceLock<Box<dyn Fn(ListenerState) + Send + Sync>>,
}

/// The state of connections from source addresses that have their own fault.
type SourcePaths = Arc<Mutex<BTreeMap<IpAddr, Arc<Shared>>>>;

/// A running link; it stops when dropped.
pub struct Link {
    shared: Arc<Shared>,
    source_paths: SourcePaths,
    listener: Listener,
    /// Number of connections that were accepted so far.
    accepted: Arc<AtomicU64>,
    control: Option<Server>,
}

impl Link {
    /// Starts a link without faults from `listen` (with port 0 from a free port) to `far_address`.
    pub fn new(listen: SocketAddr, far_address: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::new(Shared::new(far_address));
        let source_paths = SourcePaths::default();
        let (inner, inner_paths) = (Arc::clone(&shared), Arc::clone(&source_paths));
        let accepted = Arc::<AtomicU64>::default();
        let last_id = Arc::clone(&accepted);
        let listener = Listener::new(listen, move |stream| {
            let last_id = last_id.fetch_add(1, Ordering::Relaxed) + 1;
            let path = stream.peer_addr().ok();
            let path = path.and_then(|from| lock(&inner_paths).get(&from.ip()).cloned());
            start_connection(path.as_ref().unwrap_or(&inner), last_id, stream);
        })?;
        let _ = shared
            .set_listener_state
            .set(Box::new(listener.state_setter()));
        Ok(Self {
            shared,
            source_paths,
            listener,
            accepted,
            control: None,
        })
    }

    /// Connects to the far end from the source address of the connecting side (an address of this
    /// machine), so that the far end sees the client's address.
    pub fn with_source(self) -> Self {
        self.shared.keep_source.store(true, Ordering::Relaxed);
        self
    }

    /// Loses other chunks than a link with another seed.
    pub fn with_seed(self, seed: u64) -> Self {
        lock(&self.shared.state).rng = Pcg64Mcg::seed_from_u64(seed);
        self
    }

    /// Serves `POST /standin/fault` at a second address, which faults do not affect.
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
        self.control = Some(Server::new(listen, MAX_CONTROL_CONNECTIONS, handler)?);
        Ok(self)
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// The address that it leads to.
    pub fn far_address(&self) -> SocketAddr {
        self.shared.far_address
    }

    /// The second address, for control calls, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Replaces the faults in force, for open connections too.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.set_fault(fault);
    }

    /// Replaces the faults of connections from `source`, to which the link's own faults no longer
    /// apply. [`Accept::Refuse`], [`Accept::Ignore`] and [`Accept::Late`] have no effect here, since the listener is
    /// shared; [`Accept::Reset`] has.
    pub fn set_fault_from(&self, source: IpAddr, fault: Fault) {
        let mut paths = lock(&self.source_paths);
        let path = paths
            .entry(source)
            .or_insert_with(|| Arc::new(Shared::new(self.shared.far_address)));
        path.set_fault(fault);
    }

    /// Number of connections that were accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Bytes forwarded so far in each direction, forth and back, without those of sources that have
    /// their own faults.
    pub fn bytes(&self) -> [u64; 2] {
        lock(&self.shared.state).bytes
    }

    /// Bytes forwarded so far in each direction, forth and back, for a source that has its own faults.
    pub fn bytes_from(&self, source: IpAddr) -> [u64; 2] {
        let path = lock(&self.source_paths).get(&source).cloned();
        path.map_or([0; 2], |path| lock(&path.state).bytes)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop();
        lock(&self.source_paths)
            .values()
            .for_each(|path| path.stop());
    }
}

impl Shared {
    fn new(far_address: SocketAddr) -> Self {
        let state = State {
            fault: Fault::default(),
            generation: 0,
            sent_at: [None; 2],
            connections: BTreeMap::new(),
            far_refuses: false,
            bytes: [0; 2],
            rng: Pcg64Mcg::seed_from_u64(0),
            is_stopped: false,
        };
        Self {
            far_address,
            keep_source: AtomicBool::new(false),
            state: Mutex::new(state),
            changed: watch::Sender::new(()),
            set_listener_state: OnceLock::new(),
        }
    }

    fn stop(&self) {
        let mut state = lock(&self.state);
        state.is_stopped = true;
        state
            .connections
            .values()
            .for_each(|connection| connection.close());
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
        self.update_listener();
    }

    /// Refuses or ignores new connections if the fault requires it or the far end refuses them.
    fn update_listener(&self) {
        let state = lock(&self.state);
        let listener_state = match state.fault.accept {
            Accept::Ignore => ListenerState::Unreachable,
            Accept::Refuse => ListenerState::Closed,
            Accept::Late(pause_ms) => ListenerState::Late(Duration::from_millis(pause_ms.into())),
            _ if state.far_refuses => ListenerState::Closed,
            _ => ListenerState::Open,
        };
        if let Some(set_listener_state) = self.set_listener_state.get() {
            set_listener_state(listener_state);
        }
    }

    /// Connects to the far end. If that refuses, closes the listener until the far end accepts a
    /// connection again.
    async fn connect(&self, near: &TcpStream) -> io::Result<TcpStream> {
        let keep_source = self.keep_source.load(Ordering::Relaxed);
        let source = near.peer_addr().ok().filter(|_| keep_source);
        let result = connect(source.map(|from| from.ip()), self.far_address).await;
        if is_refused(&result) && self.set_far_refuses() {
            self.update_listener();
            while is_refused(&connect(None, self.far_address).await)
                && !lock(&self.state).is_stopped
            {
                tokio::time::sleep(PROBE_PAUSE).await;
            }
            lock(&self.state).far_refuses = false;
            self.update_listener();
        }
        result
    }

    /// Records that the far end refuses connections; returns whether this was not known before.
    fn set_far_refuses(&self) -> bool {
        let mut state = lock(&self.state);
        !std::mem::replace(&mut state.far_refuses, true)
    }

    /// Returns the time at which bytes that are read now are due, and counts them against the bandwidth.
    fn schedule(&self, direction: Direction, length: usize) -> Instant {
        let mut state = lock(&self.state);
        let flow = state.fault.flow(direction);
        let now = Instant::now();
        let last_sent_at = &mut state.sent_at[direction as usize];
        let mut sent_at = last_sent_at.map_or(now, |last| last.max(now));
        if flow.bytes_per_s > 0 {
            sent_at += Duration::from_secs_f64(length as f64 / flow.bytes_per_s as f64);
        }
        *last_sent_at = Some(sent_at);
        let retransmission = state.retransmission_time(flow);
        sent_at + Duration::from_micros(flow.delay_us) + retransmission
    }

    /// Waits until a chunk may be sent; returns the flow, the fault's generation and whether a black
    /// hole held the chunk.
    async fn wait_until_due(
        &self,
        direction: Direction,
        due: Instant,
    ) -> io::Result<(Flow, u64, bool)> {
        let mut changes = self.changed.subscribe();
        let mut was_held = false;
        loop {
            let (flow, generation) = {
                let state = lock(&self.state);
                if state.is_stopped {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                (state.fault.flow(direction), state.generation)
            };
            if due <= Instant::now() && !flow.black_hole {
                return Ok((flow, generation, was_held));
            }
            was_held |= flow.black_hole;
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

/// Starts the task of a new connection, or resets the connection.
fn start_connection(shared: &Arc<Shared>, id: u64, near: TcpStream) {
    let state = lock(&shared.state);
    let is_full = state.connections.len() >= MAX_CONNECTIONS;
    if is_full || state.fault.accept == Accept::Reset {
        listen::reset(&near);
        return;
    }
    drop(state);
    let shared = Arc::clone(shared);
    // After an error the connection is dropped, so that the connecting side sees it end.
    tokio::spawn(async move { drop(run_connection(&shared, id, near).await) });
}

/// Connects to the far end and forwards bytes until both directions have ended.
async fn run_connection(shared: &Arc<Shared>, id: u64, near: TcpStream) -> io::Result<()> {
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
        is_reset: AtomicBool::new(false),
        reset_by_sender: Default::default(),
    });
    lock(&shared.state)
        .connections
        .insert(id, Arc::clone(&connection));
    tokio::join!(
        forward(shared, &connection, Direction::Forth),
        forward(shared, &connection, Direction::Back)
    );
    lock(&shared.state).connections.remove(&id);
    Ok(())
}

/// Forwards the bytes of one direction until it has ended.
async fn forward(shared: &Shared, connection: &Connection, direction: Direction) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let writer = async {
        if write_chunks(shared, connection, direction, receiver)
            .await
            .is_err()
        {
            connection.close();
        }
    };
    tokio::join!(read_chunks(shared, connection, direction, sender), writer);
}

/// Reads chunks and passes them to the writer with the times at which they are due.
async fn read_chunks(
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
    writer: Sender<ScheduledChunk>,
) {
    let (from, _) = connection.streams(direction);
    loop {
        let chunk = match receive(from).await {
            Ok(bytes) if bytes.is_empty() => Chunk::End,
            Ok(bytes) => Chunk::Bytes(bytes),
            Err(_) => {
                connection.reset_by_sender[direction as usize].store(true, Ordering::Relaxed);
                Chunk::Reset
            }
        };
        let length = if let Chunk::Bytes(bytes) = &chunk {
            bytes.len()
        } else {
            0
        };
        let due = shared.schedule(direction, length);
        if writer.send((due, chunk)).await.is_err() || length == 0 {
            return;
        }
    }
}

/// Receives the next bytes; none at the end of the stream.
async fn receive(from: &TcpStream) -> io::Result<Vec<u8>> {
    loop {
        from.readable().await?;
        let mut buffer = Vec::with_capacity(MAX_CHUNK_BYTES);
        match from.try_read_buf(&mut buffer) {
            Ok(_) => {
                // Many small chunks may be in flight, each with a buffer of its own.
                buffer.shrink_to_fit();
                return Ok(buffer);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Sends chunks when they are due, until the direction ends or the fault closes the connection.
async fn write_chunks(
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
    mut chunks: Receiver<ScheduledChunk>,
) -> io::Result<()> {
    let (_, to) = connection.streams(direction);
    let mut sent = 0;
    let mut last_generation = 0;
    while let Some((due, chunk)) = chunks.recv().await {
        let (flow, generation, was_held) = shared.wait_until_due(direction, due).await?;
        let reset_by_sender = &connection.reset_by_sender[direction as usize];
        if was_held && reset_by_sender.load(Ordering::Relaxed) {
            connection.reset();
            return Ok(());
        }
        if generation != last_generation {
            last_generation = generation;
            sent = 0;
        }
        match chunk {
            Chunk::Bytes(bytes) => {
                let allowed = flow.cut_after.map_or(u64::MAX, |limit| limit - sent);
                let length = (bytes.len() as u64).min(allowed) as usize;
                let write = send(to, &bytes[..length]);
                tokio::time::timeout(WRITE_TIMEOUT, write).await??;
                sent += length as u64;
                lock(&shared.state).bytes[direction as usize] += length as u64;
                if flow.cut_after == Some(sent) {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
            Chunk::End if connection.is_reset.load(Ordering::Relaxed) => return Ok(()),
            Chunk::End => return SockRef::from(to).shutdown(Shutdown::Write),
            Chunk::Reset => {
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
