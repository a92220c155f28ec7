//! One authenticated connection: the task that reads and writes it, and its streams.

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
use tokio_tungstenite::tungstenite::{self, Message as WsMessage};
use tokio_tungstenite::WebSocketStream;

use super::auth::Side;
use super::channel::{Channel, Permit, Role, TurnRequest, WindowSizes};
use super::error::{Dispatch, LinkEndReason, OpenError, StreamError};
use super::frame::{self, Frame, Hello};
use super::lock;
use super::mesh::Core;
use super::outbox::{Outbox, OutboxItem, Phase};
use super::stream::{Open, Stream};
use super::transit::Transit;

/// The socket type of links.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Bytes after which a batch of frames is flushed. Later control frames queue behind the batch.
const FLUSH_THRESHOLD_BYTES: usize = 32 << 10;

/// Pongs that an otherwise unused link sends within the silence timeout.
const PONGS_PER_SILENCE_TIMEOUT: u32 = 3;

/// Time limit for the WebSocket closing handshake.
const CLOSE_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of the WebSocket header of a frame below 126 bytes, sent by the dialling and the accepting side.
const SMALL_HEADER_BYTES: [usize; 2] = [6, 2];

/// An authenticated connection to a host.
pub(crate) struct Link {
    core: Arc<Core>,
    /// The name of the other host.
    pub(crate) host: Arc<str>,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// Its availability zone.
    pub(crate) zone: Arc<str>,
    /// Whether this host dialled or accepted the connection.
    pub(crate) side: Side,
    peer_max_frame_bytes: usize,
    windows: WindowSizes,
    outbox: Mutex<Outbox>,
    streams: Mutex<BTreeMap<u64, Arc<Channel>>>,
    /// Streams opened by this side so far.
    opened_streams: AtomicU64,
    /// Streams opened by the peer so far.
    accepted_streams: AtomicU64,
    /// Streams opened by this side whose memory is in use.
    outgoing_stream_count: Arc<AtomicUsize>,
    /// Streams opened by the peer whose memory is in use.
    incoming_stream_count: Arc<AtomicUsize>,
    has_received_goodbye: AtomicBool,
    is_confirmed: AtomicBool,
    /// When this side set up the link.
    started: Instant,
    /// How long frames with requests were on their way.
    transit: Mutex<Transit>,
    /// Wakes the writer.
    wake: Notify,
    /// Ends the link's task.
    aborted: Notify,
    abort_reason: Mutex<Option<LinkEndReason>>,
}

impl Link {
    pub(crate) fn new(core: Arc<Core>, side: Side, hello: &Hello) -> Link {
        let config = &core.config;
        let windows = WindowSizes {
            initial: config.initial_window,
            full: config.full_window,
            peer_initial: hello.window,
            pool: core.window_pool.clone(),
        };
        let outbox = Outbox::new(config.max_backlog_bytes, Instant::now());
        Link {
            host: hello.host.as_str().into(),
            incarnation: hello.incarnation,
            zone: hello.zone.as_str().into(),
            side,
            peer_max_frame_bytes: usize::try_from(hello.frame).unwrap_or(usize::MAX),
            windows,
            outbox: Mutex::new(outbox),
            streams: Mutex::default(),
            opened_streams: AtomicU64::new(0),
            accepted_streams: AtomicU64::new(0),
            outgoing_stream_count: Arc::default(),
            incoming_stream_count: Arc::default(),
            has_received_goodbye: AtomicBool::new(false),
            is_confirmed: AtomicBool::new(side == Side::Dialling),
            started: Instant::now(),
            transit: Mutex::default(),
            wake: Notify::new(),
            aborted: Notify::new(),
            abort_reason: Mutex::new(None),
            core,
        }
    }

    /// The name of the dialling host, by which both sides choose the preferred link.
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

    /// Opens a stream for a request, which has the time `left` until its deadline. None if the link
    /// accepts no new streams.
    pub(crate) fn open(
        self: &Arc<Link>,
        open: &Open,
        left: Duration,
    ) -> Option<Result<Stream, OpenError>> {
        let bytes = frame::encode(&open.to_frame(left, self.started.elapsed()));
        if bytes.len() > self.peer_max_frame_bytes {
            return Some(Err(OpenError::Oversize(bytes.len())));
        }
        let Some(permit) = Permit::take(&self.outgoing_stream_count, self.core.config.max_streams)
        else {
            return Some(Err(OpenError::StreamLimit));
        };
        let channel = Channel::new(0, Role::Caller, permit, self.windows.clone());
        let channel = Arc::new(channel);
        channel.queue_open(bytes, open.length);
        {
            let mut outbox = lock(&self.outbox);
            if !outbox.push_open(channel.clone()) {
                return None;
            }
            outbox.record_use(Instant::now());
        }
        self.wake.notify_one();
        self.core.counters.streams_out.increment();
        let stream = Stream::new(self.clone(), channel, left);
        Some(Ok(stream))
    }

