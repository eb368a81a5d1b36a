//! The metrics of one daemon.

use std::net::SocketAddr;

use snafu::ResultExt;

use crate::fleet::Error;
use crate::fleet::Fleet;
use crate::fleet::HttpSnafu;

/// Metrics as text.
#[derive(Clone, Debug)]
pub struct Scrape {
    text: String,
}

impl Scrape {
    /// Reads a daemon's metrics.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not answer.
    pub async fn fetch(fleet: &Fleet, address: SocketAddr) -> Result<Scrape, Error> {
        let answer = fleet.client.get(address, "/metrics").await;
        let answer = answer.context(HttpSnafu)?;
        Ok(Scrape {
            text: String::from_utf8_lossy(&answer.body).into_owned(),
        })
    }

    /// The sum of a metric over the label sets that contain `label`.
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let lines = self.text.lines().filter(|line| !line.starts_with('#'));
        lines
            .filter_map(|line| {
                let (metric, value) = line.rsplit_once(' ')?;
                let (found, labels) = metric.split_once('{').unwrap_or((metric, ""));
                (found == name && labels.contains(label)).then_some(value)
            })
            .filter_map(|value| value.parse::<f64>().ok())
            .sum()
    }
}
