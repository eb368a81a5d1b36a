//! An in-memory store of chunks, by digest.

use std::collections::HashMap;
use std::collections::HashSet;

use bytes::Bytes;

use crate::Digest;
use crate::digest::Hash;

/// Verified chunks, up to a size limit.
///
/// A chunk that several versions share is stored once.
#[derive(Debug)]
pub struct Store {
    chunks: HashMap<Digest, Entry>,
    bytes: u64,
    max_bytes: u64,
    insertions: u64,
}

#[derive(Debug)]
struct Entry {
    bytes: Bytes,
    inserted: u64,
}

impl Store {
    /// An empty store for at most `max_bytes`.
    pub fn new(max_bytes: u64) -> Store {
        Store {
            chunks: HashMap::new(),
            bytes: 0,
            max_bytes,
            insertions: 0,
        }
    }

    /// The size of all stored chunks, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The size limit, in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Whether the chunk is stored.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.chunks.contains_key(digest)
    }

    /// The chunk's bytes.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.get(digest).map(|entry| entry.bytes.clone())
    }

    /// Stores `bytes` if their digest is `digest`; returns whether it is.
    pub fn insert(&mut self, hash: Hash, digest: &Digest, bytes: Bytes) -> bool {
        if hash.digest(&bytes) != *digest {
            return false;
        }
        self.insertions += 1;
        let length = bytes.len() as u64;
        let entry = Entry {
            bytes,
            inserted: self.insertions,
        };
        if self.chunks.insert(*digest, entry).is_none() {
            self.bytes += length;
        }
        true
    }

    /// Evicts chunks until the store is within its limit: first those in
    /// neither `needed` nor `spare`, the least recently inserted first, then
    /// those of `spare` in its order. Chunks in `needed` stay. Returns the
    /// evicted chunks of `spare`.
    pub fn evict(&mut self, needed: &HashSet<Digest>, spare: &[Digest]) -> Vec<Digest> {
        if self.bytes <= self.max_bytes {
            return Vec::new();
        }
        let listed: HashSet<&Digest> = spare.iter().collect();
        let mut unlisted: Vec<(u64, Digest)> = self
            .chunks
            .iter()
            .filter(|(digest, _)| !needed.contains(digest) && !listed.contains(digest))
            .map(|(digest, entry)| (entry.inserted, *digest))
            .collect();
        unlisted.sort_unstable();
        for (_, digest) in unlisted {
            if self.bytes <= self.max_bytes {
                return Vec::new();
            }
            self.remove(&digest);
        }
        let mut evicted = Vec::new();
        for digest in spare.iter().filter(|digest| !needed.contains(digest)) {
            if self.bytes <= self.max_bytes {
                break;
            }
            if self.remove(digest) {
                evicted.push(*digest);
            }
        }
        evicted
    }

    fn remove(&mut self, digest: &Digest) -> bool {
        let Some(entry) = self.chunks.remove(digest) else {
            return false;
        };
        self.bytes -= entry.bytes.len() as u64;
        true
    }
}
