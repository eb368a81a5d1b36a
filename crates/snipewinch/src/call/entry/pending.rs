//! One call at an entry.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use super::ASK_AFTER;
use super::ASK_PATIENCE;
use super::CANCEL_LEAD;
use super::REPAIR_PATIENCE;
use super::WINDOW_BYTES;
use crate::Digest;
use crate::call::Attempt;
use crate::call::Data;
use crate::call::Executed;
use crate::call::Head;
use crate::call::Link;
use crate::call::Message;
use crate::call::Request;
use crate::call::Start;
use crate::call::Total;
use crate::host;

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) attempt: Attempt,
    pub(super) host: host::Name,
    pub(super) incarnation: u64,
}

/// Where a call stands.
#[derive(Debug)]
pub(super) enum Phase {
    /// A host is being chosen.
    Routing,
    /// An agent has been sent the call.
    Sent(Target, Link),
    /// The link to the agent went; waits for the next since then.
    Asking(Target, Duration),
}

/// What a part of an answer turns out to be.
#[derive(Debug)]
pub(super) enum Arrival<T> {
    /// The next one.
    New(T),
    /// One that came before.
    Known,
    /// Parts before it are missing.
    Gap,
    /// Not of this answer.
    Foreign,
}

/// One call and what of its answer has come.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Arc<Request>,
    pub(super) deadline: Duration,
    pub(super) phase: Phase,
    pub(super) attempts: u16,
    pub(super) avoid: Vec<host::Name>,
    /// Whether any earlier attempt ran.
    pub(super) executed: Executed,
    pub(super) cancelling: bool,
    /// When the agent last said something of the call.
    pub(super) heard: Duration,
    /// Bytes that the caller has taken, over all attempts.
    pub(super) consumed: u64,
    asked: bool,
    asked_at: Duration,
    head: Option<Head>,
    tokens: u64,
    /// Bytes passed on, over all attempts.
    delivered: u64,
    /// Of the present attempt from here on.
    received: u32,
    length: u64,
    granted: u64,
    hasher: blake3::Hasher,
}

