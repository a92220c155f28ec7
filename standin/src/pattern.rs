//! Reproducible bytes and their hashes, which show which request a response belongs to.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the XXH3 hash of a body as 16 hexadecimal digits.
pub fn hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Returns `length` pseudo-random bytes that depend on `name` only.
pub fn bytes(name: &str, length: usize) -> Vec<u8> {
    let mut rng = Pcg64Mcg::seed_from_u64(xxh3_64(name.as_bytes()));
    let mut bytes = vec![0; length];
    rng.fill_bytes(&mut bytes);
    bytes
}
