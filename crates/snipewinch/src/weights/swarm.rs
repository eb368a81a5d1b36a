//! Fetches, checks and passes on the chunks of every version that a host must
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
use crate::document::Weigh;
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

/// How often news of chunks that are new in the region are sent, and stalls
/// looked for.
const TICK: Duration = Duration::from_millis(25);
/// How often news of other chunks are sent.
const NEWS: Duration = Duration::from_millis(100);
/// How often to look when nothing moves.
const IDLE: Duration = Duration::from_secs(1);
/// Bytes a second for one megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;

slotmap::new_key_type! {
    /// Names a peer while a link to it is up.
    pub struct PeerKey;
}

/// Names a link; the embedder chooses the numbers and never uses one again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Link(pub u64);

/// How a swarm behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// This host.
    pub host: host::Name,
    /// Its region.
    pub region: Region,
    /// The region of the origin; the first by name if it is not known.
    pub origin_region: Option<Region>,
    /// By which scheme chunks spread.
    pub policy: Policy,
    /// The rate of this host's link, each way; none means no limit.
    pub host_mbit: Option<f64>,
    /// The rate of a link between regions; none if it is not known.
    pub region_mbit: Option<f64>,
    /// The most memory for chunks.
    pub memory_bytes: u64,
    /// Where random choices start from.
    pub seed: u64,
}

/// What a host must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Want {
    /// The manifest's digest.
    pub manifest: Digest,
    /// The services whose hosts want it as well.
    pub services: Vec<smol_str::SmolStr>,
}

/// What happens to a swarm.
#[derive(Clone, Debug)]
pub enum Event {
    /// A link to another agent is open.
    Up {
        /// The link.
        link: Link,
        /// Who is at the other end.
        peer: Arc<Identity>,
    },
    /// Messages arrived on a link.
    Messages {
        /// The link.
        link: Link,
        /// The messages.
        messages: Vec<Message>,
    },
    /// A link is gone.
    Down {
        /// The link.
        link: Link,
    },
    /// What this host must hold has changed.
    Wants {
        /// All that it must hold.
        wants: Vec<Want>,
        /// What to spend when time and origin bytes pull apart.
        weigh: Weigh,
    },
    /// The hosts have changed.
    View(Arc<View>),
    /// The object store answered.
    Manifest {
        /// The manifest's digest.
        digest: Digest,
        /// Its bytes, unless they could not be read.
        bytes: Option<Bytes>,
    },
    /// The origin answered.
    Fetched {
        /// The manifest.
        manifest: Id,
        /// The chunk.
        chunk: u32,
        /// Its bytes, unless they could not be read.
        bytes: Option<Bytes>,
    },
    /// A chunk was found on this host, such as where the engine loads from;
    /// one that does not match its digest is passed over.
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
        /// Whether it holds the version now.
        holds: bool,
    },
    /// Time has passed.
    Tick,
}

/// What the embedder must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send {
        /// The link.
        link: Link,
        /// The message.
        message: Message,
    },
    /// Keep links to exactly these hosts.
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
        /// The place of the chunk within the weights.
        range: Range<u64>,
    },
    /// Every chunk of a manifest is here and checked.
    Complete {
        /// The manifest's digest.
        manifest: Digest,
    },
    /// A manifest can't be held or is none; it is given up.
    Reject {
        /// The manifest's digest.
        manifest: Digest,
        /// Why, with the remedy.
        reason: String,
    },
    /// A chunk from a source does not match its digest.
    Corrupt {
        /// The manifest.
        manifest: Id,
        /// The chunk.
        chunk: u32,
        /// The host that sent it; none if it was the origin.
        source: Option<host::Name>,
    },
    /// This host takes over chunks that another should have brought.
    TakeOver {
        /// The manifest.
        manifest: Id,
        /// The stripe.
        stripe: u32,
    },
}

/// What a swarm counts, from its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Bytes of chunks sent to other hosts.
    pub sent_bytes: u64,
    /// Bytes of chunks sent to hosts of other regions.
    pub sent_remote_bytes: u64,
    /// Bytes of chunks received from other hosts.
    pub received_bytes: u64,
    /// Bytes of chunks received from the origin.
    pub origin_bytes: u64,
    /// Chunks that did not match their digests.
    pub corrupt_chunks: u64,
    /// Requests given up because nothing came.
    pub stalled_requests: u64,
    /// Requests that a peer refused.
    pub refused_requests: u64,
    /// Bytes received in vain.
    pub wasted_bytes: u64,
}

/// How far a manifest has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Chunks held.
    pub held: usize,
    /// Chunks in all, 0 until the manifest is here.
    pub chunks: usize,
    /// Whether every chunk was held at some time and none is missing that the
    /// engine still needs.
    pub whole: bool,
}

/// The state machine.
#[derive(Debug)]
pub struct Swarm {
    config: Config,
    weigh: Weigh,
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
    news_at: Duration,
    rng: ChaCha8Rng,
    counts: Counts,
    actions: Vec<Action>,
}

