//! Client for the interface of model engines besides calls and orders.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use snafu::ResultExt;
use tokio::time::timeout;

use crate::Error;
use crate::Server;
use crate::error::JsonSnafu;
use crate::error::RequestSnafu;
use crate::error::TimeoutSnafu;

/// The maximum size of an answer, except for an exported prefix.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// The maximum size of the KV cache of an exported prefix.
const KV_MAX_BYTES: usize = 64 << 20;
/// The maximum time of a cancellation, during which the cancelled call keeps
/// its slot. A sound engine may be silent for a second or two.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// A client for a model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    server: Server,
}

/// The state of a request after its cancellation was requested.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Cancellation {
    /// It was cancelled.
    Cancelled,
    /// It had already finished.
    Finished,
    /// The engine does not know the request.
    Unknown,
}

/// An engine's load at an earlier time, [`Load::as_of_ms`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The maximum number of requests that run concurrently.
    pub capacity: u32,
    /// The number of free blocks of the KV cache.
    #[serde(default)]
    pub kv_blocks_free: u64,
    /// The number of prompts whose prefix was cached.
    #[serde(default)]
    pub prefix_hits: u64,
    /// The time of the measurement on the engine's clock, in milliseconds.
    #[serde(default)]
    pub as_of_ms: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// The sequence number, which increases with each event; there may be
    /// gaps.
    pub sequence: u64,
    /// The kind of change.
    pub kind: CacheChange,
    /// The prefix, in hexadecimal.
    pub prefix: SmolStr,
}

/// The kind of change to a prefix in the cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Removed,
}

#[derive(Deserialize)]
struct CancelResponse {
    state: Cancellation,
}

#[derive(Deserialize)]
struct CacheEventsResponse {
    events: Vec<CacheEvent>,
}

impl Engine {
    /// Creates a client for the engine at `server`.
    pub fn open(server: Server) -> Engine {
        Engine { server }
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the request may continue to run.
    pub async fn cancel(&self, request_id: &str) -> Result<Cancellation, Error> {
        let path = format!("/cancel/{request_id}");
        let exchange = self.exchange(Method::POST, &path, Bytes::new(), ANSWER_MAX_BYTES);
        let Ok(bytes) = timeout(CANCEL_TIMEOUT, exchange).await else {
            let limit_ms = CANCEL_TIMEOUT.as_millis() as u64;
            return TimeoutSnafu { limit_ms }.fail();
        };
        let response: CancelResponse = parse(&bytes?)?;
        Ok(response.state)
    }

    /// The engine's load.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn load(&self) -> Result<Load, Error> {
        parse(&self.get("/load").await?)
    }

    /// The changes of the prefix cache after the event with the sequence number
    /// `after`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        let path = format!("/cache-events?after={after}");
        let events: CacheEventsResponse = parse(&self.get(&path).await?)?;
        Ok(events.events)
    }

    /// Downloads the KV cache of a prefix.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Status`] with 404 if the prefix is not cached.
    pub async fn export(&self, prefix: &str) -> Result<Bytes, Error> {
        let path = format!("/kv/{prefix}");
        self.exchange(Method::GET, &path, Bytes::new(), KV_MAX_BYTES)
            .await
    }

    /// Uploads the KV cache of a prefix.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn import(&self, prefix: &str, cache: Bytes) -> Result<(), Error> {
        let path = format!("/kv/{prefix}");
        self.exchange(Method::PUT, &path, cache, ANSWER_MAX_BYTES)
            .await?;
        Ok(())
    }

    async fn get(&self, path: &str) -> Result<Bytes, Error> {
        self.exchange(Method::GET, path, Bytes::new(), ANSWER_MAX_BYTES)
            .await
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max_bytes: usize,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(self.server.uri(path))
            .body(Full::new(body))
            .context(RequestSnafu)?;
        let response = self.server.send(request).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(Error::Status { status });
        }
        match Limited::new(response.into_body(), max_bytes)
            .collect()
            .await
        {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(_) => Err(Error::Status {
                status: StatusCode::BAD_GATEWAY,
            }),
        }
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).context(JsonSnafu)
}
