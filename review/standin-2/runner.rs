//! A runner of a plain service, or a model runner that serves streams.

use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::store::Store;
use crate::world::Record;

/// How often a runner writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The memory of a model runner, in tokens.
pub const MEMORY_TOKENS: u64 = 317_000;

/// What does not change of a runner.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    /// How long a request runs.
    pub work: Duration,
    /// A request with these bytes in its body ends the runner as it begins to run.
    pub poison: Option<&'static str>,
    /// How long the runner is down after it has ended.
    pub down: Duration,
    /// The model, if it is a model runner.
    pub model: Option<&'static str>,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    connections: HashMap<u64, TcpStream>,
}

#[derive(Clone)]
pub struct Runner {
    pub plan: Plan,
    store: Store,
    record: Record,
    /// Whether the process runs.
    is_alive: Arc<AtomicBool>,
    /// Whether the listening socket is open.
    is_listening: Arc<AtomicBool>,
    /// Whether it writes its entry.
    pub is_listed: Arc<AtomicBool>,
    born: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    load: Arc<(Mutex<Load>, Condvar)>,
}

impl Runner {
    pub fn spawn(plan: Plan, store: &Store, record: &Record) -> Runner {
        let runner = Runner {
            plan,
            store: store.clone(),
            record: record.clone(),
            is_alive: Arc::new(AtomicBool::new(true)),
            is_listening: Arc::default(),
            is_listed: Arc::new(AtomicBool::new(true)),
            born: Arc::new(AtomicU64::new(now_ms())),
            next: Arc::default(),
            load: Arc::default(),
        };
        let listening = runner.clone();
        thread::spawn(move || listening.listen());
        let beating = runner.clone();
        thread::spawn(move || beating.beat());
        runner
    }

    /// The entry, with `born` unless it is left out.
    pub fn entry(&self, state: &str, seq: u64, with_born: bool) -> String {
        let plan = &self.plan;
        let born = match with_born {
            true => format!(",\"born\":{}", self.born.load(Ordering::SeqCst)),
            false => String::new(),
        };
        let models = match plan.model {
            Some(model) => format!(
                ",\"phase\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"
            ),
            None => String::new(),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0{models},\"seq\":{seq}{born}}}",
            plan.service, plan.address, plan.zone, plan.slots
        )
    }

