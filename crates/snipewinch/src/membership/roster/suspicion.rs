//! When a roster suspects a host, and when it believes in it again.

use std::time::Duration;

use super::Roster;
use crate::host;
use crate::membership::State;

/// Suspicion above which a link counts as dead.
const PHI_MAX: f64 = 8.0;
/// Suspicions within [`FLAP_WINDOW`] after which a host is held back.
const FLAPS_MAX: u32 = 3;
/// How far back suspicions count as flapping.
pub(super) const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// How long a flapping host is held back at first; doubles with each flap.
const HOLD_MIN: Duration = Duration::from_secs(2);
/// The longest that it is held back.
const HOLD_MAX: Duration = Duration::from_secs(30);

impl Roster {
    pub(super) fn suspect_silent(&mut self, now: Duration) {
        let mut changed = Vec::new();
        for connection in self.links.values_mut() {
            let sound = connection.accrual.phi(now) < PHI_MAX;
            if sound != connection.sound {
                self.changed = true;
                connection.sound = sound;
                changed.push((connection.host.clone(), sound));
            }
        }
        for (host, sound) in changed {
            self.count_links(&host);
            match sound {
                false => self.suspect(now, &host),
                true => self.trust(now, &host),
            }
        }
    }

    pub(super) fn suspect_broken(&mut self, now: Duration) {
        let due: Vec<host::Name> = self
            .broken
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(host, _)| host.clone())
            .collect();
        self.changed |= !due.is_empty();
        for host in due {
            self.broken.remove(&host);
            self.suspect(now, &host);
        }
    }

    /// This process has reason to think that a host is gone.
    pub(super) fn suspect(&mut self, now: Duration, host: &host::Name) {
        let Some(record) = self.records.get_mut(host) else {
            return;
        };
        if record.sound > 0 {
            return;
        }
        if let Some(told) = &mut record.told
            && told.state == State::Live
        {
            told.state = State::Suspect;
            self.spread(host);
            let flaps = self.flaps.entry(host.clone()).or_default();
            flaps.count = match now < flaps.last + FLAP_WINDOW {
                true => flaps.count + 1,
                false => 1,
            };
            flaps.last = now;
        }
    }

    /// A suspected link speaks again.
    pub(super) fn trust(&mut self, now: Duration, host: &host::Name) {
        if let Some(record) = self.records.get_mut(host) {
            record.evidence_at = now;
            if let Some(told) = &mut record.told
                && told.state == State::Suspect
            {
                told.state = State::Live;
            }
        }
        self.hold_if_flapping(now, host);
    }

    pub(super) fn hold_if_flapping(&mut self, now: Duration, host: &host::Name) {
        let Some(flaps) = self.flaps.get(host) else {
            return;
        };
        if flaps.count < FLAPS_MAX || now >= flaps.last + FLAP_WINDOW {
            return;
        }
        let doublings = (flaps.count - FLAPS_MAX).min(8);
        let hold = (HOLD_MIN * 2u32.pow(doublings)).min(HOLD_MAX);
        if let Some(record) = self.records.get_mut(host) {
            record.held_until = record.held_until.max(now + hold);
        }
    }
}
