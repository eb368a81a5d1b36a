//! Stand-ins for model engines: many in one process, one listener each.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use parking_lot::RwLock;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::patch;
use crate::http::read_json;

mod batch;
mod cache;
mod completion;
mod orders;
mod runs;

use batch::Batch;
use cache::Cache;
use orders::Control;
pub use runs::Run;
use runs::Runs;
pub use runs::ServedVersion;
pub use runs::State;

/// Settings of the engines of one process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the admin API.
    pub listen: SocketAddr,
    /// Number of engines.
    pub count: usize,
    /// Sequences that one engine generates concurrently.
    pub slots: usize,
    /// Duration of one step, which generates one token for each running
    /// sequence.
    pub step_duration: Duration,
    /// Prefill time of one prompt block that is not cached.
    pub prefill_per_block: Duration,
    /// Time to put downloaded weights in service.
    pub swap_duration: Duration,
    /// Least time between two updates of the load report.
    pub load_report_lag: Duration,
    /// Capacity of the prefix cache in prompt blocks.
    pub cache_blocks: usize,
    /// Whether orders with a fencing number below the highest one are refused.
    pub check_fence: bool,
}

/// The injected faults, changed by `POST /admin/faults` for all engines or
/// `POST /admin/engines/{index}/faults` for one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 to every request.
    pub down: bool,
    /// Accepts requests and never answers.
    pub silent: bool,
    /// Percentage of calls whose connection is cut in the middle of the answer.
    pub cut_percent: u8,
    /// Percentage of calls that run and whose reply is lost.
    pub lose_percent: u8,
    /// Drops the reply to each order after the order took effect.
    pub lose_orders: bool,
    /// Factor by which steps are slowed down; 0 counts as 1.
    pub slow_factor: u32,
}

/// All engines of one process.
#[derive(Debug)]
pub struct Group {
    engines: Vec<Arc<Engine>>,
    addresses: Vec<SocketAddr>,
    runs: Arc<Runs>,
}

/// One stand-in for a model engine.
#[derive(Debug)]
pub struct Engine {
    index: usize,
    config: Config,
    batch: Arc<Batch>,
    cache: Mutex<Cache>,
    control: Control,
    runs: Arc<Runs>,
    faults: RwLock<Faults>,
    calls: AtomicUsize,
}

/// The addresses of a group of engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ready {
    /// The admin API of all engines.
    pub admin: SocketAddr,
    /// The engines, by index.
    pub engines: Vec<SocketAddr>,
}

/// Starts a group of engines.
///
/// # Errors
///
/// The I/O error if an address cannot be bound.
pub async fn spawn(config: Config) -> io::Result<Ready> {
    let runs = Arc::new(Runs::default());
    let mut engines = Vec::with_capacity(config.count);
    let mut addresses = Vec::with_capacity(config.count);
    for index in 0..config.count {
        let engine = Arc::new(Engine::new(index, &config, runs.clone()));
        let free_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        addresses.push(crate::http::spawn(free_port, engine.clone()).await?);
        engines.push(engine);
    }
    let group = Arc::new(Group {
        engines,
        addresses: addresses.clone(),
        runs,
    });
    let admin = crate::http::spawn(config.listen, group).await?;
    Ok(Ready {
        admin,
        engines: addresses,
    })
}

impl Engine {
    fn new(index: usize, config: &Config, runs: Arc<Runs>) -> Engine {
        Engine {
            index,
            batch: Batch::new(config.slots, config.load_report_lag),
            cache: Mutex::new(Cache::new(config.cache_blocks)),
            control: Control::default(),
            runs,
            faults: RwLock::default(),
            calls: AtomicUsize::new(0),
            config: config.clone(),
        }
    }

    /// Whether a fault with this percentage applies to the call.
    fn fault_hits(percent: u8, call_index: usize) -> bool {
        // A stride coprime to 100 spreads the affected calls evenly.
        (call_index * 37) % 100 < usize::from(percent)
    }

    /// Returns the duration of one step, with the injected slowdown.
    fn step_duration(&self) -> Duration {
        self.config.step_duration * self.faults.read().slow_factor.max(1)
    }

