//! Connecting, accepting and the handshake.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message as Packet};

use super::auth::{self, Side, Transcript};
use super::config::Listen;
use super::count::Count;
use super::frame::{self, Decoded, Frame, Hello};
use super::link::{self, Link, Socket};
use super::mesh::Core;

/// Unsent bytes that the system keeps for a socket; what is in there goes before later control frames.
const UNSENT: u32 = 32 << 10;

/// Read and write buffer of a link.
const BUFFER: usize = 32 << 10;

/// Pause after `accept` failed, e.g. for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A handshake did not lead to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Failure {
    #[error("connection refused or lost")]
    Connection,
    #[error("no answer in time")]
    Slow,
    #[error("not the frames expected")]
    Handshake,
    #[error("protocol version not spoken")]
    Version,
    #[error("another host")]
    Host,
    #[error("wrong proof")]
    Proof,
    #[error("an older incarnation")]
    Incarnation,
    #[error("the mesh is closing")]
    Closing,
}

impl Failure {
    fn count(self, core: &Core) {
        self.counter(core).one();
    }

    fn counter(self, core: &Core) -> &Count {
        let tally = &core.tally;
        match self {
            Failure::Connection => &tally.connect_failed,
            Failure::Slow => &tally.refused_slow,
            Failure::Handshake => &tally.refused_handshake,
            Failure::Version => &tally.refused_version,
            Failure::Host => &tally.refused_host,
            Failure::Proof => &tally.refused_proof,
            Failure::Incarnation => &tally.refused_incarnation,
            Failure::Closing => &tally.refused_closing,
        }
    }
}

/// Accepts connections until the mesh closes.
pub(crate) async fn accept_all(core: Arc<Core>, listener: TcpListener) {
    let pending = Arc::new(Semaphore::new(core.config.pending));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("peer: cannot accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = pending.clone().try_acquire_owned() else {
            core.tally.refused_pending.one();
            continue;
        };
        let core = core.clone();
        tokio::spawn(async move {
            let accepted = accept(&core, stream).await;
            drop(permit);
            match accepted {
                Ok((link, socket)) => serve(&core, &link, socket).await,
                Err(failure) => {
                    failure.count(&core);
                    spdlog::debug!("peer: refused a connection: {failure}");
                }
            }
        });
    }
}

/// Connects to a host and starts the link's task.
pub(crate) async fn dial(
    core: &Arc<Core>,
    host: &Arc<str>,
    address: SocketAddr,
) -> Result<(), Failure> {
    let dialled = connect(core, host, address).await;
    let (link, socket) = dialled.inspect_err(|failure| failure.count(core))?;
    let core = core.clone();
    tokio::spawn(async move { serve(&core, &link, socket).await });
    Ok(())
}

/// Carries a link until it ends.
async fn serve(core: &Arc<Core>, link: &Arc<Link>, socket: Socket) {
    let reason = link.run(socket).await;
    core.on_ended(link, reason);
}

async fn connect(
    core: &Arc<Core>,
    host: &Arc<str>,
    address: SocketAddr,
) -> Result<(Arc<Link>, Socket), Failure> {
    let opening = open(&core.config.listen, address);
    let connecting = tokio::time::timeout(core.config.connect, opening);
    let stream = connecting
        .await
        .map_err(|_| Failure::Slow)?
        .map_err(|_| Failure::Connection)?;
    let handshake = tokio::time::timeout(core.config.handshake, greet(core, host, stream));
    let (link, socket) = handshake.await.map_err(|_| Failure::Slow)??;
    register(core, link, socket)
}

/// Opens a connection, from the IP address that links are accepted at if that is a single one.
async fn open(listen: &Listen, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Listen::Address(own) = listen else {
        return TcpStream::connect(address).await;
    };
    if own.ip().is_unspecified() || own.is_ipv4() != address.is_ipv4() {
        return TcpStream::connect(address).await;
    }
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(own.ip(), 0))?;
    socket.connect(address).await
}

async fn accept(core: &Arc<Core>, stream: TcpStream) -> Result<(Arc<Link>, Socket), Failure> {
    let handshake = tokio::time::timeout(core.config.handshake, answer(core, stream));
    let (link, socket) = handshake.await.map_err(|_| Failure::Slow)??;
    register(core, link, socket)
}

fn register(core: &Arc<Core>, link: Link, socket: Socket) -> Result<(Arc<Link>, Socket), Failure> {
    let link = Arc::new(link);
    core.on_linked(&link)?;
    Ok((link, socket))
}

/// The dialling side of the handshake.
async fn greet(
    core: &Arc<Core>,
    host: &Arc<str>,
    stream: TcpStream,
) -> Result<(Link, Socket), Failure> {
    tune(&stream).map_err(|_| Failure::Connection)?;
    let upgrade = tokio_tungstenite::client_async_with_config(
        "ws://peer.invalid/",
        stream,
        Some(limits(core)),
    );
    let (mut socket, _) = upgrade.await.map_err(|error| refused(core, &error))?;
    let own = hello(core, Some(host));
    send(&mut socket, own.clone()).await?;
    let (theirs, hello) = receive_hello(core, &mut socket).await?;
    if hello.host != **host {
        return Err(Failure::Host);
    }
    let transcript = Transcript::new(core.config.secret.clone(), &own, &theirs);
    send_proof(&mut socket, &transcript, Side::Dialling).await?;
    check_proof(core, &mut socket, &transcript, Side::Accepting).await?;
    receive_welcome(core, &mut socket).await?;
    Ok((Link::new(core.clone(), Side::Dialling, &hello), socket))
}

