//! Orders to a model engine, and the state that it reports.

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

/// The longest answer.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// How long reading the state may take.
const STATE_LIMIT: Duration = Duration::from_secs(2);
/// How long an order may take, besides reading the weights.
const ORDER_LIMIT: Duration = Duration::from_secs(60);
/// The slowest rate at which an engine reads weights, in bytes a second.
const READ_BYTES_S: u64 = 20 << 20;

/// One order as an engine reads it.
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
        /// The length of all weights, in bytes.
        size: u64,
        /// Where the engine reads them.
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
        /// The length of all weights, in bytes.
        size: u64,
        /// Where the engine reads them.
        source: String,
    },
    /// Change the role.
    Role {
        /// The new role.
        role: Role,
    },
}

impl Order {
    fn size(&self) -> u64 {
        match self {
            Order::Adapter { size, .. } | Order::Load { size, .. } => *size,
            Order::Role { .. } | Order::Unload { .. } => 0,
        }
    }
}

#[derive(Serialize)]
struct Fenced<'a> {
    fence: u64,
    order: &'a Order,
}

#[derive(Deserialize)]
struct Done {
    state: State,
}

#[derive(Deserialize)]
struct Conflict {
    fence: u64,
}

/// Gives orders to one engine.
#[derive(Clone, Debug)]
pub struct OrderClient {
    server: Server,
}

impl OrderClient {
    /// A client for the engine at `server`.
    pub fn open(server: Server) -> OrderClient {
        OrderClient { server }
    }

    /// What the engine holds.
    ///
    /// # Errors
    ///
    /// [`Error`] if the engine does not say.
    pub async fn state(&self) -> Result<State, Error> {
        let asking = self.ask(Method::GET, "/state", Bytes::new());
        let (status, body) = match timeout(STATE_LIMIT, asking).await {
            Ok(answer) => answer?,
            Err(_) => {
                return Err(Error::Status {
                    status: StatusCode::GATEWAY_TIMEOUT,
                });
            }
        };
        if status != StatusCode::OK {
            return Err(Error::Status { status });
        }
        serde_json::from_slice(&body).context(JsonSnafu)
    }

    /// Gives an order under a fencing number. An answer that is lost, late or
    /// not understood leaves open whether the order was carried out.
    pub async fn send(&self, fence: u64, order: &Order) -> Outcome {
        let body = serde_json::to_vec(&Fenced { fence, order }).unwrap_or_default();
        let limit = ORDER_LIMIT + Duration::from_secs(order.size() / READ_BYTES_S);
        let giving = self.ask(Method::POST, "/orders", body.into());
        let answer = match timeout(limit, giving).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => return Outcome::Unknown,
        };
        match answer {
            (StatusCode::OK, body) => match serde_json::from_slice::<Done>(&body) {
                Ok(done) => Outcome::Done(done.state),
                Err(_) => Outcome::Unknown,
            },
            (StatusCode::CONFLICT, body) => match serde_json::from_slice::<Conflict>(&body) {
                Ok(conflict) => Outcome::Fenced {
                    fence: conflict.fence,
                },
                Err(_) => Outcome::Unknown,
            },
            _ => Outcome::Unknown,
        }
    }

    async fn ask(
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
