//! One manifest on its way to this host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;

use super::PeerKey;
use crate::Digest;
use crate::weights::bitmap::Bitmap;
use crate::weights::manifest::Id;
use crate::weights::manifest::Manifest;
use crate::weights::plan;
use crate::weights::plan::Plan;
use crate::weights::plan::STRIPES;

/// One manifest on its way.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) digest: Digest,
    pub(super) id: Id,
    pub(super) plan: Plan,
    pub(super) manifest: Option<Arc<Manifest>>,
    /// The manifest's bytes, for peers that lack them.
    pub(super) manifest_bytes: Bytes,
    pub(super) held: Bitmap,
    /// How many peers of the own region hold each chunk.
    pub(super) available: Vec<u16>,
    pub(super) partials: BTreeMap<u32, Vec<Partial>>,
    /// Chunks held since the peers were last told.
    pub(super) news: Vec<u32>,
    /// Whether one of them is new in the region.
    pub(super) brought: bool,
    /// When the peers were last told.
    pub(super) told: Duration,
    pub(super) started: Duration,
    /// When the manifest was here.
    pub(super) known: Duration,
    pub(super) whole_at: Option<Duration>,
    pub(super) loaded: bool,
    pub(super) rejected: bool,
    /// When each stripe last came on in the own region.
    pub(super) progressed: [Duration; STRIPES as usize],
    /// Whether this host has taken a stripe over.
    pub(super) stepped_in: [bool; STRIPES as usize],
    pub(super) origin: Retry,
    pub(super) manifest_asked: Option<Duration>,
    pub(super) manifest_read: Retry,
}

/// A chunk on its way.
#[derive(Debug)]
pub(super) struct Partial {
    pub(super) source: Source,
    pub(super) buffer: BytesMut,
    /// Up to where bytes were asked for.
    pub(super) asked: u32,
    pub(super) progressed: Duration,
    /// When the request for the bytes at each offset went, in another region.
    pub(super) requests: std::collections::VecDeque<Duration>,
}

/// Where a chunk comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    Origin,
    /// A peer of the own region.
    Local(PeerKey),
    /// A peer of another region.
    Remote(PeerKey),
}

impl Source {
    pub(super) fn peer(self) -> Option<PeerKey> {
        match self {
            Source::Origin => None,
            Source::Local(peer) | Source::Remote(peer) => Some(peer),
        }
    }
}

/// Exponential backoff.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Retry {
    failures: u32,
    until: Duration,
    /// Whether a request is under way.
    pub(super) busy: bool,
}

/// The first pause after a failed request.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// How often the pause doubles.
const RETRY_DOUBLINGS: u32 = 2;

impl Retry {
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        !self.busy && self.until <= now
    }

    /// Whether the pause is over, whatever is under way.
    pub(super) fn has_rested(&self, now: Duration) -> bool {
        self.until <= now
    }

    pub(super) fn fail(&mut self, now: Duration, jitter: f64) {
        let pause = RETRY_MIN * 2_u32.pow(self.failures.min(RETRY_DOUBLINGS));
        self.failures += 1;
        self.until = now + pause.mul_f64(0.5 + jitter);
        self.busy = false;
    }

    pub(super) fn succeed(&mut self) {
        *self = Retry::default();
    }
}

impl Transfer {
    pub(super) fn new(digest: Digest, now: Duration) -> Transfer {
        Transfer {
            digest,
            id: Id::of(&digest),
            plan: Plan::default(),
            manifest: None,
            manifest_bytes: Bytes::new(),
            held: Bitmap::default(),
            available: Vec::new(),
            partials: BTreeMap::new(),
            news: Vec::new(),
            brought: false,
            told: Duration::ZERO,
            started: now,
            known: now,
            whole_at: None,
            loaded: false,
            rejected: false,
            progressed: [now; STRIPES as usize],
            stepped_in: [false; STRIPES as usize],
            origin: Retry::default(),
            manifest_asked: None,
            manifest_read: Retry::default(),
        }
    }

    /// Whether every chunk is held, or was until the engine had them all.
    pub(super) fn is_whole(&self) -> bool {
        self.manifest.is_some() && (self.loaded || self.held.is_full())
    }

    /// Whether nothing is left to fetch or to tell.
    pub(super) fn is_settled(&self) -> bool {
        self.rejected || (self.is_whole() && self.news.is_empty())
    }

    /// Whether chunks are asked of other regions.
    pub(super) fn is_pulling(&self) -> bool {
        let mut partials = self.partials.values().flatten();
        partials.any(|partial| matches!(partial.source, Source::Remote(_)))
    }

    /// Notes that a peer of the own region holds a chunk.
    pub(super) fn see(&mut self, chunk: u32, now: Duration) {
        let Some(available) = self.available.get_mut(chunk as usize) else {
            return;
        };
        *available += 1;
        if *available == 1 && !self.held.contains(chunk) {
            self.progress(chunk, now);
        }
    }

    /// Notes that a peer of the own region has gone with what it held.
    pub(super) fn lose(&mut self, held: &Bitmap) {
        for chunk in held.iter() {
            self.lose_one(chunk);
        }
    }

    pub(super) fn lose_one(&mut self, chunk: u32) {
        if let Some(available) = self.available.get_mut(chunk as usize) {
            *available = available.saturating_sub(1);
        }
    }

    pub(super) fn progress(&mut self, chunk: u32, now: Duration) {
        self.progressed[plan::stripe(chunk) as usize] = now;
    }

    /// The origin did not answer this host either: it, and not the hosts before
    /// this one, may be why stripes stand still. So this host leaves them to
    /// those hosts again and waits anew, or all that have stepped in would read
    /// the same chunks when the origin is back.
    pub(super) fn stand_back(&mut self, now: Duration) {
        self.progressed.fill(now);
        self.stepped_in.fill(false);
    }

    /// Drops what was asked of a peer; answers how many bytes had come in
    /// vain.
    pub(super) fn release(&mut self, peer: PeerKey) -> u64 {
        let mut wasted = 0;
        self.partials.retain(|_, partials| {
            partials.retain(|partial| {
                let gone = partial.source.peer() == Some(peer);
                if gone {
                    wasted += partial.buffer.len() as u64;
                }
                !gone
            });
            !partials.is_empty()
        });
        wasted
    }

    /// Drops one partial chunk; answers it.
    pub(super) fn take(&mut self, chunk: u32, source: Source) -> Option<Partial> {
        let partials = self.partials.get_mut(&chunk)?;
        let index = partials.iter().position(|one| one.source == source)?;
        let partial = partials.remove(index);
        if partials.is_empty() {
            self.partials.remove(&chunk);
        }
        Some(partial)
    }

    pub(super) fn start(&mut self, chunk: u32, source: Source, now: Duration) {
        let length = match (&self.manifest, source) {
            (Some(manifest), Source::Local(_) | Source::Remote(_)) => manifest.length(chunk),
            _ => 0,
        };
        self.partials.entry(chunk).or_default().push(Partial {
            source,
            buffer: BytesMut::with_capacity(length as usize),
            asked: 0,
            progressed: now,
            requests: Default::default(),
        });
    }
}
