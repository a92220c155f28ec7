//! Encoding and decoding of frames.
//!
//! The types are generated from `schema/frame.json`. JSON Schema has no byte strings, so the bytes of a
//! body are not a field: they follow the frame as a second CBOR item in the same message.

use bytes::Bytes;
use serde::de::value::StrDeserializer;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Serialize};

pub use crate::border::frame::*;

/// Most bytes of a body, or of a large control message, in one frame.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Initial buffer capacity, in bytes, for the encoding of a frame without the bytes that follow it.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// A decoded frame or control message.
#[derive(Clone, Debug)]
pub enum Decoded<T> {
    /// A frame and the bytes that follow it.
    Known(T, Bytes),
    /// Well-formed, but of a kind that this version does not support.
    Unknown,
}

/// The bytes are not a valid frame or control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame")]
pub struct Malformed;

/// Encodes a frame or a control message.
pub fn encode<T: Serialize>(item: &T) -> Bytes {
    let mut buffer = Vec::with_capacity(FRAME_OVERHEAD_BYTES);
    write(item, &mut buffer);
    buffer.into()
}

/// Encodes a frame that is followed by bytes.
pub fn encode_with(frame: &Frame, bytes: &Bytes) -> Bytes {
    let mut buffer = Vec::with_capacity(FRAME_OVERHEAD_BYTES + bytes.len());
    write(frame, &mut buffer);
    write(bytes, &mut buffer);
    buffer.into()
}

/// Appends an item as CBOR. Cannot fail: writes to memory succeed, and CBOR can represent all of the
/// generated types.
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

/// Decodes a control message that was received in parts.
pub fn decode_message(bytes: &[u8]) -> Result<Decoded<Message>, Malformed> {
    match ciborium::from_reader::<Message, _>(bytes) {
        Ok(message) => Ok(Decoded::Known(message, Bytes::new())),
        Err(_) => classify_message(bytes),
    }
}

/// Distinguishes a frame of unknown kind, which a newer version may send, from a malformed one.
fn classify(bytes: &[u8]) -> Result<Decoded<Frame>, Malformed> {
    let value: ciborium::Value = ciborium::from_reader(bytes).map_err(|_| Malformed)?;
    let (kind, content) = single_entry(&value).ok_or(Malformed)?;
    if is_unknown::<Frame>(kind) {
        return Ok(Decoded::Unknown);
    }
    match single_entry(content) {
        Some((inner, _)) if kind == "message" && is_unknown::<Message>(inner) => {
            Ok(Decoded::Unknown)
        }
        _ => Err(Malformed),
    }
}

/// Distinguishes a control message of unknown kind from a malformed one.
fn classify_message(bytes: &[u8]) -> Result<Decoded<Message>, Malformed> {
    let value: ciborium::Value = ciborium::from_reader(bytes).map_err(|_| Malformed)?;
    match single_entry(&value) {
        Some((kind, _)) if is_unknown::<Message>(kind) => Ok(Decoded::Unknown),
        _ => Err(Malformed),
    }
}

/// The key and value of a map with a single entry, which is how an enum is encoded.
fn single_entry(value: &ciborium::Value) -> Option<(&str, &ciborium::Value)> {
    match value.as_map()?.as_slice() {
        [(key, content)] => Some((key.as_text()?, content)),
        _ => None,
    }
}

fn is_unknown<'de, T: Deserialize<'de>>(kind: &'de str) -> bool {
    let name: StrDeserializer<'de, KindError> = kind.into_deserializer();
    matches!(T::deserialize(name), Err(KindError::Unknown))
}

/// The error of deserializing an enum from the name of a kind alone. That always fails, but only an
/// unknown kind yields [`KindError::Unknown`].
#[derive(Debug, thiserror::Error)]
enum KindError {
    #[error("unknown kind")]
    Unknown,
    #[error("known kind")]
    Known,
}

impl serde::de::Error for KindError {
    fn custom<T: std::fmt::Display>(_: T) -> KindError {
        KindError::Known
    }

    fn unknown_variant(_: &str, _: &'static [&'static str]) -> KindError {
        KindError::Unknown
    }
}
