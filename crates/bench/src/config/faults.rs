//! The faults that are injected while operators publish.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use snipewinch::host;
use tokio::time::sleep;

use super::Settings;
use super::operators::Tasks;
use super::watch::Watch;
use crate::Error;
use crate::fleet::Fleet;

/// How long a fault lasts.
const FAULT_DURATION: Duration = Duration::from_millis(2500);
/// The pause between two faults.
const FAULT_PAUSE: Duration = Duration::from_millis(1500);
/// How often it is checked whether the operators have finished.
const FINISH_POLL: Duration = Duration::from_millis(100);

/// The faults to inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    None,
    StoreDown,
    StoreSlow,
    LostReply,
    Restart,
    RegionCut,
    All,
}

const KINDS: [Kind; 7] = [
    Kind::None,
    Kind::StoreDown,
    Kind::StoreSlow,
    Kind::LostReply,
    Kind::Restart,
    Kind::RegionCut,
    Kind::All,
];

impl Kind {
    pub(super) fn name(self) -> &'static str {
        match self {
            Kind::All => "all",
            Kind::LostReply => "lost-reply",
            Kind::None => "none",
            Kind::RegionCut => "region-cut",
            Kind::Restart => "restart",
            Kind::StoreDown => "store-down",
            Kind::StoreSlow => "store-slow",
        }
    }

    pub(super) fn parse(name: &str) -> Option<Kind> {
        KINDS.into_iter().find(|kind| kind.name() == name)
    }
}

/// Injects faults, with pauses in between, until the operators have finished.
/// [`Kind::All`] injects two at once: the kinds in turn, each with a random
/// second one.
///
/// # Errors
///
/// [`Error`] if a fault could not be injected or ended.
pub(super) async fn run(
    fleet: &mut Fleet,
    watch: &Watch,
    settings: &Settings,
    tasks: &Tasks,
) -> Result<(), Error> {
    let mut rng = StdRng::seed_from_u64(settings.seed ^ 0xfa17);
    let mut round = 0;
    while !tasks.is_finished() {
        match settings.faults {
            Kind::None => {}
            Kind::All => {
                let kinds = [
                    Kind::StoreDown,
                    Kind::Restart,
                    Kind::RegionCut,
                    Kind::StoreSlow,
                    Kind::LostReply,
                ];
                let first = kinds[round % kinds.len()];
                let second = kinds[rng.random_range(0..kinds.len())];
                inject(fleet, watch, &mut rng, &[first, second], tasks).await?;
            }
            kind => inject(fleet, watch, &mut rng, &[kind], tasks).await?,
        }
        round += 1;
        wait(FAULT_PAUSE, tasks).await;
    }
    Ok(())
}

/// Injects faults for [`FAULT_DURATION`], then ends them.
async fn inject(
    fleet: &mut Fleet,
    watch: &Watch,
    rng: &mut StdRng,
    kinds: &[Kind],
    tasks: &Tasks,
) -> Result<(), Error> {
    let mut tables = json!({"down": false, "slow_ms": 0, "lose_percent": 0});
    let mut cut_off = None;
    let mut killed = None;
    for kind in kinds {
        match kind {
            Kind::StoreDown => tables["down"] = json!(true),
            Kind::StoreSlow => tables["slow_ms"] = json!(700),
            Kind::LostReply => tables["lose_percent"] = json!(60),
            Kind::RegionCut if cut_off.is_none() => {
                let regions = &fleet.plan.deployment.regions;
                let region = &regions[rng.random_range(0..regions.len())];
                cut_off = Some(host::Region(region.name.clone()));
            }
            Kind::Restart if killed.is_none() => killed = pick_host(fleet, rng),
            Kind::All | Kind::None | Kind::RegionCut | Kind::Restart => {}
        }
    }
    fleet.platform_faults(faults(tables)).await?;
    if let Some(region) = &cut_off {
        mark_region_unreachable(fleet, watch, region);
        fleet.cut_region(region, true).await?;
    }
    if let Some(name) = &killed {
        watch.mark_unreachable(name);
        fleet.kill(name).await?;
    }
    wait(FAULT_DURATION, tasks).await;
    if let Some(region) = &cut_off {
        fleet.cut_region(region, false).await?;
        mark_region_reachable(fleet, watch, region);
    }
    if let Some(name) = &killed {
        fleet.restart(name).await?;
        watch.mark_reachable(name, fleet.host(name.as_str())?.http, true);
    }
    let no_faults = json!({"down": false, "slow_ms": 0, "lose_percent": 0});
    fleet.platform_faults(faults(no_faults)).await?;
    Ok(())
}

fn faults(tables: Value) -> Value {
    json!({ "tables": tables })
}

/// A random host; none if the fleet has fewer than two.
fn pick_host(fleet: &Fleet, rng: &mut StdRng) -> Option<host::Name> {
    let names: Vec<host::Name> = fleet.hosts().map(|host| host.name.clone()).collect();
    match names.len() {
        0 | 1 => None,
        count => Some(names[rng.random_range(0..count)].clone()),
    }
}

fn mark_region_unreachable(fleet: &Fleet, watch: &Watch, region: &host::Region) {
    for host in fleet.hosts().filter(|host| host.region == *region) {
        watch.mark_unreachable(&host.name);
    }
}

fn mark_region_reachable(fleet: &Fleet, watch: &Watch, region: &host::Region) {
    for host in fleet.hosts().filter(|host| host.region == *region) {
        watch.mark_reachable(&host.name, host.http, false);
    }
}

/// Waits, but no longer than until the operators have finished.
async fn wait(limit: Duration, tasks: &Tasks) {
    let mut waited = Duration::ZERO;
    while waited < limit && !tasks.is_finished() {
        sleep(FINISH_POLL).await;
        waited += FINISH_POLL;
    }
}
