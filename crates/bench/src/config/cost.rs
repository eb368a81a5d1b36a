//! What control costs each host.

use std::collections::BTreeMap;

use snipewinch::host;
use snipewinch::host::Role;

use super::Line;
use super::round;
use crate::Error;
use crate::fleet::Fleet;

const KIB: f64 = 1024.0;
const SENT: &str = "snipewinch_peer_sent_bytes_total{class=\"control\"} ";
const RECEIVED: &str = "snipewinch_peer_received_bytes_total{kind=\"mixed\"} ";

#[derive(Clone, Copy, Debug, Default)]
struct Used {
    role: Option<Role>,
    id: u32,
    cpu_s: f64,
    bytes: f64,
    rss_kib: u64,
}

/// What every host has used so far.
pub(super) struct Cost {
    hosts: BTreeMap<host::Name, Used>,
    reads: u64,
    writes: u64,
    listings: u64,
}

impl Cost {
    pub(super) async fn read(fleet: &Fleet) -> Result<Cost, Error> {
        let mut hosts = BTreeMap::new();
        for host in fleet.hosts() {
            let answer = fleet.client.get(host.http, "/metrics").await;
            let text = answer.map(|answer| answer.body).unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            let usage = host.usage();
            let used = Used {
                role: Some(host.role),
                id: host.process.as_ref().and_then(|p| p.id()).unwrap_or(0),
                cpu_s: usage.cpu_s,
                bytes: metric(&text, SENT) + metric(&text, RECEIVED),
                rss_kib: usage.rss_max_kib,
            };
            hosts.insert(host.name.clone(), used);
        }
        let counters = fleet.counters().await?;
        Ok(Cost {
            hosts,
            reads: counters.table_reads + counters.object_reads,
            writes: counters.table_writes + counters.object_writes,
            listings: counters.membership_reads,
        })
    }

    pub(super) fn since(&self, before: &Cost, seconds: f64, line: &mut Line) {
        line.store_reads_per_s = round((self.reads - before.reads) as f64 / seconds);
        line.store_writes_per_s = round((self.writes - before.writes) as f64 / seconds);
        line.membership_reads_per_s = round((self.listings - before.listings) as f64 / seconds);
        let spent = self.spent(before);
        let mean = |value: &dyn Fn(&Used) -> f64, role: Option<Role>| {
            let of_role: Vec<f64> = spent
                .iter()
                .filter(|used| role.is_none() || used.role == role)
                .map(value)
                .collect();
            of_role.iter().sum::<f64>() / of_role.len().max(1) as f64
        };
        let bytes = |used: &Used| used.bytes / seconds;
        line.control_bytes_per_host_s = round(mean(&bytes, None));
        line.control_bytes_per_entry_s = round(mean(&bytes, Some(Role::Entry)));
        line.control_bytes_per_agent_s = round(mean(&bytes, Some(Role::Agent)));
        let cores = |used: &Used| used.cpu_s / seconds;
        line.control_core_fraction = round(mean(&cores, None));
        line.agent_rss_mib = round(self.most(Role::Agent));
        line.entry_rss_mib = round(self.most(Role::Entry));
    }

    /// What each host has used in between; one that was started again is left
    /// out, as its counters began anew.
    fn spent(&self, before: &Cost) -> Vec<Used> {
        let hosts = self.hosts.iter();
        hosts
            .filter_map(|(name, after)| {
                let before = before.hosts.get(name)?;
                (before.id == after.id).then_some(Used {
                    cpu_s: after.cpu_s - before.cpu_s,
                    bytes: after.bytes - before.bytes,
                    ..*after
                })
            })
            .collect()
    }

    fn most(&self, role: Role) -> f64 {
        let hosts = self.hosts.values().filter(|used| used.role == Some(role));
        hosts.map(|used| used.rss_kib).max().unwrap_or(0) as f64 / KIB
    }
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