    fn beat(&self) {
        let mut seq = 0;
        let mut born = 0;
        let mut due = Instant::now();
        loop {
            let now_born = self.born.load(Ordering::SeqCst);
            let is_new = std::mem::replace(&mut born, now_born) != now_born;
            let is_on =
                self.is_alive.load(Ordering::SeqCst) && self.is_listed.load(Ordering::SeqCst);
            if is_on && (is_new || Instant::now() >= due) {
                seq = if is_new { 1 } else { seq + 1 };
                due = Instant::now() + HEARTBEAT;
                self.store
                    .put("servers", &self.plan.id, &self.entry("ready", seq, true));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn listen(&self) {
        loop {
            let listener = loop {
                if self.is_alive.load(Ordering::SeqCst)
                    && let Ok(listener) = TcpListener::bind(self.plan.address)
                {
                    break listener;
                }
                thread::sleep(Duration::from_millis(2));
            };
            listener.set_nonblocking(true).unwrap();
            self.is_listening.store(true, Ordering::SeqCst);
            while self.is_alive.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(500));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let runner = self.clone();
                let number = self.next.fetch_add(1, Ordering::SeqCst);
                if let Ok(other) = stream.try_clone() {
                    self.load
                        .0
                        .lock()
                        .unwrap()
                        .connections
                        .insert(number, other);
                }
                let serving = thread::Builder::new().stack_size(256 << 10);
                let _ = serving.spawn(move || {
                    runner.serve(stream);
                    runner.load.0.lock().unwrap().connections.remove(&number);
                });
            }
            drop(listener);
            self.is_listening.store(false, Ordering::SeqCst);
        }
    }

    /// Ends as a killed process does: all sockets are closed at once. It is back later,
    /// under the same id, as a new start.
    pub fn crash(&self) {
        if !self.is_alive.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record
            .line("runner", &format!("{} ends", self.plan.id));
        while self.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        let mut load = self.load.0.lock().unwrap();
        for (_, stream) in load.connections.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        load.running = 0;
        load.waiting = 0;
        drop(load);
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(runner.plan.down);
            runner.born.store(now_ms(), Ordering::SeqCst);
            runner.is_alive.store(true, Ordering::SeqCst);
            runner
                .record
                .line("runner", &format!("{} is back", runner.plan.id));
        });
    }

    fn serve(&self, stream: TcpStream) {
        let born = self.born.load(Ordering::SeqCst);
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let is_same =
                self.is_alive.load(Ordering::SeqCst) && born == self.born.load(Ordering::SeqCst);
            if !is_same || !self.handle(&mut reader.stream, &request, born) {
                return;
            }
        }
    }

    /// Answers a request; false if the connection ends.
    fn handle(&self, stream: &mut TcpStream, request: &Message, born: u64) -> bool {
        let plan = &self.plan;
        let id = request.field("x-attempt-id").to_owned();
        let instance = format!("X-Instance-Id: {}\r\n", plan.id);
        match request.path() {
            "/healthz" => return http::reply(stream, 200, &instance, b"").is_ok(),
            "/report" => {
                let body = self.report(born);
                return http::reply(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
                .is_ok();
            }
            path if path.starts_with("/stage-") => {
                return http::reply(stream, 404, "", b"").is_ok();
            }
            "/order" => return http::reply(stream, 409, "", b"").is_ok(),
            _ => {}
        }
        let echo = format!("X-Attempt-Id: {id}\r\n");
        let detail = |what: &str| format!("{} {what} {} {id}", plan.id, request.target());
        if id.is_empty() {
            return http::reply(stream, 400, "X-Not-Executed: 1\r\n", b"").is_ok();
        }
        self.record.line("runner", &detail("gets"));
        self.record.arrival(&plan.id, &id, request);
        let expected = request.field("x-expect-instance");
        if !expected.is_empty() && expected != plan.id {
            return http::reply(
                stream,
                421,
                &format!("{echo}{instance}X-Not-Executed: 1\r\n"),
                b"",
            )
            .is_ok();
        }
        // A request that is larger than its memory is rejected as if it were full.
        let usage = request
            .field("x-token-usage")
            .split(',')
            .next()
            .unwrap_or_default();
        let tokens: u64 = usage.trim().parse().unwrap_or(0);
        let is_too_large = plan.model.is_some() && tokens > MEMORY_TOKENS;
        if is_too_large || !self.begin() {
            self.record.line("runner", &detail("rejects"));
            let fields = format!("{echo}{}X-Not-Executed: 1\r\n", self.load_field());
            return http::reply(stream, 503, &fields, b"").is_ok();
        }
        self.record.line("runner", &detail("runs"));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if plan.poison.is_some_and(|poison| body.contains(poison)) {
            self.crash();
            return false;
        }
        let signature = format!(
            "{echo}X-Server-Signature: {}.{id}\r\n{}",
            plan.id,
            self.load_field()
        );
        let is_sent = match plan.model {
            Some(_) => stream_events(stream, &signature, plan.work),
            None => {
                thread::sleep(plan.work);
                http::reply(stream, 200, &signature, format!("done {id}").as_bytes()).is_ok()
            }
        };
        if self.is_alive.load(Ordering::SeqCst) && born == self.born.load(Ordering::SeqCst) {
            self.load.0.lock().unwrap().running -= 1;
            self.load.1.notify_one();
        }
        is_sent
    }

    /// Waits for a slot; false if the queue is full.
    fn begin(&self) -> bool {
        let mut load = self.load.0.lock().unwrap();
        if load.running >= self.plan.slots {
            if load.waiting >= self.plan.queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.plan.slots {
                load = self.load.1.wait(load).unwrap();
            }
            load.waiting = load.waiting.saturating_sub(1);
        }
        load.running += 1;
        true
    }

    fn load_field(&self) -> String {
        let load = self.load.0.lock().unwrap();
        format!(
            "X-Server-Load: {},{},{}\r\n",
            load.running, load.waiting, self.plan.slots
        )
    }

    fn report(&self, born: u64) -> String {
        let load = self.load.0.lock().unwrap();
        let model = self.plan.model.unwrap_or_default();
        format!(
            "{{\"phase\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queued\":{},\"active\":{},\"kvUsed\":0,\"kvTotal\":317000,\"handles\":0,\"pace\":1.0,\"born\":{born}}}",
            load.waiting, load.running
        )
    }
}

/// Sends a stream of ten events over `time`.
fn stream_events(stream: &mut TcpStream, fields: &str, time: Duration) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{fields}X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    for number in 1..=10 {
        thread::sleep(time / 10);
        let event = format!("id: {number}\ndata: {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_sent = is_sent && stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_sent && stream.write_all(b"0\r\n\r\n").is_ok()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}
