//! Stand-ins for the platform's store, runners, links and clients, and the cases of
//! the third review that are scripts. Each case starts the entry with the command of
//! the deploy file and checks one rule by what clients and runners have seen.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::process::exit;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;
/// The longest time that a case may run.
const TIME_MAX: Duration = Duration::from_secs(115);
const SIGKILL: i32 = 9;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

type Shared<T> = Arc<Mutex<T>>;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn epoch_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, written to `record.txt` at the end.
struct Record {
    started: Instant,
    path: PathBuf,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn note(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}", line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    fn finish(&self, code: i32, verdict: &str) -> ! {
        self.note(verdict);
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let _ = fs::write(&self.path, lines.join("\n") + "\n");
        println!("{verdict}");
        exit(code)
    }
}

/// A small generator of random numbers (xorshift).
struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

// ---------------------------------------------------------------- messages

/// A message with its body, of a request or an answer.
#[derive(Clone, Debug, Default)]
struct Message {
    line: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    is_whole: bool,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message; none if the connection ends before its head is whole.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut block = [0; 65_536];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut block) {
            Ok(count @ 1..) => buffer.extend_from_slice(&block[..count]),
            Ok(_) | Err(_) => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().into(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.trim().to_owned(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    let length = message.field("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut block) {
            Ok(count @ 1..) => buffer.extend_from_slice(&block[..count]),
            Ok(_) | Err(_) => break,
        }
    }
    message.is_whole = buffer.len() >= length;
    let length = length.min(buffer.len());
    message.body = buffer.drain(..length).collect();
    Some(message)
}

fn encode(line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{line}\r\n");
    for (name, value) in fields {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves each connection in a thread of its own; `answer` returns none to close it.
fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Message, &mut TcpStream) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(message) = read_message(&mut stream, &mut buffer) {
                    if !message.is_whole {
                        return;
                    }
                    let Some(bytes) = answer(&message, &mut stream) else {
                        return;
                    };
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        Json::value(&chars, &mut 0)
    }

    fn skip(chars: &[char], at: &mut usize) -> char {
        while chars
            .get(*at)
            .is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':')
        {
            *at += 1;
        }
        chars.get(*at).copied().unwrap_or('\0')
    }

    fn value(chars: &[char], at: &mut usize) -> Json {
        match Json::skip(chars, at) {
            '{' => {
                *at += 1;
                let mut object = BTreeMap::new();
                while !matches!(Json::skip(chars, at), '}' | '\0') {
                    let Json::Text(name) = Json::value(chars, at) else {
                        break;
                    };
                    object.insert(name, Json::value(chars, at));
                }
                *at += 1;
                Json::Object(object)
            }
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                while !matches!(Json::skip(chars, at), ']' | '\0') {
                    list.push(Json::value(chars, at));
                }
                *at += 1;
                Json::List(list)
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                while let Some(c) = chars.get(*at).filter(|c| **c != '"') {
                    if *c == '\\' {
                        *at += 1;
                    }
                    text.extend(chars.get(*at));
                    *at += 1;
                }
                *at += 1;
                Json::Text(text)
            }
            _ => {
                let start = *at;
                while chars
                    .get(*at)
                    .is_some_and(|c| !matches!(c, ',' | '}' | ']'))
                {
                    *at += 1;
                }
                let text: String = chars[start..(*at).min(chars.len())].iter().collect();
                *at = (*at).max(start + 1);
                text.trim().parse().map_or(Json::Null, Json::Number)
            }
        }
    }

    fn get(&self, name: &str) -> Json {
        match self {
            Json::Object(object) => object.get(name).cloned().unwrap_or(Json::Null),
            _ => Json::Null,
        }
    }

    fn list(&self) -> Vec<Json> {
        match self {
            Json::List(list) => list.clone(),
            _ => Vec::new(),
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

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let sum = part
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let sum = sum << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = BASE64[(sum >> (18 - 6 * index)) as usize & 63] as char;
            out.push(if index <= part.len() { digit } else { '=' });
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| BASE64.iter().position(|one| *one == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut out = Vec::new();
    for part in digits.chunks(4) {
        let sum = part.iter().fold(0, |sum, digit| sum << 6 | digit);
        let sum = sum << (6 * (4 - part.len()));
        let bytes = [(sum >> 16) as u8, (sum >> 8) as u8, sum as u8];
        out.extend_from_slice(&bytes[..part.len().saturating_sub(1)]);
    }
    out
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------- the store

type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowId, (Option<Vec<u8>>, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Of how many writes of rows, and of objects, one is done and not answered; 0 if
    /// none is lost.
    lost_one_of: u64,
    /// How many writes of rows and of objects have come since then.
    writes: [u64; 2],
}

#[derive(Clone, Default)]
struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    /// Starts a store; its address.
    fn spawn(record: Arc<Record>) -> (Store, SocketAddr) {
        let store = Store::default();
        let (listener, address) = listen();
        let shared = store.clone();
        serve(listener, move |call, _| shared.answer(call, &record));
        (store, address)
    }

    fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        let row = (value.map(|text| text.as_bytes().to_vec()), rows.version);
        rows.rows.insert(id, row);
        changed.notify_all();
    }

    /// Loses the answer of one in `one_of` writes from now on; of none if it is 0.
    fn lose_answers(&self, one_of: u64) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.lost_one_of = one_of;
        rows.writes = [0; 2];
    }

    fn answer(&self, call: &Message, record: &Record) -> Option<Vec<u8>> {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(found, _)| *found == name);
            found.map_or(String::new(), |(_, value)| decode_percent(value))
        };
        let is_write = call.word(0) != "GET";
        let (status, body) = match path {
            "/rows-get" => (200, self.get(parameter)),
            "/rows-feed" => self.feed(parameter),
            "/rows-tx" => self.transact(&Json::parse(&String::from_utf8_lossy(&call.body))),
            path => self.object(call.word(0), path, &call.body),
        };
        // As the platform does: a call takes some milliseconds, one of an object more.
        sleep(millis(if path.starts_with("/blob") { 25 } else { 4 }));
        if path.starts_with("/blob") {
            record.note(format!("store: {} {path} {status}", call.word(0)));
        }
        let is_lost = is_write && {
            let mut rows = self.rows.0.lock().unwrap();
            let one_of = rows.lost_one_of;
            let count = &mut rows.writes[usize::from(path.starts_with("/blob"))];
            *count += 1;
            one_of > 0 && *count % one_of == 0
        };
        if is_lost {
            record.note(format!(
                "the store does {} {path} and does not answer",
                call.word(0)
            ));
            // The connection stays open and delivers nothing further.
            sleep(TIME_MAX);
            return None;
        }
        let fields = [("Content-Type", "application/json"), ("Store-Era", "1")];
        Some(encode(&format!("HTTP/1.1 {status} X"), &fields, &body))
    }

    fn get(&self, parameter: impl Fn(&str) -> String) -> Vec<u8> {
        let rows = self.rows.0.lock().unwrap();
        let (table, part) = (parameter("table"), parameter("part"));
        let (from, until) = (parameter("from"), parameter("target"));
        let limit = parameter("limit").parse().unwrap_or(500).min(500);
        let all = rows.rows.iter().filter(|(id, row)| {
            let is_within = id.2 >= from && (until.is_empty() || id.2 < until);
            id.0 == table && id.1 == part && is_within && row.0.is_some()
        });
        let all: Vec<String> = all.map(|(id, row)| row_json(id, row)).collect();
        let more = all.len() > limit;
        rows_json(&all[..all.len().min(limit)], rows.version, more)
    }

    fn feed(&self, parameter: impl Fn(&str) -> String) -> (u16, Vec<u8>) {
        let table = parameter("table");
        let since: u64 = parameter("sinceRev").parse().unwrap_or(0);
        let wait: u64 = parameter("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + millis(wait.min(30_000));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let found = rows.rows.iter();
            let found = found.filter(|(id, row)| id.0 == table && row.1 > since);
            let mut found: Vec<_> = found.collect();
            found.sort_by_key(|(_, row)| row.1);
            let found: Vec<String> = found.iter().map(|(id, row)| row_json(id, row)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return (200, rows_json(&found, rows.version, false));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Json) -> (u16, Vec<u8>) {
        let id = |one: &Json| {
            let part = |name: &str| one.get(name).text();
            (part("table"), part("part"), part("key"))
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let conditions = call.get("expectedRev").list();
        let version_of = |rows: &Rows, id: &RowId| {
            let row = rows.rows.get(id).filter(|row| row.0.is_some());
            row.map_or(0, |row| row.1)
        };
        let mut checked = conditions.iter();
        if checked.any(|one| version_of(&rows, &id(one)) != one.get("ver").number()) {
            let found = conditions.iter().filter_map(|one| {
                let id = id(one);
                let row = rows.rows.get(&id).filter(|row| row.0.is_some())?;
                Some(row_json(&id, row))
            });
            let found: Vec<String> = found.collect();
            return (412, rows_json(&found, rows.version, false));
        }
        rows.version += 1;
        let version = rows.version;
        for one in call.get("writes").list() {
            let value = from_base64(&one.get("value").text());
            rows.rows.insert(id(&one), (Some(value), version));
        }
        for one in call.get("delete").list() {
            rows.rows.insert(id(&one), (None, version));
        }
        changed.notify_all();
        (200, rows_json(&[], version, false))
    }

    fn object(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let name = path.rsplit('/').next().unwrap_or_default().to_owned();
        let mut rows = self.rows.0.lock().unwrap();
        match method {
            "PUT" if rows.objects.contains_key(&name) => (412, b"{}".to_vec()),
            "PUT" => {
                rows.objects.insert(name, body.to_vec());
                (200, b"{}".to_vec())
            }
            "DELETE" => {
                rows.objects.remove(&name);
                (200, b"{}".to_vec())
            }
            _ => match rows.objects.get(&name) {
                Some(object) => (200, object.clone()),
                None => (404, b"{}".to_vec()),
            },
        }
    }
}

fn row_json(id: &RowId, row: &(Option<Vec<u8>>, u64)) -> String {
    let value = match &row.0 {
        Some(value) => format!("\"value\":\"{}\"", to_base64(value)),
        None => "\"deleted\":true".into(),
    };
    let (table, part, key) = id;
    let version = row.1;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},{value}}}"
    )
}

