//! What operators have decided, as this process knows it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use platform::follow::Change;
use platform::operator;
use platform::operator::Directive;
use platform::rows::Row;
use smol_str::SmolStr;
use snipewinch::grant;
use snipewinch::route::Table;

/// How long before the bound on old weights no request is sent that would start
/// on them: it may wait at the backend server.
pub(crate) const VERSION_MARGIN: Duration = Duration::from_millis(600);
/// Named versions of a model that are kept in mind.
const NAMED_MAX: usize = 16;

/// A named version of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Publication {
    pub(crate) version: u64,
    /// When this process learned of it.
    pub(crate) learned_at: Duration,
    /// Whether it was named before this process first read the store: it may
    /// have been so for long.
    pub(crate) found_at_start: bool,
}

/// The newest of everything.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    /// None until a configuration is known.
    pub(crate) table: Option<Rc<Table>>,
    /// The versions named for each model, the newest last.
    pub(crate) weights: HashMap<SmolStr, Vec<Publication>>,
    /// Whether the store was read.
    known: bool,
}

impl Publication {
    /// What an entry says of it.
    pub(crate) fn to_published(&self, now: Duration) -> grant::Published {
        let age = now.saturating_sub(self.learned_at).as_millis();
        grant::Published {
            version: self.version,
            age_ms: (!self.found_at_start).then(|| age.min(u128::from(u32::MAX)) as u32),
        }
    }
}

impl OperatorState {
    /// Takes in a change; true if a configuration came into force.
    pub(crate) fn apply(&mut self, now: Duration, change: Change) -> bool {
        match change {
            Change::Disconnected => false,
            Change::Rows(rows) | Change::Snapshot(rows) => {
                let before = self.configuration_version();
                for row in rows {
                    self.row(now, &row);
                }
                self.known = true;
                self.configuration_version() != before
            }
        }
    }

    /// The version in force; 0 before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.configuration().version)
    }

    fn row(&mut self, now: Duration, row: &Row) {
        let Some(value) = &row.value else {
            return;
        };
        match operator::decode(&row.key, value) {
            Ok(Some(Directive::Configuration(configuration))) => {
                // What is in force never goes back.
                if configuration.version > self.configuration_version() {
                    log::info!(
                        "E7020 configuration {} is in force, with {} routes and {} services",
                        configuration.version,
                        configuration.routes.len(),
                        configuration.services.len()
                    );
                    self.table = Some(Rc::new(Table::new(*configuration)));
                }
            }
            Ok(Some(Directive::Weights { model, version })) => self.name(now, model, version),
            Ok(None) => {}
            Err(error) => log::error!("E7021 {error}"),
        }
    }

    fn name(&mut self, now: Duration, model: SmolStr, version: u64) {
        let named = self.weights.entry(model).or_default();
        let known = named.last().map_or(0, |named| named.version);
        if version > known {
            log::info!("E7022 version {version} of the weights is named");
            push(
                named,
                Publication {
                    version,
                    learned_at: now,
                    found_at_start: !self.known,
                },
            );
        }
    }

    /// An entry says which version of a model is the newest named; true if that
    /// is new here.
    pub(crate) fn record_published(
        &mut self,
        now: Duration,
        model: SmolStr,
        word: grant::Published,
    ) -> bool {
        let named = self.weights.entry(model).or_default();
        let is_new = word.version > named.last().map_or(0, |named| named.version);
        if is_new {
            log::info!("E7022 version {} of the weights is named", word.version);
            let age = word.age_ms.map(|ms| Duration::from_millis(ms.into()));
            push(
                named,
                Publication {
                    version: word.version,
                    learned_at: now.saturating_sub(age.unwrap_or_default()),
                    found_at_start: age.is_none(),
                },
            );
        }
        is_new
    }

    /// The newest version of a model that is named.
    pub(crate) fn newest(&self, model: &str) -> Option<Publication> {
        self.weights.get(model)?.last().copied()
    }

    /// The newest version of a model that was named `age` ago or earlier; 0 if
    /// none.
    pub(crate) fn newest_older_than(&self, model: &str, now: Duration, age: Duration) -> u64 {
        let named = self.weights.get(model).into_iter().flatten();
        let due = named.filter(|named| named.learned_at + age <= now);
        due.map(|named| named.version).max().unwrap_or(0)
    }

    /// Whether this process saw the newest version of a model named.
    pub(crate) fn publish_time_known(&self, model: &str) -> bool {
        self.newest(model)
            .is_some_and(|named| !named.found_at_start)
    }

    /// The version of a model that this process found at its start.
    pub(crate) fn initial_version(&self, model: &str) -> u64 {
        let mut named = self.weights.get(model).into_iter().flatten();
        named
            .find(|named| named.found_at_start)
            .map_or(0, |named| named.version)
    }
}

fn push(named: &mut Vec<Publication>, one: Publication) {
    named.push(one);
    let excess = named.len().saturating_sub(NAMED_MAX);
    named.drain(..excess);
}

#[cfg(test)]
mod tests;
