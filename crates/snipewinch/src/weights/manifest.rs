//! Manifests: the chunks that a version of a model or adapter consists of.

use std::collections::HashSet;
use std::fmt;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::Digest;
use crate::digest::Hash;

/// The longest chunk that a manifest may have.
pub const CHUNK_MAX_BYTES: u32 = 16 << 20;
/// The most chunks that a manifest may have.
pub const CHUNKS_MAX: usize = 1 << 20;

/// All chunks of one version, by digest.
///
/// A manifest is identified by the digest of its canonical JSON. The accepted
/// configuration contains that digest, so no other manifest can be substituted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The model or adapter.
    pub model: SmolStr,
    /// The version.
    pub version: SmolStr,
    /// The length of all weights, in bytes.
    pub size: u64,
    /// The length of every chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// The digest of all weights.
    #[serde(rename = "whole")]
    pub weights_digest: Digest,
    /// The digest of each chunk.
    pub chunks: Vec<Digest>,
    /// The hash function of the chunks' digests.
    #[serde(default, skip_serializing_if = "Hash::is_default")]
    pub hash: Hash,
}

/// A short identifier of a manifest for messages: the first 8 bytes of its
/// digest.
///
/// Chunks are checked against the manifest, so a collision costs time and never
/// mixes weights.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl Id {
    /// The identifier of the manifest with this digest.
    pub fn of(digest: &Digest) -> Id {
        let bytes = digest.as_bytes();
        let first = bytes
            .first_chunk()
            .expect("a digest is longer than 8 bytes");
        Id(u64::from_le_bytes(*first))
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Id({:016x})", self.0)
    }
}

/// Why a manifest is refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// Its digest is not the expected one.
    #[snafu(display(
        "the manifest's digest is {found}, not {expected}; store the manifest that `snipewinch weights` made"
    ))]
    Digest {
        /// The expected digest.
        expected: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
    /// The bytes are not a manifest.
    #[snafu(display("not a manifest ({detail}); make it with `snipewinch weights`"))]
    Malformed {
        /// What is wrong.
        detail: SmolStr,
    },
    /// Its lengths do not agree or are out of range.
    #[snafu(display(
        "the manifest's lengths do not agree or are out of range: {size} bytes in {chunks} chunks of {chunk_bytes} bytes; make it with `snipewinch weights`"
    ))]
    Shape {
        /// The length of all weights, in bytes.
        size: u64,
        /// The length of a chunk, in bytes.
        chunk_bytes: u32,
        /// The number of chunks.
        chunks: usize,
    },
}

impl Manifest {
    /// The manifest of `weights`, cut into chunks of `chunk_bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::Shape`] if the chunk length is out of range.
    pub fn build(
        model: &str,
        version: &str,
        chunk_bytes: u32,
        weights: &[u8],
    ) -> Result<Manifest, Error> {
        let length = chunk_bytes.max(1) as usize;
        let manifest = Manifest {
            model: model.into(),
            version: version.into(),
            size: weights.len() as u64,
            chunk_bytes,
            weights_digest: Digest::of(weights),
            chunks: weights.chunks(length).map(Digest::of).collect(),
            hash: Hash::Blake3,
        };
        manifest.check()?;
        Ok(manifest)
    }

    /// The manifest of a version whose chunks, all of one length, were hashed
    /// elsewhere. Its `weights_digest` is the digest of all chunk digests.
    ///
    /// # Errors
    ///
    /// [`Error::Shape`] if a length is out of range.
    pub fn from_chunks(
        model: &str,
        version: &str,
        chunk_bytes: u32,
        hash: Hash,
        chunks: Vec<Digest>,
    ) -> Result<Manifest, Error> {
        let digests: Vec<u8> = chunks.iter().flat_map(|one| *one.as_bytes()).collect();
        let manifest = Manifest {
            model: model.into(),
            version: version.into(),
            size: u64::from(chunk_bytes) * chunks.len() as u64,
            chunk_bytes,
            weights_digest: Digest::of(&digests),
            chunks,
            hash,
        };
        manifest.check()?;
        Ok(manifest)
    }

    /// Parses a manifest and checks that its digest is `expected`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the digest differs or the bytes are not a valid manifest.
    pub fn parse(bytes: &[u8], expected: &Digest) -> Result<Manifest, Error> {
        let found = Digest::of(bytes);
        if found != *expected {
            return Err(Error::Digest {
                expected: *expected,
                found,
            });
        }
        let manifest: Manifest =
            serde_json::from_slice(bytes).map_err(|error| Error::Malformed {
                detail: error.to_string().into(),
            })?;
        manifest.check()?;
        Ok(manifest)
    }

    /// The canonical JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest is serializable")
    }

    /// The digest of the canonical JSON.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    /// The byte range of a chunk within the weights.
    pub fn range(&self, chunk: u32) -> Range<u64> {
        let start = u64::from(chunk) * u64::from(self.chunk_bytes);
        start..(start + u64::from(self.chunk_bytes)).min(self.size)
    }

    /// The length of a chunk, in bytes.
    pub fn length(&self, chunk: u32) -> u32 {
        let range = self.range(chunk);
        (range.end - range.start) as u32
    }

    /// The bytes of `self` in chunks that `other` does not have.
    pub fn changed_bytes(&self, other: &Manifest) -> u64 {
        let known: HashSet<&Digest> = other.chunks.iter().collect();
        (0..self.chunks.len() as u32)
            .filter(|chunk| !known.contains(&self.chunks[*chunk as usize]))
            .map(|chunk| u64::from(self.length(chunk)))
            .sum()
    }

    fn check(&self) -> Result<(), Error> {
        let chunks = self.chunks.len();
        let is_valid = (1..=CHUNK_MAX_BYTES).contains(&self.chunk_bytes)
            && (1..=CHUNKS_MAX).contains(&chunks)
            && self.size.div_ceil(u64::from(self.chunk_bytes)) == chunks as u64;
        match is_valid {
            true => Ok(()),
            false => Err(Error::Shape {
                size: self.size,
                chunk_bytes: self.chunk_bytes,
                chunks,
            }),
        }
    }
}
