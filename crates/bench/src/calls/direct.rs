//! The same calls sent to the engines directly, and what entries count.

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

/// How long the engines are called directly.
const TIME: Duration = Duration::from_secs(4);

/// Calls the engines without any of the system between.
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
    tokio::time::sleep(TIME).await;
    Ok(load.stop().await)
}

/// Retries against first tries, over the entries that run now.
pub(super) async fn retry_ratio(fleet: &Fleet) -> f64 {
    let mut first = 0.0;
    let mut retries = 0.0;
    for host in fleet.hosts().filter(|host| host.role == Role::Entry) {
        let Ok(answer) = fleet.client.get(host.http, "/metrics").await else {
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        first += sum(&text, "snipewinch_call_attempts_total{try=\"first\"}");
        retries += sum(&text, "snipewinch_call_attempts_total{try=\"again\"}");
    }
    if first == 0.0 { 0.0 } else { retries / first }
}

fn sum(text: &str, row: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.strip_prefix(row)?.trim().parse::<f64>().ok())
        .sum()
}
