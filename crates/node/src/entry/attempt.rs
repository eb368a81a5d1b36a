//! One attempt of a request at a backend server.

use std::time::Duration;

use bytes::Bytes;
use http1::body::Decoder;
use http1::body::Step;
use http1::head::Response;
use platform::header;
use platform::notice::Notice;
use smol_str::SmolStr;
use snipewinch::attempt;
use snipewinch::pace::Load;
use tokio::time::timeout;

use super::Entry;
use super::dispatcher::Dispatcher;
use super::dispatcher::Slot;
use super::events;
use super::events::EventBuffer;
use super::exchange::Exchange;
use super::pool::Error;
use crate::clock::Clock;

/// The longest answer that is buffered until it is complete.
const BUFFERED_MAX_BYTES: usize = 256 << 10;
/// The status of a server that is not the one named in
/// [`header::EXPECTED_SERVER`]; it has not executed the request.
const MISDIRECTED: u16 = 421;
/// The status of a server that could not complete the request.
const BAD_GATEWAY: u16 = 502;
/// How long the rest of a refusal is read, so that its connection can be used
/// again.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(20);

/// What an attempt has produced.
#[derive(Debug)]
pub(crate) enum Output {
    /// The backend server did not execute the request.
    NotRun,
    /// Complete events of a stream.
    Events(Bytes),
    /// The stream has ended after a complete event.
    StreamEnd,
    /// The complete body of an answer that is no stream.
    Complete(Bytes),
    /// The first bytes of a success that is too long to be buffered.
    Long(Bytes),
}

/// The answer that is being read.
#[derive(Debug)]
struct Answer {
    head: Response,
    body: Decoder,
    is_stream: bool,
}

/// A request at a backend server, and its answer as far as it has arrived. On
/// drop, the slot is released and the connection closed, which cancels the
/// request there.
pub(crate) struct Attempt {
    pub(crate) key: attempt::Key,
    pub(crate) slot: Slot,
    /// When the request was sent.
    pub(crate) sent: Duration,
    /// When the request was sent or the last bytes of the answer arrived.
    pub(crate) last_progress: Duration,
    /// When it is next checked whether the backend server is silent.
    pub(crate) silence_check: Duration,
    /// Whether it was silent at the last check.
    pub(crate) is_silent: bool,
    /// When its first event arrived.
    pub(crate) first_event: Option<Duration>,
    /// Whether it has gone on well after its first event.
    pub(crate) has_come_through: bool,
    /// Whether the notice of its answer is still to be taken.
    is_notice_due: bool,
    clock: Clock,
    exchange: Exchange,
    /// Whether a success is a stream of events.
    expects_stream: bool,
    answer: Option<Answer>,
    buffered: Vec<u8>,
    events: EventBuffer,
    /// The id of the event after which it goes on.
    position: Option<SmolStr>,
}

impl Attempt {
    pub(crate) fn new(
        key: attempt::Key,
        slot: Slot,
        clock: Clock,
        exchange: Exchange,
        expects_stream: bool,
        position: Option<SmolStr>,
    ) -> Attempt {
        let now = clock.now();
        Attempt {
            key,
            slot,
            sent: now,
            last_progress: now,
            silence_check: now,
            is_silent: false,
            first_event: None,
            has_come_through: false,
            is_notice_due: true,
            clock,
            exchange,
            expects_stream,
            answer: None,
            buffered: Vec::new(),
            events: EventBuffer::default(),
            position,
        }
    }

    /// Whether the backend server is known to have begun it.
    pub(crate) fn has_begun(&self) -> bool {
        match self.expects_stream {
            true => self.first_event.is_some(),
            false => self.answer.is_some(),
        }
    }

    /// When it is to be withdrawn, as it would begin on weights that are too old;
    /// none once it has begun.
    pub(crate) fn withdrawal(&self, dispatcher: &Dispatcher) -> Option<Duration> {
        match self.has_begun() {
            true => None,
            false => dispatcher.withdrawal(&self.slot),
        }
    }

    /// The head of the answer, once it has arrived.
    pub(crate) fn head(&self) -> Option<&Response> {
        self.answer.as_ref().map(|answer| &answer.head)
    }

    /// Removes the events up to the one with id `last`, which the caller has
    /// from another attempt.
    pub(crate) fn skip_sent(&mut self, events: Bytes, last: Option<&SmolStr>) -> Bytes {
        let unsent = match self.position.as_ref() == last {
            true => events.clone(),
            false => last.map_or(Bytes::new(), |last| events::after(&events, last)),
        };
        self.position = events::last_id(&events).or(self.position.take());
        unsent
    }

    /// The id of the last event that it has sent, or after which it was resumed.
    pub(crate) fn position(&self) -> Option<&SmolStr> {
        self.position.as_ref()
    }

