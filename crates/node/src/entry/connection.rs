//! Serves the connection of a caller.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http1::body::Decoder;
use http1::body::Step;
use http1::head::Request;
use log::Level;
use platform::header;
use snipewinch::quarantine::Verdict;
use snipewinch::route::Limits;
use snipewinch::route::Refusal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::Entry;
use super::answer;
use super::answer::Reason;
use super::call;
use super::call::Call;
use super::call::End;
use super::quarantine;
use crate::shutdown::Phase;

/// The minimum free space of the buffer for a read.
const READ_SPACE_MIN_BYTES: usize = 2 << 10;
/// The most that is read ahead from a caller while its request is answered.
const PIPELINED_MAX_BYTES: usize = 64 << 10;
/// The time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a connection is still read after a refusal that closes it, so that
/// the caller gets the refusal and not a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is still read before it is closed in
/// [`Phase::Closing`].
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(30);
/// The time to the deadline assumed for a refused request if its deadline
/// was not read.
const TIME_LEFT_DEFAULT: Duration = Duration::from_secs(3);
/// The largest request head before a configuration is known.
const HEAD_MAX_BYTES_DEFAULT: usize = 16 << 10;
/// The time limit for receiving a head before a configuration is known.
const HEAD_TIMEOUT_DEFAULT: Duration = Duration::from_secs(3);
/// The time limit of an idle connection before a configuration is known.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// The result of waiting for the head of a request.
enum Received {
    Request(Request),
    /// The connection ended, or was idle for too long.
    Closed,
    Refused(Reason),
}

/// Answers the requests of one connection in order.
pub(crate) async fn serve(entry: Rc<Entry>, mut io: TcpStream) {
    if let Err(error) = io.set_nodelay(true) {
        log::debug!("E7110 failed to set TCP_NODELAY on a caller's connection: {error}");
        return;
    }
    let mut buffer = BytesMut::new();
    let (mut reader, mut writer) = io.split();
    loop {
        let head = match receive_head(&entry, &mut reader, &mut buffer).await {
            Received::Request(head) => head,
            Received::Closed => return,
            Received::Refused(reason) => {
                return refuse_and_close(&entry, reason, None, &mut reader, &mut writer).await;
            }
        };
        let attempt = head.fields.get(header::ATTEMPT).map(str::to_owned);
        if head.fields.has_token("expect", "100-continue")
            && writer
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return;
        }
        let body = match receive_body(&entry, &head, &mut reader, &mut buffer).await {
            Ok(Some(body)) => body,
            Ok(None) => return,
            Err(reason) => {
                return refuse_and_close(
                    &entry,
                    reason,
                    attempt.as_deref(),
                    &mut reader,
                    &mut writer,
                )
                .await;
            }
        };
        let keep_alive = head.keeps_alive() && entry.phase() == Phase::Running;
        let _in_flight = entry.track_request();
        let answering = answer_request(&entry, head, body, !keep_alive, &mut writer);
        let end = tokio::select! {
            end = answering => end,
            () = wait_for_close(&mut reader, &mut buffer) => End::Aborted,
        };
        match end {
            End::Complete if keep_alive => {}
            End::Complete => {
                let _ = writer.shutdown().await;
                return;
            }
            End::Aborted => {
                entry.metrics.callers_left.inc();
                log::debug!(
                    "E7111 caller closed its connection before the answer to request {} was complete",
                    attempt.as_deref().unwrap_or("without an id")
                );
                return;
            }
            // Without the last chunk, the answer is recognizably incomplete.
            End::Cut => return,
        }
    }
}

