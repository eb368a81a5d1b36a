//! All links of one process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use prometheus::Registry;
use slotmap::SlotMap;
use snafu::ResultExt;
use snipewinch::call;
use snipewinch::configuration;
use snipewinch::host;
use snipewinch::host::Identity;
use snipewinch::limit;
use snipewinch::membership;
use snipewinch::weights;
use snipewinch::wire::Class;
use snipewinch::wire::Frame;
use snipewinch::wire::Summary;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::Error;
use crate::FleetKey;
use crate::activity::Activity;
use crate::error::BindSnafu;
use crate::link;
use crate::link::Event;
use crate::metrics::Metrics;

mod accept;
mod dial;
mod session;

/// Events that wait for a part before its links are held back.
const EVENTS_MAX: usize = 1024;

/// How a hub behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen for peers; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How this process introduces itself. The address is replaced by the one
    /// bound if its port is 0.
    pub identity: Identity,
    /// The fleet's secret.
    pub key: FleetKey,
    /// How often to send a heartbeat on each link.
    pub heartbeat_interval: Duration,
    /// After how long without a byte a link is replaced.
    pub idle_timeout: Duration,
}

/// The default interval of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);
/// The default silence after which a link is replaced.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2250);

/// What each part of the process receives.
#[derive(Debug)]
pub struct Inbox {
    /// Calls.
    pub calls: mpsc::Receiver<Event<call::Message>>,
    /// Weights.
    pub weights: mpsc::Receiver<Event<weights::Message>>,
    /// Configuration.
    pub configuration: mpsc::Receiver<Event<configuration::Message>>,
    /// Membership.
    pub membership: mpsc::Receiver<Event<membership::Message>>,
    /// Limits.
    pub limits: mpsc::Receiver<Event<limit::Message>>,
}

#[derive(Clone, Debug)]
struct Parts {
    calls: mpsc::Sender<Event<call::Message>>,
    weights: mpsc::Sender<Event<weights::Message>>,
    configuration: mpsc::Sender<Event<configuration::Message>>,
    membership: mpsc::Sender<Event<membership::Message>>,
    limits: mpsc::Sender<Event<limit::Message>>,
}

/// All links of one process; clones share them.
#[derive(Clone, Debug)]
pub struct Hub {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: Arc<Identity>,
    key: FleetKey,
    heartbeat_interval: Duration,
    idle_timeout: Duration,
    links: Mutex<SlotMap<link::Key, Outbound>>,
    dials: Mutex<HashMap<host::Name, Dial>>,
    summary: watch::Sender<Summary>,
    load: Load,
    closing: watch::Sender<bool>,
    parts: Parts,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Load {
    running: AtomicU32,
    waiting: AtomicU32,
    capacity: AtomicU32,
}

#[derive(Debug)]
struct Dial {
    address: SocketAddr,
    task: AbortHandle,
}

/// The queues of one link, by what is sent first.
#[derive(Clone, Debug)]
struct Outbound {
    urgent: mpsc::Sender<Frame>,
    bulk: mpsc::Sender<Frame>,
    peer: Arc<Identity>,
    end: Arc<watch::Sender<Option<link::Reason>>>,
    activity: Activity,
}

impl Hub {
    /// Listens for peers and starts the hub.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address can't be bound.
    pub async fn bind(config: Config, registry: &Registry) -> Result<(Hub, Inbox), Error> {
        let listener = TcpListener::bind(config.listen).await.context(BindSnafu {
            address: config.listen,
        })?;
        let bound = listener.local_addr().context(BindSnafu {
            address: config.listen,
        })?;
        let mut identity = config.identity;
        if identity.address.port() == 0 {
            identity.address.set_port(bound.port());
        }
        let (parts, inbox) = channels();
        let shared = Arc::new(Shared {
            identity: Arc::new(identity),
            key: config.key,
            heartbeat_interval: config.heartbeat_interval,
            idle_timeout: config.idle_timeout,
            links: Mutex::default(),
            dials: Mutex::default(),
            summary: watch::Sender::new(Summary::default()),
            load: Load::default(),
            closing: watch::Sender::new(false),
            parts,
            metrics: Metrics::register(registry),
        });
        tokio::spawn(accept::run(shared.clone(), listener));
        Ok((Hub { shared }, inbox))
    }

    /// How this process introduces itself, with the bound address.
    pub fn identity(&self) -> &Arc<Identity> {
        &self.shared.identity
    }

    /// Keeps a link to `host` open until [`Hub::stop_dialing`]. A changed
    /// address replaces the link.
    pub fn dial(&self, host: host::Name, address: SocketAddr) {
        let mut dials = self.shared.dials.lock();
        match dials.get(&host) {
            Some(dial) if dial.address == address => return,
            Some(dial) => dial.task.abort(),
            None => {}
        }
        let task = tokio::spawn(dial::run(self.shared.clone(), host.clone(), address));
        let task = task.abort_handle();
        dials.insert(host, Dial { address, task });
    }

    /// Stops dialing `host` and closes the links dialed to it.
    pub fn stop_dialing(&self, host: &host::Name) {
        if let Some(dial) = self.shared.dials.lock().remove(host) {
            dial.task.abort();
        }
    }

