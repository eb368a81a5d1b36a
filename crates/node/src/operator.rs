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

/// How long the message of another process with the age of a version takes at
/// most while the links are sound.
const ANNOUNCEMENT_DELAY_MAX: Duration = Duration::from_millis(200);
/// The uncertainty of the time of a publication from which on another process
/// is believed that has followed the store more closely.
const VAGUE_MIN: Duration = Duration::from_millis(500);
/// The most published versions of one model that are kept.
const VERSIONS_PER_MODEL_MAX: usize = 16;
/// The version of weights to load if none is published.
const FIRST_VERSION: u64 = 1;

/// A published version of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Publication {
    pub(crate) version: u64,
    /// When this process learned of the version, or when it was published if
    /// another process announced it with its age.
    pub(crate) learned_at: Duration,
    /// When it was published; none if that was before this process first read
    /// the store, or before the one that announced it did.
    pub(crate) published: Option<cutover::Interval>,
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
        cutover::Publication {
            version: self.version,
            published: self.published,
        }
    }

    /// The form in which entries and agents announce it to each other.
    pub(crate) fn announcement(&self, now: Duration) -> grant::Published {
        let age = |published: cutover::Interval| now.saturating_sub(published.earliest);
        grant::Published {
            version: self.version,
            age_ms: self
                .published
                .map(|published| age(published).as_millis().min(u128::from(u32::MAX)) as u32),
        }
    }
}

impl OperatorState {
    /// Applies a change of the store that was made within an interval; true if a
    /// configuration came into force.
    pub(crate) fn apply(&mut self, made: cutover::Interval, change: Change) -> bool {
        match change {
            Change::Disconnected => false,
            Change::Rows(rows) | Change::Snapshot(rows) => {
                let before = self.configuration_version();
                for row in rows {
                    self.apply_row(made, &row);
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

    fn apply_row(&mut self, made: cutover::Interval, row: &Row) {
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
            Ok(Some(Directive::Weights { model, version })) => self.record(made, model, version),
            Ok(None) => {}
            Err(error) => log::error!("E7021 {error}"),
        }
    }

    fn record(&mut self, made: cutover::Interval, model: SmolStr, version: u64) {
        let publications = self.weights.entry(model).or_default();
        let known = publications.last().map_or(0, |one| one.version);
        if version > known {
            let published = self.loaded.then_some(made);
            match published {
                Some(made) => log::info!(
                    "E7022 version {version} of the weights is published, {} ms ago at most",
                    made.latest.saturating_sub(made.earliest).as_millis()
                ),
                None => log::info!(
                    "E7022 version {version} of the weights was published before this process began to follow the store"
                ),
            }
            push(
                publications,
                Publication {
                    version,
                    learned_at: made.latest,
                    published,
                },
            );
        }
    }

    /// Records the newest published version of a model as another process
    /// announced it; true if the version or its age is new here.
    pub(crate) fn record_published(
        &mut self,
        now: Duration,
        model: SmolStr,
        announced: grant::Published,
    ) -> bool {
        let age = announced.age_ms.map(|ms| Duration::from_millis(ms.into()));
        // The time before the start of the process cannot be expressed, and such
        // a version counts as one of unknown age.
        let latest = age.and_then(|age| now.checked_sub(age));
        let published = latest.map(|latest| cutover::Interval {
            earliest: latest.saturating_sub(ANNOUNCEMENT_DELAY_MAX),
            latest,
        });
        let publications = self.weights.entry(model).or_default();
        let known = publications
            .iter_mut()
            .find(|one| one.version == announced.version);
        if let Some(known) = known {
            let is_vague = known
                .published
                .is_none_or(|known| known.latest.saturating_sub(known.earliest) > VAGUE_MIN);
            if is_vague && published.is_some() {
                known.published = published;
                return true;
            }
            return false;
        }
        if publications
            .last()
            .is_some_and(|last| last.version > announced.version)
        {
            return false;
        }
        log::info!(
            "E7022 version {} of the weights is published",
            announced.version
        );
        push(
            publications,
            Publication {
                version: announced.version,
                learned_at: published.map_or(now, |published| published.latest),
                published,
            },
        );
        true
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
            published: None,
        });
        self.newest(model).or(first)
    }

    /// The published versions of a model, as the decision on old weights needs
    /// them.
    pub(crate) fn publications(&self, model: &str) -> Vec<cutover::Publication> {
        let publications = self.weights.get(model).into_iter().flatten();
        publications.copied().map(Publication::to_cutover).collect()
    }

    /// The newest version of a model of which it is not known when it was
    /// published; 0 if there is none.
    pub(crate) fn newest_of_unknown_age(&self, model: &str) -> u64 {
        let publications = self.weights.get(model).into_iter().flatten();
        let unknown = publications.filter(|one| one.published.is_none());
        unknown.map(|one| one.version).max().unwrap_or(0)
    }

    /// Whether it is known when the newest version of a model was published.
    pub(crate) fn publish_time_known(&self, model: &str) -> bool {
        self.newest(model)
            .is_some_and(|one| one.published.is_some())
    }
}

fn push(publications: &mut Vec<Publication>, new: Publication) {
    publications.push(new);
    let excess = publications.len().saturating_sub(VERSIONS_PER_MODEL_MAX);
    publications.drain(..excess);
}

#[cfg(test)]
mod tests;
