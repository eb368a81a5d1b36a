//! Test weights generated from a seed.

use bytes::Bytes;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Returns `length` random bytes, determined by `seed`.
pub fn random(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

/// Returns a copy of `base` with one byte changed in `percent` of its chunks,
/// rounded down and picked by `seed`.
pub fn with_changed_chunks(base: &[u8], chunk_bytes: usize, percent: usize, seed: u64) -> Bytes {
    let mut bytes = base.to_vec();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let chunks = bytes.len().div_ceil(chunk_bytes);
    let mut order: Vec<usize> = (0..chunks).collect();
    for last in (1..chunks).rev() {
        order.swap(last, rng.random_range(0..=last));
    }
    for chunk in order.into_iter().take(chunks * percent / 100) {
        bytes[chunk * chunk_bytes] ^= 0xff;
    }
    Bytes::from(bytes)
}
