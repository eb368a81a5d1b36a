//! The merge of list, links and hearsay under loss, delay, restart, partition
//! and lists that lag, go back or stay away.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::host;
use snipewinch::host::Identity;
use snipewinch::host::Role;
use snipewinch::membership::Member;
use snipewinch::membership::Message;
use snipewinch::membership::Place;
use snipewinch::membership::Roster;
use snipewinch::membership::Rumor;
use snipewinch::membership::State;
use snipewinch::membership::Word;
use snipewinch::membership::roster::Action;
use snipewinch::membership::roster::Event;

const TICK: Duration = Duration::from_millis(100);
const BEAT: Duration = Duration::from_millis(750);

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

fn rumor(index: usize, incarnation: u64, denials: u32, state: State) -> Rumor {
    Rumor {
        host: identity(index, 0).host,
        incarnation,
        denials,
        state,
        place: Place::from(&identity(index, incarnation)),
        listed: None,
    }
}

/// One roster, and the time.
struct Bench {
    roster: Roster,
    now: Duration,
    beating: Vec<u64>,
}

impl Bench {
    fn open() -> Bench {
        Bench {
            roster: Roster::new(identity(0, 1), 7),
            now: Duration::ZERO,
            beating: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.roster.handle(self.now, event)
    }

    fn up(&mut self, link: u64, index: usize, incarnation: u64) {
        let peer = identity(index, incarnation);
        let dialed = true;
        self.handle(Event::Up { link, peer, dialed });
        self.beating.push(link);
    }

    fn down(&mut self, link: u64) {
        self.beating.retain(|beating| *beating != link);
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

    fn hear(&mut self, link: u64, rumor: Rumor) {
        let message = Message::News(vec![rumor]);
        self.handle(Event::Message { link, message });
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let beats = self.now.as_millis() / BEAT.as_millis();
            let at = BEAT * beats as u32;
            for link in self.beating.clone() {
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

/// What happens to host 2, seen from host 0, and how it must be seen then.
type Case = (&'static str, fn(&mut Bench), Option<State>);

const CASES: &[Case] = &[
    (
        "the list alone",
        |b| drop(b.list(1, &[(2, State::Live)])),
        LIVE,
    ),
    (
        "the list says leaving",
        |b| drop(b.list(1, &[(2, State::Leaving)])),
        LEAVING,
    ),
    (
        "the list says leaving though the link is sound",
        |b| {
            b.up(1, 2, 5);
            b.list(1, &[(2, State::Leaving)]);
        },
        LEAVING,
    ),
    (
        "the process says leaving though the list does not",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.up(1, 2, 5);
            b.handle(Event::Announced {
                link: 1,
                leaving: true,
            });
        },
        LEAVING,
    ),
    (
        "a link, before any list names the host",
        |b| {
            b.list(1, &[]);
            b.up(1, 2, 5);
            b.pass(SECOND * 120);
        },
        LIVE,
    ),
    (
        "a link without a byte for long",
        |b| {
            b.up(1, 2, 5);
            b.pass(SECOND * 5);
            b.beating.clear();
            b.pass(SECOND * 3);
        },
        SUSPECT,
    ),
    (
        "a link that speaks again",
        |b| {
            b.up(1, 2, 5);
            b.beating.clear();
            b.pass(SECOND * 4);
            b.beating.push(1);
            b.pass(SECOND * 2);
        },
        LIVE,
    ),
    (
        "a broken link that does not come back",
        |b| {
            b.up(1, 2, 5);
            b.down(1);
            b.pass(SECOND * 2);
        },
        SUSPECT,
    ),
    (
        "a broken link that comes back at once",
        |b| {
            b.up(1, 2, 5);
            b.down(1);
            b.pass(SECOND);
            b.up(2, 2, 5);
            b.pass(SECOND * 2);
        },
        LIVE,
    ),
    (
        "a link that the peer no longer needs",
        |b| {
            b.list(1, &[(2, State::Live)]);
            let peer = identity(2, 5);
            b.handle(Event::Up {
                link: 1,
                peer,
                dialed: false,
            });
            b.down(1);
            b.pass(SECOND * 5);
        },
        LIVE,
    ),
    (
        "own eyes go before hearsay",
        |b| {
            b.up(1, 2, 5);
            b.up(2, 3, 5);
            b.hear(2, rumor(2, 5, 0, State::Suspect));
        },
        LIVE,
    ),
    (
        "hearsay goes before nothing",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.up(2, 3, 5);
            b.hear(2, rumor(2, 5, 0, State::Suspect));
        },
        SUSPECT,
    ),
    (
        "a denial goes before the suspicion it denies",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.up(2, 3, 5);
            b.hear(2, rumor(2, 5, 0, State::Suspect));
            b.hear(2, rumor(2, 5, 1, State::Live));
            b.hear(2, rumor(2, 5, 0, State::Suspect));
        },
        LIVE,
    ),
    (
        "no denial takes leaving back",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.up(2, 3, 5);
            b.hear(2, rumor(2, 5, 0, State::Leaving));
            b.hear(2, rumor(2, 5, 9, State::Live));
        },
        LEAVING,
    ),
    (
        "a later process under the name of one that left",
        |b| {
            b.up(1, 2, 5);
            b.list(1, &[(2, State::Leaving)]);
            b.handle(Event::Announced {
                link: 1,
                leaving: true,
            });
            b.down(1);
            b.up(2, 2, 6);
        },
        LIVE,
    ),
    (
        "late news of an earlier process",
        |b| {
            b.up(1, 2, 6);
            b.up(2, 3, 5);
            b.hear(2, rumor(2, 5, 7, State::Leaving));
        },
        LIVE,
    ),
    (
        "off the list and without a link",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.list(2, &[]);
        },
        None,
    ),
    (
        "off the list while the process still runs",
        |b| {
            b.up(1, 2, 5);
            b.list(1, &[(2, State::Live)]);
            b.list(2, &[]);
        },
        LEAVING,
    ),
    (
        "a list that goes back in time",
        |b| {
            b.list(9, &[(2, State::Live)]);
            b.list(3, &[]);
            b.pass(SECOND * 30);
            b.list(4, &[]);
        },
        LIVE,
    ),
    (
        "a clock of the platform that was set back for good",
        |b| {
            b.list(9_000_000, &[(2, State::Live)]);
            b.list(1, &[]);
            b.pass(SECOND * 601);
            b.list(2, &[]);
        },
        None,
    ),
    (
        "no list for an hour",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.pass(HOUR);
        },
        LIVE,
    ),
    (
        "no list for an hour and a broken link",
        |b| {
            b.list(1, &[(2, State::Live)]);
            b.up(1, 2, 5);
            b.down(1);
            b.pass(HOUR);
        },
        SUSPECT,
    ),
    (
        "hearsay alone, long ago",
        |b| {
            b.list(1, &[]);
            b.up(2, 3, 5);
            b.hear(2, rumor(2, 5, 0, State::Live));
            b.pass(SECOND * 61);
        },
        None,
    ),
    (
        "one that flaps is held back though its link is up",
        |b| {
            b.list(1, &[(2, State::Live)]);
            for flap in 0..5 {
                b.up(10 + flap, 2, 5);
                b.pass(SECOND * 3);
                b.down(10 + flap);
                b.pass(SECOND * 2);
            }
            b.up(20, 2, 5);
            b.pass(SECOND);
        },
        SUSPECT,
    ),
    (
        "one that flapped and then held",
        |b| {
            b.list(1, &[(2, State::Live)]);
            for flap in 0..5 {
                b.up(10 + flap, 2, 5);
                b.pass(SECOND * 3);
                b.down(10 + flap);
                b.pass(SECOND * 2);
            }
            b.up(20, 2, 5);
            b.pass(SECOND * 31);
        },
        LIVE,
    ),
];

