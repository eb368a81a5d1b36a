//! Claims: a call under an idempotency key runs at most once in the fleet.
//!
//! Before such a call runs, its claim is written into the platform's table on
//! condition that the row is absent. Claims and outcomes that wait are written
//! together, one transaction at a time. A lost answer is resolved by reading:
//! the row names its holder, and a holder is one call of one process. A row
//! that reads as absent may still be written by the lost transaction, so the
//! claim is written again, on the same condition, rather than taken for free.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::call::Header;

/// How long a caller waits for its claim.
pub const PATIENCE: Duration = Duration::from_millis(1500);
/// How long an outcome that can't be written is kept for writing.
pub const KEEP: Duration = Duration::from_secs(600);
/// The most outcomes that wait to be written.
pub const WAITING_MAX: usize = 10_000;
/// The most rows in one transaction.
pub const GROUP_MAX: usize = 32;
/// The longest answer that is kept, in bytes.
pub const ANSWER_MAX_BYTES: usize = 64 << 10;
/// How long a claim is kept after its call can no longer be running, in
/// milliseconds.
pub const KEEP_ROWS_MS: u64 = 24 * 3600 * 1000;
/// How long to wait after the platform failed.
const BACKOFF: Duration = Duration::from_millis(200);

/// Names one claim of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names one transaction of this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Batch(pub u64);

/// A claim that is wanted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The row: customer, service and the caller's key.
    pub key: SmolStr,
    /// Names this call; nobody else ever uses it.
    pub holder: SmolStr,
    /// Distinguishes requests under the same key.
    pub fingerprint: Digest,
    /// When the call can no longer be running, in milliseconds of the wall
    /// clock.
    pub until_ms: u64,
}

/// An answer that was recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    #[serde(default)]
    pub headers: Vec<Header>,
    /// The model version that answered.
    #[serde(default)]
    pub version: Option<SmolStr>,
    /// The answer is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// The body.
    pub body: String,
}

/// What became of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Outcome {
    /// It may be running.
    Claimed,
    /// It was answered.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// It was answered, by what was too long to keep.
    NotKept,
    /// Whether it ran is not known.
    Unknown,
}

/// A claim as it stands in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Who holds it.
    pub holder: SmolStr,
    /// Distinguishes requests under the same key.
    pub fingerprint: Digest,
    /// When the call can no longer be running.
    pub until_ms: u64,
    /// What became of it.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Why a call must not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Denial {
    /// It was answered before.
    Answered(Answer),
    /// It ran before; its answer was too long to keep.
    NotKept,
    /// It may be running.
    InProgress,
    /// Whether it ran before is not known.
    Unknown,
    /// The key was used for another request.
    KeyReused,
    /// The table is out of reach; nothing has run.
    Unavailable,
}

/// One row of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The row.
    pub key: SmolStr,
    /// The revision that it must have; 0 if it must be absent.
    pub revision: u64,
    /// What is written; none deletes.
    pub row: Option<Row>,
}

/// What a transaction came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// It took effect and gave its rows this revision.
    Committed(u64),
    /// It had no effect, because these rows had other revisions.
    Conflict(Vec<SmolStr>),
    /// It had no effect.
    Failed,
    /// It may have taken effect, or may still.
    Lost,
}

/// What happens to the claims of a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call asks to run.
    Claim(Ticket, Claim),
    /// A call that was granted has ended so.
    Record(Ticket, Outcome),
    /// A call that was granted certainly has not run: its key is free.
    Release(Ticket),
    /// A transaction has ended.
    Completed(Batch, Completion),
    /// A row was read, with its revision; none if it is absent.
    Read(Ticket, Option<(Row, u64)>),
    /// A row could not be read.
    ReadFailed(Ticket),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write all of it or nothing.
    Transact(Batch, Vec<Change>),
    /// Read a row.
    Read(Ticket, SmolStr),
    /// The call may run.
    Grant(Ticket),
    /// The call must not run.
    Deny(Ticket, Denial),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// Waits for a transaction.
    Wanted,
    /// A transaction with its row is under way.
    Writing(Batch),
    /// Its row is being read.
    Reading,
    /// Its call may run.
    Held,
}

#[derive(Debug)]
struct Entry {
    claim: Claim,
    state: State,
    since: Duration,
    /// The revision that the row has, as far as known; 0 for absent.
    revision: u64,
    /// What the row has to become.
    wish: Wish,
    /// What the transaction under way makes of it.
    written: Wish,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Wish {
    Claim,
    Record(Outcome),
    Release,
}

/// The claims of one process.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<Ticket, Entry>,
    by_key: HashMap<SmolStr, Ticket>,
    queue: VecDeque<Ticket>,
    batches: u64,
    under_way: Option<(Batch, Vec<Ticket>)>,
    not_before: Duration,
    wall_ms: u64,
    out: Vec<Action>,
}

