//! Set of chunk indices of one manifest.

use bytes::Bytes;

const WORD_BITS: usize = u64::BITS as usize;
const WORD_BYTES: usize = WORD_BITS / 8;

/// Set of chunk indices in `0..length`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bitmap {
    words: Vec<u64>,
    length: usize,
    count: usize,
}

impl Bitmap {
    /// Creates an empty set of indices in `0..length`.
    pub fn new(length: usize) -> Bitmap {
        Bitmap {
            words: vec![0; length.div_ceil(WORD_BITS)],
            length,
            count: 0,
        }
    }

    /// Reads a set in the format of [`Bitmap::to_bytes`]; ignores indices at or
    /// above `length`.
    pub fn from_bytes(bytes: &[u8], length: usize) -> Bitmap {
        let mut bitmap = Bitmap::new(length);
        for (offset, byte) in bytes.iter().take(length.div_ceil(8)).enumerate() {
            let shift = (offset % WORD_BYTES) * 8;
            bitmap.words[offset / WORD_BYTES] |= u64::from(*byte) << shift;
        }
        let tail_bits = length % WORD_BITS;
        if let Some(last) = bitmap.words.last_mut().filter(|_| tail_bits > 0) {
            *last &= (1 << tail_bits) - 1;
        }
        let ones = bitmap.words.iter().map(|word| word.count_ones() as usize);
        bitmap.count = ones.sum();
        bitmap
    }

    /// Encodes the set as one bit for each index, the lowest bit of the first
    /// byte first, without trailing zero bytes.
    pub fn to_bytes(&self) -> Bytes {
        let mut bytes: Vec<u8> = self
            .words
            .iter()
            .flat_map(|word| word.to_le_bytes())
            .collect();
        let used = bytes.iter().rposition(|byte| *byte != 0);
        bytes.truncate(used.map_or(0, |last| last + 1));
        bytes.into()
    }

    /// Returns the number of valid indices, in the set or not.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns the number of indices in the set.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns whether the set holds every valid index.
    pub fn is_full(&self) -> bool {
        self.count == self.length
    }

    /// Returns whether the set holds `index`.
    pub fn contains(&self, index: u32) -> bool {
        let index = index as usize;
        index < self.length && self.words[index / WORD_BITS] >> (index % WORD_BITS) & 1 == 1
    }

    /// Adds `index`; returns `false` if it is out of range or already in the
    /// set.
    pub fn insert(&mut self, index: u32) -> bool {
        if index as usize >= self.length || self.contains(index) {
            return false;
        }
        self.words[index as usize / WORD_BITS] |= 1 << (index as usize % WORD_BITS);
        self.count += 1;
        true
    }

    /// Removes `index`; returns whether it was in the set.
    pub fn remove(&mut self, index: u32) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[index as usize / WORD_BITS] &= !(1 << (index as usize % WORD_BITS));
        self.count -= 1;
        true
    }

    /// Iterates over the indices in the set, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length as u32).filter(|index| self.contains(*index))
    }

    /// Iterates over the valid indices that are not in the set, lowest first.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length as u32).filter(|index| !self.contains(*index))
    }
}
