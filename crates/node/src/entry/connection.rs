//! One caller's connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http1::body::Decoder;
use http1::body::Step;
use http1::head::Request;
use platform::header;
use snipewinch::route::Refusal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::Entry;
use super::answer;
use super::answer::Reason;
use super::call;
use super::call::Call;
use super::call::End;
use crate::shutdown::Phase;

/// How much is read at once.
const READ_BYTES: usize = 2 << 10;
/// What a caller may send ahead while a request of its is answered.
const AHEAD_MAX_BYTES: usize = 64 << 10;
/// How long a body may take to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(20);
/// How long a connection is read from after a refusal that closes it, so that
/// the caller reads the refusal and not a reset.
const LINGER: Duration = Duration::from_millis(300);
/// What a refused caller is taken to have left where its deadline was not read.
const LEFT_UNKNOWN: Duration = Duration::from_secs(3);
/// The limits before a configuration is known.
const HEAD_MAX_BYTES: usize = 16 << 10;
const HEAD_LIMIT: Duration = Duration::from_secs(3);
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// What came of waiting for a request.
enum Next {
    Request(Request),
    /// The caller closed, or was idle for too long.
    Closed,
    Refused(Reason),
}

/// Answers the requests of one connection, one after the other.
pub(crate) async fn serve(entry: Rc<Entry>, mut io: TcpStream) {
    if let Err(error) = io.set_nodelay(true) {
        log::debug!("E7110 a caller's connection is of no use: {error}");
        return;
    }
    let mut buffer = BytesMut::new();
    let (mut reader, mut writer) = io.split();
    loop {
        let head = match next(&entry, &mut reader, &mut buffer).await {
            Next::Request(head) => head,
            Next::Closed => return,
            Next::Refused(reason) => {
                return close(&entry, reason, None, &mut reader, &mut writer).await;
            }
        };
        let attempt = head.fields.get(header::ATTEMPT).map(str::to_owned);
        if head.fields.lists("expect", "100-continue")
            && writer
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return;
        }
        let body = match body(&entry, &head, &mut reader, &mut buffer).await {
            Ok(Some(body)) => body,
            Ok(None) => return,
            Err(reason) => {
                return close(&entry, reason, attempt.as_deref(), &mut reader, &mut writer).await;
            }
        };
        let keeps = head.keeps_alive() && entry.phase() == Phase::Running;
        let _work = entry.work();
        let answering = answer_one(&entry, head, body, !keeps, &mut writer);
        let end = tokio::select! {
            end = answering => end,
            () = gone(&mut reader, &mut buffer) => {
                log::debug!("E7111 a caller left before its answer");
                return;
            }
        };
        match end {
            End::Whole if keeps => {}
            End::Whole => {
                let _ = writer.shutdown().await;
                return;
            }
            // Dropped without the last chunk, so that it does not look whole.
            End::Cut => return,
        }
    }
}

/// Waits for a request's head.
async fn next(entry: &Entry, reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> Next {
    let limits = entry.limits();
    let head_max = limits.map_or(HEAD_MAX_BYTES, |limits| limits.head_bytes_max);
    let head_limit = limits.map_or(HEAD_LIMIT, |limits| limits.head_timeout);
    let idle = limits.map_or(IDLE_LIMIT, |limits| limits.idle_timeout);
    let mut until = Instant::now() + if buffer.is_empty() { idle } else { head_limit };
    loop {
        match Request::take(buffer, head_max) {
            Ok(Some(head)) => return Next::Request(head),
            Ok(None) => {}
            Err(fault) => return Next::Refused(Reason::Malformed(fault.status())),
        }
        let idle_now = buffer.is_empty();
        if idle_now {
            *buffer = BytesMut::new();
        }
        buffer.reserve(READ_BYTES);
        let read = tokio::select! {
            read = timeout_at(until, reader.read_buf(buffer)) => read,
            () = entry.reached(Phase::Closing), if idle_now => return Next::Closed,
        };
        match read {
            Ok(Ok(1..)) if idle_now => until = Instant::now() + head_limit,
            Ok(Ok(1..)) => {}
            Ok(Ok(0)) | Ok(Err(_)) => return Next::Closed,
            Err(_) if buffer.is_empty() => return Next::Closed,
            Err(_) => return Next::Refused(Reason::Slow),
        }
    }
}

/// Reads a request's body; none if the caller left.
async fn body(
    entry: &Entry,
    head: &Request,
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
) -> Result<Option<Bytes>, Reason> {
    let max = entry
        .limits()
        .map_or(usize::MAX, |limits| limits.body_bytes_max);
    let until = Instant::now() + BODY_LIMIT;
    let mut decoder = Decoder::new(head.framing);
    let mut held = Vec::new();
    loop {
        match decoder.step(buffer) {
            Ok(Step::End) => return Ok(Some(held.into())),
            Ok(Step::Data(data)) => held.extend_from_slice(&data),
            Ok(Step::More) => {
                buffer.reserve(READ_BYTES);
                match timeout_at(until, reader.read_buf(buffer)).await {
                    Ok(Ok(1..)) => {}
                    Ok(Ok(0)) | Ok(Err(_)) => return Ok(None),
                    Err(_) => return Err(Reason::Slow),
                }
            }
            Err(fault) => return Err(Reason::Malformed(fault.status())),
        }
        if held.len() > max {
            return Err(Reason::TooLong);
        }
    }
}

/// Resolves once the caller has closed its connection.
async fn gone(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    loop {
        if buffer.len() >= AHEAD_MAX_BYTES {
            return std::future::pending().await;
        }
        buffer.reserve(READ_BYTES);
        match reader.read_buf(buffer).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return,
        }
    }
}

