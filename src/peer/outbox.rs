//! The send queues of a link, in order of priority: control frames, small streams, bulk.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;

use super::channel::{Channel, Role, SendQueue};
use super::frame::{self, Frame, Part, MAX_CHUNK_BYTES};

/// Turns of small streams after which bulk gets one, so that bulk never starves.
const SMALL_TURNS_PER_BULK_TURN: u32 = 8;

/// The next item to write to a link.
pub(crate) enum OutboxItem {
    /// An encoded frame.
    Frame(Bytes),
    /// A stream, whose next frame is to be written.
    Stream(Arc<Channel>),
}

/// An item of the bulk queue, which is served round robin.
enum BulkItem {
    Stream(Arc<Channel>),
    /// The next part of the first large message.
    Message,
}

/// Whether a link accepts new streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// New streams are accepted.
    Open,
    /// No new streams are accepted; the open ones are finished.
    Draining,
    /// The link has ended.
    Closed,
}

/// The queues of one link.
pub(crate) struct Outbox {
    control_frames: VecDeque<Bytes>,
    small_streams: VecDeque<Arc<Channel>>,
    bulk_items: VecDeque<BulkItem>,
    large_messages: VecDeque<Bytes>,
    goodbye: Option<Bytes>,
    queued_bytes: usize,
    max_queued_bytes: usize,
    small_turns: u32,
    phase: Phase,
    last_used: Instant,
}

impl Outbox {
    /// An empty outbox that holds at most `max_queued_bytes` bytes of control messages.
    pub(crate) fn new(max_queued_bytes: usize, now: Instant) -> Outbox {
        Outbox {
            control_frames: VecDeque::new(),
            small_streams: VecDeque::new(),
            bulk_items: VecDeque::new(),
            large_messages: VecDeque::new(),
            goodbye: None,
            queued_bytes: 0,
            max_queued_bytes,
            small_turns: 0,
            phase: Phase::Open,
            last_used: now,
        }
    }

    /// Whether the link accepts new streams.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// When the link was last used.
    pub(crate) fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Records that the link is in use, which restarts its idle timeout.
    pub(crate) fn record_use(&mut self, now: Instant) {
        self.last_used = now;
    }

    /// Whether all queues are empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.control_frames.is_empty()
            && self.small_streams.is_empty()
            && self.bulk_items.is_empty()
            && self.goodbye.is_none()
    }

    /// Queues a control frame. False if more than twice `max_queued_bytes` are queued, as when a peer
    /// causes many such frames and does not read them.
    pub(crate) fn push_frame(&mut self, frame: &Frame) -> bool {
        if self.phase != Phase::Closed {
            self.queue_control(frame::encode(frame));
        }
        self.queued_bytes <= 2 * self.max_queued_bytes
    }

    /// Queues an encoded message. `single_frame` is the frame that holds all of it; a message too large
    /// for one frame is sent in parts, as bulk. False if the queue is full or the link has ended.
    pub(crate) fn push_message(&mut self, message: &Bytes, single_frame: &Bytes) -> bool {
        if self.phase == Phase::Closed || self.queued_bytes + message.len() > self.max_queued_bytes
        {
            return false;
        }
        if message.len() <= MAX_CHUNK_BYTES {
            self.queue_control(single_frame.clone());
            return true;
        }
        self.queued_bytes += message.len();
        if self.large_messages.is_empty() {
            self.bulk_items.push_back(BulkItem::Message);
        }
        self.large_messages.push_back(message.clone());
        true
    }

    fn queue_control(&mut self, frame: Bytes) {
        self.queued_bytes += frame.len();
        self.control_frames.push_back(frame);
    }

    /// Queues a new stream. False if the link accepts no new streams.
    pub(crate) fn push_open(&mut self, channel: Arc<Channel>) -> bool {
        if self.phase != Phase::Open {
            return false;
        }
        self.small_streams.push_back(channel);
        true
    }

    /// Queues a stream that has something to send.
    pub(crate) fn push_stream(&mut self, channel: Arc<Channel>, queue: SendQueue) {
        if self.phase == Phase::Closed {
            return;
        }
        match queue {
            SendQueue::Small => self.small_streams.push_back(channel),
            SendQueue::Bulk => self.bulk_items.push_back(BulkItem::Stream(channel)),
        }
    }

    /// Removes and returns the next item to write.
    pub(crate) fn pop_next(&mut self) -> Option<OutboxItem> {
        if let Some(frame) = self.control_frames.pop_front() {
            self.queued_bytes -= frame.len();
            return Some(OutboxItem::Frame(frame));
        }
        if self.goodbye.is_some() && !self.small_streams.iter().any(is_unsent) {
            return self.goodbye.take().map(OutboxItem::Frame);
        }
        let is_bulk_due =
            self.small_turns >= SMALL_TURNS_PER_BULK_TURN && !self.bulk_items.is_empty();
        if !is_bulk_due {
            if let Some(channel) = self.small_streams.pop_front() {
                self.small_turns += 1;
                return Some(OutboxItem::Stream(channel));
            }
        }
        self.small_turns = 0;
        match self.bulk_items.pop_front()? {
            BulkItem::Stream(channel) => Some(OutboxItem::Stream(channel)),
            BulkItem::Message => self.next_part().map(OutboxItem::Frame),
        }
    }

    /// Takes the next part of the first large message. Queues another turn if more is left.
    fn next_part(&mut self) -> Option<Bytes> {
        let message = self.large_messages.front_mut()?;
        let bytes = message.split_to(message.len().min(MAX_CHUNK_BYTES));
        let end = message.is_empty();
        self.queued_bytes -= bytes.len();
        if end {
            self.large_messages.pop_front();
        }
        if !self.large_messages.is_empty() {
            self.bulk_items.push_back(BulkItem::Message);
        }
        Some(frame::encode_with(&Frame::Part(Part { end }), &bytes))
    }

    /// Accepts no more new streams. The goodbye is written after the open frames that are queued.
    pub(crate) fn start_draining(&mut self, goodbye: &Frame) {
        if self.phase != Phase::Open {
            return;
        }
        self.phase = Phase::Draining;
        self.goodbye = Some(frame::encode(goodbye));
    }

    /// Closes the queues and drops their frames. Returns the queued streams.
    pub(crate) fn close(&mut self) -> Vec<Arc<Channel>> {
        self.phase = Phase::Closed;
        self.control_frames.clear();
        self.large_messages.clear();
        self.goodbye = None;
        self.queued_bytes = 0;
        let bulk = std::mem::take(&mut self.bulk_items)
            .into_iter()
            .filter_map(|turn| match turn {
                BulkItem::Stream(channel) => Some(channel),
                BulkItem::Message => None,
            });
        let small = std::mem::take(&mut self.small_streams);
        small.into_iter().chain(bulk).collect()
    }
}

/// Whether a stream's open frame is still to be written.
fn is_unsent(channel: &Arc<Channel>) -> bool {
    channel.role == Role::Caller && channel.number() == 0 && !channel.is_failed()
}
