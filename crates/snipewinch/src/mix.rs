//! Hashes and pseudorandom numbers that are the same in every process.

use crate::Digest;

/// The first 64 bits of the digest of `text`.
pub(crate) fn hash(text: &str) -> u64 {
    let digest = Digest::of(text.as_bytes());
    let (head, _) = digest.as_bytes().split_at(size_of::<u64>());
    head.iter()
        .fold(0, |sum, &byte| (sum << 8) | u64::from(byte))
}

/// Mixes two numbers into one whose bits all depend on both (the finalizer of
/// SplitMix64; Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators", 2014).
pub(crate) fn combine(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A pseudorandom number generator (SplitMix64).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rng {
    state: u64,
}

impl Rng {
    pub(crate) fn new(seed: u64) -> Rng {
        Rng { state: seed }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        combine(self.state, 1)
    }

    /// A number below `limit`, which must not be 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        ((u128::from(self.next()) * limit as u128) >> u64::BITS) as usize
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
