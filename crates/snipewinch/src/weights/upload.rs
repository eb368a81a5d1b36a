//! What an agent sends to others: slots, order and pace.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::weights::manifest::Id;
use crate::weights::swarm::PeerKey;

/// Chunks that peers of the own region may wait for at once.
const SLOTS: usize = 8;
/// Chunks that one peer of the own region may wait for.
const SLOTS_PER_PEER: usize = 2;
/// Requests of other regions that may wait, for each peer.
const REMOTE_PER_PEER: usize = 32;
/// The longest piece sent at once, unless a chunk is very long.
const PIECE_BYTES: u32 = 64 << 10;
/// The longest piece, in bytes.
const PIECE_MAX_BYTES: u32 = 1 << 20;
/// Pieces into which a chunk is cut at most, if the pieces may be that long.
const PIECES: u32 = 8;
/// How long a request may be passed over for newer chunks.
const WAIT_MAX: Duration = Duration::from_millis(250);
/// How far a bucket may catch up.
const BURST: Duration = Duration::from_millis(20);

/// A token bucket that may go into debt.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Option<f64>,
    free_at: Duration,
}

impl Bucket {
    /// A bucket of `rate` bytes a second; none means no limit.
    pub fn new(rate: Option<f64>) -> Bucket {
        Bucket {
            rate,
            free_at: Duration::ZERO,
        }
    }

    /// Whether something may be taken now.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.free_at <= now
    }

    /// When something may next be taken.
    pub fn ready_at(&self) -> Duration {
        self.free_at
    }

    /// Gives back `bytes` that were taken and not used.
    pub fn refund(&mut self, bytes: u32) {
        let Some(rate) = self.rate else { return };
        let span = Duration::from_secs_f64(f64::from(bytes) / rate);
        self.free_at = self.free_at.saturating_sub(span);
    }

    /// Takes `bytes`.
    pub fn take(&mut self, now: Duration, bytes: u32) {
        let Some(rate) = self.rate else { return };
        let span = Duration::from_secs_f64(f64::from(bytes) / rate);
        self.free_at = self.free_at.max(now.saturating_sub(BURST)) + span;
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Who asked.
    pub peer: PeerKey,
    /// The manifest.
    pub manifest: Id,
    /// The chunk.
    pub chunk: u32,
    /// The next byte to send.
    pub offset: u32,
    /// Where to stop.
    pub end: u32,
    /// When it was asked.
    pub asked: Duration,
}

/// All requests that wait, and what was sent before.
#[derive(Debug)]
pub struct Queue {
    bucket: Bucket,
    remote: VecDeque<Request>,
    local: Vec<Request>,
    current: Option<Request>,
    sent: HashMap<(Id, u32), u32>,
}

impl Queue {
    /// An empty queue that sends `rate` bytes a second; none means no limit.
    pub fn new(rate: Option<f64>) -> Queue {
        Queue {
            bucket: Bucket::new(rate),
            remote: VecDeque::new(),
            local: Vec::new(),
            current: None,
            sent: HashMap::new(),
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.remote.is_empty() && self.local.is_empty() && self.current.is_none()
    }

    /// When the next piece may go.
    pub fn ready_at(&self) -> Duration {
        self.bucket.ready_at()
    }

    /// Takes a request of another region in; answers whether there was room.
    pub fn push_remote(&mut self, request: Request) -> bool {
        let waiting = self.remote.iter().filter(|one| one.peer == request.peer);
        let room = waiting.count() < REMOTE_PER_PEER;
        if room {
            self.remote.push_back(request);
        }
        room
    }

    /// Takes a request of the own region in; answers whether a slot was free.
    pub fn push_local(&mut self, request: Request) -> bool {
        let waiting = self.local.iter().chain(&self.current);
        let own = waiting.filter(|one| one.peer == request.peer).count();
        let room = self.local.len() < SLOTS && own < SLOTS_PER_PEER;
        if room {
            self.local.push(request);
        }
        room
    }

    /// Forgets what a peer asked of a chunk.
    pub fn cancel(&mut self, peer: PeerKey, manifest: Id, chunk: u32) {
        self.keep(|one| (one.peer, one.manifest, one.chunk) != (peer, manifest, chunk));
    }

    /// Forgets what a peer asked.
    pub fn forget(&mut self, peer: PeerKey) {
        self.keep(|one| one.peer != peer);
    }

    /// Forgets what was asked of a manifest.
    pub fn close(&mut self, manifest: Id) {
        self.keep(|one| one.manifest != manifest);
        self.sent.retain(|(one, _), _| *one != manifest);
    }

    fn keep(&mut self, keep: impl Fn(&Request) -> bool) {
        self.remote.retain(&keep);
        self.local.retain(&keep);
        self.current = self.current.filter(&keep);
    }

    /// The next piece to send, if the pace allows one.
    ///
    /// Other regions come first, as the links to them are the narrowest; then
    /// the chunk that was sent the least, so that new chunks multiply.
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
            None => self.start(now)?,
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

    fn start(&mut self, now: Duration) -> Option<Request> {
        let sent = |one: &Request| self.sent.get(&(one.manifest, one.chunk)).copied();
        let (index, _) = self.local.iter().enumerate().min_by_key(|(_, one)| {
            let waited = now.saturating_sub(one.asked) >= WAIT_MAX;
            let count = sent(one).unwrap_or(0);
            (!waited, if waited { 0 } else { count }, one.asked)
        })?;
        let request = self.local.remove(index);
        *self
            .sent
            .entry((request.manifest, request.chunk))
            .or_default() += 1;
        Some(request)
    }
}

fn piece_bytes(chunk: u32) -> u32 {
    (chunk / PIECES).clamp(PIECE_BYTES, PIECE_MAX_BYTES)
}
