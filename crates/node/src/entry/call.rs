//! Runs one request: its attempts at backend servers and the answer to its
//! caller.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http1::body::Decoder;
use http1::body::Step;
use http1::head::Request;
use http1::head::Response;
use http1::write;
use platform::header;
use smol_str::SmolStr;
use snipewinch::dispatch::Waiter;
use snipewinch::health::Outcome;
use snipewinch::health::stall_timeout;
use snipewinch::route::Repeat;
use snipewinch::route::Route;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::Entry;
use super::answer;
use super::answer::Reason;
use super::backends::Key;
use super::cut;
use super::cut::Cause;
use super::dispatcher::Refusal;
use super::dispatcher::Slot;
use super::dispatcher::SlotRequest;
use super::events::EventBuffer;
use super::pool::Connection;

/// The time to the deadline of a request whose caller gives none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// How long an idempotent request waits for the head of an answer before it is
/// sent to another backend server, in multiples of its route's latency goal.
const HEAD_TIMEOUT_GOALS: u32 = 3;
/// The minimum of that wait.
const HEAD_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// The time that a request takes to the engine and an event back to the caller,
/// a few network delays. A slot is needed that much before an event is due.
const ROUND_TRIP: Duration = Duration::from_millis(12);
/// The longest wait for a slot, in multiples of the route's latency goal.
/// Callers abandon a stream that has not begun a few multiples later.
const QUEUE_WAIT_GOALS: f64 = 5.0;
/// The longest wait for a slot, as a fraction of the time to the deadline.
const QUEUE_WAIT_FRACTION: f64 = 0.4;
/// The longest answer that is buffered until it is complete.
const BUFFERED_MAX_BYTES: usize = 256 << 10;
/// The status of a server that is not the one named in
/// [`header::EXPECTED_SERVER`]; it has not executed the request.
const MISDIRECTED: u16 = 421;
/// The part of the remaining time that is kept for the answer to reach the
/// caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// A request of a caller, with its route and customer.
pub(crate) struct Call {
    /// The id that the caller gave to this attempt.
    pub(crate) id: SmolStr,
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) customer: Option<SmolStr>,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    pub(crate) service: SmolStr,
    /// Whether the service runs model engines, whose agents grant slots.
    pub(crate) has_engine: bool,
    /// When its last byte arrived, by the process's clock.
    pub(crate) arrived: Duration,
    /// The time by which the caller, or the route if it is stricter, needs the
    /// answer.
    pub(crate) deadline: Duration,
    /// The version of the configuration in force when it arrived.
    pub(crate) configuration_version: u64,
    /// Whether the connection is closed after the answer.
    pub(crate) closes: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The complete answer was sent; the connection can be reused.
    Complete,
    /// The caller disconnected before the answer was complete.
    Aborted,
    /// The entry ended the answer before it was complete; the connection must
    /// be closed.
    Cut,
}

/// How one attempt ended.
enum AttemptEnd {
    /// The complete answer was sent.
    Answered,
    /// Nothing more can be sent to the caller.
    CallerGone,
    /// The backend server broke off an answer that no other can complete.
    BrokenOff,
    /// The backend server has certainly not executed the request.
    NotRun,
    /// The backend server may have executed the request.
    Unknown,
    /// The backend server answered with an error; the complete answer has not
    /// been sent to the caller yet.
    Failure(Box<(Response, Bytes)>),
}

/// The progress of a request over all of its attempts.
#[derive(Default)]
struct Progress {
    /// Whether the request was sent to a backend server that has not reported
    /// that it did not execute it.
    may_have_run: bool,
    /// Whether sending an answer to the caller has begun.
    head_sent: bool,
    /// How long the request waited for slots.
    queue_time: Duration,
    /// The time from its arrival to its first event.
    first_event_delay: Duration,
    /// When the last event, or part of an answer without events, was sent.
    last_event: Duration,
    /// The longest time between two events.
    event_gap_max: Duration,
    events: EventBuffer,
}

