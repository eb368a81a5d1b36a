//! All hosts that a process knows, from the list, its links and its peers.
//!
//! Hearsay spreads as in SWIM (Das, Gupta and Motivala, DSN 2002): news ride to
//! a few peers at a time, a number of times that grows with the logarithm of
//! the number of hosts, and a process that hears itself suspected denies it
//! with a higher count.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Member;
use super::Message;
use super::Place;
use super::State;
use super::View;
use super::accrual::Accrual;
use super::merge::Listed;
use super::merge::Record;
use super::merge::Told;
use crate::host;
use crate::host::Identity;

mod gossip;
mod suspicion;

/// How long a broken link may take to come back before its host is suspected.
const RECONNECT: Duration = Duration::from_millis(1500);
/// How long a host is kept that no list names, after the last evidence of it.
const UNLISTED_KEPT: Duration = Duration::from_secs(60);
/// Older lists in a row are believed after this long: the platform's clock
/// was set back.
const LIST_ERA: Duration = Duration::from_secs(600);
/// How often news are told.
pub const NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// How often one host more is told to one peer, news or not: what got lost
/// everywhere else is so repaired in the end.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait before asking another peer for all it knows.
const ASK_PAUSE: Duration = Duration::from_secs(3);
/// The most hosts that are kept.
pub const HOSTS_MAX: usize = 8192;

/// Reads of the list a second, over all hosts.
const FLEET_LIST_READS_PER_S: f64 = 50.0;
/// What a host spends on reading the list, in bytes a second.
const LIST_BYTES_PER_S: f64 = 2048.0;
/// The shortest interval between reads of the list.
const LIST_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// How often a view is renewed without events, for what time alone changes.
const RENEW: Duration = Duration::from_secs(1);

/// Names a link while it is up.
pub type Link = u64;

/// How often a host reads a list of so many hosts and bytes, so that neither
/// the platform nor the host is asked for too much. What one host reads, the
/// others hear.
pub fn list_poll_interval(hosts: usize, bytes: usize) -> Duration {
    let by_reads = hosts as f64 / FLEET_LIST_READS_PER_S;
    let by_bytes = bytes as f64 / LIST_BYTES_PER_S;
    Duration::from_secs_f64(by_reads.max(by_bytes)).max(LIST_INTERVAL_MIN)
}

/// What happens to a roster.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link is up.
    Up {
        /// The link.
        link: Link,
        /// Who is at the other end.
        peer: Identity,
        /// This process opened it, and opens it again when it breaks.
        dialed: bool,
    },
    /// A link is gone.
    Down {
        /// The link.
        link: Link,
        /// Nothing arrived for too long.
        timed_out: bool,
        /// This process let go of it.
        closed_locally: bool,
    },
    /// Something last arrived on the link at this time.
    Received {
        /// The link.
        link: Link,
        /// When.
        at: Duration,
    },
    /// The peer announced whether it is leaving.
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
        /// When it was true, on the platform's clock.
        as_of_ms: u64,
        /// The hosts, addresses as reached from here.
        hosts: Vec<Member>,
    },
    /// Some time has passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send {
        /// The link.
        link: Link,
        /// The message.
        message: Message,
    },
    /// A list was older than the one before and is left aside.
    StaleList {
        /// By how much, in milliseconds.
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
    sound: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Flaps {
    count: u32,
    last: Duration,
}

/// All hosts that a process knows.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Identity,
    denials: u32,
    leaving: bool,
    /// When the first event came.
    opened: Option<Duration>,
    records: BTreeMap<host::Name, Record>,
    links: BTreeMap<Link, Connection>,
    /// Hosts whose link broke, and when they are suspected.
    broken: BTreeMap<host::Name, Duration>,
    flaps: HashMap<host::Name, Flaps>,
    /// What is still to be told, and how often.
    news: BTreeMap<host::Name, u32>,
    next_news: Duration,
    next_repair: Duration,
    /// The host told last for repair.
    repaired: Option<host::Name>,
    list_as_of_ms: Option<u64>,
    list_back_since: Option<Duration>,
    asked_at: Option<Duration>,
    changed: bool,
    renewed_at: Duration,
    rng: ChaCha8Rng,
}

