//! Which hosts there are and which of them take work.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::host;

mod accrual;
mod merge;
pub mod roster;

pub use crate::membership::roster::Roster;

/// What peers tell each other about other hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// What the sender has seen or heard.
    #[serde(rename = "n")]
    News(Vec<Rumor>),
    /// All that the sender knows, as asked for: not to be retold.
    #[serde(rename = "a")]
    All(Vec<Rumor>),
    /// Send all that you know: the sender has no list yet.
    #[serde(rename = "q")]
    Ask,
}

/// What is said of one process on a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rumor {
    /// The host.
    #[serde(rename = "h")]
    pub host: host::Name,
    /// The process's start number.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// How often the process has denied that it is gone.
    #[serde(rename = "d", default)]
    pub denials: u32,
    /// What is said.
    #[serde(rename = "s")]
    pub state: State,
    /// Where the process stands.
    #[serde(rename = "p")]
    pub place: Place,
    /// What the platform's list says, once that has changed.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub listed: Option<Word>,
}

/// The word of the platform's list on whether a host is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Word {
    /// The list's own time, in milliseconds: of two words the later counts.
    #[serde(rename = "t")]
    pub as_of_ms: u64,
    /// It takes no new work.
    #[serde(rename = "l")]
    pub leaving: bool,
}

/// Where a process stands and how it is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Which program it is.
    #[serde(rename = "r")]
    pub role: host::Role,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: host::Zone,
    /// Its region.
    #[serde(rename = "g")]
    pub region: host::Region,
    /// The service whose backend server stands there, for agents.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// Where it listens for peers, as reached from its own region.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

impl From<&host::Identity> for Place {
    fn from(identity: &host::Identity) -> Place {
        Place {
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

impl View {
    /// How many hosts of a role there are, those leaving included.
    pub fn count(&self, role: host::Role) -> usize {
        self.members
            .iter()
            .filter(|member| member.role == role)
            .count()
    }
}
