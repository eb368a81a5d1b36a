//! Stand-ins of the platform for the cases of this review: the store, backend
//! servers ("runners"), clients, and the scenarios that `run.sh` of each case
//! starts. It uses the standard library only.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdin;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The bounds of the site `bluebonnet-hollow`.
const DRAIN_MS: u64 = 2_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const OUTER_MS: u64 = 5_000;
const STABLE_WINDOW_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 1_200;
/// The `timeoutMs` of the plain routes.
const TIMEOUT_MS: u64 = 1_500;
/// How long an entry in the list outlives the last heartbeat.
const LISTED_MS: u64 = 3 * HEARTBEAT_MS;

/// In place of a status: the answer is lost.
const LOST: u16 = 0;
/// The share of answers that the store may lose, of the site's `platform_lost`.
const LOST_SHARE: f64 = 0.35;

const HOST: &str = "songs.example";
const SERVICE: &str = "ledger-desk";

fn epoch_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// ---------------------------------------------------------------- HTTP

/// A request or an answer.
#[derive(Clone, Debug, Default)]
struct Message {
    start: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
fn read_message(reader: &mut impl BufRead, is_answer: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .fields
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message.field("transfer-encoding") == Some("chunked");
    let length = message
        .field("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    match length {
        _ if is_chunked => loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim_end(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        },
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
        }
        None => {}
    }
    Ok(Some(message))
}

