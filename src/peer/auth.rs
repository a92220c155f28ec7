//! The mutual challenge and response that opens a link.
//!
//! Both sides send a hello with a fresh nonce. The dialling side then sends its proof, and the
//! accepting side answers with its own only if that one is right. A proof is the HMAC-SHA256, under the
//! shared secret, of the direction and of both hello frames byte for byte, so it binds both nonces,
//! names, incarnations, zones and versions; recorded handshakes are worthless.

use std::fmt::Write;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The protocol version spoken here.
pub const VERSION: u32 = 1;
/// The oldest protocol version that is accepted.
pub const OLDEST_VERSION: u32 = 1;
/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// Keeps proofs apart from any other use of the secret.
const CONTEXT: &[u8] = b"ragwortfold peer link";

/// Which side a proof is of.
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

/// Both hello frames of a handshake, as they were sent.
#[derive(Clone, Debug)]
pub struct Transcript {
    secret: Arc<str>,
    dialling: Vec<u8>,
    accepting: Vec<u8>,
}

impl Transcript {
    /// The transcript of a handshake under a secret.
    pub fn new(secret: Arc<str>, dialling: &[u8], accepting: &[u8]) -> Transcript {
        Transcript {
            secret,
            dialling: dialling.to_vec(),
            accepting: accepting.to_vec(),
        }
    }

    /// The proof of a side, in hexadecimal.
    pub fn proof(&self, side: Side) -> Option<String> {
        let mac = self.mac(side)?.finalize().into_bytes();
        Some(hex(&mac))
    }

    /// Whether a proof is that of a side, in constant time.
    pub fn is_proven(&self, side: Side, proof: &str) -> bool {
        let Some(given) = unhex(proof) else {
            return false;
        };
        self.mac(side)
            .is_some_and(|mac| mac.verify_slice(&given).is_ok())
    }

    fn mac(&self, side: Side) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.secret.as_bytes()).ok()?;
        for field in [CONTEXT, side.label(), &self.dialling, &self.accepting] {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        Some(mac)
    }
}

/// Bytes in hexadecimal.
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
