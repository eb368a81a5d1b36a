//! One attempt at an agent.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use super::Action;
use crate::Digest;
use crate::call::Attempt;
use crate::call::Data;
use crate::call::Executed;
use crate::call::Fault;
use crate::call::Head;
use crate::call::Link;
use crate::call::Message;
use crate::call::Refusal;
use crate::call::Start;
use crate::call::Total;

/// Bytes that wait for the entry's credit before the backend server is no
/// longer read.
const HOLD_BYTES: u64 = 64 << 10;

/// Where an attempt stands.
#[derive(Debug)]
pub(super) enum State {
    Waiting(Box<Start>),
    Running,
    Over(Ending),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum Ending {
    Whole(Total),
    Failed(Fault, Executed),
    Refused(Refusal, u32),
}

#[derive(Debug)]
enum Part {
    Head(Head),
    Data(Data),
}

impl Part {
    fn bytes(&self) -> u64 {
        match self {
            Part::Head(_) => 0,
            Part::Data(data) => data.bytes.len() as u64,
        }
    }
}

/// One attempt and what of its answer the entry may still lack.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) link: Option<Link>,
    /// Since when it has no link.
    pub(super) detached: Duration,
    pub(super) state: State,
    pub(super) at_most_once: bool,
    pub(super) priority: u8,
    pub(super) deadline: Duration,
    pub(super) version: Option<SmolStr>,
    pub(super) ended: Duration,
    /// Why it was told to stop.
    pub(super) stopping: Option<Fault>,
    parts: VecDeque<Part>,
    /// The number of the first part that is kept.
    first: u32,
    /// The number of the first part that is not sent on the present link.
    next: u32,
    acknowledged: u64,
    sent: u64,
    length: u64,
    allowed: u64,
    hasher: blake3::Hasher,
    ending_sent: bool,
    paused: bool,
    /// Its answer is no longer kept.
    abandoned: bool,
}

impl Record {
    pub(super) fn open(link: Link, now: Duration, start: Box<Start>) -> Record {
        Record {
            at_most_once: start.request.at_most_once,
            priority: start.request.priority,
            deadline: now + Duration::from_millis(start.budget_ms),
            version: start.version.clone(),
            allowed: start.credit_bytes,
            state: State::Waiting(start),
            ..Record::tombstone(link, now)
        }
    }

