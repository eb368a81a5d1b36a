//! Chooses the backend server that answers a call.
//!
//! A [`Table`] knows the hosts of the membership list, which of them this
//! process has links to, their last load reports, and the outcomes of the calls
//! sent to them. It is updated by [`Event`]s and answers [`Table::pick`].
//!
//! - Hosts of the process's own availability zone are preferred, then those of
//!   its region, then all others: a farther host is chosen only if it is
//!   clearly less loaded.
//! - Of two hosts drawn at random the less loaded one is chosen (Mitzenmacher,
//!   "The power of two choices in randomized load balancing", 2001). The load
//!   is the number of the process's own calls in flight, which is exact, plus
//!   the calls of other entries, which are known from delayed reports. Using
//!   both keeps entries from all choosing the same host because of one stale
//!   report (Mitzenmacher, "How useful is old information?", 2000).
//! - Calls with the same prompt prefix go to the same host while its load stays
//!   within a factor of the average (Mirrokni, Thorup and Zadimoghaddam,
//!   "Consistent hashing with bounded loads", 2018).
//! - New hosts are ramped up slowly. Hosts that fail or are slow are ejected
//!   for a limited time, but never more than half of a zone.
//! - A host that is leaving gets no new calls, whether it or the membership
//!   list announced it.
//!
//! [`subset`] decides which hosts to have links to.
//!
//! ```
//! use std::time::Duration;
//!
//! use snipewinch::host;
//! use snipewinch::routing::Event;
//! use snipewinch::routing::Outcome;
//! use snipewinch::routing::Reason;
//! use snipewinch::routing::Request;
//! use snipewinch::routing::Table;
//!
//! let mut table = Table::new("atlanta-a".into(), "atlanta".into());
//! let now = Duration::from_secs(1);
//! let request = Request::new("logbook", 7);
//! assert_eq!(table.pick(now, &request).unwrap_err().reason, Reason::NoHost);
//!
//! let identity = host::Identity {
//!     host: "logbook-1".into(),
//!     incarnation: 1,
//!     role: host::Role::Agent,
//!     zone: "atlanta-a".into(),
//!     region: "atlanta".into(),
//!     service: Some("logbook".into()),
//!     address: ([127, 0, 0, 1], 7000).into(),
//! };
//! table.handle(now, Event::Up { peer: &identity });
//! let key = table.pick(now, &request).unwrap();
//! table.start(now, key, request.prefixes);
//! table.end(now + Duration::from_millis(20), key, &Outcome::success(Duration::from_millis(20)));
//! assert_eq!(table.host(key).unwrap().as_str(), "logbook-1");
//! ```

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;
use smol_str::SmolStr;

use crate::Digest;
use crate::host;
use crate::membership;
use crate::wire;

mod affinity;
mod eject;
mod host_state;
mod message;
mod pick;
pub mod subset;
#[cfg(test)]
mod tests;

use affinity::Affinity;
use host_state::HostState;
pub use message::Event;
pub use message::Need;
pub use message::Outcome;
pub use message::Reason;
pub use message::Refusal;
pub use message::Request;
pub use message::Status;

slotmap::new_key_type! {
    /// Identifies a host in a [`Table`]; not reused after the host is removed.
    pub struct Key;
}

/// Where a host is in relation to this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Locality {
    /// The same availability zone.
    Zone,
    /// The same region.
    Region,
    /// Another region.
    Remote,
}

/// How long a leaving host is kept after it is no longer listed, linked or
/// running calls.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// The largest number of notices kept until they are taken; further ones are
/// dropped.
const NOTICES_MAX: usize = 64;

const LOCALITIES: [Locality; 3] = [Locality::Zone, Locality::Region, Locality::Remote];

/// The hosts of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Hosts with a link, by locality.
    linked: [Vec<Key>; LOCALITIES.len()],
    /// The number of all hosts, with or without a link.
    known: usize,
}

/// Counters of a table, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Picks by locality of the host: zone, region, remote.
    pub picked: [u64; LOCALITIES.len()],
    /// Picks by prompt prefix.
    pub by_prefix: u64,
    /// Ejections.
    pub ejected: u64,
    /// Ejections skipped since too many hosts of the zone were ejected already.
    pub ejections_skipped: u64,
}

/// The capacity of the hosts of a service, in calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Calls that all known hosts can run at once, assuming that hosts without
    /// a link have the average capacity of those with one.
    pub total: u32,
    /// Calls that the linked hosts can start now.
    pub free: u32,
}

/// A change of a host's state, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A host is ejected: it gets no calls for a limited time.
    Ejected {
        /// The host.
        host: host::Name,
        /// The duration of the ejection.
        duration: Duration,
    },
    /// A host was not ejected since too many hosts of its zone already are.
    EjectionSkipped {
        /// The host.
        host: host::Name,
    },
    /// A host is leaving and gets no new calls.
    Leaving {
        /// The host.
        host: host::Name,
    },
}

