//! Byte counters of the agents, the relay and the platform.

use std::collections::BTreeSet;

use futures_util::StreamExt;
use futures_util::stream;
use snipewinch::host::Role;

use super::ByHost;
use super::Run;
use crate::Error;
use crate::fleet::Fleet;
use crate::fleet::Links;

/// Number of agents whose metrics are read concurrently.
const CONCURRENT_REQUESTS: usize = 16;
const SENT_METRIC: &str = "snipewinch_weights_sent_bytes_total";
const PEER_SENT_METRIC: &str = "snipewinch_peer_sent_bytes_total";

/// The counters of the whole fleet at one time.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    sent_bytes: ByHost,
    control_bytes: ByHost,
    exchange_bytes: ByHost,
    links: Links,
    origin_bytes: Vec<(String, u64)>,
}

impl Sample {
    /// Reads all counters; an agent that does not answer counts 0.
    pub(super) async fn collect(fleet: &Fleet) -> Result<Sample, Error> {
        let agents = fleet
            .hosts()
            .filter(|host| host.role == Role::Agent && host.engine().is_some())
            .filter(|host| host.process.is_some());
        let texts: Vec<_> = stream::iter(agents)
            .map(|host| async move {
                let answer = fleet.client.get(host.http, "/metrics").await;
                let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
                (host.name.clone(), text.unwrap_or_default())
            })
            .buffer_unordered(CONCURRENT_REQUESTS)
            .collect()
            .await;
        let mut sample = Sample {
            links: fleet.links().await?,
            ..Sample::default()
        };
        for (host, text) in texts {
            let control = sum_rows(&text, PEER_SENT_METRIC, "class=\"control\"");
            let exchange = sum_rows(&text, PEER_SENT_METRIC, "class=\"exchange\"");
            sample
                .sent_bytes
                .insert(host.clone(), sum_rows(&text, SENT_METRIC, ""));
            sample.control_bytes.insert(host.clone(), control);
            sample.exchange_bytes.insert(host, exchange);
        }
        let counters = fleet.counters().await?;
        for (manifest, bytes) in &counters.origin_bytes {
            sample.origin_bytes.push((manifest.to_string(), *bytes));
        }
        Ok(sample)
    }

    /// Bytes that the origin has sent for these manifests.
    pub(super) fn origin_bytes(&self, manifests: &BTreeSet<String>) -> u64 {
        let counts = self.origin_bytes.iter();
        counts
            .filter(|(manifest, _)| manifests.contains(manifest))
            .map(|(_, bytes)| bytes)
            .sum()
    }

    /// Bytes that the origin has sent for the manifests of a run.
    pub(super) fn origin_total(&self, run: &Run) -> u64 {
        self.origin_bytes(&run.manifest_digests)
    }

    /// Most bytes over one link between regions, one way, since `before`.
    pub(super) fn link_bytes_max(&self, before: &Sample) -> u64 {
        let bytes_before = |from: &str, to: &str| {
            let mut links = before.links.iter();
            let link = links.find(|link| link.from == from && link.to == to);
            link.map_or(0, |link| link.bytes)
        };
        let bytes = self
            .links
            .iter()
            .map(|link| link.bytes - bytes_before(&link.from, &link.to));
        bytes.max().unwrap_or(0)
    }

    /// Most bytes of weights that one host has sent since `before`.
    pub(super) fn sent_bytes_max(&self, before: &Sample) -> u64 {
        increases(&self.sent_bytes, &before.sent_bytes)
            .max()
            .unwrap_or(0)
    }

    /// Mean bytes per host since `before` for control: links, membership and
    /// configuration.
    pub(super) fn control_bytes_mean(&self, before: &Sample) -> f64 {
        let total: u64 = increases(&self.control_bytes, &before.control_bytes).sum();
        total as f64 / self.control_bytes.len().max(1) as f64
    }

    /// Mean bytes per host since `before` for exchange: announcements of and
    /// requests for chunks.
    pub(super) fn exchange_bytes_mean(&self, before: &Sample) -> f64 {
        let total: u64 = increases(&self.exchange_bytes, &before.exchange_bytes).sum();
        total as f64 / self.exchange_bytes.len().max(1) as f64
    }
}

/// The increase of each host's count; hosts missing in `before` count from 0.
fn increases(after: &ByHost, before: &ByHost) -> impl Iterator<Item = u64> {
    after
        .iter()
        .map(|(host, bytes)| bytes.saturating_sub(before.get(host).copied().unwrap_or(0)))
}

/// The sum of a metric's rows that contain a label.
fn sum_rows(text: &str, metric: &str, label: &str) -> u64 {
    let rows = text.lines().filter(|line| line.starts_with(metric));
    let values = rows.filter(|line| line.contains(label));
    let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
