//! Reads the metrics of one daemon.

use std::net::SocketAddr;

use snafu::ResultExt;

use crate::fleet::Error;
use crate::fleet::Fleet;
use crate::fleet::HttpSnafu;

/// Metrics in the text exposition format.
#[derive(Clone, Debug)]
pub struct Scrape {
    text: String,
}

impl Scrape {
    /// Fetches the metrics of the daemon at `address`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the daemon does not answer.
    pub async fn fetch(fleet: &Fleet, address: SocketAddr) -> Result<Scrape, Error> {
        let answer = fleet.client.get(address, "/metrics").await;
        let answer = answer.context(HttpSnafu)?;
        Ok(Scrape {
            text: String::from_utf8_lossy(&answer.body).into_owned(),
        })
    }

    /// The sum of a metric's values over the label sets that contain `label`.
    pub fn sum(&self, name: &str, label: &str) -> f64 {
        let lines = self.text.lines().filter(|line| !line.starts_with('#'));
        lines
            .filter_map(|line| {
                let (series, value) = line.rsplit_once(' ')?;
                let (metric, labels) = series.split_once('{').unwrap_or((series, ""));
                (metric == name && labels.contains(label)).then_some(value)
            })
            .filter_map(|value| value.parse::<f64>().ok())
            .sum()
    }
}
