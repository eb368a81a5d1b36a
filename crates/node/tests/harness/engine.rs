//! Model engines whose queues take a set time, with their agents as processes.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::chunk;
use super::complete_answer;
use super::event;
use super::field;
use super::read_request;
use super::send_signal;
use super::stream_head;

/// The model that all engines hold.
pub(crate) const MODEL: &str = "m1";
/// The tokens of prompts that an engine reads in a second, by its configuration.
pub(crate) const READ_PER_S: f64 = 20_000.0;
/// The time to the deadline of a request that names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// What an engine does with a request whose connection closes before it begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OnClose {
    /// It drops the request.
    Drop,
    /// It begins the request all the same.
    Begin,
}

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behavior {
    /// The version of the weights that it holds.
    pub(crate) version: u64,
    /// The time from the arrival of a request to its begin, besides that in
    /// which its prompt is read.
    pub(crate) wait: Duration,
    /// The events of each answer.
    pub(crate) events: usize,
    /// The time between two events.
    pub(crate) event_interval: Duration,
    /// By how many bytes an event is longer than its id and data.
    pub(crate) padding: usize,
    pub(crate) on_close: OnClose,
}

impl Default for Behavior {
    fn default() -> Behavior {
        Behavior {
            version: 1,
            wait: Duration::from_millis(20),
            events: 3,
            event_interval: Duration::from_millis(20),
            padding: 0,
            on_close: OnClose::Drop,
        }
    }
}

/// The begin of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Begin {
    pub(crate) at: Instant,
    /// The version of the weights on which it began.
    pub(crate) version: u64,
}

/// What an engine has seen of one request.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The id of the attempt.
    pub(crate) id: String,
    pub(crate) arrived: Instant,
    /// None if it has not begun.
    pub(crate) begin: Option<Begin>,
    /// When its connection was closed or reset before it began.
    pub(crate) withdrawn: Option<Instant>,
    /// Whether the engine is done with it.
    is_over: bool,
}

struct State {
    id: String,
    behavior: Mutex<Behavior>,
    runs: Mutex<Vec<Run>>,
    /// Held while a prompt is read: an engine reads one after the other.
    reading: tokio::sync::Mutex<()>,
}

/// A model engine.
pub(crate) struct Engine {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine that is listed under an id.
    pub(crate) async fn spawn(ip: IpAddr, id: &str, behavior: Behavior) -> Engine {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            id: id.to_owned(),
            behavior: Mutex::new(behavior),
            runs: Mutex::default(),
            reading: tokio::sync::Mutex::default(),
        });
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&shared).serve(stream));
            }
        });
        Engine { address, state }
    }

    /// The requests that have arrived, in order.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Changes the version of the weights for requests that begin from now on.
    pub(crate) fn set_version(&self, version: u64) {
        self.state.behavior.lock().unwrap().version = version;
    }
}

impl State {
    fn behavior(&self) -> Behavior {
        *self.behavior.lock().unwrap()
    }

