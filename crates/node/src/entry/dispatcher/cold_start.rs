//! What goes to cold backend servers without a grant of their agents.

use std::time::Duration;

use smol_str::SmolStr;
use snipewinch::cold;

use super::Dispatcher;
use super::Key;
use super::State;

impl Dispatcher {
    /// Sets how fast requests may go to the cold servers of a service; none if it has
    /// none.
    pub(crate) fn set_cold_pace(&self, service: &SmolStr, pace: Option<cold::Pace>) {
        let mut state = self.state.borrow_mut();
        let service_state = state.services.entry(service.clone()).or_default();
        service_state.cold_pace = pace;
        state.update_cold_paces();
    }

    /// How many backend servers are cold, and how often a request was not sent to one
    /// without a grant.
    pub(crate) fn cold_servers(&self) -> (usize, u64) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let cold = state.backends.iter_mut();
        let cold = cold.filter(|(_, backend)| !backend.cold_left(now).is_zero());
        (cold.count(), state.cold_held_back)
    }
}

impl State {
    /// Passes the paces of services on to their backend servers.
    pub(super) fn update_cold_paces(&mut self) {
        let State {
            backends, services, ..
        } = self;
        for (_, backend) in backends.iter_mut() {
            let service = services.get(&backend.service);
            backend.cold_pace = service.and_then(|one| one.cold_pace);
        }
    }

    /// Updates this entry's shares of what the cold servers of a service without agents
    /// take.
    pub(super) fn update_cold_shares(&mut self, service: &str, now: Duration) {
        let State {
            backends, limits, ..
        } = self;
        for (_, backend) in backends.of_service(service) {
            let is_cold = !backend.cold_left(now).is_zero();
            if let Some(pace) = backend.cold_pace.filter(|_| is_cold) {
                let share = limits.share(backend.server, pace.direct_per_s);
                backend.cold_share.set(now, share);
            }
        }
    }

    /// Whether a request may go to an engine whose agent is silent, as far as the
    /// engine's start decides. The engine may become cold at any moment, before this entry
    /// knows, and its agent may grant slots to other entries. So the entries that own a
    /// share send what the grants to a cold engine leave over.
    pub(super) fn admits_ungranted(&mut self, key: Key, now: Duration) -> bool {
        let State {
            backends, limits, ..
        } = self;
        let Some(backend) = backends.get_mut(key) else {
            return false;
        };
        let Some(pace) = backend.cold_pace else {
            return true;
        };
        let left = backend.cold_left(now);
        let share = limits.share(backend.server, pace.ungranted_per_s);
        backend.cold_share.set(now, share);
        let is_open = backend.cold_share.admission(now, left).is_open();
        self.cold_held_back += u64::from(!is_open);
        is_open
    }
}
