//! Which availability zones operators have evacuated.
//!
//! It serves the case that a zone is to be emptied at once while requests arrive: the
//! backend servers of an evacuated zone get nothing new. A store that was restored from
//! a backup may have lost the operators' rows, and a zone is not filled again because
//! of that: an evacuation that is missing then is kept for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

/// How long an evacuation is kept of which a restored store has no row, so that its
/// operator can write it again.
pub const RESTORED_HOLD: Duration = Duration::from_secs(60);

/// The evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    zones: BTreeMap<SmolStr, Evacuation>,
    /// Whether the store was restored, and no row has been read since.
    is_restored: bool,
}

/// An evacuation of one zone.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// When this process learned of it.
    since: Duration,
    /// Until when it is kept without a row.
    kept_until: Option<Duration>,
}

/// What has changed for a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// It is evacuated.
    Begun(SmolStr),
    /// It is taken back, after this time.
    Ended(SmolStr, Duration),
    /// A restored store has no row of its evacuation, which is kept for
    /// [`RESTORED_HOLD`].
    Kept(SmolStr),
    /// Nobody has written the row of a kept evacuation again; it has ended.
    Lapsed(SmolStr),
}

impl Zones {
    /// Records the row of a zone.
    pub fn record(&mut self, now: Duration, zone: &str) -> Option<Event> {
        if let Some(known) = self.zones.get_mut(zone) {
            known.kept_until = None;
            return None;
        }
        let evacuation = Evacuation {
            since: now,
            kept_until: None,
        };
        self.zones.insert(zone.into(), evacuation);
        Some(Event::Begun(zone.into()))
    }

    /// Records that the row of a zone was deleted.
    pub fn remove(&mut self, now: Duration, zone: &str) -> Option<Event> {
        let (zone, evacuation) = self.zones.remove_entry(zone)?;
        Some(Event::Ended(zone, now.saturating_sub(evacuation.since)))
    }

    /// Records all rows that there are.
    pub fn replace(&mut self, now: Duration, listed: &[&str]) -> Vec<Event> {
        let is_restored = std::mem::take(&mut self.is_restored);
        let mut events: Vec<Event> = Vec::new();
        let missing: Vec<SmolStr> = self
            .zones
            .keys()
            .filter(|zone| !listed.contains(&zone.as_str()))
            .cloned()
            .collect();
        for zone in missing {
            match self.zones.get_mut(&zone) {
                Some(known) if is_restored => {
                    known.kept_until = Some(now + RESTORED_HOLD);
                    events.push(Event::Kept(zone));
                }
                Some(known) if known.kept_until.is_some() => {}
                Some(_) | None => events.extend(self.remove(now, &zone)),
            }
        }
        events.extend(listed.iter().filter_map(|zone| self.record(now, zone)));
        events
    }

    /// Records that the store was restored from a backup.
    pub fn record_restored(&mut self) {
        self.is_restored = true;
    }

    /// Ends the kept evacuations whose time is over.
    pub fn expire(&mut self, now: Duration) -> Vec<Event> {
        let is_over = |one: &Evacuation| one.kept_until.is_some_and(|until| until <= now);
        let over = self.zones.iter().filter(|(_, one)| is_over(one));
        let over: Vec<SmolStr> = over.map(|(zone, _)| zone.clone()).collect();
        self.zones.retain(|_, one| !is_over(one));
        over.into_iter().map(Event::Lapsed).collect()
    }

    /// The evacuated zones.
    pub fn names(&self) -> impl Iterator<Item = &SmolStr> {
        self.zones.keys()
    }
}
