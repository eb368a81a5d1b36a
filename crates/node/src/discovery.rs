//! The backend servers that the platform lists.

use std::collections::BTreeMap;
use std::time::Duration;

use platform::follow::Change;
use platform::listing;
use platform::listing::BackendServer;
use platform::listing::State;
use platform::rows::Row;
use smol_str::SmolStr;

/// How long after the store's return an entry may be missing that lapsed
/// while it was away. The platform's pages give about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// The list as this process knows it.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    entries: BTreeMap<SmolStr, BackendServer>,
    /// Entries that are missing and may come back, until when.
    missing: BTreeMap<SmolStr, Duration>,
    /// Whether the store is away.
    lost: bool,
    /// Whether the list was ever read.
    known: bool,
}

/// What changed for one backend server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Update {
    /// It is new, or its entry changed.
    Listed(SmolStr, BackendServer),
    /// It is gone.
    Removed(SmolStr),
}

impl Listing {
    /// Whether the list was ever read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.known
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&SmolStr, &BackendServer)> {
        self.entries.iter()
    }

    /// Takes in a change; answers what is new.
    pub(crate) fn apply(&mut self, now: Duration, change: Change) -> Vec<Update> {
        let mut news = Vec::new();
        match change {
            Change::Disconnected => {
                if !self.lost {
                    log::warn!("E7040 the list of backend servers is not followed");
                }
                self.lost = true;
                return news;
            }
            Change::Snapshot(rows) => {
                let back = std::mem::take(&mut self.lost);
                let gone = |id: &&SmolStr| !rows.iter().any(|row| row.key == **id);
                let missing: Vec<SmolStr> = self.entries.keys().filter(gone).cloned().collect();
                for id in missing {
                    self.drop_entry(now, id, back, &mut news);
                }
                self.known = true;
                for row in rows {
                    self.row(now, row, back, &mut news);
                }
            }
            Change::Rows(rows) => {
                let back = std::mem::take(&mut self.lost);
                for row in rows {
                    self.row(now, row, back, &mut news);
                }
            }
        }
        news
    }

    /// Drops the entries that have not come back in time.
    pub(crate) fn tick(&mut self, now: Duration) -> Vec<Update> {
        let due: Vec<SmolStr> = match self.lost {
            true => Vec::new(),
            false => {
                let due = self.missing.iter().filter(|(_, until)| **until <= now);
                due.map(|(id, _)| id.clone()).collect()
            }
        };
        let mut news = Vec::new();
        for id in due {
            self.missing.remove(&id);
            if self.entries.remove(&id).is_some() {
                log::info!("E7041 backend server {id} did not come back to the list");
                news.push(Update::Removed(id));
            }
        }
        news
    }

    /// Takes in a row. `back` says that it is of the first rows since the store
    /// came back.
    fn row(&mut self, now: Duration, row: Row, back: bool, news: &mut Vec<Update>) {
        let Some(value) = &row.value else {
            return self.drop_entry(now, row.key, back, news);
        };
        match listing::decode(value) {
            Ok(entry) => {
                self.missing.remove(&row.key);
                let before = self.entries.insert(row.key.clone(), entry.clone());
                if before.as_ref() == Some(&entry) {
                    return;
                }
                if entry.state == State::Draining
                    && before.is_none_or(|before| before.state != State::Draining)
                {
                    log::info!("E7042 backend server {} is leaving", row.key);
                }
                news.push(Update::Listed(row.key, entry));
            }
            Err(error) => {
                log::warn!(
                    "E7043 entry {:?} of the list is passed over: {error}",
                    row.key
                );
                self.drop_entry(now, row.key, back, news);
            }
        }
    }

    /// An entry is missing. It may have lapsed while the store was away, or its
    /// server may have left meanwhile; one that goes later has left.
    fn drop_entry(&mut self, now: Duration, id: SmolStr, back: bool, news: &mut Vec<Update>) {
        match back && self.entries.contains_key(&id) {
            true => {
                self.missing.insert(id, now + RETURN_GRACE);
            }
            false => {
                self.missing.remove(&id);
                if self.entries.remove(&id).is_some() {
                    log::info!("E7044 backend server {id} is off the list");
                    news.push(Update::Removed(id));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