impl Call {
    /// The deadline of a request that arrives now: the one of its caller or the
    /// timeout of its route, whichever is earlier.
    pub(crate) fn deadline_of(head: &Request, route: &Route, now: Duration) -> Duration {
        let requested = head.fields.number::<u64>(header::DEADLINE_MS);
        let requested = requested.map_or(DEADLINE_DEFAULT, Duration::from_millis);
        now + route
            .timeout
            .map_or(requested, |limit| requested.min(limit))
    }

    /// The number of tokens of its prompt as given by its caller; 0 if none.
    fn prompt_tokens(&self) -> u32 {
        let tokens = self.head.fields.get(header::TOKENS).unwrap_or_default();
        let prompt = tokens.split(',').next().unwrap_or_default();
        prompt.trim().parse().unwrap_or(0)
    }

    /// Encodes the request for a backend server with `left` time to the
    /// deadline. `resume` is the id of the last event that the caller has of a
    /// stream.
    fn encode(&self, slot: &Slot, left: Duration, resume: Option<&str>) -> Vec<u8> {
        let mut out = Vec::with_capacity(640 + self.body.len());
        let mut head = write::Head::request(&mut out, &self.head.method, &self.head.target);
        let connection_field = self.head.fields.get("connection").unwrap_or_default();
        for (name, value) in self.head.fields.iter() {
            if is_forwarded(name, connection_field)
                && !(resume.is_some() && same_name(name, header::LAST_EVENT))
            {
                head.field(name, value);
            }
        }
        head.number(header::DEADLINE_MS, left.as_millis());
        head.field(header::EXPECTED_SERVER, slot.id.as_bytes());
        if let Some(customer) = &self.customer {
            head.field(header::CUSTOMER, customer.as_bytes());
        }
        if let Some(id) = resume {
            head.field(header::LAST_EVENT, id.as_bytes());
        }
        let has_body =
            !self.body.is_empty() || !matches!(self.head.method.as_str(), "GET" | "HEAD");
        if has_body {
            head.number("Content-Length", self.body.len());
        }
        head.end();
        out.extend_from_slice(&self.body);
        out
    }
}

/// Runs a request until its answer is sent, the caller has disconnected or its
/// deadline has passed.
pub(crate) async fn run(entry: &Rc<Entry>, call: &Call, out: &mut WriteHalf<'_>) -> End {
    let mut progress = Progress::default();
    let mut tried: Vec<Key> = Vec::new();
    let deadline = entry.clock.at(call.deadline);
    let end = tokio::select! {
        end = run_attempts(entry, call, &mut progress, &mut tried, out) => Some(end),
        () = sleep_until(deadline) => None,
    };
    match end {
        Some(end) => end,
        None if progress.head_sent => {
            log::info!("E7101 request {} cut off at its deadline", call.id);
            cut::end(entry, call, Cause::Deadline, progress.last_event)
        }
        None if progress.may_have_run => refuse(entry, call, out, Reason::AnswerTimeout).await,
        None => refuse(entry, call, out, Reason::DeadlinePassed).await,
    }
}

