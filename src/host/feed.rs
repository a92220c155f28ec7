//! What hosts tell each other of the store: first what a follower lacks, then each change as it comes.

use std::collections::BTreeMap;
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

use super::copy::{self, Copy};
use super::log::Event;
use super::{beat, client, now, proof, serve, Error, Gap, Host};
use crate::control::presence::{HostRecord, StoreView};
use crate::control::replica::Update;
use crate::port::{Entry, Kind};

/// Time between two messages that only say that the connection is alive.
const INTERVAL: Duration = Duration::from_millis(600);
/// Silence after which a feed is given up: between two and three messages. A host that loses power says nothing, and its
/// followers have to find another feed, within some 0.3 s, before a change has to be in force, which is 2.5 s at
/// the least.
pub const SILENCE: Duration = Duration::from_millis(1700);
/// How long connecting may take: some round trips between regions. Hosts that lost power together are tried one after the other.
const CONNECT: Duration = Duration::from_millis(500);
/// Updates that may wait for a slow follower; one that falls further behind has to start anew.
const QUEUE: usize = 64;
/// Buffer of a connection, in bytes: most updates are a few hundred.
const BUFFER: usize = 4 << 10;
/// The longest message, in bytes: the store holds no larger objects, and a copy has many small ones.
const LONGEST: usize = 16 << 20;

/// All kinds that are passed on.
pub(crate) const KINDS: [Kind; 3] = [Kind::Config, Kind::Targets, Kind::Evacuations];

/// What a feed says.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// What the sender knows of the store.
    Sight(StoreView),
    /// What a follower has, the first thing that it says: the revision of each kind.
    Known(Vec<(Kind, u64)>),
    /// Objects that belong to the update that follows.
    Part(Vec<Entry>),
    /// Something has changed.
    Update(Update),
    /// The digest of all objects of a kind at a revision.
    Digest(Kind, u64, u64),
    /// A follower that has not read the registrations asks which hosts there are.
    Ask,
    /// The hosts that the sender hears.
    Hosts(Vec<HostRecord>),
    /// A follower asks how old the sender's configuration may be.
    AskProof,
    /// The answer, if the sender knows it.
    Proof(Option<proof::Told>),
}

/// Why a feed ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Broken {
    #[error("no connection in time")]
    Connect,
    #[error("{0}")]
    Open(#[from] client::Error),
    #[error("cannot set up a socket: {0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    WebSocket(#[from] Box<tungstenite::Error>),
    #[error("a message can't be read: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    #[error("it fell silent")]
    Silent,
    #[error("it ended")]
    Ended,
    #[error("a message is missing")]
    Gap,
    #[error("the copies of {0:?} differ at one revision")]
    Differs(Kind),
    #[error("the follower did not say what it has")]
    Unintroduced,
}

impl Broken {
    /// Whether the other host said nothing, as one does that lost power or is cut off.
    pub(crate) fn is_mute(&self) -> bool {
        matches!(
            self,
            Self::Silent | Self::Connect | Self::Open(client::Error::Timeout)
        )
    }
}

impl From<tungstenite::Error> for Broken {
    fn from(error: tungstenite::Error) -> Self {
        Self::WebSocket(Box::new(error))
    }
}

/// Those that follow this host.
#[derive(Default)]
pub(crate) struct Followers {
    queues: Vec<Sender<Bytes>>,
    /// Whole copies that are on their way to some of them.
    pub(super) copies: BTreeMap<Kind, Copy>,
}

impl Followers {
    fn add(&mut self) -> Receiver<Bytes> {
        let (sender, receiver) = channel(QUEUE);
        self.queues.push(sender);
        receiver
    }

    fn send(&mut self, message: &Message) {
        if self.queues.is_empty() {
            return;
        }
        let bytes = write(message);
        self.queues.retain(|queue| {
            !matches!(
                queue.try_send(bytes.clone()),
                Err(TrySendError::Closed(_) | TrySendError::Full(_))
            )
        });
    }
}

