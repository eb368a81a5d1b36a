//! The platform's store: rows in tables, long polls, conditional writes and objects.
//! It can go away and come back from an older copy of itself, in a new era.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::json::Json;
use crate::json::quote;

/// The longest wait of a poll.
const WAIT_MAX_MS: u64 = 30_000;
/// The rows of one response.
const PAGE_MAX: usize = 500;

#[derive(Clone, Debug)]
struct Row {
    /// In base64; none if the row was deleted.
    value: Option<String>,
    version: u64,
    written: Instant,
}

/// What the store held at a moment.
#[derive(Clone)]
pub struct Copy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

struct State {
    rows: BTreeMap<(String, String), Row>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
    era: u64,
    /// Whether it accepts connections.
    is_up: bool,
    up_since: Instant,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    started: Instant,
}

impl Store {
    /// Starts the store. An entry of a runner is removed after `silence` without a
    /// heartbeat.
    pub fn spawn(address: SocketAddr, silence: Duration) -> Store {
        let store = Store {
            address,
            state: Arc::new(Mutex::new(State {
                rows: BTreeMap::new(),
                objects: BTreeMap::new(),
                version: 0,
                era: 1,
                is_up: true,
                up_since: Instant::now(),
                connections: Vec::new(),
            })),
            changed: Arc::default(),
            started: Instant::now(),
        };
        let listening = store.clone();
        thread::spawn(move || listening.listen());
        let sweeping = store.clone();
        thread::spawn(move || sweeping.expire(silence));
        store
    }

