//! Measures goodput at the fleet's capacity and at twice the capacity.

use std::time::Duration;

use serde::Serialize;
use smol_str::format_smolstr;

use super::Options;
use crate::Error;
use crate::fleet::Fleet;
use crate::load::Load;
use crate::load::Outcome;
use crate::load::Settings;

/// How long each load runs before it is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// How long each load is measured.
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Longest duration of an answer that counts as goodput.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);

/// Complete answers per second.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Goodput {
    pub(super) at_1x: f64,
    pub(super) at_2x: f64,
}

pub(super) async fn measure(fleet: &Fleet, options: &Options) -> Result<Goodput, Error> {
    let capacity = capacity(fleet);
    Ok(Goodput {
        at_1x: measure_at(fleet, options, capacity, 1).await,
        at_2x: measure_at(fleet, options, capacity, 2).await,
    })
}

/// Calls per second that the engines can answer, from their slots, the time of
/// a step and the mean number of tokens.
fn capacity(fleet: &Fleet) -> f64 {
    let settings = Settings::of(fleet, 1.0, 1);
    let slots = fleet.running_engines().len() * fleet.plan.engines.slots;
    let tokens = (settings.tokens_min + settings.tokens_max) as f64 / 2.0;
    let step_s = fleet.plan.engines.step_us as f64 / 1e6;
    slots as f64 / (tokens * step_s)
}

async fn measure_at(fleet: &Fleet, options: &Options, capacity: f64, times: u64) -> f64 {
    let load = Load::spawn(Settings {
        name: format_smolstr!("goodput{times}"),
        non_repeatable_percent: 0,
        plain_percent: 0,
        ..Settings::of(fleet, capacity * times as f64, options.seed + times)
    });
    tokio::time::sleep(WARM_UP_TIME + MEASURED_TIME).await;
    let totals = load.stop().await;
    let measured = |end: Duration| end >= WARM_UP_TIME && end < WARM_UP_TIME + MEASURED_TIME;
    let good = totals
        .records
        .iter()
        .filter(|record| record.outcome == Outcome::Complete && record.duration <= MAX_ANSWER_TIME)
        .filter(|record| measured(record.sent + record.duration))
        .count();
    good as f64 / MEASURED_TIME.as_secs_f64()
}
