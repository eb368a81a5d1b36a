//! Fetches, verifies and serves the chunks of every version that a host must
//! hold.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

use crate::Digest;
use crate::document::Objective;
use crate::host;
use crate::host::Identity;
use crate::host::Region;
use crate::membership::Member;
use crate::membership::View;
use crate::weights::Message;
use crate::weights::manifest::Id;
use crate::weights::manifest::Manifest;
use crate::weights::plan::Candidate;
use crate::weights::plan::Plan;
use crate::weights::plan::Policy;
use crate::weights::store::Store;
use crate::weights::upload::Bucket;
use crate::weights::upload::Queue;

mod eviction;
mod exchange;
mod gateway;
mod manifest;
mod peer;
mod pick;
mod transfer;

use peer::Peer;
use transfer::Transfer;

/// How often to announce chunks that are new in the region, to lift bans and to
/// update the hosts to dial. This is also the longest time between ticks, and
/// so between checks for stalled requests, while any transfer is not settled.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How often to announce other chunks.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// The time between ticks while all transfers are settled.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

slotmap::new_key_type! {
    /// Identifies a peer while a link to it is up.
    pub struct PeerKey;
}

/// Identifies a link; the embedder chooses the numbers and never reuses one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Link(pub u64);

/// Configuration of a swarm.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of this host.
    pub host: host::Name,
    /// The region of this host.
    pub region: Region,
    /// The region of the origin; if `None`, the first region by name counts as
    /// it.
    pub origin_region: Option<Region>,
    /// How chunks are distributed.
    pub policy: Policy,
    /// The rate of this host's link in each direction, in megabits per second;
    /// `None` means no limit.
    pub host_mbit: Option<f64>,
    /// The rate of a link between regions, in megabits per second; `None` if it
    /// is not known.
    pub region_mbit: Option<f64>,
    /// The largest amount of memory for chunks, in bytes.
    pub memory_bytes: u64,
    /// The seed of random choices.
    pub seed: u64,
}

/// A manifest whose chunks a host must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Want {
    /// The manifest's digest.
    pub manifest: Digest,
    /// The services whose hosts want the manifest too.
    pub services: Vec<smol_str::SmolStr>,
    /// Whether its chunks are brought into the region only once those of the
    /// manifests before it in the list are there; what is in the region already
    /// is exchanged meanwhile.
    pub waits: bool,
}

/// Input to a swarm.
#[derive(Clone, Debug)]
pub enum Event {
    /// A link to another agent is open.
    Up {
        /// The link.
        link: Link,
        /// The agent at the other end.
        peer: Arc<Identity>,
    },
    /// Messages arrived on a link.
    Messages {
        /// The link.
        link: Link,
        /// The messages.
        messages: Vec<Message>,
    },
    /// A link was closed.
    Down {
        /// The link.
        link: Link,
    },
    /// The manifests that this host must hold have changed.
    Wants {
        /// All manifests that it must hold, those to complete first in front.
        wants: Vec<Want>,
        /// Whether to prefer short transfer times or few bytes from the origin.
        objective: Objective,
    },
    /// The membership view has changed.
    View(Arc<View>),
    /// A manifest was read from the object store, or could not be.
    Manifest {
        /// The manifest's digest.
        digest: Digest,
        /// Its bytes; `None` if they could not be read.
        bytes: Option<Bytes>,
    },
    /// A chunk was read from the origin, or could not be.
    Fetched {
        /// The manifest.
        manifest: Id,
        /// The chunk.
        chunk: u32,
        /// Its bytes; `None` if they could not be read.
        bytes: Option<Bytes>,
    },
    /// A chunk was found on this host, such as where the engine loads from; a
    /// chunk that does not match its digest is ignored.
    FoundLocally {
        /// The manifest.
        manifest: Id,
        /// The chunk.
        chunk: u32,
        /// Its bytes.
        bytes: Bytes,
    },
    /// The engine has confirmed the version of a manifest, or has lost it.
    Loaded {
        /// The manifest's digest.
        manifest: Digest,
        /// Whether the engine holds the version now.
        holds: bool,
    },
    /// Time has passed.
    Tick,
}

/// Task for the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send {
        /// The link.
        link: Link,
        /// The message.
        message: Message,
    },
    /// Keep dialed links to exactly these hosts.
    Dial(Vec<Candidate>),
    /// Read a manifest from the object store and answer by
    /// [`Event::Manifest`].
    ReadManifest {
        /// The manifest's digest.
        digest: Digest,
    },
    /// Read a chunk from the origin and answer by [`Event::Fetched`].
    Fetch {
        /// The manifest's digest.
        digest: Digest,
        /// The manifest.
        manifest: Id,
        /// The chunk.
        chunk: u32,
        /// The byte range of the chunk within the weights.
        range: Range<u64>,
    },
    /// Every chunk of a manifest is held and verified.
    Complete {
        /// The manifest's digest.
        manifest: Digest,
    },
    /// A manifest is malformed or exceeds the memory for chunks; its transfer
    /// is abandoned.
    Reject {
        /// The manifest's digest.
        manifest: Digest,
        /// The reason, with the remedy if there is one.
        reason: String,
    },
    /// A received chunk does not match its digest.
    Corrupt {
        /// The manifest.
        manifest: Id,
        /// The chunk.
        chunk: u32,
        /// The host that sent it; `None` if it came from the origin.
        source: Option<host::Name>,
    },
    /// This host, a standby gateway, takes over a stripe that made no progress.
    TakeOver {
        /// The manifest.
        manifest: Id,
        /// The stripe.
        stripe: u32,
    },
}

