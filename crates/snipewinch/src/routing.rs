//! Which backend server answers a call.
//!
//! A [`Table`] knows the hosts that this process has links to, what they last
//! said about themselves, and what became of the calls sent to them. It is fed
//! with [`Event`]s and answers [`Table::pick`].
//!
//! - The own availability zone goes first, then the region, then the rest: a
//!   farther host is taken only where it is clearly less loaded.
//! - Of two hosts drawn at random the less loaded one is taken (Mitzenmacher,
//!   "The power of two choices in randomized load balancing", 2001). Load is the
//!   count of own calls in flight, which is exact, plus what others have sent
//!   there, which is a report that lags; mixing both keeps entries from rushing
//!   to one host on one stale report (Mitzenmacher, "How useful is old
//!   information?", 2000).
//! - Calls with the same prompt prefix go to the same host while its load stays
//!   within a factor of the average (Mirrokni, Thorup and Zadimoghaddam,
//!   "Consistent hashing with bounded loads", 2018).
//! - New hosts are given load slowly, bad ones are ejected for a while, and at
//!   least half of a zone always stays.
//! - A host that is leaving gets no new call, whether it said so itself or the
//!   membership list did.
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
mod message;
mod node;
mod pick;
pub mod subset;
#[cfg(test)]
mod tests;

use affinity::Affinity;
pub use message::Event;
pub use message::Need;
pub use message::Outcome;
pub use message::Reason;
pub use message::Refusal;
pub use message::Request;
pub use message::Status;
use node::Node;

slotmap::new_key_type! {
    /// Names one host in a [`Table`]; never used again after the host is gone.
    pub struct Key;
}

/// How far a host is from this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The same availability zone.
    Zone,
    /// The same region.
    Region,
    /// Another region.
    Far,
}

/// How long a host that left is remembered after it is gone.
const LEAVING_KEPT: Duration = Duration::from_secs(600);
/// Notices kept until they are taken.
const NOTICES_MAX: usize = 64;

const TIERS: [Tier; 3] = [Tier::Zone, Tier::Region, Tier::Far];

/// The hosts of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Hosts with a link, by how far they are.
    linked: [Vec<Key>; TIERS.len()],
    /// All hosts, with a link or without.
    known: usize,
}

/// Counts what a table did, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Picks by how far the host was: zone, region, far.
    pub picked: [u64; TIERS.len()],
    /// Picks that followed a prompt prefix.
    pub by_prefix: u64,
    /// Hosts ejected so far.
    pub ejected: u64,
    /// Ejections not done since too much of a zone was ejected already.
    pub ejections_skipped: u64,
}

/// What the hosts of a service can run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Calls that all known hosts run at once, if those without a link are like
    /// those with one.
    pub total: u32,
    /// Calls for which linked hosts have room now.
    pub free: u32,
}

/// What a table has noticed, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// A host gets no calls for a while.
    Ejected {
        /// The host.
        host: host::Name,
        /// How long.
        time: Duration,
    },
    /// A host would have been ejected, but too much of its zone already is.
    EjectionSkipped {
        /// The host.
        host: host::Name,
    },
    /// A host is leaving and gets no new call.
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
    nodes: SlotMap<Key, Node>,
    names: HashMap<host::Name, Key>,
    services: HashMap<SmolStr, Service>,
    affinity: Affinity,
    counts: Counts,
    notices: Vec<Notice>,
}

