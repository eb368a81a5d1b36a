//! Faults of the platform, the links and the backend servers of a fleet.

use serde_json::Value;
use serde_json::json;
use snipewinch::host;

use super::Error;
use super::Fleet;

impl Fleet {
    /// Changes the faults of the platform, for example
    /// `{"tables": {"down": true}}`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in refuses them.
    pub async fn platform_faults(&self, faults: Value) -> Result<(), Error> {
        self.post(self.platform, "/admin/faults", faults).await?;
        Ok(())
    }

    /// Changes the faults of all engines.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in refuses them.
    pub async fn engine_faults(&self, faults: Value) -> Result<(), Error> {
        self.post(self.engines, "/admin/faults", faults).await?;
        Ok(())
    }

    /// Changes the faults of one engine.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in refuses them.
    pub async fn engine_fault(&self, engine: usize, faults: Value) -> Result<(), Error> {
        let path = format!("/admin/engines/{engine}/faults");
        self.post(self.engines, &path, faults).await?;
        Ok(())
    }

    /// Changes the faults of all plain services.
    ///
    /// # Errors
    ///
    /// [`Error`] if the stand-in refuses them.
    pub async fn service_faults(&self, faults: Value) -> Result<(), Error> {
        self.post(self.services, "/admin/faults", faults).await?;
        Ok(())
    }

    /// Cuts all links between a region and the others, and thus its connection
    /// to the platform, or restores them.
    ///
    /// # Errors
    ///
    /// [`Error`] if the relay does not answer.
    pub async fn cut_region(&self, region: &host::Region, cut: bool) -> Result<(), Error> {
        for (from, to) in self.region_pairs() {
            if from == *region || to == *region {
                self.set_link(&from, &to, json!({ "cut": cut })).await?;
            }
        }
        Ok(())
    }

    /// Sets how many segments in ten thousand every link between regions
    /// corrupts.
    ///
    /// # Errors
    ///
    /// [`Error`] if the relay does not answer.
    pub async fn corrupt_links(&self, per_myriad: u32) -> Result<(), Error> {
        for (from, to) in self.region_pairs() {
            let fault = json!({ "corrupt_per_myriad": per_myriad });
            self.set_link(&from, &to, fault).await?;
        }
        Ok(())
    }

    /// Silences all currently open connections on every link from this region:
    /// they stay open and never carry data again.
    ///
    /// # Errors
    ///
    /// [`Error`] if the relay does not answer.
    pub async fn silence_region(&self, region: &host::Region) -> Result<(), Error> {
        let Some(relay) = self.relay else {
            return Ok(());
        };
        for (from, to) in self.region_pairs() {
            if from == *region {
                let pair = json!({"from": from, "to": to});
                self.post(relay, "/admin/silence", pair).await?;
            }
        }
        Ok(())
    }

    /// Changes the link from one region to another. Rate and delay keep the
    /// values of the plan unless `change` sets them.
    ///
    /// # Errors
    ///
    /// [`Error`] if the relay does not answer.
    pub async fn set_link(
        &self,
        from: &host::Region,
        to: &host::Region,
        change: Value,
    ) -> Result<(), Error> {
        let Some(relay) = self.relay else {
            return Ok(());
        };
        let mut link = json!({"from": from, "to": to,
            "mbit": self.plan.deployment.region_mbit,
            "delay_ms": self.plan.deployment.region_delay_ms});
        standin::http::merge(&mut link, change);
        self.post(relay, "/admin/links", link).await?;
        Ok(())
    }

    /// All ordered pairs of different regions.
    pub fn region_pairs(&self) -> Vec<(host::Region, host::Region)> {
        let regions = &self.plan.deployment.regions;
        let region = |region: &crate::deployment::Region| host::Region(region.name.clone());
        regions
            .iter()
            .flat_map(|from| regions.iter().map(move |to| (region(from), region(to))))
            .filter(|(from, to)| from != to)
            .collect()
    }
}
