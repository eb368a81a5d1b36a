//! The part of the configuration that agents need, as entries send it to them.
//!
//! An agent needs a few hundred bytes of the configuration. If every agent of a
//! fleet of a hundred hosts or more read the full configuration, with many
//! routes, as the fleet starts, the links between regions would be full for
//! seconds and entries could not read theirs. Entries read it anyway and
//! exchange messages with agents all the time, so agents get their part from
//! entries.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::cold;
use crate::route::Engine;
use crate::route::Origin;
use crate::route::Repeat;
use crate::route::Table;

/// The configuration of the engines of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineConfig {
    /// The version of the configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// The parameters of the engines.
    #[serde(rename = "e")]
    pub engine: Engine,
    /// The longest gap between events that all routes to them allow; 0 if there
    /// is no bound.
    #[serde(rename = "p")]
    pub max_gap: Duration,
    /// Where their weights come from.
    #[serde(rename = "o")]
    pub origin: Option<Origin>,
    /// How the engines start.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<cold::Terms>,
}

impl EngineConfig {
    /// The configuration of a service's engines; none if it has no engines.
    pub fn for_service(table: &Table, service: &SmolStr) -> Option<EngineConfig> {
        let configuration = table.configuration();
        let own = table.service(service)?;
        let engine = own.engine.clone()?;
        let cold = own.cold;
        let routes = configuration.routes.iter();
        let matching_routes =
            routes.filter(|route| route.targets.iter().any(|one| one.service == *service));
        let max_gaps = matching_routes.filter_map(|route| match route.repeat {
            Repeat::Stream { gap, .. } if !gap.is_zero() => Some(gap),
            Repeat::Idempotent | Repeat::Never | Repeat::Stream { .. } => None,
        });
        let mut services = configuration.services.iter();
        Some(EngineConfig {
            version: configuration.version,
            engine,
            max_gap: max_gaps.min().unwrap_or_default(),
            origin: services.find_map(|service| service.origin.clone()),
            cold,
        })
    }

    /// A digest of the content without the version.
    pub fn digest(&self) -> u32 {
        // Processes that know nothing of cold servers compute the same digest where
        // there are none.
        let content = (&self.engine, self.max_gap, &self.origin);
        let bytes = match &self.cold {
            Some(cold) => serde_json::to_vec(&(content, cold)),
            None => serde_json::to_vec(&content),
        };
        let bytes = bytes.expect("an engine configuration is serializable");
        let hash = blake3::hash(&bytes);
        let first = hash
            .as_bytes()
            .first_chunk()
            .expect("a digest is longer than 4 bytes");
        u32::from_le_bytes(*first)
    }
}
