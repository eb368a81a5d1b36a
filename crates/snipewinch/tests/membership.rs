//! The merge of membership list, links and gossip under loss, delay, restarts,
//! partitions, and lists that lag, go back in time or cannot be read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::host;
use snipewinch::host::Identity;
use snipewinch::host::Role;
use snipewinch::membership::Endpoint;
use snipewinch::membership::ListStatus;
use snipewinch::membership::Member;
use snipewinch::membership::Message;
use snipewinch::membership::Roster;
use snipewinch::membership::State;
use snipewinch::membership::Update;
use snipewinch::membership::roster::Action;
use snipewinch::membership::roster::Event;

const TICK: Duration = Duration::from_millis(100);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);

fn identity(index: usize, incarnation: u64) -> Identity {
    Identity {
        host: format!("host-{index}").as_str().into(),
        incarnation,
        role: if index < 2 { Role::Entry } else { Role::Agent },
        zone: "zone-1".into(),
        region: "region-1".into(),
        service: None,
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16)),
    }
}

fn listed(index: usize, state: State) -> Member {
    let identity = identity(index, 0);
    Member {
        host: identity.host,
        role: identity.role,
        zone: identity.zone,
        region: identity.region,
        service: None,
        address: identity.address,
        state,
        incarnation: 0,
    }
}

fn update(index: usize, incarnation: u64, refutations: u32, state: State) -> Update {
    Update {
        host: identity(index, 0).host,
        incarnation,
        refutations,
        state,
        endpoint: Endpoint::from(&identity(index, incarnation)),
        list_status: None,
    }
}

/// A roster with simulated time and links.
struct Harness {
    roster: Roster,
    now: Duration,
    heartbeating: Vec<u64>,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            roster: Roster::new(identity(0, 1), 7),
            now: Duration::ZERO,
            heartbeating: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.roster.handle(self.now, event)
    }

    fn up(&mut self, link: u64, index: usize, incarnation: u64) {
        let peer = identity(index, incarnation);
        let dialed = true;
        self.handle(Event::Up { link, peer, dialed });
        self.heartbeating.push(link);
    }

    fn down(&mut self, link: u64) {
        self.heartbeating.retain(|other| *other != link);
        let (timed_out, closed_locally) = (false, false);
        self.handle(Event::Down {
            link,
            timed_out,
            closed_locally,
        });
    }

    fn list(&mut self, as_of_ms: u64, members: &[(usize, State)]) -> Vec<Action> {
        let hosts = members
            .iter()
            .map(|(index, state)| listed(*index, *state))
            .collect();
        self.handle(Event::ListRead { as_of_ms, hosts })
    }

    fn gossip(&mut self, link: u64, update: Update) {
        let message = Message::Gossip(vec![update]);
        self.handle(Event::Message { link, message });
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            let heartbeats = self.now.as_millis() / HEARTBEAT_INTERVAL.as_millis();
            let at = HEARTBEAT_INTERVAL * heartbeats as u32;
            for link in self.heartbeating.clone() {
                self.handle(Event::Received { link, at });
            }
            self.handle(Event::Tick);
        }
    }

    fn state(&self, index: usize) -> Option<State> {
        self.member(index).map(|member| member.state)
    }

    fn member(&self, index: usize) -> Option<Member> {
        let name = identity(index, 0).host;
        let view = self.roster.view(self.now);
        view.members.into_iter().find(|member| member.host == name)
    }
}

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
const LIVE: Option<State> = Some(State::Live);
const SUSPECT: Option<State> = Some(State::Suspect);
const LEAVING: Option<State> = Some(State::Leaving);

