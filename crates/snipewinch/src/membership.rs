//! Which hosts there are and which of them take work.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::host;

/// What peers tell each other about other hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {}

/// Whether a host takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    #[default]
    Live,
    /// Not heard from: takes no new work unless nobody else can.
    Suspect,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// One host as this process sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The host's name.
    pub host: host::Name,
    /// Which program runs there.
    pub role: host::Role,
    /// Its availability zone.
    pub zone: host::Zone,
    /// Its region.
    pub region: host::Region,
    /// The service whose backend server stands there, for agents.
    #[serde(default)]
    pub service: Option<SmolStr>,
    /// Where its process listens for peers, as reached from here.
    pub address: SocketAddr,
    /// Whether it takes work.
    #[serde(default)]
    pub state: State,
    /// The process's start number, 0 where only the list knows the host.
    #[serde(default)]
    pub incarnation: u64,
}

/// All hosts that this process knows, ordered by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The hosts.
    pub members: Vec<Member>,
}