fn encode_answer(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and reads the answer.
fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, millis(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let answer = read_message(&mut BufReader::new(stream), true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(one, _)| *one == name);
    found.map_or(String::new(), |(_, value)| unescape(value))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        Parser { chars, at: 0 }.value()
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(pairs) => {
                let found = pairs.iter().find(|(one, _)| one == name);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn next(&mut self) -> char {
        let found = self.chars.get(self.at).copied().unwrap_or('\0');
        self.at += 1;
        found
    }

    fn skip(&mut self) -> char {
        while self
            .chars
            .get(self.at)
            .is_some_and(|one| one.is_whitespace())
        {
            self.at += 1;
        }
        self.chars.get(self.at).copied().unwrap_or('\0')
    }

    fn value(&mut self) -> Json {
        match self.skip() {
            '{' => self.table(),
            '[' => self.values(),
            '"' => Json::Text(self.string()),
            _ => self.word(),
        }
    }

    fn table(&mut self) -> Json {
        self.next();
        let mut pairs = Vec::new();
        while self.skip() == '"' {
            let name = self.string();
            self.skip();
            self.next();
            pairs.push((name, self.value()));
            if self.skip() == ',' {
                self.next();
            }
        }
        self.next();
        Json::Table(pairs)
    }

    fn values(&mut self) -> Json {
        self.next();
        let mut values = Vec::new();
        while self.skip() != ']' && self.at < self.chars.len() {
            values.push(self.value());
            if self.skip() == ',' {
                self.next();
            }
        }
        self.next();
        Json::List(values)
    }

    fn string(&mut self) -> String {
        self.next();
        let mut text = String::new();
        loop {
            match self.next() {
                '"' | '\0' => return text,
                '\\' => match self.next() {
                    'n' => text.push('\n'),
                    'u' => {
                        let hex: String = (0..4).map(|_| self.next()).collect();
                        let code = u32::from_str_radix(&hex, 16).unwrap_or(0);
                        text.push(char::from_u32(code).unwrap_or(' '));
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
    }

    fn word(&mut self) -> Json {
        let start = self.at;
        while self
            .chars
            .get(self.at)
            .is_some_and(|one| !",]}".contains(*one) && !one.is_whitespace())
        {
            self.at += 1;
        }
        let word: String = self.chars[start..self.at.min(self.chars.len())]
            .iter()
            .collect();
        if self.at == start {
            self.at += 1;
        }
        match word.as_str() {
            "true" => Json::Bool(true),
            "false" => Json::Bool(false),
            _ => word.parse().map_or(Json::Null, Json::Number),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |sum, index| {
            sum << 8 | u32::from(group.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            match index <= group.len() {
                true => out.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- the store

#[derive(Clone, Debug)]
struct Row {
    /// In base64; `None` if the row was deleted.
    value: Option<String>,
    version: u64,
}

type Rows = BTreeMap<(String, String), Row>;

/// How the store is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Away {
    /// Its connections deliver nothing further; those opened after its return
    /// work.
    Silent,
    /// Its connections are closed, and it takes none until its return.
    Closed,
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    era: u64,
    rows: Rows,
    objects: BTreeMap<String, Vec<u8>>,
    /// When each listed server last wrote.
    beats: BTreeMap<String, Instant>,
    /// Copies of the last seconds.
    copies: VecDeque<(Instant, u64, Rows)>,
    /// Connections of an earlier generation deliver nothing.
    generation: u64,
    away: Option<Away>,
    /// The polls in flight, with the table and when each was sent.
    polls: BTreeMap<u64, (String, Instant)>,
    polls_sent: u64,
    /// The polls whose answers will be lost.
    lost: Vec<u64>,
    open: Vec<TcpStream>,
}

/// The platform's store of rows.
#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    address: SocketAddr,
    started: Instant,
}

impl Store {
    fn spawn(ip: Ipv4Addr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Store {
            state: Arc::new((
                Mutex::new(StoreState {
                    era: 1,
                    ..StoreState::default()
                }),
                Condvar::new(),
            )),
            address: listener.local_addr().expect("it is bound"),
            started: Instant::now(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                let generation = {
                    let mut state = store.state.0.lock().expect("no panic");
                    if state.away == Some(Away::Closed) {
                        continue;
                    }
                    let generation = match state.away {
                        Some(_) => u64::MAX,
                        None => state.generation,
                    };
                    state.open.extend(stream.try_clone());
                    generation
                };
                thread::spawn(move || store.serve(stream, generation));
            }
        });
        let shared = store.clone();
        thread::spawn(move || loop {
            sleep(millis(100));
            shared.tick();
        });
        store
    }

    /// Keeps copies, and drops servers that have not written for a while.
    fn tick(&self) {
        let mut state = self.state.0.lock().expect("no panic");
        if state.away.is_some() {
            return;
        }
        let copy = (Instant::now(), state.version, state.rows.clone());
        state.copies.push_back(copy);
        if state.copies.len() > 200 {
            state.copies.pop_front();
        }
        let expired: Vec<String> = state
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > millis(LISTED_MS))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            state.beats.remove(&id);
            set(&mut state, "servers", &id, None);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Writes a row as the operator does; returns when it was acknowledged.
    fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut state = self.state.0.lock().expect("no panic");
        set(&mut state, table, key, Some(base64(value.as_bytes())));
        drop(state);
        self.state.1.notify_all();
        epoch_ms()
    }

    /// Is away for a while and comes back from a copy that is `age` old.
    fn drill(&self, away: Away, length: Duration, age: Duration) {
        let began = Instant::now();
        let mut state = self.state.0.lock().expect("no panic");
        state.away = Some(away);
        state.generation += 1;
        for stream in state.open.drain(..) {
            if away == Away::Closed {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        drop(state);
        self.state.1.notify_all();
        sleep(length);
        let mut state = self.state.0.lock().expect("no panic");
        let old = state
            .copies
            .iter()
            .rev()
            .find(|(at, ..)| *at + age <= began);
        let (_, version, rows) = old.expect("the store ran that long").clone();
        state.version = version;
        state.rows = rows;
        state.era += 1;
        state.copies.clear();
        let listed: Vec<String> = state
            .rows
            .iter()
            .filter(|((table, _), row)| table == "servers" && row.value.is_some())
            .map(|((_, key), _)| key.clone())
            .collect();
        state.beats = listed.into_iter().map(|id| (id, Instant::now())).collect();
        state.away = None;
        drop(state);
        self.state.1.notify_all();
    }

    /// Writes a row. Of the answers to polls in flight that tell of it, a share is
    /// lost: those to the polls sent last. Returns when it was acknowledged, and
    /// how many answers are lost.
    fn put_half_heard(&self, table: &str, key: &str, value: &str, share: f64) -> (u64, usize) {
        let mut state = self.state.0.lock().expect("no panic");
        let polls = state.polls.iter().filter(|(_, (one, _))| one == table);
        let mut polls: Vec<(Instant, u64)> = polls.map(|(id, (_, sent))| (*sent, *id)).collect();
        polls.sort_unstable();
        let count = (polls.len() as f64 * share) as usize;
        state.lost = polls.iter().rev().take(count).map(|(_, id)| *id).collect();
        drop(state);
        (self.put(table, key, value), count)
    }

    fn version(&self) -> u64 {
        self.state.0.lock().expect("no panic").version
    }

    fn serve(&self, stream: TcpStream, generation: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let answer = self.answer(&request, generation);
            let state = self.state.0.lock().expect("no panic");
            let is_dead =
                state.generation != generation || state.away.is_some() || answer.0 == LOST;
            let (era, away) = (state.era, state.away);
            drop(state);
            if is_dead {
                // The response is lost, and so is all that follows on this
                // connection.
                if away == Some(Away::Closed) {
                    return;
                }
                let mut sink = [0; 1024];
                while matches!(reader.read(&mut sink), Ok(1..)) {}
                return;
            }
            let (status, body) = answer;
            let fields = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", era.to_string()),
            ];
            if writer
                .write_all(&encode_answer(status, &fields, &body))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, generation: u64) -> (u16, Vec<u8>) {
        let target = request.word(1).to_owned();
        let path = target.split('?').next().unwrap_or_default().to_owned();
        match (request.word(0), path.as_str()) {
            ("GET", "/rows-get") => (200, self.page(&target)),
            ("GET", "/rows-feed") => self.feed(&target, generation),
            ("POST", "/rows-tx") => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.transact(&Json::parse(&text), generation)
            }
            (method, path) if path.starts_with("/blob-") => {
                let id = path.rsplit('/').next().unwrap_or_default().to_owned();
                let mut state = self.state.0.lock().expect("no panic");
                match method {
                    "PUT" if state.objects.contains_key(&id) => (412, Vec::new()),
                    "PUT" => {
                        state.objects.insert(id, request.body.clone());
                        (200, b"{}".to_vec())
                    }
                    "GET" => match state.objects.get(&id) {
                        Some(bytes) => (200, bytes.clone()),
                        None => (404, Vec::new()),
                    },
                    _ => {
                        state.objects.remove(&id);
                        (200, b"{}".to_vec())
                    }
                }
            }
            _ => (404, Vec::new()),
        }
    }

    fn render(
        &self,
        state: &StoreState,
        rows: &[(&(String, String), &Row)],
        has_more: bool,
    ) -> Vec<u8> {
        let rows: Vec<String> = rows
            .iter()
            .map(|((table, key), row)| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"deleted\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{},{value}}}",
                    row.version
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":{has_more},\"ver\":{},\"nowMs\":{}}}",
            rows.join(","),
            state.version,
            self.started.elapsed().as_millis()
        )
        .into_bytes()
    }

    fn page(&self, target: &str) -> Vec<u8> {
        let (table, from, until) = (
            query(target, "table"),
            query(target, "from"),
            query(target, "target"),
        );
        let limit = query(target, "limit").parse().unwrap_or(500).min(500);
        let state = self.state.0.lock().expect("no panic");
        let found: Vec<_> = state
            .rows
            .iter()
            .filter(|((one, key), row)| {
                *one == table
                    && row.value.is_some()
                    && *key >= from
                    && (until.is_empty() || *key < until)
            })
            .collect();
        let shown = &found[..found.len().min(limit)];
        self.render(&state, shown, found.len() > limit)
    }

    fn feed(&self, target: &str, generation: u64) -> (u16, Vec<u8>) {
        let table = query(target, "table");
        let since: u64 = query(target, "sinceRev").parse().unwrap_or(0);
        let wait: u64 = query(target, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + millis(wait.min(30_000));
        let mut state = self.state.0.lock().expect("no panic");
        state.polls_sent += 1;
        let poll = state.polls_sent;
        state.polls.insert(poll, (table.clone(), Instant::now()));
        loop {
            if state.lost.contains(&poll)
                && state
                    .rows
                    .iter()
                    .any(|((one, _), row)| *one == table && row.version > since)
            {
                state.polls.remove(&poll);
                return (LOST, Vec::new());
            }
            if state.generation != generation {
                state.polls.remove(&poll);
                return (503, Vec::new());
            }
            if since > state.version {
                state.polls.remove(&poll);
                return (410, Vec::new());
            }
            let mut found: Vec<_> = state
                .rows
                .iter()
                .filter(|((one, _), row)| *one == table && row.version > since)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, row)| row.version);
                let body = self.render(&state, &found, false);
                state.polls.remove(&poll);
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn transact(&self, call: &Json, generation: u64) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().expect("no panic");
        if state.generation != generation || state.away.is_some() {
            return (503, Vec::new());
        }
        let id = |one: &Json| (one.get("table").text(), one.get("key").text());
        let is_met = |one: &Json| {
            let row = state.rows.get(&id(one)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == one.get("ver").number()
        };
        let conditions = call.get("expectedRev").list();
        if !conditions.iter().all(is_met) {
            let ids: Vec<_> = conditions.iter().map(id).collect();
            let found: Vec<_> = state
                .rows
                .iter()
                .filter(|(one, _)| ids.contains(one))
                .collect();
            return (412, self.render(&state, &found, false));
        }
        for one in call.get("writes").list() {
            let (table, key) = id(one);
            if table == "servers" {
                state.beats.insert(key.clone(), Instant::now());
            }
            set(&mut state, &table, &key, Some(one.get("value").text()));
        }
        for one in call.get("delete").list() {
            let (table, key) = id(one);
            state.beats.remove(&key);
            if state
                .rows
                .get(&(table.clone(), key.clone()))
                .is_some_and(|row| row.value.is_some())
            {
                set(&mut state, &table, &key, None);
            }
        }
        let body = self.render(&state, &[], false);
        drop(state);
        self.state.1.notify_all();
        (200, body)
    }
}

fn set(state: &mut StoreState, table: &str, key: &str, value: Option<String>) {
    state.version += 1;
    let version = state.version;
    state
        .rows
        .insert((table.to_owned(), key.to_owned()), Row { value, version });
}

// ---------------------------------------------------------------- runners

/// Writes the list entry of a runner; again if there is no answer.
fn write_entry(store: SocketAddr, id: &str, value: &str) {
    let body = format!(
        "{{\"expectedRev\":[],\"writes\":[{{\"table\":\"servers\",\"part\":\"\",\"key\":\"{id}\",\"value\":\"{}\"}}],\"delete\":[]}}",
        base64(value.as_bytes())
    );
    let request = format!(
        "POST /rows-tx HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    while !exchange(store, request.as_bytes(), millis(500))
        .is_ok_and(|answer| answer.status() == 200)
    {
        sleep(millis(100));
    }
}

fn entry_text(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    born: u64,
    seq: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
    )
}

/// The process of a plain runner: `runner ID ADDRESS ZONE STORE [DEADLY]`. It
/// obeys the line `leaving` on its standard input: it says so in all its answers
/// and no longer writes its entry.
fn run_runner(args: &[String]) -> ExitCode {
    let [id, address, zone, store, rest @ ..] = args else {
        return ExitCode::from(2);
    };
    let deadly: Option<String> = rest.first().cloned();
    let address: SocketAddr = address.parse().expect("an address");
    let store: SocketAddr = store.parse().expect("an address");
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            println!("{} failed {id} {error}", epoch_ms());
            return ExitCode::from(2);
        }
    };
    let born = epoch_ms();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let running = Arc::new(AtomicU64::new(0));
    println!("{born} started {id}");
    {
        let (id, zone, is_leaving) = (id.clone(), zone.clone(), is_leaving.clone());
        thread::spawn(move || {
            for seq in 1.. {
                if is_leaving.load(Ordering::SeqCst) {
                    return;
                }
                write_entry(
                    store,
                    &id,
                    &entry_text(SERVICE, address, &zone, 6, born, seq),
                );
                sleep(millis(HEARTBEAT_MS));
            }
        });
    }
    {
        let (id, is_leaving) = (id.clone(), is_leaving.clone());
        thread::spawn(move || {
            for line in io::stdin().lines().map_while(Result::ok) {
                is_leaving.fetch_or(line == "leaving", Ordering::SeqCst);
                println!("{} {line} {id}", epoch_ms());
            }
            std::process::exit(0);
        });
    }
    for stream in listener.incoming().flatten() {
        let (id, deadly, running) = (id.clone(), deadly.clone(), running.clone());
        let is_leaving = is_leaving.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(request)) = read_message(&mut reader, false) {
                let attempt = request.field("x-attempt-id").unwrap_or("-").to_owned();
                let mut fields = vec![("X-Attempt-Id", attempt.clone())];
                if is_leaving.load(Ordering::SeqCst) {
                    fields.push(("Server-Leaving", "1".to_owned()));
                }
                if request
                    .field("x-expect-instance")
                    .is_some_and(|expected| expected != id)
                {
                    let _ = writer.write_all(&encode_answer(421, &fields, b""));
                    continue;
                }
                let tenant = request.field("x-tenant").unwrap_or("-").to_owned();
                println!(
                    "{} ran {id} {attempt} {tenant} {} {}",
                    epoch_ms(),
                    request.word(0),
                    request.word(1)
                );
                let body = String::from_utf8_lossy(&request.body).into_owned();
                if deadly.as_deref() == Some(body.as_str()) {
                    println!("{} crashes {id} {attempt}", epoch_ms());
                    let _ = io::stdout().flush();
                    std::process::exit(101);
                }
                let count = running.fetch_add(1, Ordering::SeqCst) + 1;
                sleep(millis(60));
                running.fetch_sub(1, Ordering::SeqCst);
                fields.push(("X-Server-Signature", format!("{id}.{attempt}")));
                fields.push(("X-Server-Load", format!("{count},0,6")));
                fields.push(("Keep-Alive", "timeout=5".to_owned()));
                let answer = encode_answer(200, &fields, format!("{id} {attempt}").as_bytes());
                if writer.write_all(&answer).is_err() {
                    return;
                }
            }
        });
    }
    ExitCode::SUCCESS
}

// ---------------------------------------------------------------- a deployment

/// A line of the record.
#[derive(Clone, Debug)]
struct Line {
    at: u64,
    text: String,
}

type Record = Arc<Mutex<Vec<Line>>>;

/// A process that the scenario started; it ends with this handle.
struct Process {
    child: Child,
    input: Option<ChildStdin>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.input {
            let _ = writeln!(input, "{line}");
            let _ = input.flush();
        }
    }

    fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// An entry of the system.
struct Entry {
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    _process: Process,
    /// Collects what the process logs to its standard output.
    collector: Process,
}

struct Deployment {
    store: Store,
    record: Record,
    folder: PathBuf,
    trouble: bool,
    sent: Arc<AtomicU64>,
}

fn free_port(ip: Ipv4Addr) -> SocketAddr {
    // The port for peers is used by TCP and UDP.
    loop {
        let Ok(tcp) = TcpListener::bind((ip, 0)) else {
            continue;
        };
        let address = tcp.local_addr().expect("it is bound");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Deployment {
    fn note(&self, text: String) {
        let line = Line {
            at: epoch_ms(),
            text,
        };
        self.record.lock().expect("no panic").push(line);
    }

    fn start_runner(
        &self,
        id: &str,
        address: SocketAddr,
        zone: &str,
        deadly: Option<&str>,
    ) -> Process {
        let mut command = Command::new(env::current_exe().expect("it runs"));
        command.args([
            "runner",
            id,
            &address.to_string(),
            zone,
            &self.store.address.to_string(),
        ]);
        command.args(deadly);
        let started = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = started.expect("it starts");
        let output = child.stdout.take().expect("it is piped");
        let record = self.record.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let (at, text) = line.split_once(' ').unwrap_or(("0", ""));
                let at = at.parse().unwrap_or_else(|_| epoch_ms());
                let text = format!("runner {text}");
                record.lock().expect("no panic").push(Line { at, text });
            }
        });
        let input = child.stdin.take();
        Process { child, input }
    }

    fn start_entry(&self, number: u8, zone: &str, region: &str) -> Entry {
        let name = format!("edge-{zone}-{number}");
        let ip = Ipv4Addr::new(127, 0, 2, number);
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_port(ip));
        let port = peers.port();
        let settings = format!(
            r#"nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
portRange = [{port},{port}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
[zones]
gulf-coast-a = "gulf-coast"
hill-country-a = "hill-country"
panhandle-a = "panhandle"
[listen]
frontend = "{callers}"
readiness = "{readiness}"
[limits]
cpuShare = 0.17
cores = 1
memoryMb = 182
maxFds = 2870
linkMbps = 700.0
diskMb = 0
[bounds]
stableWindowMs = {STABLE_WINDOW_MS}
drainMs = {DRAIN_MS}
graceS = 8
configApplyMs = {CONFIG_APPLY_MS}
outerMs = {OUTER_MS}
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBurst = 234
version_ms = 8000
[platform]
address = "{}"
form = "table"
writesPerS = 400
readsPerS = 2000
"#,
            self.store.address
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the folder can be written");
        let log =
            fs::File::create(self.folder.join(format!("{name}.log"))).expect("it can be created");
        let mut child = Command::new("target/release/snipewinch-node")
            .env("SNIPEWINCH_BOOT", &path)
            .env("SNIPEWINCH_METRICS_PORT", metrics.port().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("target/release/snipewinch-node is built");
        let output = child.stdout.take().expect("it is piped");
        let collector = Command::new("cat")
            .stdin(output)
            .stdout(log)
            .spawn()
            .expect("cat starts");
        let process = Process { child, input: None };
        let collector = Process {
            child: collector,
            input: None,
        };
        Entry {
            name,
            callers,
            readiness,
            _process: process,
            collector,
        }
    }

    /// Sends a request in a thread of its own and records what became of it.
    fn send(&self, entry: &Entry, method: &str, path: &str, key: &str, body: &str) {
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        let attempt = format!("c{number:07}");
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let request = format!(
            "{method} {path}{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nApi-Key: {key}\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n{length}\r\n{body}"
        );
        let request = match body.is_empty() {
            true => request,
            // The same request comes again: its path has no number.
            false => request.replacen(&format!("{path}{attempt}"), path, 1),
        };
        let (record, callers, name, key) = (
            self.record.clone(),
            entry.callers,
            entry.name.clone(),
            key.to_owned(),
        );
        thread::spawn(move || {
            let at = epoch_ms();
            let line = Line {
                at,
                text: format!("client sent {attempt} {name} {key}"),
            };
            record.lock().expect("no panic").push(line);
            let text = match exchange(callers, request.as_bytes(), millis(4_000)) {
                Ok(answer) => format!(
                    "client got {attempt} {name} {key} {} leaving={} by={}",
                    answer.status(),
                    answer.field("server-leaving").unwrap_or("0"),
                    answer.field("x-server-signature").unwrap_or("the entry")
                ),
                Err(error) => format!("client got {attempt} {name} {key} nothing: {error}"),
            };
            record.lock().expect("no panic").push(Line {
                at: epoch_ms(),
                text,
            });
        });
    }

    fn lines(&self) -> Vec<Line> {
        let mut lines = self.record.lock().expect("no panic").clone();
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// Writes the record and says how the case ended.
    fn finish(
        &self,
        began: u64,
        file: &Path,
        broken: usize,
        allowed: usize,
        what: &str,
    ) -> ExitCode {
        let verdict = match broken > allowed {
            true => format!("BROKEN: {broken} {what}, {allowed} are allowed"),
            false => format!("held: {broken} {what}, {allowed} are allowed"),
        };
        let mut text = String::new();
        for line in self.lines() {
            let seconds = line.at.saturating_sub(began) as f64 / 1e3;
            text.push_str(&format!("{seconds:9.3} {}\n", line.text));
        }
        text.push_str(&format!("{verdict}\n"));
        println!("{verdict}");
        if fs::write(file, text).is_err() {
            return ExitCode::from(2);
        }
        match broken > allowed {
            true => ExitCode::from(1),
            false => ExitCode::SUCCESS,
        }
    }
}

fn is_ready(entry: &Entry) -> bool {
    let request = b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    exchange(entry.readiness, request, millis(500)).is_ok_and(|answer| answer.status() == 200)
}

/// The configuration; `keys` are those of the one tenant. The service `closed`
/// has no runner.
fn configuration(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, kind: &str, attempts: u32, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"routeKind\":\"{kind}\",\"timeoutMs\":{TIMEOUT_MS},\"goalMs\":300,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false}}"
        )
    };
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"maxConns\":248}},{{\"name\":\"closed\",\"maxConns\":108}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"archive\",\"apiKeys\":[{}]}}]}}",
        route("lookup", "idempotent", 2, SERVICE),
        route("grant", "non_idempotent", 1, SERVICE),
        route("closed", "idempotent", 2, "closed"),
        keys.join(",")
    )
}

const ZONES: [(&str, &str); 3] = [
    ("gulf-coast-a", "gulf-coast"),
    ("hill-country-a", "hill-country"),
    ("panhandle-a", "panhandle"),
];

/// Waits until all entries are ready; false if they are not in time.
fn wait_ready(entries: &[Entry]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if entries.iter().all(is_ready) {
            return true;
        }
        sleep(millis(50));
    }
    false
}

fn runner_address(number: u8) -> SocketAddr {
    free_port(Ipv4Addr::new(127, 0, 3, number))
}

/// The words of a line after a prefix.
fn words<'a>(line: &'a Line, prefix: &str) -> Option<Vec<&'a str>> {
    let rest = line.text.strip_prefix(prefix)?;
    Some(rest.split_whitespace().collect())
}

