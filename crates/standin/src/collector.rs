//! A trace collector that accepts OTLP/HTTP in JSON, keeps the spans and counts
//! them by name.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::read_json;

/// Number of spans that are kept; later ones are dropped.
const SPANS_MAX: usize = 100_000;

/// A received span.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Span {
    /// The trace id, in hexadecimal digits.
    pub trace: String,
    /// The span id, in hexadecimal digits.
    pub span: String,
    /// The parent's span id; empty for a root span.
    pub parent: String,
    /// The name of the operation.
    pub name: String,
}

#[derive(Debug, Default)]
struct Collector {
    spans: Mutex<Vec<Span>>,
}

/// Starts a collector and returns the address it listens on.
///
/// # Errors
///
/// The I/O error if binding the address fails.
pub async fn spawn(listen: SocketAddr) -> io::Result<SocketAddr> {
    crate::http::spawn(listen, Arc::new(Collector::default())).await
}

impl Handler for Collector {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        self.collect(request).await.into()
    }
}

impl Collector {
    async fn collect(&self, request: Request) -> Result<Response, Refusal> {
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/v1/traces") => {
                let body: Value = read_json(request).await?;
                let mut spans = self.spans.lock();
                spans.extend(parse(&body));
                spans.truncate(SPANS_MAX);
                Ok(json(StatusCode::OK, &serde_json::json!({})))
            }
            (Method::GET, "/admin/spans") => Ok(json(StatusCode::OK, &*self.spans.lock())),
            (Method::GET, "/admin/names") => {
                let mut names: BTreeMap<String, u64> = BTreeMap::new();
                for span in self.spans.lock().iter() {
                    *names.entry(span.name.clone()).or_default() += 1;
                }
                Ok(json(StatusCode::OK, &names))
            }
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }
}

fn parse(body: &Value) -> Vec<Span> {
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    list(&body["resourceSpans"])
        .iter()
        .flat_map(|resource| list(&resource["scopeSpans"]))
        .flat_map(|scope| list(&scope["spans"]))
        .map(|span| Span {
            trace: text(&span["traceId"]),
            span: text(&span["spanId"]),
            parent: text(&span["parentSpanId"]),
            name: text(&span["name"]),
        })
        .collect()
}