fn rows_json(rows: &[String], version: u64, more: bool) -> Vec<u8> {
    let rows = rows.join(",");
    let now = epoch_ms();
    format!("{{\"rows\":[{rows}],\"ver\":{version},\"nowMs\":{now},\"hasMore\":{more}}}")
        .into_bytes()
}

// ---------------------------------------------------------------- the operator and the list

fn route(name: &str, kind: &str, timeout_ms: u32, attempts: u32) -> String {
    format!(
        r#"{{"name":"{name}","host":"songs.example","prefix":"/{name}/","routeKind":"{kind}","timeoutMs":{timeout_ms},"goalMs":300,"priority":2,"service":"desk","maxAttempts":{attempts},"public":false}}"#
    )
}

fn configuration(version: u64, routes: &[String], keys: &[&str]) -> String {
    let routes = routes.join(",");
    let keys = keys.join("\",\"");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"desk","maxConns":248}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"archive","apiKeys":["{keys}"]}}]}}"#
    )
}

fn listed(address: SocketAddr, state: &str, born: u64, seq: u64) -> String {
    format!(
        r#"{{"service":"desk","address":"{address}","zone":"gulf-coast-a","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
    )
}

// ---------------------------------------------------------------- the entry

struct Entry {
    name: String,
    process: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
    directory: PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// The program of the role `entry` in the deploy file.
fn entry_program() -> Option<String> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let role = text.split("[roles.entry]").nth(1)?;
    let line = role.lines().find(|line| line.trim().starts_with("run"))?;
    let program = line.split('"').nth(1)?.to_owned();
    fs::metadata(&program).ok()?;
    Some(program)
}

