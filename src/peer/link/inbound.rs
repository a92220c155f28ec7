//! What comes in over a link.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::SplitStream;
use futures_util::StreamExt;
use tokio_tungstenite::tungstenite::{self, Message as Packet};

use super::{count_broken, number, other, Link, Socket};
use crate::peer::channel::{Arrival, Channel, End, Permit, Violation};
use crate::peer::count::Tally;
use crate::peer::error::{Reason, ROOM_RETRY};
use crate::peer::frame::{self, Decoded, Frame, Malformed};
use crate::peer::lock;
use crate::peer::mesh::Event;
use crate::peer::stream::{Incoming, Open, Reply};

/// What a peer may not send; it ends the link.
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
    fn count(self, tally: &Tally) {
        match self {
            Fault::Malformed => tally.malformed.one(),
            Fault::Oversize => tally.oversize.one(),
            Fault::UnknownStream => tally.unknown_stream.one(),
            Fault::Violation => tally.violation.one(),
        }
    }
}

impl Link {
    /// Reads until the link ends.
    pub(super) async fn read(self: &Arc<Link>, stream: &mut SplitStream<Socket>) -> Reason {
        let mut parts = BytesMut::new();
        loop {
            let next = tokio::time::timeout(self.core.config.silence, stream.next());
            let packet = match next.await {
                Err(_) => return Reason::Silent,
                Ok(None) => return self.lost(),
                Ok(Some(Err(error))) => return self.broken(&error),
                Ok(Some(Ok(packet))) => packet,
            };
            self.confirm();
            let bytes = match packet {
                Packet::Binary(bytes) => bytes,
                Packet::Ping(_) | Packet::Pong(_) => continue,
                Packet::Close(_) => return self.lost(),
                Packet::Text(_) | Packet::Frame(_) => {
                    self.core.tally.malformed.one();
                    return Reason::Fault;
                }
            };
            self.core.tally.bytes_in.add(bytes.len() as u64);
            if let Err(fault) = self.on_bytes(&bytes, &mut parts) {
                fault.count(&self.core.tally);
                spdlog::warn!(
                    "peer: {} sent a frame that it may not: {fault:?}",
                    self.host
                );
                return Reason::Fault;
            }
        }
    }

    fn broken(&self, error: &tungstenite::Error) -> Reason {
        match count_broken(&self.core, error) {
            true => Reason::Fault,
            false => self.lost(),
        }
    }

    fn on_bytes(self: &Arc<Link>, bytes: &[u8], parts: &mut BytesMut) -> Result<(), Fault> {
        match frame::decode(bytes)? {
            Decoded::Known(frame, payload) => self.on_frame(frame, payload, parts),
            Decoded::Unknown => {
                self.core.tally.unknown_kind.one();
                Ok(())
            }
        }
    }

    fn on_frame(
        self: &Arc<Link>,
        frame: Frame,
        payload: Bytes,
        parts: &mut BytesMut,
    ) -> Result<(), Fault> {
        match frame {
            Frame::Message(message) => {
                self.on_message(message);
                Ok(())
            }
            Frame::Part(part) => self.on_part(part.end, &payload, parts),
            Frame::Open(open) => self.on_open(open),
            Frame::Head(head) => self.on_reply(head.stream, Reply::from_head(head)),
            Frame::Refused(refused) => self.on_reply(refused.stream, Reply::from_refused(refused)),
            Frame::Unknown(unknown) => self.on_reply(unknown.stream, Reply::from_unknown(unknown)),
            Frame::Data(data) => self.on_data(data.stream, payload, data.end),
            Frame::Credit(credit) => self.on_credit(credit.stream, credit.bytes),
            Frame::Cancel(cancel) => self.on_given_up(cancel.stream, End::Server),
            Frame::Reset(reset) => self.on_given_up(reset.stream, End::Caller),
            Frame::Goodbye(_) => {
                self.has_goodbye.store(true, Ordering::Relaxed);
                self.say_goodbye("answer");
                self.wake.notify_one();
                self.core.on_draining(&self.host);
                Ok(())
            }
            Frame::Hello(_) | Frame::Proof(_) => Err(Fault::Violation),
        }
    }

