//! Upload queue: slots, order and rate of the chunks sent to other agents.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::weights::manifest::Id;
use crate::weights::swarm::PeerKey;

/// Requests of peers of the local region that may wait at once.
const LOCAL_REQUESTS_MAX: usize = 8;
/// Requests of one peer of the local region that may wait or be in progress.
const LOCAL_REQUESTS_PER_PEER_MAX: usize = 2;
/// Requests of one peer of another region that may wait.
const REMOTE_REQUESTS_PER_PEER_MAX: usize = 32;
/// The shortest piece, except the last of a chunk.
const PIECE_MIN_BYTES: u32 = 64 << 10;
/// The longest piece, whatever the length of the chunk.
const PIECE_MAX_BYTES: u32 = 1 << 20;
/// Pieces into which a long chunk is cut, unless a piece would exceed
/// `PIECE_MAX_BYTES`.
const PIECES_PER_CHUNK: u32 = 8;
/// How long a request may wait behind requests for chunks sent less often.
const WAIT_MAX: Duration = Duration::from_millis(250);
/// How much idle time a bucket may accumulate as credit.
const BURST: Duration = Duration::from_millis(20);

/// Token bucket whose balance may become negative: any number of bytes may be
/// taken once the balance is no longer negative.
#[derive(Clone, Debug)]
pub struct Bucket {
    bytes_per_s: Option<f64>,
    ready_at: Duration,
}

impl Bucket {
    /// Creates a bucket of `bytes_per_s`; `None` means no limit.
    pub fn new(bytes_per_s: Option<f64>) -> Bucket {
        Bucket {
            bytes_per_s,
            ready_at: Duration::ZERO,
        }
    }

    /// Sets the rate.
    pub fn set_rate(&mut self, bytes_per_s: f64) {
        self.bytes_per_s = Some(bytes_per_s);
    }

    /// Returns whether bytes may be taken now.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.ready_at <= now
    }

    /// Returns the time from which bytes may be taken.
    pub fn ready_at(&self) -> Duration {
        self.ready_at
    }

    /// Puts back `bytes` that were taken but not used.
    pub fn refund(&mut self, bytes: u32) {
        let Some(rate) = self.bytes_per_s else { return };
        let span = Duration::from_secs_f64(f64::from(bytes) / rate);
        self.ready_at = self.ready_at.saturating_sub(span);
    }

    /// Takes `bytes`, whether or not the bucket is ready.
    pub fn take(&mut self, now: Duration, bytes: u32) {
        let Some(rate) = self.bytes_per_s else { return };
        let span = Duration::from_secs_f64(f64::from(bytes) / rate);
        self.ready_at = self.ready_at.max(now.saturating_sub(BURST)) + span;
    }
}

/// Request of a peer for bytes of a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// The peer that sent the request.
    pub peer: PeerKey,
    /// The manifest.
    pub manifest: Id,
    /// The chunk.
    pub chunk: u32,
    /// The offset of the next byte to send, within the chunk.
    pub offset: u32,
    /// The offset after the last byte to send.
    pub end: u32,
    /// When the request arrived.
    pub received_at: Duration,
}

/// Waiting requests, and how often each chunk was sent.
#[derive(Debug)]
pub struct Queue {
    bucket: Bucket,
    remote: VecDeque<Request>,
    local: Vec<Request>,
    current: Option<Request>,
    send_counts: HashMap<(Id, u32), u32>,
}

impl Queue {
    /// Creates an empty queue that sends `bytes_per_s`; `None` means no limit.
    pub fn new(bytes_per_s: Option<f64>) -> Queue {
        Queue {
            bucket: Bucket::new(bytes_per_s),
            remote: VecDeque::new(),
            local: Vec::new(),
            current: None,
            send_counts: HashMap::new(),
        }
    }

    /// Sets the rate at which it sends.
    pub fn set_rate(&mut self, bytes_per_s: f64) {
        self.bucket.set_rate(bytes_per_s);
    }