/// Which client attempts were run, with the runner and the time.
fn runs(lines: &[Line]) -> BTreeMap<String, (u64, String)> {
    let mut found = BTreeMap::new();
    for line in lines {
        if let Some(words) = words(line, "runner ran ") {
            found.insert(words[1].to_owned(), (line.at, words[0].to_owned()));
        }
    }
    found
}

// ---------------------------------------------------------------- case: key

/// A key is withdrawn just after the store came back from a copy.
fn withdrawn_key(deployment: &Deployment, file: &Path) -> ExitCode {
    let began = epoch_ms();
    deployment
        .store
        .put("op", "config", &configuration(1, &["kept", "withdrawn"]));
    let _runners: Vec<Process> = (0..3)
        .map(|index| {
            let (zone, _) = ZONES[index as usize];
            deployment.start_runner(
                &format!("desk-{index}"),
                runner_address(index + 1),
                zone,
                None,
            )
        })
        .collect();
    // The model runners of the site. No request goes to them here; they write
    // their entries like all runners.
    let store = deployment.store.address;
    for index in 0..12_u64 {
        thread::spawn(move || {
            sleep(millis(index * HEARTBEAT_MS / 12));
            let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 4, index as u8 + 1)), 9);
            let (zone, _) = ZONES[index as usize % 3];
            for seq in 1.. {
                let text = entry_text("verse-engine", address, zone, 16, began, seq);
                write_entry(store, &format!("engine-{index}"), &text);
                sleep(millis(HEARTBEAT_MS));
            }
        });
    }
    sleep(millis(1_000));
    // Started in turn, so that they do not ask the store at the same moments.
    let entries: Vec<Entry> = (0..6_u8)
        .map(|index| {
            let (zone, region) = ZONES[usize::from(index) % 3];
            sleep(millis(600));
            deployment.start_entry(index + 1, zone, region)
        })
        .collect();
    if !wait_ready(&entries) {
        return ExitCode::from(2);
    }
    let traffic = |length: u64| {
        let until = Instant::now() + millis(length);
        while Instant::now() < until {
            for entry in &entries {
                deployment.send(entry, "GET", "/lookup/", "kept", "");
                deployment.send(entry, "GET", "/lookup/", "withdrawn", "");
            }
            sleep(millis(200));
        }
    };
    traffic(12_000);
    if deployment.trouble {
        deployment.note(format!(
            "store goes away at version {}",
            deployment.store.version()
        ));
        deployment
            .store
            .drill(Away::Silent, millis(1_000), millis(2_500));
        deployment.note(format!(
            "store is back at version {}",
            deployment.store.version()
        ));
    }
    traffic(300);
    let acknowledged = deployment
        .store
        .put("op", "config", &configuration(2, &["kept"]));
    deployment.note(format!(
        "operator withdrew the key, version {} of the store",
        deployment.store.version()
    ));
    traffic(20_000);
    sleep(millis(2_000));
    // The bound of configuration, with what an unstable store may add.
    let due = acknowledged + CONFIG_APPLY_MS + OUTER_MS;
    let lines = deployment.lines();
    let runs = runs(&lines);
    let late = lines
        .iter()
        .filter(|line| line.at > due)
        .filter_map(|line| words(line, "client sent "));
    let broken = late
        .filter(|words| words[2] == "withdrawn" && runs.contains_key(words[0]))
        .count();
    deployment.finish(began, file, broken, 0, "requests ran with the withdrawn key, sent later than configApplyMs + outerMs after the acknowledgement")
}

