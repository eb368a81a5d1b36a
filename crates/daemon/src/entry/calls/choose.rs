//! The agents that this entry has links to, and which of them takes a call.

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;
use snipewinch::host;
use snipewinch::host::Identity;
use snipewinch::wire::Summary;

/// One agent.
#[derive(Debug)]
struct Agent {
    service: SmolStr,
    in_flight: u32,
    summary: Arc<Summary>,
}

/// The agents.
#[derive(Debug, Default)]
pub(super) struct Agents {
    by_host: BTreeMap<host::Name, Agent>,
}

impl Agents {
    pub(super) fn up(&mut self, peer: &Identity) {
        let agent = Agent {
            service: peer.service.clone().unwrap_or_default(),
            in_flight: 0,
            summary: Arc::default(),
        };
        self.by_host.entry(peer.host.clone()).or_insert(agent);
    }

    pub(super) fn summary(&mut self, host: &host::Name, summary: Arc<Summary>) {
        if let Some(agent) = self.by_host.get_mut(host) {
            agent.summary = summary;
        }
    }

    /// The agent of the service with the fewest calls from here.
    pub(super) fn choose(
        &mut self,
        service: &str,
        avoid: &[host::Name],
        reaches: impl Fn(&host::Name) -> bool,
    ) -> Option<host::Name> {
        let takes = |(host, agent): &(&host::Name, &mut Agent)| {
            agent.service == service
                && !agent.summary.leaving
                && !avoid.contains(host)
                && reaches(host)
        };
        let (host, agent) = self
            .by_host
            .iter_mut()
            .filter(takes)
            .min_by_key(|(_, agent)| agent.in_flight)?;
        agent.in_flight += 1;
        Some(host.clone())
    }

    pub(super) fn settled(&mut self, host: &host::Name) {
        if let Some(agent) = self.by_host.get_mut(host) {
            agent.in_flight = agent.in_flight.saturating_sub(1);
        }
    }
}
