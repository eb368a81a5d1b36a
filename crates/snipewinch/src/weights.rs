//! Distribution of model weights between hosts.
//!
//! A [`manifest::Manifest`] lists every chunk of a version by its digest. A
//! [`plan::Plan`] decides, without a leader, with whom an agent exchanges
//! chunks and which chunks it brings into its region. [`swarm::Swarm`] fetches,
//! verifies and forwards chunks; [`load::Loader`] decides when the engine loads
//! a complete version.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::weights::manifest::Id;

pub mod bitmap;
pub mod fetch_order;
pub mod flow;
pub mod list;
pub mod load;
pub mod manifest;
pub mod plan;
pub mod rollout;
pub mod store;
pub mod swarm;
pub mod upload;

/// A message between agents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// All chunks of a manifest that the sender holds; replaces what it sent
    /// before.
    #[serde(rename = "h")]
    Bitfield {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// One bit for each chunk, the first in the lowest bit of the first
        /// byte.
        #[serde(rename = "b")]
        chunks: Bytes,
    },
    /// Chunks that the sender got since its last message about the manifest.
    #[serde(rename = "g")]
    Have {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunks' indices in the manifest.
        #[serde(rename = "c")]
        chunks: Vec<u32>,
    },
    /// Requests bytes of a chunk.
    #[serde(rename = "a")]
    Request {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's index in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
        /// The offset of the first byte within the chunk.
        #[serde(rename = "o")]
        offset: u32,
        /// The number of bytes.
        #[serde(rename = "l")]
        length: u32,
    },
    /// Cancels all requests for a chunk.
    #[serde(rename = "x")]
    Cancel {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's index in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
    },
    /// Refuses a request for a chunk.
    #[serde(rename = "n")]
    Refuse {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's index in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
        /// Why.
        #[serde(rename = "w")]
        why: Refusal,
    },
    /// Bytes of a chunk.
    #[serde(rename = "d")]
    Data {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's index in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
        /// The offset of the first byte within the chunk.
        #[serde(rename = "o")]
        offset: u32,
        /// How long the request waited at the sender, in microseconds.
        #[serde(rename = "t")]
        queued_us: u32,
        /// The bytes.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
    /// Requests the bytes of a manifest.
    #[serde(rename = "q")]
    RequestManifest {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
    },
    /// The bytes of a manifest.
    #[serde(rename = "p")]
    Manifest {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// Its bytes, whose digest is in the configuration.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
}

/// Why a request for a chunk is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The sender does not hold the chunk.
    #[serde(rename = "a")]
    Absent,
    /// All upload slots are taken.
    #[serde(rename = "b")]
    Busy,
}

impl Message {
    /// Whether the message carries chunk bytes.
    pub fn is_bulk(&self) -> bool {
        matches!(self, Message::Data { .. })
    }
}
