//! The feed from which other hosts follow this host's copy of the store: first the objects that the
//! follower lacks, then each update. The transport is a WebSocket with CBOR messages.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Bytes, Message as Packet};
use tokio_tungstenite::WebSocketStream;

use super::client;
use super::datagram;
use super::log::Event;
use super::now;
use super::proof;
use super::serve;
use super::snapshot;
use super::snapshot::FullCopy;
use super::task;
use super::Error;
use super::Gap;
use super::Host;
use crate::budget::{Account, Exceeded};
use crate::control::presence::HostRecord;
use crate::control::presence::StoreView;
use crate::control::replica::Update;
use crate::control::revision::Revision;
use crate::port::{Entry, Kind};
use crate::steer::holdings::Stage;

/// Interval of the keepalive messages.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(600);
/// Timeout after which a feed counts as dead: between two and three keepalives. A host that loses
/// power sends nothing, and its followers have to find another feed, which takes some 0.3 s, before
/// a change has to be in force, which is 2.5 s at the least.
pub const FEED_TIMEOUT: Duration = Duration::from_millis(1700);
/// Connect timeout: some round trips between regions. Hosts that lost power together are tried one
/// after the other.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Updates queued for one follower; one that falls further behind is disconnected and has to
/// reconnect.
const FOLLOWER_QUEUE: usize = 64;
/// Read and write buffer of a connection, in bytes: most updates are a few hundred.
const BUFFER_BYTES: usize = 4 << 10;
/// Memory of a follower's connection, in bytes. Queued updates are shared by all followers.
const FOLLOWER_BYTES: usize = 4 * BUFFER_BYTES;
/// Maximum message size, in bytes: objects in the store are smaller, and a full copy consists of
/// many small ones.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The kinds of objects that a feed carries.
pub(crate) const SYNCED_KINDS: [Kind; 3] = [Kind::Config, Kind::Targets, Kind::Evacuations];

/// A message of a feed.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// The sender's view of the store.
    Sight(StoreView),
    /// The first message of a follower: the revision that it has of each kind.
    Known(Vec<(Kind, u64)>),
    /// Objects that belong to the update that follows.
    Part(Vec<Entry>),
    /// Changed objects.
    Update(Update),
    /// The digest of all objects of a kind at a revision.
    Digest(Kind, u64, u64),
    /// Request of a follower that has not read the registrations for the list of hosts.
    Ask,
    /// The hosts that the sender receives heartbeats from.
    Hosts(Vec<HostRecord>),
    /// Request of a follower for the age of the sender's configuration.
    AskProof,
    /// The response to [`Message::AskProof`]; `None` if the sender has no proof.
    Proof(Option<proof::ProofReport>),
}

/// Why a feed ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FeedError {
    #[error("the connection timed out")]
    Connect,
    #[error("{0}")]
    Open(#[from] client::Error),
    #[error("cannot set up a socket: {0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    WebSocket(#[from] Box<tungstenite::Error>),
    #[error("cannot decode a message: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    #[error("no message within the timeout")]
    Silent,
    #[error("the connection was closed")]
    Ended,
    #[error("an update is missing")]
    Gap,
    #[error("the other host's copy is of a later era of the store")]
    LaterEra,
    #[error("the digests of {0:?} differ at the same revision")]
    CopyDiffers(Kind),
    #[error("the follower did not send its revisions")]
    NoIntroduction,
    #[error(transparent)]
    NoMemory(#[from] Exceeded),
}

impl FeedError {
    /// Whether the connection to the other host was lost or did not open, which suggests that its
    /// process has ended, or that it lost power or is partitioned.
    pub(crate) fn is_loss(&self) -> bool {
        match self {
            Self::Silent | Self::Connect | Self::Open(_) => true,
            Self::WebSocket(_) | Self::Ended => true,
            Self::Io(_) | Self::Malformed(_) | Self::Gap | Self::LaterEra => false,
            Self::CopyDiffers(_) | Self::NoIntroduction | Self::NoMemory(_) => false,
        }
    }
}

impl From<tungstenite::Error> for FeedError {
    fn from(error: tungstenite::Error) -> Self {
        Self::WebSocket(Box::new(error))
    }
}

/// The hosts that follow this one.
#[derive(Default)]
pub(crate) struct Followers {
    queues: Vec<Sender<Bytes>>,
    /// Full copies that are being sent to followers.
    pub(super) full_copies: BTreeMap<Kind, FullCopy>,
}

impl Followers {
    fn add(&mut self) -> Receiver<Bytes> {
        let (sender, receiver) = channel(FOLLOWER_QUEUE);
        self.queues.push(sender);
        receiver
    }

    fn send(&mut self, message: &Message) {
        if self.queues.is_empty() {
            return;
        }
        self.send_bytes(&encode(message));
    }

    fn send_bytes(&mut self, bytes: &Bytes) {
        self.queues.retain(|queue| {
            !matches!(
                queue.try_send(bytes.clone()),
                Err(TrySendError::Closed(_) | TrySendError::Full(_))
            )
        });
    }
}

pub(super) fn encode(message: &Message) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        spdlog::error!("feed: cannot encode a message: {error}");
    }
    bytes.into()
}

