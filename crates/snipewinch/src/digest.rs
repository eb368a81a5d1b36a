//! Digests of documents, manifests and chunks.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use schemars::Schema;
use schemars::SchemaGenerator;
use schemars::json_schema;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use sha2::Digest as _;
use sha2::Sha256;

/// Length of a digest in bytes.
pub const LENGTH_BYTES: usize = 32;

/// A hash function for digests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hash {
    /// BLAKE3, for all content that snipewinch identifies itself.
    #[default]
    Blake3,
    /// SHA-256, for chunks that the users' platform identifies.
    Sha256,
}

impl Hash {
    /// The digest of `bytes`.
    pub fn digest(self, bytes: &[u8]) -> Digest {
        match self {
            Hash::Blake3 => Digest(*blake3::hash(bytes).as_bytes()),
            Hash::Sha256 => Digest(Sha256::digest(bytes).into()),
        }
    }

    /// Whether this is the default function.
    pub fn is_default(&self) -> bool {
        *self == Hash::default()
    }
}

/// A digest that identifies a chunk, a manifest or a document, BLAKE3 by
/// default.
///
/// Text formats hold it as 64 hexadecimal digits, binary ones as 32 raw bytes.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; LENGTH_BYTES]);

impl Digest {
    /// The BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Hash::Blake3.digest(bytes)
    }

    /// A digest from its raw bytes.
    pub const fn from_bytes(bytes: [u8; LENGTH_BYTES]) -> Digest {
        Digest(bytes)
    }

    /// The raw bytes.
    pub const fn as_bytes(&self) -> &[u8; LENGTH_BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// A text is not a digest of 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("not a digest: write the 64 hexadecimal digits that `snipewinch weights` prints"))]
pub struct ParseError;

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Digest, ParseError> {
        match blake3::Hash::from_hex(text) {
            Ok(hash) => Ok(Digest(*hash.as_bytes())),
            Err(_) => Err(ParseError),
        }
    }
}

impl JsonSchema for Digest {
    fn schema_name() -> Cow<'static, str> {
        "Digest".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "pattern": "^[0-9a-f]{64}$",
            "description": "A BLAKE3 digest, 64 hexadecimal digits.",
        })
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_bytes(&self.0),
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(de::Error::custom);
        }
        let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
        <[u8; LENGTH_BYTES]>::try_from(bytes.as_slice())
            .map(Digest)
            .map_err(|_| de::Error::invalid_length(bytes.len(), &"32 bytes"))
    }
}