impl Table {
    /// A table for a process that stands in `zone` of `region`.
    pub fn new(zone: host::Zone, region: host::Region) -> Table {
        Table {
            zone,
            region,
            nodes: SlotMap::default(),
            names: HashMap::default(),
            services: HashMap::default(),
            affinity: Affinity::default(),
            counts: Counts::default(),
            notices: Vec::new(),
        }
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, now: Duration, event: Event<'_>) {
        match event {
            Event::View(view) => self.view(now, view),
            Event::Up { peer } => self.up(now, peer),
            Event::Down { host } => self.down(now, host),
            Event::Summary { host, summary } => {
                if let Some(node) = self.named(host) {
                    node.report(now, summary);
                }
                self.note_leaving(host);
            }
            Event::Stored { host, prefix } => {
                if let Some(&key) = self.names.get(host) {
                    self.affinity.note(now, prefix, key);
                }
            }
            Event::Removed { host, prefix } => {
                if let Some(&key) = self.names.get(host) {
                    self.affinity.forget(prefix, key);
                }
            }
            Event::Gap { host } => {
                if let Some(&key) = self.names.get(host) {
                    self.affinity.doubt(key);
                }
            }
        }
    }

    /// A call is sent to `key`; its prefixes will be in that engine's cache.
    pub fn start(&mut self, now: Duration, key: Key, prefixes: &[Digest]) {
        let Some(node) = self.nodes.get_mut(key) else {
            return;
        };
        node.inflight += 1;
        for &prefix in prefixes {
            self.affinity.note(now, prefix, key);
        }
    }

    /// A call that was sent to `key` has ended.
    pub fn end(&mut self, now: Duration, key: Key, outcome: &Outcome) {
        let Some(node) = self.nodes.get_mut(key) else {
            return;
        };
        node.end(now, outcome);
        let host = node.name.clone();
        self.judge(now, key, outcome);
        self.note_leaving(&host);
        self.drop_if_done(now, key);
    }

    /// The name of a host.
    pub fn host(&self, key: Key) -> Option<&host::Name> {
        self.nodes.get(key).map(|node| &node.name)
    }

    /// The key of a host.
    pub fn key(&self, host: &host::Name) -> Option<Key> {
        self.names.get(host).copied()
    }

    /// What the engine on a host has confirmed.
    pub fn confirmed(&self, key: Key) -> &[wire::Confirmed] {
        self.nodes.get(key).map_or(&[], |node| &node.confirmed)
    }

    /// Own calls in flight on a host.
    pub fn inflight(&self, key: Key) -> u32 {
        self.nodes.get(key).map_or(0, |node| node.inflight)
    }

    /// Hosts known.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Hosts that are ejected now.
    pub fn ejected(&self, now: Duration) -> usize {
        self.nodes
            .values()
            .filter(|node| node.is_ejected(now))
            .count()
    }

    /// What the table has done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What was noticed since the last time.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// What the hosts of a service can run.
    pub fn capacity(&self, now: Duration, service: &str) -> Capacity {
        let Some(service) = self.services.get(service) else {
            return Capacity::default();
        };
        let linked = service.linked.iter().flatten().map(|&key| &self.nodes[key]);
        let taking: Vec<&Node> = linked.filter(|node| !node.is_leaving()).collect();
        let capacity: f64 = taking.iter().map(|node| node.capacity()).sum();
        let mean = capacity / (taking.len() as f64).max(1.0);
        let ready = taking.iter().filter(|node| node.is_ready(now));
        let free = ready.map(|node| (node.capacity() - node.calls(now)).max(0.0));
        Capacity {
            total: (mean * service.known as f64) as u32,
            free: free.sum::<f64>() as u32,
        }
    }

    /// Whether a host is linked to.
    pub fn is_linked(&self, host: &host::Name) -> bool {
        self.names
            .get(host)
            .is_some_and(|&key| self.nodes[key].linked)
    }

    /// Whether a host is linked to and has said how it fares.
    pub fn has_reported(&self, host: &host::Name) -> bool {
        self.names.get(host).is_some_and(|&key| {
            let node = &self.nodes[key];
            node.linked && node.has_reported()
        })
    }

    fn note_leaving(&mut self, host: &host::Name) {
        let Some(node) = self.named(host) else {
            return;
        };
        let news = node.is_leaving() && !node.noted_leaving;
        node.noted_leaving = node.is_leaving();
        if news {
            let host = host.clone();
            self.notice(Notice::Leaving { host });
        }
    }

