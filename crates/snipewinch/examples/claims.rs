//! Embeds the claims of the library: two processes receive the same request
//! under one idempotency key, and the table's reply to the first process is
//! lost. Exactly one of them runs the request.
//!
//! `cargo run -p snipewinch --example claims`

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::claim::Action;
use snipewinch::claim::Change;
use snipewinch::claim::Claim;
use snipewinch::claim::Completion;
use snipewinch::claim::Event;
use snipewinch::claim::Outcome;
use snipewinch::claim::Row;
use snipewinch::claim::Table;
use snipewinch::claim::Ticket;

/// The number of time steps.
const STEPS: u32 = 20;
const STEP: Duration = Duration::from_millis(50);
/// The wall clock, in milliseconds.
const WALL_MS: u64 = 1_000;

/// An in-memory replacement for the platform's table.
#[derive(Default)]
struct Store {
    rows: HashMap<SmolStr, (Row, u64)>,
    revision: u64,
}

impl Store {
    fn transact(&mut self, changes: &[Change]) -> Completion {
        let conflicts: Vec<SmolStr> = changes
            .iter()
            .filter(|change| self.revision_of(&change.key) != change.revision)
            .map(|change| change.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return Completion::Conflict(conflicts);
        }
        self.revision += 1;
        for change in changes {
            match change.row.clone() {
                Some(row) => self.rows.insert(change.key.clone(), (row, self.revision)),
                None => self.rows.remove(&change.key),
            };
        }
        Completion::Committed(self.revision)
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(_, revision)| *revision)
    }
}

struct Process {
    name: &'static str,
    claims: Table,
    /// The number of replies that are lost after the transaction took effect.
    replies_lost: u32,
    runs: u32,
}

impl Process {
    fn open(name: &'static str, replies_lost: u32) -> Process {
        Process {
            name,
            claims: Table::open(),
            replies_lost,
            runs: 0,
        }
    }

    fn handle(&mut self, now: Duration, store: &mut Store, event: Event) {
        for action in self.claims.handle(now, WALL_MS, event) {
            self.act(now, store, action);
        }
    }

    fn act(&mut self, now: Duration, store: &mut Store, action: Action) {
        match action {
            Action::Transact(batch, changes) => {
                let mut completion = store.transact(&changes);
                if self.replies_lost > 0 {
                    self.replies_lost -= 1;
                    println!("{}: the store's reply is lost", self.name);
                    completion = Completion::Lost;
                }
                self.handle(now, store, Event::Completed(batch, completion));
            }
            Action::Read(ticket, key) => {
                let row = store.rows.get(&key).cloned();
                self.handle(now, store, Event::Read(ticket, row));
            }
            Action::Grant(ticket) => {
                println!("{}: may run", self.name);
                self.runs += 1;
                self.handle(now, store, Event::Record(ticket, Outcome::NotKept));
            }
            Action::Deny(_, denial) => println!("{}: must not run: {denial:?}", self.name),
        }
    }
}

fn main() {
    let mut store = Store::default();
    let mut processes = [Process::open("first", 1), Process::open("second", 0)];
    let mut now = Duration::ZERO;
    for process in &mut processes {
        let claim = Claim {
            key: "customer/grant-7".into(),
            holder: process.name.into(),
            fingerprint: Digest::of(b"grant a licence"),
            until_ms: WALL_MS + 60_000,
        };
        process.handle(now, &mut store, Event::Claim(Ticket(1), claim));
    }
    for _ in 0..STEPS {
        now += STEP;
        for process in &mut processes {
            process.handle(now, &mut store, Event::Tick);
        }
    }
    let runs: u32 = processes.iter().map(|process| process.runs).sum();
    assert_eq!(runs, 1, "the request must run exactly once");
}