    /// Queues an encoded control message. False if the queue is full or the link has ended.
    pub(crate) fn send(&self, message: &Bytes, single_frame: &Bytes) -> bool {
        let is_queued = {
            let mut outbox = lock(&self.outbox);
            outbox.record_use(Instant::now());
            outbox.push_message(message, single_frame)
        };
        if is_queued {
            self.wake.notify_one();
        }
        is_queued
    }

    /// The largest frame that the peer accepts.
    pub(crate) fn peer_max_frame_bytes(&self) -> usize {
        self.peer_max_frame_bytes
    }

    /// Puts a stream into the queue that it requests, if any.
    pub(crate) fn schedule_stream(&self, channel: &Arc<Channel>, request: TurnRequest) {
        let TurnRequest::Turn(queue) = request else {
            return;
        };
        lock(&self.outbox).push_stream(channel.clone(), queue);
        self.wake.notify_one();
    }

    /// Queues a control frame. Aborts the link if too many bytes are queued.
    pub(crate) fn queue_frame(&self, frame: &Frame) {
        if !lock(&self.outbox).push_frame(frame) {
            self.abort(LinkEndReason::Fault);
        }
        self.wake.notify_one();
    }

    /// Abandons a stream at this end. Sends a cancel or reset if the peer may have the stream.
    pub(crate) fn abandon(&self, channel: &Channel, failure: StreamError) -> Dispatch {
        let dispatch = channel.abandon(failure);
        if dispatch == Some(Dispatch::Sent) || channel.role == Role::Server && dispatch.is_some() {
            self.cancel_stream(channel);
        }
        dispatch.unwrap_or_else(|| channel.dispatch())
    }

    /// Removes a stream and queues its cancel or reset frame.
    fn cancel_stream(&self, channel: &Channel) {
        let stream = channel.number();
        self.remove(stream);
        let frame = match channel.role {
            Role::Caller => Frame::Cancel(frame::Cancel { stream }),
            Role::Server => Frame::Reset(frame::Reset { stream }),
        };
        self.queue_frame(&frame);
    }

    fn remove(&self, stream: u64) {
        lock(&self.streams).remove(&stream);
        let mut outbox = lock(&self.outbox);
        outbox.record_use(Instant::now());
        let is_draining = outbox.phase() == Phase::Draining;
        drop(outbox);
        if is_draining {
            self.wake.notify_one();
        }
    }

    /// Stops opening streams and queues a goodbye.
    pub(crate) fn start_draining(&self, reason: &str) {
        let goodbye = frame::Goodbye {
            reason: reason.to_owned(),
        };
        lock(&self.outbox).start_draining(&Frame::Goodbye(goodbye));
        self.wake.notify_one();
    }

    /// Ends the link at once, with the first reason given.
    pub(crate) fn abort(&self, reason: LinkEndReason) {
        lock(&self.abort_reason).get_or_insert(reason);
        self.aborted.notify_one();
    }

    /// Reads and writes until the link ends.
    pub(crate) async fn run(self: &Arc<Link>, socket: Socket) -> LinkEndReason {
        let (mut sink, mut stream) = socket.split();
        let ended = tokio::select! {
            reason = self.read(&mut stream) => reason,
            reason = self.write(&mut sink) => reason,
            () = self.aborted.notified() => LinkEndReason::Closed,
        };
        let reason = lock(&self.abort_reason).unwrap_or(ended);
        self.end_streams(reason);
        let closing = async {
            let _ = sink.close().await;
            if reason == LinkEndReason::Goodbye {
                while let Some(Ok(_)) = stream.next().await {}
            }
        };
        if reason != LinkEndReason::Silent {
            let _ = tokio::time::timeout(CLOSE_HANDSHAKE_TIMEOUT, closing).await;
        }
        reason
    }

    /// Counts why the link ended and fails all of its streams.
    /// Ends the streams of a link whose task has panicked.
    pub(crate) fn fail(&self) -> LinkEndReason {
        let reason = LinkEndReason::Lost;
        self.end_streams(reason);
        reason
    }

    fn end_streams(&self, reason: LinkEndReason) {
        match reason {
            LinkEndReason::Silent => self.core.counters.silent.increment(),
            LinkEndReason::Lost => self.core.counters.lost.increment(),
            _ => {}
        }
        let waiting = lock(&self.outbox).close();
        let streams = std::mem::take(&mut *lock(&self.streams));
        for channel in waiting.iter().chain(streams.values()) {
            channel.on_interrupted();
        }
    }

    async fn write(&self, sink: &mut SplitSink<Socket, WsMessage>) -> LinkEndReason {
        let pong_interval = self.core.config.silence_timeout / PONGS_PER_SILENCE_TIMEOUT;
        if self.send_pong(sink).await.is_err() {
            return self.loss_reason();
        }
        loop {
            let mut batch_bytes = 0;
            while batch_bytes < FLUSH_THRESHOLD_BYTES {
                let Some(bytes) = self.next_frame() else {
                    break;
                };
                batch_bytes += bytes.len();
                if sink.feed(WsMessage::Binary(bytes)).await.is_err() {
                    return self.loss_reason();
                }
            }
            if batch_bytes > 0 {
                self.core.counters.bytes_out.add(batch_bytes as u64);
                if sink.flush().await.is_err() {
                    return self.loss_reason();
                }
                continue;
            }
            if self.is_drained() {
                return LinkEndReason::Goodbye;
            }
            if tokio::time::timeout(pong_interval, self.wake.notified())
                .await
                .is_ok()
            {
                continue;
            }
            self.drain_if_idle();
            if self.send_pong(sink).await.is_err() {
                return self.loss_reason();
            }
        }
    }

