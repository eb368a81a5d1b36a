//! The links of one process.

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

/// The most events that are queued for one module. While its queue is full,
/// links with events for it stop reading.
const EVENT_QUEUE_MAX: usize = 1024;

/// The settings of a hub.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on for peers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The identity that is sent to peers. If the port of its address is 0, it
    /// is replaced by the bound port.
    pub identity: Identity,
    /// The fleet key.
    pub key: FleetKey,
    /// The interval of heartbeats on each link.
    pub heartbeat_interval: Duration,
    /// The time without received bytes after which a link is replaced.
    pub idle_timeout: Duration,
}

/// The default of [`Config::heartbeat_interval`].
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);
/// The default of [`Config::idle_timeout`]: three heartbeat intervals.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2250);

/// The receivers of link events, one for each module.
#[derive(Debug)]
pub struct Inbox {
    /// Events for calls.
    pub calls: mpsc::Receiver<Event<call::Message>>,
    /// Events for weights.
    pub weights: mpsc::Receiver<Event<weights::Message>>,
    /// Events for the configuration.
    pub configuration: mpsc::Receiver<Event<configuration::Message>>,
    /// Events for membership.
    pub membership: mpsc::Receiver<Event<membership::Message>>,
    /// Events for limits.
    pub limits: mpsc::Receiver<Event<limit::Message>>,
}

/// The senders of link events, one for each module.
#[derive(Clone, Debug)]
struct Senders {
    calls: mpsc::Sender<Event<call::Message>>,
    weights: mpsc::Sender<Event<weights::Message>>,
    configuration: mpsc::Sender<Event<configuration::Message>>,
    membership: mpsc::Sender<Event<membership::Message>>,
    limits: mpsc::Sender<Event<limit::Message>>,
}

/// The links of one process; clones share the same links.
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
    senders: Senders,
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

/// The sending side of one link; `urgent` frames are sent before `bulk` ones.
#[derive(Clone, Debug)]
struct Outbound {
    urgent: mpsc::Sender<Frame>,
    bulk: mpsc::Sender<Frame>,
    peer: Arc<Identity>,
    close: Arc<watch::Sender<Option<link::Reason>>>,
    activity: Activity,
}

impl Hub {
    /// Binds the listen address and starts accepting links.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address cannot be bound.
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
        let (senders, inbox) = channels();
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
            senders,
            metrics: Metrics::register(registry),
        });
        tokio::spawn(accept::run(shared.clone(), listener));
        Ok((Hub { shared }, inbox))
    }

    /// Returns the identity that is sent to peers, with the bound port.
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

    /// Stops dialing `host` and closes the link dialed to it.
    pub fn stop_dialing(&self, host: &host::Name) {
        if let Some(dial) = self.shared.dials.lock().remove(host) {
            dial.task.abort();
        }
    }

    /// Returns the hosts that are currently dialed.
    pub fn dialed(&self) -> Vec<host::Name> {
        self.shared.dials.lock().keys().cloned().collect()
    }

    /// Queues a frame on a link without waiting.
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

    /// Returns whether a chunk frame can be queued on a link now.
    pub fn has_chunk_capacity(&self, link: link::Key) -> bool {
        let links = self.shared.links.lock();
        links
            .get(link)
            .is_some_and(|outbound| outbound.bulk.capacity() > 0)
    }

    /// Queues a frame on a link, and waits while its queue is full.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link is gone or ends while waiting.
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

    /// Closes a link. It is reopened if its host is still dialed.
    pub fn close_link(&self, link: link::Key) {
        if let Some(outbound) = self.shared.links.lock().get(link) {
            outbound
                .close
                .send_replace(Some(link::Reason::ClosedLocally));
        }
    }

    /// Returns the identity of the peer on a link, if the link is up.
    pub fn peer(&self, link: link::Key) -> Option<Arc<Identity>> {
        self.shared
            .links
            .lock()
            .get(link)
            .map(|outbound| outbound.peer.clone())
    }

    /// Returns the time since bytes were last received on a link, if it is up.
    pub fn idle_time(&self, link: link::Key) -> Option<Duration> {
        let links = self.shared.links.lock();
        links
            .get(link)
            .map(|outbound| outbound.activity.idle_time())
    }

    /// Updates the summary in heartbeats. If it changed, a heartbeat is sent on
    /// each link at once.
    pub fn update_summary(&self, change: impl FnOnce(&mut Summary)) {
        self.shared.summary.send_if_modified(|summary| {
            let previous = summary.clone();
            change(summary);
            previous != *summary
        });
    }

    /// Returns the number of calls that the backend server runs, as last set
    /// with [`Hub::set_load`].
    pub fn running(&self) -> u32 {
        self.shared.load.running.load(Ordering::Relaxed)
    }

    /// Sets the load that heartbeats report, without sending one.
    pub fn set_load(&self, running: u32, waiting: u32, capacity: u32) {
        let load = &self.shared.load;
        load.running.store(running, Ordering::Relaxed);
        load.waiting.store(waiting, Ordering::Relaxed);
        load.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Stops listening, sends the queued frames and closes all links.
    pub async fn shutdown(&self) {
        for (_, dial) in self.shared.dials.lock().drain() {
            // Does not abort the task: the link closes on the signal below,
            // after its queue has been sent.
            drop(dial);
        }
        self.shared.closing.send_replace(true);
        let deadline = tokio::time::Instant::now() + SHUTDOWN_TIMEOUT;
        while !self.shared.links.lock().is_empty() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }
}

/// How long a shutdown waits for links to close.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which a shutdown checks whether all links are closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Shared {
    /// Returns the summary for the next heartbeat, with the current load.
    fn summary(&self) -> Summary {
        let mut summary = self.summary.borrow().clone();
        summary.running = self.load.running.load(Ordering::Relaxed);
        summary.waiting = self.load.waiting.load(Ordering::Relaxed);
        summary.capacity = self.load.capacity.load(Ordering::Relaxed);
        summary
    }
}

fn channels() -> (Senders, Inbox) {
    let (calls, calls_inbox) = mpsc::channel(EVENT_QUEUE_MAX);
    let (weights, weights_inbox) = mpsc::channel(EVENT_QUEUE_MAX);
    let (configuration, configuration_inbox) = mpsc::channel(EVENT_QUEUE_MAX);
    let (membership, membership_inbox) = mpsc::channel(EVENT_QUEUE_MAX);
    let (limits, limits_inbox) = mpsc::channel(EVENT_QUEUE_MAX);
    let senders = Senders {
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
    (senders, inbox)
}