/// Sends an update to all followers.
pub(crate) fn publish_update(host: &Host, update: Update) {
    host.followers.borrow_mut().send(&Message::Update(update));
}

/// Sends a full copy of a kind to all followers, which can't have changes that lead to it.
pub(crate) fn publish_copy(host: &Host, kind: Kind) {
    let messages = snapshot::full_copy(host, kind);
    let followers = &mut *host.followers.borrow_mut();
    messages
        .iter()
        .for_each(|bytes| followers.send_bytes(bytes));
}

/// Sends this host's view of the store to all followers.
pub(crate) fn publish_store_view(host: &Host) {
    let view = host.core.borrow().presence.store_view();
    host.followers.borrow_mut().send(&Message::Sight(view));
}

/// Listens for followers.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let listener = Rc::new(serve::bind(host.settings.feed)?);
    task::start(host, "feed", move |host| accept(host, listener.clone()));
    task::start(host, "feed-keepalive", send_keepalives);
    Ok(())
}

async fn send_keepalives(host: Rc<Host>) -> Infallible {
    let mut interval = tokio::time::interval(KEEPALIVE_INTERVAL);
    loop {
        interval.tick().await;
        publish_store_view(&host);
    }
}

async fn accept(host: Rc<Host>, listener: Rc<TcpListener>) -> Infallible {
    serve::accept_each(
        &host.budget,
        &listener,
        KEEPALIVE_INTERVAL,
        |stream, address, account| {
            let state = host.clone();
            task::spawn(&host, "follower", async move {
                if let Err(error) = serve_follower(&state, stream, &account).await {
                    spdlog::debug!("feed: the connection of follower {address} ended: {error}");
                }
            });
        },
    )
    .await
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

async fn serve_follower(
    host: &Rc<Host>,
    stream: TcpStream,
    account: &Account,
) -> Result<(), FeedError> {
    client::configure_socket(&stream)?;
    let _charge = account.charge(FOLLOWER_BYTES).await?;
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
    let mut socket = tokio::time::timeout(CONNECT_TIMEOUT, upgrade)
        .await
        .map_err(|_| FeedError::Connect)??;
    let known = tokio::time::timeout(CONNECT_TIMEOUT, read_introduction(&mut socket))
        .await
        .map_err(|_| FeedError::NoIntroduction)??;
    // Other hosts are closed only while they have not introduced themselves.
    account.set_stage(Stage::Own);
    let mut queue = host.followers.borrow_mut().add();
    for kind in SYNCED_KINDS {
        let messages = match known.get(&kind) {
            Some(revision) => snapshot::changes_since(host, kind, *revision),
            None => snapshot::full_copy(host, kind),
        };
        for bytes in messages.iter() {
            socket.send(Packet::Binary(bytes.clone())).await?;
        }
    }
    let view = host.core.borrow().presence.store_view();
    let bytes = encode(&Message::Sight(view));
    socket.send(Packet::Binary(bytes)).await?;
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(bytes) => socket.send(Packet::Binary(bytes)).await?,
                None => return Ok(()),
            },
            packet = socket.next() => match packet {
                None | Some(Ok(Packet::Close(_))) => return Ok(()),
                Some(packet) => if let Some(response) = build_response(host, packet?)? {
                    socket.send(Packet::Binary(response)).await?;
                },
            },
        }
    }
}

