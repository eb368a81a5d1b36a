//! The agent's end of the call protocol: admits calls, runs each attempt at
//! most once, and retains the answer until the entry has received it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::Attempt;
use super::Data;
use super::Executed;
use super::Fault;
use super::Head;
use super::Link;
use super::Message;
use super::Origin;
use super::Refusal;
use super::Start;
use crate::wire::Confirmed;

mod history;
mod queue;
mod record;

use history::History;
use history::Seen;
use queue::Queue;
use record::Outcome;
use record::Record;
use record::State;

/// How long a call continues without a link to its entry. After that it is
/// cancelled or, if it is an at-most-once call that is running, its answer is
/// discarded.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a finished answer is retained for an entry that has not
/// confirmed the outcome.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(60);
/// The maximum total size of finished answers that are retained.
pub const RETAINED_BYTES_MAX: usize = 16 << 20;
/// How long a draining agent waits for an entry to reconnect and collect an
/// answer.
pub const DRAIN_LINGER: Duration = Duration::from_secs(5);
/// How long an entry should wait before it retries at an agent that is busy or
/// whose backend server is unreachable.
const RETRY_AFTER_MS: u32 = 200;

/// The admission limits of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The service whose backend server runs on this host.
    pub service: SmolStr,
    /// The maximum number of calls that run concurrently.
    pub concurrency: usize,
    /// The maximum number of calls in the queue.
    pub waiting: usize,
}

/// An input to [`Agent::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A link to an entry is open.
    Up(Link, Origin),
    /// A link has closed.
    Down(Link),
    /// A message has arrived.
    Message(Link, Message),
    /// The backend server has sent the head of its answer.
    Head(Attempt, Head),
    /// The backend server has sent a part of its answer's body.
    Data(Attempt, Data),
    /// The backend server's answer is complete.
    End(Attempt),
    /// The attempt has failed or was cancelled. `Executed::No` is given only
    /// if it cannot have run.
    Failed(Attempt, Fault, Executed),
    /// The configuration has changed the limits.
    Limit(Limit),
    /// The model versions that the engine has confirmed as loaded; `None` if
    /// the backend server is not an engine.
    Confirmed(Option<Vec<Confirmed>>),
    /// The process is shutting down: new calls are refused.
    Leave,
    /// Time has passed; sent at regular intervals.
    Tick,
}

/// An action that the embedder has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message.
    Send(Link, Message),
    /// Send the call to the backend server.
    Run(Box<Start>),
    /// Cancel the attempt at the backend server. [`Event::Failed`] or
    /// [`Event::End`] must follow.
    Stop(Attempt),
    /// Stop reading the answer from the backend server.
    Pause(Attempt),
    /// Continue reading the answer.
    Resume(Attempt),
}

/// The calls of one agent.
#[derive(Debug)]
pub struct Agent {
    limit: Limit,
    confirmed: Option<Vec<Confirmed>>,
    leaving: bool,
    links: HashMap<Link, Origin>,
    records: BTreeMap<Attempt, Record>,
    history: History,
    queue: Queue,
    running: usize,
    out: Vec<Action>,
}

impl Agent {
    /// Creates an agent without calls.
    pub fn open(limit: Limit) -> Agent {
        Agent {
            limit,
            confirmed: None,
            leaving: false,
            links: HashMap::new(),
            records: BTreeMap::new(),
            history: History::default(),
            queue: Queue::default(),
            running: 0,
            out: Vec::new(),
        }
    }

    /// The number of calls that are running at the backend server.
    pub fn running(&self) -> usize {
        self.running
    }

    /// The number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The maximum number of calls that run concurrently.
    pub fn capacity(&self) -> usize {
        self.limit.concurrency
    }

