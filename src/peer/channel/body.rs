//! The two bodies of a stream: what is queued, declared, seen and credited.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

use super::Size;
use crate::peer::error::StreamError;
use crate::peer::frame::{self, Data, Frame, CHUNK};

/// Bytes of a body after which a stream counts as bulk and yields to small ones.
const SMALL: u64 = 32 << 10;

/// A body on its way out.
#[derive(Default)]
pub(super) struct Sending {
    /// The frame that comes before the body: open or head, or one that ends the stream.
    pub(super) first: Option<Bytes>,
    pub(super) begun: bool,
    /// Whether `first` is all there is to send.
    pub(super) only: bool,
    pub(super) buffer: BytesMut,
    pub(super) declared: Option<u64>,
    pub(super) accepted: u64,
    pub(super) sent: u64,
    pub(super) credit: u64,
    pub(super) finished: bool,
    pub(super) ended: bool,
}

/// A body on its way in.
#[derive(Default)]
pub(super) struct Receiving {
    pub(super) chunks: VecDeque<Bytes>,
    pub(super) buffered: usize,
    pub(super) declared: Option<u64>,
    pub(super) received: u64,
    pub(super) granted: u64,
    pub(super) window: usize,
    pub(super) ended: bool,
}

impl Sending {
    pub(super) fn size(&self) -> Size {
        match self.sent < SMALL {
            true => Size::Small,
            false => Size::Bulk,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        if self.ended {
            return false;
        }
        if self.first.is_some() {
            return true;
        }
        if !self.begun {
            return false;
        }
        match self.buffer.is_empty() {
            true => self.finished,
            false => self.credit > 0,
        }
    }

    pub(super) fn accept(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        let actual = self.accepted + bytes.len() as u64;
        if let Some(declared) = self.declared.filter(|&declared| actual > declared) {
            return Err(StreamError::Length { declared, actual });
        }
        self.accepted = actual;
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next frame; the stream's first byte counts as sent from here on.
    pub(super) fn next(&mut self, stream: u64) -> Option<Bytes> {
        if !self.is_ready() {
            return None;
        }
        if let Some(first) = self.first.take() {
            self.begun = true;
            self.ended = self.only;
            return Some(first);
        }
        let credit = usize::try_from(self.credit).unwrap_or(usize::MAX);
        let length = self.buffer.len().min(CHUNK).min(credit);
        let bytes = self.buffer.split_to(length).freeze();
        self.credit -= length as u64;
        self.sent += length as u64;
        self.ended = self.finished && self.buffer.is_empty();
        let data = Data {
            stream,
            end: self.ended,
        };
        Some(frame::encode_with(&Frame::Data(data), &bytes))
    }

    pub(super) fn stop(&mut self) {
        self.first = None;
        self.buffer.clear();
        self.ended = true;
    }
}

impl Receiving {
    /// Whether more may come than the first window holds.
    pub(super) fn is_long(&self) -> bool {
        self.declared
            .is_none_or(|declared| declared > self.window as u64)
    }

    /// Whether the credit granted covers the rest of the body.
    pub(super) fn is_covered(&self) -> bool {
        self.declared
            .is_some_and(|declared| self.received + self.granted >= declared)
    }

    pub(super) fn accept(&mut self, bytes: Bytes) {
        self.granted -= bytes.len() as u64;
        self.received += bytes.len() as u64;
        self.buffered += bytes.len();
        if !bytes.is_empty() {
            self.chunks.push_back(bytes);
        }
    }

    pub(super) fn wrong_length(&self) -> Option<StreamError> {
        let declared = self.declared?;
        let is_wrong = self.received > declared || (self.ended && self.received < declared);
        is_wrong.then_some(StreamError::Length {
            declared,
            actual: self.received,
        })
    }

    pub(super) fn take(&mut self, buffer: &mut [u8]) -> usize {
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