impl Roster {
    /// A roster that knows only its own process.
    pub fn new(own: Identity, seed: u64) -> Roster {
        Roster {
            own,
            denials: 0,
            leaving: false,
            opened: None,
            records: BTreeMap::new(),
            links: BTreeMap::new(),
            broken: BTreeMap::new(),
            flaps: HashMap::new(),
            news: BTreeMap::new(),
            next_news: Duration::ZERO,
            next_repair: Duration::ZERO,
            repaired: None,
            list_as_of_ms: None,
            list_back_since: None,
            asked_at: None,
            changed: true,
            renewed_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This process leaves: says so to everybody.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.spread(&self.own.host.clone());
    }

    /// Takes in what happened and answers what to do.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.opened.get_or_insert(now);
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
                    connection.accrual.arrive(at);
                }
            }
            Event::Announced { link, leaving } => self.announced(now, link, leaving),
            Event::Message { link, message } => self.receive(now, link, message, &mut actions),
            Event::ListRead { as_of_ms, hosts } => self.list(now, as_of_ms, hosts, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// The hosts by name, this process among them.
    pub fn view(&self, now: Duration) -> View {
        let own = self.own_member();
        let mut holders: HashMap<SocketAddr, (u64, usize)> = HashMap::new();
        let mut members: Vec<Option<Member>> = vec![Some(own)];
        for (host, record) in &self.records {
            let Some(member) = record.member(host, now) else {
                continue;
            };
            // Two hosts can't stand at one address: the later process does.
            let rank = (member.incarnation, members.len());
            match holders.get(&member.address) {
                Some(&(incarnation, _)) if incarnation > member.incarnation => continue,
                Some(&(_, index)) => members[index] = None,
                None => {}
            }
            holders.insert(member.address, rank);
            members.push(Some(member));
        }
        let mut members: Vec<Member> = members.into_iter().flatten().collect();
        members.sort_by(|a, b| a.host.cmp(&b.host));
        View { members }
    }

    /// Whether the view may have changed since this was last asked.
    pub fn take_changed(&mut self, now: Duration) -> bool {
        let due = now >= self.renewed_at + RENEW;
        if due {
            self.renewed_at = now;
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
            accrual: Accrual::open(now),
            sound: true,
        };
        self.links.insert(link, connection);
        self.broken.remove(&peer.host);
        self.meet(now, peer);
        self.count_links(&peer.host);
        if self.list_as_of_ms.is_none() && self.asked_at.is_none_or(|at| now >= at + ASK_PAUSE) {
            self.asked_at = Some(now);
            let message = Message::Ask;
            actions.push(Action::Send { link, message });
        }
    }

    /// A process introduced itself: its own word on who and where it is.
    fn meet(&mut self, now: Duration, peer: &Identity) {
        let near = peer.region == self.own.region;
        let record = self.records.entry(peer.host.clone()).or_default();
        record.evidence_at = now;
        match &mut record.told {
            Some(told) if told.incarnation > peer.incarnation => {}
            Some(told) if told.incarnation == peer.incarnation => {
                told.place = Place::from(peer);
                told.address_known = near;
                if told.state == State::Suspect {
                    told.state = State::Live;
                }
            }
            told => {
                *told = Some(Told {
                    incarnation: peer.incarnation,
                    denials: 0,
                    state: State::Live,
                    place: Place::from(peer),
                    address_known: near,
                });
                self.retell(now, &peer.host);
            }
        }
        self.hold_if_flapping(now, &peer.host);
    }

    fn down(&mut self, now: Duration, link: Link, timed_out: bool, closed_locally: bool) {
        let Some(connection) = self.links.remove(&link) else {
            return;
        };
        let host = connection.host;
        self.count_links(&host);
        if let Some(record) = self.records.get_mut(&host) {
            record.evidence_at = now;
        }
        let linked = self.links.values().any(|other| other.host == host);
        // A peer may close a link that it no longer needs: only a link that
        // this process keeps open, or one that went silent, says anything.
        let telling = !closed_locally && (connection.dialed || timed_out);
        if telling && !linked {
            self.broken.insert(host, now + RECONNECT);
        }
    }

    fn announced(&mut self, now: Duration, link: Link, leaving: bool) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        let (host, incarnation) = (connection.host.clone(), connection.incarnation);
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        record.evidence_at = now;
        match &mut record.told {
            Some(told)
                if leaving && told.incarnation == incarnation && told.state != State::Leaving =>
            {
                told.state = State::Leaving;
                self.spread(&host);
            }
            _ => {}
        }
    }

    fn list(
        &mut self,
        now: Duration,
        as_of_ms: u64,
        hosts: Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(newest) = self.list_as_of_ms
            && as_of_ms < newest
        {
            let since = *self.list_back_since.get_or_insert(now);
            let behind_ms = newest - as_of_ms;
            actions.push(Action::StaleList { behind_ms });
            if now < since + LIST_ERA {
                return;
            }
        }
        self.list_back_since = None;
        self.list_as_of_ms = Some(as_of_ms);
        let mut named = HashSet::new();
        for member in hosts {
            if member.host == self.own.host {
                continue;
            }
            named.insert(member.host.clone());
            self.list_one(as_of_ms, member);
        }
        for (host, record) in &mut self.records {
            match &mut record.listed {
                Some(listed) if !named.contains(host) => listed.gone = true,
                _ => {}
            }
        }
    }

    fn list_one(&mut self, as_of_ms: u64, member: Member) {
        let host = member.host.clone();
        let record = self.records.entry(host.clone()).or_default();
        // Of a process never heard of, nobody can say that it came later.
        let incarnation = record.told.as_ref().map_or(u64::MAX, |t| t.incarnation);
        let leaving = member.state == State::Leaving;
        let before = record.listed.as_ref();
        let known = before.is_some();
        let (since, changed_ms) = before.map_or((None, 0), |l| (l.leaving_since, l.changed_ms));
        let mut listed = Listed {
            leaving_since: leaving.then(|| since.unwrap_or(incarnation.max(member.incarnation))),
            member,
            changed_ms,
            gone: false,
        };
        let changed = since.is_some() != leaving && (known || leaving);
        match changed {
            // A peer has read a later list than this one.
            true if changed_ms > as_of_ms => listed.leaving_since = since,
            true => listed.changed_ms = as_of_ms,
            false => {}
        }
        let news = listed.changed_ms != changed_ms;
        record.listed = Some(listed);
        if news {
            self.spread(&host);
        }
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.suspect_silent(now);
        self.suspect_broken(now);
        self.drop_stale(now);
        if now >= self.next_news {
            self.next_news = now + NEWS_INTERVAL;
            self.tell_news(actions);
        }
        if now >= self.next_repair {
            self.next_repair = now + REPAIR_INTERVAL;
            self.repair(actions);
        }
    }

    fn drop_stale(&mut self, now: Duration) {
        let listless = self.list_as_of_ms.is_none();
        let linked: HashSet<&host::Name> = self.links.values().map(|link| &link.host).collect();
        self.records.retain(|host, record| {
            let listed = record.listed.as_ref().is_some_and(|listed| !listed.gone);
            let fresh = now < record.evidence_at + UNLISTED_KEPT;
            let gone = record.listed.as_ref().is_some_and(|listed| listed.gone);
            linked.contains(host) || listed || (fresh && !gone) || (listless && !gone)
        });
        let records = &self.records;
        self.flaps.retain(|host, flaps| {
            records.contains_key(host) && now < flaps.last + suspicion::FLAP_WINDOW
        });
    }

    fn count_links(&mut self, host: &host::Name) {
        let mut links = 0;
        let mut sound = 0;
        for connection in self.links.values().filter(|link| link.host == *host) {
            links += 1;
            sound += u32::from(connection.sound);
        }
        if let Some(record) = self.records.get_mut(host) {
            record.links = links;
            record.sound = sound;
        }
    }
}
