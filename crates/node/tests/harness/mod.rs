//! Runs an entry as a process between a store, scripted backend servers and
//! callers.

#![allow(dead_code, reason = "each file of tests uses a part of it")]

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use standin::store::Store;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

pub(crate) mod crashing;
pub(crate) mod cutting;
pub(crate) mod engine;
pub(crate) mod fleet;
pub(crate) mod limited;
pub(crate) mod loading;
pub(crate) mod proxy;
pub(crate) mod resting;
pub(crate) mod traffic;

/// The time limit of each step of a test.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
/// How many bytes a flood sends at once.
const FLOOD_BLOCK_BYTES: usize = 64 << 10;

/// The file in the test's directory that holds the entry's settings.
const SETTINGS_FILE: &str = "local.toml";
/// The file in the test's directory that holds captured log lines.
const LOG_FILE: &str = "entry.log";

/// A backend server's reaction to one request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Sends bytes, in which `{id}` stands for the id of the attempt, and keeps
    /// the connection open.
    Send(String),
    /// The same, but closes the connection afterwards.
    SendAndClose(String),
    /// Sends nothing and keeps the connection open.
    Hang,
    /// Closes the connection without an answer.
    Close,
    /// Takes steps in order and keeps the connection open.
    Steps(Vec<Part>),
}

/// A step of a backend server's reaction.
#[derive(Clone, Debug)]
pub(crate) enum Part {
    /// Sends bytes, in which `{id}` stands for the id of the attempt.
    Send(String),
    /// Sends nothing for a while.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Repeats bytes until the entry closes the connection.
    Endless(String),
}

/// What became of bytes without end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Flood {
    /// How many bytes the connection took.
    pub(crate) bytes: usize,
    /// How many floods the entry has ended by closing the connection.
    pub(crate) ended: usize,
}

/// The requests that a backend server received, in order.
pub(crate) type RequestLog = Arc<Mutex<Vec<String>>>;

/// A backend server that follows a script and repeats its last action.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) seen: RequestLog,
    /// How many connections were opened.
    pub(crate) opened: Arc<Mutex<usize>>,
    /// How many connections the entry has closed.
    pub(crate) closed: Arc<Mutex<usize>>,
    pub(crate) flood: Arc<Mutex<Flood>>,
}

impl Server {
    pub(crate) async fn spawn(script: Vec<Action>) -> Server {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = RequestLog::default();
        let closed = Arc::new(Mutex::new(0));
        let opened = Arc::new(Mutex::new(0));
        let flood = Arc::default();
        let server = Server {
            address,
            seen: seen.clone(),
            closed: closed.clone(),
            opened: opened.clone(),
            flood: Arc::clone(&flood),
        };
        let script = Arc::new(script);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *opened.lock().unwrap() += 1;
                tokio::spawn(run_script(
                    stream,
                    script.clone(),
                    seen.clone(),
                    closed.clone(),
                    flood.clone(),
                ));
            }
        });
        server
    }

    /// A server that something else serves.
    pub(crate) fn listed_at(address: SocketAddr) -> Server {
        Server {
            address,
            seen: RequestLog::default(),
            opened: Arc::default(),
            closed: Arc::default(),
            flood: Arc::default(),
        }
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    pub(crate) fn flood(&self) -> Flood {
        *self.flood.lock().unwrap()
    }
}

async fn run_script(
    mut stream: TcpStream,
    script: Arc<Vec<Action>>,
    seen: RequestLog,
    closed: Arc<Mutex<usize>>,
    flood: Arc<Mutex<Flood>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let index = {
            let mut seen = seen.lock().unwrap();
            seen.push(request.clone());
            seen.len() - 1
        };
        let id = field(&request, "x-attempt-id").unwrap_or_default();
        let action = script
            .get(index)
            .or(script.last())
            .cloned()
            .unwrap_or(Action::Close);
        let (text, closes) = match action {
            Action::Steps(parts) => match take_steps(&mut stream, parts, &id, &flood).await {
                Some(()) => continue,
                None => return,
            },
            Action::Send(text) => (text, false),
            Action::SendAndClose(text) => (text, true),
            Action::Hang => (String::new(), false),
            Action::Close => return,
        };
        let text = text.replace("{id}", &id);
        if stream.write_all(text.as_bytes()).await.is_err() || closes {
            return;
        }
    }
    *closed.lock().unwrap() += 1;
}

