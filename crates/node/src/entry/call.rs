//! Runs one request: its attempts at backend servers and the answer to its
//! caller.

use std::future::pending;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http1::head::Request;
use http1::head::Response;
use http1::write;
use platform::header;
use smol_str::SmolStr;
use snipewinch::attempt;
use snipewinch::attempt::Attempts;
use snipewinch::attempt::Event;
use snipewinch::attempt::Step;
use snipewinch::cutover;
use snipewinch::dispatch;
use snipewinch::dispatch::Waiter;
use snipewinch::health::Outcome;
use snipewinch::health::stall_timeout;
use snipewinch::hedge::Withheld;
use snipewinch::placement::Exclusion;
use snipewinch::quarantine::Key as QuarantineKey;
use snipewinch::quarantine::Verdict;
use snipewinch::region::Mask;
use snipewinch::route::Repeat;
use snipewinch::route::Route;
use tokio::net::tcp::WriteHalf;
use tokio::time::sleep_until;

use super::Entry;
use super::answer::Reason;
use super::attempt::Attempt;
use super::attempt::Output;
use super::backends::Key;
use super::cut;
use super::cut::Cause;
use super::dispatcher::Refusal;
use super::dispatcher::Slot;
use super::dispatcher::SlotRequest;
use super::exchange::Exchange;
use super::old_weights;
use super::old_weights::withdraw_beside;
use super::pool;
use super::pool::Connection;
use super::quarantine;
use super::relay;
use super::second_attempt;
use crate::shutdown::Phase;

/// The time to the deadline of a request whose caller gives none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// How long a backend server may be silent before an idempotent request also
/// goes to another one, in multiples of its route's latency goal.
const SILENCE_GOALS: u32 = 3;
/// The minimum of that time.
const SILENCE_MIN: Duration = Duration::from_millis(500);
/// The time that a request takes to the engine and an event back to the caller,
/// a few network delays. A slot is needed that much before an event is due.
const ROUND_TRIP: Duration = Duration::from_millis(12);
/// The longest wait for a slot, in multiples of the route's latency goal.
/// Callers abandon a stream that has not begun a few multiples later.
const QUEUE_WAIT_GOALS: f64 = 5.0;
/// The longest wait for a slot, as a fraction of the time to the deadline.
const QUEUE_WAIT_FRACTION: f64 = 0.4;
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
    /// The regions that its route and its customer allow by the configuration with
    /// which it arrived; [`Entry::regions`] has those in force.
    pub(crate) regions: Mask,
    /// Whether the service runs model engines, whose agents grant slots.
    pub(crate) has_engine: bool,
    /// What it has in common with other requests, which may end servers.
    pub(crate) keys: Vec<QuarantineKey>,
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

/// Why an attempt could not be started.
enum StartError {
    /// No slot was to be had.
    Refused(Refusal),
    /// The backend server was not reached.
    Unreached(Key),
}

/// A slot at a backend server, and an open connection to it.
type Started = (Slot, Connection);

/// Starts a further attempt.
type Start<'a> = Pin<Box<dyn Future<Output = Result<Started, StartError>> + 'a>>;

/// What happened while a request waited.
enum Wakeup {
    /// A slot and a connection for a further attempt were obtained, or not.
    Started(Box<Result<Started, StartError>>),
    /// The open attempt at an index has gone on, or failed.
    Output(usize, Result<Output, pool::Error>),
    /// It is time to check whether open attempts are silent.
    SilenceCheck,
    /// The only attempt takes longer than most.
    Slow,
    /// Open attempts may not have begun while their weights could be used.
    Withdrawal,
}

