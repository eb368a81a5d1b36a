//! Handles the messages that agents send about an entry's calls.

use std::time::Duration;

use super::Action;
use super::Arrival;
use super::Attempt;
use super::Data;
use super::Entry;
use super::Executed;
use super::Fault;
use super::Head;
use super::Id;
use super::Kind;
use super::Link;
use super::Message;
use super::Pending;
use super::Refusal;
use super::Settled;
use super::Total;
use crate::host;

impl Entry {
    pub(super) fn message(&mut self, now: Duration, link: Link, message: Message) {
        let attempt = message.attempt();
        if attempt.origin != self.origin {
            return;
        }
        let current = self
            .calls
            .get_mut(&attempt.call)
            .filter(|pending| pending.is_current(attempt, link));
        let Some(pending) = current else {
            self.settle_stale(link, message);
            return;
        };
        pending.last_message_at = now;
        match message {
            Message::Head(_, head) => self.head(now, link, attempt, head),
            Message::Data(_, number, data) => self.data(now, link, attempt, number, data),
            Message::End(_, total) => self.end(now, link, attempt, total),
            Message::Refuse(_, refusal, retry_ms) => {
                self.refused(link, attempt, refusal, retry_ms);
            }
            Message::Fail(_, fault, executed) => {
                self.out.push(Action::Send(link, Message::Done(attempt)));
                let host = self.host_of(attempt.call);
                self.retry_if_repeatable(attempt.call, host, executed, Settled::Failed(fault));
            }
            Message::Alive(_)
            | Message::Cancel(_)
            | Message::Credit(..)
            | Message::Done(_)
            | Message::Query(..)
            | Message::Start(_) => {}
        }
    }

    /// Replies to a message about an attempt that is not current, so that the
    /// agent cancels it or removes its record.
    fn settle_stale(&mut self, link: Link, message: Message) {
        let attempt = message.attempt();
        match message {
            Message::End(..) | Message::Fail(..) | Message::Refuse(..) => {
                self.out.push(Action::Send(link, Message::Done(attempt)));
            }
            Message::Alive(_) | Message::Head(..) => {
                self.out.push(Action::Send(link, Message::Cancel(attempt)));
            }
            _ => {}
        }
    }

    pub(super) fn host_of(&self, call: Id) -> host::Name {
        let target = self.calls.get(&call).and_then(Pending::target);
        target.map_or_else(|| host::Name::from(""), |target| target.host.clone())
    }

    fn head(&mut self, now: Duration, link: Link, attempt: Attempt, head: Head) {
        let Some(pending) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        match pending.head(head) {
            Arrival::New(head) => self.out.push(Action::Head(attempt.call, head)),
            Arrival::Duplicate => {}
            Arrival::Gap => self.query_missing(now, attempt.call),
            Arrival::Mismatch => self.reject(link, attempt),
        }
    }

    fn data(&mut self, now: Duration, link: Link, attempt: Attempt, number: u32, data: Data) {
        let Some(pending) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        match pending.data(number, data) {
            Arrival::New(data) => {
                self.out.push(Action::Data(attempt.call, data));
                if let Some(credit) = pending.credit(attempt) {
                    self.out.push(Action::Send(link, credit));
                }
            }
            Arrival::Duplicate => {}
            Arrival::Gap => self.query_missing(now, attempt.call),
            Arrival::Mismatch => self.reject(link, attempt),
        }
    }

    fn end(&mut self, now: Duration, link: Link, attempt: Attempt, total: Total) {
        let Some(pending) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        match pending.end(total) {
            Arrival::New(()) => {
                let host = self.host_of(attempt.call);
                self.calls.remove(&attempt.call);
                self.out.push(Action::Send(link, Message::Done(attempt)));
                self.out
                    .push(Action::Settled(attempt.call, host, Settled::Served));
                self.out.push(Action::End(attempt.call));
            }
            Arrival::Gap => self.query_missing(now, attempt.call),
            Arrival::Mismatch | Arrival::Duplicate => self.reject(link, attempt),
        }
    }

    /// Cancels an attempt whose answer is inconsistent.
    fn reject(&mut self, link: Link, attempt: Attempt) {
        self.out.push(Action::Send(link, Message::Cancel(attempt)));
        let host = self.host_of(attempt.call);
        let settled = Settled::Failed(Fault::Malformed);
        self.retry_if_repeatable(attempt.call, host, Executed::Yes, settled);
    }

    fn refused(&mut self, link: Link, attempt: Attempt, refusal: Refusal, retry_ms: u32) {
        self.out.push(Action::Send(link, Message::Done(attempt)));
        let host = self.host_of(attempt.call);
        let settled = Settled::Refused(refusal);
        let kind = match refusal {
            Refusal::Busy | Refusal::Cancelled => Kind::Busy,
            Refusal::Deadline => Kind::Deadline,
            Refusal::Leaving | Refusal::Service | Refusal::Unreachable => Kind::NoBackend,
            Refusal::Version => Kind::NoVersion,
        };
        match refusal {
            Refusal::Deadline => {
                self.out.push(Action::Settled(attempt.call, host, settled));
                self.fail(attempt.call, Kind::Deadline, 0);
            }
            _ => self.retry_unexecuted(attempt.call, host, kind, retry_ms, settled),
        }
    }
}
