//! One request: its attempts at backend servers and its answer.

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
use super::dispatcher::Place;
use super::dispatcher::Refusal;
use super::dispatcher::Want;
use super::events::Events;
use super::pool::Upstream;

/// The deadline of a request whose caller names none.
const DEADLINE: Duration = Duration::from_secs(30);
/// How long an answer in one piece may be waited for before another server is
/// asked, in goals of its route, and at least.
const SILENCE_GOALS: u32 = 3;
const SILENCE_MIN: Duration = Duration::from_millis(500);
/// What an event takes from the engine to the caller, and the request back: a
/// few network delays.
const WAY: Duration = Duration::from_millis(12);
/// For how many goals of its route a request waits for a place: callers leave
/// a stream that has not begun after some goals more.
const WAIT_GOALS: f64 = 5.0;
/// The part of the time left that a request waits at most.
const WAIT_PART: f64 = 0.4;
/// The longest answer that is held until it is whole.
const WHOLE_MAX_BYTES: usize = 256 << 10;
/// What a server answers that is not the one expected.
const MISDIRECTED: u16 = 421;
/// What is kept of the deadline for the way back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// A request on its way.
pub(crate) struct Call {
    /// The caller's name for this attempt.
    pub(crate) id: SmolStr,
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) customer: Option<SmolStr>,
    pub(crate) priority: u32,
    pub(crate) service: SmolStr,
    pub(crate) engine: bool,
    /// When its last byte came, as the process counts.
    pub(crate) arrived: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Whether the connection is closed after the answer.
    pub(crate) closes: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The whole answer was sent; the connection can go on.
    Whole,
    /// The connection must be closed: the answer ended early, or the caller
    /// left.
    Cut,
}

/// How one attempt ended.
enum Attempt {
    /// The whole answer was sent.
    Answered,
    /// The caller can't be written to.
    CallerGone,
    /// It has certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The backend server's own failure, whole and not sent yet.
    Failure(Box<(Response, Bytes)>),
}

/// What was sent of an answer so far.
#[derive(Default)]
struct Progress {
    /// Whether it was sent to a backend server that has not said that it did
    /// not run it.
    may_have_run: bool,
    /// Whether the head of an answer was sent.
    begun: bool,
    /// How long the request waited for places.
    waited: Duration,
    /// From its arrival to its first event.
    first: Duration,
    /// When the last event was sent, and the longest pause between two.
    last: Duration,
    pause: Duration,
    events: Events,
}

impl Call {
    /// The time after which an answer is late for its caller or its route.
    pub(crate) fn deadline_of(head: &Request, route: &Route, now: Duration) -> Duration {
        let asked = head.fields.number::<u64>(header::DEADLINE_MS);
        let asked = asked.map_or(DEADLINE, Duration::from_millis);
        now + route.timeout.map_or(asked, |limit| asked.min(limit))
    }

    /// The tokens of its prompt, by its caller's word.
    fn prompt_tokens(&self) -> u32 {
        let tokens = self.head.fields.get(header::TOKENS).unwrap_or_default();
        let prompt = tokens.split(',').next().unwrap_or_default();
        prompt.trim().parse().unwrap_or(0)
    }

