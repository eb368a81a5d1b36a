//! The prefix cache: bounded, and publishing its events late and with gaps.

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

/// How long after a change its event becomes visible.
const EVENT_DELAY: Duration = Duration::from_millis(500);
/// One event in this many is never published, which leaves a gap in the
/// sequence numbers.
const EVENTS_PER_GAP: u64 = 16;
/// Most events kept; older ones are dropped.
const EVENTS_MAX: usize = 4096;
/// Size of the KV cache of one block.
const BLOCK_KV_BYTES: usize = 4096;

/// The prefixes that an engine holds, evicted least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity_blocks: usize,
    use_count: u64,
    /// The value of `use_count` at the last use of each prefix.
    last_used: HashMap<SmolStr, u64>,
    /// The events with the time from which each is visible.
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
    pub(super) fn new(capacity_blocks: usize) -> Cache {
        Cache {
            capacity_blocks,
            use_count: 0,
            last_used: HashMap::new(),
            events: VecDeque::new(),
            sequence: 0,
            hits: 0,
        }
    }

    pub(super) fn hits(&self) -> u64 {
        self.hits
    }

    /// Inserts the prefixes of a prompt and returns how many were not cached.
    pub(super) fn insert_prompt(&mut self, prefixes: Vec<SmolStr>) -> usize {
        let mut missing = 0;
        for prefix in prefixes {
            match self.insert(prefix) {
                true => self.hits += 1,
                false => missing += 1,
            }
        }
        missing
    }

    /// Inserts a prefix or marks it as used, and evicts the least recently
    /// used prefix if the cache is over its capacity. Returns whether the
    /// prefix was already cached.
    fn insert(&mut self, prefix: SmolStr) -> bool {
        self.use_count += 1;
        let cached = self
            .last_used
            .insert(prefix.clone(), self.use_count)
            .is_some();
        if !cached {
            self.push_event("stored", prefix);
        }
        if self.last_used.len() > self.capacity_blocks {
            let oldest = self.last_used.iter().min_by_key(|(_, used)| **used);
            if let Some(oldest) = oldest.map(|(prefix, _)| prefix.clone()) {
                self.last_used.remove(&oldest);
                self.push_event("removed", oldest);
            }
        }
        cached
    }

    fn push_event(&mut self, kind: &'static str, prefix: SmolStr) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(EVENTS_PER_GAP) {
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
        self.events.push_back((Instant::now() + EVENT_DELAY, event));
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
            .filter(|(publish_at, event)| *publish_at <= now && event.sequence > after)
            .map(|(_, event)| event)
            .collect();
        Ok(json(StatusCode::OK, &json!({ "events": events })))
    }

    pub(super) async fn kv(&self, prefix: &str, request: Request) -> Result<Response, Refusal> {
        match request.method().clone() {
            Method::GET if self.cache.lock().last_used.contains_key(prefix) => {
                Ok(bytes(StatusCode::OK, kv_bytes(prefix)))
            }
            Method::GET => Err(Refusal::new(error(StatusCode::NOT_FOUND, "absent"))),
            Method::PUT => {
                let body = read_body(request).await?;
                if body != kv_bytes(prefix) {
                    return Err(Refusal::new(error(
                        StatusCode::BAD_REQUEST,
                        "foreign cache",
                    )));
                }
                self.cache.lock().insert(SmolStr::new(prefix));
                Ok(json(StatusCode::OK, &json!({})))
            }
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }
}

/// The KV cache of a prefix: bytes derived from its name, so that the cache of
/// another prefix is rejected.
fn kv_bytes(prefix: &str) -> Bytes {
    let mut bytes = vec![0; BLOCK_KV_BYTES];
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    Bytes::from(bytes)
}
