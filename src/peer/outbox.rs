//! What waits to be written to a link, and in which order: control, then small streams, then bulk.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;

use super::channel::{Channel, End, Size};
use super::frame::{self, Frame, Part, CHUNK};

/// Turns of small streams after which bulk gets one, so that it is never starved.
const SMALL_PER_BULK: u32 = 8;

/// What is to be written next.
pub(crate) enum Next {
    /// An encoded frame.
    Frame(Bytes),
    /// A frame of a stream.
    Stream(Arc<Channel>),
}

/// A place in the round of bulk.
enum Turn {
    Stream(Arc<Channel>),
    Message,
}

/// Whether the link takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Yes.
    Open,
    /// It only finishes the streams that are open.
    Draining,
    /// It has ended.
    Closed,
}

/// The queues of one link.
pub(crate) struct Outbox {
    control: VecDeque<Bytes>,
    small: VecDeque<Arc<Channel>>,
    bulk: VecDeque<Turn>,
    messages: VecDeque<Bytes>,
    goodbye: Option<Bytes>,
    waiting: usize,
    backlog: usize,
    small_turns: u32,
    phase: Phase,
    used: Instant,
}

impl Outbox {
    /// An empty outbox that holds at most `backlog` bytes of control messages.
    pub(crate) fn new(backlog: usize, now: Instant) -> Outbox {
        Outbox {
            control: VecDeque::new(),
            small: VecDeque::new(),
            bulk: VecDeque::new(),
            messages: VecDeque::new(),
            goodbye: None,
            waiting: 0,
            backlog,
            small_turns: 0,
            phase: Phase::Open,
            used: now,
        }
    }

    /// Whether new work is taken.
    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// When work was last put in.
    pub(crate) fn used(&self) -> Instant {
        self.used
    }

    /// Notes that the link is in use.
    pub(crate) fn touch(&mut self, now: Instant) {
        self.used = now;
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.control.is_empty()
            && self.small.is_empty()
            && self.bulk.is_empty()
            && self.goodbye.is_none()
    }

    /// Queues a frame of the link itself. False when a peer that asks for many does not take them.
    pub(crate) fn push_frame(&mut self, frame: &Frame) -> bool {
        if self.phase != Phase::Closed {
            self.put_control(frame::encode(frame));
        }
        self.waiting <= 2 * self.backlog
    }

    /// Queues an encoded message. `whole` is the frame that holds all of it; a message that does
    /// not fit one goes in parts, as bulk.
    pub(crate) fn push_message(&mut self, message: &Bytes, whole: &Bytes) -> bool {
        if self.phase == Phase::Closed || self.waiting + message.len() > self.backlog {
            return false;
        }
        if message.len() <= CHUNK {
            self.put_control(whole.clone());
            return true;
        }
        self.waiting += message.len();
        if self.messages.is_empty() {
            self.bulk.push_back(Turn::Message);
        }
        self.messages.push_back(message.clone());
        true
    }

    fn put_control(&mut self, frame: Bytes) {
        self.waiting += frame.len();
        self.control.push_back(frame);
    }

    /// Queues a new stream; refused unless the link takes new work.
    pub(crate) fn push_open(&mut self, channel: Arc<Channel>) -> bool {
        if self.phase != Phase::Open {
            return false;
        }
        self.small.push_back(channel);
        true
    }

    /// Queues a stream that has something to send.
    pub(crate) fn push_stream(&mut self, channel: Arc<Channel>, size: Size) {
        if self.phase == Phase::Closed {
            return;
        }
        match size {
            Size::Small => self.small.push_back(channel),
            Size::Bulk => self.bulk.push_back(Turn::Stream(channel)),
        }
    }

    /// Takes what is to be written next.
    pub(crate) fn next(&mut self) -> Option<Next> {
        if let Some(frame) = self.control.pop_front() {
            self.waiting -= frame.len();
            return Some(Next::Frame(frame));
        }
        if self.goodbye.is_some() && !self.small.iter().any(is_unsent) {
            return self.goodbye.take().map(Next::Frame);
        }
        let is_bulk_due = self.small_turns >= SMALL_PER_BULK && !self.bulk.is_empty();
        if !is_bulk_due {
            if let Some(channel) = self.small.pop_front() {
                self.small_turns += 1;
                return Some(Next::Stream(channel));
            }
        }
        self.small_turns = 0;
        match self.bulk.pop_front()? {
            Turn::Stream(channel) => Some(Next::Stream(channel)),
            Turn::Message => self.next_part().map(Next::Frame),
        }
    }

    /// Takes the next part of the first message, and another turn if there is more.
    fn next_part(&mut self) -> Option<Bytes> {
        let message = self.messages.front_mut()?;
        let bytes = message.split_to(message.len().min(CHUNK));
        let end = message.is_empty();
        self.waiting -= bytes.len();
        if end {
            self.messages.pop_front();
        }
        if !self.messages.is_empty() {
            self.bulk.push_back(Turn::Message);
        }
        Some(frame::encode_with(&Frame::Part(Part { end }), &bytes))
    }

    /// Takes no more new streams. The goodbye is written after the open frames that wait.
    pub(crate) fn drain(&mut self, goodbye: &Frame) {
        if self.phase != Phase::Open {
            return;
        }
        self.phase = Phase::Draining;
        self.goodbye = Some(frame::encode(goodbye));
    }

    /// Takes nothing more. Returns the streams that wait.
    pub(crate) fn close(&mut self) -> Vec<Arc<Channel>> {
        self.phase = Phase::Closed;
        self.control.clear();
        self.messages.clear();
        self.goodbye = None;
        self.waiting = 0;
        let bulk = std::mem::take(&mut self.bulk)
            .into_iter()
            .filter_map(|turn| match turn {
                Turn::Stream(channel) => Some(channel),
                Turn::Message => None,
            });
        let small = std::mem::take(&mut self.small);
        small.into_iter().chain(bulk).collect()
    }
}

/// Whether a stream's open frame is still to be written.
fn is_unsent(channel: &Arc<Channel>) -> bool {
    channel.end == End::Caller && channel.number() == 0 && !channel.is_failed()
}