// ---------------------------------------------------------------- case: left

/// A runner has left the list, and the store comes back from a copy in which it
/// is listed.
fn left_runner(deployment: &Deployment, file: &Path) -> ExitCode {
    let began = epoch_ms();
    deployment
        .store
        .put("op", "config", &configuration(1, &["kept"]));
    let mut runners: Vec<Process> = (0..4)
        .map(|index| {
            let (zone, _) = ZONES[index as usize % 3];
            deployment.start_runner(
                &format!("desk-{index}"),
                runner_address(index + 1),
                zone,
                None,
            )
        })
        .collect();
    sleep(millis(1_000));
    // All in the zone of the runner that leaves, started in turn.
    let entries: Vec<Entry> = (0..7_u8)
        .map(|index| {
            sleep(millis(250));
            deployment.start_entry(index + 1, ZONES[0].0, ZONES[0].1)
        })
        .collect();
    if !wait_ready(&entries) {
        return ExitCode::from(2);
    }
    let traffic = |length: u64| {
        let until = Instant::now() + millis(length);
        while Instant::now() < until {
            for entry in &entries {
                deployment.send(entry, "GET", "/lookup/", "kept", "");
            }
            sleep(millis(100));
        }
    };
    traffic(7_000);
    // It never reports `draining`: its entry is removed, and it serves on.
    runners[3].tell("leaving");
    traffic(7_000);
    if deployment.trouble {
        deployment.note(format!(
            "store goes away at version {}",
            deployment.store.version()
        ));
        let away = thread::spawn({
            let store = deployment.store.clone();
            move || store.drill(Away::Closed, millis(500), millis(5_000))
        });
        traffic(500);
        let _ = away.join();
        deployment.note(format!(
            "store is back at version {}",
            deployment.store.version()
        ));
    }
    traffic(5_000);
    runners.pop();
    sleep(millis(2_000));
    let lines = deployment.lines();
    let runs = runs(&lines);
    let mut broken = 0;
    for entry in &entries {
        let passed_on = lines.iter().find(|line| {
            words(line, "client got ")
                .is_some_and(|words| words[1] == entry.name && words.contains(&"leaving=1"))
        });
        let Some(passed_on) = passed_on else {
            continue;
        };
        let due = passed_on.at + DRAIN_MS;
        let late = lines
            .iter()
            .filter(|line| line.at > due)
            .filter_map(|line| words(line, "client sent "));
        broken += late
            .filter(|words| words[1] == entry.name)
            .filter(|words| {
                runs.get(words[0])
                    .is_some_and(|(_, runner)| runner == "desk-3")
            })
            .count();
    }
    deployment.finish(began, file, broken, 0, "requests reached the runner that had left, sent later than drainMs after their machine had passed on that it leaves")
}

