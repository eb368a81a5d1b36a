//! Entries leave servers alone that ask them for rest or leave, in a model
//! without a network: connections that open late, answers that overtake each
//! other, servers that start anew.
//!
//! `REST_FACTOR=10` plays ten times as many seeds and prints the figures beside
//! those of entries that do not listen.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snipewinch::server_limit::Board;
use snipewinch::server_limit::Server;

const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(40);
/// How long after an answer requests may still arrive that were under way.
const UNDER_WAY: Duration = Duration::from_millis(500);
const SERVERS: usize = 12;
/// The requests at each entry per second.
const REQUESTS_PER_S: f64 = 8.0;
/// The rests that servers ask for, in seconds.
const RESTS_S: [f64; 4] = [0.75, 1.5, 3.0, 10.0];

/// What entries do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Remedy {
    Board,
    Ignored,
}

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Serving,
    /// It turns requests away and asks for rest.
    Resting {
        until: Duration,
        rest: Duration,
    },
    /// It says in all its answers that it leaves, and starts anew then.
    Leaving {
        until: Duration,
    },
}

struct Machine {
    run: u64,
    state: State,
    /// Until when it wants nothing from each entry, from when on it counts.
    wishes: BTreeMap<usize, Vec<(Duration, Duration)>>,
}

/// What happens later.
enum Event {
    /// The connection of an entry to a run of a server is open.
    Connected(usize, usize, u64),
    /// A request of an entry reaches a server.
    Arrives(usize, usize),
    /// An answer of a run of a server reaches an entry.
    Answered(usize, usize, u64, State),
}

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    sent: u64,
    /// Requests in the time for which the server wanted none, and the most of
    /// one entry in one such time.
    unwanted: u64,
    unwanted_most: u64,
    refused: u64,
}

struct Model {
    rng: ChaCha8Rng,
    remedy: Remedy,
    boards: Vec<Board>,
    machines: Vec<Machine>,
    events: BTreeMap<(Duration, u64), Event>,
    number: u64,
    unwanted: BTreeMap<(usize, usize, Duration), u64>,
    figures: Figures,
    now: Duration,
}

fn server(index: usize, run: u64) -> Server {
    Server::of(&format!("s{index}"), Some(run))
}

fn play(entries: usize, seed: u64, remedy: Remedy) -> Figures {
    let mut model = Model {
        rng: ChaCha8Rng::seed_from_u64(seed),
        remedy,
        boards: (0..entries)
            .map(|index| Board::open(format!("edge-{index}").as_str().into()))
            .collect(),
        machines: (0..SERVERS)
            .map(|_| Machine {
                run: 0,
                state: State::Serving,
                wishes: BTreeMap::new(),
            })
            .collect(),
        events: BTreeMap::new(),
        number: 0,
        unwanted: BTreeMap::new(),
        figures: Figures::default(),
        now: Duration::ZERO,
    };
    while model.now < LENGTH {
        model.step();
        model.now += STEP;
    }
    let most = model.unwanted.values().max().copied();
    model.figures.unwanted_most = most.unwrap_or(0);
    model.figures
}

impl Model {
    fn step(&mut self) {
        self.change_servers();
        let per_step = REQUESTS_PER_S * STEP.as_secs_f64();
        for entry in 0..self.boards.len() {
            if self.rng.random::<f64>() < per_step {
                self.place(entry);
            }
        }
        while let Some(first) = self.events.first_entry()
            && first.key().0 <= self.now
        {
            let event = first.remove();
            self.handle(event);
        }
    }

    fn change_servers(&mut self) {
        for index in 0..SERVERS {
            let is_due = self.rng.random::<f64>() < 0.1 * STEP.as_secs_f64();
            let length = Duration::from_secs_f64(self.rng.random_range(2.0..8.0));
            let rest_s = RESTS_S[self.rng.random_range(0..RESTS_S.len())];
            let leaves = self.rng.random::<f64>() < 0.3;
            let machine = &mut self.machines[index];
            let until = self.now + length;
            machine.state = match machine.state {
                State::Serving if is_due && leaves => State::Leaving { until },
                State::Serving if is_due => State::Resting {
                    until,
                    rest: Duration::from_secs_f64(rest_s),
                },
                State::Leaving { until } if until <= self.now => {
                    machine.run += 1;
                    machine.wishes.clear();
                    State::Serving
                }
                State::Resting { until, .. } if until <= self.now => State::Serving,
                state => state,
            };
        }
    }

