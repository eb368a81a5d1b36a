//! Transfer of the chunks of one manifest to this host.

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

/// Transfer of one manifest and its chunks.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) digest: Digest,
    pub(super) id: Id,
    pub(super) plan: Plan,
    pub(super) manifest: Option<Arc<Manifest>>,
    /// The encoded manifest, to be sent to peers that lack it.
    pub(super) manifest_bytes: Bytes,
    pub(super) held: Bitmap,
    /// How many peers of the local region hold each chunk.
    pub(super) availability: Vec<u16>,
    pub(super) partials: BTreeMap<u32, Vec<Partial>>,
    /// Chunks that this host holds and has not announced yet.
    pub(super) unannounced: Vec<u32>,
    /// Whether one of them may be new in the region, as it did not come from a
    /// peer there.
    pub(super) new_in_region: bool,
    /// When chunks were last announced.
    pub(super) announced_at: Duration,
    pub(super) started_at: Duration,
    /// When the manifest itself arrived.
    pub(super) manifest_at: Duration,
    pub(super) complete_at: Option<Duration>,
    /// Whether the engine has confirmed the version.
    pub(super) loaded: bool,
    pub(super) rejected: bool,
    /// When each stripe last progressed: a chunk of it reached the region, or
    /// bytes of one reached this host from another region.
    pub(super) progressed_at: [Duration; STRIPES as usize],
    /// Whether this host has taken over each stripe, as a standby gateway.
    pub(super) taken_over: [bool; STRIPES as usize],
    /// Backoff of reads from the origin.
    pub(super) origin_backoff: Backoff,
    /// When a peer was last asked for the manifest.
    pub(super) manifest_requested_at: Option<Duration>,
    /// Backoff of reads of the manifest from the object store.
    pub(super) manifest_backoff: Backoff,
}

/// A chunk that is being received from one source.
#[derive(Debug)]
pub(super) struct Partial {
    pub(super) source: Source,
    pub(super) buffer: BytesMut,
    /// The end of the bytes requested so far, within the chunk.
    pub(super) requested: u32,
    pub(super) progressed_at: Duration,
    /// When each unanswered request was sent, oldest first; for a peer of
    /// another region only.
    pub(super) requests_sent_at: std::collections::VecDeque<Duration>,
}

/// Source of a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    Origin,
    /// A peer of the local region.
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

/// Exponential backoff with jitter after failed requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until: Duration,
    /// Whether a request is in flight.
    pub(super) in_flight: bool,
}

/// The mean backoff after the first failed request; doubles with each further
/// one.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// How often the backoff doubles.
const BACKOFF_DOUBLINGS_MAX: u32 = 1;

