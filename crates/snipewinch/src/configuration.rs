//! Versions of the configuration: publication and distribution.
//!
//! One document is in force at a time, and its version only increases.
//! [`publish::Publication`] publishes a new version by compare-and-set in the
//! platform's table. [`follow::Follower`] keeps a process on the newest version
//! that the table or any peer announces.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::document::Document;
use crate::document::ParseError;
use crate::document::part;

pub mod follow;
pub mod publish;

/// A message between two processes about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Requests everything newer than `have`.
    #[serde(rename = "w")]
    Request {
        /// The version in force at the sender; the default requests the full
        /// document.
        #[serde(rename = "h")]
        have: Stamp,
    },
    /// The changes between two versions.
    #[serde(rename = "d")]
    Delta(Delta),
    /// A full document.
    #[serde(rename = "a")]
    Full {
        /// Its version.
        #[serde(rename = "v")]
        version: u64,
        /// Its canonical JSON text.
        #[serde(rename = "t")]
        text: String,
    },
}

/// The changes between two versions, as changed and removed parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// The version that the changes apply to.
    #[serde(rename = "b")]
    pub base: Stamp,
    /// The version that results from them.
    #[serde(rename = "v")]
    pub version: u64,
    /// The digest of the resulting canonical text.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// New and changed parts, as JSON texts.
    #[serde(rename = "s")]
    pub set: Vec<(part::Key, String)>,
    /// Keys of removed parts.
    #[serde(rename = "r")]
    pub removed: Vec<part::Key>,
}

/// Identifies one accepted version of the configuration.
///
/// Of two stamps, the one with the higher version is the newer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// The version, 0 before the first is accepted.
    #[serde(rename = "v")]
    pub version: u64,
    /// The first 8 bytes of the digest, big-endian: reveals different contents
    /// under the same version.
    #[serde(rename = "t", default)]
    pub digest_prefix: u64,
}

impl Stamp {
    /// The stamp of a version with this digest.
    pub fn new(version: u64, digest: &Digest) -> Stamp {
        let mut digest_prefix = [0; 8];
        digest_prefix.copy_from_slice(&digest.as_bytes()[..8]);
        Stamp {
            version,
            digest_prefix: u64::from_be_bytes(digest_prefix),
        }
    }

    /// Whether this is a later version than `other`.
    pub fn is_newer_than(&self, other: &Stamp) -> bool {
        self.version > other.version
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.version)
    }
}

/// One version of the configuration with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The version, 0 before the first is accepted.
    pub version: u64,
    /// The digest of the canonical JSON text.
    pub digest: Digest,
    /// The document, in canonical order.
    pub document: Arc<Document>,
}

impl Snapshot {
    /// Version 0 with an empty document, in force until a version is accepted.
    pub fn empty() -> Snapshot {
        Snapshot {
            version: 0,
            digest: Digest::of(b""),
            document: Arc::default(),
        }
    }

    /// Puts the document into canonical order and computes its digest.
    pub fn new(version: u64, document: Document) -> Snapshot {
        let document = document.canonical();
        Snapshot {
            version,
            digest: document.digest(),
            document: Arc::new(document),
        }
    }

    /// Parses the JSON text of an accepted version.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if this build cannot parse the text.
    pub fn parse(version: u64, text: &str) -> Result<Snapshot, ParseError> {
        Document::parse(text).map(|document| Snapshot::new(version, document))
    }

    /// The stamp of this version; the default stamp for version 0.
    pub fn stamp(&self) -> Stamp {
        match self.version {
            0 => Stamp::default(),
            version => Stamp::new(version, &self.digest),
        }
    }
}

/// An accepted version as stored in the platform's table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The version.
    pub version: u64,
    /// The identifier of the operation that published it.
    pub operation: SmolStr,
    /// The name of the operator who published it.
    pub operator: SmolStr,
    /// The time of publication in milliseconds since the Unix epoch, by the
    /// publisher's clock.
    pub at_ms: u64,
    /// The operator's note on the change.
    #[serde(default)]
    pub note: String,
    /// The canonical JSON text of the document.
    pub text: String,
}
