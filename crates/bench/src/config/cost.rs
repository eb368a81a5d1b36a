//! What the control plane costs: processor time, memory and control traffic of
//! each host, reads and writes of the platform's store.

use std::collections::BTreeMap;

use snipewinch::host;
use snipewinch::host::Role;

use super::Line;
use super::round;
use crate::Error;
use crate::fleet::Fleet;

const KIB_PER_MIB: f64 = 1024.0;
const SENT_METRIC: &str = "snipewinch_peer_sent_bytes_total{class=\"control\"} ";
const RECEIVED_METRIC: &str = "snipewinch_peer_received_bytes_total{kind=\"mixed\"} ";

/// The counters of one host process.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    role: Option<Role>,
    pid: u32,
    cpu_s: f64,
    bytes: f64,
    rss_kib: u64,
}

/// The counters of every host and of the platform at one moment.
pub(super) struct Cost {
    hosts: BTreeMap<host::Name, Totals>,
    reads: u64,
    writes: u64,
    membership_reads: u64,
}

impl Cost {
    /// Reads the counters of all hosts and of the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] if the platform does not answer. The byte counters of a host
    /// that does not answer are 0.
    pub(super) async fn read(fleet: &Fleet) -> Result<Cost, Error> {
        let mut hosts = BTreeMap::new();
        for host in fleet.hosts() {
            let answer = fleet.client.get(host.http, "/metrics").await;
            let text = answer.map(|answer| answer.body).unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            let usage = host.usage();
            let totals = Totals {
                role: Some(host.role),
                pid: host.process.as_ref().and_then(|p| p.id()).unwrap_or(0),
                cpu_s: usage.cpu_s,
                bytes: metric(&text, SENT_METRIC) + metric(&text, RECEIVED_METRIC),
                rss_kib: usage.rss_max_kib,
            };
            hosts.insert(host.name.clone(), totals);
        }
        let counters = fleet.counters().await?;
        Ok(Cost {
            hosts,
            reads: counters.table_reads + counters.object_reads,
            writes: counters.table_writes + counters.object_writes,
            membership_reads: counters.membership_reads,
        })
    }

    /// Writes the costs per second since `before` into the result line.
    pub(super) fn write_rates(&self, before: &Cost, seconds: f64, line: &mut Line) {
        line.store_reads_per_s = round((self.reads - before.reads) as f64 / seconds);
        line.store_writes_per_s = round((self.writes - before.writes) as f64 / seconds);
        line.membership_reads_per_s =
            round((self.membership_reads - before.membership_reads) as f64 / seconds);
        let difference = self.difference(before);
        let mean = |value: &dyn Fn(&Totals) -> f64, role: Option<Role>| {
            let values: Vec<f64> = difference
                .iter()
                .filter(|totals| role.is_none() || totals.role == role)
                .map(value)
                .collect();
            values.iter().sum::<f64>() / values.len().max(1) as f64
        };
        let bytes = |totals: &Totals| totals.bytes / seconds;
        line.control_bytes_per_host_s = round(mean(&bytes, None));
        line.control_bytes_per_entry_s = round(mean(&bytes, Some(Role::Entry)));
        line.control_bytes_per_agent_s = round(mean(&bytes, Some(Role::Agent)));
        let cores = |totals: &Totals| totals.cpu_s / seconds;
        line.control_core_fraction = round(mean(&cores, None));
        line.agent_rss_mib = round(self.peak_rss_mib(Role::Agent));
        line.entry_rss_mib = round(self.peak_rss_mib(Role::Entry));
    }

    /// The increase of the counters of each host. A host that was restarted is
    /// left out, because its counters restarted at zero.
    fn difference(&self, before: &Cost) -> Vec<Totals> {
        let hosts = self.hosts.iter();
        hosts
            .filter_map(|(name, after)| {
                let before = before.hosts.get(name)?;
                (before.pid == after.pid).then_some(Totals {
                    cpu_s: after.cpu_s - before.cpu_s,
                    bytes: after.bytes - before.bytes,
                    ..*after
                })
            })
            .collect()
    }

    /// The largest resident memory of a host of this role, in MiB.
    fn peak_rss_mib(&self, role: Role) -> f64 {
        let hosts = self
            .hosts
            .values()
            .filter(|totals| totals.role == Some(role));
        hosts.map(|totals| totals.rss_kib).max().unwrap_or(0) as f64 / KIB_PER_MIB
    }
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
