//! A set of chunks of one manifest.

use bytes::Bytes;

const WORD_BITS: usize = u64::BITS as usize;
const WORD_BYTES: usize = WORD_BITS / 8;

/// A set of chunk places below a fixed length.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bitmap {
    words: Vec<u64>,
    length: usize,
    count: usize,
}

impl Bitmap {
    /// An empty set of places below `length`.
    pub fn new(length: usize) -> Bitmap {
        Bitmap {
            words: vec![0; length.div_ceil(WORD_BITS)],
            length,
            count: 0,
        }
    }

    /// A set from its bytes; places at or above `length` are left out.
    pub fn from_bytes(bytes: &[u8], length: usize) -> Bitmap {
        let mut bitmap = Bitmap::new(length);
        for (index, byte) in bytes.iter().take(length.div_ceil(8)).enumerate() {
            let shift = (index % WORD_BYTES) * 8;
            bitmap.words[index / WORD_BYTES] |= u64::from(*byte) << shift;
        }
        let rest = length % WORD_BITS;
        if let Some(last) = bitmap.words.last_mut().filter(|_| rest > 0) {
            *last &= (1 << rest) - 1;
        }
        let ones = bitmap.words.iter().map(|word| word.count_ones() as usize);
        bitmap.count = ones.sum();
        bitmap
    }

    /// The set as bytes, without the zeros at its end.
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

    /// The number of places, in the set or not.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The number of places in the set.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether every place is in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.length
    }

    /// Whether `place` is in the set.
    pub fn contains(&self, place: u32) -> bool {
        let place = place as usize;
        place < self.length && self.words[place / WORD_BITS] >> (place % WORD_BITS) & 1 == 1
    }

    /// Adds `place`; answers whether it was absent and is valid.
    pub fn insert(&mut self, place: u32) -> bool {
        if place as usize >= self.length || self.contains(place) {
            return false;
        }
        self.words[place as usize / WORD_BITS] |= 1 << (place as usize % WORD_BITS);
        self.count += 1;
        true
    }

    /// Takes `place` out; answers whether it was in the set.
    pub fn remove(&mut self, place: u32) -> bool {
        if !self.contains(place) {
            return false;
        }
        self.words[place as usize / WORD_BITS] &= !(1 << (place as usize % WORD_BITS));
        self.count -= 1;
        true
    }

    /// The places in the set, lowest first.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length as u32).filter(|place| self.contains(*place))
    }

    /// The places not in the set, lowest first.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.length as u32).filter(|place| !self.contains(*place))
    }
}
