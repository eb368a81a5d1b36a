//! What fails while operators publish.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use snipewinch::host;
use tokio::time::sleep;

use super::Settings;
use super::operators::Working;
use super::watch::Watch;
use crate::Error;
use crate::fleet::Fleet;

/// How long a fault lasts.
const FAULT: Duration = Duration::from_millis(2500);
/// The pause between faults.
const PAUSE: Duration = Duration::from_millis(1500);
/// How often the end of the work is looked for.
const LOOK: Duration = Duration::from_millis(100);

/// What fails.
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

/// Lets things fail, one after the other, until the operators are done; all
/// together, several at once.
pub(super) async fn run(
    fleet: &mut Fleet,
    watch: &Watch,
    settings: &Settings,
    working: &Working,
) -> Result<(), Error> {
    let mut rng = StdRng::seed_from_u64(settings.seed ^ 0xfa17);
    let mut turn = 0;
    while !working.is_done() {
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
                let first = kinds[turn % kinds.len()];
                let second = kinds[rng.random_range(0..kinds.len())];
                strike(fleet, watch, &mut rng, &[first, second], working).await?;
            }
            kind => strike(fleet, watch, &mut rng, &[kind], working).await?,
        }
        turn += 1;
        wait(PAUSE, working).await;
    }
    Ok(())
}

async fn strike(
    fleet: &mut Fleet,
    watch: &Watch,
    rng: &mut StdRng,
    kinds: &[Kind],
    working: &Working,
) -> Result<(), Error> {
    let mut tables = json!({"down": false, "slow_ms": 0, "lose_percent": 0});
    let mut cut = None;
    let mut killed = None;
    for kind in kinds {
        match kind {
            Kind::StoreDown => tables["down"] = json!(true),
            Kind::StoreSlow => tables["slow_ms"] = json!(700),
            Kind::LostReply => tables["lose_percent"] = json!(60),
            Kind::RegionCut if cut.is_none() => {
                let regions = &fleet.plan.deployment.regions;
                let region = &regions[rng.random_range(0..regions.len())];
                cut = Some(host::Region(region.name.clone()));
            }
            Kind::Restart if killed.is_none() => killed = pick(fleet, rng),
            Kind::All | Kind::None | Kind::RegionCut | Kind::Restart => {}
        }
    }
    fleet.platform_faults(faults(tables)).await?;
    if let Some(region) = &cut {
        lose_region(fleet, watch, region);
        fleet.cut_region(region, true).await?;
    }
    if let Some(name) = &killed {
        watch.lose(name);
        fleet.kill(name).await?;
    }
    wait(FAULT, working).await;
    if let Some(region) = &cut {
        fleet.cut_region(region, false).await?;
        find_region(fleet, watch, region);
    }
    if let Some(name) = &killed {
        fleet.restart(name).await?;
        watch.find(name, fleet.host(name.as_str())?.http, true);
    }
    let calm = json!({"down": false, "slow_ms": 0, "lose_percent": 0});
    fleet.platform_faults(faults(calm)).await?;
    Ok(())
}

fn faults(tables: Value) -> Value {
    json!({ "tables": tables })
}

fn pick(fleet: &Fleet, rng: &mut StdRng) -> Option<host::Name> {
    let names: Vec<host::Name> = fleet.hosts().map(|host| host.name.clone()).collect();
    match names.len() {
        0 | 1 => None,
        count => Some(names[rng.random_range(0..count)].clone()),
    }
}

fn lose_region(fleet: &Fleet, watch: &Watch, region: &host::Region) {
    for host in fleet.hosts().filter(|host| host.region == *region) {
        watch.lose(&host.name);
    }
}

fn find_region(fleet: &Fleet, watch: &Watch, region: &host::Region) {
    for host in fleet.hosts().filter(|host| host.region == *region) {
        watch.find(&host.name, host.http, false);
    }
}

async fn wait(limit: Duration, working: &Working) {
    let mut waited = Duration::ZERO;
    while waited < limit && !working.is_done() {
        sleep(LOOK).await;
        waited += LOOK;
    }
}