#[test]
fn the_merge_follows_its_rule() {
    for (name, happens, expected) in CASES {
        let mut bench = Bench::open();
        happens(&mut bench);
        assert_eq!(bench.state(2), *expected, "{name}");
    }
}

#[test]
fn of_two_hosts_at_one_address_the_later_process_stands() {
    let mut bench = Bench::open();
    bench.list(1, &[(2, State::Live)]);
    bench.up(1, 2, 5);
    bench.down(1);
    let mut heir = identity(3, 9);
    heir.address = identity(2, 0).address;
    bench.handle(Event::Up {
        link: 2,
        peer: heir,
        dialed: true,
    });
    assert_eq!(bench.member(2), None);
    assert_eq!(bench.state(3), LIVE);
}

#[test]
fn an_address_from_another_region_is_not_used_here() {
    let mut bench = Bench::open();
    let mut far = identity(2, 5);
    far.region = "region-2".into();
    let mut member = listed(2, State::Live);
    member.region = far.region.clone();
    member.address = SocketAddr::from(([127, 0, 0, 9], 9000));
    let reached = member.address;
    bench.handle(Event::ListRead {
        as_of_ms: 1,
        hosts: vec![member],
    });
    bench.handle(Event::Up {
        link: 1,
        peer: far,
        dialed: true,
    });
    assert_eq!(bench.member(2).map(|member| member.address), Some(reached));
}

