//! Shows what an entry knows of the fleet.

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

/// How long the entry may take.
const LIMIT: Duration = Duration::from_secs(5);

/// Asks an entry and prints its answer for people, or as it is.
pub(crate) fn run(entry: SocketAddr, json: bool) -> Result<String, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let asked = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(ask(entry)));
    match asked {
        Ok(value) if json => Ok(value.to_string()),
        Ok(value) => Ok(lines(&value, 0)),
        Err(detail) => EntrySnafu { entry, detail }.fail(),
    }
}

async fn ask(entry: SocketAddr) -> Result<Value, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{entry}/status.json");
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let asked = async {
        let response = client.get(uri).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        match status.is_success() {
            true => serde_json::from_slice(&body).map_err(|error| error.to_string()),
            false => Err(status.to_string()),
        }
    };
    match tokio::time::timeout(LIMIT, asked).await {
        Ok(answer) => answer,
        Err(_) => Err("too slow".to_owned()),
    }
}

/// Indented lines, one for each value.
fn lines(value: &Value, depth: usize) -> String {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| match value {
                Value::Object(_) | Value::Array(_) => {
                    format!("{indent}{name}:\n{}", lines(value, depth + 1))
                }
                value => format!("{indent}{name}: {}\n", plain(value)),
            })
            .collect(),
        Value::Array(items) => items
            .iter()
            .map(|item| match item {
                Value::Object(fields) => {
                    let cells: Vec<String> = fields
                        .iter()
                        .map(|(name, value)| format!("{name} {}", plain(value)))
                        .collect();
                    format!("{indent}{}\n", cells.join("  "))
                }
                item => format!("{indent}{}\n", plain(item)),
            })
            .collect(),
        value => format!("{indent}{}\n", plain(value)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
