//! Frames as bytes.
//!
//! The types are generated from `schema/frame.json`. JSON Schema has no byte strings, so the bytes of a
//! body are not a field: they follow the frame as a second CBOR item in the same message.

use bytes::Bytes;
use serde::de::value::StrDeserializer;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Serialize};

pub use crate::border::frame::*;

/// Most bytes of a body, or of a large control message, in one frame.
pub const CHUNK: usize = 16 << 10;

/// Room for the encoding of a frame around the bytes it carries.
const OVERHEAD: usize = 64;

/// What a message held.
#[derive(Clone, Debug)]
pub enum Decoded<T> {
    /// A frame and the bytes that follow it.
    Known(T, Bytes),
    /// Well-formed, but of a kind that is not known here.
    Unknown,
}

/// A message that holds no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame")]
pub struct Malformed;

/// Encodes a frame or a control message.
pub fn encode<T: Serialize>(item: &T) -> Bytes {
    let mut buffer = Vec::with_capacity(OVERHEAD);
    write(item, &mut buffer);
    buffer.into()
}

/// Encodes a frame that is followed by bytes.
pub fn encode_with(frame: &Frame, bytes: &Bytes) -> Bytes {
    let mut buffer = Vec::with_capacity(OVERHEAD + bytes.len());
    write(frame, &mut buffer);
    write(bytes, &mut buffer);
    buffer.into()
}

/// Writing to memory does not fail, and the generated types hold nothing that CBOR cannot.
fn write<T: Serialize>(item: &T, buffer: &mut Vec<u8>) {
    let written = ciborium::into_writer(item, buffer);
    debug_assert!(written.is_ok());
}

/// Decodes a frame and the bytes that follow it.
pub fn decode(message: &[u8]) -> Result<Decoded<Frame>, Malformed> {
    let mut rest = message;
    let frame = match ciborium::from_reader::<Frame, _>(&mut rest) {
        Ok(frame) => frame,
        Err(_) => return classify(message),
    };
    let bytes = match frame {
        Frame::Data(_) | Frame::Part(_) => {
            ciborium::from_reader(&mut rest).map_err(|_| Malformed)?
        }
        _ => Bytes::new(),
    };
    if !rest.is_empty() {
        return Err(Malformed);
    }
    Ok(Decoded::Known(frame, bytes))
}

/// Decodes a control message that came in parts.
pub fn decode_message(bytes: &[u8]) -> Result<Decoded<Message>, Malformed> {
    match ciborium::from_reader::<Message, _>(bytes) {
        Ok(message) => Ok(Decoded::Known(message, Bytes::new())),
        Err(_) => classify_message(bytes),
    }
}

/// Tells a frame of unknown kind, which a newer version may send, from garbage.
fn classify(bytes: &[u8]) -> Result<Decoded<Frame>, Malformed> {
    let value: ciborium::Value = ciborium::from_reader(bytes).map_err(|_| Malformed)?;
    let (kind, content) = tagged(&value).ok_or(Malformed)?;
    if is_unknown::<Frame>(kind) {
        return Ok(Decoded::Unknown);
    }
    match tagged(content) {
        Some((inner, _)) if kind == "message" && is_unknown::<Message>(inner) => {
            Ok(Decoded::Unknown)
        }
        _ => Err(Malformed),
    }
}

/// The same for a control message.
fn classify_message(bytes: &[u8]) -> Result<Decoded<Message>, Malformed> {
    let value: ciborium::Value = ciborium::from_reader(bytes).map_err(|_| Malformed)?;
    match tagged(&value) {
        Some((kind, _)) if is_unknown::<Message>(kind) => Ok(Decoded::Unknown),
        _ => Err(Malformed),
    }
}

/// The only key of a map and its value.
fn tagged(value: &ciborium::Value) -> Option<(&str, &ciborium::Value)> {
    match value.as_map()?.as_slice() {
        [(key, content)] => Some((key.as_text()?, content)),
        _ => None,
    }
}

fn is_unknown<'de, T: Deserialize<'de>>(kind: &'de str) -> bool {
    let name: StrDeserializer<'de, Probe> = kind.into_deserializer();
    matches!(T::deserialize(name), Err(Probe::Unknown))
}

/// Why a bare kind does not make an enum: it never does, but only an unknown one is
/// reported as such.
#[derive(Debug, thiserror::Error)]
enum Probe {
    #[error("unknown kind")]
    Unknown,
    #[error("known kind")]
    Known,
}

impl serde::de::Error for Probe {
    fn custom<T: std::fmt::Display>(_: T) -> Probe {
        Probe::Known
    }

    fn unknown_variant(_: &str, _: &'static [&'static str]) -> Probe {
        Probe::Unknown
    }
}