    /// Whether no call is running or queued and every outcome other than a
    /// refusal has been confirmed by its entry. Entries that have been without
    /// a link for [`DRAIN_LINGER`] are not waited for.
    pub fn is_drained(&self, now: Duration) -> bool {
        let owed = |record: &Record| match record.state {
            State::Running | State::Waiting(_) => true,
            State::Finished(Outcome::Refused(..)) => false,
            State::Finished(_) => match record.link {
                Some(_) => true,
                None => now < record.detached_at + DRAIN_LINGER,
            },
        };
        !self.records.values().any(owed)
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Up(link, origin) => {
                self.links.insert(link, origin);
            }
            Event::Down(link) => self.down(now, link),
            Event::Message(link, message) => self.message(now, link, message),
            Event::Head(attempt, head) => self.head(now, attempt, head),
            Event::Data(attempt, data) => self.data(attempt, data),
            Event::End(attempt) => self.end(now, attempt),
            Event::Failed(attempt, fault, executed) => self.failed(now, attempt, fault, executed),
            Event::Limit(limit) => {
                self.limit = limit;
                self.admit(now);
            }
            Event::Confirmed(confirmed) => {
                self.confirmed = confirmed;
                self.refuse_unserved(now);
            }
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    fn message(&mut self, now: Duration, link: Link, message: Message) {
        let attempt = message.attempt();
        if self.links.get(&link) != Some(&attempt.origin) {
            // The link has closed, or the attempt belongs to another process.
            return;
        }
        match message {
            Message::Start(start) => self.start(now, link, start),
            Message::Cancel(attempt) => self.cancel(now, link, attempt),
            Message::Query(attempt, received_parts, credit_bytes) => {
                self.query(now, link, attempt, received_parts, credit_bytes);
            }
            Message::Credit(attempt, received_parts, credit_bytes) => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.acknowledge(received_parts, credit_bytes);
                    record.flush(attempt, &mut self.out);
                }
            }
            Message::Done(attempt) => self.done(now, attempt),
            Message::Alive(_)
            | Message::Data(..)
            | Message::End(..)
            | Message::Fail(..)
            | Message::Head(..)
            | Message::Refuse(..) => {}
        }
    }

    fn start(&mut self, now: Duration, link: Link, start: Box<Start>) {
        let attempt = start.attempt;
        if let Some(record) = self.records.get_mut(&attempt) {
            // The start is a duplicate, or was resent on another link.
            record.attach(link);
            record.flush(attempt, &mut self.out);
            return;
        }
        if self.history.seen(attempt) != Seen::Never {
            let fail = Message::Fail(attempt, Fault::Evicted, Executed::Unknown);
            self.out.push(Action::Send(link, fail));
            return;
        }
        let refusal = self.refusal(&start);
        let mut record = Record::open(link, now, start);
        match refusal {
            Some(refusal) => record.finish(now, Outcome::Refused(refusal, retry_ms(refusal))),
            None => self.queue.push(record.priority, attempt),
        }
        record.flush(attempt, &mut self.out);
        self.records.insert(attempt, record);
        self.admit(now);
    }

    fn refusal(&self, start: &Start) -> Option<Refusal> {
        let full = self.running >= self.limit.concurrency;
        match start {
            _ if self.leaving => Some(Refusal::Leaving),
            start if start.request.service != self.limit.service => Some(Refusal::Service),
            start if start.budget_ms == 0 => Some(Refusal::Deadline),
            start if !self.serves(start) => Some(Refusal::Version),
            _ if full && self.queue.len() >= self.limit.waiting => Some(Refusal::Busy),
            _ => None,
        }
    }

    /// Whether the engine has confirmed the requested model and version.
    fn serves(&self, start: &Start) -> bool {
        let (Some(confirmed), Some(model)) = (&self.confirmed, &start.request.model) else {
            return true;
        };
        confirmed
            .iter()
            .filter(|loaded| loaded.model == *model)
            .any(|loaded| {
                start
                    .version
                    .as_ref()
                    .is_none_or(|version| *version == loaded.version)
            })
    }

    /// Starts queued calls while the concurrency limit allows it.
    fn admit(&mut self, now: Duration) {
        while self.running < self.limit.concurrency {
            let Some(attempt) = self.queue.pop() else {
                return;
            };
            let Some(record) = self.records.get_mut(&attempt) else {
                continue;
            };
            if now >= record.deadline {
                refuse(now, attempt, record, Refusal::Deadline, &mut self.out);
                continue;
            }
            if let Some(start) = record.take_start(now) {
                self.running += 1;
                self.out.push(Action::Run(start));
            }
        }
    }

    /// Refuses queued calls for a model or version that the engine no longer
    /// confirms.
    fn refuse_unserved(&mut self, now: Duration) {
        let waiting = |(attempt, record): (&Attempt, &Record)| match &record.state {
            State::Waiting(start) if !self.serves(start) => Some(*attempt),
            _ => None,
        };
        let unserved: Vec<Attempt> = self.records.iter().filter_map(waiting).collect();
        for attempt in unserved {
            self.refuse_waiting(now, attempt, Refusal::Version);
        }
    }

    fn refuse_waiting(&mut self, now: Duration, attempt: Attempt, refusal: Refusal) {
        self.queue.remove(attempt);
        if let Some(record) = self.records.get_mut(&attempt) {
            refuse(now, attempt, record, refusal, &mut self.out);
        }
    }

    fn cancel(&mut self, now: Duration, link: Link, attempt: Attempt) {
        let Some(record) = self.records.get_mut(&attempt) else {
            self.resolve_unrecorded(now, link, attempt);
            return;
        };
        record.attach(link);
        match record.state {
            State::Waiting(_) => self.refuse_waiting(now, attempt, Refusal::Cancelled),
            // An at-most-once call cannot be repeated, so its outcome is worth
            // more than the capacity that cancelling it would free.
            State::Running if record.at_most_once => {}
            State::Running => record.stop(attempt, Fault::Cancelled, &mut self.out),
            State::Finished(_) => record.flush(attempt, &mut self.out),
        }
    }

    /// Replies about an attempt that has no record. An attempt that was never
    /// seen gets a tombstone, so that it is refused if it arrives later.
    fn resolve_unrecorded(&mut self, now: Duration, link: Link, attempt: Attempt) {
        match self.history.seen(attempt) {
            Seen::Never => {
                let mut record = Record::tombstone(link, now);
                record.flush(attempt, &mut self.out);
                self.records.insert(attempt, record);
            }
            Seen::Removed | Seen::Unknown => {
                let fail = Message::Fail(attempt, Fault::Evicted, Executed::Unknown);
                self.out.push(Action::Send(link, fail));
            }
        }
    }

    fn query(
        &mut self,
        now: Duration,
        link: Link,
        attempt: Attempt,
        received_parts: u32,
        credit_bytes: u64,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            self.resolve_unrecorded(now, link, attempt);
            return;
        };
        record.attach(link);
        record.rewind(received_parts, credit_bytes);
        if !matches!(record.state, State::Finished(_)) {
            self.out.push(Action::Send(link, Message::Alive(attempt)));
        }
        record.flush(attempt, &mut self.out);
    }

    fn done(&mut self, now: Duration, attempt: Attempt) {
        let finished = |record: &Record| matches!(record.state, State::Finished(_));
        if self.records.get(&attempt).is_some_and(finished) {
            self.records.remove(&attempt);
            self.history.insert(now, attempt);
        }
    }

    fn head(&mut self, now: Duration, attempt: Attempt, head: Head) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let version_differs = record.version.is_some() && record.version != head.version;
        if version_differs && !record.is_finished() {
            record.stop(attempt, Fault::Malformed, &mut self.out);
            return;
        }
        record.head(now, head);
        record.flush(attempt, &mut self.out);
    }

    fn data(&mut self, attempt: Attempt, data: Data) {
        if let Some(record) = self.records.get_mut(&attempt) {
            record.data(data);
            record.flush(attempt, &mut self.out);
        }
    }

    fn end(&mut self, now: Duration, attempt: Attempt) {
        let outcome = |record: &Record| match record.stop_reason {
            None => Outcome::Complete(record.total()),
            Some(fault) => Outcome::Failed(fault, Executed::Yes),
        };
        self.finish(now, attempt, outcome);
    }

    fn failed(&mut self, now: Duration, attempt: Attempt, fault: Fault, executed: Executed) {
        let outcome = |record: &Record| match executed {
            Executed::No => Outcome::Refused(Refusal::Unreachable, RETRY_AFTER_MS),
            executed => Outcome::Failed(record.stop_reason.unwrap_or(fault), executed),
        };
        self.finish(now, attempt, outcome);
    }

    fn finish(&mut self, now: Duration, attempt: Attempt, outcome: impl Fn(&Record) -> Outcome) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        let outcome = outcome(record);
        record.finish(now, outcome);
        record.flush(attempt, &mut self.out);
        self.running -= 1;
        self.admit(now);
    }

    fn down(&mut self, now: Duration, link: Link) {
        self.links.remove(&link);
        for record in self.records.values_mut() {
            record.detach(now, link);
        }
    }

    fn leave(&mut self, now: Duration) {
        self.leaving = true;
        while let Some(attempt) = self.queue.pop() {
            self.refuse_waiting(now, attempt, Refusal::Leaving);
        }
    }

    fn tick(&mut self, now: Duration) {
        let mut expired = Vec::new();
        for (attempt, record) in &mut self.records {
            let orphaned = record.link.is_none() && now >= record.detached_at + ORPHAN_TIMEOUT;
            match record.state {
                State::Waiting(_) if orphaned => expired.push((*attempt, Refusal::Cancelled)),
                State::Waiting(_) if now >= record.deadline => {
                    expired.push((*attempt, Refusal::Deadline));
                }
                // It runs to completion, but its answer is not needed.
                State::Running if record.at_most_once && (orphaned || now >= record.deadline) => {
                    record.discard_answer(*attempt, &mut self.out);
                }
                State::Running if record.at_most_once => {}
                State::Running if orphaned => {
                    record.stop(*attempt, Fault::Cancelled, &mut self.out);
                }
                State::Running if now >= record.deadline => {
                    record.stop(*attempt, Fault::Deadline, &mut self.out);
                }
                State::Finished(_) | State::Running | State::Waiting(_) => {}
            }
        }
        for (attempt, refusal) in expired {
            self.refuse_waiting(now, attempt, refusal);
        }
        self.evict(now);
        self.history.expire(now);
    }

    /// Evicts finished records, oldest first, that have reached
    /// [`ANSWER_RETENTION`] or exceed [`RETAINED_BYTES_MAX`] in total.
    fn evict(&mut self, now: Duration) {
        let mut finished: Vec<(Duration, Attempt, usize)> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_finished())
            .map(|(attempt, record)| (record.finished_at, *attempt, record.retained_bytes()))
            .collect();
        finished.sort_unstable();
        let mut retained: usize = finished.iter().map(|(_, _, bytes)| bytes).sum();
        for (finished_at, attempt, bytes) in finished {
            if now < finished_at + ANSWER_RETENTION && retained <= RETAINED_BYTES_MAX {
                break;
            }
            retained -= bytes;
            self.records.remove(&attempt);
            self.history.insert(now, attempt);
        }
    }
}

fn refuse(
    now: Duration,
    attempt: Attempt,
    record: &mut Record,
    refusal: Refusal,
    out: &mut Vec<Action>,
) {
    record.finish(now, Outcome::Refused(refusal, retry_ms(refusal)));
    record.flush(attempt, out);
}

fn retry_ms(refusal: Refusal) -> u32 {
    match refusal {
        Refusal::Busy | Refusal::Unreachable => RETRY_AFTER_MS,
        Refusal::Cancelled
        | Refusal::Deadline
        | Refusal::Leaving
        | Refusal::Service
        | Refusal::Version => 0,
    }
}
