//! Drives the state machine [`Swarm`](swarm::Swarm) with the links, the origin
//! of weights and the object store.

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

use super::PeerState;
use super::Shared;
use super::metrics::Metrics;
use super::wants;

/// The maximum number of link events processed at once.
const EVENT_BATCH_MAX: usize = 32;
/// How often the metrics are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the process exits.
pub(super) async fn run(
    shared: Shared,
    mut inbox: mpsc::Receiver<Event<Message>>,
    mut loaded: mpsc::UnboundedReceiver<(Digest, bool)>,
) {
    let (results, mut results_inbox) = mpsc::unbounded_channel();
    let mut configuration = shared.context.configuration.clone();
    let mut view = shared.context.view.clone();
    let mut driver = Driver {
        origin: Origin::open(&shared.context.config.origin),
        metrics: Metrics::open(&shared.context.registry),
        next_metrics_update: Duration::ZERO,
        results,
        links: HashMap::new(),
        swarm_peers: Vec::new(),
        dialed: Vec::new(),
        shared,
    };
    driver.configure();
    driver.update_view();
    let mut events = Vec::new();
    loop {
        let next_wakeup = driver.next_wakeup();
        tokio::select! {
            count = inbox.recv_many(&mut events, EVENT_BATCH_MAX) => {
                if count == 0 {
                    return;
                }
                for event in events.drain(..) {
                    driver.handle_link_event(event);
                }
            }
            Some(event) = results_inbox.recv() => driver.handle(event),
            Some((manifest, holds)) = loaded.recv() => {
                driver.handle(swarm::Event::Loaded { manifest, holds });
            }
            Ok(()) = configuration.changed() => driver.configure(),
            Ok(()) = view.changed() => driver.update_view(),
            () = sleep_until(next_wakeup) => driver.handle(swarm::Event::Tick),
        }
        driver.update_metrics();
    }
}

struct Driver {
    shared: Shared,
    origin: Origin,
    metrics: Metrics,
    next_metrics_update: Duration,
    results: mpsc::UnboundedSender<swarm::Event>,
    links: HashMap<link::Key, host::Name>,
    /// The hosts to which the swarm needs dialed links.
    swarm_peers: Vec<Candidate>,
    /// The hosts that the hub dials for this task.
    dialed: Vec<Candidate>,
}

impl Driver {
    fn next_wakeup(&self) -> Instant {
        let now = self.shared.context.now();
        let next_wakeup = self.shared.swarm.lock().next_wakeup(now);
        self.shared.context.started + next_wakeup
    }

    fn configure(&mut self) {
        let in_force = self.shared.context.configuration.borrow().clone();
        let service = self.shared.context.config.service.as_deref();
        let wants = wants(&in_force.document, service);
        let objective = in_force.document.rollout.objective;
        self.handle(swarm::Event::Wants { wants, objective });
        self.shared.engine_wakeup.notify_one();
    }

    fn update_view(&mut self) {
        let view = self.shared.context.view.borrow().clone();
        self.handle(swarm::Event::View(view));
        self.shared.engine_wakeup.notify_one();
    }

    fn handle_link_event(&mut self, event: Event<Message>) {
        match event {
            Event::Up { link, peer, .. } if peer.role == Role::Agent => {
                self.links.insert(link, peer.host.clone());
                let mut peers = self.shared.peers.lock();
                peers.entry(peer.host.clone()).or_default().links += 1;
                drop(peers);
                let link = link_id(link);
                self.handle(swarm::Event::Up { link, peer });
            }
            Event::Up { .. } => {}
            Event::Messages { link, messages } => {
                let link = link_id(link);
                self.handle(swarm::Event::Messages { link, messages });
            }
            Event::Summary { link, summary } => {
                if let Some(host) = self.links.get(&link) {
                    let mut peers = self.shared.peers.lock();
                    let peer = peers.entry(host.clone()).or_default();
                    peer.confirmed.clone_from(&summary.confirmed);
                    drop(peers);
                    self.shared.engine_wakeup.notify_one();
                }
            }
            Event::Down { link, .. } => self.remove_link(link),
        }
    }

    fn remove_link(&mut self, link: link::Key) {
        let Some(host) = self.links.remove(&link) else {
            return;
        };
        let mut peers = self.shared.peers.lock();
        let links = peers.get_mut(&host).map_or(0, |peer: &mut PeerState| {
            peer.links -= 1;
            peer.links
        });
        if links == 0 {
            peers.remove(&host);
        }
        drop(peers);
        let link = link_id(link);
        self.handle(swarm::Event::Down { link });
    }