impl Entry {
    fn start(name: &str, store: SocketAddr, record: &Record) -> Entry {
        let Some(program) = entry_program() else {
            record.finish(
                NOT_RUN,
                "not run: the program of the deploy file is not built",
            );
        };
        let ports: Vec<TcpListener> = (0..4).map(|_| listen().0).collect();
        let addresses: Vec<SocketAddr> =
            ports.iter().map(|one| one.local_addr().unwrap()).collect();
        let [callers, readiness, peers, metrics] = addresses[..] else {
            unreachable!()
        };
        drop(ports);
        let own = std::process::id();
        let directory = std::env::temp_dir().join(format!("snipewinch-review-{own}-{name}"));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let path = directory.join("local.toml");
        let port = peers.port();
        let settings = format!(
            r#"nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "gulf-coast-a"
region = "gulf-coast"
portRange = [{port},{port}]
heartbeatMs = 1200
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
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBurst = 234
recoverS = 12
version_ms = 8000
[platform]
address = "{store}"
form = "table"
"#
        );
        fs::write(&path, settings).expect("the settings file");
        let mut command = Command::new(&program);
        command
            .env("SNIPEWINCH_BOOT", &path)
            .env("SNIPEWINCH_METRICS_PORT", metrics.port().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        // It ends with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let Ok(process) = command.spawn() else {
            record.finish(NOT_RUN, "not run: the entry does not start");
        };
        let entry = Entry {
            name: name.into(),
            process,
            callers,
            readiness,
            directory,
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !entry.is_ready() {
            if Instant::now() > until {
                record.finish(NOT_RUN, "not run: the entry does not become ready");
            }
            sleep(millis(30));
        }
        record.note(format!("{name} is ready"));
        entry
    }

    fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(millis(500)));
        let _ = stream.write_all(request);
        let answer = read_message(&mut stream, &mut Vec::new());
        answer.is_some_and(|answer| answer.status() == 200)
    }

    fn signal(&self, signal: i32) {
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// The memory of the process, in MB.
    fn memory_mb(&self) -> f64 {
        let page = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let page = page.unwrap_or_default();
        let line = page.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1024.0
    }
}

