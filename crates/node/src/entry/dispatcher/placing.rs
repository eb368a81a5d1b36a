//! Whether a request may go to a backend server: the one place that knows all
//! reasons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use smol_str::SmolStr;
use snipewinch::cold;
use snipewinch::cutover::Verdict;
use snipewinch::placement::Exclusion;
use snipewinch::placement::Facts;
use snipewinch::region::Mask;

use super::Backend;
use super::Dispatcher;
use super::Key;
use super::Refusal;
use super::SlotRequest;
use super::State;

/// The waiting requests of a service that may go to the same regions.
#[derive(Clone, Copy, Debug)]
pub(super) struct Group {
    pub(super) regions: Mask,
    pub(super) waiting: usize,
    /// When the first of them arrived.
    pub(super) arrived: Duration,
}

/// What is known of a backend server, for any request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing<'a> {
    now: Duration,
    key: Key,
    pub(super) backend: &'a Backend,
    /// Whether it holds the newest weights.
    is_newest: bool,
    /// As for a request without a place or a prompt.
    facts: Facts,
}

impl Standing<'_> {
    /// The facts of requests that may go to some regions.
    pub(super) fn for_regions(&self, regions: Mask) -> Facts {
        Facts {
            region_allowed: regions.contains(self.backend.region),
            ..self.facts
        }
    }
}

/// Whether any backend server is where a request may go, and why not.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    is_found: bool,
    refusal: Option<Refusal>,
}

impl Place {
    pub(super) fn of(request: &SlotRequest) -> Place {
        Place {
            is_found: false,
            refusal: request.regions.is_empty().then_some(Refusal::Region),
        }
    }

    /// Counts a backend server.
    pub(super) fn record(&mut self, facts: &Facts) {
        match facts.is_in_place() {
            true => self.is_found = true,
            false if facts.region_allowed => self.refusal = Some(Refusal::Evacuated),
            false => self.refusal = self.refusal.or(Some(Refusal::Region)),
        }
    }

    /// The refusal, if it is because of the places of all backend servers, or else
    /// `refusal`.
    pub(super) fn explain(&self, refusal: Refusal) -> Refusal {
        self.refusal.filter(|_| !self.is_found).unwrap_or(refusal)
    }
}

impl State {
    /// What is known of a backend server, for any request.
    pub(super) fn standing<'a>(
        &self,
        now: Duration,
        key: Key,
        backend: &'a Backend,
    ) -> Standing<'a> {
        let service_state = self.services.get(&backend.service);
        let begin_by = service_state.and_then(|one| one.versions.begin_by(backend));
        Standing {
            now,
            key,
            backend,
            is_newest: begin_by.is_none(),
            facts: Facts {
                region_allowed: true,
                evacuated: backend.is_evacuated,
                leaving: backend.leaving,
                apart: false,
                limit: self.limits.admission(now, backend.server),
                // The agent spaces its grants while its engine is cold.
                cold: cold::Admission::Open,
                weights: Verdict::Current,
            },
        }
    }

    /// What decides whether a request may go to a backend server. Every way to one
    /// asks this.
    pub(super) fn facts(&self, server: &Standing<'_>, request: &SlotRequest) -> Facts {
        let backend = server.backend;
        Facts {
            apart: !request.admits(server.key, backend),
            weights: match server.is_newest {
                true => Verdict::Current,
                false => self.admit_weights(backend, server.now, request.waiter.tokens),
            },
            ..server.for_regions(request.regions)
        }
    }

    /// The waiting requests of a service by the regions to which they may go.
    pub(super) fn groups(&self, service: &str) -> Vec<Group> {
        let mut groups: BTreeMap<Mask, Group> = BTreeMap::new();
        let waiting = self.services.get(service).map(|one| one.waiting.values());
        for one in waiting.into_iter().flatten() {
            let request = &one.request;
            let group = groups.entry(request.regions).or_insert(Group {
                regions: request.regions,
                waiting: 0,
                arrived: request.waiter.arrived,
            });
            group.waiting += 1;
            group.arrived = group.arrived.min(request.waiter.arrived);
        }
        groups.into_values().collect()
    }

    /// The backend servers of a service that are where some waiting request may go.
    pub(super) fn servers_in_place(&self, service: &str, now: Duration) -> Vec<Key> {
        let groups = self.groups(service);
        let may_get = |(key, backend)| {
            let server = self.standing(now, key, backend);
            let mut groups = groups.iter();
            groups
                .any(|group| server.for_regions(group.regions).is_in_place())
                .then_some(key)
        };
        let servers = self.backends.iter_service(service);
        servers.filter_map(may_get).collect()
    }

    /// Why no backend server takes requests that may go to some regions, if none does
    /// and that does not change in the time that a request waits: all are in other
    /// regions, evacuated, or rest.
    pub(super) fn shortage(&self, service: &str, regions: Mask, now: Duration) -> Option<Refusal> {
        let mut rest: Option<Duration> = None;
        let mut place = None;
        let mut is_any_leaving = false;
        for (key, backend) in self.backends.iter_service(service) {
            match self
                .standing(now, key, backend)
                .for_regions(regions)
                .check()
            {
                Err(Exclusion::Resting(left)) => {
                    rest = Some(rest.map_or(left, |known| known.min(left)));
                }
                Err(Exclusion::Leaving) => is_any_leaving = true,
                Err(Exclusion::Evacuated) => place = Some(Refusal::Evacuated),
                Err(Exclusion::Region) => place = place.or(Some(Refusal::Region)),
                Ok(()) | Err(_) => return None,
            }
        }
        let place = place.filter(|_| !is_any_leaving);
        rest.map(Refusal::Resting).or(place)
    }
}

impl Dispatcher {
    /// Whether a request may still be sent to the backend server of which it has a
    /// slot, by its regions and what is known of the server now.
    ///
    /// # Errors
    ///
    /// The reason why it may not; [`Exclusion::Leaving`] if it is no longer listed.
    pub(crate) fn check_held(&self, key: Key, regions: Mask) -> Result<(), Exclusion> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let Some(backend) = state.backends.get(key) else {
            return Err(Exclusion::Leaving);
        };
        let server = state.standing(now, key, backend);
        server.for_regions(regions).check_held()
    }

    /// Sets the evacuated availability zones. What waits for their backend servers
    /// goes elsewhere or is refused.
    pub(crate) fn set_evacuated(&self, zones: BTreeSet<SmolStr>) {
        if self.state.borrow_mut().backends.set_evacuated(zones) {
            self.tick();
        }
    }

    /// Whether an availability zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.state.borrow().backends.is_evacuated(zone)
    }

    /// Judges anew to which regions each waiting request may go.
    pub(crate) fn update_regions(&self, judge: impl Fn(&SlotRequest) -> Mask) {
        {
            let mut state = self.state.borrow_mut();
            let services = state.services.values_mut();
            for waiting in services.flat_map(|service| service.waiting.values_mut()) {
                waiting.request.regions = judge(&waiting.request);
            }
        }
        self.tick();
    }
}