/// The hosts that can answer calls.
#[derive(Clone, Debug)]
pub struct Table {
    zone: host::Zone,
    region: host::Region,
    hosts: SlotMap<Key, HostState>,
    keys_by_name: HashMap<host::Name, Key>,
    services: HashMap<SmolStr, Service>,
    affinity: Affinity,
    counts: Counts,
    notices: Vec<Notice>,
}

impl Table {
    /// Creates a table for a process in `zone` of `region`.
    pub fn new(zone: host::Zone, region: host::Region) -> Table {
        Table {
            zone,
            region,
            hosts: SlotMap::default(),
            keys_by_name: HashMap::default(),
            services: HashMap::default(),
            affinity: Affinity::default(),
            counts: Counts::default(),
            notices: Vec::new(),
        }
    }

    /// Updates the table with an event.
    pub fn handle(&mut self, now: Duration, event: Event<'_>) {
        match event {
            Event::View(view) => self.apply_view(now, view),
            Event::Up { peer } => self.link_up(now, peer),
            Event::Down { host } => self.link_down(now, host),
            Event::Summary { host, summary } => {
                if let Some(state) = self.state_mut(host) {
                    state.apply_summary(now, summary);
                }
                self.notice_leaving(host);
            }
            Event::Stored { host, prefix } => {
                if let Some(&key) = self.keys_by_name.get(host) {
                    self.affinity.insert(now, prefix, key);
                }
            }
            Event::Removed { host, prefix } => {
                if let Some(&key) = self.keys_by_name.get(host) {
                    self.affinity.remove(prefix, key);
                }
            }
            Event::Gap { host } => {
                if let Some(&key) = self.keys_by_name.get(host) {
                    self.affinity.invalidate(key);
                }
            }
        }
    }

    /// Records that a call is sent to `key`; its prefixes will be in the cache
    /// of the engine there.
    pub fn start(&mut self, now: Duration, key: Key, prefixes: &[Digest]) {
        let Some(state) = self.hosts.get_mut(key) else {
            return;
        };
        state.inflight += 1;
        for &prefix in prefixes {
            self.affinity.insert(now, prefix, key);
        }
    }

    /// Records that a call sent to `key` has ended.
    pub fn end(&mut self, now: Duration, key: Key, outcome: &Outcome) {
        let Some(state) = self.hosts.get_mut(key) else {
            return;
        };
        state.end_call(now, outcome);
        let host = state.name.clone();
        self.update_ejection(now, key, outcome);
        self.notice_leaving(&host);
        self.remove_if_unused(now, key);
    }

    /// The name of a host.
    pub fn host(&self, key: Key) -> Option<&host::Name> {
        self.hosts.get(key).map(|state| &state.name)
    }

    /// The key of a host.
    pub fn key(&self, host: &host::Name) -> Option<Key> {
        self.keys_by_name.get(host).copied()
    }

    /// The versions that the engine on a host has confirmed.
    pub fn confirmed(&self, key: Key) -> &[wire::Confirmed] {
        self.hosts.get(key).map_or(&[], |state| &state.confirmed)
    }

    /// This process's calls in flight on a host.
    pub fn inflight(&self, key: Key) -> u32 {
        self.hosts.get(key).map_or(0, |state| state.inflight)
    }

    /// The number of known hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The number of hosts that are ejected now.
    pub fn ejected(&self, now: Duration) -> usize {
        self.hosts
            .values()
            .filter(|state| state.is_ejected(now))
            .count()
    }

    /// The counters since the table was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes the notices given since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// The capacity of the hosts of a service.
    pub fn capacity(&self, now: Duration, service: &str) -> Capacity {
        let Some(service) = self.services.get(service) else {
            return Capacity::default();
        };
        let linked = service.linked.iter().flatten().map(|&key| &self.hosts[key]);
        let accepting: Vec<&HostState> = linked.filter(|state| !state.is_leaving()).collect();
        let capacity: f64 = accepting.iter().map(|state| state.capacity()).sum();
        let mean = capacity / (accepting.len() as f64).max(1.0);
        let ready = accepting.iter().filter(|state| state.is_ready(now));
        let free = ready.map(|state| (state.capacity() - state.estimated_calls(now)).max(0.0));
        Capacity {
            total: (mean * service.known as f64) as u32,
            free: free.sum::<f64>() as u32,
        }
    }

    /// Whether there is a link to a host.
    pub fn is_linked(&self, host: &host::Name) -> bool {
        self.keys_by_name
            .get(host)
            .is_some_and(|&key| self.hosts[key].linked)
    }

    /// Whether there is a link to a host and it has reported its load.
    pub fn has_reported(&self, host: &host::Name) -> bool {
        self.keys_by_name.get(host).is_some_and(|&key| {
            let state = &self.hosts[key];
            state.linked && state.has_reported()
        })
    }

