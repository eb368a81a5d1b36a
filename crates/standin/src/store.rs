//! The stand-in for the table store of the users' platform, with its published
//! calls: tables are read in pages, followed by a long-poll feed of changes and
//! written in conditional transactions.
//!
//! Tests run it in their own process and write rows directly, in place of the
//! operators and the backend servers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::bytes;
use crate::http::error;
use crate::http::json;
use crate::http::query_parameter;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::spawn;

/// Longest time that a feed request waits for changes.
const WAIT_MAX_MS: u64 = 30_000;
/// Largest number of rows in a page, and the default.
const PAGE_MAX: usize = 500;
/// Names the era of the store in all its answers.
const ERA_FIELD: &str = "Store-Era";
/// The part of a response that occupies the link at a time.
const SEGMENT_BYTES: usize = 16 << 10;

type RowId = (String, String);

/// A kind of call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Waits for changed rows.
    Feed,
    /// Deletes an object.
    ObjectDeletion,
    /// Reads an object.
    ObjectRead,
    /// Creates an object.
    ObjectWrite,
    /// Reads rows.
    Page,
    /// Writes rows.
    Transaction,
}

/// What becomes of a call beside its execution.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It is executed and answered so much later, as over a link that is held up towards
    /// the store.
    Delayed(Duration),
    /// It is executed at once and answered so much later, as to a host that stands still.
    Held(Duration),
    /// It is executed and never answered, as over a link that is cut one way.
    Lost,
    /// Its answer stops after the first part of the body.
    Stopped,
}

/// A fault of the next calls of a kind.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    call: Call,
    fault: Fault,
    left: usize,
}

#[derive(Clone, Debug)]
struct Row {
    /// None if the row was deleted.
    value: Option<Vec<u8>>,
    version: u64,
}

/// What a store held at a moment.
#[derive(Clone, Debug)]
pub struct Backup {
    version: u64,
    rows: BTreeMap<RowId, Row>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// How often the store was restored from a backup.
    restores: u64,
    rows: BTreeMap<RowId, Row>,
    /// Feeds that start before this version are refused, with 410.
    compacted: u64,
    down: bool,
    feed_stalled: bool,
    read_delay: Duration,
    /// The rate of the link over which all responses with rows and objects go, in bytes per
    /// second; `None` if it has no limit.
    link_bytes_per_s: Option<f64>,
    objects: BTreeMap<String, Bytes>,
    /// How many reads of rows, and of objects, are not answered from now on.
    lost_reads: usize,
    lost_objects: usize,
    /// How many transactions are executed later and never answered from now on.
    late_writes: usize,
    late_transactions: Vec<Transaction>,
    disturbances: Vec<Disturbance>,
    /// When the link has sent what was given to it.
    link_free: Option<Instant>,
    /// The bytes of all responses with rows and objects.
    bytes_sent: usize,
}

/// A table store; clones share its rows.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Condition>,
    #[serde(default)]
    writes: Vec<Write>,
    #[serde(default)]
    delete: Vec<Deletion>,
}

#[derive(Debug, Deserialize)]
struct Condition {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    table: String,
    key: String,
    value: String,
}

