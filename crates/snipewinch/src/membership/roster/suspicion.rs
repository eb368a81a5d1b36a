//! When a roster suspects a host, and when it clears the suspicion.

use std::time::Duration;

use super::Roster;
use crate::host;
use crate::membership::State;

/// The phi from which on a link is suspected.
const PHI_THRESHOLD: f64 = 8.0;
/// The number of suspicions, each within [`FLAP_WINDOW`] of the one before,
/// from which on a host stays suspect for a while after its link is up again.
const FLAP_THRESHOLD: u32 = 3;
/// The longest time between two suspicions that count as flapping.
pub(super) const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// How long a flapping host stays suspect at first; doubles with each flap.
const DAMPING_MIN: Duration = Duration::from_secs(2);
/// The longest time that a flapping host stays suspect after a flap.
const DAMPING_MAX: Duration = Duration::from_secs(30);

impl Roster {
    pub(super) fn check_links(&mut self, now: Duration) {
        let mut changed = Vec::new();
        for connection in self.links.values_mut() {
            let healthy = connection.accrual.phi(now) < PHI_THRESHOLD;
            if healthy != connection.healthy {
                self.changed = true;
                connection.healthy = healthy;
                changed.push((connection.host.clone(), healthy));
            }
        }
        for (host, healthy) in changed {
            self.count_links(&host);
            match healthy {
                false => self.suspect(now, &host),
                true => self.clear_suspicion(now, &host),
            }
        }
    }

    pub(super) fn suspect_disconnected(&mut self, now: Duration) {
        let expired: Vec<host::Name> = self
            .reconnect_deadlines
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(host, _)| host.clone())
            .collect();
        self.changed |= !expired.is_empty();
        for host in expired {
            self.reconnect_deadlines.remove(&host);
            self.suspect(now, &host);
        }
    }

    /// Suspects a host, unless another link to it is up and not suspected.
    pub(super) fn suspect(&mut self, now: Duration, host: &host::Name) {
        let Some(record) = self.records.get_mut(host) else {
            return;
        };
        if record.healthy_links > 0 {
            return;
        }
        if let Some(process) = &mut record.process
            && process.state == State::Live
        {
            process.state = State::Suspect;
            self.queue_update(host);
            let flaps = self.flaps.entry(host.clone()).or_default();
            flaps.count = match now < flaps.last + FLAP_WINDOW {
                true => flaps.count + 1,
                false => 1,
            };
            flaps.last = now;
        }
    }

    /// Clears the suspicion of a host whose suspected link has new arrivals.
    pub(super) fn clear_suspicion(&mut self, now: Duration, host: &host::Name) {
        if let Some(record) = self.records.get_mut(host) {
            record.last_observed = now;
            if let Some(process) = &mut record.process
                && process.state == State::Suspect
            {
                process.state = State::Live;
            }
        }
        self.damp_if_flapping(now, host);
    }

    pub(super) fn damp_if_flapping(&mut self, now: Duration, host: &host::Name) {
        let Some(flaps) = self.flaps.get(host) else {
            return;
        };
        if flaps.count < FLAP_THRESHOLD || now >= flaps.last + FLAP_WINDOW {
            return;
        }
        let doublings = (flaps.count - FLAP_THRESHOLD).min(8);
        let damping = (DAMPING_MIN * 2u32.pow(doublings)).min(DAMPING_MAX);
        if let Some(record) = self.records.get_mut(host) {
            record.damped_until = record.damped_until.max(now + damping);
        }
    }
}
