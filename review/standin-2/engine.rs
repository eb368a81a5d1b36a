//! A model runner that takes staged pieces and orders to load them.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json::Json;
use crate::runner::HEARTBEAT;
use crate::store::Store;
use crate::weights;
use crate::weights::LAYERS;
use crate::weights::MODEL;
use crate::weights::PIECES;
use crate::world::Record;

/// How long it takes to store a piece.
const STAGE_TIME: Duration = Duration::from_millis(3);
/// How long loading takes.
const WARM: Duration = Duration::from_millis(300);
const SLOTS: u32 = 16;
/// How long a request waits for its first event, and the time between two.
const PREFILL: Duration = Duration::from_millis(60);
const EVENT_GAP: Duration = Duration::from_millis(46);
const EVENTS: u32 = 20;

/// What the worker does that takes the next order.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// The version of that order.
    pub version: u64,
    /// For how long it is silent before it goes on.
    pub time: Duration,
}

struct State {
    version: u64,
    /// The pieces of another version with which the layers were taken.
    foreign: Vec<usize>,
    is_busy: bool,
    /// How many orders have begun.
    orders: u64,
    running: u32,
    /// Changes with each load, which ends what runs.
    load: u64,
    staged: HashMap<usize, Vec<u8>>,
    stall: Option<Stall>,
    /// Tokens that were made with such layers.
    foreign_tokens: usize,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    born: u128,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine that holds version 1, which is also staged.
    pub fn spawn(
        id: String,
        zone: &'static str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> Engine {
        let staged = (0..PIECES).map(|number| (number, weights::piece(1, number)));
        let engine = Engine {
            id,
            zone,
            address,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                version: 1,
                foreign: Vec::new(),
                is_busy: false,
                orders: 0,
                running: 0,
                load: 0,
                staged: staged.collect(),
                stall: None,
                foreign_tokens: 0,
            })),
        };
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || beating.beat(&store));
        let listener = TcpListener::bind(address).expect("the engine listens");
        let listening = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = listening.clone();
                let serving = thread::Builder::new().stack_size(256 << 10);
                let _ = serving.spawn(move || {
                    let mut reader = Reader::new(stream);
                    while let Some(request) = reader.request() {
                        if !engine.handle(&mut reader.stream, &request) {
                            return;
                        }
                    }
                });
            }
        });
        engine
    }

    /// Has the worker stall that takes the order of a version.
    pub fn set_stall(&self, stall: Stall) {
        self.state.lock().unwrap().stall = Some(stall);
    }

    pub fn foreign_tokens(&self) -> usize {
        self.state.lock().unwrap().foreign_tokens
    }

    fn models(&self, state: &State) -> String {
        let version = state.version;
        format!(
            "[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[],\"layers\":{{\"from\":0,\"target\":{LAYERS},\"version\":{version}}}}}]"
        )
    }

    fn beat(&self, store: &Store) {
        for seq in 1.. {
            let models = self.models(&self.state.lock().unwrap());
            let entry = format!(
                "{{\"service\":\"verse-engine\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"phase\":\"unified\",\"models\":{models},\"seq\":{seq},\"born\":{}}}",
                self.address, self.zone, self.born
            );
            store.put("servers", &self.id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    /// Answers a request; false if the connection ends.
    fn handle(&self, out: &mut TcpStream, request: &Message) -> bool {
        let number = request
            .query("num")
            .and_then(|text| text.parse::<usize>().ok());
        match (request.path(), number) {
            ("/report", _) => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"phase\":\"unified\",\"models\":{},\"busy\":{},\"seq\":{},\"queued\":0,\"active\":{},\"kvUsed\":0,\"kvTotal\":317000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
                    self.models(&state),
                    state.is_busy,
                    state.orders,
                    state.running,
                    self.born
                );
                drop(state);
                http::reply(
                    out,
                    200,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
                .is_ok()
            }
            ("/healthz", _) => {
                http::reply(out, 200, &format!("X-Instance-Id: {}\r\n", self.id), b"").is_ok()
            }
            ("/order", _) => self.take_order(out, request),
            (path, Some(number)) if path.starts_with("/stage-put/") => {
                thread::sleep(STAGE_TIME);
                self.state
                    .lock()
                    .unwrap()
                    .staged
                    .insert(number, request.body.clone());
                http::reply(out, 200, "", b"").is_ok()
            }
            (path, Some(number)) if path.starts_with("/stage-get/") => {
                let staged = self.state.lock().unwrap().staged.get(&number).cloned();
                match staged {
                    Some(bytes) => http::reply(out, 200, "", &bytes).is_ok(),
                    None => http::reply(out, 404, "", b"").is_ok(),
                }
            }
            _ => self.run(out, request),
        }
    }

    fn take_order(&self, out: &mut TcpStream, request: &Message) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let version = body.get("version").number();
        self.record.line(
            "runner",
            &format!("{} gets the order to load version {version}", self.id),
        );
        let mut state = self.state.lock().unwrap();
        let stall = state.stall.take_if(|stall| stall.version == version);
        drop(state);
        if let Some(stall) = stall {
            self.record.line(
                "runner",
                &format!("the worker of {} that takes it falls silent", self.id),
            );
            thread::sleep(stall.time);
            self.record
                .line("runner", &format!("the worker of {} goes on", self.id));
        }
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expectedRev");
        let is_expected = matches!(expected, Json::Null) || expected.number() == state.orders;
        if !is_expected || state.is_busy {
            drop(state);
            self.record.line(
                "runner",
                &format!("{} refuses the order: its state has changed", self.id),
            );
            return http::reply(out, 409, "", b"").is_ok();
        }
        if state.version == version {
            drop(state);
            return http::reply(out, 200, "", b"").is_ok();
        }
        // The layers are those that are staged at this moment.
        let is_foreign =
            |number: &usize| state.staged.get(number) != Some(&weights::piece(version, *number));
        let foreign: Vec<usize> = (0..PIECES).filter(is_foreign).collect();
        self.record.line(
            "runner",
            &format!("{} accepts the order to load version {version}; pieces that are not of it: {foreign:?}", self.id),
        );
        state.orders += 1;
        state.is_busy = true;
        state.load += 1;
        let load = state.load;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(WARM);
            let mut state = engine.state.lock().unwrap();
            if state.load == load {
                state.version = version;
                state.foreign = foreign;
                state.is_busy = false;
                state.running = 0;
            }
        });
        http::reply(out, 202, "", b"").is_ok()
    }

    fn run(&self, out: &mut TcpStream, request: &Message) -> bool {
        let id = request.field("x-attempt-id").to_owned();
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if request.field("x-expect-instance") != self.id {
            return http::reply(out, 421, &echo, b"").is_ok();
        }
        let refusal = format!("{echo}X-Not-Executed: 1\r\n");
        let mut state = self.state.lock().unwrap();
        let load = state.load;
        if state.is_busy || state.running >= SLOTS {
            drop(state);
            return http::reply(out, 503, &refusal, b"").is_ok();
        }
        state.running += 1;
        drop(state);
        thread::sleep(PREFILL);
        let state = self.state.lock().unwrap();
        let (version, is_same) = (state.version, state.load == load);
        drop(state);
        if !is_same {
            return http::reply(out, 503, &refusal, b"").is_ok();
        }
        self.record.line(
            "runner",
            &format!("{} runs {id} on version {version}", self.id),
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Server-Signature: {}.{id}\r\nX-Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut is_sent = out.write_all(head.as_bytes()).is_ok();
        let first = request.field("last-event-id").parse::<u32>().unwrap_or(0) + 1;
        for number in first..=EVENTS {
            thread::sleep(EVENT_GAP);
            let mut state = self.state.lock().unwrap();
            if state.load != load {
                return false;
            }
            if !state.foreign.is_empty() {
                state.foreign_tokens += 1;
                let foreign = state.foreign.len();
                self.record.line("runner", &format!("{} makes a token for {id} as version {version} with layers from {foreign} pieces of another one", self.id));
            }
            drop(state);
            let event = format!("id: {number}\ndata: {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && out.write_all(chunk.as_bytes()).is_ok();
        }
        let mut state = self.state.lock().unwrap();
        if state.load == load {
            state.running -= 1;
        }
        drop(state);
        is_sent && out.write_all(b"0\r\n\r\n").is_ok()
    }
}
