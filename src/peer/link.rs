//! One authenticated connection: a task that reads and writes it, and the streams on it.

mod inbound;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_tungstenite::tungstenite::{self, Message as Packet};
use tokio_tungstenite::WebSocketStream;

use super::auth::Side;
use super::channel::{Channel, End, Permit, Windows, Wish};
use super::error::{Dispatch, OpenError, Reason, StreamError};
use super::frame::{self, Frame, Hello};
use super::lock;
use super::mesh::Core;
use super::outbox::{Next, Outbox, Phase};
use super::stream::{Open, Stream};

/// The socket type of links.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Bytes written between two flushes; what is in a batch goes before control frames that come later.
const BATCH: usize = 32 << 10;

/// Signs of life sent within the time of silence that ends a link.
const BEATS: u32 = 3;

/// Time for the closing handshake.
const CLOSING: Duration = Duration::from_millis(500);

/// Bytes of a WebSocket header from the dialling side, and from the other, for frames below 126 bytes.
const HEADER: [usize; 2] = [6, 2];

/// An authenticated connection to a host.
pub(crate) struct Link {
    core: Arc<Core>,
    /// The other host.
    pub(crate) host: Arc<str>,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// Its availability zone.
    pub(crate) zone: Arc<str>,
    /// This host's side.
    pub(crate) side: Side,
    peer_frame: usize,
    windows: Windows,
    outbox: Mutex<Outbox>,
    streams: Mutex<BTreeMap<u64, Arc<Channel>>>,
    opened: AtomicU64,
    accepted: AtomicU64,
    places_out: Arc<AtomicUsize>,
    places_in: Arc<AtomicUsize>,
    has_goodbye: AtomicBool,
    confirmed: AtomicBool,
    wake: Notify,
    killed: Notify,
    kill: Mutex<Option<Reason>>,
}

impl Link {
    pub(crate) fn new(core: Arc<Core>, side: Side, hello: &Hello) -> Link {
        let config = &core.config;
        let windows = Windows {
            first: config.window,
            full: config.full_window,
            peer: hello.window,
            pool: core.pool.clone(),
        };
        let outbox = Outbox::new(config.backlog, Instant::now());
        Link {
            host: hello.host.as_str().into(),
            incarnation: hello.incarnation,
            zone: hello.zone.as_str().into(),
            side,
            peer_frame: usize::try_from(hello.frame).unwrap_or(usize::MAX),
            windows,
            outbox: Mutex::new(outbox),
            streams: Mutex::default(),
            opened: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            places_out: Arc::default(),
            places_in: Arc::default(),
            has_goodbye: AtomicBool::new(false),
            confirmed: AtomicBool::new(side == Side::Dialling),
            wake: Notify::new(),
            killed: Notify::new(),
            kill: Mutex::new(None),
            core,
        }
    }

    /// The host that connected; both sides prefer links by it.
    pub(crate) fn dialler(&self) -> &Arc<str> {
        match self.side {
            Side::Dialling => &self.core.config.host,
            Side::Accepting => &self.host,
        }
    }

    /// Whether new streams may be opened.
    pub(crate) fn is_open(&self) -> bool {
        lock(&self.outbox).phase() == Phase::Open
    }

    /// Opens a stream for a request with some time left. None if the link takes no new ones.
    pub(crate) fn open(
        self: &Arc<Link>,
        open: &Open,
        left: Duration,
    ) -> Option<Result<Stream, OpenError>> {
        let bytes = frame::encode(&open.to_frame(left));
        if bytes.len() > self.peer_frame {
            return Some(Err(OpenError::Oversize(bytes.len())));
        }
        let Some(permit) = Permit::take(&self.places_out, self.core.config.streams) else {
            return Some(Err(OpenError::Streams));
        };
        let channel = Channel::new(0, End::Caller, permit, self.windows.clone());
        let channel = Arc::new(channel);
        channel.start(bytes, open.length);
        {
            let mut outbox = lock(&self.outbox);
            if !outbox.push_open(channel.clone()) {
                return None;
            }
            outbox.touch(Instant::now());
        }
        self.wake.notify_one();
        self.core.tally.streams_out.one();
        let stream = Stream::new(self.clone(), channel, left);
        Some(Ok(stream))
    }

