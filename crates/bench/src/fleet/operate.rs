//! Actions of operators and publishers of weights: uploads weights, publishes
//! documents and waits until they are in force.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use snipewinch::Digest;
use snipewinch::document::Document;
use snipewinch::document::Model;
use snipewinch::host::Role;
use snipewinch::weights::manifest::Manifest;

use super::AnswerSnafu;
use super::Error;
use super::Fleet;
use super::Host;
use super::TimeoutSnafu;
use crate::console::Console;
use crate::load;
use crate::scrape::Scrape;

/// How often a condition that is waited for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for a host to report the configuration version in force.
const SCRAPE_TIMEOUT: Duration = Duration::from_millis(500);

impl Fleet {
    /// Uploads the weights of a version of the fleet's model to the origin, and
    /// their manifest to the object store.
    ///
    /// # Errors
    ///
    /// [`Error`] if the manifest is invalid or the platform refuses the upload.
    pub async fn put_weights(
        &self,
        version: &str,
        weights: &[u8],
        chunk_bytes: u32,
    ) -> Result<Manifest, Error> {
        let manifest = match Manifest::build(self.plan.model(), version, chunk_bytes, weights) {
            Ok(manifest) => manifest,
            Err(error) => {
                return AnswerSnafu {
                    what: "the manifest",
                    status: 0_u16,
                    body: error.to_string(),
                }
                .fail();
            }
        };
        let digest = manifest.digest();
        let path = format!("/objects/manifests/{digest}");
        self.put(self.platform, &path, manifest.to_bytes()).await?;
        let path = format!("/origin/{digest}");
        self.put(self.platform, &path, weights.to_vec()).await?;
        Ok(manifest)
    }

    /// Sets the version of the model in the fleet's document, publishes it and
    /// returns the version of the configuration.
    ///
    /// # Errors
    ///
    /// [`Error`] if the console does not accept it.
    pub async fn publish_model(
        &mut self,
        version: &str,
        manifest: &Manifest,
    ) -> Result<u64, Error> {
        self.set_model(version, manifest);
        self.publish(&self.plan.document).await
    }

    /// Sets the version of the model in the fleet's document without publishing
    /// it.
    pub fn set_model(&mut self, version: &str, manifest: &Manifest) {
        let model = Model {
            name: manifest.model.clone(),
            version: version.into(),
            manifest: manifest.digest(),
            adapters: Vec::new(),
        };
        let models = &mut self.plan.document.models;
        models.retain(|other| other.name != model.name);
        models.push(model);
    }

    /// Publishes a document through the console of the first routable entry and
    /// returns the version of the configuration.
    ///
    /// # Errors
    ///
    /// [`Error`] if the console does not accept it.
    pub async fn publish(&self, document: &Document) -> Result<u64, Error> {
        let entry = self.routable_entries.read().first().copied();
        let Some(entry) = entry else {
            return TimeoutSnafu {
                what: "a routable entry",
                seen: "no entry is running",
            }
            .fail();
        };
        let console = Console::sign_in(entry, &self.operator_key()).await?;
        console.publish(document).await
    }

    /// Waits until every running entry reports that it is ready.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if one is not within `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), Error> {
        let started = Instant::now();
        for host in self.hosts().filter(|host| host.role == Role::Entry) {
            loop {
                let answer = self.client.get(host.http, "/readyz").await;
                let ready = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
                if ready || host.process.is_none() {
                    break;
                }
                if started.elapsed() > limit {
                    return TimeoutSnafu {
                        what: format!("{} to be ready", host.name),
                        seen: format!("it is not ready after {limit:?}"),
                    }
                    .fail();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until the engine of every running agent serves exactly these
    /// weights.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if one does not within `limit`.
    pub async fn wait_replicas(&self, expected: &Digest, limit: Duration) -> Result<(), Error> {
        let started = Instant::now();
        loop {
            let replicas = self.replicas(expected).await?;
            let all = self.running_engines().len();
            if replicas == all {
                return Ok(());
            }
            if started.elapsed() > limit {
                return TimeoutSnafu {
                    what: "every engine host to serve the version",
                    seen: format!("{replicas} of {all} serve it after {limit:?}"),
                }
                .fail();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The version of the configuration in force at a host, none if it does not
    /// answer within 500 ms.
    pub async fn configuration_version(&self, host: &Host) -> Option<u64> {
        let scrape = tokio::time::timeout(SCRAPE_TIMEOUT, Scrape::fetch(self, host.http));
        let scrape = scrape.await.ok()?.ok()?;
        Some(scrape.sum("snipewinch_configuration_version", "") as u64)
    }

    /// Waits until this or a later version of the configuration is in force at
    /// every running host.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if it is not within `limit`.
    pub async fn wait_in_force(&self, version: u64, limit: Duration) -> Result<(), Error> {
        let started = Instant::now();
        for host in self.hosts().filter(|host| host.process.is_some()) {
            loop {
                let seen = self.configuration_version(host).await;
                if seen.is_some_and(|seen| seen >= version) {
                    break;
                }
                if started.elapsed() > limit {
                    return TimeoutSnafu {
                        what: format!("configuration version {version} at {}", host.name),
                        seen: format!("it reports {seen:?} after {limit:?}"),
                    }
                    .fail();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every routable entry has answered a call to each service.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if one does not within `limit`.
    pub async fn wait_answering(&self, limit: Duration) -> Result<(), Error> {
        let started = Instant::now();
        let entries = self.routable_entries.read().clone();
        for entry in entries {
            for probe in load::probes(self, entry) {
                while !probe.answered().await {
                    if started.elapsed() > limit {
                        return TimeoutSnafu {
                            what: format!("{entry} to answer"),
                            seen: format!("{probe:?} has no answer after {limit:?}"),
                        }
                        .fail();
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }
}
