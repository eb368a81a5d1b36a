//! The schedule of a drill: when faults are injected and when they end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use snipewinch::host;
use snipewinch::host::Role;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::Manifest;
use super::fault::Fault;
use super::fault::FollowUp;
use super::monitor::Monitor;
use super::verdict::Departure;
use super::verdict::Stop;
use crate::Error;
use crate::fleet::Fleet;

/// How often due faults are injected and configuration versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The share of the duration in which faults are injected, in percent.
const INJECTION_PERCENT: u32 = 80;

/// The faults of one drill and what was recorded about them.
#[derive(Debug)]
pub(super) struct Schedule {
    pub(super) rng: ChaCha8Rng,
    pub(super) versions: Vec<Manifest>,
    /// The index of the next version to publish.
    pub(super) next_version: usize,
    /// Hosts that an active fault affects; no other fault may select them.
    pub(super) reserved: BTreeSet<host::Name>,
    /// How often each fault was injected.
    pub(super) fault_counts: BTreeMap<&'static str, u64>,
    pub(super) departures: Vec<Departure>,
    pub(super) stops: Vec<Stop>,
    /// When every host has read the current membership list again after a fault
    /// that delayed it, and has had the time to act on it.
    pub(super) list_read_by: Duration,
    pub(super) accepted_sender: mpsc::UnboundedSender<u64>,
    accepted_receiver: mpsc::UnboundedReceiver<u64>,
    /// Publications in progress.
    pub(super) publications: JoinSet<()>,
    pending_faults: Vec<(Duration, Fault)>,
    follow_ups: Vec<(Duration, FollowUp)>,
}

impl Schedule {
    pub(super) fn open(seed: u64, span: Duration, versions: Vec<Manifest>) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (accepted_sender, accepted_receiver) = mpsc::unbounded_channel();
        let mut faults = Fault::ALL.to_vec();
        faults.shuffle(&mut rng);
        let window = span * INJECTION_PERCENT / 100;
        let gap = window / faults.len() as u32;
        let pending_faults = faults.iter().enumerate();
        let mut pending_faults: Vec<(Duration, Fault)> = pending_faults
            .map(|(index, fault)| (gap * index as u32, *fault))
            .collect();
        // Injects more faults at random times, so that faults overlap and
        // repeat.
        for _ in 0..Fault::ALL.len() / 2 {
            let at = window.mul_f64(rng.random());
            let fault = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
            pending_faults.push((at, fault));
        }
        pending_faults.sort_by_key(|(at, _)| *at);
        pending_faults.reverse();
        Schedule {
            rng,
            versions,
            next_version: 1,
            reserved: BTreeSet::new(),
            fault_counts: BTreeMap::new(),
            departures: Vec::new(),
            stops: Vec::new(),
            list_read_by: Duration::ZERO,
            accepted_sender,
            accepted_receiver,
            publications: JoinSet::new(),
            pending_faults,
            follow_ups: Vec::new(),
        }
    }

    /// Injects every fault and waits until all have ended.
    pub(super) async fn run(
        &mut self,
        fleet: &mut Fleet,
        monitor: &mut Monitor,
    ) -> Result<(), Error> {
        while !self.pending_faults.is_empty()
            || !self.follow_ups.is_empty()
            || !self.all_published()
        {
            let now = monitor.elapsed();
            while self.pending_faults.last().is_some_and(|(at, _)| *at <= now) {
                if let Some((_, fault)) = self.pending_faults.pop() {
                    self.inject(fault, fleet, monitor).await?;
                }
            }
            for end in self.take_due(monitor.elapsed()) {
                self.follow_up(end, fleet, monitor).await?;
            }
            self.record_acceptances(monitor);
            monitor.poll_versions(fleet).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.record_acceptances(monitor);
        Ok(())
    }

    fn record_acceptances(&mut self, monitor: &mut Monitor) {
        while let Ok(version) = self.accepted_receiver.try_recv() {
            monitor.record_accepted(version);
        }
    }

    /// Whether every publication has completed.
    fn all_published(&mut self) -> bool {
        while self.publications.try_join_next().is_some() {}
        self.publications.is_empty()
    }

    fn take_due(&mut self, now: Duration) -> Vec<FollowUp> {
        let (due, later): (Vec<_>, Vec<_>) =
            self.follow_ups.drain(..).partition(|(at, _)| *at <= now);
        self.follow_ups = later;
        due.into_iter().map(|(_, follow_up)| follow_up).collect()
    }

    /// Schedules a follow-up after `delay`.
    pub(super) fn schedule_follow_up(
        &mut self,
        monitor: &Monitor,
        delay: Duration,
        follow_up: FollowUp,
    ) {
        self.follow_ups.push((monitor.elapsed() + delay, follow_up));
    }

    /// Reserves a random running host of a role for a fault. Selects only hosts
    /// whose service has others without a fault, and none if there are no such
    /// hosts. The entries count as one service.
    pub(super) fn reserve_host(&mut self, fleet: &Fleet, role: Role) -> Option<host::Name> {
        let available: Vec<_> = fleet
            .hosts()
            .filter(|host| host.role == role && host.process.is_some())
            .filter(|host| !self.reserved.contains(&host.name))
            .collect();
        let spare = available.iter().filter(|host| {
            let same = available
                .iter()
                .filter(|other| other.service == host.service);
            same.count() > AVAILABLE_MIN
        });
        let spare: Vec<_> = spare.map(|host| host.name.clone()).collect();
        if spare.is_empty() {
            return None;
        }
        let name = spare[self.rng.random_range(0..spare.len())].clone();
        self.reserved.insert(name.clone());
        Some(name)
    }
}

/// The number of entries, and of hosts of each service, that no fault may
/// reserve.
const AVAILABLE_MIN: usize = 1;
