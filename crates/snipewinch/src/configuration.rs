//! The accepted configuration and how it spreads.
//!
//! One document is in force at a time, and its version only grows.
//! [`publish::Publication`] makes a new version by compare-and-set in the
//! platform's table; [`follow::Follower`] keeps a process at the newest version
//! that it can learn of, from the table or from any peer.

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

/// What processes tell each other about the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Send what is newer than this.
    #[serde(rename = "w")]
    Want {
        /// What the sender has.
        #[serde(rename = "h")]
        have: Stamp,
    },
    /// What changed between two versions.
    #[serde(rename = "d")]
    Delta(Delta),
    /// A whole document.
    #[serde(rename = "a")]
    Whole {
        /// Its version.
        #[serde(rename = "v")]
        version: u64,
        /// Its canonical JSON text.
        #[serde(rename = "t")]
        text: String,
    },
}

/// What changed between two versions, part by part.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// The version that the changes apply to.
    #[serde(rename = "b")]
    pub base: Stamp,
    /// The version that they lead to.
    #[serde(rename = "v")]
    pub version: u64,
    /// The digest of the text that they lead to.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Parts that are new or changed, as JSON texts.
    #[serde(rename = "s")]
    pub set: Vec<(part::Key, String)>,
    /// Parts that are gone.
    #[serde(rename = "r")]
    pub removed: Vec<part::Key>,
}

/// Names one accepted configuration: the higher version is the newer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// The version, 0 before the first was accepted.
    #[serde(rename = "v")]
    pub version: u64,
    /// The first bytes of the digest, to notice two contents under one version.
    #[serde(rename = "t", default)]
    pub tag: u64,
}

impl Stamp {
    /// The stamp of a version with this digest.
    pub fn new(version: u64, digest: &Digest) -> Stamp {
        let mut tag = [0; 8];
        tag.copy_from_slice(&digest.as_bytes()[..8]);
        Stamp {
            version,
            tag: u64::from_be_bytes(tag),
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

/// The configuration in force at this process.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Its version, 0 before the first was accepted.
    pub version: u64,
    /// The digest of its canonical JSON.
    pub digest: Digest,
    /// Its content.
    pub document: Arc<Document>,
}

impl Snapshot {
    /// What is in force before the first version was accepted.
    pub fn empty() -> Snapshot {
        Snapshot {
            version: 0,
            digest: Digest::of(b""),
            document: Arc::default(),
        }
    }

    /// A version with this content.
    pub fn new(version: u64, document: Document) -> Snapshot {
        let document = document.canonical();
        Snapshot {
            version,
            digest: document.digest(),
            document: Arc::new(document),
        }
    }

    /// Reads the JSON text of an accepted version.
    ///
    /// # Errors
    ///
    /// [`ParseError`] when this build does not understand the text.
    pub fn parse(version: u64, text: &str) -> Result<Snapshot, ParseError> {
        Document::parse(text).map(|document| Snapshot::new(version, document))
    }

    /// Names it.
    pub fn stamp(&self) -> Stamp {
        match self.version {
            0 => Stamp::default(),
            version => Stamp::new(version, &self.digest),
        }
    }
}

/// An accepted version as the platform's table keeps it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The version.
    pub version: u64,
    /// The operation that published it.
    pub operation: SmolStr,
    /// Who published it.
    pub operator: SmolStr,
    /// When, in milliseconds since the Unix epoch on the publisher's clock.
    pub at_ms: u64,
    /// What the operator says about it.
    #[serde(default)]
    pub note: String,
    /// The canonical JSON text of the document.
    pub text: String,
}
