//! The hosts of the system and whether they take work.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::host;

mod accrual;
mod merge;
pub mod roster;

pub use crate::membership::roster::Roster;

/// A membership message between peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Recent updates, which the receiver relays if they are new to it.
    #[serde(rename = "n")]
    Gossip(Vec<Update>),
    /// All that the sender knows, in answer to a request; not to be relayed.
    #[serde(rename = "a")]
    Snapshot(Vec<Update>),
    /// Requests a snapshot: the sender has not read a membership list yet.
    #[serde(rename = "q")]
    SnapshotRequest,
}

/// A report on one process on a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The host.
    #[serde(rename = "h")]
    pub host: host::Name,
    /// The process's start number.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// How often the process has refuted a suspicion.
    #[serde(rename = "d", default)]
    pub refutations: u32,
    /// The reported state.
    #[serde(rename = "s")]
    pub state: State,
    /// Where the process runs and how it is reached.
    #[serde(rename = "p")]
    pub endpoint: Endpoint,
    /// The status of the host on the platform's list, once it has changed.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub list_status: Option<ListStatus>,
}

/// Whether a host is leaving, according to the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListStatus {
    /// The time that the list reflects, in milliseconds on the platform's
    /// clock; the later of two statuses applies.
    #[serde(rename = "t")]
    pub as_of_ms: u64,
    /// It takes no new work.
    #[serde(rename = "l")]
    pub leaving: bool,
}

/// Where a process runs and how it is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Endpoint {
    /// Which program it is.
    #[serde(rename = "r")]
    pub role: host::Role,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: host::Zone,
    /// Its region.
    #[serde(rename = "g")]
    pub region: host::Region,
    /// The service whose backend server runs there, for agents.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// Where it listens for peers, as reached from its own region.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

impl From<&host::Identity> for Endpoint {
    fn from(identity: &host::Identity) -> Endpoint {
        Endpoint {
            role: identity.role,
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            service: identity.service.clone(),
            address: identity.address,
        }
    }
}

/// Whether a host takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes work.
    #[default]
    Live,
    /// Suspected of being down: takes no new work unless no other host can.
    Suspect,
    /// Finishes its running work and takes no new work.
    Leaving,
}

/// One host as seen by this process.
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
    /// The service whose backend server runs there, for agents.
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

impl View {
    /// Returns the number of hosts of a role, including those that are leaving.
    pub fn count(&self, role: host::Role) -> usize {
        self.members
            .iter()
            .filter(|member| member.role == role)
            .count()
    }
}
