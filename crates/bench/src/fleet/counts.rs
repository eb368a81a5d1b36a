//! What really happened, as the stand-ins counted it.

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

/// Bytes that passed between regions.
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
    /// Running agent hosts whose engine serves exactly these weights.
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

    /// The engines whose agent host runs.
    pub fn running_engines(&self) -> Vec<usize> {
        self.hosts()
            .filter(|host| host.role == Role::Agent && host.process.is_some())
            .filter_map(|host| host.engine())
            .collect()
    }

    /// Calls that have reached the backend server of a host.
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

    /// How often each call's effect was had, over all backend servers.
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

    /// Calls that were served with weights other than those published whole.
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

    /// Calls by the weights that they ran with.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer.
    pub async fn served(&self) -> Result<Vec<ServedVersion>, Error> {
        self.read(self.engines, "/admin/served").await
    }

    /// What the platform has counted.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in does not answer.
    pub async fn counters(&self) -> Result<Counters, Error> {
        self.read(self.platform, "/admin/counters").await
    }

    /// Bytes that passed between regions, empty without a relay.
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
