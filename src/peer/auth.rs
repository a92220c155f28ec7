//! The mutual challenge-response authentication that opens a link.
//!
//! Both sides send a hello with a fresh nonce. The dialling side then sends its proof, and the
//! accepting side answers with its own only if the first is valid. A proof is the HMAC-SHA256, under the
//! shared secret, of the sending side and of both hello frames byte for byte. It thus covers both nonces,
//! names, incarnations, zones and versions, so a recorded handshake cannot be replayed.

use std::fmt::Write;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The protocol version that this host sends in its hello.
pub const VERSION: u32 = 1;
/// The oldest protocol version that is accepted.
pub const OLDEST_VERSION: u32 = 1;
/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// Domain separator: no other use of the secret yields a valid proof.
const PROOF_CONTEXT: &[u8] = b"ragwortfold peer link";

/// A side of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that connected.
    Dialling,
    /// The side that was connected to.
    Accepting,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Dialling => b"dial",
            Side::Accepting => b"accept",
        }
    }
}

/// Both hello frames of a handshake as they were sent, and the shared secret.
#[derive(Clone, Debug)]
pub struct Transcript {
    secret: Arc<str>,
    dialling: Vec<u8>,
    accepting: Vec<u8>,
}

impl Transcript {
    /// Creates a transcript from the encoded hello frames of both sides.
    pub fn new(secret: Arc<str>, dialling: &[u8], accepting: &[u8]) -> Transcript {
        Transcript {
            secret,
            dialling: dialling.to_vec(),
            accepting: accepting.to_vec(),
        }
    }

    /// Computes the proof of a side, in hexadecimal.
    pub fn proof(&self, side: Side) -> Option<String> {
        let mac = self.mac(side)?.finalize().into_bytes();
        Some(hex(&mac))
    }

    /// Whether `proof` is the valid proof of a side. Compares in constant time.
    pub fn is_proven(&self, side: Side, proof: &str) -> bool {
        let Some(given) = unhex(proof) else {
            return false;
        };
        self.mac(side)
            .is_some_and(|mac| mac.verify_slice(&given).is_ok())
    }

    fn mac(&self, side: Side) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes()).ok()?;
        for field in [PROOF_CONTEXT, side.label(), &self.dialling, &self.accepting] {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        Some(mac)
    }
}

/// Encodes bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits.chunks(2).map(unhex_byte).collect()
}

fn unhex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(text, 16).ok()
}
