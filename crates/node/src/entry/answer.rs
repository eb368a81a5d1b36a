//! Encodes answers to callers.

use std::time::Duration;

use http1::head::Response;
use http1::write;
use platform::header;

/// Why the entry itself answers a request instead of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// No slot became free in time.
    Busy,
    /// No known backend server of the service can take it.
    Nobody,
    /// All backend servers that could take it rest, the first for this long.
    Resting(Duration),
    /// No backend server is in a region to which it may go.
    Region,
    /// All backend servers that could take it are in evacuated availability zones.
    Evacuated,
    /// Its deadline passed before it was executed anywhere.
    DeadlinePassed,
    /// No configuration is known yet.
    Starting,
    /// This entry is shutting down.
    Leaving,
    /// No answer arrived by its deadline; it may have been executed.
    AnswerTimeout,
    /// This entry ends before an answer arrived; the request may have been
    /// executed.
    Stopped,
    /// A backend server failed without a complete answer; the request may have
    /// been executed.
    Unknown,
    /// No route matches its host and path.
    NoRoute,
    /// Its key is missing or belongs to no customer.
    UnknownKey,
    /// Backend servers ended under it, or under a part of its prompt.
    Quarantined,
    /// A backend server has ended under it, and it would be refused from now on.
    EndedServer,
    /// Its head or body did not arrive in time.
    RequestTimeout,
    /// Its body is too long.
    BodyTooLarge,
    /// It is not valid HTTP/1.1 or lacks the id of the attempt; with the status
    /// to answer.
    Malformed(u16),
}

impl Reason {
    /// The status of the answer.
    pub(crate) fn status(self) -> u16 {
        match self {
            Reason::Busy
            | Reason::DeadlinePassed
            | Reason::Evacuated
            | Reason::Leaving
            | Reason::Nobody
            | Reason::Region
            | Reason::Resting(_)
            | Reason::Starting => 503,
            Reason::AnswerTimeout | Reason::Stopped => 504,
            Reason::Unknown => 502,
            Reason::NoRoute => 404,
            Reason::UnknownKey => 401,
            Reason::EndedServer | Reason::Quarantined => 422,
            Reason::RequestTimeout => 408,
            Reason::BodyTooLarge => 413,
            Reason::Malformed(status) => status,
        }
    }

    /// The label of the refusal in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Reason::Busy => "busy",
            Reason::Nobody => "nobody",
            Reason::Resting(_) => "resting",
            Reason::Region => "region",
            Reason::Evacuated => "evacuated",
            Reason::DeadlinePassed => "deadline",
            Reason::Starting => "starting",
            Reason::Leaving => "leaving",
            Reason::AnswerTimeout => "timeout",
            Reason::Stopped => "stopped",
            Reason::Unknown => "unknown",
            Reason::NoRoute => "route",
            Reason::UnknownKey => "key",
            Reason::EndedServer => "ended_server",
            Reason::Quarantined => "quarantine",
            Reason::RequestTimeout => "slow",
            Reason::BodyTooLarge => "too_long",
            Reason::Malformed(_) => "malformed",
        }
    }

    /// The body of the answer.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Reason::Busy => "not run: all places are taken; come back after Retry-After",
            Reason::Nobody => "not run: no backend server can take it; come back after Retry-After",
            Reason::Resting(_) => {
                "not run: all backend servers ask for rest; come back after Retry-After"
            }
            Reason::Region => {
                "not run: no backend server is in a region that its route and customer allow; come back after Retry-After"
            }
            Reason::Evacuated => {
                "not run: the availability zones of all backend servers are evacuated; come back after Retry-After"
            }
            Reason::DeadlinePassed => "not run: its deadline passed while it waited",
            Reason::Starting => "not run: this host has no configuration yet; come back shortly",
            Reason::Leaving => "not run: this host stops; come back at once",
            Reason::AnswerTimeout => "no answer in time; it may have run",
            Reason::Stopped => "this host ends before an answer came; it may have run",
            Reason::Unknown => "the backend server broke off; it may have run",
            Reason::NoRoute => "no route matches the host and path; check both",
            Reason::UnknownKey => "the key is missing or not known; send the customer's key",
            Reason::EndedServer => {
                "backend servers ended while they ran it; it may have run; change it before it is sent again"
            }
            Reason::Quarantined => {
                "not run: backend servers ended under it or a part of its prompt; change it before it is sent again"
            }
            Reason::RequestTimeout => "the request's head did not arrive in time; send it faster",
            Reason::BodyTooLarge => "the request's body is too long; send a shorter one",
            Reason::Malformed(_) => "the request is not valid HTTP/1.1; send one head and one body",
        }
    }

    /// Whether the caller may retry, as the request has not been executed.
    pub(crate) fn is_retryable(self) -> bool {
        self.status() == 503
    }
}

/// Encodes an answer of the entry itself.
pub(crate) fn refusal(
    reason: Reason,
    retry_after: Duration,
    attempt: Option<&str>,
    closes: bool,
) -> Vec<u8> {
    let text = reason.text();
    let mut out = Vec::with_capacity(256);
    let mut head = write::Head::response(&mut out, reason.status());
    if let Some(attempt) = attempt {
        head.field(header::ATTEMPT, attempt.as_bytes());
    }
    if reason.is_retryable() {
        head.number(
            "Retry-After",
            format_args!("{:.2}", retry_after.as_secs_f64()),
        );
    }
    head.field("Content-Type", b"text/plain");
    head.number("Content-Length", text.len());
    if closes {
        head.field("Connection", b"close");
    }
    head.end();
    out.extend_from_slice(text.as_bytes());
    out
}

/// Encodes an answer of a backend server whose body is complete.
pub(crate) fn buffered(answer: &Response, body: &[u8], closes: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + body.len());
    let mut head = begin_head(&mut out, answer, closes);
    head.number("Content-Length", body.len());
    head.end();
    out.extend_from_slice(body);
    out
}

/// Encodes the head of an answer of a backend server that is relayed in chunks.
pub(crate) fn chunked(answer: &Response, closes: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(1024);
    let mut head = begin_head(&mut out, answer, closes);
    head.field("Transfer-Encoding", b"chunked");
    head.end();
    out
}

/// Begins the head of a relayed answer with the fields that are not hop-by-hop.
fn begin_head<'a>(out: &'a mut Vec<u8>, answer: &Response, closes: bool) -> write::Head<'a> {
    const HOP_BY_HOP: [&str; 6] = [
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "trailer",
    ];
    let mut head = write::Head::response(out, answer.status);
    let end_to_end = answer
        .fields
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name)));
    for (name, value) in end_to_end {
        head.field(name, value);
    }
    if closes {
        head.field("Connection", b"close");
    }
    head
}
