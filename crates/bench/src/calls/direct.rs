//! Sends the same calls directly to the engines, as a baseline, and reads the
//! retry counters of the entries.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use smol_str::SmolStr;
use snipewinch::host::Role;

use crate::Error;
use crate::fleet::Fleet;
use crate::load::Load;
use crate::load::Settings;
use crate::load::Totals;

/// Duration of the direct load.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Measures calls to the engines without entries and agents in between.
pub(super) async fn measure(fleet: &Fleet, settings: &Settings) -> Result<Totals, Error> {
    let engines = fleet.get(fleet.engines, "/admin/engines").await?;
    let engines = engines.as_array().cloned().unwrap_or_default();
    let engines = engines
        .iter()
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect();
    let load = Load::spawn(Settings {
        entries: Arc::new(RwLock::new(engines)),
        name: SmolStr::new_static("direct"),
        non_repeatable_percent: 0,
        plain_percent: 0,
        ..settings.clone()
    });
    tokio::time::sleep(LOAD_TIME).await;
    Ok(load.stop().await)
}

/// The ratio of retries to first attempts, over the running entries.
pub(super) async fn retry_ratio(fleet: &Fleet) -> f64 {
    let mut first_attempts = 0.0;
    let mut retries = 0.0;
    for host in fleet.hosts().filter(|host| host.role == Role::Entry) {
        let Ok(answer) = fleet.client.get(host.http, "/metrics").await else {
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        first_attempts += sum_row(&text, "snipewinch_call_attempts_total{try=\"first\"}");
        retries += sum_row(&text, "snipewinch_call_attempts_total{try=\"again\"}");
    }
    if first_attempts == 0.0 {
        0.0
    } else {
        retries / first_attempts
    }
}

/// The sum of the values of a metric row, given by its name and labels.
fn sum_row(text: &str, row: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.strip_prefix(row)?.trim().parse::<f64>().ok())
        .sum()
}