// ---------------------------------------------------------------- case: id

/// A request crashes the runner that runs it, which starts again under its id.
fn same_id(deployment: &Deployment, file: &Path) -> ExitCode {
    const DEADLY: &str = "deadly";
    let began = epoch_ms();
    deployment
        .store
        .put("op", "config", &configuration(1, &["kept"]));
    let addresses: Vec<SocketAddr> = (1..=3).map(runner_address).collect();
    let deadly = deployment.trouble.then_some(DEADLY);
    let start = |index: usize| {
        let (zone, _) = ZONES[index];
        deployment.start_runner(&format!("desk-{index}"), addresses[index], zone, deadly)
    };
    let mut runners: Vec<Process> = (0..3).map(start).collect();
    sleep(millis(1_000));
    let entries: Vec<Entry> = (0..2_u8)
        .map(|index| deployment.start_entry(index + 1, ZONES[0].0, ZONES[0].1))
        .collect();
    if !wait_ready(&entries) {
        return ExitCode::from(2);
    }
    let mut down: Vec<(usize, Instant)> = Vec::new();
    for step in 0..500_usize {
        for entry in &entries {
            deployment.send(entry, "POST", "/grant/", "kept", "");
        }
        // Every five seconds the request comes again, at either machine.
        if step % 50 == 40 {
            deployment.send(&entries[step / 50 % 2], "POST", "/grant/", "kept", DEADLY);
        }
        sleep(millis(100));
        for (index, runner) in runners.iter_mut().enumerate() {
            if runner.has_ended() && down.iter().all(|(one, _)| *one != index) {
                down.push((index, Instant::now()));
            }
        }
        down.retain(|(index, since)| {
            let is_down = since.elapsed() < millis(2_000);
            if !is_down {
                runners[*index] = start(*index);
            }
            is_down
        });
    }
    sleep(millis(2_000));
    let lines = deployment.lines();
    let crashes: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text.starts_with("runner crashes "))
        .collect();
    let due = crashes
        .get(2)
        .map_or(u64::MAX, |third| third.at + STABLE_WINDOW_MS);
    let is_deadly =
        |line: &&Line| line.text.starts_with("runner ran ") && line.text.ends_with(" POST /grant/");
    let broken = lines
        .iter()
        .filter(|line| line.at > due)
        .filter(is_deadly)
        .count();
    let lost = lines
        .iter()
        .filter(|line| line.text.starts_with("client got ") && line.text.contains(" 502 "))
        .count();
    deployment.note(format!(
        "{} crashes; {lost} requests, the deadly ones among them, were broken off",
        crashes.len()
    ));
    deployment.finish(began, file, broken, 3, "times the request reached runners later than stableWindowMs after it had crashed the third")
}

