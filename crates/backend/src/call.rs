//! Calls to the backend server and their answers.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::ResultExt;
use snipewinch::call::Data;
use snipewinch::call::Head;
use snipewinch::call::Header;
use snipewinch::call::Start;

use crate::Error;
use crate::Server;
use crate::error::BodySnafu;
use crate::error::JsonSnafu;
use crate::error::RequestSnafu;
use crate::error::StatusSnafu;
use crate::error::TruncatedSnafu;
use crate::events::Boundary;
use crate::events::Parser;

/// The maximum size of a part of an answer that is not a stream of events.
/// Longer frames are split.
const PART_MAX_BYTES: usize = 32 << 10;
/// The header that carries the request id.
pub const REQUEST_ID: &str = "x-request-id";
/// The header that carries the model version that serves the call.
pub const MODEL_VERSION: &str = "x-model-version";
/// The header that carries the digest of the weights that serve the call.
pub const WEIGHTS_DIGEST: &str = "x-weights-digest";

/// The headers of an answer that are forwarded to the caller.
const FORWARDED_HEADERS: [&str; 8] = [
    "cache-control",
    "content-disposition",
    "content-language",
    "content-type",
    "etag",
    "location",
    "retry-after",
    WEIGHTS_DIGEST,
];

/// The answer of a backend server, whose body is read in parts.
#[derive(Debug)]
pub struct Reply {
    /// The status and the forwarded headers.
    pub head: Head,
    body: Incoming,
    parser: Option<Parser>,
    /// For a stream of events that is not parsed and whose end is that of the
    /// connection.
    boundary: Option<Boundary>,
    buffered: Option<Bytes>,
}

impl Server {
    /// Sends a call to the backend server, without retries, and waits for the
    /// head of the answer.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::executed`] says whether the call may have run.
    pub async fn call(&self, start: &Start) -> Result<Reply, Error> {
        let request = self.request(start)?;
        let response = self.send(request).await?;
        let status = response.status();
        let reply = Reply::open(response, start);
        let streamed = start.request.is_streamed(&reply.head);
        match start.request.model {
            Some(_) if is_failure(status) => StatusSnafu { status }.fail(),
            _ if streamed && reply.parser.is_none() => StatusSnafu { status }.fail(),
            _ => Ok(reply),
        }
    }

    fn request(&self, start: &Start) -> Result<Request<Full<Bytes>>, Error> {
        let call = &start.request;
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(self.uri(&call.path))
            .header(REQUEST_ID, request_id(start).as_str());
        for Header(name, value) in &call.headers {
            builder = builder.header(name.as_str(), value.as_str());
        }
        if let Some(traceparent) = &call.traceparent {
            builder = builder.header("traceparent", traceparent.as_str());
        }
        let body = match call.model {
            Some(_) => engine_body(start)?,
            None => call.body.clone(),
        };
        builder.body(Full::new(body)).context(RequestSnafu)
    }
}

/// Whether an engine's status reports a failure of the engine rather than an
/// error in the request.
fn is_failure(status: StatusCode) -> bool {
    let failures = [
        StatusCode::CONFLICT,
        StatusCode::NOT_FOUND,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_server_error() || failures.contains(&status)
}

/// The request id of an attempt at the backend server.
pub fn request_id(start: &Start) -> SmolStr {
    match &start.request.request_id {
        Some(id) => id.clone(),
        None => smol_str::format_smolstr!("{}", start.attempt),
    }
}

/// The request's body for an engine, with the priority and, for a resumed call,
/// the number of tokens after which to resume. Unchanged if both are 0.
fn engine_body(start: &Start) -> Result<Bytes, Error> {
    let call = &start.request;
    if call.priority == 0 && start.resume_from == 0 {
        return Ok(call.body.clone());
    }
    let mut body: Map<String, Value> = serde_json::from_slice(&call.body).context(JsonSnafu)?;
    body.insert("priority".into(), call.priority.into());
    if start.resume_from > 0 {
        body.insert("resume_from".into(), start.resume_from.into());
    }
    serde_json::to_vec(&body)
        .map(Bytes::from)
        .context(JsonSnafu)
}

impl Reply {
    fn open(response: Response<Incoming>, start: &Start) -> Reply {
        let (parts, body) = response.into_parts();
        let header_text = |name: &str| {
            let value = parts.headers.get(name)?;
            value.to_str().ok().map(SmolStr::new)
        };
        let headers = FORWARDED_HEADERS
            .iter()
            .filter_map(|name| Some(Header(SmolStr::new_static(name), header_text(name)?)))
            .collect();
        let is_event_stream = header_text(CONTENT_TYPE.as_str())
            .is_some_and(|content_type| content_type.starts_with("text/event-stream"));
        let head = Head {
            status: parts.status.as_u16(),
            headers,
            version: header_text(MODEL_VERSION),
        };
        let is_parsed = is_event_stream && start.request.is_streamed(&head);
        let is_framed = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        let has_boundary = is_event_stream && !is_parsed && !is_framed;
        Reply {
            head,
            body,
            parser: is_parsed.then(Parser::open),
            boundary: has_boundary.then(Boundary::default),
            buffered: None,
        }
    }

    /// The next part of the body; `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// [`Error::Body`], [`Error::EventTooLong`] or [`Error::Truncated`].
    pub async fn next(&mut self) -> Result<Option<Data>, Error> {
        loop {
            if let Some(part) = self.take_part() {
                return Ok(Some(part));
            }
            // Nothing that follows the closing event belongs to the answer,
            // and the end of the connection may be long in coming.
            if self.parser.as_ref().is_some_and(Parser::is_done) {
                return Ok(None);
            }
            let Some(frame) = self.body.frame().await else {
                return self.finish();
            };
            let Ok(bytes) = frame.context(BodySnafu)?.into_data() else {
                continue;
            };
            let Some(parser) = &mut self.parser else {
                if let Some(boundary) = &mut self.boundary {
                    boundary.push(&bytes);
                }
                self.buffered = Some(bytes);
                continue;
            };
            let part = parser.push(&bytes)?;
            if part.is_some() {
                return Ok(part);
            }
        }
    }

    /// Takes a part of at most [`PART_MAX_BYTES`] from the buffered bytes.
    fn take_part(&mut self) -> Option<Data> {
        let mut buffered = self.buffered.take().filter(|bytes| !bytes.is_empty())?;
        let bytes = match buffered.len() {
            length if length > PART_MAX_BYTES => {
                let part = buffered.split_to(PART_MAX_BYTES);
                self.buffered = Some(buffered);
                part
            }
            _ => buffered,
        };
        Some(Data { tokens: 0, bytes })
    }

    fn finish(&self) -> Result<Option<Data>, Error> {
        let ended_early = self.parser.as_ref().is_some_and(|one| !one.is_done());
        let is_cut = self
            .boundary
            .as_ref()
            .is_some_and(Boundary::is_inside_event);
        match ended_early || is_cut {
            true => TruncatedSnafu.fail(),
            false => Ok(None),
        }
    }
}
