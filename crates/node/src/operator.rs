//! What operators have published, as this process knows it: the configuration
//! and the versions of weights.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use platform::follow::Change;
use platform::operator;
use platform::operator::Directive;
use platform::rows::Row;
use smol_str::SmolStr;
use snipewinch::cutover;
use snipewinch::grant;
use snipewinch::route::Table;

/// The most published versions of one model that are kept.
const VERSIONS_PER_MODEL_MAX: usize = 16;
/// The version of weights to load if none is published.
const FIRST_VERSION: u64 = 1;

/// A published version of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Publication {
    pub(crate) version: u64,
    /// When this process learned of the version, or when it was published if an
    /// entry announced it with its age.
    pub(crate) learned_at: Duration,
    /// Whether it was published before this process first read the store, or
    /// before the entry that announced it did: its age is then unknown.
    pub(crate) found_at_start: bool,
}

/// The configuration in force and the published versions of weights.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    /// The routing table of the configuration; `None` until one is known.
    pub(crate) table: Option<Rc<Table>>,
    /// The published versions of each model, the newest last.
    pub(crate) weights: HashMap<SmolStr, Vec<Publication>>,
    /// Whether the store has been read.
    loaded: bool,
}

impl Publication {
    fn to_cutover(self) -> cutover::Publication {
        let known = cutover::Interval {
            earliest: self.learned_at,
            latest: self.learned_at,
        };
        cutover::Publication {
            version: self.version,
            published: Some(known),
        }
    }

    /// The form in which entries announce it to agents.
    pub(crate) fn announcement(&self, now: Duration) -> grant::Published {
        let age = now.saturating_sub(self.learned_at).as_millis();
        grant::Published {
            version: self.version,
            age_ms: (!self.found_at_start).then(|| age.min(u128::from(u32::MAX)) as u32),
        }
    }
}

impl OperatorState {
    /// Applies a change of the store; true if a configuration came into force.
    pub(crate) fn apply(&mut self, now: Duration, change: Change) -> bool {
        match change {
            Change::Disconnected => false,
            Change::Rows(rows) | Change::Snapshot(rows) => {
                let before = self.configuration_version();
                for row in rows {
                    self.apply_row(now, &row);
                }
                self.loaded = true;
                self.configuration_version() != before
            }
        }
    }

    /// The version of the configuration in force; 0 before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.configuration().version)
    }

    fn apply_row(&mut self, now: Duration, row: &Row) {
        let Some(value) = &row.value else {
            return;
        };
        match operator::decode(&row.key, value) {
            Ok(Some(Directive::Configuration(configuration))) => {
                // The version in force never decreases.
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
            Ok(Some(Directive::Weights { model, version })) => self.record(now, model, version),
            Ok(None) => {}
            Err(error) => log::error!("E7021 {error}"),
        }
    }

    fn record(&mut self, now: Duration, model: SmolStr, version: u64) {
        let publications = self.weights.entry(model).or_default();
        let known = publications.last().map_or(0, |one| one.version);
        if version > known {
            log::info!("E7022 version {version} of the weights is published");
            push(
                publications,
                Publication {
                    version,
                    learned_at: now,
                    found_at_start: !self.loaded,
                },
            );
        }
    }

    /// Records the newest published version of a model as an entry announced
    /// it; true if that is new here: the version, or when it was published.
    pub(crate) fn record_published(
        &mut self,
        now: Duration,
        model: SmolStr,
        published: grant::Published,
    ) -> bool {
        let publications = self.weights.entry(model).or_default();
        let age = published.age_ms.map(|ms| Duration::from_millis(ms.into()));
        let announced = Publication {
            version: published.version,
            learned_at: now.saturating_sub(age.unwrap_or_default()),
            found_at_start: age.is_none(),
        };
        match publications.last_mut() {
            Some(known) if known.version > published.version => false,
            Some(known) if known.version == published.version => {
                let is_new = known.found_at_start && age.is_some();
                if is_new {
                    *known = announced;
                }
                is_new
            }
            Some(_) | None => {
                log::info!(
                    "E7022 version {} of the weights is published",
                    published.version
                );
                push(publications, announced);
                true
            }
        }
    }

    /// The newest published version of a model.
    pub(crate) fn newest(&self, model: &str) -> Option<Publication> {
        self.weights.get(model)?.last().copied()
    }

    /// The newest published version of a model, or the first version if the
    /// store has none; `None` while neither the store nor an entry has said.
    pub(crate) fn newest_or_first(&self, model: &str) -> Option<Publication> {
        let first = self.loaded.then_some(Publication {
            version: FIRST_VERSION,
            learned_at: Duration::ZERO,
            found_at_start: true,
        });
        self.newest(model).or(first)
    }

    /// The published versions of a model, as the decision on old weights needs
    /// them.
    pub(crate) fn publications(&self, model: &str) -> Vec<cutover::Publication> {
        let publications = self.weights.get(model).into_iter().flatten();
        publications.copied().map(Publication::to_cutover).collect()
    }

    /// Whether it is known when the newest version of a model was published.
    pub(crate) fn publish_time_known(&self, model: &str) -> bool {
        self.newest(model).is_some_and(|one| !one.found_at_start)
    }

    /// The version of a model that was already published at the start of this
    /// process; 0 if there was none.
    pub(crate) fn initial_version(&self, model: &str) -> u64 {
        let mut publications = self.weights.get(model).into_iter().flatten();
        publications
            .find(|one| one.found_at_start)
            .map_or(0, |one| one.version)
    }
}

fn push(publications: &mut Vec<Publication>, new: Publication) {
    publications.push(new);
    let excess = publications.len().saturating_sub(VERSIONS_PER_MODEL_MAX);
    publications.drain(..excess);
}

#[cfg(test)]
mod tests;
