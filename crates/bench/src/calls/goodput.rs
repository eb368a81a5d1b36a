//! Goodput at capacity and at twice that.

use std::time::Duration;

use serde::Serialize;
use smol_str::format_smolstr;

use super::Asked;
use crate::Error;
use crate::fleet::Fleet;
use crate::load::Load;
use crate::load::Outcome;
use crate::load::Settings;

/// How long each load runs before and while it is counted.
const WARM: Duration = Duration::from_secs(4);
const COUNTED: Duration = Duration::from_secs(8);
/// How long a caller waits for an answer that is still good.
const GOOD_WITHIN: Duration = Duration::from_secs(10);

/// Whole answers a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Goodput {
    pub(super) at_1x: f64,
    pub(super) at_2x: f64,
}

pub(super) async fn measure(fleet: &Fleet, asked: &Asked) -> Result<Goodput, Error> {
    let capacity = capacity(fleet);
    Ok(Goodput {
        at_1x: at(fleet, asked, capacity, 1).await,
        at_2x: at(fleet, asked, capacity, 2).await,
    })
}

/// Calls a second that the engines can answer, by their slots and steps.
fn capacity(fleet: &Fleet) -> f64 {
    let settings = Settings::of(fleet, 1.0, 1);
    let engines = fleet.running_engines().len() * fleet.plan.engines.slots;
    let tokens = (settings.tokens_min + settings.tokens_max) as f64 / 2.0;
    let step_s = fleet.plan.engines.step_us as f64 / 1e6;
    engines as f64 / (tokens * step_s)
}

async fn at(fleet: &Fleet, asked: &Asked, capacity: f64, times: u64) -> f64 {
    let load = Load::spawn(Settings {
        name: format_smolstr!("goodput{times}"),
        non_repeatable_percent: 0,
        plain_percent: 0,
        ..Settings::of(fleet, capacity * times as f64, asked.seed + times)
    });
    tokio::time::sleep(WARM + COUNTED).await;
    let totals = load.stop().await;
    let counted = |end: Duration| end >= WARM && end < WARM + COUNTED;
    let good = totals
        .records
        .iter()
        .filter(|record| record.outcome == Outcome::Complete && record.duration <= GOOD_WITHIN)
        .filter(|record| counted(record.sent + record.duration))
        .count();
    good as f64 / COUNTED.as_secs_f64()
}
