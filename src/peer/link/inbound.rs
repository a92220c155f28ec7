//! The receiving half of a link: decodes frames and dispatches them to streams and the event handler.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::SplitStream;
use futures_util::StreamExt;
use tokio_tungstenite::tungstenite::{self, Message as WsMessage};

use super::{count_error, opposite_side, stream_number, Link, Socket};
use crate::peer::channel::{Channel, Permit, Received, Role, Violation};
use crate::peer::count::AtomicCounters;
use crate::peer::error::{LinkEndReason, STREAM_LIMIT_RETRY_AFTER};
use crate::peer::frame::{self, Decoded, Frame, Malformed};
use crate::peer::lock;
use crate::peer::mesh::Event;
use crate::peer::stream::{Incoming, Open, Reply};

/// A protocol violation by the peer, which ends the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Malformed,
    Oversize,
    UnknownStream,
    Violation,
}

impl From<Violation> for Fault {
    fn from(_: Violation) -> Fault {
        Fault::Violation
    }
}

impl From<Malformed> for Fault {
    fn from(_: Malformed) -> Fault {
        Fault::Malformed
    }
}

impl Fault {
    fn count(self, counters: &AtomicCounters) {
        match self {
            Fault::Malformed => counters.malformed.increment(),
            Fault::Oversize => counters.oversize.increment(),
            Fault::UnknownStream => counters.unknown_stream.increment(),
            Fault::Violation => counters.violation.increment(),
        }
    }
}

impl Link {
    /// Reads and handles frames until the link ends.
    pub(super) async fn read(self: &Arc<Link>, stream: &mut SplitStream<Socket>) -> LinkEndReason {
        let mut partial_message = BytesMut::new();
        loop {
            let next = tokio::time::timeout(self.core.config.silence_timeout, stream.next());
            let packet = match next.await {
                Err(_) => return LinkEndReason::Silent,
                Ok(None) => return self.loss_reason(),
                Ok(Some(Err(error))) => return self.end_reason(&error),
                Ok(Some(Ok(packet))) => packet,
            };
            self.mark_confirmed();
            let bytes = match packet {
                WsMessage::Binary(bytes) => bytes,
                WsMessage::Ping(_) | WsMessage::Pong(_) => continue,
                WsMessage::Close(_) => return self.loss_reason(),
                WsMessage::Text(_) | WsMessage::Frame(_) => {
                    self.core.counters.malformed.increment();
                    return LinkEndReason::Fault;
                }
            };
            self.core.counters.bytes_in.add(bytes.len() as u64);
            if let Err(fault) = self.on_bytes(&bytes, &mut partial_message) {
                fault.count(&self.core.counters);
                spdlog::warn!(
                    "peer: {} sent a frame that it may not: {fault:?}",
                    self.host
                );
                return LinkEndReason::Fault;
            }
        }
    }

    fn end_reason(&self, error: &tungstenite::Error) -> LinkEndReason {
        match count_error(&self.core, error) {
            true => LinkEndReason::Fault,
            false => self.loss_reason(),
        }
    }

    fn on_bytes(
        self: &Arc<Link>,
        bytes: &[u8],
        partial_message: &mut BytesMut,
    ) -> Result<(), Fault> {
        match frame::decode(bytes)? {
            Decoded::Known(frame, payload) => self.on_frame(frame, payload, partial_message),
            Decoded::Unknown => {
                self.core.counters.unknown_kind.increment();
                Ok(())
            }
        }
    }

    fn on_frame(
        self: &Arc<Link>,
        frame: Frame,
        payload: Bytes,
        partial_message: &mut BytesMut,
    ) -> Result<(), Fault> {
        match frame {
            Frame::Message(message) => {
                self.on_message(message);
                Ok(())
            }
            Frame::Part(part) => self.on_part(part.end, &payload, partial_message),
            Frame::Open(open) => self.on_open(open),
            Frame::Head(head) => self.on_reply(head.stream, Reply::from_head(head)),
            Frame::Refused(refused) => self.on_reply(refused.stream, Reply::from_refused(refused)),
            Frame::Unknown(unknown) => self.on_reply(unknown.stream, Reply::from_unknown(unknown)),
            Frame::Data(data) => self.on_data(data.stream, payload, data.end),
            Frame::Credit(credit) => self.on_credit(credit.stream, credit.bytes),
            Frame::Cancel(cancel) => self.on_cancelled(cancel.stream, Role::Server),
            Frame::Reset(reset) => self.on_cancelled(reset.stream, Role::Caller),
            Frame::Goodbye(_) => {
                self.has_received_goodbye.store(true, Ordering::Relaxed);
                self.start_draining("answer");
                self.wake.notify_one();
                self.core.on_draining(&self.host);
                Ok(())
            }
            Frame::Hello(_) | Frame::Proof(_) => Err(Fault::Violation),
        }
    }

    fn on_message(&self, message: frame::Message) {
        self.core.counters.messages_in.increment();
        (self.core.event_handler)(Event::Control {
            host: self.host.clone(),
            incarnation: self.incarnation,
            message,
        });
    }