    fn on_message(&self, message: frame::Message) {
        self.core.tally.messages_in.one();
        (self.core.events)(Event::Control {
            host: self.host.clone(),
            incarnation: self.incarnation,
            message,
        });
    }

    fn on_part(&self, end: bool, bytes: &[u8], parts: &mut BytesMut) -> Result<(), Fault> {
        if parts.len() + bytes.len() > self.core.config.message {
            return Err(Fault::Oversize);
        }
        parts.extend_from_slice(bytes);
        if !end {
            return Ok(());
        }
        match frame::decode_message(&std::mem::take(parts))? {
            Decoded::Known(message, _) => self.on_message(message),
            Decoded::Unknown => self.core.tally.unknown_kind.one(),
        }
        Ok(())
    }

    fn on_open(self: &Arc<Link>, open: frame::Open) -> Result<(), Fault> {
        if self.has_goodbye() {
            return Err(Fault::Violation);
        }
        let count = self.accepted.fetch_add(1, Ordering::Relaxed);
        let stream = number(other(self.side), count);
        let Some(permit) = Permit::take(&self.places_in, self.core.config.streams) else {
            self.core.tally.streams_refused.one();
            self.push(&Frame::Refused(frame::Refused {
                stream,
                reason: "streams".to_owned(),
                retry_after_ms: ROOM_RETRY.as_millis() as u64,
            }));
            return Ok(());
        };
        let channel = Channel::new(stream, End::Server, permit, self.windows.clone());
        let channel = Arc::new(channel);
        channel.expect(open.length);
        lock(&self.streams).insert(stream, channel.clone());
        self.core.tally.streams_in.one();
        let incoming = Incoming::new(self.clone(), channel, Open::from_frame(open));
        (self.core.events)(Event::Open(incoming));
        Ok(())
    }

    /// The stream of a frame; none if it has ended, an error if there never was one.
    fn find(&self, stream: u64, end: End) -> Result<Option<Arc<Channel>>, Fault> {
        if let Some(channel) = lock(&self.streams).get(&stream) {
            return match channel.end == end {
                true => Ok(Some(channel.clone())),
                false => Err(Fault::Violation),
            };
        }
        let own = stream % 2 == number(self.side, 0) % 2;
        let count = match own {
            true => self.opened.load(Ordering::Relaxed),
            false => self.accepted.load(Ordering::Relaxed),
        };
        let side = if own { self.side } else { other(self.side) };
        if stream == 0 || stream >= number(side, count) {
            return Err(Fault::UnknownStream);
        }
        self.core.tally.late.one();
        Ok(None)
    }

    /// The stream of a frame that either end may get.
    fn find_any(&self, stream: u64) -> Result<Option<Arc<Channel>>, Fault> {
        let own = stream % 2 == number(self.side, 0) % 2;
        let end = if own { End::Caller } else { End::Server };
        self.find(stream, end)
    }

    fn on_reply(&self, stream: u64, reply: Reply) -> Result<(), Fault> {
        let Some(channel) = self.find(stream, End::Caller)? else {
            return Ok(());
        };
        if channel.on_reply(reply)? == Arrival::End {
            self.remove(stream);
        }
        Ok(())
    }

    fn on_data(&self, stream: u64, bytes: Bytes, end: bool) -> Result<(), Fault> {
        let Some(channel) = self.find_any(stream)? else {
            return Ok(());
        };
        match channel.on_data(bytes, end)? {
            Arrival::More => {}
            Arrival::End => self.remove(stream),
            Arrival::Wrong => {
                self.core.tally.wrong_length.one();
                self.give_up(&channel);
            }
        }
        Ok(())
    }

    fn on_credit(&self, stream: u64, bytes: u64) -> Result<(), Fault> {
        if let Some(channel) = self.find_any(stream)? {
            let wish = channel.on_credit(bytes);
            self.grant(&channel, wish);
        }
        Ok(())
    }

    fn on_given_up(&self, stream: u64, end: End) -> Result<(), Fault> {
        if let Some(channel) = self.find(stream, end)? {
            self.remove(stream);
            channel.on_cut();
        }
        Ok(())
    }
}
