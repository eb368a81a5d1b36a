//! The hosts that a process knows, merged from the membership list, its links
//! and gossip.
//!
//! Gossip follows SWIM (Das, Gupta and Motivala, DSN 2002): each update is sent
//! to a few peers at a time, a number of times that grows with the logarithm of
//! the number of hosts, and a process that learns that it is suspected refutes
//! it with a higher refutation count.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Endpoint;
use super::Member;
use super::Message;
use super::State;
use super::View;
use super::accrual::Accrual;
use super::merge::Listing;
use super::merge::Process;
use super::merge::Record;
use crate::host;
use crate::host::Identity;

mod gossip;
mod suspicion;

/// How long a broken link may take to reconnect before its host is suspected.
const RECONNECT_GRACE: Duration = Duration::from_millis(1500);
/// How long a host that is not on the list is kept after it was last observed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// Once every list has been older than the newest one for this long, the
/// platform's clock is taken to have been set back and the list is accepted.
const STALE_LIST_TIMEOUT: Duration = Duration::from_secs(600);
/// How often pending updates are sent to peers.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// How often the next known host is sent to one peer, changed or not, so that
/// an update that was lost on every other path arrives eventually.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval between snapshot requests, which are sent on new links
/// while no list has been read.
const SNAPSHOT_REQUEST_INTERVAL: Duration = Duration::from_secs(3);
/// Gossip adds no further hosts to a roster that has this many.
pub const HOSTS_MAX: usize = 8192;

/// The target rate of list reads, over all hosts.
const FLEET_LIST_READS_PER_S: f64 = 50.0;
/// The target rate at which one host downloads the list.
const LIST_BYTES_PER_S: f64 = 2048.0;
/// The shortest interval between reads of the list.
const LIST_POLL_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// How often the view is recomputed without events: some states change by the
/// passage of time alone.
const VIEW_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a link while it is up.
pub type Link = u64;

/// Returns how long a host waits between reads of a membership list with this
/// many hosts and bytes. This bounds the request rate at the platform and the
/// traffic of each host; a change that one host reads reaches the others by
/// gossip.
pub fn list_poll_interval(hosts: usize, bytes: usize) -> Duration {
    let by_reads = hosts as f64 / FLEET_LIST_READS_PER_S;
    let by_bytes = bytes as f64 / LIST_BYTES_PER_S;
    Duration::from_secs_f64(by_reads.max(by_bytes)).max(LIST_POLL_INTERVAL_MIN)
}

/// An input to a roster.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link is up.
    Up {
        /// The link.
        link: Link,
        /// Who is at the other end.
        peer: Identity,
        /// This process opened it, and reopens it when it breaks.
        dialed: bool,
    },
    /// A link is gone.
    Down {
        /// The link.
        link: Link,
        /// Nothing arrived within the link's time-out.
        timed_out: bool,
        /// This process closed it.
        closed_locally: bool,
    },
    /// The time at which data last arrived on a link.
    Received {
        /// The link.
        link: Link,
        /// The time of the last arrival.
        at: Duration,
    },
    /// The peer's summary says whether it is leaving.
    Announced {
        /// The link.
        link: Link,
        /// It takes no new work.
        leaving: bool,
    },
    /// A peer sent a message.
    Message {
        /// The link.
        link: Link,
        /// The message.
        message: Message,
    },
    /// The platform's list was read.
    ListRead {
        /// The time that the list reflects, in milliseconds on the platform's
        /// clock.
        as_of_ms: u64,
        /// The hosts, with their addresses as reached from this region.
        hosts: Vec<Member>,
    },
    /// Some time has passed.
    Tick,
}

/// What the embedder carries out for a roster.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send {
        /// The link.
        link: Link,
        /// The message.
        message: Message,
    },
    /// A list was older than the newest one, and is ignored unless the
    /// platform's clock appears to have been set back.
    StaleList {
        /// How much older, in milliseconds.
        behind_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Connection {
    host: host::Name,
    region: host::Region,
    incarnation: u64,
    dialed: bool,
    accrual: Accrual,
    healthy: bool,
}

/// The recent suspicions of a host.
#[derive(Clone, Copy, Debug, Default)]
struct Flaps {
    count: u32,
    last: Duration,
}

/// The hosts that a process knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Identity,
    refutations: u32,
    leaving: bool,
    /// The time of the first event.
    started_at: Option<Duration>,
    records: BTreeMap<host::Name, Record>,
    links: BTreeMap<Link, Connection>,
    /// Hosts whose link broke, and when they become suspect if it stays down.
    reconnect_deadlines: BTreeMap<host::Name, Duration>,
    flaps: HashMap<host::Name, Flaps>,
    /// Hosts with updates still to be sent, and how many more times.
    pending_updates: BTreeMap<host::Name, u32>,
    next_gossip: Duration,
    next_anti_entropy: Duration,
    /// The host that was last sent by anti-entropy.
    anti_entropy_cursor: Option<host::Name>,
    list_as_of_ms: Option<u64>,
    stale_lists_since: Option<Duration>,
    snapshot_requested_at: Option<Duration>,
    changed: bool,
    view_refreshed_at: Duration,
    rng: ChaCha8Rng,
}