    /// Sends an empty pong, which keeps the peer's silence timeout from expiring.
    async fn send_pong(
        &self,
        sink: &mut SplitSink<Socket, WsMessage>,
    ) -> Result<(), tungstenite::Error> {
        self.core
            .counters
            .control_bytes_out
            .add(self.small_header_bytes() as u64);
        sink.send(WsMessage::Pong(Bytes::new())).await
    }

    /// Bytes of the WebSocket header of a frame below 126 bytes from this side.
    pub(crate) fn small_header_bytes(&self) -> usize {
        SMALL_HEADER_BYTES[usize::from(self.side == Side::Accepting)]
    }

    /// Takes the next frame to write.
    fn next_frame(&self) -> Option<Bytes> {
        loop {
            let next = lock(&self.outbox).pop_next()?;
            let channel = match next {
                OutboxItem::Frame(bytes) => return Some(bytes),
                OutboxItem::Stream(channel) => channel,
            };
            if let Some(bytes) = self.take_stream_frame(channel) {
                return Some(bytes);
            }
        }
    }

    fn take_stream_frame(&self, channel: Arc<Channel>) -> Option<Bytes> {
        let taken = channel.take_frame(self.next_stream_number())?;
        if taken.is_open_frame {
            self.register_stream(&channel);
        }
        if let Some(queue) = taken.requeue {
            lock(&self.outbox).push_stream(channel.clone(), queue);
        }
        if taken.is_last {
            self.remove(channel.number());
        }
        Some(taken.bytes)
    }

    /// The number for the next stream that this side opens.
    fn next_stream_number(&self) -> u64 {
        let count = self.opened_streams.load(Ordering::Relaxed);
        stream_number(self.side, count)
    }

    /// Registers a stream whose open frame was taken. Removes it again if it was abandoned meanwhile.
    fn register_stream(&self, channel: &Arc<Channel>) {
        self.opened_streams.fetch_add(1, Ordering::Relaxed);
        lock(&self.streams).insert(channel.number(), channel.clone());
        if channel.is_failed() {
            self.remove(channel.number());
        }
    }

    /// Whether the peer sent a goodbye, after which it opens no more streams.
    fn has_received_goodbye(&self) -> bool {
        self.has_received_goodbye.load(Ordering::Relaxed)
    }

    /// Whether the peer is known to use the link. The dialling side is certain after the handshake, the
    /// accepting side after the first message that follows the handshake.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_confirmed.load(Ordering::Relaxed)
    }

    fn mark_confirmed(&self) {
        if !self.is_confirmed.swap(true, Ordering::Relaxed) {
            self.core.on_confirmed(&self.host);
        }
    }

    fn is_drained(&self) -> bool {
        if !self.has_received_goodbye() || !lock(&self.streams).is_empty() {
            return false;
        }
        let outbox = lock(&self.outbox);
        outbox.phase() == Phase::Draining && outbox.is_empty()
    }

    /// Drains a link that this side dialled, that is not maintained permanently and that is idle.
    fn drain_if_idle(&self) {
        if self.side == Side::Accepting || self.core.is_persistent(&self.host) {
            return;
        }
        let is_idle = {
            let outbox = lock(&self.outbox);
            outbox.is_empty() && outbox.last_used().elapsed() > self.core.config.idle_timeout
        };
        if is_idle && lock(&self.streams).is_empty() {
            self.start_draining("idle");
        }
    }

    /// The reason for a lost connection: a goodbye if the peer sent one and no stream is open.
    fn loss_reason(&self) -> LinkEndReason {
        match self.has_received_goodbye() && lock(&self.streams).is_empty() {
            true => LinkEndReason::Goodbye,
            false => LinkEndReason::Lost,
        }
    }
}

/// Counts an error of the connection. Returns whether the peer violated the protocol.
pub(crate) fn count_error(core: &Core, error: &tungstenite::Error) -> bool {
    match error {
        tungstenite::Error::Capacity(_) => core.counters.oversize.increment(),
        tungstenite::Error::Protocol(
            tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
        ) => return false,
        tungstenite::Error::Protocol(_) | tungstenite::Error::Utf8(_) => {
            core.counters.malformed.increment()
        }
        _ => return false,
    }
    true
}

/// The number of the stream that `side` opens after `count` others: odd on the dialling side, even on the
/// accepting side.
fn stream_number(side: Side, count: u64) -> u64 {
    match side {
        Side::Dialling => 2 * count + 1,
        Side::Accepting => 2 * count + 2,
    }
}

fn opposite_side(side: Side) -> Side {
    match side {
        Side::Dialling => Side::Accepting,
        Side::Accepting => Side::Dialling,
    }
}
