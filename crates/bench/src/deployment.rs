//! Where hosts stand and what runs on them: the example deployments.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::document::Document;

/// The regions, links and hosts of a deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub fleet: SmolStr,
    /// The region in which the platform stands.
    pub store_region: SmolStr,
    /// The regions.
    pub regions: Vec<Region>,
    /// The rate of each ordered pair of regions, in megabits a second.
    pub region_mbit: f64,
    /// The delay between regions, in milliseconds.
    pub region_delay_ms: u64,
    /// Entry hosts.
    pub entries: usize,
    /// Backend server hosts of each service.
    pub services: Vec<Service>,
}

/// A region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zones.
    pub zones: Vec<SmolStr>,
}

/// The backend server hosts of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name in the document.
    pub name: SmolStr,
    /// How many hosts.
    pub runners: usize,
}

const BLUEBONNET: &str = include_str!("../../../examples/bluebonnet.json");
const BLUEBONNET_HOSTS: &str = include_str!("../../../examples/bluebonnet-hosts.json");
const PEACHTREE: &str = include_str!("../../../examples/peachtree.json");
const PEACHTREE_HOSTS: &str = include_str!("../../../examples/peachtree-hosts.json");

/// An example deployment by name: its hosts and its document.
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

/// The key of a customer or operator in the examples and benches.
pub fn key(name: &str) -> String {
    format!("key-of-{name}")
}

/// The digest under which the document holds that key.
pub fn key_digest(name: &str) -> Digest {
    Digest::of(key(name).as_bytes())
}
