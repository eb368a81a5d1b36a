//! Service discovery: the list of backend servers in the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use platform::follow::Change;
use platform::listing;
use platform::listing::BackendServer;
use platform::listing::State;
use platform::rows::Row;
use smol_str::SmolStr;

/// How long an entry that expired while the store could not be reached may be
/// missing after the connection is back. The platform documents about two
/// seconds.
const RECONNECT_GRACE: Duration = Duration::from_millis(2_200);

/// How long a server that was removed is remembered. A backup from which the store is
/// restored is some seconds old.
const REMOVED_AGE_MAX: Duration = Duration::from_secs(60);

/// A server that was removed from the list.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// The start of the server.
    started_ms: Option<u64>,
    at: Duration,
}

/// The list of backend servers as this process knows it.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    entries: BTreeMap<SmolStr, BackendServer>,
    /// Entries that are missing, and until when they may reappear.
    missing: BTreeMap<SmolStr, Duration>,
    removed: BTreeMap<SmolStr, Removal>,
    /// Whether the store was restored from a backup and has not been read since.
    is_restored: bool,
    /// Whether the store cannot be reached, or was restored from a backup and has
    /// not been read since.
    disconnected: bool,
    /// Whether the list has been read.
    loaded: bool,
}

/// A change of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Update {
    /// It was added, or its entry changed.
    Listed(SmolStr, BackendServer),
    /// Its entry is missing just after an outage, and may reappear.
    Missing(SmolStr),
    /// It was removed.
    Removed(SmolStr),
}

impl Listing {
    /// Whether the list has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&SmolStr, &BackendServer)> {
        self.entries.iter()
    }

    /// Applies a change of the store and returns the resulting updates.
    pub(crate) fn apply(&mut self, now: Duration, change: Change) -> Vec<Update> {
        let mut updates = Vec::new();
        match change {
            Change::Disconnected => {
                if !self.disconnected {
                    log::warn!(
                        "E7040 store does not answer, the list of backend servers is not updated"
                    );
                }
                self.disconnected = true;
                return updates;
            }
            // Entries that were written after the backup come back as after an
            // outage.
            Change::Restored => {
                self.disconnected = true;
                self.is_restored = true;
            }
            Change::Snapshot(rows) => {
                let reconnected = std::mem::take(&mut self.disconnected);
                let is_absent = |id: &&SmolStr| !rows.iter().any(|row| row.key == **id);
                let absent: Vec<SmolStr> = self.entries.keys().filter(is_absent).cloned().collect();
                for id in absent {
                    self.entry_missing(now, id, reconnected, &mut updates);
                }
                self.loaded = true;
                let is_restored = std::mem::take(&mut self.is_restored);
                for row in rows {
                    if is_restored && self.has_left(&row) {
                        log::info!(
                            "E7045 list entry of backend server {} is of a backup: it had left before the store was restored",
                            row.key
                        );
                        continue;
                    }
                    self.apply_row(now, row, reconnected, &mut updates);
                }
            }
            Change::Rows(rows) => {
                let reconnected = std::mem::take(&mut self.disconnected);
                for row in rows {
                    self.apply_row(now, row, reconnected, &mut updates);
                }
            }
        }
        updates
    }

    /// Whether a row is of a start of a server that was removed. Until that start
    /// writes its row again, it is not known to be alive.
    fn has_left(&self, row: &Row) -> bool {
        let started_ms = row
            .value
            .as_deref()
            .and_then(|value| listing::decode(value).ok())
            .map(|entry| entry.started_ms);
        let removed = self.removed.get(&row.key);
        started_ms.is_some() && removed.map(|removed| removed.started_ms) == started_ms
    }

    /// Removes an entry, and remembers which start it was of.
    fn remove(&mut self, now: Duration, id: &SmolStr) -> bool {
        let Some(entry) = self.entries.remove(id) else {
            return false;
        };
        let removal = Removal {
            started_ms: entry.started_ms,
            at: now,
        };
        self.removed.insert(id.clone(), removal);
        true
    }

    /// Removes the entries that have not reappeared in time.
    pub(crate) fn tick(&mut self, now: Duration) -> Vec<Update> {
        self.removed.retain(|_, one| now < one.at + REMOVED_AGE_MAX);
        let due: Vec<SmolStr> = match self.disconnected {
            true => Vec::new(),
            false => {
                let due = self.missing.iter().filter(|(_, until)| **until <= now);
                due.map(|(id, _)| id.clone()).collect()
            }
        };
        let mut updates = Vec::new();
        for id in due {
            self.missing.remove(&id);
            if self.remove(now, &id) {
                log::info!("E7041 removed backend server {id}, it did not reappear on the list");
                updates.push(Update::Removed(id));
            }
        }
        updates
    }

    /// Applies a row. `reconnected` is true for the first rows after the store
    /// could not be reached.
    fn apply_row(&mut self, now: Duration, row: Row, reconnected: bool, updates: &mut Vec<Update>) {
        let Some(value) = &row.value else {
            return self.entry_missing(now, row.key, reconnected, updates);
        };
        match listing::decode(value) {
            Ok(mut entry) => {
                if self.has_begun_to_leave(&row.key, &entry) {
                    entry.state = State::Draining;
                }
                let was_missing = self.missing.remove(&row.key).is_some();
                let before = self.entries.insert(row.key.clone(), entry.clone());
                if before.as_ref() == Some(&entry) && !was_missing {
                    return;
                }
                if entry.state == State::Draining
                    && before.is_none_or(|before| before.state != State::Draining)
                {
                    log::info!("E7042 backend server {} is leaving", row.key);
                }
                updates.push(Update::Listed(row.key, entry));
            }
            Err(error) => {
                log::warn!("E7043 ignored invalid list entry {:?}: {error}", row.key);
                self.entry_missing(now, row.key, reconnected, updates);
            }
        }
    }

    /// Whether a start of a server is known to leave. It never takes requests again,
    /// though an older row says so.
    fn has_begun_to_leave(&self, id: &str, entry: &BackendServer) -> bool {
        let known = self.entries.get(id);
        known.is_some_and(|known| {
            known.state == State::Draining
                && known.started_ms.is_some()
                && known.started_ms == entry.started_ms
        })
    }

    /// Handles a missing entry. Just after the store could not be reached, the
    /// entry may have expired meanwhile or its server may have left, so it is
    /// kept for [`RECONNECT_GRACE`], for the case that none of its service is
    /// listed. At any other time its server has left.
    fn entry_missing(
        &mut self,
        now: Duration,
        id: SmolStr,
        reconnected: bool,
        updates: &mut Vec<Update>,
    ) {
        match reconnected && self.entries.contains_key(&id) {
            true => {
                self.missing.insert(id.clone(), now + RECONNECT_GRACE);
                updates.push(Update::Missing(id));
            }
            false => {
                self.missing.remove(&id);
                if self.remove(now, &id) {
                    log::info!("E7044 removed backend server {id}, it is no longer listed");
                    updates.push(Update::Removed(id));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
