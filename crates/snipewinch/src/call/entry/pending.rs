//! The state of a call in progress at an entry.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use super::AT_MOST_ONCE_RECONNECT_TIMEOUT;
use super::CANCEL_LEAD;
use super::QUERY_INTERVAL;
use super::RECONNECT_TIMEOUT;
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

/// An attempt and the agent that runs it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) attempt: Attempt,
    pub(super) host: host::Name,
    pub(super) incarnation: u64,
}

/// The phase of a call.
#[derive(Debug)]
pub(super) enum Phase {
    /// A host is being selected.
    Routing,
    /// The attempt has been sent to an agent over the link.
    Sent(Target, Link),
    /// The link to the agent was lost at this time; waits for a new one.
    Reconnecting(Target, Duration),
    /// Another host is being selected while the agent is out of reach.
    Replacing(Target),
}

/// How a received part relates to what has been received before.
#[derive(Debug)]
pub(super) enum Arrival<T> {
    /// It is the next part.
    New(T),
    /// It has been received before.
    Duplicate,
    /// Earlier parts are missing.
    Gap,
    /// It contradicts what has been received.
    Mismatch,
}

/// A call and the progress of its answer.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) request: Arc<Request>,
    pub(super) deadline: Duration,
    pub(super) phase: Phase,
    pub(super) attempts: u16,
    pub(super) avoid: Vec<host::Name>,
    /// Whether any attempt has run, as far as known.
    pub(super) executed: Executed,
    pub(super) cancelling: bool,
    /// When the agent last sent a message about the call.
    pub(super) last_message_at: Duration,
    /// Bytes that the caller has read, over all attempts.
    pub(super) consumed_bytes: u64,
    queried: bool,
    queried_at: Duration,
    head: Option<Head>,
    tokens: u64,
    /// Bytes passed on to the caller, over all attempts.
    delivered_bytes: u64,
    /// Parts received in the current attempt. Like the fields below, it is
    /// reset when an attempt starts.
    received_parts: u32,
    length_bytes: u64,
    credit_bytes: u64,
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
            last_message_at: now,
            consumed_bytes: 0,
            queried: false,
            queried_at: now,
            head: None,
            tokens: 0,
            delivered_bytes: 0,
            received_parts: 0,
            length_bytes: 0,
            credit_bytes: 0,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Begins an attempt and returns its start message.
    pub(super) fn start(&mut self, now: Duration, target: Target, link: Link) -> Message {
        self.received_parts = 0;
        self.length_bytes = 0;
        self.hasher = blake3::Hasher::new();
        self.credit_bytes = self.window();
        self.last_message_at = now;
        self.queried = false;
        self.queried_at = now;
        let attempt = target.attempt;
        self.phase = Phase::Sent(target, link);
        Message::Start(Box::new(Start {
            attempt,
            budget_ms: self.deadline.saturating_sub(now).as_millis() as u64,
            credit_bytes: self.credit_bytes,
            version: self.version(),
            resume_from: self.tokens,
            request: self.request.clone(),
        }))
    }

    /// The model version of the stream that has begun. An answer that is
    /// buffered begins anew at another host, on any version.
    pub(super) fn version(&self) -> Option<SmolStr> {
        let resumed = |head: &&Head| self.request.is_streamed(head);
        let head = self.head.as_ref().filter(resumed);
        head.and_then(|head| head.version.clone())
    }

    pub(super) fn target(&self) -> Option<&Target> {
        match &self.phase {
            Phase::Reconnecting(target, _) | Phase::Replacing(target) | Phase::Sent(target, _) => {
                Some(target)
            }
            Phase::Routing => None,
        }
    }

    pub(super) fn is_current(&self, attempt: Attempt, link: Link) -> bool {
        match &self.phase {
            Phase::Sent(target, on) => target.attempt == attempt && *on == link,
            Phase::Reconnecting(..) | Phase::Replacing(_) | Phase::Routing => false,
        }
    }

    /// The credit of the current attempt: the number of bytes that the agent
    /// may send, counted from the start of the attempt's answer.
    fn window(&self) -> u64 {
        let waiting = self.delivered_bytes - self.consumed_bytes.min(self.delivered_bytes);
        self.length_bytes + WINDOW_BYTES.saturating_sub(waiting)
    }

    /// Returns a credit message if the credit has grown by at least half a
    /// window, so that small reads do not cause a message each.
    pub(super) fn credit(&mut self, attempt: Attempt) -> Option<Message> {
        let window = self.window();
        if window < self.credit_bytes + WINDOW_BYTES / 2 {
            return None;
        }
        self.credit_bytes = window;
        Some(Message::Credit(attempt, self.received_parts, window))
    }

    pub(super) fn query(&mut self, now: Duration, target: &Target) -> Message {
        self.queried = true;
        self.queried_at = now;
        self.credit_bytes = self.credit_bytes.max(self.window());
        Message::Query(target.attempt, self.received_parts, self.credit_bytes)
    }

    /// Whether no query has been sent since the last new part.
    pub(super) fn may_query(&self) -> bool {
        !self.queried
    }

    pub(super) fn head(&mut self, head: Head) -> Arrival<Head> {
        if self.received_parts > 0 {
            return Arrival::Duplicate;
        }
        self.received_parts = 1;
        self.queried = false;
        match &self.head {
            None => {
                self.head = Some(head.clone());
                Arrival::New(head)
            }
            Some(first) if first.version == head.version && first.status == head.status => {
                Arrival::Duplicate
            }
            Some(_) => Arrival::Mismatch,
        }
    }

    pub(super) fn data(&mut self, number: u32, data: Data) -> Arrival<Data> {
        match number {
            0 => Arrival::Mismatch,
            _ if number < self.received_parts => Arrival::Duplicate,
            _ if number > self.received_parts => Arrival::Gap,
            _ => {
                let length_bytes = data.bytes.len() as u64;
                self.received_parts += 1;
                self.queried = false;
                self.length_bytes += length_bytes;
                self.delivered_bytes += length_bytes;
                self.tokens += u64::from(data.tokens);
                self.hasher.update(&data.bytes);
                Arrival::New(data)
            }
        }
    }

    pub(super) fn end(&self, total: Total) -> Arrival<()> {
        let digest = || Digest::from_bytes(*self.hasher.finalize().as_bytes());
        match total {
            total if total.parts > self.received_parts => Arrival::Gap,
            total if total.parts == 0 || total.parts < self.received_parts => Arrival::Mismatch,
            total if total.length_bytes != self.length_bytes || total.digest != digest() => {
                Arrival::Mismatch
            }
            _ => Arrival::New(()),
        }
    }

    /// Whether the call may be attempted again after it may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        // A stream of events resumes at another engine after the tokens that
        // the caller already has. Any other answer is buffered and can
        // restart from the beginning.
        !self.request.at_most_once
    }

    /// Discards a buffered answer and returns true. Returns false if there is
    /// none, or for a stream, which resumes where it stopped.
    pub(super) fn reset(&mut self) -> bool {
        let streamed = |head: &Head| self.request.is_streamed(head);
        if self.head.as_ref().is_none_or(streamed) {
            return false;
        }
        self.head = None;
        self.tokens = 0;
        self.consumed_bytes = 0;
        self.delivered_bytes = 0;
        true
    }

    /// How long to wait for a new link to the agent.
    pub(super) fn reconnect_timeout(&self) -> Duration {
        match self.request.at_most_once {
            true => AT_MOST_ONCE_RECONNECT_TIMEOUT,
            false => RECONNECT_TIMEOUT,
        }
    }

    pub(super) fn must_cancel(&self, now: Duration) -> bool {
        !self.cancelling && now + CANCEL_LEAD >= self.deadline
    }

    /// Whether a timeout has passed that requires an action.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        let quiet = now >= self.last_message_at.max(self.queried_at) + QUERY_INTERVAL;
        match &self.phase {
            Phase::Replacing(_) | Phase::Routing => now >= self.deadline,
            Phase::Reconnecting(_, since) => {
                now >= self.deadline
                    || now >= *since + self.reconnect_timeout()
                    || self.must_cancel(now)
            }
            Phase::Sent(..) => now >= self.deadline || quiet || self.must_cancel(now),
        }
    }
}
