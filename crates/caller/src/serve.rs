//! Reads callers' requests and passes them to the gateway.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use poem::Body;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::error::ReadBodyError;
use poem::http::HeaderMap;
use poem::http::Method;
use poem::http::header;
use prometheus::Registry;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::call;
use snipewinch::call::Header;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Customer;
use snipewinch::document::Document;
use snipewinch::document::Repeat;
use snipewinch::document::Service;
use tokio::io::AsyncReadExt;
use tokio::sync::watch;

use crate::gateway::Call;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::problem::Problem;
use crate::resolve;
use crate::respond;

/// The maximum size of a request's body.
const BODY_MAX_BYTES: usize = 2 << 20;
/// The maximum number of bytes of a refused request's body that are read and
/// discarded.
const DISCARD_MAX_BYTES: u64 = 8 << 20;
/// The maximum time to read the rest of a refused request's body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time to receive a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum size of an idempotency key, request id or `traceparent`. A
/// longer key is refused; a longer request id or `traceparent` is ignored.
const IDENTIFIER_MAX_BYTES: usize = 200;

/// The size of a block of a prompt. Its prefixes end at multiples of this size.
const PREFIX_BLOCK_BYTES: usize = 256;
/// The maximum number of prefixes of a prompt that are passed to routing.
const PREFIX_BLOCKS_MAX: usize = 16;

/// The headers of a request that are forwarded to the backend server.
const FORWARDED_HEADERS: [&str; 4] = ["accept", "accept-language", "content-type", "tracestate"];

/// The HTTP API for callers.
pub struct Api {
    gateway: Arc<dyn Gateway>,
    configuration: watch::Receiver<Arc<Snapshot>>,
    metrics: Metrics,
}

/// The fields of a completion request that are read here.
#[derive(Deserialize)]
struct CompletionBody<'a> {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl Api {
    /// Creates the API, which passes calls to `gateway` under the current
    /// configuration.
    pub fn open(
        gateway: Arc<dyn Gateway>,
        configuration: watch::Receiver<Arc<Snapshot>>,
        registry: &Registry,
    ) -> Api {
        Api {
            gateway,
            configuration,
            metrics: Metrics::open(registry),
        }
    }

    async fn serve(&self, request: &mut Request) -> Result<Response, Problem> {
        let snapshot = self.configuration.borrow().clone();
        if snapshot.version == 0 {
            return Err(Problem::NoConfiguration);
        }
        let document = &snapshot.document;
        let customer = bearer_key(request.headers())
            .and_then(|key| resolve::customer(document, key))
            .ok_or(Problem::Unauthorized)?;
        let path = request.uri().path();
        match (path, request.method()) {
            ("/v1/models", &Method::GET) => Ok(models(document)),
            ("/v1/chat/completions" | "/v1/completions", &Method::POST) => {
                self.completion(document, customer, request).await
            }
            ("/v1/chat/completions" | "/v1/completions" | "/v1/models", _) => Err(Problem::Method),
            _ => self.plain_request(document, customer, request).await,
        }
    }

    async fn completion(
        &self,
        document: &Document,
        customer: &Customer,
        request: &mut Request,
    ) -> Result<Response, Problem> {
        let mut received = Received::new(request).await?;
        let body = received.call.body.clone();
        let completion: CompletionBody =
            serde_json::from_slice(&body).map_err(|_| Problem::Malformed)?;
        let service =
            resolve::engine_service(document, &completion.model).ok_or(Problem::UnknownModel)?;
        let prompt = completion.messages.or(completion.prompt);
        let prefixes = prompt.map(|prompt| prefix_digests(prompt.get().as_bytes()));
        received.prefixes = prefixes.unwrap_or_default();
        received.call.model = Some(completion.model);
        received.call.stream = completion.stream;
        self.run(service, customer, received).await
    }

    async fn plain_request(
        &self,
        document: &Document,
        customer: &Customer,
        request: &mut Request,
    ) -> Result<Response, Problem> {
        let service =
            resolve::plain_service(document, request.uri().path()).ok_or(Problem::UnknownPath)?;
        let mut received = Received::new(request).await?;
        // A plain service gets the caller's idempotency key or request id.
        received.call.request_id = received.key.clone().or(received.request_id.clone());
        self.run(service, customer, received).await
    }

    async fn run(
        &self,
        service: &Service,
        customer: &Customer,
        received: Received,
    ) -> Result<Response, Problem> {
        let started = Instant::now();
        let at_most_once = received.key.is_some() || service.repeat == Repeat::Never;
        let call = Call {
            customer: customer.name.clone(),
            fingerprint: received.fingerprint(),
            key: received.key,
            prefixes: received.prefixes,
            budget: Duration::from_millis(service.deadline_ms),
            request: call::Request {
                service: service.name.clone(),
                at_most_once,
                priority: customer.priority,
                ..received.call
            },
        };
        let answer = self.gateway.call(call).await?;
        self.metrics
            .head_seconds
            .with_label_values(&[service.name.as_str()])
            .observe(started.elapsed().as_secs_f64());
        Ok(respond::answer(answer, &self.metrics))
    }
}