#[test]
fn a_process_that_hears_itself_suspected_denies_it() {
    let mut bench = Bench::open();
    bench.up(1, 2, 5);
    bench.pass(SECOND * 60);
    bench.hear(1, rumor(0, 1, 0, State::Suspect));
    let mut told = Vec::new();
    for _ in 0..10 {
        bench.now += TICK;
        told.extend(bench.handle(Event::Tick));
    }
    let denied = told.iter().any(|action| match action {
        Action::Send {
            message: Message::News(rumors),
            ..
        } => rumors
            .iter()
            .any(|rumor| rumor.host == identity(0, 0).host && rumor.denials == 1),
        _ => false,
    });
    assert!(denied, "{told:?}");
}

/// Rumors sent in the next minute.
fn told_in_a_minute(bench: &mut Bench) -> usize {
    let mut told = 0;
    for _ in 0..600 {
        bench.now += TICK;
        let link = 1;
        let at = bench.now;
        bench.handle(Event::Received { link, at });
        for action in bench.handle(Event::Tick) {
            if let Action::Send {
                message: Message::News(rumors),
                ..
            } = action
            {
                told += rumors.len();
            }
        }
    }
    told
}

#[test]
fn what_was_asked_for_or_found_at_the_start_is_not_retold() {
    let all = (2..200).map(|index| rumor(index, 5, 0, State::Live));
    let all: Vec<Rumor> = all.collect();
    for message in [Message::All(all.clone()), Message::News(all)] {
        let mut bench = Bench::open();
        bench.up(1, 1, 5);
        bench.handle(Event::Message { link: 1, message });
        // One a second goes out for repair.
        let told = told_in_a_minute(&mut bench);
        assert!(told <= 61, "{told}");
    }
}

#[test]
fn news_are_retold_a_bounded_number_of_times() {
    let mut bench = Bench::open();
    bench.up(1, 1, 5);
    bench.pass(SECOND * 60);
    bench.hear(1, rumor(2, 5, 0, State::Live));
    let told = told_in_a_minute(&mut bench);
    assert!((62..62 + 30).contains(&told), "{told}");
}

// ---- many rosters ---------------------------------------------------------

const HOSTS: usize = 16;

struct World {
    rng: ChaCha8Rng,
    rosters: Vec<Roster>,
    incarnations: Vec<u64>,
    /// Pairs with a link between them.
    links: BTreeMap<(usize, usize), u64>,
    next_link: u64,
    under_way: Vec<(Duration, usize, u64, Message)>,
    sent: usize,
}

