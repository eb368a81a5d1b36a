//! Converts answers and problems into HTTP responses.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::stream;
use poem::Body;
use poem::Response;
use poem::http::HeaderName;
use poem::http::HeaderValue;
use poem::http::StatusCode;
use poem::http::header;
use snipewinch::call::Header;

use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::BodyStream;
use crate::gateway::Part;
use crate::metrics::Metrics;
use crate::problem::Problem;

/// The event that closes a complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";
/// Parts that are already available are combined into one write until it has
/// at least this size.
const WRITE_TARGET_BYTES: usize = 32 << 10;

/// The response for a problem.
pub(crate) fn problem(problem: &Problem) -> Response {
    let mut response = Response::builder()
        .status(problem.status())
        .content_type("application/json");
    if let Some(seconds) = problem.retry_after_seconds() {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    response.body(problem.body().to_string())
}

/// The response for an answer.
pub(crate) fn answer(answer: Answer, metrics: &Metrics) -> Response {
    let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status).finish();
    let headers = response.headers_mut();
    for Header(name, value) in &answer.head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.insert(name, value);
        }
    }
    if let Some(version) = &answer.head.version
        && let Ok(value) = HeaderValue::from_str(version)
    {
        headers.insert("x-model-version", value);
    }
    if answer.replayed {
        headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    }
    match answer.body {
        gateway::Body::Complete(bytes) => {
            metrics.requests.with_label_values(&["answered"]).inc();
            response.set_body(bytes);
        }
        gateway::Body::Stream(parts) => {
            response.set_body(Body::from_bytes_stream(event_bytes(parts, metrics.clone())));
        }
    }
    response
}

/// Combines the parts of a streamed answer into writes.
struct EventWriter {
    parts: Box<dyn BodyStream>,
    metrics: Metrics,
    ended: bool,
}

/// The bytes of a streamed answer, in writes.
fn event_bytes(
    parts: Box<dyn BodyStream>,
    metrics: Metrics,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let writer = EventWriter {
        parts,
        metrics,
        ended: false,
    };
    stream::unfold(writer, async |mut writer| {
        if writer.ended {
            return None;
        }
        let bytes = writer.next_write().await;
        Some((Ok(bytes), writer))
    })
}

impl EventWriter {
    async fn next_write(&mut self) -> Bytes {
        let first = match self.parts.next().await {
            Part::Data(bytes) => bytes,
            last => return self.finish(last, BytesMut::new()),
        };
        let Some(second) = self.parts.try_next() else {
            return first;
        };
        let mut buffer = BytesMut::from(&first[..]);
        let mut next = Some(second);
        while let Some(part) = next {
            match part {
                Part::Data(bytes) => buffer.extend_from_slice(&bytes),
                last => return self.finish(last, buffer),
            }
            if buffer.len() >= WRITE_TARGET_BYTES {
                break;
            }
            next = self.parts.try_next();
        }
        buffer.freeze()
    }

    /// Ends the stream with the closing event if it is complete, otherwise
    /// with an error event.
    fn finish(&mut self, part: Part, mut buffer: BytesMut) -> Bytes {
        self.ended = true;
        let outcome = match part {
            Part::Failed(failure) => {
                let problem = Problem::Failed(failure);
                let event = format!("event: error\ndata: {}\n\n", problem.body());
                buffer.extend_from_slice(event.as_bytes());
                problem.code()
            }
            Part::Data(_) | Part::End => {
                buffer.extend_from_slice(DONE);
                "answered"
            }
        };
        self.metrics.requests.with_label_values(&[outcome]).inc();
        buffer.freeze()
    }
}
