//! Passes the answer of a call to its caller, streamed or as a whole.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use caller::Answer;
use caller::Body;
use caller::BodyStream;
use caller::Part;
use caller::Problem;
use snipewinch::call::Head;
use snipewinch::call::Id;
use snipewinch::call::entry::Failure;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::driver::Command;
use crate::shutdown::WorkGuard;
use crate::trace::Span;

/// The maximum size of an answer that is buffered until it is complete.
const BUFFER_MAX_BYTES: usize = 8 << 20;
/// The number of bytes that a caller reads before this is reported to the
/// driver.
const READ_REPORT_BYTES: u64 = 32 << 10;

/// Sends the answer, whose body may still be streamed, to the caller.
pub(super) type Reply = oneshot::Sender<Result<Answer, Problem>>;

/// The span of a call and its token that delays a shutdown, both held until the
/// answer has been sent.
#[derive(Debug)]
pub(super) struct Scope {
    pub(super) span: Span,
    pub(super) _work: WorkGuard,
}

/// Passes the answer of one call to the caller.
pub(super) struct Sink {
    state: State,
    commands: mpsc::UnboundedSender<Command>,
    call: Id,
}

enum State {
    Waiting(Reply, Scope),
    Buffering(Reply, Scope, Head, BytesMut),
    Streaming(mpsc::UnboundedSender<Part>),
    Closed,
}

/// What the sink has done with a part of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Delivery {
    /// It is queued for the caller, who reports what it has read.
    Queued,
    /// It is buffered or discarded: this number of bytes counts as read.
    Buffered(u64),
    /// The answer exceeds [`BUFFER_MAX_BYTES`].
    TooLarge,
}

impl Sink {
    pub(super) fn open(
        call: Id,
        reply: Reply,
        scope: Scope,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Sink {
        Sink {
            state: State::Waiting(reply, scope),
            commands,
            call,
        }
    }

    /// Whether the caller has disconnected or the sink is closed.
    pub(super) fn is_disconnected(&self) -> bool {
        match &self.state {
            State::Waiting(reply, _) | State::Buffering(reply, ..) => reply.is_closed(),
            State::Streaming(parts) => parts.is_closed(),
            State::Closed => true,
        }
    }

    pub(super) fn head(&mut self, head: Head, streamed: bool) {
        let State::Waiting(reply, scope) = std::mem::replace(&mut self.state, State::Closed) else {
            return;
        };
        if !streamed {
            self.state = State::Buffering(reply, scope, head, BytesMut::new());
            return;
        }
        let (sender, parts) = mpsc::unbounded_channel();
        let stream = Stream {
            parts,
            commands: self.commands.clone(),
            call: self.call,
            unreported_bytes: 0,
            ended: false,
            _scope: scope,
        };
        let answer = Answer {
            head,
            replayed: false,
            body: Body::Stream(Box::new(stream)),
        };
        self.state = State::Streaming(sender);
        // If the caller has disconnected, the stream is dropped, which reports
        // it to the driver.
        let _ = reply.send(Ok(answer));
    }

    pub(super) fn data(&mut self, bytes: Bytes) -> Delivery {
        match &mut self.state {
            State::Streaming(parts) => {
                let _ = parts.send(Part::Data(bytes));
                Delivery::Queued
            }
            State::Buffering(_, _, _, body) => {
                body.extend_from_slice(&bytes);
                match body.len() {
                    length if length > BUFFER_MAX_BYTES => Delivery::TooLarge,
                    _ => Delivery::Buffered(bytes.len() as u64),
                }
            }
            State::Closed | State::Waiting(..) => Delivery::Buffered(bytes.len() as u64),
        }
    }

    /// Discards the buffered answer, which restarts from the beginning.
    pub(super) fn reset(&mut self) {
        match std::mem::replace(&mut self.state, State::Closed) {
            State::Buffering(reply, scope, _, _) => self.state = State::Waiting(reply, scope),
            state => self.state = state,
        }
    }

    pub(super) fn end(self) {
        match self.state {
            State::Buffering(reply, _scope, head, body) => {
                let answer = Answer {
                    head,
                    replayed: false,
                    body: Body::Complete(body.freeze()),
                };
                let _ = reply.send(Ok(answer));
            }
            State::Streaming(parts) => {
                let _ = parts.send(Part::End);
            }
            State::Closed | State::Waiting(..) => {}
        }
    }

    pub(super) fn fail(self, failure: Failure) {
        match self.state {
            State::Waiting(reply, mut scope) | State::Buffering(reply, mut scope, _, _) => {
                let problem = Problem::Failed(failure);
                scope.span.set_error(problem.code());
                let _ = reply.send(Err(problem));
            }
            State::Streaming(parts) => {
                let _ = parts.send(Part::Failed(failure));
            }
            State::Closed => {}
        }
    }
}

/// The caller's end of a streamed answer; dropping it before the answer has
/// ended reports that the caller has disconnected.
struct Stream {
    parts: mpsc::UnboundedReceiver<Part>,
    commands: mpsc::UnboundedSender<Command>,
    call: Id,
    /// Bytes that the caller has read since the last report.
    unreported_bytes: u64,
    ended: bool,
    _scope: Scope,
}

impl Stream {
    fn count(&mut self, part: &Part) {
        match part {
            Part::Data(bytes) => self.unreported_bytes += bytes.len() as u64,
            Part::End | Part::Failed(_) => self.ended = true,
        }
        if self.unreported_bytes >= READ_REPORT_BYTES {
            let unreported_bytes = std::mem::take(&mut self.unreported_bytes);
            // The driver only stops when the process exits.
            let _ = self
                .commands
                .send(Command::Consumed(self.call, unreported_bytes));
        }
    }
}

impl BodyStream for Stream {
    fn next(&mut self) -> Pin<Box<dyn Future<Output = Part> + Send + '_>> {
        Box::pin(async move {
            match self.parts.recv().await {
                Some(part) => {
                    self.count(&part);
                    part
                }
                None => {
                    self.ended = true;
                    Part::Failed(super::outcome_unknown())
                }
            }
        })
    }

    fn try_next(&mut self) -> Option<Part> {
        let part = self.parts.try_recv().ok()?;
        self.count(&part);
        Some(part)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.commands.send(Command::Disconnected(self.call));
        }
    }
}
