//! Claims, which ensure that a call under an idempotency key runs at most once
//! in the fleet.
//!
//! Before such a call runs, its claim is written to the platform's table on
//! condition that the row is absent. Queued claims and outcomes are written in
//! batches, one transaction at a time. If the reply to a transaction is lost,
//! the rows are read back: a row names its holder, which identifies one call of
//! one process. A row that is absent may still be written by the lost
//! transaction. The claim is therefore written again on the same condition
//! instead of being treated as free.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::call::Header;

/// How long a caller waits for its claim to be granted or denied.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long an outcome or release that cannot be written is retried.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(600);
/// The maximum number of claims in memory, including those of running calls.
/// Further claims are denied as unavailable.
pub const CLAIMS_MAX: usize = 10_000;
/// The maximum number of rows in a transaction.
pub const BATCH_ROWS_MAX: usize = 32;
/// The maximum size of an answer's body that is stored.
pub const ANSWER_MAX_BYTES: usize = 64 << 10;
/// How long a row is kept after its call can no longer be running.
pub const ROW_RETENTION_MS: u64 = 24 * 3600 * 1000;
/// How long to wait before the next transaction after the platform has failed.
const BACKOFF: Duration = Duration::from_millis(200);

/// Identifies a claim within this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a transaction within this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Batch(pub u64);

/// A request to claim an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The key of the row, which combines the customer, the service and the
    /// caller's idempotency key.
    pub key: SmolStr,
    /// A globally unique name for this call.
    pub holder: SmolStr,
    /// The digest of the request, to detect that a key is used for different
    /// requests.
    pub fingerprint: Digest,
    /// The time from which the call can no longer be running, in milliseconds
    /// since the Unix epoch.
    pub until_ms: u64,
}

/// A stored answer, which is replayed to a repeated request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    #[serde(default)]
    pub headers: Vec<Header>,
    /// The model version that produced it.
    #[serde(default)]
    pub version: Option<SmolStr>,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub stream: bool,
    /// The body.
    pub body: String,
}

/// The state of a call, as stored in its row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Outcome {
    /// It is claimed and may be running.
    Claimed,
    /// It was answered.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// It was answered, but the answer was not stored, for example because it
    /// exceeds [`ANSWER_MAX_BYTES`].
    NotKept,
    /// It is unknown whether it ran.
    Unknown,
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The call that holds the claim.
    pub holder: SmolStr,
    /// The digest of the request.
    pub fingerprint: Digest,
    /// The time from which the call can no longer be running, in milliseconds
    /// since the Unix epoch.
    pub until_ms: u64,
    /// The state of the call.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Why a call must not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Denial {
    /// It has already been answered.
    Answered(Answer),
    /// It has already run, but its answer was not stored, for example because
    /// it exceeds [`ANSWER_MAX_BYTES`].
    NotKept,
    /// Another call under the key may be running.
    InProgress,
    /// It is unknown whether it has already run.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
    /// The table is unavailable; the call has not run.
    Unavailable,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key of the row.
    pub key: SmolStr,
    /// The revision that the row must have; 0 if it must be absent.
    pub revision: u64,
    /// The new row; `None` deletes it.
    pub row: Option<Row>,
}

/// How a transaction ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// It took effect; its rows now have this revision.
    Committed(u64),
    /// It had no effect, because these rows had different revisions.
    Conflict(Vec<SmolStr>),
    /// It had no effect.
    Failed,
    /// Its reply was lost: it may have taken effect, or may do so later.
    Lost,
}

/// An input to [`Table::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A call requests a claim.
    Claim(Ticket, Claim),
    /// A call whose claim was granted has ended with this outcome.
    Record(Ticket, Outcome),
    /// A call whose claim was granted certainly has not run, so the key can be
    /// reused.
    Release(Ticket),
    /// A transaction has ended.
    Completed(Batch, Completion),
    /// A row and its revision were read; `None` if the row is absent.
    Read(Ticket, Option<(Row, u64)>),
    /// A row could not be read.
    ReadFailed(Ticket),
    /// Time has passed; sent at regular intervals.
    Tick,
}

/// An action that the embedder has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Apply all changes in one transaction.
    Transact(Batch, Vec<Change>),
    /// Read the row with this key.
    Read(Ticket, SmolStr),
    /// The call may run.
    Grant(Ticket),
    /// The call must not run.
    Deny(Ticket, Denial),
}