    /// Queues an encoded control message.
    pub(crate) fn send(&self, message: &Bytes, whole: &Bytes) -> bool {
        let taken = {
            let mut outbox = lock(&self.outbox);
            outbox.touch(Instant::now());
            outbox.push_message(message, whole)
        };
        if taken {
            self.wake.notify_one();
        }
        taken
    }

    /// The largest frame that the peer accepts.
    pub(crate) fn peer_frame(&self) -> usize {
        self.peer_frame
    }

    /// Gives a stream a turn.
    pub(crate) fn grant(&self, channel: &Arc<Channel>, wish: Wish) {
        let Wish::Turn(size) = wish else {
            return;
        };
        lock(&self.outbox).push_stream(channel.clone(), size);
        self.wake.notify_one();
    }

    /// Queues a frame of the link itself.
    pub(crate) fn push(&self, frame: &Frame) {
        if !lock(&self.outbox).push_frame(frame) {
            self.kill(Reason::Fault);
        }
        self.wake.notify_one();
    }

    /// Gives up a stream from this end and tells the peer, if it knows of the stream.
    pub(crate) fn abandon(&self, channel: &Channel, failure: StreamError) -> Dispatch {
        let dispatch = channel.abandon(failure);
        if dispatch == Some(Dispatch::Sent) || channel.end == End::Server && dispatch.is_some() {
            self.give_up(channel);
        }
        dispatch.unwrap_or_else(|| channel.dispatch())
    }

    fn give_up(&self, channel: &Channel) {
        let stream = channel.number();
        self.remove(stream);
        let frame = match channel.end {
            End::Caller => Frame::Cancel(frame::Cancel { stream }),
            End::Server => Frame::Reset(frame::Reset { stream }),
        };
        self.push(&frame);
    }

    fn remove(&self, stream: u64) {
        lock(&self.streams).remove(&stream);
        let mut outbox = lock(&self.outbox);
        outbox.touch(Instant::now());
        let is_draining = outbox.phase() == Phase::Draining;
        drop(outbox);
        if is_draining {
            self.wake.notify_one();
        }
    }

    /// Opens no more streams, and tells the peer.
    pub(crate) fn say_goodbye(&self, reason: &str) {
        let goodbye = frame::Goodbye {
            reason: reason.to_owned(),
        };
        lock(&self.outbox).drain(&Frame::Goodbye(goodbye));
        self.wake.notify_one();
    }

    /// Ends the link at once.
    pub(crate) fn kill(&self, reason: Reason) {
        lock(&self.kill).get_or_insert(reason);
        self.killed.notify_one();
    }

    /// Reads and writes until the link ends.
    pub(crate) async fn run(self: &Arc<Link>, socket: Socket) -> Reason {
        let (mut sink, mut stream) = socket.split();
        let ended = tokio::select! {
            reason = self.read(&mut stream) => reason,
            reason = self.write(&mut sink) => reason,
            () = self.killed.notified() => Reason::Closed,
        };
        let reason = lock(&self.kill).unwrap_or(ended);
        self.end(reason);
        let closing = async {
            let _ = sink.close().await;
            if reason == Reason::Goodbye {
                while let Some(Ok(_)) = stream.next().await {}
            }
        };
        if reason != Reason::Silent {
            let _ = tokio::time::timeout(CLOSING, closing).await;
        }
        reason
    }

    /// Gives every stream its end.
    fn end(&self, reason: Reason) {
        match reason {
            Reason::Silent => self.core.tally.silent.one(),
            Reason::Lost => self.core.tally.lost.one(),
            _ => {}
        }
        let waiting = lock(&self.outbox).close();
        let streams = std::mem::take(&mut *lock(&self.streams));
        for channel in waiting.iter().chain(streams.values()) {
            channel.on_cut();
        }
    }

    async fn write(&self, sink: &mut SplitSink<Socket, Packet>) -> Reason {
        let pause = self.core.config.silence / BEATS;
        if self.beat(sink).await.is_err() {
            return self.lost();
        }
        loop {
            let mut batch = 0;
            while batch < BATCH {
                let Some(bytes) = self.next_frame() else {
                    break;
                };
                batch += bytes.len();
                if sink.feed(Packet::Binary(bytes)).await.is_err() {
                    return self.lost();
                }
            }
            if batch > 0 {
                self.core.tally.bytes_out.add(batch as u64);
                if sink.flush().await.is_err() {
                    return self.lost();
                }
                continue;
            }
            if self.is_drained() {
                return Reason::Goodbye;
            }
            if tokio::time::timeout(pause, self.wake.notified())
                .await
                .is_ok()
            {
                continue;
            }
            self.check_idle();
            if self.beat(sink).await.is_err() {
                return self.lost();
            }
        }
    }