/// The progress of a request over all of its attempts.
pub(super) struct Progress {
    pub(super) attempts: Attempts,
    pub(super) open: Vec<Attempt>,
    /// When the request gets a second attempt unless it has begun.
    pub(super) second_due: Option<Duration>,
    /// Whether the attempt that is being started is a second one.
    pub(super) starts_second: bool,
    /// The second attempt.
    pub(super) second: Option<attempt::Key>,
    /// Backend servers to which no further attempt goes.
    pub(super) tried: Vec<Key>,
    /// The error that a backend server answered last.
    pub(super) failure: Option<Box<(Response, Bytes)>>,
    /// Why a request that was not executed is refused.
    pub(super) shortage: Reason,
    /// Whether sending an answer to the caller has begun.
    pub(super) head_sent: bool,
    /// The media type of the stream that the caller gets, once it has begun.
    pub(super) media_type: Option<SmolStr>,
    /// Why the answer is cut if no attempt can complete it.
    pub(super) cut_cause: Cause,
    /// The attempt whose answer is relayed.
    pub(super) answering: Option<attempt::Key>,
    /// The id of the last event that was sent.
    pub(super) last_event_id: Option<SmolStr>,
    /// How long the request waited for slots.
    pub(super) queue_time: Duration,
    /// The time from its arrival to its first event.
    pub(super) first_event_delay: Duration,
    /// When the last event, or part of an answer without events, was sent.
    pub(super) last_event: Duration,
    /// The longest time between two events.
    pub(super) event_gap_max: Duration,
}