impl Table {
    /// No claims.
    pub fn open() -> Table {
        Table::default()
    }

    /// Claims and outcomes that are not settled.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether everything is settled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether an outcome still has to be written.
    pub fn has_unwritten(&self) -> bool {
        self.entries.values().any(|entry| entry.wish != Wish::Claim)
    }

    /// Takes one event in; `wall_ms` is the wall clock.
    pub fn handle(&mut self, now: Duration, wall_ms: u64, event: Event) -> Vec<Action> {
        self.wall_ms = wall_ms;
        match event {
            Event::Claim(ticket, claim) => self.claim(now, ticket, claim),
            Event::Record(ticket, outcome) => self.settle(now, ticket, Wish::Record(outcome)),
            Event::Release(ticket) => self.settle(now, ticket, Wish::Release),
            Event::Completed(batch, completion) => self.completed(now, batch, completion),
            Event::Read(ticket, row) => self.read(ticket, row),
            Event::ReadFailed(ticket) => self.read_failed(now, ticket),
            Event::Tick => self.expire(now),
        }
        self.write(now);
        std::mem::take(&mut self.out)
    }

    fn claim(&mut self, now: Duration, ticket: Ticket, claim: Claim) {
        if let Some(other) = self.by_key.get(&claim.key) {
            let denial = self.denial_of_own(&self.entries[other], &claim);
            self.out.push(Action::Deny(ticket, denial));
            return;
        }
        if self.entries.len() >= WAITING_MAX {
            self.out.push(Action::Deny(ticket, Denial::Unavailable));
            return;
        }
        self.by_key.insert(claim.key.clone(), ticket);
        let entry = Entry {
            claim,
            state: State::Wanted,
            since: now,
            revision: 0,
            wish: Wish::Claim,
            written: Wish::Claim,
        };
        self.entries.insert(ticket, entry);
        self.queue.push_back(ticket);
    }

    /// What another call of this process under the same key is told.
    fn denial_of_own(&self, own: &Entry, claim: &Claim) -> Denial {
        match &own.wish {
            _ if own.claim.fingerprint != claim.fingerprint => Denial::KeyReused,
            Wish::Record(outcome) => denial(outcome, claim.until_ms, self.wall_ms),
            Wish::Claim | Wish::Release => Denial::InProgress,
        }
    }

    fn settle(&mut self, now: Duration, ticket: Ticket, wish: Wish) {
        let Some(entry) = self.entries.get_mut(&ticket) else {
            return;
        };
        if entry.state == State::Held && entry.wish == Wish::Claim {
            entry.wish = wish;
            entry.state = State::Wanted;
            entry.since = now;
            self.queue.push_back(ticket);
        }
    }

    /// Writes what waits, one transaction at a time.
    fn write(&mut self, now: Duration) {
        if self.under_way.is_some() || now < self.not_before || self.queue.is_empty() {
            return;
        }
        let batch = Batch(self.batches);
        self.batches += 1;
        let mut tickets = Vec::new();
        let mut changes = Vec::new();
        while changes.len() < GROUP_MAX
            && let Some(ticket) = self.queue.pop_front()
        {
            let Some(entry) = self.entries.get_mut(&ticket) else {
                continue;
            };
            if entry.state == State::Wanted {
                entry.state = State::Writing(batch);
                entry.written = entry.wish.clone();
                changes.push(entry.change());
                tickets.push(ticket);
            }
        }
        if !changes.is_empty() {
            self.under_way = Some((batch, tickets));
            self.out.push(Action::Transact(batch, changes));
        }
    }

    fn completed(&mut self, now: Duration, batch: Batch, completion: Completion) {
        let ours = |(current, _): &mut (Batch, Vec<Ticket>)| *current == batch;
        let Some((_, tickets)) = self.under_way.take_if(ours) else {
            return;
        };
        if matches!(completion, Completion::Failed | Completion::Lost) {
            self.not_before = now + BACKOFF;
        }
        for ticket in tickets {
            let conflicts = |entry: &Entry| match &completion {
                Completion::Conflict(keys) => keys.contains(&entry.claim.key),
                Completion::Lost => true,
                Completion::Committed(_) | Completion::Failed => false,
            };
            let Some(entry) = self.entries.get_mut(&ticket) else {
                continue;
            };
            match completion {
                Completion::Committed(revision) => self.committed(ticket, revision),
                _ if conflicts(entry) => {
                    entry.state = State::Reading;
                    let key = entry.claim.key.clone();
                    self.out.push(Action::Read(ticket, key));
                }
                _ => self.again(ticket),
            }
        }
    }

