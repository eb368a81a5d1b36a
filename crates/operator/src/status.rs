//! What a process knows of the fleet, as the live pages and the CLI show it.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::membership::State;
use snipewinch::wire::Confirmed;

/// Gathers what the process knows at the moment it is asked.
#[derive(Clone)]
pub struct Source(Arc<dyn Fn() -> Status + Send + Sync>);

impl Source {
    /// A source that asks `gather`.
    pub fn new(gather: impl Fn() -> Status + Send + Sync + 'static) -> Source {
        Source(Arc::new(gather))
    }

    /// What the process knows now.
    pub fn gather(&self) -> Status {
        (self.0)()
    }
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Source(..)")
    }
}

/// What one process knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The process's host.
    pub host: host::Name,
    /// The process's role.
    pub role: host::Role,
    /// The version in force here, 0 before the first.
    pub version: u64,
    /// Its digest.
    pub digest: Digest,
    /// The hosts that this process knows, by name.
    pub hosts: Vec<Host>,
}

/// One host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Its name.
    pub host: host::Name,
    /// Which program runs there.
    pub role: host::Role,
    /// Its availability zone.
    pub zone: host::Zone,
    /// Its region.
    pub region: host::Region,
    /// Its service, for agents.
    #[serde(default)]
    pub service: Option<SmolStr>,
    /// Whether it takes work.
    pub state: State,
    /// What it last said of itself; none without a link from this process.
    #[serde(default)]
    pub report: Option<Report>,
}

/// What a process says of itself in its heartbeats.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The version of the configuration in force there.
    pub version: u64,
    /// It takes no new work.
    pub leaving: bool,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// The most calls at once, 0 if unknown.
    pub capacity: u32,
    /// Model and adapter versions that the engine has confirmed.
    pub confirmed: Vec<Confirmed>,
}

impl Default for Status {
    fn default() -> Status {
        Status {
            host: "".into(),
            role: host::Role::Entry,
            version: 0,
            digest: Digest::of(b""),
            hosts: Vec::new(),
        }
    }
}