// ---------------------------------------------------------------- case: lost

/// The answers of the store that tell of a withdrawn key are lost.
fn lost_answer(deployment: &Deployment, file: &Path) -> ExitCode {
    let began = epoch_ms();
    deployment
        .store
        .put("op", "config", &configuration(1, &["kept", "withdrawn"]));
    let _runners: Vec<Process> = (0..3)
        .map(|index| {
            let (zone, _) = ZONES[index as usize];
            deployment.start_runner(
                &format!("desk-{index}"),
                runner_address(index + 1),
                zone,
                None,
            )
        })
        .collect();
    sleep(millis(1_000));
    // Started in turn, so that they do not ask the store at the same moments.
    let entries: Vec<Entry> = (0..9_u8)
        .map(|index| {
            let (zone, region) = ZONES[usize::from(index) % 3];
            sleep(millis(400));
            deployment.start_entry(index + 1, zone, region)
        })
        .collect();
    if !wait_ready(&entries) {
        return ExitCode::from(2);
    }
    let traffic = |length: u64| {
        let until = Instant::now() + millis(length);
        while Instant::now() < until {
            for entry in &entries {
                deployment.send(entry, "GET", "/lookup/", "kept", "");
                deployment.send(entry, "GET", "/lookup/", "withdrawn", "");
            }
            sleep(millis(200));
        }
    };
    traffic(15_000);
    let share = if deployment.trouble { LOST_SHARE } else { 0.0 };
    let (acknowledged, lost) =
        deployment
            .store
            .put_half_heard("op", "config", &configuration(2, &["kept"]), share);
    deployment.note(format!(
        "operator withdrew the key; {lost} answers are lost"
    ));
    sleep(millis(50));
    let calm = epoch_ms();
    traffic(8_000);
    sleep(millis(2_000));
    // All machines are in touch again stableWindowMs after the last lost answer.
    let due = (acknowledged + CONFIG_APPLY_MS).max(calm + STABLE_WINDOW_MS);
    let lines = deployment.lines();
    let runs = runs(&lines);
    let late = lines
        .iter()
        .filter(|line| line.at > due)
        .filter_map(|line| words(line, "client sent "));
    let broken = late
        .filter(|words| words[2] == "withdrawn" && runs.contains_key(words[0]))
        .count();
    deployment.finish(began, file, broken, 0, "requests ran with the withdrawn key, sent later than configApplyMs after the acknowledgement by machines in touch")
}

