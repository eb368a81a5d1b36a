//! One call at the backend server.

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
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
use crate::error::CutSnafu;
use crate::error::JsonSnafu;
use crate::error::RequestSnafu;
use crate::error::StatusSnafu;
use crate::events::Parser;

/// The longest piece of an answer that is passed on as one.
const PIECE_MAX_BYTES: usize = 32 << 10;
/// Names the request to the backend server.
pub const REQUEST_ID: &str = "x-request-id";
/// Names the model version that answers.
pub const MODEL_VERSION: &str = "x-model-version";
/// Names the bytes of the weights that answer.
pub const WEIGHTS_DIGEST: &str = "x-weights-digest";

/// Headers of an answer that are passed on to the caller.
const PASSED_ON: [&str; 8] = [
    "cache-control",
    "content-disposition",
    "content-language",
    "content-type",
    "etag",
    "location",
    "retry-after",
    WEIGHTS_DIGEST,
];

/// A backend server's answer.
#[derive(Debug)]
pub struct Reply {
    /// How it begins.
    pub head: Head,
    body: Incoming,
    parser: Option<Parser>,
    ready: Option<Bytes>,
}

impl Server {
    /// Gives a call to the backend server, once.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; its `executed` says whether the work may have run.
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

/// Whether an engine's status speaks of the engine and not of the request.
fn is_failure(status: StatusCode) -> bool {
    let of_engine = [
        StatusCode::CONFLICT,
        StatusCode::NOT_FOUND,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_server_error() || of_engine.contains(&status)
}

/// What the backend server knows the attempt as.
pub fn request_id(start: &Start) -> SmolStr {
    match &start.request.request_id {
        Some(id) => id.clone(),
        None => smol_str::format_smolstr!("{}", start.attempt),
    }
}

/// The body with what the engine has to know besides.
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
        let text = |name: &str| {
            let value = parts.headers.get(name)?;
            value.to_str().ok().map(SmolStr::new)
        };
        let headers = PASSED_ON
            .iter()
            .filter_map(|name| Some(Header(SmolStr::new_static(name), text(name)?)))
            .collect();
        let is_events =
            text(CONTENT_TYPE.as_str()).is_some_and(|kind| kind.starts_with("text/event-stream"));
        let head = Head {
            status: parts.status.as_u16(),
            headers,
            version: text(MODEL_VERSION),
        };
        let parser = is_events && start.request.is_streamed(&head);
        Reply {
            head,
            body,
            parser: parser.then(Parser::open),
            ready: None,
        }
    }

    /// The next piece; `None` once the answer is whole.
    ///
    /// # Errors
    ///
    /// The answer broke off.
    pub async fn next(&mut self) -> Result<Option<Data>, Error> {
        loop {
            if let Some(piece) = self.piece() {
                return Ok(Some(piece));
            }
            let Some(frame) = self.body.frame().await else {
                return self.finish();
            };
            let Ok(bytes) = frame.context(BodySnafu)?.into_data() else {
                continue;
            };
            let Some(parser) = &mut self.parser else {
                self.ready = Some(bytes);
                continue;
            };
            let piece = parser.push(&bytes)?;
            if piece.is_some() {
                return Ok(piece);
            }
        }
    }

    /// Cuts what is ready into pieces.
    fn piece(&mut self) -> Option<Data> {
        let mut ready = self.ready.take().filter(|bytes| !bytes.is_empty())?;
        let bytes = match ready.len() {
            length if length > PIECE_MAX_BYTES => {
                let piece = ready.split_to(PIECE_MAX_BYTES);
                self.ready = Some(ready);
                piece
            }
            _ => ready,
        };
        Some(Data { tokens: 0, bytes })
    }

    fn finish(&self) -> Result<Option<Data>, Error> {
        match &self.parser {
            Some(parser) if !parser.is_done() => CutSnafu.fail(),
            _ => Ok(None),
        }
    }
}
