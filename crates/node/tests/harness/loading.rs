//! Runs an agent as a process between a store and a scripted engine, which is
//! also the origin of its weights.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;
use snipewinch::digest::Hash;
use standin::store::Store;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Duration;
use tokio::time::sleep;
use tokio::time::timeout;

use super::LOG_FILE;
use super::TIMEOUT;
use super::exchange;
use super::listed;
use super::memory_kib;
use super::read_request;
use super::reserve_port;

/// The number of chunks of each version.
const CHUNKS: u64 = 2;
/// The number of layers, half of them of each chunk.
const LAYERS: u64 = 4;
/// How long the engine takes to stage a chunk.
const STAGE_TIME: Duration = Duration::from_millis(100);
/// How long the engine takes to load.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// The bytes that an answer without end repeats.
const FLOOD_BLOCK_BYTES: usize = 64 << 10;

/// How an answer without end is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Flood {
    /// A field of its head has no end.
    Head,
    /// It announces more bytes than anybody can keep.
    Length,
    Chunks,
    /// It ends with its connection.
    Unframed,
}

impl Flood {
    pub(crate) const ALL: [Flood; 4] = [Flood::Head, Flood::Length, Flood::Chunks, Flood::Unframed];

    /// What comes first, and what repeats.
    fn bytes(self) -> (&'static str, String) {
        let block = "x".repeat(FLOOD_BLOCK_BYTES);
        match self {
            Flood::Head => ("HTTP/1.1 200 OK\r\nX-Long: ", block),
            Flood::Length => (
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                block,
            ),
            Flood::Chunks => (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                format!("{:x}\r\n{block}\r\n", block.len()),
            ),
            Flood::Unframed => ("HTTP/1.1 200 OK\r\n\r\n", block),
        }
    }
}

/// A load that the engine has accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Load {
    pub(crate) version: u64,
    pub(crate) layers: Range<u64>,
    /// The chunks of other versions that were staged for these layers.
    pub(crate) foreign: Vec<String>,
}