/// Takes steps in order; none once the connection is closed.
async fn take_steps(
    stream: &mut TcpStream,
    parts: Vec<Part>,
    id: &str,
    flood: &Mutex<Flood>,
) -> Option<()> {
    for part in parts {
        match part {
            Part::Send(text) => {
                let text = text.replace("{id}", id);
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            Part::Pause(pause) => sleep(pause).await,
            Part::Close => return None,
            Part::Reset => {
                // The bytes sent before arrive first.
                sleep(Duration::from_millis(50)).await;
                let socket = SockRef::from(&*stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return None;
            }
            Part::Endless(text) => {
                let text = text.replace("{id}", id);
                let block = text.repeat(FLOOD_BLOCK_BYTES.div_ceil(text.len()));
                while let Ok(sent) = stream.write(block.as_bytes()).await {
                    flood.lock().unwrap().bytes += sent;
                    // A partial write would break the repeated text.
                    if stream.write_all(&block.as_bytes()[sent..]).await.is_err() {
                        break;
                    }
                    flood.lock().unwrap().bytes += block.len() - sent;
                    sleep(Duration::from_millis(1)).await;
                }
                flood.lock().unwrap().ended += 1;
                return None;
            }
        }
    }
    Some(())
}

/// Reads a request with its body; none once the connection is closed.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = field(&text, "content-length").and_then(|text| text.parse().ok());
            if text.len() >= end + 4 + length.unwrap_or(0) {
                return Some(text);
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// The value of a field in the head of a message.
pub(crate) fn field(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// A complete answer with a `Content-Length`.
pub(crate) fn complete_answer(status: u16, fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: {{id}}\r\nX-Server-Signature: sig\r\n{fields}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// The head of a stream of events in chunks.
pub(crate) fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()
}

/// One chunk of a chunked body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What becomes of the log lines of an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Logging {
    /// They are kept, at all levels.
    Captured,
    Discarded,
    /// They go into a pipe that is full and that nobody reads.
    Unread,
}

/// An event of a stream with a number as its id and data.
pub(crate) fn event(number: usize) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

/// The chunks of numbered events, each event in its own.
pub(crate) fn events(numbers: std::ops::RangeInclusive<usize>) -> String {
    numbers.map(|number| chunk(&event(number))).collect()
}

/// The process of an entry, and the store that it uses.
pub(crate) struct Harness {
    pub(crate) store: Store,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    /// The address of its links to agents and other entries.
    pub(crate) peers: SocketAddr,
    metrics: SocketAddr,
    logging: Logging,
    second_attempts: &'static str,
    entry: Child,
    directory: TempDir,
    _reserved: [TcpSocket; 4],
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.entry.kill();
        let _ = self.entry.wait();
    }
}

/// Reserves a port for the entry. While the socket is open, the port is given
/// to nobody who asks for any, but who names it may listen there.
fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    socket
}

fn route(name: &str, kind: &str, extra: Value) -> Value {
    let mut route = json!({
        "name": name, "host": "songs.example", "prefix": format!("/{name}/"), "routeKind": kind,
        "timeoutMs": 4000, "goalMs": 300, "priority": 1, "service": "desk", "maxAttempts": 2,
        "public": false,
    });
    for (key, value) in extra.as_object().unwrap() {
        route[key] = value.clone();
    }
    route
}

/// The configuration that all tests share.
pub(crate) fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", json!({})),
            route("grant", "non_idempotent", json!({})),
            route("brief", "non_idempotent", json!({"timeoutMs": 400})),
            route("draft", "streaming", json!({"resumable": true, "gapGoalMs": 400})),
            route("open", "idempotent", json!({"public": true})),
            route("reel", "streaming", json!({"resumable": false, "gapGoalMs": 400})),
        ],
        "services": [{"name": "desk", "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 4096, "maxBodyBytes": 1000, "headerTimeoutMs": 400,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": "archive", "apiKeys": ["k1"]}],
    })
}

/// What differs between the entries of tests.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) retry_ratio: f64,
    pub(crate) retry_burst: u32,
    /// The slots of each server.
    pub(crate) slots: u32,
    /// How long after a publication requests may begin on older weights.
    pub(crate) version_ms: u32,
    pub(crate) logging: Logging,
    /// The share of requests that may get a second attempt.
    pub(crate) second_attempts: &'static str,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            retry_ratio: 0.2,
            retry_burst: 400,
            slots: 4,
            version_ms: 8_000,
            logging: Logging::Discarded,
            second_attempts: "0",
        }
    }
}

impl Harness {
    /// Starts an entry for the servers, which are listed as s0, s1 and so on.
    /// The first is in the entry's availability zone, the others in another.
    pub(crate) async fn start(servers: &[&Server]) -> Harness {
        Harness::start_with(servers, &Options::default(), &configuration(1)).await
    }