/// The state of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// Queued for a transaction.
    Queued,
    /// The transaction with its row is in flight.
    Writing(Batch),
    /// Its row is being read.
    Reading,
    /// Granted: the call may be running.
    Held,
}

/// A claim in memory.
#[derive(Debug)]
struct Pending {
    claim: Claim,
    state: State,
    since: Duration,
    /// The last known revision of the row; 0 if it is absent.
    revision: u64,
    /// The change that the row still needs.
    intent: Intent,
    /// The change that the last transaction attempted.
    written: Intent,
}

/// A change to the row of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Intent {
    Claim,
    Record(Outcome),
    Release,
}

/// The claims of one process.
#[derive(Debug, Default)]
pub struct Table {
    pending: BTreeMap<Ticket, Pending>,
    by_key: HashMap<SmolStr, Ticket>,
    queue: VecDeque<Ticket>,
    next_batch: u64,
    in_flight: Option<(Batch, Vec<Ticket>)>,
    retry_at: Duration,
    wall_ms: u64,
    out: Vec<Action>,
}

impl Table {
    /// Creates a table without claims.
    pub fn open() -> Table {
        Table::default()
    }

    /// The number of claims in memory.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no claims are in memory.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether an outcome or a release still has to be written.
    pub fn has_unwritten(&self) -> bool {
        self.pending
            .values()
            .any(|pending| pending.intent != Intent::Claim)
    }

    /// Processes an event and returns the resulting actions. `wall_ms` is the
    /// wall-clock time in milliseconds since the Unix epoch.
    pub fn handle(&mut self, now: Duration, wall_ms: u64, event: Event) -> Vec<Action> {
        self.wall_ms = wall_ms;
        match event {
            Event::Claim(ticket, claim) => self.claim(now, ticket, claim),
            Event::Record(ticket, outcome) => self.enqueue(now, ticket, Intent::Record(outcome)),
            Event::Release(ticket) => self.enqueue(now, ticket, Intent::Release),
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
            let denial = self.local_denial(&self.pending[other], &claim);
            self.out.push(Action::Deny(ticket, denial));
            return;
        }
        if self.pending.len() >= CLAIMS_MAX {
            self.out.push(Action::Deny(ticket, Denial::Unavailable));
            return;
        }
        self.by_key.insert(claim.key.clone(), ticket);
        let pending = Pending {
            claim,
            state: State::Queued,
            since: now,
            revision: 0,
            intent: Intent::Claim,
            written: Intent::Claim,
        };
        self.pending.insert(ticket, pending);
        self.queue.push_back(ticket);
    }

    /// The denial for a claim whose key another call of this process holds.
    fn local_denial(&self, own: &Pending, claim: &Claim) -> Denial {
        match &own.intent {
            _ if own.claim.fingerprint != claim.fingerprint => Denial::KeyReused,
            Intent::Record(outcome) => denial(outcome, claim.until_ms, self.wall_ms),
            Intent::Claim | Intent::Release => Denial::InProgress,
        }
    }