async fn answer_one(
    entry: &Rc<Entry>,
    head: Request,
    body: Bytes,
    closes: bool,
    writer: &mut WriteHalf<'_>,
) -> End {
    entry.started().await;
    match prepare(entry, head, body, closes) {
        Ok(call) => call::run(entry, &call, writer).await,
        Err((reason, attempt)) => {
            log::info!(
                "E7112 request {} is refused: {}",
                attempt.as_deref().unwrap_or("without an id"),
                reason.text()
            );
            entry
                .metrics
                .refusals
                .with_label_values(&[reason.name()])
                .inc();
            let after = entry.retry_after(reason, LEFT_UNKNOWN);
            let bytes = answer::refusal(reason, after, attempt.as_deref(), closes);
            match writer.write_all(&bytes).await {
                Ok(()) => End::Whole,
                Err(_) => End::Cut,
            }
        }
    }
}

type Refused = (Reason, Option<String>);

fn prepare(entry: &Entry, head: Request, body: Bytes, closes: bool) -> Result<Call, Refused> {
    let attempt = head.fields.get(header::ATTEMPT).map(str::to_owned);
    if entry.phase() == Phase::Closing {
        return Err((Reason::Leaving, attempt));
    }
    let Some(table) = entry.table() else {
        return Err((Reason::Starting, attempt));
    };
    let host = head.fields.get("host").unwrap_or_default();
    let key = head.fields.get(header::KEY);
    let found = table.find(host, head.path(), key).map_err(|refusal| {
        let reason = match refusal {
            Refusal::UnknownKey => Reason::Key,
            Refusal::NoRoute => Reason::Route,
        };
        (reason, attempt.clone())
    })?;
    let Some(id) = attempt.clone().filter(|id| !id.is_empty()) else {
        return Err((Reason::Malformed(400), attempt));
    };
    let Some(service) = found.service(rand::random()) else {
        return Err((Reason::Nobody, attempt));
    };
    let engine = table
        .service(service)
        .and_then(|service| service.engine.as_ref());
    let arrived = entry.clock.now();
    Ok(Call {
        deadline: Call::deadline_of(&head, found.route, arrived),
        route: found.route.clone(),
        customer: found.customer.map(|customer| customer.name.clone()),
        priority: found.priority(),
        service: service.clone(),
        engine: engine.is_some(),
        id: id.into(),
        head,
        body,
        arrived,
        closes,
    })
}

/// Refuses and closes, reading on for a while.
async fn close(
    entry: &Entry,
    reason: Reason,
    attempt: Option<&str>,
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
) {
    log::info!("E7113 a connection is closed: {}", reason.text());
    entry
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    let bytes = answer::refusal(
        reason,
        entry.retry_after(reason, LEFT_UNKNOWN),
        attempt,
        true,
    );
    if writer.write_all(&bytes).await.is_err() || writer.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0; 1024];
    let until = Instant::now() + LINGER;
    tokio::select! {
        () = sleep_until(until) => {}
        () = async { while matches!(reader.read(&mut sink).await, Ok(1..)) {} } => {}
    }
}
