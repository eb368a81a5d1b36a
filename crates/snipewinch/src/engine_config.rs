//! What an agent must know of the configuration, as entries tell it.
//!
//! The load that this answers: a fleet of a hundred hosts and more that starts
//! at once, and a configuration of many routes. Agents need a few hundred bytes
//! of it; if each read it whole, the links between regions would be full for
//! seconds in which entries can't get theirs. Entries read it anyway and speak
//! to agents all the time, so an agent takes its part from them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::route::Engine;
use crate::route::Origin;
use crate::route::Repeat;
use crate::route::Table;

/// The part of a configuration that concerns the engines of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineConfig {
    /// The version of the configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// How the engines work.
    #[serde(rename = "e")]
    pub engine: Engine,
    /// The shortest pause between events that any route to them bears; 0 if
    /// there is no bound.
    #[serde(rename = "p")]
    pub max_gap: Duration,
    /// Where their weights come from.
    #[serde(rename = "o")]
    pub origin: Option<Origin>,
}

impl EngineConfig {
    /// The terms of a service; none if it has no engines.
    pub fn for_service(table: &Table, service: &SmolStr) -> Option<EngineConfig> {
        let configuration = table.configuration();
        let engine = table.service(service)?.engine.clone()?;
        let routes = configuration.routes.iter();
        let ours = routes.filter(|route| route.targets.iter().any(|one| one.service == *service));
        let pauses = ours.filter_map(|route| match route.repeat {
            Repeat::Stream { gap, .. } if !gap.is_zero() => Some(gap),
            Repeat::Idempotent | Repeat::Never | Repeat::Stream { .. } => None,
        });
        let mut services = configuration.services.iter();
        Some(EngineConfig {
            version: configuration.version,
            engine,
            max_gap: pauses.min().unwrap_or_default(),
            origin: services.find_map(|service| service.origin.clone()),
        })
    }

    /// A short name of what they say, whatever the version.
    pub fn digest(&self) -> u32 {
        let said = (&self.engine, self.max_gap, &self.origin);
        let bytes = serde_json::to_vec(&said).expect("terms are serializable");
        let hash = blake3::hash(&bytes);
        let first = hash.as_bytes().first_chunk().expect("a digest is longer");
        u32::from_le_bytes(*first)
    }
}
