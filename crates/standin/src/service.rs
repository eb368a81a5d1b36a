//! Stand-ins for plain services, which echo the request body and count the runs
//! of each request key.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::patch;
use crate::http::read_body;
use crate::http::read_json;
use crate::tokens;

/// Settings of the services of one process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of the admin API.
    pub listen: SocketAddr,
    /// Number of services.
    pub count: usize,
    /// Duration of a call without faults.
    pub call_duration: Duration,
}

/// The injected faults, changed by `POST /admin/faults` for all services or
/// `POST /admin/services/{index}/faults` for one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 without running the call.
    pub down: bool,
    /// Percentage of calls that run and whose reply is lost.
    pub lose_percent: u8,
    /// Percentage of calls that run and are never answered.
    pub hang_percent: u8,
    /// Added delay of slow calls, in milliseconds.
    pub slow_ms: u64,
    /// Percentage of calls that `slow_ms` delays; 0 means all calls.
    pub slow_percent: u8,
}

/// The addresses of a group of services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ready {
    /// The admin API of all services.
    pub admin: SocketAddr,
    /// The services, by index.
    pub services: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct Counts {
    runs_by_key: HashMap<SmolStr, u32>,
    runs_by_effect: HashMap<SmolStr, u32>,
}

#[derive(Debug)]
struct Service {
    index: usize,
    call_duration: Duration,
    calls: AtomicUsize,
    faults: RwLock<Faults>,
    counts: Arc<Mutex<Counts>>,
}

#[derive(Debug)]
struct Group {
    services: Vec<Arc<Service>>,
    counts: Arc<Mutex<Counts>>,
}

/// Starts a group of plain services.
///
/// # Errors
///
/// The I/O error if an address cannot be bound.
pub async fn spawn(config: Config) -> io::Result<Ready> {
    let counts = Arc::new(Mutex::default());
    let mut services = Vec::with_capacity(config.count);
    let mut addresses = Vec::with_capacity(config.count);
    for index in 0..config.count {
        let service = Arc::new(Service {
            index,
            call_duration: config.call_duration,
            calls: AtomicUsize::new(0),
            faults: RwLock::default(),
            counts: Arc::clone(&counts),
        });
        let free_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        addresses.push(crate::http::spawn(free_port, service.clone()).await?);
        services.push(service);
    }
    let group = Arc::new(Group { services, counts });
    let admin = crate::http::spawn(config.listen, group).await?;
    Ok(Ready {
        admin,
        services: addresses,
    })
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        if request.uri().path() == "/healthz" {
            return Reply::Answer(json(StatusCode::OK, &"ok"));
        }
        let faults = self.faults.read().clone();
        if faults.down {
            return Reply::Answer(error(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let call_index = self.calls.fetch_add(1, Ordering::Relaxed);
        let key = header_value(&request, "x-request-id")
            .unwrap_or_else(|| format_smolstr!("{}-{call_index}", self.index));
        let body = match read_body(request).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(Refusal(response)) => return Reply::Answer(*response),
        };
        let run = self.count_run(&key, &body);
        tokio::time::sleep(self.call_duration + faults.added_delay(call_index)).await;
        if fault_hits(faults.hang_percent, call_index) {
            std::future::pending::<()>().await;
        }
        if fault_hits(faults.lose_percent, call_index) {
            return Reply::Disconnect;
        }
        let answer = json!({"echo": body, "key": key, "run": run});
        Reply::Answer(json(StatusCode::OK, &answer))
    }
}

impl Service {
    /// Counts a run and returns the number of runs of this key so far.
    fn count_run(&self, key: &SmolStr, body: &str) -> u32 {
        let mut counts = self.counts.lock();
        if let Some(effect) = effect_name(body) {
            *counts.runs_by_effect.entry(effect).or_default() += 1;
        }
        let run = counts.runs_by_key.entry(key.clone()).or_default();
        *run += 1;
        *run
    }
}

impl Faults {
    fn added_delay(&self, call_index: usize) -> Duration {
        match self.slow_percent {
            0 => Duration::from_millis(self.slow_ms),
            percent if fault_hits(percent, call_index) => Duration::from_millis(self.slow_ms),
            _ => Duration::ZERO,
        }
    }
}

/// Returns the name of the effect of a call: the field `effect` of a JSON body,
/// else the last word of the body.
fn effect_name(body: &str) -> Option<SmolStr> {
    let value: Option<serde_json::Value> = serde_json::from_str(body).ok();
    match value.as_ref().and_then(|value| value["effect"].as_str()) {
        Some(effect) => Some(SmolStr::new(effect)),
        None => tokens::effect_name(body),
    }
}

fn header_value(request: &Request, name: &str) -> Option<SmolStr> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(SmolStr::new)
}

fn fault_hits(percent: u8, call_index: usize) -> bool {
    // A stride coprime to 100 spreads the affected calls evenly.
    (call_index * 37) % 100 < usize::from(percent)
}

impl Handler for Group {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        self.handle_admin(request).await.into()
    }
}

impl Group {
    async fn handle_admin(&self, request: Request) -> Result<Response, Refusal> {
        let path = request.uri().path().to_owned();
        let path = path.strip_prefix("/admin/").unwrap_or_default();
        match (request.method().clone(), path) {
            (Method::GET, "runs") => {
                let counts = self.counts.lock();
                let runs: BTreeMap<_, _> = counts.runs_by_key.iter().collect();
                Ok(json(StatusCode::OK, &runs))
            }
            (Method::GET, "effects") => {
                let counts = self.counts.lock();
                let effects: BTreeMap<_, _> = counts.runs_by_effect.iter().collect();
                Ok(json(StatusCode::OK, &effects))
            }
            (Method::GET, "counts") => {
                let counts: BTreeMap<usize, usize> = self
                    .services
                    .iter()
                    .map(|service| (service.index, service.calls.load(Ordering::Relaxed)))
                    .collect();
                Ok(json(StatusCode::OK, &counts))
            }
            (Method::POST, "faults") => {
                let update: serde_json::Value = read_json(request).await?;
                for service in &self.services {
                    service.patch_faults(update.clone())?;
                }
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::POST, path) => {
                let mut parts = path.trim_start_matches("services/").split('/');
                let index = parts.next().and_then(|text| text.parse::<usize>().ok());
                let service = index.and_then(|index| self.services.get(index));
                match (service, parts.next()) {
                    (Some(service), Some("faults")) => {
                        service.patch_faults(read_json(request).await?)?;
                        Ok(json(StatusCode::OK, &json!({})))
                    }
                    _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
                }
            }
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }
}

impl Service {
    fn patch_faults(&self, update: serde_json::Value) -> Result<(), Refusal> {
        let mut faults = self.faults.write();
        *faults = patch(&*faults, update)?;
        Ok(())
    }
}
