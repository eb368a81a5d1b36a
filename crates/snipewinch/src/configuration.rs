//! The accepted configuration and how it spreads.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Digest;
use crate::document::Document;

/// What processes tell each other about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {}

/// Names one accepted configuration: the higher version is the newer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// The version, 0 before the first was accepted.
    #[serde(rename = "v")]
    pub version: u64,
}

/// The configuration in force at this process.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Its version, 0 before the first was accepted.
    pub version: u64,
    /// The digest of its canonical JSON.
    pub digest: Digest,
    /// Its content.
    pub document: Arc<Document>,
}
