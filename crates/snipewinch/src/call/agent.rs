//! An agent's calls: admits them, runs each attempt at most once and keeps
//! what it answered until the entry has it.

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

use history::Memory;
use history::Seen;
use queue::Queue;
use record::Ending;
use record::Record;
use record::State;

/// How long a call runs on without a link to its entry.
pub const ORPHAN_AFTER: Duration = Duration::from_secs(15);
/// How long an answer that no entry has taken is kept.
pub const KEEP_ANSWERS: Duration = Duration::from_secs(60);
/// The most bytes of finished answers that are kept.
pub const KEEP_BYTES_MAX: usize = 16 << 20;
/// How long a draining agent waits for an entry without a link.
pub const LINGER: Duration = Duration::from_secs(5);
/// How long an entry should stay away from an agent that refused for want of
/// room, in milliseconds.
const BUSY_RETRY_MS: u32 = 200;

/// What an agent admits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The service whose backend server stands on this host.
    pub service: SmolStr,
    /// The most calls that run at once.
    pub concurrency: usize,
    /// The most calls that wait.
    pub waiting: usize,
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A link to an entry is open.
    Up(Link, Origin),
    /// A link is gone.
    Down(Link),
    /// A message has arrived.
    Message(Link, Message),
    /// The backend server's answer begins.
    Head(Attempt, Head),
    /// The backend server's answer goes on.
    Data(Attempt, Data),
    /// The backend server's answer is whole.
    End(Attempt),
    /// The attempt ended otherwise; `Executed::No` only if it cannot have run.
    Failed(Attempt, Fault, Executed),
    /// The configuration has changed.
    Limit(Limit),
    /// The versions that the engine has confirmed; `None` where no engine is.
    Confirmed(Option<Vec<Confirmed>>),
    /// The process stops: nothing new is admitted.
    Leave,
    /// Time has passed.
    Tick,
}

/// What an agent does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message.
    Send(Link, Message),
    /// Give the call to the backend server.
    Run(Box<Start>),
    /// Cancel it at the backend server; `Failed` or `End` has to follow.
    Stop(Attempt),
    /// Read no more of its answer for now.
    Pause(Attempt),
    /// Read on.
    Resume(Attempt),
}

/// An agent's calls.
#[derive(Debug)]
pub struct Agent {
    limit: Limit,
    confirmed: Option<Vec<Confirmed>>,
    leaving: bool,
    links: HashMap<Link, Origin>,
    records: BTreeMap<Attempt, Record>,
    memory: Memory,
    queue: Queue,
    running: usize,
    out: Vec<Action>,
}

impl Agent {
    /// An agent without calls.
    pub fn open(limit: Limit) -> Agent {
        Agent {
            limit,
            confirmed: None,
            leaving: false,
            links: HashMap::new(),
            records: BTreeMap::new(),
            memory: Memory::default(),
            queue: Queue::default(),
            running: 0,
            out: Vec::new(),
        }
    }

    /// Calls that the backend server runs now.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The most calls that run at once.
    pub fn capacity(&self) -> usize {
        self.limit.concurrency
    }

    /// Whether nothing runs or waits and each entry has what it is owed, as
    /// far as it can still be reached.
    pub fn is_drained(&self, now: Duration) -> bool {
        let owed = |record: &Record| match record.state {
            State::Running | State::Waiting(_) => true,
            State::Over(Ending::Refused(..)) => false,
            State::Over(_) => match record.link {
                Some(_) => true,
                None => now < record.detached + LINGER,
            },
        };
        !self.records.values().any(owed)
    }

