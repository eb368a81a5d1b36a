//! Reads what the stand-ins counted: calls executed, weights served and bytes
//! sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::OptionExt;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::host::Role;
use standin::engine::ServedVersion;
use standin::platform::Counters;
use standin::relay::LinkTraffic;

use super::AnswerSnafu;
use super::Backend;
use super::Error;
use super::Fleet;

/// The bytes sent over each link between regions.
pub type Links = Vec<LinkTraffic>;

#[derive(Deserialize)]
struct EngineState {
    models: Vec<LoadedModel>,
    loading: bool,
}

#[derive(Deserialize)]
struct LoadedModel {
    given_digest: SmolStr,
}

impl Fleet {
    /// The number of running agents whose engine serves exactly these weights.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer.
    pub async fn replicas(&self, expected: &Digest) -> Result<usize, Error> {
        let states: Vec<EngineState> = self.read(self.engines, "/admin/states").await?;
        let expected = expected.to_string();
        let serves = |index: usize| {
            let state = &states[index];
            !state.loading && state.models.iter().any(|m| m.given_digest == expected)
        };
        let engines = self.running_engines();
        Ok(engines.into_iter().filter(|index| serves(*index)).count())
    }

    /// The indices of the engines whose agent is running.
    pub fn running_engines(&self) -> Vec<usize> {
        self.hosts()
            .filter(|host| host.role == Role::Agent && host.process.is_some())
            .filter_map(|host| host.engine())
            .collect()
    }

    /// The number of calls that reached the backend server of a host; 0 for an
    /// entry.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer or the host is unknown.
    pub async fn backend_calls(&self, name: &host::Name) -> Result<u64, Error> {
        let (address, index) = match self.host(name.as_str())?.backend {
            Some(Backend::Engine(index, _)) => (self.engines, index),
            Some(Backend::Plain(index, _)) => (self.services, index),
            None => return Ok(0),
        };
        let counts: BTreeMap<usize, u64> = self.read(address, "/admin/counts").await?;
        Ok(counts.get(&index).copied().unwrap_or(0))
    }

    /// How often each call was executed, by its effect name, summed over all
    /// backend servers.
    ///
    /// # Errors
    ///
    /// [`Error`] if a stand-in does not answer.
    pub async fn effects(&self) -> Result<BTreeMap<SmolStr, u32>, Error> {
        let mut all: BTreeMap<SmolStr, u32> = self.read(self.engines, "/admin/effects").await?;
        let plain: BTreeMap<SmolStr, u32> = self.read(self.services, "/admin/effects").await?;
        for (effect, times) in plain {
            *all.entry(effect).or_default() += times;
        }
        Ok(all)
    }

    /// The number of calls served with weights that match no published version.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer.
    pub async fn partial_or_mixed_calls(&self, published: &BTreeSet<Digest>) -> Result<u64, Error> {
        let expected: BTreeSet<String> = published.iter().map(Digest::to_string).collect();
        let served = self.served().await?;
        Ok(served
            .iter()
            .filter(|served| !expected.contains(served.given_digest.as_str()))
            .map(|served| served.calls)
            .sum())
    }

    /// The number of calls served with each version of the weights.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer.
    pub async fn served(&self) -> Result<Vec<ServedVersion>, Error> {
        self.read(self.engines, "/admin/served").await
    }

    /// The counters of the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer.
    pub async fn counters(&self) -> Result<Counters, Error> {
        self.read(self.platform, "/admin/counters").await
    }

    /// The bytes sent over each link between regions; empty without a relay.
    ///
    /// # Errors
    ///
    /// [`Error`] if the relay does not answer.
    pub async fn links(&self) -> Result<Links, Error> {
        match self.relay {
            Some(relay) => self.read(relay, "/admin/links").await,
            None => Ok(Vec::new()),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        address: std::net::SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let value: Value = self.get(address, path).await?;
        let body = value.to_string();
        serde_json::from_value(value).ok().context(AnswerSnafu {
            what: path,
            status: 200_u16,
            body,
        })
    }
}