// ---------------------------------------------------------------- case: odd

/// A host of the users that is no runner: it answers 404 to all that it doesn't
/// know.
fn spawn_web_server(record: Record) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 5, 1), 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    let attempt = request.field("x-attempt-id").unwrap_or("-");
                    let text = format!("web server got {attempt} {}", request.start);
                    record.lock().expect("no panic").push(Line {
                        at: epoch_ms(),
                        text,
                    });
                    let answer = encode_answer(
                        404,
                        &[("Content-Type", "text/plain".to_owned())],
                        b"not found",
                    );
                    if writer.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Another writer leaves an entry with missing fields among those of the
/// runners.
fn odd_entry(deployment: &Deployment, file: &Path) -> ExitCode {
    let began = epoch_ms();
    deployment
        .store
        .put("op", "config", &configuration(1, &["kept"]));
    let _runners: Vec<Process> = (0..3)
        .map(|index| {
            let (zone, _) = ZONES[index as usize];
            deployment.start_runner(
                &format!("desk-{index}"),
                runner_address(index + 1),
                zone,
                None,
            )
        })
        .collect();
    let web_server = spawn_web_server(deployment.record.clone());
    sleep(millis(1_000));
    let entries: Vec<Entry> = (0..3_u8)
        .map(|index| {
            let (zone, region) = ZONES[usize::from(index)];
            deployment.start_entry(index + 1, zone, region)
        })
        .collect();
    if !wait_ready(&entries) {
        return ExitCode::from(2);
    }
    for step in 0..250 {
        if step == 50 && deployment.trouble {
            // `version`, `slots`, `coldLeftMs` and `seq` are missing.
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{web_server}\",\"zone\":\"{}\",\"state\":\"ready\"}}",
                ZONES[0].0
            );
            deployment.store.put("servers", "other-writer", &entry);
            deployment.note(format!("another writer left an entry: {entry}"));
        }
        for entry in &entries {
            deployment.send(entry, "POST", "/grant/", "kept", "");
        }
        sleep(millis(100));
    }
    sleep(millis(2_000));
    let lines = deployment.lines();
    let answers: Vec<Vec<&str>> = lines
        .iter()
        .filter_map(|line| words(line, "client got "))
        .collect();
    let is_denied = |words: &&Vec<&str>| {
        let is_own = words.join(" ").contains("by=the entry");
        words[3].starts_with('4') && !["408", "421", "429"].contains(&words[3]) && is_own
    };
    let denied = answers.iter().filter(is_denied).count();
    deployment.finish(
        began,
        file,
        denied,
        5 + answers.len() / 500,
        "proper requests ended with a 4xx without a runner's signature",
    )
}