#[derive(Debug, Default)]
struct State {
    held: u64,
    layers: Range<u64>,
    /// By layer, the chunk of another version that it was taken from.
    foreign: BTreeMap<u64, String>,
    loads: Vec<Load>,
    /// Texts of requests that are executed once they are released, each once.
    stalls: Vec<String>,
    stalled: Vec<String>,
    /// Texts of requests that are released.
    released: Vec<String>,
    accepted_orders: u64,
    started_ms: u64,
    busy: bool,
    /// The newest version that is refused with 410.
    outdated: u64,
    /// How often a version was refused.
    refusals: usize,
    /// By path.
    staged: HashMap<String, String>,
    /// The path whose answers have no end.
    flooded: Option<(&'static str, Flood)>,
    /// How many answers without end the agent has ended.
    floods_ended: usize,
}

/// An engine that holds version 1 of model `m` and loads what it is ordered to.
pub(crate) struct Engine {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Engine {
    pub(crate) async fn spawn() -> Engine {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let state = Arc::new(Mutex::new(State {
            held: 1,
            layers: 0..LAYERS,
            started_ms: 1,
            ..State::default()
        }));
        let engine = Engine {
            address: listener.local_addr().unwrap(),
            state: Arc::clone(&state),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&state)));
            }
        });
        engine
    }

    /// Sends bytes without end in answer to requests with a path, or no more.
    pub(crate) fn set_flood(&self, flooded: Option<(&'static str, Flood)>) {
        self.state.lock().unwrap().flooded = flooded;
    }

    /// How many answers without end the agent has ended.
    pub(crate) fn floods_ended(&self) -> usize {
        self.state.lock().unwrap().floods_ended
    }

    /// Refuses lists and chunks of a version and older ones, as the origin no longer has
    /// them.
    pub(crate) fn outdate(&self, version: u64) {
        self.state.lock().unwrap().outdated = version;
    }

    /// Waits until a version was refused.
    pub(crate) async fn wait_refusal(&self) {
        wait_until(|| self.state.lock().unwrap().refusals > 0).await;
    }

    /// Has the next request with a text executed late, while others are answered.
    pub(crate) fn stall(&self, text: &str) {
        self.state.lock().unwrap().stalls.push(text.to_owned());
    }

    /// Waits until the request with a text has come that is executed late.
    pub(crate) async fn wait_stalled(&self, text: &str) {
        let stalled = || self.state.lock().unwrap().stalled.clone();
        wait_until(|| stalled().iter().any(|one| one == text)).await;
    }

    /// Executes the request with a text.
    pub(crate) fn release(&self, text: &str) {
        self.state.lock().unwrap().released.push(text.to_owned());
    }

    /// The loads that it has accepted so far.
    pub(crate) fn loads(&self) -> Vec<Load> {
        self.state.lock().unwrap().loads.clone()
    }

    /// Whether it would make tokens with a layer from a chunk of another version.
    pub(crate) fn is_mixed(&self) -> bool {
        let state = self.state.lock().unwrap();
        !state.busy && state.layers == (0..LAYERS) && !state.foreign.is_empty()
    }

    /// Whether it holds a version that was taken from its own chunks.
    pub(crate) fn holds(&self, version: u64) -> bool {
        let state = self.state.lock().unwrap();
        !state.busy
            && state.held == version
            && state.layers == (0..LAYERS)
            && state.foreign.is_empty()
    }

    /// Restarts it without weights; what is staged stays.
    pub(crate) fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.held = 0;
        state.layers = 0..0;
        state.foreign.clear();
        state.accepted_orders = 0;
        state.started_ms += 1;
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Some(request) = read_request(&mut stream).await {
        let flooded = state.lock().unwrap().flooded;
        if let Some((_, flood)) = flooded.filter(|(path, _)| request.contains(path)) {
            let (start, block) = flood.bytes();
            let _ = stream.write_all(start.as_bytes()).await;
            while stream.write_all(block.as_bytes()).await.is_ok() {}
            state.lock().unwrap().floods_ended += 1;
            return;
        }
        wait_for_release(&request, &state).await;
        if request.starts_with("PUT ") {
            sleep(STAGE_TIME).await;
        }
        let (status, body) = respond(&request, &state);
        let length = body.len();
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Waits until a request is released, if it is to be executed late.
async fn wait_for_release(request: &str, state: &Arc<Mutex<State>>) {
    let text = {
        let mut state = state.lock().unwrap();
        let found = state.stalls.iter().position(|text| request.contains(text));
        let Some(found) = found else {
            return;
        };
        let text = state.stalls.remove(found);
        state.stalled.push(text.clone());
        text
    };
    wait_until(|| state.lock().unwrap().released.contains(&text)).await;
}

/// Waits for something, at most [`TIMEOUT`].
async fn wait_until(is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("it comes about");
}

fn respond(request: &str, shared: &Arc<Mutex<State>>) -> (u16, String) {
    let path = request.split(' ').nth(1).unwrap_or_default();
    let body = request.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let (name, query) = path.split_once('?').unwrap_or((path, ""));
    let mut state = shared.lock().unwrap();
    match name {
        "/report" => {
            let report = json!({
                "models": [{"name": "m", "version": state.held, "layers": {
                    "from": state.layers.start, "target": state.layers.end, "version": state.held,
                }}], "busy": state.busy,
                "seq": state.accepted_orders, "queued": 0, "active": 0, "born": state.started_ms,
            });
            (200, report.to_string())
        }
        "/order" => {
            let order: Value = serde_json::from_str(body).unwrap();
            (accept(&order, &mut state, shared), String::new())
        }
        "/stage-put/m" => {
            state.staged.insert(query.to_owned(), body.to_owned());
            (200, String::new())
        }
        "/stage-get/m" => match state.staged.get(query) {
            Some(bytes) => (200, bytes.clone()),
            None => (404, String::new()),
        },
        "/manifest/m" | "/piece/m" if parameter(query, "version") <= state.outdated => {
            state.refusals += 1;
            (410, String::new())
        }
        "/manifest/m" => (200, digest_list(query)),
        "/piece/m" => (200, chunk(query)),
        _ => (404, String::new()),
    }
}

/// Decides on an order as the engine does; returns the status.
fn accept(order: &Value, state: &mut State, shared: &Arc<Mutex<State>>) -> u16 {
    let version = order["version"].as_u64().unwrap();
    let layers = order["from"].as_u64().unwrap_or(0)..order["target"].as_u64().unwrap_or(LAYERS);
    if state.busy || order["expectedRev"] != state.accepted_orders {
        return 409;
    }
    let is_same = state.held == version;
    if is_same && state.layers == layers {
        return 200;
    }
    // Layers of the same version that it holds are not taken again.
    let mut foreign = BTreeMap::new();
    for layer in layers.clone() {
        let known = state.foreign.get(&layer).cloned();
        let chunk = layer * CHUNKS / LAYERS;
        let staged = state.staged.get(&format!("num={chunk}")).cloned();
        let taken = match is_same && state.layers.contains(&layer) {
            true => known,
            false => staged.filter(|staged| *staged != chunk_text(version, chunk)),
        };
        foreign.extend(taken.map(|chunk| (layer, chunk)));
    }
    state.loads.push(Load {
        version,
        layers: layers.clone(),
        foreign: foreign.values().cloned().collect(),
    });
    state.accepted_orders += 1;
    state.busy = true;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        sleep(LOAD_TIME).await;
        let mut state = shared.lock().unwrap();
        (state.held, state.layers, state.foreign) = (version, layers, foreign);
        state.busy = false;
    });
    202
}

fn digest_list(query: &str) -> String {
    let version: u64 = parameter(query, "version");
    let digests: Vec<String> = (0..CHUNKS)
        .map(|index| chunk_text(version, index))
        .map(|text| Hash::Sha256.digest(text.as_bytes()).to_string())
        .collect();
    let list = json!({
        "model": "m", "version": version, "chunkBytes": chunk_text(1, 0).len(), "digests": digests,
    });
    list.to_string()
}

