//! The store of the users' platform: rows in tables by their published calls,
//! read whole, followed and written under conditions.
//!
//! Tests hold it in their own process and write as the operators and the
//! backend servers do.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::query_parameter;
use crate::http::read_json;
use crate::http::spawn;

/// The longest that a feed is held back.
const WAIT_MAX_MS: u64 = 30_000;
/// Rows in one page unless the request says less.
const PAGE_MAX: usize = 500;

type Name = (String, String);

#[derive(Clone, Debug)]
struct Row {
    /// None if it was dropped.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<Name, Row>,
    /// The version up to which the history is gone.
    compacted: u64,
    down: bool,
    mute: bool,
    slow_reads: Duration,
}

/// The store; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Expected>,
    #[serde(default)]
    writes: Vec<Written>,
    #[serde(default)]
    delete: Vec<Deleted>,
}

#[derive(Deserialize)]
struct Expected {
    table: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct Written {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Deleted {
    table: String,
    key: String,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// What the system says when the address can't be bound.
    pub async fn spawn(address: SocketAddr) -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        let bound = spawn(address, Arc::new(store.clone())).await?;
        Ok((store, bound))
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().into_bytes());
    }

    /// Writes a row of any bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) {
        self.state.lock().set(table, key, Some(value));
        self.changed.notify_waiters();
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.lock().set(table, key, None);
        self.changed.notify_waiters();
    }

    /// Forgets the history.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted = state.version;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Goes out of service, or comes back.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
        self.changed.notify_waiters();
    }

    /// Holds feeds that may wait for ever, or no longer.
    pub fn set_feed_stalled(&self, mute: bool) {
        self.state.lock().mute = mute;
    }

    /// Makes answers that hold rows late, as over a link that many share.
    pub fn set_read_delay(&self, delay: Duration) {
        self.state.lock().slow_reads = delay;
    }

    async fn answer(&self, request: Request) -> Result<Response, Refusal> {
        if self.state.lock().down {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "out of service"));
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/rows-get") => self.get(&request).await,
            (&Method::GET, "/rows-feed") => self.feed(&request).await,
            (&Method::POST, "/rows-tx") => self.transact(read_json(request).await?),
            _ => Ok(error(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn get(&self, request: &Request) -> Result<Response, Refusal> {
        let (answer, delay) = self.rows(request);
        sleep(delay).await;
        Ok(answer)
    }

    /// Rows by key, and how late they come.
    fn rows(&self, request: &Request) -> (Response, Duration) {
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
            .map(|(name, row)| shown(name, row))
            .collect();
        let more = found.next().is_some();
        let delay = match rows.is_empty() {
            true => Duration::ZERO,
            false => state.slow_reads,
        };
        let body = json!({"rows": rows, "hasMore": more, "ver": state.version, "nowMs": 0});
        (json(StatusCode::OK, &body), delay)
    }

    async fn feed(&self, request: &Request) -> Result<Response, Refusal> {
        let table = query_parameter(request, "table").unwrap_or_default();
        let number = |name| query_parameter(request, name).and_then(|text| text.parse().ok());
        let since: u64 = number("sinceRev").unwrap_or_default();
        let wait_ms: u64 = number("waitMs").unwrap_or_default().min(WAIT_MAX_MS);
        if wait_ms > 0 && self.state.lock().mute {
            return std::future::pending().await;
        }
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(answer) = self.news(&table, since, Instant::now() >= until) {
                return Ok(answer);
            }
            // The time being up is seen above.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// The changes of a table; none if there are none and time is left.
    fn news(&self, table: &str, since: u64, is_last: bool) -> Option<Response> {
        let state = self.state.lock();
        if state.down {
            return Some(error(StatusCode::SERVICE_UNAVAILABLE, "out of service"));
        }
        if since < state.compacted {
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
            .map(|(name, row)| shown(name, row))
            .collect();
        let body = json!({"rows": rows, "ver": state.version, "nowMs": 0});
        (is_last || !rows.is_empty()).then(|| json(StatusCode::OK, &body))
    }

    fn transact(&self, transaction: Transaction) -> Result<Response, Refusal> {
        let mut state = self.state.lock();
        let failed = transaction
            .expected_rev
            .iter()
            .any(|one| state.version_of(&one.table, &one.key) != one.ver);
        if failed {
            let names = transaction
                .expected_rev
                .into_iter()
                .map(|one| (one.table, one.key));
            let rows: Vec<Value> = names
                .filter_map(|name| state.rows.get(&name).map(|row| shown(&name, row)))
                .collect();
            let body = json!({"rows": rows, "ver": state.version, "nowMs": 0});
            return Ok(json(StatusCode::PRECONDITION_FAILED, &body));
        }
        for one in transaction.writes {
            let value = BASE64_STANDARD.decode(&one.value).unwrap_or_default();
            state.set(&one.table, &one.key, Some(value));
        }
        for one in transaction.delete {
            state.set(&one.table, &one.key, None);
        }
        let body = json!({"ver": state.version, "nowMs": 0});
        drop(state);
        self.changed.notify_waiters();
        Ok(json(StatusCode::OK, &body))
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let version = self.version;
        let name = (table.to_owned(), key.to_owned());
        self.rows.insert(name, Row { value, version });
    }

    /// The version of a row; 0 if it does not exist.
    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|row| row.value.is_some())
            .map_or(0, |row| row.version)
    }
}

fn shown((table, key): &Name, row: &Row) -> Value {
    let head = json!({"table": table, "part": "", "key": key, "ver": row.version});
    let mut shown = head;
    match &row.value {
        Some(value) => shown["value"] = BASE64_STANDARD.encode(value).into(),
        None => shown["deleted"] = true.into(),
    }
    shown
}

impl Handler for Store {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        self.answer(request).await.into()
    }
}