async fn run_attempts(
    entry: &Rc<Entry>,
    call: &Call,
    progress: &mut Progress,
    tried: &mut Vec<Key>,
    out: &mut WriteHalf<'_>,
) -> End {
    entry.record_first_attempt(&call.service);
    let mut possible_runs = 0;
    let mut sends = 0;
    let mut failure: Option<Box<(Response, Bytes)>> = None;
    loop {
        let queued = entry.clock.now();
        let slot = match entry
            .dispatcher
            .acquire_slot(slot_request(entry, call, tried, progress))
            .await
        {
            Ok(slot) => slot,
            Err(refusal) => return end_call(entry, call, progress, failure, refusal, out).await,
        };
        progress.queue_time += entry.clock.now().saturating_sub(queued);
        entry
            .metrics
            .slot_wait
            .observe(progress.queue_time.as_secs_f64());
        let key = slot.key;
        let attempt_end = run_attempt(entry, call, &slot, progress, out).await;
        drop(slot);
        sends += 1;
        let (may_retry, reason) = match attempt_end {
            AttemptEnd::Answered => return End::Complete,
            AttemptEnd::CallerGone => return End::Aborted,
            AttemptEnd::BrokenOff => {
                return cut::end(entry, call, Cause::BrokenOff, progress.last_event);
            }
            AttemptEnd::NotRun => (sends < call.route.attempts_max + 1, Reason::Busy),
            AttemptEnd::Unknown => {
                possible_runs += 1;
                tried.push(key);
                let may_retry =
                    call.route.repeat.may_rerun() && possible_runs < call.route.attempts_max;
                (may_retry, Reason::Unknown)
            }
            AttemptEnd::Failure(answer) => {
                possible_runs += 1;
                tried.push(key);
                let may_retry = call.route.repeat == Repeat::Idempotent
                    && possible_runs < call.route.attempts_max;
                failure = Some(answer);
                (may_retry, Reason::Unknown)
            }
        };
        if !tried.contains(&key) {
            tried.push(key);
        }
        let will_retry = may_retry && entry.try_retry(&call.service);
        log::info!(
            "E7102 attempt {sends} of request {} at backend server {} failed: possibly executed {possible_runs} times, retry {will_retry}",
            call.id,
            entry.dispatcher.backend_name(key)
        );
        if will_retry {
            continue;
        }
        if let Some(answer) = failure {
            return send_answer(entry, call, &answer.0, answer.1, out).await;
        }
        return match progress.head_sent {
            true => cut::end(entry, call, Cause::NoRetry, progress.last_event),
            false if progress.may_have_run => refuse(entry, call, out, Reason::Unknown).await,
            false => refuse(entry, call, out, reason).await,
        };
    }
}

/// Ends a request that got no slot: with the answer of an earlier failed
/// attempt if there is one, else with a refusal.
async fn end_call(
    entry: &Rc<Entry>,
    call: &Call,
    progress: &Progress,
    failure: Option<Box<(Response, Bytes)>>,
    refusal: Refusal,
    out: &mut WriteHalf<'_>,
) -> End {
    let reason = match refusal {
        _ if progress.may_have_run => Reason::Unknown,
        Refusal::NoServer => Reason::Nobody,
        Refusal::Busy => Reason::Busy,
    };
    match failure {
        Some(answer) => send_answer(entry, call, &answer.0, answer.1, out).await,
        None if progress.head_sent => cut::end(entry, call, Cause::NoSlot, progress.last_event),
        None => refuse(entry, call, out, reason).await,
    }
}

fn slot_request(entry: &Entry, call: &Call, tried: &[Key], progress: &Progress) -> SlotRequest {
    let now = entry.clock.now();
    let goal = call.route.latency_goal;
    let left = call.deadline.saturating_sub(now);
    let wait_max = goal
        .mul_f64(QUEUE_WAIT_GOALS)
        .min(left.mul_f64(QUEUE_WAIT_FRACTION));
    let resumes = !tried.is_empty();
    SlotRequest {
        service: call.service.clone(),
        has_engine: call.has_engine,
        tried: tried.to_vec(),
        waiter: Waiter {
            arrived: call.arrived,
            due: match progress.head_sent {
                true => now + goal,
                false => (call.arrived + goal).saturating_sub(ROUND_TRIP),
            },
            tokens: call.prompt_tokens(),
            expires: match resumes {
                true => now + wait_max,
                false => call.arrived + wait_max,
            },
            priority: call.priority,
            resumes,
        },
    }
}