// ---------------------------------------------------------------- case: log

/// What collects the logs of one entry stands still for a while.
fn stalled_log(deployment: &Deployment, file: &Path) -> ExitCode {
    let began = epoch_ms();
    deployment
        .store
        .put("op", "config", &configuration(1, &["kept"]));
    let _runners: Vec<Process> = (0..3)
        .map(|index| {
            let (zone, _) = ZONES[index as usize];
            deployment.start_runner(
                &format!("desk-{index}"),
                runner_address(index + 1),
                zone,
                None,
            )
        })
        .collect();
    sleep(millis(1_000));
    let entries: Vec<Entry> = (0..3_u8)
        .map(|index| {
            let (zone, region) = ZONES[usize::from(index)];
            deployment.start_entry(index + 1, zone, region)
        })
        .collect();
    if !wait_ready(&entries) {
        return ExitCode::from(2);
    }
    for step in 0..600 {
        if step == 40 && deployment.trouble {
            deployment.note(format!(
                "the collector of the logs of {} stands still",
                entries[0].name
            ));
            entries[0].collector.signal("-STOP");
        }
        if step == 560 && deployment.trouble {
            deployment.note(format!(
                "the collector of the logs of {} goes on",
                entries[0].name
            ));
            entries[0].collector.signal("-CONT");
        }
        for entry in &entries {
            deployment.send(entry, "GET", "/lookup/", "kept", "");
            // Each of these leaves a line in the log.
            deployment.send(entry, "GET", "/closed/", "kept", "");
            deployment.send(entry, "GET", "/lookup/", "of-nobody", "");
        }
        sleep(millis(100));
    }
    sleep(millis(5_000));
    let lines = deployment.lines();
    let mut answered: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &lines {
        if let Some(words) = words(line, "client got ").filter(|words| !words.contains(&"nothing:"))
        {
            answered.insert(words[0], line.at);
        }
    }
    let sent = lines
        .iter()
        .filter_map(|line| Some((line.at, words(line, "client sent ")?)));
    let took = sent.map(|(at, words)| answered.get(words[0]).map_or(u64::MAX, |until| until - at));
    let long: Vec<u64> = took.filter(|took| *took > TIMEOUT_MS).collect();
    let unanswered = long.iter().filter(|took| **took > TIMEOUT_MS + 500).count();
    deployment.note(format!("{} requests lasted longer than timeoutMs, {unanswered} of them had no answer 0.5 s after it", long.len()));
    // Fewer than eight, or a quarter of them.
    let allowed = (long.len() / 4).max(7);
    deployment.finish(
        began,
        file,
        unanswered,
        allowed,
        "requests had no final answer 0.5 s after their route's timeoutMs",
    )
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|first| first == "runner") {
        return run_runner(&args[1..]);
    }
    let [case, folder, file] = args.as_slice() else {
        eprintln!("standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let deployment = Deployment {
        store: Store::spawn(Ipv4Addr::new(127, 0, 1, 1)),
        record: Record::default(),
        folder: folder.into(),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
        sent: Arc::default(),
    };
    let file = Path::new(file);
    match case.as_str() {
        "withdrawn-key" => withdrawn_key(&deployment, file),
        "left-runner" => left_runner(&deployment, file),
        "same-id" => same_id(&deployment, file),
        "odd-entry" => odd_entry(&deployment, file),
        "stalled-log" => stalled_log(&deployment, file),
        "lost-answer" => lost_answer(&deployment, file),
        _ => ExitCode::from(2),
    }
}