/// Counters of a swarm, from its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Bytes of chunks sent to other hosts.
    pub sent_bytes: u64,
    /// Bytes of chunks sent to hosts of other regions, a part of `sent_bytes`.
    pub sent_remote_bytes: u64,
    /// Bytes of chunks received from other hosts.
    pub received_bytes: u64,
    /// Bytes of chunks received from the origin.
    pub origin_bytes: u64,
    /// Chunks that did not match their digests.
    pub corrupt_chunks: u64,
    /// Requests cancelled because they made no progress within their timeout.
    pub stalled_requests: u64,
    /// Requests that a peer refused.
    pub refused_requests: u64,
    /// Bytes received that were not used.
    pub wasted_bytes: u64,
}

/// Progress of the transfer of a manifest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The number of chunks held.
    pub held: usize,
    /// The number of chunks held by this host or by one to which it has a link.
    pub reachable: usize,
    /// The number of chunks of the manifest, 0 until the manifest has arrived.
    pub chunks: usize,
    /// Whether every chunk is held, or the engine has loaded them all.
    pub complete: bool,
}

/// State machine of the chunk transfers of one agent.
#[derive(Debug)]
pub struct Swarm {
    config: Config,
    objective: Objective,
    wants: Vec<Want>,
    view: Arc<View>,
    peers: SlotMap<PeerKey, Peer>,
    links: HashMap<Link, PeerKey>,
    hosts: HashMap<host::Name, PeerKey>,
    transfers: BTreeMap<Id, Transfer>,
    store: Store,
    uploads: Queue,
    downloads: Bucket,
    dialed: Vec<Candidate>,
    announce_at: Duration,
    rng: ChaCha8Rng,
    counts: Counts,
    actions: Vec<Action>,
}

impl Swarm {
    /// Creates a swarm that holds and wants nothing.
    pub fn new(config: Config) -> Swarm {
        let rate = config.host_mbit.map(|mbit| mbit * BYTES_PER_MBIT);
        Swarm {
            objective: Objective::default(),
            wants: Vec::new(),
            view: Arc::default(),
            peers: SlotMap::with_key(),
            links: HashMap::new(),
            hosts: HashMap::new(),
            transfers: BTreeMap::new(),
            store: Store::new(config.memory_bytes),
            uploads: Queue::new(rate),
            downloads: Bucket::new(rate),
            dialed: Vec::new(),
            announce_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            counts: Counts::default(),
            actions: Vec::new(),
            config,
        }
    }

    /// Handles one event; returns the tasks that follow from it.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Up { link, peer } => self.link_up(link, peer),
            Event::Messages { link, messages } => {
                for message in messages {
                    self.receive(now, link, message);
                }
            }
            Event::Down { link } => self.link_down(link),
            Event::Wants { wants, objective } => self.set_wants(now, wants, objective),
            Event::View(view) => self.set_view(view),
            Event::Manifest { digest, bytes } => self.manifest_read(now, &digest, bytes),
            Event::Fetched {
                manifest,
                chunk,
                bytes,
            } => self.fetched(now, manifest, chunk, bytes),
            Event::FoundLocally {
                manifest,
                chunk,
                bytes,
            } => self.found_locally(now, manifest, chunk, bytes),
            Event::Loaded { manifest, holds } => self.set_loaded(&manifest, holds),
            Event::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest time at which to send the next [`Event::Tick`].
    pub fn next_wakeup(&self, now: Duration) -> Duration {
        let active = self.transfers.values().any(|one| !one.is_settled());
        let mut wake = now + if active { TICK_INTERVAL } else { IDLE_INTERVAL };
        if !self.uploads.is_empty() {
            wake = wake.min(self.uploads.ready_at());
        }
        if self.transfers.values().any(|one| one.has_remote_requests()) {
            let controllers = self
                .peers
                .values()
                .filter_map(|peer| peer.controller.as_ref());
            let next = controllers
                .map(|controller| controller.next_request_at())
                .filter(|next| *next > now);
            wake = next.min().map_or(wake, |next| wake.min(next));
        }
        wake.max(now)
    }

