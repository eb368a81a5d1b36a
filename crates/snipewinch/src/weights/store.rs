//! Chunks in memory, by digest.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;

use crate::Digest;
use crate::digest::Hash;

/// Checked chunks, within a bound.
///
/// A chunk that several versions share is held once.
#[derive(Debug)]
pub struct Store {
    chunks: HashMap<Digest, Entry>,
    bytes: u64,
    max_bytes: u64,
    uses: u64,
}

#[derive(Debug)]
struct Entry {
    bytes: Bytes,
    used: u64,
}

impl Store {
    /// An empty store for at most `max_bytes`.
    pub fn new(max_bytes: u64) -> Store {
        Store {
            chunks: HashMap::new(),
            bytes: 0,
            max_bytes,
            uses: 0,
        }
    }

    /// How many bytes are held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The bound, in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Whether the chunk is held.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.chunks.contains_key(digest)
    }

    /// The chunk's bytes.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.get(digest).map(|entry| entry.bytes.clone())
    }

    /// Checks `bytes` and holds them; answers whether they are the chunk.
    pub fn insert(&mut self, hash: Hash, digest: &Digest, bytes: Bytes) -> bool {
        if hash.digest(&bytes) != *digest {
            return false;
        }
        self.uses += 1;
        let length = bytes.len() as u64;
        let entry = Entry {
            bytes,
            used: self.uses,
        };
        if self.chunks.insert(*digest, entry).is_none() {
            self.bytes += length;
        }
        true
    }

    /// Drops chunks, those of `spare` in its order after all that neither
    /// `needed` nor `spare` name, until the store is within its bound.
    /// Answers the chunks of `spare` that went.
    pub fn evict(&mut self, needed: &HashSet<Digest>, spare: &[Digest]) -> Vec<Digest> {
        if self.bytes <= self.max_bytes {
            return Vec::new();
        }
        let named: HashSet<&Digest> = spare.iter().collect();
        let mut old: Vec<(u64, Digest)> = self
            .chunks
            .iter()
            .filter(|(digest, _)| !needed.contains(digest) && !named.contains(digest))
            .map(|(digest, entry)| (entry.used, *digest))
            .collect();
        old.sort_unstable();
        for (_, digest) in old {
            if self.bytes <= self.max_bytes {
                return Vec::new();
            }
            self.remove(&digest);
        }
        let mut gone = Vec::new();
        for digest in spare.iter().filter(|digest| !needed.contains(digest)) {
            if self.bytes <= self.max_bytes {
                break;
            }
            if self.remove(digest) {
                gone.push(*digest);
            }
        }
        gone
    }

    fn remove(&mut self, digest: &Digest) -> bool {
        let Some(entry) = self.chunks.remove(digest) else {
            return false;
        };
        self.bytes -= entry.bytes.len() as u64;
        true
    }
}