    fn enqueue(&mut self, now: Duration, ticket: Ticket, intent: Intent) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        if pending.state == State::Held && pending.intent == Intent::Claim {
            pending.intent = intent;
            pending.state = State::Queued;
            pending.since = now;
            self.queue.push_back(ticket);
        }
    }

    /// Writes queued changes, one transaction at a time.
    fn write(&mut self, now: Duration) {
        if self.in_flight.is_some() || now < self.retry_at || self.queue.is_empty() {
            return;
        }
        let batch = Batch(self.next_batch);
        self.next_batch += 1;
        let mut tickets = Vec::new();
        let mut changes = Vec::new();
        while changes.len() < BATCH_ROWS_MAX
            && let Some(ticket) = self.queue.pop_front()
        {
            let Some(pending) = self.pending.get_mut(&ticket) else {
                continue;
            };
            if pending.state == State::Queued {
                pending.state = State::Writing(batch);
                pending.written = pending.intent.clone();
                changes.push(pending.change());
                tickets.push(ticket);
            }
        }
        if !changes.is_empty() {
            self.in_flight = Some((batch, tickets));
            self.out.push(Action::Transact(batch, changes));
        }
    }

    fn completed(&mut self, now: Duration, batch: Batch, completion: Completion) {
        let ours = |(current, _): &mut (Batch, Vec<Ticket>)| *current == batch;
        let Some((_, tickets)) = self.in_flight.take_if(ours) else {
            return;
        };
        if matches!(completion, Completion::Failed | Completion::Lost) {
            self.retry_at = now + BACKOFF;
        }
        for ticket in tickets {
            let conflicts = |pending: &Pending| match &completion {
                Completion::Conflict(keys) => keys.contains(&pending.claim.key),
                Completion::Lost => true,
                Completion::Committed(_) | Completion::Failed => false,
            };
            let Some(pending) = self.pending.get_mut(&ticket) else {
                continue;
            };
            match completion {
                Completion::Committed(revision) => self.committed(ticket, revision),
                _ if conflicts(pending) => {
                    pending.state = State::Reading;
                    let key = pending.claim.key.clone();
                    self.out.push(Action::Read(ticket, key));
                }
                _ => self.requeue(ticket),
            }
        }
    }

    fn requeue(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(&ticket) {
            pending.state = State::Queued;
            self.queue.push_back(ticket);
        }
    }

    fn committed(&mut self, ticket: Ticket, revision: u64) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        pending.revision = revision;
        match pending.intent {
            // The claim was abandoned while it was being written.
            Intent::Release if pending.written == Intent::Claim => self.requeue(ticket),
            Intent::Claim => {
                pending.state = State::Held;
                self.out.push(Action::Grant(ticket));
            }
            Intent::Record(_) | Intent::Release => self.remove_claim(ticket),
        }
    }

    fn remove_claim(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.remove(&ticket) {
            self.by_key.remove(&pending.claim.key);
        }
    }

    fn read(&mut self, ticket: Ticket, row: Option<(Row, u64)>) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        if pending.state != State::Reading {
            return;
        }
        let wall_ms = self.wall_ms;
        match (row, &pending.intent) {
            (Some((row, revision)), Intent::Claim) if row.holder == pending.claim.holder => {
                self.committed(ticket, revision);
            }
            (Some((row, _)), Intent::Claim) => {
                let denial = match row.fingerprint == pending.claim.fingerprint {
                    true => denial(&row.outcome, row.until_ms, wall_ms),
                    false => Denial::KeyReused,
                };
                self.remove_claim(ticket);
                self.out.push(Action::Deny(ticket, denial));
            }
            (Some((row, revision)), Intent::Record(outcome))
                if row.holder == pending.claim.holder && row.outcome == *outcome =>
            {
                pending.revision = revision;
                self.remove_claim(ticket);
            }
            (Some((row, revision)), _) if row.holder == pending.claim.holder => {
                pending.revision = revision;
                self.requeue(ticket);
            }
            // The lost transaction may still write the row.
            (None, Intent::Claim) => self.requeue(ticket),
            // The row is absent or belongs to another call, so there is nothing
            // to change.
            (None | Some(_), _) => self.remove_claim(ticket),
        }
    }

    fn read_failed(&mut self, now: Duration, ticket: Ticket) {
        let reading = |pending: &Pending| pending.state == State::Reading;
        if self.pending.get(&ticket).is_some_and(reading) {
            self.retry_at = now + BACKOFF;
            // Writing again on the same condition resolves the state as well
            // as reading does.
            self.requeue(ticket);
        }
    }

    /// Abandons claims and changes whose timeout has passed.
    fn expire(&mut self, now: Duration) {
        let expired: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_expired(now))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            let Some(pending) = self.pending.get_mut(&ticket) else {
                continue;
            };
            if pending.intent != Intent::Claim {
                self.remove_claim(ticket);
                continue;
            }
            // The row may exist already or may still be written. The call will
            // not run, so the claim is released.
            pending.intent = Intent::Release;
            pending.since = now;
            self.out.push(Action::Deny(ticket, Denial::Unavailable));
        }
    }
}

impl Pending {
    fn is_expired(&self, now: Duration) -> bool {
        match (&self.intent, &self.state) {
            (Intent::Claim, State::Held) => false,
            (Intent::Claim, _) => now >= self.since + CLAIM_TIMEOUT,
            (Intent::Record(_) | Intent::Release, _) => now >= self.since + WRITE_TIMEOUT,
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
            row: match &self.intent {
                Intent::Claim => Some(row(&Outcome::Claimed)),
                Intent::Record(outcome) => Some(row(outcome)),
                Intent::Release => None,
            },
        }
    }
}

/// Returns the deletions of those rows whose retention time has passed.
pub fn sweep(rows: &[(SmolStr, Row, u64)], wall_ms: u64) -> Vec<Change> {
    rows.iter()
        .filter(|(_, row, _)| wall_ms >= row.until_ms.saturating_add(ROW_RETENTION_MS))
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