/// Sends the request to the backend server of `slot` and relays the answer.
async fn run_attempt(
    entry: &Rc<Entry>,
    call: &Call,
    slot: &Slot,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> AttemptEnd {
    // A pooled connection may have been closed without notice. That would leave
    // the outcome unknown of a request that must not be executed twice.
    let pooled = match call.route.repeat {
        Repeat::Never => None,
        Repeat::Idempotent | Repeat::Stream { .. } => entry.pool.take(slot.key),
    };
    let opened = match pooled {
        Some(connection) => Ok(connection),
        None => Connection::connect(slot.address).await,
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(
                "E7103 request {} was not sent to backend server {}: {error}",
                call.id,
                slot.id
            );
            entry
                .dispatcher
                .record_outcome(slot.key, Outcome::Failed, None);
            entry
                .metrics
                .attempts
                .with_label_values(&["unreached"])
                .inc();
            return AttemptEnd::NotRun;
        }
    };
    let left = call.deadline.saturating_sub(entry.clock.now());
    let left = left
        .saturating_sub(DEADLINE_MARGIN)
        .max(Duration::from_millis(1));
    let resume = progress.events.last_id.clone();
    let request = call.encode(slot, left, resume.as_deref());
    let head_timeout = match call.route.repeat {
        Repeat::Stream { gap, .. } => stall_timeout(gap),
        Repeat::Idempotent => (call.route.latency_goal * HEAD_TIMEOUT_GOALS).max(HEAD_TIMEOUT_MIN),
        Repeat::Never => Duration::MAX,
    };
    let may_have_run = std::mem::replace(&mut progress.may_have_run, true);
    let exchange = connection.exchange(&request, &call.head.method, &call.id);
    let (head, request_sent) = match timeout(head_timeout, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return record_no_answer(entry, call, slot, &error.to_string()),
        Err(_) => return record_no_answer(entry, call, slot, "no answer in time"),
    };
    let load = head.fields.get(header::LOAD).and_then(parse_load);
    let not_run = head.status == MISDIRECTED || head.fields.get(header::NOT_RUN).is_some();
    if not_run {
        progress.may_have_run = may_have_run;
        log::info!(
            "E7104 backend server {} did not execute request {}: status {}",
            slot.id,
            call.id,
            head.status
        );
        entry
            .dispatcher
            .record_outcome(slot.key, Outcome::Answered, load);
        if head.status == MISDIRECTED {
            entry.dispatcher.record_misdirected(slot.key);
        }
        entry.metrics.attempts.with_label_values(&["not_run"]).inc();
        drain_refusal(entry, slot.key, connection, &head, request_sent).await;
        return AttemptEnd::NotRun;
    }
    let is_stream = call.route.repeat.is_stream() && (200..300).contains(&head.status);
    match is_stream {
        true => relay_events(entry, call, slot, connection, &head, progress, out).await,
        false => {
            relay_buffered(
                entry,
                call,
                slot,
                connection,
                head,
                request_sent,
                progress,
                load,
                out,
            )
            .await
        }
    }
}

