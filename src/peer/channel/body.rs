//! The outgoing and the incoming body of a stream: their buffers, lengths and flow control credit.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

use super::SendQueue;
use crate::peer::error::StreamError;
use crate::peer::frame::{self, Data, Frame, MAX_CHUNK_BYTES};

/// Bytes sent after which a stream moves to the bulk queue and yields to small streams.
const SMALL_BODY_BYTES: u64 = 32 << 10;

/// The body that this end sends, with the frame that precedes it.
#[derive(Default)]
pub(super) struct OutgoingBody {
    /// The frame before the body (open or head), or one that replaces the reply and ends the stream.
    pub(super) first_frame: Option<Bytes>,
    /// Whether `first_frame` was taken for sending.
    pub(super) is_begun: bool,
    /// Whether no body follows `first_frame`.
    pub(super) is_only_frame: bool,
    pub(super) buffer: BytesMut,
    pub(super) declared_length: Option<u64>,
    /// Bytes that the user has written.
    pub(super) accepted_bytes: u64,
    /// Bytes that were taken for sending.
    pub(super) sent_bytes: u64,
    /// Bytes that the peer permits to send.
    pub(super) credit: u64,
    /// Whether the user has completed the body.
    pub(super) is_finished: bool,
    /// Whether nothing is left to send.
    pub(super) is_ended: bool,
}

/// The body that this end receives.
#[derive(Default)]
pub(super) struct IncomingBody {
    pub(super) chunks: VecDeque<Bytes>,
    /// Bytes in `chunks`.
    pub(super) buffered: usize,
    pub(super) declared_length: Option<u64>,
    pub(super) received_bytes: u64,
    /// Bytes that the peer may still send.
    pub(super) granted_bytes: u64,
    /// Most bytes that may be buffered and granted together.
    pub(super) window: usize,
    pub(super) is_ended: bool,
}

impl OutgoingBody {
    pub(super) fn send_queue(&self) -> SendQueue {
        match self.sent_bytes < SMALL_BODY_BYTES {
            true => SendQueue::Small,
            false => SendQueue::Bulk,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        if self.is_ended {
            return false;
        }
        if self.first_frame.is_some() {
            return true;
        }
        if !self.is_begun {
            return false;
        }
        match self.buffer.is_empty() {
            true => self.is_finished,
            false => self.credit > 0,
        }
    }

    pub(super) fn push_bytes(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        let actual = self.accepted_bytes + bytes.len() as u64;
        if let Some(declared) = self.declared_length.filter(|&declared| actual > declared) {
            return Err(StreamError::WrongLength { declared, actual });
        }
        self.accepted_bytes = actual;
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next frame. Once the first one is taken, the request counts as sent.
    pub(super) fn next_frame(&mut self, stream: u64) -> Option<Bytes> {
        if !self.is_ready() {
            return None;
        }
        if let Some(first) = self.first_frame.take() {
            self.is_begun = true;
            self.is_ended = self.is_only_frame;
            return Some(first);
        }
        let credit = usize::try_from(self.credit).unwrap_or(usize::MAX);
        let length = self.buffer.len().min(MAX_CHUNK_BYTES).min(credit);
        let bytes = self.buffer.split_to(length).freeze();
        self.credit -= length as u64;
        self.sent_bytes += length as u64;
        self.is_ended = self.is_finished && self.buffer.is_empty();
        let data = Data {
            stream,
            end: self.is_ended,
        };
        Some(frame::encode_with(&Frame::Data(data), &bytes))
    }

    pub(super) fn discard(&mut self) {
        self.first_frame = None;
        self.buffer.clear();
        self.is_ended = true;
    }
}

impl IncomingBody {
    /// Whether the body may be longer than the window.
    pub(super) fn may_exceed_window(&self) -> bool {
        self.declared_length
            .is_none_or(|declared| declared > self.window as u64)
    }

    /// Whether the credit granted covers the rest of the body.
    pub(super) fn is_rest_granted(&self) -> bool {
        self.declared_length
            .is_some_and(|declared| self.received_bytes + self.granted_bytes >= declared)
    }

    pub(super) fn push_bytes(&mut self, bytes: Bytes) {
        self.granted_bytes -= bytes.len() as u64;
        self.received_bytes += bytes.len() as u64;
        self.buffered += bytes.len();
        if !bytes.is_empty() {
            self.chunks.push_back(bytes);
        }
    }

    pub(super) fn length_error(&self) -> Option<StreamError> {
        let declared = self.declared_length?;
        let is_wrong =
            self.received_bytes > declared || (self.is_ended && self.received_bytes < declared);
        is_wrong.then_some(StreamError::WrongLength {
            declared,
            actual: self.received_bytes,
        })
    }

    pub(super) fn read_into(&mut self, buffer: &mut [u8]) -> usize {
        let mut count = 0;
        while count < buffer.len() {
            let Some(chunk) = self.chunks.front_mut() else {
                break;
            };
            let length = chunk.len().min(buffer.len() - count);
            chunk.copy_to_slice(&mut buffer[count..count + length]);
            count += length;
            if chunk.is_empty() {
                self.chunks.pop_front();
            }
        }
        self.buffered -= count;
        count
    }
}
