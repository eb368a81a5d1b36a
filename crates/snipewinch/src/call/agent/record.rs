//! The agent's record of one attempt.

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

/// The number of unsent bytes above which reading from the backend server is
/// paused. It resumes once no more than half of them remain.
const PAUSE_THRESHOLD_BYTES: u64 = 64 << 10;

/// The state of an attempt.
#[derive(Debug)]
pub(super) enum State {
    Waiting(Box<Start>),
    Running,
    Finished(Outcome),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum Outcome {
    Complete(Total),
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

/// An attempt and the parts of its answer that the entry has not
/// acknowledged.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) link: Option<Link>,
    /// When the link was lost; meaningful only without a link.
    pub(super) detached_at: Duration,
    pub(super) state: State,
    pub(super) at_most_once: bool,
    pub(super) priority: u8,
    pub(super) deadline: Duration,
    pub(super) version: Option<SmolStr>,
    pub(super) finished_at: Duration,
    /// Why the backend server was asked to cancel it.
    pub(super) stop_reason: Option<Fault>,
    parts: VecDeque<Part>,
    /// The number of the first part in `parts`.
    first_retained: u32,
    /// The number of the first part that has not been sent on the current link.
    next_unsent: u32,
    acknowledged_bytes: u64,
    sent_bytes: u64,
    length_bytes: u64,
    credit_bytes: u64,
    hasher: blake3::Hasher,
    outcome_sent: bool,
    paused: bool,
    /// Whether the answer is discarded instead of retained.
    discarding: bool,
}

impl Record {
    pub(super) fn open(link: Link, now: Duration, start: Box<Start>) -> Record {
        Record {
            at_most_once: start.request.at_most_once,
            priority: start.request.priority,
            deadline: now + Duration::from_millis(start.budget_ms),
            version: start.version.clone(),
            credit_bytes: start.credit_bytes,
            state: State::Waiting(start),
            ..Record::tombstone(link, now)
        }
    }

    /// Creates a record for an attempt that has not been received and must be
    /// refused when it is.
    pub(super) fn tombstone(link: Link, now: Duration) -> Record {
        Record {
            link: Some(link),
            detached_at: now,
            state: State::Finished(Outcome::Refused(Refusal::Cancelled, 0)),
            at_most_once: false,
            priority: 0,
            deadline: now,
            version: None,
            finished_at: now,
            stop_reason: None,
            parts: VecDeque::new(),
            first_retained: 0,
            next_unsent: 0,
            acknowledged_bytes: 0,
            sent_bytes: 0,
            length_bytes: 0,
            credit_bytes: 0,
            hasher: blake3::Hasher::new(),
            outcome_sent: false,
            paused: false,
            discarding: false,
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.state, State::Finished(_))
    }

    pub(super) fn retained_bytes(&self) -> usize {
        (self.length_bytes - self.acknowledged_bytes) as usize
    }

    pub(super) fn total(&self) -> Total {
        Total {
            parts: self.first_retained + self.parts.len() as u32,
            length_bytes: self.length_bytes,
            digest: Digest::from_bytes(*self.hasher.finalize().as_bytes()),
        }
    }

    /// Changes the state from `Waiting` to `Running` and returns the start with
    /// the remaining time; `None` in any other state.
    pub(super) fn take_start(&mut self, now: Duration) -> Option<Box<Start>> {
        if !matches!(self.state, State::Waiting(_)) {
            return None;
        }
        match std::mem::replace(&mut self.state, State::Running) {
            State::Waiting(mut start) => {
                start.budget_ms = (self.deadline.saturating_sub(now)).as_millis() as u64;
                Some(start)
            }
            State::Finished(_) | State::Running => None,
        }
    }

    pub(super) fn head(&mut self, now: Duration, head: Head) {
        if matches!(self.state, State::Running) && self.first_retained == 0 && self.parts.is_empty()
        {
            self.finished_at = now;
            self.parts.push_back(Part::Head(head));
        }
    }

    pub(super) fn data(&mut self, data: Data) {
        if !matches!(self.state, State::Running) {
            return;
        }
        self.length_bytes += data.bytes.len() as u64;
        self.hasher.update(&data.bytes);
        self.parts.push_back(Part::Data(data));
        if self.discarding {
            self.discard_parts();
        }
    }

    /// Discards the answer, including parts that have not arrived yet, so
    /// that the call can run to completion without waiting for the entry.
    pub(super) fn discard_answer(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if !self.discarding {
            self.discarding = true;
            self.discard_parts();
            self.apply_backpressure(attempt, out);
        }
    }

