//! Where the answer to one call goes.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use caller::Answer;
use caller::Body;
use caller::Piece;
use caller::Pieces;
use caller::Problem;
use snipewinch::call::Head;
use snipewinch::call::Id;
use snipewinch::call::entry::Failure;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::driver::Command;
use crate::shutdown::Work;
use crate::trace::Span;

/// The longest answer that is collected before it is passed on.
const COLLECTED_MAX_BYTES: usize = 8 << 20;
/// A reader reports what it has taken in steps of this size.
const REPORT_BYTES: u64 = 32 << 10;

/// How a call's answer reaches the caller.
pub(super) type Reply = oneshot::Sender<Result<Answer, Problem>>;

/// What a call keeps open until its answer is out.
#[derive(Debug)]
pub(super) struct Hold {
    pub(super) span: Span,
    pub(super) _work: Work,
}

/// The answer to one call on its way to the caller.
pub(super) struct Sink {
    state: State,
    commands: mpsc::UnboundedSender<Command>,
    call: Id,
}

enum State {
    Waiting(Reply, Hold),
    Collecting(Reply, Hold, Head, BytesMut),
    Streaming(mpsc::UnboundedSender<Piece>),
    Closed,
}

/// What became of a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Taken {
    /// It waits for the caller, who will say when it is taken.
    Passed,
    /// It is collected: so many bytes may come in its place.
    Collected(u64),
    /// The answer has become too long to collect.
    TooLarge,
}

impl Sink {
    pub(super) fn open(
        call: Id,
        reply: Reply,
        hold: Hold,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Sink {
        Sink {
            state: State::Waiting(reply, hold),
            commands,
            call,
        }
    }

    /// Whether the caller has gone.
    pub(super) fn is_gone(&self) -> bool {
        match &self.state {
            State::Waiting(reply, _) | State::Collecting(reply, ..) => reply.is_closed(),
            State::Streaming(pieces) => pieces.is_closed(),
            State::Closed => true,
        }
    }

    pub(super) fn head(&mut self, head: Head, streamed: bool) {
        let State::Waiting(reply, hold) = std::mem::replace(&mut self.state, State::Closed) else {
            return;
        };
        if !streamed {
            self.state = State::Collecting(reply, hold, head, BytesMut::new());
            return;
        }
        let (sender, pieces) = mpsc::unbounded_channel();
        let stream = Stream {
            pieces,
            commands: self.commands.clone(),
            call: self.call,
            taken: 0,
            over: false,
            _hold: hold,
        };
        let answer = Answer {
            head,
            replayed: false,
            body: Body::Stream(Box::new(stream)),
        };
        self.state = State::Streaming(sender);
        // A caller who has gone drops the stream, which says so.
        let _ = reply.send(Ok(answer));
    }

    pub(super) fn data(&mut self, bytes: Bytes) -> Taken {
        match &mut self.state {
            State::Streaming(pieces) => {
                let _ = pieces.send(Piece::Data(bytes));
                Taken::Passed
            }
            State::Collecting(_, _, _, body) => {
                body.extend_from_slice(&bytes);
                match body.len() {
                    length if length > COLLECTED_MAX_BYTES => Taken::TooLarge,
                    _ => Taken::Collected(bytes.len() as u64),
                }
            }
            State::Closed | State::Waiting(..) => Taken::Collected(bytes.len() as u64),
        }
    }

    /// Forgets what was collected.
    pub(super) fn reset(&mut self) {
        match std::mem::replace(&mut self.state, State::Closed) {
            State::Collecting(reply, hold, _, _) => self.state = State::Waiting(reply, hold),
            state => self.state = state,
        }
    }

    pub(super) fn end(self) {
        match self.state {
            State::Collecting(reply, _hold, head, body) => {
                let answer = Answer {
                    head,
                    replayed: false,
                    body: Body::Whole(body.freeze()),
                };
                let _ = reply.send(Ok(answer));
            }
            State::Streaming(pieces) => {
                let _ = pieces.send(Piece::End);
            }
            State::Closed | State::Waiting(..) => {}
        }
    }

    pub(super) fn fail(self, failure: Failure) {
        match self.state {
            State::Waiting(reply, mut hold) | State::Collecting(reply, mut hold, _, _) => {
                let problem = Problem::Failed(failure);
                hold.span.set_error(problem.code());
                let _ = reply.send(Err(problem));
            }
            State::Streaming(pieces) => {
                let _ = pieces.send(Piece::Failed(failure));
            }
            State::Closed => {}
        }
    }
}

/// The caller's end of a streamed answer.
struct Stream {
    pieces: mpsc::UnboundedReceiver<Piece>,
    commands: mpsc::UnboundedSender<Command>,
    call: Id,
    /// Bytes taken and not reported.
    taken: u64,
    over: bool,
    _hold: Hold,
}

impl Stream {
    fn take(&mut self, piece: &Piece) {
        match piece {
            Piece::Data(bytes) => self.taken += bytes.len() as u64,
            Piece::End | Piece::Failed(_) => self.over = true,
        }
        if self.taken >= REPORT_BYTES {
            let taken = std::mem::take(&mut self.taken);
            // Without a driver the process ends.
            let _ = self.commands.send(Command::Consumed(self.call, taken));
        }
    }
}

impl Pieces for Stream {
    fn next(&mut self) -> Pin<Box<dyn Future<Output = Piece> + Send + '_>> {
        Box::pin(async move {
            match self.pieces.recv().await {
                Some(piece) => {
                    self.take(&piece);
                    piece
                }
                None => {
                    self.over = true;
                    Piece::Failed(super::lost())
                }
            }
        })
    }

    fn try_next(&mut self) -> Option<Piece> {
        let piece = self.pieces.try_recv().ok()?;
        self.take(&piece);
        Some(piece)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.commands.send(Command::Gone(self.call));
        }
    }
}
