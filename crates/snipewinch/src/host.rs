//! Host names, locations and roles.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The name of a host, stable while the host keeps its slot.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Name(pub SmolStr);

/// An availability zone.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Zone(pub SmolStr);

/// A region: one or more availability zones with fast links between them.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Region(pub SmolStr);

/// Which program runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Routes callers' requests.
    Entry,
    /// Runs beside a backend server and holds weights for it.
    Agent,
}

/// How a process introduces itself to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The host's name.
    pub host: Name,
    /// Grows with each start of the process on this host: a later process
    /// supersedes an earlier one.
    pub incarnation: u64,
    /// Which program this is.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// The service whose backend server runs on this host, for agents.
    pub service: Option<SmolStr>,
    /// Where the process listens for peers.
    pub address: SocketAddr,
}

macro_rules! string_newtype {
    ($($name:ident),*) => {$(
        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(SmolStr::new(text))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

string_newtype!(Name, Region, Zone);