// ---------------------------------------------------------------- clients

fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body: &[u8],
    close: bool,
) -> Vec<u8> {
    request_of("k1", method, path, id, deadline_ms, body, close)
}

/// The same with the key of the caller.
fn request_of(
    key: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body: &[u8],
    close: bool,
) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let connection = if close { "close" } else { "keep-alive" };
    let fields = [
        ("Host", "songs.example"),
        ("X-Attempt-Id", id),
        ("Api-Key", key),
        ("X-Deadline-Ms", &deadline),
        ("Connection", connection),
    ];
    encode(&format!("{method} {path} HTTP/1.1"), &fields, body)
}

/// Sends a request on a new connection; none if no whole answer comes.
fn ask(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.write_all(bytes).ok()?;
    read_message(&mut stream, &mut Vec::new()).filter(|answer| answer.is_whole)
}

fn status_of(answer: &Option<Message>) -> u16 {
    answer.as_ref().map_or(0, Message::status)
}

/// A sound runner that takes `work_ms` for each request; it notes in `runs` what it runs.
fn sound_runner(work_ms: u64, runs: Shared<Vec<String>>) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |request, _| {
        let id = request.field("X-Attempt-Id").unwrap_or_default().to_owned();
        runs.lock().unwrap().push(id.clone());
        sleep(millis(work_ms));
        let fields = [("X-Attempt-Id", id.as_str()), ("X-Server-Signature", "s")];
        Some(encode("HTTP/1.1 200 OK", &fields, b"served"))
    });
    address
}

/// Keeps rows of the list fresh, as runners do.
fn keep_listed(store: &Store, rows: Shared<BTreeMap<String, (SocketAddr, &'static str, u64)>>) {
    let store = store.clone();
    thread::spawn(move || {
        let mut seq = 1;
        loop {
            sleep(millis(1_200));
            seq += 1;
            for (id, (address, state, born)) in rows.lock().unwrap().clone() {
                store.put("servers", &id, Some(&listed(address, state, born, seq)));
            }
        }
    });
}

// ---------------------------------------------------------------- the cases

include!("standin-3/cases.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE RECORD");
        exit(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record {
        started: Instant::now(),
        path: record.into(),
        lines: Mutex::default(),
    });
    let shared = record.clone();
    thread::spawn(move || {
        sleep(TIME_MAX);
        shared.finish(NOT_RUN, "not run: the case took too long");
    });
    let (code, verdict) = match case.as_str() {
        "frozen" => frozen(&record, has_trouble),
        "lost" => lost(&record, has_trouble),
        "refused" => refused(&record, has_trouble),
        "late" => late(&record, has_trouble),
        "unborn" => unborn(&record, has_trouble),
        "memory" => memory(&record, has_trouble),
        _ => (NOT_RUN, "not run: there is no such case".to_owned()),
    };
    record.finish(code, &verdict)
}
