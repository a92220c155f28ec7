//! What hosts tell each other of the store: a copy at first, then each change as it comes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::Semaphore;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Bytes, Message as Packet};

use super::log::Event;
use super::{beat, client, now, proof, serve, Error, Host};
use crate::control::presence::{Record, Sight};
use crate::control::replica::{Effect, Update};
use crate::port::Kind;

/// Time between two messages that only say that the connection is alive.
const INTERVAL: Duration = Duration::from_millis(600);
/// Silence after which a feed is given up: between two and three messages. A host that loses power says nothing, and its
/// followers have to find another feed, within some 0.3 s, before a change has to be in force, which is 2.5 s at
/// the least.
pub const SILENCE: Duration = Duration::from_millis(1700);
/// How long connecting may take.
const CONNECT: Duration = Duration::from_secs(1);
/// Updates that may wait for a slow follower; one that falls further behind has to start anew.
const QUEUE: usize = 64;
/// Copies that are on their way to new followers at once. Each takes some five times its size in memory: with 33 followers that
/// came together after a start a host with 1,209 targets used 60 MB, against 8 MB otherwise.
const COPIES: usize = 4;
/// How long a new follower waits for the copies of others: well below [`SILENCE`], as those others may have ended.
const COPY_WAIT: Duration = Duration::from_millis(400);
/// Buffer of a connection, in bytes: most updates are a few hundred.
const BUFFER: usize = 4 << 10;
/// The longest message, in bytes: the store holds no larger objects, and a copy has many small ones.
const LONGEST: usize = 16 << 20;

/// All kinds that are passed on.
pub(crate) const KINDS: [Kind; 3] = [Kind::Config, Kind::Targets, Kind::Evacuations];

/// What a feed says.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// What the sender knows of the store.
    Sight(Sight),
    /// Something has changed.
    Update(Update),
    /// A follower that has not read the registrations asks which hosts there are.
    Ask,
    /// The hosts that the sender hears.
    Hosts(Vec<Record>),
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
}

impl From<tungstenite::Error> for Broken {
    fn from(error: tungstenite::Error) -> Self {
        Self::WebSocket(Box::new(error))
    }
}

/// Those that follow this host.
pub(crate) struct Followers {
    queues: Vec<Sender<Bytes>>,
    /// Permits for copies that are being sent.
    copies: Rc<Semaphore>,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            queues: Vec::new(),
            copies: Rc::new(Semaphore::new(COPIES)),
        }
    }
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

fn write(message: &Message) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        spdlog::error!("feed: cannot write a message: {error}");
    }
    bytes.into()
}

/// Tells followers of an update.
pub(crate) fn publish(host: &Host, update: &Update) {
    let message = Message::Update(update.clone());
    host.followers.borrow_mut().send(&message);
}

/// Tells followers what this host knows of the store.
pub(crate) fn tell_sight(host: &Host) {
    let sight = host.core.borrow().presence.sight();
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
    let copies = host.followers.borrow().copies.clone();
    let mut queue = {
        let _permit = tokio::time::timeout(COPY_WAIT, copies.acquire()).await;
        let queue = host.followers.borrow_mut().add();
        for kind in KINDS {
            let copy = {
                let core = host.core.borrow();
                let away = core.presence.was_store_away(now());
                core.replica.whole(now(), kind, away)
            };
            if let Some(copy) = copy {
                let bytes = write(&Message::Update(copy));
                socket.send(Packet::Binary(bytes)).await?;
            }
        }
        queue
    };
    let sight = host.core.borrow().presence.sight();
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
    match read(host, address).await {
        Ok(never) => match never {},
        Err(broken) => broken,
    }
}

async fn read(host: &Rc<Host>, address: SocketAddr) -> Result<std::convert::Infallible, Broken> {
    let connect = async {
        let stream = client::connect(address, CONNECT).await?;
        let url = format!("ws://{address}/");
        let upgrade = tokio_tungstenite::client_async_with_config(url, stream, Some(limits()));
        Ok::<_, Broken>(upgrade.await?.0)
    };
    let mut socket = tokio::time::timeout(CONNECT, connect)
        .await
        .map_err(|_| Broken::Connect)??;
    let knows_hosts = host.core.borrow().presence.is_listed();
    if !knows_hosts {
        // Without this a host that starts while the store is away takes itself for the only one.
        socket.send(Packet::Binary(write(&Message::Ask))).await?;
    }
    let asks = host.settings.bounds.withdrawal.is_some();
    let mut question = tokio::time::interval(proof::FOLLOWER);
    let mut asked = None;
    let mut heard = now();
    loop {
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
                if sight == Sight::Store {
                    // Whatever had changed would have come before.
                    let told = &mut host.core.borrow_mut().told;
                    told.extend(KINDS.map(|kind| (kind, now())));
                }
            }
            Message::Ask | Message::AskProof => {}
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
            Message::Update(update) => {
                if host.take(&update) == Effect::Gap {
                    return Err(Broken::Gap);
                }
            }
        }
    }
}
