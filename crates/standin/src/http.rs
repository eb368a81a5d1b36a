//! The HTTP server that all stand-ins share.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Largest request body that is read.
pub const BODY_BYTES_MAX: usize = 1 << 30;

/// A response body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// A request as received.
pub type Request = http::Request<Incoming>;
/// An answer.
pub type Response = http::Response<Body>;

/// The outcome of a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends a response.
    Answer(Response),
    /// Closes the connection without a response.
    Disconnect,
}

/// The response to a request that is refused.
#[derive(Debug)]
pub struct Refusal(pub Box<Response>);

impl Refusal {
    /// Wraps the response to send.
    pub fn new(response: Response) -> Refusal {
        Refusal(Box::new(response))
    }
}

impl From<Result<Response, Refusal>> for Reply {
    fn from(result: Result<Response, Refusal>) -> Reply {
        match result {
            Ok(response) => Reply::Answer(response),
            Err(Refusal(response)) => Reply::Answer(*response),
        }
    }
}

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, request: Request) -> impl Future<Output = Reply> + Send;
}

/// Listens on `address` and passes requests to `handler` until the runtime
/// ends. Returns the bound address.
///
/// # Errors
///
/// The I/O error if the address cannot be bound.
pub async fn spawn<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let local_address = listener.local_addr()?;
    tokio::spawn(accept(listener, handler));
    Ok(local_address)
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone()));
            }
            Err(error) => {
                log::warn!("E5001 accepting a connection failed: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move {
            match handler.handle(request).await {
                Reply::Answer(response) => Ok(response),
                Reply::Disconnect => Err(io::Error::other("fault injection dropped the reply")),
            }
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A broken connection is handled by the client.
    let _ = connection.await;
}

/// Returns a body of bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = http::Response::new(full_body(bytes));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a response with a body of raw bytes.
pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = http::Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Returns an error response with the JSON body `{"error": kind}`.
pub fn error(status: StatusCode, kind: &str) -> Response {
    json(status, &json!({ "error": kind }))
}

/// Reads a request body to its end.
///
/// # Errors
///
/// A refusal with status 400 if the body exceeds [`BODY_BYTES_MAX`] or the
/// connection breaks.
pub async fn read_body(request: Request) -> Result<Bytes, Refusal> {
    match Limited::new(request.into_body(), BODY_BYTES_MAX)
        .collect()
        .await
    {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Refusal::new(error(StatusCode::BAD_REQUEST, "body"))),
    }
}

/// Reads and parses a JSON request body.
///
/// # Errors
///
/// A refusal with status 400 if the body cannot be read or is not a valid `T`.
pub async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T, Refusal> {
    let body = read_body(request).await?;
    parse(&body)
}

/// Parses a JSON body.
///
/// # Errors
///
/// A refusal with status 400 if the body is not a valid `T`.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|e| Refusal::new(error(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// Returns a parameter of the query string, percent-decoded.
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| percent_decode(value))
    })
}

/// Decodes percent escapes, and `+` as a space. An invalid escape becomes `?`.
pub fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits = [bytes.next().unwrap_or(0), bytes.next().unwrap_or(0)];
                let digits = std::str::from_utf8(&digits).unwrap_or("");
                decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
            }
            b'+' => decoded.push(b' '),
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Parses a `Range: bytes=a-b` header for a body of `length` bytes. The header
/// includes both ends; the result excludes the end.
pub fn byte_range(request: &Request, length: usize) -> Option<std::ops::Range<usize>> {
    let text = request.headers().get(header::RANGE)?.to_str().ok()?;
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let first: usize = first.parse().ok()?;
    let end = match last {
        "" => length,
        last => last.parse::<usize>().ok()?.saturating_add(1).min(length),
    };
    (first < end).then_some(first..end)
}

/// Merges `change` into `target`: objects field by field, other values whole.
pub fn merge(target: &mut serde_json::Value, change: serde_json::Value) {
    match (target, change) {
        (serde_json::Value::Object(target), serde_json::Value::Object(change)) => {
            for (key, value) in change {
                merge(target.entry(key).or_insert(serde_json::Value::Null), value);
            }
        }
        (target, change) => *target = change,
    }
}

/// Returns `current` with the fields of a JSON change merged into it.
///
/// # Errors
///
/// A refusal with status 400 if a field is unknown or has the wrong type.
pub fn patch<T: DeserializeOwned + Serialize>(
    current: &T,
    change: serde_json::Value,
) -> Result<T, Refusal> {
    let mut value = serde_json::to_value(current).unwrap_or_default();
    merge(&mut value, change);
    serde_json::from_value(value)
        .map_err(|e| Refusal::new(error(StatusCode::BAD_REQUEST, &e.to_string())))
}
