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
use std::ops::Bound;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Member;
use super::Message;
use super::Place;
use super::Rumor;
use super::State;
use super::View;
use super::accrual::Accrual;
use super::merge::Listed;
use super::merge::Record;
use super::merge::Told;
use crate::host;
use crate::host::Identity;

/// Suspicion above which a link counts as dead.
const PHI_MAX: f64 = 8.0;
/// How long a broken link may take to come back before its host is suspected.
const RECONNECT: Duration = Duration::from_millis(1500);
/// How long a host is kept that no list names, after the last evidence of it.
const UNLISTED_KEPT: Duration = Duration::from_secs(60);
/// Older lists in a row are believed after this long: the platform's clock
/// was set back.
const LIST_ERA: Duration = Duration::from_secs(600);
/// Suspicions within [`FLAP_WINDOW`] after which a host is held back.
const FLAPS_MAX: u32 = 3;
/// How far back suspicions count as flapping.
const FLAP_WINDOW: Duration = Duration::from_secs(60);
/// How long a flapping host is held back at first; doubles with each flap.
const HOLD_MIN: Duration = Duration::from_secs(2);
/// The longest that it is held back.
const HOLD_MAX: Duration = Duration::from_secs(30);
/// Peers that are told news at once.
const FANOUT: usize = 3;
/// How often news are told.
pub const NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// How often one host more is told to one peer, news or not: what got lost
/// everywhere else is so repaired in the end.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Rumors in one message of news.
const NEWS_MAX: usize = 16;
/// Rumors in one message of an answer.
const ANSWER_MAX: usize = 256;
/// How often each rumor is told, times the logarithm of the number of hosts.
const RETELL: u32 = 3;
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
pub fn list_interval(hosts: usize, bytes: usize) -> Duration {
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
        silent: bool,
        /// This process let go of it.
        forgotten: bool,
    },
    /// Something last arrived on the link at this time.
    Heard {
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
    Listed {
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
    ListWentBack {
        /// By how much, in milliseconds.
        by_ms: u64,
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
    pub fn open(own: Identity, seed: u64) -> Roster {
        Roster {
            own,
            denials: 0,
            leaving: false,
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
        self.changed |= !matches!(event, Event::Heard { .. } | Event::Tick);
        match event {
            Event::Up { link, peer, dialed } => self.up(now, link, &peer, dialed, &mut actions),
            Event::Down {
                link,
                silent,
                forgotten,
            } => self.down(now, link, silent, forgotten),
            Event::Heard { link, at } => {
                if let Some(connection) = self.links.get_mut(&link) {
                    connection.accrual.arrive(at);
                }
            }
            Event::Announced { link, leaving } => self.announced(now, link, leaving),
            Event::Message { link, message } => self.receive(now, link, message, &mut actions),
            Event::Listed { as_of_ms, hosts } => self.list(now, as_of_ms, hosts, &mut actions),
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
                self.spread(&peer.host);
            }
        }
        self.hold_if_flapping(now, &peer.host);
    }

    fn down(&mut self, now: Duration, link: Link, silent: bool, forgotten: bool) {
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
        let telling = !forgotten && (connection.dialed || silent);
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

    fn receive(&mut self, now: Duration, link: Link, message: Message, actions: &mut Vec<Action>) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        let near = connection.region == self.own.region;
        match message {
            Message::Ask => self.tell_all(link, actions),
            Message::News(rumors) => {
                for rumor in rumors {
                    self.hear(now, rumor, near);
                }
            }
        }
    }

    fn tell_all(&self, link: Link, actions: &mut Vec<Action>) {
        let mut rumors = vec![self.own_rumor()];
        rumors.extend(
            self.records
                .iter()
                .filter_map(|(host, record)| rumor(host, record)),
        );
        for chunk in rumors.chunks(ANSWER_MAX) {
            let message = Message::News(chunk.to_vec());
            actions.push(Action::Send { link, message });
        }
    }

    fn hear(&mut self, now: Duration, rumor: Rumor, near: bool) {
        if rumor.host == self.own.host {
            self.hear_of_self(&rumor);
            return;
        }
        if self.records.len() >= HOSTS_MAX && !self.records.contains_key(&rumor.host) {
            return;
        }
        // An address told across regions need not work from here.
        let address_known = near && rumor.place.region == self.own.region;
        let record = self.records.entry(rumor.host.clone()).or_default();
        let news = match &record.told {
            None => true,
            Some(told) => supersedes(&rumor, told),
        };
        if !news {
            return;
        }
        let kept = record.told.as_ref().is_some_and(|told| {
            told.incarnation == rumor.incarnation && told.address_known && !address_known
        });
        let place = match (&record.told, kept) {
            (Some(told), true) => told.place.clone(),
            _ => rumor.place,
        };
        record.evidence_at = now;
        record.told = Some(Told {
            incarnation: rumor.incarnation,
            denials: rumor.denials,
            state: rumor.state,
            place,
            address_known: address_known || kept,
        });
        self.spread(&rumor.host);
    }

    /// Others think that this process is gone: it knows better.
    fn hear_of_self(&mut self, rumor: &Rumor) {
        let current = rumor.incarnation == self.own.incarnation;
        if current && rumor.state == State::Suspect && rumor.denials >= self.denials {
            self.denials = rumor.denials + 1;
            self.spread(&self.own.host.clone());
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
            let by_ms = newest - as_of_ms;
            actions.push(Action::ListWentBack { by_ms });
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
            self.list_one(member);
        }
        for (host, record) in &mut self.records {
            match &mut record.listed {
                Some(listed) if !named.contains(host) => listed.gone = true,
                _ => {}
            }
        }
    }

    fn list_one(&mut self, member: Member) {
        let record = self.records.entry(member.host.clone()).or_default();
        let incarnation = record.told.as_ref().map_or(0, |told| told.incarnation);
        let leaving = member.state == State::Leaving;
        let before = record
            .listed
            .as_ref()
            .and_then(|listed| listed.leaving_since);
        let leaving_since = leaving.then(|| before.unwrap_or(incarnation.max(member.incarnation)));
        record.listed = Some(Listed {
            member,
            leaving_since,
            gone: false,
        });
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

    fn suspect_silent(&mut self, now: Duration) {
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

    fn suspect_broken(&mut self, now: Duration) {
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
    fn suspect(&mut self, now: Duration, host: &host::Name) {
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
    fn trust(&mut self, now: Duration, host: &host::Name) {
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

    fn hold_if_flapping(&mut self, now: Duration, host: &host::Name) {
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
        self.flaps
            .retain(|host, flaps| records.contains_key(host) && now < flaps.last + FLAP_WINDOW);
    }

    fn tell_news(&mut self, actions: &mut Vec<Action>) {
        if self.news.is_empty() || self.links.is_empty() {
            return;
        }
        let links: Vec<Link> = self.links.keys().copied().collect();
        for _ in 0..FANOUT.min(links.len()) {
            let link = links[self.rng.random_range(0..links.len())];
            let rumors = self.next_rumors();
            if rumors.is_empty() {
                return;
            }
            let message = Message::News(rumors);
            actions.push(Action::Send { link, message });
        }
    }

    /// Tells the next host in turn to a peer at random.
    fn repair(&mut self, actions: &mut Vec<Action>) {
        let links: Vec<Link> = self.links.keys().copied().collect();
        if links.is_empty() {
            return;
        }
        let after = match self.repaired.take() {
            Some(host) => Bound::Excluded(host),
            None => Bound::Unbounded,
        };
        let mut rest = self.records.range((after, Bound::Unbounded));
        let next = rest.find_map(|(host, record)| rumor(host, record));
        let rumor = match next {
            Some(rumor) => {
                self.repaired = Some(rumor.host.clone());
                rumor
            }
            None => self.own_rumor(),
        };
        let link = links[self.rng.random_range(0..links.len())];
        let message = Message::News(vec![rumor]);
        actions.push(Action::Send { link, message });
    }

    /// The news told least often so far.
    fn next_rumors(&mut self) -> Vec<Rumor> {
        let mut due: Vec<(u32, host::Name)> = self
            .news
            .iter()
            .map(|(host, left)| (*left, host.clone()))
            .collect();
        due.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        due.truncate(NEWS_MAX);
        let mut rumors = Vec::new();
        for (left, host) in due {
            match left {
                0 | 1 => self.news.remove(&host),
                _ => self.news.insert(host.clone(), left - 1),
            };
            if host == self.own.host {
                rumors.push(self.own_rumor());
            } else if let Some(record) = self.records.get(&host) {
                rumors.extend(rumor(&host, record));
            }
        }
        rumors
    }

    fn own_rumor(&self) -> Rumor {
        Rumor {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
            denials: self.denials,
            state: match self.leaving {
                true => State::Leaving,
                false => State::Live,
            },
            place: Place::from(&self.own),
        }
    }

    fn spread(&mut self, host: &host::Name) {
        let hosts = self.records.len() as u32 + 2;
        let times = RETELL * (u32::BITS - hosts.leading_zeros());
        self.news.insert(host.clone(), times);
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

fn rumor(host: &host::Name, record: &Record) -> Option<Rumor> {
    let told = record.told.as_ref()?;
    Some(Rumor {
        host: host.clone(),
        incarnation: told.incarnation,
        denials: told.denials,
        state: told.state,
        place: told.place.clone(),
    })
}

/// Whether a rumor says more than what is known: of a later process, or of the
/// same one a later denial, or of the same denial a worse state.
fn supersedes(rumor: &Rumor, told: &Told) -> bool {
    let severity = |state: State| match state {
        State::Live => 0,
        State::Suspect => 1,
        State::Leaving => 2,
    };
    // Leaving is the last word of a process: no denial takes it back.
    let left = |state: State| state == State::Leaving;
    let ours = (
        told.incarnation,
        left(told.state),
        told.denials,
        severity(told.state),
    );
    let theirs = (
        rumor.incarnation,
        left(rumor.state),
        rumor.denials,
        severity(rumor.state),
    );
    theirs > ours
}