    fn discard_parts(&mut self) {
        self.first_retained += self.parts.len() as u32;
        self.next_unsent = self.first_retained;
        self.parts.clear();
        self.acknowledged_bytes = self.length_bytes;
        self.sent_bytes = self.length_bytes;
    }

    pub(super) fn finish(&mut self, now: Duration, outcome: Outcome) {
        self.state = State::Finished(outcome);
        self.finished_at = now;
    }

    /// Asks the backend server to cancel the attempt, unless it already has
    /// been asked.
    pub(super) fn stop(&mut self, attempt: Attempt, fault: Fault, out: &mut Vec<Action>) {
        if self.stop_reason.is_none() {
            self.stop_reason = Some(fault);
            out.push(Action::Stop(attempt));
        }
    }

    pub(super) fn attach(&mut self, link: Link) {
        if self.link != Some(link) {
            self.link = Some(link);
            self.next_unsent = self.first_retained;
            self.sent_bytes = self.acknowledged_bytes;
        }
        self.outcome_sent = false;
    }

    pub(super) fn detach(&mut self, now: Duration, link: Link) {
        if self.link == Some(link) {
            self.link = None;
            self.detached_at = now;
        }
    }

    /// Removes the parts before number `received_parts`, which the entry has
    /// received, and raises the credit.
    pub(super) fn acknowledge(&mut self, received_parts: u32, credit_bytes: u64) {
        self.credit_bytes = self.credit_bytes.max(credit_bytes);
        while self.first_retained < received_parts
            && let Some(part) = self.parts.pop_front()
        {
            self.first_retained += 1;
            self.acknowledged_bytes += part.bytes();
        }
        if self.next_unsent < self.first_retained {
            self.next_unsent = self.first_retained;
            self.sent_bytes = self.acknowledged_bytes;
        }
    }

    /// Resends from part number `received_parts`, or from the first retained
    /// part if more have been acknowledged already.
    pub(super) fn rewind(&mut self, received_parts: u32, credit_bytes: u64) {
        self.acknowledge(received_parts, credit_bytes);
        self.next_unsent = self.first_retained;
        self.sent_bytes = self.acknowledged_bytes;
        self.outcome_sent = false;
    }

    /// Sends the parts that the credit allows, and the outcome after the last
    /// part.
    pub(super) fn flush(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if let Some(link) = self.link
            && self.flush_parts(attempt, link, out)
        {
            self.flush_outcome(attempt, link, out);
        }
        self.apply_backpressure(attempt, out);
    }

    /// Sends parts up to the entry's credit; returns whether all have been
    /// sent.
    fn flush_parts(&mut self, attempt: Attempt, link: Link, out: &mut Vec<Action>) -> bool {
        while let Some(part) = self
            .parts
            .get((self.next_unsent - self.first_retained) as usize)
        {
            let message = match part {
                Part::Head(head) => Message::Head(attempt, head.clone()),
                Part::Data(_) if self.sent_bytes >= self.credit_bytes => return false,
                Part::Data(data) => Message::Data(attempt, self.next_unsent, data.clone()),
            };
            self.sent_bytes += part.bytes();
            self.next_unsent += 1;
            out.push(Action::Send(link, message));
        }
        true
    }

    fn flush_outcome(&mut self, attempt: Attempt, link: Link, out: &mut Vec<Action>) {
        let message = match self.state {
            State::Finished(_) if self.outcome_sent => return,
            State::Finished(Outcome::Complete(total)) => Message::End(attempt, total),
            State::Finished(Outcome::Failed(fault, executed)) => {
                Message::Fail(attempt, fault, executed)
            }
            State::Finished(Outcome::Refused(refusal, retry_ms)) => {
                Message::Refuse(attempt, refusal, retry_ms)
            }
            State::Running | State::Waiting(_) => return,
        };
        self.outcome_sent = true;
        out.push(Action::Send(link, message));
    }

    /// Pauses or resumes reading from the backend server, depending on the
    /// number of unsent bytes.
    fn apply_backpressure(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        let unsent_bytes = self.length_bytes - self.sent_bytes;
        let running = matches!(self.state, State::Running);
        match self.paused {
            false if running && unsent_bytes > PAUSE_THRESHOLD_BYTES => {
                self.paused = true;
                out.push(Action::Pause(attempt));
            }
            true if unsent_bytes <= PAUSE_THRESHOLD_BYTES / 2 => {
                self.paused = false;
                out.push(Action::Resume(attempt));
            }
            _ => {}
        }
    }
}