/// Reads a new follower's first message, which states the revision it has of each kind.
async fn read_introduction(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<BTreeMap<Kind, u64>, FeedError> {
    let packet = socket.next().await.ok_or(FeedError::Ended)??;
    match ciborium::from_reader(&packet.into_data()[..])? {
        Message::Known(known) => Ok(known.into_iter().collect()),
        _ => Err(FeedError::NoIntroduction),
    }
}

/// The response to a follower's message, if it needs one.
fn build_response(host: &Host, packet: Packet) -> Result<Option<Bytes>, FeedError> {
    let Packet::Binary(bytes) = packet else {
        return Ok(None);
    };
    let response = match ciborium::from_reader(&bytes[..])? {
        Message::Ask => {
            let core = host.core.borrow();
            Message::Hosts(core.presence.alive(now()).cloned().collect())
        }
        Message::AskProof => Message::Proof(proof::report(host)),
        _ => return Ok(None),
    };
    Ok(Some(encode(&response)))
}

/// Follows the host at `address` until that fails.
pub(crate) async fn follow(host: &Rc<Host>, address: SocketAddr) -> FeedError {
    let known = {
        let core = host.core.borrow();
        let known = SYNCED_KINDS.map(|kind| Some((kind, core.replica.revision(kind)?.number)));
        known.into_iter().flatten().collect()
    };
    match follow_once(host, address, known).await {
        Ok(never) => match never {},
        Err(FeedError::LaterEra) => match follow_once(host, address, Vec::new()).await {
            Ok(never) => match never {},
            Err(error) => error,
        },
        Err(FeedError::CopyDiffers(kind)) => {
            spdlog::info!("feed: the copy differs from that of another host and is read again", kv: {
                event = Event::CopyDiffers.as_str(),
                source = address.to_string().as_str(),
                kind = kind.as_str()
            });
            match follow_once(host, address, Vec::new()).await {
                Ok(never) => match never {},
                Err(error) => error,
            }
        }
        Err(error) => error,
    }
}

/// Applies an update of the followed host.
fn apply_update(host: &Rc<Host>, mut update: Update) -> Result<(), FeedError> {
    update.era = known_era(host, update.era);
    host.note_era(update.era);
    let known = host.core.borrow().replica.revision(update.kind);
    let is_later = known.is_some_and(|known| known.era < update.era);
    let error = if is_later {
        FeedError::LaterEra
    } else {
        FeedError::Gap
    };
    host.apply_update(update).map_err(|Gap| error)
}

/// The era of an update from another host. Hosts that know of no eras see the current one.
fn known_era(host: &Host, era: u64) -> u64 {
    match era {
        0 => host.store_era.get(),
        era => era,
    }
}

/// Follows the host at `address`, starting from the `known` revision of each kind.
async fn follow_once(
    host: &Rc<Host>,
    address: SocketAddr,
    known: Vec<(Kind, u64)>,
) -> Result<Infallible, FeedError> {
    let connect = async {
        let stream = client::connect(address, CONNECT_TIMEOUT).await?;
        let url = format!("ws://{address}/");
        let upgrade =
            tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()));
        Ok::<_, FeedError>(upgrade.await?.0)
    };
    let mut socket = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| FeedError::Connect)??;
    let known = encode(&Message::Known(known));
    socket.send(Packet::Binary(known)).await?;
    let mut has_asked_for_hosts = false;
    let needs_proof = host.settings.bounds.withdrawal.is_some();
    let mut proof_timer = tokio::time::interval(proof::FOLLOWER_INTERVAL);
    let mut proof_asked_at = None;
    let mut last_received = now();
    let mut pending_parts = Vec::new();
    let mut era = 0;
    loop {
        // Without the list, a host that starts while the store is unreachable would assume that it
        // is the only one. It asks only after it has tried to read the registrations: all hosts may
        // start at once, and the list for each of them is as large as its copy of the store.
        let needs_hosts = host.has_joined.get() && !host.core.borrow().presence.is_listed();
        if needs_hosts && !std::mem::replace(&mut has_asked_for_hosts, true) {
            socket.send(Packet::Binary(encode(&Message::Ask))).await?;
        }
        let timeout_at = (last_received + FEED_TIMEOUT).into();
        let packet = tokio::select! {
            packet = tokio::time::timeout_at(timeout_at, socket.next()) => packet.map_err(|_| FeedError::Silent)?,
            _ = proof_timer.tick(), if needs_proof && proof_asked_at.is_none() => {
                proof_asked_at = Some(proof::moment());
                socket.send(Packet::Binary(encode(&Message::AskProof))).await?;
                continue;
            }
        };
        last_received = now();
        let bytes = match packet.ok_or(FeedError::Ended)?? {
            Packet::Binary(bytes) => bytes,
            Packet::Close(_) => return Err(FeedError::Ended),
            _ => continue,
        };
        match ciborium::from_reader(&bytes[..])? {
            Message::Sight(view) => {
                host.source_store_view.set(Some(view));
                if view == StoreView::Store {
                    // Any earlier change would have arrived before this message.
                    host.confirm(&SYNCED_KINDS, now());
                }
            }
            Message::Known(_) | Message::Ask | Message::AskProof => {}
            Message::Proof(report) => {
                if let (Some(proof_asked_at), Some(report)) = (proof_asked_at.take(), report) {
                    proof::apply_report(host, proof_asked_at, report);
                }
            }
            Message::Hosts(records) => {
                spdlog::info!("feed: received the list of hosts from another host", kv: {
                    event = Event::HostsReceived.as_str(),
                    source = address.to_string().as_str(),
                    hosts = records.len()
                });
                host.core.borrow_mut().add_hosts(now(), records);
                datagram::announce(host).await;
            }
            Message::Part(entries) => pending_parts.push(entries),
            Message::Update(mut update) => {
                // The sender splits off the end of an update first.
                update
                    .entries
                    .reserve_exact(pending_parts.iter().map(Vec::len).sum());
                for entries in pending_parts.drain(..).rev() {
                    update.entries.extend(entries);
                }
                era = update.era;
                apply_update(host, update)?;
            }
            Message::Digest(kind, number, digest) => {
                let replica = &host.core.borrow().replica;
                // It belongs to the update before it.
                let revision = Revision::new(known_era(host, era), number);
                if replica.revision(kind) == Some(revision) && replica.digest(kind) != digest {
                    return Err(FeedError::CopyDiffers(kind));
                }
            }
        }
    }
}
