//! Orders to an engine: load, unload, adapters and roles.

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

/// What an engine holds and obeys.
#[derive(Debug, Default)]
pub(super) struct Orders {
    holding: Mutex<Holding>,
    /// One order at a time.
    turn: tokio::sync::Mutex<()>,
}

/// The answer of `GET /state`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Holding {
    fence: u64,
    role: Role,
    models: Vec<Loaded>,
    /// Whether an order to load is being carried out.
    loading: bool,
    /// Counts how often the engine was reset; orders of before are dropped.
    #[serde(skip)]
    life: u64,
}

/// A model or adapter that an engine holds.
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
struct Fenced {
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

impl Orders {
    pub(super) fn state(&self) -> Holding {
        self.holding.lock().clone()
    }

    /// Forgets everything that was loaded or ordered.
    pub(super) fn reset(&self) {
        let mut holding = self.holding.lock();
        let life = holding.life + 1;
        *holding = Holding {
            life,
            ..Holding::default()
        };
    }

    /// The weights that answer for `model`, unless none are in force.
    pub(super) fn serving(&self, model: &str) -> Option<Loaded> {
        let holding = self.holding.lock();
        if holding.loading {
            return None;
        }
        holding.models.iter().find(|m| m.model == model).cloned()
    }

    /// Whether anything at all can be served.
    pub(super) fn empty(&self) -> bool {
        let holding = self.holding.lock();
        holding.loading || holding.models.is_empty()
    }
}

impl Engine {
    /// Carries an order out, even if whoever gave it goes away meanwhile.
    pub(super) async fn order(self: Arc<Self>, request: Request) -> Result<Response, Refusal> {
        let fenced: Fenced = read_json(request).await?;
        let carried = tokio::spawn(async move { self.carry_out(fenced).await }).await;
        carried.unwrap_or_else(|_| {
            Err(Refusal::new(error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "order",
            )))
        })
    }

    async fn carry_out(&self, fenced: Fenced) -> Result<Response, Refusal> {
        let _turn = self.orders.turn.lock().await;
        let life = self.fence(fenced.fence)?;
        match fenced.order {
            Order::Load {
                model,
                version,
                manifest,
                size,
                source,
            } => {
                self.orders.holding.lock().loading = true;
                let given = self.fetch(&source, size).await;
                let loaded = given.map(|given_digest| Loaded {
                    model: model.clone(),
                    version,
                    manifest,
                    given_digest,
                    adapter_of: None,
                });
                self.replace(life, &model, loaded)?;
            }
            Order::Adapter {
                model,
                adapter,
                version,
                manifest,
                size,
                source,
            } => {
                let given = self.fetch(&source, size).await;
                let loaded = given.map(|given_digest| Loaded {
                    model: adapter.clone(),
                    version,
                    manifest,
                    given_digest,
                    adapter_of: Some(model),
                });
                self.replace(life, &adapter, loaded)?;
            }
            Order::Unload { model, version } => {
                let mut holding = self.orders.holding.lock();
                holding
                    .models
                    .retain(|m| m.model != model || m.version != version);
            }
            Order::Role { role } => self.orders.holding.lock().role = role,
        }
        let state = self.orders.state();
        Ok(json(StatusCode::OK, &json!({ "state": state })))
    }

    /// Refuses an old order where this engine checks; returns its life.
    fn fence(&self, fence: u64) -> Result<u64, Refusal> {
        let mut holding = self.orders.holding.lock();
        if self.config.check_fence && fence < holding.fence {
            let highest = json!({ "fence": holding.fence });
            return Err(Refusal::new(json(StatusCode::CONFLICT, &highest)));
        }
        holding.fence = holding.fence.max(fence);
        Ok(holding.life)
    }

    /// Puts what was fetched in force; what was there before is gone either way.
    fn replace(
        &self,
        life: u64,
        name: &str,
        loaded: Result<Loaded, String>,
    ) -> Result<(), Refusal> {
        let mut holding = self.orders.holding.lock();
        if holding.life != life {
            return Err(Refusal::new(error(
                StatusCode::SERVICE_UNAVAILABLE,
                "reset",
            )));
        }
        holding.loading = false;
        holding.models.retain(|m| m.model != name);
        match loaded {
            Ok(loaded) => {
                holding.models.push(loaded);
                Ok(())
            }
            Err(why) => Err(Refusal::new(error(StatusCode::BAD_GATEWAY, &why))),
        }
    }

    /// Reads all weights from `source` and returns the digest of the bytes.
    async fn fetch(&self, source: &str, size: u64) -> Result<SmolStr, String> {
        let uri: http::Uri = source.parse().map_err(|e| format!("source: {e}"))?;
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let response = client.get(uri).await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("the source answers {}", response.status()));
        }
        let mut body = BodyDataStream::new(response.into_body());
        let mut hasher = blake3::Hasher::new();
        let mut length = 0;
        while let Some(piece) = body.next().await {
            let piece = piece.map_err(|e| e.to_string())?;
            length += piece.len() as u64;
            hasher.update(&piece);
        }
        if length != size {
            return Err(format!("expected {size} bytes and was given {length}"));
        }
        tokio::time::sleep(self.config.swap_duration).await;
        Ok(SmolStr::new(hasher.finalize().to_hex().as_str()))
    }
}
