//! The `status` command: shows the status of the fleet as an entry sees it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::EntrySnafu;
use crate::error::Error;

/// The maximum time of the request to the entry.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Requests the status from an entry and formats it as indented text, or as
/// JSON.
pub(crate) fn run(entry: SocketAddr, json: bool) -> Result<String, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(fetch_status(entry)));
    match result {
        Ok(value) if json => Ok(value.to_string()),
        Ok(value) => Ok(format_value(&value, 0)),
        Err(detail) => EntrySnafu { entry, detail }.fail(),
    }
}

async fn fetch_status(entry: SocketAddr) -> Result<Value, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{entry}/status.json");
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let exchange = async {
        let response = client.get(uri).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        match status.is_success() {
            true => serde_json::from_slice(&body).map_err(|error| error.to_string()),
            false => Err(status.to_string()),
        }
    };
    match tokio::time::timeout(TIMEOUT, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err("timed out".to_owned()),
    }
}

/// Formats a value as indented lines. An object in an array becomes one line.
fn format_value(value: &Value, depth: usize) -> String {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| match value {
                Value::Object(_) | Value::Array(_) => {
                    format!("{indent}{name}:\n{}", format_value(value, depth + 1))
                }
                value => format!("{indent}{name}: {}\n", format_scalar(value)),
            })
            .collect(),
        Value::Array(items) => items
            .iter()
            .map(|item| match item {
                Value::Object(fields) => {
                    let cells: Vec<String> = fields
                        .iter()
                        .map(|(name, value)| format!("{name} {}", format_scalar(value)))
                        .collect();
                    format!("{indent}{}\n", cells.join("  "))
                }
                item => format!("{indent}{}\n", format_scalar(item)),
            })
            .collect(),
        value => format!("{indent}{}\n", format_scalar(value)),
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