    /// The media type of the answer, without parameters; empty if it has none.
    pub(crate) fn media_type(&self) -> SmolStr {
        let head = self.head();
        let field = head.and_then(|head| head.fields.get("content-type"));
        let media_type = field.and_then(|field| field.split(';').next());
        media_type.unwrap_or_default().trim().to_lowercase().into()
    }

    /// Whether the answer says that another server has the address.
    pub(crate) fn is_misdirected(&self) -> bool {
        self.head().is_some_and(|head| head.status == MISDIRECTED)
    }

    /// Whether the answer may be the last that its server gave: a failure of a
    /// gateway, after which the server closes the connection.
    pub(crate) fn may_have_ended_server(&self) -> bool {
        self.head()
            .is_some_and(|head| head.status == BAD_GATEWAY && !head.keeps_alive)
    }

    /// The load that the backend server reported.
    pub(crate) fn load(&self) -> Option<Load> {
        Load::parse(self.head()?.fields.get(header::LOAD)?)
    }

    /// What the backend server says of itself, and when the request was sent;
    /// none before the head of its answer, if that was asked before, or if
    /// another server has answered.
    pub(crate) fn take_notice(&mut self) -> Option<(Notice, Duration)> {
        if self.is_misdirected() {
            return None;
        }
        let head = &self.answer.as_ref()?.head;
        let is_due = std::mem::take(&mut self.is_notice_due);
        is_due.then(|| {
            let notice = Notice::decode(head.status, |name| head.fields.get(name));
            (notice, self.sent)
        })
    }

    /// Waits for the next output. Cancelling it loses nothing.
    pub(crate) async fn next(&mut self) -> Result<Output, Error> {
        loop {
            let Some(answer) = &mut self.answer else {
                let head = self.exchange.read_head().await?;
                self.last_progress = self.clock.now();
                if let Some(output) = self.begin_answer(head)? {
                    return Ok(output);
                }
                continue;
            };
            let step = self.exchange.connection.read_step(&mut answer.body).await?;
            self.last_progress = self.clock.now();
            match step {
                Step::Data(data) if answer.is_stream => {
                    let events = self.events.push(&data)?;
                    if !events.is_empty() {
                        return Ok(Output::Events(events));
                    }
                }
                Step::Data(data) => {
                    self.buffered.extend_from_slice(&data);
                    let limit = BUFFERED_MAX_BYTES;
                    match self.buffered.len() > limit {
                        true if is_success(&answer.head) => {
                            return Ok(Output::Long(std::mem::take(&mut self.buffered).into()));
                        }
                        true => return Err(Error::TooLong { limit }),
                        false => {}
                    }
                }
                Step::End if answer.is_stream && !self.events.is_at_boundary() => {
                    return Err(Error::PartialEvent);
                }
                Step::End if answer.is_stream => return Ok(Output::StreamEnd),
                Step::End => {
                    return Ok(Output::Complete(std::mem::take(&mut self.buffered).into()));
                }
                Step::Incomplete => {}
            }
        }
    }

    /// Reads the next bytes of an answer that is too long to be buffered; none
    /// at its end.
    pub(crate) async fn next_part(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(answer) = &mut self.answer else {
            return Ok(None);
        };
        loop {
            match self.exchange.connection.read_step(&mut answer.body).await? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::Incomplete => {}
            }
        }
    }

    /// Records the head of the answer. Returns an output if the request was
    /// not executed.
    fn begin_answer(&mut self, head: Response) -> Result<Option<Output>, Error> {
        let not_run = head.status == MISDIRECTED || head.fields.get(header::NOT_RUN).is_some();
        let is_signed = head.fields.get(header::SIGNATURE).is_some();
        let has_id = head.fields.get(header::ATTEMPT).is_some();
        // A failure with neither is of another server than the one that is listed.
        if !not_run && !is_signed && (is_success(&head) || !has_id) {
            return Err(Error::Unsigned);
        }
        self.answer = Some(Answer {
            body: Decoder::new(head.framing),
            is_stream: self.expects_stream && is_success(&head),
            head,
        });
        Ok(not_run.then_some(Output::NotRun))
    }

    /// Releases the slot, and keeps the connection in the pool if the answer is
    /// complete and another request may follow it.
    pub(crate) fn finish(mut self, entry: &Entry) {
        let is_sent = self.exchange.is_sent();
        let Some(answer) = self.answer else {
            return;
        };
        let is_complete = answer.body.is_done() && is_sent;
        self.exchange.connection.set_pending(!is_complete);
        if is_complete && answer.head.keeps_alive {
            entry
                .pool
                .keep(self.slot.key, self.exchange.connection, &answer.head);
        }
    }

    /// Reads the rest of a refusal before [`Attempt::finish`].
    pub(crate) async fn finish_refusal(mut self, entry: &Entry) {
        let reading = async { while let Ok(Some(_)) = self.next_part().await {} };
        if timeout(REFUSAL_TIMEOUT, reading).await.is_ok() {
            self.finish(entry);
        }
    }
}

fn is_success(head: &Response) -> bool {
    (200..300).contains(&head.status)
}