impl World {
    fn open(seed: u64) -> World {
        let rosters = (0..HOSTS)
            .map(|index| Roster::new(identity(index, 1), seed))
            .collect();
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            rosters,
            incarnations: vec![1; HOSTS],
            links: BTreeMap::new(),
            next_link: 1,
            under_way: Vec::new(),
            sent: 0,
        }
    }

    fn pairs() -> Vec<(usize, usize)> {
        let beside = (0..HOSTS).map(|index| (index, (index + 1) % HOSTS));
        let across = (0..HOSTS).map(|index| (index, (index + 5) % HOSTS));
        beside.chain(across).collect()
    }

    fn connect(&mut self, now: Duration, pair: (usize, usize)) {
        if self.links.contains_key(&pair) {
            return;
        }
        let link = self.next_link;
        self.next_link += 1;
        self.links.insert(pair, link);
        for (at, other, dialed) in [(pair.0, pair.1, true), (pair.1, pair.0, false)] {
            let peer = identity(other, self.incarnations[other]);
            self.drive(now, at, Event::Up { link, peer, dialed });
        }
    }

    fn disconnect(&mut self, now: Duration, pair: (usize, usize)) {
        let Some(link) = self.links.remove(&pair) else {
            return;
        };
        for at in [pair.0, pair.1] {
            let (timed_out, closed_locally) = (true, false);
            self.drive(
                now,
                at,
                Event::Down {
                    link,
                    timed_out,
                    closed_locally,
                },
            );
        }
    }

    fn drive(&mut self, now: Duration, at: usize, event: Event) {
        for action in self.rosters[at].handle(now, event) {
            if let Action::Send { link, message } = action {
                let pair = self.links.iter().find(|(_, known)| **known == link);
                let Some((&(a, b), _)) = pair else {
                    continue;
                };
                let to = if a == at { b } else { a };
                self.sent += 1;
                let copies = self.rng.random_range(0..10).clamp(1, 2);
                for _ in 0..copies {
                    let due = now + Duration::from_millis(self.rng.random_range(1..400));
                    self.under_way.push((due, to, link, message.clone()));
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
            for at in [a, b] {
                self.drive(now, at, Event::Received { link, at: now });
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.under_way.drain(..).partition(|(at, ..)| *at <= now);
        self.under_way = later;
        for (_, to, link, message) in due {
            if self.links.values().any(|known| *known == link) {
                self.drive(now, to, Event::Message { link, message });
            }
        }
        for at in 0..HOSTS {
            self.drive(now, at, Event::Tick);
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
fn once_the_faults_end_all_see_the_same_hosts() {
    for seed in 0..40 {
        converge(seed);
    }
}

fn converge(seed: u64) {
    let mut world = World::open(seed);
    let mut now = Duration::ZERO;
    for step in 0..900u64 {
        // Repair takes its time, which passes in longer steps.
        now += if step < 500 { TICK } else { TICK * 5 };
        for pair in World::pairs() {
            match world.rng.random_range(0..100) {
                0 if step < 500 => world.disconnect(now, pair),
                1..=20 => world.connect(now, pair),
                _ => {}
            }
        }
        if step < 500 && world.rng.random_bool(0.02) {
            let index = world.rng.random_range(0..HOSTS);
            world.restart(now, seed, index);
        }
        if step % 50 == 0 {
            let hosts: Vec<Member> = (0..HOSTS).map(|index| listed(index, State::Live)).collect();
            for at in 0..HOSTS {
                // The list lags for some, and does not arrive at others.
                if world.rng.random_bool(0.7) {
                    let as_of_ms = 1_000_000 + step - world.rng.random_range(0..60).min(step);
                    let hosts = hosts.clone();
                    world.drive(now, at, Event::ListRead { as_of_ms, hosts });
                }
            }
        }
        world.step(now);
    }
    for at in 0..HOSTS {
        let view = world.rosters[at].view(now);
        let seen: BTreeMap<host::Name, (State, u64)> = view
            .members
            .into_iter()
            .map(|member| (member.host, (member.state, member.incarnation)))
            .collect();
        for index in 0..HOSTS {
            let expected = (State::Live, world.incarnations[index]);
            let name = identity(index, 0).host;
            assert_eq!(
                seen.get(&name),
                Some(&expected),
                "seed {seed}: {name} as host-{at} sees it"
            );
        }
    }
}

/// What a list said of a host, as a peer passes it on.
struct WordCase {
    name: &'static str,
    word_ms: u64,
    leaving: bool,
    state: Option<State>,
}

/// The host is listed as live at 1,000 ms of the list's clock before each.
const WORDS: &[WordCase] = &[
    WordCase {
        name: "a later list says that it leaves",
        word_ms: 2000,
        leaving: true,
        state: LEAVING,
    },
    WordCase {
        name: "an older list said that it leaves",
        word_ms: 900,
        leaving: true,
        state: LIVE,
    },
    WordCase {
        name: "a later list says what is known",
        word_ms: 2000,
        leaving: false,
        state: LIVE,
    },
];

#[test]
fn the_word_of_a_list_that_others_read_counts() {
    for case in WORDS {
        let mut bench = Bench::open();
        bench.up(1, 1, 5);
        bench.up(2, 2, 5);
        bench.list(1000, &[(1, State::Live), (2, State::Live)]);
        let mut rumor = rumor(2, 5, 0, State::Live);
        rumor.listed = Some(Word {
            as_of_ms: case.word_ms,
            leaving: case.leaving,
        });
        bench.hear(1, rumor);
        assert_eq!(bench.state(2), case.state, "{}", case.name);
        // A list read late does not take back what a later one said.
        bench.list(1500, &[(1, State::Live), (2, State::Live)]);
        assert_eq!(bench.state(2), case.state, "{}, then 1500", case.name);
        bench.list(3000, &[(1, State::Live), (2, State::Live)]);
        assert_eq!(bench.state(2), LIVE, "{}, then 3000", case.name);
    }
}

#[test]
fn who_reads_that_a_host_leaves_tells_it() {
    let mut bench = Bench::open();
    bench.up(1, 1, 5);
    bench.up(2, 2, 5);
    bench.list(1000, &[(1, State::Live), (2, State::Live)]);
    bench.pass(SECOND * 30);
    bench.list(2000, &[(1, State::Live), (2, State::Leaving)]);
    let mut told = false;
    for _ in 0..20 {
        bench.now += TICK;
        for action in bench.handle(Event::Tick) {
            if let Action::Send {
                message: Message::News(rumors),
                ..
            } = action
            {
                told |= rumors.iter().any(|rumor| {
                    let word = rumor.listed.filter(|word| word.leaving);
                    rumor.host == identity(2, 0).host && word.is_some()
                });
            }
        }
    }
    assert!(told, "nobody was told");
}