impl Swarm {
    /// A swarm that holds and wants nothing.
    pub fn new(config: Config) -> Swarm {
        let rate = config.host_mbit.map(|mbit| mbit * BYTES_PER_MBIT);
        Swarm {
            weigh: Weigh::default(),
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
            news_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            counts: Counts::default(),
            actions: Vec::new(),
            config,
        }
    }

    /// Takes one event in; answers what to do.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Up { link, peer } => self.up(link, peer),
            Event::Messages { link, messages } => {
                for message in messages {
                    self.receive(now, link, message);
                }
            }
            Event::Down { link } => self.down(link),
            Event::Wants { wants, weigh } => self.want(now, wants, weigh),
            Event::View(view) => self.see(view),
            Event::Manifest { digest, bytes } => self.read(now, &digest, bytes),
            Event::Fetched {
                manifest,
                chunk,
                bytes,
            } => self.fetched(now, manifest, chunk, bytes),
            Event::FoundLocally {
                manifest,
                chunk,
                bytes,
            } => self.kept(now, manifest, chunk, bytes),
            Event::Loaded { manifest, holds } => self.loaded(&manifest, holds),
            Event::Tick => {}
        }
        self.pump(now);
        std::mem::take(&mut self.actions)
    }

    /// When to send the next [`Event::Tick`] at the latest.
    pub fn wake(&self, now: Duration) -> Duration {
        let moving = self.transfers.values().any(|one| !one.is_settled());
        let mut wake = now + if moving { TICK } else { IDLE };
        if !self.uploads.is_empty() {
            wake = wake.min(self.uploads.ready_at());
        }
        if self.transfers.values().any(|one| one.is_pulling()) {
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

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Bytes of chunks held.
    pub fn held_bytes(&self) -> u64 {
        self.store.bytes()
    }

    /// How far a manifest has come; none if it is not wanted.
    pub fn progress(&self, manifest: &Digest) -> Option<Progress> {
        let transfer = self.transfers.get(&Id::of(manifest))?;
        Some(Progress {
            held: transfer.held.count(),
            chunks: transfer.held.length(),
            whole: transfer.is_whole(),
        })
    }

    /// Whether every chunk of a manifest is here and checked.
    pub fn has_all_chunks(&self, manifest: &Digest) -> bool {
        let transfer = self.transfers.get(&Id::of(manifest));
        transfer.is_some_and(|one| one.manifest.is_some() && one.held.is_full())
    }

    /// A manifest that is here.
    pub fn manifest(&self, manifest: &Digest) -> Option<&Arc<Manifest>> {
        self.transfers.get(&Id::of(manifest))?.manifest.as_ref()
    }

    /// All weights of a manifest in order, if every chunk is here and checked.
    pub fn weights(&self, manifest: &Digest) -> Option<Vec<Bytes>> {
        let digests = &self.manifest(manifest)?.chunks;
        digests
            .iter()
            .map(|digest| self.store.get(digest))
            .collect()
    }

    fn want(&mut self, now: Duration, wants: Vec<Want>, weigh: Weigh) {
        self.weigh = weigh;
        if self.wants == wants {
            return;
        }
        self.wants = wants;
        let kept: Vec<Id> = self.wants.iter().map(|w| Id::of(&w.manifest)).collect();
        let gone: Vec<Id> = self
            .transfers
            .keys()
            .copied()
            .filter(|id| !kept.contains(id))
            .collect();
        for id in gone {
            self.close(id);
        }
        for want in self.wants.clone() {
            let id = Id::of(&want.manifest);
            let transfer = self.transfers.entry(id);
            transfer.or_insert_with(|| Transfer::new(want.manifest, now));
        }
        self.replan();
    }

    fn see(&mut self, view: Arc<View>) {
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

    fn close(&mut self, id: Id) {
        self.transfers.remove(&id);
        self.uploads.remove_manifest(id);
        for peer in self.peers.values_mut() {
            peer.close(id);
        }
    }

    fn send(&mut self, peer: PeerKey, message: Message) {
        let link = self.peers.get(peer).and_then(|peer| peer.links.first());
        if let Some(link) = link.copied() {
            self.actions.push(Action::Send { link, message });
        }
    }

    fn pump(&mut self, now: Duration) {
        let ids: Vec<Id> = self.transfers.keys().copied().collect();
        for id in &ids {
            self.seek_manifest(now, *id);
            self.give_up(now, *id);
            self.bring(now, *id);
            self.pick(now, *id);
        }
        self.serve(now);
        if now >= self.news_at {
            self.news_at = now + TICK;
            for id in &ids {
                self.tell_news(now, *id);
            }
            self.pardon(now);
            self.redial(now);
        }
    }

    /// Asks to be linked to those that the plans name, while it matters.
    fn redial(&mut self, now: Duration) {
        let mut wanted: Vec<Candidate> = Vec::new();
        let ids: Vec<Id> = self.transfers.keys().copied().collect();
        for id in ids {
            let transfer = &self.transfers[&id];
            if self.is_quiet(now, transfer) {
                continue;
            }
            wanted.extend(transfer.plan.neighbours.iter().cloned());
            wanted.extend(self.upstreams(now, transfer));
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