/// The accepting side of the handshake.
async fn answer(core: &Arc<Core>, stream: TcpStream) -> Result<(Link, Socket), Failure> {
    tune(&stream).map_err(|_| Failure::Connection)?;
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(limits(core)));
    let mut socket = upgrade.await.map_err(|error| refused(core, &error))?;
    let (theirs, hello) = receive_hello(core, &mut socket).await?;
    let is_for_us = hello.to.as_deref() == Some(&*core.config.host);
    if !is_for_us || hello.host == *core.config.host {
        return Err(Failure::Host);
    }
    let own = self::hello(core, None);
    send(&mut socket, own.clone()).await?;
    let transcript = Transcript::new(core.config.secret.clone(), &theirs, &own);
    check_proof(core, &mut socket, &transcript, Side::Dialling).await?;
    send_proof(&mut socket, &transcript, Side::Accepting).await?;
    Ok((Link::new(core.clone(), Side::Accepting, &hello), socket))
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_notsent_lowat(UNSENT)
}

fn limits(core: &Core) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_message_size(Some(core.config.frame))
        .max_frame_size(Some(core.config.frame))
}

fn hello(core: &Core, to: Option<&Arc<str>>) -> Bytes {
    let config = &core.config;
    frame::encode(&Frame::Hello(Hello {
        version: auth::VERSION,
        host: config.host.to_string(),
        incarnation: config.incarnation,
        zone: config.zone.to_string(),
        to: to.map(|host| host.to_string()),
        nonce: auth::hex(&rand::random::<[u8; auth::NONCE_BYTES]>()),
        window: config.window as u64,
        frame: config.frame as u64,
    }))
}

async fn send(socket: &mut Socket, bytes: Bytes) -> Result<(), Failure> {
    socket
        .send(Packet::Binary(bytes))
        .await
        .map_err(|_| Failure::Connection)
}

async fn send_proof(
    socket: &mut Socket,
    transcript: &Transcript,
    side: Side,
) -> Result<(), Failure> {
    let mac = transcript.proof(side).ok_or(Failure::Proof)?;
    send(socket, frame::encode(&Frame::Proof(frame::Proof { mac }))).await
}

/// The next binary message.
async fn receive(core: &Core, socket: &mut Socket) -> Result<Bytes, Failure> {
    loop {
        match socket.next().await {
            Some(Ok(Packet::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Packet::Ping(_) | Packet::Pong(_))) => {}
            Some(Ok(Packet::Close(_))) | None => return Err(Failure::Connection),
            Some(Ok(_)) => return Err(Failure::Handshake),
            Some(Err(error)) => return Err(refused(core, &error)),
        }
    }
}

async fn receive_hello(core: &Core, socket: &mut Socket) -> Result<(Bytes, Hello), Failure> {
    let bytes = receive(core, socket).await?;
    let Ok(Decoded::Known(Frame::Hello(hello), _)) = frame::decode(&bytes) else {
        return Err(Failure::Handshake);
    };
    if hello.version < auth::OLDEST_VERSION {
        return Err(Failure::Version);
    }
    if hello.nonce.len() != 2 * auth::NONCE_BYTES {
        return Err(Failure::Handshake);
    }
    Ok((bytes, hello))
}

/// Waits for the first sign of life: until then the other side may still refuse the link, as it does
/// while it closes.
async fn receive_welcome(core: &Core, socket: &mut Socket) -> Result<(), Failure> {
    match socket.next().await {
        Some(Ok(Packet::Pong(_))) => Ok(()),
        Some(Ok(Packet::Close(_))) | None => Err(Failure::Connection),
        Some(Ok(_)) => Err(Failure::Handshake),
        Some(Err(error)) => Err(refused(core, &error)),
    }
}

async fn check_proof(
    core: &Core,
    socket: &mut Socket,
    transcript: &Transcript,
    side: Side,
) -> Result<(), Failure> {
    let bytes = receive(core, socket).await?;
    let Ok(Decoded::Known(Frame::Proof(proof), _)) = frame::decode(&bytes) else {
        return Err(Failure::Handshake);
    };
    match transcript.is_proven(side, &proof.mac) {
        true => Ok(()),
        false => Err(Failure::Proof),
    }
}

/// How an error of the connection counts before it is authenticated.
fn refused(core: &Core, error: &tungstenite::Error) -> Failure {
    match error {
        tungstenite::Error::Io(_)
        | tungstenite::Error::ConnectionClosed
        | tungstenite::Error::Protocol(
            tungstenite::error::ProtocolError::HandshakeIncomplete
            | tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
        ) => Failure::Connection,
        error => {
            link::count_broken(core, error);
            Failure::Handshake
        }
    }
}

/// Keeps a link with a host while one is wanted.
pub(crate) async fn keep(core: Arc<Core>, host: Arc<str>) {
    let (shortest, longest) = core.config.backoff;
    let mut backoff = shortest;
    loop {
        match core.next_step(&host) {
            Step::Stop => return,
            Step::Wait(changed) => {
                changed.notified().await;
                core.spread(&host).await;
            }
            Step::Dial(address) => match dial(&core, &host, address).await {
                Ok(()) => backoff = shortest,
                Err(failure) => {
                    spdlog::debug!("peer: cannot link {host}: {failure}");
                    let pause = jitter(backoff);
                    core.on_dial_failed(&host, pause);
                    tokio::time::sleep(pause).await;
                    backoff = (backoff * 2).min(longest);
                }
            },
        }
    }
}

/// What the keeper of a link does next.
pub(crate) enum Step {
    /// Nobody wants the link any more.
    Stop,
    /// There is a link: wait for a change.
    Wait(Arc<tokio::sync::Notify>),
    /// Connect.
    Dial(SocketAddr),
}

/// A random time from a half to one and a half of the given one.
pub(crate) fn jitter(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + rand::random::<f64>())
}
