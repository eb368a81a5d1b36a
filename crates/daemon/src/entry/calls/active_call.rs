//! What the entry keeps for a call in progress besides its state machine.

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

use super::claims::ClaimGuard;
use super::sink::Delivery;
use super::sink::Sink;
use crate::entry::limits::Permit;

/// A call in progress.
pub(super) struct ActiveCall {
    pub(super) sink: Sink,
    pub(super) request: Arc<Request>,
    pub(super) prefixes: Vec<Digest>,
    pub(super) permit: Permit,
    pub(super) recorder: Option<Recorder>,
    /// When the current attempt was sent.
    pub(super) sent_at: Duration,
    /// When the head of its answer arrived.
    pub(super) head_at: Option<Duration>,
}

/// Records the answer of a call with an idempotency key, to be replayed to
/// repeated requests.
pub(super) struct Recorder {
    guard: ClaimGuard,
    head: Option<Head>,
    stream: bool,
    body: Vec<u8>,
    too_large: bool,
}

impl ActiveCall {
    pub(super) fn head(&mut self, now: Duration, head: Head) {
        self.head_at = Some(now);
        let streamed = self.request.is_streamed(&head);
        if let Some(recorder) = &mut self.recorder {
            recorder.head = Some(head.clone());
            recorder.stream = streamed;
        }
        self.sink.head(head, streamed);
    }

    pub(super) fn data(&mut self, bytes: Bytes) -> Delivery {
        if let Some(recorder) = &mut self.recorder {
            recorder.data(&bytes);
        }
        self.sink.data(bytes)
    }

    pub(super) fn reset(&mut self) {
        if let Some(recorder) = &mut self.recorder {
            recorder.body.clear();
            recorder.too_large = false;
        }
        self.sink.reset();
    }

    pub(super) fn end(self, now: Duration) {
        if let Some(recorder) = self.recorder {
            recorder.finish();
        }
        let first_byte_at = self.head_at.unwrap_or(now);
        let latency = first_byte_at.saturating_sub(self.sent_at);
        // An engine sends an unstreamed answer when it is complete. Its latency
        // therefore depends on the length of the answer, not on queueing.
        let is_timed = self.request.stream || self.request.model.is_none();
        self.permit.finish(match is_timed {
            true => Sample::Answered(latency),
            false => Sample::Untimed,
        });
        self.sink.end();
    }

    pub(super) fn fail(self, failure: Failure) {
        match (self.recorder, failure.executed) {
            (Some(recorder), Executed::No) => recorder.guard.release(),
            (Some(recorder), Executed::Unknown | Executed::Yes) => {
                recorder.guard.record(Outcome::Unknown)
            }
            (None, _) => {}
        }
        self.permit.finish(match failure.kind {
            Kind::Busy | Kind::Deadline => Sample::Dropped,
            _ => Sample::Ignored,
        });
        self.sink.fail(failure);
    }

    /// The outcome of an attempt that has ended, for routing.
    pub(super) fn outcome(&self, now: Duration, settled: Settled) -> routing::Outcome {
        let status = match settled {
            Settled::Served => routing::Status::Success,
            Settled::Refused(Refusal::Busy) => routing::Status::Refused(BUSY_BACKOFF),
            Settled::Refused(Refusal::Leaving) => routing::Status::Leaving,
            Settled::Refused(Refusal::Unreachable | Refusal::Service) => routing::Status::Failure,
            Settled::Refused(_) | Settled::Abandoned => routing::Status::Cancelled,
            Settled::Failed(Fault::Cancelled | Fault::Deadline) => routing::Status::Cancelled,
            Settled::Failed(_) | Settled::Deadline | Settled::Lost => routing::Status::Failure,
        };
        routing::Outcome {
            status,
            first_byte: self
                .head_at
                .map(|head_at| head_at.saturating_sub(self.sent_at)),
            total: now.saturating_sub(self.sent_at),
        }
    }
}

/// How long a host that refused a call as busy is avoided.
const BUSY_BACKOFF: Duration = Duration::from_millis(200);

impl Recorder {
    pub(super) fn open(mut guard: ClaimGuard) -> Recorder {
        guard.start();
        Recorder {
            guard,
            head: None,
            stream: false,
            body: Vec::new(),
            too_large: false,
        }
    }

    fn data(&mut self, bytes: &[u8]) {
        self.too_large |= self.body.len() + bytes.len() > claim::ANSWER_MAX_BYTES;
        if !self.too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    fn finish(self) {
        let text = String::from_utf8(self.body).ok();
        let outcome = match (self.head, text) {
            (Some(head), Some(body)) if !self.too_large => Outcome::Answered {
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
        self.guard.record(outcome);
    }
}
