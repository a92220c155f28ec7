//! Dialling and accepting links, and their handshake.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message as WsMessage};

use super::auth::{self, Side, Transcript};
use super::config::Listen;
use super::count::Counter;
use super::frame::{self, Decoded, Frame, Hello};
use super::link::{self, Link, Socket};
use super::mesh::Core;

/// Bound on unsent bytes in a socket's kernel buffer. Later control frames queue behind these bytes.
const MAX_UNSENT_BYTES: u32 = 32 << 10;

/// Size of a link's read buffer, and of its write buffer.
const WEBSOCKET_BUFFER_BYTES: usize = 32 << 10;

/// Pause after `accept` failed, e.g. because no file descriptor was free.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a connection did not become a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("connection refused or lost")]
    Connection,
    #[error("connection or handshake timed out")]
    Timeout,
    #[error("unexpected frame in the handshake")]
    UnexpectedFrame,
    #[error("unsupported protocol version")]
    UnsupportedVersion,
    #[error("wrong host name in the hello")]
    WrongHost,
    #[error("wrong proof")]
    WrongProof,
    #[error("a later incarnation of the host is linked")]
    OutdatedIncarnation,
    #[error("the mesh is closing")]
    Closing,
}

impl ConnectError {
    fn count(self, core: &Core) {
        self.counter(core).increment();
    }

    fn counter(self, core: &Core) -> &Counter {
        let counters = &core.counters;
        match self {
            ConnectError::Connection => &counters.connect_failed,
            ConnectError::Timeout => &counters.refused_slow,
            ConnectError::UnexpectedFrame => &counters.refused_handshake,
            ConnectError::UnsupportedVersion => &counters.refused_version,
            ConnectError::WrongHost => &counters.refused_host,
            ConnectError::WrongProof => &counters.refused_proof,
            ConnectError::OutdatedIncarnation => &counters.refused_incarnation,
            ConnectError::Closing => &counters.refused_closing,
        }
    }
}

/// Accepts connections and starts a task for each, until the runtime stops.
pub(crate) async fn accept_links(core: Arc<Core>, listener: TcpListener) {
    while core
        .catch("accepted-links", accept_each(&core, &listener))
        .await
        .is_none()
    {
        tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
    }
}

async fn accept_each(core: &Arc<Core>, listener: &TcpListener) {
    let pending = Arc::new(Semaphore::new(core.config.max_pending_handshakes));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("peer: cannot accept: {error}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = pending.clone().try_acquire_owned() else {
            core.counters.refused_pending.increment();
            continue;
        };
        let core = core.clone();
        tokio::spawn(async move {
            let accepted = core.catch("link", accept(&core, stream)).await;
            drop(permit);
            let Some(accepted) = accepted else {
                return;
            };
            match accepted {
                Ok((link, socket)) => run_link(&core, &link, socket).await,
                Err(failure) => {
                    failure.count(&core);
                    spdlog::debug!("peer: refused a connection: {failure}");
                }
            }
        });
    }
}

/// Connects to a host and starts the task that runs the link.
pub(crate) async fn dial(
    core: &Arc<Core>,
    host: &Arc<str>,
    address: SocketAddr,
) -> Result<(), ConnectError> {
    let dialled = connect(core, host, address).await;
    let (link, socket) = dialled.inspect_err(|failure| failure.count(core))?;
    let core = core.clone();
    tokio::spawn(async move { run_link(&core, &link, socket).await });
    Ok(())
}

/// Runs a link until it ends.
async fn run_link(core: &Arc<Core>, link: &Arc<Link>, socket: Socket) {
    let ended = core.catch("link", link.run(socket)).await;
    core.on_ended(link, ended.unwrap_or_else(|| link.fail()));
}

async fn connect(
    core: &Arc<Core>,
    host: &Arc<str>,
    address: SocketAddr,
) -> Result<(Arc<Link>, Socket), ConnectError> {
    let opening = open_tcp(&core.config.listen, address);
    let connecting = tokio::time::timeout(core.config.connect_timeout, opening);
    let stream = connecting
        .await
        .map_err(|_| ConnectError::Timeout)?
        .map_err(|_| ConnectError::Connection)?;
    let handshake = tokio::time::timeout(
        core.config.handshake_timeout,
        handshake_as_dialler(core, host, stream),
    );
    let (link, socket) = handshake.await.map_err(|_| ConnectError::Timeout)??;
    register_link(core, link, socket)
}