    fn notice(&mut self, notice: Notice) {
        if self.notices.len() < NOTICES_MAX {
            self.notices.push(notice);
        }
    }

    fn named(&mut self, host: &host::Name) -> Option<&mut Node> {
        let key = *self.names.get(host)?;
        self.nodes.get_mut(key)
    }

    fn tier(&self, zone: &host::Zone, region: &host::Region) -> Tier {
        match () {
            () if *zone == self.zone => Tier::Zone,
            () if *region == self.region => Tier::Region,
            () => Tier::Far,
        }
    }

    fn view(&mut self, now: Duration, view: &membership::View) {
        for node in self.nodes.values_mut() {
            node.listed = false;
        }
        for member in &view.members {
            let Some(service) = &member.service else {
                continue;
            };
            if member.role != host::Role::Agent {
                continue;
            }
            let key = self.ensure(&member.host, service, &member.zone, &member.region);
            if let Some(node) = self.nodes.get_mut(key) {
                node.list(member);
            }
            self.note_leaving(&member.host);
        }
        let gone: Vec<Key> = self.nodes.keys().collect();
        for key in gone {
            self.drop_if_done(now, key);
        }
    }

    fn up(&mut self, now: Duration, peer: &host::Identity) {
        let Some(service) = &peer.service else {
            return;
        };
        if peer.role != host::Role::Agent {
            return;
        }
        let key = self.ensure(&peer.host, service, &peer.zone, &peer.region);
        let Some(node) = self.nodes.get_mut(key) else {
            return;
        };
        if node.incarnation != peer.incarnation {
            // A new process: its engine's cache is not the old one's.
            self.affinity.doubt(key);
        }
        let was_linked = node.linked;
        node.up(now, peer.incarnation);
        let (service, tier) = (node.service.clone(), node.tier);
        if was_linked {
            return;
        }
        let service = self.services.entry(service).or_default();
        service.linked[tier as usize].push(key);
    }

    fn down(&mut self, now: Duration, host: &host::Name) {
        let Some(&key) = self.names.get(host) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(key) else {
            return;
        };
        node.linked = false;
        let (service, tier) = (node.service.clone(), node.tier);
        if let Some(service) = self.services.get_mut(&service) {
            service.linked[tier as usize].retain(|&linked| linked != key);
        }
        self.drop_if_done(now, key);
    }

    /// The record of a host; one whose place or service changed starts anew.
    fn ensure(
        &mut self,
        host: &host::Name,
        service: &SmolStr,
        zone: &host::Zone,
        region: &host::Region,
    ) -> Key {
        let tier = self.tier(zone, region);
        if let Some(&key) = self.names.get(host) {
            let same = self
                .nodes
                .get(key)
                .is_some_and(|node| node.service == *service && node.tier == tier);
            if same {
                return key;
            }
            self.remove(key);
        }
        let node = Node::new(host.clone(), service.clone(), zone.clone(), tier);
        let key = self.nodes.insert(node);
        self.names.insert(host.clone(), key);
        self.services.entry(service.clone()).or_default().known += 1;
        key
    }

    /// Forgets a host that is neither listed, linked nor at work. One that is
    /// leaving is remembered longer, since it may be linked once more.
    fn drop_if_done(&mut self, now: Duration, key: Key) {
        let Some(node) = self.nodes.get_mut(key) else {
            return;
        };
        if node.listed || node.linked || node.inflight > 0 {
            node.idle_since = None;
            return;
        }
        let since = *node.idle_since.get_or_insert(now);
        let kept = node.is_leaving() && now.saturating_sub(since) < LEAVING_KEPT;
        if !kept {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: Key) {
        let Some(node) = self.nodes.remove(key) else {
            return;
        };
        self.names.remove(&node.name);
        let Some(service) = self.services.get_mut(&node.service) else {
            return;
        };
        service.known -= 1;
        service.linked[node.tier as usize].retain(|&linked| linked != key);
        if service.known == 0 {
            self.services.remove(&node.service);
        }
    }
}