impl Progress {
    fn new(route: &Route) -> Progress {
        Progress {
            attempts: Attempts::new(route.repeat, route.attempts_max),
            open: Vec::new(),
            second_due: None,
            starts_second: false,
            second: None,
            tried: Vec::new(),
            failure: None,
            shortage: Reason::Busy,
            head_sent: false,
            media_type: None,
            cut_cause: Cause::NoRetry,
            answering: None,
            last_event_id: None,
            queue_time: Duration::ZERO,
            first_event_delay: Duration::ZERO,
            last_event: Duration::ZERO,
            event_gap_max: Duration::ZERO,
        }
    }
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
    pub(super) fn prompt_tokens(&self) -> u32 {
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
    let mut progress = Progress::new(&call.route);
    let deadline = entry.clock.at(call.deadline);
    let (cause, reason) = tokio::select! {
        end = run_attempts(entry, call, &mut progress, out) => return end,
        () = sleep_until(deadline) => (Cause::Deadline, Reason::AnswerTimeout),
        () = entry.wait_for_phase(Phase::Ending) => (Cause::Stop, Reason::Stopped),
    };
    progress.open.clear();
    match progress.head_sent {
        true => {
            log::info!("E7101 request {} cut off: {}", call.id, cause.name());
            cut::end(entry, call, cause, progress.last_event)
        }
        false => relay::end_unanswered(entry, call, &mut progress, out, reason).await,
    }
}

async fn run_attempts(
    entry: &Rc<Entry>,
    call: &Call,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> End {
    entry.record_first_attempt(&call.service);
    let mut start = Some(start_attempt(entry, call, progress));
    let mut queued = entry.clock.now();
    loop {
        let wakeup = wait(entry, progress, &mut start).await;
        if let Wakeup::Output(index, _) = &wakeup {
            let attempt = &mut progress.open[*index];
            if let Some((notice, sent)) = attempt.take_notice() {
                entry
                    .dispatcher
                    .record_notice(attempt.slot.key, sent, notice);
            }
        }
        let is_start = matches!(&wakeup, Wakeup::Started(_));
        let sends = progress.attempts.sends();
        let step = match wakeup {
            Wakeup::Started(started) => {
                start = None;
                progress.queue_time += entry.clock.now().saturating_sub(queued);
                entry
                    .metrics
                    .slot_wait
                    .observe(progress.queue_time.as_secs_f64());
                begin_attempt(entry, call, progress, *started)
            }
            Wakeup::Output(index, Ok(Output::NotRun)) => {
                record_not_run(entry, call, progress, index).await
            }
            Wakeup::Output(index, Ok(Output::StreamEnd | Output::Events(_)))
                if relay::is_superseded(progress, index) =>
            {
                relay::drop_superseded(entry, progress, index)
            }
            Wakeup::Output(index, Ok(Output::StreamEnd | Output::Events(_)))
                if !relay::continues_stream(progress, index) =>
            {
                let attempt = progress.open.remove(index);
                record_broken(entry, call, progress, attempt, &pool::Error::NoStream)
            }
            Wakeup::Output(index, Ok(Output::Events(events))) => {
                start = None;
                match relay::relay_events(entry, call, progress, index, events, out).await {
                    Ok(step) => step,
                    Err(end) => return end,
                }
            }
            Wakeup::Output(index, Ok(Output::StreamEnd))
                if relay::has_all_events(progress, index) =>
            {
                return relay::end_stream(entry, call, progress, index, out).await;
            }
            Wakeup::Output(index, Ok(Output::StreamEnd)) => {
                let attempt = progress.open.remove(index);
                record_broken(entry, call, progress, attempt, &pool::Error::PartialEvent)
            }
            Wakeup::Output(index, Ok(Output::Complete(body))) => {
                let attempt = progress.open.remove(index);
                let step = match attempt.may_have_ended_server() {
                    true => {
                        let recording = quarantine::record_end(entry, call, &attempt);
                        let beside = withdraw_beside(entry, call, progress, recording);
                        beside.await.1
                    }
                    false => Step::Wait,
                };
                match complete(entry, call, progress, attempt, body) {
                    Ok((head, body)) => {
                        return relay::send_answer(entry, call, progress, &head, body, out).await;
                    }
                    Err(next) => step.or(next),
                }
            }
            Wakeup::Output(index, Ok(Output::Long(_))) if progress.head_sent => {
                let attempt = progress.open.remove(index);
                record_broken(entry, call, progress, attempt, &pool::Error::Mismatched)
            }
            Wakeup::Output(index, Ok(Output::Long(begin))) => {
                drop(start);
                return relay::relay_chunked(entry, call, progress, index, begin, out).await;
            }
            Wakeup::Output(index, Err(error)) => {
                let attempt = progress.open.remove(index);
                let step = match attempt.has_come_through {
                    true => Step::Wait,
                    false => {
                        let recording = quarantine::record_broken(entry, call, &attempt, &error);
                        let beside = withdraw_beside(entry, call, progress, recording);
                        beside.await.1
                    }
                };
                step.or(record_broken(entry, call, progress, attempt, &error))
            }
            Wakeup::SilenceCheck => check_silence(entry, call, progress),
            Wakeup::Slow => {
                if second_attempt::may_start(entry, call, progress) {
                    queued = entry.clock.now();
                    start = Some(start_attempt(entry, call, progress));
                }
                Step::Wait
            }
            Wakeup::Withdrawal => old_weights::withdraw(entry, call, progress),
        };
        match step {
            Step::Wait => {}
            Step::Retry if !may_retry(entry, call) => {
                if progress.attempts.handle(Event::Refused) == Step::End {
                    return relay::end_unanswered(entry, call, progress, out, Reason::Unknown)
                        .await;
                }
            }
            // What has reached no backend server is no retry.
            Step::Retry
                if is_start && progress.attempts.sends() == sends
                    || entry.try_retry(&call.service) =>
            {
                queued = entry.clock.now();
                start = Some(start_attempt(entry, call, progress));
            }
            Step::Retry => {
                log::info!(
                    "E7120 request {} is not sent again: the retry budget of service {} is used up",
                    call.id,
                    call.service
                );
                if progress.attempts.handle(Event::Refused) == Step::End {
                    return relay::end_unanswered(entry, call, progress, out, Reason::Unknown)
                        .await;
                }
            }
            Step::End => {
                return relay::end_unanswered(entry, call, progress, out, Reason::Unknown).await;
            }
        }
    }
}

/// Waits for the next event of a request.
async fn wait(entry: &Entry, progress: &mut Progress, start: &mut Option<Start<'_>>) -> Wakeup {
    let withdrawal = old_weights::wait_withdrawal(entry, &progress.open);
    let checks = progress.open.iter().map(|attempt| attempt.silence_check);
    let check = checks.min().filter(|at| *at < Duration::MAX);
    let silence = async {
        match check {
            Some(at) => sleep_until(entry.clock.at(at)).await,
            None => pending().await,
        }
    };
    let slow = second_attempt::wait_slow(entry, progress, start.is_some());
    let started = async {
        match start {
            Some(start) => start.await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        (index, output) = next_output(&mut progress.open) => Wakeup::Output(index, output),
        started = started => Wakeup::Started(Box::new(started)),
        () = withdrawal => Wakeup::Withdrawal,
        () = slow => Wakeup::Slow,
        () = silence => Wakeup::SilenceCheck,
    }
}

/// Waits for an output of any open attempt.
async fn next_output(open: &mut [Attempt]) -> (usize, Result<Output, pool::Error>) {
    match open {
        [] => pending().await,
        [only] => (0, only.next().await),
        [first, second, ..] => tokio::select! {
            biased;
            output = first.next() => (0, output),
            output = second.next() => (1, output),
        },
    }
}

/// Starts to obtain a slot and a connection for an attempt.
fn start_attempt<'a>(entry: &'a Rc<Entry>, call: &'a Call, progress: &Progress) -> Start<'a> {
    let request = slot_request(entry, call, progress);
    Box::pin(async move {
        let acquired = entry.dispatcher.acquire_slot(request).await;
        let slot = acquired.map_err(StartError::Refused)?;
        // A pooled connection may have been closed without notice. That would
        // leave the outcome unknown of a request that must not be executed
        // twice.
        let pooled = match call.route.repeat.may_rerun() {
            true => entry.pool.take(slot.key, old_weights::idle_max(&slot)),
            false => None,
        };
        let opened = match pooled {
            Some(connection) => Ok(connection),
            None => connect(entry, &slot).await,
        };
        match opened {
            Ok(connection) => Ok((slot, connection)),
            Err(error) => {
                log::info!(
                    "E7103 request {} was not sent to backend server {}: {error}",
                    call.id,
                    slot.id
                );
                entry
                    .dispatcher
                    .record_outcome(slot.key, unreached_outcome(&error), None);
                entry
                    .metrics
                    .attempts
                    .with_label_values(&["unreached"])
                    .inc();
                Err(StartError::Unreached(slot.key))
            }
        }
    })
}

async fn connect(entry: &Entry, slot: &Slot) -> Result<Connection, pool::Error> {
    let started = entry.clock.now();
    let opened = Connection::connect(slot.address).await?;
    let took = entry.clock.now().saturating_sub(started);
    entry.dispatcher.record_connected(slot.key, took);
    Ok(opened)
}

fn unreached_outcome(error: &pool::Error) -> Outcome {
    match error {
        pool::Error::Connect { source } if source.kind() == ErrorKind::ConnectionRefused => {
            Outcome::Refused
        }
        pool::Error::Connect { .. } => Outcome::Unreached,
        _ => Outcome::Failed,
    }
}

fn slot_request(entry: &Entry, call: &Call, progress: &Progress) -> SlotRequest {
    let now = entry.clock.now();
    let goal = call.route.latency_goal;
    let left = call.deadline.saturating_sub(now);
    let wait_max = goal
        .mul_f64(QUEUE_WAIT_GOALS)
        .min(left.mul_f64(QUEUE_WAIT_FRACTION));
    if progress.starts_second {
        return second_attempt::slot_request(entry, call, progress);
    }
    let resumes = !progress.tried.is_empty();
    SlotRequest {
        is_second: false,
        service: call.service.clone(),
        regions: entry.regions(call),
        route: call.route.name.clone(),
        customer: call.customer.clone(),
        has_engine: call.has_engine,
        is_suspected: entry.quarantine.is_suspected(now, &call.keys),
        tried: progress.tried.clone(),
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
            customer: call
                .customer
                .as_ref()
                .map_or(0, |name| dispatch::customer_digest(name)),
            resumes,
        },
    }
}

/// Sends the request over a new attempt's connection.
fn begin_attempt(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    started: Result<Started, StartError>,
) -> Step {
    let is_second = std::mem::take(&mut progress.starts_second);
    let (slot, connection) = match started {
        Ok(started) => started,
        Err(StartError::Refused(_)) if is_second => {
            second_attempt::record_withheld(entry, Withheld::NoSlot);
            // Nothing was sent; if the first attempt has ended, this is the time to retry.
            return progress.attempts.handle(Event::Unreached);
        }
        Err(StartError::Refused(refusal)) => {
            progress.shortage = match refusal {
                Refusal::NoServer => Reason::Nobody,
                Refusal::Busy => Reason::Busy,
                Refusal::Resting(rest) => Reason::Resting(rest),
                Refusal::Region => Reason::Region,
                Refusal::Evacuated => Reason::Evacuated,
            };
            if refusal == Refusal::Region {
                entry.record_no_region(call);
            }
            let now = entry.clock.now();
            entry.hedge.borrow_mut().record_refusal(now, &call.service);
            progress.cut_cause = Cause::NoSlot;
            return progress.attempts.handle(Event::Refused);
        }
        Err(StartError::Unreached(server)) => {
            progress.tried.push(server);
            let step = progress.attempts.handle(Event::Unreached);
            log_attempt_end(entry, call, progress, server, step);
            return step;
        }
    };
    // It may have asked for rest, be about to leave or have been evacuated in the
    // meantime, or the request may no longer go to its region.
    let placed = entry.dispatcher.check_held(slot.key, entry.regions(call));
    if let Err(exclusion) = placed {
        return record_excluded(entry, call, progress, &slot, exclusion);
    }
    let now = entry.clock.now();
    if is_quarantined(entry, call, progress) {
        progress.shortage = Reason::Quarantined;
        return progress.attempts.handle(Event::Refused);
    }
    let tokens = call.prompt_tokens();
    let withdraw_at = match entry.dispatcher.admit_weights(&slot, tokens) {
        cutover::Verdict::Current => None,
        cutover::Verdict::Until(at) => Some(at),
        cutover::Verdict::Outdated => {
            return old_weights::record_outdated(entry, call, progress, &slot);
        }
    };
    old_weights::log_sent(call, &slot, now, withdraw_at);
    let left = call.deadline.saturating_sub(now);
    let left = left
        .saturating_sub(DEADLINE_MARGIN)
        .max(Duration::from_millis(1));
    let resume = progress.last_event_id.as_deref();
    let request = call.encode(&slot, left, resume);
    let exchange = Exchange::new(
        connection,
        request,
        call.head.method.clone(),
        call.id.clone(),
    );
    progress.tried.push(slot.key);
    progress.cut_cause = Cause::NoRetry;
    let key = progress.attempts.begin();
    let is_stream = call.route.repeat.is_stream();
    let position = progress.last_event_id.clone();
    let mut attempt = Attempt::new(key, slot, entry.clock, exchange, is_stream, position);
    attempt.silence_check = now.saturating_add(silence_limit(&call.route));
    second_attempt::record_sent(entry, call, progress, &attempt, is_second);
    progress.open.push(attempt);
    Step::Wait
}

/// Records that a request is not sent to the backend server of which it has a slot.
fn record_excluded(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    slot: &Slot,
    exclusion: Exclusion,
) -> Step {
    log::info!(
        "E7103 request {} was not sent to backend server {}: {}",
        call.id,
        slot.id,
        exclusion.name()
    );
    entry
        .metrics
        .exclusions
        .with_label_values(&[exclusion.name()])
        .inc();
    progress.tried.push(slot.key);
    let step = progress.attempts.handle(Event::Unreached);
    log_attempt_end(entry, call, progress, slot.key, step);
    step
}

/// Whether a request may be sent to a further backend server: no more than one
/// has ended under it, or under a part of its prompt that nothing clears.
fn may_retry(entry: &Entry, call: &Call) -> bool {
    entry.quarantine.verdict(entry.clock.now(), &call.keys) == Verdict::Clear
}

/// Whether the request or a part of its prompt came under suspicion while it
/// waited for a slot.
fn is_quarantined(entry: &Entry, call: &Call, progress: &Progress) -> bool {
    match entry.quarantine.verdict(entry.clock.now(), &call.keys) {
        Verdict::Blocked(_) => true,
        Verdict::Suspect(_) => progress.attempts.sends() > 0,
        Verdict::Clear => false,
    }
}

/// How long a backend server may send nothing before the request also goes to
/// another one.
fn silence_limit(route: &Route) -> Duration {
    match route.repeat {
        Repeat::Stream { gap, .. } => stall_timeout(gap),
        Repeat::Idempotent => (route.latency_goal * SILENCE_GOALS).max(SILENCE_MIN),
        Repeat::Never => Duration::MAX,
    }
}

/// Finds out which open attempts are silent.
fn check_silence(entry: &Entry, call: &Call, progress: &mut Progress) -> Step {
    let now = entry.clock.now();
    let limit = silence_limit(&call.route);
    let mut step = Step::Wait;
    for attempt in &mut progress.open {
        if attempt.silence_check > now {
            continue;
        }
        let silent_since = attempt.last_progress;
        if silent_since + limit > now {
            attempt.silence_check = silent_since + limit;
            continue;
        }
        attempt.silence_check = now + limit;
        let was_silent = std::mem::replace(&mut attempt.is_silent, true);
        let next = progress.attempts.handle(Event::Silent(attempt.key));
        if next != Step::Wait {
            step = next;
        }
        if !was_silent {
            entry
                .dispatcher
                .record_outcome(attempt.slot.key, Outcome::Failed, None);
        }
        log::info!(
            "E7116 backend server {} has sent nothing of request {} for {} ms; possibly executed {} times, retry {}",
            attempt.slot.id,
            call.id,
            now.saturating_sub(silent_since).as_millis(),
            progress.attempts.runs(),
            next == Step::Retry
        );
    }
    step
}

/// Records that the backend server of an attempt did not execute the request.
async fn record_not_run(entry: &Entry, call: &Call, progress: &mut Progress, index: usize) -> Step {
    let attempt = progress.open.remove(index);
    let server = attempt.slot.key;
    log::info!(
        "E7104 backend server {} did not execute request {}: status {}",
        attempt.slot.id,
        call.id,
        attempt.head().map_or(0, |head| head.status)
    );
    entry
        .dispatcher
        .record_outcome(server, Outcome::Answered, attempt.load());
    match attempt.is_misdirected() {
        true => entry.dispatcher.record_misdirected(server),
        false => {
            let now = entry.clock.now();
            entry.hedge.borrow_mut().record_refusal(now, &call.service);
        }
    }
    entry.metrics.attempts.with_label_values(&["not_run"]).inc();
    progress.shortage = Reason::Busy;
    let step = progress.attempts.handle(Event::NotRun(attempt.key));
    let reading = attempt.finish_refusal(entry);
    let ((), next) = withdraw_beside(entry, call, progress, reading).await;
    let step = step.or(next);
    log_attempt_end(entry, call, progress, server, step);
    step
}

/// Records an attempt without a valid answer, whose outcome is unknown.
pub(super) fn record_broken(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    attempt: Attempt,
    error: &pool::Error,
) -> Step {
    let server = attempt.slot.key;
    log::info!(
        "E7105 request {} got no valid answer from backend server {}: {error}; events sent {}, prompt parts {}",
        call.id,
        attempt.slot.id,
        progress.answering == Some(attempt.key),
        call.head
            .fields
            .get(header::PROMPT_PARTS)
            .unwrap_or("unknown")
    );
    entry
        .dispatcher
        .record_outcome(server, Outcome::Failed, None);
    entry.metrics.attempts.with_label_values(&["unknown"]).inc();
    let step = progress.attempts.handle(Event::Broken(attempt.key));
    log_attempt_end(entry, call, progress, server, step);
    step
}

fn log_attempt_end(entry: &Entry, call: &Call, progress: &Progress, server: Key, step: Step) {
    log::info!(
        "E7102 attempt {} of request {} at backend server {} failed: possibly executed {} times, retry {}",
        progress.attempts.sends(),
        call.id,
        entry.dispatcher.backend_name(server),
        progress.attempts.runs(),
        step == Step::Retry
    );
}

/// Takes the complete answer of an attempt that is no stream. Returns it if it
/// is a success, and otherwise what to do next.
fn complete(
    entry: &Entry,
    call: &Call,
    progress: &mut Progress,
    attempt: Attempt,
    body: Bytes,
) -> Result<(Response, Bytes), Step> {
    let (key, sent) = (attempt.key, attempt.sent);
    let Some(head) = attempt.head().cloned() else {
        return Err(progress.attempts.handle(Event::Broken(key)));
    };
    entry
        .dispatcher
        .record_outcome(attempt.slot.key, Outcome::Answered, attempt.load());
    if head.status < 500 {
        let took = entry.clock.now().saturating_sub(attempt.sent);
        entry.dispatcher.record_answer_time(attempt.slot.key, took);
    }
    attempt.finish(entry);
    if head.status < 500 {
        entry
            .quarantine
            .record_progress(entry.clock.now(), &call.keys);
    }
    match (200..300).contains(&head.status) {
        true => {
            second_attempt::record_answer(entry, call, progress, key, sent);
            progress.open.clear();
            entry.metrics.attempts.with_label_values(&["success"]).inc();
            Ok((head, body))
        }
        false => {
            entry.metrics.attempts.with_label_values(&["failure"]).inc();
            let event = match progress.head_sent {
                true => Event::Broken(key),
                false => Event::Failed(key),
            };
            progress.failure = Some(Box::new((head, body)));
            Err(progress.attempts.handle(event))
        }
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