pub(super) fn write(message: &Message) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        spdlog::error!("feed: cannot write a message: {error}");
    }
    bytes.into()
}

/// Tells followers of an update.
pub(crate) fn publish(host: &Host, update: Update) {
    host.followers.borrow_mut().send(&Message::Update(update));
}

/// Tells followers what this host knows of the store.
pub(crate) fn tell_sight(host: &Host) {
    let sight = host.core.borrow().presence.store_view();
    host.followers.borrow_mut().send(&Message::Sight(sight));
}

/// Listens for followers.
pub(crate) async fn listen(host: &Rc<Host>) -> Result<(), Error> {
    let listener = serve::bind(host.settings.feed)?;
    tokio::task::spawn_local(accept(host.clone(), listener));
    tokio::task::spawn_local(repeat_sight(host.clone()));
    Ok(())
}

async fn repeat_sight(host: Rc<Host>) {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        tell_sight(&host);
    }
}

async fn accept(host: Rc<Host>, listener: TcpListener) {
    serve::each(&listener, INTERVAL, |stream, address| {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_one(&host, stream).await {
                spdlog::debug!("feed: {address} ended: {error}");
            }
        });
    })
    .await;
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_message_size(Some(LONGEST))
        .max_frame_size(Some(LONGEST))
}

async fn serve_one(host: &Rc<Host>, stream: TcpStream) -> Result<(), Broken> {
    client::watch(&stream)?;
    let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(limits()));
    let mut socket = tokio::time::timeout(CONNECT, upgrade)
        .await
        .map_err(|_| Broken::Connect)??;
    let known = tokio::time::timeout(CONNECT, introduction(&mut socket))
        .await
        .map_err(|_| Broken::Unintroduced)??;
    let mut queue = host.followers.borrow_mut().add();
    for kind in KINDS {
        let messages = match known.get(&kind) {
            Some(revision) => copy::difference(host, kind, *revision),
            None => copy::whole(host, kind),
        };
        for bytes in messages.iter() {
            socket.send(Packet::Binary(bytes.clone())).await?;
        }
    }
    let sight = host.core.borrow().presence.store_view();
    let bytes = write(&Message::Sight(sight));
    socket.send(Packet::Binary(bytes)).await?;
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(bytes) => socket.send(Packet::Binary(bytes)).await?,
                None => return Ok(()),
            },
            packet = socket.next() => match packet {
                None | Some(Ok(Packet::Close(_))) => return Ok(()),
                Some(packet) => if let Some(answer) = reply(host, packet?)? {
                    socket.send(Packet::Binary(answer)).await?;
                },
            },
        }
    }
}