/// Opens a TCP connection. Binds it to the listening IP address if that is a specific one of the same
/// IP version as the target's.
async fn open_tcp(listen: &Listen, address: SocketAddr) -> std::io::Result<TcpStream> {
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

async fn accept(core: &Arc<Core>, stream: TcpStream) -> Result<(Arc<Link>, Socket), ConnectError> {
    let handshake = tokio::time::timeout(
        core.config.handshake_timeout,
        handshake_as_acceptor(core, stream),
    );
    let (link, socket) = handshake.await.map_err(|_| ConnectError::Timeout)??;
    register_link(core, link, socket)
}

fn register_link(
    core: &Arc<Core>,
    link: Link,
    socket: Socket,
) -> Result<(Arc<Link>, Socket), ConnectError> {
    let link = Arc::new(link);
    core.on_linked(&link)?;
    Ok((link, socket))
}

/// Performs the dialling side of the handshake.
async fn handshake_as_dialler(
    core: &Arc<Core>,
    host: &Arc<str>,
    stream: TcpStream,
) -> Result<(Link, Socket), ConnectError> {
    set_socket_options(&stream).map_err(|_| ConnectError::Connection)?;
    let upgrade = tokio_tungstenite::client_async_with_config(
        "ws://peer.invalid/",
        stream,
        Some(websocket_config(core)),
    );
    let (mut socket, _) = upgrade
        .await
        .map_err(|error| classify_error(core, &error))?;
    let own_bytes = encode_hello(core, Some(host));
    send_bytes(&mut socket, own_bytes.clone()).await?;
    let (peer_bytes, hello) = receive_hello(core, &mut socket).await?;
    if hello.host != **host {
        return Err(ConnectError::WrongHost);
    }
    let transcript = Transcript::new(core.config.secret.clone(), &own_bytes, &peer_bytes);
    send_proof(&mut socket, &transcript, Side::Dialling).await?;
    verify_proof(core, &mut socket, &transcript, Side::Accepting).await?;
    receive_first_pong(core, &mut socket).await?;
    Ok((Link::new(core.clone(), Side::Dialling, &hello), socket))
}

/// Performs the accepting side of the handshake.
async fn handshake_as_acceptor(
    core: &Arc<Core>,
    stream: TcpStream,
) -> Result<(Link, Socket), ConnectError> {
    set_socket_options(&stream).map_err(|_| ConnectError::Connection)?;
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config(core)));
    let mut socket = upgrade
        .await
        .map_err(|error| classify_error(core, &error))?;
    let (peer_bytes, hello) = receive_hello(core, &mut socket).await?;
    let is_for_us = hello.to.as_deref() == Some(&*core.config.host);
    if !is_for_us || hello.host == *core.config.host {
        return Err(ConnectError::WrongHost);
    }
    let own_bytes = self::encode_hello(core, None);
    send_bytes(&mut socket, own_bytes.clone()).await?;
    let transcript = Transcript::new(core.config.secret.clone(), &peer_bytes, &own_bytes);
    verify_proof(core, &mut socket, &transcript, Side::Dialling).await?;
    send_proof(&mut socket, &transcript, Side::Accepting).await?;
    Ok((Link::new(core.clone(), Side::Accepting, &hello), socket))
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

fn websocket_config(core: &Core) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(WEBSOCKET_BUFFER_BYTES)
        .write_buffer_size(WEBSOCKET_BUFFER_BYTES)
        .max_message_size(Some(core.config.max_frame_bytes))
        .max_frame_size(Some(core.config.max_frame_bytes))
}

fn encode_hello(core: &Core, to: Option<&Arc<str>>) -> Bytes {
    let config = &core.config;
    frame::encode(&Frame::Hello(Hello {
        version: auth::VERSION,
        host: config.host.to_string(),
        incarnation: config.incarnation,
        zone: config.zone.to_string(),
        to: to.map(|host| host.to_string()),
        nonce: auth::hex(&rand::random::<[u8; auth::NONCE_BYTES]>()),
        window: config.initial_window as u64,
        frame: config.max_frame_bytes as u64,
    }))
}

async fn send_bytes(socket: &mut Socket, bytes: Bytes) -> Result<(), ConnectError> {
    socket
        .send(WsMessage::Binary(bytes))
        .await
        .map_err(|_| ConnectError::Connection)
}

async fn send_proof(
    socket: &mut Socket,
    transcript: &Transcript,
    side: Side,
) -> Result<(), ConnectError> {
    let mac = transcript.proof(side).ok_or(ConnectError::WrongProof)?;
    send_bytes(socket, frame::encode(&Frame::Proof(frame::Proof { mac }))).await
}