    fn request(&self, place: &Place, left: Duration, resume: Option<&str>) -> Vec<u8> {
        let mut out = Vec::with_capacity(640 + self.body.len());
        let mut head = write::Head::request(&mut out, &self.head.method, &self.head.target);
        let named = self.head.fields.get("connection").unwrap_or_default();
        for (name, value) in self.head.fields.iter() {
            if is_forwarded(name, named) && !(resume.is_some() && is(name, header::LAST_EVENT)) {
                head.field(name, value);
            }
        }
        head.number(header::DEADLINE_MS, left.as_millis());
        head.field(header::EXPECTED_SERVER, place.id.as_bytes());
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

/// Sends a request on and its answer back.
pub(crate) async fn run(entry: &Rc<Entry>, call: &Call, out: &mut WriteHalf<'_>) -> End {
    let mut progress = Progress::default();
    let mut tried: Vec<Key> = Vec::new();
    let deadline = entry.clock.at(call.deadline);
    let worked = tokio::select! {
        end = attempts(entry, call, &mut progress, &mut tried, out) => Some(end),
        () = sleep_until(deadline) => None,
    };
    match worked {
        Some(end) => end,
        None if progress.begun => {
            log::info!("E7101 request {} is cut at its deadline", call.id);
            End::Cut
        }
        None if progress.may_have_run => refuse(entry, call, out, Reason::Timeout).await,
        None => refuse(entry, call, out, Reason::Deadline).await,
    }
}

async fn attempts(
    entry: &Rc<Entry>,
    call: &Call,
    progress: &mut Progress,
    tried: &mut Vec<Key>,
    out: &mut WriteHalf<'_>,
) -> End {
    entry.earn(&call.service);
    let mut runs = 0;
    let mut sends = 0;
    let mut failure: Option<Box<(Response, Bytes)>> = None;
    loop {
        let asked = entry.clock.now();
        let place = match entry.desk.place(want(entry, call, tried, progress)).await {
            Ok(place) => place,
            Err(refusal) => return no_place(entry, call, progress, failure, refusal, out).await,
        };
        progress.waited += entry.clock.now().saturating_sub(asked);
        entry
            .metrics
            .slot_wait
            .observe(progress.waited.as_secs_f64());
        let key = place.key;
        let ended = attempt(entry, call, &place, progress, out).await;
        drop(place);
        sends += 1;
        let (again, last) = match ended {
            Attempt::Answered => return End::Whole,
            Attempt::CallerGone => return End::Cut,
            Attempt::NotRun => (sends < call.route.attempts_max + 1, Reason::Busy),
            Attempt::Unknown => {
                runs += 1;
                tried.push(key);
                let again = call.route.repeat.may_rerun() && runs < call.route.attempts_max;
                (again, Reason::Unknown)
            }
            Attempt::Failure(answer) => {
                runs += 1;
                tried.push(key);
                let again =
                    call.route.repeat == Repeat::Idempotent && runs < call.route.attempts_max;
                failure = Some(answer);
                (again, Reason::Unknown)
            }
        };
        if !tried.contains(&key) {
            tried.push(key);
        }
        let spent = again && entry.spend(&call.service);
        log::info!(
            "E7102 attempt {sends} of request {} at backend server {} failed: ran {runs}, again {spent}",
            call.id,
            entry.desk.name(key)
        );
        if spent {
            continue;
        }
        if let Some(answer) = failure {
            return deliver(entry, call, &answer.0, answer.1, out).await;
        }
        return match progress.begun {
            true => End::Cut,
            false if progress.may_have_run => refuse(entry, call, out, Reason::Unknown).await,
            false => refuse(entry, call, out, last).await,
        };
    }
}

async fn no_place(
    entry: &Rc<Entry>,
    call: &Call,
    progress: &Progress,
    failure: Option<Box<(Response, Bytes)>>,
    refusal: Refusal,
    out: &mut WriteHalf<'_>,
) -> End {
    let reason = match refusal {
        _ if progress.may_have_run => Reason::Unknown,
        Refusal::Nobody => Reason::Nobody,
        Refusal::Busy => Reason::Busy,
    };
    match failure {
        Some(answer) => deliver(entry, call, &answer.0, answer.1, out).await,
        None if progress.begun => End::Cut,
        None => refuse(entry, call, out, reason).await,
    }
}

fn want(entry: &Entry, call: &Call, tried: &[Key], progress: &Progress) -> Want {
    let now = entry.clock.now();
    let goal = call.route.latency_goal;
    let left = call.deadline.saturating_sub(now);
    let patience = goal.mul_f64(WAIT_GOALS).min(left.mul_f64(WAIT_PART));
    let resumes = !tried.is_empty();
    Want {
        service: call.service.clone(),
        engine: call.engine,
        tried: tried.to_vec(),
        waiter: Waiter {
            arrived: call.arrived,
            due: match progress.begun {
                true => now + goal,
                false => (call.arrived + goal).saturating_sub(WAY),
            },
            tokens: call.prompt_tokens(),
            expires: match resumes {
                true => now + patience,
                false => call.arrived + patience,
            },
            priority: call.priority,
            resumes,
        },
    }
}

async fn attempt(
    entry: &Rc<Entry>,
    call: &Call,
    place: &Place,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> Attempt {
    // A kept connection may have ended unseen, which would leave the outcome of
    // a request unknown that must not run twice.
    let pooled = match call.route.repeat {
        Repeat::Never => None,
        Repeat::Idempotent | Repeat::Stream { .. } => entry.pool.take(place.key),
    };
    let opened = match pooled {
        Some(upstream) => Ok(upstream),
        None => Upstream::connect(place.address).await,
    };
    let mut upstream = match opened {
        Ok(upstream) => upstream,
        Err(error) => {
            log::info!(
                "E7103 request {} did not reach {}: {error}",
                call.id,
                place.id
            );
            entry.desk.saw(place.key, Outcome::Failed, None);
            entry
                .metrics
                .attempts
                .with_label_values(&["unreached"])
                .inc();
            return Attempt::NotRun;
        }
    };
    let left = call.deadline.saturating_sub(entry.clock.now());
    let left = left
        .saturating_sub(DEADLINE_MARGIN)
        .max(Duration::from_millis(1));
    let resume = progress.events.last_id.clone();
    let request = call.request(place, left, resume.as_deref());
    let silence = match call.route.repeat {
        Repeat::Stream { gap, .. } => stall_timeout(gap),
        Repeat::Idempotent => (call.route.latency_goal * SILENCE_GOALS).max(SILENCE_MIN),
        Repeat::Never => Duration::MAX,
    };
    let had_run = std::mem::replace(&mut progress.may_have_run, true);
    let asked = upstream.ask(&request, &call.head.method, &call.id);
    let (head, sent) = match timeout(silence, asked).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return lost(entry, call, place, &error.to_string()),
        Err(_) => return lost(entry, call, place, "no answer in time"),
    };
    let load = head.fields.get(header::LOAD).and_then(load);
    let not_run = head.status == MISDIRECTED || head.fields.get(header::NOT_RUN).is_some();
    if not_run {
        progress.may_have_run = had_run;
        log::info!(
            "E7104 backend server {} did not run request {}: {}",
            place.id,
            call.id,
            head.status
        );
        entry.desk.saw(place.key, Outcome::Answered, load);
        if head.status == MISDIRECTED {
            entry.desk.misdirected(place.key);
        }
        entry.metrics.attempts.with_label_values(&["not_run"]).inc();
        finish(entry, place.key, upstream, &head, sent).await;
        return Attempt::NotRun;
    }
    let is_stream = call.route.repeat.is_stream() && (200..300).contains(&head.status);
    match is_stream {
        true => stream(entry, call, place, upstream, &head, progress, out).await,
        false => {
            whole(
                entry, call, place, upstream, head, sent, progress, load, out,
            )
            .await
        }
    }
}

fn lost(entry: &Entry, call: &Call, place: &Place, why: &str) -> Attempt {
    log::info!(
        "E7105 request {} got no answer from {}: {why}",
        call.id,
        place.id
    );
    entry.desk.saw(place.key, Outcome::Failed, None);
    entry.metrics.attempts.with_label_values(&["unknown"]).inc();
    Attempt::Unknown
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn finish(entry: &Entry, key: Key, mut upstream: Upstream, head: &Response, sent: bool) {
    let mut body = Decoder::new(head.framing);
    let reading = async {
        while let Ok(Step::Data(_)) = upstream.next(&mut body).await {}
        body.is_done()
    };
    let done = timeout(Duration::from_millis(20), reading)
        .await
        .unwrap_or(false);
    if done && sent && head.keeps_alive {
        entry.pool.keep(key, upstream, head);
    }
}

/// An answer in one piece.
#[expect(clippy::too_many_arguments, reason = "the state of one attempt")]
async fn whole(
    entry: &Rc<Entry>,
    call: &Call,
    place: &Place,
    mut upstream: Upstream,
    head: Response,
    sent: bool,
    progress: &mut Progress,
    load: Option<(u32, u32)>,
    out: &mut WriteHalf<'_>,
) -> Attempt {
    let mut body = Decoder::new(head.framing);
    let mut held = Vec::new();
    loop {
        match upstream.next(&mut body).await {
            Ok(Step::Data(data)) => held.extend_from_slice(&data),
            Ok(Step::End) => break,
            Ok(Step::More) => {}
            Err(error) => return lost(entry, call, place, &error.to_string()),
        }
        if held.len() > WHOLE_MAX_BYTES {
            return pass_on(
                entry, call, place, upstream, body, &head, held, progress, out,
            )
            .await;
        }
    }
    let success = (200..300).contains(&head.status);
    let signed = head.fields.get(header::SIGNATURE).is_some();
    if success && !signed {
        return lost(entry, call, place, "a success without a signature");
    }
    entry.desk.saw(place.key, Outcome::Answered, load);
    if sent && head.keeps_alive {
        entry.pool.keep(place.key, upstream, &head);
    }
    let held = Bytes::from(held);
    if !success && progress.begun {
        return Attempt::Unknown;
    }
    if !success {
        entry.metrics.attempts.with_label_values(&["failure"]).inc();
        return Attempt::Failure(Box::new((head, held)));
    }
    entry.metrics.attempts.with_label_values(&["success"]).inc();
    match deliver(entry, call, &head, held, out).await {
        End::Whole => Attempt::Answered,
        End::Cut => Attempt::CallerGone,
    }
}

/// An answer that is too long to be held: it is passed on as it comes.
#[expect(clippy::too_many_arguments, reason = "the state of one attempt")]
async fn pass_on(
    entry: &Rc<Entry>,
    call: &Call,
    place: &Place,
    mut upstream: Upstream,
    mut body: Decoder,
    head: &Response,
    held: Vec<u8>,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> Attempt {
    progress.begun = true;
    let mut bytes = answer::chunked(head, call.closes);
    write::chunk(&mut bytes, &held);
    drop(held);
    loop {
        if out.write_all(&bytes).await.is_err() {
            return Attempt::CallerGone;
        }
        bytes.clear();
        match upstream.next(&mut body).await {
            Ok(Step::Data(data)) => write::chunk(&mut bytes, &data),
            Ok(Step::End) => break,
            Ok(Step::More) => {}
            Err(error) => {
                let _ = lost(entry, call, place, &error.to_string());
                // What was sent can't be taken back.
                return Attempt::CallerGone;
            }
        }
    }
    write::last_chunk(&mut bytes);
    entry.desk.saw(place.key, Outcome::Answered, None);
    entry.answered(call, head.status);
    match out.write_all(&bytes).await {
        Ok(()) => Attempt::Answered,
        Err(_) => Attempt::CallerGone,
    }
}

async fn stream(
    entry: &Rc<Entry>,
    call: &Call,
    place: &Place,
    mut upstream: Upstream,
    head: &Response,
    progress: &mut Progress,
    out: &mut WriteHalf<'_>,
) -> Attempt {
    if head.fields.get(header::SIGNATURE).is_none() {
        return lost(entry, call, place, "a stream without a signature");
    }
    if progress.begun {
        entry.metrics.streams_resumed.inc();
    }
    let silence = match call.route.repeat {
        Repeat::Stream { gap, .. } => stall_timeout(gap),
        Repeat::Idempotent | Repeat::Never => Duration::MAX,
    };
    let mut body = Decoder::new(head.framing);
    let mut bytes = Vec::with_capacity(1024);
    loop {
        let next = timeout(silence, upstream.next(&mut body)).await;
        let step = match next {
            Ok(Ok(step)) => step,
            Ok(Err(error)) => {
                progress.events.cut();
                return lost(entry, call, place, &error.to_string());
            }
            Err(_) => {
                progress.events.cut();
                return lost(entry, call, place, "the stream fell silent");
            }
        };
        match step {
            Step::Data(data) => {
                let Some(events) = progress.events.add(&data) else {
                    return lost(entry, call, place, "an event is too long");
                };
                if events.is_empty() {
                    continue;
                }
                let now = entry.clock.now();
                if !progress.begun {
                    progress.begun = true;
                    bytes = answer::chunked(head, call.closes);
                    progress.first = now.saturating_sub(call.arrived);
                    progress.last = now;
                    entry
                        .metrics
                        .first_byte
                        .observe(progress.first.as_secs_f64());
                    entry.desk.saw(place.key, Outcome::Answered, None);
                }
                progress.pause = progress.pause.max(now.saturating_sub(progress.last));
                progress.last = now;
                write::chunk(&mut bytes, &events);
            }
            Step::End if !progress.events.is_whole() || !progress.begun => {
                progress.events.cut();
                return lost(entry, call, place, "the stream ended within an event");
            }
            Step::End => break,
            Step::More => {}
        }
        if out.write_all(&bytes).await.is_err() {
            return Attempt::CallerGone;
        }
        bytes.clear();
    }
    write::last_chunk(&mut bytes);
    entry.metrics.attempts.with_label_values(&["success"]).inc();
    entry.answered(call, head.status);
    log::info!(
        "E7107 stream {} ends at {}: waited {} ms, first event {} ms, longest pause {} ms, tokens {}, goal {} ms",
        call.id,
        place.id,
        progress.waited.as_millis(),
        progress.first.as_millis(),
        progress.pause.as_millis(),
        call.head.fields.get(header::TOKENS).unwrap_or("unknown"),
        call.route.latency_goal.as_millis()
    );
    if head.keeps_alive {
        entry.pool.keep(place.key, upstream, head);
    }
    match out.write_all(&bytes).await {
        Ok(()) => Attempt::Answered,
        Err(_) => Attempt::CallerGone,
    }
}

/// Sends a backend server's whole answer.
async fn deliver(
    entry: &Entry,
    call: &Call,
    head: &Response,
    body: Bytes,
    out: &mut WriteHalf<'_>,
) -> End {
    entry.answered(call, head.status);
    let bytes = answer::whole(head, &body, call.closes);
    match out.write_all(&bytes).await {
        Ok(()) => End::Whole,
        Err(_) => End::Cut,
    }
}

/// Sends a refusal of our own.
async fn refuse(entry: &Entry, call: &Call, out: &mut WriteHalf<'_>, reason: Reason) -> End {
    let now = entry.clock.now();
    let held = now.saturating_sub(call.arrived);
    log::info!(
        "E7106 request {} on route {} is refused after {} ms: {}",
        call.id,
        call.route.name,
        held.as_millis(),
        reason.text()
    );
    entry
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    entry.answered(call, reason.status());
    let bytes = answer::refusal(
        reason,
        entry.retry_after(reason, call.deadline.saturating_sub(now)),
        Some(&call.id),
        call.closes,
    );
    match out.write_all(&bytes).await {
        Ok(()) => End::Whole,
        Err(_) => End::Cut,
    }
}

fn is(name: &str, other: &str) -> bool {
    name.eq_ignore_ascii_case(other)
}

/// Whether a field of a request concerns more than one connection and is not
/// ours to set.
fn is_forwarded(name: &str, connection: &str) -> bool {
    const HOP: [&str; 9] = [
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
    let own = HOP.iter().chain(&header::OWN).any(|one| is(name, one));
    let named = connection.split(',').any(|one| is(one.trim(), name));
    !own && !named
}

/// Running and waiting requests of a load field.
fn load(value: &str) -> Option<(u32, u32)> {
    let mut numbers = value.split(',').map(|one| one.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??))
}
