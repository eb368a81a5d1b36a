//! Embeds one part: processes in a line keep to the newest version of a
//! document, though only the first of them can read the table.
//!
//! `cargo run -p snipewinch --example configuration`

use std::collections::VecDeque;
use std::time::Duration;

use snipewinch::configuration::Message;
use snipewinch::configuration::Snapshot;
use snipewinch::configuration::follow::Action;
use snipewinch::configuration::follow::Event;
use snipewinch::configuration::follow::Follower;
use snipewinch::configuration::follow::RawDocument;
use snipewinch::document::Document;

const PROCESSES: usize = 4;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 60;
/// When an operator publishes the second version.
const CHANGE_AT: u32 = 20;

/// A message on its way; the links are numbered like the processes at their
/// other ends.
struct Letter {
    from: usize,
    to: usize,
    message: Message,
}

/// What the platform's table holds.
struct Table {
    version: u64,
    fleet: &'static str,
}

impl Table {
    fn in_force(&self) -> Snapshot {
        Snapshot::new(self.version, self.document())
    }

    fn document(&self) -> Document {
        Document {
            fleet: self.fleet.into(),
            ..Document::default()
        }
    }
}

struct Line {
    table: Table,
    followers: Vec<Follower>,
    letters: VecDeque<Letter>,
    now: Duration,
}

impl Line {
    fn open() -> Line {
        let followers = (0..PROCESSES)
            .map(|index| Follower::open(index as u64, index == 0))
            .collect();
        Line {
            table: Table {
                version: 1,
                fleet: "first",
            },
            followers,
            letters: VecDeque::new(),
            now: Duration::ZERO,
        }
    }

    fn neighbours(process: usize) -> impl Iterator<Item = usize> {
        let before = process.checked_sub(1);
        let after = Some(process + 1).filter(|next| *next < PROCESSES);
        before.into_iter().chain(after)
    }

    fn handle(&mut self, process: usize, event: Event) {
        for action in self.followers[process].handle(self.now, event) {
            self.act(process, action);
        }
    }

    fn act(&mut self, process: usize, action: Action) {
        match action {
            Action::Send(peer, message) => self.letters.push_back(Letter {
                from: process,
                to: peer as usize,
                message,
            }),
            Action::Poll => {
                let stamp = self.table.in_force().stamp();
                self.handle(process, Event::Polled(Some(stamp)));
            }
            Action::Fetch => {
                let text = RawDocument {
                    version: self.table.version,
                    text: self.table.document().json(),
                };
                self.handle(process, Event::Fetched(Some(text)));
            }
            Action::Adopt(in_force) => {
                let fleet = &in_force.document.fleet;
                println!(
                    "{:>4} ms: process {process} has version {} ({fleet})",
                    self.now.as_millis(),
                    in_force.version
                );
            }
            Action::Reject { version, reason } => println!("version {version}: {reason}"),
            Action::ReportDivergence { version } => println!("version {version} has two contents"),
        }
    }

    /// One step of time: letters arrive, heartbeats tell of versions.
    fn step(&mut self) {
        self.now += STEP;
        for _ in 0..self.letters.len() {
            if let Some(letter) = self.letters.pop_front() {
                let event = Event::Message(letter.from as u64, letter.message);
                self.handle(letter.to, event);
            }
        }
        for process in 0..PROCESSES {
            let stamp = self.followers[process].in_force().stamp();
            for neighbour in Line::neighbours(process) {
                self.handle(neighbour, Event::Heartbeat(process as u64, stamp));
            }
            self.handle(process, Event::Tick);
        }
    }
}

fn main() {
    let mut line = Line::open();
    for process in 0..PROCESSES {
        for neighbour in Line::neighbours(process) {
            line.handle(process, Event::Connected(neighbour as u64));
        }
    }
    for step in 0..STEPS {
        if step == CHANGE_AT {
            line.table = Table {
                version: 2,
                fleet: "second",
            };
        }
        line.step();
    }
    let newest = |follower: &Follower| follower.in_force().version == 2;
    assert!(line.followers.iter().all(newest), "all hold version 2");
}