/// Receives the head of a request.
async fn receive_head(entry: &Entry, reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Received {
    let mut limits = entry.limits();
    let mut idle = idle_timeout(limits);
    let begin = Instant::now();
    let mut until = match buffer.is_empty() {
        true => begin + idle,
        false => begin + head_timeout(limits),
    };
    loop {
        match Request::decode(buffer, head_bytes_max(limits)) {
            Ok(Some(head)) => return Received::Request(head),
            Ok(None) => {}
            Err(fault) => return Received::Refused(Reason::Malformed(fault.status())),
        }
        let is_idle = buffer.is_empty();
        if is_idle {
            *buffer = BytesMut::new();
        }
        buffer.reserve(READ_SPACE_MIN_BYTES);
        let read = tokio::select! {
            biased;
            read = timeout_at(until, reader.read_buf(buffer)) => read,
            () = entry.wait_for_phase(Phase::Closing), if is_idle => {
                // A request may have arrived that is not seen yet.
                match timeout(LAST_READ_TIMEOUT, reader.read_buf(buffer)).await {
                    Err(_) => return Received::Closed,
                    read => read,
                }
            }
        };
        match read {
            Ok(Ok(1..)) if is_idle => {
                limits = entry.limits();
                until = Instant::now() + head_timeout(limits);
            }
            Ok(Ok(1..)) => {}
            Ok(Ok(0)) | Ok(Err(_)) => return Received::Closed,
            Err(_) if is_idle && idle < idle_timeout(entry.limits()) => {
                idle = idle_timeout(entry.limits());
                until = begin + idle;
            }
            Err(_) if is_idle => {
                record_idle_close(entry, idle);
                return Received::Closed;
            }
            Err(_) => return Received::Refused(Reason::RequestTimeout),
        }
    }
}

/// Records that a connection is closed at its idle limit, the longest that was
/// in force when the wait began or a limit passed.
fn record_idle_close(entry: &Entry, limit: Duration) {
    entry.metrics.idle_connections_closed.inc();
    let in_force = idle_timeout(entry.limits());
    let level = match limit == in_force {
        true => Level::Debug,
        false => Level::Info,
    };
    log::log!(
        level,
        "E7119 closing an idle connection at its limit of {} ms; the limit in force is {} ms",
        limit.as_millis(),
        in_force.as_millis()
    );
}

fn head_bytes_max(limits: Option<Limits>) -> usize {
    limits.map_or(HEAD_MAX_BYTES_DEFAULT, |limits| limits.head_bytes_max)
}

fn head_timeout(limits: Option<Limits>) -> Duration {
    limits.map_or(HEAD_TIMEOUT_DEFAULT, |limits| limits.head_timeout)
}

fn idle_timeout(limits: Option<Limits>) -> Duration {
    limits.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_timeout)
}

/// Receives the body of a request; none if the caller closed its connection.
async fn receive_body(
    entry: &Entry,
    head: &Request,
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<Option<Bytes>, Reason> {
    let max = entry
        .limits()
        .map_or(usize::MAX, |limits| limits.body_bytes_max);
    let until = Instant::now() + BODY_TIMEOUT;
    let mut decoder = Decoder::new(head.framing);
    let mut received = Vec::new();
    loop {
        match decoder.step(buffer) {
            Ok(Step::End) => return Ok(Some(received.into())),
            Ok(Step::Data(data)) => received.extend_from_slice(&data),
            Ok(Step::Incomplete) => {
                buffer.reserve(READ_SPACE_MIN_BYTES);
                match timeout_at(until, reader.read_buf(buffer)).await {
                    Ok(Ok(1..)) => {}
                    Ok(Ok(0)) | Ok(Err(_)) => return Ok(None),
                    Err(_) => return Err(Reason::RequestTimeout),
                }
            }
            Err(fault) => return Err(Reason::Malformed(fault.status())),
        }
        if received.len() > max {
            return Err(Reason::BodyTooLarge);
        }
    }
}

/// Waits until the caller has closed its connection.
async fn wait_for_close(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    loop {
        if buffer.len() >= PIPELINED_MAX_BYTES {
            return std::future::pending().await;
        }
        buffer.reserve(READ_SPACE_MIN_BYTES);
        match reader.read_buf(buffer).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return,
        }
    }
}