/// Records an attempt without a valid answer, whose outcome is unknown.
fn record_no_answer(entry: &Entry, call: &Call, slot: &Slot, cause: &str) -> AttemptEnd {
    log::info!(
        "E7105 request {} got no valid answer from backend server {}: {cause}",
        call.id,
        slot.id
    );
    entry
        .dispatcher
        .record_outcome(slot.key, Outcome::Failed, None);
    entry.metrics.attempts.with_label_values(&["unknown"]).inc();
    AttemptEnd::Unknown
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn drain_refusal(
    entry: &Entry,
    key: Key,
    mut connection: Connection,
    head: &Response,
    request_sent: bool,
) {
    let mut body = Decoder::new(head.framing);
    let reading = async {
        while let Ok(Step::Data(_)) = connection.read_step(&mut body).await {}
        body.is_done()
    };
    let done = timeout(Duration::from_millis(20), reading)
        .await
        .unwrap_or(false);
    if done && request_sent && head.keeps_alive {
        entry.pool.keep(key, connection, head);
    }
}

/// Relays an answer that is buffered until it is complete. One longer than
/// [`BUFFERED_MAX_BYTES`] is relayed in chunks.
#[expect(clippy::too_many_arguments, reason = "the state of one attempt")]
async fn relay_buffered(
    entry: &Rc<Entry>,
    call: &Call,
    slot: &Slot,
    mut connection: Connection,
    head: Response,
    request_sent: bool,
    progress: &mut Progress,
    load: Option<(u32, u32)>,
    out: &mut WriteHalf<'_>,
) -> AttemptEnd {
    let mut body = Decoder::new(head.framing);
    let mut buffered = Vec::new();
    loop {
        match connection.read_step(&mut body).await {
            Ok(Step::Data(data)) => buffered.extend_from_slice(&data),
            Ok(Step::End) => break,
            Ok(Step::Incomplete) => {}
            Err(error) => return record_no_answer(entry, call, slot, &error.to_string()),
        }
        if buffered.len() > BUFFERED_MAX_BYTES {
            return relay_chunked(
                entry, call, slot, connection, body, &head, buffered, progress, out,
            )
            .await;
        }
    }
    let success = (200..300).contains(&head.status);
    let signed = head.fields.get(header::SIGNATURE).is_some();
    if success && !signed {
        return record_no_answer(entry, call, slot, "success without a signature");
    }
    entry
        .dispatcher
        .record_outcome(slot.key, Outcome::Answered, load);
    if request_sent && head.keeps_alive {
        entry.pool.keep(slot.key, connection, &head);
    }
    let buffered = Bytes::from(buffered);
    if !success && progress.head_sent {
        return AttemptEnd::Unknown;
    }
    if !success {
        entry.metrics.attempts.with_label_values(&["failure"]).inc();
        return AttemptEnd::Failure(Box::new((head, buffered)));
    }
    entry.metrics.attempts.with_label_values(&["success"]).inc();
    match send_answer(entry, call, &head, buffered, out).await {
        End::Complete => AttemptEnd::Answered,
        End::Aborted | End::Cut => AttemptEnd::CallerGone,
    }
}

/// Relays an answer in chunks that is too long to be buffered. It starts with
/// the bytes buffered so far.
#[expect(clippy::too_many_arguments, reason = "the state of one attempt")]
async fn relay_chunked(
    entry: &Rc<Entry>,
    call: &Call,
    slot: &Slot,
    mut connection: Connection,
    mut body: Decoder,
    head: &Response,
    buffered: Vec<u8>,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> AttemptEnd {
    progress.head_sent = true;
    progress.last_event = entry.clock.now();
    let mut bytes = answer::chunked(head, call.closes);
    write::chunk(&mut bytes, &buffered);
    drop(buffered);
    loop {
        if out.write_all(&bytes).await.is_err() {
            return AttemptEnd::CallerGone;
        }
        bytes.clear();
        match connection.read_step(&mut body).await {
            Ok(Step::Data(data)) => {
                progress.last_event = entry.clock.now();
                write::chunk(&mut bytes, &data);
            }
            Ok(Step::End) => break,
            Ok(Step::Incomplete) => {}
            Err(error) => {
                let _ = record_no_answer(entry, call, slot, &error.to_string());
                // Part of the answer is sent, so no other attempt can follow.
                return AttemptEnd::BrokenOff;
            }
        }
    }
    write::last_chunk(&mut bytes);
    entry
        .dispatcher
        .record_outcome(slot.key, Outcome::Answered, None);
    entry.record_answer(call, head.status);
    match out.write_all(&bytes).await {
        Ok(()) => AttemptEnd::Answered,
        Err(_) => AttemptEnd::CallerGone,
    }
}

/// Relays a stream of events, each only when it is complete.
async fn relay_events(
    entry: &Rc<Entry>,
    call: &Call,
    slot: &Slot,
    mut connection: Connection,
    head: &Response,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> AttemptEnd {
    if head.fields.get(header::SIGNATURE).is_none() {
        return record_no_answer(entry, call, slot, "stream without a signature");
    }
    if progress.head_sent {
        entry.metrics.streams_resumed.inc();
    }
    let event_timeout = match call.route.repeat {
        Repeat::Stream { gap, .. } => stall_timeout(gap),
        Repeat::Idempotent | Repeat::Never => Duration::MAX,
    };
    let mut body = Decoder::new(head.framing);
    let mut bytes = Vec::with_capacity(1024);
    let mut last_received = entry.clock.now();
    loop {
        let next = timeout(event_timeout, connection.read_step(&mut body)).await;
        let step = match next {
            Ok(Ok(step)) => step,
            Ok(Err(error)) => {
                progress.events.discard_partial();
                return record_no_answer(entry, call, slot, &error.to_string());
            }
            Err(_) => {
                progress.events.discard_partial();
                let silence = entry.clock.now().saturating_sub(last_received);
                let cause = format!("no event in time, silent for {} ms", silence.as_millis());
                return record_no_answer(entry, call, slot, &cause);
            }
        };
        last_received = entry.clock.now();
        match step {
            Step::Data(data) => {
                let Some(events) = progress.events.push(&data) else {
                    return record_no_answer(entry, call, slot, "event too long");
                };
                if events.is_empty() {
                    continue;
                }
                let now = entry.clock.now();
                if !progress.head_sent {
                    progress.head_sent = true;
                    bytes = answer::chunked(head, call.closes);
                    progress.first_event_delay = now.saturating_sub(call.arrived);
                    progress.last_event = now;
                    entry
                        .metrics
                        .first_byte
                        .observe(progress.first_event_delay.as_secs_f64());
                    entry
                        .dispatcher
                        .record_outcome(slot.key, Outcome::Answered, None);
                }
                progress.event_gap_max = progress
                    .event_gap_max
                    .max(now.saturating_sub(progress.last_event));
                progress.last_event = now;
                write::chunk(&mut bytes, &events);
            }
            Step::End if !progress.events.is_at_boundary() || !progress.head_sent => {
                progress.events.discard_partial();
                return record_no_answer(
                    entry,
                    call,
                    slot,
                    "stream ended without a complete last event",
                );
            }
            Step::End => break,
            Step::Incomplete => {}
        }
        if out.write_all(&bytes).await.is_err() {
            return AttemptEnd::CallerGone;
        }
        bytes.clear();
    }
    write::last_chunk(&mut bytes);
    entry.metrics.attempts.with_label_values(&["success"]).inc();
    entry.record_answer(call, head.status);
    log::info!(
        "E7107 stream {} ended at backend server {}: waited {} ms for slots, first event after {} ms, longest gap {} ms, tokens {}, goal {} ms",
        call.id,
        slot.id,
        progress.queue_time.as_millis(),
        progress.first_event_delay.as_millis(),
        progress.event_gap_max.as_millis(),
        call.head.fields.get(header::TOKENS).unwrap_or("unknown"),
        call.route.latency_goal.as_millis()
    );
    if head.keeps_alive {
        entry.pool.keep(slot.key, connection, head);
    }
    match out.write_all(&bytes).await {
        Ok(()) => AttemptEnd::Answered,
        Err(_) => AttemptEnd::CallerGone,
    }
}

/// Sends a complete answer of a backend server to the caller.
async fn send_answer(
    entry: &Entry,
    call: &Call,
    head: &Response,
    body: Bytes,
    out: &mut WriteHalf<'_>,
) -> End {
    entry.record_answer(call, head.status);
    let bytes = answer::buffered(head, &body, call.closes);
    match out.write_all(&bytes).await {
        Ok(()) => End::Complete,
        Err(_) => End::Aborted,
    }
}

/// Answers the request with an error of the entry itself.
async fn refuse(entry: &Entry, call: &Call, out: &mut WriteHalf<'_>, reason: Reason) -> End {
    let now = entry.clock.now();
    let elapsed = now.saturating_sub(call.arrived);
    log::info!(
        "E7106 request {} on route {} refused after {} ms: {}",
        call.id,
        call.route.name,
        elapsed.as_millis(),
        reason.text()
    );
    entry
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    entry.record_answer(call, reason.status());
    let bytes = answer::refusal(
        reason,
        entry.retry_after(reason, call.deadline.saturating_sub(now)),
        Some(&call.id),
        call.closes,
    );
    match out.write_all(&bytes).await {
        Ok(()) => End::Complete,
        Err(_) => End::Aborted,
    }
}

fn same_name(name: &str, other: &str) -> bool {
    name.eq_ignore_ascii_case(other)
}

/// Whether a field of a request is forwarded: it is not hop-by-hop, neither by
/// its name nor by the request's `Connection` field, and the entry does not set
/// it.
fn is_forwarded(name: &str, connection_field: &str) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let excluded = HOP_BY_HOP
        .iter()
        .chain(&header::RESERVED)
        .any(|other| same_name(name, other));
    let listed = connection_field
        .split(',')
        .any(|other| same_name(other.trim(), name));
    !excluded && !listed
}

/// Parses the running and waiting requests of a load field.
fn parse_load(value: &str) -> Option<(u32, u32)> {
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??))
}