#[derive(Debug, Deserialize)]
struct Deletion {
    table: String,
    key: String,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// The I/O error if binding the address fails.
    pub async fn spawn(address: SocketAddr) -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        let bound = spawn(address, Arc::new(store.clone())).await?;
        Ok((store, bound))
    }

    /// Writes a row with a JSON value.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().into_bytes());
    }

    /// Writes a row with a value of raw bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) {
        self.state.lock().set(table, key, Some(value));
        self.changed.notify_waiters();
    }

    /// Deletes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.lock().set(table, key, None);
        self.changed.notify_waiters();
    }

    /// Compacts the history: feeds that start before the current version are
    /// refused, with 410.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted = state.version;
        drop(state);
        self.changed.notify_waiters();
    }

    /// What the store holds now, but for its objects.
    pub fn backup(&self) -> Backup {
        let state = self.state.lock();
        Backup {
            version: state.version,
            rows: state.rows.clone(),
        }
    }

    /// Goes back to a backup and begins a new era: what was written since is lost,
    /// and its versions are given out again. Objects stay. Polls in flight are never
    /// answered.
    pub fn restore(&self, backup: &Backup) {
        let mut state = self.state.lock();
        state.version = backup.version;
        state.rows = backup.rows.clone();
        state.restores += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// The value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        row.value.clone()
    }

    /// Answers every call with 503, or stops doing so.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
        self.changed.notify_waiters();
    }

    /// Never answers feed requests with a wait time, or stops doing so.
    pub fn set_feed_stalled(&self, feed_stalled: bool) {
        self.state.lock().feed_stalled = feed_stalled;
    }

    /// Delays pages that hold rows, as a congested link does.
    pub fn set_read_delay(&self, delay: Duration) {
        self.state.lock().read_delay = delay;
    }

    /// Sends all responses with rows and objects over one link of a rate, one segment after
    /// the other.
    pub fn set_link(&self, bytes_per_s: Option<f64>) {
        self.state.lock().link_bytes_per_s = bytes_per_s;
    }

    /// The bytes of all responses with rows and objects so far, also of those whose
    /// connection was closed before their end.
    pub fn bytes_sent(&self) -> usize {
        self.state.lock().bytes_sent
    }

    /// Never answers the next reads of pages that hold rows.
    pub fn lose_reads(&self, count: usize) {
        self.state.lock().lost_reads = count;
    }

    /// Never answers the next transactions, and executes them only when told to.
    pub fn delay_writes(&self, count: usize) {
        self.state.lock().late_writes = count;
    }

    /// Executes those transactions, in the order in which they came. Returns how many
    /// have taken effect.
    pub fn execute_late_writes(&self) -> usize {
        let late = std::mem::take(&mut self.state.lock().late_transactions);
        let executed = late.into_iter().map(|one| self.transact(one));
        let is_success = |answer: &Result<Response, Refusal>| matches!(answer, Ok(response) if response.status() == StatusCode::OK);
        executed.filter(is_success).count()
    }

    /// Disturbs the next `count` calls of a kind that come. Requests by which clients see
    /// whether the store answers do not count.
    pub fn disturb(&self, call: Call, count: usize, fault: Fault) {
        let left = count;
        let disturbance = Disturbance { call, fault, left };
        self.state.lock().disturbances.push(disturbance);
    }

    /// Ends all disturbances.
    pub fn end_disturbances(&self) {
        self.state.lock().disturbances.clear();
    }

    /// Never answers the next reads of objects.
    pub fn lose_objects(&self, count: usize) {
        self.state.lock().lost_objects = count;
    }

    /// Deletes all objects.
    pub fn drop_objects(&self) {
        self.state.lock().objects.clear();
    }

    /// Counts the bytes of a response, and sends it over the link.
    fn send(&self, body: Bytes) -> Response {
        let mut state = self.state.lock();
        state.bytes_sent += body.len();
        if state.link_bytes_per_s.is_none() {
            return bytes(StatusCode::OK, body);
        }
        drop(state);
        let store = self.clone();
        let segments = stream::unfold(body, move |mut rest| {
            let store = store.clone();
            async move {
                if rest.is_empty() {
                    return None;
                }
                let segment = rest.split_to(rest.len().min(SEGMENT_BYTES));
                sleep_until(store.reserve_link(segment.len())).await;
                Some((Ok::<_, io::Error>(Frame::data(segment)), rest))
            }
        });
        http::Response::new(StreamBody::new(segments).boxed_unsync())
    }

    /// Reserves the link for a segment, and returns when it has arrived.
    fn reserve_link(&self, length: usize) -> Instant {
        let mut state = self.state.lock();
        let rate = state.link_bytes_per_s.unwrap_or(f64::INFINITY);
        let free = state.link_free.unwrap_or_else(Instant::now);
        let sent = free.max(Instant::now()) + Duration::from_secs_f64(length as f64 / rate);
        state.link_free = Some(sent);
        sent
    }

    async fn dispatch(&self, request: Request) -> Result<Response, Refusal> {
        let fault = self.take_fault(&request);
        if let Some(Fault::Delayed(delay)) = fault {
            sleep(delay).await;
        }
        let response = self.execute(request).await;
        match (fault, response) {
            (Some(Fault::Held(delay)), response) => {
                sleep(delay).await;
                response
            }
            (Some(Fault::Lost), _) => std::future::pending().await,
            (Some(Fault::Stopped), Ok(response)) => stop_body(response).await,
            (Some(Fault::Delayed(_) | Fault::Stopped) | None, response) => response,
        }
    }

    /// The fault of a call, if it is disturbed.
    fn take_fault(&self, request: &Request) -> Option<Fault> {
        let call = Call::of(request)?;
        let mut state = self.state.lock();
        let mut disturbances = state.disturbances.iter_mut();
        let found = disturbances.find(|one| one.call == call && one.left > 0)?;
        found.left -= 1;
        Some(found.fault)
    }

    async fn execute(&self, request: Request) -> Result<Response, Refusal> {
        if self.state.lock().down {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "out of service"));
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/rows-get") => self.get(&request).await,
            (&Method::GET, "/rows-feed") => self.feed(&request).await,
            (&Method::POST, "/rows-tx") => {
                let transaction = read_json(request).await?;
                match self.delay_write(transaction) {
                    Some(transaction) => self.transact(transaction),
                    None => std::future::pending().await,
                }
            }
            (method, path) if path.starts_with("/blob-") => {
                let (method, path) = (method.clone(), path.to_owned());
                let body = read_body(request).await?;
                let is_read = method == Method::GET;
                if is_read && take_one(&mut self.state.lock().lost_objects) {
                    return std::future::pending().await;
                }
                Ok(self.object(&method, &path, body))
            }
            _ => Ok(error(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    /// Keeps a transaction if it is to be executed later, else returns it.
    fn delay_write(&self, transaction: Transaction) -> Option<Transaction> {
        let mut state = self.state.lock();
        if !take_one(&mut state.late_writes) {
            return Some(transaction);
        }
        state.late_transactions.push(transaction);
        None
    }

    fn object(&self, method: &Method, path: &str, body: Bytes) -> Response {
        let mut state = self.state.lock();
        let id = path.split('/').next_back().unwrap_or_default().to_owned();
        match (method, path.split('/').nth(1)) {
            (&Method::PUT, Some("blob-put")) if state.objects.contains_key(&id) => {
                error(StatusCode::PRECONDITION_FAILED, "the object exists")
            }
            (&Method::PUT, Some("blob-put")) => {
                state.objects.insert(id, body);
                json(StatusCode::OK, &json!({}))
            }
            (&Method::GET, Some("blob-get")) => match state.objects.get(&id).cloned() {
                Some(object) => {
                    drop(state);
                    self.send(object)
                }
                None => error(StatusCode::NOT_FOUND, "no such object"),
            },
            (&Method::DELETE, Some("blob-drop")) => {
                state.objects.remove(&id);
                json(StatusCode::OK, &json!({}))
            }
            _ => error(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn get(&self, request: &Request) -> Result<Response, Refusal> {
        let (response, delay) = self.page(request);
        sleep(delay).await;
        if !is_probe(request) && take_one(&mut self.state.lock().lost_reads) {
            return std::future::pending().await;
        }
        Ok(response)
    }

    /// A page of rows in the order of their keys, and the delay of the
    /// response.
    fn page(&self, request: &Request) -> (Response, Duration) {
        let table = query_parameter(request, "table").unwrap_or_default();
        let from = query_parameter(request, "from").unwrap_or_default();
        let limit = query_parameter(request, "limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(PAGE_MAX).min(PAGE_MAX);
        let state = self.state.lock();
        let found = state.rows.range((table.clone(), from)..);
        let mut found = found
            .take_while(|((of, _), _)| *of == table)
            .filter(|(_, row)| row.value.is_some());
        let rows: Vec<Value> = found
            .by_ref()
            .take(limit)
            .map(|(id, row)| row_json(id, row))
            .collect();
        let more = found.next().is_some();
        let delay = match rows.is_empty() {
            true => Duration::ZERO,
            false => state.read_delay,
        };
        let body = json!({"rows": rows, "hasMore": more, "ver": state.version, "nowMs": 0});
        drop(state);
        (self.send(body.to_string().into()), delay)
    }

    async fn feed(&self, request: &Request) -> Result<Response, Refusal> {
        let table = query_parameter(request, "table").unwrap_or_default();
        let parameter = |name| query_parameter(request, name).and_then(|text| text.parse().ok());
        let since: u64 = parameter("sinceRev").unwrap_or_default();
        let wait_ms: u64 = parameter("waitMs").unwrap_or_default().min(WAIT_MAX_MS);
        if wait_ms > 0 && self.state.lock().feed_stalled {
            return std::future::pending().await;
        }
        let wait_end = Instant::now() + Duration::from_millis(wait_ms);
        let restores = self.state.lock().restores;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.state.lock().restores != restores {
                return std::future::pending().await;
            }
            if let Some(response) = self.changes_since(&table, since, Instant::now() >= wait_end) {
                return Ok(response);
            }
            // The loop's next pass answers after a time-out.
            let _ = timeout_at(wait_end, changed).await;
        }
    }

    /// The changes of a table since a version; none if there are none yet and
    /// the wait has not timed out.
    fn changes_since(&self, table: &str, since: u64, timed_out: bool) -> Option<Response> {
        let state = self.state.lock();
        if state.down {
            return Some(error(StatusCode::SERVICE_UNAVAILABLE, "out of service"));
        }
        if since < state.compacted || since > state.version {
            return Some(error(StatusCode::GONE, "the history is gone"));
        }
        let changed = state
            .rows
            .iter()
            .filter(|((of, _), row)| of == table && row.version > since);
        let mut rows: Vec<_> = changed.collect();
        rows.sort_by_key(|(_, row)| row.version);
        let rows: Vec<Value> = rows
            .into_iter()
            .map(|(id, row)| row_json(id, row))
            .collect();
        let body = json!({"rows": rows, "ver": state.version, "nowMs": 0});
        drop(state);
        (timed_out || !rows.is_empty()).then(|| self.send(body.to_string().into()))
    }

    fn transact(&self, transaction: Transaction) -> Result<Response, Refusal> {
        let mut state = self.state.lock();
        let has_conflict = transaction
            .expected_rev
            .iter()
            .any(|condition| state.version_of(&condition.table, &condition.key) != condition.ver);
        if has_conflict {
            let ids = transaction
                .expected_rev
                .into_iter()
                .map(|condition| (condition.table, condition.key));
            let rows: Vec<Value> = ids
                .filter_map(|id| state.rows.get(&id).map(|row| row_json(&id, row)))
                .collect();
            let body = json!({"rows": rows, "ver": state.version, "nowMs": 0});
            return Ok(json(StatusCode::PRECONDITION_FAILED, &body));
        }
        for write in transaction.writes {
            let value = BASE64_STANDARD.decode(&write.value).unwrap_or_default();
            state.set(&write.table, &write.key, Some(value));
        }
        for deletion in transaction.delete {
            state.set(&deletion.table, &deletion.key, None);
        }
        let body = json!({"ver": state.version, "nowMs": 0});
        drop(state);
        self.changed.notify_waiters();
        Ok(json(StatusCode::OK, &body))
    }
}

impl Call {
    fn of(request: &Request) -> Option<Call> {
        let name = request.uri().path().split('/').nth(1)?;
        match name {
            "blob-drop" => Some(Call::ObjectDeletion),
            "blob-get" => Some(Call::ObjectRead),
            "blob-put" => Some(Call::ObjectWrite),
            "rows-feed" => Some(Call::Feed),
            "rows-get" if !is_probe(request) => Some(Call::Page),
            "rows-tx" => Some(Call::Transaction),
            _ => None,
        }
    }
}

/// The response with the first half of its body, which never ends.
async fn stop_body(response: Response) -> Result<Response, Refusal> {
    let (head, body) = response.into_parts();
    let whole = body.collect().await.map(|body| body.to_bytes());
    let whole = whole.unwrap_or_default();
    let half = Frame::data(whole.slice(..whole.len() / 2));
    let frames = stream::once(async { Ok::<_, io::Error>(half) }).chain(stream::pending());
    let body = StreamBody::new(frames).boxed_unsync();
    Ok(http::Response::from_parts(head, body))
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let version = self.version;
        let id = (table.to_owned(), key.to_owned());
        self.rows.insert(id, Row { value, version });
    }

    /// The version of a row; 0 if it does not exist.
    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|row| row.value.is_some())
            .map_or(0, |row| row.version)
    }
}

/// Whether a read is one that clients send to see whether the store answers.
fn is_probe(request: &Request) -> bool {
    query_parameter(request, "limit").as_deref() == Some("1")
}

fn take_one(count: &mut usize) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

fn row_json((table, key): &RowId, row: &Row) -> Value {
    let head = json!({"table": table, "part": "", "key": key, "ver": row.version});
    let mut object = head;
    match &row.value {
        Some(value) => object["value"] = BASE64_STANDARD.encode(value).into(),
        None => object["deleted"] = true.into(),
    }
    object
}

impl Handler for Store {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        let era = 1 + self.state.lock().restores;
        let mut reply: Reply = self.dispatch(request).await.into();
        if let Reply::Answer(response) = &mut reply {
            response.headers_mut().insert(ERA_FIELD, era.into());
        }
        reply
    }
}