/// A name, what happens to host 2, and its expected state as seen by host 0.
type Case = (&'static str, fn(&mut Harness), Option<State>);

const CASES: &[Case] = &[
    (
        "a host that only the list names",
        |harness| drop(harness.list(1, &[(2, State::Live)])),
        LIVE,
    ),
    (
        "the list says leaving",
        |harness| drop(harness.list(1, &[(2, State::Leaving)])),
        LEAVING,
    ),
    (
        "the list says leaving while the link is healthy",
        |harness| {
            harness.up(1, 2, 5);
            harness.list(1, &[(2, State::Leaving)]);
        },
        LEAVING,
    ),
    (
        "the process announces leaving while the list says live",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.up(1, 2, 5);
            harness.handle(Event::Announced {
                link: 1,
                leaving: true,
            });
        },
        LEAVING,
    ),
    (
        "a linked host that is not on the list",
        |harness| {
            harness.list(1, &[]);
            harness.up(1, 2, 5);
            harness.advance(SECOND * 120);
        },
        LIVE,
    ),
    (
        "a link without arrivals",
        |harness| {
            harness.up(1, 2, 5);
            harness.advance(SECOND * 5);
            harness.heartbeating.clear();
            harness.advance(SECOND * 3);
        },
        SUSPECT,
    ),
    (
        "a suspected link with new arrivals",
        |harness| {
            harness.up(1, 2, 5);
            harness.heartbeating.clear();
            harness.advance(SECOND * 4);
            harness.heartbeating.push(1);
            harness.advance(SECOND * 2);
        },
        LIVE,
    ),
    (
        "a broken link that does not reconnect",
        |harness| {
            harness.up(1, 2, 5);
            harness.down(1);
            harness.advance(SECOND * 2);
        },
        SUSPECT,
    ),
    (
        "a broken link that reconnects within the grace period",
        |harness| {
            harness.up(1, 2, 5);
            harness.down(1);
            harness.advance(SECOND);
            harness.up(2, 2, 5);
            harness.advance(SECOND * 2);
        },
        LIVE,
    ),
    (
        "a link closed by the peer that dialed it",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            let peer = identity(2, 5);
            harness.handle(Event::Up {
                link: 1,
                peer,
                dialed: false,
            });
            harness.down(1);
            harness.advance(SECOND * 5);
        },
        LIVE,
    ),
    (
        "a healthy link takes precedence over gossip",
        |harness| {
            harness.up(1, 2, 5);
            harness.up(2, 3, 5);
            harness.gossip(2, update(2, 5, 0, State::Suspect));
        },
        LIVE,
    ),
    (
        "gossip applies where there is no link",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.up(2, 3, 5);
            harness.gossip(2, update(2, 5, 0, State::Suspect));
        },
        SUSPECT,
    ),
    (
        "a refutation takes precedence over the suspicion it refutes",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.up(2, 3, 5);
            harness.gossip(2, update(2, 5, 0, State::Suspect));
            harness.gossip(2, update(2, 5, 1, State::Live));
            harness.gossip(2, update(2, 5, 0, State::Suspect));
        },
        LIVE,
    ),
    (
        "a refutation does not take leaving back",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.up(2, 3, 5);
            harness.gossip(2, update(2, 5, 0, State::Leaving));
            harness.gossip(2, update(2, 5, 9, State::Live));
        },
        LEAVING,
    ),
    (
        "a later process on the host of one that left",
        |harness| {
            harness.up(1, 2, 5);
            harness.list(1, &[(2, State::Leaving)]);
            harness.handle(Event::Announced {
                link: 1,
                leaving: true,
            });
            harness.down(1);
            harness.up(2, 2, 6);
        },
        LIVE,
    ),
    (
        "a late update on an earlier process",
        |harness| {
            harness.up(1, 2, 6);
            harness.up(2, 3, 5);
            harness.gossip(2, update(2, 5, 7, State::Leaving));
        },
        LIVE,
    ),
    (
        "removed from the list and without a link",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.list(2, &[]);
        },
        None,
    ),
    (
        "removed from the list while linked",
        |harness| {
            harness.up(1, 2, 5);
            harness.list(1, &[(2, State::Live)]);
            harness.list(2, &[]);
        },
        LEAVING,
    ),
    (
        "a list that goes back in time",
        |harness| {
            harness.list(9, &[(2, State::Live)]);
            harness.list(3, &[]);
            harness.advance(SECOND * 30);
            harness.list(4, &[]);
        },
        LIVE,
    ),
    (
        "the clock of the platform was set back for good",
        |harness| {
            harness.list(9_000_000, &[(2, State::Live)]);
            harness.list(1, &[]);
            harness.advance(SECOND * 601);
            harness.list(2, &[]);
        },
        None,
    ),
    (
        "no list for an hour",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.advance(HOUR);
        },
        LIVE,
    ),
    (
        "no list for an hour and a broken link",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            harness.up(1, 2, 5);
            harness.down(1);
            harness.advance(HOUR);
        },
        SUSPECT,
    ),
    (
        "only an old update, and not on the list",
        |harness| {
            harness.list(1, &[]);
            harness.up(2, 3, 5);
            harness.gossip(2, update(2, 5, 0, State::Live));
            harness.advance(SECOND * 61);
        },
        None,
    ),
    (
        "a flapping host is damped while its link is up",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            for flap in 0..5 {
                harness.up(10 + flap, 2, 5);
                harness.advance(SECOND * 3);
                harness.down(10 + flap);
                harness.advance(SECOND * 2);
            }
            harness.up(20, 2, 5);
            harness.advance(SECOND);
        },
        SUSPECT,
    ),
    (
        "a host that flapped and then stayed up",
        |harness| {
            harness.list(1, &[(2, State::Live)]);
            for flap in 0..5 {
                harness.up(10 + flap, 2, 5);
                harness.advance(SECOND * 3);
                harness.down(10 + flap);
                harness.advance(SECOND * 2);
            }
            harness.up(20, 2, 5);
            harness.advance(SECOND * 31);
        },
        LIVE,
    ),
];

