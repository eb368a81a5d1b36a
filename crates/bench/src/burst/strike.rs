//! Faults that strike in a burst.

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

/// When faults begin, as a share of the bound.
const BEGIN: f64 = 0.2;
/// How long stalled hosts stand still, as a share of the bound.
const STALL: f64 = 0.3;
/// The length of a piece that a link corrupts, in KiB.
const PIECE_KIB: f64 = 4.0;
/// Pieces in ten thousand for one percent.
const PER_PERCENT: f64 = 100.0;

/// What strikes.
#[derive(Clone, Debug)]
pub(super) struct Strikes {
    pub(super) kill_percent: usize,
    pub(super) corrupt_percent: f64,
    pub(super) chunk_kib: u32,
    pub(super) stall_percent: usize,
    pub(super) join_percent: usize,
    pub(super) region_cut: Option<Duration>,
}

impl Strikes {
    /// Strikes early in the burst; answers how many hosts have joined.
    pub(super) async fn early(
        &self,
        fleet: &mut Fleet,
        bound: Duration,
        seed: u64,
    ) -> Result<usize, Error> {
        if self.corrupt_percent > 0.0 {
            let pieces = (f64::from(self.chunk_kib) / PIECE_KIB).max(1.0);
            let share = self.corrupt_percent * PER_PERCENT / pieces;
            fleet.corrupt_links(share.ceil() as u32).await?;
        }
        let mut hosts = agents(fleet);
        if self.is_quiet() {
            return Ok(0);
        }
        tokio::time::sleep(bound.mul_f64(BEGIN)).await;
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
        let cut = regions
            .last()
            .map(|region| host::Region(region.name.clone()));
        if let (Some(span), Some(region)) = (self.region_cut, cut) {
            fleet.cut_region(&region, true).await?;
            tokio::time::sleep(span).await;
            fleet.cut_region(&region, false).await?;
        }
        if !stalled.is_empty() {
            tokio::time::sleep(bound.mul_f64(STALL)).await;
        }
        for host in stalled {
            fleet.signal(host, Signal::SIGCONT)?;
        }
        Ok(0)
    }

    /// Starts the hosts that join; answers how many.
    pub(super) async fn late(
        &self,
        fleet: &mut Fleet,
        bound: Duration,
        accepted: Instant,
    ) -> Result<usize, Error> {
        let joins = agents(fleet).len() * self.join_percent / 100;
        if joins == 0 {
            return Ok(0);
        }
        let begin = bound.mul_f64(BEGIN + STALL);
        tokio::time::sleep(begin.saturating_sub(accepted.elapsed())).await;
        let mut joined = 0;
        for _ in 0..joins {
            joined += usize::from(fleet.add_engine_host().await?.is_some());
        }
        Ok(joined)
    }

    fn is_quiet(&self) -> bool {
        self.kill_percent == 0 && self.stall_percent == 0 && self.region_cut.is_none()
    }
}

/// The hosts beside an engine that run.
fn agents(fleet: &Fleet) -> Vec<host::Name> {
    fleet
        .hosts()
        .filter(|host| host.role == Role::Agent && host.engine().is_some())
        .filter(|host| host.process.is_some())
        .map(|host| host.name.clone())
        .collect()
}
