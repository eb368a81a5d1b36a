//! Drives the exchange of chunks over the links, the origin and the object
//! store.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use peer::link;
use peer::link::Event;
use platform::objects::manifest_name;
use platform::origin::Origin;
use slotmap::Key;
use slotmap::KeyData;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::weights::Message;
use snipewinch::weights::manifest::Id;
use snipewinch::weights::plan::Candidate;
use snipewinch::weights::swarm;
use snipewinch::weights::swarm::Action;
use snipewinch::weights::swarm::Link;
use snipewinch::wire::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::Seen;
use super::Shared;
use super::metrics::Metrics;
use super::wants;

/// Events of links that are taken in at once.
const EVENTS_AT_ONCE: usize = 32;
/// How often counters are brought up to date.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the process ends.
pub(super) async fn run(
    shared: Shared,
    mut inbox: mpsc::Receiver<Event<Message>>,
    mut loaded: mpsc::UnboundedReceiver<(Digest, bool)>,
) {
    let (answers, mut answered) = mpsc::unbounded_channel();
    let mut configuration = shared.node.configuration.clone();
    let mut view = shared.node.view.clone();
    let mut edge = Edge {
        origin: Origin::open(&shared.node.config.origin),
        metrics: Metrics::open(&shared.node.registry),
        metrics_at: Duration::ZERO,
        answers,
        links: HashMap::new(),
        wanted: Vec::new(),
        dialed: Vec::new(),
        shared,
    };
    edge.configure();
    edge.look();
    let mut events = Vec::new();
    loop {
        let wake = edge.wake();
        tokio::select! {
            count = inbox.recv_many(&mut events, EVENTS_AT_ONCE) => {
                if count == 0 {
                    return;
                }
                for event in events.drain(..) {
                    edge.take(event);
                }
            }
            Some(event) = answered.recv() => edge.handle(event),
            Some((manifest, holds)) = loaded.recv() => {
                edge.handle(swarm::Event::Loaded { manifest, holds });
            }
            Ok(()) = configuration.changed() => edge.configure(),
            Ok(()) = view.changed() => edge.look(),
            () = sleep_until(wake) => edge.handle(swarm::Event::Tick),
        }
        edge.count();
    }
}

struct Edge {
    shared: Shared,
    origin: Origin,
    metrics: Metrics,
    metrics_at: Duration,
    answers: mpsc::UnboundedSender<swarm::Event>,
    links: HashMap<link::Key, host::Name>,
    /// Whom the swarm wants links to.
    wanted: Vec<Candidate>,
    /// Whom this part has had dialed.
    dialed: Vec<Candidate>,
}

impl Edge {
    fn wake(&self) -> Instant {
        let now = self.shared.node.now();
        let wake = self.shared.swarm.lock().next_wakeup(now);
        self.shared.node.started + wake
    }

    fn configure(&mut self) {
        let in_force = self.shared.node.configuration.borrow().clone();
        let service = self.shared.node.config.service.as_deref();
        let wants = wants(&in_force.document, service);
        let objective = in_force.document.rollout.objective;
        self.handle(swarm::Event::Wants { wants, objective });
        self.shared.news.notify_one();
    }

    fn look(&mut self) {
        let view = self.shared.node.view.borrow().clone();
        self.handle(swarm::Event::View(view));
        self.shared.news.notify_one();
    }