    fn again(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.state = State::Wanted;
            self.queue.push_back(ticket);
        }
    }

    fn committed(&mut self, ticket: Ticket, revision: u64) {
        let Some(entry) = self.entries.get_mut(&ticket) else {
            return;
        };
        entry.revision = revision;
        match entry.wish {
            // The claim was given up while it was being written.
            Wish::Release if entry.written == Wish::Claim => self.again(ticket),
            Wish::Claim => {
                entry.state = State::Held;
                self.out.push(Action::Grant(ticket));
            }
            Wish::Record(_) | Wish::Release => self.forget(ticket),
        }
    }

    fn forget(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.by_key.remove(&entry.claim.key);
        }
    }

    fn read(&mut self, ticket: Ticket, row: Option<(Row, u64)>) {
        let Some(entry) = self.entries.get_mut(&ticket) else {
            return;
        };
        if entry.state != State::Reading {
            return;
        }
        let wall_ms = self.wall_ms;
        match (row, &entry.wish) {
            (Some((row, revision)), Wish::Claim) if row.holder == entry.claim.holder => {
                self.committed(ticket, revision);
            }
            (Some((row, _)), Wish::Claim) => {
                let denial = match row.fingerprint == entry.claim.fingerprint {
                    true => denial(&row.outcome, row.until_ms, wall_ms),
                    false => Denial::KeyReused,
                };
                self.forget(ticket);
                self.out.push(Action::Deny(ticket, denial));
            }
            (Some((row, revision)), Wish::Record(outcome))
                if row.holder == entry.claim.holder && row.outcome == *outcome =>
            {
                entry.revision = revision;
                self.forget(ticket);
            }
            (Some((row, revision)), _) if row.holder == entry.claim.holder => {
                entry.revision = revision;
                self.again(ticket);
            }
            // The lost transaction may still write it.
            (None, Wish::Claim) => self.again(ticket),
            // It is gone, or another call's: nothing is left to do.
            (None | Some(_), _) => self.forget(ticket),
        }
    }

    fn read_failed(&mut self, now: Duration, ticket: Ticket) {
        let reading = |entry: &Entry| entry.state == State::Reading;
        if self.entries.get(&ticket).is_some_and(reading) {
            self.not_before = now + BACKOFF;
            // Writing again settles it as well as reading does.
            self.again(ticket);
        }
    }

    /// Gives up what has waited too long.
    fn expire(&mut self, now: Duration) {
        let late: Vec<Ticket> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_late(now))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            let Some(entry) = self.entries.get_mut(&ticket) else {
                continue;
            };
            if entry.wish != Wish::Claim {
                self.forget(ticket);
                continue;
            }
            // The row may be there already or come yet: what is claimed for a
            // call that will not run is released.
            entry.wish = Wish::Release;
            entry.since = now;
            self.out.push(Action::Deny(ticket, Denial::Unavailable));
        }
    }
}

impl Entry {
    fn is_late(&self, now: Duration) -> bool {
        match (&self.wish, &self.state) {
            (Wish::Claim, State::Held) => false,
            (Wish::Claim, _) => now >= self.since + PATIENCE,
            (Wish::Record(_) | Wish::Release, _) => now >= self.since + KEEP,
        }
    }

    fn change(&self) -> Change {
        let row = |outcome: &Outcome| Row {
            holder: self.claim.holder.clone(),
            fingerprint: self.claim.fingerprint,
            until_ms: self.claim.until_ms,
            outcome: outcome.clone(),
        };
        Change {
            key: self.claim.key.clone(),
            revision: self.revision,
            row: match &self.wish {
                Wish::Claim => Some(row(&Outcome::Claimed)),
                Wish::Record(outcome) => Some(row(outcome)),
                Wish::Release => None,
            },
        }
    }
}

/// Deletes the rows among these that have been kept long enough.
pub fn sweep(rows: &[(SmolStr, Row, u64)], wall_ms: u64) -> Vec<Change> {
    rows.iter()
        .filter(|(_, row, _)| wall_ms >= row.until_ms.saturating_add(KEEP_ROWS_MS))
        .map(|(key, _, revision)| Change {
            key: key.clone(),
            revision: *revision,
            row: None,
        })
        .collect()
}

fn denial(outcome: &Outcome, until_ms: u64, wall_ms: u64) -> Denial {
    match outcome {
        Outcome::Answered { answer } => Denial::Answered(answer.clone()),
        Outcome::NotKept => Denial::NotKept,
        Outcome::Unknown => Denial::Unknown,
        Outcome::Claimed if wall_ms < until_ms => Denial::InProgress,
        Outcome::Claimed => Denial::Unknown,
    }
}