    /// Takes one event in.
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
                self.recheck(now);
            }
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    fn message(&mut self, now: Duration, link: Link, message: Message) {
        let attempt = message.attempt();
        if self.links.get(&link) != Some(&attempt.origin) {
            // A late message of a link that is gone, or of another process.
            return;
        }
        match message {
            Message::Start(start) => self.start(now, link, start),
            Message::Cancel(attempt) => self.cancel(now, link, attempt),
            Message::Query(attempt, received, allowed) => {
                self.query(now, link, attempt, received, allowed);
            }
            Message::Credit(attempt, received, allowed) => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.acknowledge(received, allowed);
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
            // A duplicate joins what is there.
            record.attach(link);
            record.flush(attempt, &mut self.out);
            return;
        }
        if self.memory.seen(attempt) != Seen::Never {
            let fail = Message::Fail(attempt, Fault::Evicted, Executed::Unknown);
            self.out.push(Action::Send(link, fail));
            return;
        }
        let refusal = self.refusal(&start);
        let mut record = Record::open(link, now, start);
        match refusal {
            Some(refusal) => record.finish(now, Ending::Refused(refusal, retry_ms(refusal))),
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

    /// Whether the engine has confirmed what the call asks for.
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

    /// Starts what waits while there is room.
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
            if let Some(start) = record.run(now) {
                self.running += 1;
                self.out.push(Action::Run(start));
            }
        }
    }

    /// Refuses what waits for a version that is no longer confirmed.
    fn recheck(&mut self, now: Duration) {
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
            self.never_run(now, link, attempt);
            return;
        };
        record.attach(link);
        match record.state {
            State::Waiting(_) => self.refuse_waiting(now, attempt, Refusal::Cancelled),
            // What must run at most once is left to finish: its outcome is
            // worth more than the room.
            State::Running if record.at_most_once => {}
            State::Running => record.stop(attempt, Fault::Cancelled, &mut self.out),
            State::Over(_) => record.flush(attempt, &mut self.out),
        }
    }

    /// Answers for an attempt that is not on record.
    fn never_run(&mut self, now: Duration, link: Link, attempt: Attempt) {
        match self.memory.seen(attempt) {
            Seen::Never => {
                let mut record = Record::tombstone(link, now);
                record.flush(attempt, &mut self.out);
                self.records.insert(attempt, record);
            }
            Seen::Done | Seen::Forgotten => {
                let fail = Message::Fail(attempt, Fault::Evicted, Executed::Unknown);
                self.out.push(Action::Send(link, fail));
            }
        }
    }

    fn query(&mut self, now: Duration, link: Link, attempt: Attempt, received: u32, allowed: u64) {
        let Some(record) = self.records.get_mut(&attempt) else {
            self.never_run(now, link, attempt);
            return;
        };
        record.attach(link);
        record.rewind(received, allowed);
        if !matches!(record.state, State::Over(_)) {
            self.out.push(Action::Send(link, Message::Alive(attempt)));
        }
        record.flush(attempt, &mut self.out);
    }

    fn done(&mut self, now: Duration, attempt: Attempt) {
        let over = |record: &Record| matches!(record.state, State::Over(_));
        if self.records.get(&attempt).is_some_and(over) {
            self.records.remove(&attempt);
            self.memory.remember(now, attempt);
        }
    }

    fn head(&mut self, now: Duration, attempt: Attempt, head: Head) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let wanted = record.version.is_some() && record.version != head.version;
        if wanted && !record.is_over() {
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
        let ending = |record: &Record| match record.stopping {
            None => Ending::Whole(record.total()),
            Some(fault) => Ending::Failed(fault, Executed::Yes),
        };
        self.finish(now, attempt, ending);
    }

    fn failed(&mut self, now: Duration, attempt: Attempt, fault: Fault, executed: Executed) {
        let ending = |record: &Record| match executed {
            Executed::No => Ending::Refused(Refusal::Unreachable, BUSY_RETRY_MS),
            executed => Ending::Failed(record.stopping.unwrap_or(fault), executed),
        };
        self.finish(now, attempt, ending);
    }

    fn finish(&mut self, now: Duration, attempt: Attempt, ending: impl Fn(&Record) -> Ending) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if !matches!(record.state, State::Running) {
            return;
        }
        let ending = ending(record);
        record.finish(now, ending);
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
        let mut late = Vec::new();
        for (attempt, record) in &mut self.records {
            let orphan = record.link.is_none() && now >= record.detached + ORPHAN_AFTER;
            match record.state {
                State::Waiting(_) if orphan => late.push((*attempt, Refusal::Cancelled)),
                State::Waiting(_) if now >= record.deadline => {
                    late.push((*attempt, Refusal::Deadline));
                }
                // It runs to its end, but nobody takes its answer any more.
                State::Running if record.at_most_once && (orphan || now >= record.deadline) => {
                    record.abandon(*attempt, &mut self.out);
                }
                State::Running if record.at_most_once => {}
                State::Running if orphan => {
                    record.stop(*attempt, Fault::Cancelled, &mut self.out);
                }
                State::Running if now >= record.deadline => {
                    record.stop(*attempt, Fault::Deadline, &mut self.out);
                }
                State::Over(_) | State::Running | State::Waiting(_) => {}
            }
        }
        for (attempt, refusal) in late {
            self.refuse_waiting(now, attempt, refusal);
        }
        self.evict(now);
        self.memory.expire(now);
    }

    /// Lets go of answers that are old or too large together.
    fn evict(&mut self, now: Duration) {
        let mut over: Vec<(Duration, Attempt, usize)> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_over())
            .map(|(attempt, record)| (record.ended, *attempt, record.kept_bytes()))
            .collect();
        over.sort_unstable();
        let mut kept: usize = over.iter().map(|(_, _, bytes)| bytes).sum();
        for (ended, attempt, bytes) in over {
            if now < ended + KEEP_ANSWERS && kept <= KEEP_BYTES_MAX {
                break;
            }
            kept -= bytes;
            self.records.remove(&attempt);
            self.memory.remember(now, attempt);
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
    record.finish(now, Ending::Refused(refusal, retry_ms(refusal)));
    record.flush(attempt, out);
}

fn retry_ms(refusal: Refusal) -> u32 {
    match refusal {
        Refusal::Busy | Refusal::Unreachable => BUSY_RETRY_MS,
        Refusal::Cancelled
        | Refusal::Deadline
        | Refusal::Leaving
        | Refusal::Service
        | Refusal::Version => 0,
    }
}