    /// Returns whether no request waits or is in progress.
    pub fn is_empty(&self) -> bool {
        self.remote.is_empty() && self.local.is_empty() && self.current.is_none()
    }

    /// Returns the time from which the next piece may be sent.
    pub fn ready_at(&self) -> Duration {
        self.bucket.ready_at()
    }

    /// Adds a request of a peer in another region; returns `false` if the queue
    /// has `REMOTE_REQUESTS_PER_PEER_MAX` requests of this peer.
    pub fn push_remote(&mut self, request: Request) -> bool {
        let waiting = self.remote.iter().filter(|one| one.peer == request.peer);
        let room = waiting.count() < REMOTE_REQUESTS_PER_PEER_MAX;
        if room {
            self.remote.push_back(request);
        }
        room
    }

    /// Adds a request of a peer in the local region; returns `false` if the
    /// queue is full, in total or for this peer.
    pub fn push_local(&mut self, request: Request) -> bool {
        let waiting = self.local.iter().chain(&self.current);
        let own = waiting.filter(|one| one.peer == request.peer).count();
        let room = self.local.len() < LOCAL_REQUESTS_MAX && own < LOCAL_REQUESTS_PER_PEER_MAX;
        if room {
            self.local.push(request);
        }
        room
    }

    /// Removes all requests of a peer for a chunk.
    pub fn cancel(&mut self, peer: PeerKey, manifest: Id, chunk: u32) {
        self.retain(|one| (one.peer, one.manifest, one.chunk) != (peer, manifest, chunk));
    }

    /// Removes all requests of a peer.
    pub fn remove_peer(&mut self, peer: PeerKey) {
        self.retain(|one| one.peer != peer);
    }

    /// Removes all requests for chunks of a manifest, and their send counts.
    pub fn remove_manifest(&mut self, manifest: Id) {
        self.retain(|one| one.manifest != manifest);
        self.send_counts.retain(|(one, _), _| *one != manifest);
    }

    fn retain(&mut self, keep: impl Fn(&Request) -> bool) {
        self.remote.retain(&keep);
        self.local.retain(&keep);
        self.current = self.current.filter(&keep);
    }

    /// Returns the next piece to send, if the rate allows one.
    ///
    /// Requests of other regions come first, as the links between regions are
    /// the slowest; then the request for the chunk sent least often, so that
    /// new chunks spread quickly.
    pub fn next(&mut self, now: Duration) -> Option<Request> {
        if !self.bucket.is_ready(now) {
            return None;
        }
        if let Some(piece) = self.remote.pop_front() {
            self.bucket.take(now, piece.end - piece.offset);
            return Some(piece);
        }
        let request = match self.current.take() {
            Some(request) => request,
            None => self.next_local(now)?,
        };
        let length = (request.end - request.offset).min(piece_bytes(request.end));
        self.bucket.take(now, length);
        let piece = Request {
            end: request.offset + length,
            ..request
        };
        if piece.end < request.end {
            self.current = Some(Request {
                offset: piece.end,
                ..request
            });
        }
        Some(piece)
    }

    fn next_local(&mut self, now: Duration) -> Option<Request> {
        let send_count = |one: &Request| self.send_counts.get(&(one.manifest, one.chunk)).copied();
        let (index, _) = self.local.iter().enumerate().min_by_key(|(_, one)| {
            let overdue = now.saturating_sub(one.received_at) >= WAIT_MAX;
            let count = send_count(one).unwrap_or(0);
            (!overdue, if overdue { 0 } else { count }, one.received_at)
        })?;
        let request = self.local.remove(index);
        *self
            .send_counts
            .entry((request.manifest, request.chunk))
            .or_default() += 1;
        Some(request)
    }
}

fn piece_bytes(chunk: u32) -> u32 {
    (chunk / PIECES_PER_CHUNK).clamp(PIECE_MIN_BYTES, PIECE_MAX_BYTES)
}