    /// The same with a given configuration, and the entry's log lines can be
    /// read.
    pub(crate) async fn start_logged(servers: &[&Server], configuration: &Value) -> Harness {
        let options = Options {
            logging: Logging::Captured,
            ..Options::default()
        };
        Harness::start_with(servers, &options, configuration).await
    }

    /// The same with other options and another configuration.
    pub(crate) async fn start_with(
        servers: &[&Server],
        options: &Options,
        configuration: &Value,
    ) -> Harness {
        let harness = Harness::open(servers, options).await;
        harness.store.put("op", "config", configuration);
        harness.wait_ready(true).await;
        harness
    }

    /// Starts an entry without a configuration in the store.
    pub(crate) async fn without_configuration(servers: &[&Server]) -> Harness {
        Harness::open(servers, &Options::default()).await
    }

    async fn open(servers: &[&Server], options: &Options) -> Harness {
        let (store, address) = Store::spawn((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        for (index, server) in servers.iter().enumerate() {
            let zone = if index == 0 { "za" } else { "zb" };
            let mut row = listed(server.address, zone, "ready");
            row["slots"] = options.slots.into();
            store.put("servers", &format!("s{index}"), &row);
        }
        Harness::spawn(store, address, "edge-1", options).await
    }

    /// Starts an entry on a store that has a configuration; several may share
    /// the store.
    pub(crate) async fn start_on(
        store: &Store,
        store_address: SocketAddr,
        node_name: &str,
        options: &Options,
    ) -> Harness {
        let harness = Harness::spawn(store.clone(), store_address, node_name, options).await;
        harness.wait_ready(true).await;
        harness
    }

    async fn spawn(
        store: Store,
        store_address: SocketAddr,
        node_name: &str,
        options: &Options,
    ) -> Harness {
        let reserved = [(); 4].map(|()| reserve_port());
        let [callers, readiness, peers, metrics] = reserved
            .each_ref()
            .map(|socket| socket.local_addr().unwrap());
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join(SETTINGS_FILE);
        let addresses = [callers, readiness, peers, store_address];
        std::fs::write(&path, settings(node_name, addresses, options)).unwrap();
        let entry = spawn_entry(
            &directory,
            metrics,
            options.logging,
            options.second_attempts,
        );
        let harness = Harness {
            store,
            callers,
            readiness,
            peers,
            metrics,
            logging: options.logging,
            second_attempts: options.second_attempts,
            entry,
            directory,
            _reserved: reserved,
        };
        harness.wait_listening().await;
        harness
    }

    async fn wait_listening(&self) {
        timeout(TIMEOUT, async {
            while TcpStream::connect(self.callers).await.is_err() {
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await
        .unwrap();
    }

    /// Kills the entry and starts it again with the same settings.
    pub(crate) async fn restart(&mut self) {
        let _ = self.entry.kill();
        let _ = self.entry.wait();
        self.entry = spawn_entry(
            &self.directory,
            self.metrics,
            self.logging,
            self.second_attempts,
        );
        self.wait_listening().await;
        self.wait_ready(true).await;
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        exchange(self.readiness, request)
            .await
            .starts_with("HTTP/1.1 200")
    }

    pub(crate) async fn wait_ready(&self, ready: bool) {
        let waiting = async {
            while self.is_ready().await != ready {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIMEOUT, waiting)
            .await
            .expect("the entry changes its readiness");
    }

    /// The lines of an event that the entry has logged so far.
    pub(crate) fn lines(&self, event: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(self.directory.path().join(LOG_FILE)).unwrap();
        // The last line may still be incomplete.
        let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
        let lines = complete
            .lines()
            .map(|line| serde_json::from_str(line).unwrap());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }

    /// Waits until the entry has logged `count` lines of an event.
    pub(crate) async fn wait_lines(&self, event: &str, count: usize) -> Vec<Value> {
        let waiting = async {
            loop {
                let lines = self.lines(event);
                if lines.len() >= count {
                    return lines;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIMEOUT, waiting).await.expect("the entry logs it")
    }

    /// The value of a metric, with its labels in the name; 0 if it is not there.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let text = exchange(self.metrics, request).await;
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }

    /// Sends bytes to the entry and returns what it sends until it closes the
    /// connection.
    pub(crate) async fn ask(&self, request: &str) -> String {
        exchange(self.callers, request).await
    }

    /// The memory that the entry occupies (`VmRSS`), in KiB.
    pub(crate) fn memory_kib(&self) -> u64 {
        memory_kib(&self.entry, "VmRSS:")
    }

    /// Sends SIGTERM to the entry.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal to the entry.
    pub(crate) fn signal(&self, signal: &str) {
        send_signal(&self.entry, signal);
    }

    pub(crate) async fn wait_ended(&mut self) {
        let waiting = async {
            while self.entry.try_wait().unwrap().is_none() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIMEOUT, waiting).await.expect("the entry ends");
    }
}

/// A figure of the memory of a process, in KiB.
fn memory_kib(process: &Child, name: &str) -> u64 {
    let path = format!("/proc/{}/status", process.id());
    let page = std::fs::read_to_string(path).unwrap();
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap()
}

fn send_signal(process: &Child, signal: &str) {
    let id = process.id().to_string();
    let sent = Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(sent.success());
}

/// Starts the process of an entry whose settings are in a directory.
fn spawn_entry(
    directory: &TempDir,
    metrics: SocketAddr,
    logging: Logging,
    second_attempts: &str,
) -> Child {
    let (lines, level) = match logging {
        Logging::Captured => {
            let mut options = File::options();
            let file = options.create(true).append(true);
            let file = file.open(directory.path().join(LOG_FILE)).unwrap();
            (file.into(), "debug")
        }
        Logging::Discarded => (Stdio::null(), "info"),
        Logging::Unread => (full_pipe(), "debug"),
    };
    Command::new(env!("CARGO_BIN_EXE_snipewinch-node"))
        .env(
            platform::boot::PATH_VARIABLE,
            directory.path().join(SETTINGS_FILE),
        )
        .env("SNIPEWINCH_METRICS_PORT", metrics.port().to_string())
        .env("SNIPEWINCH_LOG_LEVEL", level)
        .env("SNIPEWINCH_SECOND_ATTEMPTS", second_attempts)
        .stdout(lines)
        .spawn()
        .unwrap()
}

/// The writing end of a pipe that takes no byte.
fn full_pipe() -> Stdio {
    let (reader, mut writer) = std::io::pipe().unwrap();
    let output = writer.try_clone().unwrap();
    std::mem::forget(reader);
    // Ends with the test's process.
    std::thread::spawn(move || while writer.write_all(&[b'.'; 4096]).is_ok() {});
    std::thread::sleep(Duration::from_millis(100));
    output.into()
}

pub(crate) fn listed(address: SocketAddr, zone: &str, state: &str) -> Value {
    json!({
        "service": "desk", "address": address, "zone": zone, "version": "v1", "slots": 4,
        "state": state, "coldLeftMs": 0, "seq": 1,
    })
}

/// The settings of an entry with the addresses for its callers, its readiness,
/// its peers and the store.
fn settings(node_name: &str, addresses: [SocketAddr; 4], options: &Options) -> String {
    let [callers, readiness, peers, store] = addresses;
    let port = peers.port();
    let (ratio, burst) = (options.retry_ratio, options.retry_burst);
    let version_ms = options.version_ms;
    format!(
        r#"nodeName = "{node_name}"
serves = ["edge"]
ip = "127.0.0.1"
zone = "za"
region = "ra"
portRange = [{port}, {port}]
newField = "of a later platform"
[zones]
za = "ra"
zb = "rb"
[listen]
frontend = "{callers}"
readiness = "{readiness}"
[limits]
memoryMb = 182
linkMbps = 700.0
[bounds]
graceS = 8
version_ms = {version_ms}
retryBudgetRatio = {ratio:?}
retryBurst = {burst}
[platform]
address = "{store}"
"#
    )
}

pub(crate) async fn exchange(address: SocketAddr, request: &str) -> String {
    let working = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // The entry may reset the connection after its answer.
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    };
    timeout(TIMEOUT, working)
        .await
        .expect("the entry answers and closes")
}

/// A request that closes its connection after the answer.
pub(crate) fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: songs.example\r\nX-Attempt-Id: a1\r\nApi-Key: k1\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n{fields}{length}\r\n{body}"
    )
}

pub(crate) fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// The body of an answer with its chunks joined; none if it is incomplete.
pub(crate) fn body(answer: &str) -> Option<String> {
    let (_, rest) = answer.split_once("\r\n\r\n")?;
    if let Some(length) = field(answer, "content-length") {
        let length: usize = length.parse().ok()?;
        return (rest.len() == length).then(|| rest.to_owned());
    }
    let mut body = String::new();
    let mut rest = rest;
    loop {
        let (size, more) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(more.get(..size)?);
        rest = more.get(size + 2..)?;
    }
}