impl Pending {
    pub(super) fn open(now: Duration, request: Arc<Request>, deadline: Duration) -> Pending {
        Pending {
            request,
            deadline,
            phase: Phase::Routing,
            attempts: 0,
            avoid: Vec::new(),
            executed: Executed::No,
            cancelling: false,
            heard: now,
            consumed: 0,
            asked: false,
            asked_at: now,
            head: None,
            tokens: 0,
            delivered: 0,
            received: 0,
            length: 0,
            granted: 0,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Begins an attempt.
    pub(super) fn start(&mut self, now: Duration, target: Target, link: Link) -> Message {
        self.received = 0;
        self.length = 0;
        self.hasher = blake3::Hasher::new();
        self.granted = self.window();
        self.heard = now;
        self.asked = false;
        self.asked_at = now;
        let attempt = target.attempt;
        self.phase = Phase::Sent(target, link);
        Message::Start(Box::new(Start {
            attempt,
            budget_ms: self.deadline.saturating_sub(now).as_millis() as u64,
            credit_bytes: self.granted,
            version: self.version(),
            resume_from: self.tokens,
            request: self.request.clone(),
        }))
    }

    /// The model version that has begun to answer.
    pub(super) fn version(&self) -> Option<SmolStr> {
        self.head.as_ref().and_then(|head| head.version.clone())
    }

    pub(super) fn target(&self) -> Option<&Target> {
        match &self.phase {
            Phase::Asking(target, _) | Phase::Sent(target, _) => Some(target),
            Phase::Routing => None,
        }
    }

    pub(super) fn is_current(&self, attempt: Attempt, link: Link) -> bool {
        match &self.phase {
            Phase::Sent(target, on) => target.attempt == attempt && *on == link,
            Phase::Asking(..) | Phase::Routing => false,
        }
    }

    /// What the agent may send in this attempt, in bytes.
    fn window(&self) -> u64 {
        let waiting = self.delivered - self.consumed.min(self.delivered);
        self.length + WINDOW_BYTES.saturating_sub(waiting)
    }

    /// A credit, once enough has been taken to be worth a message.
    pub(super) fn credit(&mut self, attempt: Attempt) -> Option<Message> {
        let window = self.window();
        if window < self.granted + WINDOW_BYTES / 2 {
            return None;
        }
        self.granted = window;
        Some(Message::Credit(attempt, self.received, window))
    }

    pub(super) fn query(&mut self, now: Duration, target: &Target) -> Message {
        self.asked = true;
        self.asked_at = now;
        self.granted = self.granted.max(self.window());
        Message::Query(target.attempt, self.received, self.granted)
    }

    /// Whether a gap has not been asked about yet.
    pub(super) fn may_ask(&self) -> bool {
        !self.asked
    }

    pub(super) fn head(&mut self, head: Head) -> Arrival<Head> {
        if self.received > 0 {
            return Arrival::Known;
        }
        self.received = 1;
        self.asked = false;
        match &self.head {
            None => {
                self.head = Some(head.clone());
                Arrival::New(head)
            }
            Some(first) if first.version == head.version && first.status == head.status => {
                Arrival::Known
            }
            Some(_) => Arrival::Foreign,
        }
    }

    pub(super) fn data(&mut self, number: u32, data: Data) -> Arrival<Data> {
        match number {
            0 => Arrival::Foreign,
            _ if number < self.received => Arrival::Known,
            _ if number > self.received => Arrival::Gap,
            _ => {
                let length = data.bytes.len() as u64;
                self.received += 1;
                self.asked = false;
                self.length += length;
                self.delivered += length;
                self.tokens += u64::from(data.tokens);
                self.hasher.update(&data.bytes);
                Arrival::New(data)
            }
        }
    }

    pub(super) fn end(&self, total: Total) -> Arrival<()> {
        let digest = || Digest::from_bytes(*self.hasher.finalize().as_bytes());
        match total {
            total if total.parts > self.received => Arrival::Gap,
            total if total.parts == 0 || total.parts < self.received => Arrival::Foreign,
            total if total.length_bytes != self.length || total.digest != digest() => {
                Arrival::Foreign
            }
            _ => Arrival::New(()),
        }
    }

    /// Whether another attempt does no harm and can make the answer whole.
    pub(super) fn may_repeat(&self) -> bool {
        // A stream of events goes on at another engine, after the tokens that
        // the caller has; any other answer is collected and can start again.
        !self.request.at_most_once
    }

    /// Forgets an answer that is collected before it is passed on; false for a
    /// stream, which goes on from where it is.
    pub(super) fn restart(&mut self) -> bool {
        let streamed = |head: &Head| self.request.is_streamed(head);
        if self.head.as_ref().is_none_or(streamed) {
            return false;
        }
        self.head = None;
        self.tokens = 0;
        self.consumed = 0;
        self.delivered = 0;
        true
    }

    /// How long to wait for a new link.
    pub(super) fn patience(&self) -> Duration {
        match self.request.at_most_once {
            true => ASK_PATIENCE,
            false => REPAIR_PATIENCE,
        }
    }

    pub(super) fn must_cancel(&self, now: Duration) -> bool {
        !self.cancelling && now + CANCEL_LEAD >= self.deadline
    }

    /// Whether time alone calls for something.
    pub(super) fn due(&self, now: Duration) -> bool {
        let quiet = now >= self.heard.max(self.asked_at) + ASK_AFTER;
        match &self.phase {
            Phase::Routing => now >= self.deadline,
            Phase::Asking(_, since) => {
                now >= self.deadline || now >= *since + self.patience() || self.must_cancel(now)
            }
            Phase::Sent(..) => now >= self.deadline || quiet || self.must_cancel(now),
        }
    }
}
