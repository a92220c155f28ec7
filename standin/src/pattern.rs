//! Bytes and hashes that show whose answer an answer is.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

/// The hash of a body, in hexadecimal.
pub fn hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// `length` bytes that depend on `name` alone.
pub fn bytes(name: &str, length: usize) -> Vec<u8> {
    let mut rng = Pcg64Mcg::seed_from_u64(xxh3_64(name.as_bytes()));
    let mut bytes = vec![0; length];
    rng.fill_bytes(&mut bytes);
    bytes
}
