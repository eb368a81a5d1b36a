//! Plain services: they echo, and count how often each request key ran.

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

/// How the services of one process behave.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the administration listens.
    pub listen: SocketAddr,
    /// How many services.
    pub count: usize,
    /// How long an ordinary call takes.
    pub call_duration: Duration,
}

/// The faults that are switched on, changed by `POST /admin/faults` for all or
/// `POST /admin/services/{index}/faults` for one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 without running anything.
    pub down: bool,
    /// Percent of calls that run and whose reply is lost.
    pub lose_percent: u8,
    /// Percent of calls that never end.
    pub hang_percent: u8,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Percent of calls that are slow; 0 means all where `slow_ms` is set.
    pub slow_percent: u8,
}

/// Where a group listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ready {
    /// The administration of all services.
    pub admin: SocketAddr,
    /// Each service.
    pub services: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct Counts {
    keys: HashMap<SmolStr, u32>,
    effects: HashMap<SmolStr, u32>,
}

#[derive(Debug)]
struct Service {
    index: usize,
    work: Duration,
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
/// What the system says when an address can't be bound.
pub async fn spawn(config: Config) -> io::Result<Ready> {
    let counts = Arc::new(Mutex::default());
    let mut services = Vec::with_capacity(config.count);
    let mut addresses = Vec::with_capacity(config.count);
    for index in 0..config.count {
        let service = Arc::new(Service {
            index,
            work: config.call_duration,
            calls: AtomicUsize::new(0),
            faults: RwLock::default(),
            counts: Arc::clone(&counts),
        });
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        addresses.push(crate::http::spawn(any, service.clone()).await?);
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
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        let key = header(&request, "x-request-id")
            .unwrap_or_else(|| format_smolstr!("{}-{number}", self.index));
        let body = match read_body(request).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(Refusal(answer)) => return Reply::Answer(*answer),
        };
        let run = self.run(&key, &body);
        tokio::time::sleep(self.work + faults.extra(number)).await;
        if hits(faults.hang_percent, number) {
            std::future::pending::<()>().await;
        }
        if hits(faults.lose_percent, number) {
            return Reply::Disconnect;
        }
        let answer = json!({"echo": body, "key": key, "run": run});
        Reply::Answer(json(StatusCode::OK, &answer))
    }
}

impl Service {
    /// Counts a run and returns how often this key has run.
    fn run(&self, key: &SmolStr, body: &str) -> u32 {
        let mut counts = self.counts.lock();
        if let Some(effect) = effect(body) {
            *counts.effects.entry(effect).or_default() += 1;
        }
        let run = counts.keys.entry(key.clone()).or_default();
        *run += 1;
        *run
    }
}

impl Faults {
    fn extra(&self, number: usize) -> Duration {
        match self.slow_percent {
            0 => Duration::from_millis(self.slow_ms),
            percent if hits(percent, number) => Duration::from_millis(self.slow_ms),
            _ => Duration::ZERO,
        }
    }
}

/// What names the effect of a call: the body's `effect`, else its last word.
fn effect(body: &str) -> Option<SmolStr> {
    let value: Option<serde_json::Value> = serde_json::from_str(body).ok();
    match value.as_ref().and_then(|value| value["effect"].as_str()) {
        Some(effect) => Some(SmolStr::new(effect)),
        None => tokens::effect_name(body),
    }
}

fn header(request: &Request, name: &str) -> Option<SmolStr> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(SmolStr::new)
}

fn hits(percent: u8, number: usize) -> bool {
    // A stride coprime to 100 spreads the hits over the calls.
    (number * 37) % 100 < usize::from(percent)
}

impl Handler for Group {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        self.admin(request).await.into()
    }
}

impl Group {
    async fn admin(&self, request: Request) -> Result<Response, Refusal> {
        let path = request.uri().path().to_owned();
        let path = path.strip_prefix("/admin/").unwrap_or_default();
        match (request.method().clone(), path) {
            (Method::GET, "runs") => {
                let counts = self.counts.lock();
                let keys: BTreeMap<_, _> = counts.keys.iter().collect();
                Ok(json(StatusCode::OK, &keys))
            }
            (Method::GET, "effects") => {
                let counts = self.counts.lock();
                let effects: BTreeMap<_, _> = counts.effects.iter().collect();
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
                let wanted: serde_json::Value = read_json(request).await?;
                for service in &self.services {
                    service.change_faults(wanted.clone())?;
                }
                Ok(json(StatusCode::OK, &json!({})))
            }
            (Method::POST, path) => {
                let mut parts = path.trim_start_matches("services/").split('/');
                let index = parts.next().and_then(|text| text.parse::<usize>().ok());
                let service = index.and_then(|index| self.services.get(index));
                match (service, parts.next()) {
                    (Some(service), Some("faults")) => {
                        service.change_faults(read_json(request).await?)?;
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
    fn change_faults(&self, wanted: serde_json::Value) -> Result<(), Refusal> {
        let mut faults = self.faults.write();
        *faults = patch(&*faults, wanted)?;
        Ok(())
    }
}