    fn on_part(
        &self,
        is_last: bool,
        bytes: &[u8],
        partial_message: &mut BytesMut,
    ) -> Result<(), Fault> {
        if partial_message.len() + bytes.len() > self.core.config.max_message_bytes {
            return Err(Fault::Oversize);
        }
        partial_message.extend_from_slice(bytes);
        if !is_last {
            return Ok(());
        }
        match frame::decode_message(&std::mem::take(partial_message))? {
            Decoded::Known(message, _) => self.on_message(message),
            Decoded::Unknown => self.core.counters.unknown_kind.increment(),
        }
        Ok(())
    }

    fn on_open(self: &Arc<Link>, open: frame::Open) -> Result<(), Fault> {
        if self.has_received_goodbye() {
            return Err(Fault::Violation);
        }
        let queued = open.queued_ms.map(Duration::from_millis);
        let count = self.accepted_streams.fetch_add(1, Ordering::Relaxed);
        let stream = stream_number(opposite_side(self.side), count);
        let Some(permit) = Permit::take(&self.incoming_stream_count, self.core.config.max_streams)
        else {
            self.core.counters.streams_refused.increment();
            self.refuse(stream, "streams", STREAM_LIMIT_RETRY_AFTER);
            return Ok(());
        };
        let mut open = Open::from_frame(open);
        if let Some(queued) = queued {
            let delay = lock(&self.transit).record(queued, self.started.elapsed());
            open.deadline = open.deadline.saturating_sub(delay);
        }
        if open.deadline.is_zero() {
            self.core.counters.expired.increment();
            self.refuse(stream, "time", Duration::ZERO);
            return Ok(());
        }
        let channel = Channel::new(stream, Role::Server, permit, self.windows.clone());
        let channel = Arc::new(channel);
        channel.set_expected_length(open.length);
        lock(&self.streams).insert(stream, channel.clone());
        self.core.counters.streams_in.increment();
        let incoming = Incoming::new(self.clone(), channel, open);
        (self.core.event_handler)(Event::Open(incoming));
        Ok(())
    }

    /// Refuses a stream that the peer has opened.
    fn refuse(&self, stream: u64, reason: &str, retry_after: Duration) {
        self.queue_frame(&Frame::Refused(frame::Refused {
            stream,
            reason: reason.to_owned(),
            retry_after_ms: retry_after.as_millis() as u64,
        }));
    }

    /// Finds the stream of a frame. None if the stream has ended, an error if it was never opened or this
    /// end has another role in it.
    fn find_stream(&self, stream: u64, role: Role) -> Result<Option<Arc<Channel>>, Fault> {
        if let Some(channel) = lock(&self.streams).get(&stream) {
            return match channel.role == role {
                true => Ok(Some(channel.clone())),
                false => Err(Fault::Violation),
            };
        }
        let is_own = stream % 2 == stream_number(self.side, 0) % 2;
        let count = match is_own {
            true => self.opened_streams.load(Ordering::Relaxed),
            false => self.accepted_streams.load(Ordering::Relaxed),
        };
        let side = if is_own {
            self.side
        } else {
            opposite_side(self.side)
        };
        if stream == 0 || stream >= stream_number(side, count) {
            return Err(Fault::UnknownStream);
        }
        self.core.counters.late.increment();
        Ok(None)
    }

    /// Finds the stream of a frame that both the caller's and the server's end may receive.
    fn find_for_either_role(&self, stream: u64) -> Result<Option<Arc<Channel>>, Fault> {
        let is_own = stream % 2 == stream_number(self.side, 0) % 2;
        let role = if is_own { Role::Caller } else { Role::Server };
        self.find_stream(stream, role)
    }

    fn on_reply(&self, stream: u64, reply: Reply) -> Result<(), Fault> {
        let Some(channel) = self.find_stream(stream, Role::Caller)? else {
            return Ok(());
        };
        if channel.on_reply(reply)? == Received::Complete {
            self.remove(stream);
        }
        Ok(())
    }

    fn on_data(&self, stream: u64, bytes: Bytes, is_end: bool) -> Result<(), Fault> {
        let Some(channel) = self.find_for_either_role(stream)? else {
            return Ok(());
        };
        match channel.on_data(bytes, is_end)? {
            Received::Accepted => {}
            Received::Complete => self.remove(stream),
            Received::WrongLength => {
                self.core.counters.wrong_length.increment();
                self.cancel_stream(&channel);
            }
        }
        Ok(())
    }

    fn on_credit(&self, stream: u64, bytes: u64) -> Result<(), Fault> {
        if let Some(channel) = self.find_for_either_role(stream)? {
            let request = channel.on_credit(bytes);
            self.schedule_stream(&channel, request);
        }
        Ok(())
    }

    fn on_cancelled(&self, stream: u64, role: Role) -> Result<(), Fault> {
        if let Some(channel) = self.find_stream(stream, role)? {
            self.remove(stream);
            channel.on_interrupted();
        }
        Ok(())
    }
}
