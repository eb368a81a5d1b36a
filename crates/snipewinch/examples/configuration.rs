//! Embeds the distribution of the configuration: a chain of processes follows
//! the newest version of a document, while only the first one reads the table.
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
/// The step at which an operator publishes the second version.
const CHANGE_AT: u32 = 20;

/// A message in flight. A link has the number of the process at its other end.
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

/// The content of the platform's table.
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

struct Chain {
    table: Table,
    followers: Vec<Follower>,
    in_flight: VecDeque<Envelope>,
    now: Duration,
}

impl Chain {
    fn open() -> Chain {
        let followers = (0..PROCESSES)
            .map(|index| Follower::open(index as u64, index == 0))
            .collect();
        Chain {
            table: Table {
                version: 1,
                fleet: "first",
            },
            followers,
            in_flight: VecDeque::new(),
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
            Action::Send(peer, message) => self.in_flight.push_back(Envelope {
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
                    "{:>4} ms: process {process} adopted version {} ({fleet})",
                    self.now.as_millis(),
                    in_force.version
                );
            }
            Action::Reject { version, reason } => println!("rejected version {version}: {reason}"),
            Action::ReportDivergence { version } => {
                println!("different contents under version {version}")
            }
        }
    }

    /// Advances time by one step: delivers messages, heartbeats and ticks.
    fn step(&mut self) {
        self.now += STEP;
        for _ in 0..self.in_flight.len() {
            if let Some(envelope) = self.in_flight.pop_front() {
                let event = Event::Message(envelope.from as u64, envelope.message);
                self.handle(envelope.to, event);
            }
        }
        for process in 0..PROCESSES {
            let stamp = self.followers[process].in_force().stamp();
            for neighbour in Chain::neighbours(process) {
                self.handle(neighbour, Event::Heartbeat(process as u64, stamp));
            }
            self.handle(process, Event::Tick);
        }
    }
}

fn main() {
    let mut chain = Chain::open();
    for process in 0..PROCESSES {
        for neighbour in Chain::neighbours(process) {
            chain.handle(process, Event::Connected(neighbour as u64));
        }
    }
    for step in 0..STEPS {
        if step == CHANGE_AT {
            chain.table = Table {
                version: 2,
                fleet: "second",
            };
        }
        chain.step();
    }
    let up_to_date = |follower: &Follower| follower.in_force().version == 2;
    assert!(
        chain.followers.iter().all(up_to_date),
        "some process did not adopt version 2"
    );
}
