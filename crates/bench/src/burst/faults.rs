//! Faults that are injected during a burst.

use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use snipewinch::host;
use snipewinch::host::Role;

use crate::Error;
use crate::fleet::Fleet;

/// Delay before the faults, as a fraction of the bound.
const START_FRACTION: f64 = 0.2;
/// How long stalled hosts stay suspended, as a fraction of the bound.
const STALL_FRACTION: f64 = 0.3;
/// Size of the segments of which the relay corrupts a share.
const SEGMENT_KIB: f64 = 4.0;
/// Parts per ten thousand in one percent.
const MYRIADTHS_PER_PERCENT: f64 = 100.0;

/// The faults of a run.
#[derive(Clone, Debug)]
pub(super) struct Faults {
    pub(super) kill_percent: usize,
    pub(super) corrupt_percent: f64,
    pub(super) chunk_kib: u32,
    pub(super) stall_percent: usize,
    pub(super) join_percent: usize,
    pub(super) region_cut: Option<Duration>,
}

impl Faults {
    /// Injects the faults early in the burst. Returns the number of added
    /// hosts, which is 0 here.
    pub(super) async fn inject(
        &self,
        fleet: &mut Fleet,
        bound: Duration,
        seed: u64,
    ) -> Result<usize, Error> {
        if self.corrupt_percent > 0.0 {
            let segments = (f64::from(self.chunk_kib) / SEGMENT_KIB).max(1.0);
            let per_myriad = self.corrupt_percent * MYRIADTHS_PER_PERCENT / segments;
            fleet.corrupt_links(per_myriad.ceil() as u32).await?;
        }
        let mut hosts = running_agents(fleet);
        if self.has_no_outages() {
            return Ok(0);
        }
        tokio::time::sleep(bound.mul_f64(START_FRACTION)).await;
        hosts.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        let count = |percent: usize| (hosts.len() * percent).div_ceil(100);
        let (killed, rest) = hosts.split_at(count(self.kill_percent));
        let (stalled, _) = rest.split_at(count(self.stall_percent).min(rest.len()));
        for host in killed {
            fleet.kill(host).await?;
            fleet.unlist(host).await?;
        }
        for host in stalled {
            fleet.signal(host, Signal::SIGSTOP)?;
        }
        let regions = &fleet.plan.deployment.regions;
        let cut_region = regions
            .last()
            .map(|region| host::Region(region.name.clone()));
        if let (Some(cut_time), Some(region)) = (self.region_cut, cut_region) {
            fleet.cut_region(&region, true).await?;
            tokio::time::sleep(cut_time).await;
            fleet.cut_region(&region, false).await?;
        }
        if !stalled.is_empty() {
            tokio::time::sleep(bound.mul_f64(STALL_FRACTION)).await;
        }
        for host in stalled {
            fleet.signal(host, Signal::SIGCONT)?;
        }
        Ok(0)
    }

    /// Adds hosts in the middle of the burst and returns how many started.
    pub(super) async fn add_hosts(
        &self,
        fleet: &mut Fleet,
        bound: Duration,
        accepted: Instant,
    ) -> Result<usize, Error> {
        let count = running_agents(fleet).len() * self.join_percent / 100;
        if count == 0 {
            return Ok(0);
        }
        let start = bound.mul_f64(START_FRACTION + STALL_FRACTION);
        tokio::time::sleep(start.saturating_sub(accepted.elapsed())).await;
        let mut joined = 0;
        for _ in 0..count {
            joined += usize::from(fleet.add_engine_host().await?.is_some());
        }
        Ok(joined)
    }

    /// Whether no host or region fails; corruption of chunks does not count.
    fn has_no_outages(&self) -> bool {
        self.kill_percent == 0 && self.stall_percent == 0 && self.region_cut.is_none()
    }
}

/// The running agent hosts beside an engine.
fn running_agents(fleet: &Fleet) -> Vec<host::Name> {
    fleet
        .hosts()
        .filter(|host| host.role == Role::Agent && host.engine().is_some())
        .filter(|host| host.process.is_some())
        .map(|host| host.name.clone())
        .collect()
}
