//! What the agents, the relay and the platform have counted.

use std::collections::BTreeSet;

use futures_util::StreamExt;
use futures_util::stream;
use snipewinch::host::Role;

use super::ByHost;
use super::Run;
use crate::Error;
use crate::fleet::Fleet;
use crate::fleet::Links;

/// Agents that are asked at once.
const AT_ONCE: usize = 16;
const SENT: &str = "snipewinch_weights_sent_bytes_total";
const PEER_SENT: &str = "snipewinch_peer_sent_bytes_total";

/// All counters at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    sent: ByHost,
    control: ByHost,
    exchange: ByHost,
    links: Links,
    origin: Vec<(String, u64)>,
}

impl Sample {
    pub(super) async fn take(fleet: &Fleet) -> Result<Sample, Error> {
        let agents = fleet
            .hosts()
            .filter(|host| host.role == Role::Agent && host.engine().is_some())
            .filter(|host| host.process.is_some());
        let texts: Vec<_> = stream::iter(agents)
            .map(|host| async move {
                let answer = fleet.client.get(host.http, "/metrics").await;
                let text = answer.map(|one| String::from_utf8_lossy(&one.body).into_owned());
                (host.name.clone(), text.unwrap_or_default())
            })
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        let mut sample = Sample {
            links: fleet.links().await?,
            ..Sample::default()
        };
        for (host, text) in texts {
            let control = sum(&text, PEER_SENT, "class=\"control\"");
            let exchange = sum(&text, PEER_SENT, "class=\"exchange\"");
            sample.sent.insert(host.clone(), sum(&text, SENT, ""));
            sample.control.insert(host.clone(), control);
            sample.exchange.insert(host, exchange);
        }
        let counters = fleet.counters().await?;
        for (manifest, bytes) in &counters.origin_bytes {
            sample.origin.push((manifest.to_string(), *bytes));
        }
        Ok(sample)
    }

    /// Bytes that the origin has sent of these manifests.
    pub(super) fn origin_bytes(&self, manifests: &BTreeSet<String>) -> u64 {
        let of = self.origin.iter();
        of.filter(|(manifest, _)| manifests.contains(manifest))
            .map(|(_, bytes)| bytes)
            .sum()
    }

    pub(super) fn origin_total(&self, run: &Run) -> u64 {
        self.origin_bytes(&run.published)
    }

    /// The most over one link between regions since `before`.
    pub(super) fn link_bytes_max(&self, before: &Sample) -> u64 {
        let earlier = |from: &str, to: &str| {
            let mut links = before.links.iter();
            let link = links.find(|one| one.from == from && one.to == to);
            link.map_or(0, |one| one.bytes)
        };
        let bytes = self
            .links
            .iter()
            .map(|one| one.bytes - earlier(&one.from, &one.to));
        bytes.max().unwrap_or(0)
    }

    /// The most that one host has sent since `before`.
    pub(super) fn sent_max(&self, before: &Sample) -> u64 {
        grown(&self.sent, &before.sent).max().unwrap_or(0)
    }

    /// Bytes of a host for links, hosts and configuration since `before`, in
    /// the mean.
    pub(super) fn control_mean(&self, before: &Sample) -> f64 {
        let total: u64 = grown(&self.control, &before.control).sum();
        total as f64 / self.control.len().max(1) as f64
    }

    /// Bytes of a host for who holds and asks for what since `before`, in the
    /// mean.
    pub(super) fn exchange_mean(&self, before: &Sample) -> f64 {
        let total: u64 = grown(&self.exchange, &before.exchange).sum();
        total as f64 / self.exchange.len().max(1) as f64
    }
}

fn grown(after: &ByHost, before: &ByHost) -> impl Iterator<Item = u64> {
    after
        .iter()
        .map(|(host, bytes)| bytes.saturating_sub(before.get(host).copied().unwrap_or(0)))
}

/// The sum of a metric's rows that have a label.
fn sum(text: &str, metric: &str, label: &str) -> u64 {
    let rows = text.lines().filter(|line| line.starts_with(metric));
    let values = rows.filter(|line| line.contains(label));
    let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