    /// Sends a sign of life.
    async fn beat(&self, sink: &mut SplitSink<Socket, Packet>) -> Result<(), tungstenite::Error> {
        self.core.tally.control_bytes_out.add(self.header() as u64);
        sink.send(Packet::Pong(Bytes::new())).await
    }

    /// Bytes of the WebSocket header of a small frame.
    pub(crate) fn header(&self) -> usize {
        HEADER[usize::from(self.side == Side::Accepting)]
    }

    /// The next frame to write.
    fn next_frame(&self) -> Option<Bytes> {
        loop {
            let next = lock(&self.outbox).next()?;
            let channel = match next {
                Next::Frame(bytes) => return Some(bytes),
                Next::Stream(channel) => channel,
            };
            if let Some(bytes) = self.take_from(channel) {
                return Some(bytes);
            }
        }
    }

    fn take_from(&self, channel: Arc<Channel>) -> Option<Bytes> {
        let taken = channel.take(self.next_number())?;
        if taken.opens {
            self.register(&channel);
        }
        if let Some(size) = taken.again {
            lock(&self.outbox).push_stream(channel.clone(), size);
        }
        if taken.ended {
            self.remove(channel.number());
        }
        Some(taken.bytes)
    }

    /// The number of the next stream that this side opens.
    fn next_number(&self) -> u64 {
        let count = self.opened.load(Ordering::Relaxed);
        number(self.side, count)
    }

    /// Enters a stream whose open frame was taken. It may have been given up meanwhile.
    fn register(&self, channel: &Arc<Channel>) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        lock(&self.streams).insert(channel.number(), channel.clone());
        if channel.is_failed() {
            self.remove(channel.number());
        }
    }

    /// Whether the peer said that it opens no more streams.
    fn has_goodbye(&self) -> bool {
        self.has_goodbye.load(Ordering::Relaxed)
    }

    /// Whether the peer is known to use the link. The dialling side learns it from the handshake, the
    /// accepting side from the first thing that comes after it.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Relaxed)
    }

    fn confirm(&self) {
        if !self.confirmed.swap(true, Ordering::Relaxed) {
            self.core.on_confirmed(&self.host);
        }
    }

    fn is_drained(&self) -> bool {
        if !self.has_goodbye() || !lock(&self.streams).is_empty() {
            return false;
        }
        let outbox = lock(&self.outbox);
        outbox.phase() == Phase::Draining && outbox.is_empty()
    }

    /// Closes a link that was made on demand and is no longer used.
    fn check_idle(&self) {
        if self.side == Side::Accepting || self.core.is_kept(&self.host) {
            return;
        }
        let is_idle = {
            let outbox = lock(&self.outbox);
            outbox.is_empty() && outbox.used().elapsed() > self.core.config.idle
        };
        if is_idle && lock(&self.streams).is_empty() {
            self.say_goodbye("idle");
        }
    }

    /// How the loss of the connection counts: after both goodbyes it is none.
    fn lost(&self) -> Reason {
        match self.has_goodbye() && lock(&self.streams).is_empty() {
            true => Reason::Goodbye,
            false => Reason::Lost,
        }
    }
}

/// Counts an error of the connection. Tells whether the peer is at fault.
pub(crate) fn count_broken(core: &Core, error: &tungstenite::Error) -> bool {
    match error {
        tungstenite::Error::Capacity(_) => core.tally.oversize.one(),
        tungstenite::Error::Protocol(
            tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
        ) => return false,
        tungstenite::Error::Protocol(_) | tungstenite::Error::Utf8(_) => core.tally.malformed.one(),
        _ => return false,
    }
    true
}

/// The number of the stream that a side opens after `count` others.
fn number(side: Side, count: u64) -> u64 {
    match side {
        Side::Dialling => 2 * count + 1,
        Side::Accepting => 2 * count + 2,
    }
}

fn other(side: Side) -> Side {
    match side {
        Side::Dialling => Side::Accepting,
        Side::Accepting => Side::Dialling,
    }
}