fn chunk(query: &str) -> String {
    chunk_text(parameter(query, "version"), parameter(query, "num"))
}

/// The bytes of a chunk.
pub(crate) fn chunk_text(version: u64, index: u64) -> String {
    format!("chunk {index} of version {version}")
}

fn parameter(query: &str, name: &str) -> u64 {
    let mut parameters = query.split('&').filter_map(|one| one.split_once('='));
    let value = parameters.find(|(found, _)| *found == name);
    value.and_then(|(_, text)| text.parse().ok()).unwrap()
}

/// The process of an agent, and the store that it uses.
pub(crate) struct AgentProcess {
    pub(crate) store: Store,
    metrics: SocketAddr,
    child: Child,
    directory: TempDir,
    _reserved: [TcpSocket; 2],
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl AgentProcess {
    /// Starts an agent for an engine that is listed as s0. Version 1 is
    /// published.
    pub(crate) async fn start(engine: &Engine) -> AgentProcess {
        let (store, address) = Store::spawn((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        store.put("servers", "s0", &listed(engine.address, "za", "ready"));
        store.put("op", "config", &configuration(engine.address));
        let reserved = [(); 2].map(|()| reserve_port());
        let [peers, metrics] = reserved
            .each_ref()
            .map(|socket| socket.local_addr().unwrap());
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("local.toml");
        std::fs::write(&path, settings(engine.address, peers, address)).unwrap();
        let child = spawn(directory.path(), metrics);
        let agent = AgentProcess {
            store,
            metrics,
            child,
            directory,
            _reserved: reserved,
        };
        agent.publish(1);
        agent.wait_line("E7022", "version 1 ").await;
        agent
    }

    /// Kills the process and starts it again, with an empty log.
    pub(crate) fn replace(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(self.directory.path(), self.metrics);
    }

    /// The value of a gauge.
    pub(crate) async fn gauge(&self, name: &str) -> Option<f64> {
        let metrics = self.metrics().await;
        let line = metrics.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().parse().ok()
    }

    /// Publishes a version of the weights.
    pub(crate) fn publish(&self, version: u64) {
        let row = json!({"model": "m", "version": version});
        self.store.put("op", "version/m", &row);
    }

    /// Waits for a line of an event that contains a text, and returns its
    /// message.
    pub(crate) async fn wait_line(&self, event: &str, text: &str) -> String {
        let waiting = async {
            loop {
                let log = std::fs::read_to_string(self.directory.path().join(LOG_FILE)).unwrap();
                let complete = log.rsplit_once('\n').map_or("", |(complete, _)| complete);
                let mut lines = complete
                    .lines()
                    .map(|line| serde_json::from_str::<Value>(line).unwrap())
                    .filter(|line| line["event"] == event)
                    .map(|line| line["message"].as_str().unwrap().to_owned());
                match lines.find(|message| message.contains(text)) {
                    Some(message) => return message,
                    None => sleep(Duration::from_millis(10)).await,
                }
            }
        };
        timeout(TIMEOUT, waiting).await.expect("the agent logs it")
    }

    /// The most memory that the agent has occupied (`VmHWM`), in KiB.
    pub(crate) fn memory_peak_kib(&self) -> u64 {
        memory_kib(&self.child, "VmHWM:")
    }

    /// The metrics in the Prometheus text format.
    pub(crate) async fn metrics(&self) -> String {
        let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        exchange(self.metrics, request).await
    }
}

/// Starts an agent with the settings in a directory.
fn spawn(directory: &Path, metrics: SocketAddr) -> Child {
    let lines = File::create(directory.join(LOG_FILE)).unwrap();
    Command::new(env!("CARGO_BIN_EXE_snipewinch-node"))
        .env(platform::boot::PATH_VARIABLE, directory.join("local.toml"))
        .env("SNIPEWINCH_METRICS_PORT", metrics.port().to_string())
        .stdout(lines)
        .spawn()
        .unwrap()
}

fn configuration(origin: SocketAddr) -> Value {
    json!({
        "version": 1,
        "routes": [],
        "services": [
            {"name": "desk", "maxConns": 100, "engine": {
                "slots": 4, "stride": 5, "models": [{"name": "m", "warmS": 0.3}], "step_ms": 9.0,
                "per_seq_ms": 0.02, "read_per_s": 20_000.0, "usual": {"prompt": 900, "answer": 90},
                "chunks": CHUNKS, "chunkBytes": chunk_text(1, 0).len(),
            }},
            {"name": "origin", "origin": origin, "zone": "za", "linkMbps": 100.0},
        ],
        "tenants": [],
    })
}

fn settings(engine: SocketAddr, peers: SocketAddr, store: SocketAddr) -> String {
    let port = peers.port();
    format!(
        r#"nodeName = "agent-1"
serves = ["side"]
ip = "127.0.0.1"
zone = "za"
region = "ra"
portRange = [{port}, {port}]
app = "{engine}"
service = "desk"
[zones]
za = "ra"
[limits]
memoryMb = 182
linkMbps = 700.0
[bounds]
version_ms = 8000
[platform]
address = "{store}"
"#
    )
}