/// What a new follower says that it has.
async fn introduction(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<BTreeMap<Kind, u64>, Broken> {
    let packet = socket.next().await.ok_or(Broken::Ended)??;
    match ciborium::from_reader(&packet.into_data()[..])? {
        Message::Known(known) => Ok(known.into_iter().collect()),
        _ => Err(Broken::Unintroduced),
    }
}

/// What a follower's message is answered with.
fn reply(host: &Host, packet: Packet) -> Result<Option<Bytes>, Broken> {
    let Packet::Binary(bytes) = packet else {
        return Ok(None);
    };
    let answer = match ciborium::from_reader(&bytes[..])? {
        Message::Ask => {
            let core = host.core.borrow();
            Message::Hosts(core.presence.alive(now()).cloned().collect())
        }
        Message::AskProof => Message::Proof(proof::tell(host)),
        _ => return Ok(None),
    };
    Ok(Some(write(&answer)))
}

/// Follows the host at `address` until that fails.
pub(crate) async fn follow(host: &Rc<Host>, address: SocketAddr) -> Broken {
    let known = {
        let core = host.core.borrow();
        let known = KINDS.map(|kind| Some((kind, core.replica.revision(kind)?)));
        known.into_iter().flatten().collect()
    };
    match read(host, address, known).await {
        Ok(never) => match never {},
        Err(Broken::Differs(kind)) => {
            spdlog::info!("feed: a copy differs from that of another host, all of it is read", kv: {
                event = Event::Differs.as_str(),
                source = address.to_string().as_str(),
                kind = kind.as_str()
            });
            match read(host, address, Vec::new()).await {
                Ok(never) => match never {},
                Err(broken) => broken,
            }
        }
        Err(broken) => broken,
    }
}

/// Follows the host at `address`, with what is known of each kind.
async fn read(
    host: &Rc<Host>,
    address: SocketAddr,
    known: Vec<(Kind, u64)>,
) -> Result<std::convert::Infallible, Broken> {
    let connect = async {
        let stream = client::connect(address, CONNECT).await?;
        let url = format!("ws://{address}/");
        let upgrade = tokio_tungstenite::client_async_with_config(url, stream, Some(limits()));
        Ok::<_, Broken>(upgrade.await?.0)
    };
    let mut socket = tokio::time::timeout(CONNECT, connect)
        .await
        .map_err(|_| Broken::Connect)??;
    let known = write(&Message::Known(known));
    socket.send(Packet::Binary(known)).await?;
    let mut has_asked = false;
    let asks = host.settings.bounds.withdrawal.is_some();
    let mut question = tokio::time::interval(proof::FOLLOWER);
    let mut asked = None;
    let mut heard = now();
    let mut parts = Vec::new();
    loop {
        // A host that starts while the store is away would take itself for the only one. One that has not read yet who the
        // others are is about to: all hosts may start at once, and to tell each of all others takes as much as its copy.
        let needs_hosts = host.joined.get() && !host.core.borrow().presence.is_listed();
        if needs_hosts && !std::mem::replace(&mut has_asked, true) {
            socket.send(Packet::Binary(write(&Message::Ask))).await?;
        }
        let until = (heard + SILENCE).into();
        let packet = tokio::select! {
            packet = tokio::time::timeout_at(until, socket.next()) => packet.map_err(|_| Broken::Silent)?,
            _ = question.tick(), if asks && asked.is_none() => {
                asked = Some(proof::moment());
                socket.send(Packet::Binary(write(&Message::AskProof))).await?;
                continue;
            }
        };
        heard = now();
        let bytes = match packet.ok_or(Broken::Ended)?? {
            Packet::Binary(bytes) => bytes,
            Packet::Close(_) => return Err(Broken::Ended),
            _ => continue,
        };
        match ciborium::from_reader(&bytes[..])? {
            Message::Sight(sight) => {
                host.followed.set(Some(sight));
                if sight == StoreView::Store {
                    // Whatever had changed would have come before.
                    let told = &mut host.core.borrow_mut().told;
                    told.extend(KINDS.map(|kind| (kind, now())));
                }
            }
            Message::Known(_) | Message::Ask | Message::AskProof => {}
            Message::Proof(told) => {
                if let (Some(asked), Some(told)) = (asked.take(), told) {
                    proof::hear(host, asked, told);
                }
            }
            Message::Hosts(records) => {
                spdlog::info!("feed: another host told which hosts there are", kv: {
                    event = Event::Hosts.as_str(),
                    source = address.to_string().as_str(),
                    hosts = records.len()
                });
                host.core.borrow_mut().hear_of(now(), records);
                beat::send_to_all(host).await;
            }
            Message::Part(entries) => parts.push(entries),
            Message::Update(mut update) => {
                // The sender splits an update from its end.
                update
                    .entries
                    .reserve_exact(parts.iter().map(Vec::len).sum());
                for entries in parts.drain(..).rev() {
                    update.entries.extend(entries);
                }
                host.take(update).map_err(|Gap| Broken::Gap)?;
            }
            Message::Digest(kind, revision, digest) => {
                let replica = &host.core.borrow().replica;
                if replica.revision(kind) == Some(revision) && replica.digest(kind) != digest {
                    return Err(Broken::Differs(kind));
                }
            }
        }
    }
}