    fn handle(&mut self, event: swarm::Event) {
        let now = self.shared.context.now();
        let actions = self.shared.swarm.lock().handle(now, event);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { link, message } => self.send(link, message),
            Action::Dial(selected) => {
                self.swarm_peers = selected;
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
                log::info!("E3001 all chunks of manifest {manifest} are held and verified");
                self.shared.engine_wakeup.notify_one();
            }
            Action::Corrupt { chunk, source, .. } => match source {
                Some(host) => log::warn!("E3002 chunk {chunk} from {host} is corrupt"),
                None => log::warn!("E3002 chunk {chunk} from the origin is corrupt"),
            },
            Action::Reject { manifest, reason } => {
                log::error!("E3003 manifest {manifest} is rejected: {reason}");
            }
            Action::TakeOver { stripe, .. } => {
                log::info!("E3004 took over stripe {stripe}, which made no progress");
            }
        }
    }

    fn send(&self, link: Link, message: Message) {
        let hub = self.shared.context.hub.clone();
        let link_key = link::Key::from(KeyData::from_ffi(link.0));
        let frame = Frame::Weights(message);
        let is_chunk = frame.class() == snipewinch::wire::Class::Chunk;
        // A request that is lost with its frame is repeated after a timeout.
        // Chunks wait for a slow peer; few are in flight to each.
        match is_chunk {
            true if hub.has_chunk_capacity(link_key) => drop(hub.send(link_key, frame)),
            true => drop(tokio::spawn(async move {
                hub.send_when_ready(link_key, frame).await
            })),
            false => drop(hub.send(link_key, frame)),
        }
    }

    fn read_manifest(&self, digest: Digest) {
        let platform = self.shared.context.platform.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let bytes = match platform.get_object(&manifest_name(&digest)).await {
                Ok(Some(bytes)) => Some(bytes),
                Ok(None) => {
                    log::warn!("E3005 manifest {digest} is not in the object store");
                    None
                }
                Err(error) => {
                    log::warn!("E3005 manifest {digest} could not be read: {error}");
                    None
                }
            };
            let _ = results.send(swarm::Event::Manifest { digest, bytes });
        });
    }

    fn fetch(&self, digest: Digest, manifest: Id, chunk: u32, range: Range<u64>) {
        let origin = self.origin.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let bytes = match origin.read(&digest, range).await {
                Ok(bytes) => Some(bytes),
                Err(error) => {
                    log::debug!("E3006 chunk {chunk} could not be read from the origin: {error}");
                    None
                }
            };
            let _ = results.send(swarm::Event::Fetched {
                manifest,
                chunk,
                bytes,
            });
        });
    }

    /// Has the hub keep dialed links to exactly the hosts that the swarm and
    /// the rollout need.
    fn redial(&mut self) {
        let mut selected = self.swarm_peers.clone();
        selected.extend(self.shared.awaited.lock().iter().cloned());
        selected.sort_by(|one, other| one.host.cmp(&other.host));
        selected.dedup_by(|one, other| one.host == other.host);
        if selected == self.dialed {
            return;
        }
        let hub = &self.shared.context.hub;
        for old in &self.dialed {
            if !selected.iter().any(|one| one.host == old.host) {
                hub.stop_dialing(&old.host);
            }
        }
        for one in &selected {
            hub.dial(one.host.clone(), one.address);
        }
        self.dialed = selected;
    }

    fn update_metrics(&mut self) {
        let now = self.shared.context.now();
        if now < self.next_metrics_update {
            return;
        }
        self.next_metrics_update = now + METRICS_INTERVAL;
        // The engine's task may have changed the hosts that it waits for.
        self.redial();
        let service = self.shared.context.config.service.as_deref();
        let document = self.shared.context.configuration.borrow().document.clone();
        let swarm = self.shared.swarm.lock();
        let progress = super::targets(&document, service)
            .iter()
            .filter_map(|target| swarm.progress(&target.manifest))
            .collect::<Vec<_>>();
        self.metrics.set(&swarm, &progress);
    }
}

/// The identifier of a link in the state machine.
fn link_id(link: link::Key) -> Link {
    Link(link.data().as_ffi())
}
