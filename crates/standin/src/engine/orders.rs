//! Orders to an engine: load and unload models, load adapters, change the role.

use std::sync::Arc;

use futures_util::StreamExt;
use http::StatusCode;
use http_body_util::BodyDataStream;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;

use super::Engine;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::read_json;

/// The state that orders change, and the lock that serializes orders.
#[derive(Debug, Default)]
pub(super) struct Control {
    state: Mutex<EngineState>,
    /// Held while an order is executed, so that orders run one at a time.
    execution: tokio::sync::Mutex<()>,
}

/// The response body of `GET /state`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct EngineState {
    fence: u64,
    role: Role,
    models: Vec<Loaded>,
    /// Whether an order to load a model is being executed.
    loading: bool,
    /// Number of resets. An order to load that began before a reset is refused
    /// when its weights have arrived.
    #[serde(skip)]
    generation: u64,
}

/// A loaded model or adapter.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Loaded {
    pub(super) model: SmolStr,
    pub(super) version: SmolStr,
    pub(super) manifest: SmolStr,
    pub(super) given_digest: SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) adapter_of: Option<SmolStr>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Role {
    Prefill,
    Decode,
    #[default]
    Both,
}

#[derive(Debug, Deserialize)]
struct FencedOrder {
    fence: u64,
    order: Order,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum Order {
    Load {
        model: SmolStr,
        version: SmolStr,
        manifest: SmolStr,
        size: u64,
        source: String,
    },
    Unload {
        model: SmolStr,
        version: SmolStr,
    },
    Adapter {
        model: SmolStr,
        adapter: SmolStr,
        version: SmolStr,
        manifest: SmolStr,
        size: u64,
        source: String,
    },
    Role {
        role: Role,
    },
}

impl Control {
    pub(super) fn state(&self) -> EngineState {
        self.state.lock().clone()
    }

    /// Clears all state and invalidates the loads in progress.
    pub(super) fn reset(&self) {
        let mut state = self.state.lock();
        let generation = state.generation + 1;
        *state = EngineState {
            generation,
            ..EngineState::default()
        };
    }

    /// Returns the weights that serve `model`; none while a model is loading.
    pub(super) fn loaded(&self, model: &str) -> Option<Loaded> {
        let state = self.state.lock();
        if state.loading {
            return None;
        }
        state.models.iter().find(|m| m.model == model).cloned()
    }

    /// Whether no call can be served, as a model is loading or none is loaded.
    pub(super) fn is_unavailable(&self) -> bool {
        let state = self.state.lock();
        state.loading || state.models.is_empty()
    }
}

impl Engine {
    /// Executes an order. It runs in a task of its own, so that it completes
    /// even if the client disconnects.
    pub(super) async fn handle_order(
        self: Arc<Self>,
        request: Request,
    ) -> Result<Response, Refusal> {
        let fenced: FencedOrder = read_json(request).await?;
        let result = tokio::spawn(async move { self.execute(fenced).await }).await;
        result.unwrap_or_else(|_| {
            Err(Refusal::new(error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "order",
            )))
        })
    }

    async fn execute(&self, fenced: FencedOrder) -> Result<Response, Refusal> {
        let _execution = self.control.execution.lock().await;
        let generation = self.advance_fence(fenced.fence)?;
        match fenced.order {
            Order::Load {
                model,
                version,
                manifest,
                size,
                source,
            } => {
                self.control.state.lock().loading = true;
                let digest = self.fetch_weights(&source, size).await;
                let fetched = digest.map(|given_digest| Loaded {
                    model: model.clone(),
                    version,
                    manifest,
                    given_digest,
                    adapter_of: None,
                });
                self.replace_model(generation, &model, fetched)?;
            }
            Order::Adapter {
                model,
                adapter,
                version,
                manifest,
                size,
                source,
            } => {
                let digest = self.fetch_weights(&source, size).await;
                let fetched = digest.map(|given_digest| Loaded {
                    model: adapter.clone(),
                    version,
                    manifest,
                    given_digest,
                    adapter_of: Some(model),
                });
                self.replace_model(generation, &adapter, fetched)?;
            }
            Order::Unload { model, version } => {
                let mut state = self.control.state.lock();
                state
                    .models
                    .retain(|m| m.model != model || m.version != version);
            }
            Order::Role { role } => self.control.state.lock().role = role,
        }
        let state = self.control.state();
        Ok(json(StatusCode::OK, &json!({ "state": state })))
    }

    /// Records the fencing number of an order and returns the generation of the
    /// state. Refuses a number below the highest one if `check_fence` is set.
    fn advance_fence(&self, fence: u64) -> Result<u64, Refusal> {
        let mut state = self.control.state.lock();
        if self.config.check_fence && fence < state.fence {
            let highest = json!({ "fence": state.fence });
            return Err(Refusal::new(json(StatusCode::CONFLICT, &highest)));
        }
        state.fence = state.fence.max(fence);
        Ok(state.generation)
    }

    /// Replaces the model `name` by the fetched weights. The previous weights
    /// are removed even if the fetch failed; after a reset, nothing changes.
    fn replace_model(
        &self,
        generation: u64,
        name: &str,
        fetched: Result<Loaded, String>,
    ) -> Result<(), Refusal> {
        let mut state = self.control.state.lock();
        if state.generation != generation {
            return Err(Refusal::new(error(
                StatusCode::SERVICE_UNAVAILABLE,
                "reset",
            )));
        }
        state.loading = false;
        state.models.retain(|m| m.model != name);
        match fetched {
            Ok(loaded) => {
                state.models.push(loaded);
                Ok(())
            }
            Err(reason) => Err(Refusal::new(error(StatusCode::BAD_GATEWAY, &reason))),
        }
    }

    /// Downloads weights of `size` bytes from `source`, waits for the swap, and
    /// returns the BLAKE3 digest of the bytes in hexadecimal.
    async fn fetch_weights(&self, source: &str, size: u64) -> Result<SmolStr, String> {
        let uri: http::Uri = source.parse().map_err(|e| format!("source: {e}"))?;
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let response = client.get(uri).await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("the source answers {}", response.status()));
        }
        let mut body = BodyDataStream::new(response.into_body());
        let mut hasher = blake3::Hasher::new();
        let mut length = 0;
        while let Some(data) = body.next().await {
            let data = data.map_err(|e| e.to_string())?;
            length += data.len() as u64;
            hasher.update(&data);
        }
        if length != size {
            return Err(format!("expected {size} bytes and was given {length}"));
        }
        tokio::time::sleep(self.config.swap_duration).await;
        Ok(SmolStr::new(hasher.finalize().to_hex().as_str()))
    }
}