#[test]
fn the_merged_state_follows_the_order_of_precedence() {
    for (name, happens, expected) in CASES {
        let mut harness = Harness::new();
        happens(&mut harness);
        assert_eq!(harness.state(2), *expected, "{name}");
    }
}

#[test]
fn of_two_hosts_with_one_address_the_higher_incarnation_is_shown() {
    let mut harness = Harness::new();
    harness.list(1, &[(2, State::Live)]);
    harness.up(1, 2, 5);
    harness.down(1);
    let mut successor = identity(3, 9);
    successor.address = identity(2, 0).address;
    harness.handle(Event::Up {
        link: 2,
        peer: successor,
        dialed: true,
    });
    assert_eq!(harness.member(2), None);
    assert_eq!(harness.state(3), LIVE);
}

#[test]
fn a_host_in_another_region_is_reached_at_its_listed_address() {
    let mut harness = Harness::new();
    let mut far = identity(2, 5);
    far.region = "region-2".into();
    let mut member = listed(2, State::Live);
    member.region = far.region.clone();
    member.address = SocketAddr::from(([127, 0, 0, 9], 9000));
    let listed_address = member.address;
    harness.handle(Event::ListRead {
        as_of_ms: 1,
        hosts: vec![member],
    });
    harness.handle(Event::Up {
        link: 1,
        peer: far,
        dialed: true,
    });
    assert_eq!(
        harness.member(2).map(|member| member.address),
        Some(listed_address)
    );
}

#[test]
fn a_process_refutes_a_suspicion_of_itself() {
    let mut harness = Harness::new();
    harness.up(1, 2, 5);
    harness.advance(SECOND * 60);
    harness.gossip(1, update(0, 1, 0, State::Suspect));
    let mut sent = Vec::new();
    for _ in 0..10 {
        harness.now += TICK;
        sent.extend(harness.handle(Event::Tick));
    }
    let refuted = sent.iter().any(|action| match action {
        Action::Send {
            message: Message::Gossip(updates),
            ..
        } => updates
            .iter()
            .any(|update| update.host == identity(0, 0).host && update.refutations == 1),
        _ => false,
    });
    assert!(refuted, "no refutation among the actions: {sent:?}");
}

/// Returns the number of updates sent in the next minute.
fn updates_sent_in_a_minute(harness: &mut Harness) -> usize {
    let mut sent = 0;
    for _ in 0..600 {
        harness.now += TICK;
        let link = 1;
        let at = harness.now;
        harness.handle(Event::Received { link, at });
        for action in harness.handle(Event::Tick) {
            if let Action::Send {
                message: Message::Gossip(updates),
                ..
            } = action
            {
                sent += updates.len();
            }
        }
    }
    sent
}

#[test]
fn snapshots_and_updates_received_at_startup_are_not_relayed() {
    let all = (2..200).map(|index| update(index, 5, 0, State::Live));
    let all: Vec<Update> = all.collect();
    for message in [Message::Snapshot(all.clone()), Message::Gossip(all)] {
        let mut harness = Harness::new();
        harness.up(1, 1, 5);
        harness.handle(Event::Message { link: 1, message });
        // Anti-entropy sends one update a second.
        let sent = updates_sent_in_a_minute(&mut harness);
        assert!(sent <= 61, "updates sent: {sent}");
    }
}