    fn take(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, peer, .. } if peer.role == Role::Agent => {
                self.links.insert(link, peer.host.clone());
                let mut peers = self.shared.peers.lock();
                peers.entry(peer.host.clone()).or_default().links += 1;
                drop(peers);
                let link = number(link);
                self.handle(swarm::Event::Up { link, peer });
            }
            Event::Up { .. } => {}
            Event::Messages { link, messages } => {
                let link = number(link);
                self.handle(swarm::Event::Messages { link, messages });
            }
            Event::Summary { link, summary } => {
                if let Some(host) = self.links.get(&link) {
                    let mut peers = self.shared.peers.lock();
                    let seen = peers.entry(host.clone()).or_default();
                    seen.confirmed.clone_from(&summary.confirmed);
                    drop(peers);
                    self.shared.news.notify_one();
                }
            }
            Event::Down { link, .. } => self.lose(link),
        }
    }

    fn lose(&mut self, link: link::Key) {
        let Some(host) = self.links.remove(&link) else {
            return;
        };
        let mut peers = self.shared.peers.lock();
        let left = peers.get_mut(&host).map_or(0, |seen: &mut Seen| {
            seen.links -= 1;
            seen.links
        });
        if left == 0 {
            peers.remove(&host);
        }
        drop(peers);
        let link = number(link);
        self.handle(swarm::Event::Down { link });
    }

    fn handle(&mut self, event: swarm::Event) {
        let now = self.shared.node.now();
        let actions = self.shared.swarm.lock().handle(now, event);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { link, message } => self.send(link, message),
            Action::Dial(wanted) => {
                self.wanted = wanted;
                self.redial();
            }
            Action::ReadManifest { digest } => self.read_manifest(digest),
            Action::Fetch {
                digest,
                manifest,
                chunk,
                range,
            } => self.fetch(digest, manifest, chunk, range),
            Action::Complete { manifest } => {
                log::info!("E3001 weights of manifest {manifest} are whole");
                self.shared.news.notify_one();
            }
            Action::Corrupt { chunk, source, .. } => match source {
                Some(host) => log::warn!("E3002 chunk {chunk} from {host} is corrupt"),
                None => log::warn!("E3002 chunk {chunk} from the origin is corrupt"),
            },
            Action::Reject { manifest, reason } => {
                log::error!("E3003 manifest {manifest} is given up: {reason}");
            }
            Action::TakeOver { stripe, .. } => {
                log::info!("E3004 stepped in for stripe {stripe}");
            }
        }
    }

    fn send(&self, link: Link, message: Message) {
        let hub = self.shared.node.hub.clone();
        let link = link::Key::from(KeyData::from_ffi(link.0));
        let frame = Frame::Weights(message);
        let bulk = frame.class() == snipewinch::wire::Class::Chunk;
        // What a lost frame asked for is asked again after a while; chunks
        // are few for each peer and wait for a slow one.
        match bulk {
            true if hub.has_room(link) => drop(hub.send(link, frame)),
            true => drop(tokio::spawn(async move {
                hub.send_when_ready(link, frame).await
            })),
            false => drop(hub.send(link, frame)),
        }
    }

    fn read_manifest(&self, digest: Digest) {
        let platform = self.shared.node.platform.clone();
        let answers = self.answers.clone();
        tokio::spawn(async move {
            let bytes = match platform.get_object(&manifest_name(&digest)).await {
                Ok(Some(bytes)) => Some(bytes),
                Ok(None) => {
                    log::warn!("E3005 the object store has no manifest {digest}");
                    None
                }
                Err(error) => {
                    log::warn!("E3005 manifest {digest} was not read: {error}");
                    None
                }
            };
            let _ = answers.send(swarm::Event::Manifest { digest, bytes });
        });
    }

    fn fetch(&self, digest: Digest, manifest: Id, chunk: u32, range: Range<u64>) {
        let origin = self.origin.clone();
        let answers = self.answers.clone();
        tokio::spawn(async move {
            let bytes = match origin.read(&digest, range).await {
                Ok(bytes) => Some(bytes),
                Err(error) => {
                    log::debug!("E3006 chunk {chunk} was not read: {error}");
                    None
                }
            };
            let _ = answers.send(swarm::Event::Fetched {
                manifest,
                chunk,
                bytes,
            });
        });
    }

    /// Keeps links to whom the swarm and the rollout name.
    fn redial(&mut self) {
        let mut wanted = self.wanted.clone();
        wanted.extend(self.shared.watched.lock().iter().cloned());
        wanted.sort_by(|one, other| one.host.cmp(&other.host));
        wanted.dedup_by(|one, other| one.host == other.host);
        if wanted == self.dialed {
            return;
        }
        let hub = &self.shared.node.hub;
        for old in &self.dialed {
            if !wanted.iter().any(|one| one.host == old.host) {
                hub.forget(&old.host);
            }
        }
        for one in &wanted {
            hub.dial(one.host.clone(), one.address);
        }
        self.dialed = wanted;
    }

    fn count(&mut self) {
        let now = self.shared.node.now();
        if now < self.metrics_at {
            return;
        }
        self.metrics_at = now + METRICS_INTERVAL;
        // What the engine's task watches may have changed.
        self.redial();
        let service = self.shared.node.config.service.as_deref();
        let document = self.shared.node.configuration.borrow().document.clone();
        let swarm = self.shared.swarm.lock();
        let progress = super::targets(&document, service)
            .iter()
            .filter_map(|target| swarm.progress(&target.manifest))
            .collect::<Vec<_>>();
        self.metrics.set(&swarm, &progress);
    }
}

fn number(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}
