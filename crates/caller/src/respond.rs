//! Writes answers.

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
use crate::gateway::Piece;
use crate::metrics::Metrics;
use crate::problem::Problem;

/// What closes a stream that is whole.
const DONE: &[u8] = b"data: [DONE]\n\n";
/// Pieces that wait are written together up to this size.
const WRITE_TARGET_BYTES: usize = 32 << 10;

/// An error as a response.
pub(crate) fn problem(problem: &Problem) -> Response {
    let mut response = Response::builder()
        .status(problem.status())
        .content_type("application/json");
    if let Some(seconds) = problem.retry_after_seconds() {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    response.body(problem.body().to_string())
}

/// An answer as a response.
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
        gateway::Body::Stream(pieces) => {
            response.set_body(Body::from_bytes_stream(events(pieces, metrics.clone())));
        }
    }
    response
}

struct Rest {
    pieces: Box<dyn BodyStream>,
    metrics: Metrics,
    over: bool,
}

/// The bytes of a stream; what waits is written together.
fn events(
    pieces: Box<dyn BodyStream>,
    metrics: Metrics,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let rest = Rest {
        pieces,
        metrics,
        over: false,
    };
    stream::unfold(rest, async |mut rest| {
        if rest.over {
            return None;
        }
        let bytes = rest.gather().await;
        Some((Ok(bytes), rest))
    })
}

impl Rest {
    async fn gather(&mut self) -> Bytes {
        let first = match self.pieces.next().await {
            Piece::Data(bytes) => bytes,
            last => return self.last(last, BytesMut::new()),
        };
        let Some(second) = self.pieces.try_next() else {
            return first;
        };
        let mut together = BytesMut::from(&first[..]);
        let mut next = Some(second);
        while let Some(piece) = next {
            match piece {
                Piece::Data(bytes) => together.extend_from_slice(&bytes),
                last => return self.last(last, together),
            }
            if together.len() >= WRITE_TARGET_BYTES {
                break;
            }
            next = self.pieces.try_next();
        }
        together.freeze()
    }

    /// Closes the stream; only a whole one gets the closing event.
    fn last(&mut self, piece: Piece, mut together: BytesMut) -> Bytes {
        self.over = true;
        let outcome = match piece {
            Piece::Failed(failure) => {
                let problem = Problem::Failed(failure);
                let event = format!("event: error\ndata: {}\n\n", problem.body());
                together.extend_from_slice(event.as_bytes());
                problem.code()
            }
            Piece::Data(_) | Piece::End => {
                together.extend_from_slice(DONE);
                "answered"
            }
        };
        self.metrics.requests.with_label_values(&[outcome]).inc();
        together.freeze()
    }
}
