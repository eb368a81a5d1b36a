//! The weight origin, with one rate limit over all readers.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use super::Fault;
use super::Platform;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::byte_range;
use crate::http::error;
use crate::http::json;
use crate::http::read_body;
use crate::rate_limit::BYTES_PER_MBIT;
use crate::rate_limit::RateLimiter;

/// Size of the segments in which a response body is sent: the unit of rate
/// limiting and corruption.
const SEGMENT_BYTES: usize = 16 << 10;
/// The `Retry-After` of a reader above the limit, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The weights by manifest digest, and the limits for reading them.
#[derive(Debug)]
pub(super) struct Origin {
    weights: Mutex<HashMap<String, Bytes>>,
    rate_limiter: RateLimiter,
    readers: AtomicUsize,
    readers_max: usize,
}

/// The settings that `POST /admin/origin` changes.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Settings {
    rate_mbit: f64,
}

impl Origin {
    pub(super) fn new(rate_mbit: f64, readers_max: usize) -> Origin {
        Origin {
            weights: Mutex::default(),
            rate_limiter: RateLimiter::new(rate_mbit * BYTES_PER_MBIT),
            readers: AtomicUsize::new(0),
            readers_max,
        }
    }

    pub(super) fn apply(&self, settings: &Settings) {
        self.rate_limiter
            .set_rate(settings.rate_mbit * BYTES_PER_MBIT);
    }
}

/// The state of one response body; frees its place among the concurrent readers
/// when dropped.
struct Reader {
    platform: Arc<Platform>,
    manifest: String,
    remaining: Bytes,
    corrupt_percent: u8,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.platform.origin.readers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Reader {
    async fn next_segment(&mut self) -> Option<Bytes> {
        if self.remaining.is_empty() {
            return None;
        }
        let segment = self
            .remaining
            .split_to(SEGMENT_BYTES.min(self.remaining.len()));
        self.platform
            .origin
            .rate_limiter
            .acquire(segment.len())
            .await;
        let mut counters = self.platform.counters.lock();
        let sent = counters.origin_bytes.entry(self.manifest.clone());
        *sent.or_default() += segment.len() as u64;
        drop(counters);
        match self.platform.draw_fault(self.corrupt_percent) {
            true => Some(corrupt(&segment, self.platform.random())),
            false => Some(segment),
        }
    }
}

fn corrupt(segment: &Bytes, random: u64) -> Bytes {
    let mut bytes = segment.to_vec();
    let position = random as usize % bytes.len();
    bytes[position] ^= 0x55;
    Bytes::from(bytes)
}

impl Platform {
    pub(super) async fn handle_origin(
        self: Arc<Self>,
        manifest: &str,
        request: Request,
        fault: &Fault,
    ) -> Result<Response, Refusal> {
        match request.method().clone() {
            Method::PUT => {
                let body = read_body(request).await?;
                let mut weights = self.origin.weights.lock();
                weights.insert(manifest.to_owned(), body);
                Ok(json(StatusCode::OK, &json!({})))
            }
            Method::GET => self.stream_weights(manifest, &request, fault),
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }

    fn stream_weights(
        self: Arc<Self>,
        manifest: &str,
        request: &Request,
        fault: &Fault,
    ) -> Result<Response, Refusal> {
        let Some(weights) = self.origin.weights.lock().get(manifest).cloned() else {
            return Err(Refusal::new(error(StatusCode::NOT_FOUND, "absent")));
        };
        self.counters.lock().origin_requests += 1;
        if self.origin.readers.fetch_add(1, Ordering::Relaxed) >= self.origin.readers_max {
            self.origin.readers.fetch_sub(1, Ordering::Relaxed);
            self.counters.lock().origin_refused += 1;
            let mut refusal = error(StatusCode::TOO_MANY_REQUESTS, "too many readers");
            let wait = HeaderValue::from_static(RETRY_AFTER_S);
            refusal.headers_mut().insert(header::RETRY_AFTER, wait);
            return Err(Refusal::new(refusal));
        }
        let range = byte_range(request, weights.len());
        let status = match range {
            Some(_) => StatusCode::PARTIAL_CONTENT,
            None => StatusCode::OK,
        };
        let remaining = weights.slice(range.unwrap_or(0..weights.len()));
        let length = remaining.len();
        let reader = Reader {
            platform: self,
            manifest: manifest.to_owned(),
            remaining,
            corrupt_percent: fault.corrupt_percent,
        };
        let segments = stream::unfold(reader, async |mut reader| {
            let segment = reader.next_segment().await?;
            Some((Ok::<_, io::Error>(Frame::data(segment)), reader))
        });
        let mut response = http::Response::new(StreamBody::new(segments).boxed_unsync());
        *response.status_mut() = status;
        let length = HeaderValue::from(length);
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length);
        Ok(response)
    }
}