    fn is_open(&self, entry: usize, index: usize, run: u64) -> bool {
        let board = &self.boards[entry];
        match self.remedy {
            Remedy::Board => board.admission(self.now, server(index, run)).is_open(),
            Remedy::Ignored => true,
        }
    }

    /// Chooses a server for a request and opens a connection to it.
    fn place(&mut self, entry: usize) {
        let open: Vec<usize> = (0..SERVERS)
            .filter(|index| self.is_open(entry, *index, self.machines[*index].run))
            .collect();
        if open.is_empty() {
            self.figures.refused += 1;
            return;
        }
        let index = open[self.rng.random_range(0..open.len())];
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(100..400),
            _ => self.rng.random_range(0..10),
        };
        let run = self.machines[index].run;
        self.later(delay, Event::Connected(entry, index, run));
    }

    fn later(&mut self, delay_ms: u64, event: Event) {
        self.number += 1;
        let at = self.now + Duration::from_millis(delay_ms);
        self.events.insert((at, self.number), event);
    }

    fn handle(&mut self, event: Event) {
        let delay = self.rng.random_range(1..20);
        match event {
            Event::Connected(entry, index, run) if !self.is_open(entry, index, run) => {
                self.place(entry);
            }
            Event::Connected(entry, index, run) => {
                let now = self.now;
                self.boards[entry].record_sent(now, server(index, run));
                self.later(delay, Event::Arrives(entry, index));
            }
            Event::Arrives(entry, index) => self.arrive(entry, index),
            Event::Answered(entry, index, run, state) => self.hear(entry, index, run, state),
        }
    }

    fn arrive(&mut self, entry: usize, index: usize) {
        let now = self.now;
        self.figures.sent += 1;
        let machine = &mut self.machines[index];
        let wishes = machine.wishes.entry(entry).or_default();
        for (from, until) in wishes.iter().copied() {
            if from + UNDER_WAY < now && now < until {
                self.figures.unwanted += 1;
                *self.unwanted.entry((entry, index, from)).or_default() += 1;
            }
        }
        match machine.state {
            State::Serving => {}
            State::Resting { rest, .. } => wishes.push((now, now + rest)),
            State::Leaving { .. } => wishes.push((now, now + LENGTH)),
        }
        let (run, state) = (machine.run, machine.state);
        let delay = self.rng.random_range(1..60);
        self.later(delay, Event::Answered(entry, index, run, state));
    }

    /// Takes over what an answer says.
    fn hear(&mut self, entry: usize, index: usize, run: u64, state: State) {
        let board = &mut self.boards[entry];
        let server = server(index, run);
        match state {
            State::Serving => {}
            State::Resting { rest, .. } => {
                board.record_rest(self.now, server, rest);
            }
            State::Leaving { .. } => {
                board.record_leaving(self.now, server);
            }
        }
    }
}

/// Plays all seeds of a fleet.
fn play_all(entries: usize, seeds: u64, remedy: Remedy) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..seeds {
        let figures = play(entries, seed, remedy);
        sum.sent += figures.sent;
        sum.unwanted += figures.unwanted;
        sum.refused += figures.refused;
        sum.unwanted_most = sum.unwanted_most.max(figures.unwanted_most);
    }
    println!("{entries} entries, {seeds} seeds, {remedy:?}: {sum:?}");
    sum
}

/// How many seeds to play, as a multiple of the few that are played by default.
fn seeds(default: u64) -> u64 {
    let factor = std::env::var("REST_FACTOR").ok();
    default * factor.map_or(1, |text| text.parse().expect("a number"))
}

fn assert_left_alone(entries: usize, seeds: u64) {
    let kept = play_all(entries, seeds, Remedy::Board);
    assert_eq!(kept.unwanted, 0, "{kept:?}");
    let ignored = play_all(entries, seeds, Remedy::Ignored);
    assert!(ignored.unwanted_most > 2, "{ignored:?}");
    assert!(kept.sent * 10 > ignored.sent * 9, "{kept:?} {ignored:?}");
}

/// Guards against requests to servers in the time for which they want none.
#[test]
fn servers_that_ask_for_rest_or_leave_are_left_alone_by_18_entries() {
    assert_left_alone(18, seeds(20));
}

/// Guards against the same in a larger fleet.
#[test]
fn servers_that_ask_for_rest_or_leave_are_left_alone_by_55_entries() {
    assert_left_alone(55, seeds(4));
}

/// Guards against the same in the largest fleet.
#[test]
fn servers_that_ask_for_rest_or_leave_are_left_alone_by_360_entries() {
    assert_left_alone(360, seeds(1));
}