/// Receives the next binary message.
async fn receive_bytes(core: &Core, socket: &mut Socket) -> Result<Bytes, ConnectError> {
    loop {
        match socket.next().await {
            Some(Ok(WsMessage::Binary(bytes))) => return Ok(bytes),
            Some(Ok(WsMessage::Ping(_) | WsMessage::Pong(_))) => {}
            Some(Ok(WsMessage::Close(_))) | None => return Err(ConnectError::Connection),
            Some(Ok(_)) => return Err(ConnectError::UnexpectedFrame),
            Some(Err(error)) => return Err(classify_error(core, &error)),
        }
    }
}

async fn receive_hello(core: &Core, socket: &mut Socket) -> Result<(Bytes, Hello), ConnectError> {
    let bytes = receive_bytes(core, socket).await?;
    let Ok(Decoded::Known(Frame::Hello(hello), _)) = frame::decode(&bytes) else {
        return Err(ConnectError::UnexpectedFrame);
    };
    if hello.version < auth::OLDEST_VERSION {
        return Err(ConnectError::UnsupportedVersion);
    }
    if hello.nonce.len() != 2 * auth::NONCE_BYTES {
        return Err(ConnectError::UnexpectedFrame);
    }
    Ok((bytes, hello))
}

/// Waits for the first pong. Until then the other side may still refuse the link, e.g. because its mesh
/// is closing.
async fn receive_first_pong(core: &Core, socket: &mut Socket) -> Result<(), ConnectError> {
    match socket.next().await {
        Some(Ok(WsMessage::Pong(_))) => Ok(()),
        Some(Ok(WsMessage::Close(_))) | None => Err(ConnectError::Connection),
        Some(Ok(_)) => Err(ConnectError::UnexpectedFrame),
        Some(Err(error)) => Err(classify_error(core, &error)),
    }
}

async fn verify_proof(
    core: &Core,
    socket: &mut Socket,
    transcript: &Transcript,
    side: Side,
) -> Result<(), ConnectError> {
    let bytes = receive_bytes(core, socket).await?;
    let Ok(Decoded::Known(Frame::Proof(proof), _)) = frame::decode(&bytes) else {
        return Err(ConnectError::UnexpectedFrame);
    };
    match transcript.is_proven(side, &proof.mac) {
        true => Ok(()),
        false => Err(ConnectError::WrongProof),
    }
}

/// Classifies and counts an error of a connection that is not authenticated yet.
fn classify_error(core: &Core, error: &tungstenite::Error) -> ConnectError {
    match error {
        tungstenite::Error::Io(_)
        | tungstenite::Error::ConnectionClosed
        | tungstenite::Error::Protocol(
            tungstenite::error::ProtocolError::HandshakeIncomplete
            | tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
        ) => ConnectError::Connection,
        error => {
            link::count_error(core, error);
            ConnectError::UnexpectedFrame
        }
    }
}

/// Maintains a link with a host for as long as one is needed.
pub(crate) async fn maintain_link(core: Arc<Core>, host: Arc<str>) {
    while core
        .catch("maintained-link", maintain(&core, &host))
        .await
        .is_none()
    {
        tokio::time::sleep(core.config.backoff.1).await;
    }
}

async fn maintain(core: &Arc<Core>, host: &Arc<str>) {
    let (shortest, longest) = core.config.backoff;
    let mut backoff = shortest;
    loop {
        match core.next_step(host) {
            Step::Stop => return,
            Step::Wait(changed) => {
                changed.notified().await;
                core.delay_reconnect(host).await;
            }
            Step::Dial(address) => match dial(core, host, address).await {
                Ok(()) => backoff = shortest,
                Err(failure) => {
                    spdlog::debug!("peer: cannot link {host}: {failure}");
                    let pause = jitter(backoff);
                    core.on_dial_failed(host, pause);
                    tokio::time::sleep(pause).await;
                    backoff = (backoff * 2).min(longest);
                }
            },
        }
    }
}

/// The next step of the task that maintains a link.
pub(crate) enum Step {
    /// The link is no longer needed.
    Stop,
    /// A link is open: wait for a change of its state.
    Wait(Arc<tokio::sync::Notify>),
    /// Connect to this address.
    Dial(SocketAddr),
}

/// A random duration from a half to one and a half of `mean`.
pub(crate) fn jitter(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + rand::random::<f64>())
}
