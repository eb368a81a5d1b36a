//! Spreading model weights between hosts.
//!
//! A [`manifest::Manifest`] names every chunk of a version by its digest. A
//! [`plan::Plan`] says, without a leader, whom an agent exchanges chunks with
//! and which chunks it brings into its region. [`swarm::Swarm`] fetches, checks
//! and passes chunks on; [`load::Loader`] decides when the engine is told to
//! load what is whole.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::weights::manifest::Id;

pub mod bitmap;
pub mod fetch_order;
pub mod flow;
pub mod load;
pub mod manifest;
pub mod plan;
pub mod rollout;
pub mod store;
pub mod swarm;
pub mod upload;

/// One message between agents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// All chunks of a manifest that the sender holds; replaces what it said
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
    /// Chunks that the sender holds since it last spoke of the manifest.
    #[serde(rename = "g")]
    Have {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunks' places in the manifest.
        #[serde(rename = "c")]
        chunks: Vec<u32>,
    },
    /// Asks for bytes of a chunk.
    #[serde(rename = "a")]
    Request {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's place in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
        /// The first byte wanted, within the chunk.
        #[serde(rename = "o")]
        offset: u32,
        /// How many bytes are wanted.
        #[serde(rename = "l")]
        length: u32,
    },
    /// Takes back all that was asked of a chunk.
    #[serde(rename = "x")]
    Cancel {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's place in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
    },
    /// What was asked of a chunk is not sent.
    #[serde(rename = "n")]
    Refuse {
        /// The manifest.
        #[serde(rename = "m")]
        manifest: Id,
        /// The chunk's place in the manifest.
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
        /// The chunk's place in the manifest.
        #[serde(rename = "c")]
        chunk: u32,
        /// The place of the first byte within the chunk.
        #[serde(rename = "o")]
        offset: u32,
        /// How long the request waited at the sender, in microseconds.
        #[serde(rename = "t")]
        queued_us: u32,
        /// The bytes.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
    /// Asks for the bytes of a manifest.
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
        /// Its bytes, whose digest the configuration names.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
}

/// Why bytes of a chunk are not sent.
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