    /// Sets the rate of this host's link that chunks may use in each direction.
    pub fn set_host_mbit(&mut self, mbit: f64) {
        self.config.host_mbit = Some(mbit);
        self.uploads.set_rate(mbit * BYTES_PER_MBIT);
        self.downloads.set_rate(mbit * BYTES_PER_MBIT);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the bytes of all chunks held.
    pub fn held_bytes(&self) -> u64 {
        self.store.bytes()
    }

    /// Returns the progress of a manifest, or `None` if it is not wanted.
    pub fn progress(&self, manifest: &Digest) -> Option<Progress> {
        let id = Id::of(manifest);
        let transfer = self.transfers.get(&id)?;
        let elsewhere = transfer.held.missing();
        let elsewhere =
            elsewhere.filter(|chunk| self.peers.values().any(|one| one.holds(id, *chunk)));
        Some(Progress {
            held: transfer.held.count(),
            reachable: transfer.held.count() + elsewhere.count(),
            chunks: transfer.held.length(),
            complete: transfer.is_complete(),
        })
    }

    /// Returns whether every chunk of a manifest is held and verified.
    pub fn has_all_chunks(&self, manifest: &Digest) -> bool {
        let transfer = self.transfers.get(&Id::of(manifest));
        transfer.is_some_and(|one| one.manifest.is_some() && one.held.is_full())
    }

    /// Returns a manifest that has arrived.
    pub fn manifest(&self, manifest: &Digest) -> Option<&Arc<Manifest>> {
        self.transfers.get(&Id::of(manifest))?.manifest.as_ref()
    }

    /// Returns a chunk of a manifest, if it is held.
    pub fn chunk(&self, manifest: &Digest, chunk: u32) -> Option<Bytes> {
        let digest = self.manifest(manifest)?.chunks.get(chunk as usize)?;
        self.store.get(digest)
    }

    /// Returns all chunks of a manifest in order, if every one is held.
    pub fn weights(&self, manifest: &Digest) -> Option<Vec<Bytes>> {
        let digests = &self.manifest(manifest)?.chunks;
        digests
            .iter()
            .map(|digest| self.store.get(digest))
            .collect()
    }

    fn set_wants(&mut self, now: Duration, wants: Vec<Want>, objective: Objective) {
        self.objective = objective;
        if self.wants == wants {
            return;
        }
        self.wants = wants;
        let wanted: Vec<Id> = self.wants.iter().map(|w| Id::of(&w.manifest)).collect();
        let unwanted: Vec<Id> = self
            .transfers
            .keys()
            .copied()
            .filter(|id| !wanted.contains(id))
            .collect();
        for id in unwanted {
            self.remove_transfer(id);
        }
        for want in self.wants.clone() {
            let id = Id::of(&want.manifest);
            let transfer = self.transfers.entry(id);
            transfer.or_insert_with(|| Transfer::new(want.manifest, now));
        }
        self.replan();
    }

    fn set_view(&mut self, view: Arc<View>) {
        self.view = view;
        self.replan();
    }

    fn replan(&mut self) {
        for want in &self.wants {
            let Some(transfer) = self.transfers.get_mut(&Id::of(&want.manifest)) else {
                continue;
            };
            let members: Vec<&Member> = self
                .view
                .members
                .iter()
                .filter(|member| wants(member, want))
                .collect();
            transfer.plan = Plan::new(
                self.config.policy,
                &want.manifest,
                &self.config.host,
                &self.config.region,
                self.config.origin_region.as_ref(),
                &members,
            );
        }
    }

    fn remove_transfer(&mut self, id: Id) {
        self.transfers.remove(&id);
        self.uploads.remove_manifest(id);
        for peer in self.peers.values_mut() {
            peer.remove_manifest(id);
        }
    }

    fn send(&mut self, peer: PeerKey, message: Message) {
        let link = self.peers.get(peer).and_then(|peer| peer.links.first());
        if let Some(link) = link.copied() {
            self.actions.push(Action::Send { link, message });
        }
    }

    fn advance(&mut self, now: Duration) {
        let ids: Vec<Id> = self
            .wants
            .iter()
            .map(|want| Id::of(&want.manifest))
            .collect();
        for id in &ids {
            self.request_manifest(now, *id);
            self.cancel_stalled(now, *id);
            self.fetch_stripes(now, *id);
            self.request_local(now, *id);
        }
        self.serve(now);
        if now >= self.announce_at {
            self.announce_at = now + TICK_INTERVAL;
            for id in &ids {
                self.announce_chunks(now, *id);
            }
            self.lift_bans(now);
            self.update_dials(now);
        }
    }

    /// Updates the hosts to dial to those that the plans of unfinished transfers
    /// name.
    fn update_dials(&mut self, now: Duration) {
        let mut wanted: Vec<Candidate> = Vec::new();
        let ids: Vec<Id> = self.transfers.keys().copied().collect();
        for id in ids {
            let transfer = &self.transfers[&id];
            if self.is_finished(now, transfer) {
                continue;
            }
            wanted.extend(transfer.plan.neighbours.iter().cloned());
            wanted.extend(self.gateways_to_dial(now, transfer));
        }
        wanted.retain(|one| one.host != self.config.host);
        wanted.sort_by(|one, other| one.host.cmp(&other.host));
        wanted.dedup_by(|one, other| one.host == other.host);
        if wanted != self.dialed {
            self.dialed = wanted.clone();
            self.actions.push(Action::Dial(wanted));
        }
    }
}

fn wants(member: &Member, want: &Want) -> bool {
    let live = member.state == crate::membership::State::Live;
    let service = member.service.as_ref();
    live && member.role == host::Role::Agent && service.is_some_and(|s| want.services.contains(s))
}