    fn notice_leaving(&mut self, host: &host::Name) {
        let Some(state) = self.state_mut(host) else {
            return;
        };
        let newly_leaving = state.is_leaving() && !state.leaving_noticed;
        state.leaving_noticed = state.is_leaving();
        if newly_leaving {
            let host = host.clone();
            self.push_notice(Notice::Leaving { host });
        }
    }

    fn push_notice(&mut self, notice: Notice) {
        if self.notices.len() < NOTICES_MAX {
            self.notices.push(notice);
        }
    }

    fn state_mut(&mut self, host: &host::Name) -> Option<&mut HostState> {
        let key = *self.keys_by_name.get(host)?;
        self.hosts.get_mut(key)
    }

    fn locality(&self, zone: &host::Zone, region: &host::Region) -> Locality {
        match () {
            () if *zone == self.zone => Locality::Zone,
            () if *region == self.region => Locality::Region,
            () => Locality::Remote,
        }
    }

    fn apply_view(&mut self, now: Duration, view: &membership::View) {
        for state in self.hosts.values_mut() {
            state.listed = false;
        }
        for member in &view.members {
            let Some(service) = &member.service else {
                continue;
            };
            if member.role != host::Role::Agent {
                continue;
            }
            let key = self.find_or_insert(&member.host, service, &member.zone, &member.region);
            if let Some(state) = self.hosts.get_mut(key) {
                state.apply_member(member);
            }
            self.notice_leaving(&member.host);
        }
        let keys: Vec<Key> = self.hosts.keys().collect();
        for key in keys {
            self.remove_if_unused(now, key);
        }
    }

    fn link_up(&mut self, now: Duration, peer: &host::Identity) {
        let Some(service) = &peer.service else {
            return;
        };
        if peer.role != host::Role::Agent {
            return;
        }
        let key = self.find_or_insert(&peer.host, service, &peer.zone, &peer.region);
        let Some(state) = self.hosts.get_mut(key) else {
            return;
        };
        if state.incarnation != peer.incarnation {
            // A new process, whose engine does not have the cache of the old
            // one.
            self.affinity.invalidate(key);
        }
        let was_linked = state.linked;
        state.link_up(now, peer.incarnation);
        let (service, locality) = (state.service.clone(), state.locality);
        if was_linked {
            return;
        }
        let service = self.services.entry(service).or_default();
        service.linked[locality as usize].push(key);
    }

    fn link_down(&mut self, now: Duration, host: &host::Name) {
        let Some(&key) = self.keys_by_name.get(host) else {
            return;
        };
        let Some(state) = self.hosts.get_mut(key) else {
            return;
        };
        state.linked = false;
        let (service, locality) = (state.service.clone(), state.locality);
        if let Some(service) = self.services.get_mut(&service) {
            service.linked[locality as usize].retain(|&linked| linked != key);
        }
        self.remove_if_unused(now, key);
    }

    /// The key of a host. A host whose locality or service has changed gets a
    /// new record and key.
    fn find_or_insert(
        &mut self,
        host: &host::Name,
        service: &SmolStr,
        zone: &host::Zone,
        region: &host::Region,
    ) -> Key {
        let locality = self.locality(zone, region);
        if let Some(&key) = self.keys_by_name.get(host) {
            let unchanged = self
                .hosts
                .get(key)
                .is_some_and(|state| state.service == *service && state.locality == locality);
            if unchanged {
                return key;
            }
            self.remove(key);
        }
        let state = HostState::new(host.clone(), service.clone(), zone.clone(), locality);
        let key = self.hosts.insert(state);
        self.keys_by_name.insert(host.clone(), key);
        self.services.entry(service.clone()).or_default().known += 1;
        key
    }

    /// Removes a host that is neither listed nor linked and has no calls in
    /// flight. A leaving host is kept for [`LEAVING_RETENTION`], since it may
    /// be linked again.
    fn remove_if_unused(&mut self, now: Duration, key: Key) {
        let Some(state) = self.hosts.get_mut(key) else {
            return;
        };
        if state.listed || state.linked || state.inflight > 0 {
            state.idle_since = None;
            return;
        }
        let since = *state.idle_since.get_or_insert(now);
        let kept = state.is_leaving() && now.saturating_sub(since) < LEAVING_RETENTION;
        if !kept {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Key) {
        let Some(state) = self.hosts.remove(key) else {
            return;
        };
        self.keys_by_name.remove(&state.name);
        let Some(service) = self.services.get_mut(&state.service) else {
            return;
        };
        service.known -= 1;
        service.linked[state.locality as usize].retain(|&linked| linked != key);
        if service.known == 0 {
            self.services.remove(&state.service);
        }
    }
}