async fn answer_request(
    entry: &Rc<Entry>,
    head: Request,
    body: Bytes,
    closes: bool,
    writer: &mut WriteHalf<'_>,
) -> End {
    entry.wait_started().await;
    match prepare_call(entry, head, body, closes) {
        Ok(call) => call::run(entry, &call, writer).await,
        Err((reason, attempt)) => {
            log::info!(
                "E7112 request {} refused: {}",
                attempt.as_deref().unwrap_or("without an id"),
                reason.text()
            );
            entry
                .metrics
                .refusals
                .with_label_values(&[reason.name()])
                .inc();
            let retry_after = entry.retry_after(reason, TIME_LEFT_DEFAULT);
            let bytes = answer::refusal(reason, retry_after, attempt.as_deref(), closes);
            match writer.write_all(&bytes).await {
                Ok(()) => End::Complete,
                Err(_) => End::Aborted,
            }
        }
    }
}

/// The reason of a refusal, and the id of the attempt if it has one.
type Refused = (Reason, Option<String>);

/// Finds the route, customer and service of a request.
fn prepare_call(entry: &Entry, head: Request, body: Bytes, closes: bool) -> Result<Call, Refused> {
    let attempt = head.fields.get(header::ATTEMPT).map(str::to_owned);
    if entry.phase() >= Phase::Closing {
        return Err((Reason::Leaving, attempt));
    }
    let Some(table) = entry.table() else {
        return Err((Reason::Starting, attempt));
    };
    let host = head.fields.get("host").unwrap_or_default();
    let key = head.fields.get(header::API_KEY);
    let matched = table.find(host, head.path(), key).map_err(|refusal| {
        let reason = match refusal {
            Refusal::UnknownKey => Reason::UnknownKey,
            Refusal::NoRoute => Reason::NoRoute,
        };
        (reason, attempt.clone())
    })?;
    let Some(id) = attempt.clone().filter(|id| !id.is_empty()) else {
        return Err((Reason::Malformed(400), attempt));
    };
    let Some(service) = matched.service(rand::random()) else {
        return Err((Reason::Nobody, attempt));
    };
    let engine = table
        .service(service)
        .and_then(|service| service.engine.as_ref());
    let arrived = entry.clock.now();
    let deadline = Call::deadline_of(&head, matched.route, arrived);
    // Another host can finish it, and here its outcome might remain unknown.
    if !matched.route.repeat.may_rerun() && entry.ends_before(deadline) {
        return Err((Reason::Leaving, attempt));
    }
    let customer = matched.customer.map(|customer| customer.name.as_str());
    let keys = quarantine::keys(service, &head, customer, &body);
    if let Verdict::Blocked(key) = entry.quarantine.verdict(arrived, &keys) {
        entry.quarantine.record_refusal(arrived, key);
        return Err((Reason::Quarantined, attempt));
    }
    Ok(Call {
        deadline,
        route: matched.route.clone(),
        customer: matched.customer.map(|customer| customer.name.clone()),
        priority: matched.urgency(),
        service: service.clone(),
        regions: entry.regions_of(&matched),
        has_engine: engine.is_some(),
        keys,
        configuration_version: table.configuration().version,
        id: id.into(),
        head,
        body,
        arrived,
        closes,
    })
}

/// Refuses a request and closes its connection, which is still read for
/// [`LINGER_TIMEOUT`].
async fn refuse_and_close(
    entry: &Entry,
    reason: Reason,
    attempt: Option<&str>,
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
) {
    log::info!("E7113 closing a caller's connection: {}", reason.text());
    entry
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    let bytes = answer::refusal(
        reason,
        entry.retry_after(reason, TIME_LEFT_DEFAULT),
        attempt,
        true,
    );
    if writer.write_all(&bytes).await.is_err() || writer.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0; 1024];
    let until = Instant::now() + LINGER_TIMEOUT;
    tokio::select! {
        () = sleep_until(until) => {}
        () = async { while matches!(reader.read(&mut sink).await, Ok(1..)) {} } => {}
    }
}
