//! Client for orders to a model engine and the state that it reports.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snafu::ResultExt;
use snipewinch::Digest;
use snipewinch::weights::load::Outcome;
use snipewinch::weights::load::Role;
use snipewinch::weights::load::State;
use tokio::time::timeout;

use crate::Error;
use crate::Server;
use crate::error::JsonSnafu;
use crate::error::RequestSnafu;
use crate::error::TimeoutSnafu;

/// The maximum size of an answer.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// The maximum time to read the state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time of an order, in addition to the time that the engine may
/// take to read the weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// The minimum rate at which an engine is expected to read weights, in bytes
/// per second. An order to a slower engine may time out.
const READ_RATE_MIN_BYTES_S: u64 = 20 << 20;

/// An order as it is sent to an engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Load a version of a model.
    Load {
        /// The model.
        model: SmolStr,
        /// The version.
        version: SmolStr,
        /// The manifest's digest.
        manifest: Digest,
        /// The total size of the weights, in bytes.
        size: u64,
        /// The URL at which the engine reads the weights.
        source: String,
    },
    /// Unload a version.
    Unload {
        /// The model or adapter.
        model: SmolStr,
        /// The version.
        version: SmolStr,
    },
    /// Load an adapter of a model.
    Adapter {
        /// The model.
        model: SmolStr,
        /// The adapter.
        adapter: SmolStr,
        /// The version.
        version: SmolStr,
        /// The manifest's digest.
        manifest: Digest,
        /// The total size of the weights, in bytes.
        size: u64,
        /// The URL at which the engine reads the weights.
        source: String,
    },
    /// Change the role.
    Role {
        /// The new role.
        role: Role,
    },
}

impl Order {
    fn size_bytes(&self) -> u64 {
        match self {
            Order::Adapter { size, .. } | Order::Load { size, .. } => *size,
            Order::Role { .. } | Order::Unload { .. } => 0,
        }
    }
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: u64,
    order: &'a Order,
}

#[derive(Deserialize)]
struct DoneResponse {
    state: State,
}

#[derive(Deserialize)]
struct ConflictResponse {
    fence: u64,
}

/// A client that sends orders to one engine.
#[derive(Clone, Debug)]
pub struct OrderClient {
    server: Server,
}

impl OrderClient {
    /// Creates a client for the engine at `server`.
    pub fn open(server: Server) -> OrderClient {
        OrderClient { server }
    }

    /// Reads the engine's state: the models that it holds, its role and the
    /// highest fencing number that it has seen.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Timeout`] if the engine does not answer in time.
    pub async fn state(&self) -> Result<State, Error> {
        let exchange = self.exchange(Method::GET, "/state", Bytes::new());
        let Ok(answer) = timeout(STATE_TIMEOUT, exchange).await else {
            let limit_ms = STATE_TIMEOUT.as_millis() as u64;
            return TimeoutSnafu { limit_ms }.fail();
        };
        let (status, body) = answer?;
        if status != StatusCode::OK {
            return Err(Error::Status { status });
        }
        serde_json::from_slice(&body).context(JsonSnafu)
    }

    /// Sends an order with a fencing number. After an answer that is lost, late
    /// or invalid, or any other failure, the outcome is unknown: the engine may
    /// have carried out the order.
    pub async fn send(&self, fence: u64, order: &Order) -> Outcome {
        let body = serde_json::to_vec(&OrderRequest { fence, order }).unwrap_or_default();
        let limit = ORDER_TIMEOUT + Duration::from_secs(order.size_bytes() / READ_RATE_MIN_BYTES_S);
        let exchange = self.exchange(Method::POST, "/orders", body.into());
        let answer = match timeout(limit, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => return Outcome::Unknown,
        };
        match answer {
            (StatusCode::OK, body) => match serde_json::from_slice::<DoneResponse>(&body) {
                Ok(done) => Outcome::Done(done.state),
                Err(_) => Outcome::Unknown,
            },
            (StatusCode::CONFLICT, body) => match serde_json::from_slice::<ConflictResponse>(&body)
            {
                Ok(conflict) => Outcome::Fenced {
                    fence: conflict.fence,
                },
                Err(_) => Outcome::Unknown,
            },
            _ => Outcome::Unknown,
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let request = Request::builder()
            .method(method)
            .uri(self.server.uri(path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .context(RequestSnafu)?;
        let response = self.server.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| Error::Status {
                status: StatusCode::BAD_GATEWAY,
            })?;
        Ok((status, body.to_bytes()))
    }
}
