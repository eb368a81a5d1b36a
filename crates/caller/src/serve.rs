//! Reads requests and hands them on.

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

/// The longest body of a request.
const BODY_MAX_BYTES: usize = 2 << 20;
/// The most of a refused request's body that is read and dropped.
const DISCARD_MAX_BYTES: u64 = 8 << 20;
/// How long the rest of a refused request's body is read.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);
/// How long a body may take to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(30);
/// The longest idempotency key, in characters.
const KEY_MAX: usize = 200;

/// Bytes of a prompt that lengthen its known prefix by one step.
const PREFIX_BLOCK_BYTES: usize = 256;
/// The most steps of a prefix that routing follows.
const PREFIX_BLOCKS_MAX: usize = 16;

/// Headers of a request that are passed on to the backend server.
const PASSED_ON: [&str; 4] = ["accept", "accept-language", "content-type", "tracestate"];

/// The callers' interface.
pub struct Api {
    gateway: Arc<dyn Gateway>,
    configuration: watch::Receiver<Arc<Snapshot>>,
    metrics: Metrics,
}

#[derive(Deserialize)]
struct Wanted<'a> {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

impl Api {
    /// The interface before `gateway`, under the configuration in force.
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
        let in_force = self.configuration.borrow().clone();
        if in_force.version == 0 {
            return Err(Problem::NoConfiguration);
        }
        let document = &in_force.document;
        let customer = bearer(request.headers())
            .and_then(|key| resolve::customer(document, key))
            .ok_or(Problem::Unauthorized)?;
        let path = request.uri().path();
        match (path, request.method()) {
            ("/v1/models", &Method::GET) => Ok(models(document)),
            ("/v1/chat/completions" | "/v1/completions", &Method::POST) => {
                self.completion(document, customer, request).await
            }
            ("/v1/chat/completions" | "/v1/completions" | "/v1/models", _) => Err(Problem::Method),
            _ => self.plain(document, customer, request).await,
        }
    }

    async fn completion(
        &self,
        document: &Document,
        customer: &Customer,
        request: &mut Request,
    ) -> Result<Response, Problem> {
        let mut read = Read::new(request).await?;
        let body = read.call.body.clone();
        let wanted: Wanted = serde_json::from_slice(&body).map_err(|_| Problem::Malformed)?;
        let service = resolve::engine(document, &wanted.model).ok_or(Problem::UnknownModel)?;
        let prompt = wanted.messages.or(wanted.prompt);
        let prefixes = prompt.map(|prompt| prefixes(prompt.get().as_bytes()));
        read.prefixes = prefixes.unwrap_or_default();
        read.call.model = Some(wanted.model);
        read.call.stream = wanted.stream;
        self.run(service, customer, read).await
    }

    async fn plain(
        &self,
        document: &Document,
        customer: &Customer,
        request: &mut Request,
    ) -> Result<Response, Problem> {
        let service = resolve::plain(document, request.uri().path()).ok_or(Problem::UnknownPath)?;
        let mut read = Read::new(request).await?;
        // A plain service sees the caller's own name for the request.
        read.call.request_id = read.key.clone().or(read.request_id.clone());
        self.run(service, customer, read).await
    }

    async fn run(
        &self,
        service: &Service,
        customer: &Customer,
        read: Read,
    ) -> Result<Response, Problem> {
        let started = Instant::now();
        let at_most_once = read.key.is_some() || service.repeat == Repeat::Never;
        let call = Call {
            customer: customer.name.clone(),
            fingerprint: read.fingerprint(),
            key: read.key,
            prefixes: read.prefixes,
            budget: Duration::from_millis(service.deadline_ms),
            request: call::Request {
                service: service.name.clone(),
                at_most_once,
                priority: customer.priority,
                ..read.call
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

/// A request whose body has arrived whole.
struct Read {
    call: call::Request,
    key: Option<SmolStr>,
    request_id: Option<SmolStr>,
    prefixes: Vec<Digest>,
}

impl Read {
    async fn new(request: &mut Request) -> Result<Read, Problem> {
        let key = match request.headers().get("idempotency-key") {
            None => None,
            Some(value) => Some(idempotency_key(value.as_bytes())?),
        };
        let body = body(request).await?;
        let text = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(SmolStr::new)
        };
        let path = request.uri().path_and_query();
        let headers = PASSED_ON
            .iter()
            .filter_map(|name| Some(Header(SmolStr::new_static(name), text(name)?)))
            .collect();
        Ok(Read {
            key,
            prefixes: Vec::new(),
            request_id: text("x-request-id").filter(|id| id.len() <= KEY_MAX),
            call: call::Request {
                method: SmolStr::new(request.method().as_str()),
                path: path.map_or(SmolStr::new_static("/"), |path| SmolStr::new(path.as_str())),
                headers,
                body,
                traceparent: text("traceparent").filter(|value| value.len() <= KEY_MAX),
                ..call::Request::default()
            },
        })
    }

    /// The digest of what the request asks for.
    fn fingerprint(&self) -> Digest {
        let mut text = Vec::with_capacity(self.call.body.len() + 64);
        text.extend_from_slice(self.call.method.as_bytes());
        text.push(b' ');
        text.extend_from_slice(self.call.path.as_bytes());
        text.push(b'\n');
        text.extend_from_slice(&self.call.body);
        Digest::of(&text)
    }
}

/// Digests of the first blocks of a prompt, the longest first.
fn prefixes(prompt: &[u8]) -> Vec<Digest> {
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

/// Reads and drops what a refused caller still sends: a connection closed on
/// unread bytes is reset, and the reset can overtake the answer.
async fn discard(body: Body) {
    let mut rest = body.into_async_read().take(DISCARD_MAX_BYTES);
    let mut sink = tokio::io::sink();
    let dropped = tokio::io::copy(&mut rest, &mut sink);
    // A caller that breaks off here has no answer to read either.
    let _ = tokio::time::timeout(DISCARD_LIMIT, dropped).await;
}

async fn body(request: &mut Request) -> Result<Bytes, Problem> {
    let declared = request.headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > BODY_MAX_BYTES) {
        return Err(Problem::BodyTooLarge);
    }
    let body = request.take_body();
    let reading = body.into_bytes_limit(BODY_MAX_BYTES);
    match tokio::time::timeout(BODY_LIMIT, reading).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(Problem::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Problem::Malformed),
    }
}

fn idempotency_key(value: &[u8]) -> Result<SmolStr, Problem> {
    let visible = |byte: &u8| byte.is_ascii_graphic();
    let fits = (1..=KEY_MAX).contains(&value.len());
    match std::str::from_utf8(value) {
        Ok(text) if fits && value.iter().all(visible) => Ok(SmolStr::new(text)),
        _ => Err(Problem::BadKey),
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn models(document: &Document) -> Response {
    let data: Vec<_> = resolve::models(document)
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