#[test]
fn an_update_is_relayed_a_bounded_number_of_times() {
    let mut harness = Harness::new();
    harness.up(1, 1, 5);
    harness.advance(SECOND * 60);
    harness.gossip(1, update(2, 5, 0, State::Live));
    let sent = updates_sent_in_a_minute(&mut harness);
    assert!((62..62 + 30).contains(&sent), "updates sent: {sent}");
}

// A cluster of rosters with simulated links.

const HOSTS: usize = 16;

struct Cluster {
    rng: ChaCha8Rng,
    rosters: Vec<Roster>,
    incarnations: Vec<u64>,
    /// Pairs of hosts with a link between them.
    links: BTreeMap<(usize, usize), u64>,
    next_link: u64,
    in_flight: Vec<(Duration, usize, u64, Message)>,
    sent: usize,
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let rosters = (0..HOSTS)
            .map(|index| Roster::new(identity(index, 1), seed))
            .collect();
        Cluster {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rosters,
            incarnations: vec![1; HOSTS],
            links: BTreeMap::new(),
            next_link: 1,
            in_flight: Vec::new(),
            sent: 0,
        }
    }

    fn pairs() -> Vec<(usize, usize)> {
        let adjacent = (0..HOSTS).map(|index| (index, (index + 1) % HOSTS));
        let distant = (0..HOSTS).map(|index| (index, (index + 5) % HOSTS));
        adjacent.chain(distant).collect()
    }

    fn connect(&mut self, now: Duration, pair: (usize, usize)) {
        if self.links.contains_key(&pair) {
            return;
        }
        let link = self.next_link;
        self.next_link += 1;
        self.links.insert(pair, link);
        for (index, other, dialed) in [(pair.0, pair.1, true), (pair.1, pair.0, false)] {
            let peer = identity(other, self.incarnations[other]);
            self.dispatch(now, index, Event::Up { link, peer, dialed });
        }
    }

    fn disconnect(&mut self, now: Duration, pair: (usize, usize)) {
        let Some(link) = self.links.remove(&pair) else {
            return;
        };
        for index in [pair.0, pair.1] {
            let (timed_out, closed_locally) = (true, false);
            self.dispatch(
                now,
                index,
                Event::Down {
                    link,
                    timed_out,
                    closed_locally,
                },
            );
        }
    }

    fn dispatch(&mut self, now: Duration, index: usize, event: Event) {
        for action in self.rosters[index].handle(now, event) {
            if let Action::Send { link, message } = action {
                let pair = self.links.iter().find(|(_, known)| **known == link);
                let Some((&(a, b), _)) = pair else {
                    continue;
                };
                let to = if a == index { b } else { a };
                self.sent += 1;
                let copies = self.rng.random_range(0..10).clamp(1, 2);
                for _ in 0..copies {
                    let due = now + Duration::from_millis(self.rng.random_range(1..400));
                    self.in_flight.push((due, to, link, message.clone()));
                }
            }
        }
    }

    fn step(&mut self, now: Duration) {
        let links: Vec<((usize, usize), u64)> = self
            .links
            .iter()
            .map(|(pair, link)| (*pair, *link))
            .collect();
        for ((a, b), link) in links {
            for index in [a, b] {
                self.dispatch(now, index, Event::Received { link, at: now });
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        for (_, to, link, message) in due {
            if self.links.values().any(|known| *known == link) {
                self.dispatch(now, to, Event::Message { link, message });
            }
        }
        for index in 0..HOSTS {
            self.dispatch(now, index, Event::Tick);
        }
    }

    fn restart(&mut self, now: Duration, seed: u64, index: usize) {
        let pairs: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for pair in pairs {
            if pair.0 == index || pair.1 == index {
                self.disconnect(now, pair);
            }
        }
        self.incarnations[index] += 1;
        self.rosters[index] = Roster::new(identity(index, self.incarnations[index]), seed);
    }
}

#[test]
fn all_hosts_converge_on_one_view_after_the_faults_end() {
    for seed in 0..40 {
        check_convergence(seed);
    }
}

fn check_convergence(seed: u64) {
    let mut cluster = Cluster::new(seed);
    let mut now = Duration::ZERO;
    for step in 0..900u64 {
        // Anti-entropy needs more time to converge, hence the longer steps.
        now += if step < 500 { TICK } else { TICK * 5 };
        for pair in Cluster::pairs() {
            match cluster.rng.random_range(0..100) {
                0 if step < 500 => cluster.disconnect(now, pair),
                1..=20 => cluster.connect(now, pair),
                _ => {}
            }
        }
        if step < 500 && cluster.rng.random_bool(0.02) {
            let index = cluster.rng.random_range(0..HOSTS);
            cluster.restart(now, seed, index);
        }
        if step % 50 == 0 {
            let hosts: Vec<Member> = (0..HOSTS).map(|index| listed(index, State::Live)).collect();
            for index in 0..HOSTS {
                // Some reads of the list lag, others fail.
                if cluster.rng.random_bool(0.7) {
                    let as_of_ms = 1_000_000 + step - cluster.rng.random_range(0..60).min(step);
                    let hosts = hosts.clone();
                    cluster.dispatch(now, index, Event::ListRead { as_of_ms, hosts });
                }
            }
        }
        cluster.step(now);
    }
    for observer in 0..HOSTS {
        let view = cluster.rosters[observer].view(now);
        let seen: BTreeMap<host::Name, (State, u64)> = view
            .members
            .into_iter()
            .map(|member| (member.host, (member.state, member.incarnation)))
            .collect();
        for index in 0..HOSTS {
            let expected = (State::Live, cluster.incarnations[index]);
            let name = identity(index, 0).host;
            assert_eq!(
                seen.get(&name),
                Some(&expected),
                "seed {seed}: {name} as seen by host-{observer}"
            );
        }
    }
}

/// A status of a host on the list that a peer gossips.
struct ListStatusCase {
    name: &'static str,
    list_ms: u64,
    leaving: bool,
    state: Option<State>,
}

/// Before each, the host is listed as live at 1,000 ms on the list's clock.
const LIST_STATUS_CASES: &[ListStatusCase] = &[
    ListStatusCase {
        name: "a later list says leaving",
        list_ms: 2000,
        leaving: true,
        state: LEAVING,
    },
    ListStatusCase {
        name: "an older list says leaving",
        list_ms: 900,
        leaving: true,
        state: LIVE,
    },
    ListStatusCase {
        name: "a later list says live as before",
        list_ms: 2000,
        leaving: false,
        state: LIVE,
    },
];

#[test]
fn the_gossiped_status_of_a_newer_list_applies() {
    for case in LIST_STATUS_CASES {
        let mut harness = Harness::new();
        harness.up(1, 1, 5);
        harness.up(2, 2, 5);
        harness.list(1000, &[(1, State::Live), (2, State::Live)]);
        let mut update = update(2, 5, 0, State::Live);
        update.list_status = Some(ListStatus {
            as_of_ms: case.list_ms,
            leaving: case.leaving,
        });
        harness.gossip(1, update);
        assert_eq!(harness.state(2), case.state, "{}", case.name);
        // A list read late does not override the status of a newer list.
        harness.list(1500, &[(1, State::Live), (2, State::Live)]);
        assert_eq!(harness.state(2), case.state, "{}, then 1500", case.name);
        harness.list(3000, &[(1, State::Live), (2, State::Live)]);
        assert_eq!(harness.state(2), LIVE, "{}, then 3000", case.name);
    }
}

#[test]
fn a_host_listed_as_leaving_is_gossiped() {
    let mut harness = Harness::new();
    harness.up(1, 1, 5);
    harness.up(2, 2, 5);
    harness.list(1000, &[(1, State::Live), (2, State::Live)]);
    harness.advance(SECOND * 30);
    harness.list(2000, &[(1, State::Live), (2, State::Leaving)]);
    let mut gossiped = false;
    for _ in 0..20 {
        harness.now += TICK;
        for action in harness.handle(Event::Tick) {
            if let Action::Send {
                message: Message::Gossip(updates),
                ..
            } = action
            {
                gossiped |= updates.iter().any(|update| {
                    let status = update.list_status.filter(|status| status.leaving);
                    update.host == identity(2, 0).host && status.is_some()
                });
            }
        }
    }
    assert!(gossiped, "no update with the leaving status was sent");
}