impl Backoff {
    /// Returns whether a request may be sent and none is in flight.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        !self.in_flight && self.until <= now
    }

    /// Returns whether the last request failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the backoff has elapsed, even if a request is in flight.
    pub(super) fn has_elapsed(&self, now: Duration) -> bool {
        self.until <= now
    }

    /// Records a failed request; `jitter` is between 0 and 1.
    pub(super) fn record_failure(&mut self, now: Duration, jitter: f64) {
        let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(BACKOFF_DOUBLINGS_MAX));
        self.failures += 1;
        self.until = now + backoff.mul_f64(0.5 + jitter);
        self.in_flight = false;
    }

    pub(super) fn reset(&mut self) {
        *self = Backoff::default();
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
            availability: Vec::new(),
            partials: BTreeMap::new(),
            unannounced: Vec::new(),
            new_in_region: false,
            announced_at: Duration::ZERO,
            started_at: now,
            manifest_at: now,
            complete_at: None,
            loaded: false,
            rejected: false,
            progressed_at: [now; STRIPES as usize],
            taken_over: [false; STRIPES as usize],
            origin_backoff: Backoff::default(),
            manifest_requested_at: None,
            manifest_backoff: Backoff::default(),
        }
    }

    /// Returns whether every chunk is held, or the engine has loaded them all.
    pub(super) fn is_complete(&self) -> bool {
        self.manifest.is_some() && (self.loaded || self.held.is_full())
    }

    /// Returns whether neither this host nor a peer of the local region holds
    /// some of the chunks.
    pub(super) fn lacks_chunks(&self) -> bool {
        let mut missing = self.held.missing();
        let lacks = missing.any(|chunk| self.availability[chunk as usize] == 0);
        lacks && !self.rejected && !self.is_complete()
    }

    /// Returns whether nothing is left to fetch or to announce.
    pub(super) fn is_settled(&self) -> bool {
        self.rejected || (self.is_complete() && self.unannounced.is_empty())
    }

    /// Returns whether chunks are requested from other regions.
    pub(super) fn has_remote_requests(&self) -> bool {
        let mut partials = self.partials.values().flatten();
        partials.any(|partial| matches!(partial.source, Source::Remote(_)))
    }

    /// Counts a peer of the local region that holds a chunk; the first one is
    /// progress of the stripe, unless this host holds the chunk already.
    pub(super) fn add_replica(&mut self, chunk: u32, now: Duration) {
        let Some(availability) = self.availability.get_mut(chunk as usize) else {
            return;
        };
        *availability += 1;
        if *availability == 1 && !self.held.contains(chunk) {
            self.record_progress(chunk, now);
        }
    }

    /// Stops counting the chunks that a peer of the local region held.
    pub(super) fn remove_replicas(&mut self, held: &Bitmap) {
        for chunk in held.iter() {
            self.remove_replica(chunk);
        }
    }

    pub(super) fn remove_replica(&mut self, chunk: u32) {
        if let Some(availability) = self.availability.get_mut(chunk as usize) {
            *availability = availability.saturating_sub(1);
        }
    }

    pub(super) fn record_progress(&mut self, chunk: u32, now: Duration) {
        self.progressed_at[plan::stripe(chunk) as usize] = now;
    }

    /// Leaves the stripes that this host took over to the gateways before it and
    /// restarts the takeover delay.
    ///
    /// Called when the origin does not answer this host: then the origin, and
    /// not the gateways before this one, may be why stripes stalled. Otherwise all
    /// hosts that have taken over would read the same chunks when the origin is
    /// back.
    pub(super) fn yield_stripes(&mut self, now: Duration) {
        self.progressed_at.fill(now);
        self.taken_over.fill(false);
    }

    /// Drops all requests to a peer; returns how many received bytes that
    /// wastes.
    pub(super) fn drop_requests(&mut self, peer: PeerKey) -> u64 {
        let mut wasted = 0;
        self.partials.retain(|_, partials| {
            partials.retain(|partial| {
                let dropped = partial.source.peer() == Some(peer);
                if dropped {
                    wasted += partial.buffer.len() as u64;
                }
                !dropped
            });
            !partials.is_empty()
        });
        wasted
    }

    /// Removes and returns a partial chunk.
    pub(super) fn take_partial(&mut self, chunk: u32, source: Source) -> Option<Partial> {
        let partials = self.partials.get_mut(&chunk)?;
        let index = partials.iter().position(|one| one.source == source)?;
        let partial = partials.remove(index);
        if partials.is_empty() {
            self.partials.remove(&chunk);
        }
        Some(partial)
    }

    /// Adds an empty partial chunk from a source.
    pub(super) fn start_partial(&mut self, chunk: u32, source: Source, now: Duration) {
        let length = match (&self.manifest, source) {
            (Some(manifest), Source::Local(_) | Source::Remote(_)) => manifest.length(chunk),
            _ => 0,
        };
        self.partials.entry(chunk).or_default().push(Partial {
            source,
            buffer: BytesMut::with_capacity(length as usize),
            requested: 0,
            progressed_at: now,
            requests_sent_at: Default::default(),
        });
    }
}
