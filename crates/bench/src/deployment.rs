//! The example deployments: which hosts run in which region.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::document::Document;

/// The regions, links and numbers of hosts of a deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The name of the fleet.
    pub fleet: SmolStr,
    /// The region of the platform and of the origin.
    pub store_region: SmolStr,
    /// The regions, over which hosts are spread evenly.
    pub regions: Vec<Region>,
    /// The rate of the link from each region to each other, in megabits a
    /// second.
    pub region_mbit: f64,
    /// The one-way delay of each link between regions, in milliseconds.
    pub region_delay_ms: u64,
    /// The number of entry hosts.
    pub entries: usize,
    /// The services and how many agent hosts each of them has.
    pub services: Vec<Service>,
}

/// A region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name of the region.
    pub name: SmolStr,
    /// Its availability zones.
    pub zones: Vec<SmolStr>,
}

/// A service and its agent hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service in the document.
    pub name: SmolStr,
    /// The number of agent hosts, each with one backend server.
    pub runners: usize,
}

const BLUEBONNET: &str = include_str!("../../../examples/bluebonnet.json");
const BLUEBONNET_HOSTS: &str = include_str!("../../../examples/bluebonnet-hosts.json");
const PEACHTREE: &str = include_str!("../../../examples/peachtree.json");
const PEACHTREE_HOSTS: &str = include_str!("../../../examples/peachtree-hosts.json");

/// Loads an example by name: its deployment and its document. None if there is
/// no example of that name.
pub fn example(name: &str) -> Option<(Deployment, Document)> {
    let (hosts, document) = match name {
        "bluebonnet" => (BLUEBONNET_HOSTS, BLUEBONNET),
        "peachtree" => (PEACHTREE_HOSTS, PEACHTREE),
        _ => return None,
    };
    let hosts = serde_json::from_str(hosts).ok()?;
    let document = serde_json::from_str(document).ok()?;
    Some((hosts, document))
}

/// The API key of a customer or operator in the examples and experiments.
pub fn key(name: &str) -> String {
    format!("key-of-{name}")
}

/// The digest of that key, as the document stores it.
pub fn key_digest(name: &str) -> Digest {
    Digest::of(key(name).as_bytes())
}