impl Roster {
    /// Creates a roster that knows only its own process.
    pub fn new(own: Identity, seed: u64) -> Roster {
        Roster {
            own,
            refutations: 0,
            leaving: false,
            started_at: None,
            records: BTreeMap::new(),
            links: BTreeMap::new(),
            reconnect_deadlines: BTreeMap::new(),
            flaps: HashMap::new(),
            pending_updates: BTreeMap::new(),
            next_gossip: Duration::ZERO,
            next_anti_entropy: Duration::ZERO,
            anti_entropy_cursor: None,
            list_as_of_ms: None,
            stale_lists_since: None,
            snapshot_requested_at: None,
            changed: true,
            view_refreshed_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Marks this process as leaving and gossips it to the peers.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.queue_update(&self.own.host.clone());
    }

    /// Applies an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.started_at.get_or_insert(now);
        self.changed |= !matches!(event, Event::Received { .. } | Event::Tick);
        match event {
            Event::Up { link, peer, dialed } => self.up(now, link, &peer, dialed, &mut actions),
            Event::Down {
                link,
                timed_out,
                closed_locally,
            } => self.down(now, link, timed_out, closed_locally),
            Event::Received { link, at } => {
                if let Some(connection) = self.links.get_mut(&link) {
                    connection.accrual.record_arrival(at);
                }
            }
            Event::Announced { link, leaving } => self.record_announcement(now, link, leaving),
            Event::Message { link, message } => self.receive(now, link, message, &mut actions),
            Event::ListRead { as_of_ms, hosts } => self.merge(now, as_of_ms, hosts, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the hosts by name, this process included.
    pub fn view(&self, now: Duration) -> View {
        let own = self.own_member();
        let mut by_address: HashMap<SocketAddr, (u64, usize)> = HashMap::new();
        let mut members: Vec<Option<Member>> = vec![Some(own)];
        for (host, record) in &self.records {
            let Some(member) = record.member(host, now) else {
                continue;
            };
            // Two hosts cannot share an address: the higher incarnation has it.
            let owner = (member.incarnation, members.len());
            match by_address.get(&member.address) {
                Some(&(incarnation, _)) if incarnation > member.incarnation => continue,
                Some(&(_, index)) => members[index] = None,
                None => {}
            }
            by_address.insert(member.address, owner);
            members.push(Some(member));
        }
        let mut members: Vec<Member> = members.into_iter().flatten().collect();
        members.sort_by(|a, b| a.host.cmp(&b.host));
        View { members }
    }

    /// Returns whether the view may have changed since the last call.
    pub fn take_changed(&mut self, now: Duration) -> bool {
        let due = now >= self.view_refreshed_at + VIEW_REFRESH_INTERVAL;
        if due {
            self.view_refreshed_at = now;
        }
        std::mem::take(&mut self.changed) || due
    }

    fn own_member(&self) -> Member {
        Member {
            host: self.own.host.clone(),
            role: self.own.role,
            zone: self.own.zone.clone(),
            region: self.own.region.clone(),
            service: self.own.service.clone(),
            address: self.own.address,
            state: match self.leaving {
                true => State::Leaving,
                false => State::Live,
            },
            incarnation: self.own.incarnation,
        }
    }

    fn up(
        &mut self,
        now: Duration,
        link: Link,
        peer: &Identity,
        dialed: bool,
        actions: &mut Vec<Action>,
    ) {
        let connection = Connection {
            host: peer.host.clone(),
            region: peer.region.clone(),
            incarnation: peer.incarnation,
            dialed,
            accrual: Accrual::new(now),
            healthy: true,
        };
        self.links.insert(link, connection);
        self.reconnect_deadlines.remove(&peer.host);
        self.record_identity(now, peer);
        self.count_links(&peer.host);
        if self.list_as_of_ms.is_none()
            && self
                .snapshot_requested_at
                .is_none_or(|at| now >= at + SNAPSHOT_REQUEST_INTERVAL)
        {
            self.snapshot_requested_at = Some(now);
            let message = Message::SnapshotRequest;
            actions.push(Action::Send { link, message });
        }
    }

    /// Takes over what a linked peer states about itself in the handshake.
    fn record_identity(&mut self, now: Duration, peer: &Identity) {
        let same_region = peer.region == self.own.region;
        let record = self.records.entry(peer.host.clone()).or_default();
        record.last_observed = now;
        match &mut record.process {
            Some(process) if process.incarnation > peer.incarnation => {}
            Some(process) if process.incarnation == peer.incarnation => {
                process.endpoint = Endpoint::from(peer);
                process.address_usable = same_region;
                if process.state == State::Suspect {
                    process.state = State::Live;
                }
            }
            known => {
                *known = Some(Process {
                    incarnation: peer.incarnation,
                    refutations: 0,
                    state: State::Live,
                    endpoint: Endpoint::from(peer),
                    address_usable: same_region,
                });
                self.relay_update(now, &peer.host);
            }
        }
        self.damp_if_flapping(now, &peer.host);
    }

    fn down(&mut self, now: Duration, link: Link, timed_out: bool, closed_locally: bool) {
        let Some(connection) = self.links.remove(&link) else {
            return;
        };
        let host = connection.host;
        self.count_links(&host);
        if let Some(record) = self.records.get_mut(&host) {
            record.last_observed = now;
        }
        let linked = self.links.values().any(|other| other.host == host);
        // A peer may close a link that it no longer needs, so only a link that
        // this process dialed, or one that timed out, raises suspicion.
        let suspicious = !closed_locally && (connection.dialed || timed_out);
        if suspicious && !linked {
            self.reconnect_deadlines.insert(host, now + RECONNECT_GRACE);
        }
    }

    fn record_announcement(&mut self, now: Duration, link: Link, leaving: bool) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        let (host, incarnation) = (connection.host.clone(), connection.incarnation);
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        record.last_observed = now;
        match &mut record.process {
            Some(process)
                if leaving
                    && process.incarnation == incarnation
                    && process.state != State::Leaving =>
            {
                process.state = State::Leaving;
                self.queue_update(&host);
            }
            _ => {}
        }
    }

    /// Merges a list that was read from the platform.
    fn merge(
        &mut self,
        now: Duration,
        as_of_ms: u64,
        hosts: Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(newest) = self.list_as_of_ms
            && as_of_ms < newest
        {
            let stale_since = *self.stale_lists_since.get_or_insert(now);
            let behind_ms = newest - as_of_ms;
            actions.push(Action::StaleList { behind_ms });
            if now < stale_since + STALE_LIST_TIMEOUT {
                return;
            }
        }
        self.stale_lists_since = None;
        self.list_as_of_ms = Some(as_of_ms);
        let mut listed_hosts = HashSet::new();
        for member in hosts {
            if member.host == self.own.host {
                continue;
            }
            listed_hosts.insert(member.host.clone());
            self.apply_listing(as_of_ms, member);
        }
        for (host, record) in &mut self.records {
            match &mut record.listing {
                Some(listing) if !listed_hosts.contains(host) => listing.removed = true,
                _ => {}
            }
        }
    }

    fn apply_listing(&mut self, as_of_ms: u64, member: Member) {
        let host = member.host.clone();
        let record = self.records.entry(host.clone()).or_default();
        // While no process is known on the host, the list's leaving status
        // covers every incarnation: none can be shown to have started later.
        let incarnation = record.process.as_ref().map_or(u64::MAX, |p| p.incarnation);
        let leaving = member.state == State::Leaving;
        let previous = record.listing.as_ref();
        let known = previous.is_some();
        let (leaving_incarnation, changed_ms) =
            previous.map_or((None, 0), |l| (l.leaving_incarnation, l.changed_ms));
        let mut listing = Listing {
            leaving_incarnation: leaving
                .then(|| leaving_incarnation.unwrap_or(incarnation.max(member.incarnation))),
            member,
            changed_ms,
            removed: false,
        };
        let changed = leaving_incarnation.is_some() != leaving && (known || leaving);
        match changed {
            // A peer has already reported a later list than this one.
            true if changed_ms > as_of_ms => listing.leaving_incarnation = leaving_incarnation,
            true => listing.changed_ms = as_of_ms,
            false => {}
        }
        let status_changed = listing.changed_ms != changed_ms;
        record.listing = Some(listing);
        if status_changed {
            self.queue_update(&host);
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.check_links(now);
        self.suspect_disconnected(now);
        self.remove_stale(now);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.send_gossip(actions);
        }
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + ANTI_ENTROPY_INTERVAL;
            self.send_anti_entropy(actions);
        }
    }

    fn remove_stale(&mut self, now: Duration) {
        let no_list = self.list_as_of_ms.is_none();
        let linked: HashSet<&host::Name> = self.links.values().map(|link| &link.host).collect();
        self.records.retain(|host, record| {
            let listed = record
                .listing
                .as_ref()
                .is_some_and(|listing| !listing.removed);
            let fresh = now < record.last_observed + UNLISTED_RETENTION;
            let removed = record
                .listing
                .as_ref()
                .is_some_and(|listing| listing.removed);
            linked.contains(host) || listed || (fresh && !removed) || (no_list && !removed)
        });
        let records = &self.records;
        self.flaps.retain(|host, flaps| {
            records.contains_key(host) && now < flaps.last + suspicion::FLAP_WINDOW
        });
    }

    fn count_links(&mut self, host: &host::Name) {
        let mut links = 0;
        let mut healthy = 0;
        for connection in self.links.values().filter(|link| link.host == *host) {
            links += 1;
            healthy += u32::from(connection.healthy);
        }
        if let Some(record) = self.records.get_mut(host) {
            record.links = links;
            record.healthy_links = healthy;
        }
    }
}