    /// Clears the loaded models, the prefix cache and the faults, and cancels
    /// the running calls, as if an empty host had replaced this one.
    fn reset(&self) {
        self.control.reset();
        *self.cache.lock() = Cache::new(self.config.cache_blocks);
        self.runs.cancel_all(self.index);
        *self.faults.write() = Faults::default();
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        let faults = self.faults.read().clone();
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return Reply::Answer(error(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/chat/completions") => self.complete(true, request).await,
            (Method::POST, "/v1/completions") => self.complete(false, request).await,
            (Method::POST, "/orders") => {
                let result = self.clone().handle_order(request).await;
                match self.faults.read().lose_orders {
                    true => Reply::Disconnect,
                    false => result.into(),
                }
            }
            (Method::GET, "/state") => Reply::Answer(json(StatusCode::OK, &self.control.state())),
            (Method::GET, "/load") => Reply::Answer(json(StatusCode::OK, &self.load_report())),
            (Method::GET, "/healthz") => Reply::Answer(json(StatusCode::OK, &"ok")),
            (Method::GET, "/cache-events") => self.cache_events(&request).into(),
            (method, path) => match path.trim_start_matches('/').split_once('/') {
                Some(("cancel", id)) if method == Method::POST => {
                    let state = self.runs.cancel(id);
                    Reply::Answer(json(StatusCode::OK, &json!({ "state": state })))
                }
                Some(("kv", prefix)) => self.kv(prefix, request).await.into(),
                _ => Reply::Answer(error(StatusCode::NOT_FOUND, "path")),
            },
        }
    }
}

impl Handler for Group {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        self.handle_admin(request).await.into()
    }
}

impl Group {
    async fn handle_admin(&self, request: Request) -> Result<Response, Refusal> {
        let path = request.uri().path().to_owned();
        let Some(path) = path.strip_prefix("/admin/") else {
            return Err(Refusal::new(error(StatusCode::NOT_FOUND, "path")));
        };
        match (request.method().clone(), path) {
            (Method::GET, "runs") => Ok(json(StatusCode::OK, &self.runs.by_request())),
            (Method::GET, "effects") => Ok(json(StatusCode::OK, &self.runs.starts_by_effect())),
            (Method::GET, "served") => Ok(json(StatusCode::OK, &self.runs.served())),
            (Method::GET, "states") => {
                let states: Vec<_> = self.engines.iter().map(|e| e.control.state()).collect();
                Ok(json(StatusCode::OK, &states))
            }
            (Method::GET, "engines") => Ok(json(StatusCode::OK, &self.addresses)),
            (Method::GET, "counts") => {
                let counts: BTreeMap<usize, usize> = self
                    .engines
                    .iter()
                    .map(|e| (e.index, e.calls.load(Ordering::Relaxed)))
                    .collect();
                Ok(json(StatusCode::OK, &counts))
            }
            (Method::POST, "faults") => {
                let update: serde_json::Value = read_json(request).await?;
                for engine in &self.engines {
                    engine.patch_faults(update.clone())?;
                }
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::POST, path) => {
                let mut parts = path.trim_start_matches("engines/").split('/');
                let index = parts.next().and_then(|text| text.parse::<usize>().ok());
                let engine = index.and_then(|index| self.engines.get(index));
                match (engine, parts.next()) {
                    (Some(engine), Some("faults")) => {
                        engine.patch_faults(read_json(request).await?)?;
                        Ok(json(StatusCode::OK, &*engine.faults.read()))
                    }
                    (Some(engine), Some("reset")) => {
                        engine.reset();
                        Ok(json(StatusCode::OK, &json!({})))
                    }
                    _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
                }
            }
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }
}

impl Engine {
    fn patch_faults(&self, update: serde_json::Value) -> Result<(), Refusal> {
        let mut faults = self.faults.write();
        *faults = patch(&*faults, update)?;
        Ok(())
    }

    fn load_report(&self) -> batch::Load {
        let prefix_hits = self.cache.lock().hits();
        self.batch.report(self.config.cache_blocks, prefix_hits)
    }
}
