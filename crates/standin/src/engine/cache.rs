//! The prefix cache: bounded, with events that come late and with gaps.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::Engine;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::bytes;
use crate::http::error;
use crate::http::json;
use crate::http::query_parameter;
use crate::http::read_body;

/// How late events are published.
const LATE: Duration = Duration::from_millis(500);
/// Every so many events one is never published.
const GAP: u64 = 16;
/// Events that are kept.
const EVENTS_MAX: usize = 4096;
/// Bytes of cache for one block.
const BLOCK_KV_BYTES: usize = 4096;

/// Which prefixes an engine holds, least recently used first out.
#[derive(Debug)]
pub(super) struct Cache {
    blocks: usize,
    clock: u64,
    held: HashMap<SmolStr, u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
    hits: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Event {
    sequence: u64,
    kind: &'static str,
    prefix: SmolStr,
}

impl Cache {
    pub(super) fn open(blocks: usize) -> Cache {
        Cache {
            blocks,
            clock: 0,
            held: HashMap::new(),
            events: VecDeque::new(),
            sequence: 0,
            hits: 0,
        }
    }

    pub(super) fn hits(&self) -> u64 {
        self.hits
    }

    /// Takes a prompt in and returns how many of its blocks had to be read.
    pub(super) fn read(&mut self, prefixes: Vec<SmolStr>) -> usize {
        let mut missing = 0;
        for prefix in prefixes {
            match self.store(prefix) {
                true => self.hits += 1,
                false => missing += 1,
            }
        }
        missing
    }

    /// Whether the prefix was already held.
    fn store(&mut self, prefix: SmolStr) -> bool {
        self.clock += 1;
        let held = self.held.insert(prefix.clone(), self.clock).is_some();
        if !held {
            self.publish("stored", prefix);
        }
        if self.held.len() > self.blocks {
            let oldest = self.held.iter().min_by_key(|(_, used)| **used);
            if let Some(oldest) = oldest.map(|(prefix, _)| prefix.clone()) {
                self.held.remove(&oldest);
                self.publish("removed", oldest);
            }
        }
        held
    }

    fn publish(&mut self, kind: &'static str, prefix: SmolStr) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(GAP) {
            return;
        }
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        let event = Event {
            sequence: self.sequence,
            kind,
            prefix,
        };
        self.events.push_back((Instant::now() + LATE, event));
    }
}

impl Engine {
    pub(super) fn cache_events(self: &Arc<Engine>, request: &Request) -> Result<Response, Refusal> {
        let after = query_parameter(request, "after").and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let now = Instant::now();
        let cache = self.cache.lock();
        let events: Vec<&Event> = cache
            .events
            .iter()
            .filter(|(due, event)| *due <= now && event.sequence > after)
            .map(|(_, event)| event)
            .collect();
        Ok(json(StatusCode::OK, &json!({ "events": events })))
    }

    pub(super) async fn kv(&self, prefix: &str, request: Request) -> Result<Response, Refusal> {
        match request.method().clone() {
            Method::GET if self.cache.lock().held.contains_key(prefix) => {
                Ok(bytes(StatusCode::OK, contents(prefix)))
            }
            Method::GET => Err(Refusal::new(error(StatusCode::NOT_FOUND, "absent"))),
            Method::PUT => {
                let body = read_body(request).await?;
                if body != contents(prefix) {
                    return Err(Refusal::new(error(
                        StatusCode::BAD_REQUEST,
                        "foreign cache",
                    )));
                }
                self.cache.lock().store(SmolStr::new(prefix));
                Ok(json(StatusCode::OK, &json!({})))
            }
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }
}

/// The cache of a prefix: bytes that only this prefix has.
fn contents(prefix: &str) -> Bytes {
    let mut bytes = vec![0; BLOCK_KV_BYTES];
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    Bytes::from(bytes)
}