impl Endpoint for Api {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        match self.serve(&mut request).await {
            Ok(response) => Ok(response),
            Err(problem) => {
                discard(request.take_body()).await;
                let outcome = problem.code();
                self.metrics.requests.with_label_values(&[outcome]).inc();
                Ok(respond::problem(&problem))
            }
        }
    }
}

/// A request whose body was received completely.
struct Received {
    call: call::Request,
    key: Option<SmolStr>,
    request_id: Option<SmolStr>,
    prefixes: Vec<Digest>,
}

impl Received {
    async fn new(request: &mut Request) -> Result<Received, Problem> {
        let key = match request.headers().get("idempotency-key") {
            None => None,
            Some(value) => Some(idempotency_key(value.as_bytes())?),
        };
        let body = body(request).await?;
        let header_text = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(SmolStr::new)
        };
        let path = request.uri().path_and_query();
        let headers = FORWARDED_HEADERS
            .iter()
            .filter_map(|name| Some(Header(SmolStr::new_static(name), header_text(name)?)))
            .collect();
        Ok(Received {
            key,
            prefixes: Vec::new(),
            request_id: header_text("x-request-id").filter(|id| id.len() <= IDENTIFIER_MAX_BYTES),
            call: call::Request {
                method: SmolStr::new(request.method().as_str()),
                path: path.map_or(SmolStr::new_static("/"), |path| SmolStr::new(path.as_str())),
                headers,
                body,
                traceparent: header_text("traceparent")
                    .filter(|value| value.len() <= IDENTIFIER_MAX_BYTES),
                ..call::Request::default()
            },
        })
    }

    /// The digest of the request's method, path and body. It distinguishes
    /// requests under the same idempotency key.
    fn fingerprint(&self) -> Digest {
        let mut input = Vec::with_capacity(self.call.body.len() + 64);
        input.extend_from_slice(self.call.method.as_bytes());
        input.push(b' ');
        input.extend_from_slice(self.call.path.as_bytes());
        input.push(b'\n');
        input.extend_from_slice(&self.call.body);
        Digest::of(&input)
    }
}

/// The digests of a prompt's prefixes, the longest first. Each prefix consists
/// of whole blocks.
fn prefix_digests(prompt: &[u8]) -> Vec<Digest> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.chunks_exact(PREFIX_BLOCK_BYTES);
    let mut digests: Vec<Digest> = blocks
        .take(PREFIX_BLOCKS_MAX)
        .map(|block| {
            hasher.update(block);
            Digest::from_bytes(*hasher.finalize().as_bytes())
        })
        .collect();
    digests.reverse();
    digests
}

/// Reads and discards the rest of a refused request's body: closing a
/// connection with unread bytes resets it, and the reset can reach the caller
/// before the answer.
async fn discard(body: Body) {
    let mut rest = body.into_async_read().take(DISCARD_MAX_BYTES);
    let mut sink = tokio::io::sink();
    let discarded = tokio::io::copy(&mut rest, &mut sink);
    // A caller that disconnects here does not read the answer either.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarded).await;
}

async fn body(request: &mut Request) -> Result<Bytes, Problem> {
    let declared = request.headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > BODY_MAX_BYTES) {
        return Err(Problem::BodyTooLarge);
    }
    let body = request.take_body();
    let reading = body.into_bytes_limit(BODY_MAX_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(Problem::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Problem::Malformed),
    }
}

fn idempotency_key(value: &[u8]) -> Result<SmolStr, Problem> {
    let visible = |byte: &u8| byte.is_ascii_graphic();
    let fits = (1..=IDENTIFIER_MAX_BYTES).contains(&value.len());
    match std::str::from_utf8(value) {
        Ok(text) if fits && value.iter().all(visible) => Ok(SmolStr::new(text)),
        _ => Err(Problem::BadKey),
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn models(document: &Document) -> Response {
    let data: Vec<_> = resolve::model_names(document)
        .iter()
        .map(
            |name| json!({"id": name, "object": "model", "created": 0, "owned_by": document.fleet}),
        )
        .collect();
    let body = json!({"object": "list", "data": data});
    Response::builder()
        .content_type("application/json")
        .body(body.to_string())
}
