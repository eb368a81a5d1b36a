//! One call at the entry, beside its state machine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snipewinch::Digest;
use snipewinch::call::Executed;
use snipewinch::call::Fault;
use snipewinch::call::Head;
use snipewinch::call::Refusal;
use snipewinch::call::Request;
use snipewinch::call::entry::Failure;
use snipewinch::call::entry::Kind;
use snipewinch::call::entry::Settled;
use snipewinch::claim;
use snipewinch::claim::Answer;
use snipewinch::claim::Outcome;
use snipewinch::limit::Sample;
use snipewinch::routing;

use super::claims::Held;
use super::sink::Sink;
use super::sink::Taken;
use crate::entry::limits::Permit;

/// A call that is under way.
pub(super) struct Open {
    pub(super) sink: Sink,
    pub(super) request: Arc<Request>,
    pub(super) prefixes: Vec<Digest>,
    pub(super) permit: Permit,
    pub(super) record: Option<Record>,
    /// When the present attempt was sent, and when its head came.
    pub(super) sent: Duration,
    pub(super) head: Option<Duration>,
}

/// What is written down of a call under an idempotency key.
pub(super) struct Record {
    held: Held,
    head: Option<Head>,
    stream: bool,
    body: Vec<u8>,
    too_long: bool,
}

impl Open {
    pub(super) fn head(&mut self, now: Duration, head: Head) {
        self.head = Some(now);
        let streamed = self.request.is_streamed(&head);
        if let Some(record) = &mut self.record {
            record.head = Some(head.clone());
            record.stream = streamed;
        }
        self.sink.head(head, streamed);
    }

    pub(super) fn data(&mut self, bytes: Bytes) -> Taken {
        if let Some(record) = &mut self.record {
            record.data(&bytes);
        }
        self.sink.data(bytes)
    }

    pub(super) fn reset(&mut self) {
        if let Some(record) = &mut self.record {
            record.body.clear();
            record.too_long = false;
        }
        self.sink.reset();
    }

    pub(super) fn end(self, now: Duration) {
        if let Some(record) = self.record {
            record.answered();
        }
        let first = self.head.unwrap_or(now);
        let wait = first.saturating_sub(self.sent);
        // An engine's unstreamed answer begins at its end, so that its time
        // tells of its length and not of a queue.
        let tells = self.request.stream || self.request.model.is_none();
        self.permit.finish(match tells {
            true => Sample::Answered(wait),
            false => Sample::Untimed,
        });
        self.sink.end();
    }

    pub(super) fn fail(self, failure: Failure) {
        match (self.record, failure.executed) {
            (Some(record), Executed::No) => record.held.release(),
            (Some(record), Executed::Unknown | Executed::Yes) => {
                record.held.record(Outcome::Unknown)
            }
            (None, _) => {}
        }
        self.permit.finish(match failure.kind {
            Kind::Busy | Kind::Deadline => Sample::Dropped,
            _ => Sample::Ignored,
        });
        self.sink.fail(failure);
    }

    /// What routing is told of an attempt that has ended.
    pub(super) fn outcome(&self, now: Duration, settled: Settled) -> routing::Outcome {
        let status = match settled {
            Settled::Served => routing::Status::Success,
            Settled::Refused(Refusal::Busy) => routing::Status::Refused(BUSY),
            Settled::Refused(Refusal::Leaving) => routing::Status::Leaving,
            Settled::Refused(Refusal::Unreachable | Refusal::Service) => routing::Status::Failure,
            Settled::Refused(_) | Settled::Abandoned => routing::Status::Cancelled,
            Settled::Failed(Fault::Cancelled | Fault::Deadline) => routing::Status::Cancelled,
            Settled::Failed(_) | Settled::Deadline | Settled::Lost => routing::Status::Failure,
        };
        routing::Outcome {
            status,
            first_byte: self.head.map(|head| head.saturating_sub(self.sent)),
            total: now.saturating_sub(self.sent),
        }
    }
}

/// How long a host that has no room is left alone.
const BUSY: Duration = Duration::from_millis(200);

impl Record {
    pub(super) fn open(mut held: Held) -> Record {
        held.start();
        Record {
            held,
            head: None,
            stream: false,
            body: Vec::new(),
            too_long: false,
        }
    }

    fn data(&mut self, bytes: &[u8]) {
        self.too_long |= self.body.len() + bytes.len() > claim::ANSWER_MAX_BYTES;
        if !self.too_long {
            self.body.extend_from_slice(bytes);
        }
    }

    fn answered(self) {
        let text = String::from_utf8(self.body).ok();
        let outcome = match (self.head, text) {
            (Some(head), Some(body)) if !self.too_long => Outcome::Answered {
                answer: Answer {
                    status: head.status,
                    headers: head.headers,
                    version: head.version,
                    stream: self.stream,
                    body,
                },
            },
            _ => Outcome::NotKept,
        };
        self.held.record(outcome);
    }
}
