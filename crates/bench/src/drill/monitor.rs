//! Records which configuration version is in force at each host.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use snipewinch::host;

use crate::fleet::Fleet;

/// A configuration version that the console accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accepted {
    pub(super) version: u64,
    pub(super) at: Duration,
}

/// The configuration version that a host reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) version: u64,
    pub(super) at: Duration,
    /// The process id: after a restart a host may report an older version at
    /// first.
    pub(super) process_id: u32,
}

/// A period in which a fault may keep a host from receiving new versions.
#[derive(Clone, Debug)]
struct Disturbance {
    host: host::Name,
    from: Duration,
    to: Option<Duration>,
}

/// The accepted versions, the versions that hosts reported and the periods in
/// which a fault affected a host.
#[derive(Debug)]
pub(super) struct Monitor {
    started: Instant,
    pub(super) accepted: Vec<Accepted>,
    pub(super) settled: bool,
    observations: BTreeMap<host::Name, Vec<Observation>>,
    disturbances: Vec<Disturbance>,
}

impl Monitor {
    pub(super) fn open(fleet: &Fleet) -> Monitor {
        Monitor {
            started: Instant::now(),
            accepted: Vec::new(),
            settled: true,
            observations: fleet
                .hosts()
                .map(|h| (h.name.clone(), Vec::new()))
                .collect(),
            disturbances: Vec::new(),
        }
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn record_accepted(&mut self, version: u64) {
        let at = self.elapsed();
        self.accepted.push(Accepted { version, at });
    }

    pub(super) fn observations(&self) -> impl Iterator<Item = (&host::Name, &Vec<Observation>)> {
        self.observations.iter()
    }

    /// Records that a fault affects a host from now on.
    pub(super) fn begin_disturbance(&mut self, host: &host::Name) {
        self.disturbances.push(Disturbance {
            host: host.clone(),
            from: self.elapsed(),
            to: None,
        });
    }

    /// Records that faults no longer affect a host.
    pub(super) fn end_disturbance(&mut self, host: &host::Name) {
        let now = self.elapsed();
        let open = self.disturbances.iter_mut();
        for disturbance in open.filter(|d| d.host == *host && d.to.is_none()) {
            disturbance.to = Some(now);
        }
    }

    /// Whether a fault affected a host at any time in `[from, to]`.
    pub(super) fn was_disturbed(&self, host: &host::Name, from: Duration, to: Duration) -> bool {
        self.disturbances
            .iter()
            .any(|d| d.host == *host && d.from <= to && d.to.is_none_or(|end| end >= from))
    }

    /// Records that the fleet did not settle, and prints the last version and
    /// log line of each host.
    pub(super) fn record_unsettled(&mut self, fleet: &Fleet) {
        self.settled = false;
        for host in fleet.hosts() {
            let seen = self
                .observations
                .get(&host.name)
                .and_then(|seen| seen.last());
            let log = host.process.as_ref().map(|process| process.log_lines());
            let last = log.and_then(|lines| lines.last().cloned());
            let last = last.unwrap_or_default();
            eprintln!("{}: {seen:?} {last}", host.name);
        }
    }

    /// Records which version is in force at every running host.
    pub(super) async fn poll_versions(&mut self, fleet: &Fleet) {
        let asked = fleet.hosts().map(async |host| {
            let process_id = host.process.as_ref()?.id()?;
            let version = fleet.configuration_version(host).await?;
            Some((host.name.clone(), version, process_id))
        });
        let answers = join_all(asked).await;
        let at = self.elapsed();
        for (host, version, process_id) in answers.into_iter().flatten() {
            let seen = self.observations.entry(host).or_default();
            seen.push(Observation {
                version,
                at,
                process_id,
            });
        }
    }
}