    /// The hosts that are dialed now.
    pub fn dialed(&self) -> Vec<host::Name> {
        self.shared.dials.lock().keys().cloned().collect()
    }

    /// Queues a frame on a link.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link is gone, [`Error::QueueFull`] if its peer
    /// reads too slowly; the frame is dropped in both cases.
    pub fn send(&self, link: link::Key, frame: Frame) -> Result<(), Error> {
        let links = self.shared.links.lock();
        let Some(outbound) = links.get(link) else {
            return Err(Error::Closed);
        };
        let queue = match frame.class() {
            Class::Chunk => &outbound.bulk,
            Class::Call | Class::Control | Class::Exchange => &outbound.urgent,
        };
        queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => {
                self.shared.metrics.queue_full.inc();
                Error::QueueFull
            }
            mpsc::error::TrySendError::Closed(_) => Error::Closed,
        })
    }

    /// Whether a chunk could be queued on a link now.
    pub fn has_chunk_capacity(&self, link: link::Key) -> bool {
        let links = self.shared.links.lock();
        links
            .get(link)
            .is_some_and(|outbound| outbound.bulk.capacity() > 0)
    }

    /// Queues a frame on a link, waiting while the peer reads slowly.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link is gone or goes while waiting.
    pub async fn send_when_ready(&self, link: link::Key, frame: Frame) -> Result<(), Error> {
        let outbound = self.shared.links.lock().get(link).cloned();
        let Some(outbound) = outbound else {
            return Err(Error::Closed);
        };
        let queue = match frame.class() {
            Class::Chunk => outbound.bulk,
            Class::Call | Class::Control | Class::Exchange => outbound.urgent,
        };
        queue.send(frame).await.map_err(|_| Error::Closed)
    }

    /// Ends a link; one that is still dialed is opened again.
    pub fn close_link(&self, link: link::Key) {
        if let Some(outbound) = self.shared.links.lock().get(link) {
            outbound.end.send_replace(Some(link::Reason::ClosedLocally));
        }
    }

    /// Who is at the other end of a link.
    pub fn peer(&self, link: link::Key) -> Option<Arc<Identity>> {
        self.shared
            .links
            .lock()
            .get(link)
            .map(|outbound| outbound.peer.clone())
    }

    /// How long ago bytes last arrived on a link; none if it is gone.
    pub fn idle_time(&self, link: link::Key) -> Option<Duration> {
        let links = self.shared.links.lock();
        links
            .get(link)
            .map(|outbound| outbound.activity.idle_time())
    }

    /// Changes what heartbeats say; peers learn of it at once.
    pub fn update_summary(&self, change: impl FnOnce(&mut Summary)) {
        self.shared.summary.send_if_modified(|summary| {
            let before = summary.clone();
            change(summary);
            before != *summary
        });
    }

    /// How many calls the backend server runs, as last set.
    pub fn running(&self) -> u32 {
        self.shared.load.running.load(Ordering::Relaxed)
    }

    /// Sets the load that the next heartbeats report.
    pub fn set_load(&self, running: u32, waiting: u32, capacity: u32) {
        let load = &self.shared.load;
        load.running.store(running, Ordering::Relaxed);
        load.waiting.store(waiting, Ordering::Relaxed);
        load.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Sends what is queued, closes all links and stops listening.
    pub async fn shutdown(&self) {
        for (_, dial) in self.shared.dials.lock().drain() {
            // The link itself ends by the signal below, after its queue.
            drop(dial);
        }
        self.shared.closing.send_replace(true);
        let limit = tokio::time::Instant::now() + SHUTDOWN_LIMIT;
        while !self.shared.links.lock().is_empty() && tokio::time::Instant::now() < limit {
            tokio::time::sleep(SHUTDOWN_STEP).await;
        }
    }
}

/// How long a shutdown waits for queues to empty.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(2);
/// How often a shutdown looks.
const SHUTDOWN_STEP: Duration = Duration::from_millis(5);

impl Shared {
    /// The summary as a heartbeat reports it now.
    fn summary(&self) -> Summary {
        let mut summary = self.summary.borrow().clone();
        summary.running = self.load.running.load(Ordering::Relaxed);
        summary.waiting = self.load.waiting.load(Ordering::Relaxed);
        summary.capacity = self.load.capacity.load(Ordering::Relaxed);
        summary
    }
}

fn channels() -> (Parts, Inbox) {
    let (calls, calls_inbox) = mpsc::channel(EVENTS_MAX);
    let (weights, weights_inbox) = mpsc::channel(EVENTS_MAX);
    let (configuration, configuration_inbox) = mpsc::channel(EVENTS_MAX);
    let (membership, membership_inbox) = mpsc::channel(EVENTS_MAX);
    let (limits, limits_inbox) = mpsc::channel(EVENTS_MAX);
    let parts = Parts {
        calls,
        weights,
        configuration,
        membership,
        limits,
    };
    let inbox = Inbox {
        calls: calls_inbox,
        weights: weights_inbox,
        configuration: configuration_inbox,
        membership: membership_inbox,
        limits: limits_inbox,
    };
    (parts, inbox)
}