    /// Stands for an attempt that must not run when it comes.
    pub(super) fn tombstone(link: Link, now: Duration) -> Record {
        Record {
            link: Some(link),
            detached: now,
            state: State::Over(Ending::Refused(Refusal::Cancelled, 0)),
            at_most_once: false,
            priority: 0,
            deadline: now,
            version: None,
            ended: now,
            stopping: None,
            parts: VecDeque::new(),
            first: 0,
            next: 0,
            acknowledged: 0,
            sent: 0,
            length: 0,
            allowed: 0,
            hasher: blake3::Hasher::new(),
            ending_sent: false,
            paused: false,
            abandoned: false,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(self.state, State::Over(_))
    }

    pub(super) fn kept_bytes(&self) -> usize {
        (self.length - self.acknowledged) as usize
    }

    pub(super) fn total(&self) -> Total {
        Total {
            parts: self.first + self.parts.len() as u32,
            length_bytes: self.length,
            digest: Digest::from_bytes(*self.hasher.finalize().as_bytes()),
        }
    }

    /// Takes the start out, once.
    pub(super) fn run(&mut self, now: Duration) -> Option<Box<Start>> {
        if !matches!(self.state, State::Waiting(_)) {
            return None;
        }
        match std::mem::replace(&mut self.state, State::Running) {
            State::Waiting(mut start) => {
                start.budget_ms = (self.deadline.saturating_sub(now)).as_millis() as u64;
                Some(start)
            }
            State::Over(_) | State::Running => None,
        }
    }

    pub(super) fn head(&mut self, now: Duration, head: Head) {
        if matches!(self.state, State::Running) && self.first == 0 && self.parts.is_empty() {
            self.ended = now;
            self.parts.push_back(Part::Head(head));
        }
    }

    pub(super) fn data(&mut self, data: Data) {
        if !matches!(self.state, State::Running) {
            return;
        }
        self.length += data.bytes.len() as u64;
        self.hasher.update(&data.bytes);
        self.parts.push_back(Part::Data(data));
        if self.abandoned {
            self.forget_parts();
        }
    }

    /// Lets the rest run without being held back by an entry that has gone.
    pub(super) fn abandon(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if !self.abandoned {
            self.abandoned = true;
            self.forget_parts();
            self.flow(attempt, out);
        }
    }

    fn forget_parts(&mut self) {
        self.first += self.parts.len() as u32;
        self.next = self.first;
        self.parts.clear();
        self.acknowledged = self.length;
        self.sent = self.length;
    }

    pub(super) fn finish(&mut self, now: Duration, ending: Ending) {
        self.state = State::Over(ending);
        self.ended = now;
    }

    /// Asks the backend server to stop, once.
    pub(super) fn stop(&mut self, attempt: Attempt, fault: Fault, out: &mut Vec<Action>) {
        if self.stopping.is_none() {
            self.stopping = Some(fault);
            out.push(Action::Stop(attempt));
        }
    }

    pub(super) fn attach(&mut self, link: Link) {
        if self.link != Some(link) {
            self.link = Some(link);
            self.next = self.first;
            self.sent = self.acknowledged;
        }
        self.ending_sent = false;
    }

    pub(super) fn detach(&mut self, now: Duration, link: Link) {
        if self.link == Some(link) {
            self.link = None;
            self.detached = now;
        }
    }

    /// The entry has all parts before `received`.
    pub(super) fn acknowledge(&mut self, received: u32, allowed: u64) {
        self.allowed = self.allowed.max(allowed);
        while self.first < received
            && let Some(part) = self.parts.pop_front()
        {
            self.first += 1;
            self.acknowledged += part.bytes();
        }
        if self.next < self.first {
            self.next = self.first;
            self.sent = self.acknowledged;
        }
    }

    /// Starts again from part `received`, or from the first that is kept if a
    /// later message has acknowledged more.
    pub(super) fn rewind(&mut self, received: u32, allowed: u64) {
        self.acknowledge(received, allowed);
        self.next = self.first;
        self.sent = self.acknowledged;
        self.ending_sent = false;
    }

    /// Sends what may be sent.
    pub(super) fn flush(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if let Some(link) = self.link
            && self.flush_parts(attempt, link, out)
        {
            self.flush_ending(attempt, link, out);
        }
        self.flow(attempt, out);
    }

    /// Sends parts up to the entry's credit; true once all are sent.
    fn flush_parts(&mut self, attempt: Attempt, link: Link, out: &mut Vec<Action>) -> bool {
        while let Some(part) = self.parts.get((self.next - self.first) as usize) {
            let message = match part {
                Part::Head(head) => Message::Head(attempt, head.clone()),
                Part::Data(_) if self.sent >= self.allowed => return false,
                Part::Data(data) => Message::Data(attempt, self.next, data.clone()),
            };
            self.sent += part.bytes();
            self.next += 1;
            out.push(Action::Send(link, message));
        }
        true
    }

    fn flush_ending(&mut self, attempt: Attempt, link: Link, out: &mut Vec<Action>) {
        let message = match self.state {
            State::Over(_) if self.ending_sent => return,
            State::Over(Ending::Whole(total)) => Message::End(attempt, total),
            State::Over(Ending::Failed(fault, executed)) => Message::Fail(attempt, fault, executed),
            State::Over(Ending::Refused(refusal, retry_ms)) => {
                Message::Refuse(attempt, refusal, retry_ms)
            }
            State::Running | State::Waiting(_) => return,
        };
        self.ending_sent = true;
        out.push(Action::Send(link, message));
    }

    /// Holds the backend server back while too much waits here.
    fn flow(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        let held = self.length - self.sent;
        let running = matches!(self.state, State::Running);
        match self.paused {
            false if running && held > HOLD_BYTES => {
                self.paused = true;
                out.push(Action::Pause(attempt));
            }
            true if held <= HOLD_BYTES / 2 => {
                self.paused = false;
                out.push(Action::Resume(attempt));
            }
            _ => {}
        }
    }
}
