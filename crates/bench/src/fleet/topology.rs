//! Maintains the membership list, the links between regions and the routable
//! entries, as the deployment system of the platform does.

use serde_json::json;
use snafu::ResultExt;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::membership;

use super::Error;
use super::Fleet;
use super::Host;
use super::HttpSnafu;
use super::PLATFORM_HOST;
use super::address;

impl Fleet {
    /// Adds a host to the membership list or updates its state. With a relay,
    /// creates a route to the host from each other region.
    pub(super) async fn announce(
        &self,
        host: &Host,
        state: membership::State,
    ) -> Result<(), Error> {
        let mut reached = serde_json::Map::new();
        for region in &self.plan.deployment.regions {
            if let Some(relay) = self.relay
                && *region.name != *host.region.as_str()
            {
                let route = json!({"from": region.name, "to": host.region,
                    "host": host.name, "target": host.peers});
                let answer = self.post(relay, "/admin/routes", route).await?;
                reached.insert(region.name.to_string(), answer["address"].clone());
            }
        }
        let member = json!({"host": host.name, "role": host.role, "zone": host.zone,
            "region": host.region, "service": host.service, "address": host.peers,
            "state": state, "reached": reached});
        let path = format!("/membership/{}", host.name);
        self.put(self.platform, &path, member.to_string()).await?;
        Ok(())
    }

    /// Adds `count` hosts that do not exist to the membership list. No service
    /// of the document has their service name, so no host connects to them.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform does not answer.
    pub async fn list_missing_hosts(&self, count: usize) -> Result<(), Error> {
        let regions = &self.plan.deployment.regions;
        for index in 0..count {
            let region = &regions[index % regions.len()].name;
            let host = format!("silent-{index}");
            let member = json!({"host": host, "role": Role::Agent, "zone": region,
                "region": region, "service": "silent", "address": "127.0.0.1:1",
                "state": membership::State::Live, "reached": {}});
            let path = format!("/membership/{host}");
            self.put(self.platform, &path, member.to_string()).await?;
        }
        Ok(())
    }

    /// Creates the links between regions and, for each region without the
    /// platform, a route to it. Does nothing without a relay.
    pub(super) async fn create_links(&mut self) -> Result<(), Error> {
        let Some(relay) = self.relay else {
            return Ok(());
        };
        let deployment = self.plan.deployment.clone();
        for from in &deployment.regions {
            for to in deployment.regions.iter().filter(|to| to.name != from.name) {
                let link = json!({"from": from.name, "to": to.name,
                    "mbit": deployment.region_mbit, "delay_ms": deployment.region_delay_ms});
                self.post(relay, "/admin/links", link).await?;
            }
            if from.name != deployment.store_region {
                let route = json!({"from": from.name, "to": deployment.store_region,
                    "host": PLATFORM_HOST, "target": self.platform});
                let answer = self.post(relay, "/admin/routes", route).await?;
                let region = host::Region(from.name.clone());
                let reached = address(&answer, "address")?;
                self.platform_by_region.insert(region, reached);
            }
        }
        Ok(())
    }

    /// Sets the routable entries to those that run and are not stopping.
    pub(super) fn update_routable_entries(&self) {
        let entries = self.hosts.values();
        *self.routable_entries.write() = entries
            .filter(|host| host.role == Role::Entry && host.process.is_some())
            .filter(|host| !host.stopping)
            .map(|host| host.http)
            .collect();
    }

    /// Removes a host from the membership list.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform does not answer.
    pub async fn unlist(&self, name: &host::Name) -> Result<(), Error> {
        let path = format!("/membership/{name}");
        let answer = self
            .client
            .call(http::Method::DELETE, self.platform, &path, "")
            .await;
        answer.context(HttpSnafu)?;
        Ok(())
    }

    /// Marks a host as leaving in the membership list, without informing the
    /// host.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no such host or the platform does not answer.
    pub async fn mark_leaving(&self, name: &host::Name) -> Result<(), Error> {
        let host = self.host(name.as_str())?;
        self.announce(host, membership::State::Leaving).await
    }

    /// Marks a host as live again in the membership list.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no such host or the platform does not answer.
    pub async fn mark_live(&self, name: &host::Name) -> Result<(), Error> {
        let host = self.host(name.as_str())?;
        self.announce(host, membership::State::Live).await
    }
}
