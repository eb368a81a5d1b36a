//! What only a model engine offers.

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

use crate::Error;
use crate::Server;
use crate::error::JsonSnafu;
use crate::error::RequestSnafu;

/// The longest answer to a question about an engine.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// The longest exported prefix.
const KV_MAX_BYTES: usize = 64 << 20;

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    server: Server,
}

/// What became of a cancelled request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Cancelled {
    /// It was stopped.
    Cancelled,
    /// It had finished before.
    Finished,
    /// The engine knows no such request.
    Unknown,
}

/// An engine's load, as of some time ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The most that run at once.
    pub capacity: u32,
    /// Free blocks of KV cache.
    #[serde(default)]
    pub kv_blocks_free: u64,
    /// Prompts whose prefix was cached.
    #[serde(default)]
    pub prefix_hits: u64,
    /// When this was so, by the engine's clock, in milliseconds.
    #[serde(default)]
    pub as_of_ms: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// Grows with each event; numbers may be missing.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheChange,
    /// The prefix, in hexadecimal.
    pub prefix: SmolStr,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It is cached now.
    Stored,
    /// It no longer is.
    Removed,
}

#[derive(Deserialize)]
struct Cancellation {
    state: Cancelled,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

impl Engine {
    /// The engine behind a server.
    pub fn open(server: Server) -> Engine {
        Engine { server }
    }

    /// Stops a request.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the request may run on.
    pub async fn cancel(&self, request_id: &str) -> Result<Cancelled, Error> {
        let path = format!("/cancel/{request_id}");
        let bytes = self
            .exchange(Method::POST, &path, Bytes::new(), ANSWER_MAX_BYTES)
            .await?;
        let cancellation: Cancellation = parse(&bytes)?;
        Ok(cancellation.state)
    }

    /// The engine's load.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn load(&self) -> Result<Load, Error> {
        parse(&self.get("/load").await?)
    }

    /// Changes of the prefix cache after the event with this sequence.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        let path = format!("/cache-events?after={after}");
        let events: CacheEvents = parse(&self.get(&path).await?)?;
        Ok(events.events)
    }

    /// The KV cache of a prefix.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; `Status` with 404 if it is not cached.
    pub async fn export(&self, prefix: &str) -> Result<Bytes, Error> {
        let path = format!("/kv/{prefix}");
        self.exchange(Method::GET, &path, Bytes::new(), KV_MAX_BYTES)
            .await
    }

    /// Gives the engine the KV cache of a prefix.
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
        max: usize,
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
        match Limited::new(response.into_body(), max).collect().await {
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
