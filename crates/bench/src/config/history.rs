//! What the platform's table really holds at the end.

use std::collections::BTreeMap;

use super::Line;
use super::operators::Tally;
use crate::Error;
use crate::fleet::Fleet;

/// Rows of one read.
const PAGE: usize = 500;

/// The versions by operation, as the table has them.
pub(super) struct Truth {
    versions: BTreeMap<String, Vec<u64>>,
}

/// Reads the table itself, not a program under test.
pub(super) async fn read(fleet: &Fleet) -> Result<Truth, Error> {
    let mut versions: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let mut after = String::new();
    loop {
        let path = format!("/tables/configuration?prefix=history-&limit={PAGE}&after={after}");
        let path = match after.is_empty() {
            true => path.trim_end_matches("&after=").to_owned(),
            false => path,
        };
        let page = fleet.get(fleet.platform, &path).await?;
        let rows = page["rows"].as_array().cloned().unwrap_or_default();
        for row in &rows {
            let operation = row["value"]["operation"].as_str().unwrap_or_default();
            let version = row["value"]["version"].as_u64().unwrap_or_default();
            versions
                .entry(operation.to_owned())
                .or_default()
                .push(version);
        }
        match rows.last().and_then(|row| row["key"].as_str()) {
            Some(last) if rows.len() == PAGE => after = last.to_owned(),
            _ => return Ok(Truth { versions }),
        }
    }
}

impl Truth {
    /// Compares it with what the operators were shown.
    pub(super) fn judge(&self, tally: &Tally, line: &mut Line) {
        let of = |operation: &str| self.versions.get(operation).map(Vec::as_slice);
        line.shown_accepted_but_lost = tally
            .accepted
            .iter()
            .filter(|(operation, version)| {
                !of(operation).is_some_and(|versions| versions.contains(version))
            })
            .count();
        line.shown_refused_but_accepted = tally
            .refused
            .iter()
            .filter(|operation| of(operation).is_some())
            .count();
        line.accepted_twice = self.versions.values().filter(|v| v.len() > 1).count();
    }
}
