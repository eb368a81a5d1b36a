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
use snipewinch::evacuation;
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
    /// The newest version before it, as far as this process knows.
    pub(crate) replaces: Option<u64>,
    /// When this process learned of the version, or when it was published if
    /// another process announced it with its age.
    pub(crate) learned_at: Duration,
    /// When it was published; none if that was before this process first read
    /// the store, or before the one that announced it did.
    pub(crate) published: Option<cutover::Estimate>,
    /// Whether this process has read it from the store.
    is_read: bool,
}

/// The configuration in force and the published versions of weights.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    /// The routing table of the configuration; `None` until one is known.
    pub(crate) table: Option<Rc<Table>>,
    /// The published versions of each model, the newest last.
    pub(crate) weights: HashMap<SmolStr, Vec<Publication>>,
    /// The evacuated availability zones.
    pub(crate) evacuations: evacuation::Zones,
    /// Whether the store has been read.
    loaded: bool,
    /// When the last read was sent that is applied; none where the store is followed
    /// by polls.
    confirmed: Option<Duration>,
}

impl Publication {
    pub(crate) fn to_cutover(self) -> cutover::Publication {
        cutover::Publication {
            version: self.version,
            replaces: self.replaces,
            published: self.published,
        }
    }

    /// Adds what another process, or this one's first read of the version, says
    /// of it; true if that is new.
    fn learn(&mut self, replaces: Option<u64>, published: Option<cutover::Estimate>) -> bool {
        // Who has missed a version names an older one.
        let known = self.replaces;
        self.replaces = known.max(replaces);
        let is_narrowed = self.learn_time(published);
        is_narrowed || self.replaces != known
    }

    fn learn_time(&mut self, published: Option<cutover::Estimate>) -> bool {
        match (&mut self.published, published) {
            (_, None) => false,
            (Some(known), Some(published)) => known.narrow(published),
            (known @ None, Some(published)) => {
                *known = Some(published);
                true
            }
        }
    }
}

impl OperatorState {
    /// Applies a change of the store that was made within an interval; true if a
    /// configuration came into force.
    pub(crate) fn apply(&mut self, made: cutover::Interval, change: Change) -> bool {
        if let Change::Snapshot(rows) = &change {
            let listed = rows.iter().filter(|row| row.value.is_some());
            let listed = listed.filter_map(|row| operator::evacuated_zone(&row.key));
            let listed: Vec<&str> = listed.collect();
            log_evacuations(self.evacuations.replace(made.latest, &listed));
        }
        match change {
            Change::Disconnected => false,
            Change::Restored => {
                self.evacuations.record_restored();
                false
            }
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

    /// Records that all rows that were written before a moment are applied.
    pub(crate) fn confirm(&mut self, sent: Duration) {
        self.confirmed = Some(sent);
    }

    /// The version of the configuration in force; 0 before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.configuration().version)
    }

    fn apply_row(&mut self, made: cutover::Interval, row: &Row) {
        let now = made.latest;
        let event = match (operator::evacuated_zone(&row.key), &row.value) {
            (Some(zone), Some(_)) => self.evacuations.record(now, zone),
            (Some(zone), None) => self.evacuations.remove(now, zone),
            (None, _) => None,
        };
        log_evacuations(event);
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
        // A version that was there at the first read may be of any age, and others
        // may have been published before it.
        let published = self.loaded.then(|| cutover::Estimate::observed(made));
        let publications = self.weights.entry(model).or_default();
        let before = publications.iter().rfind(|one| one.version < version);
        let before = before.map_or(FIRST_VERSION, |one| one.version);
        let replaces = self.loaded.then_some(before);
        let known = publications.iter_mut().find(|one| one.version == version);
        match known {
            Some(known) if !known.is_read => {
                known.is_read = true;
                known.learn(replaces, published);
                return;
            }
            Some(_) => return,
            None => {}
        }
        if publications
            .last()
            .is_some_and(|last| last.version > version)
        {
            return;
        }
        match published {
            Some(_) => log::info!(
                "E7022 version {version} of the weights is published, {} ms ago at most",
                made.latest.saturating_sub(made.earliest).as_millis()
            ),
            None => log::info!(
                "E7022 version {version} of the weights was published before this process began to follow the store"
            ),
        }
        insert(
            publications,
            Publication {
                version,
                replaces,
                learned_at: made.latest,
                published,
                is_read: true,
            },
        );
    }

    /// Records a published version of a model as another process announced it;
    /// true if anything of it is new here.
    pub(crate) fn record_published(
        &mut self,
        now: Duration,
        model: SmolStr,
        announced: grant::Published,
    ) -> bool {
        let age = announced.age();
        let publications = self.weights.entry(model).or_default();
        let known = publications
            .iter_mut()
            .find(|one| one.version == announced.version);
        if let Some(known) = known {
            let published = age.and_then(|age| cutover::Estimate::heard(now, age));
            return known.learn(announced.replaces, published);
        }
        log::info!(
            "E7022 version {} of the weights is published",
            announced.version
        );
        // Its time is the later one's at most, of which a read may tell more.
        let is_newest = publications
            .last()
            .is_none_or(|last| last.version < announced.version);
        let confirmed = self.confirmed.filter(|_| is_newest);
        // A read that bounds the time of a version also bounds what it replaced.
        let before = publications
            .last()
            .map_or(FIRST_VERSION, |last| last.version);
        let is_vouched = age.is_none() || announced.replaces.is_some();
        let own = confirmed.filter(|_| is_vouched).map(|_| before);
        let published = cutover::Estimate::first_heard(now, age, confirmed);
        insert(
            publications,
            Publication {
                version: announced.version,
                replaces: announced.replaces.max(own),
                learned_at: age.map_or(now, |age| {
                    now.saturating_sub(age.most.saturating_sub(age.uncertainty))
                }),
                published,
                is_read: false,
            },
        );
        true
    }

    /// The publication that ended the time of version `held` of a model as the
    /// newest, if it is known.
    pub(crate) fn first_newer(&self, model: &str, held: u64) -> Option<cutover::Publication> {
        cutover::first_newer(&self.publications(model), held).copied()
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
            replaces: None,
            learned_at: Duration::ZERO,
            published: None,
            is_read: true,
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

/// Logs what has changed of evacuations.
pub(crate) fn log_evacuations(events: impl IntoIterator<Item = evacuation::Event>) {
    for event in events {
        match event {
            evacuation::Event::Begun(zone) => log::warn!(
                "E7140 availability zone {zone} is evacuated: its backend servers get no new requests"
            ),
            evacuation::Event::Ended(zone, after) => log::info!(
                "E7141 availability zone {zone} is taken back after {} ms: its backend servers get requests again",
                after.as_millis()
            ),
            evacuation::Event::Kept(zone) => log::warn!(
                "E7142 the restored store has no row {}{zone}: the zone stays evacuated for {} s; write the row again within that time, or it is taken back",
                operator::EVACUATION_PREFIX,
                evacuation::RESTORED_HOLD.as_secs()
            ),
            evacuation::Event::Lapsed(zone) => log::warn!(
                "E7143 availability zone {zone} is taken back: the row {}{zone} was not written again after the store was restored",
                operator::EVACUATION_PREFIX
            ),
        }
    }
}

/// Inserts a publication, the newest last.
fn insert(publications: &mut Vec<Publication>, new: Publication) {
    let index = publications.partition_point(|one| one.version < new.version);
    publications.insert(index, new);
    let excess = publications.len().saturating_sub(VERSIONS_PER_MODEL_MAX);
    publications.drain(..excess);
}

#[cfg(test)]
mod tests;
