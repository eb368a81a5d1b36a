//! The accepted versions in the platform's table at the end of the experiment.

use std::collections::BTreeMap;

use super::Line;
use super::operators::Outcomes;
use crate::Error;
use crate::fleet::Fleet;

/// Rows of one page of the table.
const PAGE_ROWS: usize = 500;

/// The versions of each operation in the table.
pub(super) struct History {
    versions: BTreeMap<String, Vec<u64>>,
}

/// Reads the history from the platform itself, because the programs under test
/// may be wrong about it.
///
/// # Errors
///
/// [`Error`] if the platform does not answer.
pub(super) async fn read(fleet: &Fleet) -> Result<History, Error> {
    let mut versions: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    let mut after = String::new();
    loop {
        let path = format!("/tables/configuration?prefix=history-&limit={PAGE_ROWS}&after={after}");
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
            Some(last) if rows.len() == PAGE_ROWS => after = last.to_owned(),
            _ => return Ok(History { versions }),
        }
    }
}

impl History {
    /// Counts the contradictions between the table and the pages that the
    /// operators were shown, and writes the counts into the result line.
    pub(super) fn check(&self, outcomes: &Outcomes, line: &mut Line) {
        let versions_of = |operation: &str| self.versions.get(operation).map(Vec::as_slice);
        line.shown_accepted_but_lost = outcomes
            .accepted
            .iter()
            .filter(|(operation, version)| {
                !versions_of(operation).is_some_and(|versions| versions.contains(version))
            })
            .count();
        line.shown_refused_but_accepted = outcomes
            .refused
            .iter()
            .filter(|operation| versions_of(operation).is_some())
            .count();
        line.accepted_twice = self.versions.values().filter(|v| v.len() > 1).count();
    }
}
