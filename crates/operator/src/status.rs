//! A process's view of the fleet, as the live pages and the CLI show it.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::membership::State;
use snipewinch::wire::Confirmed;

/// A source of the process's current [`Status`].
#[derive(Clone)]
pub struct Source(Arc<dyn Fn() -> Status + Send + Sync>);

impl Source {
    /// Creates a source that calls `gather` for each status.
    pub fn new(gather: impl Fn() -> Status + Send + Sync + 'static) -> Source {
        Source(Arc::new(gather))
    }

    /// Returns the current status.
    pub fn gather(&self) -> Status {
        (self.0)()
    }
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Source(..)")
    }
}

/// The status of one process and its view of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The name of the process's host.
    pub host: host::Name,
    /// The process's role.
    pub role: host::Role,
    /// The version of the configuration in force in this process, 0 before the
    /// first.
    pub version: u64,
    /// The digest of the configuration in force.
    pub digest: Digest,
    /// The hosts that this process knows, sorted by name.
    pub hosts: Vec<Host>,
}

/// A host, as this process sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Its name.
    pub host: host::Name,
    /// The role of the process on it.
    pub role: host::Role,
    /// Its availability zone.
    pub zone: host::Zone,
    /// Its region.
    pub region: host::Region,
    /// Its service; `None` for entries.
    #[serde(default)]
    pub service: Option<SmolStr>,
    /// Its membership state.
    pub state: State,
    /// What it reported last; `None` while this process has no link to it.
    #[serde(default)]
    pub report: Option<Report>,
}

/// What a process reports in its heartbeats.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The version of the configuration in force in that process.
    pub version: u64,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// The number of running calls.
    pub running: u32,
    /// The number of waiting calls.
    pub waiting: u32,
    /// The most calls that it runs concurrently, 0 if unknown.
    pub capacity: u32,
    /// The model and adapter versions that the engine has confirmed as loaded.
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