    async fn serve(self: Arc<State>, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let served = match request.starts_with("GET /report ") {
                true => self.send_report(&mut stream).await,
                false => self.run(&mut stream, &request).await,
            };
            if served.is_none() {
                return;
            }
        }
    }

    async fn send_report(&self, stream: &mut TcpStream) -> Option<()> {
        let report = self.report().to_string();
        let answer = complete_answer(200, "Content-Type: application/json\r\n", &report);
        stream.write_all(answer.as_bytes()).await.ok()
    }

    fn report(&self) -> Value {
        let runs = self.runs.lock().unwrap();
        let open = || runs.iter().filter(|run| !run.is_over);
        let active = open().filter(|run| run.begin.is_some()).count();
        json!({
            "phase": "unified", "busy": false, "seq": 0, "born": 1_000,
            "models": [{"name": MODEL, "version": self.behavior().version, "adapters": []}],
            "active": active, "queued": open().count() - active,
            "kvUsed": 0, "kvTotal": 90_000, "handles": 0, "pace": 1.0,
        })
    }

    /// Runs one request; none once its connection is closed.
    async fn run(&self, stream: &mut TcpStream, request: &str) -> Option<()> {
        let id = field(request, "x-attempt-id").unwrap_or_default();
        let is_expected = field(request, "x-expect-instance").as_ref() == Some(&self.id);
        let version = self.behavior().version.to_string();
        let holds_expected =
            field(request, "x-expect-version").is_none_or(|expected| expected == version);
        if !is_expected || !holds_expected {
            return refuse(stream, 421, &id).await;
        }
        let left = field(request, "x-deadline-ms").and_then(|text| text.parse().ok());
        let left = left.map_or(DEADLINE_DEFAULT, Duration::from_millis);
        let index = self.push_run(&id);
        let prompt = field(request, "x-token-usage").unwrap_or_default();
        let tokens = prompt.split(',').next().and_then(|text| text.parse().ok());
        let reading = Duration::from_secs_f64(tokens.unwrap_or(0.0) / READ_PER_S);
        let served = timeout(left, self.run_until_end(stream, index, &id, reading)).await;
        let has_begun = {
            let mut runs = self.runs.lock().unwrap();
            runs[index].is_over = true;
            runs[index].begin.is_some()
        };
        match served {
            Ok(served) => served,
            Err(_) if has_begun => None,
            Err(_) => refuse(stream, 503, &id).await,
        }
    }

    fn push_run(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            id: id.to_owned(),
            arrived: Instant::now(),
            begin: None,
            withdrawn: None,
            is_over: false,
        });
        runs.len() - 1
    }

    /// Waits until a request may begin whose prompt takes a time to read.
    async fn wait_ready(&self, reading: Duration) {
        sleep(self.behavior().wait).await;
        let _turn = self.reading.lock().await;
        sleep(reading).await;
    }

    async fn run_until_end(
        &self,
        stream: &mut TcpStream,
        index: usize,
        id: &str,
        reading: Duration,
    ) -> Option<()> {
        let mut ready = pin!(self.wait_ready(reading));
        let withdrawn = tokio::select! {
            biased;
            () = &mut ready => false,
            () = wait_closed(stream) => true,
        };
        if withdrawn {
            self.runs.lock().unwrap()[index].withdrawn = Some(Instant::now());
            match self.behavior().on_close {
                OnClose::Drop => return None,
                OnClose::Begin => ready.await,
            }
        }
        let behavior = self.behavior();
        self.runs.lock().unwrap()[index].begin = Some(Begin {
            at: Instant::now(),
            version: behavior.version,
        });
        let fields = format!("200 OK\r\nX-Weight-Versions: {}", behavior.version);
        let head = stream_head().replace("{id}", id);
        let head = head.replacen("200 OK", &fields, 1);
        stream.write_all(head.as_bytes()).await.ok()?;
        for number in 1..=behavior.events {
            let event = chunk(&padded_event(number, behavior.padding));
            stream.write_all(event.as_bytes()).await.ok()?;
            sleep(behavior.event_interval).await;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }
}

/// An event with a comment of so many bytes, if any.
fn padded_event(number: usize, padding: usize) -> String {
    match padding {
        0 => event(number),
        _ => format!(": {}\n{}", ".".repeat(padding), event(number)),
    }
}

/// Answers that a request is not executed.
async fn refuse(stream: &mut TcpStream, status: u16, id: &str) -> Option<()> {
    let answer = complete_answer(status, "X-Not-Executed: 1\r\n", "").replace("{id}", id);
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Waits until the other end closes or resets a connection.
async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.peek(&mut byte).await {
        sleep(Duration::from_millis(1)).await;
    }
}

/// The process of an agent.
pub(crate) struct Agent {
    process: Child,
    _directory: TempDir,
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Agent {
    /// Stops the process, or lets it go on.
    pub(crate) fn signal(&self, signal: &str) {
        send_signal(&self.process, signal);
    }

    /// Starts the agent of an engine. The entries use the same port.
    pub(crate) fn spawn(
        engine: &Engine,
        name: &str,
        port: u16,
        store: SocketAddr,
        version_ms: u32,
    ) -> Agent {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("local.toml");
        let (ip, app) = (engine.address.ip(), engine.address);
        let settings = format!(
            r#"nodeName = "{name}"
serves = ["side"]
ip = "{ip}"
zone = "za"
region = "ra"
portRange = [{port}, {port}]
app = "{app}"
service = "desk"
[zones]
za = "ra"
zb = "rb"
[limits]
memoryMb = 182
linkMbps = 700.0
[bounds]
version_ms = {version_ms}
[platform]
address = "{store}"
"#
        );
        std::fs::write(&path, settings).unwrap();
        let log = File::create(directory.path().join("agent.log")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_snipewinch-node"))
            .env(platform::boot::PATH_VARIABLE, &path)
            .env("SNIPEWINCH_METRICS_PORT", "0")
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        Agent {
            process,
            _directory: directory,
        }
    }
}