    /// Accepts connections while the store is up.
    fn listen(&self) {
        loop {
            let listener = loop {
                if self.state.lock().unwrap().is_up
                    && let Ok(listener) = TcpListener::bind(self.address)
                {
                    break listener;
                }
                thread::sleep(Duration::from_millis(5));
            };
            listener.set_nonblocking(true).unwrap();
            while self.state.lock().unwrap().is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let mut state = self.state.lock().unwrap();
                        if let Ok(other) = stream.try_clone() {
                            state.connections.push(other);
                        }
                        drop(state);
                        let store = self.clone();
                        thread::spawn(move || store.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let state = self.state.lock().unwrap();
            let (is_up, era) = (state.is_up, state.era);
            drop(state);
            if !is_up {
                return;
            }
            let fields = format!("Store-Era: {era}\r\nContent-Type: application/json\r\n");
            if http::reply(&mut reader.stream, status, &fields, &body).is_err() {
                return;
            }
        }
        let _ = reader.stream.flush();
    }

    /// The status and body of an answer; none if the connection ends first.
    fn answer(&self, request: &Message) -> Option<(u16, Vec<u8>)> {
        let path = request.path();
        let object = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
        if let Some(id) = object("/blob-put/") {
            let mut state = self.state.lock().unwrap();
            let is_kept = request.field("if-none-match") == "*" && state.objects.contains_key(&id);
            if is_kept {
                return Some((412, Vec::new()));
            }
            state.objects.insert(id, request.body.clone());
            return Some((200, Vec::new()));
        }
        if let Some(id) = object("/blob-get/") {
            let state = self.state.lock().unwrap();
            let found = state.objects.get(&id).cloned();
            return Some(found.map_or((404, Vec::new()), |bytes| (200, bytes)));
        }
        if let Some(id) = object("/blob-drop/") {
            self.state.lock().unwrap().objects.remove(&id);
            return Some((200, Vec::new()));
        }
        match path {
            "/rows-get" => Some(self.page(request)),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => Some(self.transact(request)),
            _ => Some((404, Vec::new())),
        }
    }

    fn page(&self, request: &Message) -> (u16, Vec<u8>) {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let until = request.query("target").filter(|until| !until.is_empty());
        let limit = request.query("limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(PAGE_MAX).min(PAGE_MAX);
        let state = self.state.lock().unwrap();
        let range = state.rows.range((table.clone(), from)..);
        let found =
            range
                .take_while(|((other, _), _)| *other == table)
                .filter(|((_, key), row)| {
                    row.value.is_some() && until.as_ref().is_none_or(|until| key < until)
                });
        let rows: Vec<String> = found.take(limit + 1).map(encode).collect();
        let has_more = rows.len() > limit;
        let shown = rows[..rows.len().min(limit)].join(",");
        (200, self.body(&state, &shown, has_more))
    }

    fn feed(&self, request: &Message) -> Option<(u16, Vec<u8>)> {
        let table = request.query("table").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let since = number("sinceRev").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(WAIT_MAX_MS));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if !state.is_up || state.era != era {
                return None;
            }
            if since > state.version {
                return Some((410, Vec::new()));
            }
            let mut found: Vec<(u64, String)> = state
                .rows
                .iter()
                .filter(|((other, _), row)| *other == table && row.version > since)
                .map(|one| (one.1.version, encode(one)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let rows: Vec<String> = found.into_iter().map(|(_, row)| row).collect();
                return Some((200, self.body(&state, &rows.join(","), false)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else {
            return (400, Vec::new());
        };
        let id = |one: &Json| {
            (
                one.get("table").text().to_owned(),
                one.get("key").text().to_owned(),
            )
        };
        let mut state = self.state.lock().unwrap();
        let conditions = body.get("expectedRev").list();
        let holds = conditions.iter().all(|one| {
            let row = state.rows.get(&id(one)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == one.get("ver").number()
        });
        if !holds {
            let rows = conditions.iter().filter_map(|one| {
                let key = id(one);
                let row = state.rows.get(&key).filter(|row| row.value.is_some())?;
                Some(encode((&key, row)))
            });
            let rows: Vec<String> = rows.collect();
            return (412, self.body(&state, &rows.join(","), false));
        }
        let writes = body.get("writes").list();
        let deletions = body.get("delete").list();
        let is_foreign = |one: &Json| matches!(one.get("table").text(), "op" | "servers");
        if writes.iter().chain(deletions).any(is_foreign) {
            return (403, Vec::new());
        }
        state.version += 1;
        let version = state.version;
        let written = Instant::now();
        for one in writes {
            let value = Some(one.get("value").text().to_owned());
            state.rows.insert(
                id(one),
                Row {
                    value,
                    version,
                    written,
                },
            );
        }
        for one in deletions {
            state.rows.insert(
                id(one),
                Row {
                    value: None,
                    version,
                    written,
                },
            );
        }
        let answer = self.body(&state, "", false);
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }

    fn body(&self, state: &State, rows: &str, has_more: bool) -> Vec<u8> {
        let now_ms = self.started.elapsed().as_millis();
        let version = state.version;
        format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{version},\"nowMs\":{now_ms}}}")
            .into_bytes()
    }

    /// Writes a row as an operator or a runner does; false while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        self.set(table, key, Some(base64(value.as_bytes())))
    }

    /// Deletes a row; false while the store is away.
    pub fn remove(&self, table: &str, key: &str) -> bool {
        self.set(table, key, None)
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return false;
        }
        state.version += 1;
        let version = state.version;
        let written = Instant::now();
        let row = Row {
            value,
            version,
            written,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
        true
    }

    /// Whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let state = self.state.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|row| row.value.is_some())
    }

    /// Removes the entries of runners that have been silent for too long.
    fn expire(&self, silence: Duration) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let state = self.state.lock().unwrap();
            let up_since = state.up_since;
            let silent = state.rows.iter().filter(|((table, _), row)| {
                let heard = row.written.max(up_since);
                table == "servers" && row.value.is_some() && heard.elapsed() > silence
            });
            let silent: Vec<String> = silent.map(|((_, key), _)| key.clone()).collect();
            let is_up = state.is_up;
            drop(state);
            for key in silent.iter().filter(|_| is_up) {
                self.remove("servers", key);
            }
        }
    }

    /// What it holds now.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().unwrap();
        Copy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Goes away: it closes all connections and refuses new ones.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Comes back from a copy, in a new era.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.era += 1;
        state.up_since = Instant::now();
        state.is_up = true;
    }
}

fn encode(((table, key), row): (&(String, String), &Row)) -> String {
    let end = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{},{end}}}",
        quote(table),
        quote(key),
        row.version
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= part.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
